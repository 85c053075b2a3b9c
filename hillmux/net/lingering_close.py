"""Lingering close of client connections (RFC 9112 section 9.6), and detection of client disconnects.

Closing a socket while input is unread in the kernel's receive buffer resets the connection, and the reset can
destroy a response that the client has not read yet. A connection is therefore closed in three steps: the
sending side is shut down after the last response has been sent, further input is read and discarded for a
bounded time, and then the descriptor is closed. A request that is read after the shutdown is never forwarded;
its client sees the end of the connection without a response and retries elsewhere. Before the shutdown, the
receive buffer is polled for a request that can still be served.

A client's disconnect is normally detected as the end of its input. A connection on which reading is paused,
because requests are queued or because no host is reading its body, is polled instead (`HangUpDetector`).
"""

from __future__ import annotations

import asyncio
import select
from typing import Final, Protocol

LINGER_TIMEOUT_S: Final = 1.0  # maximum time between the shutdown and the close of the descriptor
OVERFLOW_LINGER_TIMEOUT_S: Final = 0.1  # the same while clients wait to be accepted
MAX_LINGER_BYTES: Final = 1024 * 1024  # maximum input that is discarded after the shutdown
# Polling interval. No attempt may be sent for a client that disconnected 0.1 s ago or earlier.
HANG_UP_CHECK_INTERVAL_S: Final = 0.04
# On systems without POLLRDHUP only a reset is detected.
PEER_SHUTDOWN_EVENT: Final = getattr(select, "POLLRDHUP", 0)
HANG_UP_EVENTS: Final = PEER_SHUTDOWN_EVENT | select.POLLHUP | select.POLLERR


def _poll(transport: asyncio.Transport, events: int) -> int:
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), events)
    ready = poll.poll(0)
    return ready[0][1] if ready else 0


def has_unread_input(transport: asyncio.Transport) -> bool:
    """Whether input, or the end of input, has arrived that the event loop has not read yet."""
    return not transport.is_closing() and _poll(transport, select.POLLIN) != 0


def peer_has_closed(transport: asyncio.Transport) -> bool:
    """Whether the peer has closed or reset the connection, even if earlier input is still unread."""
    return not transport.is_closing() and _poll(transport, PEER_SHUTDOWN_EVENT) & HANG_UP_EVENTS != 0


class PausedConnection(Protocol):
    """A connection on which reading is paused."""

    transport: asyncio.Transport

    def on_hang_up(self) -> None:
        """Handle the client's disconnect."""


class HangUpDetector:
    """Polls the connections on which reading is paused, to detect that their clients have disconnected."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._connections: dict[PausedConnection, None] = {}
        self._timer: asyncio.TimerHandle | None = None

    def watch(self, connection: PausedConnection) -> None:
        """Start polling a connection on which reading has been paused."""
        self._connections[connection] = None
        if self._timer is None:
            self._timer = self._loop.call_later(HANG_UP_CHECK_INTERVAL_S, self._check)

    def unwatch(self, connection: PausedConnection) -> None:
        """Stop polling a connection that is being read again or has been closed."""
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
