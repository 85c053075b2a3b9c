"""Leases against units that are settled late, quiet customers, ceilings and the blind share."""

from __future__ import annotations

import math
import random

import pytest
from conftest import CAPPED
from quotas.gateway_fleet import NAME, PLAN, GatewayFleet

from hillmux import interface as api
from hillmux.interface import RejectReason
from hillmux.quotas import batches, lease
from hillmux.quotas.state import QuotaState

# --- Units that are known at the end (`Billed-Units`) ---


def test_settled_units_smaller_than_asked_are_spent_by_the_next_without_a_call() -> None:
    fleet = GatewayFleet(3)
    fleet.use_elsewhere(10.0)
    fleet.ask(0)
    state = fleet.state(0)
    state.remaining = -1.0  # the next one asks
    state.last_total_at = 0.0
    assert fleet.ask(0, units=6.0, true_units=2.0, after=20.0)
    held = fleet.lease(0)
    assert held >= 4.0
    calls = len(fleet.calls(0))
    assert fleet.flood(0, times=4) == 4
    assert len(fleet.calls(0)) == calls


def test_settled_units_larger_than_asked_use_up_the_lease_and_the_rest_is_reported() -> None:
    fleet = GatewayFleet(3)
    drawn = fleet.draw(0)
    over = math.ceil(drawn) + 3.0
    fleet.ask(0, units=1.0, true_units=over)
    assert fleet.lease(0) <= PLAN.burst / batches.divisor(3)
    state = fleet.state(0)
    assert state.used == sum(fleet.sent)
    fleet.flood(0, times=60)
    assert sum(fleet.totals.values()) >= sum(fleet.sent) - max(state.remaining, 0.0) / batches.divisor(3) - 1


@pytest.mark.parametrize("seed", range(12))
def test_settled_units_and_leases_keep_the_quota(seed: int) -> None:
    """Of any size asked and taken: what three gateways are billed is what was reported, but for a batch."""
    draw = random.Random(seed)
    fleet = GatewayFleet(3)
    largest = 4.0
    for _ in range(200):
        asked, taken = draw.choice([1.0, 2.0, largest]), draw.choice([0.0, 0.5, 1.0, 3.0, largest])
        fleet.ask(draw.randrange(3), units=asked, true_units=taken, after=draw.expovariate(1 / 40))
        for number in range(3):
            if (NAME, PLAN.name) in fleet.gateways[number].gateway.quotas.registry.states:
                assert fleet.lease(number) <= 3 * largest + PLAN.burst / batches.divisor(3)
    # Each gateway may have let in one batch blind, and the last of a gateway's requests may take more.
    blind = 3 * (PLAN.burst / batches.divisor(3) + largest)
    assert sum(fleet.sent) <= fleet.quota() + blind


# --- What leases cost ---


# Calls for 30 requests, one in 10 s, as the program before leases made them (d31f922): replicas, rate, burst.
BEFORE = (
    (3, 2.0, 24.0, 4),
    (3, 2.0, 6.0, 15),
    (3, 1.0, 2.0, 30),
    (3, 8.0, 40.0, 3),
    (8, 2.0, 24.0, 10),
    (8, 2.0, 6.0, 30),
    (8, 1.0, 2.0, 30),
    (8, 8.0, 40.0, 6),
)


@pytest.mark.parametrize(("replicas", "rate", "burst", "calls"), BEFORE)
def test_a_quiet_customer_pays_nothing_for_leases_and_keeps_none(
    replicas: int, rate: float, burst: float, calls: int
) -> None:
    fleet = GatewayFleet(replicas, api.Plan("wide", rate=rate, burst=burst))
    for _ in range(30):
        assert fleet.ask(0)
        assert fleet.lease(0) == 0.0
        fleet.wait(9999.0)
    assert len(fleet.calls(0)) <= calls


def test_a_quiet_customer_that_was_refused_gives_its_reserve_back_at_once() -> None:
    fleet = GatewayFleet(3)
    fleet.use_elsewhere(PLAN.burst + 5)
    assert not fleet.ask(0)
    assert [call.amount for call in fleet.calls(0)] == [1.0, -1.0]
    assert fleet.lease(0) == 0.0


def test_leases_of_customers_that_are_forgotten_leave_nothing_behind() -> None:
    fleet = GatewayFleet(3)
    fleet.draw(0)
    fleet.wait(130_000.0)
    quotas = fleet.gateways[0].gateway.quotas
    assert not quotas.registry.states and not quotas.registry.sweep_queue and not quotas.open_calls
    assert sum(fleet.totals.values()) == pytest.approx(sum(fleet.sent))


def test_a_state_has_its_slots_and_no_more() -> None:
    assert not hasattr(QuotaState((NAME, PLAN.name), PLAN, 3, 0.0, 0.0), "__dict__")


@pytest.mark.parametrize("seed", range(20))
def test_no_gateway_sends_without_a_call_more_than_its_lease_its_share_and_its_blind_part(seed: int) -> None:
    draw = random.Random(seed)
    gateways = draw.choice([3, 8, 16])
    plan = api.Plan("wide", rate=draw.uniform(1.0, 8.0), burst=draw.uniform(8.0, 60.0))
    fleet = GatewayFleet(gateways, plan)
    fleet.ask(0)
    calls, held, sent, at = len(fleet.calls(0)), fleet.lease(0), 0.0, fleet.now
    most = max(fleet.state(0).remaining, 0.0)
    number = fleet.state(0).window
    for _ in range(400):
        if draw.random() < 0.3:
            fleet.use_elsewhere(1.0)
        served = fleet.ask(0, after=draw.expovariate(1 / draw.choice([5.0, 100.0])))
        state = fleet.state(0)
        if len(fleet.calls(0)) != calls or state.window != number:
            calls, held, sent, at = len(fleet.calls(0)), fleet.lease(0), 0.0, fleet.now
            most, number = max(state.remaining, 0.0), state.window
            continue
        sent += served
        share = state.share_rate * (fleet.now - at)
        most += plan.rate / 1000 * (fleet.now - at)
        assert sent <= held + share + min(most, plan.burst) / state.batch_divisor + 1


def test_ceilings_are_untouched_by_leases(monkeypatch: pytest.MonkeyPatch) -> None:
    """A customer with a ceiling: the same part is left, and the same refused, with and without leases."""

    def ceiling_decisions() -> tuple[list[float], list[str]]:
        fleet = GatewayFleet(3, CAPPED)
        left = []
        for i in range(120):
            fleet.ask(0, after=5.0 if i % 2 else 90.0)
            left.append(fleet.state(0).ceiling_remaining)
        causes = [act.reason for _, act in fleet.gateways[0].log if isinstance(act, api.Reject)]
        return left, causes

    with_leases = ceiling_decisions()
    monkeypatch.setattr(lease, "prefetch_units", lambda *args: 0.0)
    monkeypatch.setattr(lease, "surplus", lambda state, now: max(state.reported - state.used, 0.0))
    assert ceiling_decisions() == with_leases
    assert RejectReason.CEILING in with_leases[1]
