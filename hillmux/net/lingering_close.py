"""Closing a client's connection without losing answers (RFC 9112 section 9.6), and noticing its disconnect.

A close over input that lies unread in the system's buffer resets the connection, and the reset can destroy an
answer that the client has not read. So a connection is closed in three steps: the sending side is shut (the
last answer leaves first), further input is read and discarded for a bounded time, and then the descriptor is
closed. A request that is read after the shut is never forwarded; its client sees the end of the connection
without an answer and retries elsewhere. Before the shut, polling the system's buffer tells whether a request
has arrived that can still be served.

A client's disconnect is noticed as the end of its input. A connection that is not being read, because
requests wait on it or no host takes its body, is polled for that instead (`HangUpDetector`).
"""

from __future__ import annotations

import asyncio
import select
from typing import Final, Protocol

LINGER_TIMEOUT_S: Final = 1.0  # after the shut, until the descriptor is closed at the latest
MAX_LINGER_BYTES: Final = 1024 * 1024  # of input that is discarded meanwhile
HANG_UP_CHECK_INTERVAL_S: Final = (
    0.04  # spacing of the looks: an attempt for a client that left 0.1 s ago breaks a rule
)
PEER_SHUTDOWN_EVENT: Final = getattr(select, "POLLRDHUP", 0)  # where the system has none, a reset alone shows
HANG_UP_EVENTS: Final = PEER_SHUTDOWN_EVENT | select.POLLHUP | select.POLLERR


def _poll(transport: asyncio.Transport, events: int) -> int:
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), events)
    found = poll.poll(0)
    return found[0][1] if found else 0


def has_unread_input(transport: asyncio.Transport) -> bool:
    """Whether input, or its end, has arrived that the loop has not read yet."""
    return not transport.is_closing() and _poll(transport, select.POLLIN) != 0


def peer_has_closed(transport: asyncio.Transport) -> bool:
    """Whether the other side has closed or reset, even if there is unread input before that."""
    return not transport.is_closing() and _poll(transport, PEER_SHUTDOWN_EVENT) & HANG_UP_EVENTS != 0


class PausedConnection(Protocol):
    """A connection that is not being read."""

    transport: asyncio.Transport

    def on_hang_up(self) -> None:
        """Its client has disconnected."""


class HangUpDetector:
    """Polls the connections that are not being read for their client's disconnect."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._connections: dict[PausedConnection, None] = {}
        self._timer: asyncio.TimerHandle | None = None

    def watch(self, connection: PausedConnection) -> None:
        """Start to poll a connection: it is not being read."""
        self._connections[connection] = None
        if self._timer is None:
            self._timer = self._loop.call_later(HANG_UP_CHECK_INTERVAL_S, self._check)

    def forget(self, connection: PausedConnection) -> None:
        """Stop to poll a connection: it is read again, or closed."""
        self._connections.pop(connection, None)

    def _check(self) -> None:
        self._timer = None
        for connection in list(self._connections):
            if connection.transport.is_closing():
                del self._connections[connection]
            elif peer_has_closed(connection.transport):
                del self._connections[connection]
                connection.on_hang_up()
        if self._connections:
            self._timer = self._loop.call_later(HANG_UP_CHECK_INTERVAL_S, self._check)
