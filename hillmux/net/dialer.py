"""Dialling upstream hosts: one connection attempt with its time-out and its errors."""

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

# One or two turns of the loop, in which data that has already arrived is read before a time-out counts.
READ_GRACE_S: Final = 0.002
# Failures to open a socket that say nothing about the host.
LOCAL_LIMIT_ERRNOS: Final = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
)


class Dialer:
    """Opens connections for the attempts of one pool."""

    def __init__(self, pool: UpstreamPool, timeout_s: float) -> None:
        self._pool, self.timeout_s = pool, timeout_s

    def dial(self, host: UpstreamHost, attempt: Attempt) -> None:
        """Open a connection to a host for an attempt; the pool learns of it by `dialled` or `finish`."""
        pool = self._pool
        if not pool.reserve_dial():
            # The limit is the gateway's own, so it is not reported as a failure of the host.
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
            self._pool.finish(attempt, _result_of(error))
        else:
            self._pool.dialled(attempt, host, task.result()[1])

    def _timeout_due(self, attempt: Attempt) -> None:
        attempt.dial_timer = self._pool.loop.call_later(READ_GRACE_S, self._time_out, attempt)

    def _time_out(self, attempt: Attempt) -> None:
        if attempt.dial_task is not None:
            self._pool.abandon(attempt)
            self._pool.finish(attempt, AttemptResult.CONNECT_FAILED)


def _result_of(error: BaseException) -> AttemptResult:
    """What a failed dial means for its attempt.

    A lack of local resources must not count against the host: it would be ejected for a fault of ours.
    """
    if isinstance(error, OSError) and error.errno in LOCAL_LIMIT_ERRNOS:
        return AttemptResult.LOCAL_LIMIT
    if isinstance(error, ConnectionResetError):
        return AttemptResult.INCOMPLETE_REQUEST
    return AttemptResult.CONNECT_FAILED
