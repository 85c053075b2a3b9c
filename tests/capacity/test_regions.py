"""Bounds on rejections and units beyond quotas while the regions are partitioned, at a small size.

Counts only, no times.
"""

from __future__ import annotations

from benchmarks.capacity.regions import FLOOD_LOAD, HALF_LOAD, run_partition

REPLICAS, PARTITION_S = 2, 10.0


def test_same_seed_gives_same_figures() -> None:
    first, second = (run_partition(REPLICAS, FLOOD_LOAD, 1, PARTITION_S) for _ in range(2))
    assert (first.requests, first.counter_calls, first.units_beyond_quota) == (
        second.requests,
        second.counter_calls,
        second.units_beyond_quota,
    )


def test_customers_at_half_quota_are_not_rejected_during_partition() -> None:
    figures = run_partition(REPLICAS, HALF_LOAD, 1, PARTITION_S)
    assert figures.requests > 500
    assert figures.rejected <= 0.01 * figures.requests


def test_flood_exceeds_quotas_by_less_than_half_of_units_sent() -> None:
    figures = run_partition(REPLICAS, FLOOD_LOAD, 1, PARTITION_S)
    assert 0 < figures.units_beyond_quota < figures.units_forwarded / 2
