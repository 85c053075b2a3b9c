"""A store of units, as quotas and ceilings are defined: what the lab judges by. Free of I/O."""

from __future__ import annotations


class Store:
    """A store of units that starts full and fills at a rate."""

    __slots__ = ("rate", "most", "left", "at")

    def __init__(self, rate: float, most: float, now: float) -> None:
        self.rate, self.most, self.left, self.at = rate, most, most, now

    def fill(self, now: float) -> float:
        """What is in it now."""
        self.left = min(self.most, self.left + (now - self.at) * self.rate / 1000)
        self.at = now
        return self.left
