"""A watch on discovery's list of hosts, which survives any failure of the agent that answers it."""

from __future__ import annotations

import asyncio
import json
import logging
import random
from collections.abc import Callable
from typing import Any, Final

from hillmux.net.discovery_response import DiscoveryResponse, parse_discovery_response
from hillmux.net.http1 import MAX_ENDPOINT_LIST_BYTES, Response, ResponseProtocol

log = logging.getLogger(__name__)

# A change that discovery knows of is known here within 6 s, whatever happened to the watch before
# (docs/platform.md, Discovery's clock): the sum of the longest wait, its silence and two more polls.
MAX_WATCH_MS: Final = 1500.0  # a watch waits this long for a change, or less (JITTER)
SILENCE_TIMEOUT_S: Final = 1.0  # how long an answer may be overdue before the connection is closed
PATIENT_SILENCE_TIMEOUT_S: Final = 2.0  # the same after that: a slow agent must not be polled forever
DIAL_TIMEOUT_S: Final = 0.5  # to the agent on this machine
# A rejected call costs discovery little, a late list costs clients much: the backoff is short.
MIN_BACKOFF_S: Final = 0.05
MAX_BACKOFF_S: Final = 0.5
MAX_BACKOFF_DOUBLINGS: Final = 10
JITTER: Final = 0.5  # random part of a backoff or a wait: gateways that start together must not poll together
# One or two turns of the loop, in which data that has already arrived is read before a time-out counts.
READ_GRACE_S: Final = 0.002


