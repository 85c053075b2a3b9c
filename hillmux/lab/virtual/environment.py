"""The interface between a modelled gateway and its simulation: time, hosts, counter, network and counts."""

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
    """How a client's attempt ended. The values are those of the lab's records."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    RESET = "reset"
    TIMED_OUT = "late"


class Environment(Protocol):
    """The surroundings of a gateway in virtual time. Durations are in milliseconds."""

    loop: VirtualLoop
    hosts: dict[str, SimulatedHost]  # by name
    counter: SimulatedCounter
    note: Note | None  # records an event; None: nothing is recorded
    gateway_starts: int  # gateways started so far, including the one that is starting
    reject_reasons: Counter[str]  # number of rejections by reason
    attempts: int  # attempts that reached a host
    connections: int  # connections to hosts that gateways opened or tried to open
    counter_calls: int
    counter_calls_failed: int  # counter calls that timed out or were rejected
    client_delay_ms: float  # one way between a client and a gateway
    counter_delay_ms: float  # one way between a gateway and the counter
    connect_timeout_ms: float  # time-out for connecting to an unreachable host
    idle_timeout_ms: float  # a connection is not reused after being idle for half of this

    def zone_of(self, number: int) -> str:
        """Return the zone of the gateway with this number."""

    def network_delay_ms(self, a: str, b: str) -> float:
        """Draw the delay of one message from a machine in zone `a` to one in zone `b`."""

    def settings(self, number: int) -> api.Settings:
        """Return the settings with which the gateway with this number starts."""

    def request_forwarded(self, planned: PlannedRequest) -> None:
        """Record that the first attempt of a request has reached a host."""
