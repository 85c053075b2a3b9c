"""The counter shared by the tenants' modules: each reply reaches the module that made the call."""

from __future__ import annotations

import asyncio

from conftest import on_loop

from hillmux import interface as api
from hillmux.hosted.counts import ScopedCounter, SharedCounter
from hillmux.interface import AttemptResult


def test_replies_reach_the_module_that_made_the_call_when_names_are_equal() -> None:
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
