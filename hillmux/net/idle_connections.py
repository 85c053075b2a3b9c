"""Idle connections to upstream hosts: which one is reused, and which are closed."""

from __future__ import annotations

import asyncio
from typing import Final

from hillmux.net.upstream_connection import UpstreamConnection, UpstreamHost

# What a host sends after a complete response, by mistake or as the end of the connection, is seen by then.
REUSE_DELAY_S: Final = 0.01


class IdleConnections:
    """The idle connections of one pool, by host and by age."""

    def __init__(self, loop: asyncio.AbstractEventLoop, timeout_s: float) -> None:
        self._loop, self.timeout_s = loop, timeout_s
        self.oldest_first: dict[UpstreamConnection, None] = {}

    def add(self, connection: UpstreamConnection) -> None:
        """Keep a connection that carries no attempt for its host's next one."""
        connection.idle_since = self._loop.time()
        connection.host.idle.append(connection)
        self.oldest_first[connection] = None

    def take(self, host: UpstreamHost) -> UpstreamConnection | None:
        """The most recently used connection of a host on which nothing has followed the last response."""
        now = self._loop.time()
        latest, earliest = now - REUSE_DELAY_S, now - self.timeout_s
        for i in range(len(host.idle) - 1, -1, -1):
            connection = host.idle[i]
            if connection.idle_since < earliest:
                break  # due to be closed: the host may be closing it, and those before it
            if connection.idle_since <= latest and connection.has_no_unread_data():
                del host.idle[i]
                del self.oldest_first[connection]
                return connection
        return None

    def discard(self, connection: UpstreamConnection) -> None:
        """Forget a connection, if it is idle."""
        if connection in self.oldest_first:
            del self.oldest_first[connection]
            connection.host.idle.remove(connection)

    def close_oldest(self) -> bool:
        """Close the connection that has been idle longest; whether there was one."""
        oldest = next(iter(self.oldest_first), None)
        if oldest is not None:
            self._close(oldest)
        return oldest is not None

    def close_of_host(self, host: UpstreamHost) -> None:
        """Close all idle connections of a host."""
        idle, host.idle = host.idle, []
        for connection in idle:
            del self.oldest_first[connection]
            connection.abort()

    def close_expired(self) -> None:
        """Close the connections that have been idle for longer than the time-out."""
        earliest = self._loop.time() - self.timeout_s
        while (oldest := next(iter(self.oldest_first), None)) is not None and oldest.idle_since < earliest:
            self._close(oldest)

    def _close(self, connection: UpstreamConnection) -> None:
        del self.oldest_first[connection]
        connection.host.idle.remove(connection)
        connection.abort()
