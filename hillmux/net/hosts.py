"""Upstream hosts: the connections to each, and the attempts that are sent over them.

Every attempt passes a pre-send check right before its first byte (`UpstreamPool._still_valid`). Between the
decision and a connection that is up, the client may have disconnected, the time of the request or the hosts'
memory of its idempotency key may have run out, and the host may have started to drain. An attempt that fails
the check ends as `not_sent`.
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
from hillmux.net.deadlines import Deadlines
from hillmux.net.http1 import Reply, ReplyProtocol

# A turn of the loop or two, in which what has arrived is read before a time-out counts
READ_GRACE_S: Final = 0.002
IDLE_TIMEOUT_SHARE: Final = 0.5  # idle connections are retired after this part of the host's idle limit
SWEEP_INTERVAL_S: Final = 1.0
MAX_DIALS: Final = 64  # dials under way at once
LOCAL_LIMIT_ERRNOS: Final = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
)
# An answered connection is used again after this: what follows an answer late is seen by then
REUSE_DELAY_S: Final = 0.01


class Attempt:
    """One Send until its one outcome."""

    __slots__ = (
        "request_id",
        "number",
        "host",
        "head",
        "body",
        "sent_at",
        "delivery_deadline",
        "connection",
        "dial_task",
        "timeout_slot",
        "timeout_timer",
        "dial_timer",
        "done",
        "upload",
        "timeout_s",
        "dialled_connection",
    )

    def __init__(
        self,
        request_id: str,
        number: int,
        host: str,
        head: bytes,
        body: bytes,
        sent_at: float,
        delivery_deadline: float,
    ) -> None:
        self.request_id, self.number, self.host = request_id, number, host
        self.head, self.body, self.sent_at = head, body, sent_at
        self.delivery_deadline = delivery_deadline  # its last byte must have left by then, by time.monotonic
        self.connection: UpstreamConnection | None = None
        self.dial_task: asyncio.Task[Any] | None = None
        self.dialled_connection: UpstreamConnection | None = None  # what the dial has made
        self.timeout_slot = 0  # of its time-out
        self.timeout_timer: asyncio.TimerHandle | None = None  # once that has come
        self.dial_timer: asyncio.TimerHandle | None = None
        self.done = False
        # Of what is passed on as it comes:
        self.upload: Upload | None = None  # the rest of its body
        self.timeout_s = 0.0  # from the decision on, or from the body's last byte

    def payload(self, now: float) -> bytes:
        """Its bytes as they are written now: X-Deadline tells how long we still wait."""
        wait_ms = max((self.sent_at + self.timeout_s - now) * 1000, 1)
        return b"%bX-Deadline: %dm\r\n\r\n%b" % (self.head, wait_ms, self.body)


class Upload(Protocol):
    """A body that is still coming."""

    whole: bool  # its last byte has come
    source: Any  # the client's connection, which can be told to `hold` it

    def attach(self, connection: Any) -> None:
        """Write what has come, and what comes, to a connection."""

    def detach(self, connection: Any) -> None:
        """Write no more to it."""


class UpstreamHost:
    __slots__ = ("name", "address", "idle", "draining")

    def __init__(self, name: str, address: tuple[str, int]) -> None:
        self.name, self.address = name, address
        self.idle: list[UpstreamConnection] = []  # the freshest last
        self.draining = False  # told to: what is out goes on, nothing new begins


class UpstreamPool:
    """Sends attempts and reports how each one ended, exactly once."""

    connection_class: ClassVar[type[Any]]  # what is made of each dial

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        most: int,
        dial_ms: float,
        idle_ms: float,
        ended: Callable[[Attempt, AttemptResult, Reply | None], None],
        wanted: Callable[[Attempt], bool] = lambda attempt: True,
    ) -> None:
        """`wanted` is asked right before an attempt's first byte: whether somebody still waits for it."""
        self.loop = loop
        self._max_connections, self._on_ended, self._is_wanted = most, ended, wanted
        self._dial_timeout_s, self._idle_timeout_s = dial_ms / 1000, IDLE_TIMEOUT_SHARE * idle_ms / 1000
        self._hosts: dict[str, UpstreamHost] = {}
        self._disabled: frozenset[str] = frozenset()  # by hand: no new work
        self.connections: set[UpstreamConnection] = set()
        self._idle: dict[UpstreamConnection, None] = {}  # of all hosts, the longest idle first
        self.dials = 0
        self.timeouts = Deadlines(loop, self._timeout_due)
        self._stopped = False
        self.streams: dict[Attempt, Any] = {}  # whose answers are being passed on as they come

    def start(self) -> None:
        """Begin to retire idle connections."""
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def stop(self) -> None:
        """Close all connections."""
        self._stopped = True
        for connection in list(self.connections):
            connection.drop()

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
                host = self._hosts[name] = UpstreamHost(name, address)
            host.draining = name in draining

    def set_disabled(self, names: frozenset[str]) -> None:
        """The hosts that are out by hand from now on. What is kept to one is closed: it may be restarted."""
        before, self._disabled = self._disabled, names
        for name in names - before:
            host = self._hosts.get(name)
            if host is not None:
                self._close_idle(host)

    def host_names(self) -> set[str]:
        """The hosts that can be dialled."""
        return set(self._hosts)

    def send(self, attempt: Attempt, timeout_s: float) -> None:
        """Write an attempt to an idle connection, or to a new one."""
        host = self._hosts.get(attempt.host)
        if host is None:
            self.finish(attempt, AttemptResult.CONNECT_FAILED)
            return
        if not self._still_valid(attempt, host):
            self.finish(attempt, AttemptResult.NOT_SENT)
            return
        attempt.timeout_slot = self.timeouts.add(attempt, timeout_s)
        connection = self._take_idle_connection(host)
        if connection is not None:
            connection.start_attempt(attempt)
        else:
            self._dial(host, attempt)

    def _still_valid(self, attempt: Attempt, host: UpstreamHost) -> bool:
        """Whether an attempt may begin on a host now, and not only when the module decided so.

        Danger: a dial may come up a second later. Its client has gone, its host drains or is gone, or hosts
        recall the key of what it repeats no longer: it would run for nobody, past a drain's grace, or twice.
        """
        return (
            not host.draining
            and host.name not in self._disabled
            and self._hosts.get(host.name) is host
            and time.monotonic() < attempt.delivery_deadline
            and self._is_wanted(attempt)
        )

    def _take_idle_connection(self, host: UpstreamHost) -> UpstreamConnection | None:
        """The freshest idle connection on which nothing has followed its last answer."""
        now = self.loop.time()
        before, oldest = now - REUSE_DELAY_S, now - self._idle_timeout_s
        for i in range(len(host.idle) - 1, -1, -1):
            connection = host.idle[i]
            if connection.idle_since < oldest:
                break  # the sweep has not come by yet; the host may be closing it and those before it
            if connection.idle_since <= before and connection.has_no_unread_data():
                del host.idle[i]
                del self._idle[connection]
                return connection
        return None

    def cancel(self, attempt: Attempt) -> None:
        """Give an attempt up by ending its connection."""
        if not attempt.done:
            result = AttemptResult.NOT_SENT if attempt.connection is None else AttemptResult.CANCELLED
            self.abandon(attempt)
            self.finish(attempt, result)

    def _dial(self, host: UpstreamHost, attempt: Attempt) -> None:
        # Guards the descriptors. The bound is ours, so what it stops is not told as the host's failure.
        if not self.reserve_dial():
            self.finish(attempt, AttemptResult.LOCAL_LIMIT)
            return
        self.dials += 1
        attempt.dial_task = self.loop.create_task(
            self.loop.create_connection(partial(self._new_connection, attempt, host), *host.address)
        )
        attempt.dial_task.add_done_callback(partial(self._dial_ended, attempt, host))
        attempt.dial_timer = self.loop.call_later(self._dial_timeout_s, self._dial_timeout_due, attempt)

    def _new_connection(self, attempt: Attempt, host: UpstreamHost) -> asyncio.Protocol:
        connection: UpstreamConnection = self.connection_class(self, host)
        attempt.dialled_connection = connection
        return connection.as_protocol()

    def reserve_dial(self) -> bool:
        """Whether one more connection may be opened now."""
        return self.dials < MAX_DIALS and self._has_capacity()

    def _has_capacity(self) -> bool:
        return len(self.connections) + self.dials < self._max_connections or self.drop_idle()

    def drop_idle(self) -> bool:
        """End the connection that has stood idle longest; whether there was one."""
        oldest = next(iter(self._idle), None)
        if oldest is not None:
            self._end_idle(oldest)
        return oldest is not None

    def _end_idle(self, connection: UpstreamConnection) -> None:
        del self._idle[connection]
        connection.host.idle.remove(connection)
        connection.drop()

    def _dial_ended(self, attempt: Attempt, host: UpstreamHost, task: asyncio.Task[Any]) -> None:
        self.release_dial()
        attempt.dial_task = None
        if attempt.dial_timer is not None:
            attempt.dial_timer.cancel()
        error = None if task.cancelled() else task.exception()
        coming, attempt.dialled_connection = attempt.dialled_connection, None
        if coming is not None and (task.cancelled() or error is not None):
            coming.called_off()
        if isinstance(error, OSError) and error.errno in LOCAL_LIMIT_ERRNOS:
            # Guards the hosts' good name: the last descriptor is our trouble, and a rested host is lost work.
            self.finish(attempt, AttemptResult.LOCAL_LIMIT)
        elif task.cancelled() or (error is not None and not isinstance(error, ConnectionResetError)):
            self.finish(attempt, AttemptResult.CONNECT_FAILED)
        elif error is not None:
            self.finish(attempt, AttemptResult.INCOMPLETE_REQUEST)
        else:
            self._connected(attempt, host, task.result()[1])

    def release_dial(self) -> None:
        """A dial has come up, failed or been called off."""
        self.dials -= 1

    def _connected(self, attempt: Attempt, host: UpstreamHost, connection: UpstreamConnection) -> None:
        if attempt.done or self._stopped:
            connection.drop()
        elif connection.transport.is_closing():  # it broke before this turn of the loop
            self.finish(attempt, AttemptResult.INCOMPLETE_REQUEST)
        elif not self._still_valid(attempt, host):
            self._keep_idle(connection)  # it is up, and may serve another
            self.finish(attempt, AttemptResult.NOT_SENT)
        else:
            connection.start_attempt(attempt)

    def _keep_idle(self, connection: UpstreamConnection) -> None:
        """A connection that carries nothing waits for its next attempt, where its host may get any."""
        host = connection.host
        if self._hosts.get(host.name) is host and not host.draining and host.name not in self._disabled:
            connection.idle_since = self.loop.time()
            host.idle.append(connection)
            self._idle[connection] = None
        else:
            connection.drop()

    def _timeout_due(self, attempt: Attempt) -> None:
        # Guards against our own stall: the answer may be here and unread. Timers run before sockets are read,
        # so the time-out itself waits for one more turn of the loop.
        attempt.timeout_timer = self.loop.call_later(READ_GRACE_S, self.time_out, attempt)

    def time_out(self, attempt: Attempt) -> None:
        connection = attempt.connection
        if connection is None:
            result = AttemptResult.CONNECT_FAILED
        else:
            result = AttemptResult.INCOMPLETE_REQUEST if connection.unsent else AttemptResult.TIMED_OUT
        self.abandon(attempt)
        self.finish(attempt, result)

    def delivery_window_closed(self, attempt: Attempt) -> None:
        """The hosts' memory of a key is over; a repeat of it that has not left whole by now must not."""
        connection = attempt.connection
        if not attempt.done and connection is not None and connection.unsent:
            self.abandon(attempt)
            self.finish(attempt, AttemptResult.INCOMPLETE_REQUEST)

    def _dial_timeout_due(self, attempt: Attempt) -> None:
        attempt.dial_timer = self.loop.call_later(READ_GRACE_S, self._dial_time_out, attempt)

    def _dial_time_out(self, attempt: Attempt) -> None:
        if attempt.dial_task is not None:
            self.abandon(attempt)
            self.finish(attempt, AttemptResult.CONNECT_FAILED)

    @staticmethod
    def abandon(attempt: Attempt) -> None:
        """End the connection of an attempt: it is never used again."""
        if attempt.dial_task is not None:
            attempt.dial_task.cancel()
        if attempt.connection is not None:
            attempt.connection.attempt = None
            attempt.connection.abort_attempt()

    def finish(self, attempt: Attempt, result: AttemptResult, reply: Reply | None = None) -> None:
        if attempt.done:
            return
        attempt.done = True
        if attempt.upload is not None or self.streams:
            self.end_streams(attempt)
        attempt.connection = None
        self.timeouts.cancel(attempt, attempt.timeout_slot)
        if attempt.timeout_timer is not None:
            attempt.timeout_timer.cancel()
        self._on_ended(attempt, result, reply)

    def end_streams(self, attempt: Attempt) -> None:
        """Pass on no more of its body or its answer."""

    # From connections

    def connection_opened(self, connection: UpstreamConnection) -> None:
        """A connection is up."""
        self.connections.add(connection)

    def connection_closed(self, connection: UpstreamConnection) -> None:
        """A connection is gone: an attempt on it never ran unless its last byte was written."""
        self.connections.discard(connection)
        if connection in self._idle:
            del self._idle[connection]
            connection.host.idle.remove(connection)
        attempt, connection.attempt = connection.attempt, None
        if attempt is None:
            return
        if connection.unsent:
            self.finish(attempt, AttemptResult.INCOMPLETE_REQUEST)
        elif connection.reused and not connection.begun():
            # The freshest one kept was dead, and nobody had said so: the older ones are no better.
            self._close_idle(connection.host)
            self.finish(attempt, AttemptResult.STALE_CONNECTION)
        else:
            self.finish(attempt, AttemptResult.RESET)

    def response_received(
        self, connection: UpstreamConnection, attempt: Attempt, reply: Reply, reusable: bool
    ) -> None:
        """A whole answer: the connection is free again, the attempt is over."""
        if reusable and not connection.unsent:
            self._keep_idle(connection)
        else:
            connection.drop()
        self.finish(attempt, self.classify(reply), reply)

    def malformed_response(self, connection: UpstreamConnection) -> None:
        """What came is no answer: the attempt may have run."""
        attempt, connection.attempt = connection.attempt, None
        if attempt is not None:
            self.finish(attempt, AttemptResult.MALFORMED_RESPONSE)

    def classify(self, reply: Reply) -> AttemptResult:
        """What a whole answer means for its attempt."""
        if reply.status == 200:
            return AttemptResult.OK
        if reply.status in (503, 504) and reply.headers.get(b"x-not-run") == b"1":
            return AttemptResult.QUEUE_FULL
        return AttemptResult.ERROR

    def _close_idle(self, host: UpstreamHost) -> None:
        idle, host.idle = host.idle, []
        for connection in idle:
            del self._idle[connection]
            connection.drop()

    def _sweep(self) -> None:
        # Guards against writing to a connection that the host is about to close: that ends as a reset, after
        # which the request may have run.
        if self._stopped:
            return
        self.close_expired()
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def close_expired(self) -> None:
        """End the connections that have stood idle for too long."""
        before = self.loop.time() - self._idle_timeout_s
        while (oldest := next(iter(self._idle), None)) is not None and oldest.idle_since < before:
            self._end_idle(oldest)


