"""What full service is, in one place: the lab, the benchmarks and a gateway itself judge by it. Free of I/O.

Full service is back at the first moment from which on, for `HOLD_S` seconds, the worth served in every window
of one second is at least `WORTH` of what it was before the fault, and the 99th percentile of the latency at
most `P99` of before. The time to it is reckoned from the end of the fault.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

WINDOW_S, HOLD_S = 1.0, 5.0
WORTH, P99 = 0.95, 1.3
LEAST = 20  # answers in a window, under which its p99 is that of single samples and is not judged


@dataclass(slots=True, frozen=True)
class Window:
    """One second: worth asked for inside the quotas, what of it was served in time, latencies in ms."""

    asked: float
    served: float
    took_ms: tuple[float, ...] = ()

    def share(self) -> float:
        """Part of the worth that was served; a window in which nobody asked lacks nothing."""
        return self.served / self.asked if self.asked > 0 else 1.0


def p99(took_ms: Sequence[float]) -> float:
    """The 99th percentile, by nearest rank; 0 for none."""
    ranked = sorted(took_ms)
    return ranked[max(-(-99 * len(ranked) // 100) - 1, 0)] if ranked else 0.0


@dataclass(slots=True, frozen=True)
class Before:
    """What service was before the fault."""

    share: float
    p99_ms: float


def before(windows: Sequence[Window]) -> Before:
    """From the windows that ended before the fault began; ValueError for none."""
    if not windows:
        raise ValueError("windows: found none before the fault, expected one at least")
    asked, served = sum(w.asked for w in windows), sum(w.served for w in windows)
    return Before(served / asked if asked > 0 else 1.0, p99([t for w in windows for t in w.took_ms]))


def is_full(window: Window, then: Before) -> bool:
    """Whether one window is as good as before."""
    slow = len(window.took_ms) >= LEAST and then.p99_ms > 0 and p99(window.took_ms) > P99 * then.p99_ms
    return window.share() >= WORTH * then.share and not slow


def time_to_full(windows: Sequence[Window], then: Before) -> float | None:
    """Seconds from the first window's start, the end of the fault, until service is full and stays so for
    `HOLD_S`; None where these windows do not show that."""
    need = round(HOLD_S / WINDOW_S)
    good = 0
    for i, window in enumerate(windows):
        good = good + 1 if is_full(window, then) else 0
        if good == need:
            return (i + 1 - need) * WINDOW_S
    return None


def second_wave(
    windows: Sequence[Window], then: Before, full_at_s: float, least: float = 0.9
) -> float | None:
    """Seconds at which the worth served fell under `least` of before after service was full; None: never."""
    for i, window in enumerate(windows):
        if i * WINDOW_S >= full_at_s and window.share() < least * then.share:
            return i * WINDOW_S
    return None
