"""Upstream hosts: connections and the pool of each, socket results as outcomes.

Every attempt passes one gate right before its first byte (`Hosts._gate`): between the module's decision and
a connection that is up, its client may have left, its time or the hosts' memory of its key may have run out,
and its host may have been told to take no new work. What the gate holds back ends as never sent.
"""

from __future__ import annotations

import asyncio
import errno
import os
import select
import socket
import time
from collections.abc import Callable
from functools import partial
from math import inf
from typing import Any, ClassVar, Final, Protocol

from hillmux.interface import AttemptResult
from hillmux.net.deadlines import TimingWheel
from hillmux.net.http1 import Response, ResponseProtocol

# A turn of the loop or two, in which what has arrived is read before a time-out counts
GRACE_S: Final = 0.002
IDLE_SHARE: Final = 0.5  # idle connections are retired after this part of the host's idle limit
SWEEP_S: Final = 1.0
DIALS: Final = 64  # dials under way at once
OWN_BOUNDS: Final = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL))
# An answered connection is used again after this: what follows an answer late is seen by then
REST_S: Final = 0.01


class Attempt:
    """One Send until its one outcome."""

    __slots__ = (
        "request",
        "number",
        "server",
        "head",
        "body",
        "sent_at",
        "valid_until",
        "connection",
        "dial",
        "slot",
        "timer",
        "dial_timer",
        "done",
        "streamed_body",
        "timeout_s",
        "coming",
    )

    def __init__(
        self,
        request: str,
        number: int,
        server: str,
        head: bytes,
        body: bytes,
        sent_at: float,
        valid_until: float,
    ) -> None:
        self.request, self.number, self.server = request, number, server
        self.head, self.body, self.sent_at = head, body, sent_at
        self.valid_until = valid_until  # its last byte must have left by then, by time.monotonic
        self.connection: _Connection | None = None
        self.dial: asyncio.Task[Any] | None = None
        self.coming: _Connection | None = None  # what the dial has made
        self.slot = 0  # of its time-out
        self.timer: asyncio.TimerHandle | None = None  # once that has come
        self.dial_timer: asyncio.TimerHandle | None = None
        self.done = False
        # Of what is passed on as it comes:
        self.streamed_body: StreamedRequestBody | None = None  # the rest of its body
        self.timeout_s = 0.0  # from the decision on, or from the body's last byte

    def payload(self, now: float) -> bytes:
        """Its bytes as they are written now: X-Deadline tells how long we still wait."""
        wait_ms = max((self.sent_at + self.timeout_s - now) * 1000, 1)
        return b"%bX-Deadline: %dm\r\n\r\n%b" % (self.head, wait_ms, self.body)


class StreamedRequestBody(Protocol):
    """A body that is still coming."""

    complete: bool  # its last byte has come
    client: Any  # the client's connection, which can be told to `hold` it

    def attach(self, connection: Any) -> None:
        """Write what has come, and what comes, to a connection."""

    def detach(self, connection: Any) -> None:
        """Write no more to it."""


class _Host:
    __slots__ = ("name", "address", "idle", "drains")

    def __init__(self, name: str, address: tuple[str, int]) -> None:
        self.name, self.address = name, address
        self.idle: list[_Connection] = []  # the freshest last
        self.drains = False  # told to: what is out goes on, nothing new begins


