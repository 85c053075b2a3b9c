"""Client-side throttling of the calls to the shared counter.

Calls that go unanswered make further ones rarer, as in the adaptive throttling of Google's "Site Reliability
Engineering" (2016), chapter 21: the crowd at a slow counter is the gateways themselves. What is not reported
waits. Slow, silent and small counters are treated alike; totals are older while it acts.
"""

from __future__ import annotations

import random
from typing import Final

from hillmux.interface import AttemptResult

ANSWER_RATE_WEIGHT: Final = 0.35  # weight of one call's end in the mean
THROTTLE_POWER: Final = 4  # a call is made with the chance answer rate ** this
CUTS: Final = 4  # calls cut off with no answer between them: more than one connection's end breaks
CALL_REST_MS: Final = 1000.0  # one call in this time is made whatever the rate: it finds the counter's return
SILENT_RATE: Final = 0.5  # below this answer rate the counter counts as silent


class CallThrottle:
    """Decides whether a counter call may be made, by how many of the last ones were answered."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.answer_rate = 1.0  # mean part of the calls that are answered
        self.called_at = 0.0  # moment of the last call, in ms
        self.cuts = 0  # calls cut off since the last answer

    def may_call(self, now: float) -> bool:
        """Whether a call may be made at `now` (ms); draws one random number."""
        return self.rng.random() < self.answer_rate**THROTTLE_POWER or now > self.called_at + CALL_REST_MS

    def record_result(self, result: str) -> None:
        """Note how one call ended (a result of `hillmux.interface`).

        An answer that cannot be read is an answer all the same. A connection that is cut (a proxy or a part
        of the counter that restarts, a cap on connections, an idle limit) says nothing of the answers on the
        others: counted as silence, it would make quotas refuse with room and let in beyond. Only more than
        `CUTS` in a row, with no answer between them, mean a counter that is gone; one that sheds load by cuts
        alone and answers one call in `CUTS` is therefore called in full.
        """
        answered = result in (AttemptResult.OK, AttemptResult.MALFORMED_RESPONSE)
        self.cuts = 0 if answered else self.cuts + (result == AttemptResult.CONNECTION_LOST)
        if result != AttemptResult.CONNECTION_LOST or self.cuts > CUTS:
            self.answer_rate += ANSWER_RATE_WEIGHT * (answered - self.answer_rate)
