"""A hollow probe of the connections between one gateway and its hosts: how many are kept, and dialled."""

from __future__ import annotations

import random

from benchmarks.capacity.probe import HOST, Probe, Values
from benchmarks.capacity.size import FULL
from hillmux import interface as api
from hillmux.decision.gateway import Gateway
from hillmux.interface import AttemptResult, ListKind
from hillmux.lab.virtual.loop import VirtualLoop

START_MS = 1.8e12  # the module's clock is the time of day
FIRST_S = 1.0  # after a start
WARM_S, MEASURED_S = 30.0, 20.0
KEPT_MS = (
    7_500.0  # half of `conn_idle_ms`, after which `hillmux.net.idle_connections` closes an idle connection
)
ANSWER_MS = 50.0  # mean time of a host, exponential
TIME_LEFT_MS = 2_000.0
READ = api.RequestClass("read", latency_objective_ms=1_000, deadline_ms=2_000)
OPEN = api.Plan("open")


class Connected:
    """One gateway's module at the full rate of requests, with the connections that its attempts would use.

    Times in milliseconds. An attempt takes a connection to its host that is kept and free, or dials one.
    """

    def __init__(self, hosts: int, seed: int) -> None:
        self.loop = VirtualLoop(START_MS)
        self.dials = 0
        self._free: dict[str, list[float]] = {}  # by host: since when each kept connection is free
        self._busy = 0
        self._serial = 0
        self._rng = random.Random(seed)
        place = self._rng.randrange(FULL.gateways)
        settings = api.Settings(
            (READ,), (OPEN,), gateway_index=place, fleet_size=FULL.gateways, max_attempts=3
        )
        self._gateway = Gateway(settings, seed)
        servers = (api.Endpoint(f"host-{i}", zone=f"z{i % FULL.zones}") for i in range(hosts))
        self._give(api.EndpointList(ListKind.FULL, tuple(servers)))
        self._arrive_later()

    def run(self, for_s: float) -> None:
        """Go on for a time."""
        self.loop.run(self.loop.now + 1_000 * for_s)

    def open_connections(self) -> int:
        """Connections that are busy, or kept and not yet retired."""
        return self._busy + sum(len(self._kept(host)) for host in self._free)

    def hosts_connected(self) -> int:
        """Hosts to which a free connection is kept."""
        return sum(1 for host in self._free if self._kept(host))

    def _kept(self, host: str) -> list[float]:
        since = self.loop.now - KEPT_MS
        kept = self._free[host] = [free for free in self._free.get(host, ()) if free >= since]
        return kept

    def _arrive_later(self) -> None:
        self.loop.after(self._rng.expovariate(FULL.requests_per_gateway / 1_000), self._arrive)

    def _arrive(self) -> None:
        self._arrive_later()
        self._serial += 1
        customer = f"customer-{self._serial % 700:06}"
        self._give(api.Request(str(self._serial), READ.name, OPEN.name, customer, TIME_LEFT_MS))

    def _give(self, event: api.Event) -> None:
        for act in self._gateway.handle(self.loop.now, event):
            if isinstance(act, api.SendAttempt):
                self._send(act)
            elif isinstance(act, api.SetTimer):
                self.loop.after(act.delay_ms, self._give, api.TimerFired(act.name))

    def _send(self, act: api.SendAttempt) -> None:
        kept = self._kept(act.host)
        if kept:
            kept.pop()
        else:
            self.dials += 1
        self._busy += 1
        took = self._rng.expovariate(1 / ANSWER_MS)
        self.loop.after(took, self._answered, act, took)

    def _answered(self, act: api.SendAttempt, took_ms: float) -> None:
        self._busy -= 1
        self._free.setdefault(act.host, []).append(self.loop.now)
        self._give(api.AttemptEnded(act.request_id, 0, act.host, AttemptResult.OK, took_ms, True))


def measure(hosts: int, seed: int) -> Values:
    """A gateway from its start on, among so many hosts."""
    played = Connected(hosts, seed)
    played.run(FIRST_S)
    in_first_second = played.dials
    played.run(WARM_S)
    before = played.dials
    played.run(MEASURED_S)
    return {
        "hosts.connections.dials_in_first_second": float(in_first_second),
        "hosts.connections.dials_per_s": (played.dials - before) / MEASURED_S,
        "hosts.connections.open": float(played.open_connections()),
        "hosts.connections.hosts": float(played.hosts_connected()),
    }


PROBES = (
    Probe(
        name="hosts.connections",
        role=HOST,
        axis="hosts",
        sizes=(500, 1500, 4500, 9000),
        figures={
            "hosts.connections.dials_in_first_second": "dials of a gateway",
            "hosts.connections.dials_per_s": "dials/s of a gateway",
            "hosts.connections.open": "connections of a gateway",
            "hosts.connections.hosts": "hosts of a gateway",
        },
        measure=measure,
        small=50,
        note="one gateway of 710 at 197 requests/s; hosts answer in 50 ms on average (exponential) and close"
        " nothing early; no customer has a quota",
    ),
)
