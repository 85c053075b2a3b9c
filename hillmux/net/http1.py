"""The client side of one HTTP/1.1 connection, shared by hosts, counter and discovery.

Decides whether a response is complete, whether it was requested, and whether its connection may be reused.
"""

from __future__ import annotations

import asyncio
import re
import time
from dataclasses import dataclass
from typing import Final, cast

import httptools

MAX_BUFFERED_BODY_BYTES: Final = 64 * 1024
MAX_ENDPOINT_LIST_BYTES: Final = 4 * 1024 * 1024
MAX_FRAMING_BYTES: Final = 64 * 1024  # of one response: its head and interim responses
MAX_CHUNK_OVERHEAD: Final = 16  # bytes of chunk lines for each byte of a body; a chunk may hold one byte
MAX_STREAMED_BODY_BYTES: Final = 64 * 1024 * 1024  # of a streamed response
DECIMAL_NUMBER: Final = re.compile(rb"-?[0-9]{1,15}(?:\.[0-9]{1,15})?(?:[eE][+-]?[0-9]{1,2})?")
OPTIONAL_WHITESPACE: Final = b" \t"  # RFC 9110 section 5.5; the parser leaves it behind a value
BODILESS_STATUSES: Final = frozenset((204, 304))
NOT_CONNECTED: Final = cast(asyncio.Transport, None)  # the transport until the connection is up


class MalformedResponseError(Exception):
    """The input is no response that can be forwarded."""


def parse_decimal(text: bytes) -> float | None:
    """A decimal number as it stands on the wire; None where it is none. `float` reads more, such as `1_0`."""
    return float(text) if DECIMAL_NUMBER.fullmatch(text) else None


@dataclass(slots=True, init=False)
class Response:
    """One response."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    keep_alive: bool
    streamed: bool = False  # its body was forwarded as it arrived
    content_length: int | None = None  # of a streamed one; None: not announced
    first_byte_at: float = 0.0  # by time.monotonic; 0: all arrived at once

    def __init__(
        self,
        status: int,
        headers: dict[bytes, bytes],
        body: bytes,
        keep_alive: bool,
        streamed: bool = False,
        content_length: int | None = None,
        first_byte_at: float = 0.0,
    ) -> None:
        self.status, self.headers, self.body, self.keep_alive = status, headers, body, keep_alive
        self.streamed, self.content_length, self.first_byte_at = streamed, content_length, first_byte_at

    def positive_number(self, name: bytes, maximum: float) -> float:
        """A header's number if it is above 0 and at most `maximum`; otherwise 0."""
        value = parse_decimal(self.headers.get(name, b""))
        return value if value is not None and 0 < value <= maximum else 0.0


