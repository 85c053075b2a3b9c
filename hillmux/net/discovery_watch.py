"""A watch on discovery's endpoint list that recovers from any failure of the discovery agent."""

from __future__ import annotations

import asyncio
import json
import logging
import random
import time
from collections import deque
from collections.abc import Callable
from typing import Any, Final

from hillmux.net.discovery_response import DiscoveryResponse, parse_readable_entries
from hillmux.net.http1 import MAX_ENDPOINT_LIST_BYTES, RESPONSE_STALL_S, ResponseProtocol
from hillmux.net.response import Response

log = logging.getLogger(__name__)

# A change in discovery is known here within 6 s, whatever failed before (docs/platform.md, Discovery's
# clock). That is the sum of the longest watch, its silence time-out and two more polls.
MAX_WATCH_MS: Final = 1500.0  # how long a poll waits for a change at most (JITTER shortens it)
SILENCE_TIMEOUT_S: Final = 1.0  # how long a response may be overdue before the connection is closed
# The same for the poll after such a time-out: with the short one alone, polls of a slow agent would never
# complete.
LONG_SILENCE_TIMEOUT_S: Final = 2.0
# Before the first response nobody is served. An agent may have dropped a poll while discovery was down, or be
# slow: further polls are sent while earlier ones stay open, and the first response counts.
FIRST_POLL_INTERVAL_S: Final = 0.5
MAX_UNANSWERED_POLLS: Final = 4  # together longer than LONG_SILENCE_TIMEOUT_S
DIAL_TIMEOUT_S: Final = 0.5  # for connecting to the agent, which runs on this machine
# The backoff is short: a rejected poll costs discovery little, an outdated list costs clients much.
MIN_BACKOFF_S: Final = 0.05
MAX_BACKOFF_S: Final = 0.5
MAX_BACKOFF_DOUBLINGS: Final = 10
JITTER: Final = 0.5  # random share of a backoff or a wait: gateways that start together must not synchronise
# One or two turns of the loop, to read data that arrived before a time-out counts.
READ_GRACE_S: Final = 0.002


