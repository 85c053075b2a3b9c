"""A connection to an upstream host, which carries one attempt at a time."""

from __future__ import annotations

import asyncio
import os
import select
import socket
import time
from math import inf
from typing import TYPE_CHECKING

from hillmux.net.attempt import Attempt
from hillmux.net.http1 import Response, ResponseProtocol

if TYPE_CHECKING:
    from hillmux.net.upstream_pool import UpstreamPool


class UpstreamHost:
    """A host that attempts can be sent to, and its idle connections."""

    __slots__ = ("name", "address", "idle", "draining")

    def __init__(self, name: str, address: tuple[str, int]) -> None:
        self.name, self.address = name, address
        self.idle: list[UpstreamConnection] = []  # the most recently used last
        self.draining = False  # open attempts continue, no new one begins


class UpstreamConnection(ResponseProtocol):
    """One connection of a pool to a host."""

    def __init__(self, pool: UpstreamPool, host: UpstreamHost) -> None:
        super().__init__()
        self._pool, self.host = pool, host
        self._loop = pool.loop
        self.attempt: Attempt | None = None
        self.reused = False  # the attempt is not the first one on this connection
        self.idle_since = 0.0  # by the loop's clock; 0: never idle yet

    def start_attempt(self, attempt: Attempt) -> None:
        """Write an attempt's request."""
        self.attempt, attempt.connection = attempt, self
        self.reused = self.idle_since > 0
        now = time.monotonic()
        self.write(attempt.payload(now))
        if attempt.streamed_body is not None:
            self.start_streamed_body(attempt)
        if self.unsent and attempt.delivery_deadline < inf:
            self._loop.call_later(
                max(attempt.delivery_deadline - now, 0.0), self._pool.delivery_window_closed, attempt
            )

    def start_streamed_body(self, attempt: Attempt) -> None:
        """Write the rest of the attempt's body as it arrives."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Prepare the poll for `has_no_unread_data`, and register with the pool."""
        super().connection_made(transport)
        self._poll = select.poll()
        self._poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
        self._pool.connection_opened(self)

    def abort_attempt(self) -> None:
        """End the attempt at once, and the connection within this turn of the loop.

        The end of the request is sent immediately. The loop closes a dropped connection in its next turn,
        and by then a retry may be on its way to another host, with two copies of the request open. Where the
        host has sent something unread, the close resets the connection.
        """
        try:
            if not self.transport.is_closing():
                descriptor = os.dup(self.transport.get_extra_info("socket").fileno())
                with socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, descriptor) as duplicate:
                    duplicate.shutdown(socket.SHUT_WR)
        except OSError:
            pass  # the host closed first, or no descriptor is left: the attempt ends all the same
        self.abort()

    def has_no_unread_data(self) -> bool:
        """Whether nothing has arrived that is still unread.

        Unread data would be taken for the next response; an unread end of the connection means that a request
        written now may have run or not.
        """
        return not self.transport.is_closing() and not self._poll.poll(0)

    def on_response(self, response: Response, reusable: bool) -> None:
        """Pass a complete response to the pool, unless its attempt was aborted."""
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            self._pool.response_received(self, attempt, response, reusable)

    def on_malformed_response(self) -> None:
        """Report a malformed response to the pool."""
        self._pool.malformed_response(self)

    def on_connection_lost(self) -> None:
        """Report the end of the connection to the pool."""
        self._pool.connection_closed(self)
