"""Dialling upstream hosts: opens one connection, with a time-out, and classifies errors."""

from __future__ import annotations

import asyncio
import errno
from functools import partial
from typing import TYPE_CHECKING, Any, Final

from hillmux.interface import AttemptResult
from hillmux.net.attempt import Attempt
from hillmux.net.upstream_connection import UpstreamConnection, UpstreamHost

if TYPE_CHECKING:
    from hillmux.net.upstream_pool import UpstreamPool

# A time-out takes effect after this delay, which lasts one or two iterations of the event loop, so that data
# that has already arrived is read first.
READ_GRACE_S: Final = 0.002
# Errors of opening a socket that are caused by local resource limits rather than by the host.
LOCAL_LIMIT_ERRNOS: Final = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
)


class Dialer:
    """Opens connections for the attempts of one pool."""

    def __init__(self, pool: UpstreamPool, timeout_s: float) -> None:
        self._pool, self.timeout_s = pool, timeout_s

    def dial(self, host: UpstreamHost, attempt: Attempt) -> None:
        """Open a connection to a host for an attempt.

        Calls the pool's `dialled` when the connection is open, or `finish` if it cannot be opened.
        """
        pool = self._pool
        if not pool.reserve_dial():
            # The limit is the gateway's own, so it must not count as a failure of the host.
            pool.finish(attempt, AttemptResult.LOCAL_LIMIT)
            return
        pool.dials += 1
        attempt.dial_task = pool.loop.create_task(
            pool.loop.create_connection(partial(self._new_connection, attempt, host), *host.address)
        )
        attempt.dial_task.add_done_callback(partial(self._dial_ended, attempt, host))
        attempt.dial_timer = pool.loop.call_later(self.timeout_s, self._timeout_due, attempt)

    def _new_connection(self, attempt: Attempt, host: UpstreamHost) -> asyncio.Protocol:
        connection: UpstreamConnection = self._pool.connection_class(self._pool, host)
        attempt.dialled_connection = connection
        return connection.as_protocol()

    def _dial_ended(self, attempt: Attempt, host: UpstreamHost, task: asyncio.Task[Any]) -> None:
        self._pool.release_dial()
        attempt.dial_task = None
        if attempt.dial_timer is not None:
            attempt.dial_timer.cancel()
        error = None if task.cancelled() else task.exception()
        connection, attempt.dialled_connection = attempt.dialled_connection, None
        if connection is not None and (task.cancelled() or error is not None):
            connection.on_dial_failed()
        if task.cancelled():
            self._pool.finish(attempt, AttemptResult.CONNECT_FAILED)
        elif error is not None:
            self._pool.finish(attempt, _classify_dial_error(error))
        else:
            self._pool.dialled(attempt, host, task.result()[1])

    def _timeout_due(self, attempt: Attempt) -> None:
        attempt.dial_timer = self._pool.loop.call_later(READ_GRACE_S, self._time_out, attempt)

    def _time_out(self, attempt: Attempt) -> None:
        if attempt.dial_task is not None:
            self._pool.abandon(attempt)
            self._pool.finish(attempt, AttemptResult.CONNECT_FAILED)


def _classify_dial_error(error: BaseException) -> AttemptResult:
    """Return the result of an attempt whose dial failed.

    A lack of local resources must not count against the host, which would be ejected for a fault of the
    gateway.
    """
    if isinstance(error, OSError) and error.errno in LOCAL_LIMIT_ERRNOS:
        return AttemptResult.LOCAL_LIMIT
    if isinstance(error, ConnectionResetError):
        return AttemptResult.INCOMPLETE_REQUEST
    return AttemptResult.CONNECT_FAILED
