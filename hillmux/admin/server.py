"""The operators' port: one command per connection, answered at once; no connection blocks another."""

from __future__ import annotations

import asyncio
import socket
from typing import cast

from hillmux.admin.commands import MAX_LINE_BYTES, ManagedProcess, respond

MAX_CONNECTIONS = 12  # open at a time; they use the process's reserve of descriptors
IDLE_TIMEOUT_S = 10.0  # time in which a connection has to send its command
BACKLOG = 64
NO_COMMAND = b"\0"  # an invalid command, in place of a line that is too long


class OperatorServer:
    """Listens for operators' connections, and bounds their number."""

    def __init__(self, gateway: ManagedProcess, loop: asyncio.AbstractEventLoop) -> None:
        self.gateway, self._loop = gateway, loop
        self._server: asyncio.Server | None = None
        self._connections: dict[OperatorConnection, None] = {}  # open connections as keys, oldest first

    async def start(self, address: tuple[str, int]) -> tuple[str, int]:
        """Listen on an address; returns it with the port that the system chose for port 0.

        Raises:
            OSError: The address cannot be bound.
        """
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self._server = await self._loop.create_server(
            lambda: OperatorConnection(self), *address, family=family, backlog=BACKLOG, reuse_address=True
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        return str(host), int(port)

    def stop(self) -> None:
        """Stop listening, and close all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.abort()

    def connection_opened(self, connection: OperatorConnection) -> None:
        """Register a connection; if there are too many, the oldest is closed.

        Idle connections must not use up the process's descriptors.
        """
        self._connections[connection] = None
        if len(self._connections) > MAX_CONNECTIONS:
            next(iter(self._connections)).abort()

    def connection_closed(self, connection: OperatorConnection) -> None:
        """Remove a connection from the register."""
        self._connections.pop(connection, None)


class OperatorConnection(asyncio.Protocol):
    """One connection: reads one line, writes one answer and closes."""

    def __init__(self, server: OperatorServer) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._received = b""
        self._answered = False
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the server, and start the idle time-out."""
        self._transport = cast(asyncio.Transport, transport)
        self._timer = asyncio.get_running_loop().call_later(IDLE_TIMEOUT_S, self.abort)
        self._server.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        """Answer the first line, once it is complete or longer than `MAX_LINE_BYTES`; ignore the rest."""
        if self._answered:
            return
        self._received += data
        line, end, _ = self._received.partition(b"\n")
        if end or len(self._received) > MAX_LINE_BYTES:
            self._answer(line.rstrip(b"\r") if len(line) <= MAX_LINE_BYTES else NO_COMMAND)

    def eof_received(self) -> bool:
        """Answer a last line without a line ending; True keeps the transport open for the answer."""
        if not self._answered and self._received:
            self._answer(self._received.rstrip(b"\r"))
        return self._answered

    def _answer(self, line: bytes) -> None:
        self._answered = True
        assert self._transport is not None
        self._transport.write(respond(line, self._server.gateway))
        self._transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the time-out, and notify the server."""
        if self._timer is not None:
            self._timer.cancel()
        self._server.connection_closed(self)

    def abort(self) -> None:
        """Close the connection at once."""
        self._server.connection_closed(self)
        if self._transport is not None:
            self._transport.abort()
