"""A persistent connection to the counter: its calls in flight, its dials and its time-outs."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any, Final

from hillmux import interface as api
from hillmux.interface import AttemptResult
from hillmux.net.http1 import ResponseProtocol
from hillmux.net.lingering_close import has_unread_input
from hillmux.net.response import Response, parse_decimal

DIAL_TIMEOUT_S: Final = 0.25
MIN_BACKOFF_S: Final = 0.05
MAX_BACKOFF_S: Final = 1.0
MAX_BACKOFF_DOUBLINGS: Final = 10
SILENCE_TIMEOUT_S: Final = 1.0  # a call unanswered for this long means that the counter is unreachable
NOT_ADDED_STATUSES: Final = frozenset((400, 404, 503))
# A connection idle for longer is checked before use: the counter may have closed it, unread by the loop.
IDLE_CHECK_AFTER_S: Final = 0.1
DIALLING_PENALTY: Final = 4  # calls added to the load of a channel that has no connection yet


def request_bytes(action: api.IncrementCounter) -> bytes:
    """The HTTP request of one counter call."""
    retention_ms = max(1, round(action.retention_ms))
    return (
        f"POST /v1/count/{action.name}?add={_decimal(action.amount)}&ttl_ms={retention_ms}"
        " HTTP/1.1\r\nHost: counter\r\nContent-Length: 0\r\n\r\n".encode()
    )


def _decimal(amount: float) -> str:
    """An amount as a plain decimal number, never in exponent form."""
    return f"{amount:.6f}".rstrip("0").rstrip(".")


class PendingCall:
    """A call until its result is reported."""

    __slots__ = ("request", "sent_at", "timer", "channel", "written", "done")

    def __init__(self, request: api.IncrementCounter, now: float) -> None:
        self.request, self.sent_at = request, now
        self.timer: asyncio.TimerHandle | None = None
        self.channel: CounterChannel | None = None  # None until the call is assigned to one
        self.written = False  # whether its last byte was written to the socket
        self.done = False


class CounterChannel:
    """One connection to the counter, and the dials that replace it.

    `on_result` receives the result of each call, with the counter's total where that is known.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        on_result: Callable[[PendingCall, AttemptResult, float], None],
    ) -> None:
        self._loop, self._address, self._on_result = loop, address, on_result
        self._connection: CounterConnection | None = None
        self._dial: asyncio.Task[Any] | None = None
        self._dial_timer: asyncio.TimerHandle | None = None
        self._silence_timer: asyncio.TimerHandle | None = None
        self._redial_timer: asyncio.TimerHandle | None = None
        self._calls: deque[PendingCall] = deque()  # pending calls, in the order of their responses
        self._failures = 0  # consecutive failed connections and dials
        self._last_reply_at = 0.0
        self._backoff_until = 0.0
        self._retired = False  # closes after its last call in flight

    # Use by the client

    def usable(self) -> bool:
        """Whether a call may be written now, or may wait for a dial.

        A closing connection is not usable: its loss is reported in this turn of the loop or the next, and
        calls written before that would be lost with it.
        """
        if self._connection is not None:
            self._drop_if_closed_by_peer(self._connection)
        if self._connection is not None:
            return not self._connection.transport.is_closing()
        return self._dial is not None or self._loop.time() >= self._backoff_until

    def pending_calls(self) -> int:
        """The number of pending calls, plus DIALLING_PENALTY if there is no connection."""
        return len(self._calls) + (0 if self._connection is not None else DIALLING_PENALTY)

    def silent_since(self, time_s: float) -> bool:
        """Whether no response has arrived since `time_s`, by the loop's clock."""
        return self._last_reply_at < time_s

    def has_call_before(self, time_s: float) -> bool:
        """Whether a call made before `time_s`, by the loop's clock, is still pending."""
        return bool(self._calls) and self._calls[0].sent_at < time_s

    def write(self, call: PendingCall) -> None:
        """Write a call after the pending ones; without a connection it waits for a dial."""
        self._calls.append(call)
        call.channel = self
        if self._connection is not None:
            self._send(call, self._connection)
        elif self._dial is None:
            self.dial()

    def abort_calls(self) -> None:
        """Abort an unresponsive connection; its calls end as `connection_lost`."""
        self._abort_connection()
        self._end_calls(AttemptResult.CONNECTION_LOST)

    def stop(self) -> None:
        """Close the connection or cancel its dial, without dialling again; pending calls end with it."""
        self._retired = True
        if self._redial_timer is not None:
            self._redial_timer.cancel()
        if self._dial is not None:
            self._dial.cancel()
        self._abort_connection()

    def retire(self) -> list[PendingCall]:
        """Close once the calls in flight are answered; returns calls that were never written."""
        self._retired = True
        if self._connection is not None:
            if not self._calls:
                self.stop()
            return []
        waiting = [call for call in self._calls if not call.done]
        self._calls.clear()
        self.stop()
        return waiting

    # Dials

    def dial(self) -> None:
        """Open the connection."""
        connection = CounterConnection(self)
        self._dial = self._loop.create_task(
            self._loop.create_connection(connection.as_protocol, *self._address)
        )
        self._dial.add_done_callback(partial(self._dial_ended, connection))
        self._dial_timer = self._loop.call_later(DIAL_TIMEOUT_S, self._dial.cancel)

    def _dial_ended(self, connection: CounterConnection, task: asyncio.Task[Any]) -> None:
        failed = task.cancelled() or task.exception() is not None
        if failed:
            connection.on_dial_failed()
        if task is self._dial and failed:
            self._dial = None
            self._stop_dial_timer()
            self._connection_failed()

    def on_connection_made(self, connection: CounterConnection) -> None:
        """Use a connection that was just established, and write the calls that wait for it.

        Called by the connection, not when the dial's task ends: a connection that is reset right after it was
        established is lost before the task ends, and would otherwise stay the channel's connection, on which
        every call fails.
        """
        self._dial = None
        self._stop_dial_timer()
        self._connection = connection
        if self._retired:
            connection.abort()
            return
        # A call that timed out while it waited was reported as not added, so it must not be written now.
        self._calls = deque(call for call in self._calls if not call.done)
        for call in self._calls:
            self._send(call, connection)

    def _stop_dial_timer(self) -> None:
        if self._dial_timer is not None:
            self._dial_timer.cancel()

    def _redial(self) -> None:
        # Dials before a call needs the connection: otherwise calls would accumulate on the few remaining
        # connections, and a further loss would end all of them.
        if self._connection is None and self._dial is None and not self._retired:
            self.dial()

    # Calls

    def _send(self, call: PendingCall, connection: CounterConnection) -> None:
        connection.write(request_bytes(call.request))
        call.written = not connection.unsent
        if self._silence_timer is None:
            self._silence_timer = self._loop.call_later(SILENCE_TIMEOUT_S, self._check_silence)

    def on_flushed(self) -> None:
        """Mark all calls as written: the connection's write buffer is empty."""
        for call in self._calls:
            call.written = True

    def on_response(self, response: Response, reusable: bool) -> None:
        """Report the result of the oldest pending call."""
        self._failures, self._last_reply_at = 0, self._loop.time()
        total = parse_decimal(response.body.strip()) if response.status == 200 else None
        if total is None and response.status not in NOT_ADDED_STATUSES:
            # A response without a number: the call was added, but what follows cannot be trusted.
            self.on_malformed_response()
            return
        call = self._calls.popleft()
        if not reusable or (self._retired and not self._calls):
            self._abort_connection()  # before the result is reported: the next call goes to another channel
        if total is None:
            self._on_result(call, AttemptResult.QUEUE_FULL, 0.0)
        else:
            self._on_result(call, AttemptResult.OK, total)

    def on_malformed_response(self) -> None:
        """Abort the connection after input that is no valid response; all its calls end without a total."""
        self._abort_connection()
        self._end_calls(AttemptResult.MALFORMED_RESPONSE)

    def _end_calls(self, result_if_written: AttemptResult) -> None:
        calls, self._calls = self._calls, deque()
        for call in calls:
            result = result_if_written if call.written else AttemptResult.CONNECT_FAILED
            self._on_result(call, result, 0.0)

    # Loss of the connection

    def _drop_if_closed_by_peer(self, connection: CounterConnection) -> None:
        """Drop an idle connection that the counter has closed; the next call dials.

        A call written while the counter closes the connection fails, and may have been added or not.
        """
        idle = not self._calls and self._loop.time() - self._last_reply_at > IDLE_CHECK_AFTER_S
        if idle and has_unread_input(connection.transport):
            self._connection = None
            connection.abort()

    def _check_silence(self) -> None:
        # Connections to a counter that is cut off from the network stay open without ever answering.
        self._silence_timer = None
        if not self._calls or self._connection is None:
            return
        left_s = self._calls[0].sent_at + SILENCE_TIMEOUT_S - self._loop.time()
        if left_s > 0:
            self._silence_timer = self._loop.call_later(left_s, self._check_silence)
        else:
            self._connection.abort()

    def _abort_connection(self) -> None:
        if self._connection is not None:
            self._connection.abort()

    def on_connection_lost(self, connection: CounterConnection) -> None:
        """Forget a lost connection, and dial again unless it was replaced already."""
        if connection is self._connection:
            self._connection = None
            self._connection_failed()

    def _connection_failed(self) -> None:
        """End all pending calls and dial again, with backoff from the second consecutive failure on."""
        self._failures += 1
        backoff_s = 0.0
        if self._failures > 1:
            doublings = min(self._failures - 2, MAX_BACKOFF_DOUBLINGS)
            backoff_s = min(MIN_BACKOFF_S * 2**doublings, MAX_BACKOFF_S)
            self._backoff_until = self._loop.time() + backoff_s
        if not self._retired:
            self._redial_timer = self._loop.call_later(backoff_s, self._redial)
        self._end_calls(AttemptResult.CONNECTION_LOST)


class CounterConnection(ResponseProtocol):
    """A connection to the counter that reports its events to its channel."""

    def __init__(self, channel: CounterChannel) -> None:
        super().__init__()
        self._channel = channel

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Report that the connection is established."""
        super().connection_made(transport)
        self._channel.on_connection_made(self)

    def resume_writing(self) -> None:
        """Report that the write buffer is empty."""
        super().resume_writing()
        self._channel.on_flushed()

    def on_response(self, response: Response, reusable: bool) -> None:
        """Report a complete response; `reusable` is whether the connection may carry further calls."""
        self._channel.on_response(response, reusable)

    def on_malformed_response(self) -> None:
        """Report input that is no valid response."""
        self._channel.on_malformed_response()

    def on_connection_lost(self) -> None:
        """Report the loss of the connection."""
        self._channel.on_connection_lost(self)
