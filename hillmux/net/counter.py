"""The counter: calls written one behind another over a few kept connections."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any, Final

from hillmux import interface as api
from hillmux.interface import AttemptResult
from hillmux.net.http1 import Reply, ReplyProtocol, number
from hillmux.net.lingering_close import unread

CONNECTIONS: Final = 4  # a slow part of the counter holds up what is written behind it on the same connection
DIAL_TIMEOUT_S: Final = 0.25
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.05, 1.0
SILENCE_TIMEOUT_S: Final = 1.0  # an answer this late is not coming: the counter's machine is gone
STATUSES_NOTHING_ADDED: Final = frozenset((400, 404, 503))
IDLE_CHECK_AFTER_S: Final = (
    0.1  # after that the counter may have closed a connection without our having read so
)
READ_GRACE_S: Final = (
    0.001  # one turn of the loop, in which what has arrived is read before a time-out counts
)


def request_bytes(act: api.IncrementCounter) -> bytes:
    """One call as it is written to the counter."""
    return (
        f"POST /v1/count/{act.name}?add={_decimal(act.amount)}&ttl_ms={max(1, round(act.retention_ms))}"
        " HTTP/1.1\r\nHost: counter\r\nContent-Length: 0\r\n\r\n".encode()
    )


class PendingCall:
    __slots__ = ("request", "sent_at", "timer", "channel", "written", "done")

    def __init__(self, request: api.IncrementCounter, now: float) -> None:
        self.request, self.sent_at = request, now
        self.timer: asyncio.TimerHandle | None = None
        self.channel: CounterChannel | None = None  # once it has a connection to wait for
        self.written = self.done = False


class HttpCounterClient:
    """Calls to the counter, each of which gets exactly one `CountReply`.

    `wait_ms` is how long an answer is waited for; `replied` is called with the end of each call.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        wait_ms: float,
        replied: Callable[[api.CounterReply], None],
    ) -> None:
        self._loop, self._timeout_s, self._on_reply = loop, wait_ms / 1000, replied
        self._channels = self._new_channels(address)

    def _new_channels(self, address: tuple[str, int]) -> list[CounterChannel]:
        return [CounterChannel(self, self._loop, address) for _ in range(CONNECTIONS)]

    def start(self) -> None:
        """Open the connections before the first call needs one."""
        for slot in self._channels:
            slot.dial()

    def stop(self) -> None:
        """Close all connections."""
        for slot in self._channels:
            slot.stop()

    def change_address(self, address: tuple[str, int]) -> None:
        """Call at another address from now on; what is out on the old connections finishes there."""
        old, self._channels = self._channels, self._new_channels(address)
        self.start()
        for slot in old:
            for call in slot.retire():
                self._assign(call)

    def call(self, act: api.IncrementCounter) -> None:
        """Write one call on the connection with the fewest calls out.

        With no connection to write on, the call ends at once as `connect_failed`.
        """
        call = PendingCall(act, self._loop.time())
        call.timer = self._loop.call_later(self._timeout_s, self._timeout_due, call)
        self._assign(call)

    def _assign(self, call: PendingCall) -> None:
        up = [slot for slot in self._channels if slot.usable()]
        if up:
            min(up, key=CounterChannel.pending_calls).write(call)
        else:
            self.end(call, AttemptResult.CONNECT_FAILED)

    def end(self, call: PendingCall, result: AttemptResult, total: float = 0.0) -> None:
        """Report what a call came to, once."""
        if call.done:
            return
        call.done = True
        if call.timer is not None:
            call.timer.cancel()
        took = (self._loop.time() - call.sent_at) * 1000
        self._on_reply(api.CounterReply(call.request.name, result, total, took))

    def _timeout_due(self, call: PendingCall) -> None:
        # Guards against our own stall: the answer may be here and unread.
        call.timer = self._loop.call_later(READ_GRACE_S, self._time_out, call)

    def _time_out(self, call: PendingCall) -> None:
        if call.written and call.channel is not None and self._only_channel_silent(call, call.channel):
            call.channel.abort_calls()
            return
        # The call stays in its connection's line, so that its late answer is not taken for the next one's.
        self.end(call, AttemptResult.TIMED_OUT if call.written else AttemptResult.CONNECT_FAILED)

    def _only_channel_silent(self, call: PendingCall, its: CounterChannel) -> bool:
        """Whether the call's connection has gone silent and the counter has not.

        Guards the quotas against a path that drops one connection, or a stuck worker behind a proxy: the
        calls in that line would make the module think that nobody answers. A slow part of the counter shows
        on more than one connection, a slow or silent counter on all. Hurts: a lone late call costs a dial.
        """
        others = [slot for slot in self._channels if slot is not its]
        late = self._loop.time() - self._timeout_s / 2
        return (
            its.silent_since(call.sent_at)
            and any(not slot.silent_since(call.sent_at) for slot in others)
            and not any(slot.has_call_since(late) for slot in others)
        )


