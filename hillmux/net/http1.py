"""The client side of an HTTP/1.1 connection, used for hosts, the counter and discovery.

Determines whether a response is complete, whether it was requested, and whether its connection is reusable.
"""

from __future__ import annotations

import asyncio
import time
from typing import Final, cast

import httptools

from hillmux.net.body_buffer import Body, append_piece, to_bytes
from hillmux.net.parse_scheduler import MAX_PIECES_PER_READ, PARSE_SLICE_BYTES, running_loop_scheduler
from hillmux.net.response import BODILESS_STATUSES, KEPT_HEADERS, Response

MAX_BUFFERED_BODY_BYTES: Final = 64 * 1024
MAX_ENDPOINT_LIST_BYTES: Final = 4 * 1024 * 1024
MAX_FRAMING_BYTES: Final = 64 * 1024  # bytes per response that are not body: head and interim responses
# Of a trailer field, which a parser holds until it ends, or a chunk extension (RFC 9112 section 7.1.1).
MAX_TRAILER_FIELD_BYTES: Final = 8 * 1024
MAX_HEADER_FIELDS: Final = 1024  # per response head, as each field is held as objects of its own
MAX_CHUNK_OVERHEAD: Final = 16  # bytes of chunk framing per body byte, as a chunk may hold a single byte
MAX_STREAMED_BODY_BYTES: Final = 64 * 1024 * 1024  # per streamed response
RESPONSE_STALL_S: Final = 1.0  # without a byte, from which a response counts as no longer arriving
OPTIONAL_WHITESPACE: Final = b" \t"  # RFC 9110 section 5.5; httptools leaves it after a value
NOT_CONNECTED: Final = cast(asyncio.Transport, None)  # the transport before the connection is set up
# Replaces the parser of a closed connection: a parser refers to its connection, so both would stay in memory
# until the cyclic garbage collector runs.
CLOSED_PARSER: Final = httptools.HttpResponseParser(object())


class MalformedResponseError(Exception):
    """The input is not a valid response, or is one that may not be forwarded."""


