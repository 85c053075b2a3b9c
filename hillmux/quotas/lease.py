"""Leases of quota: units that a gateway has reported to the counter before it uses them.

Theory of operation. Every gateway that reads a total subtracts what the others reported, used or not. So a
gateway that reported more than it has used holds a lease on the difference. It may spend the lease without
calling the counter, as soon as the customer's token bucket would hold those units if the others used nothing
more: what they report later queues behind the lease. A lease arises in three cases: a request that waited for
a total was rejected (its units keep their place in the queue); a request used less than was reported; or the
gateway prefetches units, because it serves far more of a customer's requests than its even share. A lease
that is not needed is given back with a negative amount.

A lease is valid only while the last total held all that was reported. After a call that may or may not have
been added it is unconfirmed, and if the counter lost its counts it is dropped. A lease belongs to the count
of its window; it carries over into the next one only if the customer sends requests often.

Bounds, in units. Without a call a gateway sends at most its lease, its even share of the refill, and
remaining / `batches.divisor`. Its lease is at most the reserve of one request, what its requests did not use,
and remaining / `batches.divisor` of prefetched units. It ends `IDLE_TIMEOUT_MS` after the customer's last
request.
"""

from __future__ import annotations

from typing import Final

from hillmux.quotas.state import QuotaState

MAX_WAIT_MS: Final = 500.0  # longest wait for refill to cover a lease; units covered later are given back
IDLE_TIMEOUT_MS: Final = 5000.0  # time since the customer's last request after which a lease is given back
PREFETCH_MIN_SHARES: Final = 2.0  # demand above which a gateway prefetches, as a multiple of its even share
PREFETCH_MS: Final = 3000.0  # time for which the demand above that is prefetched
# Added to the time since the last report, so that two simultaneous requests do not look like a high demand.
DEMAND_SMOOTHING_MS: Final = 1000.0
ROUNDING_UNITS: Final = 1e-9  # tolerance for floating-point error in sums of units


def available(state: QuotaState) -> float:
    """Return the units reported and confirmed by a total, but not used yet; 0 if there are none."""
    if state.call_open or not state.lease_confirmed:
        return 0.0
    return max(state.reported - state.used, 0.0)


def level(state: QuotaState, now: float) -> float:
    """Return the units in the token bucket at `now` (ms) if the others report nothing more.

    Includes this gateway's lease. Negative if the others reported more than the refill has covered so far.
    """
    refill = state.plan.rate / 1000 * (now - state.last_total_at)
    return min(state.last_total_level + refill - (state.used - state.last_total_used), state.plan.burst)


def covers(state: QuotaState, units: float, now: float) -> bool:
    """Whether refill covers so many units of a lease at `now` (ms), so that they may be spent."""
    return level(state, now) >= units - ROUNDING_UNITS


def prefetch_units(state: QuotaState, unreported: float, remaining: float, now: float) -> float:
    """Return the units to lease along with a report: a busy gateway's demand for the next `PREFETCH_MS`.

    Only the demand above `PREFETCH_MIN_SHARES` even shares counts; 0 if there is none.

    `unreported`: units used since the last report, from which this gateway's demand is estimated.
    """
    if remaining <= 0 or state.last_total is None:
        return 0.0
    excess = (
        unreported / (now - state.called_at + DEMAND_SMOOTHING_MS) - PREFETCH_MIN_SHARES * state.share_rate
    )
    return max(min(excess * PREFETCH_MS, remaining / state.batch_divisor), 0.0)


def surplus(state: QuotaState, now: float) -> float:
    """Return the units of the lease to give back.

    These are the units that refill does not cover within `MAX_WAIT_MS`, or all units if the customer has sent
    only one request or sends requests `IDLE_TIMEOUT_MS` or more apart.
    """
    units = available(state)
    often = 0 < state.request_gap_ms < IDLE_TIMEOUT_MS  # 0 after the first request
    if often and now - state.seen_at < IDLE_TIMEOUT_MS:
        units -= max(level(state, now + MAX_WAIT_MS), 0.0)
    return units if units > ROUNDING_UNITS else 0.0


def drop(state: QuotaState) -> None:
    """Drop a lease that the counter no longer holds, or may not hold."""
    state.reported = min(state.reported, state.used)
