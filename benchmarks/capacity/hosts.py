"""Costs of a gateway's list of hosts: size, parsing, applying, one change, memory, and host selection."""

from __future__ import annotations

import gc
import json
import statistics

from benchmarks.capacity import listings
from benchmarks.capacity.probe import GATEWAY, Probe, Values
from benchmarks.capacity.resources import MemoryGrowth, median_cpu_s
from benchmarks.module_worker import Play, settings
from hillmux import interface as api
from hillmux.decision.gateway import Gateway
from hillmux.interface import ListKind
from hillmux.net.discovery_response import DiscoveryResponse, parse_discovery_response

CUSTOMERS = 700  # 62,000 tenants over 710 gateways, eight gateways each
REPEATS = 7
CHANGES = 200  # changes applied in one measurement
REQUESTS_PER_SERIES = 2_000
AS_SOURCE = "the module as source; the compiled build, which the platform runs, costs about half"


def parse_listing(body: bytes) -> DiscoveryResponse:
    """Parse a response body as `hillmux.net.discovery_watch.DiscoveryWatch` does."""
    return parse_discovery_response(json.loads(body))


class EndpointListReceiver:
    """A decision module that receives endpoint lists and changes."""

    def __init__(self, seed: int) -> None:
        self.now_ms = 1e6
        self._gateway = Gateway(settings(CUSTOMERS), seed)

    def apply(self, listing: DiscoveryResponse) -> None:
        """Pass a discovery response to the decision module, 1 ms after the previous one."""
        self.now_ms += 1.0
        kind = ListKind.FULL if listing.is_full else ListKind.CHANGES
        self._gateway.handle(self.now_ms, api.EndpointList(kind, listing.endpoints))


def measure_list(size: int, seed: int) -> Values:
    """Measure one list of `size` hosts, and changes of one host each."""
    hosts = listings.instances(size, seed)
    body = listings.full_list(hosts)
    changes = [
        listings.single_change(hosts[i // 2 * 7 % size], 100_001 + i, i % 2 == 0) for i in range(CHANGES)
    ]
    warm_up = EndpointListReceiver(seed)
    warm_up.apply(parse_listing(listings.full_list(hosts[:10])))  # fills imports and caches first
    growth = MemoryGrowth()
    receiver, listing = EndpointListReceiver(seed), parse_listing(body)
    receiver.apply(listing)
    module_mb = growth.mb()
    receivers = iter([EndpointListReceiver(seed) for _ in range(REPEATS)])
    return {
        "hosts.list.bytes": float(len(body)),
        "hosts.list.parse_ms": 1e3 * median_cpu_s(lambda: parse_listing(body), REPEATS),
        "hosts.list.apply_ms": 1e3 * median_cpu_s(lambda: next(receivers).apply(listing), REPEATS),
        "hosts.list.change_us": 1e6 / CHANGES * median_cpu_s(lambda: _apply_all(receiver, changes), REPEATS),
        "hosts.list.change_bytes": statistics.fmean(map(len, changes)),
        "hosts.list.module_mb": module_mb,
    }


def _apply_all(receiver: EndpointListReceiver, bodies: list[bytes]) -> None:
    for body in bodies:
        receiver.apply(parse_listing(body))


class ChoicePlay(Play):
    """A simulated gateway whose timers are timed separately from its requests.

    Attributes:
        sweeps_s: processor time of each timer event so far, in seconds.
    """

    def __init__(self, hosts: int, seed: int) -> None:
        self.sweeps_s: list[float] = []
        super().__init__(hosts, CUSTOMERS, seed=seed)

    def handle_event(self, event: api.Event) -> None:
        """Pass an event to the decision module; a timer's time goes to `sweeps_s` only."""
        spent_before = self.module_time_s
        super().handle_event(event)
        if isinstance(event, api.TimerFired):
            self.sweeps_s.append(self.module_time_s - spent_before)
            self.module_time_s = spent_before

    def request_s(self) -> float:
        """Mean time in the decision module per request, in seconds, over one series of requests."""
        requests = self.requests(REQUESTS_PER_SERIES)
        self.module_time_s = 0.0
        gc.disable()
        self.run(requests)
        gc.enable()
        return self.module_time_s / REQUESTS_PER_SERIES


def measure_choice(size: int, seed: int) -> Values:
    """Measure host selection among `size` hosts, and the sweeps between requests."""
    play = ChoicePlay(size, seed)
    play.request_s()
    play.sweeps_s.clear()
    request_s = statistics.median(play.request_s() for _ in range(REPEATS))
    return {
        "hosts.choice.us_per_request": 1e6 * request_s,
        "hosts.choice.sweep_us": 1e6 * statistics.median(play.sweeps_s),
    }


PROBES = (
    Probe(
        name="hosts.list",
        role=GATEWAY,
        axis="hosts in the list",
        sizes=(500, 1500, 4500, 9000),
        figures={
            "hosts.list.bytes": "bytes",
            "hosts.list.parse_ms": "ms of a core",
            "hosts.list.apply_ms": "ms of a core",
            "hosts.list.change_us": "us of a core a change",
            "hosts.list.change_bytes": "bytes a change",
            "hosts.list.module_mb": "MB",
        },
        measure=measure_list,
        small=50,
        note=f"headers of the answer, and the hosts' connections; {AS_SOURCE}",
    ),
    Probe(
        name="hosts.choice",
        role=GATEWAY,
        axis="hosts",
        sizes=(10, 100, 1000, 9000),
        figures={
            "hosts.choice.us_per_request": "us in the module a request",
            "hosts.choice.sweep_us": "us in the module a sweep",
        },
        measure=measure_choice,
        small=10,
        note=f"sockets; a request's outcome and counter calls are in; {AS_SOURCE}",
    ),
)
