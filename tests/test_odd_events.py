"""Odd but legal settings and any order of odd events: nothing raises, no request gets two answers."""

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


def odd_settings(r: random.Random) -> api.Settings:
    classes = tuple(
        api.RequestClass(
            f"c{i}",
            latency_objective_ms=r.choice([1, 50, 1000]),
            deadline_ms=r.choice([10, 4000]),
            priority_weight=r.choice([0, 1, 5]),
            late_priority_weight=r.choice([0, 0.5]),
            idempotency=r.choice(list(Idempotency)),
            key_scope=r.choice(list(KeyScope)),
            idempotency_window_ms=r.choice([0, 100, 3000]),
            streaming=r.random() < 0.3,
        )
        for i in range(3)
    )
    plans = tuple(
        api.Plan(
            f"p{i}",
            rate=r.choice([0, 0.01, 2, 50]),
            burst=r.choice([0, 1, 6]),
            max_concurrency=r.choice([0, 2]),
            over_quota_weight=r.choice([0, 0.5]),
            ceiling_rate=r.choice([0, 3]),
            ceiling_burst=r.choice([0, 8]),
        )
        for i in range(3)
    )
    return api.Settings(
        classes=classes,
        plans=plans,
        fleet_size=r.choice([1, 3, 300]),
        max_attempts=r.choice([0, 1, 4]),
        hedging_allowed=r.random() < 0.5,
        cancellation_allowed=r.random() < 0.5,
        max_retry_after_ms=r.choice([0, 500]),
        must_subscribe=r.random() < 0.5,
        counter_available=r.random() < 0.6,
        clock_resolution_ms=r.choice([0, 4]),
        slow_start_min_share=r.choice([0, 0.2, 1]),
        slow_start_ms=r.choice([0, 9000]),
        overload_multiple=r.choice([0, 3]),
        overload_after_ms=r.choice([0, 2000]),
        counter_timeout_ms=30,
    )


def odd_event(
    r: random.Random,
    step: int,
    now: float,
    ids: list[str],
    calls: list[str],
    sends: list[tuple[str, int, str]],
) -> api.Event:
    kind = r.choice(
        ["list", "request", "request", "request", "outcome", "outcome", "count", "other", "sweep"]
    )
    if kind == "request":
        ids.append(f"r{step}")
        return api.Request(
            ids[-1],
            r.choice(["c0", "c1", "c2", "zz"]),
            r.choice(["p0", "p1", "p2", "zz"]),
            f"k{r.randrange(6)}",
            r.choice([-1, 0, 5, 4000]),
            r.choice([0, 0.5, 1, 4]),
            r.choice([0, 1, 2, 3, 4, 10**6]),
            r.choice([-7, 0, 1, 10**6]),
        )
    if kind == "outcome" and sends:
        rid, attempt, host = r.choice(sends)
        return api.AttemptEnded(
            rid,
            r.choice([attempt, attempt, 9]),
            r.choice([host, "zz"]),
            r.choice(RESULTS),
            r.choice([0, 50, 1e5]),
            r.random() < 0.3,
            actual_units=r.choice([0, 3]),
            load_report=r.choice([{}, {"mean_ms": -1.0}, {"x9": 1e300}]),
        )
    if kind == "list":
        servers = [
            api.Endpoint(
                f"h{i}",
                r.choice("ab"),
                i % 2,
                HostStatus(r.choice(["up", "up", "draining", "removed"])),
                r.choice([0, 1, 2]),
                r.choice([0, now]),
            )
            for i in range(r.randrange(5))
        ]
        return api.EndpointList(
            r.choice([ListKind.FULL, ListKind.CACHED, ListKind.CHANGES, ListKind.FAILED]), tuple(servers)
        )
    if kind == "count":
        return api.CounterReply(
            r.choice(calls or ["x"]),
            r.choice(
                [
                    AttemptResult.OK,
                    AttemptResult.QUEUE_FULL,
                    AttemptResult.TIMED_OUT,
                    AttemptResult.CONNECTION_LOST,
                ]
            ),
            r.choice([0, 5, -3, 1e9]),
        )
    if kind == "other" and ids:
        return r.choice(
            [
                api.ClientDisconnected(r.choice(ids)),
                api.ResponseStarted(r.choice(ids), 0),
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
def test_nothing_raises_and_no_answer_comes_twice(seed: int) -> None:
    r = random.Random(seed)
    gateway, now = Gateway(odd_settings(r), seed), 1e5
    ids: list[str] = []
    calls: list[str] = []
    sends: list[tuple[str, int, str]] = []
    answered: set[str] = set()
    for step in range(300):
        now += r.expovariate(1 / 20)
        for act in gateway.handle(now, odd_event(r, step, now, ids, calls, sends)):
            if isinstance(act, api.SendAttempt):
                assert act.request_id not in answered
                sends.append((act.request_id, sum(1 for s in sends if s[0] == act.request_id), act.host))
            elif isinstance(act, api.Reject | api.Fail):
                assert act.request_id not in answered
                answered.add(act.request_id)
            elif isinstance(act, api.IncrementCounter):
                calls.append(act.name)
                assert len(act.name) <= 64
    assert answered
