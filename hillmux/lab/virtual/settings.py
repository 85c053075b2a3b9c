"""Settings of the decision module for the gateways of a simulation."""

from __future__ import annotations

from hillmux import interface as api
from hillmux.interface import Idempotency, KeyScope
from hillmux.lab.traffic import ClassTraffic, PlanTraffic
from hillmux.lab.virtual.model import SimulationModel

CEILING_TOLERANCE = 0.1  # share of the ceiling's burst
MAX_ATTEMPTS = 5
SLOW_START_MARGIN = 1.2  # ratio of the gateways' slow start time to that of the hosts
MAX_SLOW_START_SHARE = 0.16  # upper bound of the gateways' initial slow start share


def gateway_settings(model: SimulationModel, number: int, zone: str) -> api.Settings:
    """Return the settings of the gateway with this number."""
    return api.Settings(
        classes=tuple(_request_class(traffic) for traffic in model.traffic.classes),
        plans=tuple(_plan(traffic, model.traffic.most_units) for traffic in model.traffic.plans),
        gateway_index=number,
        fleet_size=model.gateways,
        zone=zone,
        max_attempts=MAX_ATTEMPTS,
        hedging_allowed=True,
        cancellation_allowed=True,
        max_retry_after_ms=model.max_retry_after_ms,
        counter_available=True,
        max_request_units=model.traffic.most_units,
        counter_timeout_ms=model.counter_timeout_ms,
        actual_units_reported=True,
        clock_resolution_ms=4.0,
        drain_grace_ms=1000.0,
        slow_start_min_share=min(model.host.slow_start_min_share, MAX_SLOW_START_SHARE),
        slow_start_ms=SLOW_START_MARGIN * model.host.slow_start_ms,
        overload_multiple=model.host.overload_multiple,
        overload_after_ms=model.host.overload_after_ms,
    )


def _request_class(traffic: ClassTraffic) -> api.RequestClass:
    return api.RequestClass(
        name=traffic.name,
        latency_objective_ms=traffic.aim_ms,
        deadline_ms=traffic.deadline_ms,
        priority_weight=traffic.worth,
        late_priority_weight=0.0,
        idempotency=Idempotency(traffic.effect),
        key_scope=KeyScope.GLOBAL,
        idempotency_window_ms=traffic.window_ms,
    )


def _plan(traffic: PlanTraffic, max_units: float) -> api.Plan:
    return api.Plan(
        name=traffic.name,
        rate=traffic.rate,
        burst=traffic.burst,
        priority_weight=traffic.worth,
        over_quota_weight=traffic.over_worth,
        over_quota_cost=traffic.over_cost,
        ceiling_rate=traffic.ceiling * traffic.rate,
        ceiling_burst=traffic.ceiling * traffic.burst,
        ceiling_tolerance=max(CEILING_TOLERANCE * traffic.ceiling * traffic.burst, max_units),
    )
