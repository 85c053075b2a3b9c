"""One client connection: its requests are processed in order, one at a time, with one response each."""

from __future__ import annotations

import asyncio
import os
import re
from typing import TYPE_CHECKING, Any, Final, cast

from hillmux.net.client_input import ClientInput
from hillmux.net.client_timeouts import (
    FIRST_REQUEST_GRACE_S,
    HEAD_TIMEOUT_S,
    KEEP_ALIVE_TIMEOUT_S,
    is_receiving_too_slowly,
)
from hillmux.net.diagnostics import CloseReason
from hillmux.net.http1 import NOT_CONNECTED
from hillmux.net.lingering_close import (
    LINGER_TIMEOUT_S,
    MAX_LINGER_BYTES,
    OVERFLOW_LINGER_TIMEOUT_S,
    has_unread_input,
    peer_has_closed,
)
from hillmux.net.memory_budget import SHED_RETRY_AFTER_MS, UNRESERVED_RESPONSE_BYTES, Reservation
from hillmux.net.requests import (
    BadRequestError,
    RejectedRequest,
    RequestMessage,
    ShedRequest,
    parse_request,
)
from hillmux.net.response_writer import encode_response

if TYPE_CHECKING:
    from hillmux.net.listener import Listener

ABSOLUTE_FORM_ORIGIN: Final = re.compile(rb"^https?://[^/?#]*(?=/)", re.IGNORECASE)  # RFC 9112 section 3.2.2
READY_PATH: Final = b"/ready"
API_PREFIX: Final = b"/api/"


