"""Tests of the counting simulation, and bounds on counter calls, bytes and rejections of shared quotas."""

from __future__ import annotations

import dataclasses
import gc
from types import FunctionType, ModuleType

import pytest

from benchmarks.capacity import counting
from benchmarks.capacity.runner import run_one
from hillmux import interface as api
from hillmux.lab.virtual.counting import (
    REJECTED_REPLY_BYTES,
    CountingFigures,
    CountingFleet,
    CountingGateway,
    CountingScenario,
    reply_bytes,
)
from hillmux.net.counter_channel import request_bytes

HALF = CountingScenario(
    gateways=4, customers=6, replicas=4, requests_per_s=2.3, rate=4.6, burst=21.16, seed=1
)


def run_scenario(scenario: CountingScenario, seconds: float = 20.0) -> CountingFigures:
    return CountingFleet(scenario).run(seconds)


def customer_names(gateway: CountingGateway) -> set[str]:
    """Return the names of all customers that any object in a gateway's decision module refers to."""
    names: set[str] = set()
    visited: set[int] = set()
    pending: list[object] = [gateway.gateway]
    while pending:
        item = pending.pop()
        if isinstance(item, str) and item.startswith("customer-"):
            names.add(item)
        if id(item) not in visited and not isinstance(item, type | ModuleType | FunctionType):
            visited.add(id(item))
            pending.extend(gc.get_referents(item))
    return names


def test_same_seed_gives_same_figures() -> None:
    first, again = run_scenario(HALF), run_scenario(HALF)
    other = run_scenario(dataclasses.replace(HALF, seed=2))
    assert first == again
    assert first != other


def test_every_request_is_forwarded_or_rejected() -> None:
    fleet = CountingFleet(dataclasses.replace(HALF, requests_per_s=16.0))
    figures = fleet.run(10.0)
    still_open = sum(len(gateway.open_requests) for gateway in fleet.gateways)
    assert figures.rejected > 0
    assert 0 <= figures.requests - figures.units_forwarded - figures.rejected <= still_open < 20


def test_requests_beyond_the_burst_are_rejected_when_the_reference_bucket_is_empty() -> None:
    # One gateway, a burst of 3 and almost no refill: of 5 requests 3 are forwarded, and 2 are rejected while
    # the reference bucket is empty.
    scenario = CountingScenario(
        gateways=1, customers=1, replicas=1, requests_per_s=1e-9, rate=0.001, burst=3, seed=1
    )
    fleet = CountingFleet(scenario)
    customer = fleet.customers[0]
    for _ in range(5):
        fleet.request(customer, 0)
        fleet.run(0.1)
    figures = fleet.figures
    assert (figures.units_forwarded, figures.rejected, figures.units_beyond_quota) == (3, 2, 0)
    assert figures.rejected_with_units == figures.rejected_with_half_burst == 0
    assert customer.quota.available == pytest.approx(0.0, abs=1e-3)


def test_units_beyond_quota_are_counted_but_not_taken_from_the_reference_bucket() -> None:
    # Both gateways may forward a request, since each decides before the counter reports the other's use.
    scenario = CountingScenario(
        gateways=2, customers=1, replicas=2, requests_per_s=1e-9, rate=0.001, burst=1, seed=1
    )
    fleet = CountingFleet(scenario)
    customer = fleet.customers[0]
    for _ in range(2):
        customer.quota.available = 0.5  # less than a unit: every forwarded request is beyond the quota
        fleet.request(customer, 0)
    fleet.run(0.2)
    assert fleet.figures.units_forwarded >= 1
    assert fleet.figures.units_beyond_quota == customer.units_beyond_quota == fleet.figures.units_forwarded
    assert customer.quota.available == pytest.approx(0.5, abs=1e-3)


def test_request_and_reply_sizes_match_the_counter_protocol() -> None:
    call = request_bytes(api.IncrementCounter("0123456789abcdef.7", 2.5, 9200.4))
    assert call == (
        b"POST /v1/count/0123456789abcdef.7?add=2.5&ttl_ms=9200 HTTP/1.1\r\n"
        b"Host: counter\r\nContent-Length: 0\r\n\r\n"
    )
    assert reply_bytes(12.0) == len(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n12")
    assert len(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 22\r\n\r\n") + 22 == REJECTED_REPLY_BYTES


def test_counter_calls_and_bytes_of_eight_gateways_at_half_use_are_bounded() -> None:
    # Two seeds give 0.334 and 0.336 calls and 49.0 bytes per request; a call with its reply has 147 bytes.
    values = run_one("counting.half", 8, 1)
    calls = values["counting.half.calls_per_request"]
    assert 0 < calls <= 0.336 * 1.2
    assert values["counting.half.payload_bytes_per_request"] / calls <= 160
    assert values["counting.half.wire_bytes_per_request"] / calls <= 160 + 2.5 * 52
    assert values["counting.half.beyond_share"] == 0.0
    assert values["counting.half.refused_share"] < 0.002


def test_gateway_keeps_at_most_max_customers() -> None:
    fleet = CountingFleet(dataclasses.replace(HALF, gateways=2, replicas=2, customers=50, max_customers=20))
    fleet.run(10.0)
    assert fleet.figures.requests > 500
    for gateway in fleet.gateways:
        assert len(customer_names(gateway)) <= 20 + len(gateway.open_requests)


def test_customers_probe_reports_memory() -> None:
    values = run_one("counting.customers", 1000, 1)
    assert set(values) == {"counting.customers.memory_mb"}


def test_figures_of_each_probe_start_with_its_name() -> None:
    for probe in counting.PROBES:
        assert all(figure.startswith(f"{probe.name}.") for figure in probe.figures)


def test_counter_calls_and_rejections_of_eight_gateways_at_ninety_percent_use_are_bounded() -> None:
    # This gives 0.643 calls per request, 1.8% of requests rejected, and 0.24% of the units beyond the quota.
    values = run_one("counting.ninety", 8, 1)
    assert 0 < values["counting.ninety.calls_per_request"] <= 0.643 * 1.2
    assert values["counting.ninety.refused_share"] <= 0.03
    assert values["counting.ninety.beyond_share"] <= 0.005


def test_started_gateway_calls_the_counter_at_most_once_per_request() -> None:
    fleet = CountingFleet(dataclasses.replace(HALF, customers=100))
    fleet.run(5.0)
    fleet.start(0)
    fleet.run(1.0)
    started = fleet.gateways[0]
    assert 0 < started.calls <= started.requests
    assert started.rejected == 0


@pytest.mark.parametrize(("requests_per_s", "calls_per_request"), [(2.3, 0.12), (4.14, 0.18)])
def test_counter_calls_of_eight_gateways_with_leases_are_bounded(
    requests_per_s: float, calls_per_request: float
) -> None:
    """The customers use 50% and 90% of a plan whose burst is six seconds of its rate.

    Seeds 1 to 3 give 0.102 to 0.107, and 0.122 to 0.125 calls per request.
    """
    fleet = CountingFleet(CountingScenario(8, 48, 8, requests_per_s, rate=4.6, burst=27.6, seed=1))
    fleet.run(30.0)
    fleet.begin_measuring()
    figures = fleet.run(30.0)
    assert 0 < figures.counter_calls <= calls_per_request * figures.requests
