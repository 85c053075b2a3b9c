"""A hollow probe of the connections between one gateway and its hosts: how many are open, and dialled."""

from __future__ import annotations

import random

from benchmarks.capacity.probe import HOST, Probe, Values
from benchmarks.capacity.size import FULL
from hillmux import interface as api
from hillmux.decision.gateway import Gateway
from hillmux.interface import AttemptResult, ListKind
from hillmux.lab.virtual.loop import VirtualLoop

START_MS = 1.8e12  # the module's clock is the time of day
STARTUP_S = 1.0  # first interval after the gateway's start
WARM_S, MEASURED_S = 30.0, 20.0
# Half of `conn_idle_ms`, after which `hillmux.net.idle_connections` closes an idle connection.
IDLE_CLOSE_MS = 7_500.0
HOST_RESPONSE_MS = 50.0  # mean response time of a host, exponentially distributed
TIME_LEFT_MS = 2_000.0
READ_CLASS = api.RequestClass("read", latency_objective_ms=1_000, deadline_ms=2_000)
UNLIMITED_PLAN = api.Plan("open")


class ConnectionModel:
    """One gateway's decision module at the full request rate, and a model of the connections to its hosts.

    Times are in milliseconds. An attempt reuses an idle connection to its host, or dials a new one.

    Attributes:
        dials: connections dialled so far.
    """

    def __init__(self, hosts: int, seed: int) -> None:
        self.loop = VirtualLoop(START_MS)
        self.dials = 0
        self._idle_since_ms: dict[str, list[float]] = {}  # by host: when each connection became idle
        self._busy_connections = 0
        self._request_number = 0
        self._rng = random.Random(seed)
        gateway_index = self._rng.randrange(FULL.gateways)
        settings = api.Settings(
            (READ_CLASS,),
            (UNLIMITED_PLAN,),
            gateway_index=gateway_index,
            fleet_size=FULL.gateways,
            max_attempts=3,
        )
        self._gateway = Gateway(settings, seed)
        endpoints = (api.Endpoint(f"host-{index}", zone=f"z{index % FULL.zones}") for index in range(hosts))
        self._handle_event(api.EndpointList(ListKind.FULL, tuple(endpoints)))
        self._schedule_arrival()

    def run(self, for_s: float) -> None:
        """Advance virtual time by `for_s` seconds."""
        self.loop.run(self.loop.now + 1_000 * for_s)

    def open_connections(self) -> int:
        """Connections that are busy, or idle and not yet closed."""
        return self._busy_connections + sum(len(self._reusable(host)) for host in self._idle_since_ms)

    def hosts_connected(self) -> int:
        """Number of hosts with an idle connection."""
        return sum(1 for host in self._idle_since_ms if self._reusable(host))

    def _reusable(self, host: str) -> list[float]:
        earliest = self.loop.now - IDLE_CLOSE_MS
        reusable = self._idle_since_ms[host] = [
            idle_since for idle_since in self._idle_since_ms.get(host, ()) if idle_since >= earliest
        ]
        return reusable

    def _schedule_arrival(self) -> None:
        self.loop.after(self._rng.expovariate(FULL.requests_per_gateway / 1_000), self._arrive)

    def _arrive(self) -> None:
        self._schedule_arrival()
        self._request_number += 1
        customer = f"customer-{self._request_number % 700:06}"
        self._handle_event(
            api.Request(
                str(self._request_number), READ_CLASS.name, UNLIMITED_PLAN.name, customer, TIME_LEFT_MS
            )
        )

    def _handle_event(self, event: api.Event) -> None:
        for action in self._gateway.handle(self.loop.now, event):
            if isinstance(action, api.SendAttempt):
                self._send(action)
            elif isinstance(action, api.SetTimer):
                self.loop.after(action.delay_ms, self._handle_event, api.TimerFired(action.name))

    def _send(self, action: api.SendAttempt) -> None:
        reusable = self._reusable(action.host)
        if reusable:
            reusable.pop()
        else:
            self.dials += 1
        self._busy_connections += 1
        latency_ms = self._rng.expovariate(1 / HOST_RESPONSE_MS)
        self.loop.after(latency_ms, self._finish_attempt, action, latency_ms)

    def _finish_attempt(self, action: api.SendAttempt, latency_ms: float) -> None:
        self._busy_connections -= 1
        self._idle_since_ms.setdefault(action.host, []).append(self.loop.now)
        self._handle_event(
            api.AttemptEnded(action.request_id, 0, action.host, AttemptResult.OK, latency_ms, True)
        )


def measure(hosts: int, seed: int) -> Values:
    """Run a gateway from its start with `hosts` hosts; returns its dials and open connections."""
    model = ConnectionModel(hosts, seed)
    model.run(STARTUP_S)
    in_first_second = model.dials
    model.run(WARM_S)
    before = model.dials
    model.run(MEASURED_S)
    return {
        "hosts.connections.dials_in_first_second": float(in_first_second),
        "hosts.connections.dials_per_s": (model.dials - before) / MEASURED_S,
        "hosts.connections.open": float(model.open_connections()),
        "hosts.connections.hosts": float(model.hosts_connected()),
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
