"""Admission control by SiRED: the admit fraction falls as the smoothed occupancy of the hosts rises.

Occupancy is the share of its latency objective that a response takes. Its smoothed value maps to a fraction
of requests to admit, which an accumulator per class and plan turns into a decision on each request. Fractions
are staggered, so that requests with the least priority per work are shed first.
"""

from __future__ import annotations

from typing import Final

from hillmux import interface as api
from hillmux.decision.context import HOUSEKEEPING_INTERVAL_MS, DecisionContext, LogSubject
from hillmux.decision.latency import LatencyEstimates
from hillmux.decision.occupancy import MAX_OCCUPANCY, MIN_OCCUPANCY, OccupancyEstimator
from hillmux.quotas.quotas import Quotas

MIN_ADMIT_FRACTION: Final = 0.05
BEYOND_QUOTA_OCCUPANCY: Final = 0.5 * MIN_OCCUPANCY  # requests beyond their quota may be admitted below this
LOGGED_ADMIT_FRACTION: Final = 0.9  # lower fractions are logged
ADMIT_THRESHOLD: Final = 1.0 - 1e-9  # a sum of fractions may be so much below 1 by rounding


def admit_fraction_for(occupancy: float) -> float:
    """Return the SiRED admit fraction for a smoothed occupancy."""
    slope = (MAX_OCCUPANCY - occupancy) / (MAX_OCCUPANCY - MIN_OCCUPANCY)
    return max(MIN_ADMIT_FRACTION, min(slope, 1.0))


class AdmissionShare:
    """Requests of one class and plan: their priority, their work and their admit fraction."""

    __slots__ = ("priority_per_work", "work", "admit_fraction", "accumulator")

    def __init__(self) -> None:
        self.priority_per_work = 0.0  # priority weight per ms of expected latency per quota unit
        self.work = 0.0  # expected work of recent requests in ms, decaying
        self.admit_fraction = 1.0
        self.accumulator = 0.0


class AdmissionControl:
    """Admits or sheds requests by the occupancy of the hosts."""

    __slots__ = (
        "_context",
        "_quotas",
        "_latency",
        "_occupancy",
        "admit_fraction",
        "shares",
    )

    def __init__(
        self,
        context: DecisionContext,
        quotas: Quotas,
        latency: LatencyEstimates,
        occupancy: OccupancyEstimator,
    ) -> None:
        self._context = context
        self._quotas = quotas
        self._latency = latency
        self._occupancy = occupancy
        self.admit_fraction = 1.0
        self.shares: dict[tuple[str, str], AdmissionShare] = {}  # by class name and plan name

    def admits(self, request_class: api.RequestClass, plan: api.Plan, work: float) -> bool:
        """Whether a request with `work` (ms) is admitted; each call counts as one of its class and plan."""
        key = (request_class.name, plan.name)
        share = self.shares.get(key)
        if share is None:
            share = self.shares[key] = AdmissionShare()
        latency = self._latency.by_class[request_class.name]
        share.priority_per_work = (
            request_class.priority_weight * plan.priority_weight / (latency.mean_ms / latency.mean_units)
        )
        share.work += work
        accumulator = share.accumulator + share.admit_fraction
        if accumulator < ADMIT_THRESHOLD:
            share.accumulator = accumulator
            return False
        share.accumulator = accumulator - 1.0 if accumulator > 1.0 else 0.0
        return True

    def reject(self, request_id: str, reason: api.RejectReason, wait_ms: float = 0.0) -> None:
        """Reject a request; Retry-After is `wait_ms`, or longer while load is shed, within its maximum."""
        wait_ms = max(wait_ms, HOUSEKEEPING_INTERVAL_MS / self.admit_fraction)
        wait_ms = min(wait_ms, self._context.settings.max_retry_after_ms)
        self._context.actions.append(api.Reject(request_id, wait_ms, reason))

    def has_spare_capacity(self) -> bool:
        """Whether the hosts have capacity for requests beyond their quota."""
        return self._occupancy.smoothed < BEYOND_QUOTA_OCCUPANCY

    def decay_work(self, factor: float) -> None:
        """Multiply the work of earlier requests by `factor`."""
        for share in self.shares.values():
            share.work *= factor

    def retain_classes(self, names: set[str]) -> None:
        """Drop the shares of classes that have none of these names."""
        self.shares = {key: share for key, share in self.shares.items() if key[0] in names}

    def reset(self) -> None:
        """Return to the state of a new gateway, which admits all requests."""
        self._occupancy.reset()
        self.admit_fraction = 1.0
        self._quotas.shedding_load = False
        for share in self.shares.values():
            share.admit_fraction = 1.0
            share.accumulator = 0.0

    def update(self) -> None:
        """Update the occupancy, and the admit fractions that follow from it."""
        self._occupancy.update()
        self.admit_fraction = admit_fraction_for(self._occupancy.estimate())
        self._quotas.shedding_load = self.admit_fraction < 1
        self._stagger_fractions()
        if self.admit_fraction < LOGGED_ADMIT_FRACTION:
            self._context.log_rate_limited(
                LogSubject.OVERLOAD,
                f"back end pressed: q {self._occupancy.smoothed:.2f}, letting in {self.admit_fraction:.0%}",
            )

    def _stagger_fractions(self) -> None:
        """Assign the admitted work to the shares in order of priority per work; its sum stays the same."""
        total_work = sum(share.work for share in self.shares.values())
        higher_part = 0.0  # part of the work that has a higher priority
        for share in sorted(self.shares.values(), key=lambda share: -share.priority_per_work):
            part = share.work / total_work if total_work > 0 else 1.0
            if part > 0:
                fraction = (self.admit_fraction - higher_part) / part
                share.admit_fraction = max(MIN_ADMIT_FRACTION, min(fraction, 1.0))
            else:
                share.admit_fraction = self.admit_fraction
            higher_part += part
