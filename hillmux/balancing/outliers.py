"""Outlier detection: which hosts are worse than the others, and when an ejected host is probed."""

from __future__ import annotations

from typing import Final

from hillmux.balancing.host import Host
from hillmux.balancing.host_pool import MAX_PROBE_BUDGET, HostPool
from hillmux.balancing.latency_histogram import LatencyHistogram

OUTLIER_LATENCY_RATIO: Final = 2.5  # multiple of the median ratio above which a host is an outlier
BASE_EJECTION_MS: Final = 500.0  # length of the first ejection; each further one in a row is twice as long
MAX_EJECTION_MS: Final = 4000.0
MAX_EJECTIONS: Final = 10  # upper bound of the count of ejections in a row
PROBES_PER_REQUEST: Final = 0.2  # probes earned per request; limits probes while a host is ready


class OutlierDetector:
    """Compares hosts with the median of all available hosts."""

    __slots__ = ("median_latency_ratio", "most_are_ejected")

    def __init__(self) -> None:
        self.median_latency_ratio = 1.0
        self.most_are_ejected = False

    def update(self, latency_ratios: LatencyHistogram, ejected_count: int, available_count: int) -> None:
        """Update the values that hosts are compared with."""
        self.median_latency_ratio = latency_ratios.median()
        self.most_are_ejected = 2 * ejected_count > available_count

    def is_outlier(self, host: Host) -> bool:
        """Whether a host is worse than the others.

        If all hosts are slow or failing, none is an outlier: admission control sheds load in that case.
        """
        if host.latency_ratio > OUTLIER_LATENCY_RATIO * self.median_latency_ratio:
            return True
        return host.ejections > 0 and not self.most_are_ejected


def is_ejection_active(host: Host, now: float) -> bool:
    """Whether a host is ejected and its ejection has not expired at `now` (ms)."""
    return host.ejections > 0 and now < host.ejected_until_ms


def extend_ejection(host: Host, now: float) -> None:
    """Eject a host from `now` (ms) on, for twice as long as the last time in a row, up to a limit."""
    host.ejected_until_ms = now + min(BASE_EJECTION_MS * 2**host.ejections, MAX_EJECTION_MS)
    host.ejections = min(host.ejections + 1, MAX_EJECTIONS)


def add_to_probe_budget(pool: HostPool) -> None:
    """Add the share of one request to the probe budget of a pool."""
    pool.probe_budget = min(pool.probe_budget + PROBES_PER_REQUEST, MAX_PROBE_BUDGET)


def is_probe_allowed(pool: HostPool) -> bool:
    """Whether a request may probe an ejected host: the budget covers it, or no host is ready.

    Without a budget, probes would take all requests from the ready hosts when most hosts of a large pool are
    ejected.
    """
    return pool.probe_budget >= 1 or not (
        pool.inside_aperture.occupied_ranks or pool.outside_aperture.occupied_ranks
    )


def spend_probe_budget(pool: HostPool) -> None:
    """Deduct one probe from the probe budget of a pool."""
    pool.probe_budget = max(pool.probe_budget - 1, 0.0)
