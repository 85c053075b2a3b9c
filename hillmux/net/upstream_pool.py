"""The pool of upstream hosts: sends attempts to them and reports each outcome.

Every attempt passes a pre-send check immediately before its first byte is written
(`UpstreamPool._still_valid`). Between the decision to send and the moment a connection is available, the
client may have disconnected, the request's deadline may have passed, the hosts may have discarded its
idempotency key, the host may have started to drain, or the process may have been stalled, so that the drain
lies unread. An attempt that fails the check ends as `NOT_SENT`.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping
from typing import Any, ClassVar, Final

from hillmux.interface import AttemptResult
from hillmux.net.attempt import Attempt
from hillmux.net.deadlines import TimingWheel
from hillmux.net.dialer import READ_GRACE_S, Dialer
from hillmux.net.http1 import RESPONSE_STALL_S
from hillmux.net.idle_connections import IdleConnections
from hillmux.net.memory_budget import HOST_CONNECTION_BYTES, MemoryBudget
from hillmux.net.memory_waiters import MemoryWaiters
from hillmux.net.response import Response
from hillmux.net.upstream_connection import UpstreamConnection, UpstreamHost

IDLE_TIMEOUT_SHARE: Final = 0.5  # connections are closed after this fraction of the hosts' idle time-out
SWEEP_INTERVAL_S: Final = 1.0  # interval at which expired idle connections are closed
MAX_DIALS: Final = 64  # dials in progress at once


class UpstreamPool:
    """Sends attempts and reports each outcome exactly once."""

    connection_class: ClassVar[type[Any]] = UpstreamConnection  # instantiated for each dial

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        max_connections: int,
        dial_timeout_ms: float,
        idle_timeout_ms: float,
        on_ended: Callable[[Attempt, AttemptResult, Response | None], None],
        may_still_send: Callable[[Attempt], bool] = lambda attempt: True,
        memory: MemoryBudget | None = None,
    ) -> None:
        """Create a pool without hosts.

        Args:
            loop: the event loop that carries the connections.
            max_connections: limit for open connections and dials in progress, together.
            dial_timeout_ms: time-out of a dial.
            idle_timeout_ms: time after which the hosts themselves close an idle connection.
            on_ended: called once with each attempt's result, and its response if one was received.
            may_still_send: called immediately before an attempt's first byte is written; returns whether
                the attempt may still be sent, e.g. whether a client still waits for the response.
            memory: the budget that connections and responses are charged to; without a limit if None.
        """
        self.loop = loop
        self.memory = memory or MemoryBudget()
        self.memory_waiters = MemoryWaiters(loop)
        self._max_connections, self._on_ended, self._may_still_send = (
            max_connections,
            on_ended,
            may_still_send,
        )
        self._hosts: dict[str, UpstreamHost] = {}
        self._disabled: frozenset[str] = frozenset()  # hosts disabled by an operator: no new attempts
        self.connections: set[UpstreamConnection] = set()
        self.idle = IdleConnections(loop, IDLE_TIMEOUT_SHARE * idle_timeout_ms / 1000)
        self.dialer = Dialer(self, dial_timeout_ms / 1000)
        self.dials = 0  # dials in progress
        self.timeouts = TimingWheel(loop, self._timeout_due)
        self._stopped = False
        self.streams: dict[Attempt, Any] = {}  # attempt whose response is being streamed -> its connection

    def start(self) -> None:
        """Start the periodic closing of expired idle connections."""
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def stop(self) -> None:
        """Close all connections."""
        self._stopped = True
        for connection in list(self.connections):
            connection.abort()

    # Hosts

    def update(
        self,
        addresses: dict[str, tuple[str, int]],
        removed: set[str],
        draining: frozenset[str] = frozenset(),
        started_at_ms: Mapping[str, float] | None = None,
    ) -> None:
        """Add, change and remove hosts; open attempts continue.

        A host that has moved or started again is a new process: connections to the previous one are not used
        again.

        Args:
            addresses: address of each new or changed host, by name.
            removed: names of the hosts to remove.
            draining: those names in `addresses` whose hosts get no new attempts.
            started_at_ms: when each of those hosts last started (Unix time); 0 for long ago.
        """
        for name in removed:
            host = self._hosts.pop(name, None)
            if host is not None:
                self.idle.close_all_to(host)
        for name, address in addresses.items():
            host = self._hosts.get(name)
            started = started_at_ms.get(name, 0.0) if started_at_ms is not None else 0.0
            if host is None or host.address != address or started > host.started_at_ms:
                if host is not None:
                    self.idle.close_all_to(host)
                host = self._hosts[name] = UpstreamHost(name, address, started)
            host.draining = name in draining

    def set_disabled(self, names: frozenset[str]) -> None:
        """Set the hosts that an operator has disabled.

        Their idle connections are closed, since a disabled host may be restarted.
        """
        previous, self._disabled = self._disabled, names
        for name in names - previous:
            host = self._hosts.get(name)
            if host is not None:
                self.idle.close_all_to(host)

    def host_names(self) -> set[str]:
        """Return the names of all hosts in the pool, including draining and disabled ones."""
        return set(self._hosts)

    def _accepts_attempts(self, host: UpstreamHost) -> bool:
        return not host.draining and host.name not in self._disabled and self._hosts.get(host.name) is host

    # Attempts

    def send(self, attempt: Attempt, timeout_s: float) -> None:
        """Send an attempt over an idle connection, or dial a new one.

        Args:
            attempt: an attempt that has not been sent yet.
            timeout_s: time from now until the attempt times out, including the dial.
        """
        host = self._hosts.get(attempt.host)
        if host is None:
            self.finish(attempt, AttemptResult.CONNECT_FAILED)
            return
        if not self._still_valid(attempt, host):
            self.finish(attempt, AttemptResult.NOT_SENT)
            return
        attempt.timeout_slot = self.timeouts.add(attempt, timeout_s)
        connection = self.idle.take(host)
        if connection is not None:
            connection.start_attempt(attempt)
        else:
            self.dialer.dial(host, attempt)

    def _still_valid(self, attempt: Attempt, host: UpstreamHost) -> bool:
        """Run the pre-send check: whether an attempt may still be sent to a host.

        A dial may take a second. Without the check an attempt could run for a client that has disconnected,
        on a host that is draining past its grace period, or a second time because the hosts have discarded
        its idempotency key.
        """
        return (
            self._accepts_attempts(host)
            and time.monotonic() < attempt.delivery_deadline
            and self._may_still_send(attempt)
        )

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt and close its connection; does nothing if the attempt has ended."""
        if not attempt.done:
            result = AttemptResult.NOT_SENT if attempt.connection is None else AttemptResult.CANCELLED
            self.abandon(attempt)
            self.finish(attempt, result)

    @staticmethod
    def abandon(attempt: Attempt) -> None:
        """Cancel an attempt's dial or close its connection, without reporting an outcome."""
        if attempt.dial_task is not None:
            attempt.dial_task.cancel()
        if attempt.connection is not None:
            attempt.connection.attempt = None
            attempt.connection.abort_attempt()

    def finish(self, attempt: Attempt, result: AttemptResult, response: Response | None = None) -> None:
        """End an attempt and report its outcome; does nothing if it has ended already."""
        if attempt.done:
            return
        attempt.done = True
        if response is None and attempt.connection is not None:
            attempt.received_bytes = attempt.connection.received_bytes()
        if attempt.streamed_body is not None or self.streams:
            self.end_streams(attempt)
        attempt.connection = None
        self.timeouts.cancel(attempt, attempt.timeout_slot)
        if attempt.timeout_timer is not None:
            attempt.timeout_timer.cancel()
        self._on_ended(attempt, result, response)

    def end_streams(self, attempt: Attempt) -> None:
        """Stop streaming an attempt's body and response."""

    def classify(self, response: Response) -> AttemptResult:
        """Return the result of an attempt that received this complete response."""
        if response.status == 200:
            return AttemptResult.OK
        if response.status in (503, 504) and response.headers.get(b"x-not-run") == b"1":
            return AttemptResult.QUEUE_FULL
        return AttemptResult.ERROR

    # Time-outs

    def _timeout_due(self, attempt: Attempt) -> None:
        # Timers run before sockets are read. After a stall of the event loop the response may already have
        # arrived without having been read, so the time-out takes effect only after the next read.
        attempt.timeout_timer = self.loop.call_later(READ_GRACE_S, self.time_out, attempt)

    def time_out(self, attempt: Attempt) -> None:
        """End an attempt that has reached its time-out, unless its response is arriving.

        The time-out is the class's latency objective, which says nothing about a response that has begun. The
        request's own deadline still ends it.
        """
        connection = attempt.connection
        if connection is not None and connection.may_still_succeed():
            attempt.timeout_timer = None
            attempt.timeout_slot = self.timeouts.add(attempt, RESPONSE_STALL_S)
            return
        if connection is None:
            result = AttemptResult.CONNECT_FAILED
        else:
            result = AttemptResult.INCOMPLETE_REQUEST if connection.unsent else AttemptResult.TIMED_OUT
        self.abandon(attempt)
        self.finish(attempt, result)

    def forward_incomplete(self, attempt: Attempt) -> bool:
        """Pass on a response that is arriving, instead of failing its request; whether that was possible."""
        return False

    def on_delivery_deadline(self, attempt: Attempt) -> None:
        """End an attempt that has not been sent completely by its delivery deadline.

        After that deadline the hosts may have discarded its idempotency key and would run it a second time.
        """
        connection = attempt.connection
        if not attempt.done and connection is not None and connection.unsent:
            self.abandon(attempt)
            self.finish(attempt, AttemptResult.INCOMPLETE_REQUEST)

    # Dials

    def reserve_dial(self) -> bool:
        """Return whether another connection may be dialled, closing an idle one if the limit is reached."""
        open_connections = len(self.connections) + self.dials
        return self.dials < MAX_DIALS and (
            (
                open_connections < self._max_connections
                and open_connections < self.memory.max_host_connections()
            )
            or self.drop_idle()
        )

    def release_dial(self) -> None:
        """Stop counting a dial that has succeeded, failed or been cancelled."""
        self.dials -= 1

    def dialled(self, attempt: Attempt, host: UpstreamHost, connection: UpstreamConnection) -> None:
        """Start an attempt on the connection that was dialled for it, if the attempt is still valid."""
        if attempt.done or self._stopped:
            connection.abort()
        elif connection.transport.is_closing():  # lost between being opened and this callback
            self.finish(attempt, AttemptResult.INCOMPLETE_REQUEST)
        elif not self._still_valid(attempt, host):
            self._release_connection(connection)  # another attempt may use it
            self.finish(attempt, AttemptResult.NOT_SENT)
        else:
            connection.start_attempt(attempt)

    # Connections

    def drop_idle(self) -> bool:
        """Close the connection that has been idle longest; returns False if no connection is idle."""
        return self.idle.close_oldest()

    def connection_opened(self, connection: UpstreamConnection) -> None:
        """Register a connection that has been established."""
        self.connections.add(connection)
        self.memory.charge(HOST_CONNECTION_BYTES)

    def connection_closed(self, connection: UpstreamConnection) -> None:
        """Unregister a closed connection, and end its attempt if it carried one.

        The host starts a request at its last byte, so an attempt whose last byte was not written did not run.
        """
        if connection in self.connections:
            self.connections.discard(connection)
            self.memory.release(HOST_CONNECTION_BYTES)
        self.idle.discard(connection)
        attempt, connection.attempt = connection.attempt, None
        if attempt is None:
            return
        if connection.unsent:
            self.finish(attempt, AttemptResult.INCOMPLETE_REQUEST)
        elif connection.reused and not connection.response_begun():
            # The host had closed the most recently used connection, so the older ones are stale as well.
            self.idle.close_all_to(connection.host)
            self.finish(attempt, AttemptResult.STALE_CONNECTION)
        else:
            self.finish(attempt, AttemptResult.RESET)

    def response_received(
        self, connection: UpstreamConnection, attempt: Attempt, response: Response, reusable: bool
    ) -> None:
        """Release the connection of a complete response, and end the attempt."""
        if reusable and not connection.unsent:
            self._release_connection(connection)
        else:
            connection.abort()
        self.finish(attempt, self.classify(response), response)

    def malformed_response(self, connection: UpstreamConnection) -> None:
        """End the attempt of a connection that received a malformed response; the attempt may have run."""
        attempt, connection.attempt = connection.attempt, None
        if attempt is not None:
            self.finish(attempt, AttemptResult.MALFORMED_RESPONSE)

    def _release_connection(self, connection: UpstreamConnection) -> None:
        """Make a connection available for reuse, or close it."""
        if self._accepts_attempts(connection.host) and connection.generation == self.idle.generation:
            self.idle.add(connection)
        else:
            connection.abort()

    def _sweep(self) -> None:
        # If the host closes a connection while a request is being written to it, the attempt ends as a reset
        # and may have run. Connections are therefore closed well before the host's own idle time-out.
        if self._stopped:
            return
        self.close_expired()
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def close_expired(self) -> None:
        """Close the connections that have exceeded the idle time-out."""
        self.idle.close_expired()
