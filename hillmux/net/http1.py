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

LONGEST_BODY: Final = 64 * 1024
LONGEST_LIST: Final = 4 * 1024 * 1024
LONGEST_FRAME: Final = 64 * 1024  # heads and interim answers of one answer
CHUNK_LINES: Final = 16  # bytes of chunk lines for each byte of a body, at most: a chunk may hold one byte
LONGEST_FLOW: Final = 64 * 1024 * 1024  # an answer that is passed on as it comes
NUMBER: Final = re.compile(rb"-?[0-9]{1,15}(?:\.[0-9]{1,15})?(?:[eE][+-]?[0-9]{1,2})?")
BLANKS: Final = b" \t"  # may stand beside a value (RFC 9110 section 5.5); the parser leaves those behind it
NO_BODY: Final = frozenset((204, 304))
NOT_UP: Final = cast(asyncio.Transport, None)  # in a transport's place until the connection is up


class SpoiltError(Exception):
    """What has come is no answer that can be passed on."""


def number(text: bytes) -> float | None:
    """A decimal number as it stands on the wire; None where it is none. `float` reads more, such as `1_0`."""
    return float(text) if NUMBER.fullmatch(text) else None


@dataclass(slots=True, init=False)
class Reply:
    """One whole answer."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    keep_alive: bool
    flowed: bool = False  # its body was passed on as it came
    length: int | None = None  # of one that is passed on; None: not told
    came_at: float = 0.0  # when its first bytes had come, by time.monotonic; 0: all came at once

    def __init__(
        self,
        status: int,
        headers: dict[bytes, bytes],
        body: bytes,
        keep_alive: bool,
        flowed: bool = False,
        length: int | None = None,
        came_at: float = 0.0,
    ) -> None:
        self.status, self.headers, self.body, self.keep_alive = status, headers, body, keep_alive
        self.flowed, self.length, self.came_at = flowed, length, came_at

    def amount(self, name: bytes, most: float) -> float:
        """A header's figure above 0; 0 where there is none, or none that can be believed."""
        value = number(self.headers.get(name, b""))
        return value if value is not None and 0 < value <= most else 0.0