class Hosts:
    """Sends attempts and reports how each one ended, exactly once."""

    connection: ClassVar[type[Any]]  # what is made of each dial

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        most: int,
        dial_ms: float,
        idle_ms: float,
        ended: Callable[[Attempt, AttemptResult, Response | None], None],
        wanted: Callable[[Attempt], bool] = lambda attempt: True,
    ) -> None:
        """`wanted` is asked right before an attempt's first byte: whether somebody still waits for it."""
        self.loop = self._loop = loop
        self._most, self._ended, self._wanted = most, ended, wanted
        self._dial_s, self._idle_s = dial_ms / 1000, IDLE_SHARE * idle_ms / 1000
        self._hosts: dict[str, _Host] = {}
        self._out: frozenset[str] = frozenset()  # by hand: no new work
        self._connections: set[_Connection] = set()
        self._idle: dict[_Connection, None] = {}  # of all hosts, the longest idle first
        self._dials = 0
        self._timeouts = TimingWheel(loop, self._overdue)
        self._stopped = False
        self._flows: dict[Attempt, Any] = {}  # whose answers are being passed on as they come

    def start(self) -> None:
        """Begin to retire idle connections."""
        self._loop.call_later(SWEEP_S, self._sweep)

    def stop(self) -> None:
        """Close all connections."""
        self._stopped = True
        for connection in list(self._connections):
            connection.abort()

    def update(
        self, addresses: dict[str, tuple[str, int]], gone: set[str], draining: frozenset[str] = frozenset()
    ) -> None:
        """Where to dial each host, which of these take nothing new, and which to dial no more. What is out
        goes on."""
        for name in gone:
            host = self._hosts.pop(name, None)
            if host is not None:
                self._close_idle(host)
        for name, address in addresses.items():
            host = self._hosts.get(name)
            if host is None or host.address != address:
                if host is not None:
                    self._close_idle(host)
                host = self._hosts[name] = _Host(name, address)
            host.drains = name in draining

    def hold_out(self, names: frozenset[str]) -> None:
        """The hosts that are out by hand from now on. What is kept to one is closed: it may be restarted."""
        before, self._out = self._out, names
        for name in names - before:
            host = self._hosts.get(name)
            if host is not None:
                self._close_idle(host)

    def names(self) -> set[str]:
        """The hosts that can be dialled."""
        return set(self._hosts)

    def send(self, attempt: Attempt, timeout_s: float) -> None:
        """Write an attempt to an idle connection, or to a new one."""
        host = self._hosts.get(attempt.server)
        if host is None:
            self._end(attempt, AttemptResult.CONNECT_FAILED)
            return
        if not self._gate(attempt, host):
            self._end(attempt, AttemptResult.NOT_SENT)
            return
        attempt.slot = self._timeouts.add(attempt, timeout_s)
        connection = self._rested(host)
        if connection is not None:
            connection.begin(attempt)
        else:
            self._dial(host, attempt)

    def _gate(self, attempt: Attempt, host: _Host) -> bool:
        """Whether an attempt may begin on a host now, and not only when the module decided so.

        Danger: a dial may come up a second later. Its client has gone, its host drains or is gone, or hosts
        recall the key of what it repeats no longer: it would run for nobody, past a drain's grace, or twice.
        """
        return (
            not host.drains
            and host.name not in self._out
            and self._hosts.get(host.name) is host
            and time.monotonic() < attempt.valid_until
            and self._wanted(attempt)
        )

    def _rested(self, host: _Host) -> _Connection | None:
        """The freshest idle connection on which nothing has followed its last answer."""
        now = self._loop.time()
        before, oldest = now - REST_S, now - self._idle_s
        for i in range(len(host.idle) - 1, -1, -1):
            connection = host.idle[i]
            if connection.idle_since < oldest:
                break  # the sweep has not come by yet; the host may be closing it and those before it
            if connection.idle_since <= before and connection.quiet():
                del host.idle[i]
                del self._idle[connection]
                return connection
        return None

    def cancel(self, attempt: Attempt) -> None:
        """Give an attempt up by ending its connection."""
        if not attempt.done:
            result = AttemptResult.NOT_SENT if attempt.connection is None else AttemptResult.CANCELLED
            self._abandon(attempt)
            self._end(attempt, result)

    def _dial(self, host: _Host, attempt: Attempt) -> None:
        # Guards the descriptors. The bound is ours, so what it stops is not told as the host's failure.
        if not self._may_dial():
            self._end(attempt, AttemptResult.LOCAL_LIMIT)
            return
        self._dials += 1
        attempt.dial = self._loop.create_task(
            self._loop.create_connection(partial(self._make, attempt, host), *host.address)
        )
        attempt.dial.add_done_callback(partial(self._dialled, attempt, host))
        attempt.dial_timer = self._loop.call_later(self._dial_s, self._dial_overdue, attempt)

    def _make(self, attempt: Attempt, host: _Host) -> asyncio.Protocol:
        connection: _Connection = self.connection(self, host)
        attempt.coming = connection
        return connection.as_protocol()

    def _may_dial(self) -> bool:
        """Whether one more connection may be opened now."""
        return self._dials < DIALS and self._room()

    def _room(self) -> bool:
        return len(self._connections) + self._dials < self._most or self.drop_idle()

    def drop_idle(self) -> bool:
        """End the connection that has stood idle longest; whether there was one."""
        oldest = next(iter(self._idle), None)
        if oldest is not None:
            self._end_idle(oldest)
        return oldest is not None

    def _end_idle(self, connection: _Connection) -> None:
        del self._idle[connection]
        connection.host.idle.remove(connection)
        connection.abort()

    def _dialled(self, attempt: Attempt, host: _Host, task: asyncio.Task[Any]) -> None:
        self._dial_over()
        attempt.dial = None
        if attempt.dial_timer is not None:
            attempt.dial_timer.cancel()
        error = None if task.cancelled() else task.exception()
        coming, attempt.coming = attempt.coming, None
        if coming is not None and (task.cancelled() or error is not None):
            coming.on_dial_failed()
        if isinstance(error, OSError) and error.errno in OWN_BOUNDS:
            # Guards the hosts' good name: the last descriptor is our trouble, and a rested host is lost work.
            self._end(attempt, AttemptResult.LOCAL_LIMIT)
        elif task.cancelled() or (error is not None and not isinstance(error, ConnectionResetError)):
            self._end(attempt, AttemptResult.CONNECT_FAILED)
        elif error is not None:
            self._end(attempt, AttemptResult.INCOMPLETE_REQUEST)
        else:
            self._up(attempt, host, task.result()[1])

    def _dial_over(self) -> None:
        """A dial has come up, failed or been called off."""
        self._dials -= 1

    def _up(self, attempt: Attempt, host: _Host, connection: _Connection) -> None:
        if attempt.done or self._stopped:
            connection.abort()
        elif connection.transport.is_closing():  # it broke before this turn of the loop
            self._end(attempt, AttemptResult.INCOMPLETE_REQUEST)
        elif not self._gate(attempt, host):
            self._keep(connection)  # it is up, and may serve another
            self._end(attempt, AttemptResult.NOT_SENT)
        else:
            connection.begin(attempt)

    def _keep(self, connection: _Connection) -> None:
        """A connection that carries nothing waits for its next attempt, where its host may get any."""
        host = connection.host
        if self._hosts.get(host.name) is host and not host.drains and host.name not in self._out:
            connection.idle_since = self._loop.time()
            host.idle.append(connection)
            self._idle[connection] = None
        else:
            connection.abort()

    def _overdue(self, attempt: Attempt) -> None:
        # Guards against our own stall: the answer may be here and unread. Timers run before sockets are read,
        # so the time-out itself waits for one more turn of the loop.
        attempt.timer = self._loop.call_later(GRACE_S, self._time_out, attempt)

    def _time_out(self, attempt: Attempt) -> None:
        connection = attempt.connection
        if connection is None:
            result = AttemptResult.CONNECT_FAILED
        else:
            result = AttemptResult.INCOMPLETE_REQUEST if connection.unsent else AttemptResult.TIMED_OUT
        self._abandon(attempt)
        self._end(attempt, result)

    def expired(self, attempt: Attempt) -> None:
        """The hosts' memory of a key is over; a repeat of it that has not left whole by now must not."""
        connection = attempt.connection
        if not attempt.done and connection is not None and connection.unsent:
            self._abandon(attempt)
            self._end(attempt, AttemptResult.INCOMPLETE_REQUEST)

    def _dial_overdue(self, attempt: Attempt) -> None:
        attempt.dial_timer = self._loop.call_later(GRACE_S, self._dial_time_out, attempt)

    def _dial_time_out(self, attempt: Attempt) -> None:
        if attempt.dial is not None:
            self._abandon(attempt)
            self._end(attempt, AttemptResult.CONNECT_FAILED)

    @staticmethod
    def _abandon(attempt: Attempt) -> None:
        """End the connection of an attempt: it is never used again."""
        if attempt.dial is not None:
            attempt.dial.cancel()
        if attempt.connection is not None:
            attempt.connection.attempt = None
            attempt.connection.give_up()

    def _end(self, attempt: Attempt, result: AttemptResult, reply: Response | None = None) -> None:
        if attempt.done:
            return
        attempt.done = True
        if attempt.streamed_body is not None or self._flows:
            self._end_flow(attempt)
        attempt.connection = None
        self._timeouts.cancel(attempt, attempt.slot)
        if attempt.timer is not None:
            attempt.timer.cancel()
        self._ended(attempt, result, reply)

    def _end_flow(self, attempt: Attempt) -> None:
        """Pass on no more of its body or its answer."""

    # From connections

    def opened(self, connection: _Connection) -> None:
        """A connection is up."""
        self._connections.add(connection)

    def closed(self, connection: _Connection) -> None:
        """A connection is gone: an attempt on it never ran unless its last byte was written."""
        self._connections.discard(connection)
        if connection in self._idle:
            del self._idle[connection]
            connection.host.idle.remove(connection)
        attempt, connection.attempt = connection.attempt, None
        if attempt is None:
            return
        if connection.unsent:
            self._end(attempt, AttemptResult.INCOMPLETE_REQUEST)
        elif connection.kept and not connection.response_begun():
            # The freshest one kept was dead, and nobody had said so: the older ones are no better.
            self._close_idle(connection.host)
            self._end(attempt, AttemptResult.STALE_CONNECTION)
        else:
            self._end(attempt, AttemptResult.RESET)

    def replied(self, connection: _Connection, attempt: Attempt, reply: Response, reusable: bool) -> None:
        """A whole answer: the connection is free again, the attempt is over."""
        if reusable and not connection.unsent:
            self._keep(connection)
        else:
            connection.abort()
        self._end(attempt, self.judge(reply), reply)

    def spoilt(self, connection: _Connection) -> None:
        """What came is no answer: the attempt may have run."""
        attempt, connection.attempt = connection.attempt, None
        if attempt is not None:
            self._end(attempt, AttemptResult.MALFORMED_RESPONSE)

    def judge(self, reply: Response) -> AttemptResult:
        """What a whole answer means for its attempt."""
        if reply.status == 200:
            return AttemptResult.OK
        if reply.status in (503, 504) and reply.headers.get(b"x-not-run") == b"1":
            return AttemptResult.QUEUE_FULL
        return AttemptResult.ERROR

    def _close_idle(self, host: _Host) -> None:
        idle, host.idle = host.idle, []
        for connection in idle:
            del self._idle[connection]
            connection.abort()

    def _sweep(self) -> None:
        # Guards against writing to a connection that the host is about to close: that ends as a reset, after
        # which the request may have run.
        if self._stopped:
            return
        self.retire()
        self._loop.call_later(SWEEP_S, self._sweep)

    def retire(self) -> None:
        """End the connections that have stood idle for too long."""
        before = self._loop.time() - self._idle_s
        while (oldest := next(iter(self._idle), None)) is not None and oldest.idle_since < before:
            self._end_idle(oldest)


