"""A histogram of the hosts' latency ratios, from which their median is read."""

from __future__ import annotations

from typing import Final

BINS_PER_DOUBLING: Final = 16  # of the latency ratio
LATENCY_BINS: Final = 176
BIN_OF_RATIO_1: Final = 96


class LatencyHistogram:
    """How many hosts have a latency ratio in each bin."""

    __slots__ = ("counts", "total")

    def __init__(self) -> None:
        self.counts = [0] * LATENCY_BINS
        self.total = 0

    def add(self, latency_bin: int) -> None:
        """Count one more host in a bin."""
        self.counts[latency_bin] += 1
        self.total += 1

    def remove(self, latency_bin: int) -> None:
        """Count one host less in a bin."""
        self.counts[latency_bin] -= 1
        self.total -= 1

    def move(self, old_bin: int, new_bin: int) -> None:
        """Move one host from a bin to another."""
        self.counts[old_bin] -= 1
        self.counts[new_bin] += 1

    def median(self) -> float:
        """The median ratio, to the middle of its bin, and at least 1; 1 if no host is counted."""
        half, seen = self.total // 2, 0
        for latency_bin, count in enumerate(self.counts):
            seen += count
            if seen > half:
                ratio: float = 2.0 ** ((latency_bin + 0.5 - BIN_OF_RATIO_1) / BINS_PER_DOUBLING)
                return max(ratio, 1.0)
        return 1.0
