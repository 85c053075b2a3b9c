"""What a modelled gateway needs of the day around it: time, hosts, counter, network and what is counted."""

from __future__ import annotations

from collections import Counter
from typing import Protocol

from hillmux import interface as api
from hillmux.lab.record import Note
from hillmux.lab.traffic import Try
from hillmux.lab.virtual.counter import CounterService
from hillmux.lab.virtual.hosts import Host
from hillmux.lab.virtual.loop import Loop


class Environment(Protocol):
    """The surroundings of a gateway in virtual time; all spans in ms."""

    loop: Loop
    hosts: dict[str, Host]  # by name
    counter: CounterService
    note: Note | None  # where events are recorded; None: nowhere
    starts: int  # starts of gateways up to now, of which this one is the last
    causes: Counter[str]  # refused requests by their cause
    attempts: int  # that reached a host
    dials: int
    counter_calls: int
    counter_unheard: int  # counter calls that ended without a total
    client_ms: float  # one way between a client and a gateway
    counter_way_ms: float  # one way between a gateway and the counter
    dial_ms: float  # after which a dial that nobody takes is given up
    idle_ms: float  # a connection to a host that stood idle for half of it is not used again

    def zone_of(self, number: int) -> str:
        """The zone of the gateway of this number."""

    def way_ms(self, a: str, b: str) -> float:
        """The time of one message from a machine in zone `a` to one in zone `b`, drawn anew each time."""

    def settings(self, number: int) -> api.Settings:
        """The settings with which the gateway of this number starts."""

    def spent(self, one: Try) -> None:
        """Take note that a try was sent on to a host for the first time."""
