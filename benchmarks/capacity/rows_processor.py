"""Rows of the gateway's processor time."""

from __future__ import annotations

from benchmarks.capacity.assumptions import (
    COUNTER_CALL_US,
    GATEWAYS_PER_CUSTOMER,
    HOST_CHANGES_PER_DAY,
    REQUEST_PATH_SHARE,
    SWEEPS_PER_S,
)
from benchmarks.capacity.row import Resource, Role, Row, at_size
from benchmarks.capacity.row_constants import (
    CALL_OWNING_COUNTER,
    CONFIG_CHANGES_PER_S,
    COUNTER_MECHANISM,
    HOST_CHANGES_PER_S,
    LIST_MECHANISM,
    LOAD_LABELS,
    RELOAD_MECHANISM,
    REPLICAS,
    START_CPU_MS,
    WATCH_MECHANISM,
)
from benchmarks.capacity.situations import ORDINARY_DAY, PEAK, ZONE_LOSS, ZONE_RESTART, Situation
from benchmarks.capacity.size import FULL


def counter_calls_row(situation: Situation, load: str = "half") -> Row:
    """Row of the processor time of calls to the counter, including sockets."""
    rate = situation.requests_per_gateway
    return Row(
        role=Role.GATEWAY,
        resource=Resource.PROCESSOR,
        situation=situation,
        what=f"calls to the counter, {LOAD_LABELS[load]}, a customer seen by {REPLICAS}",
        unit="cores",
        budget=FULL.control_cpu_share,
        derivation=f"calls a request x {rate:.0f} requests/s x {COUNTER_CALL_US.value:g} us",
        mechanism=COUNTER_MECHANISM,
        readings=(at_size(f"counting.{load}.calls_per_request", REPLICAS),),
        formula=lambda calls: calls * rate * COUNTER_CALL_US.value / 1e6,
        how=CALL_OWNING_COUNTER,
        assumed=(COUNTER_CALL_US, GATEWAYS_PER_CUSTOMER),
    )


def decision_time_row(situation: Situation) -> Row:
    """Row of the processor time of decisions and counter calls, without sockets."""
    rate = situation.requests_per_gateway
    return Row(
        role=Role.GATEWAY,
        resource=Resource.PROCESSOR,
        situation=situation,
        what="decisions and counter calls, without sockets (request path, not control)",
        unit="cores",
        budget=REQUEST_PATH_SHARE.value,
        derivation=f"us a request x {rate:.0f} requests/s",
        mechanism=COUNTER_MECHANISM,
        readings=(at_size("counting.fleet.cpu_us_per_request", FULL.gateways),),
        formula=lambda us: us * rate / 1e6,
        assumed=(REQUEST_PATH_SHARE,),
    )


