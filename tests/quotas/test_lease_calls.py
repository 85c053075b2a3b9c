"""Leases when calls to the counter fail."""

from __future__ import annotations

import pytest
from quotas.gateway_fleet import PLAN, ROUNDING, GatewayFleet, reject_with_reserve, window_start

from hillmux import interface as api
from hillmux.interface import AttemptResult

# --- Calls that fail ---


@pytest.mark.parametrize(
    ("result", "adds"),
    [
        (AttemptResult.CONNECTION_LOST, True),
        (AttemptResult.CONNECTION_LOST, False),
        (AttemptResult.TIMED_OUT, True),
        (AttemptResult.TIMED_OUT, False),
        (AttemptResult.MALFORMED_RESPONSE, True),
    ],
)
def test_prefetched_units_of_a_failed_call_are_no_lease_until_a_total_confirms_them(
    result: str, adds: bool
) -> None:
    fleet = GatewayFleet(3)
    fleet.send_request(0)
    fleet.failing_calls[0] = (result, adds)
    for _ in range(12):
        fleet.send_request(0)
        if fleet.state(0).reported > fleet.state(0).used:
            break
    state = fleet.state(0)
    prefetched = state.reported - state.used
    assert prefetched >= 1
    assert fleet.leased_units(0) == 0.0
    fleet.failing_calls.clear()
    state.remaining = state.upper_bound - PLAN.burst  # so that the next request waits for a total
    state.last_total_at = 0.0
    fleet.gateways[0].gateway.quotas.throttle.answer_rate = 1.0
    fleet.send_request(0, after_ms=20.0)
    counted = sum(fleet.totals.values())
    if adds:
        assert counted == pytest.approx(state.reported)
    else:
        assert counted < state.reported or fleet.leased_units(0) == 0.0
        assert fleet.leased_units(0) <= counted


def test_reply_after_the_time_out_does_not_change_the_lease() -> None:
    """The gateway has timed out the call, so the reply to it must be ignored."""
    fleet = GatewayFleet(3)
    fleet.send_request(0)
    fleet.failing_calls[0] = (AttemptResult.TIMED_OUT, True)
    for _ in range(12):
        fleet.send_request(0)
    state, driver = fleet.state(0), fleet.gateways[0]
    assert not state.call_open and fleet.leased_units(0) == 0.0
    late_call = fleet.counter_calls(0)[-1]
    reported = state.reported
    driver.handle(api.CounterReply(late_call.name, AttemptResult.OK, fleet.totals[late_call.name]))
    assert (state.reported, fleet.leased_units(0)) == (reported, 0.0)


@pytest.mark.parametrize("kept", [0.0, 0.5])
def test_lease_is_dropped_when_the_counter_returns_without_its_latest_counts(kept: float) -> None:
    """The counter is empty, or holds an earlier state. The lease ends, and the quota is not granted again."""
    fleet = GatewayFleet(3)
    fleet.send_request(1)
    fleet.prefetch(0)
    before, started_at = sum(fleet.units_sent), fleet.now
    left = fleet.state(0).remaining
    fleet.totals = {name: total * kept for name, total in fleet.totals.items()}
    state = fleet.state(0)
    while fleet.leased_units(0) >= 1:
        fleet.send_request(0)
    fleet.send_request(0)
    while len(fleet.counter_calls(0)) and state.lease_confirmed and state.reported > state.used:
        fleet.send_request(0)
    fleet.flood(0, times=60)
    refill = PLAN.rate * (fleet.now - started_at) / 1000
    assert fleet.leased_units(0) == 0.0
    assert sum(fleet.units_sent) - before <= left + refill + ROUNDING


def return_lease(fleet: GatewayFleet, result: str, adds: bool) -> list[float]:
    """Obtain a lease whose return ends with `result`; return all amounts that were given back."""
    fleet.send_request(1)
    prefetched = fleet.prefetch(0)
    fleet.failing_calls[0] = (result, adds)
    fleet.wait(5500.0)
    fleet.failing_calls.clear()
    fleet.gateways[0].gateway.quotas.throttle.answer_rate = 1.0
    fleet.wait(1500.0)
    returned_units = [-call.amount for call in fleet.counter_calls(0) if call.amount < 0]
    assert returned_units[0] == pytest.approx(prefetched)
    assert fleet.leased_units(0) == 0.0
    return returned_units


