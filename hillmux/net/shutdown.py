"""Signals, exit and log of a process that serves."""

from __future__ import annotations

import asyncio
import logging
import sys
import time
from math import inf
from typing import Any, Protocol

from hillmux.net.clients import Server

ACCEPT_S = 0.5  # after SIGTERM, connections still come for 0.4 s
LONGEST_S = 3.0  # SIGKILL comes 0.7 s after the longest deadline, or this if that is less, at the soonest
LAST_S = 0.4  # after the longest deadline all that is open is answered as failed
FLUSH_S = 0.2  # how long these last answers may take to leave; SIGKILL comes 0.1 s after that at the soonest
CHECK_S = 0.02
LINES_PER_S = 20


class Drainable(Protocol):
    """What holds requests that are owed an answer."""

    draining: bool

    def drain(self) -> None:
        """Set `draining`, and give back what is reserved elsewhere."""

    def longest_s(self) -> float:
        """The longest that a request may still take, in seconds."""

    def fail_all(self) -> None:
        """Answer all that is open as failed."""


class RateLimit(logging.Filter):
    """Guards the log and the CPU: so many lines a second, then a count of those left out."""

    def __init__(self, most: int = LINES_PER_S) -> None:
        super().__init__()
        self._most = most
        self._second, self._lines = 0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether a record may be written; those left out are counted on stderr in a later second."""
        second = int(time.monotonic())
        if second != self._second:
            if self._lines > self._most:
                sys.stderr.write(f"{self._lines - self._most} lines left out\n")
            self._second, self._lines = second, 0
        self._lines += 1
        return self._lines <= self._most


def set_up_log(name: str) -> None:
    """Have the root logger write INFO and above to stderr under `name`, at most LINES_PER_S."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(logging.Formatter(f"%(asctime)s {name} %(levelname)s %(message)s"))
    handler.addFilter(RateLimit())
    logging.basicConfig(level=logging.INFO, handlers=[handler])


class Shutdown:
    """SIGTERM: accept a little longer, finish what was taken, then end."""

    def __init__(
        self, core: Drainable, server: Server[Any], loop: asyncio.AbstractEventLoop, most_s: float = LONGEST_S
    ) -> None:
        self._core, self._server, self._loop, self._most_s = core, server, loop, most_s
        self.done = asyncio.Event()
        self._ends_at = inf

    def begin(self) -> None:
        """The signal."""
        if self._core.draining:
            return
        logging.info("draining")
        self._core.drain()
        self._loop.call_later(ACCEPT_S, self._stop_accepting)
        self._loop.call_later(min(self._core.longest_s(), self._most_s) + LAST_S, self._end)

    def _stop_accepting(self) -> None:
        self._server.stop_accepting()
        self._check()

    def _check(self) -> None:
        # An answer closes its connection while we drain, so with the last connection all is answered.
        if self._server.close_idle() or self._loop.time() > self._ends_at:
            self.done.set()
        else:
            self._loop.call_later(CHECK_S, self._check)

    def _end(self) -> None:
        # Guards against SIGKILL: what is open then would be lost, an answer now is none too late. The checks
        # go on, so the process ends with the last client that has read its answer, or after FLUSH_S: an exit
        # over answers that have not left, or over unread bytes, would take them along.
        self._core.fail_all()
        self._ends_at = self._loop.time() + FLUSH_S
