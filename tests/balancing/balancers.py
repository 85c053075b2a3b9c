"""Creates load balancers with endpoints for tests."""

from __future__ import annotations

import random

from conftest import settings

from hillmux import interface as api
from hillmux.balancing.load_balancer import LoadBalancer
from hillmux.interface import Idempotency, KeyScope, ListKind

KEYED_CLASSES = (
    api.RequestClass(
        "zoned",
        1000,
        2000,
        idempotency=Idempotency.KEYED,
        key_scope=KeyScope.ZONE,
        idempotency_window_ms=2000,
    ),
    api.RequestClass(
        "celled",
        1000,
        2000,
        idempotency=Idempotency.KEYED,
        key_scope=KeyScope.CELL,
        idempotency_window_ms=2000,
    ),
)


def make_balancer(hosts: int = 0, seed: int = 1, **changes: object) -> LoadBalancer:
    balancer_settings = settings(
        slow_start_ms=10_000.0,
        slow_start_min_share=0.2,
        overload_after_ms=2000.0,
        overload_multiple=3.0,
        **changes,
    )
    balancer = LoadBalancer(balancer_settings, random.Random(seed))
    balancer.now = 100_000.0
    balancer.update_endpoints(api.EndpointList(ListKind.FULL, tuple(endpoint(i) for i in range(hosts))))
    return balancer


def endpoint(i: int, **changes: object) -> api.Endpoint:
    values: dict[str, object] = {"zone": f"z{i % 3}", "cell": i % 2, "capacity": 1.0}
    return api.Endpoint(f"h{i}", **values | changes)  # type: ignore[arg-type]
