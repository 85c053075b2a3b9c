"""Rows of the gateway: its processor time."""

from __future__ import annotations

from benchmarks.capacity.assumptions import (
    CHANGES_OF_HOSTS_PER_DAY,
    COUNTER_CALL_US,
    GATEWAYS_SEEING_A_CUSTOMER,
    REQUEST_PATH_SHARE,
    SWEEPS_PER_S,
)
from benchmarks.capacity.row import Resource, Role, Row, at
from benchmarks.capacity.situations import ORDINARY, PEAK, RESTART, ZONE, Situation
from benchmarks.capacity.size import FULL
from benchmarks.capacity.terms import (
    AHEAD,
    CHANGES_PER_S,
    COUNTER,
    HOST_CHANGES_PER_S,
    LIST,
    RELOAD,
    SEEING,
    START_CPU_MS,
    USE,
    WATCH,
)


def counter_calls(situation: Situation, load: str = "half") -> Row:
    """Processor time of the calls to the counter, with their sockets."""
    rate = situation.requests_per_gateway
    return Row(
        role=Role.GATEWAY,
        resource=Resource.PROCESSOR,
        situation=situation,
        what=f"calls to the counter, {USE[load]}, a customer seen by {SEEING}",
        unit="cores",
        budget=FULL.control_cpu_share,
        worked=f"calls a request x {rate:.0f} requests/s x {COUNTER_CALL_US.value:g} us",
        mechanism=COUNTER,
        readings=(at(f"counting.{load}.calls_per_request", SEEING),),
        formula=lambda calls: calls * rate * COUNTER_CALL_US.value / 1e6,
        how=AHEAD,
        assumed=(COUNTER_CALL_US, GATEWAYS_SEEING_A_CUSTOMER),
    )


def counter_time(situation: Situation) -> Row:
    """Processor time of the decision with the counter's client, without sockets."""
    rate = situation.requests_per_gateway
    return Row(
        role=Role.GATEWAY,
        resource=Resource.PROCESSOR,
        situation=situation,
        what="decisions and counter calls, without sockets (request path, not control)",
        unit="cores",
        budget=REQUEST_PATH_SHARE.value,
        worked=f"us a request x {rate:.0f} requests/s",
        mechanism=COUNTER,
        readings=(at("counting.fleet.cpu_us_per_request", FULL.gateways),),
        formula=lambda us: us * rate / 1e6,
        assumed=(REQUEST_PATH_SHARE,),
    )


