"""Settings of a gateway, and the hosts that discovery lists.

All times are in milliseconds on the caller's clock, all amounts in quota units.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from hillmux.interface.results import HostStatus, Idempotency, KeyScope


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A request class: its priority, latency objective, deadline and idempotency."""

    name: str
    latency_objective_ms: float
    deadline_ms: float
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0  # for answers between objective and deadline
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    key_scope: KeyScope = KeyScope.GLOBAL
    idempotency_window_ms: float = 0.0  # how long hosts recognise a key
    streaming: bool = False


@dataclass(slots=True, frozen=True)
class Plan:
    """A plan: the quota, the ceiling and the request priority of each of its customers."""

    name: str
    rate: float = 0.0  # quota units per second; 0: no quota
    burst: float = 0.0
    priority_weight: float = 1.0
    over_quota_weight: float = 0.0
    over_quota_cost: float = 0.0
    ceiling_rate: float = 0.0  # quota units per second; 0: no ceiling
    ceiling_burst: float = 0.0
    ceiling_tolerance: float = 0.0
    max_concurrency: int = 0  # open requests of a customer, over all gateways; 0: unlimited


@dataclass(slots=True, frozen=True)
class Settings:
    """Settings of one gateway."""

    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...] = ()
    gateway_index: int = 0  # number of this gateway, from 0 to `fleet_size` - 1
    fleet_size: int = 1
    zone: str = ""
    max_attempts: int = 1
    hedging_allowed: bool = False
    cancellation_allowed: bool = False
    max_retry_after_ms: float = 0.0
    health_checks_allowed: bool = False
    gossip_allowed: bool = False
    must_subscribe: bool = False  # discovery sends the endpoint list only to subscribers
    counter_available: bool = False
    max_request_units: float = math.inf
    max_customers: int = 8192  # tracked at once; bounds the memory used under a flood of new names
    counter_timeout_ms: float = 50.0
    actual_units_reported: bool = False
    usage_period_ms: float = 0.0
    clock_resolution_ms: float = 1.0
    answer_slack_ms: float = 0.0
    drain_grace_ms: float = 0.0
    slow_start_min_share: float = 1.0  # share of its capacity that a host has right after its start
    slow_start_ms: float = 0.0
    overload_multiple: float = 1.0
    overload_after_ms: float = 0.0

    def check(self) -> None:
        """Validate the settings.

        Raises:
            ValueError: a setting is invalid; the message names the platform's field, the value found and the
                values allowed.
        """
        if not self.classes:
            raise ValueError("classes: found none, expected at least one")
        if self.fleet_size < 1:
            raise ValueError(f"fleet_size: found {self.fleet_size}, expected 1 or more")
        if self.max_customers < 1:
            raise ValueError(f"most_customers: found {self.max_customers}, expected 1 or more")
        _check_unique("classes", [c.name for c in self.classes])
        _check_unique("plans", [p.name for p in self.plans])
        if not 0 <= self.gateway_index < self.fleet_size:
            raise ValueError(
                f"me: found {self.gateway_index}, expected 0 to {self.fleet_size - 1}, below fleet_size"
            )
        for request_class in self.classes:
            _check_class(request_class)
        for plan in self.plans:
            _check_plan(plan)
        for field, value in (
            ("cold_ms", self.slow_start_ms),
            ("fall_multiple", self.overload_multiple),
            ("tip_after_ms", self.overload_after_ms),
            ("tick_ms", self.clock_resolution_ms),
            ("try_limit", self.max_attempts),
        ):
            if value < 0:
                raise ValueError(f"{field}: found {value:g}, expected 0 or more")


def _check_unique(field: str, names: list[str]) -> None:
    repeated = sorted({name for name in names if names.count(name) > 1})
    if repeated:
        raise ValueError(f"{field}: found {repeated[0]!r} twice, expected each name once")


def _check_class(request_class: RequestClass) -> None:
    prefix = f"classes[{request_class.name}]"
    for field, value in (
        ("aim_ms", request_class.latency_objective_ms),
        ("deadline_ms", request_class.deadline_ms),
    ):
        if value <= 0:
            raise ValueError(f"{prefix}.{field}: found {value:g}, expected above 0")
    if request_class.idempotency not in tuple(Idempotency):
        found = str(request_class.idempotency)
        raise ValueError(f"{prefix}.effect: found {found!r}, expected safe, keyed or unsafe")
    if request_class.key_scope not in tuple(KeyScope):
        found = str(request_class.key_scope)
        raise ValueError(f"{prefix}.key_scope: found {found!r}, expected all, zone or cell")


def _check_plan(plan: Plan) -> None:
    for field, value in (
        ("rate", plan.rate),
        ("burst", plan.burst),
        ("ceiling_rate", plan.ceiling_rate),
        ("ceiling_burst", plan.ceiling_burst),
        ("ceiling_slack", plan.ceiling_tolerance),
        ("parallel", plan.max_concurrency),
    ):
        if value < 0:
            raise ValueError(f"plans[{plan.name}].{field}: found {value:g}, expected 0 or more")


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One host of the endpoint list."""

    name: str
    zone: str = ""
    cell: int = 0
    status: HostStatus = HostStatus.UP
    capacity: float = 1.0
    started_at_ms: float = 0.0  # 0: started long ago, no slow start needed
    pool: str = ""  # the host serves only requests that name this pool
