"""HTTP/1.1 server side of the stand-ins, parsed by httptools on emulated connections; supports pipelining."""

from __future__ import annotations

from collections import deque
from typing import Any

import httptools

from hillmux.lab.links import EmulatedConnection, Receiver

REASONS = {200: b"OK", 400: b"Bad Request", 404: b"Not Found", 500: b"Error", 503: b"Unavailable"}


def response_bytes(status: int, body: bytes = b"", extra_headers: bytes = b"") -> bytes:
    """Serialize a response; `extra_headers` are complete header lines, each with its CRLF."""
    return b"HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\n\r\n%b" % (
        status,
        REASONS[status],
        extra_headers,
        len(body),
        body,
    )


class ReceivedRequest:
    """A complete request, and its response once there is one."""

    __slots__ = ("method", "path", "query", "headers", "connection", "response")

    def __init__(self, method: str, url: Any, headers: dict[str, str], connection: ServerConnection) -> None:
        self.method, self.headers, self.connection = method, headers, connection
        self.path = (url.path or b"").decode()
        pairs = (p.partition("=") for p in (url.query or b"").decode().split("&") if p)
        self.query = {name: value for name, _, value in pairs}
        self.response: bytes | None = None

    def respond(self, data: bytes) -> None:
        """Set the response; the responses of a connection are written in the order of its requests."""
        self.response = data
        self.connection.write_ready_responses()


class ServerConnection(Receiver):
    """A connection from a gateway to a stand-in; queues its requests until they have been answered."""

    def __init__(self, transport: EmulatedConnection, handler: RequestHandler) -> None:
        self.transport, self.handler = transport, handler
        self.closed = False
        self.unanswered: deque[ReceivedRequest] = deque()
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._headers: dict[str, str] = {}

    def received(self, data: bytes) -> None:
        """Parse bytes; malformed HTTP resets the connection."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.handler.malformed_received(self)
            self.transport.reset()

    def ended(self) -> None:
        """Notify the handler once that the gateway closed the connection, and reset it."""
        if not self.closed:
            self.closed = True
            self.handler.connection_closed(self)
            if not self.transport.closing:
                self.transport.reset()

    def write_ready_responses(self) -> None:
        """Write the responses that are due, in the order of the requests."""
        while self.unanswered and (data := self.unanswered[0].response) is not None:
            self.unanswered.popleft()
            self.transport.write(data)

    def on_message_begin(self) -> None:
        """Reset the state of the parsed request."""
        self._url, self._headers = b"", {}

    def on_url(self, url: bytes) -> None:
        """Append a piece of the request target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header field under its lower-case name."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_message_complete(self) -> None:
        """Queue the complete request for its response, and pass it to the handler."""
        request = ReceivedRequest(
            self._parser.get_method().decode(), httptools.parse_url(self._url), self._headers, self
        )
        self.unanswered.append(request)
        self.handler.handle_request(request)


class RequestHandler:
    """Interface of a stand-in that handles requests."""

    def handle_request(self, request: ReceivedRequest) -> None:
        """Handle a complete request; `request.respond` may be called later."""
        raise NotImplementedError

    def connection_closed(self, connection: ServerConnection) -> None:
        """Handle the close of a connection; called once for each."""

    def malformed_received(self, connection: ServerConnection) -> None:
        """Handle malformed input; the connection is reset afterwards."""
