"""Hard cases of leases: gateways, clocks and customers."""

from __future__ import annotations

import json
import math

import pytest
from quotas.gateway_fleet import PLAN, ROUNDING, GatewayFleet, line_up, window_start

from hillmux import interface as api
from hillmux.hot_restart.state_codec import export, restore
from hillmux.interface import AttemptResult
from hillmux.quotas import batches, lease, window
from hillmux.quotas.estimate import EVEN_SPLIT_FACTOR

# --- Where leases come from ---


def test_rejected_request_keeps_its_place_in_line_and_is_served_without_a_call() -> None:
    fleet = GatewayFleet(3)
    line_up(fleet)
    calls = len(fleet.calls(0))
    assert not fleet.ask(0, after=20.0)  # its turn has not come
    assert fleet.ask(0, after=600.0)
    assert len(fleet.calls(0)) == calls
    assert fleet.lease(0) == 0.0


def test_busy_gateway_draws_ahead_no_more_than_its_part_of_what_remains() -> None:
    fleet = GatewayFleet(3)
    drawn = fleet.draw(0)
    assert drawn <= PLAN.burst / batches.divisor(3)
    calls = len(fleet.calls(0))
    assert fleet.flood(0, times=int(drawn)) == int(drawn)
    assert len(fleet.calls(0)) == calls


@pytest.mark.parametrize("others", [0.0, 10.0, 30.0])
def test_a_request_that_took_less_than_reported_leaves_the_rest_for_the_next(others: float) -> None:
    fleet = GatewayFleet(3)
    fleet.ask(0)
    fleet.use_elsewhere(others)
    if fleet.ask(0, units=6.0, true_units=2.0):
        state = fleet.state(0)
        assert state.used == 3.0
        assert fleet.lease(0) <= 4.0 + PLAN.burst / batches.divisor(3)
        assert sum(fleet.totals.values()) == pytest.approx(state.reported + others)


# --- Gateways that end, or are alone ---


def test_a_gateway_dies_with_a_lease() -> None:
    """The others have less by the lease, for no longer than it takes to refill, and never more."""
    fleet = GatewayFleet(3)
    fleet.ask(1)
    drawn = fleet.draw(0)  # and asks no more
    spent = sum(fleet.sent)
    fleet.flood(1, 2)
    assert sum(fleet.sent) <= fleet.quota() + ROUNDING
    assert sum(fleet.sent) - spent >= PLAN.burst - spent - drawn - 2
    fleet.now += 1000 * (PLAN.burst + drawn) / PLAN.rate
    assert fleet.flood(1, 2) >= PLAN.burst - 2


def test_a_gateway_restarts_from_nothing_and_its_lease_is_the_use_of_another() -> None:
    fleet = GatewayFleet(3)
    fleet.ask(1)
    drawn = fleet.draw(0)
    fleet.gateways[0] = fleet.fresh(0)
    fleet.flood(0, times=1)
    state = fleet.state(0)
    assert state.last_total is not None
    assert state.upper_bound <= PLAN.burst - sum(fleet.sent) - drawn + 1 + ROUNDING
    fleet.flood(0, 1, 2)
    blind = PLAN.burst / batches.divisor(3)  # of the new life, after its first total
    assert sum(fleet.sent) <= fleet.quota() + blind


@pytest.mark.parametrize("adds", [False, True])
def test_a_gateway_is_cut_off_with_a_lease_for_a_minute(adds: bool) -> None:
    fleet = GatewayFleet(3)
    fleet.ask(1)
    drawn = fleet.draw(0)
    fleet.flood(0, 1, times=3)
    remaining = max(fleet.state(0).remaining, 0.0)
    fleet.failing[0] = (AttemptResult.TIMED_OUT, adds)
    before, began = fleet.sent[0], fleet.now
    for _ in range(300):
        fleet.ask(0, after=100.0)
        fleet.ask(1, after=100.0)
    blind = EVEN_SPLIT_FACTOR / 3 * (PLAN.burst + PLAN.rate * (fleet.now - began) / 1000)
    assert fleet.sent[0] - before <= drawn + remaining + blind
    fleet.failing.clear()
    fleet.wait(2000.0)
    fleet.flood(0, 1)
    after = fleet.now
    more = fleet.flood(0, 1, 2)
    assert more <= PLAN.rate * (fleet.now - after) / 1000 + 1 + ROUNDING  # within the rate again


# --- Clocks ---


@pytest.mark.parametrize("jump_ms", [500.0, 4000.0, 20_000.0, 3_600_000.0])
def test_a_clock_jumps_under_a_lease(jump_ms: float) -> None:
    """No more than the lease is spent on its account; a window that was skipped keeps none."""
    fleet = GatewayFleet(3)
    line_up(fleet)
    fleet.off[0] = jump_ms
    # By its clock the refill came in, and it has its split of it where totals are that old.
    refilled = min(PLAN.rate * jump_ms / 1000, PLAN.burst)
    fleet.failing[0] = (AttemptResult.TIMED_OUT, False)
    sent = fleet.flood(0, times=30)
    assert sent <= 1 + refilled + PLAN.rate * 0.1
    if jump_ms >= lease.IDLE_TIMEOUT_MS:
        assert fleet.lease(0) == 0.0