class ResponseProtocol:
    """Parses the responses to written requests; subclasses handle responses and the loss of the connection.

    It has the methods of `asyncio.Protocol` without inheriting from it: a compiled class with an interpreted
    base would keep its attributes in a dictionary.

    A subclass that sets `accepts_streams` gets a response longer than the limit as a stream:
    `on_stream_start` as soon as the length is known to exceed the limit, `on_stream_data` for each part of
    the body that was parsed at once, and `on_response` with a `streamed` response at the end. It also accepts
    a response that is delimited by an orderly close of the connection (RFC 9112 section 6.3, rule 8).
    """

    accepts_streams = False

    def __init__(self, max_body_bytes: int = MAX_BUFFERED_BODY_BYTES) -> None:
        self.transport = NOT_CONNECTED
        self._connected = False
        self.unsent = False  # some written bytes have not left this process
        self._parser = httptools.HttpResponseParser(self)
        self._max_body_bytes = max_body_bytes
        self._responses_due = 0
        self._received_bytes = 0  # bytes received of the current response, including interim responses
        self._complete_responses: list[Response] = []
        self._silent_bytes = 0  # input since the latest slice in which the parser reported an element
        self._pieces = 0  # header fields, pieces of bodies and responses parsed since the latest read
        self._piece_budget = MAX_PIECES_PER_READ  # value of `_pieces` above which parsing is deferred
        self._deferred: bytes = b""  # input that waits for a turn of the event loop
        self._awaits_memory = False  # reading is paused until there is memory for the response
        self._pauses_requested = False  # `pause_reading` was called last, not `resume_reading`
        self._stream_part: Body = b""  # parsed data of a streamed body that is not passed on yet
        self._reset()

    def _reset(self) -> None:
        self._headers: dict[bytes, bytes] = {}
        self._header_fields = 0
        self._body: Body = b""
        self._body_bytes = 0
        self._response_begun = False
        self._needs_reset = False  # any of the attributes below was set
        self._streaming = self._ends_with_connection = self._in_trailers = False
        self._framing_known = False  # the head of the final response is complete
        self._content_length: int | None = None
        self._first_byte_at = self._last_data_at = 0.0

    def _prepare_next(self) -> None:
        """Prepare for the next response; most responses do not need the full reset."""
        if self._needs_reset:
            self._reset()
            return
        self._headers = {}
        self._header_fields = 0
        self._body = b""
        self._body_bytes = 0
        self._response_begun = self._framing_known = False

    def on_response(self, response: Response, reusable: bool) -> None:
        """Handle the response to the oldest request; `reusable` if the connection may carry another one."""
        raise NotImplementedError

    def on_stream_start(self, response: Response) -> bool:
        """Handle the head of a streamed response.

        Returns:
            Whether to forward the response; otherwise the connection is aborted.
        """
        return False

    def on_stream_data(self, data: bytes) -> None:
        """Handle a part of the body of a streamed response."""

    def on_malformed_response(self) -> None:
        """Handle unparsable input received while responses are due; the connection is then aborted."""
        raise NotImplementedError

    def on_surplus_data(self) -> None:
        """Handle input that belongs to no request; the connection is then aborted."""

    def on_incomplete_response(self) -> None:
        """Called after each read that leaves the response that is due incomplete."""

    def on_connection_lost(self) -> None:
        """Handle the close of the connection; called once."""
        raise NotImplementedError

    def response_begun(self) -> bool:
        """Whether any byte of the response that is due has arrived."""
        return self._received_bytes > 0

    def is_receiving(self, now: float) -> bool:
        """Whether bytes of an incomplete response have arrived lately (`now` is by time.monotonic)."""
        return self._received_bytes > 0 and now - self._last_data_at < RESPONSE_STALL_S

    def received_bytes(self) -> int:
        """The number of bytes that have arrived of the response that is due."""
        return self._received_bytes

    def write(self, data: bytes) -> None:
        """Write one request; `unsent` is then set if some of it has not left this process."""
        self._responses_due += 1
        self.transport.write(data)
        self.unsent = self.transport.get_write_buffer_size() > 0

    def abort(self) -> None:
        """Close the connection at once."""
        if self.transport is not NOT_CONNECTED:
            self.transport.abort()

    def as_protocol(self) -> asyncio.Protocol:
        """This object, typed as the event loop's functions expect it."""
        return cast(asyncio.Protocol, self)

    # The methods of asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; `resume_writing` will be called whenever its write buffer becomes empty."""
        self.transport = cast(asyncio.Transport, transport)
        self._connected = True
        self.transport.set_write_buffer_limits(high=0)

    def pause_writing(self) -> None:
        """Nothing to do: `write` has set `unsent` already."""

    def resume_writing(self) -> None:
        """Clear `unsent`: the last written byte has left this process."""
        self.unsent = False

    def data_received(self, data: bytes | memoryview) -> None:
        """Parse input and deliver the complete responses that are due; abort on any other input.

        A response that was not requested, such as a duplicate after a valid one, would be taken for the
        response to the next request. Responses are therefore delivered only after all input that arrived with
        them has been checked.
        """
        if self.transport.is_closing():
            return
        if self._responses_due:
            self._received_bytes += len(data)
        if self._pieces > MAX_PIECES_PER_READ:  # the previous read was expensive, so this one may be, too
            self._pieces = 0
            self._defer(data)
            return
        self._pieces, self._piece_budget = 0, MAX_PIECES_PER_READ
        self._process(data)

    def _process(self, data: bytes | memoryview) -> None:
        """Parse input within the budget of pieces; after all of a read, deliver the responses."""
        well_formed = self._responses_due > 0
        if well_formed:
            try:
                if len(data) <= PARSE_SLICE_BYTES:
                    self._parse_slice(data)
                else:
                    self._parse_slices(memoryview(data))
            except httptools.HttpParserError:
                well_formed = False
            if self._deferred:
                return
        if self._received_bytes > MAX_FRAMING_BYTES + (MAX_CHUNK_OVERHEAD + 1) * self._body_bytes or (
            self._in_trailers and self._silent_bytes > MAX_TRAILER_FIELD_BYTES
        ):
            well_formed = False
        responses, self._complete_responses = self._complete_responses, []
        requested = responses[: self._responses_due]
        self._responses_due -= len(requested)
        if len(responses) > len(requested) or (self._response_begun and not self._responses_due):
            well_formed = False
        for response in requested:
            if self._pauses_requested:  # the receiver of a streamed response does not resume after its end
                self.pause_reading(False)
            self.on_response(response, well_formed and response.keep_alive)
        if not well_formed:
            if self._responses_due:
                self.on_malformed_response()
            else:
                self.on_surplus_data()
            self.abort()
        elif self._received_bytes and self._responses_due:
            self._needs_reset, self._last_data_at = True, time.monotonic()
            self._first_byte_at = self._first_byte_at or self._last_data_at
            self.on_incomplete_response()

    def _parse_slices(self, data: memoryview) -> None:
        while data:
            if self._pieces > self._piece_budget:
                self._defer(data)
                return
            self._parse_slice(data[:PARSE_SLICE_BYTES])
            data = data[PARSE_SLICE_BYTES:]

    def _parse_slice(self, data: bytes | memoryview) -> None:
        pieces_before = self._pieces
        try:
            self._parser.feed_data(data)
        finally:  # what was parsed before a fault is valid
            if self._stream_part:
                part, self._stream_part = self._stream_part, b""
                self.on_stream_data(to_bytes(part))
        if self._pieces > pieces_before:
            self._silent_bytes = 0
        else:
            self._silent_bytes += len(data)

    def _defer(self, data: bytes | memoryview) -> None:
        """Pause reading, and parse a copy of the input in later turns of the event loop."""
        self._deferred = bytes(data)
        self._update_reading()
        running_loop_scheduler().add(self)

    def parse_deferred(self) -> int:
        """Parse a part of the deferred input, and resume reading once all is parsed."""
        data, self._deferred = self._deferred, b""
        if not data or self.transport.is_closing():
            return 0
        parsed_before = self._pieces
        self._piece_budget = parsed_before + MAX_PIECES_PER_READ
        self._process(data)
        self._update_reading()
        return self._pieces - parsed_before

    def pause_reading(self, pause: bool) -> None:
        """Pause or resume reading on behalf of the receiver of a streamed response."""
        self._pauses_requested = pause
        self._update_reading()

    def _update_reading(self) -> None:
        if self.transport.is_closing():
            return
        if self._pauses_requested or self._deferred or self._awaits_memory:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def eof_received(self) -> None:
        """Complete a response that is delimited by the close of its connection, if one is due."""
        if self._ends_with_connection and self._responses_due == 1 and not self.transport.is_closing():
            self._responses_due = 0
            response = self._make_response(False)
            self._reset()
            self.on_response(response, False)

    def connection_lost(self, exc: Exception | None) -> None:
        """Call `on_connection_lost`, at most once."""
        self._deferred = b""
        if self._connected:
            self._connected = False
            self.on_connection_lost()
        self._parser = CLOSED_PARSER
        self._body = self._stream_part = b""
        self._complete_responses = []

    def on_dial_failed(self) -> None:
        """Handle a dial that failed or was cancelled.

        If that happens in the iteration of the loop in which the connection was established, uvloop closes
        the connection without calling `connection_lost`; its descriptor would be counted as open for ever.
        """
        self.connection_lost(None)

    # Callbacks of httptools; exceptions raised here reach data_received as an HttpParserError

    def on_message_begin(self) -> None:
        """Note that a response has begun, possibly an interim one.

        Raises:
            MalformedResponseError: The response was not requested; it must not be streamed to the client of
                the one before it.
        """
        self._response_begun = True
        if len(self._complete_responses) >= self._responses_due:
            raise MalformedResponseError("unrequested response")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header of KEPT_HEADERS under its name in lower case; trailers are ignored.

        Raises:
            MalformedResponseError: There is a second Content-Length, or more than MAX_HEADER_FIELDS.
        """
        name = name.lower()
        self._pieces += 1
        if self._in_trailers:
            return
        self._header_fields += 1
        if self._header_fields > MAX_HEADER_FIELDS:
            raise MalformedResponseError("too many header fields")
        if name not in KEPT_HEADERS:
            return
        if name == b"content-length" and name in self._headers:
            raise MalformedResponseError("two Content-Length headers")
        self._headers[name] = value.strip(OPTIONAL_WHITESPACE)

    def on_headers_complete(self) -> None:
        """Determine the framing of the body.

        Raises:
            MalformedResponseError: The framing is ambiguous, or the body is too long.
        """
        length, coding = self._headers.get(b"content-length"), self._headers.get(b"transfer-encoding")
        status = self._parser.get_status_code()
        if status < 200 or status in BODILESS_STATUSES:
            return
        self._framing_known = True
        if coding is not None and (length is not None or coding.strip().lower() != b"chunked"):
            raise MalformedResponseError("Transfer-Encoding: expected chunked, without Content-Length")
        if coding is not None:
            self._in_trailers = self._needs_reset = True  # further headers are trailers
            return
        if length is None and self.accepts_streams and self._announces_close():
            self._ends_with_connection = self._needs_reset = True
            return
        # With neither a length nor chunks, a response truncated by a lost connection would look complete.
        if length is None or not length.isdigit():
            raise MalformedResponseError("no valid Content-Length")
        if int(length) > self._max_body_bytes:
            if not self.accepts_streams or int(length) > MAX_STREAMED_BODY_BYTES:
                raise MalformedResponseError("Content-Length too long")
            self._content_length = int(length)
            self._start_stream()

    def _announces_close(self) -> bool:
        """Whether the head announces that the connection is closed after the response.

        Without this check, the gateway would wait for a close that never comes if a response lost its length.
        """
        return (
            b"close" in self._headers.get(b"connection", b"").lower()
            or self._parser.get_http_version() == "1.0"
        )

    def _start_stream(self) -> None:
        """Begin to stream the response."""
        self._streaming = self._needs_reset = True
        if not self.on_stream_start(self._make_response(False)):
            raise MalformedResponseError("response may not be streamed")

    def buffered_bytes(self) -> int:
        """A bound on the bytes that are kept of the incomplete response."""
        return 0 if self._streaming else self._received_bytes

    def expected_bytes(self) -> int:
        """The length of the body that is being buffered, or the longest that may be if it is unknown."""
        length = self._headers.get(b"content-length", b"")
        return min(int(length), self._max_body_bytes) if length.isdigit() else self._max_body_bytes

    def can_stream(self) -> bool:
        """Whether the incomplete response can be passed on as it arrives: its head is complete."""
        return self.accepts_streams and self._framing_known and not self._streaming

    def stream_early(self) -> bool:
        """Pass the incomplete response on as it arrives, beginning with what is buffered.

        Returns:
            False if it may not be streamed; the connection is aborted then.
        """
        length = self._headers.get(b"content-length")
        self._content_length = None if length is None else int(length)
        try:
            self._start_stream()
        except MalformedResponseError:
            self.on_malformed_response()
            self.abort()
            return False
        body, self._body = self._body, b""
        if body:
            self.on_stream_data(to_bytes(body))
        return True

    def _make_response(self, keep_alive: bool) -> Response:
        body = b"" if self._streaming else to_bytes(self._body)
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
        """Buffer the body, or forward it if the response is streamed.

        Raises:
            MalformedResponseError: The body exceeds its limit.
        """
        self._pieces += 1
        self._body_bytes += len(data)
        if self._streaming:
            if self._body_bytes > MAX_STREAMED_BODY_BYTES:
                raise MalformedResponseError("streamed body too long")
            self._stream_part = append_piece(self._stream_part, data)
        elif self._body_bytes <= self._max_body_bytes:
            self._body = append_piece(self._body, data)
        elif self.accepts_streams:
            self._start_stream()
            body, self._body = self._body, b""
            self._stream_part = append_piece(body, data)
        else:
            raise MalformedResponseError("body too long")

    def on_message_complete(self) -> None:
        """Store the complete response; interim ones (1xx) are skipped, but count towards the size limit."""
        self._pieces += 1
        status = self._parser.get_status_code()
        if status >= 200:
            self._received_bytes = 0
            keep_alive = self._parser.should_keep_alive()
            self._complete_responses.append(
                self._make_response(keep_alive)
                if self._needs_reset
                else Response(status, self._headers, to_bytes(self._body), keep_alive)
            )
        self._prepare_next()
