"""Discovery: a watch on the list of hosts that outlives whatever the agent does."""

from __future__ import annotations

import asyncio
import json
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

from hillmux import interface as api
from hillmux.interface import HostStatus
from hillmux.net.http1 import LONGEST_LIST, Reply, ReplyProtocol

log = logging.getLogger(__name__)

# A change that discovery has and can tell is known within 6 s, whatever happened to the watch before
# (docs/platform.md, Discovery's clock): the sum of the longest wait, its silence, and two more tries.
MAX_WATCH_MS: Final = 1500.0  # a watch waits so long for something newer, or less (SPREAD)
SILENCE_TIMEOUT_S: Final = 1.0  # how long an answer may be overdue before the connection is given up
PATIENT_SILENCE_TIMEOUT_S: Final = (
    2.0  # the same after that: an agent that needs longer must not be asked forever
)
DIAL_TIMEOUT_S: Final = 0.5  # to the agent on our own machine
MIN_BACKOFF_S, MAX_BACKOFF_S = (
    0.05,
    0.5,
)  # to turn a call away costs discovery little, a late list costs us much
# Part of a rest, or of a wait, that is left to chance: a herd that starts at once must not ask at once again
JITTER: Final = 0.5
READ_GRACE_S: Final = (
    0.002  # a turn of the loop or two, in which what has arrived is read before a silence counts
)
LIFECYCLES: Final = {
    "ready": HostStatus.UP,
    "draining": HostStatus.DRAINING,
    "gone": HostStatus.REMOVED,
}


@dataclass(slots=True, frozen=True)
class DiscoveryResponse:
    """One answer of discovery: hosts by instance id, and where to dial them."""

    generation: int
    is_full: bool
    endpoints: tuple[api.Endpoint, ...]
    addresses: dict[str, tuple[str, int]]


def parse_discovery_response(raw: object) -> DiscoveryResponse:
    """Discovery's JSON as a `DiscoveryResponse`; ValueError where it is not one."""
    if not isinstance(raw, dict) or not isinstance(raw.get("instances"), list):
        raise ValueError("is no list of instances")
    generation = raw.get("generation")
    if not isinstance(generation, int) or isinstance(generation, bool):
        raise ValueError(f"generation {generation!r} is not a whole number")
    servers, addresses = [], {}
    for entry in raw["instances"]:
        server, address = _instance(entry)
        servers.append(server)
        if address is not None:
            addresses[server.name] = address
    return DiscoveryResponse(generation, bool(raw.get("reset")), tuple(servers), addresses)


def _instance(entry: object) -> tuple[api.Endpoint, tuple[str, int] | None]:
    if not isinstance(entry, dict) or not isinstance(entry.get("instanceId"), str) or not entry["instanceId"]:
        raise ValueError("an instance without instanceId")
    name = entry["instanceId"]
    # Guards against a state that a later discovery may add: what is not known to be ready gets no new work.
    status = LIFECYCLES.get(str(entry.get("lifecycle")), HostStatus.DRAINING)
    host, _, port = str(entry.get("hostPort", "")).rpartition(":")
    if status != HostStatus.REMOVED and not (
        host and port.isascii() and port.isdigit() and int(port) < 65536
    ):
        raise ValueError(f"{name}: hostPort {entry.get('hostPort')!r} is not HOST:PORT")
    try:
        # The module's clock is Unix time in milliseconds, so startedAtMs needs no more than reading.
        server = api.Endpoint(
            name,
            str(entry.get("zone", "")),
            int(entry.get("cell", 0)),
            status,
            float(entry.get("weight", 1.0)),
            float(entry.get("startedAtMs", 0)),
        )
    except (TypeError, ValueError):
        raise ValueError(f"{name}: cell, weight or startedAtMs is not a number") from None
    return server, ((host.strip("[]"), int(port)) if status != HostStatus.REMOVED else None)


