"""All listed hosts by name, group and pool, with totals that are updated as hosts change."""

from __future__ import annotations

from hillmux import interface as api
from hillmux.balancing.host import EJECTED, READY, UNAVAILABLE, WARMING, Host
from hillmux.balancing.host_pool import HostPool, Locality
from hillmux.balancing.latency_histogram import LatencyHistogram
from hillmux.balancing.load_ranking import RANK_TABLE_SIZE, RANKS_FOR_REQUESTS, ranks_for_requests
from hillmux.balancing.slow_start import SlowStart
from hillmux.interface import Idempotency, KeyScope


def locality_scopes(settings: api.Settings) -> set[KeyScope]:
    """The scopes that retries with an idempotency key are bound to; localities are kept for these."""
    return {c.key_scope for c in settings.classes if c.idempotency == Idempotency.KEYED}


class HostSet:
    """The listed hosts, by name, pool and group.

    Each change of a host's state must be followed by `reindex`, which updates the host's group and rank.
    """

    __slots__ = (
        "slow_start",
        "locality_scopes",
        "hosts",
        "pools",
        "open_on_healthy",
        "available_count",
        "warming_count",
        "ejected_count",
        "latency_ratios",
        "membership_changed",
        "aperture_covers_all",
    )

    def __init__(self, settings: api.Settings, slow_start: SlowStart) -> None:
        self.slow_start = slow_start
        self.locality_scopes = locality_scopes(settings)
        self.hosts: dict[str, Host] = {}
        self.pools: dict[str, HostPool] = {}
        self.open_on_healthy = 0  # open requests on listed hosts that are not ejected
        self.available_count = 0  # hosts in any group except UNAVAILABLE
        self.warming_count = 0
        self.ejected_count = 0
        self.latency_ratios = LatencyHistogram()  # latency ratios of the available hosts
        # Whether hosts became available or unavailable since the aperture was last updated.
        self.membership_changed = True
        self.aperture_covers_all = True

    # Listing

    def add(self, endpoint: api.Endpoint, disabled: bool, now: float) -> None:
        """Add a host that is not listed."""
        host = self.hosts[endpoint.name] = Host(endpoint)
        host.listed, host.disabled = True, disabled
        self.reindex(host, now)

    def remove(self, name: str) -> None:
        """Remove a listed host; its open requests continue."""
        host = self.hosts.pop(name)
        self.detach(host)
        host.listed = False

    def detach(self, host: Host) -> None:
        """Remove a listed host from its group and from all totals, so that its endpoint may be replaced."""
        self.move(host, UNAVAILABLE)
        if not host.ejections:
            self.open_on_healthy -= host.open_requests

    def attach(self, host: Host, now: float) -> None:
        """Add a detached host to the group and the totals that its new state requires."""
        if not host.ejections:
            self.open_on_healthy += host.open_requests
        self.reindex(host, now)

    # Groups and ranks

    def reindex(self, host: Host, now: float) -> None:
        """Move a host to the group, and a ready host to the rank, that match its state at `now` (ms)."""
        if host.group != READY or host.ejections or host.warming_since_ms:
            group = self._group_of(host, now)
            if group == READY:
                host.warming_since_ms = 0.0
            if group != host.group:
                self.move(host, group)
            if group != READY:
                return
        count = host.open_requests
        rank = int(
            host.idle_rank
            + (RANKS_FOR_REQUESTS[count] if count < RANK_TABLE_SIZE else ranks_for_requests(count))
        )
        if rank != host.rank:
            ranking = host.ranking
            assert ranking is not None
            if host.rank >= 0:
                ranking.remove(host)
            ranking.add(host, rank)

    def _group_of(self, host: Host, now: float) -> int:
        if not host.listed or not host.up or host.disabled:
            return UNAVAILABLE
        if host.ejections:
            return EJECTED
        if host.warming_since_ms and self.slow_start.capacity_share(host, now) < 1:
            return WARMING
        return READY

    def move(self, host: Host, group: int) -> None:
        """Move a host to another group and update all totals; a ready host gets its rank from `reindex`."""
        old_group, host.group = host.group, group
        if old_group == group:
            return
        if old_group == UNAVAILABLE:
            self._add_to_pool(host)
        pool = host.pool
        assert pool is not None
        self._leave_group(host, pool, old_group)
        self._enter_group(host, pool, group)
        for locality in host.localities:
            if old_group != UNAVAILABLE:
                (locality.ejected if old_group == EJECTED else locality.usable).remove(host)
            if group != UNAVAILABLE:
                (locality.ejected if group == EJECTED else locality.usable).add(host)
        if group == UNAVAILABLE:
            self._remove_from_pool(host, pool)

    def _leave_group(self, host: Host, pool: HostPool, group: int) -> None:
        if group == READY:
            host.leave_rank()
        elif group == WARMING:
            pool.warming.remove(host)
            self.warming_count -= 1
        elif group == EJECTED:
            pool.ejected.remove(host)
            self.ejected_count -= 1

    def _enter_group(self, host: Host, pool: HostPool, group: int) -> None:
        if group == WARMING:
            pool.warming.add(host)
            self.warming_count += 1
            self.slow_start.enqueue(host)
        elif group == EJECTED:
            pool.ejected.add(host)
            self.ejected_count += 1

    def _add_to_pool(self, host: Host) -> None:
        """Add a host that became available to its pool, and to the localities that keyed retries need."""
        self.available_count += 1
        self.membership_changed = True
        self.latency_ratios.add(host.latency_bin)
        pool = host.pool = self.pools.get(host.pool_name)
        if pool is None:
            pool = host.pool = self.pools[host.pool_name] = HostPool()
        pool.host_count += 1
        # The aperture may have grown to all hosts while this host was unavailable, which left it outside.
        host.in_aperture = host.in_aperture or self.aperture_covers_all
        host.ranking = pool.inside_aperture if host.in_aperture else pool.outside_aperture
        if KeyScope.ZONE in self.locality_scopes:
            self._add_to_locality(host, pool, (host.zone,))
        if KeyScope.CELL in self.locality_scopes:
            self._add_to_locality(host, pool, (host.zone, host.cell))

    @staticmethod
    def _add_to_locality(host: Host, pool: HostPool, key: tuple[str | int, ...]) -> None:
        locality = pool.localities.get(key)
        if locality is None:
            locality = pool.localities[key] = Locality()
        host.localities.append(locality)

    def _remove_from_pool(self, host: Host, pool: HostPool) -> None:
        """Remove a host that became unavailable from its pool.

        Pools and localities that become empty are deleted; otherwise memory would grow with every renaming.
        """
        self.available_count -= 1
        self.membership_changed = True
        self.latency_ratios.remove(host.latency_bin)
        keys: tuple[tuple[str | int, ...], ...] = ((host.zone,), (host.zone, host.cell))
        for key in keys:
            locality = pool.localities.get(key)
            if locality is not None and not locality.usable.hosts and not locality.ejected.hosts:
                del pool.localities[key]
        pool.host_count -= 1
        if not pool.host_count:
            del self.pools[host.pool_name]
        host.pool = None
        host.localities = []

    def set_in_aperture(self, host: Host, in_aperture: bool, now: float) -> None:
        """Add an available host to the aperture, or remove it from there."""
        pool, ranked = host.pool, host.rank >= 0
        assert pool is not None
        host.in_aperture = in_aperture
        if ranked:
            host.leave_rank()
        host.ranking = pool.inside_aperture if in_aperture else pool.outside_aperture
        if ranked:
            self.reindex(host, now)

    def warming_hosts(self) -> list[Host]:
        """All hosts in slow start."""
        return [host for pool in self.pools.values() for host in pool.warming.hosts]
