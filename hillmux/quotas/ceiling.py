"""This gateway's part of a customer's ceiling.

The part is 1 / replicas of the ceiling's rate and burst, and is empty when the gateway starts.

Ceilings do not use the counter's totals, which may be lost or late. Invariant: the parts of all gateways
never add up to more than the customer's token bucket, whatever happens to messages, counters and clocks.
Together they fill no faster and hold no more than it, and a restart only loses units.
"""

from __future__ import annotations

from typing import Final

from hillmux import interface as api
from hillmux.quotas.state import QuotaState

ROUNDING_UNITS: Final = 1e-9  # tolerance for floating-point error in sums of units


def has_units(state: QuotaState, units: float, now: float) -> bool:
    """Refill the part up to `now` (ms) and return whether it holds so many units.

    The plan must have a ceiling.
    """
    plan = state.plan
    limit = plan.ceiling_burst / state.replicas
    gained = (now - state.ceiling_at) * plan.ceiling_rate / 1000 / state.replicas
    state.ceiling_remaining = min(limit, state.ceiling_remaining + gained)
    state.ceiling_at = now
    return units <= state.ceiling_remaining + ROUNDING_UNITS


def fill_start(state: QuotaState) -> float | None:
    """Return since when (ms) an empty part would have filled to its level; None without a ceiling."""
    rate = state.plan.ceiling_rate / 1000 / state.replicas
    return state.ceiling_at - state.ceiling_remaining / rate if rate > 0 else None


def fill_ms(plan: api.Plan) -> float:
    """Return the time (ms) in which an empty ceiling fills; 0 for a plan without one."""
    return 1000 * plan.ceiling_burst / plan.ceiling_rate if plan.ceiling_rate > 0 else 0.0
