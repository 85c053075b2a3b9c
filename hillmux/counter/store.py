"""Named totals that end with their life. No socket, no clock: times are handed in, in milliseconds."""

from __future__ import annotations

import heapq
import math

LONGEST_LIFE_MS = 60_000.0
LONGEST_NAME = 64  # bytes
MOST_AMOUNT = 1e9
MOST_NAMES = 1_000_000


class TurnedAwayError(Exception):
    """There is no room for one more name; nothing was added."""


class Store:
    """Totals by name.

    A name is made by its first add and lives for the time that this add gives, however often it is added to;
    after that it is unknown, and the next add makes it anew from 0.
    """

    def __init__(self, most: int = MOST_NAMES) -> None:
        self._most = most
        self._totals: dict[str, list[float]] = {}  # name: total, end of its life
        self._ends: list[tuple[float, str]] = []  # a heap; each name stands in it once

    def __len__(self) -> int:
        """Names held, those whose life is over and not yet swept among them."""
        return len(self._totals)

    def add(self, name: str, amount: float, life_ms: float, now_ms: float) -> float:
        """Add to a name and return its total.

        Args:
            name: 1 to 64 bytes.
            amount: units, from -1e9 to 1e9.
            life_ms: of a name that is new, from 1; more than 60,000 counts as 60,000.
            now_ms: a clock that is never set back.

        Raises:
            TurnedAwayError: the name is new and there is no room for it.
        """
        self.sweep(now_ms)
        entry = self._totals.get(name)
        if entry is None:
            if len(self._totals) >= self._most:  # guards the memory against a flood of names
                raise TurnedAwayError(name)
            end = now_ms + min(max(life_ms, 1.0), LONGEST_LIFE_MS)
            entry = self._totals[name] = [0.0, end]
            heapq.heappush(self._ends, (end, name))
        entry[0] += amount
        return entry[0]

    def sweep(self, now_ms: float) -> None:
        """Forget the names whose life is over."""
        while self._ends and self._ends[0][0] <= now_ms:
            del self._totals[heapq.heappop(self._ends)[1]]


def total_text(total: float) -> str:
    """A total as a plain decimal with seven digits exact, never in exponent form."""
    if total == 0:
        return "0"
    places = max(0, 9 - math.floor(math.log10(abs(total))))
    text = f"{total:.{min(places, 9)}f}"
    return (text.rstrip("0").rstrip(".") if "." in text else text) or "0"
