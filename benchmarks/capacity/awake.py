"""A hollow probe of awake tenants of the hosted service: memory of one decision module per tenant."""

from __future__ import annotations

import gc

from benchmarks.capacity.probe import GATEWAY, Probe, Values
from benchmarks.module_worker import memory_kb
from hillmux import interface as api
from hillmux.decision.gateway import Gateway
from hillmux.interface import AttemptResult, ListKind

START_MS = 1.8e12  # the module's clock is the time of day
KB_PER_MB = 1024.0
CUSTOMERS = 3  # of each tenant; each sends one request
HOST_RESPONSE_MS = 50.0
TIME_LEFT_MS = 2_000.0
READ_CLASS = api.RequestClass("read", latency_objective_ms=1_000, deadline_ms=2_000)
PLAN = api.Plan("plan", rate=5, burst=20, ceiling_rate=10, ceiling_burst=40)


def wake_tenant(seed: int) -> Gateway:
    """A tenant's decision module with one host, after one request from each of its customers."""
    gateway = Gateway(api.Settings((READ_CLASS,), (PLAN,), counter_available=True), seed)
    gateway.handle(START_MS, api.EndpointList(ListKind.FULL, (api.Endpoint("host-0"),)))
    for number in range(CUSTOMERS):
        _send_request(gateway, number)
    return gateway


def _send_request(gateway: Gateway, number: int) -> None:
    now = START_MS + number
    request = api.Request(str(number), READ_CLASS.name, PLAN.name, f"customer-{number}", TIME_LEFT_MS)
    actions = gateway.handle(now, request)
    increments = [action for action in actions if isinstance(action, api.IncrementCounter)]
    for increment in increments:
        actions += gateway.handle(
            now, api.CounterReply(increment.name, AttemptResult.OK, increment.amount, 1.0)
        )
    for action in actions:
        if isinstance(action, api.SendAttempt):
            outcome = api.AttemptEnded(
                action.request_id, 0, action.host, AttemptResult.OK, HOST_RESPONSE_MS, True
            )
            gateway.handle(now + HOST_RESPONSE_MS, outcome)


def measure(tenants: int, seed: int) -> Values:
    """Wake `tenants` tenants at once; returns the growth of resident memory."""
    first = wake_tenant(seed)  # allocates shared objects before the measurement
    gc.collect()
    before_kb = memory_kb()
    awake_tenants = [first, *(wake_tenant(seed + number) for number in range(tenants))]
    gc.collect()
    growth_kb = memory_kb() - before_kb
    assert len(awake_tenants) == tenants + 1
    return {"tenants.awake.memory_mb": growth_kb / KB_PER_MB}


PROBES = (
    Probe(
        name="tenants.awake",
        role=GATEWAY,
        axis="tenants of the hosted service awake at once",
        sizes=(100, 700, 2_000, 5_000),
        figures={"tenants.awake.memory_mb": "MB"},
        measure=measure,
        small=20,
        note="one host, three customers a tenant; connections, and what the service keeps beside the module",
    ),
)
