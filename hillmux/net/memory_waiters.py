"""Connections whose message is larger than the free memory: they wait, unread, for a short time.

Waiting connections are served in the order of their arrival. Meanwhile those that hold memory for an
incomplete request whose client has stopped sending are rejected, since nobody waits for their answer yet.
"""

from __future__ import annotations

import asyncio
from typing import Final, Protocol

MAX_MEMORY_WAIT_S: Final = 0.4  # then the request is rejected, early in the usual times of clients
STALLED_HOLDER_S: Final = 0.5  # without input, from which a holder of memory is rejected
RETRY_INTERVAL_S: Final = 0.02


class MemoryUser(Protocol):
    """A connection that holds memory for an incomplete message, or waits for it."""

    last_input_at: float  # loop time

    def reserved_bytes(self) -> int:
        """The bytes that are reserved for the incomplete message."""

    def retry_reservation(self) -> bool:
        """Reserve the memory that the message needs; True also if it needs none any more."""

    def reject_for_memory(self) -> None:
        """Reject the incomplete request, or end the attempt of the incomplete response."""


class MemoryWaiters:
    """The connections that wait for memory, and the holders that may be rejected for them."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._waiting: dict[MemoryUser, float] = {}  # loop time since which each waits, first come first
        self.holders: dict[MemoryUser, None] = {}
        self._timer: asyncio.TimerHandle | None = None

    def add(self, connection: MemoryUser) -> None:
        """Call the connection's `retry_reservation` until it succeeds, or reject its request."""
        self._waiting.setdefault(connection, self._loop.time())
        if self._timer is None:
            self._timer = self._loop.call_later(RETRY_INTERVAL_S, self._check)

    def discard(self, connection: MemoryUser) -> None:
        """Forget a connection whose request is complete, rejected or abandoned."""
        self._waiting.pop(connection, None)
        self.holders.pop(connection, None)

    def reject_largest_holders(self, size: int) -> int:
        """Reject holders, largest first, until their reservations add up to `size` bytes; return the sum."""
        released = 0
        for connection in sorted(self.holders, key=lambda holder: -holder.reserved_bytes()):
            if released >= size:
                break
            released += connection.reserved_bytes()
            self.discard(connection)
            connection.reject_for_memory()
        return released

    def _check(self) -> None:
        self._timer = None
        now = self._loop.time()
        self._reject_stalled_holders(now)
        for connection, since in list(self._waiting.items()):
            if connection.retry_reservation():
                self._waiting.pop(connection, None)
            elif now - since > MAX_MEMORY_WAIT_S:
                self.discard(connection)
                connection.reject_for_memory()
        if self._waiting:
            self._timer = self._loop.call_later(RETRY_INTERVAL_S, self._check)

    def _reject_stalled_holders(self, now: float) -> None:
        for connection in list(self.holders):
            if connection not in self._waiting and now - connection.last_input_at > STALLED_HOLDER_S:
                self.discard(connection)
                connection.reject_for_memory()
