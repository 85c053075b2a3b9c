"""The client side of one HTTP/1.1 connection, shared by hosts, counter and discovery.

All that is believed of an answer is decided here: whether it is whole, whether it was asked for, and whether
its connection may be used again.
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
MAX_FRAMING_BYTES: Final = 64 * 1024  # heads and interim answers of one answer
MAX_CHUNK_OVERHEAD: Final = (
    16  # bytes of chunk lines for each byte of a body, at most: a chunk may hold one byte
)
MAX_STREAMED_BODY_BYTES: Final = 64 * 1024 * 1024  # an answer that is passed on as it comes
DECIMAL_NUMBER: Final = re.compile(rb"-?[0-9]{1,15}(?:\.[0-9]{1,15})?(?:[eE][+-]?[0-9]{1,2})?")
OPTIONAL_WHITESPACE: Final = (
    b" \t"  # may stand beside a value (RFC 9110 section 5.5); the parser leaves those behind it
)
BODILESS_STATUSES: Final = frozenset((204, 304))
NOT_CONNECTED: Final = cast(asyncio.Transport, None)  # in a transport's place until the connection is up


class MalformedResponseError(Exception):
    """What has come is no answer that can be passed on."""


def parse_decimal(text: bytes) -> float | None:
    """A decimal number as it stands on the wire; None where it is none. `float` reads more, such as `1_0`."""
    return float(text) if DECIMAL_NUMBER.fullmatch(text) else None


@dataclass(slots=True, init=False)
class Response:
    """One whole answer."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    keep_alive: bool
    streamed: bool = False  # its body was passed on as it came
    content_length: int | None = None  # of one that is passed on; None: not told
    first_byte_at: float = 0.0  # when its first bytes had come, by time.monotonic; 0: all came at once

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

    def positive_number(self, name: bytes, most: float) -> float:
        """A header's figure above 0; 0 where there is none, or none that can be believed."""
        value = parse_decimal(self.headers.get(name, b""))
        return value if value is not None and 0 < value <= most else 0.0


