"""Rows of discovery's agent, of the hosts and of the operator's machine."""

from __future__ import annotations

from benchmarks.capacity.assumptions import CLASSES, GATEWAYS_PER_ZONE, HOST_CHANGES_PER_DAY
from benchmarks.capacity.row import Remedy, Resource, Role, Row, at_size
from benchmarks.capacity.row_constants import HOST_CHANGES_PER_S, LIST_MECHANISM, WATCH_MECHANISM
from benchmarks.capacity.situations import ORDINARY_DAY, PEAK, ZONE_LOSS, ZONE_RESTART, Situation
from benchmarks.capacity.size import FULL

APERTURE_MECHANISM = "an aperture for each gateway (`balancing/`)"
HOSTS_OF_A_ZONE = FULL.hosts // FULL.zones

AGENT = (
    Row(
        role=Role.AGENT,
        resource=Resource.MESSAGES,
        situation=ORDINARY_DAY,
        what="changes to its gateway",
        unit="B/s",
        budget=FULL.control_bytes_per_s,
        derivation=f"bytes of a change x {HOST_CHANGES_PER_S:.3f} changes/s",
        mechanism=WATCH_MECHANISM,
        readings=(at_size("hosts.list.change_bytes", FULL.hosts),),
        formula=lambda size: size * HOST_CHANGES_PER_S,
        assumed=(HOST_CHANGES_PER_DAY,),
    ),
    Row(
        role=Role.AGENT,
        resource=Resource.MESSAGES,
        situation=ZONE_LOSS,
        what=f"all {HOSTS_OF_A_ZONE:,} hosts of a zone told as changed, at 9 KB/s",
        unit="s",
        budget=FULL.change_in_force_s,
        derivation=f"bytes of a change x {HOSTS_OF_A_ZONE:,} / 9,000 B/s",
        mechanism=WATCH_MECHANISM,
        readings=(at_size("hosts.list.change_bytes", FULL.hosts),),
        formula=lambda size: size * HOSTS_OF_A_ZONE / FULL.control_bytes_per_s,
        remedy=Remedy.NEW_PROTOCOL,
        how="a smaller form of a change",
    ),
    Row(
        role=Role.AGENT,
        resource=Resource.MESSAGES,
        situation=ZONE_RESTART,
        what="the whole list to its gateway",
        unit="s",
        budget=FULL.change_in_force_s,
        derivation="bytes of the list / 9,000 B/s",
        mechanism=LIST_MECHANISM,
        readings=(at_size("hosts.list.bytes", FULL.hosts),),
        formula=lambda size: size / FULL.control_bytes_per_s,
        remedy=Remedy.NEW_PROTOCOL,
        how="a smaller form of the list, or part of it: discovery's protocol has neither",
    ),
    Row(
        role=Role.AGENT,
        resource=Resource.MESSAGES,
        situation=ZONE_RESTART,
        what="the lists of a zone's gateways from whatever feeds the agents",
        unit="MB",
        budget=None,
        derivation=f"bytes of the list x {GATEWAYS_PER_ZONE.value:g} gateways",
        mechanism="not ours: an agent on each machine answers at once",
        readings=(at_size("hosts.list.bytes", FULL.hosts),),
        formula=lambda size: size * GATEWAYS_PER_ZONE.value / 1e6,
        assumed=(GATEWAYS_PER_ZONE,),
    ),
)


def host_requests_row(situation: Situation, hosts: int) -> Row:
    """Row of the requests a second at each of the remaining `hosts` hosts."""
    rate = situation.requests_per_s
    return Row(
        role=Role.HOST,
        resource=Resource.MESSAGES,
        situation=situation,
        what="requests, without retries",
        unit="requests/s",
        budget=None,
        derivation=f"{rate:,.0f} requests/s / {hosts:,} hosts; nothing measured",
        mechanism="hosts by rank of their load (`balancing/`)",
        formula=lambda: rate / hosts,
    )


HOST = (
    host_requests_row(ORDINARY_DAY, FULL.hosts),
    host_requests_row(PEAK, FULL.hosts),
    host_requests_row(ZONE_LOSS, FULL.hosts - HOSTS_OF_A_ZONE),
    Row(
        role=Role.HOST,
        resource=Resource.STATE,
        situation=PEAK,
        what="connections from gateways",
        unit="connections",
        budget=None,
        derivation="open connections of a gateway x 710 / 9,000",
        mechanism=APERTURE_MECHANISM,
        readings=(at_size("hosts.connections.open", FULL.hosts),),
        formula=lambda kept: kept * FULL.gateways / FULL.hosts,
    ),
    Row(
        role=Role.HOST,
        resource=Resource.MESSAGES,
        situation=PEAK,
        what="dials from gateways",
        unit="dials/s",
        budget=None,
        derivation="dials of a gateway x 710 / 9,000",
        mechanism=APERTURE_MECHANISM,
        readings=(at_size("hosts.connections.dials_per_s", FULL.hosts),),
        formula=lambda dials: dials * FULL.gateways / FULL.hosts,
    ),
    Row(
        role=Role.HOST,
        resource=Resource.MESSAGES,
        situation=ZONE_RESTART,
        what="dials of a zone's gateways in the first second",
        unit="dials/s",
        budget=None,
        derivation=f"dials of a gateway in its first second x {GATEWAYS_PER_ZONE.value:g} / 9,000",
        mechanism=APERTURE_MECHANISM,
        readings=(at_size("hosts.connections.dials_in_first_second", FULL.hosts),),
        formula=lambda dials: dials * GATEWAYS_PER_ZONE.value / FULL.hosts,
        assumed=(GATEWAYS_PER_ZONE,),
    ),
)

OPERATOR: tuple[Row, ...] = (
    Row(
        role=Role.OPERATOR,
        resource=Resource.MESSAGES,
        situation=ORDINARY_DAY,
        what="the figures of 710 gateways read once",
        unit="bytes",
        budget=None,
        derivation="bytes of an answer to `vars` x 710",
        mechanism="`vars`, one gateway at a time (`admin/`)",
        readings=(at_size("operator.figures.bytes_per_gateway", CLASSES.value),),
        formula=lambda size: size * FULL.gateways,
        assumed=(CLASSES,),
    ),
    Row(
        role=Role.OPERATOR,
        resource=Resource.TIME,
        situation=ORDINARY_DAY,
        what="a host out by hand at 710 gateways",
        unit="s",
        budget=None,
        derivation="seconds of a call x 710",
        mechanism="`set-down`, one gateway at a time (`admin/`)",
        readings=(at_size("operator.calls.s_per_gateway", FULL.gateways),),
        formula=lambda took: took * FULL.gateways,
    ),
)

ROWS = AGENT + HOST + OPERATOR
