"""Actions that the decision module returns for an event.

All times are in milliseconds on the caller's clock, all amounts in quota units.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from hillmux.interface.results import RejectReason


@dataclass(slots=True, init=False)
class SendAttempt:
    """Start an attempt; attempts of a request are numbered from 0 in the order of these actions."""

    request_id: str
    host: str
    timeout_ms: float
    delivery_window_ms: float = math.inf  # time limit for the last byte to reach the host

    def __init__(
        self, request_id: str, host: str, timeout_ms: float, delivery_window_ms: float = math.inf
    ) -> None:
        self.request_id, self.host, self.timeout_ms, self.delivery_window_ms = (
            request_id,
            host,
            timeout_ms,
            delivery_window_ms,
        )


@dataclass(slots=True)
class Reject:
    """Final answer: rejected. The request never ran, so the client may retry it."""

    request_id: str
    retry_after_ms: float
    reason: RejectReason


@dataclass(slots=True)
class Fail:
    """Final answer: failed. The request may have run."""

    request_id: str


@dataclass(slots=True)
class CancelAttempt:
    """Cancel one open attempt."""

    request_id: str
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Request a `TimerFired` after a delay."""

    name: str
    delay_ms: float


@dataclass(slots=True)
class IncrementCounter:
    """Add an amount to a shared counter, which replies with the total."""

    name: str
    amount: float
    retention_ms: float


@dataclass(slots=True)
class Subscribe:
    """Subscribe to the endpoint list of discovery and its changes."""


@dataclass(slots=True)
class Log:
    """A log line for operators."""

    text: str


Action = SendAttempt | Reject | Fail | CancelAttempt | SetTimer | IncrementCounter | Subscribe | Log