class UpstreamConnection(ReplyProtocol):
    """One connection to a host; carries one attempt at a time."""

    def __init__(self, pool: UpstreamPool, host: UpstreamHost) -> None:
        super().__init__()
        self._pool, self.host = pool, host
        self._loop = pool.loop
        self.attempt: Attempt | None = None
        self.reused = False  # the attempt is not the first one on it
        self.idle_since = 0.0

    def start_attempt(self, attempt: Attempt) -> None:
        """Write an attempt's request."""
        self.attempt, attempt.connection = attempt, self
        self.reused = self.idle_since > 0
        now = time.monotonic()
        self.write(attempt.payload(now))
        if attempt.upload is not None:
            self.upload(attempt)
        if self.unsent and attempt.delivery_deadline < inf:
            self._loop.call_later(
                max(attempt.delivery_deadline - now, 0.0), self._pool.delivery_window_closed, attempt
            )

    def upload(self, attempt: Attempt) -> None:
        """Write the rest of its body as it comes."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Prepare the poll for `quiet`, and register with the pool."""
        super().connection_made(transport)
        self._poll = select.poll()
        self._poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
        self._pool.connection_opened(self)

    def abort_attempt(self) -> None:
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
        self.drop()

    def has_no_unread_data(self) -> bool:
        """Whether nothing has come that is still unread: data that would pass for the next answer, or the end
        of the connection, after which what is written may have run."""
        return not self.transport.is_closing() and not self._poll.poll(0)

    def replied(self, reply: Reply, reusable: bool) -> None:
        """Hand a whole answer to the pool, unless its attempt was given up."""
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            self._pool.response_received(self, attempt, reply, reusable)

    def spoilt(self) -> None:
        """Tell the pool that what came cannot be read."""
        self._pool.malformed_response(self)

    def lost(self) -> None:
        """Tell the pool that the connection is gone."""
        self._pool.connection_closed(self)


UpstreamPool.connection_class = UpstreamConnection
