"""The choice of a host for one attempt.

An ejected host whose time is over is probed by a lone request, a warming one gets this gateway's part of its
budget, and else the least loaded is chosen. No more than a fixed number of hosts is looked at, however many
there are: ready ones from the lowest ranks on, others from a random start.
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

CANDIDATES: Final = 8  # ready, warming or ejected hosts that are looked at for one attempt
LOCALITY_CANDIDATES: Final = 64  # the same where only a locality's hosts, or resting ones, are left
TRIED_LOAD_FACTOR: Final = 4.0  # of a host that the request was sent to before
# Part of its load that is added to a host's at random: gateways that know the same must not choose the same.
MAX_LOAD_NOISE: Final = 0.2
# Times the load of the least loaded host inside of the aperture at which one outside is taken.
SPILLOVER_LOAD_RATIO: Final = 2.0


class HostSelector:
    """Chooses a host among those of a pool."""

    __slots__ = ("slow_start", "rng")

    def __init__(self, slow_start: SlowStart, rng: random.Random) -> None:
        self.slow_start, self.rng = slow_start, rng

    def select(
        self, pool: HostPool, work: float, may_probe: bool, tried: list[Host], now: float
    ) -> Host | None:
        """A host of the pool for `work` (ms); see `LoadBalancer.select`."""
        if pool.ejected.hosts:
            probed = self._select_probe(pool, work, may_probe, tried, now)
            if probed is not None:
                return probed
        if pool.warming.hosts:
            for host in pool.warming.sample(CANDIDATES, self.rng):
                share = self.slow_start.capacity_share(host, now)
                if self.slow_start.has_budget(host, share, work, now):
                    return host
        if pool.outside.occupied_ranks:
            best = self._least_loaded_by_aperture(pool, tried)
        else:
            best = self._least_loaded_ranked(pool, pool.inside, tried)
        return best if best is not None else self._first_readmitted(pool.ejected, work, tried, now)

    def select_in_locality(
        self, locality: Locality, work: float, tried: list[Host], now: float
    ) -> Host | None:
        """A host of the locality for `work` (ms): a warming one with a budget, else the least loaded."""
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
        return best if best is not None else self._first_readmitted(locality.ejected, work, tried, now)

    def _noisy_load(self, host: Host) -> float:
        return host.load() * (1 + MAX_LOAD_NOISE * self.rng.random())

    def _select_probe(
        self, pool: HostPool, work: float, may_probe: bool, tried: list[Host], now: float
    ) -> Host | None:
        """An ejected host that a lone request may probe: its time is over and nothing is open on it."""
        outliers.earn_probe_budget(pool)
        if not may_probe or not outliers.may_probe(pool):
            return None
        for host in pool.ejected.sample(CANDIDATES, self.rng):
            due = not host.open_requests and now >= host.ejected_until_ms
            if due and self.slow_start.allows(host, work, now) and host not in tried:
                outliers.spend_probe(pool)
                return host
        return None

    def _least_loaded_by_aperture(self, pool: HostPool, tried: list[Host]) -> Host | None:
        """The least loaded inside of the aperture, unless one outside is loaded far less.

        A zone that is lost, or a burst, must not overload the few that are left inside.
        """
        best = self._least_loaded_ranked(pool, pool.inside, tried)
        load = best.load() if best is not None and best not in tried else 0.0
        occupied = pool.outside.occupied_ranks
        lowest = (occupied & -occupied).bit_length() - 1
        if not load or load > SPILLOVER_LOAD_RATIO * MIN_LOAD_OF_RANK[lowest]:
            other = self._least_loaded_ranked(pool, pool.outside, tried)
            if other is not None and (not load or load > SPILLOVER_LOAD_RATIO * other.load()):
                return other
        return best

    def _least_loaded_ranked(self, pool: HostPool, ranking: RankedHosts, tried: list[Host]) -> Host | None:
        """The least loaded of a few hosts of the lowest ranks; exact where no more could be it."""
        best, best_load, left = None, inf, CANDIDATES
        ranks, rng = ranking.occupied_ranks, self.rng
        random = rng.random
        while ranks and left > 0:
            lowest_bit = ranks & -ranks
            rank = lowest_bit.bit_length() - 1
            if MIN_LOAD_OF_RANK[rank] >= best_load:
                break
            candidates = sample(ranking.by_rank[rank], left, rng)
            if tried:
                candidates = [host for host in candidates if host not in tried]
            left -= len(candidates)
            for host in candidates:  # written out: this loop is most of a choice's cost
                load = (host.open_requests + 1) * host.load_per_request * (1 + MAX_LOAD_NOISE * random())
                if load < best_load:
                    best, best_load = host, load
            ranks ^= lowest_bit
        # Hosts that were tried are scored apart, so that they take no candidate's place.
        for host in tried:
            if host.group == READY and host.pool is pool:
                load = TRIED_LOAD_FACTOR * self._noisy_load(host)
                if load < best_load:
                    best, best_load = host, load
        return best

    def _first_readmitted(
        self, ejected: IndexedSet, work: float, tried: list[Host], now: float
    ) -> Host | None:
        """The ejected host that is readmitted first, as a last resort; none that is due for a probe."""
        best = None
        for host in ejected.sample(LOCALITY_CANDIDATES, self.rng):
            if host in tried or not (host.open_requests or now < host.ejected_until_ms):
                continue
            if not self.slow_start.allows(host, work, now):
                continue
            if best is None or host.ejected_until_ms < best.ejected_until_ms:
                best = host
        return best
