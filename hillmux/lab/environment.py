"""The stand-in process: all hosts, the counter, a discovery agent for each gateway, and the links to them.

    python -m hillmux.lab.environment

Reads JSON lines: `{"scenario": ..., "folder": ...}`, then `{"t0": ...}` once the gateways are ready; exits at
the end of its standard input. Writes `{"ports": ...}` when every stand-in listens.
"""

from __future__ import annotations

import asyncio
import time
from typing import Any

import orjson
import uvloop

from hillmux.lab.clock import RealClock
from hillmux.lab.helper_process import connect_to_lab, send_to_lab
from hillmux.lab.links import EmulatedLink
from hillmux.lab.random_streams import Stream, generator
from hillmux.lab.record import Recorder
from hillmux.lab.scenario import (
    COUNTER_FAULTS,
    GATEWAY_FAULTS,
    LINK_FAULTS,
    PEER_FAULTS,
    Scenario,
    ScheduledFault,
    schedule,
    zone_of,
)
from hillmux.lab.standins.counter import CounterStandIn
from hillmux.lab.standins.discovery import DiscoveryStandIn
from hillmux.lab.standins.exchange import Exchange
from hillmux.lab.standins.host import HostStandIn, IdempotencyKeys
from hillmux.lab.virtual.counter import CounterModel
from hillmux.lab.virtual.hosts import DRAINING, READY, HostModel

MAX_QUEUED_AT_HOST = 60


