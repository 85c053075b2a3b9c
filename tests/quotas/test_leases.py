"""Leases when gateways stop or lose the counter, clocks differ, and customers or plans change."""

from __future__ import annotations

import json
import math

import pytest
from quotas.gateway_fleet import PLAN, ROUNDING, GatewayFleet, reject_with_reserve, window_start

from hillmux import interface as api
from hillmux.hot_restart.state_codec import export, restore
from hillmux.interface import AttemptResult
from hillmux.quotas import batches, lease, window
from hillmux.quotas.estimate import EVEN_SPLIT_FACTOR

# --- How leases arise ---


def test_rejected_request_keeps_its_place_in_the_queue_and_is_served_without_a_call() -> None:
    fleet = GatewayFleet(3)
    reject_with_reserve(fleet)
    calls = len(fleet.counter_calls(0))
    assert not fleet.send_request(0, after_ms=20.0)  # its turn has not come
    assert fleet.send_request(0, after_ms=600.0)
    assert len(fleet.counter_calls(0)) == calls
    assert fleet.leased_units(0) == 0.0


def test_busy_gateway_prefetches_at_most_its_part_of_what_remains() -> None:
    fleet = GatewayFleet(3)
    prefetched = fleet.prefetch(0)
    assert prefetched <= PLAN.burst / batches.divisor(3)
    calls = len(fleet.counter_calls(0))
    assert fleet.flood(0, times=int(prefetched)) == int(prefetched)
    assert len(fleet.counter_calls(0)) == calls


@pytest.mark.parametrize("others", [0.0, 10.0, 30.0])
def test_request_that_used_less_than_reported_leaves_the_rest_for_the_next(others: float) -> None:
    fleet = GatewayFleet(3)
    fleet.send_request(0)
    fleet.use_elsewhere(others)
    if fleet.send_request(0, units=6.0, actual_units=2.0):
        state = fleet.state(0)
        assert state.used == 3.0
        assert fleet.leased_units(0) <= 4.0 + PLAN.burst / batches.divisor(3)
        assert sum(fleet.totals.values()) == pytest.approx(state.reported + others)


# --- Gateways that stop, restart or lose the counter ---


def test_lease_of_a_killed_gateway_is_unavailable_only_until_it_refills() -> None:
    """The others have fewer units by the lease, only until it refills, and never more than the quota."""
    fleet = GatewayFleet(3)
    fleet.send_request(1)
    prefetched = fleet.prefetch(0)  # and sends no further request
    spent = sum(fleet.units_sent)
    fleet.flood(1, 2)
    assert sum(fleet.units_sent) <= fleet.granted_units() + ROUNDING
    assert sum(fleet.units_sent) - spent >= PLAN.burst - spent - prefetched - 2
    fleet.now += 1000 * (PLAN.burst + prefetched) / PLAN.rate
    assert fleet.flood(1, 2) >= PLAN.burst - 2


def test_restarted_gateway_counts_its_earlier_lease_as_use_by_others() -> None:
    fleet = GatewayFleet(3)
    fleet.send_request(1)
    prefetched = fleet.prefetch(0)
    fleet.gateways[0] = fleet.new_gateway(0)
    fleet.flood(0, times=1)
    state = fleet.state(0)
    assert state.last_total is not None
    assert state.upper_bound <= PLAN.burst - sum(fleet.units_sent) - prefetched + 1 + ROUNDING
    fleet.flood(0, 1, 2)
    max_excess = PLAN.burst / batches.divisor(3)  # by the restarted gateway, after its first total
    assert sum(fleet.units_sent) <= fleet.granted_units() + max_excess


