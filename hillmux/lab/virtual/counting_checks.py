"""Invariants of each gateway of `hillmux.lab.virtual.counting`, checked after each event.

Pass `check_leases` as `CountingFleet(inspect=...)`. The bounds are those of `hillmux.quotas.lease` for
requests of one unit, where each answered call is followed at once by the next one if that is due.
"""

from __future__ import annotations

import math
from typing import Final

from hillmux.lab.virtual.counting import CountingGateway
from hillmux.quotas import batches, lease
from hillmux.quotas.state import QuotaState

REQUEST_UNITS: Final = 1.0  # units of each request
ROUNDING_UNITS: Final = 1e-6  # tolerance for rounding errors
CHECKED_FIELDS: Final = ("reported", "used", "remaining", "upper_bound", "others_rate", "last_total_level")


class BrokenInvariantError(AssertionError):
    """An invariant is broken; the message names the gateway and the customer."""


def check_leases(gateway: CountingGateway) -> None:
    """Check a gateway's state of every customer.

    Raises:
        BrokenInvariantError: An amount is not finite, or a lease or the unreported use exceeds its bound.
    """
    quotas = gateway.gateway.quotas
    all_calls_answered = quotas.throttle.answer_rate == 1.0
    for state in quotas.registry.states.values():
        _check_finite(gateway, state)
        _check_lease(gateway, state)
        if all_calls_answered and state.lease_confirmed and not state.call_open:
            _check_unreported(gateway, state, quotas.now)


def _check_finite(gateway: CountingGateway, state: QuotaState) -> None:
    for name in CHECKED_FIELDS:
        if not math.isfinite(getattr(state, name)):
            raise _broken_invariant(gateway, state, f"{name}: {getattr(state, name)!r}")


def _check_lease(gateway: CountingGateway, state: QuotaState) -> None:
    leased = lease.available(state)
    max_units = REQUEST_UNITS + state.plan.burst / batches.divisor(state.replicas)
    if not 0 <= leased <= max_units + ROUNDING_UNITS:
        raise _broken_invariant(gateway, state, f"lease of {leased:g} units, at most {max_units:g}")


def _check_unreported(gateway: CountingGateway, state: QuotaState, now: float) -> None:
    unreported = state.used - state.reported
    earned = state.share_rate * max(now - state.called_at, 0.0)
    max_units = earned + state.plan.burst / batches.divisor(state.replicas) + REQUEST_UNITS
    if unreported > max_units + ROUNDING_UNITS:
        raise _broken_invariant(gateway, state, f"{unreported:g} units unreported, at most {max_units:g}")


def _broken_invariant(gateway: CountingGateway, state: QuotaState, problem: str) -> BrokenInvariantError:
    return BrokenInvariantError(f"gateway {gateway.number}, customer {state.key[0]}: {problem}")
