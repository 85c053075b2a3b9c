"""The definition of full service that the lab and the benchmarks use. Free of I/O.

Full service is restored at the start of the first `HOLD_S` seconds in which every window of one second serves
at least `MIN_SERVED_RATIO` of the priority weight of the baseline before the fault, with a 99th percentile of
latency of at most `MAX_P99_RATIO` times the baseline's. The time to full service counts from the fault's end.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

WINDOW_S, HOLD_S = 1.0, 5.0
MIN_SERVED_RATIO, MAX_P99_RATIO = 0.95, 1.3
MIN_P99_SAMPLES = 20  # responses in a window; the p99 of fewer depends on single samples and is ignored


@dataclass(slots=True, frozen=True)
class ServiceWindow:
    """One second of service: priority weight offered within quotas, weight served in time, and latencies."""

    offered_weight: float
    served_weight: float
    latencies_ms: tuple[float, ...] = ()

    def served_share(self) -> float:
        """The share of the offered weight that was served; 1 if nothing was offered."""
        return self.served_weight / self.offered_weight if self.offered_weight > 0 else 1.0


def p99(latencies_ms: Sequence[float]) -> float:
    """The 99th percentile by nearest rank; 0 if there are no values."""
    ranked = sorted(latencies_ms)
    return ranked[max(-(-99 * len(ranked) // 100) - 1, 0)] if ranked else 0.0


@dataclass(slots=True, frozen=True)
class Baseline:
    """The service before the fault, to which later windows are compared."""

    served_share: float
    p99_ms: float


def baseline(windows: Sequence[ServiceWindow]) -> Baseline:
    """The baseline of the windows that ended before the fault began.

    Raises:
        ValueError: There are no windows.
    """
    if not windows:
        raise ValueError("windows: found none before the fault, expected at least one")
    offered, served = sum(w.offered_weight for w in windows), sum(w.served_weight for w in windows)
    return Baseline(
        served / offered if offered > 0 else 1.0, p99([t for w in windows for t in w.latencies_ms])
    )


def is_full(window: ServiceWindow, reference: Baseline) -> bool:
    """Whether one window meets the definition of full service."""
    slow = (
        len(window.latencies_ms) >= MIN_P99_SAMPLES
        and reference.p99_ms > 0
        and p99(window.latencies_ms) > MAX_P99_RATIO * reference.p99_ms
    )
    return window.served_share() >= MIN_SERVED_RATIO * reference.served_share and not slow


def time_to_full(windows: Sequence[ServiceWindow], reference: Baseline) -> float | None:
    """Seconds from the fault's end, where the first window starts, until service is full for `HOLD_S`.

    None if that does not happen within these windows.
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
    """Seconds from the fault's end until the first drop after service was full; None if there is none.

    A drop is a window whose served share is below `min_ratio` of the baseline's.
    """
    for i, window in enumerate(windows):
        if i * WINDOW_S >= full_at_s and window.served_share() < min_ratio * reference.served_share:
            return i * WINDOW_S
    return None
