"""Token bucket by which the lab judges quotas and ceilings. Free of I/O."""

from __future__ import annotations


class TokenBucket:
    """Token bucket that starts full.

    Attributes:
        rate: refill, in units a second.
        burst: capacity, in units.
        available: units in the bucket at the time `at`; negative after an overdraft.
        at: time in ms of the last refill.
    """

    __slots__ = ("rate", "burst", "available", "at")

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate, self.burst, self.available, self.at = rate, burst, burst, now

    def refill(self, now: float) -> float:
        """Refill up to `now`, in ms, and return the available units."""
        self.available = min(self.burst, self.available + (now - self.at) * self.rate / 1000)
        self.at = now
        return self.available
