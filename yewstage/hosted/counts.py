"""Counter calls of many tenants over the few connections that one process has to a counter outside it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from yewstage import interface as api
from yewstage.net.counter import Counter

Replied = Callable[[api.CountReply], None]


class SharedCounter:
    """One client for all; each reply goes to the tenant whose scope stands before the name."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: tuple[str, int], wait_ms: float) -> None:
        self._client = Counter(loop, address, wait_ms, self._replied)
        self._scopes: dict[str, Replied] = {}

    def start(self) -> None:
        """Open the connections."""
        self._client.start()

    def stop(self) -> None:
        """Close them."""
        self._client.stop()

    def scope(self, scope: str, replied: Replied) -> None:
        """Whom the replies to a scope's calls go to from now on."""
        self._scopes[scope] = replied

    def unscope(self, scope: str, replied: Replied) -> None:
        """A tenant that hears of no reply any more, unless another core has its scope by now."""
        if self._scopes.get(scope) == replied:
            del self._scopes[scope]

    def call(self, act: api.Count) -> None:
        """Make one call under its full name."""
        self._client.call(act)

    def _replied(self, reply: api.CountReply) -> None:
        scope, _, name = reply.name.partition(".")
        replied = self._scopes.get(scope)
        if replied is not None:
            replied(api.CountReply(name, reply.result, reply.total, reply.took_ms))


class ScopedCounter:
    """One tenant's way to the shared counter: names get its scope in front, and lose it on the way back."""

    def __init__(self, shared: SharedCounter, scope: str, replied: Replied) -> None:
        self._shared, self._scope, self._replied = shared, scope, replied
        shared.scope(scope, replied)

    def call(self, act: api.Count) -> None:
        """Make one call."""
        self._shared.call(api.Count(f"{self._scope}.{act.name}", act.amount, act.keep_ms))

    def close(self) -> None:
        """Hear of no reply any more."""
        self._shared.unscope(self._scope, self._replied)
