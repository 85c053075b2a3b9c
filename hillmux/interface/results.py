"""Enumerations of the decision module's interface.

The values are those written in settings, metrics and stored records.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Final


class RejectReason(StrEnum):
    """Why a request is rejected: before any attempt, or after attempts that are known not to have run."""

    QUOTA = "quota"
    CEILING = "ceiling"
    OVERLOAD = "pressure"
    """The hosts' occupancy is too high, so admission control sheds the request."""
    NO_HOST = "no_host"
    DEADLINE = "late"
    """Too little time is left for an answer in time."""
    TOO_MANY_CUSTOMERS = "crowded"
    UNKNOWN_CLASS_OR_PLAN = "unknown"


class AttemptResult(StrEnum):
    """Result of an attempt, a counter call or a health check."""

    OK = "ok"
    ERROR = "error"
    QUEUE_FULL = "full"
    TIMED_OUT = "timed_out"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "moot"
    """Stopped before the first byte was sent: the request had been answered, or the host was draining."""
    MALFORMED_RESPONSE = "spoilt"
    """The response could not be parsed: the request may have run, and the host may be healthy."""
    STALE_CONNECTION = "stale"
    """An idle connection was reset on reuse: the request may have run, and the host may be healthy."""
    INCOMPLETE_REQUEST = "unsent"
    """The connection was lost before the last byte was written: the request never ran."""
    CONNECTION_LOST = "cut"
    """The connection was lost during a counter call: the amount may have been added."""
    LOCAL_LIMIT = "no_room"
    """A limit of this gateway kept the request from being sent, which says nothing about the host."""


class Idempotency(StrEnum):
    """Whether a request of a class may run more than once."""

    IDEMPOTENT = "safe"
    KEYED = "keyed"
    """Hosts recognise a repeated idempotency key for a limited time, within the key's scope."""
    NOT_IDEMPOTENT = "unsafe"


class KeyScope(StrEnum):
    """Which hosts recognise an idempotency key that one of them has seen."""

    GLOBAL = "all"
    ZONE = "zone"
    CELL = "cell"


class HostStatus(StrEnum):
    """Status of a host in the endpoint list."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "removed"


class ListKind(StrEnum):
    """Kind of an endpoint list."""

    FULL = "full"
    CACHED = "kept"
    """The full list as it was stored earlier, not as discovery has it now."""
    CHANGES = "changes"
    FAILED = "failed"


# An attempt with one of these results is known not to have run at its host.
NEVER_EXECUTED: Final = frozenset(
    (
        AttemptResult.QUEUE_FULL,
        AttemptResult.CONNECT_FAILED,
        AttemptResult.NOT_SENT,
        AttemptResult.INCOMPLETE_REQUEST,
        AttemptResult.LOCAL_LIMIT,
    )
)
# An attempt with one of these results did not reach its host either, and used no units of a quota or ceiling.
NEVER_DELIVERED: Final = frozenset(
    (AttemptResult.NOT_SENT, AttemptResult.INCOMPLETE_REQUEST, AttemptResult.LOCAL_LIMIT)
)
