"""Event loop in virtual time. The order of calls depends only on their times and the order of scheduling."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any


class VirtualLoop:
    """Runs scheduled calls in order of time, and calls of the same time in order of scheduling.

    Attributes:
        now: Virtual time in milliseconds.
        calls: Number of calls made.
    """

    def __init__(self, start_ms: float = 0.0) -> None:
        self.now = start_ms
        self.calls = 0
        self._due: list[tuple[float, int, Callable[..., object], tuple[Any, ...]]] = []
        self._scheduled = 0

    def at(self, when_ms: float, call: Callable[..., object], *args: Any) -> None:
        """Schedule a call at a time, or immediately if that time has passed."""
        self._scheduled += 1
        heappush(self._due, (max(when_ms, self.now), self._scheduled, call, args))

    def after(self, in_ms: float, call: Callable[..., object], *args: Any) -> None:
        """Schedule a call after `in_ms` milliseconds."""
        self.at(self.now + in_ms, call, *args)

    def run(self, until_ms: float) -> None:
        """Make all calls that are due until a time, and advance the clock to it."""
        due = self._due
        while due and due[0][0] <= until_ms:
            when, _, call, args = heappop(due)
            self.now = when
            self.calls += 1
            call(*args)
        self.now = max(self.now, until_ms)
