"""The counter in the gateway's process: calls have the same effect as over a socket, and none is lost."""

from __future__ import annotations

from collections.abc import Callable

from hillmux import interface as api
from hillmux.counter.store import MAX_NAME_BYTES, Store, StoreFullError
from hillmux.interface import AttemptResult


class EmbeddedCounter:
    """Answers each call immediately until it is closed."""

    def __init__(
        self, store: Store, now_ms: Callable[[], float], on_reply: Callable[[api.CounterReply], None]
    ) -> None:
        """`now_ms` reads a monotonic clock; `on_reply` is called with the reply to each call."""
        self._store, self._now_ms, self._on_reply = store, now_ms, on_reply
        self._closed = False

    def call(self, action: api.IncrementCounter) -> None:
        """Add to a name and reply with its total, or with `QUEUE_FULL` if the store has no room for it.

        Raises:
            ValueError: the name is empty or longer than `MAX_NAME_BYTES`.
        """
        if self._closed:
            return
        if not 0 < len(action.name.encode()) <= MAX_NAME_BYTES:
            raise ValueError(f"name: found {action.name!r}, expected 1 to {MAX_NAME_BYTES} bytes")
        try:
            total = self._store.add(action.name, action.amount, action.retention_ms, self._now_ms())
        except StoreFullError:
            self._on_reply(api.CounterReply(action.name, AttemptResult.QUEUE_FULL, 0.0))
        else:
            self._on_reply(api.CounterReply(action.name, AttemptResult.OK, total))

    def close(self) -> None:
        """Ignore all further calls, as their caller has stopped."""
        self._closed = True
