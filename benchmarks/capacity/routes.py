"""Costs of routes: the index from Host and path to a tenant's route."""

from __future__ import annotations

import random
import statistics
import time

from benchmarks.capacity.probe import GATEWAY, Probe, Values
from benchmarks.capacity.resources import MemoryGrowth, median_cpu_s
from hillmux import interface as api
from hillmux.tenants import Router
from hillmux.tenants.model import CHANGING_METHODS, SAFE_METHODS, Pool, Route, Tenant
from hillmux.tenants.target import read_target

ROUTES_PER_TENANT = 4
MIN_TOTAL_ROUTES = 50_000  # over several copies of the index: a small one fits in free heap memory
REPEATS = 9
LOOKUPS = 2_000
SETTINGS = api.Settings(classes=(api.RequestClass("read", 1, 1),))


def make_tenants(routes: int) -> list[Tenant]:
    """Tenants with `routes` routes in all, each different from the others."""
    return [
        _tenant(number, min(ROUTES_PER_TENANT, routes - first))
        for number, first in enumerate(range(0, routes, ROUTES_PER_TENANT))
    ]


def _tenant(number: int, routes: int) -> Tenant:
    route_list = tuple(_route(number, position) for position in range(routes))
    name = f"t{number}"
    return Tenant(name, (f"{name}.example",), (b"/",), route_list, (Pool("main"),), SETTINGS)


def _route(tenant: int, position: int) -> Route:
    prefix = b"/api/v1/t%d/part-%d" % (tenant, position // 2)
    safe = position % 2 == 0
    methods = SAFE_METHODS if safe else CHANGING_METHODS
    return Route(f"r{position}", prefix, methods, (), "main", "read", "safe" if safe else "keyed")


def build_router(tenants: list[Tenant]) -> Router:
    """Build the index of these tenants."""
    router = Router()
    for tenant in tenants:
        router.put(tenant)
    return router


def entry_count(router: Router) -> int:
    """Entries in the index: one for each tenant, and one for each method of a route's prefix."""
    return router.entry_count()


def measure(size: int, seed: int) -> Values:
    """Measure building the index of `size` routes, and lookups in it."""
    tenants = make_tenants(size)
    build_router(tenants)
    growth = MemoryGrowth()
    copies = [build_router(tenants) for _ in range(max(1, MIN_TOTAL_ROUTES // size))]
    memory_mb = growth.mb() / len(copies)
    router = copies[0]
    rng = random.Random(seed)
    requests = [_request(rng.randrange(len(tenants))) for _ in range(LOOKUPS)]
    _lookup_s(router, requests)
    return {
        "routes.lookup.us": 1e6 * statistics.median(_lookup_s(router, requests) for _ in range(REPEATS)),
        "routes.lookup.memory_mb": memory_mb,
        "routes.lookup.build_ms": 1e3 * median_cpu_s(lambda: build_router(tenants), REPEATS),
        "routes.lookup.entries": float(entry_count(router)),
    }


def _request(tenant: int) -> tuple[bytes, bytes]:
    return b"T%d.example:80" % tenant, b"/api/v1/t%d/part-0/partner-7?day=3" % tenant


def _lookup_s(router: Router, requests: list[tuple[bytes, bytes]]) -> float:
    """Processor time per request from Host and target to the route, in seconds."""
    started = time.process_time()
    for host, url in requests:
        target = read_target(url, host, False)
        entry = router.find(target.host, target.path)
        assert entry is not None
        assert isinstance(Router.route(entry, b"GET", target.path, {}), Route)
    return (time.process_time() - started) / len(requests)


PROBES = (
    Probe(
        name="routes.lookup",
        role=GATEWAY,
        axis="routes",
        sizes=(100, 1300, 2600, 5200),
        figures={
            "routes.lookup.us": "us of a core a request",
            "routes.lookup.memory_mb": "MB",
            "routes.lookup.build_ms": "ms of a core",
            "routes.lookup.entries": "entries",
        },
        measure=measure,
        small=40,
        note="the tenants themselves, which the registry holds; four routes a tenant, none alike",
    ),
)
