"""Graceful shutdown of a process that serves."""

from __future__ import annotations

import asyncio
import logging
from math import inf
from typing import Any, Protocol

from hillmux.net.listener import Listener

ACCEPT_GRACE_S = 0.5  # after SIGTERM, new connections still arrive for 0.4 s
MAX_DRAIN_S = 3.0  # the platform kills 0.7 s after the longest deadline, or after this if it is less
FAIL_ALL_GRACE_S = 0.4  # after the longest deadline, until all open requests are failed
FLUSH_TIMEOUT_S = 0.2  # for these last answers to leave; the platform kills 0.1 s later at the earliest
CHECK_INTERVAL_S = 0.02


class Drainable(Protocol):
    """What holds open requests."""

    draining: bool

    def drain(self) -> None:
        """Set `draining`, and give back what is reserved elsewhere."""

    def longest_s(self) -> float:
        """The longest that a request may still take, in seconds."""

    def fail_all(self) -> None:
        """Answer all open requests as failed."""


class Shutdown:
    """Accepts a little longer, completes the open requests, then sets `done`."""

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
        self._flush_until = inf  # the loop's time

    def begin(self) -> None:
        """Start to drain; further signals change nothing."""
        if self._gateway.draining:
            return
        logging.info("draining")
        self._gateway.drain()
        drain_s = min(self._gateway.longest_s(), self._max_drain_s)
        self._loop.call_later(ACCEPT_GRACE_S, self.stop_accepting)
        self._loop.call_later(drain_s + FAIL_ALL_GRACE_S, self.fail_open_requests)

    def stop_accepting(self) -> None:
        """Accept no more clients, and wait until all connections are closed.

        While the gateway drains an answer closes its connection, so with the last one all is answered.
        """
        self._listener.stop_accepting()
        self._check()

    def _check(self) -> None:
        if self._listener.close_idle() or self._loop.time() > self._flush_until:
            self.done.set()
        else:
            self._loop.call_later(CHECK_INTERVAL_S, self._check)

    def fail_open_requests(self) -> None:
        """Answer all that is still open as failed, before the platform kills the process.

        The process then ends with the last client that has read its answer, or after FLUSH_TIMEOUT_S: an exit
        over answers that have not left, or over unread input, would lose them.
        """
        self._gateway.fail_all()
        self._flush_until = self._loop.time() + FLUSH_TIMEOUT_S
