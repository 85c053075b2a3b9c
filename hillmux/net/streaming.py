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

import asyncio
import time
from collections.abc import Callable
from typing import Any, ClassVar, Final

from hillmux.interface import AttemptResult
from hillmux.net.attempt import Attempt
from hillmux.net.clients import ClientConnection, Listener
from hillmux.net.http1 import BODILESS_STATUSES, MAX_BUFFERED_BODY_BYTES, Response
from hillmux.net.requests import BadRequestError
from hillmux.net.upstream_connection import UpstreamConnection
from hillmux.net.upstream_pool import UpstreamPool

MAX_STREAMED_REQUEST_BYTES: Final = 33 * 1024 * 1024
MAX_REPLAYABLE_BYTES: Final = 128 * 1024  # of a body, for a further attempt
UNCLAIMED_WINDOW_BYTES: Final = 64 * 1024  # of a body that no host takes yet; beyond it nothing more is read
STREAM_STALL_TIMEOUT_S: Final = (
    15.0  # how long a flow may stand still; a slow client empties our buffers every 5 s
)
STREAMED_REQUEST_TIMEOUT_S: Final = 600.0  # how long a body may take to come at all


class StreamedBody:
    """A request's body that is still coming: from one client, to one host at a time."""

    def __init__(self, client: StreamingClientConnection, length: int | None) -> None:
        self.client, self.length = client, length
        self.complete = self.discarded = False
        self.on_complete: Callable[[], None] | None = None  # told of the last byte
        self._replay_buffer: list[bytes] = []
        self._replay_bytes = 0
        self._replay_dropped = False  # some of it is kept no more: no further attempt can have it
        self._upstream: StreamingUpstreamConnection | None = None

    def can_replay(self) -> bool:
        """Whether an attempt can have all of it."""
        return not self._replay_dropped

    def framing_line(self) -> bytes:
        """How its end is told to a host."""
        if self.length is None:
            return b"Transfer-Encoding: chunked\r\n"
        return b"Content-Length: %d\r\n" % self.length

    def add_data(self, data: bytes) -> None:
        """More of it has come."""
        if self.discarded:
            return
        if not self._replay_dropped:
            self._replay_buffer.append(data)
            self._replay_bytes += len(data)
        if self._upstream is not None:
            self._upstream.write_body_data(self._framed(data))
            if self._replay_bytes > MAX_REPLAYABLE_BYTES:
                self._replay_dropped = True
                self._replay_buffer.clear()
        elif self._replay_bytes > MAX_BUFFERED_BODY_BYTES + UNCLAIMED_WINDOW_BYTES:
            self.client.pause_body(True)

    def finish(self) -> None:
        """Its last byte has come; what follows on its connection is no part of it."""
        self.complete = True
        self.client.pause_body(False)
        if self._upstream is not None:
            self._upstream.finish_body(self._terminator())
        if self.on_complete is not None and not self.discarded:
            self.on_complete()

    def attach(self, connection: StreamingUpstreamConnection) -> None:
        """Write what has come, and what comes, to a connection."""
        self._upstream = connection
        for data in self._replay_buffer:
            connection.write_body_data(self._framed(data))
        if self._replay_bytes > MAX_REPLAYABLE_BYTES:
            self._replay_dropped = True
            self._replay_buffer.clear()
        if self.complete:
            connection.finish_body(self._terminator())
        elif not connection.write_paused:
            self.client.pause_body(False)

    def detach(self, connection: StreamingUpstreamConnection) -> None:
        """Write no more to it."""
        if self._upstream is connection:
            self._upstream = None

    def discard(self) -> None:
        """Nobody wants it any more: what still comes is read and forgotten."""
        self.discarded = True
        self._replay_buffer.clear()
        self.client.pause_body(False)

    def _framed(self, data: bytes) -> bytes:
        return data if self.length is not None else b"%x\r\n%b\r\n" % (len(data), data)

    def _terminator(self) -> bytes:
        return b"" if self.length is not None else b"0\r\n\r\n"