@pytest.mark.parametrize("adds", [False, True])
def test_gateway_with_a_lease_that_loses_the_counter_for_a_minute_stays_within_bounds(adds: bool) -> None:
    fleet = GatewayFleet(3)
    fleet.send_request(1)
    prefetched = fleet.prefetch(0)
    fleet.flood(0, 1, times=3)
    remaining = max(fleet.state(0).remaining, 0.0)
    fleet.failing_calls[0] = (AttemptResult.TIMED_OUT, adds)
    before, started_at = fleet.units_sent[0], fleet.now
    for _ in range(300):
        fleet.send_request(0, after_ms=100.0)
        fleet.send_request(1, after_ms=100.0)
    max_excess = EVEN_SPLIT_FACTOR / 3 * (PLAN.burst + PLAN.rate * (fleet.now - started_at) / 1000)
    assert fleet.units_sent[0] - before <= prefetched + remaining + max_excess
    fleet.failing_calls.clear()
    fleet.wait(2000.0)
    fleet.flood(0, 1)
    recovered_at = fleet.now
    sent = fleet.flood(0, 1, 2)
    assert sent <= PLAN.rate * (fleet.now - recovered_at) / 1000 + 1 + ROUNDING  # within the rate again


# --- Clocks ---


@pytest.mark.parametrize("jump_ms", [500.0, 4000.0, 20_000.0, 3_600_000.0])
def test_clock_jump_does_not_extend_a_lease(jump_ms: float) -> None:
    """No more than the lease is spent because of it, and no lease carries over a skipped window."""
    fleet = GatewayFleet(3)
    reject_with_reserve(fleet)
    fleet.clock_offsets_ms[0] = jump_ms
    # By this clock the refill has arrived, and with totals that old the gateway uses its split of it.
    refilled = min(PLAN.rate * jump_ms / 1000, PLAN.burst)
    fleet.failing_calls[0] = (AttemptResult.TIMED_OUT, False)
    sent = fleet.flood(0, times=30)
    assert sent <= 1 + refilled + PLAN.rate * 0.1
    if jump_ms >= lease.IDLE_TIMEOUT_MS:
        assert fleet.leased_units(0) == 0.0


@pytest.mark.parametrize("off_ms", [-5000.0, 5000.0])
def test_use_beyond_the_quota_is_bounded_when_a_clock_is_five_seconds_off(off_ms: float) -> None:
    """That gateway is alone in its window for 5 s and spends at most what two windows hold."""
    fleet = GatewayFleet(3, into_ms=6000.0)
    fleet.clock_offsets_ms[0] = off_ms
    fleet.gateways[0] = fleet.new_gateway(0)
    for _ in range(300):
        fleet.send_request(0, after_ms=50.0)
        fleet.send_request(1, after_ms=50.0)
        limit = 1 + PLAN.burst / batches.divisor(3)
        assert fleet.leased_units(0) <= limit and fleet.leased_units(1) <= limit
    # At each end of a window, a gateway does not see for 5 s what the other reports in the other window.
    hidden = PLAN.rate * 5.0 + PLAN.burst / batches.divisor(3)
    windows = math.ceil((fleet.now - fleet.started_at) / window.length_ms(PLAN)) + 1
    assert sum(fleet.units_sent) <= fleet.granted_units() + hidden * windows


# --- Customers and plans ---


@pytest.mark.parametrize("gateways", [5, 24])
def test_quota_is_kept_by_more_gateways_than_it_has_units(gateways: int) -> None:
    plan = api.Plan("wide", rate=1.0, burst=3.0)
    fleet = GatewayFleet(gateways, plan)
    for _ in range(20):
        for number in range(gateways):
            fleet.send_request(number, after_ms=10.0)
        # The queue holds at most what refills in `MAX_WAIT_MS` and what is in the token bucket.
        leased = sum(fleet.leased_units(number) for number in range(gateways))
        assert leased <= plan.burst + plan.rate * lease.MAX_WAIT_MS / 1000 + 1
    assert sum(fleet.units_sent) <= fleet.granted_units() + ROUNDING
    assert sum(fleet.units_sent) >= fleet.granted_units() - plan.burst