class ResponseProtocol:
    """Parses the answers to what was written; a subclass says what they and a lost connection mean.

    An `asyncio.Protocol` by its methods, not by its base: compiled, a class with a Python base would keep its
    attributes in a dictionary.

    One that `flows` is told of an answer longer than `longest` when that shows (`flow`), then of its body
    piece by piece (`piece`), and of its end by `replied` with a reply that has `flowed`. It also takes an
    answer that ends where its connection is closed in good order (RFC 9112 section 6.3, rule 8).
    """

    accepts_streams = False

    def __init__(self, longest: int = MAX_BUFFERED_BODY_BYTES) -> None:
        self.transport = NOT_CONNECTED
        self._connected = False
        self.unsent = False  # part of what we wrote has not left this process
        self._parser = httptools.HttpResponseParser(self)
        self._max_body_bytes = longest
        self._responses_due = 0  # answers that are still to come
        self._received_bytes = 0  # bytes of the answer that is coming
        self._complete_responses: list[Response] = []
        self._reset()

    def _reset(self) -> None:
        self._headers: dict[bytes, bytes] = {}
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._response_begun = False
        self._needs_reset = False  # any of these was set
        self._streaming = self._ends_with_connection = self._in_trailers = False
        self._content_length: int | None = None
        self._first_byte_at = 0.0

    def _prepare_next(self) -> None:
        """Make ready for the next answer; the ordinary one has touched little."""
        if self._needs_reset:
            self._reset()
            return
        self._headers = {}
        self._body = []
        self._body_bytes = 0
        self._response_begun = False

    def on_response(self, reply: Response, reusable: bool) -> None:
        """A whole answer to the oldest request; `reusable` if the connection may carry another."""
        raise NotImplementedError

    def on_stream_start(self, reply: Response) -> bool:
        """The head of a long answer; whether it may be passed on, else the connection is being dropped."""
        return False

    def on_stream_data(self, data: bytes) -> None:
        """More of an answer that is passed on."""

    def on_malformed_response(self) -> None:
        """What came cannot be read while answers are due; the connection is being dropped."""
        raise NotImplementedError

    def on_connection_lost(self) -> None:
        """The connection is gone."""
        raise NotImplementedError

    def response_begun(self) -> bool:
        """Whether any byte of the answer that is due has come."""
        return self._received_bytes > 0

    def write(self, data: bytes) -> None:
        """Write one request, and know whether its last byte has left this process."""
        self._responses_due += 1
        self.transport.write(data)
        self.unsent = self.transport.get_write_buffer_size() > 0

    def abort(self) -> None:
        """End the connection at once."""
        if self.transport is not NOT_CONNECTED:
            self.transport.abort()

    def as_protocol(self) -> asyncio.Protocol:
        """Itself, as the loop's typed functions want it."""
        return cast(asyncio.Protocol, self)

    # The methods of asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; its write buffer is set so that `resume_writing` means that all has left."""
        self.transport = cast(asyncio.Transport, transport)
        self._connected = True
        self.transport.set_write_buffer_limits(high=0)  # so that resume_writing tells of the last byte

    def pause_writing(self) -> None:
        """Part of what was written waits; `write` has seen so."""

    def resume_writing(self) -> None:
        """The last byte of what was written has left this process."""
        self.unsent = False

    def data_received(self, data: bytes) -> None:
        """Parse, then hand on whole answers that were asked for; drop the connection on anything else."""
        if self.transport.is_closing():
            return
        try:
            if self._responses_due:
                self._received_bytes += len(data)
                self._parser.feed_data(data)
            sound = (
                self._responses_due > 0
                and self._received_bytes <= MAX_FRAMING_BYTES + (MAX_CHUNK_OVERHEAD + 1) * self._body_bytes
            )
        except httptools.HttpParserError:
            sound = False
        # Guards against an answer that was not asked for: a second copy or noise behind a good one would be
        # read as the answer to what is written next. So answers are handed on only when all that came with
        # them has been looked at.
        replies, self._complete_responses = self._complete_responses, []
        asked = replies[: self._responses_due]
        self._responses_due -= len(asked)
        if len(replies) > len(asked) or (self._response_begun and not self._responses_due):
            sound = False
        for reply in asked:
            self.on_response(reply, sound and reply.keep_alive)
        if not sound:
            if self._responses_due:
                self.on_malformed_response()
            self.abort()
        elif self._received_bytes and not self._first_byte_at and self._responses_due:
            self._first_byte_at, self._needs_reset = time.monotonic(), True

    def eof_received(self) -> None:
        """End an answer that is framed by the connection's close, if one is due."""
        if self._ends_with_connection and self._responses_due == 1 and not self.transport.is_closing():
            self._responses_due = 0
            reply = self._make_response(False)
            self._reset()
            self.on_response(reply, False)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the subclass by `lost`, once."""
        if self._connected:
            self._connected = False
            self.on_connection_lost()

    def on_dial_failed(self) -> None:
        """Its dial failed or was cancelled.

        Guards the descriptors' account: when that comes in the turn of the loop in which the connection came
        up, uvloop closes it and never tells that it is lost.
        """
        self.connection_lost(None)

    # httptools; what these raise reaches data_received as an HttpParserError

    def on_message_begin(self) -> None:
        """An answer begins, be it an interim one."""
        self._response_begun = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header under its name in lower case; MalformedResponseError on a second Content-Length."""
        name = name.lower()
        if self._in_trailers:
            return  # they come too late to say anything of the answer
        if name == b"content-length" and name in self._headers:
            raise MalformedResponseError("two lengths: one of them cuts the answer")
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
            raise MalformedResponseError("framing")
        if coding is not None:
            self._in_trailers = self._needs_reset = True  # the next header stands behind the body
            return
        if length is None and self.accepts_streams and self._announces_close():
            self._ends_with_connection = self._needs_reset = True
            return
        # Guards against a cut answer: one with neither length nor chunks ends where its connection breaks.
        if length is None or not length.isdigit():
            raise MalformedResponseError("no length")
        if int(length) > self._max_body_bytes:
            if not self.accepts_streams or int(length) > MAX_STREAMED_BODY_BYTES:
                raise MalformedResponseError("more than may be passed on")
            self._content_length = int(length)
            self._start_stream()

    def _announces_close(self) -> bool:
        """Whether the head says that the connection ends with the answer.

        Guards against waiting for a close that never comes, behind a head that lost its length on the way.
        """
        return (
            b"close" in self._headers.get(b"connection", b"").lower()
            or self._parser.get_http_version() == "1.0"
        )

    def _start_stream(self) -> None:
        """Begin to pass the answer on."""
        self._streaming = self._needs_reset = True
        if not self.on_stream_start(self._make_response(False)):
            raise MalformedResponseError("it may not be passed on")

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
        """An answer is whole; an interim one (1xx) is left out."""
        status = self._parser.get_status_code()
        if status >= 200:  # interim answers are not the answer, but count for its bound
            self._received_bytes = 0
            keep_alive = self._parser.should_keep_alive()
            self._complete_responses.append(
                self._make_response(keep_alive)
                if self._needs_reset
                else Response(status, self._headers, b"".join(self._body), keep_alive)
            )
        self._prepare_next()
