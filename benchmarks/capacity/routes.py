"""What routes cost: the index from Host and path to a tenant's route."""

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

ROUTES_A_TENANT = 4
LEAST_ROUTES = 50_000  # in as many copies of the index as that takes: one of few routes fits in free room
REPEATS = 9
LOOK_UPS = 2_000
SETTINGS = api.Settings(classes=(api.RequestClass("read", 1, 1),))


def tenants_of(routes: int) -> list[Tenant]:
    """Tenants with so many routes in all, none of which is another's."""
    return [
        _tenant(number, min(ROUTES_A_TENANT, routes - first))
        for number, first in enumerate(range(0, routes, ROUTES_A_TENANT))
    ]


def _tenant(number: int, routes: int) -> Tenant:
    made = tuple(_route(number, place) for place in range(routes))
    name = f"t{number}"
    return Tenant(name, (f"{name}.example",), (b"/",), made, (Pool("main"),), SETTINGS)


def _route(tenant: int, place: int) -> Route:
    prefix = b"/api/v1/t%d/part-%d" % (tenant, place // 2)
    safe = place % 2 == 0
    methods = SAFE_METHODS if safe else CHANGING_METHODS
    return Route(f"r{place}", prefix, methods, (), "main", "read", "safe" if safe else "keyed")


def built(tenants: list[Tenant]) -> Router:
    """The index of these tenants."""
    router = Router()
    for tenant in tenants:
        router.put(tenant)
    return router


def entries(router: Router) -> int:
    """Places of tenants, and words of method and prefix, that the index holds."""
    return router.entry_count()


def measure(size: int, seed: int) -> Values:
    """So many routes: to build their index, and to find routes in it."""
    tenants = tenants_of(size)
    built(tenants)
    growth = MemoryGrowth()
    copies = [built(tenants) for _ in range(max(1, LEAST_ROUTES // size))]
    memory_mb = growth.mb() / len(copies)
    router = copies[0]
    rng = random.Random(seed)
    asked = [_request(rng.randrange(len(tenants))) for _ in range(LOOK_UPS)]
    _look_up(router, asked)
    return {
        "routes.lookup.us": 1e6 * statistics.median(_look_up(router, asked) for _ in range(REPEATS)),
        "routes.lookup.memory_mb": memory_mb,
        "routes.lookup.build_ms": 1e3 * median_cpu_s(lambda: built(tenants), REPEATS),
        "routes.lookup.entries": float(entries(router)),
    }


def _request(tenant: int) -> tuple[bytes, bytes]:
    return b"T%d.example:80" % tenant, b"/api/v1/t%d/part-0/partner-7?day=3" % tenant


def _look_up(router: Router, asked: list[tuple[bytes, bytes]]) -> float:
    """Processor seconds a request, from its Host and target to its route."""
    began = time.process_time()
    for host, url in asked:
        target = read_target(url, host, False)
        entry = router.find(target.host, target.path)
        assert entry is not None
        assert isinstance(Router.route(entry, b"GET", target.path, {}), Route)
    return (time.process_time() - began) / len(asked)


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
