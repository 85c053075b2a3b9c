"""Estimates what remains of a customer's quota from refill, own use and the other gateways' use.

A customer's quota is one token bucket shared by all gateways that serve it. Between two totals of the counter
a gateway relies on its own use and an estimate of the others' use. While it has no total it keeps to an even
split.
"""

from __future__ import annotations

from typing import Final

from hillmux.quotas import batches, lease
from hillmux.quotas.state import QuotaState

# Multiple of the even split that a gateway may use without a counter: use is uneven, replicas may be down.
EVEN_SPLIT_FACTOR: Final = 1.5
OTHERS_RATE_MEMORY_MS: Final = 5000.0  # time constant of the moving average of the others' rate
# Others' rate, as a fraction of their even shares, from which a quota counts as near its limit.
NEAR_LIMIT_USE: Final = 0.9
NEAR_LIMIT_GRANT_RATIO: Final = 0.9  # grant ratio below which a quota also counts as near its limit
NOISE_DEVIATIONS: Final = 3.0  # standard deviations up to which a change of the total counts as noise
ROUNDING_UNITS: Final = 1e-6  # tolerance for floating-point error in differences of sums of units


def advance(state: QuotaState, now: float, shedding_load: bool, counter_unresponsive: bool) -> None:
    """Advance `state.remaining` and `state.upper_bound` to `now` (ms), which must be after `remaining_at`.

    `shedding_load`: admission control admits only a part of the requests. `counter_unresponsive`: most
    counter calls go unanswered, so the last total may be outdated; at least the even split of the refill is
    added.
    """
    span = now - state.remaining_at
    burst, rate = state.plan.burst, state.plan.rate / 1000
    state.upper_bound = min(burst, state.upper_bound + rate * span)
    gain, limit = rate - state.others_rate, burst
    if state.last_total is None:
        share = _even_split(state, shedding_load)
        gain, limit = rate * share, burst * share
    elif counter_unresponsive:
        gain = max(gain, rate * _even_split(state, shedding_load))
    state.remaining = min(limit, state.remaining + gain * span)
    state.remaining_at += span


def _even_split(state: QuotaState, shedding_load: bool) -> float:
    """The fraction of the quota that this gateway may use while it has no valid total."""
    return min(1.0, (1.0 if shedding_load else EVEN_SPLIT_FACTOR) / state.replicas)


def start_window(state: QuotaState, start: float, keep_lease: bool) -> None:
    """Start a new count for a window that began at `start` (ms); `state` must have been advanced to it.

    Unused units carry over. Use that was not reported yet is reported in the new window. A lease that is kept
    carries over as negative use, because the others subtracted it in the old window.

    The next total holds what the others used since the start of the window, not since this gateway first saw
    the customer in it. Divided by that shorter time, it would give far too high a rate.
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
    """Apply a total of the counter (units): subtract what the others used since the last total.

    `state` must have been advanced to `now` (ms). A total that is too low to hold all earlier reports means
    that the counter lost counts: `remaining` stays as it is, the lease is dropped, and counting continues
    from the new total.
    """
    others_use = total - (state.last_total or 0.0) - (state.reported - state.last_total_reported)
    if total >= state.reported - ROUNDING_UNITS and others_use >= -ROUNDING_UNITS:
        _apply_others_use(state, others_use, max(now - state.last_total_at, 1.0))
        state.lease_confirmed = True
    else:
        lease.drop(state)
        state.last_total_level = state.upper_bound
    state.last_total = total
    state.last_total_reported, state.last_total_used = state.reported, state.used
    state.last_total_upper_bound, state.last_total_at = state.upper_bound, now


def _apply_others_use(state: QuotaState, others_use: float, span: float) -> None:
    """Update the remaining units and the others' rate from their use in the `span` (ms) since the last total.

    What a first total holds may have been used just now, out of a full token bucket, so the refill since the
    window's start is not added to it. A customer that uses its quota evenly appears to have less until the
    next total.

    Use beyond the quota took nothing from the bucket, so it must not be owed forever: the debt is bounded by
    the refill that a lease waits for at most, because the others' leases come before a new one.
    """
    is_first = state.last_total is None
    refill = 0.0 if is_first else state.plan.rate * span / 1000
    use = others_use if is_first else _filtered_use(state, others_use, span)
    level = state.last_total_upper_bound + refill - use - (state.used - state.last_total_used)
    max_owed = 0.0 if is_first else state.plan.rate / 1000 * lease.MAX_WAIT_MS
    state.last_total_level = min(level, state.upper_bound)
    state.remaining = state.upper_bound = max(state.last_total_level, -max_owed)
    decay = 0.0 if is_first else OTHERS_RATE_MEMORY_MS / (OTHERS_RATE_MEMORY_MS + span)
    state.others_rate = decay * state.others_rate + (1 - decay) * others_use / span
    others_share = state.plan.rate / 1000 - state.share_rate
    near_limit = (
        state.others_rate >= NEAR_LIMIT_USE * others_share or state.grant_ratio < NEAR_LIMIT_GRANT_RATIO
    )
    state.set_batches(near_limit)


def _filtered_use(state: QuotaState, others_use: float, span: float) -> float:
    """Estimate the others' use (units) in `span` ms, between the expected use and `others_use` in the total.

    Reports arrive late and in batches, so their sum varies more than the use that they report. The two values
    are weighted by their variances, as in a Kalman filter with one state. The variance of the use is its mean
    (Poisson). That of the batches is the square of the batch size per report, or a sixth of it per gateway if
    there are many reports. A deviation that such noise does not explain is taken for a real change.
    """
    expected = max(state.others_rate, 0.0) * span
    share = min(state.batch_share, batches.ROOT_FACTOR / state.batch_divisor)
    batch = max(share * state.remaining - 1.0, 0.0)  # beyond the one unit that every report holds
    noise = batch * min(batch * state.replicas / 6, expected)
    deviation = others_use - expected
    if deviation * deviation > NOISE_DEVIATIONS * NOISE_DEVIATIONS * (expected + noise):
        return others_use
    return expected + deviation * expected / (expected + noise) if expected else others_use
