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
MIN_RETENTION_MS: Final = 120000.0  # after a customer's last request: to make its state anew costs more
MIN_SWEPT: Final = 64  # customers looked at in one sweep
SWEEPS_PER_ROUND: Final = 1200  # sweeps in which all customers are looked at
EVICTION_CANDIDATES: Final = 8  # customers compared when one must be forgotten early
NO_QUOTA_WINDOW_MS: Final = 1000.0  # stands for the window of a plan without a quota


class Registry:
    """Quota states by customer and plan, bounded in number."""

    def __init__(self, settings: api.Settings) -> None:
        self.max_customers = settings.max_customers
        # By plan, ms without a request after which use is no guide any longer and the ceiling is full again.
        self.rest_ms = {plan.name: _rest_ms(plan) for plan in settings.plans}
        self.last_request_at: dict[str, float] = {}  # by plan, ms
        self.states: dict[tuple[str, str], QuotaState] = {}  # by the names of customer and plan
        self.sweep_queue: deque[QuotaState] = deque()  # all states, in the order in which sweeps look at them
        # The moments (ms) from which the ceilings fill of customers that were forgotten early.
        self.forgotten_ceilings = LatestTimes()

    def is_full(self) -> bool:
        """Whether there is no room for a further customer."""
        return len(self.states) >= self.max_customers

    def add(self, state: QuotaState, gateway_start: float) -> None:
        """Add a customer, whose ceiling fills since the gateway's start (ms) or its early forgetting."""
        self.states[state.key] = state
        state.ceiling_at = max(gateway_start, self.forgotten_ceilings.get(state.digest))
        self.sweep_queue.append(state)

    def forget_early(self) -> QuotaState | None:
        """Forget the longest unseen of a few customers that have nothing open; None if all have.

        What it has of its ceiling is noted. Of its quota the counter knows all but the last few requests.
        """
        oldest, oldest_index, queue = None, 0, self.sweep_queue
        candidate_count = min(EVICTION_CANDIDATES, len(queue))
        for index in range(candidate_count):
            state = queue[0]
            queue.rotate(-1)
            if self._has_nothing_open(state) and (oldest is None or state.seen_at < oldest.seen_at):
                oldest, oldest_index = state, index
        if oldest is None:
            return None
        del queue[len(queue) - candidate_count + oldest_index]
        start = ceiling.fill_start(oldest)
        if start is not None:
            self.forgotten_ceilings.put(oldest.digest, start)
        del self.states[oldest.key]
        return oldest

    def sweep(self, now: float, on_kept: Callable[[QuotaState], None]) -> list[QuotaState]:
        """Look at a few customers, forget and return those long unseen at `now` (ms).

        `on_kept` is called with each other one that was looked at. A ceiling that was forgotten starts anew
        from empty, so only a customer whose ceiling would be full again may be forgotten.
        """
        forgotten = []
        swept_count = max(MIN_SWEPT, len(self.sweep_queue) // SWEEPS_PER_ROUND)
        for _ in range(min(len(self.sweep_queue), swept_count)):
            state = self.sweep_queue.popleft()
            retention_ms = max(self.rest_ms[state.plan.name], MIN_RETENTION_MS)
            if now - state.seen_at >= retention_ms and self._has_nothing_open(state):
                del self.states[state.key]
                forgotten.append(state)
            else:
                on_kept(state)
                self.sweep_queue.append(state)
        return forgotten

    def is_quiescent(self, now: float) -> bool:
        """Whether no customer's use counts any more at `now` (ms)."""
        return all(now - at >= self.rest_ms[plan] for plan, at in self.last_request_at.items())

    @staticmethod
    def _has_nothing_open(state: QuotaState) -> bool:
        return not state.open_requests and not state.waiting


def _rest_ms(plan: api.Plan) -> float:
    window_ms = window.length_ms(plan) or NO_QUOTA_WINDOW_MS
    return max(FORGET_WINDOWS * window_ms, ceiling.fill_ms(plan))
