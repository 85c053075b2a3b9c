"""What a gateway knows of one host."""

from __future__ import annotations

from hashlib import blake2s
from math import log2, sqrt
from typing import Final

from hillmux import interface as api
from hillmux.balancing.host_pool import HostPool, Locality
from hillmux.balancing.latency_histogram import BIN_OF_RATIO_1, BINS_PER_DOUBLING
from hillmux.balancing.load_ranking import RANK_OF_UNIT_LOAD, RANKS_PER_DOUBLING, RankedHosts
from hillmux.interface import HostStatus

MIN_CAPACITY: Final = 1e-6
LATENCY_RATIO_WEIGHT: Final = 0.2  # weight of one outcome in a host's mean latency ratio
MIN_LATENCY_RATIO: Final = 2.0**-6
MAX_LATENCY_RATIO: Final = 20.0

# The groups of hosts. Integers and no enum: they are compared several times for each request.
UNAVAILABLE: Final = 0  # not listed, draining, or disabled by an operator
READY: Final = 1  # ranked by load
WARMING: Final = 2  # in slow start
EJECTED: Final = 3  # failing


class Host:
    """One host, its health and where it is indexed."""

    __slots__ = (
        "name",
        "zone",
        "cell",
        "capacity",
        "up",
        "started_at_ms",
        "warming_since_ms",
        "open_requests",
        "latency_ratio",
        "pool_name",
        "consecutive_failures",
        "ejections",
        "ejected_until_ms",
        "connection_refused",
        "slow_start_credit",
        "slow_start_credit_at_ms",
        "endpoint",
        "listed",
        "group",
        "pool",
        "localities",
        "rank",
        "rank_index",
        "latency_bin",
        "load_per_request",
        "idle_rank",
        "log_capacity",
        "disabled",
        "ring_position",
        "in_aperture",
        "ranking",
    )

    def __init__(self, endpoint: api.Endpoint) -> None:
        self.name = endpoint.name
        self.open_requests = 0
        self.latency_ratio = 1.0  # mean latency over the usual one of the request's class
        self.consecutive_failures = 0
        self.ejections = 0  # in a row; 0: it is healthy
        self.ejected_until_ms = 0.0
        self.connection_refused = False  # what answers next may have just started
        self.started_at_ms = 0.0
        self.warming_since_ms = 0.0  # 0: it is warm
        self.slow_start_credit = 0.0  # ms of work that it may be sent in slow start
        self.slow_start_credit_at_ms = 0.0
        self.listed = False
        self.disabled = False  # by an operator
        self.group: int = UNAVAILABLE
        self.pool: HostPool | None = None  # None while it is unavailable
        self.localities: list[Locality] = []
        self.ring_position = blake2s(self.name.encode(), digest_size=8).digest()  # same on all gateways
        self.in_aperture = True
        self.ranking: RankedHosts | None = None  # where it is ranked while it is ready
        self.rank = -1  # -1: it has none
        self.rank_index = 0  # its index in its rank's list
        self.latency_bin: int = BIN_OF_RATIO_1
        self.update(endpoint)

    def update(self, endpoint: api.Endpoint) -> None:
        """Take over an entry of the endpoint list; a later start resets health and begins slow start."""
        self.endpoint = endpoint
        self.zone, self.cell, self.capacity = (
            endpoint.zone,
            endpoint.cell,
            max(endpoint.capacity, MIN_CAPACITY),
        )
        self.log_capacity = log2(self.capacity)
        self.pool_name = endpoint.pool
        self.up = endpoint.status == HostStatus.UP
        if endpoint.started_at_ms > self.started_at_ms:
            self.started_at_ms = self.warming_since_ms = endpoint.started_at_ms
            self.consecutive_failures = self.ejections = 0
            self.ejected_until_ms, self.connection_refused, self.latency_ratio = 0.0, False, 1.0
        self.update_load()

    def record_latency_ratio(self, ratio: float) -> None:
        """Take an outcome whose latency was so many times the usual one into the mean."""
        bounded = ratio if ratio < MAX_LATENCY_RATIO else MAX_LATENCY_RATIO
        mean = self.latency_ratio + LATENCY_RATIO_WEIGHT * (bounded - self.latency_ratio)
        self.latency_ratio = mean if mean > MIN_LATENCY_RATIO else MIN_LATENCY_RATIO
        self.update_load()

    def update_load(self) -> None:
        """Derive the load of one request, and the idle host's rank and bin, from latency ratio and capacity.

        The latency ratio weighs by its root: it depends on what other gateways send, and in full it would
        have all of them choose one host. No zone is preferred: where traffic leans to one for good, its hosts
        alone would bear it.
        """
        log_ratio = log2(self.latency_ratio)
        self.load_per_request = sqrt(self.latency_ratio) / self.capacity
        self.idle_rank = RANK_OF_UNIT_LOAD + RANKS_PER_DOUBLING * (log_ratio / 2 - self.log_capacity)
        self.latency_bin = int(BIN_OF_RATIO_1 + BINS_PER_DOUBLING * log_ratio)

    def leave_rank(self) -> None:
        """Take its rank away; it must have one."""
        assert self.ranking is not None
        self.ranking.remove(self)
        self.rank = -1

    def load(self) -> float:
        """Its load with one more request: requests and latency ratio over capacity."""
        return (self.open_requests + 1) * self.load_per_request
