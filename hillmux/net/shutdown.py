"""Graceful shutdown of a serving process."""

from __future__ import annotations

import asyncio
import logging
from math import inf
from typing import Any, Protocol

from hillmux.net.listener import Listener

ACCEPT_GRACE_S = 0.5  # accept for this long after SIGTERM; new connections still arrive for 0.4 s
MAX_DRAIN_S = 3.0  # the platform sends SIGKILL 0.7 s after the longest deadline, or after this if it is less
FAIL_ALL_GRACE_S = 0.4  # from the end of the drain until all open requests are failed
FLUSH_TIMEOUT_S = 0.2  # for sending these last responses; SIGKILL follows 0.1 s later at the earliest
CHECK_INTERVAL_S = 0.02


class Drainable(Protocol):
    """A holder of open requests that can be shut down gracefully."""

    draining: bool

    def drain(self) -> None:
        """Set `draining`, and return the quota leases."""

    def max_request_time_s(self) -> float:
        """The longest that an open request may still take, in seconds."""

    def loop_lag_ms(self) -> float:
        """How long the event loop was late just now, in milliseconds."""

    def fail_all(self) -> None:
        """Answer all open requests as failed, and reject new ones."""


class Shutdown:
    """Accepts for ACCEPT_GRACE_S more, completes the open requests, then sets `done`."""

    def __init__(
        self,
        gateway: Drainable,
        listener: Listener[Any],
        loop: asyncio.AbstractEventLoop,
        max_drain_s: float = MAX_DRAIN_S,
    ) -> None:
        self._gateway, self._listener, self._loop = gateway, listener, loop
        self._max_drain_s = max_drain_s
        self.done = asyncio.Event()
        self._flush_until = inf  # loop time after which `done` is set even if connections are open

    def begin(self) -> None:
        """Start to drain; does nothing if the gateway is draining already.

        The platform counts from the signal, which may have waited for the loop: the grace for late requests
        is shortened by that wait, but not the time of those that were open.
        """
        if self._gateway.draining:
            return
        logging.info("draining")
        self._gateway.drain()
        drain_s = min(self._gateway.max_request_time_s(), self._max_drain_s)
        self._loop.call_later(ACCEPT_GRACE_S, self.stop_accepting)
        waited_s = min(self._gateway.loop_lag_ms() / 1000, FAIL_ALL_GRACE_S)
        self._loop.call_later(drain_s + FAIL_ALL_GRACE_S - waited_s, self.fail_open_requests)

    def stop_accepting(self) -> None:
        """Stop accepting clients, and wait until all connections are closed.

        A draining gateway closes each connection after its response, so once all connections are closed, all
        requests are answered.
        """
        self._listener.stop_accepting()
        self._check()

    def _check(self) -> None:
        if self._listener.close_idle() or self._loop.time() > self._flush_until:
            self.done.set()
        else:
            self._loop.call_later(CHECK_INTERVAL_S, self._check)

    def fail_open_requests(self) -> None:
        """Answer all open requests as failed, before the platform sends SIGKILL.

        The process then exits when the last client has read its response, or after FLUSH_TIMEOUT_S. An exit
        with unsent responses or unread input would lose responses.
        """
        self._gateway.fail_all()
        self._flush_until = self._loop.time() + FLUSH_TIMEOUT_S
