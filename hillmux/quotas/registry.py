"""The registry of the customers that a gateway keeps state for, with expiry and eviction."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Final

from hillmux import interface as api
from hillmux.quotas import ceiling, window
from hillmux.quotas.latest_times import LatestTimes
from hillmux.quotas.state import QuotaState

EXPIRY_WINDOWS: Final = 3.0  # windows without a request after which a customer's totals are outdated
# Shortest time for which a state is kept after the customer's last request: keeping it costs less than making
# it again.
MIN_RETENTION_MS: Final = 120000.0
MIN_SWEPT: Final = 64  # customers checked per sweep, at least
SWEEPS_PER_ROUND: Final = 1200  # sweeps in which each customer is checked once, if there are many
EVICTION_CANDIDATES: Final = 8  # customers compared to choose one for eviction
NO_QUOTA_WINDOW_MS: Final = 1000.0  # window length assumed for a plan without a quota


class Registry:
    """Quota states by customer and plan, limited to `max_customers`."""

    def __init__(self, settings: api.Settings) -> None:
        self.max_customers = settings.max_customers
        # By plan: ms without a request after which use is outdated and the ceiling is full again.
        self.expiry_ms = {plan.name: _expiry_ms(plan) for plan in settings.plans}
        self.last_request_at: dict[str, float] = {}  # by plan, in ms
        self.states: dict[tuple[str, str], QuotaState] = {}  # by names of customer and plan
        self.sweep_queue: deque[QuotaState] = deque()  # all states, in the order in which sweeps check them
        # Of evicted customers: the time (ms) since when their part of the ceiling fills from empty.
        self.forgotten_ceilings = LatestTimes()

    def is_full(self) -> bool:
        """Whether there is no room for another customer."""
        return len(self.states) >= self.max_customers

    def add(self, state: QuotaState, gateway_start: float) -> None:
        """Add a customer; its ceiling fills from the gateway's start (ms) or as noted at its eviction."""
        self.states[state.key] = state
        state.ceiling_at = max(gateway_start, self.forgotten_ceilings.get(state.digest))
        self.sweep_queue.append(state)

    def evict_oldest(self) -> QuotaState | None:
        """Remove and return the least recently seen of a few customers; None if all have open requests.

        The fill of its ceiling is noted. The counter holds its use but for the last few requests.
        """
        oldest, oldest_index, queue = None, 0, self.sweep_queue
        candidate_count = min(EVICTION_CANDIDATES, len(queue))
        for index in range(candidate_count):
            state = queue[0]
            queue.rotate(-1)
            if self._has_no_requests(state) and (oldest is None or state.seen_at < oldest.seen_at):
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
        """Check a few customers; remove and return those that have expired at `now` (ms).

        `on_kept` is called with each checked customer that stays. A customer that returns after expiry gets a
        ceiling that fills from the gateway's start, so it expires only when its ceiling is full again.
        """
        expired = []
        swept_count = max(MIN_SWEPT, len(self.sweep_queue) // SWEEPS_PER_ROUND)
        for _ in range(min(len(self.sweep_queue), swept_count)):
            state = self.sweep_queue.popleft()
            retention_ms = max(self.expiry_ms[state.plan.name], MIN_RETENTION_MS)
            if now - state.seen_at >= retention_ms and self._has_no_requests(state):
                del self.states[state.key]
                expired.append(state)
            else:
                on_kept(state)
                self.sweep_queue.append(state)
        return expired

    def is_quiescent(self, now: float) -> bool:
        """Whether no customer's past use affects decisions any more at `now` (ms)."""
        return all(now - at >= self.expiry_ms[plan] for plan, at in self.last_request_at.items())

    @staticmethod
    def _has_no_requests(state: QuotaState) -> bool:
        return not state.open_requests and not state.waiting


def _expiry_ms(plan: api.Plan) -> float:
    window_ms = window.length_ms(plan) or NO_QUOTA_WINDOW_MS
    return max(EXPIRY_WINDOWS * window_ms, ceiling.fill_ms(plan))
