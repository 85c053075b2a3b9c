"""A guard on both regions apart, at a small size: counts, not times."""

from __future__ import annotations

from benchmarks.capacity.regions import FLOOD, HALF, play

WIDTH, APART_S = 2, 10.0


def test_the_same_seed_plays_the_same() -> None:
    first, again = (play(WIDTH, FLOOD, 1, APART_S) for _ in range(2))
    assert (first.requests, first.counter_calls, first.units_beyond_quota) == (
        again.requests,
        again.counter_calls,
        again.units_beyond_quota,
    )


def test_customers_at_half_of_their_quota_are_not_refused() -> None:
    seen = play(WIDTH, HALF, 1, APART_S)
    assert seen.requests > 500
    assert seen.rejected <= 0.01 * seen.requests


def test_a_flood_beyond_quotas_stays_under_what_was_sent_inside_them() -> None:
    seen = play(WIDTH, FLOOD, 1, APART_S)
    assert 0 < seen.units_beyond_quota < seen.units_forwarded / 2