class ClientConnection(ClientInput):
    """A client's connection from accept to close.

    It has the methods of `asyncio.Protocol` without inheriting from it (see `ResponseProtocol`).
    """

    _streamed_body: Any = None  # the body of the open request, if it is streamed
    _body_paused = False  # reading is paused because no host accepts more of the streamed body
    extra_header_lines = b""  # complete header lines added to the next response

    def __init__(self, listener: Listener[Any]) -> None:
        super().__init__(listener)
        self._unsent: Reservation | None = None  # memory of a response that is not small, until it is sent
        self.sheds_load = False  # accepted beyond the capacity: its first request is rejected
        self._handler = listener.handler
        self._request_id: str | None = None  # the id of the open request
        self._keep_alive = True
        self._holds_memory = False  # the open request is not small, or was queued behind another one
        self._taking_requests = self._reading_paused = False
        self._writing_paused = False  # the write buffer is full: the client does not read its responses
        self.close_reason: CloseReason | None = None  # None: the client closes the connection

    # The methods of asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and register with the listener."""
        self.transport = cast(asyncio.Transport, transport)
        self._listener.on_connection_made(self)

    def abort_for(self, reason: CloseReason) -> None:
        """Close the connection at once, and record why."""
        self.note_close(reason)
        self.transport.abort()

    def note_close(self, reason: CloseReason) -> None:
        """Record why the connection is being closed; the first reason counts."""
        if self.close_reason is None:
            self.close_reason = reason

    def pause_writing(self) -> None:
        """Process no further requests while the write buffer is full, to bound memory."""
        self._writing_paused = True

    def resume_writing(self) -> None:
        """Process the queued requests again: the write buffer has drained."""
        self._writing_paused = False
        self._unsent = None
        self.take_requests()

    def eof_received(self) -> None:
        """Abandon the open request: the client has closed its sending side.

        The transport closes itself once its write buffer is empty. A client that does not read its responses
        would prevent that for ever, so the open request is abandoned at once and `check_timeouts` closes the
        connection.
        """
        self._on_client_disconnected()
        self._listener.mark_idle(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Deregister the closed connection and abandon the open request."""
        self._listener.on_connection_lost(self)
        self._unsent = None
        self._on_client_disconnected()
        self._streamed_body = None

    def has_disconnected(self, behind: bool) -> bool:
        """Whether the client has closed or reset the connection, even if the loop has not processed that yet.

        Args:
            behind: Whether the event loop is running late. Otherwise only connections without any response so
                far and requests that took or waited for memory are checked, since the check costs a system
                call. Such a request may take many reads, and the client's close stands behind all of them.
        """
        return (behind or not self.answered or self._holds_memory) and peer_has_closed(self.transport)

    def on_hang_up(self) -> None:
        """Abort the connection: the client has disconnected while reading was paused."""
        self._on_client_disconnected()
        self.transport.abort()

    def _on_client_disconnected(self) -> None:
        """Drop the queued requests and abandon the open one: nobody reads the responses."""
        self._closing = True
        self._queue.clear()
        self._unparsed.clear()
        self.release_parser()
        self._release_incomplete()
        self._listener.hang_up_detector.unwatch(self)
        request_id, self._request_id = self._request_id, None
        if request_id is not None:
            self._handler.client_disconnected(request_id)

    # Requests

    def take_requests(self) -> None:
        """Process the queued requests one at a time; parse stored input only while none is queued."""
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
                if self._pieces > self._piece_budget:
                    self._defer()
                    break
                self._parse(*self._unparsed.popleft())  # MAX_PIPELINED applies to each piece
        finally:
            self._taking_requests = False
        if self._queue or self._body_paused or self._reading_paused:
            self.update_reading()

    def update_reading(self) -> None:
        """Pause or resume reading.

        This bounds the input that is stored. After a close has begun, reading also pauses while responses are
        due, so that the limit on discarded input does not abort the connection before they are sent.
        """
        answers_due = self._answer_due or bool(self._queue)
        pause = (
            self._body_paused
            or (self._closing and answers_due and self._received_bytes > MAX_LINGER_BYTES)
            or self._unparsed.over_limit()
            or self._is_deferred
            or self._awaits_memory
            or (bool(self._queue) and self._memory.under_pressure())
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
            if self.sheds_load:
                self._shed(False)
                self._loop.call_later(OVERFLOW_LINGER_TIMEOUT_S, self.abort_for, CloseReason.EVICTED)
                return
            if isinstance(item, ShedRequest):
                self._shed(item.keep_alive)
                return
            if isinstance(item, RejectedRequest):
                raise BadRequestError("request could not be parsed", item.status)
            self._keep_alive = item.keep_alive
            self._holds_memory = item.reservation is not None
            if item.streamed_body is not None:
                self._streamed_body = item.streamed_body
            self._route(item)
        except BadRequestError as error:
            self._keep_alive = False  # a flood of bad requests has to reconnect for each one
            self.answer(error.status, retry_after_ms=SHED_RETRY_AFTER_MS if error.status == 503 else 0.0)

    def _shed(self, keep_alive: bool) -> None:
        """Reject the open request, because the process is short of memory or descriptors."""
        self._keep_alive = keep_alive
        self.answer(503, retry_after_ms=SHED_RETRY_AFTER_MS)

    def _route(self, message: RequestMessage) -> None:
        if message.url[:1] != b"/":
            message.url = ABSOLUTE_FORM_ORIGIN.sub(b"", message.url) or b"/"
        path = message.url.partition(b"?")[0]
        if path == READY_PATH and message.method == b"GET":
            self.answer(200 if self._handler.ready() else 503)
        elif path.startswith(API_PREFIX):
            self._forward(message)
        else:
            raise BadRequestError("path: expected /ready or a path below /api/", 404)

    def _forward(self, message: RequestMessage) -> None:
        rules = self._listener.request_rules
        assert rules is not None  # a listener without rules overrides `_route`
        request_id = self._handler.request(self, parse_request(message, rules))
        if request_id is None:
            raise BadRequestError("X-Request-Id: id is in use by an open request", 409)
        if self._answer_due:  # otherwise the handler has already answered it
            self._request_id = request_id

    # Responses

    def answer(
        self, status: int, body: bytes = b"", content_type: bytes = b"", retry_after_ms: float = 0.0
    ) -> None:
        """Send the response to the open request, then process the next one.

        Args:
            status: The response's status.
            body: The response's body.
            content_type: The value of Content-Type; no such header if empty.
            retry_after_ms: The value of Retry-After in milliseconds; no such header if 0.
        """
        self._request_id, self._answer_due, self.answered = None, False, True
        if self._streamed_body is not None:
            streamed_body, self._streamed_body = self._streamed_body, None
            if not streamed_body.complete:
                streamed_body.discard()  # the rest is still read, so that the client receives this response
        if self.transport.is_closing():
            return
        keep_alive = self._keeps_alive()
        header_lines = self._retry_after_line(retry_after_ms) if retry_after_ms > 0 else b""
        if self.extra_header_lines:
            header_lines += self.extra_header_lines
            self.extra_header_lines = b""
        if len(body) > UNRESERVED_RESPONSE_BYTES:
            self._reserve_until_sent(len(body))
        self.transport.write(encode_response(status, body, content_type, header_lines, keep_alive))
        self._listener.mark_idle(self)  # after the write, as an idle connection may be evicted at once
        self._after_answer(keep_alive)

    def _reserve_until_sent(self, size: int) -> None:
        """Charge a response until the write buffer is empty; until then no further request is processed."""
        self.transport.set_write_buffer_limits(high=0)
        self._unsent = self._memory.force(size)

    def _keeps_alive(self) -> bool:
        """Whether the connection stays open after the response being sent.

        While the gateway is draining, it stays open only if a successor process can take it over or further
        input has arrived on it.
        """
        return self._keep_alive and (
            self._listener.successor is not None or not self._handler.draining or self._has_more_input()
        )

    def _after_answer(self, keep_alive: bool) -> None:
        if not keep_alive:
            self._close_gracefully(CloseReason.LAST_RESPONSE)
        elif self._listener.successor is not None:
            self._loop.call_soon(self.migrate)
        self.take_requests()

    def _retry_after_line(self, wait_ms: float) -> bytes:
        """The Retry-After line in seconds with three decimals, which the platform's clients accept."""
        return b"Retry-After: %.3f\r\n" % (wait_ms / 1000)

    def _has_more_input(self) -> bool:
        """Whether input after the open request has arrived, so that further responses will be due."""
        return (
            bool(self._queue)
            or self._unparsed.size > 0
            or self._message is not None
            or has_unread_input(self.transport)
        )

    # Closing

    def _close_gracefully(self, reason: CloseReason) -> None:
        """Shut down the sending side after the last response, then discard input (`lingering_close`)."""
        if self.transport.is_closing():
            return
        self.note_close(reason)
        self._closing = True
        self._queue.clear()
        self._unparsed.clear()
        self.release_parser()
        self._release_incomplete()
        self._received_bytes = 0
        self.waiting_since = self._loop.time()
        self.transport.write_eof()
        self.update_reading()

    def has_open_request(self) -> bool:
        """Whether a request of a client that has not left was read and has not been answered."""
        return self._request_id is not None or bool(self._queue)

    def check_timeouts(self, now: float) -> None:
        """Close the connection if it has been idle too long, or its request has arrived too slowly.

        Args:
            now: The loop's time in seconds.
        """
        waited = now - self.waiting_since
        if self._closing:
            if waited > LINGER_TIMEOUT_S:
                self.abort_for(CloseReason.UNREAD_RESPONSE)  # frees the descriptor
        elif self._is_deferred and self._unparsed.size:
            pass  # the gateway has not parsed what the client has sent
        elif self._message is not None:
            if waited > HEAD_TIMEOUT_S and is_receiving_too_slowly(self._message, now):
                self.reject(408)
                self.take_requests()
        elif waited > (KEEP_ALIVE_TIMEOUT_S if self.answered else HEAD_TIMEOUT_S):
            self.close_if_idle(CloseReason.IDLE)

    def close_if_idle(self, reason: CloseReason) -> None:
        """Close unless a request is open or being received, or unread input has arrived."""
        if not (self._answer_due or self._closing or self.transport.is_closing() or self._has_more_input()):
            self._close_gracefully(reason)

    def drain(self, now: float) -> None:
        """Close if idle; a new connection first gets FIRST_REQUEST_GRACE_S to send its first request.

        Args:
            now: The loop's time in seconds.
        """
        if self.answered or now - self.waiting_since > FIRST_REQUEST_GRACE_S:
            self.close_if_idle(CloseReason.DRAINING)

    def can_close_without_loss(self) -> bool:
        """Whether all responses have left this process, and no complete request or unread input is left."""
        return (
            not self._queue
            and not self._unparsed.size
            and not self.transport.get_write_buffer_size()
            and not has_unread_input(self.transport)
        )

    def evict(self) -> None:
        """Close the idle connection for a waiting client; an incomplete request is rejected."""
        if self._message is not None and self._message.streamed_body is None:
            self.transport.set_write_buffer_limits(high=0)  # the response is written before the close
            retry_after = self._retry_after_line(SHED_RETRY_AFTER_MS)
            self.transport.write(encode_response(503, b"", b"", retry_after, False))
        self._closing = True
        self.abort_for(CloseReason.EVICTED)

    def migrate(self) -> bool:
        """Pass the connection to the successor process if it is idle and all responses have been sent.

        Returns:
            Whether the connection was passed on.
        """
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
        self.note_close(CloseReason.MIGRATED)
        transport.abort()  # closes this process's descriptor only; the connection stays open
        return True