ROWS = (
    Row(
        role=Role.GATEWAY,
        resource=Resource.PROCESSOR,
        situation=ORDINARY_DAY,
        what="no request: sweeps, watches, timers of a real gateway",
        unit="cores",
        budget=FULL.control_cpu_share,
        derivation="as measured",
        mechanism="the sweep in 100 ms, the watch",
        readings=(at_size("anchors.gateway.idle_cpu_share", PEAK.requests_per_gateway),),
        formula=lambda unbudgeted_row: unbudgeted_row,
    ),
    Row(
        role=Role.GATEWAY,
        resource=Resource.PROCESSOR,
        situation=ORDINARY_DAY,
        what="sweeps of one decision module",
        unit="cores",
        budget=FULL.control_cpu_share,
        derivation="us a sweep x 10 sweeps/s",
        mechanism="the sweep in 100 ms (`balancing/`)",
        readings=(at_size("hosts.choice.sweep_us", FULL.hosts),),
        formula=lambda us: us * SWEEPS_PER_S.value / 1e6,
        assumed=(SWEEPS_PER_S,),
    ),
    Row(
        role=Role.GATEWAY,
        resource=Resource.PROCESSOR,
        situation=ORDINARY_DAY,
        what="changes of the list of hosts",
        unit="cores",
        budget=FULL.control_cpu_share,
        derivation=f"us of a change x {HOST_CHANGES_PER_S:.3f} changes/s",
        mechanism=WATCH_MECHANISM,
        readings=(at_size("hosts.list.change_us", FULL.hosts),),
        formula=lambda us: us * HOST_CHANGES_PER_S / 1e6,
        assumed=(HOST_CHANGES_PER_DAY,),
    ),
    Row(
        role=Role.GATEWAY,
        resource=Resource.PROCESSOR,
        situation=ZONE_RESTART,
        what="the whole list of hosts at a start",
        unit="ms",
        budget=START_CPU_MS,
        derivation="ms to parse + ms to take; budget: 3.1% of a core over 17 s",
        mechanism=LIST_MECHANISM,
        readings=(at_size("hosts.list.parse_ms", FULL.hosts), at_size("hosts.list.apply_ms", FULL.hosts)),
        formula=lambda parse, apply: parse + apply,
        how="the list taken in parts",
    ),
    Row(
        role=Role.GATEWAY,
        resource=Resource.PROCESSOR,
        situation=ZONE_RESTART,
        what="a real start with the whole list",
        unit="ms",
        budget=START_CPU_MS,
        derivation="CPU until ready; budget: 3.1% of a core over 17 s",
        mechanism=LIST_MECHANISM,
        readings=(at_size("anchors.list.cpu_ms_to_ready", FULL.hosts),),
        formula=lambda cpu: cpu,
        how="less to import at a start",
    ),
    Row(
        role=Role.GATEWAY,
        resource=Resource.PROCESSOR,
        situation=ORDINARY_DAY,
        what="hosted service: the configuration read anew at each of 1,200 changes a day",
        unit="cores",
        budget=FULL.control_cpu_share,
        derivation=f"ms of a change, with the reading, x {CONFIG_CHANGES_PER_S:.4f} changes/s",
        mechanism=RELOAD_MECHANISM,
        readings=(at_size("tenants.configuration.change_ms", FULL.tenants),),
        formula=lambda change: change * CONFIG_CHANGES_PER_S / 1000,
        how="only what changed is read",
    ),
    counter_calls_row(ORDINARY_DAY),
    counter_calls_row(PEAK),
    counter_calls_row(PEAK, "ninety"),
    counter_calls_row(PEAK, "flood"),
    counter_calls_row(ZONE_LOSS),
    decision_time_row(PEAK),
    Row(
        role=Role.GATEWAY,
        resource=Resource.PROCESSOR,
        situation=ORDINARY_DAY,
        what="hosted service: no request, 62,000 tenants asleep",
        unit="cores",
        budget=FULL.control_cpu_share,
        derivation="as measured",
        mechanism="tenants asleep have no timer (`tenants/registry.py`)",
        readings=(at_size("tenants.idle.cpu_share", FULL.tenants),),
        formula=lambda unbudgeted_row: unbudgeted_row,
    ),
    Row(
        role=Role.GATEWAY,
        resource=Resource.PROCESSOR,
        situation=PEAK,
        what="platform's start: control in all",
        unit="cores",
        budget=FULL.control_cpu_share,
        derivation="no request + calls to the counter, half of each quota used + changes of the list",
        mechanism=f"{COUNTER_MECHANISM}; {WATCH_MECHANISM}",
        readings=(
            at_size("anchors.gateway.idle_cpu_share", PEAK.requests_per_gateway),
            at_size("counting.half.calls_per_request", REPLICAS),
            at_size("hosts.list.change_us", FULL.hosts),
        ),
        formula=lambda idle, calls, change: (
            idle
            + calls * PEAK.requests_per_gateway * COUNTER_CALL_US.value / 1e6
            + change * HOST_CHANGES_PER_S / 1e6
        ),
        how=CALL_OWNING_COUNTER,
        assumed=(COUNTER_CALL_US, GATEWAYS_PER_CUSTOMER, HOST_CHANGES_PER_DAY),
    ),
    Row(
        role=Role.GATEWAY,
        resource=Resource.PROCESSOR,
        situation=PEAK,
        what="decisions of the module alone (request path, not control)",
        unit="cores",
        budget=REQUEST_PATH_SHARE.value,
        derivation="share of a core at 197 requests/s",
        mechanism="the decision module (`decision/`)",
        readings=(at_size("requests.module.cpu_share", PEAK.requests_per_gateway),),
        formula=lambda unbudgeted_row: unbudgeted_row,
        assumed=(REQUEST_PATH_SHARE,),
    ),
    Row(
        role=Role.GATEWAY,
        resource=Resource.PROCESSOR,
        situation=PEAK,
        what="hosted service: the look-up of a route",
        unit="cores",
        budget=REQUEST_PATH_SHARE.value,
        derivation="us a look-up x 197 requests/s",
        mechanism="the router's dictionaries (`tenants/`)",
        readings=(at_size("routes.lookup.us", FULL.routes),),
        formula=lambda us: us * PEAK.requests_per_gateway / 1e6,
        assumed=(REQUEST_PATH_SHARE,),
    ),
)
