"""How a connection to a client ends (RFC 9112 section 9.6), and how its end is seen while nobody reads it.

Theory of operation. A close over bytes that lie unread in the system's buffer resets the connection, and the
reset can take along an answer that the client has not read. So a connection ends in one way: our side is shut
(the last answer leaves whole, before the end), what still comes is read and forgotten for a bounded time, and
only then the descriptor goes. A request that is read after the shut is never sent on; its client sees the
connection's end without an answer and asks again elsewhere. Before the shut a look at the system's buffer
tells whether a request has arrived that can still be read and served.

A client that has gone shows as the end of what can be read. A connection that is not being read, since
requests wait on it or no host takes its body, is looked at for that instead.
"""

from __future__ import annotations

import asyncio
import select
from typing import Final, Protocol

LINGER_TIMEOUT_S: Final = 1.0  # how long after the shut the client is waited for
MAX_LINGER_BYTES: Final = 1024 * 1024  # how much is read and forgotten meanwhile
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
    """Whether anything has come, or the end has, that the loop has not read yet."""
    return not transport.is_closing() and _poll(transport, select.POLLIN) != 0


def peer_has_closed(transport: asyncio.Transport) -> bool:
    """Whether the other side has closed or reset, though something may lie unread before that."""
    return not transport.is_closing() and _poll(transport, PEER_SHUTDOWN_EVENT) & HANG_UP_EVENTS != 0


class PausedConnection(Protocol):
    """A connection that is not being read."""

    transport: asyncio.Transport

    def on_hang_up(self) -> None:
        """Its client has gone."""


class HangUpDetector:
    """Looks after the connections that are not being read."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._connections: dict[PausedConnection, None] = {}
        self._timer: asyncio.TimerHandle | None = None

    def watch(self, connection: PausedConnection) -> None:
        """It is read no more for now."""
        self._connections[connection] = None
        if self._timer is None:
            self._timer = self._loop.call_later(HANG_UP_CHECK_INTERVAL_S, self._check)

    def forget(self, connection: PausedConnection) -> None:
        """It is read again, or gone."""
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
