"""Leases with units that are known only at the end, infrequent customers and ceilings; use between calls."""

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

# --- Units that are known only at the end of a request (`Billed-Units`) ---


def test_units_that_a_request_did_not_use_are_spent_by_the_next_without_a_call() -> None:
    fleet = GatewayFleet(3)
    fleet.use_elsewhere(10.0)
    fleet.send_request(0)
    state = fleet.state(0)
    state.remaining = -1.0  # so that the next request waits for a total
    state.last_total_at = 0.0
    assert fleet.send_request(0, units=6.0, actual_units=2.0, after_ms=20.0)
    leased = fleet.leased_units(0)
    assert leased >= 4.0
    calls = len(fleet.counter_calls(0))
    assert fleet.flood(0, times=4) == 4
    assert len(fleet.counter_calls(0)) == calls


def test_billed_units_above_the_requested_use_up_the_lease_and_the_rest_is_reported() -> None:
    fleet = GatewayFleet(3)
    prefetched = fleet.prefetch(0)
    billed = math.ceil(prefetched) + 3.0
    fleet.send_request(0, units=1.0, actual_units=billed)
    assert fleet.leased_units(0) <= PLAN.burst / batches.divisor(3)
    state = fleet.state(0)
    assert state.used == sum(fleet.units_sent)
    fleet.flood(0, times=60)
    assert (
        sum(fleet.totals.values())
        >= sum(fleet.units_sent) - max(state.remaining, 0.0) / batches.divisor(3) - 1
    )


@pytest.mark.parametrize("seed", range(12))
def test_quota_is_kept_with_leases_and_billed_units_of_any_size(seed: int) -> None:
    """Billed units of three gateways exceed the quota by at most a batch and a request per gateway."""
    draw = random.Random(seed)
    fleet = GatewayFleet(3)
    largest = 4.0
    for _ in range(200):
        requested, billed = draw.choice([1.0, 2.0, largest]), draw.choice([0.0, 0.5, 1.0, 3.0, largest])
        fleet.send_request(
            draw.randrange(3), units=requested, actual_units=billed, after_ms=draw.expovariate(1 / 40)
        )
        for number in range(3):
            if (NAME, PLAN.name) in fleet.gateways[number].gateway.quotas.registry.states:
                assert fleet.leased_units(number) <= 3 * largest + PLAN.burst / batches.divisor(3)
    # Each gateway may have admitted one batch before a total, and its last request may be billed more.
    max_excess = 3 * (PLAN.burst / batches.divisor(3) + largest)
    assert sum(fleet.units_sent) <= fleet.granted_units() + max_excess


# --- Cost of leases ---


# Replicas, rate, burst, and the counter calls for 30 requests, one every 10 s, of the version before leases
# (d31f922).
CALLS_BEFORE_LEASES = (
    (3, 2.0, 24.0, 4),
    (3, 2.0, 6.0, 15),
    (3, 1.0, 2.0, 30),
    (3, 8.0, 40.0, 3),
    (8, 2.0, 24.0, 10),
    (8, 2.0, 6.0, 30),
    (8, 1.0, 2.0, 30),
    (8, 8.0, 40.0, 6),
)


@pytest.mark.parametrize(("replicas", "rate", "burst", "calls"), CALLS_BEFORE_LEASES)
def test_infrequent_customer_needs_no_more_calls_than_without_leases_and_keeps_no_lease(
    replicas: int, rate: float, burst: float, calls: int
) -> None:
    fleet = GatewayFleet(replicas, api.Plan("wide", rate=rate, burst=burst))
    for _ in range(30):
        assert fleet.send_request(0)
        assert fleet.leased_units(0) == 0.0
        fleet.wait(9999.0)
    assert len(fleet.counter_calls(0)) <= calls


def test_reserve_of_a_rejected_infrequent_customer_is_given_back_at_once() -> None:
    fleet = GatewayFleet(3)
    fleet.use_elsewhere(PLAN.burst + 5)
    assert not fleet.send_request(0)
    assert [call.amount for call in fleet.counter_calls(0)] == [1.0, -1.0]
    assert fleet.leased_units(0) == 0.0


def test_expired_customer_leaves_no_state_and_no_leased_units() -> None:
    fleet = GatewayFleet(3)
    fleet.prefetch(0)
    fleet.wait(130_000.0)
    quotas = fleet.gateways[0].gateway.quotas
    assert not quotas.registry.states and not quotas.registry.sweep_queue and not quotas.open_calls
    assert sum(fleet.totals.values()) == pytest.approx(sum(fleet.units_sent))


def test_quota_state_has_no_instance_dict() -> None:
    assert not hasattr(QuotaState((NAME, PLAN.name), PLAN, 3, 0.0, 0.0), "__dict__")


@pytest.mark.parametrize("seed", range(20))
def test_gateway_sends_at_most_its_lease_its_share_and_one_batch_between_calls(seed: int) -> None:
    draw = random.Random(seed)
    gateways = draw.choice([3, 8, 16])
    plan = api.Plan("wide", rate=draw.uniform(1.0, 8.0), burst=draw.uniform(8.0, 60.0))
    fleet = GatewayFleet(gateways, plan)
    fleet.send_request(0)
    calls, leased, sent, start = len(fleet.counter_calls(0)), fleet.leased_units(0), 0.0, fleet.now
    max_remaining = max(fleet.state(0).remaining, 0.0)
    window_number = fleet.state(0).window
    for _ in range(400):
        if draw.random() < 0.3:
            fleet.use_elsewhere(1.0)
        served = fleet.send_request(0, after_ms=draw.expovariate(1 / draw.choice([5.0, 100.0])))
        state = fleet.state(0)
        if len(fleet.counter_calls(0)) != calls or state.window != window_number:
            calls, leased, sent, start = len(fleet.counter_calls(0)), fleet.leased_units(0), 0.0, fleet.now
            max_remaining, window_number = max(state.remaining, 0.0), state.window
            continue
        sent += served
        share = state.share_rate * (fleet.now - start)
        max_remaining += plan.rate / 1000 * (fleet.now - start)
        assert sent <= leased + share + min(max_remaining, plan.burst) / state.batch_divisor + 1


def test_leases_do_not_affect_ceilings(monkeypatch: pytest.MonkeyPatch) -> None:
    """The same units of the ceiling remain, and the same requests are rejected, with and without leases."""

    def ceiling_decisions() -> tuple[list[float], list[str]]:
        fleet = GatewayFleet(3, CAPPED)
        left = []
        for i in range(120):
            fleet.send_request(0, after_ms=5.0 if i % 2 else 90.0)
            left.append(fleet.state(0).ceiling_remaining)
        reasons = [act.reason for _, act in fleet.gateways[0].log if isinstance(act, api.Reject)]
        return left, reasons

    with_leases = ceiling_decisions()
    monkeypatch.setattr(lease, "prefetch_units", lambda *args: 0.0)
    monkeypatch.setattr(lease, "surplus", lambda state, now: max(state.reported - state.used, 0.0))
    assert ceiling_decisions() == with_leases
    assert RejectReason.CEILING in with_leases[1]
