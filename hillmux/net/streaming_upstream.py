"""The host side of streaming: sends long request bodies and receives long responses."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, ClassVar, Final

from hillmux.interface import AttemptResult
from hillmux.net.attempt import Attempt
from hillmux.net.memory_budget import COPIES
from hillmux.net.response import BODILESS_STATUSES, Response
from hillmux.net.upstream_connection import UpstreamConnection
from hillmux.net.upstream_pool import UpstreamPool

if TYPE_CHECKING:
    from hillmux.net.streaming_client import StreamingClientConnection

STREAM_STALL_TIMEOUT_S: Final = 15.0  # a slow client may take 5 s to drain the buffers


class StreamingUpstreamConnection(UpstreamConnection):
    """A connection to a host that supports streamed bodies and responses."""

    accepts_streams = True

    def __init__(self, pool: StreamingUpstreamPool, host: Any) -> None:
        super().__init__(pool, host)
        self._streaming_pool = pool
        self.client: StreamingClientConnection | None = None  # the client that receives the response
        self.write_paused = False  # whether the write buffer is full because the host reads too slowly
        self.last_data_at = 0.0  # loop time at which response data last arrived
        self._body_written = True

    def start_streamed_body(self, attempt: Attempt) -> None:
        """Attach the attempt's body; `unsent` stays set until its last byte has been sent."""
        self._body_written = False
        self.unsent = True
        if attempt.streamed_body is not None:
            attempt.streamed_body.attach(self)

    def write_body_data(self, data: bytes) -> None:
        """Write a part of a body."""
        self.transport.write(data)

    def finish_body(self, data: bytes) -> None:
        """Write the last part of a body, which may be empty."""
        if data:
            self.transport.write(data)
        self._body_written = True
        self.unsent = self.transport.get_write_buffer_size() > 0
        if not self.unsent and self.attempt is not None:
            self._streaming_pool.on_body_written(self.attempt)

    def pause_writing(self) -> None:
        """Pause reading the body from the client, because the host reads too slowly."""
        self.write_paused = True
        if (
            self.attempt is not None
            and self.attempt.streamed_body is not None
            and not self.attempt.streamed_body.complete
        ):
            self.attempt.streamed_body.pause(True)

    def resume_writing(self) -> None:
        """Handle a drained write buffer.

        Resumes reading the body from the client; after the body's end, marks the request as sent.
        """
        self.write_paused = False
        if self._body_written:
            super().resume_writing()
        elif self.attempt is not None and self.attempt.streamed_body is not None:
            self.attempt.streamed_body.pause(False)

    def on_stream_start(self, response: Response) -> bool:
        """Start to stream a long response to the client; returns False if it may not be forwarded."""
        attempt = self.attempt
        self.client = (
            self._streaming_pool.start_stream(self, attempt, response) if attempt is not None else None
        )
        self.last_data_at = asyncio.get_running_loop().time()
        if self.client is not None and self._reservation is None:
            self._reservation = self._pool.memory.force(COPIES * len(self._read_buffer))
        return self.client is not None

    def on_stream_data(self, data: bytes) -> None:
        """Forward a part of a long response to the client, and record the time."""
        self.last_data_at = asyncio.get_running_loop().time()
        if self.client is not None:
            self.client.write_response_data(data)

    def pause_response(self, pause: bool) -> None:
        """Pause reading a response whose client reads too slowly, or resume."""
        self.pause_reading(pause)


class StreamingUpstreamPool(UpstreamPool):
    """Sends attempts whose bodies and responses may be streamed."""

    connection_class: ClassVar[type[Any]] = StreamingUpstreamConnection
    on_stream_started: Callable[
        [Attempt, Response, StreamingUpstreamConnection], StreamingClientConnection | None
    ]

    def on_body_complete(self, attempt: Attempt) -> None:
        """Restart the attempt's time-out, because its body's last byte has arrived."""
        if not attempt.done:
            attempt.sent_at = time.monotonic()
            self.timeouts.cancel(attempt, attempt.timeout_slot)
            attempt.timeout_slot = self.timeouts.add(attempt, attempt.timeout_s)

    def on_body_written(self, attempt: Attempt) -> None:
        """Handle an attempt whose last byte has been written; subclasses may override this."""

    def start_stream(
        self, connection: StreamingUpstreamConnection, attempt: Attempt, response: Response
    ) -> StreamingClientConnection | None:
        """Start to stream a long response.

        Returns:
            The client that receives it; None if it may not be forwarded.
        """
        if (
            attempt.done
            or self.classify(response) != AttemptResult.OK
            or response.status in BODILESS_STATUSES
        ):
            return None
        client = self.on_stream_started(attempt, response, connection)
        if client is not None:
            self.timeouts.cancel(attempt, attempt.timeout_slot)
            self.streams[attempt] = connection
        return client

    def time_out(self, attempt: Attempt) -> None:
        """Time an attempt out unless its response is being streamed."""
        if attempt not in self.streams:  # the response may have begun within READ_GRACE_S
            super().time_out(attempt)

    def forward_incomplete(self, attempt: Attempt) -> bool:
        """Begin to stream a response of which bytes arrive, whatever its length."""
        connection = attempt.connection
        if attempt.done or connection is None or attempt in self.streams:
            return False
        return connection.can_stream() and connection.may_still_succeed() and connection.stream_early()

    def end_streams(self, attempt: Attempt) -> None:
        """Detach an attempt from its streamed response and body."""
        connection = self.streams.pop(attempt, None)
        if connection is not None:
            connection.client = None
        if attempt.streamed_body is not None and attempt.connection is not None:
            attempt.streamed_body.detach(attempt.connection)

    def close_expired(self) -> None:
        """Also time out the streamed responses that have stalled for STREAM_STALL_TIMEOUT_S."""
        super().close_expired()
        earliest = self.loop.time() - STREAM_STALL_TIMEOUT_S
        for attempt, connection in list(self.streams.items()):
            if connection.last_data_at < earliest:
                self.abandon(attempt)
                self.finish(attempt, AttemptResult.TIMED_OUT)
