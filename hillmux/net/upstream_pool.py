"""The pool of upstream hosts: sends attempts to them and reports each outcome.

Every attempt passes a pre-send check right before its first byte (`UpstreamPool._still_valid`). Between the
decision and a connection that is up, the client may have disconnected, the time of the request or the hosts'
memory of its idempotency key may have run out, and the host may have started to drain. An attempt that fails
the check ends as `not_sent`.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any, ClassVar, Final

from hillmux.interface import AttemptResult
from hillmux.net.attempt import Attempt
from hillmux.net.deadlines import TimingWheel
from hillmux.net.dialer import READ_GRACE_S, Dialer
from hillmux.net.http1 import Response
from hillmux.net.idle_connections import IdleConnections
from hillmux.net.upstream_connection import UpstreamConnection, UpstreamHost

IDLE_TIMEOUT_SHARE: Final = 0.5  # of the host's idle limit, after which a connection is closed
SWEEP_INTERVAL_S: Final = 1.0  # between closings of idle connections
MAX_DIALS: Final = 64  # under way at once


class UpstreamPool:
    """Sends attempts and reports how each one ended, exactly once."""

    connection_class: ClassVar[type[Any]] = UpstreamConnection  # created for each dial

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        max_connections: int,
        dial_timeout_ms: float,
        idle_timeout_ms: float,
        on_ended: Callable[[Attempt, AttemptResult, Response | None], None],
        is_wanted: Callable[[Attempt], bool] = lambda attempt: True,
    ) -> None:
        """`idle_timeout_ms` is the hosts' own limit.

        `on_ended` receives each outcome, with the response if there is one. `is_wanted` is asked right before
        an attempt's first byte: whether a client still waits for it.
        """
        self.loop = loop
        self._max_connections, self._on_ended, self._is_wanted = max_connections, on_ended, is_wanted
        self._hosts: dict[str, UpstreamHost] = {}
        self._disabled: frozenset[str] = frozenset()  # by an operator: they get no new attempt
        self.connections: set[UpstreamConnection] = set()
        self.idle = IdleConnections(loop, IDLE_TIMEOUT_SHARE * idle_timeout_ms / 1000)
        self.dialer = Dialer(self, dial_timeout_ms / 1000)
        self.dials = 0  # under way
        self.timeouts = TimingWheel(loop, self._timeout_due)
        self._stopped = False
        self.streams: dict[Attempt, Any] = {}  # attempts whose response is being streamed: its connection

    def start(self) -> None:
        """Begin to close connections that are idle for too long."""
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
    ) -> None:
        """Add, move, drain and remove hosts by name; open attempts continue.

        `addresses` holds hosts that are new or changed. Those of them in `draining` get no new attempt.
        """
        for name in removed:
            host = self._hosts.pop(name, None)
            if host is not None:
                self.idle.close_of_host(host)
        for name, address in addresses.items():
            host = self._hosts.get(name)
            if host is None or host.address != address:
                if host is not None:
                    self.idle.close_of_host(host)
                host = self._hosts[name] = UpstreamHost(name, address)
            host.draining = name in draining

    def set_disabled(self, names: frozenset[str]) -> None:
        """Set the hosts that an operator has disabled.

        Their idle connections are closed, since a disabled host may be restarted.
        """
        before, self._disabled = self._disabled, names
        for name in names - before:
            host = self._hosts.get(name)
            if host is not None:
                self.idle.close_of_host(host)

    def host_names(self) -> set[str]:
        """The hosts that can be dialled."""
        return set(self._hosts)

    def _accepts_attempts(self, host: UpstreamHost) -> bool:
        return not host.draining and host.name not in self._disabled and self._hosts.get(host.name) is host

    # Attempts

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
        connection = self.idle.take(host)
        if connection is not None:
            connection.start_attempt(attempt)
        else:
            self.dialer.dial(host, attempt)

    def _still_valid(self, attempt: Attempt, host: UpstreamHost) -> bool:
        """The pre-send check: whether an attempt may begin on a host now.

        A dial may take a second. Without the check an attempt could run for a client that has disconnected,
        on a host that is draining past its grace period, or twice, after the hosts have forgotten its
        idempotency key.
        """
        return (
            self._accepts_attempts(host)
            and time.monotonic() < attempt.delivery_deadline
            and self._is_wanted(attempt)
        )

    def cancel(self, attempt: Attempt) -> None:
        """End an attempt, and its connection with it."""
        if not attempt.done:
            result = AttemptResult.NOT_SENT if attempt.connection is None else AttemptResult.CANCELLED
            self.abandon(attempt)
            self.finish(attempt, result)

    @staticmethod
    def abandon(attempt: Attempt) -> None:
        """End the dial or the connection of an attempt; neither is used again."""
        if attempt.dial_task is not None:
            attempt.dial_task.cancel()
        if attempt.connection is not None:
            attempt.connection.attempt = None
            attempt.connection.abort_attempt()

    def finish(self, attempt: Attempt, result: AttemptResult, response: Response | None = None) -> None:
        """Report an attempt's outcome, once."""
        if attempt.done:
            return
        attempt.done = True
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
        """What a complete response means for its attempt."""
        if response.status == 200:
            return AttemptResult.OK
        if response.status in (503, 504) and response.headers.get(b"x-not-run") == b"1":
            return AttemptResult.QUEUE_FULL
        return AttemptResult.ERROR

    # Time-outs

    def _timeout_due(self, attempt: Attempt) -> None:
        # Timers run before sockets are read. After a stall of the loop the response may have arrived unread,
        # so the time-out takes effect one turn of the loop later.
        attempt.timeout_timer = self.loop.call_later(READ_GRACE_S, self.time_out, attempt)

    def time_out(self, attempt: Attempt) -> None:
        """End an attempt whose time is over."""
        connection = attempt.connection
        if connection is None:
            result = AttemptResult.CONNECT_FAILED
        else:
            result = AttemptResult.INCOMPLETE_REQUEST if connection.unsent else AttemptResult.TIMED_OUT
        self.abandon(attempt)
        self.finish(attempt, result)

    def delivery_window_closed(self, attempt: Attempt) -> None:
        """End an attempt that has not been sent completely by its delivery deadline.

        The hosts no longer recall its idempotency key, and would run it a second time.
        """
        connection = attempt.connection
        if not attempt.done and connection is not None and connection.unsent:
            self.abandon(attempt)
            self.finish(attempt, AttemptResult.INCOMPLETE_REQUEST)

    # Dials

    def reserve_dial(self) -> bool:
        """Whether one more connection may be opened now; an idle one is closed for it if need be."""
        return self.dials < MAX_DIALS and (
            len(self.connections) + self.dials < self._max_connections or self.drop_idle()
        )

    def release_dial(self) -> None:
        """A dial has succeeded, failed or been cancelled."""
        self.dials -= 1

    def dialled(self, attempt: Attempt, host: UpstreamHost, connection: UpstreamConnection) -> None:
        """Start an attempt on the connection that was dialled for it, if it is still valid."""
        if attempt.done or self._stopped:
            connection.abort()
        elif connection.transport.is_closing():  # it was lost before this turn of the loop
            self.finish(attempt, AttemptResult.INCOMPLETE_REQUEST)
        elif not self._still_valid(attempt, host):
            self._keep_or_drop(connection)  # it may serve another attempt
            self.finish(attempt, AttemptResult.NOT_SENT)
        else:
            connection.start_attempt(attempt)

    # Connections

    def drop_idle(self) -> bool:
        """Close the connection that has been idle longest; whether there was one."""
        return self.idle.close_oldest()

    def connection_opened(self, connection: UpstreamConnection) -> None:
        """A connection is up."""
        self.connections.add(connection)

    def connection_closed(self, connection: UpstreamConnection) -> None:
        """A connection is gone: its attempt never ran unless its last byte was written."""
        self.connections.discard(connection)
        self.idle.discard(connection)
        attempt, connection.attempt = connection.attempt, None
        if attempt is None:
            return
        if connection.unsent:
            self.finish(attempt, AttemptResult.INCOMPLETE_REQUEST)
        elif connection.reused and not connection.response_begun():
            # The most recently used connection was dead already; the older ones are no better.
            self.idle.close_of_host(connection.host)
            self.finish(attempt, AttemptResult.STALE_CONNECTION)
        else:
            self.finish(attempt, AttemptResult.RESET)

    def response_received(
        self, connection: UpstreamConnection, attempt: Attempt, response: Response, reusable: bool
    ) -> None:
        """A complete response: free the connection, and end the attempt."""
        if reusable and not connection.unsent:
            self._keep_or_drop(connection)
        else:
            connection.abort()
        self.finish(attempt, self.classify(response), response)

    def malformed_response(self, connection: UpstreamConnection) -> None:
        """What arrived is no response: the attempt may have run."""
        attempt, connection.attempt = connection.attempt, None
        if attempt is not None:
            self.finish(attempt, AttemptResult.MALFORMED_RESPONSE)

    def _keep_or_drop(self, connection: UpstreamConnection) -> None:
        """Keep a connection without an attempt for the next one, where its host may get any."""
        if self._accepts_attempts(connection.host):
            self.idle.add(connection)
        else:
            connection.abort()

    def _sweep(self) -> None:
        # A request written to a connection that the host is about to close ends as a reset, after which the
        # request may have run: so connections are closed well before the host's limit.
        if self._stopped:
            return
        self.close_expired()
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def close_expired(self) -> None:
        """Close the connections that have been idle for too long."""
        self.idle.close_expired()
