"""Idle connections to upstream hosts: selects the one to reuse, and closes expired ones."""

from __future__ import annotations

import asyncio
from typing import Final

from hillmux.net.upstream_connection import UpstreamConnection, UpstreamHost

# Minimum idle time before a connection is reused. Unsolicited data or a close that the host sends after a
# complete response is detected within this time.
REUSE_DELAY_S: Final = 0.01


class IdleConnections:
    """The idle connections of one pool, by host and in the order in which they became idle."""

    def __init__(self, loop: asyncio.AbstractEventLoop, timeout_s: float) -> None:
        self._loop, self.timeout_s = loop, timeout_s
        self.oldest_first: dict[UpstreamConnection, None] = {}

    def add(self, connection: UpstreamConnection) -> None:
        """Keep a connection that carries no attempt for its host's next attempt."""
        connection.idle_since = self._loop.time()
        connection.host.idle.append(connection)
        self.oldest_first[connection] = None

    def take(self, host: UpstreamHost) -> UpstreamConnection | None:
        """Remove and return a host's most recently used connection that may be reused; None if there is none.

        A connection may be reused if it has been idle for at least REUSE_DELAY_S, has not reached the idle
        time-out, and has received nothing after its last response.
        """
        now = self._loop.time()
        latest, earliest = now - REUSE_DELAY_S, now - self.timeout_s
        for i in range(len(host.idle) - 1, -1, -1):
            connection = host.idle[i]
            if connection.idle_since < earliest:
                break  # expired, as are all before it: the host may be closing them
            if connection.idle_since <= latest and connection.has_no_unread_data():
                del host.idle[i]
                del self.oldest_first[connection]
                return connection
        return None

    def discard(self, connection: UpstreamConnection) -> None:
        """Remove a connection if it is idle, without closing it."""
        if connection in self.oldest_first:
            del self.oldest_first[connection]
            connection.host.idle.remove(connection)

    def close_oldest(self) -> bool:
        """Close the connection that has been idle longest; returns False if no connection is idle."""
        oldest = next(iter(self.oldest_first), None)
        if oldest is not None:
            self._close(oldest)
        return oldest is not None

    def close_all_to(self, host: UpstreamHost) -> None:
        """Close all idle connections to a host."""
        idle, host.idle = host.idle, []
        for connection in idle:
            del self.oldest_first[connection]
            connection.abort()

    def close_expired(self) -> None:
        """Close the connections that have exceeded the idle time-out."""
        earliest = self._loop.time() - self.timeout_s
        while (oldest := next(iter(self.oldest_first), None)) is not None and oldest.idle_since < earliest:
            self._close(oldest)

    def _close(self, connection: UpstreamConnection) -> None:
        del self.oldest_first[connection]
        connection.host.idle.remove(connection)
        connection.abort()
