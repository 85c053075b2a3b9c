"""The process's log: writes to stderr with a rate limit."""

from __future__ import annotations

import logging
import sys
import time

MAX_LOG_LINES_PER_S = 20


class LogRateLimit(logging.Filter):
    """Passes at most a number of lines per second, and reports how many were suppressed.

    Keeps a flood of errors from taking disk space and processor time that requests need.
    """

    def __init__(self, max_lines: int = MAX_LOG_LINES_PER_S) -> None:
        super().__init__()
        self._max_lines = max_lines
        self._second, self._lines_in_second = 0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether a record may be written; the number of suppressed ones is written in a later second."""
        second = int(time.monotonic())
        if second != self._second:
            if self._lines_in_second > self._max_lines:
                sys.stderr.write(f"{self._lines_in_second - self._max_lines} log lines suppressed\n")
            self._second, self._lines_in_second = second, 0
        self._lines_in_second += 1
        return self._lines_in_second <= self._max_lines


def set_up_log(name: str) -> None:
    """Log INFO and above to stderr under `name`, with at most MAX_LOG_LINES_PER_S lines per second."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(logging.Formatter(f"%(asctime)s {name} %(levelname)s %(message)s"))
    handler.addFilter(LogRateLimit())
    logging.basicConfig(level=logging.INFO, handlers=[handler])
