"""Server of the counter's published protocol, for any number of gateways."""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from typing import Final, cast

import httptools

from hillmux.counter.codec import InvalidCallError, parse_call
from hillmux.counter.store import Store, StoreFullError, format_total

MAX_CONNECTIONS_PER_ADDRESS: Final = 32  # connections beyond it are reset
MAX_CONNECTIONS: Final = 1024
IDLE_TIMEOUT_S: Final = 10.0
LINGER_TIMEOUT_S: Final = 1.0  # from the last response to the close of the descriptor
SWEEP_INTERVAL_S: Final = 1.0
MAX_HEAD_BYTES: Final = 8 * 1024
MAX_BYTES_PER_TURN: Final = 4 * 1024  # per connection and turn of the event loop, as every call costs
MAX_UNSENT_BYTES: Final = 64 * 1024  # per connection; a caller that reads too slowly is disconnected
RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)  # SO_LINGER on, for 0 s
REASON_PHRASES: Final = {200: b"OK", 400: b"Bad Request", 404: b"Not Found", 503: b"Service Unavailable"}
CLOSED_PARSER: Final = httptools.HttpRequestParser(
    object()
)  # of a closed connection, which it does not refer to


class CounterServer:
    """Serves one store to any number of gateways over TCP."""

    def __init__(self, store: Store, loop: asyncio.AbstractEventLoop) -> None:
        self.store, self._loop = store, loop
        self.calls = 0  # calls that were added since the start
        self.connections: set[CounterConnection] = set()
        self._server: asyncio.Server | None = None
        self._connections_by_address: dict[str, int] = {}
        self._sweep_timer: asyncio.TimerHandle | None = None

    async def start(self, host: str, port: int) -> tuple[str, int]:
        """Listen and return the bound address and port; the system chooses the port if 0 is given.

        Raises:
            OSError: the address is in use or does not belong to this machine.
        """
        self._server = await self._loop.create_server(lambda: CounterConnection(self), host, port)
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        name = self._server.sockets[0].getsockname()
        return name[0], name[1]

    def stop(self) -> None:
        """Close the listener and all connections."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()

    def now_ms(self) -> float:
        """Return the time of the store's clock, which is monotonic."""
        return time.monotonic() * 1000

    def register(self, connection: CounterConnection, address: str) -> bool:
        """Register a connection of an address; return False if a limit on connections is reached."""
        count = self._connections_by_address.get(address, 0)
        if count >= MAX_CONNECTIONS_PER_ADDRESS or len(self.connections) >= MAX_CONNECTIONS:
            return False
        self._connections_by_address[address] = count + 1
        self.connections.add(connection)
        return True

    def unregister(self, connection: CounterConnection, address: str) -> None:
        """Remove a closed connection from the counts, if it was registered."""
        if connection in self.connections:
            self.connections.discard(connection)
            self._connections_by_address[address] -= 1
            if not self._connections_by_address[address]:
                del self._connections_by_address[address]

    def _sweep(self) -> None:
        self.store.sweep(self.now_ms())
        idle_since = time.monotonic() - IDLE_TIMEOUT_S
        for connection in list(self.connections):
            if connection.received_at < idle_since:
                connection.abort()
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)


class CounterConnection(asyncio.Protocol):
    """One connection of a gateway; its calls are answered in the order in which they arrive."""

    def __init__(self, server: CounterServer) -> None:
        self.received_at = time.monotonic()  # s, when bytes were last received
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport
        self._address = ""
        self._target = b""  # of the request that is being parsed
        self._deferred = memoryview(b"")  # input for the following turns of the event loop
        self._unparsed_bytes = 0  # received since the last complete request
        self._responses: list[bytes] = []
        self._closing = False
        self._linger_timer: asyncio.TimerHandle | None = None  # set once the last response has been written

    def abort(self) -> None:
        """Close the connection at once."""
        self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the server; reset the connection if a limit on connections is reached."""
        self._transport = cast(asyncio.Transport, transport)
        self._address = str((transport.get_extra_info("peername") or ("",))[0])
        if not self._server.register(self, self._address):
            # The protocol requires a reset: an orderly close would look like that of an idle connection.
            peer = transport.get_extra_info("socket")
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop the deferred input and the parser, which refers to this connection; unregister."""
        self._deferred = memoryview(b"")
        self._parser = CLOSED_PARSER
        if self._linger_timer is not None:
            self._linger_timer.cancel()
        self._server.unregister(self, self._address)

    def data_received(self, data: bytes) -> None:
        """Parse and answer the received bytes, at most MAX_BYTES_PER_TURN in each turn of the event loop."""
        if self._transport.is_closing() or self._closing:
            return
        self.received_at = time.monotonic()
        if len(data) <= MAX_BYTES_PER_TURN:
            self._answer_calls(data)
            return
        self._transport.pause_reading()
        self._deferred = memoryview(data)
        self._answer_next()

    def _answer_next(self) -> None:
        data, self._deferred = self._deferred[:MAX_BYTES_PER_TURN], self._deferred[MAX_BYTES_PER_TURN:]
        if data:
            self._answer_calls(data)
        if self._transport.is_closing() or self._closing:
            return
        if self._deferred:
            asyncio.get_running_loop().call_soon(self._answer_next)
        else:
            self._transport.resume_reading()

    def _answer_calls(self, data: bytes | memoryview) -> None:
        """Parse and answer calls; 400 for malformed HTTP or a head above `MAX_HEAD_BYTES`."""
        if not self._parse(data) and not self._is_closing():
            self._respond(400, b"no HTTP/1.1 call", keep_alive=False)
        responses, self._responses = self._responses, []
        self._transport.write(b"".join(responses))
        if self._is_closing():
            self._close_gracefully()
        elif self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.abort()  # bounds the memory of responses that the caller does not read

    def _close_gracefully(self) -> None:
        """Shut down the sending side, then discard input until the caller closes, or for a bounded time.

        Closing with unread input would reset the connection, and destroy responses that are not read yet.
        """
        if self._linger_timer is None:
            self._parser = CLOSED_PARSER
            self._transport.write_eof()
            self._linger_timer = asyncio.get_running_loop().call_later(LINGER_TIMEOUT_S, self.abort)
            self._transport.resume_reading()

    def _parse(self, data: bytes | memoryview) -> bool:
        self._unparsed_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            return False
        return self._unparsed_bytes <= MAX_HEAD_BYTES  # bounds the memory of an endless head

    def _is_closing(self) -> bool:
        return self._closing

    def on_url(self, url: bytes) -> None:
        """Append a piece of the request target."""
        self._target += url

    def on_message_complete(self) -> None:
        """Add the call to the store and queue the response."""
        target, self._target, self._unparsed_bytes = self._target, b"", 0
        keep_alive = self._parser.should_keep_alive()
        if self._closing:
            return
        try:
            call = parse_call(self._parser.get_method(), target)
            store, now_ms = self._server.store, self._server.now_ms()
            total = store.add(call.name, call.amount, call.retention_ms, now_ms)
        except InvalidCallError as error:
            self._respond(error.status, str(error).encode(), keep_alive)
        except StoreFullError:
            self._respond(503, b"no room for a new name", keep_alive)
        else:
            self._server.calls += 1
            self._respond(200, format_total(total).encode(), keep_alive)

    def _respond(self, status: int, body: bytes, keep_alive: bool) -> None:
        self._closing = not keep_alive
        connection = b"" if keep_alive else b"Connection: close\r\n"
        self._responses.append(
            b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n%b\r\n%b"
            % (status, REASON_PHRASES[status], len(body), connection, body)
        )
