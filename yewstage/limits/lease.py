"""Leases of quota: units that the counter was told of before they are used, and use that it is told of late.

Theory of operation. Every gateway that reads a total takes off what the others reported, used or not. So a
gateway that reported more than it has used holds a lease on the difference, and may spend it without asking,
as soon as the store would hold those units if the others used nothing more: what they report later comes
behind it. A lease arises where a request that waited for a total was refused (it keeps its place in the
line), where a request took less than was reported, and where a gateway draws ahead, because it serves far
more of a customer than its even share. A lease that is not needed is given back with a negative amount.

The reverse of a lease is use that was not reported yet. The even share of the refill covers it: a gateway
that stays within this share reports in large batches, one that goes beyond it in batches that shrink with
what remains. Deviations of independent gateways add up like their root, so a batch may be `2 x sqrt(n)` times
smaller than what remains, not n times; see G. Cormode, "The continuous distributed monitoring model"
(SIGMOD Record 42(1), 2013), for the tracking of a sum with few messages.

Bounds, in units. Without a call a gateway sends at most its lease, its even share of the refill, and
`remaining / batch_divisor` at each moment. Its lease is at most what one request reserves, what its requests
did not use, and `remaining / batch_divisor` drawn ahead; it ends `IDLE_MS` after the customer's last request.
"""

from __future__ import annotations

import math
from typing import Final

from yewstage.limits.state import QuotaState

HOLD_MS: Final = 1000.0  # refill for which a lease waits: what it would cover later is given back at once
IDLE_MS: Final = 5000.0  # how long a lease waits for the customer's next request
BATCH_SHARE: Final = 0.37  # part of what remains that is reported in one batch at most
BATCH_SPREAD: Final = (
    2.0  # times the root of the number of gateways: by it a batch is smaller than what remains
)
INTERVAL_WEIGHT: Final = 0.3  # weight of one request in the mean of a customer's intervals
DEMAND_MEMORY_MS: Final = 10_000.0  # memory of this gateway's own rate of use
HOT_SHARES: Final = 2.0  # times its even share that a gateway must serve to draw ahead
AHEAD_MS: Final = 3_000.0  # time whose excess demand is drawn ahead


def batch_divisor(replicas: int) -> float:
    """How many times smaller than what remains a batch of unreported use is, for so many gateways."""
    return float(min(replicas, BATCH_SPREAD * replicas**0.5))


def available(state: QuotaState) -> float:
    """Units that were reported, confirmed by a total, and not used yet; 0 if there are none."""
    if state.call_open or not state.lease_confirmed:
        return 0.0
    return max(state.reported - state.used, 0.0)


def record_use(state: QuotaState, units: float, now: float) -> None:
    """Note use at `now` (ms); negative units were not used after all. To be called before `used` changes."""
    share = state.plan.rate / 1000 / state.replicas
    span = now - state.uncovered_at
    beyond_lease = units - max(state.reported - state.used, 0.0) if units > 0 else units
    state.uncovered = max(state.uncovered - share * span, 0.0)
    if units < 0 or beyond_lease > 0:
        state.uncovered = max(state.uncovered + beyond_lease, 0.0)
    state.demand *= DEMAND_MEMORY_MS / (DEMAND_MEMORY_MS + span)
    state.demand += units / DEMAND_MEMORY_MS
    state.uncovered_at = now


def record_request(state: QuotaState, unseen_ms: float) -> None:
    """Note a customer's request, so long after its last one."""
    if state.request_interval == math.inf:
        state.request_interval = unseen_ms
    else:
        state.request_interval += INTERVAL_WEIGHT * (unseen_ms - state.request_interval)


def report_due(state: QuotaState, unreported: float, remaining: float, now: float) -> bool:
    """Whether so many units of unreported use must be reported at `now` (ms), with so many remaining."""
    if unreported >= BATCH_SHARE * remaining:
        return True
    covered = state.plan.rate / 1000 / state.replicas * (now - state.uncovered_at)
    return (state.uncovered - covered) * batch_divisor(state.replicas) >= remaining


def draw_ahead(state: QuotaState, remaining: float) -> float:
    """Units to lease beside a report: what a hot gateway will serve beyond its share in the next seconds."""
    excess = state.demand - HOT_SHARES * state.plan.rate / 1000 / state.replicas
    if excess <= 0 or remaining <= 0 or state.last_total is None:
        return 0.0
    return float(min(excess * AHEAD_MS, remaining / batch_divisor(state.replicas)))


def surplus(state: QuotaState, now: float) -> float:
    """Units of a lease to give back: a seldom seen customer's, and what the refill would cover too late."""
    unspent = available(state)
    if not unspent or now - state.seen_at >= IDLE_MS or state.request_interval > IDLE_MS:
        return unspent
    within_hold = max(state.upper_bound + state.plan.rate / 1000 * HOLD_MS, 0.0)
    return max(unspent - within_hold, 0.0)


def drop(state: QuotaState) -> None:
    """Forget a lease that the counter does not hold any more, or may not hold."""
    state.reported = min(state.reported, state.used)
