"""Streaming of request and response bodies that are too long to be buffered.

A body of up to `MAX_BUFFERED_BODY_BYTES` is buffered, judged and retried as a whole. A longer request is
decided on once that much of it has arrived; from then on its body is forwarded to the host piece by piece
(`StreamedBody`). A longer response is forwarded to the client from its first bytes on and cannot be taken
back: the decision module is told (`ResponseStarted`), the deadline no longer applies, and only a stalled side
ends it. In both directions reading pauses while the other side's write buffer is full, so a stream holds two
pieces and one transport buffer, whatever its length.

An attempt whose body is still being sent has not run before its last byte has left, because the host begins
then. It can be retried as long as the whole body is still in the replay buffer (`MAX_REPLAYABLE_BYTES`).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from hillmux.net.http1 import MAX_BUFFERED_BODY_BYTES

if TYPE_CHECKING:
    from hillmux.net.streaming_client import StreamingClientConnection
    from hillmux.net.streaming_upstream import StreamingUpstreamConnection

MAX_REPLAYABLE_BYTES: Final = 128 * 1024  # of a body, for a retry
UNCLAIMED_WINDOW_BYTES: Final = 64 * 1024  # of a body that no host takes yet; then reading pauses


class StreamedBody:
    """A request's body that is still arriving: from one client, to one host at a time."""

    def __init__(self, client: StreamingClientConnection, length: int | None) -> None:
        self.client, self.length = client, length
        self.complete = self.discarded = False
        self.on_complete: Callable[[], None] | None = None  # called with the last byte
        self._replay_buffer: list[bytes] = []
        self._replay_bytes = 0
        self._replay_dropped = False  # some of it is no longer buffered: it cannot be retried
        self._upstream: StreamingUpstreamConnection | None = None

    def can_replay(self) -> bool:
        """Whether an attempt can still send all of it."""
        return not self._replay_dropped

    def framing_line(self) -> bytes:
        """The header line that frames it."""
        if self.length is None:
            return b"Transfer-Encoding: chunked\r\n"
        return b"Content-Length: %d\r\n" % self.length

    def add_data(self, data: bytes) -> None:
        """More of it has arrived."""
        if self.discarded:
            return
        if not self._replay_dropped:
            self._replay_buffer.append(data)
            self._replay_bytes += len(data)
        if self._upstream is not None:
            self._upstream.write_body_data(self._framed(data))
            self._limit_replay_buffer()
        elif self._replay_bytes > MAX_BUFFERED_BODY_BYTES + UNCLAIMED_WINDOW_BYTES:
            self.client.pause_body(True)

    def finish(self) -> None:
        """Its last byte has arrived."""
        self.complete = True
        self.client.pause_body(False)
        if self._upstream is not None:
            self._upstream.finish_body(self._terminator())
        if self.on_complete is not None and not self.discarded:
            self.on_complete()

    def attach(self, connection: StreamingUpstreamConnection) -> None:
        """Write what has arrived, and what still arrives, to a connection."""
        self._upstream = connection
        for data in self._replay_buffer:
            connection.write_body_data(self._framed(data))
        self._limit_replay_buffer()
        if self.complete:
            connection.finish_body(self._terminator())
        elif not connection.write_paused:
            self.client.pause_body(False)

    def detach(self, connection: StreamingUpstreamConnection) -> None:
        """Stop writing to a connection."""
        if self._upstream is connection:
            self._upstream = None

    def discard(self) -> None:
        """Nothing needs it any more: what still arrives is read and discarded."""
        self.discarded = True
        self._replay_buffer.clear()
        self.client.pause_body(False)

    def _limit_replay_buffer(self) -> None:
        if self._replay_bytes > MAX_REPLAYABLE_BYTES:
            self._replay_dropped = True
            self._replay_buffer.clear()

    def _framed(self, data: bytes) -> bytes:
        return data if self.length is not None else b"%x\r\n%b\r\n" % (len(data), data)

    def _terminator(self) -> bytes:
        return b"" if self.length is not None else b"0\r\n\r\n"
