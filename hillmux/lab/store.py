"""A store of units, as quotas and ceilings are defined: what the lab judges by. Free of I/O."""

from __future__ import annotations


class TokenBucket:
    """A store of units that starts full and fills at a rate."""

    __slots__ = ("rate", "burst", "available", "at")

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate, self.burst, self.available, self.at = rate, burst, burst, now

    def refill(self, now: float) -> float:
        """What is in it now."""
        self.available = min(self.burst, self.available + (now - self.at) * self.rate / 1000)
        self.at = now
        return self.available
