"""Rows of the gateway: its control traffic."""

from __future__ import annotations

from benchmarks.capacity.assumptions import (
    GATEWAYS_PER_CUSTOMER,
    GATEWAYS_PER_ZONE,
    HOST_CHANGES_PER_DAY,
)
from benchmarks.capacity.row import Remedy, Resource, Role, Row, at_size, largest
from benchmarks.capacity.row_constants import (
    CALL_OWNING_COUNTER,
    CONFIG_CHANGES_PER_S,
    COUNTER_MECHANISM,
    HOST_CHANGES_PER_S,
    LIST_MECHANISM,
    LOAD_LABELS,
    REPLICAS,
    WATCH_MECHANISM,
)
from benchmarks.capacity.situations import (
    MACHINE_LOSS,
    ORDINARY_DAY,
    PEAK,
    RACK_LOSS,
    ZONE_LOSS,
    ZONE_RESTART,
    Situation,
)
from benchmarks.capacity.size import FULL


def counter_bytes_row(situation: Situation, load: str = "half", replicas: int = REPLICAS) -> Row:
    """Row of the bytes a second between one gateway and the counter."""
    rate = situation.requests_per_gateway
    return Row(
        role=Role.GATEWAY,
        resource=Resource.MESSAGES,
        situation=situation,
        what=f"bytes to and from the counter, {LOAD_LABELS[load]}, a customer seen by {replicas}",
        unit="B/s",
        budget=FULL.control_bytes_per_s,
        derivation=f"bytes a request x {rate:.0f} requests/s",
        mechanism=COUNTER_MECHANISM,
        readings=(at_size(f"counting.{load}.wire_bytes_per_request", replicas),),
        formula=lambda wire: wire * rate,
        how=CALL_OWNING_COUNTER,
        assumed=(GATEWAYS_PER_CUSTOMER,),
    )


ROWS = (
    counter_bytes_row(ORDINARY_DAY),
    *(counter_bytes_row(PEAK, "half", replicas) for replicas in (1, 3, REPLICAS, 24)),
    counter_bytes_row(PEAK, "ninety"),
    *(
        counter_bytes_row(PEAK, load, replicas)
        for load in ("seen_half", "seen_ninety")
        for replicas in (REPLICAS, 24)
    ),
    Row(
        role=Role.GATEWAY,
        resource=Resource.MESSAGES,
        situation=PEAK,
        what="bytes to and from the counter, half of each quota used, 710 gateways played",
        unit="B/s",
        budget=FULL.control_bytes_per_s,
        derivation="as measured",
        mechanism=COUNTER_MECHANISM,
        readings=(at_size("counting.fleet.wire_bytes_per_s_per_gateway", FULL.gateways),),
        formula=lambda size: size,
        how=CALL_OWNING_COUNTER,
    ),
    Row(
        role=Role.GATEWAY,
        resource=Resource.MESSAGES,
        situation=PEAK,
        what="bytes to and from the counter of a real gateway",
        unit="B/s",
        budget=FULL.control_bytes_per_s,
        derivation="bytes a call x calls a request x 197 requests/s; without headers below HTTP",
        mechanism=COUNTER_MECHANISM,
        readings=(
            at_size("anchors.gateway.counter_bytes_per_call", PEAK.requests_per_gateway),
            at_size("anchors.gateway.counter_calls_per_request", PEAK.requests_per_gateway),
        ),
        formula=lambda size, calls: size * calls * PEAK.requests_per_gateway,
        how=CALL_OWNING_COUNTER,
    ),
    Row(
        role=Role.GATEWAY,
        resource=Resource.MESSAGES,
        situation=PEAK,
        what="platform's start: control in all",
        unit="B/s",
        budget=FULL.control_bytes_per_s,
        derivation="counter, half of each quota used + changes of the list + no request",
        mechanism=f"{COUNTER_MECHANISM}; {WATCH_MECHANISM}",
        readings=(
            at_size("counting.half.wire_bytes_per_request", REPLICAS),
            at_size("hosts.list.change_bytes", FULL.hosts),
            largest("anchors.fleet.control_bytes_per_s_per_gateway"),
        ),
        formula=lambda wire, change, idle: (
            wire * PEAK.requests_per_gateway + change * HOST_CHANGES_PER_S + idle
        ),
        how=CALL_OWNING_COUNTER,
        assumed=(GATEWAYS_PER_CUSTOMER, HOST_CHANGES_PER_DAY),
    ),
    counter_bytes_row(PEAK, "flood"),
    *(counter_bytes_row(situation) for situation in (MACHINE_LOSS, RACK_LOSS, ZONE_LOSS)),
    Row(
        role=Role.GATEWAY,
        resource=Resource.MESSAGES,
        situation=ZONE_RESTART,
        what="bytes to and from the counter in the first second",
        unit="B/s",
        budget=FULL.control_bytes_per_s,
        derivation="calls in the first second x bytes a call",
        mechanism=COUNTER_MECHANISM,
        readings=(
            at_size("counting.burst_of_starts.calls_in_first_second_per_gateway", GATEWAYS_PER_ZONE.value),
            at_size("counting.half.wire_bytes_per_request", REPLICAS),
            at_size("counting.half.calls_per_request", REPLICAS),
        ),
        formula=lambda calls, wire, per_request: calls * wire / per_request if per_request else 0.0,
        how=CALL_OWNING_COUNTER,
        assumed=(GATEWAYS_PER_ZONE,),
    ),
    Row(
        role=Role.GATEWAY,
        resource=Resource.MESSAGES,
        situation=ORDINARY_DAY,
        what="changes of the list of hosts",
        unit="B/s",
        budget=FULL.control_bytes_per_s,
        derivation=f"bytes of a change x {HOST_CHANGES_PER_S:.3f} changes/s",
        mechanism=WATCH_MECHANISM,
        readings=(at_size("hosts.list.change_bytes", FULL.hosts),),
        formula=lambda size: size * HOST_CHANGES_PER_S,
        assumed=(HOST_CHANGES_PER_DAY,),
    ),
    Row(
        role=Role.GATEWAY,
        resource=Resource.MESSAGES,
        situation=ORDINARY_DAY,
        what="no request: control of a real gateway, 100 hosts, all of it",
        unit="B/s",
        budget=FULL.control_bytes_per_s,
        derivation="as measured in the largest fleet of real processes",
        mechanism=f"{COUNTER_MECHANISM}; {WATCH_MECHANISM}",
        readings=(largest("anchors.fleet.control_bytes_per_s_per_gateway"),),
        formula=lambda size: size,
    ),
    Row(
        role=Role.GATEWAY,
        resource=Resource.MESSAGES,
        situation=ZONE_RESTART,
        what="the whole list of hosts at a start, at 9 KB/s",
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
        role=Role.GATEWAY,
        resource=Resource.MESSAGES,
        situation=ORDINARY_DAY,
        what="hosted service: the whole configuration at each of 1,200 changes a day",
        unit="B/s",
        budget=FULL.control_bytes_per_s,
        derivation=f"bytes of the file x {CONFIG_CHANGES_PER_S:.4f} changes/s",
        mechanism=None,
        readings=(at_size("tenants.configuration.bytes", FULL.tenants),),
        formula=lambda size: size * CONFIG_CHANGES_PER_S,
        remedy=Remedy.NEW_PROTOCOL,
        how="a change alone is sent, to those gateways that need it",
    ),
)