class ResponseProtocol:
    """Parses the responses to what was written; subclasses handle them and the connection's loss.

    An `asyncio.Protocol` by its methods, not by its base: a compiled class with a base in Python would keep
    its attributes in a dictionary.

    One that `accepts_streams` is told of a response longer than the limit when that shows
    (`on_stream_start`), then of its body piece by piece (`on_stream_data`), and of its end by `on_response`
    with a response that is `streamed`. It also accepts a response that ends with an orderly close of its
    connection (RFC 9112 section 6.3, rule 8).
    """

    accepts_streams = False

    def __init__(self, max_body_bytes: int = MAX_BUFFERED_BODY_BYTES) -> None:
        self.transport = NOT_CONNECTED
        self._connected = False
        self.unsent = False  # part of what was written has not left this process
        self._parser = httptools.HttpResponseParser(self)
        self._max_body_bytes = max_body_bytes
        self._responses_due = 0
        self._received_bytes = 0  # of the response that is being received
        self._complete_responses: list[Response] = []
        self._reset()

    def _reset(self) -> None:
        self._headers: dict[bytes, bytes] = {}
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._response_begun = False
        self._needs_reset = False  # any of the following was set
        self._streaming = self._ends_with_connection = self._in_trailers = False
        self._content_length: int | None = None
        self._first_byte_at = 0.0

    def _prepare_next(self) -> None:
        """Reset for the next response; an ordinary one has changed little."""
        if self._needs_reset:
            self._reset()
            return
        self._headers = {}
        self._body = []
        self._body_bytes = 0
        self._response_begun = False

    def on_response(self, response: Response, reusable: bool) -> None:
        """The response to the oldest request; `reusable` if the connection may carry another."""
        raise NotImplementedError

    def on_stream_start(self, response: Response) -> bool:
        """The head of a long response; whether it may be forwarded, else the connection is aborted."""
        return False

    def on_stream_data(self, data: bytes) -> None:
        """More of the body of a streamed response."""

    def on_malformed_response(self) -> None:
        """The input cannot be parsed while responses are due; the connection is aborted."""
        raise NotImplementedError

    def on_connection_lost(self) -> None:
        """The connection is closed."""
        raise NotImplementedError

    def response_begun(self) -> bool:
        """Whether any byte of the response that is due has arrived."""
        return self._received_bytes > 0

    def write(self, data: bytes) -> None:
        """Write one request; `unsent` tells whether some of it has not left this process."""
        self._responses_due += 1
        self.transport.write(data)
        self.unsent = self.transport.get_write_buffer_size() > 0

    def abort(self) -> None:
        """Close the connection at once."""
        if self.transport is not NOT_CONNECTED:
            self.transport.abort()

    def as_protocol(self) -> asyncio.Protocol:
        """Itself, as the typed functions of the loop expect it."""
        return cast(asyncio.Protocol, self)

    # The methods of asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; `resume_writing` is called once all that was written has left."""
        self.transport = cast(asyncio.Transport, transport)
        self._connected = True
        self.transport.set_write_buffer_limits(high=0)

    def pause_writing(self) -> None:
        """Part of what was written waits; `write` has noted it."""

    def resume_writing(self) -> None:
        """The last byte of what was written has left this process."""
        self.unsent = False

    def data_received(self, data: bytes) -> None:
        """Parse, then deliver the complete responses that are due; abort the connection on anything else.

        A response that was not requested, such as a second copy behind a good one, would be read as the
        response to the next request. So responses are delivered only once all input that came with them has
        been looked at.
        """
        if self.transport.is_closing():
            return
        try:
            if self._responses_due:
                self._received_bytes += len(data)
                self._parser.feed_data(data)
            well_formed = (
                self._responses_due > 0
                and self._received_bytes <= MAX_FRAMING_BYTES + (MAX_CHUNK_OVERHEAD + 1) * self._body_bytes
            )
        except httptools.HttpParserError:
            well_formed = False
        responses, self._complete_responses = self._complete_responses, []
        requested = responses[: self._responses_due]
        self._responses_due -= len(requested)
        if len(responses) > len(requested) or (self._response_begun and not self._responses_due):
            well_formed = False
        for response in requested:
            self.on_response(response, well_formed and response.keep_alive)
        if not well_formed:
            if self._responses_due:
                self.on_malformed_response()
            self.abort()
        elif self._received_bytes and not self._first_byte_at and self._responses_due:
            self._first_byte_at, self._needs_reset = time.monotonic(), True

    def eof_received(self) -> None:
        """Complete a response that ends with its connection, if one is due."""
        if self._ends_with_connection and self._responses_due == 1 and not self.transport.is_closing():
            self._responses_due = 0
            response = self._make_response(False)
            self._reset()
            self.on_response(response, False)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the subclass by `on_connection_lost`, once."""
        if self._connected:
            self._connected = False
            self.on_connection_lost()

    def on_dial_failed(self) -> None:
        """The dial failed or was cancelled.

        If that happens in the turn of the loop in which the connection came up, uvloop closes it and never
        calls `connection_lost`; its descriptor would be counted as open for ever.
        """
        self.connection_lost(None)

    # httptools; what these raise reaches data_received as an HttpParserError

    def on_message_begin(self) -> None:
        """A response begins, possibly an interim one."""
        self._response_begun = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header under its name in lower case; trailers are ignored.

        Raises:
            MalformedResponseError: a second Content-Length.
        """
        name = name.lower()
        if self._in_trailers:
            return
        if name == b"content-length" and name in self._headers:
            raise MalformedResponseError("two Content-Length headers")
        self._headers[name] = value.strip(OPTIONAL_WHITESPACE)

    def on_headers_complete(self) -> None:
        """Decide how the body is framed.

        Raises:
            MalformedResponseError: the framing is ambiguous, or the body is too long.
        """
        length, coding = self._headers.get(b"content-length"), self._headers.get(b"transfer-encoding")
        status = self._parser.get_status_code()
        if status < 200 or status in BODILESS_STATUSES:
            return
        if coding is not None and (length is not None or coding.strip().lower() != b"chunked"):
            raise MalformedResponseError("ambiguous framing")
        if coding is not None:
            self._in_trailers = self._needs_reset = True  # further headers are trailers
            return
        if length is None and self.accepts_streams and self._announces_close():
            self._ends_with_connection = self._needs_reset = True
            return
        # One with neither length nor chunks would be cut unnoticed where its connection breaks.
        if length is None or not length.isdigit():
            raise MalformedResponseError("no valid length")
        if int(length) > self._max_body_bytes:
            if not self.accepts_streams or int(length) > MAX_STREAMED_BODY_BYTES:
                raise MalformedResponseError("longer than may be forwarded")
            self._content_length = int(length)
            self._start_stream()

    def _announces_close(self) -> bool:
        """Whether the head says that the connection ends with the response.

        Without that, a head that lost its length on the way would be waited on for a close that never comes.
        """
        return (
            b"close" in self._headers.get(b"connection", b"").lower()
            or self._parser.get_http_version() == "1.0"
        )

    def _start_stream(self) -> None:
        """Begin to forward the response."""
        self._streaming = self._needs_reset = True
        if not self.on_stream_start(self._make_response(False)):
            raise MalformedResponseError("it may not be forwarded")

    def _make_response(self, keep_alive: bool) -> Response:
        body = b"" if self._streaming else b"".join(self._body)
        return Response(
            self._parser.get_status_code(),
            self._headers,
            body,
            keep_alive,
            self._streaming,
            self._content_length,
            self._first_byte_at,
        )

    def on_body(self, data: bytes) -> None:
        """Buffer the body, or forward it where the response is streamed.

        Raises:
            MalformedResponseError: the body exceeds its limit.
        """
        self._body_bytes += len(data)
        if self._streaming:
            if self._body_bytes > MAX_STREAMED_BODY_BYTES:
                raise MalformedResponseError("too long")
            self.on_stream_data(data)
        elif self._body_bytes <= self._max_body_bytes:
            self._body.append(data)
        elif self.accepts_streams:
            self._start_stream()
            self.on_stream_data(b"".join(self._body) + data)
            self._body.clear()
        else:
            raise MalformedResponseError("too long")

    def on_message_complete(self) -> None:
        """A response is complete; interim ones (1xx) are skipped, but count towards its size limit."""
        status = self._parser.get_status_code()
        if status >= 200:
            self._received_bytes = 0
            keep_alive = self._parser.should_keep_alive()
            self._complete_responses.append(
                self._make_response(keep_alive)
                if self._needs_reset
                else Response(status, self._headers, b"".join(self._body), keep_alive)
            )
        self._prepare_next()