def test_lost_lease_return_makes_its_units_unavailable_in_the_current_window_only() -> None:
    lost, added = GatewayFleet(3), GatewayFleet(3)
    (units,) = return_lease(lost, AttemptResult.CONNECTION_LOST, False)
    assert return_lease(added, AttemptResult.OK, True) == [units]
    missing = added.flood(1, 2, times=60) - lost.flood(1, 2, times=60)
    assert 0 < missing <= units + 1
    for fleet in (lost, added):
        assert sum(fleet.units_sent) <= fleet.granted_units() + ROUNDING
        fleet.now = window_start(number=50_001) + 10.0
        fleet.gateways[1] = fleet.new_gateway(1)
        assert fleet.flood(1, times=60) >= PLAN.burst - 1


def test_lease_return_added_before_the_connection_is_lost_is_not_reported_twice() -> None:
    fleet = GatewayFleet(3)
    assert len(return_lease(fleet, AttemptResult.CONNECTION_LOST, True)) == 1
    assert sum(fleet.totals.values()) == pytest.approx(sum(fleet.units_sent))


def test_lease_return_reported_twice_admits_at_most_the_returned_units_again() -> None:
    """A counter that adds a call but replies that it did not violates the protocol; the excess is bounded."""
    fleet = GatewayFleet(3)
    first, *repeated = return_lease(fleet, AttemptResult.QUEUE_FULL, True)
    assert repeated and sum(repeated) <= len(repeated) * first + ROUNDING
    fleet.flood(1, 2, times=60)
    assert sum(fleet.units_sent) <= fleet.granted_units() + sum(repeated) + ROUNDING


def test_use_in_a_call_that_was_not_added_is_reported_in_time() -> None:
    """`covered_at` counts from the last report, and a call that the counter rejected is not a report."""
    plan = api.Plan("wide", rate=10.0, burst=100.0)
    fleet = GatewayFleet(16, plan)
    fleet.send_request(0)
    fleet.failing_calls[0] = (AttemptResult.QUEUE_FULL, False)
    while len(fleet.counter_calls(0)) == 1:
        fleet.send_request(0)
    fleet.failing_calls.clear()
    # As if calls for other customers were answered.
    fleet.gateways[0].gateway.quotas.throttle.answer_rate = 1.0
    state = fleet.state(0)
    assert state.used - state.reported > 10
    fleet.send_request(0)
    assert len(fleet.counter_calls(0)) == 3
    assert state.used - state.reported <= ROUNDING


def test_lease_return_by_another_gateway_is_not_taken_for_lost_counts_if_more_was_used() -> None:
    fleet = GatewayFleet(3)
    reject_with_reserve(fleet)
    leased = fleet.leased_units(0)
    fleet.use_elsewhere(3.0 - 2.0)  # 3 used, 2 given back
    fleet.send_request(0, after_ms=600.0)
    fleet.send_request(0, after_ms=20.0)
    assert leased == 1.0
    assert fleet.state(0).lease_confirmed


def test_lost_report_hidden_by_use_elsewhere_costs_at_most_its_amount() -> None:
    """A total shows that a call is missing only if the others used less since then than its amount."""
    fleet = GatewayFleet(3)
    fleet.send_request(0)
    fleet.failing_calls[0] = (AttemptResult.CONNECTION_LOST, False)
    while len(fleet.counter_calls(0)) == 1:
        fleet.send_request(0)
    lost = fleet.counter_calls(0)[-1].amount
    fleet.failing_calls.clear()
    assert fleet.leased_units(0) == 0.0
    fleet.use_elsewhere(lost + 1)
    fleet.flood(0, times=60)
    assert fleet.leased_units(0) <= lost
    assert sum(fleet.units_sent) + lost + 1 <= fleet.granted_units() + lost + ROUNDING


def test_lease_return_read_by_another_lease_holder_admits_nothing_beyond_the_quota() -> None:
    """The total falls as if the counter had lost counts, so the other lease ends.

    Its units are unavailable in its window.
    """
    fleet = GatewayFleet(3)
    fleet.use_elsewhere(4.0)
    fleet.prefetch(0)
    leased = fleet.leased_units(0)
    fleet.use_elsewhere(-3.0)  # returns a lease that was part of the 4
    while fleet.state(0).lease_confirmed and fleet.leased_units(0) >= 1:
        fleet.send_request(0)
    fleet.flood(0, times=60)
    assert sum(fleet.units_sent) + 1.0 <= fleet.granted_units() + ROUNDING
    assert sum(fleet.units_sent) + 4.0 + leased >= PLAN.burst - 1
