"""Rules for retries: retry budget, idempotency, and how long a retry may still be delivered."""

from __future__ import annotations

from math import inf
from typing import Final

from hillmux import interface as api
from hillmux.decision.request_state import PendingRequest
from hillmux.interface import AttemptResult, Idempotency, KeyScope

RETRY_RATIO: Final = 0.2  # retries that one accepted request earns
MAX_RETRY_BALANCE: Final = 10.0
CONNECTION_FAILURES: Final = frozenset(
    (
        AttemptResult.CONNECT_FAILED,
        AttemptResult.RESET,
        AttemptResult.STALE_CONNECTION,
        AttemptResult.INCOMPLETE_REQUEST,
    )
)  # connection failures, which say nothing about how long the request's work takes
Locality = tuple[str | int, ...]  # a zone, or a zone and a cell
ANY_LOCALITY: Final[Locality] = ()


class RetryBudget:
    """Retries that accepted requests have earned, up to a maximum."""

    __slots__ = ("balance",)

    def __init__(self) -> None:
        self.balance = MAX_RETRY_BALANCE

    def deposit(self) -> None:
        """Add what one accepted request earns."""
        if self.balance < MAX_RETRY_BALANCE:
            self.balance = min(self.balance + RETRY_RATIO, MAX_RETRY_BALANCE)

    def withdraw(self, cost: float) -> None:
        """Deduct the cost of a retry."""
        self.balance -= cost


def retry_cost(event: api.AttemptEnded, expected_ms: float) -> float:
    """Return the cost of a retry after this result, in attempts from 0 to 1.

    A connection that failed at once has cost its host almost nothing; an attempt that was stopped before its
    first byte was sent has cost nothing.
    """
    if event.result == AttemptResult.NOT_SENT:
        return 0.0
    if event.result in CONNECTION_FAILURES:
        return min(event.elapsed_ms / max(expected_ms, 1e-6), 1.0)
    return 1.0


def retry_locality(pending: PendingRequest, now: float, clock_resolution_ms: float) -> Locality | None:
    """Return the locality in which a retry may run, or None if it may not run at all."""
    request_class = pending.request_class
    if request_class.idempotency == Idempotency.IDEMPOTENT:
        return ANY_LOCALITY
    possible_runs = [attempt for attempt in pending.attempts if attempt.may_have_run]
    if not possible_runs:
        return ANY_LOCALITY
    if request_class.idempotency == Idempotency.NOT_IDEMPOTENT:
        return None
    if now - possible_runs[0].sent_at > request_class.idempotency_window_ms - 2 * clock_resolution_ms:
        return None
    if request_class.key_scope == KeyScope.GLOBAL:
        return ANY_LOCALITY
    by_cell = request_class.key_scope == KeyScope.CELL
    localities: set[Locality] = {
        (attempt.host.zone, attempt.host.cell) if by_cell else (attempt.host.zone,)
        for attempt in possible_runs
    }
    return localities.pop() if len(localities) == 1 else None


def delivery_window_ms(pending: PendingRequest, now: float, clock_resolution_ms: float) -> float:
    """Return how long a retry may take to reach a host: with an idempotency key, while hosts recognise it.

    Connection setup takes time; a request that is delivered later than this would run twice.
    """
    if pending.request_class.idempotency != Idempotency.KEYED:
        return inf
    sent_at = [attempt.sent_at for attempt in pending.attempts if attempt.may_have_run]
    if not sent_at:
        return inf
    return sent_at[0] + pending.request_class.idempotency_window_ms - 2 * clock_resolution_ms - now
