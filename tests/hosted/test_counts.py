"""The counter that many tenants' modules share: each hears of its own calls."""

from __future__ import annotations

import asyncio

from conftest import on_loop

from hillmux import interface as api
from hillmux.hosted.counts import ScopedCounter, SharedCounter
from hillmux.interface import AttemptResult


def test_two_modules_of_one_tenant_each_hear_of_their_own_call_under_one_name() -> None:
    async def scenario() -> None:
        shared = SharedCounter(asyncio.get_running_loop(), ("127.0.0.1", 9), 100.0)
        made: list[api.IncrementCounter] = []
        shared._client.call = made.append
        heard: dict[str, list[float]] = {"old": [], "new": []}
        old = ScopedCounter(shared, "s", lambda reply: heard["old"].append(reply.total))
        new = ScopedCounter(shared, "s", lambda reply: heard["new"].append(reply.total))
        for counter in (old, new, old):
            counter.call(api.IncrementCounter("n.1", 1.0, 1000))
        assert {act.name for act in made} == {"s.n.1"}
        shared._on_reply(api.CounterReply("s.n.1", AttemptResult.OK, 1.0))
        shared._on_reply(api.CounterReply("s.n.1", AttemptResult.OK, 2.0))
        old.close()
        shared._on_reply(api.CounterReply("s.n.1", AttemptResult.OK, 3.0))
        assert heard == {"old": [1.0], "new": [2.0]}
        assert shared.waiting == {}

    on_loop(scenario)
