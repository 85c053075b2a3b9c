"""One connection of a client: requests are taken one at a time, in order, each with exactly one answer."""

from __future__ import annotations

import asyncio
import os
import re
from typing import TYPE_CHECKING, Any, Final, cast

import httptools

from hillmux.net.client_timeouts import (
    FIRST_REQUEST_GRACE_S,
    HEAD_TIMEOUT_S,
    KEEP_ALIVE_TIMEOUT_S,
    is_receiving_too_slowly,
)
from hillmux.net.http1 import NOT_CONNECTED
from hillmux.net.lingering_close import (
    LINGER_TIMEOUT_S,
    MAX_LINGER_BYTES,
    has_unread_input,
    peer_has_closed,
)
from hillmux.net.request_parser import MAX_HEAD_BYTES, RequestParser
from hillmux.net.requests import BadRequestError, RejectedRequest, RequestMessage, parse_request
from hillmux.net.response_writer import encode_response
from hillmux.net.unparsed_input import UnparsedInput

if TYPE_CHECKING:
    from hillmux.net.listener import Listener

ABSOLUTE_FORM_ORIGIN: Final = re.compile(rb"^https?://[^/?#]*(?=/)", re.IGNORECASE)  # RFC 9112 section 3.2.2
READY_PATH: Final = b"/ready"
API_PREFIX: Final = b"/api/"


