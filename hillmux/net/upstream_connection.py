"""A connection to an upstream host, which carries one attempt at a time."""

from __future__ import annotations

import asyncio
import os
import select
import socket
import time
from math import inf
from typing import TYPE_CHECKING

from hillmux.interface import AttemptResult
from hillmux.net.attempt import Attempt
from hillmux.net.http1 import ResponseProtocol
from hillmux.net.memory_budget import COPIES, UNRESERVED_MESSAGE_BYTES, Reservation
from hillmux.net.response import Response

if TYPE_CHECKING:
    from hillmux.net.upstream_pool import UpstreamPool


class UpstreamHost:
    """A host that attempts are sent to, with its idle connections."""

    __slots__ = ("name", "address", "started_at_ms", "idle", "draining")

    def __init__(self, name: str, address: tuple[str, int], started_at_ms: float = 0.0) -> None:
        self.name, self.address, self.started_at_ms = name, address, started_at_ms
        self.idle: list[UpstreamConnection] = []  # ordered by last use, most recent last
        self.draining = False  # open attempts continue; no new attempts are sent


class UpstreamConnection(ResponseProtocol):
    """One of a pool's connections to a host."""

    def __init__(self, pool: UpstreamPool, host: UpstreamHost) -> None:
        super().__init__()
        self._pool, self.host = pool, host
        self._read_buffer = pool.memory.read_buffer
        self._reservation: Reservation | None = None  # memory of an incomplete response that is not small
        self.last_input_at = 0.0  # loop time of the latest input of a response that waits for memory
        self._loop = pool.loop
        self.attempt: Attempt | None = None
        self.reused = False  # whether the connection was idle before the current attempt
        self.idle_since = 0.0  # loop time at which it last became idle; 0 if it has never been idle
        self.generation = pool.idle.generation  # of the pool's connections; see IdleConnections

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
                max(attempt.delivery_deadline - now, 0.0), self._pool.on_delivery_deadline, attempt
            )

    def start_streamed_body(self, attempt: Attempt) -> None:
        """Write the remainder of the attempt's body as it arrives; implemented by streaming subclasses."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Create the poll object of `has_no_unread_data`, and register with the pool."""
        super().connection_made(transport)
        self._poll = select.poll()
        self._poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
        self._pool.connection_opened(self)

    def get_buffer(self, size_hint: int) -> memoryview:
        """The buffer that the event loop reads into; it bounds the input that is read at once."""
        return self._pool.memory.buffer_for(self._reservation is not None)

    def buffer_updated(self, count: int) -> None:
        """Handle `count` bytes of input in the read buffer."""
        self.data_received(self._read_buffer[:count])

    def abort_attempt(self) -> None:
        """Shut down the sending side immediately, then close the connection.

        The event loop closes an aborted transport only in its next iteration. By then a retry may have been
        sent to another host, and two copies of the request would be open. The immediate shutdown prevents
        that. If data from the host is unread, the close resets the connection.
        """
        try:
            if not self.transport.is_closing():
                descriptor = os.dup(self.transport.get_extra_info("socket").fileno())
                with socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, descriptor) as duplicate:
                    duplicate.shutdown(socket.SHUT_WR)
        except OSError:
            pass  # the host has closed the connection, or no descriptor is free: `abort` is sufficient
        self.abort()

    def has_no_unread_data(self) -> bool:
        """Whether neither data nor the end of the connection has arrived unread.

        Unread data would be taken for the response to the next request. If the host has closed the
        connection, it is unknown whether a request written now has run.
        """
        return not self.transport.is_closing() and not self._poll.poll(0)

    def on_response(self, response: Response, reusable: bool) -> None:
        """Pass a complete response to the pool, unless its attempt has been aborted."""
        attempt, self.attempt = self.attempt, None
        self._reservation = None
        if attempt is not None:
            self._pool.response_received(self, attempt, response, reusable)

    def may_still_succeed(self) -> bool:
        """Whether a response arrives now that is successful, as far as can be seen."""
        if not self.is_receiving(time.monotonic()):
            return False
        return not self._framing_known or self._pool.classify(self._make_response(False)) == AttemptResult.OK

    def on_incomplete_response(self) -> None:
        """Reserve memory for a response that is not small.

        Without memory, it is passed on as it arrives, or waits for memory unread if its head is incomplete.
        """
        if self._streaming and self._silent_bytes:
            self._reserve_trailer()
        if self._reservation is not None or self.buffered_bytes() <= UNRESERVED_MESSAGE_BYTES:
            return
        memory = self._pool.memory
        self._reservation = memory.reserve(COPIES * self.expected_bytes())
        if self._reservation is not None:
            return
        self._reservation = memory.force(COPIES * len(self._read_buffer))
        if self.can_stream():
            self.stream_early()
            return
        self._awaits_memory = True
        self.last_input_at = self._loop.time()
        self._pool.memory_waiters.add(self)
        self._update_reading()

    def _reserve_trailer(self) -> None:
        """Reserve memory for a trailer field of a streamed response; without memory, end its attempt.

        The reservation of the stream covers a read in which the field begins.
        """
        held = COPIES * len(self._read_buffer) + self._silent_bytes
        if self._reservation is not None and not self._reservation.grow(held):
            self.reject_for_memory()

    def reserved_bytes(self) -> int:
        """The bytes that are reserved for the incomplete response."""
        return 0 if self._reservation is None else self._reservation.size

    def retry_reservation(self) -> bool:
        """Reserve the memory that the response needs; True also if it needs none any more."""
        if self._reservation is not None and not self._reservation.grow(COPIES * self.expected_bytes()):
            return False
        self._awaits_memory = False
        self._update_reading()
        return True

    def reject_for_memory(self) -> None:
        """End the attempt: there is no memory for its response."""
        self._awaits_memory = False
        if self.transport.is_closing():
            return
        self._pool.memory.rejections += 1
        self.on_malformed_response()
        self.abort()

    def on_malformed_response(self) -> None:
        """Report a malformed response to the pool."""
        self._pool.malformed_response(self)

    def on_surplus_data(self) -> None:
        """Report data that belongs to no request to the pool's idle connections."""
        self._pool.idle.on_surplus_data(self)

    def on_connection_lost(self) -> None:
        """Report the end of the connection to the pool."""
        self._reservation = None
        self._pool.memory_waiters.discard(self)
        self._pool.connection_closed(self)
