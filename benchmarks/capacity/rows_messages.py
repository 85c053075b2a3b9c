"""Rows of the gateway: its control traffic."""

from __future__ import annotations

from benchmarks.capacity.assumptions import (
    CHANGES_OF_HOSTS_PER_DAY,
    GATEWAYS_OF_A_ZONE,
    GATEWAYS_SEEING_A_CUSTOMER,
)
from benchmarks.capacity.row import Mend, Resource, Role, Row, at, largest
from benchmarks.capacity.situations import MACHINE, ORDINARY, PEAK, RACK, RESTART, ZONE, Situation
from benchmarks.capacity.size import FULL
from benchmarks.capacity.terms import (
    AHEAD,
    CHANGES_PER_S,
    COUNTER,
    HOST_CHANGES_PER_S,
    LIST,
    SEEING,
    USE,
    WATCH,
)


def counter_bytes(situation: Situation, load: str = "half", seeing: int = SEEING) -> Row:
    """Bytes a second between one gateway and the counter."""
    rate = situation.requests_per_gateway
    return Row(
        role=Role.GATEWAY,
        resource=Resource.MESSAGES,
        situation=situation,
        what=f"bytes to and from the counter, {USE[load]}, a customer seen by {seeing}",
        unit="B/s",
        budget=FULL.control_bytes_per_s,
        worked=f"bytes a request x {rate:.0f} requests/s",
        mechanism=COUNTER,
        readings=(at(f"counting.{load}.wire_bytes_per_request", seeing),),
        formula=lambda wire: wire * rate,
        how=AHEAD,
        assumed=(GATEWAYS_SEEING_A_CUSTOMER,),
    )


ROWS = (
    counter_bytes(ORDINARY),
    *(counter_bytes(PEAK, "half", seeing) for seeing in (1, 3, SEEING, 24)),
    counter_bytes(PEAK, "ninety"),
    *(counter_bytes(PEAK, load, seeing) for load in ("seen_half", "seen_ninety") for seeing in (SEEING, 24)),
    Row(
        role=Role.GATEWAY,
        resource=Resource.MESSAGES,
        situation=PEAK,
        what="bytes to and from the counter, half of each quota used, 710 gateways played",
        unit="B/s",
        budget=FULL.control_bytes_per_s,
        worked="as measured",
        mechanism=COUNTER,
        readings=(at("counting.fleet.wire_bytes_per_s_per_gateway", FULL.gateways),),
        formula=lambda size: size,
        how=AHEAD,
    ),
    Row(
        role=Role.GATEWAY,
        resource=Resource.MESSAGES,
        situation=PEAK,
        what="bytes to and from the counter of a real gateway",
        unit="B/s",
        budget=FULL.control_bytes_per_s,
        worked="bytes a call x calls a request x 197 requests/s; without headers below HTTP",
        mechanism=COUNTER,
        readings=(
            at("anchors.gateway.counter_bytes_per_call", PEAK.requests_per_gateway),
            at("anchors.gateway.counter_calls_per_request", PEAK.requests_per_gateway),
        ),
        formula=lambda size, calls: size * calls * PEAK.requests_per_gateway,
        how=AHEAD,
    ),
    Row(
        role=Role.GATEWAY,
        resource=Resource.MESSAGES,
        situation=PEAK,
        what="platform's start: control in all",
        unit="B/s",
        budget=FULL.control_bytes_per_s,
        worked="counter, half of each quota used + changes of the list + no request",
        mechanism=f"{COUNTER}; {WATCH}",
        readings=(
            at("counting.half.wire_bytes_per_request", SEEING),
            at("hosts.list.change_bytes", FULL.hosts),
            largest("anchors.fleet.control_bytes_per_s_per_gateway"),
        ),
        formula=lambda wire, change, idle: (
            wire * PEAK.requests_per_gateway + change * HOST_CHANGES_PER_S + idle
        ),
        how=AHEAD,
        assumed=(GATEWAYS_SEEING_A_CUSTOMER, CHANGES_OF_HOSTS_PER_DAY),
    ),
    counter_bytes(PEAK, "flood"),
    *(counter_bytes(situation) for situation in (MACHINE, RACK, ZONE)),
    Row(
        role=Role.GATEWAY,
        resource=Resource.MESSAGES,
        situation=RESTART,
        what="bytes to and from the counter in the first second",
        unit="B/s",
        budget=FULL.control_bytes_per_s,
        worked="calls in the first second x bytes a call",
        mechanism=COUNTER,
        readings=(
            at("counting.burst_of_starts.calls_in_first_second_per_gateway", GATEWAYS_OF_A_ZONE.value),
            at("counting.half.wire_bytes_per_request", SEEING),
            at("counting.half.calls_per_request", SEEING),
        ),
        formula=lambda calls, wire, per_request: calls * wire / per_request if per_request else 0.0,
        how=AHEAD,
        assumed=(GATEWAYS_OF_A_ZONE,),
    ),
    Row(
        role=Role.GATEWAY,
        resource=Resource.MESSAGES,
        situation=ORDINARY,
        what="changes of the list of hosts",
        unit="B/s",
        budget=FULL.control_bytes_per_s,
        worked=f"bytes of a change x {HOST_CHANGES_PER_S:.3f} changes/s",
        mechanism=WATCH,
        readings=(at("hosts.list.change_bytes", FULL.hosts),),
        formula=lambda size: size * HOST_CHANGES_PER_S,
        assumed=(CHANGES_OF_HOSTS_PER_DAY,),
    ),
    Row(
        role=Role.GATEWAY,
        resource=Resource.MESSAGES,
        situation=ORDINARY,
        what="no request: control of a real gateway, 100 hosts, all of it",
        unit="B/s",
        budget=FULL.control_bytes_per_s,
        worked="as measured in the largest fleet of real processes",
        mechanism=f"{COUNTER}; {WATCH}",
        readings=(largest("anchors.fleet.control_bytes_per_s_per_gateway"),),
        formula=lambda size: size,
    ),
    Row(
        role=Role.GATEWAY,
        resource=Resource.MESSAGES,
        situation=RESTART,
        what="the whole list of hosts at a start, at 9 KB/s",
        unit="s",
        budget=FULL.change_in_force_s,
        worked="bytes of the list / 9,000 B/s",
        mechanism=LIST,
        readings=(at("hosts.list.bytes", FULL.hosts),),
        formula=lambda size: size / FULL.control_bytes_per_s,
        mend=Mend.NEW_PROTOCOL,
        how="a smaller form of the list, or part of it: discovery's protocol has neither",
    ),
    Row(
        role=Role.GATEWAY,
        resource=Resource.MESSAGES,
        situation=ORDINARY,
        what="hosted service: the whole configuration at each of 1,200 changes a day",
        unit="B/s",
        budget=FULL.control_bytes_per_s,
        worked=f"bytes of the file x {CHANGES_PER_S:.4f} changes/s",
        mechanism=None,
        readings=(at("tenants.configuration.bytes", FULL.tenants),),
        formula=lambda size: size * CHANGES_PER_S,
        mend=Mend.NEW_PROTOCOL,
        how="a change alone is sent, to those gateways that need it",
    ),
)