class CounterChannel:
    """One kept connection: calls out on it in order, and its redialling."""

    def __init__(
        self, counter: HttpCounterClient, loop: asyncio.AbstractEventLoop, address: tuple[str, int]
    ) -> None:
        self._counter, self._loop, self._address = counter, loop, address
        self._connection: CounterConnection | None = None
        self._dial: asyncio.Task[Any] | None = None
        self._dial_timer: asyncio.TimerHandle | None = None
        self._check_timer: asyncio.TimerHandle | None = None
        self._redial_timer: asyncio.TimerHandle | None = None
        self._calls: deque[PendingCall] = deque()
        self._failures = 0
        self._last_reply_at = 0.0
        self._backoff_until = 0.0
        self._retired = False  # closes with its last call

    def usable(self) -> bool:
        """Whether a call may be written, or wait for a dial that is under way.

        Guards the calls against a connection that is ending: this loop turn or the next tells of its loss,
        and what is written to it until then fails.
        """
        if self._connection is not None:
            self._drop_if_closed_by_peer(self._connection)
        if self._connection is not None:
            return not self._connection.transport.is_closing()
        return self._dial is not None or self._loop.time() >= self._backoff_until

    def _drop_if_closed_by_peer(self, connection: CounterConnection) -> None:
        """Leave a connection that stood idle and that the counter has closed; the next call dials.

        Guards the quotas: a call that crosses the counter's close is cut, and may have been added or not.
        """
        if (
            not self._calls
            and self._loop.time() - self._last_reply_at > IDLE_CHECK_AFTER_S
            and unread(connection.transport)
        ):
            self._connection = None
            connection.drop()

    def pending_calls(self) -> int:
        """Calls out, those on a connection that is not up yet counting for more."""
        return len(self._calls) + (0 if self._connection is not None else CONNECTIONS)

    def stop(self) -> None:
        """Close the connection, or its dial, and open no other one; calls that are out end with it."""
        self._retired = True
        if self._redial_timer is not None:
            self._redial_timer.cancel()
        if self._dial is not None:
            self._dial.cancel()
        self._drop()

    def retire(self) -> list[PendingCall]:
        """Close once the calls that are out are answered; returns those that were never written."""
        self._retired = True
        if self._connection is not None:
            if not self._calls:
                self.stop()
            return []
        waiting = [call for call in self._calls if not call.done]
        self._calls.clear()
        self.stop()
        return waiting

    def silent_since(self, then: float) -> bool:
        """Whether no answer has come on this connection since."""
        return self._last_reply_at < then

    def has_call_since(self, then: float) -> bool:
        """Whether a call made before that is still out on it."""
        return bool(self._calls) and self._calls[0].sent_at < then

    def abort_calls(self) -> None:
        """Close a connection that has gone silent."""
        self._drop()
        self._end_all(AttemptResult.CONNECTION_LOST)

    def write(self, call: PendingCall) -> None:
        """Write a call behind those that are out; without a connection it waits for a dial."""
        self._calls.append(call)
        call.channel = self
        if self._connection is not None:
            self._send(call, self._connection)
        elif self._dial is None:
            self.dial()

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
            connection.called_off()
        if task is self._dial and failed:
            self._dial = None
            self._stop_dial_timer()
            self._connection_failed()

    def opened(self, connection: CounterConnection) -> None:
        """The dial has come up.

        Guards against a connection that is reset as soon as it is up: it is lost before the dial's task tells
        of it, and taken from there it would stand as the slot's own for good, with every call on it failing.
        """
        self._dial = None
        self._stop_dial_timer()
        self._connection = connection
        if self._retired:
            connection.drop()
            return
        # A call that has run out while it waited was reported as not added: it must not be written now.
        self._calls = deque(call for call in self._calls if not call.done)
        for call in self._calls:
            self._send(call, connection)

    def _stop_dial_timer(self) -> None:
        if self._dial_timer is not None:
            self._dial_timer.cancel()

    def _send(self, call: PendingCall, connection: CounterConnection) -> None:
        connection.write(request_bytes(call.request))
        call.written = not connection.unsent
        if self._check_timer is None:
            self._check_timer = self._loop.call_later(SILENCE_TIMEOUT_S, self._check_silence)

    def flushed(self) -> None:
        """All that was written has left this process."""
        for call in self._calls:
            call.written = True

    def _check_silence(self) -> None:
        # Guards against a counter that is cut off: its open connections stay open and silent for good.
        self._check_timer = None
        if not self._calls or self._connection is None:
            return
        left_s = self._calls[0].sent_at + SILENCE_TIMEOUT_S - self._loop.time()
        if left_s > 0:
            self._check_timer = self._loop.call_later(left_s, self._check_silence)
        else:
            self._connection.drop()

    def replied(self, reply: Reply, reusable: bool) -> None:
        """The answer to the oldest call on this connection."""
        self._failures, self._last_reply_at = 0, self._loop.time()
        total = number(reply.body.strip()) if reply.status == 200 else None
        if total is None and reply.status not in STATUSES_NOTHING_ADDED:
            # Guards the totals: what answers without a number has added, but can be trusted with no more.
            self.malformed_response()
            return
        call = self._calls.popleft()
        if not reusable or (self._retired and not self._calls):
            self._drop()  # before the module hears of it: its next call goes to another one
        if total is None:
            self._counter.end(call, AttemptResult.QUEUE_FULL)
        else:
            self._counter.end(call, AttemptResult.OK, total)

    def malformed_response(self) -> None:
        """Noise where answers should be: no call behind it will be told its total either."""
        self._drop()
        self._end_all(AttemptResult.MALFORMED_RESPONSE)

    def _drop(self) -> None:
        if self._connection is not None:
            self._connection.drop()

    def lost(self, connection: CounterConnection) -> None:
        """A connection is gone."""
        if connection is self._connection:
            self._connection = None
            self._connection_failed()

    def _connection_failed(self) -> None:
        """Report what was out, and dial again, after a rest if this goes on."""
        self._failures += 1
        rest = 0.0
        if self._failures > 1:
            rest = min(MIN_BACKOFF_S * 2 ** min(self._failures - 2, 10), MAX_BACKOFF_S)
            self._backoff_until = self._loop.time() + rest
        if not self._retired:
            self._redial_timer = self._loop.call_later(rest, self._redial)
        self._end_all(AttemptResult.CONNECTION_LOST)

    def _redial(self) -> None:
        # Guards against calls that pile up on the few connections left, all to be lost with the next one.
        if self._connection is None and self._dial is None and not self._retired:
            self.dial()

    def _end_all(self, written: AttemptResult) -> None:
        calls, self._calls = self._calls, deque()
        for call in calls:
            self._counter.end(call, written if call.written else AttemptResult.CONNECT_FAILED)


def _decimal(amount: float) -> str:
    """An amount as a plain decimal number, never in exponent form."""
    return f"{amount:.6f}".rstrip("0").rstrip(".")


class CounterConnection(ReplyProtocol):
    """A connection to the counter; what happens on it is told to its slot."""

    def __init__(self, slot: CounterChannel) -> None:
        super().__init__()
        self._channel = slot

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is up."""
        super().connection_made(transport)
        self._channel.opened(self)

    def resume_writing(self) -> None:
        """All that was written has left this process."""
        super().resume_writing()
        self._channel.flushed()

    def replied(self, reply: Reply, reusable: bool) -> None:
        """An answer came whole; `reusable`: the connection may be written on again."""
        self._channel.replied(reply, reusable)

    def spoilt(self) -> None:
        """What came cannot be read as an answer."""
        self._channel.malformed_response()

    def lost(self) -> None:
        """The connection is gone."""
        self._channel.lost(self)
