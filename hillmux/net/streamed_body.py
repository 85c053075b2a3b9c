"""Streaming of request and response bodies that are too long to be buffered.

A body of up to `MAX_BUFFERED_BODY_BYTES` is buffered completely before it is forwarded, and can be retried. A
longer request is passed to the decision module once that much of its body has arrived; from then on the body
is forwarded to the host as it arrives (`StreamedBody`). A longer response is forwarded to the client from its
first bytes on and can no longer be replaced by a retry: the decision module is notified (`ResponseStarted`),
the deadline no longer applies, and only a stalled host or client ends the response early. In both directions
reading is paused while the other side's write buffer is full, so a stream buffers at most two parts and one
transport buffer, whatever its length.

The host starts a request when its last byte arrives, so an attempt whose body is still being sent has not
run. It can be retried while all of the body is still in the replay buffer (`MAX_REPLAYABLE_BYTES`).
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from hillmux.net.body_buffer import Body, append_piece, to_bytes
from hillmux.net.http1 import MAX_BUFFERED_BODY_BYTES
from hillmux.net.memory_budget import COPIES, Reservation

if TYPE_CHECKING:
    from hillmux.net.streaming_client import StreamingClientConnection
    from hillmux.net.streaming_upstream import StreamingUpstreamConnection

MAX_REPLAYABLE_BYTES: Final = 128 * 1024  # maximum size of a body that is kept for a retry
# Data beyond the buffer limit that is read while no host is attached; then reading pauses.
UNATTACHED_WINDOW_BYTES: Final = 64 * 1024


class StreamedBody:
    """A request body that is forwarded while it arrives, from one client to one host at a time."""

    def __init__(
        self, client: StreamingClientConnection, length: int | None, reservation: Reservation
    ) -> None:
        self.client, self.length = client, length
        self.reservation = reservation
        # Where memory is scarce, no more is kept than what had arrived before the body was streamed.
        self._max_replayable, self._unattached_window = MAX_REPLAYABLE_BYTES, UNATTACHED_WINDOW_BYTES
        if not reservation.grow(COPIES * MAX_REPLAYABLE_BYTES):
            self._max_replayable, self._unattached_window = MAX_BUFFERED_BODY_BYTES, 0
        self.complete = self.discarded = False
        self.on_complete: Callable[[], None] | None = None  # called when the last byte has arrived
        self.on_pause: Callable[[bool], None] | None = (
            None  # called when the client's body is paused or resumed
        )
        self.paused_s = 0.0  # time for which the gateway has not read the body
        self._paused_since = 0.0  # time.monotonic; 0 if the body is being read
        self._replay_buffer: Body = b""
        self._replay_dropped = False  # whether data has been dropped, so that a retry is impossible
        self._upstream: StreamingUpstreamConnection | None = None

    def can_replay(self) -> bool:
        """Whether a new attempt can be sent: the replay buffer still holds all data that has arrived."""
        return not self._replay_dropped

    def framing_line(self) -> bytes:
        """Return the header line that states the framing: Content-Length or Transfer-Encoding."""
        if self.length is None:
            return b"Transfer-Encoding: chunked\r\n"
        return b"Content-Length: %d\r\n" % self.length

    def add_data(self, data: bytes) -> None:
        """Forward and buffer data that has arrived from the client."""
        if self.discarded:
            return
        if not self._replay_dropped:
            self._replay_buffer = append_piece(self._replay_buffer, data)
        if self._upstream is not None:
            self._upstream.write_body_data(self._framed(data))
            self._limit_replay_buffer()
        elif len(self._replay_buffer) > MAX_BUFFERED_BODY_BYTES + self._unattached_window:
            self.pause(True)

    def finish(self) -> None:
        """Mark the body as complete, and write its end to the attached host."""
        self.complete = True
        self.pause(False)
        if self._upstream is not None:
            self._upstream.finish_body(self._terminator())
        if self.on_complete is not None and not self.discarded:
            self.on_complete()

    def attach(self, connection: StreamingUpstreamConnection) -> None:
        """Write the data that has arrived, and all further data, to a connection."""
        self._upstream = connection
        if self._replay_buffer:
            connection.write_body_data(self._framed(to_bytes(self._replay_buffer)))
        self._limit_replay_buffer()
        if self.complete:
            connection.finish_body(self._terminator())
        elif not connection.write_paused:
            self.pause(False)

    def detach(self, connection: StreamingUpstreamConnection) -> None:
        """Stop writing to a connection."""
        if self._upstream is connection:
            self._upstream = None

    def pause(self, pause: bool) -> None:
        """Pause reading the body from its client, or resume; the time is the gateway's, not the client's."""
        if pause != bool(self._paused_since):
            now = time.monotonic()
            self.paused_s += 0.0 if pause else now - self._paused_since
            self._paused_since = now if pause else 0.0
            if self.on_pause is not None and not self.discarded:
                self.on_pause(pause)
        self.client.pause_body(pause)

    def discard(self) -> None:
        """Drop the buffered data, and read and ignore the remainder of the body."""
        self.discarded = True
        self._replay_buffer = b""
        self.reservation.release()
        self.pause(False)

    def _limit_replay_buffer(self) -> None:
        if len(self._replay_buffer) > self._max_replayable:
            self._replay_dropped = True
            self._replay_buffer = b""
            self.reservation.shrink(COPIES * self.client.window())

    def _framed(self, data: bytes) -> bytes:
        return data if self.length is not None else b"%x\r\n%b\r\n" % (len(data), data)

    def _terminator(self) -> bytes:
        return b"" if self.length is not None else b"0\r\n\r\n"
