"""The customers that a gateway knows: how many at most, and when one is forgotten."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Final

from hillmux import interface as api
from hillmux.quotas import ceiling, window
from hillmux.quotas.latest_times import LatestTimes
from hillmux.quotas.state import QuotaState

FORGET_WINDOWS: Final = 3.0  # windows without a request after which a customer's totals are no guide
KEEP_MS: Final = 120000.0  # a customer is kept that long after its last request: to make it anew costs more
MIN_LOOKS: Final = 64  # customers looked at in one sweep, at least
FULL_SWEEPS: Final = 1200  # sweeps in which all customers are looked at
CHOICES: Final = 8  # customers weighed against each other when one must be forgotten early
IDLE_MS: Final = 1000.0  # what stands for the window of a plan without a quota


class Registry:
    """Quota states by customer and plan, bounded in number."""

    def __init__(self, settings: api.Settings) -> None:
        self.most_customers = settings.max_customers
        # By plan, ms without a request after which use is no guide any longer and the ceiling is full again.
        self.rests = {
            plan.name: max(FORGET_WINDOWS * (window.length_ms(plan) or IDLE_MS), ceiling.fill_ms(plan))
            for plan in settings.plans
        }
        self.asked_at: dict[str, float] = {}  # by plan, the moment of its last request
        self.states: dict[tuple[str, str], QuotaState] = {}  # by the names of customer and plan
        self.ring: deque[QuotaState] = deque()  # the same, in the order in which sweeps look at them
        self.ceilings_from = (
            LatestTimes()
        )  # since when the ceilings fill of customers that were forgotten early

    def full(self) -> bool:
        """Whether no further customer may be known."""
        return len(self.states) >= self.most_customers

    def add(self, state: QuotaState, gateway_start: float) -> None:
        """Know one more customer; its ceiling fills since the gateway's start (ms) or an early forgetting."""
        self.states[state.key] = state
        state.ceiling_at = max(gateway_start, self.ceilings_from.at(state.digest))
        self.ring.append(state)

    def forget_early(self) -> QuotaState | None:
        """Forget, of a few customers with nothing open, the one unseen for the longest; None: there is none.

        What it has of its ceiling is noted. Of its quota the counter knows all but the last few requests.
        """
        best, at, ring = None, 0, self.ring
        looks = min(CHOICES, len(ring))
        for i in range(looks):
            state = ring[0]
            ring.rotate(-1)
            if self._idle(state) and (best is None or state.seen_at < best.seen_at):
                best, at = state, i
        if best is None:
            return None
        del ring[len(ring) - looks + at]
        start = ceiling.fill_start(best)
        if start is not None:
            self.ceilings_from.put(best.digest, start)
        del self.states[best.key]
        return best

    def sweep(self, now: float, keep: Callable[[QuotaState], None]) -> list[QuotaState]:
        """Forget customers long unseen at `now` (ms), a few looked at each time; those that were forgotten.

        `keep` is called with each that was looked at and stays.

        A ceiling that was forgotten starts anew, so only one that would be full again may go.
        """
        forgotten = []
        for _ in range(min(len(self.ring), max(MIN_LOOKS, len(self.ring) // FULL_SWEEPS))):
            state = self.ring.popleft()
            if now - state.seen_at >= max(self.rests[state.plan.name], KEEP_MS) and self._idle(state):
                del self.states[state.key]
                forgotten.append(state)
            else:
                keep(state)
                self.ring.append(state)
        return forgotten

    def settled(self, now: float) -> bool:
        """Whether at `now` (ms) no customer's use still counts."""
        return all(now - at >= self.rests[plan] for plan, at in self.asked_at.items())

    @staticmethod
    def _idle(state: QuotaState) -> bool:
        return not state.open_requests and not state.waiting
