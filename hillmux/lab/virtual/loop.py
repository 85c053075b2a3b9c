"""Virtual time: what is due next, in an order that depends on nothing but times and the order of asking."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any


class VirtualLoop:
    """Calls what is due, in milliseconds of its own clock; ties go to what was asked for first."""

    def __init__(self, start_ms: float = 0.0) -> None:
        self.now = start_ms
        self.calls = 0
        self._due: list[tuple[float, int, Callable[..., object], tuple[Any, ...]]] = []
        self._serial = 0

    def at(self, when_ms: float, call: Callable[..., object], *args: Any) -> None:
        """Call at a time, or now if that has passed."""
        self._serial += 1
        heappush(self._due, (max(when_ms, self.now), self._serial, call, args))

    def after(self, in_ms: float, call: Callable[..., object], *args: Any) -> None:
        """Call after a time."""
        self.at(self.now + in_ms, call, *args)

    def run(self, until_ms: float) -> None:
        """Go on to a time."""
        due = self._due
        while due and due[0][0] <= until_ms:
            when, _, call, args = heappop(due)
            self.now = when
            self.calls += 1
            call(*args)
        self.now = max(self.now, until_ms)
