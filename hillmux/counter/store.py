"""Named totals that are forgotten after a while.

Without sockets and clocks: the time is passed in, in milliseconds.
"""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass
from typing import Final

MAX_RETENTION_MS: Final = 60_000.0
MAX_NAME_BYTES: Final = 64
MAX_AMOUNT: Final = 1e9  # units
MAX_NAMES: Final = 1_000_000
TOTAL_DIGITS: Final = 9  # after the decimal point at most, and significant ones that are kept at least


class StoreFullError(Exception):
    """There is no room for one more name; nothing was added."""


@dataclass(slots=True)
class _Entry:
    total: float
    ends_at_ms: float


class Store:
    """Totals by name.

    A name is made by its first addition and kept for the retention that this addition gives, however often it
    is added to. After that it is unknown, and the next addition makes it anew from 0.
    """

    def __init__(self, max_names: int = MAX_NAMES) -> None:
        self._max_names = max_names
        self._entries: dict[str, _Entry] = {}
        self._ends: list[tuple[float, str]] = []  # a heap of `ends_at_ms` and name, each name once

    def __len__(self) -> int:
        """Names that are kept, among them those that are over and not swept yet."""
        return len(self._entries)

    def add(self, name: str, amount: float, retention_ms: float, now_ms: float) -> float:
        """Add to a name and return its total.

        Args:
            name: 1 to 64 bytes.
            amount: units, from -1e9 to 1e9.
            retention_ms: of a name that is new, from 1; more than 60,000 counts as 60,000.
            now_ms: a clock that is never set back.

        Raises:
            StoreFullError: the name is new and there is no room for it.
        """
        self.sweep(now_ms)
        entry = self._entries.get(name)
        if entry is None:
            entry = self._new_entry(name, retention_ms, now_ms)
        entry.total += amount
        return entry.total

    def _new_entry(self, name: str, retention_ms: float, now_ms: float) -> _Entry:
        if len(self._entries) >= self._max_names:  # bounds the memory that many names can take
            raise StoreFullError(name)
        ends_at_ms = now_ms + min(max(retention_ms, 1.0), MAX_RETENTION_MS)
        entry = self._entries[name] = _Entry(0.0, ends_at_ms)
        heapq.heappush(self._ends, (ends_at_ms, name))
        return entry

    def sweep(self, now_ms: float) -> None:
        """Forget the names whose retention is over."""
        while self._ends and self._ends[0][0] <= now_ms:
            del self._entries[heapq.heappop(self._ends)[1]]


def format_total(total: float) -> str:
    """A total as a plain decimal with seven digits exact, never with an exponent."""
    if total == 0:
        return "0"
    decimals = max(0, TOTAL_DIGITS - math.floor(math.log10(abs(total))))
    text = f"{total:.{min(decimals, TOTAL_DIGITS)}f}"
    return (text.rstrip("0").rstrip(".") if "." in text else text) or "0"
