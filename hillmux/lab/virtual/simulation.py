"""A fleet in virtual time: gateways, hosts, counter, discovery and clients.

The gateways run the real decision module; everything else is a model. The value of a request is its priority
weight times its units; it counts as served if the request is within its quota and answered within its class's
latency objective. A client's retries are part of its request. The same model and seed give the same results.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from hillmux import interface as api
from hillmux.interface import HostStatus, ListKind
from hillmux.lab.random_streams import Stream, generator
from hillmux.lab.record import Note
from hillmux.lab.traffic import PlannedRequest
from hillmux.lab.virtual.clients import SimulatedClients
from hillmux.lab.virtual.counter import SimulatedCounter
from hillmux.lab.virtual.discovery import SimulatedDiscovery
from hillmux.lab.virtual.gateway import SimulatedGateway
from hillmux.lab.virtual.hosts import DRAINING, SimulatedHost
from hillmux.lab.virtual.ledger import QuotaLedger
from hillmux.lab.virtual.loop import VirtualLoop
from hillmux.lab.virtual.model import START_MS, SimulationFigures, SimulationModel
from hillmux.lab.virtual.settings import gateway_settings

HOST_SPEED_SIGMA = 0.12  # sigma of the lognormal distribution of the hosts' speeds
SAME_ZONE_DELAY_MS, OTHER_ZONE_DELAY_MS = 0.25, 1.0  # one-way network delay
TAIL_S = 12.0  # time after the end of the traffic in which open requests end
RECORDED_STATES = {HostStatus.UP: "ready", HostStatus.REMOVED: "gone"}  # names in the lab's records


class Simulation:
    """One simulated fleet; it is the `Environment` of its gateways."""

    client_delay_ms = 0.6
    counter_delay_ms = 1.0
    connect_timeout_ms = 250.0
    idle_timeout_ms = 30_000.0

    def __init__(self, model: SimulationModel, seed: int) -> None:
        self.model, self.seed = model, seed
        self.loop = VirtualLoop(START_MS)
        self.stream = Stream(seed, "network")
        self.counter = SimulatedCounter(self.loop, model.counter)
        self.hosts: dict[str, SimulatedHost] = {}
        self.connections = self.attempts = self.counter_calls = self.counter_calls_failed = 0
        self.figures = SimulationFigures()
        self.reject_reasons: Counter[str] = Counter()
        self.gateway_starts = 0
        self.note: Note | None = None  # records an event as in `lab.record`; None: nothing is recorded
        self._failover_at: dict[int, float] = {}  # virtual time by the number of a dead gateway
        self._ledger = QuotaLedger(self.loop, self.figures)
        self._discovery = SimulatedDiscovery(
            self.loop, self.stream, model.gateways, model.discovery_delay_ms, self._endpoint_changed
        )
        speeds = generator(seed, "hosts").lognormal(0.0, HOST_SPEED_SIGMA, size=model.hosts)
        for number in range(model.hosts):
            host = self._create_host(f"h{number}", float(speeds[number]))
            self._discovery.add(_endpoint(host, HostStatus.UP))
        self.gateways = [self._create_gateway(number) for number in range(model.gateways)]
        self.clients = SimulatedClients(self.loop, model, seed, self, self._ledger, self.figures)

    def run(self, until_s: float | None = None) -> SimulationFigures:
        """Run until `until_s` after the start, by default until `TAIL_S` after the end of the traffic."""
        until_s = until_s if until_s is not None else self.model.traffic.length_s + TAIL_S
        self.loop.run(START_MS + 1000 * until_s)
        self.figures.hosts_overloaded = sum(host.overloaded for host in self.hosts.values())
        return self.figures

    # --- Environment of the gateways ---

    def zone_of(self, number: int) -> str:
        """Return the zone of a gateway."""
        return self.model.zones[number % len(self.model.zones)]

    def network_delay_ms(self, a: str, b: str) -> float:
        """Draw the delay of one message between machines in two zones."""
        return (SAME_ZONE_DELAY_MS if a == b else OTHER_ZONE_DELAY_MS) * self.stream.uniform(1.0, 1.3)

    def settings(self, number: int) -> api.Settings:
        """Return the settings with which a gateway starts."""
        return gateway_settings(self.model, number, self.zone_of(number))

    def request_forwarded(self, planned: PlannedRequest) -> None:
        """Record that the first attempt of a request has reached a host."""
        self._ledger.forward(planned)

    # --- Hosts ---

    def add_host(self, name: str, speed: float = 1.0, started: bool = False) -> SimulatedHost:
        """Add a host and publish it.

        Args:
            name: The host's name.
            speed: Its speed relative to that of the model's host.
            started: Whether it has just started, so that it has a slow start.
        """
        host = self._create_host(name, speed)
        if started:
            host.start()
        self._discovery.publish(_endpoint(host, HostStatus.UP))
        return host

    def _create_host(self, name: str, speed: float) -> SimulatedHost:
        zone = self.model.zones[len(self.hosts) % len(self.model.zones)]
        model = replace(self.model.host, speed=self.model.host.speed * speed)
        host = self.hosts[name] = SimulatedHost(self.loop, name, zone, model)
        return host

    def drain_host(self, name: str) -> None:
        """Let a host reject new attempts, and publish it as draining."""
        self.hosts[name].state = DRAINING
        self._discovery.publish(_endpoint(self.hosts[name], HostStatus.DRAINING))

    def list_host(self, name: str) -> None:
        """Publish a host as up."""
        self._discovery.publish(_endpoint(self.hosts[name], HostStatus.UP))

    def remove_host(self, name: str) -> None:
        """Stop a host's process, and publish its removal from the list."""
        self.hosts[name].stop()
        self._discovery.publish(_endpoint(self.hosts[name], HostStatus.REMOVED))

    def restart_host(self, name: str) -> None:
        """Start a host's process again under the same name, with a slow start, and publish it as up."""
        host = self.hosts[name]
        host.start()
        if self.note is not None:
            self.note(name, "up", started=True)
        self._discovery.publish(_endpoint(host, HostStatus.UP))

    def disconnect_host(self, name: str, disconnected: bool) -> None:
        """Disconnect or reconnect a host. Disconnected, it keeps its connections open but answers nothing."""
        self.hosts[name].reachable = not disconnected

    def _endpoint_changed(self, number: int, endpoint: api.Endpoint) -> None:
        if self.note is not None:
            state = RECORDED_STATES.get(endpoint.status, endpoint.status.value)
            self.note(f"g{number}", "told", host=endpoint.name, state=state, started=endpoint.started_at_ms)
        self.gateways[number].handle(api.EndpointList(ListKind.CHANGES, (endpoint,)))

    # --- Gateways ---

    def kill_gateway(self, number: int) -> None:
        """Kill a gateway; clients still send requests to it for `failover_delay_ms`."""
        if self.note is not None:
            self.note(f"g{number}", "kill")
        self.gateways[number].kill()
        self._failover_at[number] = self.loop.now + self.model.failover_delay_ms

    def start_gateway(self, number: int) -> None:
        """Start a gateway again, without its former state."""
        if self.note is not None:
            self.note(f"g{number}", "start")
            self.note(f"g{number}", "ready")
        self.gateways[number] = self._create_gateway(number)
        self._failover_at.pop(number, None)

    def has_failed_over(self, number: int) -> bool:
        """Return whether requests for a dead gateway are sent to another one by now."""
        failover_at = self._failover_at.get(number)
        return failover_at is not None and self.loop.now >= failover_at

    def _create_gateway(self, number: int) -> SimulatedGateway:
        self.gateway_starts += 1
        seed = int(generator(self.seed, f"gateway.{number}.{self.gateway_starts}").integers(1 << 61))
        gateway = SimulatedGateway(self, number, seed)
        gateway.handle(api.EndpointList(ListKind.CACHED, self._discovery.endpoints(number)))
        return gateway


def _endpoint(host: SimulatedHost, status: HostStatus) -> api.Endpoint:
    return api.Endpoint(host.name, host.zone, 0, status, 1.0, host.started_ms)
