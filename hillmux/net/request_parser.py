"""Parses the requests of one client connection and queues the complete ones; does not read from sockets."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from typing import Final

import httptools

from hillmux.net.body_buffer import append_piece
from hillmux.net.http1 import MAX_BUFFERED_BODY_BYTES, NOT_CONNECTED, OPTIONAL_WHITESPACE
from hillmux.net.requests import (
    GATEWAY_HEADERS,
    BadRequestError,
    RejectedRequest,
    RequestMessage,
    check_framing,
)

MAX_HEAD_BYTES: Final = 32 * 1024
MAX_FRAMED_BODY_BYTES: Final = 2 * MAX_BUFFERED_BODY_BYTES  # a buffered body including its chunk lines
MAX_PIPELINED: Final = 32  # complete requests queued behind the open one; more in one read are a flood
MAX_FLOOD_ANSWERS: Final = 17  # requests of a flood that are processed before it is rejected
# Replaces the parser of a closed connection: a parser refers to its connection, so both would stay in memory
# until the cyclic garbage collector runs.
CLOSED_PARSER: Final = httptools.HttpRequestParser(object())


class RequestParser:
    """The httptools callbacks of one connection.

    An exception in a callback reaches the caller of `feed_data` as an `HttpParserError`; the client is then
    answered with `_parse_error_status`.
    """

    kept_headers = GATEWAY_HEADERS
    max_body_bytes = MAX_BUFFERED_BODY_BYTES  # a larger Content-Length is rejected when the head is parsed
    max_request_bytes = MAX_HEAD_BYTES + MAX_FRAMED_BODY_BYTES
    message_type: type[RequestMessage] = RequestMessage

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self.transport = NOT_CONNECTED
        self._parser = httptools.HttpRequestParser(self)
        self._is_http_1_0 = False  # the latest request before the parser was released
        self._message: RequestMessage | None = None  # the message being received
        self._queue: deque[RequestMessage | RejectedRequest] = deque()  # requests in order of arrival
        self._answer_due = False  # a request is open: its response has not been sent
        self._parse_error_status = 400
        self._pieces = 0  # header fields and pieces of bodies parsed since the latest read
        self._has_body_data = False  # the slice of input being parsed has data of a body
        # time.monotonic when the input being parsed was read, if it has waited; 0 if it was read just now
        self._input_read_at = 0.0
        self._first_input_at = 0.0  # time.monotonic at which input arrived before the accept; 0 if none did
        # Bytes received of the current message, or discarded after a rejection or the last response
        self._received_bytes = 0

    def date_first_request(self, unread_s: float) -> None:
        """Let the first request's time begin when its input arrived: `unread_s` ago, or 0 if none has."""
        if unread_s:
            self._first_input_at = time.monotonic() - unread_s

    def on_message_begin(self) -> None:
        """Start a new request.

        Raises:
            BadRequestError: More than MAX_PIPELINED requests are queued; the limit bounds the connection's
                memory. The client gets this error soon: only the first requests are processed before it.
        """
        if len(self._queue) > MAX_PIPELINED:
            while len(self._queue) > MAX_FLOOD_ANSWERS:
                self._queue.pop()
            raise BadRequestError("too many requests at once")
        self._message = self.message_type()
        if self._first_input_at:
            self._message.unread_s, self._first_input_at = time.monotonic() - self._first_input_at, 0.0

    def on_url(self, url: bytes) -> None:
        """Append a piece of the request target."""
        message = self._message
        assert message is not None
        message.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header if it is one of `kept_headers`; trailers are ignored.

        Raises:
            BadRequestError: The headers exceed MAX_HEAD_BYTES in total.
        """
        message = self._message
        assert message is not None
        self._pieces += 1
        if message.method:
            return
        message.head_bytes += len(name) + len(value)
        if message.head_bytes > MAX_HEAD_BYTES:
            raise BadRequestError("head")
        name = name.lower()
        if name in self.kept_headers:
            headers = message.headers
            if name in headers:
                message.has_duplicate_header = True
            headers[name] = value.strip(OPTIONAL_WHITESPACE)

    def on_headers_complete(self) -> None:
        """Check the framing, and send the interim response to `Expect: 100-continue`.

        Raises:
            BadRequestError: The framing is ambiguous (400) or the body too long (413).
        """
        message = self._message
        assert message is not None
        message.method = self._parser.get_method()
        try:
            check_framing(message, self.max_body_bytes)
        except BadRequestError as error:
            self._parse_error_status = error.status
            raise
        if message.headers.get(b"expect", b"").lower() == b"100-continue" and not self._answer_due:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Buffer the body up to MAX_BUFFERED_BODY_BYTES; data beyond that goes to `on_oversized_body`."""
        message = self._message
        assert message is not None
        self._pieces += 1
        self._has_body_data = True
        message.body_bytes += len(data)
        if message.body_bytes > MAX_BUFFERED_BODY_BYTES:
            self.on_oversized_body(data)
        else:
            message.body = append_piece(message.body, data)

    def on_oversized_body(self, data: bytes) -> None:
        """Handle a piece of a body that exceeds MAX_BUFFERED_BODY_BYTES; rejects it unless overridden.

        Raises:
            BadRequestError: The body is too long (413).
        """
        self._parse_error_status = 413
        raise BadRequestError("body", 413)

    def on_input_parsed(self) -> None:
        """Record when body data arrived; called after each slice of input parsed without an error."""
        if self._has_body_data:
            self._has_body_data = False
            if self._message is not None:
                self._message.last_data_at = self._loop.time()

    def count_unfinished(self, message: RequestMessage, size: int, element_ended: bool) -> None:
        """Count what the parser may hold of an element that has not ended; called after each slice of input.

        Args:
            message: The incomplete message.
            size: The length of the slice.
            element_ended: Whether the parser has reported an element of it.
        """
        delivered = message.head_bytes + len(message.url) + message.body_bytes
        if element_ended or not message.unfinished_bytes:
            message.unfinished_bytes = max(size - (delivered - message.delivered_bytes), 0)
            message.silent_bytes = 0
        else:
            message.unfinished_bytes += size
            message.silent_bytes += size
        message.delivered_bytes = delivered

    def on_streamed_body_complete(self) -> None:
        """Called when the last byte of a streamed body has arrived."""

    def on_message_complete(self) -> None:
        """Queue the complete request; a request with a streamed body was queued before its end."""
        message = self._message
        assert message is not None
        if message.streamed_body is not None:
            self.on_streamed_body_complete()
            return
        self._message = None
        self._received_bytes = 0
        message.keep_alive = self._parser.should_keep_alive()
        message.read_at = (self._input_read_at or time.monotonic()) - message.unread_s
        self.queue_complete(message)

    def release_parser(self) -> None:
        """Release the parser and the incomplete request; no further input is parsed."""
        if self._parser is not CLOSED_PARSER:
            self._is_http_1_0 = self._parser.get_http_version() == "1.0"
            self._parser = CLOSED_PARSER
        self._message = None

    def is_http_1_0(self) -> bool:
        """Whether the latest request is one of HTTP/1.0."""
        return self._is_http_1_0 or self._parser.get_http_version() == "1.0"

    def queue_complete(self, message: RequestMessage) -> None:
        """Queue a complete request."""
        self._queue.append(message)
