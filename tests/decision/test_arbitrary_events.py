"""Unusual but valid settings and arbitrary events: nothing raises, no request gets two answers."""

from __future__ import annotations

import random

import pytest

from hillmux import Gateway
from hillmux import interface as api
from hillmux.interface import AttemptResult, HostStatus, Idempotency, KeyScope, ListKind

RESULTS = [
    AttemptResult.OK,
    AttemptResult.ERROR,
    AttemptResult.QUEUE_FULL,
    AttemptResult.TIMED_OUT,
    AttemptResult.CONNECT_FAILED,
    AttemptResult.RESET,
    AttemptResult.CANCELLED,
    AttemptResult.NOT_SENT,
]


def arbitrary_settings(rng: random.Random) -> api.Settings:
    classes = tuple(
        api.RequestClass(
            f"c{i}",
            latency_objective_ms=rng.choice([1, 50, 1000]),
            deadline_ms=rng.choice([10, 4000]),
            priority_weight=rng.choice([0, 1, 5]),
            late_priority_weight=rng.choice([0, 0.5]),
            idempotency=rng.choice(list(Idempotency)),
            key_scope=rng.choice(list(KeyScope)),
            idempotency_window_ms=rng.choice([0, 100, 3000]),
            streaming=rng.random() < 0.3,
        )
        for i in range(3)
    )
    plans = tuple(
        api.Plan(
            f"p{i}",
            rate=rng.choice([0, 0.01, 2, 50]),
            burst=rng.choice([0, 1, 6]),
            max_concurrency=rng.choice([0, 2]),
            over_quota_weight=rng.choice([0, 0.5]),
            ceiling_rate=rng.choice([0, 3]),
            ceiling_burst=rng.choice([0, 8]),
        )
        for i in range(3)
    )
    return api.Settings(
        classes=classes,
        plans=plans,
        fleet_size=rng.choice([1, 3, 300]),
        max_attempts=rng.choice([0, 1, 4]),
        hedging_allowed=rng.random() < 0.5,
        cancellation_allowed=rng.random() < 0.5,
        max_retry_after_ms=rng.choice([0, 500]),
        must_subscribe=rng.random() < 0.5,
        counter_available=rng.random() < 0.6,
        clock_resolution_ms=rng.choice([0, 4]),
        slow_start_min_share=rng.choice([0, 0.2, 1]),
        slow_start_ms=rng.choice([0, 9000]),
        overload_multiple=rng.choice([0, 3]),
        overload_after_ms=rng.choice([0, 2000]),
        counter_timeout_ms=30,
    )


def arbitrary_event(
    rng: random.Random,
    step: int,
    now: float,
    request_ids: list[str],
    calls: list[str],
    sends: list[tuple[str, int, str]],
) -> api.Event:
    kind = rng.choice(
        ["list", "request", "request", "request", "outcome", "outcome", "count", "other", "sweep"]
    )
    if kind == "request":
        request_ids.append(f"r{step}")
        return api.Request(
            request_ids[-1],
            rng.choice(["c0", "c1", "c2", "zz"]),
            rng.choice(["p0", "p1", "p2", "zz"]),
            f"k{rng.randrange(6)}",
            rng.choice([-1, 0, 5, 4000]),
            rng.choice([0, 0.5, 1, 4]),
            rng.choice([0, 1, 2, 3, 4, 10**6]),
            rng.choice([-7, 0, 1, 10**6]),
        )
    if kind == "outcome" and sends:
        request_id, attempt, host = rng.choice(sends)
        return api.AttemptEnded(
            request_id,
            rng.choice([attempt, attempt, 9]),
            rng.choice([host, "zz"]),
            rng.choice(RESULTS),
            rng.choice([0, 50, 1e5]),
            rng.random() < 0.3,
            actual_units=rng.choice([0, 3]),
            load_report=rng.choice([{}, {"mean_ms": -1.0}, {"x9": 1e300}]),
        )
    if kind == "list":
        endpoints = [
            api.Endpoint(
                f"h{i}",
                rng.choice("ab"),
                i % 2,
                HostStatus(rng.choice(["up", "up", "draining", "removed"])),
                rng.choice([0, 1, 2]),
                rng.choice([0, now]),
            )
            for i in range(rng.randrange(5))
        ]
        return api.EndpointList(
            rng.choice([ListKind.FULL, ListKind.CACHED, ListKind.CHANGES, ListKind.FAILED]), tuple(endpoints)
        )
    if kind == "count":
        return api.CounterReply(
            rng.choice(calls or ["x"]),
            rng.choice(
                [
                    AttemptResult.OK,
                    AttemptResult.QUEUE_FULL,
                    AttemptResult.TIMED_OUT,
                    AttemptResult.CONNECTION_LOST,
                ]
            ),
            rng.choice([0, 5, -3, 1e9]),
        )
    if kind == "other" and request_ids:
        return rng.choice(
            [
                api.ClientDisconnected(rng.choice(request_ids)),
                api.ResponseStarted(rng.choice(request_ids), 0),
                api.TimerFired("old"),
                api.HealthCheckReply("h0", AttemptResult.OK, 1.0, {"x9": -1.0}),
                api.HealthCheckReply("zz", AttemptResult.TIMED_OUT, 1e9),
                api.GossipMessage(1, b"x"),
                api.GossipMessage(-1, b""),
                api.GossipMessage(10**6, bytes(256)),
            ]
        )
    return api.TimerFired("sweep")


@pytest.mark.parametrize("seed", range(60))
def test_arbitrary_events_raise_nothing_and_no_request_gets_two_answers(seed: int) -> None:
    rng = random.Random(seed)
    gateway, now = Gateway(arbitrary_settings(rng), seed), 1e5
    request_ids: list[str] = []
    calls: list[str] = []
    sends: list[tuple[str, int, str]] = []
    answered: set[str] = set()
    for step in range(300):
        now += rng.expovariate(1 / 20)
        for action in gateway.handle(now, arbitrary_event(rng, step, now, request_ids, calls, sends)):
            if isinstance(action, api.SendAttempt):
                assert action.request_id not in answered
                sends.append(
                    (action.request_id, sum(1 for s in sends if s[0] == action.request_id), action.host)
                )
            elif isinstance(action, api.Reject | api.Fail):
                assert action.request_id not in answered
                answered.add(action.request_id)
            elif isinstance(action, api.IncrementCounter):
                calls.append(action.name)
                assert len(action.name) <= 64
    assert answered
