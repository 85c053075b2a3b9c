"""What remains of a customer's quota: refill, own use, and the other gateways' use as read or estimated.

A customer's quota is one store over all gateways that serve it. Between two totals of the counter a gateway
goes by its own use and an estimate of the others'; with no total to go by it keeps to an even split.
"""

from __future__ import annotations

from typing import Final

from hillmux.quotas import batches, lease
from hillmux.quotas.state import QuotaState

# Times the even split that a gateway takes without a counter: use is uneven, and replicas may be dead.
EVEN_SPLIT_FACTOR: Final = 1.5
OTHERS_RATE_MEMORY_MS: Final = 5000.0
NEAR_LIMIT_USE: Final = 0.9  # part of their even shares; a quota is near its limit where the others use it
NEAR_LIMIT_GRANT_RATIO: Final = 0.9  # grant ratio below which a quota is near its limit, too
NOISE_DEVIATIONS: Final = 3.0  # standard deviations up to which a change of the total may be noise
ROUNDING_UNITS: Final = 1e-6  # difference of two sums of units that is taken for rounding


def advance(state: QuotaState, now: float, shedding_load: bool, counter_silent: bool) -> None:
    """Bring `state.remaining` and `state.upper_bound` forward to `now`, which is after `remaining_at`.

    `shedding_load`: admission control does not admit all requests. `counter_silent`: most calls go
    unanswered, so totals are no longer trusted alone and the even split is granted at least.
    """
    span = now - state.remaining_at
    burst, rate = state.plan.burst, state.plan.rate / 1000
    state.upper_bound = min(burst, state.upper_bound + rate * span)
    gain, limit = rate - state.others_rate, burst
    if state.last_total is None:
        share = _split_share(state, shedding_load)
        gain, limit = rate * share, burst * share
    elif counter_silent:
        gain = max(gain, rate * _split_share(state, shedding_load))
    state.remaining = min(limit, state.remaining + gain * span)
    state.remaining_at += span


def _split_share(state: QuotaState, shedding_load: bool) -> float:
    """This gateway's part of the quota where there is no total to go by."""
    return min(1.0, (1.0 if shedding_load else EVEN_SPLIT_FACTOR) / state.replicas)


def start_window(state: QuotaState, start: float, keep_lease: bool) -> None:
    """Begin a new count for a window that started at `start` (ms), to which `state` was advanced.

    What was left unused is carried over. Use that was not reported yet is reported in the new window. A lease
    is carried, where it is kept, as use below 0: the others took it off in the old window.

    The next total holds what the others used since the start of the window, not since this gateway came to
    see the customer: taken for the use of that shorter time, it would look like a much higher rate.
    """
    unread = state.last_total is None
    state.last_total_at = start if unread else max(start, state.remaining_at)
    state.last_total_level = lease.level(state, start)
    state.last_total_upper_bound = state.upper_bound if unread else max(state.remaining, 0.0)
    if not keep_lease or not lease.available(state):
        lease.drop(state)
    state.used = state.last_total_used = state.used - state.reported
    state.reported = state.last_total_reported = 0.0
    state.call_open = False
    state.last_total = None if unread else 0.0


def read_total(state: QuotaState, total: float, now: float) -> None:
    """Take a total of the counter (units): what the others used since the last one comes off.

    `state` must have been advanced to `now`. A total lower than what is known means that the counter lost its
    counts: what remains is kept as it was, no lease holds any more, and counting goes on from the new total.
    """
    others = total - (state.last_total or 0.0) - (state.reported - state.last_total_reported)
    if total >= state.reported - ROUNDING_UNITS and others >= -ROUNDING_UNITS:
        _take_others_use(state, others, max(now - state.last_total_at, 1.0))
        state.lease_confirmed = True
    else:
        lease.drop(state)
        state.last_total_level = state.upper_bound
    state.last_total = total
    state.last_total_reported, state.last_total_used = state.reported, state.used
    state.last_total_upper_bound, state.last_total_at = state.upper_bound, now


def _take_others_use(state: QuotaState, others: float, span: float) -> None:
    """Set what remains, and the others' rate, by their use in the `span` (ms) since the last total.

    What a first total holds may have been spent a moment ago, from a full store, so the refill since the
    window's start is not lent on it; a customer that spends evenly seems to have less for that time.

    What overshot the quota took nothing from the store: without a lower bound it would be owed ever after.
    The bound is the refill for which a lease waits, since the others' leases stand in line before a new one.
    """
    first = state.last_total is None
    refill = 0.0 if first else state.plan.rate * span / 1000
    use = others if first else _filtered_use(state, others, span)
    level = state.last_total_upper_bound + refill - use - (state.used - state.last_total_used)
    max_owed = 0.0 if first else state.plan.rate / 1000 * lease.MAX_WAIT_MS
    state.last_total_level = min(level, state.upper_bound)
    state.remaining = state.upper_bound = max(state.last_total_level, -max_owed)
    keep = 0.0 if first else OTHERS_RATE_MEMORY_MS / (OTHERS_RATE_MEMORY_MS + span)
    state.others_rate = keep * state.others_rate + (1 - keep) * others / span
    others_share = state.plan.rate / 1000 - state.share_rate
    near_limit = (
        state.others_rate >= NEAR_LIMIT_USE * others_share or state.grant_ratio < NEAR_LIMIT_GRANT_RATIO
    )
    state.set_batches(near_limit)


def _filtered_use(state: QuotaState, others: float, span: float) -> float:
    """The others' use (units) in `span` ms, between what was expected and the `others` that a total tells.

    Reports come late and in batches, so their sum varies more than the use behind them. The two are weighed
    by their variances, as in a Kalman filter with one state: that of the use is its mean (Poisson), that of
    the batches the square of their size for each report, or a sixth of it for each gateway if reports are
    many. What is further off than such noise explains is a real change.
    """
    expected = max(state.others_rate, 0.0) * span
    share = min(state.batch_share, batches.ROOT_FACTOR / state.batch_divisor)
    batch = max(share * state.remaining - 1.0, 0.0)  # beyond the one unit that is reported with each request
    noise = batch * min(batch * state.replicas / 6, expected)
    deviation = others - expected
    if deviation * deviation > NOISE_DEVIATIONS * NOISE_DEVIATIONS * (expected + noise):
        return others
    return expected + deviation * expected / (expected + noise) if expected else others