ROWS = (
    Row(
        role=Role.GATEWAY,
        resource=Resource.PROCESSOR,
        situation=ORDINARY,
        what="no request: sweeps, watches, timers of a real gateway",
        unit="cores",
        budget=FULL.control_cpu_share,
        worked="as measured",
        mechanism="the sweep in 100 ms, the watch",
        readings=(at("anchors.gateway.idle_cpu_share", PEAK.requests_per_gateway),),
        formula=lambda share: share,
    ),
    Row(
        role=Role.GATEWAY,
        resource=Resource.PROCESSOR,
        situation=ORDINARY,
        what="sweeps of one decision module",
        unit="cores",
        budget=FULL.control_cpu_share,
        worked="us a sweep x 10 sweeps/s",
        mechanism="the sweep in 100 ms (`balancing/`)",
        readings=(at("hosts.choice.sweep_us", FULL.hosts),),
        formula=lambda us: us * SWEEPS_PER_S.value / 1e6,
        assumed=(SWEEPS_PER_S,),
    ),
    Row(
        role=Role.GATEWAY,
        resource=Resource.PROCESSOR,
        situation=ORDINARY,
        what="changes of the list of hosts",
        unit="cores",
        budget=FULL.control_cpu_share,
        worked=f"us of a change x {HOST_CHANGES_PER_S:.3f} changes/s",
        mechanism=WATCH,
        readings=(at("hosts.list.change_us", FULL.hosts),),
        formula=lambda us: us * HOST_CHANGES_PER_S / 1e6,
        assumed=(CHANGES_OF_HOSTS_PER_DAY,),
    ),
    Row(
        role=Role.GATEWAY,
        resource=Resource.PROCESSOR,
        situation=RESTART,
        what="the whole list of hosts at a start",
        unit="ms",
        budget=START_CPU_MS,
        worked="ms to parse + ms to take; budget: 3.1% of a core over 17 s",
        mechanism=LIST,
        readings=(at("hosts.list.parse_ms", FULL.hosts), at("hosts.list.apply_ms", FULL.hosts)),
        formula=lambda parse, take: parse + take,
        how="the list taken in parts",
    ),
    Row(
        role=Role.GATEWAY,
        resource=Resource.PROCESSOR,
        situation=RESTART,
        what="a real start with the whole list",
        unit="ms",
        budget=START_CPU_MS,
        worked="CPU until ready; budget: 3.1% of a core over 17 s",
        mechanism=LIST,
        readings=(at("anchors.list.cpu_ms_to_ready", FULL.hosts),),
        formula=lambda cpu: cpu,
        how="less to import at a start",
    ),
    Row(
        role=Role.GATEWAY,
        resource=Resource.PROCESSOR,
        situation=ORDINARY,
        what="hosted service: the configuration read anew at each of 1,200 changes a day",
        unit="cores",
        budget=FULL.control_cpu_share,
        worked=f"ms of a change, with the reading, x {CHANGES_PER_S:.4f} changes/s",
        mechanism=RELOAD,
        readings=(at("tenants.configuration.change_ms", FULL.tenants),),
        formula=lambda change: change * CHANGES_PER_S / 1000,
        how="only what changed is read",
    ),
    counter_calls(ORDINARY),
    counter_calls(PEAK),
    counter_calls(PEAK, "ninety"),
    counter_calls(PEAK, "flood"),
    counter_calls(ZONE),
    counter_time(PEAK),
    Row(
        role=Role.GATEWAY,
        resource=Resource.PROCESSOR,
        situation=ORDINARY,
        what="hosted service: no request, 62,000 tenants asleep",
        unit="cores",
        budget=FULL.control_cpu_share,
        worked="as measured",
        mechanism="tenants asleep have no timer (`tenants/registry.py`)",
        readings=(at("tenants.idle.cpu_share", FULL.tenants),),
        formula=lambda share: share,
    ),
    Row(
        role=Role.GATEWAY,
        resource=Resource.PROCESSOR,
        situation=PEAK,
        what="platform's start: control in all",
        unit="cores",
        budget=FULL.control_cpu_share,
        worked="no request + calls to the counter, half of each quota used + changes of the list",
        mechanism=f"{COUNTER}; {WATCH}",
        readings=(
            at("anchors.gateway.idle_cpu_share", PEAK.requests_per_gateway),
            at("counting.half.calls_per_request", SEEING),
            at("hosts.list.change_us", FULL.hosts),
        ),
        formula=lambda idle, calls, change: (
            idle
            + calls * PEAK.requests_per_gateway * COUNTER_CALL_US.value / 1e6
            + change * HOST_CHANGES_PER_S / 1e6
        ),
        how=AHEAD,
        assumed=(COUNTER_CALL_US, GATEWAYS_SEEING_A_CUSTOMER, CHANGES_OF_HOSTS_PER_DAY),
    ),
    Row(
        role=Role.GATEWAY,
        resource=Resource.PROCESSOR,
        situation=PEAK,
        what="decisions of the module alone (request path, not control)",
        unit="cores",
        budget=REQUEST_PATH_SHARE.value,
        worked="share of a core at 197 requests/s",
        mechanism="the decision module (`decision/`)",
        readings=(at("requests.module.cpu_share", PEAK.requests_per_gateway),),
        formula=lambda share: share,
        assumed=(REQUEST_PATH_SHARE,),
    ),
    Row(
        role=Role.GATEWAY,
        resource=Resource.PROCESSOR,
        situation=PEAK,
        what="hosted service: the look-up of a route",
        unit="cores",
        budget=REQUEST_PATH_SHARE.value,
        worked="us a look-up x 197 requests/s",
        mechanism="the router's dictionaries (`tenants/`)",
        readings=(at("routes.lookup.us", FULL.routes),),
        formula=lambda us: us * PEAK.requests_per_gateway / 1e6,
        assumed=(REQUEST_PATH_SHARE,),
    ),
)
