"""Time-outs of attempts, and the time to deadline that requests of a class usually have."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import deque
from typing import Final

from hillmux.decision.request_state import PendingRequest
from hillmux.interface import Idempotency

EARLY_TIMEOUT_RATIO: Final = 2.5  # expected latencies after which a response counts as lost
LOST_RATIO_THRESHOLD: Final = 0.06  # above this, attempts time out early
MIN_TIMEOUT_MS: Final = 1.0
DEADLINE_SAMPLES: Final = 64  # samples kept of a class
SAMPLES_PER_UPDATE: Final = DEADLINE_SAMPLES // 8  # sorting for each request would cost most of its time
LOWEST_EQUAL: Final = 0.99  # samples between these two factors of another count as equal to it
HIGHEST_EQUAL: Final = 1.01


class DeadlineSamples:
    """Times to deadline of a class's recent requests, and the one that most first attempts share."""

    __slots__ = ("_samples", "_since_update", "_usual_ms")

    def __init__(self) -> None:
        self._samples: deque[float] = deque(maxlen=DEADLINE_SAMPLES)
        self._since_update = 0
        self._usual_ms = 0.0

    def record(self, time_left_ms: float) -> float:
        """Add a request; returns the least time left of a first attempt, 0 while that is not known."""
        self._samples.append(time_left_ms)
        self._since_update += 1
        if self._since_update >= SAMPLES_PER_UPDATE:
            self._since_update = 0
            self._update_usual()
        return self._usual_ms

    def _update_usual(self) -> None:
        """Take the 70th percentile, where a third of the samples agree with it."""
        samples = sorted(self._samples)
        usual_ms = samples[len(samples) * 7 // 10]
        low, high = LOWEST_EQUAL * usual_ms, HIGHEST_EQUAL * usual_ms
        agreeing = bisect_right(samples, high) - bisect_left(samples, low)
        known = len(samples) >= DEADLINE_SAMPLES // 2 and 3 * agreeing >= len(samples)
        self._usual_ms = low if known else 0.0


def early_timeout_ms(pending: PendingRequest, timeout_ms: float, expected_ms: float) -> float:
    """Time after which a retry is the better choice, while responses get lost; at most `timeout_ms`.

    A lost response would cost its request the whole objective. Requests that may not run twice wait for it.
    """
    if pending.request_class.idempotency == Idempotency.NOT_IDEMPOTENT:
        return timeout_ms
    early_ms = max(timeout_ms / 2, EARLY_TIMEOUT_RATIO * expected_ms)
    may_retry = len(pending.attempts) + 1 < pending.max_attempts
    return early_ms if may_retry and early_ms + expected_ms < timeout_ms else timeout_ms
