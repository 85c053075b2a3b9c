"""Statistics of a tenant's requests: counts by outcome, and a latency histogram. Bounded, and free of I/O."""

from __future__ import annotations

import math

STEP = 1.1  # ratio of the widths of adjacent buckets: quantiles are accurate to 5%
BUCKETS = 160  # cover 0.02 ms to over a minute
FIRST_MS = 0.02


class LatencyHistogram:
    """A histogram of latencies in milliseconds."""

    __slots__ = ("counts", "total")

    def __init__(self) -> None:
        self.counts = [0] * BUCKETS
        self.total = 0

    def add(self, ms: float) -> None:
        """Add one latency."""
        bucket = int(math.log(max(ms, FIRST_MS) / FIRST_MS, STEP))
        self.counts[min(bucket, BUCKETS - 1)] += 1
        self.total += 1

    def quantile(self, part: float) -> float:
        """The latency in ms that a part (0 to 1) of all did not exceed; 0 if there are none."""
        target, seen = part * self.total, 0
        for i, count in enumerate(self.counts):
            seen += count
            if count and seen >= target:
                return float(FIRST_MS * STEP ** (i + 0.5))
        return 0.0


class Stats:
    """One tenant's statistics since its first request."""

    __slots__ = (
        "requests",
        "served",
        "failed",
        "rejected",
        "refused",
        "units",
        "times",
        "faults",
        "client_disconnects",
    )

    def __init__(self) -> None:
        self.requests = 0  # valid requests received
        self.served = self.failed = 0
        self.rejected = 0  # invalid requests, among them those without a matching route
        self.refused: dict[str, int] = {}  # valid requests rejected, by cause (a fixed set)
        self.units = 0.0  # units of first attempts that were sent to a host
        self.times = LatencyHistogram()  # served requests, from their last byte received to the answer
        self.client_disconnects = 0  # requests whose client disconnected before the answer
        self.faults = 0  # events on which the tenant's decision module raised

    def count_rejection(self, cause: str) -> None:
        """Count a valid request that was rejected."""
        self.refused[cause] = self.refused.get(cause, 0) + 1

    def answered(self) -> int:
        """The number of requests that have been answered."""
        return self.served + self.failed + sum(self.refused.values())