class DiscoveryWatch:
    """Keeps one watch going and passes each answer on."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        on_response: Callable[[DiscoveryResponse], None],
        generation: int = 0,
        seed: int = 0,
        is_stalled: Callable[[], bool] = lambda: False,
    ) -> None:
        """`generation` is that of the list which is known already, 0 for none; only newer ones are requested.

        `is_stalled` says whether an answer that is read now may have waited for long, with changes since.
        """
        self._loop, self._address, self._on_response = loop, address, on_response
        self._rng = random.Random(seed)
        self._generation: int | None = generation or None  # None: the full list is requested
        self._connection: DiscoveryConnection | None = None
        self._dial: asyncio.Task[Any] | None = None
        self._timer: asyncio.TimerHandle | None = None  # of silence, or of backoff
        self._failures = 0
        self._patient = False  # the last call timed out: the next one may take longer
        self._stopped = False
        self._is_stalled = is_stalled
        self.catching_up = False  # a call is out that is answered at once, with all that is known

    def start(self) -> None:
        """Request the full list, then changes."""
        self._poll()

    def stop(self) -> None:
        """End the watch for good."""
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()
        if self._dial is not None:
            self._dial.cancel()
        if self._connection is not None:
            self._connection.abort()

    def change_address(self, address: tuple[str, int]) -> None:
        """Watch at another address, from its full list on; the old list holds until that arrives."""
        if self._stopped:
            return
        connection, dial, self._connection, self._dial = self._connection, self._dial, None, None
        if dial is not None:
            dial.cancel()
        if connection is not None:
            connection.abort()
        self._address, self._generation, self._failures = address, None, 0
        self._poll()

    def _poll(self) -> None:
        if self._stopped:
            return
        if self._connection is not None:
            if not self._connection.transport.is_closing():
                self._write(self._connection)
                return
            # A connection that was lost before this turn of the loop, as when the agent is out of resources:
            # a call on it would never be answered, and no other would follow.
            self._connection = None
            self._poll_after_backoff()
            return
        self._arm_silence_timer(DIAL_TIMEOUT_S)
        self._dial = self._loop.create_task(
            self._loop.create_connection(lambda: DiscoveryConnection(self).as_protocol(), *self._address)
        )
        self._dial.add_done_callback(self._dial_ended)

    def _dial_ended(self, task: asyncio.Task[Any]) -> None:
        failed = task.cancelled() or task.exception() is not None
        if task is not self._dial:  # the address has changed since
            if not failed:
                task.result()[1].abort()
            return
        self._dial = None
        if failed:
            self._poll_after_backoff()
            return
        self._connection = task.result()[1]
        # Whether anybody answers on a new connection is unknown, and changes may have been missed before. A
        # call that is answered at once tells both.
        self.catching_up = self._generation is not None
        self._poll()

    def _write(self, connection: DiscoveryConnection) -> None:
        wait_ms = 0 if self.catching_up or self._generation is None else self.wait_ms()
        query = "" if self._generation is None else f"?after={self._generation}&wait_ms={wait_ms}"
        silence_timeout_s = PATIENT_SILENCE_TIMEOUT_S if self._patient else SILENCE_TIMEOUT_S
        self._arm_silence_timer(wait_ms / 1000 + silence_timeout_s)
        connection.write(f"GET /v1/endpoints{query} HTTP/1.1\r\nHost: discovery\r\n\r\n".encode())

    def wait_ms(self) -> int:
        """How long the next call waits for a change: random, so that a fleet's watches do not synchronise."""
        return int(MAX_WATCH_MS * (1 - JITTER * self._rng.random()))

    def _arm_silence_timer(self, seconds: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(seconds, self._silence_due)

    def _silence_due(self) -> None:
        # After a stall of the loop the answer may have arrived unread.
        self._timer = self._loop.call_later(READ_GRACE_S, self._silence_timed_out)

    def _silence_timed_out(self) -> None:
        # Without this the watch would hang on one socket for good if the agent is silent.
        log.warning("discovery: no answer, asking again; the list is kept")
        if self._dial is not None:
            self._dial.cancel()
        elif self._connection is not None:
            self._patient = not self._patient
            self._connection.abort()

    def on_response(self, connection: DiscoveryConnection, response: Response, reusable: bool) -> None:
        """Poll again, then pass the answer on."""
        if connection is not self._connection:
            return
        if response.status != 200:
            # A rejected call missed nothing, so changes are enough the next time, too: the full list is the
            # most expensive call, and discovery is overloaded already.
            log.warning("discovery: status %d, the list is kept", response.status)
            connection.abort()
            return
        try:
            endpoints = self._parse(response)
        except ValueError as error:
            log.warning("discovery: bad answer, the list is kept: %s", error)
            self._generation = None  # the full list makes up for what was missed
            connection.abort()
            return
        self._failures, self._generation, self._patient = 0, endpoints.generation, False
        self.catching_up = self._is_stalled()
        if not reusable:
            self._connection = None
            connection.abort()
        self._poll()  # before the list is put in force, so that the next call is not delayed by it
        self._on_response(endpoints)

    def _parse(self, response: Response) -> DiscoveryResponse:
        endpoints = parse_discovery_response(json.loads(response.body))
        known = self._generation
        if not endpoints.is_full and (known is None or endpoints.generation < known):
            raise ValueError("changes to a list that was never sent")
        return endpoints

    def on_connection_lost(self, connection: DiscoveryConnection) -> None:
        """The agent closed or reset the connection."""
        if connection is self._connection:
            self._connection = None
            self._poll_after_backoff()

    def _poll_after_backoff(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._stopped:
            return
        self._failures += 1
        doublings = min(self._failures - 1, MAX_BACKOFF_DOUBLINGS)
        backoff_s = min(MIN_BACKOFF_S * 2**doublings, MAX_BACKOFF_S)
        backoff_s *= 1 - JITTER * self._rng.random()
        self._timer = self._loop.call_later(backoff_s, self._poll)


class DiscoveryConnection(ResponseProtocol):
    """The connection to the agent."""

    def __init__(self, watch: DiscoveryWatch) -> None:
        super().__init__(MAX_ENDPOINT_LIST_BYTES)
        self._watch = watch

    def on_response(self, response: Response, reusable: bool) -> None:
        """Pass an answer to the watch."""
        self._watch.on_response(self, response, reusable)

    def on_malformed_response(self) -> None:
        """Log a malformed answer; `on_connection_lost` follows."""
        log.warning("discovery: malformed answer, the list is kept")

    def on_connection_lost(self) -> None:
        """Report the end of the connection to the watch."""
        self._watch.on_connection_lost(self)
