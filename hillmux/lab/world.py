"""The process of the stand-ins: all hosts, the counter, an agent for each gateway, and the links to them.

    python -m hillmux.lab.world

Takes lines of JSON: `{"scenario": ..., "folder": ...}`, then `{"t0": ...}` once the gateways are ready, and
ends with its standard input. Says `{"ports": ...}` when all of it listens.
"""

from __future__ import annotations

import asyncio
import time
from typing import Any

import orjson
import uvloop

from hillmux.lab.clock import RealClock
from hillmux.lab.links import Link
from hillmux.lab.pipe import begun, tell
from hillmux.lab.record import Recorder
from hillmux.lab.scenario import (
    COUNTER_FAULTS,
    GATEWAY_FAULTS,
    LINK_FAULTS,
    PEER_FAULTS,
    Scenario,
    Strike,
    schedule,
    zone_of,
)
from hillmux.lab.standins.counter import CounterStandIn
from hillmux.lab.standins.discovery import Agent
from hillmux.lab.standins.exchange import Exchange
from hillmux.lab.standins.host import BookingNode, Keys
from hillmux.lab.streams import Stream, generator
from hillmux.lab.virtual.counter import CounterModel
from hillmux.lab.virtual.hosts import DRAINING, READY, HostModel


class World:
    """Everything around the gateways, and the faults in it."""

    def __init__(self, scenario: Scenario, note: Recorder, loop: asyncio.AbstractEventLoop) -> None:
        fleet = scenario.fleet
        self.scenario, self.note, self.clock = scenario, note, RealClock(loop)
        self.links = {
            (f"g{i}", far): Link(f"g{i}", far)
            for i in range(fleet.gateways)
            for far in [*(f"h{j}" for j in range(fleet.hosts)), "counter", "discovery"]
        }
        gateways = [f"g{i}" for i in range(fleet.gateways)]
        speeds = generator(scenario.seed, "hosts").lognormal(0.0, fleet.speed_spread, size=fleet.hosts)
        keys = Keys()
        self.hosts = {}
        for j in range(fleet.hosts):
            name = f"h{j}"
            model = HostModel(
                fleet.cores,
                float(speeds[j]),
                60,
                fleet.cold_from,
                fleet.cold_ms,
                fleet.fall_multiple,
                fleet.fall_ms,
            )
            self.hosts[name] = BookingNode(
                self.clock,
                loop,
                name,
                zone_of(j, fleet.zones),
                model,
                keys,
                [self.links[g, name] for g in gateways],
                note,
                Stream(scenario.seed, f"host.{j}"),
                fleet.connections,
            )
        self.counter = CounterStandIn(
            self.clock,
            loop,
            CounterModel(fleet.counter_per_s, fleet.counter_parts, 2 * fleet.counter_wait_ms),
            [self.links[g, "counter"] for g in gateways],
            note,
        )
        for host in self.hosts.values():
            host.open()
        self.counter.open()
        self.agents = {}
        for g in gateways:
            entries = [self._entry(host, g, "ready") for host in self.hosts.values()]
            self.agents[g] = Agent(self.clock, loop, self.links[g, "discovery"], note, entries)
            self.agents[g].door.open()
        self._late = Stream(scenario.seed, "lists")
        self.exchange = Exchange(self.clock, loop, gateways, note, scenario.seed) if fleet.peers else None

    def ports(self) -> dict[str, Any]:
        """What each gateway is told of: its discovery, its counter, its list."""
        return {
            name: {
                "discovery": [door.port for door in agent.doors],
                "counter": self.counter.doors[name].port,
                "known": agent.listing(list(agent.entries.values()), True),
                "peers": self.exchange.told(name) if self.exchange is not None else {},
            }
            for name, agent in self.agents.items()
        }

    def _entry(self, host: BookingNode, gateway: str, state: str, started: float = 0.0) -> dict[str, Any]:
        return {
            "instanceId": host.name,
            "hostPort": f"127.0.0.1:{host.doors[gateway].port}",
            "zone": host.zone,
            "machineType": "m1",
            "cell": 0,
            "lifecycle": state,
            "weight": 1.0,
            "startedAtMs": round(started),
        }

    def _tell(self, host: BookingNode, state: str, started: float = 0.0) -> None:
        for name, agent in self.agents.items():
            agent.send(
                self._entry(host, name, state, started), self._late.uniform(*self.scenario.fleet.list_late_ms)
            )

    def play(self, t0_ms: float) -> None:
        """Let all that is to happen here happen, reckoned from a moment of the shared clock."""
        for strike in schedule(self.scenario):
            moved = strike.fault.what == "hup" and strike.fault.how == "moved"
            if moved or strike.fault.what not in GATEWAY_FAULTS:
                self.clock.at(t0_ms + strike.at_ms, self.strike, strike)

    def strike(self, strike: Strike) -> None:
        """One fault, now."""
        fault, what = strike.fault, strike.fault.what
        self.note("lab", "fault", what=what, target=strike.target, value=fault.value)
        if what in LINK_FAULTS or what in PEER_FAULTS:
            a, _, b = strike.target.partition(">")
            if (a, b) in self.links:
                self._strike_link(self.links[a, b], what, fault.value)
            elif self.exchange is not None:
                self.exchange.strike(a, b, what, fault.value)
        elif what in COUNTER_FAULTS:
            self._strike_counter(what, fault.how, strike.target)
        elif what == "swap":
            names = strike.target.split(",")
            for a, b in zip(names[::2], names[1::2], strict=False):
                self._swap(self.hosts[a], self.hosts[b])
        elif strike.target in self.hosts:
            self._strike_host(self.hosts[strike.target], what, fault.value)
        else:
            agent = self.agents[strike.target]
            if what == "forget":
                agent.forget()
            elif what == "hup":
                agent.move()
            elif what == "clock":
                agent.ahead_ms = 1000 * fault.value
            else:
                agent.silence(what == "silence")

    @staticmethod
    def _strike_link(link: Link, what: str, value: float) -> None:
        if what in ("cut", "cut_in", "cut_out"):
            link.cut(what != "cut_out", what != "cut_in")
        elif what == "heal":
            link.cut(False, False)
            link.delay_ms, link.bytes_per_s, link.reset_after = 0.0, 0.0, 0
        elif what == "delay":
            link.delay_ms = value
        elif what == "throttle":
            link.bytes_per_s = value
        else:
            link.reset_after = int(value)

    def _strike_counter(self, what: str, how: str, target: str) -> None:
        counter = self.counter
        if what == "counter_stop":
            counter.stop()
        elif what == "counter_keep":
            counter.keep()
        elif what == "counter_start":
            counter.start(how or "all")
        else:
            counter.split(set(target.split(",")) if what == "counter_split" else set())

    def _swap(self, a: BookingNode, b: BookingNode) -> None:
        """Two hosts restart at each other's addresses. A link's faults stay with the address."""
        a.crash()
        b.crash()
        a.doors, b.doors = b.doors, a.doors
        for host in (a, b):
            for door in host.doors.values():
                door.lead_to(host.came_up)
            self._strike_host(host, "restart", 0.0)

    def _strike_host(self, host: BookingNode, what: str, value: float) -> None:
        if what in ("crash", "remove"):
            host.crash()
            if what == "remove":
                self._tell(host, "gone")
        elif what == "restart":
            host.host.state = READY
            host.restart()
            self._tell(host, "ready", time.time() * 1000)
        elif what == "drain":
            host.host.state = DRAINING
            self._tell(host, "draining")
        elif what == "ready":
            host.host.state = READY
            self._tell(host, "ready")
        elif what == "hang":
            host.hung = True
        elif what == "slow":
            host.host.slowdown = value
        elif what == "failing":
            host.failing = value
        else:
            host.hung, host.failing, host.host.slowdown = False, 0.0, 1.0


async def _main() -> None:
    loop = asyncio.get_running_loop()
    reader, first, note = await begun("world")
    world = World(Scenario.model_validate(first["scenario"]), note, loop)
    tell(ports=world.ports())
    while line := await reader.readline():
        world.play(orjson.loads(line)["t0"])
    note.close()


if __name__ == "__main__":
    uvloop.run(_main())
