"""This gateway's part of a customer's ceiling.

The part is 1 / replicas of the ceiling's rate and burst, and empty at the gateway's start.

Ceilings are never shared by totals, which may be lost or late. Invariant: the parts of all gateways never sum
to more than the customer's store, whatever happens to messages, counters and clocks: they fill no faster,
hold no more, and a restart only loses what was held.
"""

from __future__ import annotations

from typing import Final

from hillmux import interface as api
from hillmux.quotas.state import QuotaState

ROUNDING_UNITS: Final = 1e-9  # what a sum of units may lack of a whole


def has_units(state: QuotaState, units: float, now: float) -> bool:
    """Fill the part up to `now` (ms); whether it holds so many units. The plan must have a ceiling."""
    plan = state.plan
    limit = plan.ceiling_burst / state.replicas
    gained = (now - state.ceiling_at) * plan.ceiling_rate / 1000 / state.replicas
    state.ceiling_remaining = min(limit, state.ceiling_remaining + gained)
    state.ceiling_at = now
    return units <= state.ceiling_remaining + ROUNDING_UNITS


def fill_start(state: QuotaState) -> float | None:
    """The moment (ms) from which an empty part would have filled to what is left; None without a ceiling."""
    rate = state.plan.ceiling_rate / 1000 / state.replicas
    return state.ceiling_at - state.ceiling_remaining / rate if rate > 0 else None


def fill_ms(plan: api.Plan) -> float:
    """How long an empty ceiling takes to fill, in ms; 0 for a plan without one."""
    return 1000 * plan.ceiling_burst / plan.ceiling_rate if plan.ceiling_rate > 0 else 0.0
