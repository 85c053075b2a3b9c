"""The input of one client connection: parsed when it is read or in later turns, or stored unparsed."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any, Final

import httptools

from hillmux.net.diagnostics import CloseReason
from hillmux.net.http1 import MAX_TRAILER_FIELD_BYTES
from hillmux.net.lingering_close import MAX_LINGER_BYTES
from hillmux.net.parse_scheduler import MAX_PIECES_PER_READ, PARSE_SLICE_BYTES, running_loop_scheduler
from hillmux.net.request_parser import MAX_HEAD_BYTES
from hillmux.net.requests import RejectedRequest, RequestMessage
from hillmux.net.reserving_parser import ReservingParser
from hillmux.net.unparsed_input import UnparsedInput

if TYPE_CHECKING:
    from hillmux.net.listener import Listener

MEMORY_CHECK_INTERVAL_S: Final = 0.005  # while the unparsed input of all connections is over its limit


class ClientInput(ReservingParser):
    """Stores and parses the input of a connection, within the bounds on memory and on the loop's time."""

    def __init__(self, listener: Listener[Any]) -> None:
        super().__init__(listener.loop, listener.memory, listener.memory_waiters)
        self._listener = listener
        self._read_buffer = listener.memory.read_buffer
        self._unparsed = UnparsedInput(listener.unparsed_total)
        self._piece_budget = MAX_PIECES_PER_READ  # value of `_pieces` above which parsing is deferred
        self._is_deferred = False  # the unparsed input waits for a turn of the event loop
        self.answered = False  # at least one request of this connection has been answered
        # The loop's time when the connection was opened, last became idle, or began to receive a message
        self.waiting_since = 0.0

    # Implemented by the connection

    def abort_for(self, reason: CloseReason) -> None:
        """Close the connection at once, and record why."""
        raise NotImplementedError

    # The methods of asyncio.BufferedProtocol

    def get_buffer(self, size_hint: int) -> memoryview:
        """The buffer that the event loop reads into; it bounds the input that is read at once."""
        memory = self._memory
        if memory.used <= memory.reservable:
            return self._read_buffer
        return memory.buffer_for(self._reservation is not None or self._receiving_streamed_body())

    def buffer_updated(self, count: int) -> None:
        """Handle `count` bytes of input in the read buffer."""
        self.data_received(self._read_buffer[:count])

    def data_received(self, data: bytes | memoryview) -> None:
        """Parse input, or store a copy of it unparsed while requests are queued.

        Reading continues while requests are queued because a client may pipeline many requests and then
        disconnect. The end of its input becomes visible only after everything before it has been read; until
        then its requests would be forwarded one by one although nobody waits for the responses.
        """
        if self._closing:
            self._discard(data)
        elif self._unparsed.size or (self._queue and not self._receiving_streamed_body()):
            self._unparsed.append(bytes(data), time.monotonic())
            self.update_reading()
        elif self._pieces > MAX_PIECES_PER_READ:  # the previous read was expensive, so this one may be, too
            self._pieces = 0
            self._unparsed.append(bytes(data), time.monotonic())
            self._defer()
        else:
            self._pieces, self._piece_budget = 0, MAX_PIECES_PER_READ
            self._parse(data)
            self.take_requests()
            if self._message is not None:
                self._reserve_incomplete(self._message)
                self._listener.resume_accepting()  # this connection may be evicted for a waiting client

    def _receiving_streamed_body(self) -> bool:
        """Whether a streamed body is being received, which is parsed even if requests are queued."""
        return self._message is not None and self._message.streamed_body is not None

    def _discard(self, data: bytes | memoryview) -> None:
        self._received_bytes += len(data)
        if self._received_bytes > MAX_LINGER_BYTES:
            if self._answer_due or self._queue:
                self.update_reading()
            else:
                self.abort_for(CloseReason.EXCESS_INPUT)

    # Parsing

    def _parse(self, data: bytes | memoryview, read_at: float = 0.0) -> None:
        """Parse input within the budget of pieces, and defer the rest to later turns of the event loop.

        Args:
            data: The input.
            read_at: When it was read, by `time.monotonic`; 0 if it was read just now. A request's time runs
                while its input waits to be parsed.
        """
        self._input_read_at = read_at
        if len(data) <= PARSE_SLICE_BYTES:
            self._parse_slice(data)
            return
        view = memoryview(data)
        while view:
            if self._closing:
                self._discard(view)
                return
            if self._pieces > self._piece_budget:
                self._unparsed.appendleft(view.tobytes(), read_at or time.monotonic())
                self._defer()
                return
            self._parse_slice(view[:PARSE_SLICE_BYTES])
            view = view[PARSE_SLICE_BYTES:]

    def _defer(self) -> None:
        """Pause reading, and parse the unparsed input in later turns of the event loop."""
        if not self._is_deferred:
            self._is_deferred = True
            running_loop_scheduler().add(self)
            self.update_reading()

    def parse_deferred(self) -> int:
        """Parse a part of the deferred input, and resume reading once all is parsed.

        While the unparsed input of all connections is over its limit, one whose input is expensive to parse
        reads no more.
        """
        parsed_before = self._pieces
        self._piece_budget = parsed_before + MAX_PIECES_PER_READ
        self.take_requests()
        if not self._closing and self._unparsed.size and self._pieces > self._piece_budget:
            running_loop_scheduler().add(self)
        elif not self._closing and self._unparsed.total_over_limit():
            self._loop.call_later(MEMORY_CHECK_INTERVAL_S, self.parse_deferred)
        else:
            self._is_deferred = False
            if self._message is not None and not self._closing:
                self._reserve_incomplete(self._message)
            self.update_reading()
        return self._pieces - parsed_before

    def _parse_slice(self, data: bytes | memoryview) -> None:
        self._received_bytes += len(data)
        is_between_messages = self._message is None
        pieces_before = self._pieces
        try:
            self._parser.feed_data(data)
            if is_between_messages and self._message is not None and not self._answer_due and self.answered:
                self._listener.mark_receiving(self)
            self.on_input_parsed()
            message = self._message
            if message is not None:
                self.count_unfinished(message, len(data), self._pieces > pieces_before)
                if self._exceeds_limits(message):
                    self.reject(400)
            elif self._received_bytes > self.max_request_bytes:
                self.reject(400)
        except httptools.HttpParserUpgrade:
            self._end_at_upgrade()
        except httptools.HttpParserError:
            self.reject(self._parse_error_status)

    def _exceeds_limits(self, message: RequestMessage) -> bool:
        """Whether an incomplete request is longer than allowed; bounds the memory of one that never ends."""
        if message.method == b"":
            return self._received_bytes > MAX_HEAD_BYTES
        is_chunked = b"transfer-encoding" in message.headers
        return (is_chunked and message.silent_bytes > MAX_TRAILER_FIELD_BYTES) or (
            self._received_bytes > self.max_request_bytes
        )

    def _end_at_upgrade(self) -> None:
        """Let the request that asks for an upgrade, which is not supported, be the last of its connection.

        The parser ends such a request with its head. With a body it is rejected: it would be forwarded short.
        """
        self._closing = True
        last = self._queue[-1]
        if isinstance(last, RequestMessage):
            last.keep_alive = False
            if last.headers.get(b"content-length", b"0") != b"0" or b"transfer-encoding" in last.headers:
                self._queue[-1] = RejectedRequest(400)

    def reject(self, status: int) -> None:
        """Queue an error response behind the requests before it, and parse no further requests."""
        if not self._closing:
            self._closing = True
            self.note_close(CloseReason.REQUEST_TIMEOUT if status == 408 else CloseReason.REJECTED)
            self.release_parser()
            self._received_bytes = 0
            self._release_incomplete()
            self._queue.append(RejectedRequest(status))
