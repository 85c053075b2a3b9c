"""Counts of reasons and failure lines of the log, which show afterwards why requests failed."""

from __future__ import annotations

import os
import resource
import time
from enum import StrEnum
from typing import Final

MAX_FAILURE_LINES_PER_S: Final = 8  # leaves lines of the process's log to other events
STATM_PATH: Final = "/proc/self/statm"
KIB: Final = 1024


class CloseReason(StrEnum):
    """Why a client connection was closed."""

    CLIENT = "client"  # the client closed or reset it
    IDLE = "idle"
    DRAINING = "draining"
    EVICTED = "evicted"  # another client needed its descriptor or its memory
    REJECTED = "rejected"  # its input was rejected
    REQUEST_TIMEOUT = "request_timeout"
    UNREAD_RESPONSE = "unread_response"  # the client did not read its last response in time
    EXCESS_INPUT = "excess_input"  # too much input after the last response
    RESPONSE_ABORTED = "response_aborted"  # a streamed response could not be completed
    LAST_RESPONSE = "last_response"  # the response was the last one of the connection
    MEMORY = "memory"  # the memory for clients is exhausted
    MIGRATED = "migrated"  # passed on to the successor process


class ReasonCounts:
    """Events since the start of the process, by reason."""

    def __init__(self) -> None:
        self.by_reason: dict[str, int] = {}

    def count(self, reason: str) -> None:
        """Count one event."""
        self.by_reason[reason] = self.by_reason.get(reason, 0) + 1


class FailureLog:
    """Limits the log lines about single requests; the lines beyond the limit are counted."""

    def __init__(self, max_lines_per_s: int = MAX_FAILURE_LINES_PER_S) -> None:
        self._max_lines = max_lines_per_s
        self._second, self._lines = 0, 0
        self.suppressed = 0  # lines that were not written

    def may_write(self) -> bool:
        """Whether a line may be written now; it is counted either way."""
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._lines = second, 0
        self._lines += 1
        if self._lines <= self._max_lines:
            return True
        self.suppressed += 1
        return False


def resident_bytes() -> int:
    """The resident size of this process in bytes (proc(5), statm); its peak where the system has no /proc."""
    try:
        with open(STATM_PATH, "rb") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
    except (OSError, ValueError, IndexError):
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * KIB
