"""One attempt: a request that is sent to one upstream host, until its single outcome."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from hillmux.net.upstream_connection import UpstreamConnection


class StreamedRequestBody(Protocol):
    """A request body that is still arriving from the client."""

    complete: bool  # its last byte has arrived
    client: Any  # the client's connection; `hold` pauses and resumes reading from it

    def attach(self, connection: Any) -> None:
        """Write what has arrived, and what still arrives, to a connection."""

    def detach(self, connection: Any) -> None:
        """Stop writing to a connection."""


class Attempt:
    """One `SendAttempt` action from its decision to its outcome.

    Times are in seconds of `time.monotonic`.
    """

    __slots__ = (
        "request_id",
        "number",
        "host",
        "head",
        "body",
        "sent_at",
        "delivery_deadline",
        "connection",
        "dial_task",
        "timeout_slot",
        "timeout_timer",
        "dial_timer",
        "done",
        "streamed_body",
        "timeout_s",
        "dialled_connection",
    )

    def __init__(
        self,
        request_id: str,
        number: int,
        host: str,
        head: bytes,
        body: bytes,
        sent_at: float,
        delivery_deadline: float,
    ) -> None:
        self.request_id, self.number, self.host = request_id, number, host
        self.head, self.body, self.sent_at = head, body, sent_at
        self.delivery_deadline = delivery_deadline  # its last byte must have left by then
        self.connection: UpstreamConnection | None = None
        self.dial_task: asyncio.Task[Any] | None = None
        self.dialled_connection: UpstreamConnection | None = None  # created by the dial, perhaps not up yet
        self.timeout_slot = 0  # of its time-out in `UpstreamPool.timeouts`
        self.timeout_timer: asyncio.TimerHandle | None = None  # the grace period after that time-out
        self.dial_timer: asyncio.TimerHandle | None = None
        self.done = False
        self.streamed_body: StreamedRequestBody | None = None  # the rest of a body that is streamed
        self.timeout_s = 0.0  # from the decision on, or from the body's last byte

    def payload(self, now: float) -> bytes:
        """The request as it is written now; X-Deadline tells the host how long the answer is awaited."""
        wait_ms = max((self.sent_at + self.timeout_s - now) * 1000, 1)
        return b"%bX-Deadline: %dm\r\n\r\n%b" % (self.head, wait_ms, self.body)