@pytest.mark.parametrize("off_ms", [-5000.0, 5000.0])
def test_a_clock_is_five_seconds_off_and_its_leases_are_counted_in_its_own_windows(off_ms: float) -> None:
    """It is alone in its window for five seconds, and spends there what two windows hold at most."""
    fleet = GatewayFleet(3, into_ms=6000.0)
    fleet.off[0] = off_ms
    fleet.gateways[0] = fleet.fresh(0)
    for _ in range(300):
        fleet.ask(0, after=50.0)
        fleet.ask(1, after=50.0)
        limit = 1 + PLAN.burst / batches.divisor(3)
        assert fleet.lease(0) <= limit and fleet.lease(1) <= limit
    # Each end of a window hides from a gateway what the other reports in the other window for 5 s.
    hidden = PLAN.rate * 5.0 + PLAN.burst / batches.divisor(3)
    windows = math.ceil((fleet.now - fleet.began) / window.length_ms(PLAN)) + 1
    assert sum(fleet.sent) <= fleet.quota() + hidden * windows


# --- Who is served ---


@pytest.mark.parametrize("gateways", [5, 24])
def test_more_gateways_than_units(gateways: int) -> None:
    plan = api.Plan("wide", rate=1.0, burst=3.0)
    fleet = GatewayFleet(gateways, plan)
    for _ in range(20):
        for number in range(gateways):
            fleet.ask(number, after=10.0)
        # In line stands no more than what refills in `MAX_WAIT_MS`, and what is in the store.
        held = sum(fleet.lease(number) for number in range(gateways))
        assert held <= plan.burst + plan.rate * lease.MAX_WAIT_MS / 1000 + 1
    assert sum(fleet.sent) <= fleet.quota() + ROUNDING
    assert sum(fleet.sent) >= fleet.quota() - plan.burst


def test_one_customer_is_seen_by_one_gateway_then_by_another() -> None:
    """What the first holds is given back once the customer was not seen there for a while."""
    fleet = GatewayFleet(3)
    drawn = fleet.draw(0)
    assert fleet.lease(0) == drawn
    fleet.wait(lease.IDLE_TIMEOUT_MS + 300.0)
    assert fleet.lease(0) == 0.0
    assert fleet.calls(0)[-1].amount == pytest.approx(-drawn)
    assert sum(fleet.totals.values()) == pytest.approx(sum(fleet.sent))
    spent = sum(fleet.sent)
    assert fleet.flood(1) >= PLAN.burst - spent - 1  # a first total is lent no refill
    assert sum(fleet.sent) <= fleet.quota() + ROUNDING


def test_a_plan_cut_below_what_is_drawn_in_a_new_process_beside_old_ones() -> None:
    """Rate and burst cut alike: the windows and names are the same, and the old ones' use counts."""
    fleet = GatewayFleet(3)
    fleet.ask(1)
    fleet.draw(0)
    small = api.Plan(PLAN.name, rate=PLAN.rate / 8, burst=PLAN.burst / 8)
    fleet.gateways[2] = fleet.fresh(2, small)
    drawn_or_used = sum(fleet.totals.values())
    assert drawn_or_used > small.burst
    fleet.flood(2, times=5)
    assert fleet.calls(2)[0].name == fleet.calls(0)[0].name
    assert fleet.sent[2] == 0
    assert fleet.lease(2) <= 1.0


def test_a_plan_cut_in_its_burst_alone_counts_under_names_of_its_own() -> None:
    fleet = GatewayFleet(3)
    fleet.draw(0)
    small = api.Plan(PLAN.name, rate=PLAN.rate, burst=4.0)
    fleet.gateways[2] = fleet.fresh(2, small)
    sent = fleet.flood(2, times=20)
    assert fleet.calls(2)[0].name != fleet.calls(0)[0].name
    assert sent <= small.burst + 1
    assert fleet.lease(2) <= 1 + small.burst / batches.divisor(3)


def test_a_lease_restored_under_a_plan_cut_below_it_sends_no_more_than_the_new_burst() -> None:
    fleet = GatewayFleet(3)
    fleet.draw(0)
    small = api.Plan(PLAN.name, rate=PLAN.rate / 8, burst=PLAN.burst / 8)
    rows = json.loads(json.dumps(list(export(fleet.gateways[0].gateway))))
    successor = fleet.fresh(0, small)
    successor.gateway.handle(fleet.now, api.TimerFired("none"))
    restore(successor.gateway, rows)
    fleet.gateways[0] = successor
    state = fleet.state(0)
    fleet.now += 1.0
    assert fleet.flood(0, times=30) <= small.burst + small.rate * 0.1 + 1
    assert lease.level(state, successor.now) <= small.burst


def test_a_lease_whose_customer_is_forgotten_early_is_out_of_use_for_its_window_and_no_longer() -> None:
    """Where there is no room to know one more customer, the one that goes takes its lease along."""
    fleet = GatewayFleet(3)
    drawn = fleet.draw(0)
    driver = fleet.gateways[0]
    driver.gateway.quotas.registry.max_customers = 1
    driver.request(plan=PLAN.name, customer="another", width=3, after=100.0)
    assert list(driver.gateway.quotas.registry.states) == [("another", PLAN.name)]
    assert sum(fleet.totals.values()) == pytest.approx(sum(fleet.sent) + drawn)
    fleet.now += 100.0
    sent = fleet.flood(1, times=60)
    assert PLAN.burst - fleet.sent[0] - drawn - 1 <= sent <= fleet.quota() - fleet.sent[0] - drawn + ROUNDING
    fleet.now = window_start(number=50_001) + 10.0
    fleet.gateways[2] = fleet.fresh(2)
    assert fleet.flood(2, times=60) >= PLAN.burst - 1
