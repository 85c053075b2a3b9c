"""The selection of a host for one attempt.

An ejected host whose ejection has expired is probed with a single request; a host that warms up gets this
gateway's share of its slow-start budget; otherwise the least loaded ready host is selected. At most a fixed
number of hosts is examined, regardless of the size of the pool: ready hosts from the lowest rank upwards,
others from a random start.
"""

from __future__ import annotations

import random
from math import inf
from typing import Final

from hillmux.balancing import outliers
from hillmux.balancing.host import READY, WARMING, Host
from hillmux.balancing.host_pool import HostPool, Locality
from hillmux.balancing.indexed_set import IndexedSet, sample
from hillmux.balancing.load_ranking import MIN_LOAD_OF_RANK, RankedHosts
from hillmux.balancing.slow_start import SlowStart

CANDIDATES: Final = 8  # hosts of each group that are examined for one attempt
LOCALITY_CANDIDATES: Final = 64  # the same in a locality, and among ejected hosts as a last resort
TRIED_LOAD_FACTOR: Final = 4.0  # multiplies the load of a host that the request was sent to before
# Upper bound of the random share that is added to a host's load, so that gateways with equal state do not all
# select the same host.
MAX_LOAD_NOISE: Final = 0.2
# A host outside the aperture is selected if the least loaded one inside has more than this times its load.
SPILLOVER_LOAD_RATIO: Final = 2.0


class HostSelector:
    """Selects a host of a pool."""

    __slots__ = ("slow_start", "rng")

    def __init__(self, slow_start: SlowStart, rng: random.Random) -> None:
        self.slow_start, self.rng = slow_start, rng

    def select(
        self, pool: HostPool, work: float, may_probe: bool, tried: list[Host], now: float
    ) -> Host | None:
        """Select a host of the pool for `work` (ms); see `LoadBalancer.select`."""
        if pool.ejected.hosts:
            probe_host = self._select_probe(pool, work, may_probe, tried, now)
            if probe_host is not None:
                return probe_host
        if pool.warming.hosts:
            for host in pool.warming.sample(CANDIDATES, self.rng):
                share = self.slow_start.capacity_share(host, now)
                if self.slow_start.has_budget(host, share, work, now):
                    return host
        if pool.outside_aperture.occupied_ranks:
            best = self._least_loaded_by_aperture(pool, tried)
        else:
            best = self._least_loaded_ranked(pool, pool.inside_aperture, tried)
        return best if best is not None else self._first_to_expire(pool.ejected, work, tried, now)

    def select_in_locality(
        self, locality: Locality, work: float, tried: list[Host], now: float
    ) -> Host | None:
        """Select a host of the locality for `work` (ms): a warming one with budget, else the least loaded."""
        best, best_load = None, inf
        for host in locality.usable.sample(LOCALITY_CANDIDATES, self.rng):
            if host.group == WARMING:
                if self.slow_start.has_budget(host, self.slow_start.capacity_share(host, now), work, now):
                    return host
                continue
            load = self._noisy_load(host)
            if host in tried:
                load *= TRIED_LOAD_FACTOR
            if load < best_load:
                best, best_load = host, load
        return best if best is not None else self._first_to_expire(locality.ejected, work, tried, now)

    def _noisy_load(self, host: Host) -> float:
        return host.load() * (1 + MAX_LOAD_NOISE * self.rng.random())

    def _select_probe(
        self, pool: HostPool, work: float, may_probe: bool, tried: list[Host], now: float
    ) -> Host | None:
        """Select an ejected host to probe: one whose ejection has expired and that has no open requests."""
        outliers.add_to_probe_budget(pool)
        if not may_probe or not outliers.is_probe_allowed(pool):
            return None
        for host in pool.ejected.sample(CANDIDATES, self.rng):
            probe_due = not host.open_requests and now >= host.ejected_until_ms
            if probe_due and self.slow_start.allows(host, work, now) and host not in tried:
                outliers.spend_probe_budget(pool)
                return host
        return None

    def _least_loaded_by_aperture(self, pool: HostPool, tried: list[Host]) -> Host | None:
        """The least loaded host inside the aperture, unless a host outside has far less load.

        Otherwise the loss of a zone, or a burst, would overload the few hosts that are left inside.
        """
        best = self._least_loaded_ranked(pool, pool.inside_aperture, tried)
        load = best.load() if best is not None and best not in tried else 0.0
        occupied = pool.outside_aperture.occupied_ranks
        lowest = (occupied & -occupied).bit_length() - 1
        if not load or load > SPILLOVER_LOAD_RATIO * MIN_LOAD_OF_RANK[lowest]:
            other = self._least_loaded_ranked(pool, pool.outside_aperture, tried)
            if other is not None and (not load or load > SPILLOVER_LOAD_RATIO * other.load()):
                return other
        return best

    def _least_loaded_ranked(self, pool: HostPool, ranking: RankedHosts, tried: list[Host]) -> Host | None:
        """The least loaded of a few hosts of the lowest ranks.

        At most `CANDIDATES` untried hosts are examined. The search ends earlier, with an exact result, at a
        rank whose lower bound is not below the best load found.
        """
        best, best_load, remaining = None, inf, CANDIDATES
        ranks, rng = ranking.occupied_ranks, self.rng
        random = rng.random
        while ranks and remaining > 0:
            lowest_bit = ranks & -ranks
            rank = lowest_bit.bit_length() - 1
            if MIN_LOAD_OF_RANK[rank] >= best_load:
                break
            candidates = sample(ranking.by_rank[rank], remaining, rng)
            if tried:
                candidates = [host for host in candidates if host not in tried]
            remaining -= len(candidates)
            for host in candidates:  # `_noisy_load` inlined: this loop is most of the cost of a selection
                load = (host.open_requests + 1) * host.load_per_request * (1 + MAX_LOAD_NOISE * random())
                if load < best_load:
                    best, best_load = host, load
            ranks ^= lowest_bit
        # Tried hosts are scored separately, so that they do not count towards the limit of candidates.
        for host in tried:
            if host.group == READY and host.pool is pool:
                load = TRIED_LOAD_FACTOR * self._noisy_load(host)
                if load < best_load:
                    best, best_load = host, load
        return best

    def _first_to_expire(
        self, ejected: IndexedSet, work: float, tried: list[Host], now: float
    ) -> Host | None:
        """The ejected host whose ejection expires first, as a last resort; excludes hosts due for a probe."""
        best = None
        for host in ejected.sample(LOCALITY_CANDIDATES, self.rng):
            if host in tried or not (host.open_requests or now < host.ejected_until_ms):
                continue
            if not self.slow_start.allows(host, work, now):
                continue
            if best is None or host.ejected_until_ms < best.ejected_until_ms:
                best = host
        return best
