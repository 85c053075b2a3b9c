"""The operators' port: one line a connection, answered at once; no caller holds up another."""

from __future__ import annotations

import asyncio
import socket
from typing import cast

from hillmux.admin.commands import MAX_LINE_BYTES, ManagedProcess, respond

MAX_CONNECTIONS = (
    12  # connections at once, from the descriptors' reserve; beyond them the one silent for longest goes
)
IDLE_TIMEOUT_S = 10.0  # a connection without a whole line is kept so long
BACKLOG = 64


class OperatorServer:
    """Listens for operators' calls."""

    def __init__(self, gateway: ManagedProcess, loop: asyncio.AbstractEventLoop) -> None:
        self.gateway, self._loop = gateway, loop
        self._server: asyncio.Server | None = None
        self._connections: dict[OperatorConnection, None] = {}  # the longest connected first

    async def start(self, address: tuple[str, int]) -> tuple[str, int]:
        """Listen; returns the address, with the port that the system chose for 0.

        Raises:
            OSError: the address cannot be listened on.
        """
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self._server = await self._loop.create_server(
            lambda: OperatorConnection(self), *address, family=family, backlog=BACKLOG, reuse_address=True
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        return str(host), int(port)

    def stop(self) -> None:
        """Listen no more, and end what is open."""
        if self._server is not None:
            self._server.close()
        for caller in list(self._connections):
            caller.abort()

    def connection_opened(self, caller: OperatorConnection) -> None:
        """A connection is up. Guards the descriptors against callers who connect and say nothing."""
        self._connections[caller] = None
        if len(self._connections) > MAX_CONNECTIONS:
            next(iter(self._connections)).abort()

    def connection_closed(self, caller: OperatorConnection) -> None:
        """A connection is gone."""
        self._connections.pop(caller, None)


class OperatorConnection(asyncio.Protocol):
    """One connection."""

    def __init__(self, server: OperatorServer) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._line = b""
        self._done = False
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the server; the connection is ended after SILENT_S."""
        self._transport = cast(asyncio.Transport, transport)
        self._timer = asyncio.get_running_loop().call_later(IDLE_TIMEOUT_S, self.abort)
        self._server.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        """Answer the first line, or what exceeds LONGEST_LINE bytes; the rest is ignored."""
        if self._done:
            return
        self._line += data
        line, end, _ = self._line.partition(b"\n")
        if end or len(self._line) > MAX_LINE_BYTES:
            self._answer(line.rstrip(b"\r") if len(line) <= MAX_LINE_BYTES else b"\0")

    def eof_received(self) -> bool:
        """Answer a last line without its end; True keeps the transport open for the answer."""
        if not self._done and self._line:
            self._answer(self._line.rstrip(b"\r"))  # a last line may lack its end
        return self._done  # half closed: the answer still goes out

    def _answer(self, line: bytes) -> None:
        self._done = True
        assert self._transport is not None
        self._transport.write(respond(line, self._server.gateway))
        self._transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        """Free the connection's place, and stop its timer."""
        if self._timer is not None:
            self._timer.cancel()
        self._server.connection_closed(self)

    def abort(self) -> None:
        """Close at once."""
        self._server.connection_closed(self)
        if self._transport is not None:
            self._transport.abort()
