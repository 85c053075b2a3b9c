"""Fixed choices of the decision module's interface.

Values are those of settings, metrics and stored records; members carry the field's terms.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Final


class RejectReason(StrEnum):
    """Why a request is rejected: before any attempt, or after attempts that certainly never ran."""

    QUOTA = "quota"
    CEILING = "ceiling"
    OVERLOAD = "pressure"
    """The hosts' occupancy is too high: shed by the admit fraction."""
    NO_HOST = "no_host"
    DEADLINE = "late"
    """Too little time is left to answer in time."""
    TOO_MANY_CUSTOMERS = "crowded"
    UNKNOWN_CLASS_OR_PLAN = "unknown"


class AttemptResult(StrEnum):
    """How an attempt, a counter call or a health check ended."""

    OK = "ok"
    ERROR = "error"
    QUEUE_FULL = "full"
    TIMED_OUT = "timed_out"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "moot"
    """Stopped before its first byte: the request had been answered, or its host was draining."""
    MALFORMED_RESPONSE = "spoilt"
    """The response could not be parsed: the request may have run, and the host may be healthy."""
    STALE_CONNECTION = "stale"
    """An idle connection was reset on reuse: the request may have run, and the host may be healthy."""
    INCOMPLETE_REQUEST = "unsent"
    """The connection broke before the last byte was written: the request never ran."""
    CONNECTION_LOST = "cut"
    """The connection broke during a counter call: the amount may have been added."""
    LOCAL_LIMIT = "no_room"
    """A limit of this gateway kept the request from being sent, which says nothing of the host."""


class Idempotency(StrEnum):
    """Whether a request of a class may run more than once."""

    IDEMPOTENT = "safe"
    KEYED = "keyed"
    """Hosts recognise a repeated idempotency key for a time, within the key's scope."""
    NOT_IDEMPOTENT = "unsafe"


class KeyScope(StrEnum):
    """Which hosts recognise an idempotency key that one of them has seen."""

    GLOBAL = "all"
    ZONE = "zone"
    CELL = "cell"


class HostStatus(StrEnum):
    """What discovery says of a host."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "removed"


class ListKind(StrEnum):
    """What an endpoint list holds."""

    FULL = "full"
    CACHED = "kept"
    """The whole list as it was stored earlier, not as discovery has it now."""
    CHANGES = "changes"
    FAILED = "failed"


# An attempt with one of these results certainly never ran at its host.
NEVER_EXECUTED: Final = frozenset(
    (
        AttemptResult.QUEUE_FULL,
        AttemptResult.CONNECT_FAILED,
        AttemptResult.NOT_SENT,
        AttemptResult.INCOMPLETE_REQUEST,
        AttemptResult.LOCAL_LIMIT,
    )
)
# With one of these it never reached the host either, and used nothing of a quota or a ceiling.
NEVER_DELIVERED: Final = frozenset(
    (AttemptResult.NOT_SENT, AttemptResult.INCOMPLETE_REQUEST, AttemptResult.LOCAL_LIMIT)
)
