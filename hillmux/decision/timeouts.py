"""Time-outs of attempts, and the time to deadline that requests of a class usually have."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import deque
from typing import Final

from hillmux.decision.request_state import PendingRequest
from hillmux.interface import Idempotency

EARLY_TIMEOUT_RATIO: Final = 2.5  # a response counts as lost after this many expected latencies
LOST_RATIO_THRESHOLD: Final = 0.06  # above this lost ratio, attempts time out early
MIN_TIMEOUT_MS: Final = 1.0
DEADLINE_SAMPLES: Final = 64  # samples kept per class
SAMPLES_PER_UPDATE: Final = DEADLINE_SAMPLES // 8  # sorting for each request would dominate its cost
EQUAL_MIN_FACTOR: Final = 0.99  # samples within these factors of the usual time count as equal to it
EQUAL_MAX_FACTOR: Final = 1.01


class DeadlineSamples:
    """Times to deadline of a class's recent requests, and the usual one of first attempts."""

    __slots__ = ("_samples", "_since_update", "_usual_ms")

    def __init__(self) -> None:
        self._samples: deque[float] = deque(maxlen=DEADLINE_SAMPLES)
        self._since_update = 0
        self._usual_ms = 0.0

    def record(self, time_left_ms: float) -> float:
        """Add a request; return the least time to deadline of a first attempt, or 0 while it is unknown."""
        self._samples.append(time_left_ms)
        self._since_update += 1
        if self._since_update >= SAMPLES_PER_UPDATE:
            self._since_update = 0
            self._update_usual()
        return self._usual_ms

    def _update_usual(self) -> None:
        """Use the 70th percentile as the usual time if at least a third of the samples are equal to it."""
        samples = sorted(self._samples)
        usual_ms = samples[len(samples) * 7 // 10]
        low, high = EQUAL_MIN_FACTOR * usual_ms, EQUAL_MAX_FACTOR * usual_ms
        equal_count = bisect_right(samples, high) - bisect_left(samples, low)
        known = len(samples) >= DEADLINE_SAMPLES // 2 and 3 * equal_count >= len(samples)
        self._usual_ms = low if known else 0.0


def early_timeout_ms(pending: PendingRequest, timeout_ms: float, expected_ms: float) -> float:
    """Return the time after which a retry is better than waiting while responses get lost.

    Without it, a lost response would take up the whole latency objective of its request. The result is at
    most `timeout_ms`, and equal to it for requests that may not run twice.
    """
    if pending.request_class.idempotency == Idempotency.NOT_IDEMPOTENT:
        return timeout_ms
    early_ms = max(timeout_ms / 2, EARLY_TIMEOUT_RATIO * expected_ms)
    may_retry = len(pending.attempts) + 1 < pending.max_attempts
    return early_ms if may_retry and early_ms + expected_ms < timeout_ms else timeout_ms
