"""An attempt: one request sent to one upstream host, with exactly one outcome."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from hillmux.net.upstream_connection import UpstreamConnection


class StreamedRequestBody(Protocol):
    """A request body that is still arriving from the client."""

    complete: bool  # whether its last byte has arrived

    def attach(self, connection: Any) -> None:
        """Write the data that has arrived, and all further data, to a connection."""

    def detach(self, connection: Any) -> None:
        """Stop writing to a connection."""

    def pause(self, pause: bool) -> None:
        """Pause or resume reading the body from its client."""


class Attempt:
    """One `SendAttempt` action, from the decision to its outcome.

    Times are in seconds, by the clock of `time.monotonic`.
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
        "received_bytes",
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
        self.delivery_deadline = delivery_deadline  # time by which the last byte must have been sent
        self.connection: UpstreamConnection | None = None
        self.dial_task: asyncio.Task[Any] | None = None
        self.dialled_connection: UpstreamConnection | None = None  # created by the dial; may not be open yet
        self.timeout_slot = 0  # slot number of its time-out in `UpstreamPool.timeouts`
        self.timeout_timer: asyncio.TimerHandle | None = None  # READ_GRACE_S timer, set by the time-out
        self.dial_timer: asyncio.TimerHandle | None = None
        self.done = False
        self.streamed_body: StreamedRequestBody | None = None  # remainder of the body, if it is streamed
        self.received_bytes = 0  # of the response, if the attempt failed
        self.timeout_s = 0.0  # counted from `sent_at`, which is reset by a streamed body's last byte

    def payload(self, now: float) -> bytes:
        """Return the request's bytes, with X-Deadline set to the time left until the time-out, in ms."""
        wait_ms = max((self.sent_at + self.timeout_s - now) * 1000, 1)
        return b"%bX-Deadline: %dm\r\n\r\n%b" % (self.head, wait_ms, self.body)
