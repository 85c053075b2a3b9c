"""Outlier detection: which hosts are worse than the others, and how long an ejected one is left alone."""

from __future__ import annotations

from typing import Final

from hillmux.balancing.host import Host
from hillmux.balancing.host_pool import MAX_PROBE_BUDGET, HostPool
from hillmux.balancing.latency_histogram import LatencyHistogram

OUTLIER_LATENCY_RATIO: Final = 2.5  # times the median ratio beyond which a host is an outlier
BASE_EJECTION_MS: Final = 500.0  # the first ejection; each further one in a row is twice as long
MAX_EJECTION_MS: Final = 4000.0
MAX_EJECTIONS: Final = 10  # that are counted
PROBES_PER_REQUEST: Final = 0.2  # while other hosts are ready


class OutlierDetector:
    """Judges hosts by the other hosts, and spaces the probes of ejected ones."""

    __slots__ = ("median_latency_ratio", "most_are_ejected")

    def __init__(self) -> None:
        self.median_latency_ratio = 1.0
        self.most_are_ejected = False

    def update(self, latency_ratios: LatencyHistogram, ejected_count: int, available_count: int) -> None:
        """Refresh what hosts are compared with."""
        self.median_latency_ratio = latency_ratios.median()
        self.most_are_ejected = 2 * ejected_count > available_count

    def is_outlier(self, host: Host) -> bool:
        """Whether a host is worse than the others.

        Where all are slow or failing none is an outlier: that is for admission to answer.
        """
        if host.latency_ratio > OUTLIER_LATENCY_RATIO * self.median_latency_ratio:
            return True
        return host.ejections > 0 and not self.most_are_ejected


def is_resting(host: Host, now: float) -> bool:
    """Whether a host's ejection lasts at `now` (ms)."""
    return host.ejections > 0 and now < host.ejected_until_ms


def extend_ejection(host: Host, now: float) -> None:
    """Eject a host from `now` (ms) on, for twice as long as the time before."""
    host.ejected_until_ms = now + min(BASE_EJECTION_MS * 2**host.ejections, MAX_EJECTION_MS)
    host.ejections = min(host.ejections + 1, MAX_EJECTIONS)


def earn_probe_budget(pool: HostPool) -> None:
    """Add one request's part to what a pool may spend on probes."""
    pool.probe_budget = min(pool.probe_budget + PROBES_PER_REQUEST, MAX_PROBE_BUDGET)


def may_probe(pool: HostPool) -> bool:
    """Whether a request may probe an ejected host: the budget allows it, or no host is ready.

    Without a budget the probes would take all requests from the ready hosts where most of many are ejected.
    """
    return pool.probe_budget >= 1 or not (pool.inside.occupied_ranks or pool.outside.occupied_ranks)


def spend_probe(pool: HostPool) -> None:
    """Take one probe off the budget."""
    pool.probe_budget = max(pool.probe_budget - 1, 0.0)
