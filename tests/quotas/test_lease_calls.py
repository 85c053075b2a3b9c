"""Hard cases of leases: calls to the counter that fail."""

from __future__ import annotations

import pytest
from quotas.gateway_fleet import PLAN, ROUNDING, GatewayFleet, line_up, window_start

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
def test_a_draw_whose_call_was_cut_added_or_not_is_no_lease_until_a_total_holds_it(
    result: str, adds: bool
) -> None:
    fleet = GatewayFleet(3)
    fleet.ask(0)
    fleet.failing[0] = (result, adds)
    for _ in range(12):
        fleet.ask(0)
        if fleet.state(0).reported > fleet.state(0).used:
            break
    state = fleet.state(0)
    drawn = state.reported - state.used
    assert drawn >= 1
    assert fleet.lease(0) == 0.0
    fleet.failing.clear()
    state.remaining = state.upper_bound - PLAN.burst  # the next request asks
    state.last_total_at = 0.0
    fleet.gateways[0].gateway.quotas.throttle.answer_rate = 1.0
    fleet.ask(0, after=20.0)
    counted = sum(fleet.totals.values())
    if adds:
        assert counted == pytest.approx(state.reported)
    else:
        assert counted < state.reported or fleet.lease(0) == 0.0
        assert fleet.lease(0) <= counted


def test_a_draw_whose_answer_is_late_is_not_spent_twice() -> None:
    """The reply comes after the gateway has given the call up: nobody waits for it any more."""
    fleet = GatewayFleet(3)
    fleet.ask(0)
    fleet.failing[0] = (AttemptResult.TIMED_OUT, True)
    for _ in range(12):
        fleet.ask(0)
    state, driver = fleet.state(0), fleet.gateways[0]
    assert not state.call_open and fleet.lease(0) == 0.0
    late = fleet.calls(0)[-1]
    reported = state.reported
    driver.handle(api.CounterReply(late.name, AttemptResult.OK, fleet.totals[late.name]))
    assert (state.reported, fleet.lease(0)) == (reported, 0.0)


@pytest.mark.parametrize("kept", [0.0, 0.5])
def test_a_draw_answered_by_a_counter_that_came_back_empty_or_old_ends_the_lease(kept: float) -> None:
    """Empty, or with what it held some seconds ago: no lease holds, and the quota does not open anew."""
    fleet = GatewayFleet(3)
    fleet.ask(1)
    fleet.draw(0)
    before, began = sum(fleet.sent), fleet.now
    left = fleet.state(0).remaining
    fleet.totals = {name: total * kept for name, total in fleet.totals.items()}
    state = fleet.state(0)
    while fleet.lease(0) >= 1:
        fleet.ask(0)
    fleet.ask(0)
    while len(fleet.calls(0)) and state.lease_confirmed and state.reported > state.used:
        fleet.ask(0)
    fleet.flood(0, times=60)
    refill = PLAN.rate * (fleet.now - began) / 1000
    assert fleet.lease(0) == 0.0
    assert sum(fleet.sent) - before <= left + refill + ROUNDING


def given_back(fleet: GatewayFleet, result: str, adds: bool) -> list[float]:
    """A lease is drawn and its give-back ends so; the amounts that were told."""
    fleet.ask(1)
    drawn = fleet.draw(0)
    fleet.failing[0] = (result, adds)
    fleet.wait(5500.0)
    fleet.failing.clear()
    fleet.gateways[0].gateway.quotas.throttle.answer_rate = 1.0
    fleet.wait(1500.0)
    told = [-call.amount for call in fleet.calls(0) if call.amount < 0]
    assert told[0] == pytest.approx(drawn)
    assert fleet.lease(0) == 0.0
    return told


