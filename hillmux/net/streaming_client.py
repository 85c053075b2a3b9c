"""The client side of streaming: receives long request bodies and sends long responses."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any, ClassVar, Final

from hillmux.net.body_buffer import Body, append_piece, to_bytes
from hillmux.net.client_connection import ClientConnection
from hillmux.net.client_timeouts import is_receiving_too_slowly
from hillmux.net.diagnostics import CloseReason
from hillmux.net.http1 import MAX_BUFFERED_BODY_BYTES
from hillmux.net.listener import Listener
from hillmux.net.memory_budget import COPIES, MemoryBudget, Reservation
from hillmux.net.requests import BadRequestError
from hillmux.net.response import Response
from hillmux.net.streamed_body import StreamedBody

if TYPE_CHECKING:
    from hillmux.net.streaming_upstream import StreamingUpstreamConnection

MAX_STREAMED_REQUEST_BYTES: Final = 33 * 1024 * 1024
STREAMED_REQUEST_TIMEOUT_S: Final = 600.0  # time within which a streamed body must arrive


class StreamingClientConnection(ClientConnection):
    """A client's connection that supports streamed bodies and responses."""

    max_body_bytes = MAX_STREAMED_REQUEST_BYTES
    max_request_bytes = 4 * MAX_STREAMED_REQUEST_BYTES  # chunk framing may exceed the size of small chunks

    def __init__(self, listener: StreamingListener) -> None:
        super().__init__(listener)
        self._receiving: set[StreamingClientConnection] = listener.receiving
        self._incoming_body: StreamedBody | None = None  # the streamed body that is being received
        self._parsed_data: Body = b""  # data of that body that was parsed, but is not added to it yet
        self._upstream: StreamingUpstreamConnection | None = None  # source of the response being streamed
        self._response_chunked = False

    # Request bodies

    def on_oversized_body(self, data: bytes) -> None:
        """Switch a body that exceeds the buffer limit to streaming, and add data to it.

        Raises:
            BadRequestError: the body exceeds MAX_STREAMED_REQUEST_BYTES (413).
        """
        message = self._message
        assert message is not None
        if self._incoming_body is None:
            length = message.headers.get(b"content-length")
            self._incoming_body = message.streamed_body = StreamedBody(
                self, None if length is None else int(length), self._reserve_streamed()
            )
            message.reservation = self._incoming_body.reservation
            self._incoming_body.paused_s = message.unread_s
            body, message.body = message.body, b""
            self._incoming_body.add_data(to_bytes(body))
            message.read_at = time.monotonic() - message.unread_s
            message.keep_alive = self._parser.should_keep_alive()
            self._queue.append(message)  # handled in order, like a complete request
            self._receiving.add(self)
        if message.body_bytes > MAX_STREAMED_REQUEST_BYTES:
            self._parse_error_status = 413
            raise BadRequestError("body", 413)
        self._parsed_data = append_piece(self._parsed_data, data)

    def _reserve_streamed(self) -> Reservation:
        """Reserve the memory of a streamed body, from what its request has reserved so far.

        Raises:
            BadRequestError: There is no memory for it (503).
        """
        reservation, self._reservation = self._reservation, None
        self._listener.memory_waiters.discard(self)
        if reservation is None:
            reservation = self._memory.reserve(COPIES * MAX_BUFFERED_BODY_BYTES)
        if reservation is None:
            self._memory.rejections += 1
            self.note_close(CloseReason.MEMORY)
            self._parse_error_status = 503
            raise BadRequestError("no memory for the body", 503)
        return reservation

    def on_input_parsed(self) -> None:
        """Also add the data to the streamed body: once per slice, however many chunks it has."""
        super().on_input_parsed()
        self._add_parsed_data()

    def _add_parsed_data(self) -> None:
        if self._parsed_data and self._incoming_body is not None:
            data, self._parsed_data = self._parsed_data, b""
            self._incoming_body.add_data(to_bytes(data))

    def on_streamed_body_complete(self) -> None:
        """Finish a streamed body whose last byte has arrived."""
        self._add_parsed_data()
        upload = self._incoming_body
        assert upload is not None
        self._message = self._incoming_body = None
        self._received_bytes = 0
        self._receiving.discard(self)
        if self._input_read_at:  # its last byte waited unparsed, perhaps while the body was paused
            upload.pause(False)
            upload.paused_s = max(upload.paused_s, time.monotonic() - self._input_read_at)
        if not self._answer_due and not self._closing:
            self._listener.mark_receiving(self)  # the request was answered before its body was complete
            self._loop.call_soon(self._listener.resume_accepting)
        upload.finish()

    def window(self) -> int:
        """The number of bytes that are read at once."""
        return len(self._read_buffer)

    def pause_body(self, pause: bool) -> None:
        """Pause reading a body that is not being forwarded fast enough, or resume."""
        self._body_paused = pause
        if not self._taking_requests:
            self.update_reading()

    def reject(self, status: int) -> None:
        """Also reject a queued or open request whose streamed body can no longer be completed."""
        upload, self._incoming_body = self._incoming_body, None
        self._parsed_data = b""
        if upload is None or self._closing:
            super().reject(status)
            return
        self._receiving.discard(self)
        message, self._message = self._message, None
        if message is not None and message in self._queue:
            self._queue.remove(message)
            super().reject(status)
        elif upload.discarded or self._request_id is None:
            self._close_gracefully(CloseReason.REJECTED)  # the request has already been answered
        else:
            self._keep_alive = False
            self._handler.abort_request(self._request_id, status)
        upload.discard()

    def check_body_timeout(self, now: float) -> None:
        """Reject a stalled body, unless the gateway has paused it for a host or for earlier requests."""
        message, paused_by_gateway = self._message, self._body_paused or self._unparsed.size > 0
        if message is not None and not paused_by_gateway and is_receiving_too_slowly(message, now):
            self.reject(408)
            self.take_requests()

    # Responses

    def start_response(self, response: Response, source: StreamingUpstreamConnection) -> None:
        """Write the head of a streamed response; its body follows from `source`."""
        self._upstream = source
        self._response_chunked = response.content_length is None and not self.is_http_1_0()
        self._keep_alive = self._keeps_alive() and (
            response.content_length is not None or self._response_chunked
        )
        lines = [b"HTTP/1.1 %d OK\r\n" % response.status]
        if response.content_length is not None:
            lines.append(b"Content-Length: %d\r\n" % response.content_length)
        elif self._response_chunked:
            lines.append(b"Transfer-Encoding: chunked\r\n")
        content_type = response.headers.get(b"content-type")
        if content_type:
            lines.append(b"Content-Type: %b\r\n" % content_type)
        lines.append(b"\r\n" if self._keep_alive else b"Connection: close\r\n\r\n")
        self.transport.set_write_buffer_limits(high=0)  # one part of the body may wait for the client
        self.transport.write(b"".join(lines))

    def write_response_data(self, data: bytes) -> None:
        """Write a part of the response's body."""
        if not self.transport.is_closing():
            self.transport.write(b"%x\r\n%b\r\n" % (len(data), data) if self._response_chunked else data)

    def finish_response(self) -> None:
        """Write the end of a streamed response."""
        self._upstream = None
        self._request_id, self._answer_due, self.answered, self._streamed_body = None, False, True, None
        if self.transport.is_closing():
            return
        if self._response_chunked:
            self.transport.write(b"0\r\n\r\n")
        self._listener.mark_idle(self)
        self._after_answer(self._keep_alive)

    def abort_response(self) -> None:
        """Close the connection, which shows the client that the response is truncated."""
        self._upstream = self._request_id = None
        self._closing = True
        self.abort_for(CloseReason.RESPONSE_ABORTED)

    def pause_writing(self) -> None:
        """Also pause reading the response from the host, because the client reads too slowly."""
        super().pause_writing()
        if self._upstream is not None:
            self._upstream.pause_response(True)

    def resume_writing(self) -> None:
        """Also resume reading the response from the host."""
        if self._upstream is not None:
            self._upstream.pause_response(False)
        super().resume_writing()

    def _on_client_disconnected(self) -> None:
        self._receiving.discard(self)
        upload, self._incoming_body = self._incoming_body, None
        self._parsed_data = b""
        if upload is not None:
            upload.discarded = True
        super()._on_client_disconnected()


class StreamingListener(Listener[StreamingClientConnection]):
    """Accepts clients whose long bodies and responses are streamed."""

    connection_type: ClassVar[type[Any]] = StreamingClientConnection

    def __init__(
        self,
        handler: Any,
        loop: asyncio.AbstractEventLoop,
        sockets: int,
        memory: MemoryBudget | None = None,
    ) -> None:
        super().__init__(handler, loop, sockets, memory)
        self.receiving: set[StreamingClientConnection] = set()  # connections with an incomplete streamed body

    def _check_timeouts(self) -> None:
        now = self.loop.time()
        for connection in list(self.receiving):
            connection.check_body_timeout(now)
        super()._check_timeouts()
