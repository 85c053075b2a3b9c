"""HTTP/1.1 as the stand-ins read it: httptools behind a wire, requests one behind another."""

from __future__ import annotations

from collections import deque
from typing import Any

import httptools

from hillmux.lab.links import EmulatedConnection, Receiver

REASONS = {200: b"OK", 400: b"Bad Request", 404: b"Not Found", 500: b"Error", 503: b"Unavailable"}


def response_bytes(status: int, body: bytes = b"", more: bytes = b"") -> bytes:
    """An answer as bytes; `more` are further header lines."""
    return b"HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\n\r\n%b" % (
        status,
        REASONS[status],
        more,
        len(body),
        body,
    )


class ReceivedRequest:
    """One request that has come whole, and the place of its answer."""

    __slots__ = ("method", "path", "query", "headers", "connection", "response")

    def __init__(self, method: str, url: Any, headers: dict[str, str], connection: ServerConnection) -> None:
        self.method, self.headers, self.connection = method, headers, connection
        self.path = (url.path or b"").decode()
        pairs = (p.partition("=") for p in (url.query or b"").decode().split("&") if p)
        self.query = {name: value for name, _, value in pairs}
        self.response: bytes | None = None

    def respond(self, data: bytes) -> None:
        """Answer; answers of a connection go out in the order of its requests."""
        self.response = data
        self.connection.write_ready()


class ServerConnection(Receiver):
    """One connection of a gateway at a stand-in."""

    def __init__(self, transport: EmulatedConnection, handler: RequestHandler) -> None:
        self.transport, self.handler = transport, handler
        self.over = False
        self.waiting: deque[ReceivedRequest] = deque()
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._headers: dict[str, str] = {}

    def received(self, data: bytes) -> None:
        """Parse bytes; what is no HTTP request resets the connection."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.handler.garbled(self)
            self.transport.reset()

    def ended(self) -> None:
        """The other side has ended: tell the owner once, and reset the connection."""
        if not self.over:
            self.over = True
            self.handler.connection_closed(self)
            if not self.transport.closing:
                self.transport.reset()

    def write_ready(self) -> None:
        """Write what is answered, in order."""
        while self.waiting and (data := self.waiting[0].response) is not None:
            self.waiting.popleft()
            self.transport.write(data)

    def on_message_begin(self) -> None:
        """A request begins."""
        self._url, self._headers = b"", {}

    def on_url(self, url: bytes) -> None:
        """A piece of the request target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header under its name in lower case."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_message_complete(self) -> None:
        """Queue the whole request for its answer, and hand it to the owner."""
        request = ReceivedRequest(
            self._parser.get_method().decode(), httptools.parse_url(self._url), self._headers, self
        )
        self.waiting.append(request)
        self.handler.handle_request(request)


class RequestHandler:
    """A stand-in that takes requests."""

    def handle_request(self, request: ReceivedRequest) -> None:
        """A request has come whole."""
        raise NotImplementedError

    def connection_closed(self, connection: ServerConnection) -> None:
        """A connection is over."""

    def garbled(self, connection: ServerConnection) -> None:
        """A connection brought what is no request."""
