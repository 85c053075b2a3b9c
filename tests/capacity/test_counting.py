"""The engine of many gateways in virtual time, and guards on what sharing quotas costs: counts, not times."""

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


def played(scenario: CountingScenario, seconds: float = 20.0) -> CountingFigures:
    return CountingFleet(scenario).run(seconds)


def customers_known(gateway: CountingGateway) -> set[str]:
    """Names of customers that a gateway's module holds anywhere, whatever its parts are called."""
    found: set[str] = set()
    seen: set[int] = set()
    left: list[object] = [gateway.gateway]
    while left:
        one = left.pop()
        if isinstance(one, str) and one.startswith("customer-"):
            found.add(one)
        if id(one) not in seen and not isinstance(one, type | ModuleType | FunctionType):
            seen.add(id(one))
            left.extend(gc.get_referents(one))
    return found


def test_a_seed_plays_the_same_way_each_time() -> None:
    first, again = played(HALF), played(HALF)
    other = played(dataclasses.replace(HALF, seed=2))
    assert first == again
    assert first != other


def test_every_request_is_sent_or_refused() -> None:
    fleet = CountingFleet(dataclasses.replace(HALF, requests_per_s=16.0))
    figures = fleet.run(10.0)
    still_open = sum(len(gateway.open_requests) for gateway in fleet.gateways)
    assert figures.rejected > 0
    assert 0 <= figures.requests - figures.units_forwarded - figures.rejected <= still_open < 20


def test_the_true_store_of_one_customer_by_hand() -> None:
    # One gateway, a burst of 3 and no refill to speak of: of 5 requests at once 3 are sent, 2 are refused
    # while the true store is empty.
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


def test_units_beyond_the_true_store_are_counted_and_not_owed() -> None:
    # Two gateways that each think that they may send one: the counter answers later than both decide.
    scenario = CountingScenario(
        gateways=2, customers=1, replicas=2, requests_per_s=1e-9, rate=0.001, burst=1, seed=1
    )
    fleet = CountingFleet(scenario)
    customer = fleet.customers[0]
    for _ in range(2):
        customer.quota.available = 0.5  # less than a unit: whatever is sent now is beyond
        fleet.request(customer, 0)
    fleet.run(0.2)
    assert fleet.figures.units_forwarded >= 1
    assert fleet.figures.units_beyond_quota == customer.units_beyond_quota == fleet.figures.units_forwarded
    assert customer.quota.available == pytest.approx(0.5, abs=1e-3)


def test_bytes_are_those_of_the_counters_protocol() -> None:
    call = request_bytes(api.IncrementCounter("0123456789abcdef.7", 2.5, 9200.4))
    assert call == (
        b"POST /v1/count/0123456789abcdef.7?add=2.5&ttl_ms=9200 HTTP/1.1\r\n"
        b"Host: counter\r\nContent-Length: 0\r\n\r\n"
    )
    assert reply_bytes(12.0) == len(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n12")
    assert len(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 22\r\n\r\n") + 22 == REJECTED_REPLY_BYTES


def test_what_eight_gateways_ask_of_the_counter_at_half_use() -> None:
    # Measured: 0.334 and 0.336 calls and 49.0 bytes a request; a call is 147 bytes with its reply.
    values = run_one("counting.half", 8, 1)
    calls = values["counting.half.calls_per_request"]
    assert 0 < calls <= 0.336 * 1.2
    assert values["counting.half.payload_bytes_per_request"] / calls <= 160
    assert values["counting.half.wire_bytes_per_request"] / calls <= 160 + 2.5 * 52
    assert values["counting.half.beyond_share"] == 0.0
    assert values["counting.half.refused_share"] < 0.002


def test_a_gateway_knows_no_more_customers_than_it_may() -> None:
    fleet = CountingFleet(dataclasses.replace(HALF, gateways=2, replicas=2, customers=50, max_customers=20))
    fleet.run(10.0)
    assert fleet.figures.requests > 500
    for gateway in fleet.gateways:
        assert len(customers_known(gateway)) <= 20 + len(gateway.open_requests)


def test_memory_of_a_customer_is_measured() -> None:
    values = run_one("counting.customers", 1000, 1)
    assert set(values) == {"counting.customers.memory_mb"}


def test_each_probe_declares_its_figures_by_its_name() -> None:
    for probe in counting.PROBES:
        assert all(figure.startswith(f"{probe.name}.") for figure in probe.figures)


def test_what_eight_gateways_ask_of_the_counter_at_ninety_per_cent_use() -> None:
    # Measured: 0.643 calls a request, 1.8% refused, 0.24% of the units beyond.
    values = run_one("counting.ninety", 8, 1)
    assert 0 < values["counting.ninety.calls_per_request"] <= 0.643 * 1.2
    assert values["counting.ninety.refused_share"] <= 0.03
    assert values["counting.ninety.beyond_share"] <= 0.005


def test_a_gateway_that_starts_calls_once_a_request_at_most() -> None:
    fleet = CountingFleet(dataclasses.replace(HALF, customers=100))
    fleet.run(5.0)
    fleet.start(0)
    fleet.run(1.0)
    fresh = fleet.gateways[0]
    assert 0 < fresh.calls <= fresh.requests
    assert fresh.rejected == 0


@pytest.mark.parametrize(("asked_per_s", "calls"), [(2.3, 0.12), (4.14, 0.18)])
def test_what_eight_gateways_with_leases_ask_of_the_counter(asked_per_s: float, calls: float) -> None:
    """At half use and at 90 per cent of a plan whose burst is six seconds of its rate.

    Measured for seeds 1 to 3: 0.102 to 0.107, and 0.122 to 0.125 calls a request.
    """
    fleet = CountingFleet(CountingScenario(8, 48, 8, asked_per_s, rate=4.6, burst=27.6, seed=1))
    fleet.run(30.0)
    fleet.begin_measuring()
    figures = fleet.run(30.0)
    assert 0 < figures.counter_calls <= calls * figures.requests
