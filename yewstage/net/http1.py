"""The client side of one HTTP/1.1 connection, shared by hosts, counter and discovery."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import httptools

LONGEST_BODY = 64 * 1024
LONGEST_LIST = 4 * 1024 * 1024


@dataclass(slots=True)
class Reply:
    """One whole answer."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes


class ReplyProtocol(asyncio.Protocol):
    """Parses answers; a subclass says what a whole answer and a lost connection mean."""

    def __init__(self, longest: int = LONGEST_BODY) -> None:
        self.transport: asyncio.Transport | None = None
        self.unsent = False  # part of what we wrote has not left this process
        self._parser = httptools.HttpResponseParser(self)
        self._longest = longest
        self._reset()

    def _reset(self) -> None:
        self._headers: dict[bytes, bytes] = {}
        self._body: list[bytes] = []
        self._size = 0
        self._in_body = False

    def replied(self, reply: Reply, reusable: bool) -> None:
        """A whole answer has come."""
        raise NotImplementedError

    def lost(self) -> None:
        """The connection is gone."""
        raise NotImplementedError

    def write(self, data: bytes) -> None:
        """Write, and know whether the last byte has left this process."""
        self.transport.write(data)
        self.unsent = self.transport.get_write_buffer_size() > 0

    def drop(self) -> None:
        """End the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        transport.set_write_buffer_limits(high=0)  # so that resume_writing tells of the last byte

    def resume_writing(self) -> None:
        self.unsent = False

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.drop()  # nonsense: whatever is out on it ends as a reset

    def eof_received(self) -> None:
        framed = b"content-length" in self._headers or b"transfer-encoding" in self._headers
        if self._in_body and not framed:  # an answer may also end with its connection
            self._complete(reusable=False)

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost()

    # httptools

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.lower()] = value
        self._grow(len(name) + len(value))

    def on_headers_complete(self) -> None:
        self._in_body = True

    def on_body(self, data: bytes) -> None:
        self._body.append(data)
        self._grow(len(data))

    def on_message_complete(self) -> None:
        if self._parser.get_status_code() < 200:
            self._reset()  # interim answers are not the answer
            return
        self._complete(self._parser.should_keep_alive())

    def _complete(self, reusable: bool) -> None:
        reply = Reply(self._parser.get_status_code(), self._headers, b"".join(self._body))
        self._reset()
        self.replied(reply, reusable)

    def _grow(self, size: int) -> None:
        self._size += size
        if self._size > self._longest + LONGEST_BODY:
            self.drop()
