"""The state that a gateway keeps for one host."""

from __future__ import annotations

from hashlib import blake2s
from math import log2, sqrt
from typing import Final

from hillmux import interface as api
from hillmux.balancing.host_pool import HostPool, Locality
from hillmux.balancing.latency_histogram import BIN_OF_RATIO_1, BINS_PER_DOUBLING
from hillmux.balancing.load_ranking import RANK_OF_UNIT_LOAD, RANKS_PER_DOUBLING, RankedHosts
from hillmux.interface import HostStatus

MIN_CAPACITY: Final = 1e-6  # keeps the load and its logarithm finite
LATENCY_RATIO_WEIGHT: Final = 0.2  # weight of one outcome in the moving average of a host's latency ratio
MIN_LATENCY_RATIO: Final = 2.0**-6
MAX_LATENCY_RATIO: Final = 20.0

# The groups of hosts: integers instead of an enum, since they are compared several times per request.
UNAVAILABLE: Final = 0  # not listed, draining, or disabled by an operator
READY: Final = 1  # healthy and warm; ranked by load
WARMING: Final = 2  # in slow start
EJECTED: Final = 3  # ejected because it failed


class Host:
    """One host: its endpoint, its health, and its place in groups and rankings."""

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
        self.latency_ratio = 1.0  # moving average of latency / usual latency of the request's class
        self.consecutive_failures = 0
        self.ejections = 0  # number of ejections in a row; 0 if the host is healthy
        self.ejected_until_ms = 0.0
        # Whether the host refused connections since its last response: it may have been restarted.
        self.connection_refused = False
        self.started_at_ms = 0.0
        self.warming_since_ms = 0.0  # start of slow start; 0 if the host is warm
        self.slow_start_credit = 0.0  # requests of mean work that this gateway may send it in slow start
        self.slow_start_credit_at_ms = 0.0  # time at which the credit was last updated
        self.listed = False
        self.disabled = False  # whether an operator has disabled the host
        self.group: int = UNAVAILABLE
        self.pool: HostPool | None = None  # None while the host is unavailable
        self.localities: list[Locality] = []
        self.ring_position = blake2s(self.name.encode(), digest_size=8).digest()  # equal on all gateways
        self.in_aperture = True
        self.ranking: RankedHosts | None = None  # ranking for the host while it is ready
        self.rank = -1  # -1 while the host has no rank
        self.rank_index = 0  # index in the list of hosts of the rank
        self.latency_bin: int = BIN_OF_RATIO_1
        self.update(endpoint)

    def update(self, endpoint: api.Endpoint) -> None:
        """Apply an entry of the endpoint list; a later start time resets health and begins slow start."""
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
        """Add an outcome whose latency was `ratio` times the usual latency to the moving average."""
        bounded = ratio if ratio < MAX_LATENCY_RATIO else MAX_LATENCY_RATIO
        mean = self.latency_ratio + LATENCY_RATIO_WEIGHT * (bounded - self.latency_ratio)
        self.latency_ratio = mean if mean > MIN_LATENCY_RATIO else MIN_LATENCY_RATIO
        self.update_load()

    def update_load(self) -> None:
        """Compute the load per request, the idle host's rank and its bin, from latency ratio and capacity.

        The load grows with the square root of the latency ratio. The ratio depends on the requests of other
        gateways too, and if the load were proportional to it, all gateways would select the same host. No
        zone is preferred: if most traffic came from one zone permanently, its hosts alone would carry it.
        """
        log_ratio = log2(self.latency_ratio)
        self.load_per_request = sqrt(self.latency_ratio) / self.capacity
        self.idle_rank = RANK_OF_UNIT_LOAD + RANKS_PER_DOUBLING * (log_ratio / 2 - self.log_capacity)
        self.latency_bin = int(BIN_OF_RATIO_1 + BINS_PER_DOUBLING * log_ratio)

    def leave_rank(self) -> None:
        """Remove the host from its rank; it must have one."""
        assert self.ranking is not None
        self.ranking.remove(self)
        self.rank = -1

    def load(self) -> float:
        """The load with one more request: number of requests times the load per request."""
        return (self.open_requests + 1) * self.load_per_request
