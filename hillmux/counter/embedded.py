"""The counter inside the gateway's process: the meaning that it has over a socket, and no call is lost."""

from __future__ import annotations

from collections.abc import Callable

from hillmux import interface as api
from hillmux.counter.store import LONGEST_NAME, Store, TurnedAwayError
from hillmux.interface import AttemptResult


class EmbeddedCounter:
    """Answers each call at once."""

    def __init__(
        self, store: Store, now_ms: Callable[[], float], replied: Callable[[api.CounterReply], None]
    ) -> None:
        self._store, self._now_ms, self._replied = store, now_ms, replied
        self._closed = False

    def call(self, act: api.IncrementCounter) -> None:
        """Add, and tell the total; `full` if the store has no room for the name."""
        if self._closed:
            return
        if not 0 < len(act.name.encode()) <= LONGEST_NAME:
            raise ValueError(f"name: found {act.name!r}, expected 1 to {LONGEST_NAME} bytes")
        try:
            total = self._store.add(act.name, act.amount, act.retention_ms, self._now_ms())
        except TurnedAwayError:
            self._replied(api.CounterReply(act.name, AttemptResult.QUEUE_FULL, 0.0))
        else:
            self._replied(api.CounterReply(act.name, AttemptResult.OK, total))

    def close(self) -> None:
        """Answer no call any more: who asked is gone."""
        self._closed = True