class _Connection(ResponseProtocol):
    """One connection to a host; carries one attempt at a time."""

    def __init__(self, pool: Hosts, host: _Host) -> None:
        super().__init__()
        self._pool, self.host = pool, host
        self._loop = pool.loop
        self.attempt: Attempt | None = None
        self.kept = False  # the attempt is not the first one on it
        self.idle_since = 0.0

    def begin(self, attempt: Attempt) -> None:
        """Write an attempt's request."""
        self.attempt, attempt.connection = attempt, self
        self.kept = self.idle_since > 0
        now = time.monotonic()
        self.write(attempt.payload(now))
        if attempt.streamed_body is not None:
            self.start_streamed_body(attempt)
        if self.unsent and attempt.valid_until < inf:
            self._loop.call_later(max(attempt.valid_until - now, 0.0), self._pool.expired, attempt)

    def start_streamed_body(self, attempt: Attempt) -> None:
        """Write the rest of its body as it comes."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Prepare the poll for `quiet`, and register with the pool."""
        super().connection_made(transport)
        self._poll = select.poll()
        self._poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
        self._pool.opened(self)

    def give_up(self) -> None:
        """End what is out on it at once, and the connection with this turn of the loop.

        Danger: the loop closes a dropped connection in its next turn, and by then a further attempt is on its
        way to another host: two would be out. Where the host had sent something unread, the close resets.
        """
        try:
            if not self.transport.is_closing():
                descriptor = os.dup(self.transport.get_extra_info("socket").fileno())
                with socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, descriptor) as own:
                    own.shutdown(socket.SHUT_WR)
        except OSError:
            pass  # the host was quicker, or no descriptor is left: the attempt has to end all the same
        self.abort()

    def quiet(self) -> bool:
        """Whether nothing has come that is still unread: data that would pass for the next answer, or the end
        of the connection, after which what is written may have run."""
        return not self.transport.is_closing() and not self._poll.poll(0)

    def on_response(self, reply: Response, reusable: bool) -> None:
        """Hand a whole answer to the pool, unless its attempt was given up."""
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            self._pool.replied(self, attempt, reply, reusable)

    def on_malformed_response(self) -> None:
        """Tell the pool that what came cannot be read."""
        self._pool.spoilt(self)

    def on_connection_lost(self) -> None:
        """Tell the pool that the connection is gone."""
        self._pool.closed(self)


Hosts.connection = _Connection
