"""What a modelled gateway needs of the day around it: time, hosts, counter, network and what is counted."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum
from typing import Protocol

from hillmux import interface as api
from hillmux.lab.record import Note
from hillmux.lab.traffic import PlannedRequest
from hillmux.lab.virtual.counter import SimulatedCounter
from hillmux.lab.virtual.hosts import SimulatedHost
from hillmux.lab.virtual.loop import VirtualLoop


class ClientResult(StrEnum):
    """How a client's attempt ended; values are those of the lab's records."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    RESET = "reset"
    TIMED_OUT = "late"


class Environment(Protocol):
    """The surroundings of a gateway in virtual time; all spans in ms."""

    loop: VirtualLoop
    hosts: dict[str, SimulatedHost]  # by name
    counter: SimulatedCounter
    note: Note | None  # where events are recorded; None: nowhere
    gateway_starts: int  # starts of gateways up to now, of which this one is the last
    reject_reasons: Counter[str]  # refused requests by their cause
    attempts: int  # that reached a host
    connections: int
    counter_calls: int
    counter_calls_failed: int  # counter calls that ended without a total
    client_delay_ms: float  # one way between a client and a gateway
    counter_delay_ms: float  # one way between a gateway and the counter
    connect_timeout_ms: float  # after which a dial that nobody takes is given up
    idle_timeout_ms: float  # a connection to a host that stood idle for half of it is not used again

    def zone_of(self, number: int) -> str:
        """The zone of the gateway of this number."""

    def network_delay_ms(self, a: str, b: str) -> float:
        """The time of one message from a machine in zone `a` to one in zone `b`, drawn anew each time."""

    def settings(self, number: int) -> api.Settings:
        """The settings with which the gateway of this number starts."""

    def request_forwarded(self, one: PlannedRequest) -> None:
        """Take note that a try was sent on to a host for the first time."""
