"""A ceiling holds over all gateways of a customer, despite lost counter replies and restarts."""

from __future__ import annotations

import random

import pytest
from conftest import Driver, of_type, settings

from hillmux import interface as api
from hillmux.interface import AttemptResult


@pytest.mark.parametrize("seed", range(10))
def test_gateways_together_stay_under_the_ceiling(seed: int) -> None:
    """With late, lost and wrong totals and restarts, the ceiling's remaining units never fall below 0."""
    rng = random.Random(seed)
    plan = settings().plans[1]
    now, remaining, refilled_at, sends = 5e5, plan.ceiling_burst, 5e5, 0
    units_of: dict[str, int] = {}
    gateways = [Driver(now=now, seed=i, gateway_index=i) for i in range(3)]

    def handle_actions(d: Driver, out: list[api.Action]) -> None:
        nonlocal remaining, refilled_at, sends
        for action in of_type(out, api.SendAttempt):
            remaining = min(plan.ceiling_burst, remaining + (now - refilled_at) * plan.ceiling_rate / 1000)
            refilled_at = now
            remaining -= units_of[action.request_id]
            sends += 1
            assert remaining >= -1e-6
            handle_actions(
                d, d.handle(api.AttemptEnded(action.request_id, 0, action.host, AttemptResult.OK, 50, True))
            )
        for action in of_type(out, api.IncrementCounter):
            result = rng.choice([AttemptResult.OK, AttemptResult.TIMED_OUT, AttemptResult.QUEUE_FULL])
            handle_actions(
                d, d.handle(api.CounterReply(action.name, result, rng.choice([action.amount, 0.0, 50.0])))
            )

    for step in range(3000):
        now += rng.expovariate(1 / 10)
        if rng.random() < 0.002:
            i = rng.randrange(3)
            gateways[i] = Driver(now=now, seed=step, gateway_index=i)
        d = gateways[rng.choice([0, 0, 1, 2]) if step % 1000 < 700 else 2]
        d.now, d.serial = now, step
        units_of[f"r{step + 1}"] = units = rng.choice([1, 1, 2])
        handle_actions(d, d.request(plan="capped", units=units)[1])
        handle_actions(d, d.handle(api.TimerFired("sweep")))
    assert sends > 100


def test_replicas_in_a_large_fleet_stay_under_the_ceiling_with_restarts() -> None:
    rng = random.Random(4)
    plan = settings().plans[1]
    now, remaining, refilled_at, sends = 5e5, plan.ceiling_burst, 5e5, 0
    gateways = [Driver(now=now, seed=i, gateway_index=i, fleet_size=300, servers=2) for i in range(10)]
    for step in range(4000):
        now += rng.expovariate(1 / 5)
        i = rng.randrange(10)
        if rng.random() < 0.01:
            gateways[i] = Driver(now=now, seed=step, gateway_index=i, fleet_size=300, servers=2)
        d = gateways[i]
        d.now, d.serial = now, step
        request_id, out = d.request(plan="capped", width=10)
        for action in of_type(out, api.IncrementCounter):
            result = rng.choice([AttemptResult.OK, AttemptResult.TIMED_OUT])
            out = out + d.handle(api.CounterReply(action.name, result, rng.choice([0.0, 90.0])))
        for _ in of_type(out, api.SendAttempt):
            remaining = (
                min(plan.ceiling_burst, remaining + (now - refilled_at) * plan.ceiling_rate / 1000) - 1
            )
            refilled_at, sends = now, sends + 1
            assert remaining >= -1e-6
        if request_id in d.gateway.pending:
            d.end(request_id)
    assert sends > 50