def test_a_give_back_that_is_lost_is_out_of_use_for_its_window_and_no_longer() -> None:
    lost, added = GatewayFleet(3), GatewayFleet(3)
    (units,) = given_back(lost, AttemptResult.CONNECTION_LOST, False)
    assert given_back(added, AttemptResult.OK, True) == [units]
    missing = added.flood(1, 2, times=60) - lost.flood(1, 2, times=60)
    assert 0 < missing <= units + 1
    for fleet in (lost, added):
        assert sum(fleet.sent) <= fleet.quota() + ROUNDING
        fleet.now = window_start(number=50_001) + 10.0
        fleet.gateways[1] = fleet.fresh(1)
        assert fleet.flood(1, times=60) >= PLAN.burst - 1


def test_give_back_whose_call_was_cut_after_it_was_added_is_not_reported_twice() -> None:
    fleet = GatewayFleet(3)
    assert len(given_back(fleet, AttemptResult.CONNECTION_LOST, True)) == 1
    assert sum(fleet.totals.values()) == pytest.approx(sum(fleet.sent))


def test_give_back_that_is_reported_twice_admits_no_more_than_was_given() -> None:
    """A counter that adds and says that it did not: the protocol's fault, and its price."""
    fleet = GatewayFleet(3)
    first, *again = given_back(fleet, AttemptResult.QUEUE_FULL, True)
    assert again and sum(again) <= len(again) * first + ROUNDING
    fleet.flood(1, 2, times=60)
    assert sum(fleet.sent) <= fleet.quota() + sum(again) + ROUNDING


def test_a_call_that_was_not_added_is_still_to_be_reported_in_time() -> None:
    """`covered_at` counts from the last report; a call that the counter refused was none."""
    plan = api.Plan("wide", rate=10.0, burst=100.0)
    fleet = GatewayFleet(16, plan)
    fleet.ask(0)
    fleet.failing[0] = (AttemptResult.QUEUE_FULL, False)
    while len(fleet.calls(0)) == 1:
        fleet.ask(0)
    fleet.failing.clear()
    fleet.gateways[0].gateway.quotas.throttle.answer_rate = 1.0  # calls of other customers are answered
    state = fleet.state(0)
    assert state.used - state.reported > 10
    fleet.ask(0)
    assert len(fleet.calls(0)) == 3
    assert state.used - state.reported <= ROUNDING


def test_a_give_back_of_another_is_no_lost_counter_where_more_was_used_since() -> None:
    fleet = GatewayFleet(3)
    line_up(fleet)
    held = fleet.lease(0)
    fleet.use_elsewhere(3.0 - 2.0)  # 3 used, 2 given back
    fleet.ask(0, after=600.0)
    fleet.ask(0, after=20.0)
    assert held == 1.0
    assert fleet.state(0).lease_confirmed


def test_a_draw_that_was_not_added_and_is_hidden_by_the_others_use_costs_no_more_than_its_amount() -> None:
    """A total tells that a call is missing only while the others used less since: else it seems added."""
    fleet = GatewayFleet(3)
    fleet.ask(0)
    fleet.failing[0] = (AttemptResult.CONNECTION_LOST, False)
    while len(fleet.calls(0)) == 1:
        fleet.ask(0)
    lost = fleet.calls(0)[-1].amount
    fleet.failing.clear()
    assert fleet.lease(0) == 0.0
    fleet.use_elsewhere(lost + 1)
    fleet.flood(0, times=60)
    assert fleet.lease(0) <= lost
    assert sum(fleet.sent) + lost + 1 <= fleet.quota() + lost + ROUNDING


def test_a_give_back_that_is_read_by_the_holder_of_another_lease_lets_nothing_in_beyond() -> None:
    """The total falls, as if the counter had lost counts: the other lease ends, out of use for its window."""
    fleet = GatewayFleet(3)
    fleet.use_elsewhere(4.0)
    fleet.draw(0)
    held = fleet.lease(0)
    fleet.use_elsewhere(-3.0)  # of a lease among the 4
    while fleet.state(0).lease_confirmed and fleet.lease(0) >= 1:
        fleet.ask(0)
    fleet.flood(0, times=60)
    assert sum(fleet.sent) + 1.0 <= fleet.quota() + ROUNDING
    assert sum(fleet.sent) + 4.0 + held >= PLAN.burst - 1
