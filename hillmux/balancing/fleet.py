"""What a gateway knows of the servers, and which of them is the best for a request.

Theory of operation. Each listed server that is up stands in one group of its pool: ready (well and warm),
cold, or failing. Ready ones are ranked by how loaded they are (open requests and pace over nominal speed) in
steps of an eighth; a rank is a list without order, and one integer has a bit for each rank in use. A request
or an outcome moves one server to a neighbouring rank. To choose, a few servers of the lowest ranks are drawn
and scored in full. So no cost here grows with the fleet: where a request may go to a few servers only, and
among cold and failing ones, a bounded number is looked at from a random start.

Where many gateways each see little traffic, a gateway prefers some of its ready hosts, its aperture, so that
their connections are kept and their times known: the deterministic subsets of Site Reliability Engineering
(ch. 20) on a ring as in Finagle's aperture. All gateways lay the same hosts on one ring; each begins at its
own place, so every host is in as many apertures as the next. What is not in it stays ranked, apart.

Sums (up, cold, failing, open on well ones) and a histogram of pace are kept up as servers change. Every
change of a server ends in `place`. Free of I/O; times in milliseconds; part of the decision module.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from hashlib import blake2s
from heapq import heapify, heappop, heappush
from itertools import chain
from math import log2, sqrt

from hillmux import interface as api
from hillmux.interface import HostStatus, Idempotency, ListKind
from hillmux.quotas.parts import draw

LATENCY_RATIO_WEIGHT = 0.2  # weight of one outcome in a host's running pace
BASE_EJECTION_MS, MAX_EJECTION_MS = (
    500.0,
    4000.0,
)  # a failing host's rest before one trial, doubled to the second
OUTLIER_LATENCY_RATIO = (
    2.5  # a host this many times slower than the fleet is unwell: no q samples, no patience
)
SLOW_START_SHARE = (
    0.5  # part of the cold budget that we use: capacity is only guessed and others may run ahead
)
TRIED_LOAD_FACTOR = 4.0  # what having been tried adds to a host's load, as a factor
MAX_LOAD_NOISE = (
    0.2  # up to this part is added to a load by chance: gateways with one view must not all pick one host
)
CANDIDATES, LOCALITY_CANDIDATES = (
    8,
    64,
)  # hosts looked at in a pick: ready, cold or failing ones; where few hosts will do
PROBES_PER_REQUEST, MAX_PROBE_BUDGET = (
    0.2,
    10.0,
)  # trials per request while others are ready, and how many are saved up
MAX_LATENCY_RATIO, MIN_LATENCY_RATIO = (
    20.0,
    2.0**-6,
)  # bounds of a running pace, as a multiple of the usual one
RANKS_PER_DOUBLING, RANKS, RANK_OF_UNIT_LOAD = (
    6,
    512,
    256,
)  # ranks in a doubling of load, ranks in all, the rank of load 1
BINS_PER_DOUBLING, LATENCY_BINS, BIN_OF_RATIO_1 = 16, 176, 96  # the same for the histogram of pace
MIN_LOAD_OF_RANK = [
    0.0,
    *(2.0 ** ((r - RANK_OF_UNIT_LOAD) / RANKS_PER_DOUBLING) for r in range(1, RANKS)),
]  # least load of each rank
RANKS_FOR_REQUESTS = [RANKS_PER_DOUBLING * log2(n + 1) for n in range(1024)]  # ranks that n open requests add
REQUEST_SPACING_MS = (
    1500.0  # a host in the aperture sees a request of ours in this time: its connection is kept
)
MIN_APERTURE, APERTURES_PER_HOST = (
    8,
    6,
)  # hosts in it at least, and apertures that each host is in: traffic is uneven
SPILLOVER_LOAD_RATIO = 2.0  # a host outside of it is taken where the best inside is so many times as loaded
RESIZE_FACTOR = 1.25  # it is laid out anew where its size is off by that factor: each change costs dials
UNAVAILABLE, READY, WARMING, EJECTED = range(4)


class Host:
    """What this gateway knows of one server."""

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
        self.latency_ratio = 1.0  # running latency over its class's usual one
        self.consecutive_failures = self.ejections = 0
        self.ejected_until_ms = 0.0
        self.connection_refused = False  # connections failed: what answers next may have just started
        self.started_at_ms = self.warming_since_ms = 0.0
        self.slow_start_credit = self.slow_start_credit_at_ms = (
            0.0  # work that we may send it while cold, as of when
        )
        self.listed = self.disabled = False  # out: by hand
        self.group = UNAVAILABLE
        self.pool: HostPool | None = None  # while it is up
        self.localities: list[Locality] = []
        self.ring_position = blake2s(self.name.encode(), digest_size=8).digest()  # on the ring that all share
        self.in_aperture = True  # it is in the aperture
        self.ranking: RankedHosts | None = None  # where it is ranked while it is ready
        self.rank, self.rank_index = -1, 0  # its rank among the ready, and its place in that
        self.latency_bin = BIN_OF_RATIO_1  # its bin in the histogram
        self.update(endpoint)

    def update(self, endpoint: api.Endpoint) -> None:
        """Take over a line of the list; a newer start makes a new, cold server of it."""
        self.endpoint = endpoint
        self.zone, self.cell, self.capacity = endpoint.zone, endpoint.cell, max(endpoint.capacity, 1e-6)
        self.log_capacity = log2(self.capacity)
        self.pool_name = endpoint.pool
        self.up = endpoint.status == HostStatus.UP
        if endpoint.started_at_ms > self.started_at_ms:
            self.started_at_ms = self.warming_since_ms = endpoint.started_at_ms
            self.consecutive_failures = self.ejections = 0
            self.ejected_until_ms, self.connection_refused, self.latency_ratio = 0.0, False, 1.0
        self.update_load()

    def update_load(self) -> None:
        """Its load with one request, from pace and nominal speed.

        Speed is noise of what others send; weighing it in full herds us onto one server. No zone is
        preferred: where traffic leans to one for good, its servers alone would bear it.
        """
        log_slow = log2(self.latency_ratio)
        self.load_per_request = sqrt(self.latency_ratio) / self.capacity
        self.idle_rank = RANK_OF_UNIT_LOAD + RANKS_PER_DOUBLING * (log_slow / 2 - self.log_capacity)
        self.latency_bin = int(BIN_OF_RATIO_1 + BINS_PER_DOUBLING * log_slow)


class IndexedSet:
    """Hosts in no order; adding, dropping and drawing one take constant time."""

    __slots__ = ("hosts", "_index")

    def __init__(self) -> None:
        self.hosts: list[Host] = []
        self._index: dict[Host, int] = {}

    def add(self, host: Host) -> None:
        self._index[host] = len(self.hosts)
        self.hosts.append(host)

    def remove(self, host: Host) -> None:
        at, last = self._index.pop(host), self.hosts.pop()
        if last is not host:
            self.hosts[at], self._index[last] = last, at

    def sample(self, most: int, rng: random.Random) -> list[Host]:
        """`most` of them from a random start on, or all."""
        count = len(self.hosts)
        if count <= most:
            return self.hosts
        start = int(rng.random() * count)
        return self.hosts[start : start + most] + self.hosts[: max(start + most - count, 0)]


class Locality:
    """The hosts of one zone, or of one cell, for what may go nowhere else."""

    __slots__ = ("usable", "ejected")

    def __init__(self) -> None:
        self.usable, self.ejected = IndexedSet(), IndexedSet()


class RankedHosts:
    """Ready hosts by rank: those in the aperture, or those outside of it."""

    __slots__ = ("by_rank", "occupied_ranks")

    def __init__(self) -> None:
        self.by_rank: dict[int, list[Host]] = {}
        self.occupied_ranks = 0  # bit r: rank r holds somebody


class HostPool:
    """The hosts that serve one pool, by group."""

    __slots__ = ("host_count", "inside", "outside", "warming", "ejected", "localities", "probe_budget")

    def __init__(self) -> None:
        self.host_count = 0
        self.inside, self.outside = RankedHosts(), RankedHosts()
        self.warming, self.ejected = IndexedSet(), IndexedSet()
        self.localities: dict[tuple[str | int, ...], Locality] = {}
        self.probe_budget = MAX_PROBE_BUDGET


def _scopes(settings: api.Settings) -> set[str]:
    """Where repeats of keyed requests are bound to: they need regions."""
    return {c.key_scope for c in settings.classes if c.idempotency == Idempotency.KEYED}


class LoadBalancer:
    """All listed servers, and the choice among them."""

    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        self.settings, self.rng = settings, rng
        self.locality_scopes = _scopes(settings)
        self.hosts: dict[str, Host] = {}
        self.disabled_since: dict[str, float] = {}  # hosts out by hand, listed or not, and since when
        self.now = 0.0
        self.open_on_healthy = 0  # requests open on listed hosts that do not fail
        self.available_count = self.warming_count = self.ejected_count = (
            0  # listed hosts that are up, and what of them is cold or fails
        )
        self.median_latency_ratio, self.most_are_ejected = (
            1.0,
            False,
        )  # the hosts' median pace; whether over half of them fail
        self.warm_work = self.warm_work_rate = 0.0  # work sent to warm hosts, and per ms and host
        self.pools: dict[str, HostPool] = {}
        self.latency_histogram = [0] * LATENCY_BINS
        self.warm_up_queue: list[
            tuple[float, int, Host]
        ] = []  # when cold hosts will be warm; may hold stale ones
        self.queued_count = 0  # breaks ties there
        self.ring_changed, self.aperture_size = True, 0  # hosts came or went; the size laid out last, 0: all
        self.requests_since_sweep, self.request_rate = 0, 0.0  # requests since the last sweep, and per ms

    # --- The list ---

    def update_endpoints(self, event: api.EndpointList) -> None:
        """Take over a list, whole or in part."""
        if event.kind != ListKind.CHANGES:
            named = {s.name for s in event.endpoints}
            for name in [n for n in self.hosts if n not in named]:
                self._remove_host(name)
        for server in event.endpoints:
            host = self.hosts.get(server.name)
            if server.status == HostStatus.REMOVED:
                if host is not None:
                    self._remove_host(server.name)
            elif host is None:
                host = self.hosts[server.name] = Host(server)
                host.listed, host.disabled = True, server.name in self.disabled_since
                self.reindex(host)
            elif host.endpoint != server:  # a list replaced whole mostly says what we know
                self.move(host, UNAVAILABLE)
                self.open_on_healthy -= 0 if host.ejections else host.open_requests
                host.update(server)
                self.open_on_healthy += 0 if host.ejections else host.open_requests
                self.reindex(host)
        if event.kind != ListKind.CHANGES:
            self.layout_aperture()

    def _remove_host(self, name: str) -> None:
        host = self.hosts.pop(name)
        self.move(host, UNAVAILABLE)
        self.open_on_healthy -= 0 if host.ejections else host.open_requests
        host.listed = False

    def set_disabled(self, name: str, out: bool) -> None:
        """Take a host out, or put it back. Attempts that are out on it go on."""
        since = self.disabled_since.get(name) if out else self.disabled_since.pop(name, None)
        if out:
            self.disabled_since.setdefault(name, self.now)
        host = self.hosts.get(name)
        if host is None or host.disabled == out:
            return
        self.move(host, UNAVAILABLE)
        host.disabled = out
        if not out and since is not None:
            # Danger: it was most likely restarted meanwhile, and the list tells of that late. It is cold from
            # now on unless a start was told since. Hurts: one that was left running gets little at first.
            host.connection_refused = host.started_at_ms < since
            self.record_success(host)
        self.reindex(host)

    def change_settings(self, settings: api.Settings) -> None:
        """New settings: cold times and scopes may differ."""
        for host in self.hosts.values():
            self.move(host, UNAVAILABLE)
        self.settings, self.locality_scopes = settings, _scopes(settings)
        for host in self.hosts.values():
            self.reindex(host)

    # --- Groups and ranks ---

    def reindex(self, host: Host) -> None:
        """Put a host where its state belongs; called after each change of it."""
        if host.group != READY or host.ejections or host.warming_since_ms:
            if not host.listed or not host.up or host.disabled:
                group = UNAVAILABLE
            elif host.ejections:
                group = EJECTED
            elif host.warming_since_ms and self.warm_up_fraction(host) < 1:
                group = WARMING
            else:
                group, host.warming_since_ms = READY, 0.0
            if group != host.group:
                self.move(host, group)
            if group != READY:
                return
        count = host.open_requests
        rank = int(
            host.idle_rank
            + (RANKS_FOR_REQUESTS[count] if count < 1024 else RANKS_PER_DOUBLING * log2(count + 1))
        )
        if rank == host.rank:
            return
        rank = min(max(rank, 0), RANKS - 1)
        if host.rank >= 0:
            self.unrank(host)
        tier = host.ranking
        assert tier is not None
        held = tier.by_rank.get(rank)
        if held is None:
            held = tier.by_rank[rank] = []
        host.rank, host.rank_index = rank, len(held)
        held.append(host)
        tier.occupied_ranks |= 1 << rank

    @staticmethod
    def unrank(host: Host) -> None:
        tier = host.ranking
        assert tier is not None
        held = tier.by_rank[host.rank]
        last = held.pop()
        if last is not host:
            held[host.rank_index] = last
            last.rank_index = host.rank_index
        if not held:
            tier.occupied_ranks ^= 1 << host.rank
        host.rank = -1

    def move(self, host: Host, group: int) -> None:
        """From one group to another, with all sums; `place` gives a ready one its rank."""
        old, host.group = host.group, group
        if old == group:
            return
        if old == UNAVAILABLE:
            self._add_to_pool(host)
        home = host.pool
        assert home is not None
        if old == READY:
            self.unrank(host)
        elif old == WARMING:
            home.warming.remove(host)
            self.warming_count -= 1
        elif old == EJECTED:
            home.ejected.remove(host)
            self.ejected_count -= 1
        if group == WARMING:
            home.warming.add(host)
            self.warming_count += 1
            self.queued_count += 1
            heappush(
                self.warm_up_queue,
                (host.warming_since_ms + self.settings.slow_start_ms, self.queued_count, host),
            )
        elif group == EJECTED:
            home.ejected.add(host)
            self.ejected_count += 1
        for region in host.localities:
            if old != UNAVAILABLE:
                (region.ejected if old == EJECTED else region.usable).remove(host)
            if group != UNAVAILABLE:
                (region.ejected if group == EJECTED else region.usable).add(host)
        if group == UNAVAILABLE:
            self._remove_from_pool(host, home)

    def _add_to_pool(self, host: Host) -> None:
        """It is up: into its pool, and the regions that requests may be bound to."""
        self.available_count += 1
        self.ring_changed = True
        self.latency_histogram[host.latency_bin] += 1
        home = host.pool = self.pools.get(host.pool_name)
        if home is None:
            home = host.pool = self.pools[host.pool_name] = HostPool()
        home.host_count += 1
        # Danger: what was outside when it left would stay there where all are inside meanwhile.
        host.in_aperture = host.in_aperture or not self.aperture_size
        host.ranking = home.inside if host.in_aperture else home.outside
        for scope, key in (("zone", (host.zone,)), ("cell", (host.zone, host.cell))):
            if scope in self.locality_scopes:
                region = home.localities.get(key)
                if region is None:
                    region = home.localities[key] = Locality()
                host.localities.append(region)

    def _remove_from_pool(self, host: Host, home: HostPool) -> None:
        """It is up no longer. What it leaves empty goes: renamed pools and zones must not fill the memory."""
        self.available_count -= 1
        self.ring_changed = True
        self.latency_histogram[host.latency_bin] -= 1
        for key in ((host.zone,), (host.zone, host.cell)):
            region = home.localities.get(key)
            if region is not None and not region.usable.hosts and not region.ejected.hosts:
                del home.localities[key]
        home.host_count -= 1
        if not home.host_count:
            del self.pools[host.pool_name]
        host.pool = None
        host.localities = []

    # --- Requests ---

    def request_started(self, host: Host, work: float) -> None:
        """A request with `work`, ms of service, goes to it."""
        host.open_requests += 1
        self.requests_since_sweep += 1
        if not host.ejections and host.listed:
            self.open_on_healthy += 1
        if host.warming_since_ms and self.warm_up_fraction(host) < 1:
            host.slow_start_credit -= work
        else:
            self.warm_work += work
        self.reindex(host)

    def request_ended(self, host: Host) -> None:
        """A request on it is over; `place` is to be called once its outcome is judged."""
        host.open_requests -= 1
        if not host.ejections and host.listed:
            self.open_on_healthy -= 1

    def record_latency_ratio(self, host: Host, pace: float) -> None:
        """An outcome at `pace` times the usual latency."""
        slow = host.latency_ratio + LATENCY_RATIO_WEIGHT * (
            (pace if pace < MAX_LATENCY_RATIO else MAX_LATENCY_RATIO) - host.latency_ratio
        )
        host.latency_ratio = slow if slow > MIN_LATENCY_RATIO else MIN_LATENCY_RATIO
        old = host.latency_bin
        host.update_load()
        if host.group != UNAVAILABLE and host.latency_bin != old:
            self.latency_histogram[old] -= 1
            self.latency_histogram[host.latency_bin] += 1

    def record_success(self, host: Host) -> None:
        """It has answered."""
        if host.connection_refused:
            # Danger: a host back from the dead is cold long before the list says so.
            host.warming_since_ms, host.connection_refused = max(host.warming_since_ms, self.now), False
        if host.ejections and host.listed:
            self.open_on_healthy += host.open_requests
        host.consecutive_failures = host.ejections = 0

    def eject(self, host: Host) -> bool:
        """It fails: it rests, longer each time. False while it rests already."""
        if host.ejections and self.now < host.ejected_until_ms:
            return False
        if not host.ejections and host.listed:
            self.open_on_healthy -= host.open_requests
        host.ejected_until_ms = self.now + min(BASE_EJECTION_MS * 2**host.ejections, MAX_EJECTION_MS)
        host.ejections = min(host.ejections + 1, 10)
        return True

    def is_outlier(self, host: Host) -> bool:
        """Worse than its fellows. When all are slow or failing none is: then it is f that must act."""
        return host.latency_ratio > OUTLIER_LATENCY_RATIO * self.median_latency_ratio or (
            host.ejections > 0 and not self.most_are_ejected
        )

    def skipped_count(self) -> int:
        """Listed hosts that get no request now: they drain, are out by hand, or rest."""
        return sum(
            h.group == UNAVAILABLE or (h.ejections > 0 and self.now < h.ejected_until_ms)
            for h in self.hosts.values()
        )

    # --- Time ---

    def warm_up_fraction(self, host: Host) -> float:
        """The least part of its capacity that a host may have after its start."""
        if not host.warming_since_ms or self.settings.slow_start_ms <= 0:
            return 1.0
        if (
            self.now >= host.warming_since_ms + self.settings.slow_start_ms
        ):  # as `warm_up` reckons: the two must agree
            return 1.0
        age = self.now - host.warming_since_ms
        return (
            self.settings.slow_start_min_share
            + (1 - self.settings.slow_start_min_share) * max(age, 0.0) / self.settings.slow_start_ms
        )

    def finish_warm_ups(self) -> None:
        """Hosts that have become warm by now join the ready ones."""
        while self.warm_up_queue and self.warm_up_queue[0][0] <= self.now:
            host = heappop(self.warm_up_queue)[2]
            if host.group == WARMING:
                self.reindex(host)

    def sweep(self, span: float, keep: float) -> None:
        """Refresh what is weighed seldom: the median pace, the yardstick of a warm host, the aperture."""
        self.finish_warm_ups()
        memory = REQUEST_SPACING_MS / (REQUEST_SPACING_MS + span)
        self.request_rate = memory * self.request_rate + (1 - memory) * self.requests_since_sweep / span
        self.requests_since_sweep = 0
        self.layout_aperture()
        half, seen = self.available_count // 2, 0
        self.median_latency_ratio = 1.0
        if self.available_count:
            for pace, count in enumerate(self.latency_histogram):
                seen += count
                if seen > half:
                    self.median_latency_ratio = max(
                        2.0 ** ((pace + 0.5 - BIN_OF_RATIO_1) / BINS_PER_DOUBLING), 1.0
                    )
                    break
        self.most_are_ejected = 2 * self.ejected_count > self.available_count
        warm = self.available_count - self.ejected_count - self.warming_count
        if warm:
            self.warm_work_rate = keep * self.warm_work_rate + (1 - keep) * self.warm_work / span / warm
        self.warm_work = 0.0
        if (
            len(self.warm_up_queue) > 2 * self.warming_count + LOCALITY_CANDIDATES
        ):  # of hosts that left, or died and came back
            cold = [h for pool in self.pools.values() for h in pool.warming.hosts]
            self.warm_up_queue = [
                (h.warming_since_ms + self.settings.slow_start_ms, i, h) for i, h in enumerate(cold)
            ]
            heapify(self.warm_up_queue)
            self.queued_count = len(cold)

    def layout_aperture(self) -> None:
        """Lay the aperture: as many hosts from this gateway's place on the ring on as its traffic keeps warm.

        Danger: a host in too few apertures idles, one in too many is flooded; by place in the order, not by
        angle, each is in as many as the next, whatever its name. Hurts: a host that comes or goes moves the
        ends of the others' apertures by one. Lists that differ for a while do no more than that.
        """
        wide = max(
            MIN_APERTURE,
            APERTURES_PER_HOST * self.available_count / self.settings.fleet_size,
            REQUEST_SPACING_MS * self.request_rate,
        )
        size = (
            int(wide)
            if wide * (RESIZE_FACTOR if self.aperture_size else RESIZE_FACTOR**2) < self.available_count
            else 0
        )
        if self.aperture_size and size and 1 / RESIZE_FACTOR < size / self.aperture_size < RESIZE_FACTOR:
            size = self.aperture_size
        if size == self.aperture_size and not (size and self.ring_changed):
            return
        self.aperture_size, self.ring_changed = size, False
        ring = sorted(
            (h for h in self.hosts.values() if h.group != UNAVAILABLE), key=lambda h: h.ring_position
        )
        first = len(ring) * self.settings.gateway_index // self.settings.fleet_size
        for at, host in enumerate(chain(ring[first:], ring[:first])):
            near = at < size or not size
            if near != host.in_aperture:
                host.in_aperture = near
                home, ranked = host.pool, host.rank >= 0
                assert home is not None
                if ranked:
                    self.unrank(host)
                host.ranking = home.inside if near else home.outside
                if ranked:
                    self.reindex(host)

    # --- Choice ---

    def has_slow_start_budget(self, host: Host, warmth: float, work: float) -> bool:
        """Whether our part of a cold host's budget holds `work`; a part of it is drawn for.

        The yardstick is what this gateway itself sends to a warm host, so the parts of all gateways add up to
        what the fleet sends to one, times warmth. Danger: parts under one request; one for each gateway would
        tip the host, none leave it idle. Hurts: those with no yardstick yet send lone requests only.
        """
        if self.warm_work_rate <= 0:
            return host.open_requests == 0 and self.rng.random() * self.settings.fleet_size < 1
        rate = min(SLOW_START_SHARE * self.settings.overload_multiple, 1.0) * warmth * self.warm_work_rate
        span = self.now - max(host.slow_start_credit_at_ms, host.warming_since_ms)
        host.slow_start_credit = min(
            host.slow_start_credit + rate * span, rate * self.settings.overload_after_ms / 2
        )
        host.slow_start_credit_at_ms = self.now
        host.slow_start_credit = draw(self.rng, host.slow_start_credit, work)
        return host.slow_start_credit >= work

    def select(
        self, pool: str, work: float, safe: bool, tried: list[Host], region: tuple[str | int, ...] = ()
    ) -> Host | None:
        """A failing host whose rest is over gets a lone trial, a cold one our part, else the least loaded.

        `region` is the zone, or zone and cell, that a repeat of a keyed request must stay in; () for none.
        """
        home = self.pools.get(pool)
        if home is None:
            return None
        if self.warm_up_queue:
            self.finish_warm_ups()
        if region:
            there = home.localities.get(region)
            if there is None:
                return None
            best = self._least_loaded_of(there.usable.sample(LOCALITY_CANDIDATES, self.rng), work, tried)
            return best if best is not None else self._soonest_readmitted(there.ejected, work, tried)
        if home.ejected.hosts:
            home.probe_budget = min(home.probe_budget + PROBES_PER_REQUEST, MAX_PROBE_BUDGET)
            # Danger: where most of a large fleet fails, trials would take all requests from the hosts left.
            if safe and (
                home.probe_budget >= 1 or not (home.inside.occupied_ranks or home.outside.occupied_ranks)
            ):
                for host in home.ejected.sample(CANDIDATES, self.rng):
                    if self._may_probe(host, work) and host not in tried:
                        home.probe_budget = max(home.probe_budget - 1, 0.0)
                        return host
        if home.warming.hosts:
            for host in home.warming.sample(CANDIDATES, self.rng):
                if self.has_slow_start_budget(host, self.warm_up_fraction(host), work):
                    return host
        best = (
            self._least_loaded_by_aperture(home, tried)
            if home.outside.occupied_ranks
            else self._least_loaded_ranked(home, home.inside, tried)
        )
        return best if best is not None else self._soonest_readmitted(home.ejected, work, tried)

    def _least_loaded_by_aperture(self, home: HostPool, tried: list[Host]) -> Host | None:
        """The least loaded of the aperture, unless one outside of it is far less so: a lost zone, or a burst,
        must not jam the few."""
        best = self._least_loaded_ranked(home, home.inside, tried)
        load = (
            (best.open_requests + 1) * best.load_per_request
            if best is not None and best not in tried
            else 0.0
        )
        lowest = home.outside.occupied_ranks & -home.outside.occupied_ranks
        if not load or load > SPILLOVER_LOAD_RATIO * MIN_LOAD_OF_RANK[lowest.bit_length() - 1]:
            other = self._least_loaded_ranked(home, home.outside, tried)
            if other is not None and (
                not load or load > SPILLOVER_LOAD_RATIO * (other.open_requests + 1) * other.load_per_request
            ):
                return other
        return best

    def _least_loaded_ranked(self, home: HostPool, tier: RankedHosts, tried: list[Host]) -> Host | None:
        """The least loaded of some of the lowest ranks: all that could be it, where that is a few."""
        best, best_load, looks = None, 0.0, CANDIDATES
        mask, random = tier.occupied_ranks, self.rng.random
        while mask and looks > 0:
            low = mask & -mask
            rank = low.bit_length() - 1
            if best is not None and MIN_LOAD_OF_RANK[rank] >= best_load:
                break
            held = tier.by_rank[rank]
            count = len(held)
            at = int(random() * count) if count > looks else 0
            for i in range(at - count, at - count + min(count, looks)):
                host = held[i]
                if tried and host in tried:
                    continue
                load = (host.open_requests + 1) * host.load_per_request * (1 + MAX_LOAD_NOISE * random())
                looks -= 1
                if best is None or load < best_load:
                    best, best_load = host, load
            mask ^= low
        # A host that was tried costs four times its load; it is scored apart, so that it takes no look.
        for host in tried:
            if host.group == READY and host.pool is home:
                load = (
                    TRIED_LOAD_FACTOR
                    * (host.open_requests + 1)
                    * host.load_per_request
                    * (1 + MAX_LOAD_NOISE * random())
                )
                if best is None or load < best_load:
                    best, best_load = host, load
        return best

    def _least_loaded_of(self, hosts: Iterable[Host], work: float, tried: list[Host]) -> Host | None:
        """The same among a few given hosts: a cold one with room first."""
        best, best_load = None, 0.0
        for host in hosts:
            if host.group == WARMING:
                if self.has_slow_start_budget(host, self.warm_up_fraction(host), work):
                    return host
                continue
            load = (host.open_requests + 1) * host.load_per_request * (1 + MAX_LOAD_NOISE * self.rng.random())
            if host in tried:
                load *= TRIED_LOAD_FACTOR
            if best is None or load < best_load:
                best, best_load = host, load
        return best

    def _has_budget(self, host: Host, work: float) -> bool:
        warmth = self.warm_up_fraction(host)
        return warmth >= 1 or self.has_slow_start_budget(host, warmth, work)

    def _may_probe(self, host: Host, work: float) -> bool:
        """Whether a lone request may try it: its rest is over and nothing is open on it."""
        return not host.open_requests and self.now >= host.ejected_until_ms and self._has_budget(host, work)

    def _soonest_readmitted(self, failing: IndexedSet, work: float, tried: list[Host]) -> Host | None:
        """Where nothing else is left: the failing host whose rest ends first, unless a trial of it is due."""
        best = None
        for host in failing.sample(LOCALITY_CANDIDATES, self.rng):
            if host in tried or not (host.open_requests or self.now < host.ejected_until_ms):
                continue
            if not self._has_budget(host, work):
                continue
            if best is None or host.ejected_until_ms < best.ejected_until_ms:
                best = host
        return best