class DiscoveryWatch:
    """Polls discovery continuously and passes each valid response on."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        on_response: Callable[[DiscoveryResponse], None],
        generation: int = 0,
        seed: int = 0,
        is_stalled: Callable[[], bool] = lambda: False,
    ) -> None:
        """Set up a watch; `start` begins to poll.

        Args:
            loop: The event loop.
            address: The discovery agent's address.
            on_response: Receives each valid response.
            generation: The generation of the endpoint list that is known already, 0 for none; only changes
                since then are requested.
            seed: Seeds the jitter.
            is_stalled: Returns whether the loop was stalled: a response read now may then be outdated.
        """
        self._loop, self._address, self._on_response = loop, address, on_response
        self._rng = random.Random(seed)
        self._generation: int | None = generation or None  # None: the full list is requested
        self._connection: DiscoveryConnection | None = None
        self._has_responded = False  # whether the agent has sent a valid response since the start
        # Connections with earlier polls that may still be answered; empty after the first response.
        self._unanswered: deque[DiscoveryConnection] = deque()
        self._dial: asyncio.Task[Any] | None = None
        self._timer: asyncio.TimerHandle | None = None  # the silence time-out or the backoff
        self._failures = 0
        self._failures_before_list = 0  # `_failures` before the latest list arrived
        self._use_long_timeout = False  # whether the next poll gets LONG_SILENCE_TIMEOUT_S
        self._stopped = False
        self._is_stalled = is_stalled
        self.catching_up = False  # whether the current poll has no wait and brings the list up to date

    def start(self) -> None:
        """Request the full list, or the changes to a known one; then watch for changes."""
        self._poll()

    def stop(self) -> None:
        """Stop polling, and close the connection."""
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()
        if self._dial is not None:
            self._dial.cancel()
        if self._connection is not None:
            self._connection.abort()
        self._abort_unanswered()

    def _abort_unanswered(self) -> None:
        while self._unanswered:
            self._unanswered.popleft().abort()

    def change_address(self, address: tuple[str, int]) -> None:
        """Poll another address, starting with its full list; the old list stays in use until that arrives."""
        if self._stopped:
            return
        self._give_up_poll()
        self._abort_unanswered()
        self._address, self._generation, self._failures = address, None, 0
        self._poll()

    def _give_up_poll(self) -> None:
        """Close the connection of the present poll, or end its dial; no other poll follows by itself."""
        connection, dial, self._connection, self._dial = self._connection, self._dial, None, None
        if dial is not None:
            dial.cancel()
        if connection is not None:
            connection.abort()

    def _poll(self) -> None:
        if self._stopped:
            return
        if self._connection is not None:
            if not self._connection.transport.is_closing():
                self._write(self._connection)
                return
            # The connection was lost before this turn of the loop, e.g. since the agent lacks resources. A
            # poll on it would never be answered, and no other would follow.
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
        # It is unknown whether the agent answers on a new connection and whether changes were missed. A poll
        # without a wait shows both.
        self.catching_up = self._generation is not None
        self._poll()

    def _write(self, connection: DiscoveryConnection) -> None:
        wait_ms = 0 if self.catching_up or self._generation is None else self.wait_ms()
        query = "" if self._generation is None else f"?after={self._generation}&wait_ms={wait_ms}"
        self._arm_silence_timer(wait_ms / 1000 + self._silence_timeout_s())
        connection.write(f"GET /v1/endpoints{query} HTTP/1.1\r\nHost: discovery\r\n\r\n".encode())

    def _silence_timeout_s(self) -> float:
        if not self._has_responded:
            return FIRST_POLL_INTERVAL_S
        return LONG_SILENCE_TIMEOUT_S if self._use_long_timeout else SILENCE_TIMEOUT_S

    def wait_ms(self) -> int:
        """The wait of the next poll, in milliseconds; random, so that gateways do not synchronise."""
        return int(MAX_WATCH_MS * (1 - JITTER * self._rng.random()))

    def _arm_silence_timer(self, seconds: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(seconds, self._silence_due)

    def _silence_due(self) -> None:
        # After a stall of the loop the response may have arrived but not been read yet.
        self._timer = self._loop.call_later(READ_GRACE_S, self._silence_timed_out)

    def _silence_timed_out(self) -> None:
        # Without this time-out the watch would wait forever on the connection to a silent agent. One that is
        # still sending a long list is not silent: a new poll would begin that list again.
        connection = self._connection
        if self._dial is None and connection is not None and connection.is_receiving(time.monotonic()):
            self._arm_silence_timer(RESPONSE_STALL_S)
            return
        log.warning("discovery: response timed out, polling again; endpoint list kept")
        if self._dial is not None:
            self._dial.cancel()
        elif connection is not None and not self._has_responded:
            self._poll_beside(connection)
        elif connection is not None:
            self._use_long_timeout = not self._use_long_timeout
            connection.abort()

    def _poll_beside(self, connection: DiscoveryConnection) -> None:
        """Poll on another connection, and leave this one open for a late response."""
        self._unanswered.append(connection)
        if len(self._unanswered) >= MAX_UNANSWERED_POLLS:
            self._unanswered.popleft().abort()
        self._connection = None
        self._poll()

    def on_response(self, connection: DiscoveryConnection, response: Response, reusable: bool) -> None:
        """Poll again, then pass the response on; after an invalid one, poll on a new connection."""
        if connection in self._unanswered:  # a late response came first: go on with its connection
            self._unanswered.remove(connection)
            self._give_up_poll()
            self._connection = connection
        if connection is not self._connection:
            return
        if response.status != 200:
            # A rejected poll lost no changes, so the next one need not request the full list: that is the
            # most expensive request, and discovery is overloaded already.
            log.warning("discovery: responded with status %d; endpoint list kept", response.status)
            connection.abort()
            return
        try:
            endpoints = self._parse(response)
        except ValueError as error:
            log.warning("discovery: invalid response, endpoint list kept: %s", error)
            self._generation = None  # the full list replaces the changes in the invalid response
            connection.abort()
            return
        self._failures_before_list = self._failures
        self._failures, self._generation, self._use_long_timeout = 0, endpoints.generation, False
        self._has_responded = True
        self._abort_unanswered()
        self.catching_up = self._is_stalled()
        if not reusable:
            self._connection = None
            connection.abort()
        self._poll()  # before the list is applied, so that this does not delay the next poll
        try:
            self._on_response(endpoints)
        except Exception:
            log.exception("discovery: endpoint list not applied completely")
            self.list_not_applied()

    def list_not_applied(self) -> None:
        """Request the full list on a new connection, after a backoff; the present poll is given up.

        The next changes would not hold those that could not be applied.
        """
        log.warning("discovery: requesting the full list")
        self._failures = self._failures_before_list  # the backoff grows while no list can be applied
        self._generation = None
        if self._connection is not None:
            self._connection.abort()
        elif self._dial is not None:  # the agent closes each connection after its response
            self._dial.cancel()

    def _parse(self, response: Response) -> DiscoveryResponse:
        endpoints, errors = parse_readable_entries(json.loads(response.body))
        known = self._generation
        if not endpoints.is_full and (known is None or endpoints.generation < known):
            raise ValueError("changes to an endpoint list that was not sent before")
        if errors:
            text = "discovery: %d entries not read, their hosts get no requests; first: %s"
            log.warning(text, len(errors), errors[0])
        return endpoints

    def on_connection_lost(self, connection: DiscoveryConnection) -> None:
        """Poll again after a backoff if the current connection was lost."""
        if connection in self._unanswered:
            self._unanswered.remove(connection)
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
    """A connection to the discovery agent."""

    def __init__(self, watch: DiscoveryWatch) -> None:
        super().__init__(MAX_ENDPOINT_LIST_BYTES)
        self._watch = watch

    def on_response(self, response: Response, reusable: bool) -> None:
        """Pass a response to the watch."""
        self._watch.on_response(self, response, reusable)

    def on_malformed_response(self) -> None:
        """Log a malformed response; `on_connection_lost` follows."""
        log.warning("discovery: malformed HTTP response; endpoint list kept")

    def on_connection_lost(self) -> None:
        """Report the loss of the connection to the watch."""
        self._watch.on_connection_lost(self)
