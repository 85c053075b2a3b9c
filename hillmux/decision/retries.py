"""Rules for a further attempt: its budget, idempotency, and how long a request may still be delivered."""

from __future__ import annotations

from math import inf
from typing import Final

from hillmux import interface as api
from hillmux.decision.request_state import PendingRequest
from hillmux.interface import AttemptResult, Idempotency, KeyScope

RETRY_RATIO: Final = 0.2  # retries that an accepted request earns
MAX_RETRY_BALANCE: Final = 10.0
CONNECTION_FAILURES: Final = frozenset(
    (
        AttemptResult.CONNECT_FAILED,
        AttemptResult.RESET,
        AttemptResult.STALE_CONNECTION,
        AttemptResult.INCOMPLETE_REQUEST,
    )
)  # the connection failed, which says nothing of the request's work
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
        """Take the cost of a retry."""
        self.balance -= cost


def retry_cost(event: api.AttemptEnded, expected_ms: float) -> float:
    """What a retry costs after this result, in whole attempts.

    A connection that failed at once has cost its host next to nothing; an attempt that was stopped before its
    first byte, nothing at all.
    """
    if event.result == AttemptResult.NOT_SENT:
        return 0.0
    if event.result in CONNECTION_FAILURES:
        return min(event.elapsed_ms / max(expected_ms, 1e-6), 1.0)
    return 1.0


def retry_locality(pending: PendingRequest, now: float, clock_resolution_ms: float) -> Locality | None:
    """Where a further attempt may run; None where it may run nowhere."""
    request_class = pending.request_class
    if request_class.idempotency == Idempotency.IDEMPOTENT:
        return ANY_LOCALITY
    risky = [attempt for attempt in pending.attempts if attempt.may_have_run]
    if not risky:
        return ANY_LOCALITY
    if request_class.idempotency == Idempotency.NOT_IDEMPOTENT:
        return None
    if now - risky[0].sent_at > request_class.idempotency_window_ms - 2 * clock_resolution_ms:
        return None
    if request_class.key_scope == KeyScope.GLOBAL:
        return ANY_LOCALITY
    by_cell = request_class.key_scope == KeyScope.CELL
    localities: set[Locality] = {
        (attempt.host.zone, attempt.host.cell) if by_cell else (attempt.host.zone,) for attempt in risky
    }
    return localities.pop() if len(localities) == 1 else None


def delivery_window_ms(pending: PendingRequest, now: float, clock_resolution_ms: float) -> float:
    """How long a retry may still reach a host: with an idempotency key, while hosts remember the key.

    Setting up a connection takes time; delivered later than this, the request would run twice.
    """
    if pending.request_class.idempotency != Idempotency.KEYED:
        return inf
    sent_at = [attempt.sent_at for attempt in pending.attempts if attempt.may_have_run]
    if not sent_at:
        return inf
    return sent_at[0] + pending.request_class.idempotency_window_ms - 2 * clock_resolution_ms - now
