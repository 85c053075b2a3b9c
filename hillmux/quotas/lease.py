"""Leases of quota: units that the counter was told of before they are used.

Theory of operation. Every gateway that reads a total takes off what the others reported, used or not. So a
gateway that reported more than it has used holds a lease on the difference. It may spend it without asking,
as soon as the store would hold those units if the others used nothing more: what they report later comes
behind it. A lease arises where a request that waited for a total was refused (it keeps its place in line),
where a request took less than was reported, and where a gateway draws ahead, because it serves far more of a
customer than its even share. A lease that is not needed is given back with a negative amount.

A lease counts only while the last total held all that was reported. A call that may have been added or not
leaves it open, and a counter that lost its counts ends it. It lives in the count of its window: it is carried
into the next one only where the customer comes often.

Bounds, in units. Without a call a gateway sends at most its lease, its even share of the refill, and what
remains / `batches.divisor`. Its lease is at most what one request reserves, what its requests did not use,
and remaining / `batches.divisor` drawn ahead. It ends `IDLE_TIMEOUT_MS` after the customer's last request.
"""

from __future__ import annotations

from typing import Final

from hillmux.quotas.state import QuotaState

MAX_WAIT_MS: Final = 500.0  # for refill to cover a lease; what it would cover later is given back
IDLE_TIMEOUT_MS: Final = 5000.0  # for which a lease waits for the customer's next request
DRAW_AHEAD_SHARES: Final = 2.0  # times its even share that a gateway must serve to draw ahead
DRAW_AHEAD_MS: Final = 3000.0  # whose demand beyond that is drawn ahead
# Added to the time since the last report, so that two requests at once are not taken for a high demand.
DEMAND_SMOOTHING_MS: Final = 1000.0
ROUNDING_UNITS: Final = 1e-9  # what a sum of units may lack of a whole


def available(state: QuotaState) -> float:
    """Units that were reported, confirmed by a total, and not used yet; 0 if there are none."""
    if state.call_open or not state.lease_confirmed:
        return 0.0
    return max(state.reported - state.used, 0.0)


def level(state: QuotaState, now: float) -> float:
    """Units in the store at `now` (ms), this gateway's lease among them, if the others draw nothing more.

    Below 0 where the others reported more than the refill has covered yet.
    """
    refill = state.plan.rate / 1000 * (now - state.last_total_at)
    return min(state.last_total_level + refill - (state.used - state.last_total_used), state.plan.burst)


def covers(state: QuotaState, units: float, now: float) -> bool:
    """Whether a lease of at least so many units may be spent at `now` (ms): its turn in line has come."""
    return level(state, now) >= units - ROUNDING_UNITS


def draw_ahead(state: QuotaState, unreported: float, remaining: float, now: float) -> float:
    """Units to lease beside a report: what a busy gateway will serve beyond its share in the next seconds.

    `unreported`: units used since the last report, which tell this gateway's own demand.
    """
    if remaining <= 0 or state.last_total is None:
        return 0.0
    excess = unreported / (now - state.called_at + DEMAND_SMOOTHING_MS) - DRAW_AHEAD_SHARES * state.share_rate
    return max(min(excess * DRAW_AHEAD_MS, remaining / state.batch_divisor), 0.0)


def surplus(state: QuotaState, now: float) -> float:
    """Units of a lease to give back: a seldom seen customer's, and what the refill would cover too late."""
    units = available(state)
    often = 0 < state.request_gap_ms < IDLE_TIMEOUT_MS  # 0: this is its first request
    if often and now - state.seen_at < IDLE_TIMEOUT_MS:
        units -= max(level(state, now + MAX_WAIT_MS), 0.0)
    return units if units > ROUNDING_UNITS else 0.0


def drop(state: QuotaState) -> None:
    """Forget a lease that the counter does not hold any more, or may not hold."""
    state.reported = min(state.reported, state.used)
