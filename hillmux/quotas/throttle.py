"""Client-side throttling of the calls to the shared counter.

Unanswered calls lower the rate of further calls, as in the adaptive throttling of Google's "Site Reliability
Engineering" (2016), chapter 21: the load on a slow counter comes from the gateways themselves. Use that could
not be reported stays pending. Slow, unresponsive and underprovisioned counters are treated alike. While calls
are throttled, totals are older.
"""

from __future__ import annotations

import random
from typing import Final

from hillmux.interface import AttemptResult

ANSWER_RATE_WEIGHT: Final = 0.35  # weight of one call's result in the moving average
THROTTLE_POWER: Final = 4  # a call is permitted with probability answer rate ** this exponent
MAX_LOST_CONNECTIONS: Final = 4  # lost connections in a row that do not count as unanswered calls
PROBE_INTERVAL_MS: Final = 1000.0  # a call is permitted after this time regardless, to detect recovery
MIN_ANSWER_RATE: Final = 0.5  # answer rate below which the counter counts as unresponsive


class CallThrottle:
    """Decides whether a counter call may be made, from the rate at which recent ones were answered."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.answer_rate = 1.0  # moving average: fraction of the calls that are answered
        self.called_at = 0.0  # time of the last call, in ms
        self.lost_connections = 0  # since the last answered call

    def may_call(self, now: float) -> bool:
        """Whether a call may be made at `now` (ms); draws one random number."""
        permitted = self.rng.random() < self.answer_rate**THROTTLE_POWER
        return permitted or now > self.called_at + PROBE_INTERVAL_MS

    def record_result(self, result: AttemptResult) -> None:
        """Record the result of one call.

        A malformed response also counts as an answer. A lost connection (a proxy or a part of the counter
        restarts, a limit on connections or on idle time) says nothing about calls on other connections. If it
        counted as unanswered, quotas would reject requests that have room and admit others beyond the quota.
        Only more than `MAX_LOST_CONNECTIONS` in a row, without an answer in between, count as unanswered. So
        a counter that sheds load by closing connections, and answers one call in that many, is not throttled.
        """
        answered = result in (AttemptResult.OK, AttemptResult.MALFORMED_RESPONSE)
        lost = result == AttemptResult.CONNECTION_LOST
        self.lost_connections = 0 if answered else self.lost_connections + lost
        if not lost or self.lost_connections > MAX_LOST_CONNECTIONS:
            self.answer_rate += ANSWER_RATE_WEIGHT * (answered - self.answer_rate)
