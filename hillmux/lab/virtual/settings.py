"""Settings of the decision module for the gateways of a simulation."""

from __future__ import annotations

from hillmux import interface as api
from hillmux.interface import Idempotency, KeyScope
from hillmux.lab.traffic import ClassTraffic, PlanTraffic
from hillmux.lab.virtual.model import SimulationModel

CEILING_TOLERANCE = 0.1  # of the ceiling's burst
MAX_ATTEMPTS = 5
SLOW_START_MARGIN = 1.2  # the settings' slow start lasts so many times as long as a host's
MAX_SLOW_START_SHARE = 0.16


def gateway_settings(model: SimulationModel, number: int, zone: str) -> api.Settings:
    """Settings of the gateway of this number."""
    return api.Settings(
        classes=tuple(_request_class(one) for one in model.traffic.classes),
        plans=tuple(_plan(one, model.traffic.most_units) for one in model.traffic.plans),
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


def _request_class(one: ClassTraffic) -> api.RequestClass:
    return api.RequestClass(
        name=one.name,
        latency_objective_ms=one.aim_ms,
        deadline_ms=one.deadline_ms,
        priority_weight=one.worth,
        late_priority_weight=0.0,
        idempotency=Idempotency(one.effect),
        key_scope=KeyScope.GLOBAL,
        idempotency_window_ms=one.window_ms,
    )


def _plan(one: PlanTraffic, max_units: float) -> api.Plan:
    return api.Plan(
        name=one.name,
        rate=one.rate,
        burst=one.burst,
        priority_weight=one.worth,
        over_quota_weight=one.over_worth,
        over_quota_cost=one.over_cost,
        ceiling_rate=one.ceiling * one.rate,
        ceiling_burst=one.ceiling * one.burst,
        ceiling_tolerance=max(CEILING_TOLERANCE * one.ceiling * one.burst, max_units),
    )
