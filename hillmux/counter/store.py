"""Named totals that expire after a retention time.

Performs no I/O and reads no clock: the time is passed in, in milliseconds.
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
# Digits of a formatted total: at most so many after the decimal point, at least so many significant ones.
TOTAL_DIGITS: Final = 9


class StoreFullError(Exception):
    """The store has no room for another name; nothing was added."""


@dataclass(slots=True)
class _Entry:
    total: float
    expires_at_ms: float


class Store:
    """Totals by name.

    The first addition to a name creates it and sets its retention; later additions do not extend it. When the
    retention is over the name expires, and the next addition creates it again, starting at 0.
    """

    def __init__(self, max_names: int = MAX_NAMES) -> None:
        self._max_names = max_names
        self._entries: dict[str, _Entry] = {}
        self._expiry_heap: list[tuple[float, str]] = []  # heap of `expires_at_ms` and name; each name once

    def __len__(self) -> int:
        """Return the number of names kept, including expired ones that were not swept yet."""
        return len(self._entries)

    def add(self, name: str, amount: float, retention_ms: float, now_ms: float) -> float:
        """Add to a name and return its total.

        Args:
            name: 1 to 64 bytes.
            amount: units, from -1e9 to 1e9.
            retention_ms: retention of a new name, from 1; more than 60,000 counts as 60,000.
            now_ms: time of a monotonic clock.

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
        if len(self._entries) >= self._max_names:  # bounds the memory of the names
            raise StoreFullError(name)
        expires_at_ms = now_ms + min(max(retention_ms, 1.0), MAX_RETENTION_MS)
        entry = self._entries[name] = _Entry(0.0, expires_at_ms)
        heapq.heappush(self._expiry_heap, (expires_at_ms, name))
        return entry

    def sweep(self, now_ms: float) -> None:
        """Remove expired names."""
        while self._expiry_heap and self._expiry_heap[0][0] <= now_ms:
            del self._entries[heapq.heappop(self._expiry_heap)[1]]


def format_total(total: float) -> str:
    """Format a total as a plain decimal, exact to seven digits, never with an exponent."""
    if total == 0:
        return "0"
    decimals = max(0, TOTAL_DIGITS - math.floor(math.log10(abs(total))))
    text = f"{total:.{min(decimals, TOTAL_DIGITS)}f}"
    return (text.rstrip("0").rstrip(".") if "." in text else text) or "0"