class LabEnvironment:
    """All stand-ins of a run and their links to the gateways; applies the faults to them."""

    def __init__(self, scenario: Scenario, note: Recorder, loop: asyncio.AbstractEventLoop) -> None:
        fleet = scenario.fleet
        self.scenario, self.note, self.clock = scenario, note, RealClock(loop)
        gateways = [f"g{i}" for i in range(fleet.gateways)]
        stand_ins = [*(f"h{i}" for i in range(fleet.hosts)), "counter", "discovery"]
        self.links = {(g, name): EmulatedLink(g, name) for g in gateways for name in stand_ins}
        speeds = generator(scenario.seed, "hosts").lognormal(0.0, fleet.speed_spread, size=fleet.hosts)
        keys = IdempotencyKeys()
        self.hosts = {f"h{i}": self._new_host(i, float(speeds[i]), keys, loop) for i in range(fleet.hosts)}
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
            self.agents[g] = DiscoveryStandIn(self.clock, loop, self.links[g, "discovery"], note, entries)
            self.agents[g].listener.open()
        self._list_delays = Stream(scenario.seed, "lists")
        self.exchange = Exchange(self.clock, loop, gateways, note, scenario.seed) if fleet.peers else None

    def _new_host(
        self, number: int, speed: float, keys: IdempotencyKeys, loop: asyncio.AbstractEventLoop
    ) -> HostStandIn:
        fleet, name = self.scenario.fleet, f"h{number}"
        model = HostModel(
            fleet.cores,
            speed,
            MAX_QUEUED_AT_HOST,
            fleet.cold_from,
            fleet.cold_ms,
            fleet.fall_multiple,
            fleet.fall_ms,
        )
        return HostStandIn(
            self.clock,
            loop,
            name,
            zone_of(number, fleet.zones),
            model,
            keys,
            [self.links[f"g{i}", name] for i in range(fleet.gateways)],
            self.note,
            Stream(self.scenario.seed, f"host.{number}"),
            fleet.connections,
        )

    def ports(self) -> dict[str, Any]:
        """By gateway: the ports of its discovery agent and counter, its first endpoint list, its peers."""
        return {
            name: {
                "discovery": [listener.port for listener in agent.listeners],
                "counter": self.counter.listeners[name].port,
                "known": agent.listing(list(agent.entries.values()), True),
                "peers": self.exchange.addresses_of(name) if self.exchange is not None else {},
            }
            for name, agent in self.agents.items()
        }

    def _entry(self, host: HostStandIn, gateway: str, state: str, started: float = 0.0) -> dict[str, Any]:
        return {
            "instanceId": host.name,
            "hostPort": f"127.0.0.1:{host.listeners[gateway].port}",
            "zone": host.zone,
            "machineType": "m1",
            "cell": 0,
            "lifecycle": state,
            "weight": 1.0,
            "startedAtMs": round(started),
        }

    def _announce(self, host: HostStandIn, state: str, started: float = 0.0) -> None:
        for name, agent in self.agents.items():
            agent.send(
                self._entry(host, name, state, started),
                self._list_delays.uniform(*self.scenario.fleet.list_late_ms),
            )

    def schedule_faults(self, t0_ms: float) -> None:
        """Schedule the scenario's faults of stand-ins and links, relative to `t0_ms` of the shared clock."""
        for scheduled in schedule(self.scenario):
            moves_discovery = scheduled.fault.what == "hup" and scheduled.fault.how == "moved"
            if moves_discovery or scheduled.fault.what not in GATEWAY_FAULTS:
                self.clock.at(t0_ms + scheduled.at_ms, self.apply_fault, scheduled)

    def apply_fault(self, scheduled: ScheduledFault) -> None:
        """Record a fault and apply it now."""
        fault, what = scheduled.fault, scheduled.fault.what
        self.note("lab", "fault", what=what, target=scheduled.target, value=fault.value)
        if what in LINK_FAULTS or what in PEER_FAULTS:
            a, _, b = scheduled.target.partition(">")
            if (a, b) in self.links:
                self._apply_link_fault(self.links[a, b], what, fault.value)
            elif self.exchange is not None:
                self.exchange.apply_fault(a, b, what, fault.value)
        elif what in COUNTER_FAULTS:
            self._apply_counter_fault(what, fault.how, scheduled.target)
        elif what == "swap":
            names = scheduled.target.split(",")
            for a, b in zip(names[::2], names[1::2], strict=False):
                self._swap_addresses(self.hosts[a], self.hosts[b])
        elif scheduled.target in self.hosts:
            self._apply_host_fault(self.hosts[scheduled.target], what, fault.value)
        else:
            agent = self.agents[scheduled.target]
            if what == "forget":
                agent.reset_versions()
            elif what == "hup":
                agent.change_address()
            elif what == "clock":
                agent.ahead_ms = 1000 * fault.value
            else:
                agent.set_silent(what == "silence")

    @staticmethod
    def _apply_link_fault(link: EmulatedLink, what: str, value: float) -> None:
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

    def _apply_counter_fault(self, what: str, how: str, target: str) -> None:
        counter = self.counter
        if what == "counter_stop":
            counter.stop()
        elif what == "counter_keep":
            counter.save_totals()
        elif what == "counter_start":
            counter.start(how or "all")
        else:
            counter.split(set(target.split(",")) if what == "counter_split" else set())

    def _swap_addresses(self, a: HostStandIn, b: HostStandIn) -> None:
        """Restart two hosts with their addresses exchanged. Faults of a link stay with the address."""
        a.crash()
        b.crash()
        a.listeners, b.listeners = b.listeners, a.listeners
        for host in (a, b):
            for listener in host.listeners.values():
                listener.set_receiver_factory(host.connection_opened)
            self._apply_host_fault(host, "restart", 0.0)

    def _apply_host_fault(self, host: HostStandIn, what: str, value: float) -> None:
        if what in ("crash", "remove"):
            host.crash()
            if what == "remove":
                self._announce(host, "gone")
        elif what == "restart":
            host.host.state = READY
            host.restart()
            self._announce(host, "ready", time.time() * 1000)
        elif what == "drain":
            host.host.state = DRAINING
            self._announce(host, "draining")
        elif what == "ready":
            host.host.state = READY
            self._announce(host, "ready")
        elif what == "hang":
            host.hanging = True
        elif what == "slow":
            host.host.slowdown = value
        elif what == "failing":
            host.failing = value
        else:
            host.hanging, host.failing, host.host.slowdown = False, 0.0, 1.0


async def _main() -> None:
    loop = asyncio.get_running_loop()
    reader, first_line, note = await connect_to_lab("world")
    environment = LabEnvironment(Scenario.model_validate(first_line["scenario"]), note, loop)
    send_to_lab(ports=environment.ports())
    while line := await reader.readline():
        environment.schedule_faults(orjson.loads(line)["t0"])
    note.close()


if __name__ == "__main__":
    uvloop.run(_main())
