"""Counter calls of many tenants over the few connections that a process has to an external counter."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from hillmux import interface as api
from hillmux.net.counter_client import HttpCounterClient

ReplyCallback = Callable[[api.CounterReply], None]


class SharedCounter:
    """One counter client for all tenants; routes each reply to the caller."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: tuple[str, int], wait_ms: float) -> None:
        self._client = HttpCounterClient(loop, address, wait_ms, self._on_reply)
        self.waiting: dict[str, deque[ReplyCallback]] = {}  # open calls by full name, oldest first

    def start(self) -> None:
        """Open the connections."""
        self._client.start()

    def stop(self) -> None:
        """Close them."""
        self._client.stop()

    def call(self, action: api.IncrementCounter, on_reply: ReplyCallback) -> None:
        """Make one call under its full name; its reply is passed to `on_reply`.

        A tenant's new module and its old one use the same names; replies to the old one must not reach the
        new.
        """
        self.waiting.setdefault(action.name, deque()).append(on_reply)
        self._client.call(action)

    def _on_reply(self, reply: api.CounterReply) -> None:
        waiting = self.waiting[reply.name]
        on_reply = waiting.popleft()
        if not waiting:
            del self.waiting[reply.name]
        name = reply.name.partition(".")[2]
        on_reply(api.CounterReply(name, reply.result, reply.total, reply.elapsed_ms))


class ScopedCounter:
    """One tenant's view of the shared counter: adds its scope to names in calls; replies omit it."""

    def __init__(self, shared: SharedCounter, scope: str, on_reply: ReplyCallback) -> None:
        self._shared, self._scope, self._callback = shared, scope, on_reply
        self._closed = False

    def call(self, action: api.IncrementCounter) -> None:
        """Make one call under the tenant's scope."""
        self._shared.call(
            api.IncrementCounter(f"{self._scope}.{action.name}", action.amount, action.retention_ms),
            self._on_reply,
        )

    def _on_reply(self, reply: api.CounterReply) -> None:
        if not self._closed:
            self._callback(reply)

    def close(self) -> None:
        """Ignore further replies."""
        self._closed = True
