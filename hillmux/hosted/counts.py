"""Counter calls of many tenants over the few connections that one process has to a counter outside it."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from hillmux import interface as api
from hillmux.net.counter_client import HttpCounterClient

Replied = Callable[[api.CounterReply], None]


class SharedCounter:
    """One client for all; each reply goes to who made the call."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: tuple[str, int], wait_ms: float) -> None:
        self._client = HttpCounterClient(loop, address, wait_ms, self._replied)
        self.waiting: dict[str, deque[Replied]] = {}  # by full name, the call made first first

    def start(self) -> None:
        """Open the connections."""
        self._client.start()

    def stop(self) -> None:
        """Close them."""
        self._client.stop()

    def call(self, act: api.IncrementCounter, replied: Replied) -> None:
        """Make one call under its full name; its reply goes to whoever made it.

        Guards a tenant's new module against replies to the old one's calls, which have the same names.
        """
        self.waiting.setdefault(act.name, deque()).append(replied)
        self._client.call(act)

    def _replied(self, reply: api.CounterReply) -> None:
        waiting = self.waiting[reply.name]
        replied = waiting.popleft()
        if not waiting:
            del self.waiting[reply.name]
        name = reply.name.partition(".")[2]
        replied(api.CounterReply(name, reply.result, reply.total, reply.elapsed_ms))


class ScopedCounter:
    """One tenant's way to the shared counter: names get its scope in front, and lose it on the way back."""

    def __init__(self, shared: SharedCounter, scope: str, replied: Replied) -> None:
        self._shared, self._scope, self._replied = shared, scope, replied
        self._closed = False

    def call(self, act: api.IncrementCounter) -> None:
        """Make one call."""
        self._shared.call(
            api.IncrementCounter(f"{self._scope}.{act.name}", act.amount, act.retention_ms), self._hear
        )

    def _hear(self, reply: api.CounterReply) -> None:
        if not self._closed:
            self._replied(reply)

    def close(self) -> None:
        """Hear of no reply any more."""
        self._closed = True
