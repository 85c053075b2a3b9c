"""What must hold in each gateway of `hillmux.lab.virtual.counting` after each of its events.

For `CountingFleet(inspect=...)`. Bounds are those of `hillmux.quotas.lease`: requests are of one unit, and
every call that is answered is followed by the next if one is due.
"""

from __future__ import annotations

import math
from typing import Final

from hillmux.lab.virtual.counting import CountingGateway
from hillmux.quotas import batches, lease
from hillmux.quotas.state import QuotaState

REQUEST_UNITS: Final = 1.0  # of each request
ROUNDING_UNITS: Final = 1e-6
AMOUNTS: Final = ("reported", "used", "remaining", "upper_bound", "others_rate", "last_total_level")


class BrokenInvariantError(AssertionError):
    """What does not hold at a gateway; the text names it and the customer."""


def check_leases(gateway: CountingGateway) -> None:
    """Check every customer's state at a gateway.

    Raises:
        BrokenInvariantError: an amount that is no finite number; a lease, or use that was not reported,
            beyond its bound.
    """
    quotas = gateway.gateway.quotas
    answered = quotas.throttle.answer_rate == 1.0
    for state in quotas.registry.states.values():
        _check_finite(gateway, state)
        _check_lease(gateway, state)
        if answered and state.lease_confirmed and not state.call_open:
            _check_unreported(gateway, state, quotas.now)


def _check_finite(gateway: CountingGateway, state: QuotaState) -> None:
    for name in AMOUNTS:
        if not math.isfinite(getattr(state, name)):
            raise _broken(gateway, state, f"{name}: {getattr(state, name)!r}")


def _check_lease(gateway: CountingGateway, state: QuotaState) -> None:
    held = lease.available(state)
    most = REQUEST_UNITS + state.plan.burst / batches.divisor(state.replicas)
    if not 0 <= held <= most + ROUNDING_UNITS:
        raise _broken(gateway, state, f"lease of {held:g} units, at most {most:g}")


def _check_unreported(gateway: CountingGateway, state: QuotaState, now: float) -> None:
    unreported = state.used - state.reported
    share = state.share_rate * max(now - state.called_at, 0.0)
    most = share + state.plan.burst / batches.divisor(state.replicas) + REQUEST_UNITS
    if unreported > most + ROUNDING_UNITS:
        raise _broken(gateway, state, f"{unreported:g} units unreported, at most {most:g}")


def _broken(gateway: CountingGateway, state: QuotaState, what: str) -> BrokenInvariantError:
    return BrokenInvariantError(f"gateway {gateway.number}, customer {state.key[0]}: {what}")
