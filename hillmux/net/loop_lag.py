"""Measures how far the event loop runs behind, by a periodic timer."""

from __future__ import annotations

import asyncio
import time
from typing import Final

HEARTBEAT_INTERVAL_S: Final = 0.05
MIN_STALL_MS: Final = 5.0  # a heartbeat that is later than this counts as a stall
CLEAR_DELAY_S: Final = 0.001  # data read in the turn after a stall was delayed by it, too


class LoopLagMonitor:
    """A heartbeat on one event loop, shared by all gateways on that loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._last_stall_ms = 0.0
        self.longest_stall_ms = 0.0  # since the start
        self._next_heartbeat_at = time.monotonic() + HEARTBEAT_INTERVAL_S
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start the heartbeat."""
        self._next_heartbeat_at = time.monotonic() + HEARTBEAT_INTERVAL_S
        self._timer = self._loop.call_later(HEARTBEAT_INTERVAL_S, self.heartbeat)

    def stop(self) -> None:
        """Stop the heartbeat."""
        if self._timer is not None:
            self._timer.cancel()

    def heartbeat(self) -> None:
        """Measure the lag, and schedule the next heartbeat."""
        now = time.monotonic()
        late_ms = (now - self._next_heartbeat_at) * 1000
        if late_ms > MIN_STALL_MS:
            self._last_stall_ms = late_ms
            self.longest_stall_ms = max(self.longest_stall_ms, late_ms)
            self._loop.call_later(CLEAR_DELAY_S, self._clear_stall)
        self._next_heartbeat_at = now + HEARTBEAT_INTERVAL_S
        self._timer = self._loop.call_later(HEARTBEAT_INTERVAL_S, self.heartbeat)

    def _clear_stall(self) -> None:
        self._last_stall_ms = 0.0

    def lag_ms(self, now: float) -> float:
        """How long data read at `now` (by `time.monotonic`) may have waited for the loop, in milliseconds.

        A loop that was stopped while polling reads sockets before it fires timers. So an overdue heartbeat
        counts as a stall even before it fires.
        """
        late_ms = (now - self._next_heartbeat_at) * 1000
        return late_ms if late_ms > MIN_STALL_MS else self._last_stall_ms
