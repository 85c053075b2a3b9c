"""The counter: calls written one behind another over a few kept connections."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any, Final

from hillmux import interface as api
from hillmux.interface import AttemptResult
from hillmux.net.http1 import Response, ResponseProtocol, parse_decimal
from hillmux.net.lingering_close import has_unread_input

CONNECTIONS: Final = 4  # a slow part of the counter holds up what is written behind it on the same connection
DIAL_S: Final = 0.25
BACKOFF_S, BACKOFF_MAX_S = 0.05, 1.0
SILENT_S: Final = 1.0  # an answer this late is not coming: the counter's machine is gone
NOTHING_ADDED: Final = frozenset((400, 404, 503))
IDLE_S: Final = 0.1  # after that the counter may have closed a connection without our having read so
GRACE_S: Final = 0.001  # one turn of the loop, in which what has arrived is read before a time-out counts


def request_bytes(act: api.IncrementCounter) -> bytes:
    """One call as it is written to the counter."""
    return (
        f"POST /v1/count/{act.name}?add={_decimal(act.amount)}&ttl_ms={max(1, round(act.retention_ms))}"
        " HTTP/1.1\r\nHost: counter\r\nContent-Length: 0\r\n\r\n".encode()
    )


class _Call:
    __slots__ = ("act", "sent_at", "timer", "slot", "written", "done")

    def __init__(self, act: api.IncrementCounter, now: float) -> None:
        self.act, self.sent_at = act, now
        self.timer: asyncio.TimerHandle | None = None
        self.slot: _Slot | None = None  # once it has a connection to wait for
        self.written = self.done = False


class Counter:
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
        self._loop, self._wait_s, self._replied = loop, wait_ms / 1000, replied
        self._slots = self._open(address)

    def _open(self, address: tuple[str, int]) -> list[_Slot]:
        return [_Slot(self, self._loop, address) for _ in range(CONNECTIONS)]

    def start(self) -> None:
        """Open the connections before the first call needs one."""
        for slot in self._slots:
            slot.dial()

    def stop(self) -> None:
        """Close all connections."""
        for slot in self._slots:
            slot.stop()

    def move(self, address: tuple[str, int]) -> None:
        """Call at another address from now on; what is out on the old connections finishes there."""
        old, self._slots = self._slots, self._open(address)
        self.start()
        for slot in old:
            for call in slot.retire():
                self._place(call)

    def call(self, act: api.IncrementCounter) -> None:
        """Write one call on the connection with the fewest calls out.

        With no connection to write on, the call ends at once as `connect_failed`.
        """
        call = _Call(act, self._loop.time())
        call.timer = self._loop.call_later(self._wait_s, self._overdue, call)
        self._place(call)

    def _place(self, call: _Call) -> None:
        up = [slot for slot in self._slots if slot.usable()]
        if up:
            min(up, key=_Slot.load).write(call)
        else:
            self.end(call, AttemptResult.CONNECT_FAILED)

    def end(self, call: _Call, result: AttemptResult, total: float = 0.0) -> None:
        """Report what a call came to, once."""
        if call.done:
            return
        call.done = True
        if call.timer is not None:
            call.timer.cancel()
        took = (self._loop.time() - call.sent_at) * 1000
        self._replied(api.CounterReply(call.act.name, result, total, took))

    def _overdue(self, call: _Call) -> None:
        # Guards against our own stall: the answer may be here and unread.
        call.timer = self._loop.call_later(GRACE_S, self._time_out, call)

    def _time_out(self, call: _Call) -> None:
        if call.written and call.slot is not None and self._alone_silent(call, call.slot):
            call.slot.give_up()
            return
        # The call stays in its connection's line, so that its late answer is not taken for the next one's.
        self.end(call, AttemptResult.TIMED_OUT if call.written else AttemptResult.CONNECT_FAILED)

    def _alone_silent(self, call: _Call, its: _Slot) -> bool:
        """Whether the call's connection has gone silent and the counter has not.

        Guards the quotas against a path that drops one connection, or a stuck worker behind a proxy: the
        calls in that line would make the module think that nobody answers. A slow part of the counter shows
        on more than one connection, a slow or silent counter on all. Hurts: a lone late call costs a dial.
        """
        others = [slot for slot in self._slots if slot is not its]
        late = self._loop.time() - self._wait_s / 2
        return (
            its.silent_since(call.sent_at)
            and any(not slot.silent_since(call.sent_at) for slot in others)
            and not any(slot.waits_since(late) for slot in others)
        )


class _Slot:
    """One kept connection: calls out on it in order, and its redialling."""

    def __init__(self, counter: Counter, loop: asyncio.AbstractEventLoop, address: tuple[str, int]) -> None:
        self._counter, self._loop, self._address = counter, loop, address
        self._connection: _Connection | None = None
        self._dial: asyncio.Task[Any] | None = None
        self._dial_timer: asyncio.TimerHandle | None = None
        self._check_timer: asyncio.TimerHandle | None = None
        self._redial_timer: asyncio.TimerHandle | None = None
        self._calls: deque[_Call] = deque()
        self._failures = 0
        self._heard_at = 0.0
        self._rests_until = 0.0
        self._retired = False  # closes with its last call

    def usable(self) -> bool:
        """Whether a call may be written, or wait for a dial that is under way.

        Guards the calls against a connection that is ending: this loop turn or the next tells of its loss,
        and what is written to it until then fails.
        """
        if self._connection is not None:
            self._leave_if_ended(self._connection)
        if self._connection is not None:
            return not self._connection.transport.is_closing()
        return self._dial is not None or self._loop.time() >= self._rests_until

    def _leave_if_ended(self, connection: _Connection) -> None:
        """Leave a connection that stood idle and that the counter has closed; the next call dials.

        Guards the quotas: a call that crosses the counter's close is cut, and may have been added or not.
        """
        if (
            not self._calls
            and self._loop.time() - self._heard_at > IDLE_S
            and has_unread_input(connection.transport)
        ):
            self._connection = None
            connection.abort()

    def load(self) -> int:
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

    def retire(self) -> list[_Call]:
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
        return self._heard_at < then

    def waits_since(self, then: float) -> bool:
        """Whether a call made before that is still out on it."""
        return bool(self._calls) and self._calls[0].sent_at < then

    def give_up(self) -> None:
        """Close a connection that has gone silent."""
        self._drop()
        self._end_all(AttemptResult.CONNECTION_LOST)

    def write(self, call: _Call) -> None:
        """Write a call behind those that are out; without a connection it waits for a dial."""
        self._calls.append(call)
        call.slot = self
        if self._connection is not None:
            self._send(call, self._connection)
        elif self._dial is None:
            self.dial()

    def dial(self) -> None:
        """Open the connection."""
        connection = _Connection(self)
        self._dial = self._loop.create_task(
            self._loop.create_connection(connection.as_protocol, *self._address)
        )
        self._dial.add_done_callback(partial(self._dial_ended, connection))
        self._dial_timer = self._loop.call_later(DIAL_S, self._dial.cancel)

    def _dial_ended(self, connection: _Connection, task: asyncio.Task[Any]) -> None:
        failed = task.cancelled() or task.exception() is not None
        if failed:
            connection.on_dial_failed()
        if task is self._dial and failed:
            self._dial = None
            self._stop_dial_timer()
            self._broken()

    def opened(self, connection: _Connection) -> None:
        """The dial has come up.

        Guards against a connection that is reset as soon as it is up: it is lost before the dial's task tells
        of it, and taken from there it would stand as the slot's own for good, with every call on it failing.
        """
        self._dial = None
        self._stop_dial_timer()
        self._connection = connection
        if self._retired:
            connection.abort()
            return
        # A call that has run out while it waited was reported as not added: it must not be written now.
        self._calls = deque(call for call in self._calls if not call.done)
        for call in self._calls:
            self._send(call, connection)

    def _stop_dial_timer(self) -> None:
        if self._dial_timer is not None:
            self._dial_timer.cancel()

    def _send(self, call: _Call, connection: _Connection) -> None:
        connection.write(request_bytes(call.act))
        call.written = not connection.unsent
        if self._check_timer is None:
            self._check_timer = self._loop.call_later(SILENT_S, self._check)

    def flushed(self) -> None:
        """All that was written has left this process."""
        for call in self._calls:
            call.written = True

    def _check(self) -> None:
        # Guards against a counter that is cut off: its open connections stay open and silent for good.
        self._check_timer = None
        if not self._calls or self._connection is None:
            return
        left_s = self._calls[0].sent_at + SILENT_S - self._loop.time()
        if left_s > 0:
            self._check_timer = self._loop.call_later(left_s, self._check)
        else:
            self._connection.abort()

    def replied(self, reply: Response, reusable: bool) -> None:
        """The answer to the oldest call on this connection."""
        self._failures, self._heard_at = 0, self._loop.time()
        total = parse_decimal(reply.body.strip()) if reply.status == 200 else None
        if total is None and reply.status not in NOTHING_ADDED:
            # Guards the totals: what answers without a number has added, but can be trusted with no more.
            self.spoilt()
            return
        call = self._calls.popleft()
        if not reusable or (self._retired and not self._calls):
            self._drop()  # before the module hears of it: its next call goes to another one
        if total is None:
            self._counter.end(call, AttemptResult.QUEUE_FULL)
        else:
            self._counter.end(call, AttemptResult.OK, total)

    def spoilt(self) -> None:
        """Noise where answers should be: no call behind it will be told its total either."""
        self._drop()
        self._end_all(AttemptResult.MALFORMED_RESPONSE)

    def _drop(self) -> None:
        if self._connection is not None:
            self._connection.abort()

    def lost(self, connection: _Connection) -> None:
        """A connection is gone."""
        if connection is self._connection:
            self._connection = None
            self._broken()

    def _broken(self) -> None:
        """Report what was out, and dial again, after a rest if this goes on."""
        self._failures += 1
        rest = 0.0
        if self._failures > 1:
            rest = min(BACKOFF_S * 2 ** min(self._failures - 2, 10), BACKOFF_MAX_S)
            self._rests_until = self._loop.time() + rest
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


class _Connection(ResponseProtocol):
    """A connection to the counter; what happens on it is told to its slot."""

    def __init__(self, slot: _Slot) -> None:
        super().__init__()
        self._slot = slot

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is up."""
        super().connection_made(transport)
        self._slot.opened(self)

    def resume_writing(self) -> None:
        """All that was written has left this process."""
        super().resume_writing()
        self._slot.flushed()

    def on_response(self, reply: Response, reusable: bool) -> None:
        """An answer came whole; `reusable`: the connection may be written on again."""
        self._slot.replied(reply, reusable)

    def on_malformed_response(self) -> None:
        """What came cannot be read as an answer."""
        self._slot.spoilt()

    def on_connection_lost(self) -> None:
        """The connection is gone."""
        self._slot.lost(self)
