"""A histogram of the hosts' latency ratios, used to compute their median."""

from __future__ import annotations

from typing import Final

BINS_PER_DOUBLING: Final = 16  # number of bins per doubling of the latency ratio
LATENCY_BINS: Final = 176  # number of bins
BIN_OF_RATIO_1: Final = 96  # bin that begins at latency ratio 1


class LatencyHistogram:
    """The number of hosts whose latency ratio is in each bin."""

    __slots__ = ("counts", "total")

    def __init__(self) -> None:
        self.counts = [0] * LATENCY_BINS
        self.total = 0

    def add(self, latency_bin: int) -> None:
        """Add one host to a bin."""
        self.counts[latency_bin] += 1
        self.total += 1

    def remove(self, latency_bin: int) -> None:
        """Remove one host from a bin."""
        self.counts[latency_bin] -= 1
        self.total -= 1

    def move(self, old_bin: int, new_bin: int) -> None:
        """Move one host from a bin to another."""
        self.counts[old_bin] -= 1
        self.counts[new_bin] += 1

    def median(self) -> float:
        """The median ratio as the middle of its bin, and at least 1; 1 if the histogram is empty."""
        half, cumulative_count = self.total // 2, 0
        for latency_bin, count in enumerate(self.counts):
            cumulative_count += count
            if cumulative_count > half:
                ratio: float = 2.0 ** ((latency_bin + 0.5 - BIN_OF_RATIO_1) / BINS_PER_DOUBLING)
                return max(ratio, 1.0)
        return 1.0