class ReplyProtocol:
    """Parses the answers to what was written; a subclass says what they and a lost connection mean.

    An `asyncio.Protocol` by its methods, not by its base: compiled, a class with a Python base would keep its
    attributes in a dictionary.

    One that `flows` is told of an answer longer than `longest` when that shows (`flow`), then of its body
    piece by piece (`piece`), and of its end by `replied` with a reply that has `flowed`. It also takes an
    answer that ends where its connection is closed in good order (RFC 9112 section 6.3, rule 8).
    """

    flows = False

    def __init__(self, longest: int = LONGEST_BODY) -> None:
        self.transport = NOT_UP
        self._up = False
        self.unsent = False  # part of what we wrote has not left this process
        self._parser = httptools.HttpResponseParser(self)
        self._longest = longest
        self._due = 0  # answers that are still to come
        self._taken = 0  # bytes of the answer that is coming
        self._whole: list[Reply] = []
        self._reset()

    def _reset(self) -> None:
        self._headers: dict[bytes, bytes] = {}
        self._body: list[bytes] = []
        self._size = 0
        self._begun = False
        self._odd = False  # any of these was set
        self._flowing = self._to_end = self._in_trailers = False
        self._length: int | None = None
        self._came_at = 0.0

    def _next(self) -> None:
        """Make ready for the next answer; the ordinary one has touched little."""
        if self._odd:
            self._reset()
            return
        self._headers = {}
        self._body = []
        self._size = 0
        self._begun = False

    def replied(self, reply: Reply, reusable: bool) -> None:
        """A whole answer to the oldest request; `reusable` if the connection may carry another."""
        raise NotImplementedError

    def flow(self, reply: Reply) -> bool:
        """The head of a long answer; whether it may be passed on, else the connection is being dropped."""
        return False

    def piece(self, data: bytes) -> None:
        """More of an answer that is passed on."""

    def spoilt(self) -> None:
        """What came cannot be read while answers are due; the connection is being dropped."""
        raise NotImplementedError

    def lost(self) -> None:
        """The connection is gone."""
        raise NotImplementedError

    def begun(self) -> bool:
        """Whether any byte of the answer that is due has come."""
        return self._taken > 0

    def write(self, data: bytes) -> None:
        """Write one request, and know whether its last byte has left this process."""
        self._due += 1
        self.transport.write(data)
        self.unsent = self.transport.get_write_buffer_size() > 0

    def drop(self) -> None:
        """End the connection at once."""
        if self.transport is not NOT_UP:
            self.transport.abort()

    def as_protocol(self) -> asyncio.Protocol:
        """Itself, as the loop's typed functions want it."""
        return cast(asyncio.Protocol, self)

    # The methods of asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; its write buffer is set so that `resume_writing` means that all has left."""
        self.transport = cast(asyncio.Transport, transport)
        self._up = True
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
            if self._due:
                self._taken += len(data)
                self._parser.feed_data(data)
            sound = self._due > 0 and self._taken <= LONGEST_FRAME + (CHUNK_LINES + 1) * self._size
        except httptools.HttpParserError:
            sound = False
        # Guards against an answer that was not asked for: a second copy or noise behind a good one would be
        # read as the answer to what is written next. So answers are handed on only when all that came with
        # them has been looked at.
        replies, self._whole = self._whole, []
        asked = replies[: self._due]
        self._due -= len(asked)
        if len(replies) > len(asked) or (self._begun and not self._due):
            sound = False
        for reply in asked:
            self.replied(reply, sound and reply.keep_alive)
        if not sound:
            if self._due:
                self.spoilt()
            self.drop()
        elif self._taken and not self._came_at and self._due:
            self._came_at, self._odd = time.monotonic(), True

    def eof_received(self) -> None:
        """End an answer that is framed by the connection's close, if one is due."""
        if self._to_end and self._due == 1 and not self.transport.is_closing():
            self._due = 0
            reply = self._reply(False)
            self._reset()
            self.replied(reply, False)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the subclass by `lost`, once."""
        if self._up:
            self._up = False
            self.lost()

    def called_off(self) -> None:
        """Its dial failed or was cancelled.

        Guards the descriptors' account: when that comes in the turn of the loop in which the connection came
        up, uvloop closes it and never tells that it is lost.
        """
        self.connection_lost(None)

    # httptools; what these raise reaches data_received as an HttpParserError

    def on_message_begin(self) -> None:
        """An answer begins, be it an interim one."""
        self._begun = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header under its name in lower case; SpoiltError on a second Content-Length."""
        name = name.lower()
        if self._in_trailers:
            return  # they come too late to say anything of the answer
        if name == b"content-length" and name in self._headers:
            raise SpoiltError("two lengths: one of them cuts the answer")
        self._headers[name] = value.strip(BLANKS)

    def on_headers_complete(self) -> None:
        """Decide how the body is framed; SpoiltError if that is unclear or the body is too long."""
        length, coding = self._headers.get(b"content-length"), self._headers.get(b"transfer-encoding")
        status = self._parser.get_status_code()
        if status < 200 or status in NO_BODY:
            return
        if coding is not None and (length is not None or coding.strip().lower() != b"chunked"):
            raise SpoiltError("framing")
        if coding is not None:
            self._in_trailers = self._odd = True  # the next header stands behind the body
            return
        if length is None and self.flows and self._closes():
            self._to_end = self._odd = True
            return
        # Guards against a cut answer: one with neither length nor chunks ends where its connection breaks.
        if length is None or not length.isdigit():
            raise SpoiltError("no length")
        if int(length) > self._longest:
            if not self.flows or int(length) > LONGEST_FLOW:
                raise SpoiltError("more than may be passed on")
            self._length = int(length)
            self._flow()

    def _closes(self) -> bool:
        """Whether the head says that the connection ends with the answer.

        Guards against waiting for a close that never comes, behind a head that lost its length on the way.
        """
        return (
            b"close" in self._headers.get(b"connection", b"").lower()
            or self._parser.get_http_version() == "1.0"
        )

    def _flow(self) -> None:
        """Begin to pass the answer on."""
        self._flowing = self._odd = True
        if not self.flow(self._reply(False)):
            raise SpoiltError("it may not be passed on")

    def _reply(self, keep_alive: bool) -> Reply:
        body = b"" if self._flowing else b"".join(self._body)
        return Reply(
            self._parser.get_status_code(),
            self._headers,
            body,
            keep_alive,
            self._flowing,
            self._length,
            self._came_at,
        )

    def on_body(self, data: bytes) -> None:
        """Gather the body or pass it on; SpoiltError beyond `longest` bytes, or LONGEST_FLOW if it flows."""
        self._size += len(data)
        if self._flowing:
            if self._size > LONGEST_FLOW:
                raise SpoiltError("too long")
            self.piece(data)
        elif self._size <= self._longest:
            self._body.append(data)
        elif self.flows:
            self._flow()
            self.piece(b"".join(self._body) + data)
            self._body.clear()
        else:
            raise SpoiltError("too long")

    def on_message_complete(self) -> None:
        """An answer is whole; an interim one (1xx) is left out."""
        status = self._parser.get_status_code()
        if status >= 200:  # interim answers are not the answer, but count for its bound
            self._taken = 0
            keep_alive = self._parser.should_keep_alive()
            self._whole.append(
                self._reply(keep_alive)
                if self._odd
                else Reply(status, self._headers, b"".join(self._body), keep_alive)
            )
        self._next()
