"""Idle connections to upstream hosts: selects the one to reuse, and closes expired ones.

HTTP/1.1 does not tell which request a response belongs to. Surplus data of a host, such as a second copy of
a response, is taken for the response to the next request unless it arrives before that request is sent, and
the right response for the one to the request after it. So a connection rests before it is reused, and longer
after surplus data has been seen.
"""

from __future__ import annotations

import asyncio
import logging
from typing import Final

from hillmux.net.upstream_connection import UpstreamConnection, UpstreamHost

log = logging.getLogger(__name__)

# Minimum idle time before a connection is reused. Surplus data or a close that the host sends after a
# complete response is detected within this time; a second copy may come some milliseconds late.
REUSE_DELAY_S: Final = 0.02
# The same for CAUTION_S after surplus data of any host: the next copies may come later.
CAUTIOUS_REUSE_DELAY_S: Final = 0.25
CAUTION_S: Final = 60.0
# Data on a connection that is idle for longer is no late copy, e.g. a 408 before the host closes it.
MAX_SURPLUS_DELAY_S: Final = 1.0


class IdleConnections:
    """The idle connections of one pool, by host and in the order in which they became idle."""

    def __init__(self, loop: asyncio.AbstractEventLoop, timeout_s: float) -> None:
        self._loop, self.timeout_s = loop, timeout_s
        self.oldest_first: dict[UpstreamConnection, None] = {}
        self.generation = 0  # connections opened in an earlier generation are not reused
        self._cautious_until = 0.0  # loop time; 0 if no surplus data has been seen

    def on_surplus_data(self, connection: UpstreamConnection) -> None:
        """Reuse connections more cautiously for a while: a host has sent data that belongs to no request.

        At the first time no connection is reused that is open now: an earlier copy may have shifted its
        responses.
        """
        now = self._loop.time()
        if connection in self.oldest_first and now - connection.idle_since > MAX_SURPLUS_DELAY_S:
            return
        if now >= self._cautious_until:
            self.generation += 1
            while self.close_oldest():
                pass
            text = "surplus data from host %s: connections rest %g s before reuse, for %g s"
            log.warning(text, connection.host.name, CAUTIOUS_REUSE_DELAY_S, CAUTION_S)
        self._cautious_until = now + CAUTION_S

    def add(self, connection: UpstreamConnection) -> None:
        """Keep a connection that carries no attempt for its host's next attempt."""
        connection.idle_since = self._loop.time()
        connection.host.idle.append(connection)
        self.oldest_first[connection] = None

    def take(self, host: UpstreamHost) -> UpstreamConnection | None:
        """Remove and return a host's most recently used connection that may be reused; None if there is none.

        A connection may be reused if it has been idle for long enough, has not reached the idle time-out, and
        has received nothing after its last response.
        """
        now = self._loop.time()
        reuse_delay_s = CAUTIOUS_REUSE_DELAY_S if now < self._cautious_until else REUSE_DELAY_S
        latest, earliest = now - reuse_delay_s, now - self.timeout_s
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
