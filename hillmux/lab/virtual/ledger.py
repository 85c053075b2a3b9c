"""Reference token buckets of all customers' quotas and ceilings, from which figures are computed.

No gateway sees them.
"""

from __future__ import annotations

from hillmux.lab.store import TokenBucket
from hillmux.lab.traffic import Customer, PlannedRequest
from hillmux.lab.virtual.loop import VirtualLoop
from hillmux.lab.virtual.model import START_MS, SimulationFigures


def value(planned: PlannedRequest) -> float:
    """Return the value of answering a request in time: priority weights of class and plan, times units."""
    return planned.request_class.worth * planned.customer.plan.worth * planned.units


class QuotaLedger:
    """Token buckets of each customer for offered requests, forwarded requests, and the ceiling."""

    def __init__(self, loop: VirtualLoop, figures: SimulationFigures) -> None:
        self._loop, self._figures = loop, figures
        self._offered: dict[str, TokenBucket] = {}
        self._quotas: dict[str, TokenBucket] = {}
        self._ceilings: dict[str, TokenBucket] = {}

    def offer(self, planned: PlannedRequest) -> bool:
        """Take the units of an offered request; return whether it is within the quota.

        All earlier requests that were within the quota count as served.
        """
        customer = planned.customer
        bucket = self._offered.get(customer.name)
        if bucket is None:
            bucket = self._offered[customer.name] = TokenBucket(
                customer.plan.rate, customer.plan.burst, START_MS
            )
        if bucket.refill(self._loop.now) < planned.units:
            return False
        bucket.available -= planned.actual_units
        return True

    def has_half_burst(self, customer: Customer) -> bool:
        """Return whether at least half of a customer's burst is unused."""
        bucket = self._quota(customer)
        return bucket.refill(self._loop.now) >= bucket.burst / 2

    def forward(self, planned: PlannedRequest) -> None:
        """Take the units of a forwarded request, and record those beyond the quota and the lowest ceiling."""
        bucket, figures = self._quota(planned.customer), self._figures
        figures.units_forwarded += planned.units
        if bucket.refill(self._loop.now) >= planned.units:
            bucket.available -= planned.actual_units
        else:
            figures.units_beyond_quota += planned.units
            figures.beyond_quota_cost += planned.customer.plan.over_cost * value(planned)
        ceiling = self._ceilings[planned.customer.name]
        if ceiling.rate > 0:
            ceiling.refill(self._loop.now)
            ceiling.available -= planned.units
            figures.lowest_ceiling = min(figures.lowest_ceiling, ceiling.available)

    def _quota(self, customer: Customer) -> TokenBucket:
        bucket = self._quotas.get(customer.name)
        if bucket is None:
            plan = customer.plan
            bucket = self._quotas[customer.name] = TokenBucket(plan.rate, plan.burst, START_MS)
            self._ceilings[customer.name] = TokenBucket(
                plan.ceiling * plan.rate, plan.ceiling * plan.burst, START_MS
            )
        return bucket
