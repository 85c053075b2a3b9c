"""Signals, exit and log of a process that serves."""

from __future__ import annotations

import asyncio
import logging
import sys
import time
from math import inf
from typing import Any, Protocol

from hillmux.net.clients import Listener

ACCEPT_GRACE_S = 0.5  # after SIGTERM, connections still come for 0.4 s
MAX_DRAIN_S = 3.0  # SIGKILL comes 0.7 s after the longest deadline, or this if that is less, at the soonest
FAIL_ALL_GRACE_S = 0.4  # after the longest deadline all that is open is answered as failed
FLUSH_TIMEOUT_S = (
    0.2  # how long these last answers may take to leave; SIGKILL comes 0.1 s after that at the soonest
)
CHECK_INTERVAL_S = 0.02
MAX_LOG_LINES_PER_S = 20


class Drainable(Protocol):
    """What holds requests that are owed an answer."""

    draining: bool

    def drain(self) -> None:
        """Set `draining`, and give back what is reserved elsewhere."""

    def longest_s(self) -> float:
        """The longest that a request may still take, in seconds."""

    def fail_all(self) -> None:
        """Answer all that is open as failed."""


class LogRateLimit(logging.Filter):
    """Guards the log and the CPU: so many lines a second, then a count of those left out."""

    def __init__(self, most: int = MAX_LOG_LINES_PER_S) -> None:
        super().__init__()
        self._max_lines = most
        self._second, self._lines_in_second = 0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether a record may be written; those left out are counted on stderr in a later second."""
        second = int(time.monotonic())
        if second != self._second:
            if self._lines_in_second > self._max_lines:
                sys.stderr.write(f"{self._lines_in_second - self._max_lines} lines left out\n")
            self._second, self._lines_in_second = second, 0
        self._lines_in_second += 1
        return self._lines_in_second <= self._max_lines


def set_up_log(name: str) -> None:
    """Have the root logger write INFO and above to stderr under `name`, at most LINES_PER_S."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(logging.Formatter(f"%(asctime)s {name} %(levelname)s %(message)s"))
    handler.addFilter(LogRateLimit())
    logging.basicConfig(level=logging.INFO, handlers=[handler])


class Shutdown:
    """SIGTERM: accept a little longer, finish what was taken, then end."""

    def __init__(
        self,
        core: Drainable,
        server: Listener[Any],
        loop: asyncio.AbstractEventLoop,
        most_s: float = MAX_DRAIN_S,
    ) -> None:
        self._gateway, self._listener, self._loop, self._max_drain_s = core, server, loop, most_s
        self.done = asyncio.Event()
        self._flush_until = inf

    def begin(self) -> None:
        """The signal."""
        if self._gateway.draining:
            return
        logging.info("draining")
        self._gateway.drain()
        self._loop.call_later(ACCEPT_GRACE_S, self._stop_accepting)
        self._loop.call_later(
            min(self._gateway.longest_s(), self._max_drain_s) + FAIL_ALL_GRACE_S, self._fail_open_requests
        )

    def _stop_accepting(self) -> None:
        self._listener.stop_accepting()
        self._check()

    def _check(self) -> None:
        # An answer closes its connection while we drain, so with the last connection all is answered.
        if self._listener.close_idle() or self._loop.time() > self._flush_until:
            self.done.set()
        else:
            self._loop.call_later(CHECK_INTERVAL_S, self._check)

    def _fail_open_requests(self) -> None:
        # Guards against SIGKILL: what is open then would be lost, an answer now is none too late. The checks
        # go on, so the process ends with the last client that has read its answer, or after FLUSH_S: an exit
        # over answers that have not left, or over unread bytes, would take them along.
        self._gateway.fail_all()
        self._flush_until = self._loop.time() + FLUSH_TIMEOUT_S
