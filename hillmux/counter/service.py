"""The counter's published protocol on a socket, for several gateways."""

from __future__ import annotations

import asyncio
import logging
import socket
import struct
import time
from typing import cast

import httptools

from hillmux.counter.store import Store, TurnedAwayError, total_text
from hillmux.counter.wire import NoCallError, parse

log = logging.getLogger(__name__)

CONNECTIONS = 32  # of one address; further ones are reset
MOST_CONNECTIONS = 1024  # in all
IDLE_S = 10.0
SWEEP_S = 1.0
LONGEST_HEAD = 8 * 1024
LONGEST_UNREAD = 64 * 1024  # answers that a caller does not read
REASONS = {200: b"OK", 400: b"Bad Request", 404: b"Not Found", 503: b"Service Unavailable"}


class CounterServer:
    """Serves one store to any number of gateways."""

    def __init__(self, store: Store, loop: asyncio.AbstractEventLoop) -> None:
        self.store, self._loop = store, loop
        self.calls = 0
        self._server: asyncio.Server | None = None
        self._connections: set[_Caller] = set()
        self._by_address: dict[str, int] = {}
        self._sweeper: asyncio.TimerHandle | None = None

    async def start(self, host: str, port: int) -> tuple[str, int]:
        """Listen; returns the address, with the port that the system chose for 0. OSError if it is taken."""
        self._server = await self._loop.create_server(lambda: _Caller(self), host, port)
        self._sweeper = self._loop.call_later(SWEEP_S, self._sweep)
        name = self._server.sockets[0].getsockname()
        return name[0], name[1]

    def stop(self) -> None:
        """Close the listener and all connections."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        if self._server is not None:
            self._server.close()
        for caller in list(self._connections):
            caller.drop()

    def now_ms(self) -> float:
        """The store's clock: never set back."""
        return time.monotonic() * 1000

    def opened(self, caller: _Caller, address: str) -> bool:
        """Whether one more connection of an address is held."""
        count = self._by_address.get(address, 0)
        if count >= CONNECTIONS or len(self._connections) >= MOST_CONNECTIONS:
            return False
        self._by_address[address] = count + 1
        self._connections.add(caller)
        return True

    def closed(self, caller: _Caller, address: str) -> None:
        """A connection that was held is gone."""
        if caller in self._connections:
            self._connections.discard(caller)
            self._by_address[address] -= 1
            if not self._by_address[address]:
                del self._by_address[address]

    def _sweep(self) -> None:
        self.store.sweep(self.now_ms())
        before = time.monotonic() - IDLE_S
        for caller in list(self._connections):
            if caller.heard_at < before:
                caller.drop()
        self._sweeper = self._loop.call_later(SWEEP_S, self._sweep)


class _Caller(asyncio.Protocol):
    """One connection of a gateway: calls are answered in their order, as they come."""

    def __init__(self, server: CounterServer) -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport
        self._address = ""
        self.heard_at = time.monotonic()
        self._target = b""
        self._taken = 0
        self._out: list[bytes] = []
        self._close = False

    def drop(self) -> None:
        """End the connection."""
        self._transport.abort()

    def _ends(self) -> bool:
        return self._close

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the server; reset the connection if there is no room for it."""
        self._transport = cast(asyncio.Transport, transport)
        self._address = str((transport.get_extra_info("peername") or ("",))[0])
        if not self._server.opened(self, self._address):
            # A reset, as the protocol has it: an end would look like an idle connection's.
            peer = transport.get_extra_info("socket")
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.drop()

    def connection_lost(self, exc: Exception | None) -> None:
        """Free the connection's place."""
        self._server.closed(self, self._address)

    def data_received(self, data: bytes) -> None:
        """Parse and answer what has come; 400 on bad HTTP, or a head above LONGEST_HEAD bytes."""
        if self._transport.is_closing() or self._close:
            return
        self.heard_at = time.monotonic()
        self._taken += len(data)
        try:
            self._parser.feed_data(data)
            bad = self._taken > LONGEST_HEAD  # guards the memory: a head without an end
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            bad = True
        if bad and not self._close:
            self._answer(400, b"no HTTP/1.1 call", False)
        out, self._out = self._out, []
        self._transport.write(b"".join(out))
        if self._ends():
            self._transport.close()
        elif self._transport.get_write_buffer_size() > LONGEST_UNREAD:
            self.drop()  # guards the memory: it calls and does not read

    def on_url(self, url: bytes) -> None:
        """A piece of the request target."""
        self._target += url

    def on_message_complete(self) -> None:
        """Add the call to the store, and queue its answer."""
        target, self._target, self._taken = self._target, b"", 0
        keep = self._parser.should_keep_alive()
        if self._close:
            return
        try:
            call = parse(self._parser.get_method(), target)
            total = self._server.store.add(call.name, call.amount, call.life_ms, self._server.now_ms())
        except NoCallError as error:
            self._answer(error.status, str(error).encode(), keep)
        except TurnedAwayError:
            self._answer(503, b"no room for a new name", keep)
        else:
            self._server.calls += 1
            self._answer(200, total_text(total).encode(), keep)

    def _answer(self, status: int, body: bytes, keep: bool) -> None:
        self._close = not keep
        self._out.append(
            b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n%b\r\n%b"
            % (status, REASONS[status], len(body), b"" if keep else b"Connection: close\r\n", body)
        )