class StreamingClientConnection(ClientConnection):
    """A client's connection whose long bodies and answers flow."""

    max_body_bytes = MAX_STREAMED_REQUEST_BYTES
    max_request_bytes = 4 * MAX_STREAMED_REQUEST_BYTES  # small chunks have long lines

    def __init__(self, server: StreamingListener) -> None:
        super().__init__(server)
        self._receiving: set[StreamingClientConnection] = server.receiving
        self._incoming_body: StreamedBody | None = None  # of the request that is being read
        self._upstream: StreamingUpstreamConnection | None = None  # of the answer that is being passed on
        self._response_chunked = False

    # A body on its way to a host

    def on_oversized_body(self, data: bytes) -> None:
        """Pass the body on from here; BadRequestError (413) beyond MAX_STREAMED_REQUEST_BYTES."""
        message = self._message
        assert message is not None
        if self._incoming_body is None:
            length = message.headers.get(b"content-length")
            self._incoming_body = message.streamed_body = StreamedBody(
                self, None if length is None else int(length)
            )
            for piece in message.body:
                self._incoming_body.add_data(piece)
            message.body.clear()
            message.read_at = time.monotonic()
            message.keep_alive = self._parser.should_keep_alive()
            self._queue.append(message)  # it has its turn like a whole one
            self._receiving.add(self)
        if message.body_bytes > MAX_STREAMED_REQUEST_BYTES:
            self._parse_error_status = 413
            raise BadRequestError("body", 413)
        self._incoming_body.add_data(data)

    def on_streamed_body_complete(self) -> None:
        """The last byte of a body that is passed on has come."""
        upload = self._incoming_body
        assert upload is not None
        self._message = self._incoming_body = None
        self._received_bytes = 0
        self._receiving.discard(self)
        if not self._answer_due and not self._closing:
            self._listener.mark_idle(self)  # its answer went out before its end had come
        upload.finish()

    def pause_body(self, wait: bool) -> None:
        """Read no more of a body while no host takes it, or go on."""
        self._body_paused = wait
        if not self._taking_requests:
            self._update_reading()

    def _reject(self, status: int) -> None:
        """Also a request that waits for its turn, or was taken already: its body cannot be had."""
        upload, self._incoming_body = self._incoming_body, None
        if upload is None or self._closing:
            super()._reject(status)
            return
        self._receiving.discard(self)
        message, self._message = self._message, None
        if message is not None and message in self._queue:
            self._queue.remove(message)
            super()._reject(status)
        elif upload.discarded or self._request_id is None:
            self._close_gracefully()  # it has had its answer
        else:
            self._keep_alive = False
            self._handler.abort_request(self._request_id, status)
        upload.discard()

    def check_body_timeout(self, now: float) -> None:
        """Turn away a body that stands still, unless it waits for a host."""
        message = self._message
        if message is not None and not self._body_paused and self._read_timed_out(now):
            self._reject(408)
            self._take_requests()

    # An answer on its way to the client

    def start_response(self, reply: Response, source: StreamingUpstreamConnection) -> None:
        """Write the head of a long answer; the rest follows by `piece` and `finish`, or `cut`."""
        self._upstream = source
        keep = self._keep_alive and (
            self._listener.successor is not None or not self._handler.draining or self._has_more_input()
        )
        old = self._parser.get_http_version() == "1.0"
        self._response_chunked = reply.content_length is None and not old
        self._keep_alive = keep and (reply.content_length is not None or self._response_chunked)
        lines = [b"HTTP/1.1 %d OK\r\n" % reply.status]
        if reply.content_length is not None:
            lines.append(b"Content-Length: %d\r\n" % reply.content_length)
        elif self._response_chunked:
            lines.append(b"Transfer-Encoding: chunked\r\n")
        kind = reply.headers.get(b"content-type")
        if kind:
            lines.append(b"Content-Type: %b\r\n" % kind)
        lines.append(b"\r\n" if self._keep_alive else b"Connection: close\r\n\r\n")
        self.transport.write(b"".join(lines))

    def write_response_data(self, data: bytes) -> None:
        """Write more of it."""
        if not self.transport.is_closing():
            self.transport.write(b"%x\r\n%b\r\n" % (len(data), data) if self._response_chunked else data)

    def finish_response(self) -> None:
        """It is whole."""
        self._upstream = None
        self._request_id, self._answer_due, self.answered, self._streamed_body = None, False, True, None
        if self.transport.is_closing():
            return
        self._listener.mark_idle(self)
        if self._response_chunked:
            self.transport.write(b"0\r\n\r\n")
        if not self._keep_alive:
            self._close_gracefully()
        elif self._listener.successor is not None:
            self._listener.loop.call_soon(self.migrate)
        self._take_requests()

    def abort_response(self) -> None:
        """It cannot be had whole: the client can tell by the connection's end."""
        self._upstream = self._request_id = None
        self._closing = True
        self.transport.abort()

    def pause_writing(self) -> None:
        """The client reads too slowly: also read no more of its answer from the host."""
        super().pause_writing()
        if self._upstream is not None:
            self._upstream.pause_response(True)

    def resume_writing(self) -> None:
        """The client reads again: also read on from the host."""
        if self._upstream is not None:
            self._upstream.pause_response(False)
        super().resume_writing()

    def _on_client_disconnected(self) -> None:
        self._receiving.discard(self)
        upload, self._incoming_body = self._incoming_body, None
        if upload is not None:
            upload.discarded = True
        super()._on_client_disconnected()


class StreamingListener(Listener[StreamingClientConnection]):
    """Accepts clients whose long bodies and answers flow."""

    connection_type: ClassVar[type[Any]] = StreamingClientConnection

    def __init__(self, handler: Any, loop: asyncio.AbstractEventLoop, sockets: int) -> None:
        super().__init__(handler, loop, sockets)
        self.receiving: set[StreamingClientConnection] = set()  # whose request is taken and not yet whole

    def _check_timeouts(self) -> None:
        now = self.loop.time()
        for connection in list(self.receiving):
            connection.check_body_timeout(now)
        super()._check_timeouts()