def test_lease_is_given_back_after_the_customer_moves_to_another_gateway() -> None:
    """The first gateway gives its lease back after `IDLE_TIMEOUT_MS` without a request."""
    fleet = GatewayFleet(3)
    prefetched = fleet.prefetch(0)
    assert fleet.leased_units(0) == prefetched
    fleet.wait(lease.IDLE_TIMEOUT_MS + 300.0)
    assert fleet.leased_units(0) == 0.0
    assert fleet.counter_calls(0)[-1].amount == pytest.approx(-prefetched)
    assert sum(fleet.totals.values()) == pytest.approx(sum(fleet.units_sent))
    spent = sum(fleet.units_sent)
    assert fleet.flood(1) >= PLAN.burst - spent - 1  # no refill is added to a first total
    assert sum(fleet.units_sent) <= fleet.granted_units() + ROUNDING


def test_new_process_with_a_reduced_plan_counts_the_leases_of_old_processes() -> None:
    """With rate and burst reduced alike, windows and names are the same, so the earlier use counts."""
    fleet = GatewayFleet(3)
    fleet.send_request(1)
    fleet.prefetch(0)
    small = api.Plan(PLAN.name, rate=PLAN.rate / 8, burst=PLAN.burst / 8)
    fleet.gateways[2] = fleet.new_gateway(2, small)
    reported = sum(fleet.totals.values())
    assert reported > small.burst
    fleet.flood(2, times=5)
    assert fleet.counter_calls(2)[0].name == fleet.counter_calls(0)[0].name
    assert fleet.units_sent[2] == 0
    assert fleet.leased_units(2) <= 1.0


def test_plan_with_only_its_burst_reduced_counts_under_names_of_its_own() -> None:
    fleet = GatewayFleet(3)
    fleet.prefetch(0)
    small = api.Plan(PLAN.name, rate=PLAN.rate, burst=4.0)
    fleet.gateways[2] = fleet.new_gateway(2, small)
    sent = fleet.flood(2, times=20)
    assert fleet.counter_calls(2)[0].name != fleet.counter_calls(0)[0].name
    assert sent <= small.burst + 1
    assert fleet.leased_units(2) <= 1 + small.burst / batches.divisor(3)


def test_lease_restored_under_a_reduced_plan_sends_at_most_the_new_burst() -> None:
    fleet = GatewayFleet(3)
    fleet.prefetch(0)
    small = api.Plan(PLAN.name, rate=PLAN.rate / 8, burst=PLAN.burst / 8)
    rows = json.loads(json.dumps(list(export(fleet.gateways[0].gateway))))
    successor = fleet.new_gateway(0, small)
    successor.gateway.handle(fleet.now, api.TimerFired("none"))
    restore(successor.gateway, rows)
    fleet.gateways[0] = successor
    state = fleet.state(0)
    fleet.now += 1.0
    assert fleet.flood(0, times=30) <= small.burst + small.rate * 0.1 + 1
    assert lease.level(state, successor.now) <= small.burst


def test_lease_of_an_evicted_customer_is_unavailable_in_the_current_window_only() -> None:
    """Without room for another customer, the evicted one's lease is not given back."""
    fleet = GatewayFleet(3)
    prefetched = fleet.prefetch(0)
    driver = fleet.gateways[0]
    driver.gateway.quotas.registry.max_customers = 1
    driver.request(plan=PLAN.name, customer="another", width=3, after=100.0)
    assert list(driver.gateway.quotas.registry.states) == [("another", PLAN.name)]
    assert sum(fleet.totals.values()) == pytest.approx(sum(fleet.units_sent) + prefetched)
    fleet.now += 100.0
    sent = fleet.flood(1, times=60)
    assert (
        PLAN.burst - fleet.units_sent[0] - prefetched - 1
        <= sent
        <= fleet.granted_units() - fleet.units_sent[0] - prefetched + ROUNDING
    )
    fleet.now = window_start(number=50_001) + 10.0
    fleet.gateways[2] = fleet.new_gateway(2)
    assert fleet.flood(2, times=60) >= PLAN.burst - 1
