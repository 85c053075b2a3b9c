"""The definition of full service, by which the lab and the benchmarks judge. Free of I/O.

Full service is restored at the first moment from which on, for `HOLD_S` seconds, the priority weight served
in every window of one second is at least `MIN_SERVED_RATIO` of the baseline before the fault, and the 99th
percentile of latency at most `MAX_P99_RATIO` of the baseline's. The time to it counts from the fault's end.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

WINDOW_S, HOLD_S = 1.0, 5.0
MIN_SERVED_RATIO, MAX_P99_RATIO = 0.95, 1.3
MIN_P99_SAMPLES = 20  # answers in a window; the p99 of fewer is that of single samples and is not judged


@dataclass(slots=True, frozen=True)
class ServiceWindow:
    """One second: priority weight offered within quotas, the part of it served in time, and latencies."""

    offered_weight: float
    served_weight: float
    latencies_ms: tuple[float, ...] = ()

    def served_share(self) -> float:
        """The share of the offered weight that was served; 1 where nothing was offered."""
        return self.served_weight / self.offered_weight if self.offered_weight > 0 else 1.0


def p99(latencies_ms: Sequence[float]) -> float:
    """The 99th percentile by nearest rank; 0 for no values."""
    ranked = sorted(latencies_ms)
    return ranked[max(-(-99 * len(ranked) // 100) - 1, 0)] if ranked else 0.0


@dataclass(slots=True, frozen=True)
class Baseline:
    """Service before the fault."""

    served_share: float
    p99_ms: float


def baseline(windows: Sequence[ServiceWindow]) -> Baseline:
    """The baseline of the windows that ended before the fault began.

    Raises:
        ValueError: there are none.
    """
    if not windows:
        raise ValueError("windows: found none before the fault, expected one at least")
    offered, served = sum(w.offered_weight for w in windows), sum(w.served_weight for w in windows)
    return Baseline(
        served / offered if offered > 0 else 1.0, p99([t for w in windows for t in w.latencies_ms])
    )


def is_full(window: ServiceWindow, reference: Baseline) -> bool:
    """Whether one window is as good as the baseline."""
    slow = (
        len(window.latencies_ms) >= MIN_P99_SAMPLES
        and reference.p99_ms > 0
        and p99(window.latencies_ms) > MAX_P99_RATIO * reference.p99_ms
    )
    return window.served_share() >= MIN_SERVED_RATIO * reference.served_share and not slow


def time_to_full(windows: Sequence[ServiceWindow], reference: Baseline) -> float | None:
    """Seconds from the fault's end, where the first window starts, until service is full and stays full for
    `HOLD_S`; None if it does not within these windows.
    """
    windows_needed = round(HOLD_S / WINDOW_S)
    full_windows = 0
    for i, window in enumerate(windows):
        full_windows = full_windows + 1 if is_full(window, reference) else 0
        if full_windows == windows_needed:
            return (i + 1 - windows_needed) * WINDOW_S
    return None


def second_drop(
    windows: Sequence[ServiceWindow], reference: Baseline, full_at_s: float, min_ratio: float = 0.9
) -> float | None:
    """Seconds at which the served share fell below `min_ratio` of the baseline's after service was full, or
    None.
    """
    for i, window in enumerate(windows):
        if i * WINDOW_S >= full_at_s and window.served_share() < min_ratio * reference.served_share:
            return i * WINDOW_S
    return None