class DiscoveryWatch:
    """Keeps one watch going and hands on each answer."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        told: Callable[[DiscoveryResponse], None],
        generation: int = 0,
        seed: int = 0,
        stalled: Callable[[], bool] = lambda: False,
    ) -> None:
        """`generation` is that of the list which is known already, 0 for none: what is newer is asked for.

        `stalled` says whether what is read now may have waited for long: more may have come after it.
        """
        self._loop, self._address, self._on_response = loop, address, told
        self._rng = random.Random(seed)
        self._generation: int | None = generation or None  # None: the whole list is wanted
        self._connection: DiscoveryConnection | None = None
        self._dial: asyncio.Task[Any] | None = None
        self._timer: asyncio.TimerHandle | None = None  # the end of our patience, or of a rest
        self._failures = 0
        self._patient = False  # the last answer was given up: the next may take longer
        self._stopped = False
        self._is_stalled = stalled
        self.catching_up = False  # a call is out that is answered at once, with all that there is

    def start(self) -> None:
        """Ask for the whole list, then for what changes."""
        self._poll()

    def stop(self) -> None:
        """End the watch for good."""
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()
        if self._dial is not None:
            self._dial.cancel()
        if self._connection is not None:
            self._connection.drop()

    def change_address(self, address: tuple[str, int]) -> None:
        """Watch at another address, from the whole list on; the list is kept until that has come."""
        if self._stopped:
            return
        connection, dial, self._connection, self._dial = self._connection, self._dial, None, None
        if dial is not None:
            dial.cancel()
        if connection is not None:
            connection.drop()
        self._address, self._generation, self._failures = address, None, 0
        self._poll()

    def _poll(self) -> None:
        if self._stopped:
            return
        if self._connection is not None:
            if not self._connection.transport.is_closing():
                self._write(self._connection)
                return
            # Guards the watch itself: a connection that broke before this turn of the loop, as by an agent
            # that is short of room, would be written to in vain, and nobody would ask again.
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
        if task is not self._dial:  # the watch has moved on meanwhile
            if not failed:
                task.result()[1].drop()
            return
        self._dial = None
        if failed:
            self._poll_after_backoff()
            return
        self._connection = task.result()[1]
        # Danger: of a connection that has just come up we don't know that anybody answers on it, and what we
        # missed before may be all there is to tell. A call that is answered at once shows both.
        self.catching_up = self._generation is not None
        self._poll()

    def _write(self, connection: DiscoveryConnection) -> None:
        wait_ms = 0 if self.catching_up or self._generation is None else self.wait_ms()
        query = "" if self._generation is None else f"?after={self._generation}&wait_ms={wait_ms}"
        self._arm_silence_timer(
            wait_ms / 1000 + (PATIENT_SILENCE_TIMEOUT_S if self._patient else SILENCE_TIMEOUT_S)
        )
        connection.write(f"GET /v1/endpoints{query} HTTP/1.1\r\nHost: discovery\r\n\r\n".encode())

    def wait_ms(self) -> int:
        """How long the next watch waits. Left to chance: a fleet's watches must not fall into step."""
        return int(MAX_WATCH_MS * (1 - JITTER * self._rng.random()))

    def _arm_silence_timer(self, seconds: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(seconds, self._silence_due)

    def _silence_due(self) -> None:
        # Guards against our own stall: the answer may be here and unread, and is no silence of the agent's.
        self._timer = self._loop.call_later(READ_GRACE_S, self._silence_timed_out)

    def _silence_timed_out(self) -> None:
        # Guards against an agent that is silent for good: without this the watch would hang on one socket.
        log.warning("discovery: no answer, asking again; the list is kept")
        if self._dial is not None:
            self._dial.cancel()
        elif self._connection is not None:
            self._patient = not self._patient
            self._connection.drop()

    def replied(self, connection: DiscoveryConnection, reply: Reply, reusable: bool) -> None:
        """An answer: hand it on and ask for what comes next at once."""
        if connection is not self._connection:
            return
        if reply.status != 200:
            # Turned away: nothing was missed, so what changed is enough the next time, too. A whole list is
            # the dearest call there is, and discovery is short of room already.
            log.warning("discovery: status %d, the list is kept", reply.status)
            connection.drop()
            return
        try:
            listing = parse_discovery_response(json.loads(reply.body))
            if not listing.is_full and (self._generation is None or listing.generation < self._generation):
                raise ValueError("changes to a list that was never sent")
        except ValueError as error:
            log.warning("discovery: bad answer, the list is kept: %s", error)
            self._generation = None  # whatever was missed comes with the whole list
            connection.drop()
            return
        self._failures, self._generation, self._patient = 0, listing.generation, False
        self.catching_up = self._is_stalled()
        if not reusable:
            self._connection = None
            connection.drop()
        self._poll()  # before the list is acted on: a late watch is a new one
        self._on_response(listing)

    def lost(self, connection: DiscoveryConnection) -> None:
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
        wait = min(MIN_BACKOFF_S * 2 ** min(self._failures - 1, 10), MAX_BACKOFF_S)
        wait *= 1 - JITTER * self._rng.random()
        self._timer = self._loop.call_later(wait, self._poll)


class DiscoveryConnection(ReplyProtocol):
    """The connection to the agent."""

    def __init__(self, owner: DiscoveryWatch) -> None:
        super().__init__(LONGEST_LIST)
        self._owner = owner

    def replied(self, reply: Reply, reusable: bool) -> None:
        """Hand an answer to the watch's owner."""
        self._owner.replied(self, reply, reusable)

    def spoilt(self) -> None:
        """Log that an answer could not be read; `lost` follows."""
        log.warning("discovery: an answer that cannot be read, the list is kept")

    def lost(self) -> None:
        """Tell the watch's owner that the connection is gone."""
        self._owner.lost(self)
