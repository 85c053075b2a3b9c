"""Client-side throttling of the calls to the shared counter.

Calls that go unanswered make further ones rarer, as in the adaptive throttling of Google's "Site Reliability
Engineering" (2016), chapter 21: the load on a slow counter is the gateways' own. What is not reported waits.
Slow, silent and small counters are treated alike; totals are older while it acts.
"""

from __future__ import annotations

import random
from typing import Final

from hillmux.interface import AttemptResult

ANSWER_RATE_WEIGHT: Final = 0.35  # weight of one call's result in the mean
THROTTLE_POWER: Final = 4  # a call is made with the probability answer rate ** this
MAX_LOST_CONNECTIONS: Final = 4  # in a row that say nothing of the counter
PROBE_INTERVAL_MS: Final = 1000.0  # a call is made after this time whatever the rate, to find its return
SILENT_RATE: Final = 0.5  # below this answer rate the counter counts as silent


class CallThrottle:
    """Decides whether a counter call may be made, by how many of the last ones were answered."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.answer_rate = 1.0  # mean part of the calls that are answered
        self.called_at = 0.0  # moment of the last call, in ms
        self.lost_connections = 0  # since the last answer

    def may_call(self, now: float) -> bool:
        """Whether a call may be made at `now` (ms); draws one random number."""
        likely = self.rng.random() < self.answer_rate**THROTTLE_POWER
        return likely or now > self.called_at + PROBE_INTERVAL_MS

    def record_result(self, result: AttemptResult) -> None:
        """Record the result of one call.

        An answer that cannot be read is an answer all the same. A lost connection (a proxy or a part of the
        counter that restarts, a cap on connections, an idle limit) says nothing of the answers on the others:
        counted as silence, it would make quotas refuse with room and admit beyond. Only more than
        `MAX_LOST_CONNECTIONS` in a row, with no answer between them, mean a counter that is gone; one that
        sheds load by closing connections and answers one call in so many is therefore called in full.
        """
        answered = result in (AttemptResult.OK, AttemptResult.MALFORMED_RESPONSE)
        lost = result == AttemptResult.CONNECTION_LOST
        self.lost_connections = 0 if answered else self.lost_connections + lost
        if not lost or self.lost_connections > MAX_LOST_CONNECTIONS:
            self.answer_rate += ANSWER_RATE_WEIGHT * (answered - self.answer_rate)
