"""What became of a tenant's requests: counts, and times in buckets. Bounded, and free of I/O."""

from __future__ import annotations

import math

STEP = 1.1  # each bucket is a tenth wider than the one before: what is read from it is exact to 5%
BUCKETS = 160  # from 0.02 ms to over a minute
FIRST_MS = 0.02


class Times:
    """A histogram of milliseconds."""

    __slots__ = ("counts", "total")

    def __init__(self) -> None:
        self.counts = [0] * BUCKETS
        self.total = 0

    def add(self, ms: float) -> None:
        """Note one."""
        bucket = int(math.log(max(ms, FIRST_MS) / FIRST_MS, STEP))
        self.counts[min(bucket, BUCKETS - 1)] += 1
        self.total += 1

    def quantile(self, part: float) -> float:
        """The time that a part (0 to 1) took at most, in ms; 0 if there was none."""
        wanted, seen = part * self.total, 0
        for i, count in enumerate(self.counts):
            seen += count
            if count and seen >= wanted:
                return float(FIRST_MS * STEP ** (i + 0.5))
        return 0.0


class Stats:
    """One tenant's counts since it was first asked for."""

    __slots__ = ("requests", "served", "failed", "rejected", "refused", "units", "times", "faults", "left")

    def __init__(self) -> None:
        self.requests = 0  # that reached the tenant
        self.served = self.failed = 0
        self.rejected = 0  # no request: bad, or for what is not there
        self.refused: dict[str, int] = {}  # by cause, of which there is a fixed set
        self.units = 0.0  # of first attempts that were sent on
        self.times = Times()  # of what was served, from its last byte to its answer
        self.left = 0  # whose client went away before its answer
        self.faults = 0  # events that the tenant's module broke on

    def refuse(self, cause: str) -> None:
        """Note a refusal."""
        self.refused[cause] = self.refused.get(cause, 0) + 1

    def answered(self) -> int:
        """Requests that had their final answer."""
        return self.served + self.failed + sum(self.refused.values())
