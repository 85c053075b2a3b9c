"""The process's log: lines to stderr, limited in rate."""

from __future__ import annotations

import logging
import sys
import time

MAX_LOG_LINES_PER_S = 20


class LogRateLimit(logging.Filter):
    """Passes a number of lines a second, and then tells how many were left out.

    A flood of faults so costs neither the disk nor the processor that requests need.
    """

    def __init__(self, max_lines: int = MAX_LOG_LINES_PER_S) -> None:
        super().__init__()
        self._max_lines = max_lines
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
    """Have the root logger write INFO and above to stderr under `name`, at most MAX_LOG_LINES_PER_S."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(logging.Formatter(f"%(asctime)s {name} %(levelname)s %(message)s"))
    handler.addFilter(LogRateLimit())
    logging.basicConfig(level=logging.INFO, handlers=[handler])