class ClientConnection(RequestParser):
    """A connection between its accept and its close.

    An `asyncio.Protocol` by its methods, not by its base (see `ResponseProtocol`).
    """

    _streamed_body: Any = None  # of the open request, if its body is streamed
    _body_paused = False  # no host takes that body: nothing more of it is read
    extra_header_lines = b""  # of the next answer

    def __init__(self, listener: Listener[Any]) -> None:
        super().__init__(listener.loop)
        self._listener, self._handler = listener, listener.handler
        self._request_id: str | None = None  # of the open request
        self._keep_alive = True
        self._closing = False
        self.answered = False  # at least one request
        self._taking_requests = self._reading_paused = False
        self._unparsed = UnparsedInput(listener.unparsed_total)
        self._writing_paused = False  # the client does not read its answers
        self.waiting_since = 0.0  # the loop's time when it was opened, became idle, or a message began

    # The methods of asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, and register with the listener."""
        self.transport = cast(asyncio.Transport, transport)
        self._listener.on_connection_made(self)

    def data_received(self, data: bytes) -> None:
        """Parse input, or hold it unparsed while requests wait.

        A client may send much and disconnect. Its end stands behind all that it sent and shows only once that
        has been read; otherwise its requests would be forwarded one by one although nobody waits for them.
        """
        if self._closing:
            self._discard(data)
        elif self._unparsed.size or (self._queue and not self._receiving_streamed_body()):
            self._unparsed.append(data)
            self._update_reading()
        else:
            self._parse(data)
            self._take_requests()

    def _receiving_streamed_body(self) -> bool:
        """Whether the body that is being received is passed on piece by piece, however many requests wait."""
        return self._message is not None and self._message.streamed_body is not None

    def _discard(self, data: bytes) -> None:
        self._received_bytes += len(data)
        if self._received_bytes > MAX_LINGER_BYTES:
            if self._answer_due or self._queue:
                self._update_reading()
            else:
                self.transport.abort()

    def _parse(self, data: bytes) -> None:
        self._received_bytes += len(data)
        if self._message is None and not self._answer_due and self.answered:
            self._listener.mark_idle(self)
        try:
            self._parser.feed_data(data)
            in_head = self._message is not None and self._message.method == b""
            if self._received_bytes > (MAX_HEAD_BYTES if in_head else self.max_request_bytes):
                self._reject(400)  # bounds the memory of a head without an end
        except httptools.HttpParserUpgrade:  # none is offered: this request is answered as the last
            self._closing = True
            last = self._queue[-1]
            if isinstance(last, RequestMessage):
                last.keep_alive = False
        except httptools.HttpParserError:
            self._reject(self._parse_error_status)

    def pause_writing(self) -> None:
        """The write buffer is full: take no further request until the client reads, which bounds memory."""
        self._writing_paused = True

    def resume_writing(self) -> None:
        """The write buffer has drained: go on with the requests that wait."""
        self._writing_paused = False
        self._take_requests()

    def eof_received(self) -> None:
        """The client has disconnected; the transport closes itself once all that was answered has left.

        With answers that nobody reads that would be never, so the open request ends now, and the connection
        by `check_timeouts`.
        """
        self._on_client_disconnected()
        self._listener.mark_idle(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is closed: free its place, and abandon the open request."""
        self._listener.on_connection_lost(self)
        self._on_client_disconnected()

    def has_disconnected(self, behind: bool) -> bool:
        """Whether the client has closed or reset the connection, even if the loop has not read so yet.

        Looked at only if the loop runs `behind` or before the first answer: it costs a system call.
        """
        return (behind or not self.answered) and peer_has_closed(self.transport)

    def on_hang_up(self) -> None:
        """The client has disconnected while the connection was not being read."""
        self._on_client_disconnected()
        self.transport.abort()

    def _on_client_disconnected(self) -> None:
        """Take no more requests, and abandon the open one: nobody reads the answers."""
        self._closing = True
        self._queue.clear()
        self._unparsed.clear()
        self._listener.hang_up_detector.unwatch(self)
        request_id, self._request_id = self._request_id, None
        if request_id is not None:
            self._handler.client_disconnected(request_id)

    # Requests

    def _reject(self, status: int) -> None:
        """Answer with an error after all that came before, and read no further requests."""
        if not self._closing:
            self._closing = True
            self._message = None
            self._received_bytes = 0
            self._queue.append(RejectedRequest(status))

    def _take_requests(self) -> None:
        """Take the requests that wait, one at a time; parse further input only while none waits."""
        if (
            self._taking_requests
            or self.transport is NOT_CONNECTED
            or not (self._queue or self._reading_paused or self._unparsed.size)
        ):
            return
        self._taking_requests = True
        try:
            while True:
                while self._queue and not self._answer_due and not self._writing_paused:
                    self._take_request(self._queue.popleft())
                if self._queue or self._closing or not self._unparsed.size:
                    break
                self._parse(self._unparsed.popleft())  # MAX_PIPELINED holds for each piece
        finally:
            self._taking_requests = False
        if self._queue or self._body_paused or self._reading_paused:
            self._update_reading()

    def _update_reading(self) -> None:
        """Pause or resume reading: input is bounded, and answers that are due go before discarded input."""
        answers_due = self._answer_due or bool(self._queue)
        pause = (
            self._body_paused
            or (self._closing and answers_due and self._received_bytes > MAX_LINGER_BYTES)
            or self._unparsed.over_limit()
        )
        if pause == self._reading_paused or self.transport.is_closing():
            return
        self._reading_paused = pause
        if pause:
            self.transport.pause_reading()
            self._listener.hang_up_detector.watch(self)
        else:
            self._listener.hang_up_detector.unwatch(self)
            self.transport.resume_reading()

    def _take_request(self, item: RequestMessage | RejectedRequest) -> None:
        self._answer_due = True
        self._listener.mark_busy(self)
        try:
            if isinstance(item, RejectedRequest):
                raise BadRequestError("unreadable", item.status)
            self._keep_alive = item.keep_alive
            if item.streamed_body is not None:
                self._streamed_body = item.streamed_body
            self._route(item)
        except BadRequestError as error:
            self._keep_alive = False  # so that a flood of bad requests has to connect again
            self.answer(error.status)

    def _route(self, message: RequestMessage) -> None:
        if message.url[:1] != b"/":
            message.url = ABSOLUTE_FORM_ORIGIN.sub(b"", message.url) or b"/"
        path = message.url.partition(b"?")[0]
        if path == READY_PATH and message.method == b"GET":
            self.answer(200 if self._handler.ready() else 503)
        elif path.startswith(API_PREFIX):
            self._forward(message)
        else:
            raise BadRequestError("path", 404)

    def _forward(self, message: RequestMessage) -> None:
        rules = self._listener.request_rules
        assert rules is not None  # a listener without rules routes in a way of its own
        request_id = self._handler.request(self, parse_request(message, rules))
        if request_id is None:
            raise BadRequestError("an id that is in use", 409)
        if self._answer_due:  # otherwise it has been answered already
            self._request_id = request_id

    # Answers

    def answer(
        self, status: int, body: bytes = b"", content_type: bytes = b"", retry_after_ms: float = 0.0
    ) -> None:
        """Send the one answer to the open request, and take the next one."""
        self._request_id, self._answer_due, self.answered = None, False, True
        if self._streamed_body is not None:
            streamed_body, self._streamed_body = self._streamed_body, None
            if not streamed_body.complete:
                streamed_body.discard()  # the rest is read, so that the client gets this answer
        if self.transport.is_closing():
            return
        self._listener.mark_idle(self)
        keep_alive = self._keeps_alive()
        further_lines = self._retry_after_line(retry_after_ms) if retry_after_ms > 0 else b""
        if self.extra_header_lines:
            further_lines += self.extra_header_lines
            self.extra_header_lines = b""
        self.transport.write(encode_response(status, body, content_type, further_lines, keep_alive))
        self._after_answer(keep_alive)

    def _keeps_alive(self) -> bool:
        """Whether the connection stays open after the answer that is sent now.

        While the gateway drains, only if a successor can take it over or more requests have arrived on it.
        """
        return self._keep_alive and (
            self._listener.successor is not None or not self._handler.draining or self._has_more_input()
        )

    def _after_answer(self, keep_alive: bool) -> None:
        if not keep_alive:
            self._close_gracefully()
        elif self._listener.successor is not None:
            self._loop.call_soon(self.migrate)
        self._take_requests()

    def _retry_after_line(self, wait_ms: float) -> bytes:
        """The header's line, with decimals, which the platform's clients read."""
        return b"Retry-After: %.3f\r\n" % (wait_ms / 1000)

    def _has_more_input(self) -> bool:
        """Whether more than the open request has arrived, so that its answer is not the last."""
        return (
            bool(self._queue)
            or self._unparsed.size > 0
            or self._message is not None
            or has_unread_input(self.transport)
        )

    # Closing

    def _close_gracefully(self) -> None:
        """Shut the sending side after the last answer, and read on for a while (`lingering_close`)."""
        if self.transport.is_closing():
            return
        self._closing = True
        self._queue.clear()
        self._unparsed.clear()
        self._received_bytes = 0
        self.waiting_since = self._loop.time()
        self.transport.write_eof()
        self._update_reading()

    def check_timeouts(self, now: float) -> None:
        """Close if the client has been silent, idle or slow to send its request for too long."""
        waited = now - self.waiting_since
        if self._closing:
            if waited > LINGER_TIMEOUT_S:
                self.transport.abort()  # also where it never reads its last answer: frees the descriptor
        elif self._message is not None:
            if waited > HEAD_TIMEOUT_S and is_receiving_too_slowly(self._message, now):
                self._reject(408)
                self._take_requests()
        elif waited > (KEEP_ALIVE_TIMEOUT_S if self.answered else HEAD_TIMEOUT_S):
            self.close_if_idle()

    def close_if_idle(self) -> None:
        """Close unless a request is open, is being received, or has arrived and is unread."""
        if not (self._answer_due or self._closing or self.transport.is_closing() or self._has_more_input()):
            self._close_gracefully()

    def drain(self, now: float) -> None:
        """Close if idle; one that has not sent any request yet is left FIRST_REQUEST_GRACE_S to do so."""
        if self.answered or now - self.waiting_since > FIRST_REQUEST_GRACE_S:
            self.close_if_idle()

    def can_close_without_loss(self) -> bool:
        """Whether all answers have left and no input is unread."""
        return not self.transport.get_write_buffer_size() and not has_unread_input(self.transport)

    def migrate(self) -> bool:
        """Pass the connection to the successor process if it is idle and all answers have left."""
        successor, transport = self._listener.successor, self.transport
        if (
            successor is None
            or self._answer_due
            or self._message is not None
            or self._queue
            or self._unparsed.size
            or self._closing
            or transport is NOT_CONNECTED
            or transport.is_closing()
            or transport.get_write_buffer_size()
        ):
            return False
        successor.pass_connection(os.dup(transport.get_extra_info("socket").fileno()))
        self._closing = True
        transport.abort()  # closes this process's descriptor only; the client notices nothing
        return True