class StreamingUpstreamConnection(UpstreamConnection):
    """A connection to a host whose long bodies and answers flow."""

    accepts_streams = True

    def __init__(self, pool: StreamingUpstreamPool, host: Any) -> None:
        super().__init__(pool, host)
        self._streaming_pool = pool
        self.client: StreamingClientConnection | None = None  # the client that the answer goes to
        self.write_paused = False  # the host does not read what we write
        self.last_data_at = 0.0
        self._body_written = True

    def start_streamed_body(self, attempt: Attempt) -> None:
        """Attach the attempt's body; `unsent` holds until its last byte has left."""
        self._body_written = False
        self.unsent = True
        if attempt.streamed_body is not None:
            attempt.streamed_body.attach(self)

    def write_body_data(self, data: bytes) -> None:
        """More of a body."""
        self.transport.write(data)

    def finish_body(self, data: bytes) -> None:
        """The end of a body."""
        if data:
            self.transport.write(data)
        self._body_written = True
        self.unsent = self.transport.get_write_buffer_size() > 0
        if not self.unsent and self.attempt is not None:
            self._streaming_pool.on_body_written(self.attempt)

    def pause_writing(self) -> None:
        """The host reads too slowly: read no more of the body from the client."""
        self.write_paused = True
        if (
            self.attempt is not None
            and self.attempt.streamed_body is not None
            and not self.attempt.streamed_body.complete
        ):
            self.attempt.streamed_body.client.pause_body(True)

    def resume_writing(self) -> None:
        """The write buffer has drained: read on from the client, or all of the request has left."""
        self.write_paused = False
        if self._body_written:
            super().resume_writing()
        elif self.attempt is not None and self.attempt.streamed_body is not None:
            self.attempt.streamed_body.client.pause_body(False)

    def on_stream_start(self, reply: Response) -> bool:
        """Begin a long answer at the client; False where it may not be passed on."""
        attempt = self.attempt
        self.client = self._streaming_pool.start_stream(self, attempt, reply) if attempt is not None else None
        self.last_data_at = asyncio.get_running_loop().time()
        return self.client is not None

    def on_stream_data(self, data: bytes) -> None:
        """Pass more of a long answer on to the client, and note when it came."""
        self.last_data_at = asyncio.get_running_loop().time()
        if self.client is not None:
            self.client.write_response_data(data)

    def pause_response(self, wait: bool) -> None:
        """Read no more of an answer while its client is full, or go on."""
        if not self.transport.is_closing():
            (self.transport.pause_reading if wait else self.transport.resume_reading)()


class StreamingUpstreamPool(UpstreamPool):
    """Sends attempts whose bodies and answers may flow."""

    connection_class: ClassVar[type[Any]] = StreamingUpstreamConnection
    on_stream_started: Callable[
        [Attempt, Response, StreamingUpstreamConnection], StreamingClientConnection | None
    ]

    def on_body_complete(self, attempt: Attempt) -> None:
        """Its body's last byte has come: its time runs from now on."""
        if not attempt.done:
            attempt.sent_at = time.monotonic()
            self.timeouts.cancel(attempt, attempt.timeout_slot)
            attempt.timeout_slot = self.timeouts.add(attempt, attempt.timeout_s)

    def on_body_written(self, attempt: Attempt) -> None:
        """An attempt whose body flowed is whole on its connection."""

    def start_stream(
        self, connection: StreamingUpstreamConnection, attempt: Attempt, reply: Response
    ) -> StreamingClientConnection | None:
        """A long answer begins; the client that it goes to, if it may."""
        if attempt.done or self.classify(reply) != AttemptResult.OK or reply.status in BODILESS_STATUSES:
            return None
        client = self.on_stream_started(attempt, reply, connection)
        if client is not None:
            self.timeouts.cancel(attempt, attempt.timeout_slot)
            self.streams[attempt] = connection
        return client

    def time_out(self, attempt: Attempt) -> None:
        if attempt not in self.streams:  # it began while its time-out waited for a turn of the loop
            super().time_out(attempt)

    def end_streams(self, attempt: Attempt) -> None:
        connection = self.streams.pop(attempt, None)
        if connection is not None:
            connection.client = None
        if attempt.streamed_body is not None:
            attempt.streamed_body.detach(attempt.connection)

    def close_expired(self) -> None:
        """Also end as timed out the answers of which nothing has come for STANDS_S."""
        super().close_expired()
        before = self.loop.time() - STREAM_STALL_TIMEOUT_S
        for attempt, connection in list(self.streams.items()):
            if connection.last_data_at < before:
                self.abandon(attempt)
                self.finish(attempt, AttemptResult.TIMED_OUT)
