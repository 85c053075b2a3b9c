"""Reserves memory for the requests of a client connection that are not small; does not read from sockets."""

from __future__ import annotations

import asyncio
import time

from hillmux.net.diagnostics import CloseReason
from hillmux.net.http1 import MAX_BUFFERED_BODY_BYTES
from hillmux.net.memory_budget import (
    COPIES,
    MESSAGE_BYTES,
    UNRESERVED_MESSAGE_BYTES,
    MemoryBudget,
    Reservation,
)
from hillmux.net.memory_waiters import MemoryWaiters
from hillmux.net.request_parser import MAX_HEAD_BYTES, RequestParser
from hillmux.net.requests import RequestMessage, ShedRequest


class ReservingParser(RequestParser):
    """A parser whose incomplete, complete and queued requests are charged to the memory budget.

    A request that is small and waits behind no other is covered by the charge of its connection.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, memory: MemoryBudget, waiters: MemoryWaiters) -> None:
        super().__init__(loop)
        self._memory, self._waiters = memory, waiters
        self._reservation: Reservation | None = None  # memory of the message being received
        self._closing = False  # no further requests are parsed
        self._awaits_memory = False  # reading is paused until there is memory for the request
        self._waits_since = 0.0  # time.monotonic at the start of that pause
        self.last_input_at = 0.0  # loop time of the latest input of an incomplete request that is not small

    # Implemented by the connection

    def note_close(self, reason: CloseReason) -> None:
        """Record why the connection is being closed."""
        raise NotImplementedError

    def reject(self, status: int) -> None:
        """Queue an error response, and parse no further requests."""
        raise NotImplementedError

    def take_requests(self) -> None:
        """Process the queued requests."""
        raise NotImplementedError

    def update_reading(self) -> None:
        """Pause or resume reading."""
        raise NotImplementedError

    # Incomplete requests

    def _reserve_incomplete(self, message: RequestMessage) -> None:
        """Reserve the memory for an incomplete request that is not small, or wait for it unread."""
        if message.streamed_body is not None:
            self._reserve_trailer(message)
            return
        needed = self.needed_bytes(message)
        if not needed:
            return
        self.last_input_at = self._loop.time()
        if self._reservation is None:
            self._reservation = self._memory.reserve(needed)
            reserved = self._reservation is not None
        else:
            reserved = self._reservation.grow(needed)
        if reserved:
            self._waiters.holders[self] = None
            return
        if self._reservation is None:
            self._reservation = self._memory.force(COPIES * self._received_bytes)
        self._awaits_memory = True
        self._waits_since = time.monotonic()
        self._waiters.add(self)
        self.update_reading()

    def _reserve_trailer(self, message: RequestMessage) -> None:
        """Reserve memory for a trailer field of a streamed body; without memory, reject its request.

        The reservation of the body covers a read in which the field begins.
        """
        reservation = message.reservation
        if not message.silent_bytes or reservation is None:
            return
        if not reservation.grow(COPIES * len(self._memory.read_buffer) + message.silent_bytes):
            self._memory.rejections += 1
            self.note_close(CloseReason.MEMORY)
            self.reject(503)
            self.take_requests()

    def reserved_bytes(self) -> int:
        """The bytes that are reserved for the incomplete request."""
        return 0 if self._reservation is None else self._reservation.size

    def retry_reservation(self) -> bool:
        """Reserve the memory that the request needs; True also if it needs none any more."""
        message = self._message
        if message is not None and self._reservation is not None and not self._closing:
            if not self._reservation.grow(self.needed_bytes(message)):
                return False
            self._waiters.holders[self] = None
            message.unread_s += time.monotonic() - self._waits_since
        self._awaits_memory = False
        self.update_reading()
        return True

    def reject_for_memory(self) -> None:
        """Reject the incomplete request: there is no memory for it, or another one needs its memory."""
        self._awaits_memory = False
        if self._reservation is None or self._closing or self.transport.is_closing():
            return
        self._memory.rejections += 1
        self.note_close(CloseReason.MEMORY)
        self.reject(503)
        self.take_requests()
        self.update_reading()

    def _release_incomplete(self) -> None:
        """Release the memory of a request that will not be completed."""
        self._reservation = None
        self._awaits_memory = False
        self._waiters.discard(self)

    # Complete requests

    def queue_complete(self, message: RequestMessage) -> None:
        """Queue a complete request, or its rejection if there is no memory for it."""
        is_small = message.body_bytes <= UNRESERVED_MESSAGE_BYTES and self._reservation is None
        if is_small and not self._answer_due and not self._queue:
            self._queue.append(message)  # covered by its connection's charge
        elif self._reserve_complete(message):
            self._queue.append(message)
        else:
            self._memory.rejections += 1
            self._queue.append(ShedRequest(message.keep_alive))

    def _reserve_complete(self, message: RequestMessage) -> bool:
        """Reserve the memory that a complete request needs until it is answered; False if there is none."""
        reservation, self._reservation = self._reservation, None
        size = MESSAGE_BYTES if self._queue or self._answer_due else 0
        if message.body_bytes > UNRESERVED_MESSAGE_BYTES:
            size += COPIES * message.body_bytes
        if not size:
            return True  # its head was long, and is not kept
        if reservation is None:
            reservation = self._memory.reserve(size)
        elif not reservation.grow(size):
            return False
        else:
            reservation.shrink(size)
        message.reservation = reservation
        return reservation is not None

    def needed_bytes(self, message: RequestMessage) -> int:
        """The memory that an incomplete request needs until it is complete; 0 if it is small so far."""
        unfinished = message.unfinished_bytes
        if message.method == b"":
            if max(self._received_bytes, unfinished) <= UNRESERVED_MESSAGE_BYTES:
                return 0
            # `_received_bytes` leaves out the beginning of a head that began within a slice of input.
            return MAX_HEAD_BYTES + (unfinished if unfinished > self._received_bytes else 0)
        length = message.headers.get(b"content-length")
        kept = message.head_bytes + len(message.url) + (unfinished if length is None else 0)
        if kept + message.body_bytes <= UNRESERVED_MESSAGE_BYTES:
            return 0
        body_bytes = MAX_BUFFERED_BODY_BYTES if length is None else min(int(length), MAX_BUFFERED_BODY_BYTES)
        return kept + COPIES * body_bytes
