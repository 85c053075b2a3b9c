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

GAIN = 0.2  # weight of one outcome in a host's running pace
BACKOFF_MS, BACKOFF_MAX_MS = 500.0, 4000.0  # a failing host's rest before one trial, doubled to the second
BAD = 2.5  # a host this many times slower than the fleet is unwell: no q samples, no patience
COLD_MARGIN = 0.5  # part of the cold budget that we use: capacity is only guessed and others may run ahead
TRIED = 4.0  # what having been tried adds to a host's load, as a factor
NOISE = 0.2  # up to this part is added to a load by chance: gateways with one view must not all pick one host
LOOKS, FAR_LOOKS = 8, 64  # hosts looked at in a pick: ready, cold or failing ones; where few hosts will do
TRIAL_SHARE, TRIAL_BANK = 0.2, 10.0  # trials per request while others are ready, and how many are saved up
SLOWEST, FASTEST = 20.0, 2.0**-6  # bounds of a running pace, as a multiple of the usual one
STEPS, RANKS, ZERO = 6, 512, 256  # ranks in a doubling of load, ranks in all, the rank of load 1
PACE_STEPS, PACES, PACE_ZERO = 16, 176, 96  # the same for the histogram of pace
LOWEST = [0.0, *(2.0 ** ((r - ZERO) / STEPS) for r in range(1, RANKS))]  # least load of each rank
RANKS_OPEN = [STEPS * log2(n + 1) for n in range(1024)]  # ranks that n open requests add
APERTURE_MS = 1500.0  # a host in the aperture sees a request of ours in this time: its connection is kept
APERTURE_MIN, COVER = 8, 6  # hosts in it at least, and apertures that each host is in: traffic is uneven
SPILL = 2.0  # a host outside of it is taken where the best inside is so many times as loaded
RESIZE = 1.25  # it is laid out anew where its size is off by that factor: each change costs dials
OUT, READY, COLD, FAILING = range(4)


class Host:
    """What this gateway knows of one server."""

    __slots__ = (
        "name",
        "zone",
        "cell",
        "nominal",
        "up",
        "born",
        "cold_from_ms",
        "open",
        "slow",
        "pool",
        "strikes",
        "fails",
        "down_until",
        "died",
        "credit",
        "credit_at",
        "server",
        "listed",
        "group",
        "home",
        "regions",
        "rank",
        "at",
        "pace",
        "load",
        "log_load",
        "log_nominal",
        "out",
        "place",
        "near",
        "tier",
    )

    def __init__(self, server: api.Endpoint) -> None:
        self.name = server.name
        self.open = 0
        self.slow = 1.0  # running latency over its class's usual one
        self.strikes = self.fails = 0
        self.down_until = 0.0
        self.died = False  # connections failed: what answers next may have just started
        self.born = self.cold_from_ms = 0.0
        self.credit = self.credit_at = 0.0  # work that we may send it while cold, as of when
        self.listed = self.out = False  # out: by hand
        self.group = OUT
        self.home: _Pool | None = None  # while it is up
        self.regions: list[_Region] = []
        self.place = blake2s(self.name.encode(), digest_size=8).digest()  # on the ring that all share
        self.near = True  # it is in the aperture
        self.tier: _Tier | None = None  # where it is ranked while it is ready
        self.rank, self.at = -1, 0  # its rank among the ready, and its place in that
        self.pace = PACE_ZERO  # its bin in the histogram
        self.update(server)

    def update(self, server: api.Endpoint) -> None:
        """Take over a line of the list; a newer start makes a new, cold server of it."""
        self.server = server
        self.zone, self.cell, self.nominal = server.zone, server.cell, max(server.capacity, 1e-6)
        self.log_nominal = log2(self.nominal)
        self.pool = server.pool
        self.up = server.status == HostStatus.UP
        if server.started_at_ms > self.born:
            self.born = self.cold_from_ms = server.started_at_ms
            self.strikes = self.fails = 0
            self.down_until, self.died, self.slow = 0.0, False, 1.0
        self.weigh()

    def weigh(self) -> None:
        """Its load with one request, from pace and nominal speed.

        Speed is noise of what others send; weighing it in full herds us onto one server. No zone is
        preferred: where traffic leans to one for good, its servers alone would bear it.
        """
        log_slow = log2(self.slow)
        self.load = sqrt(self.slow) / self.nominal
        self.log_load = ZERO + STEPS * (log_slow / 2 - self.log_nominal)
        self.pace = int(PACE_ZERO + PACE_STEPS * log_slow)


class Bag:
    """Hosts in no order; adding, dropping and drawing one take constant time."""

    __slots__ = ("hosts", "_at")

    def __init__(self) -> None:
        self.hosts: list[Host] = []
        self._at: dict[Host, int] = {}

    def add(self, host: Host) -> None:
        self._at[host] = len(self.hosts)
        self.hosts.append(host)

    def drop(self, host: Host) -> None:
        at, last = self._at.pop(host), self.hosts.pop()
        if last is not host:
            self.hosts[at], self._at[last] = last, at

    def look(self, most: int, rng: random.Random) -> list[Host]:
        """`most` of them from a random start on, or all."""
        count = len(self.hosts)
        if count <= most:
            return self.hosts
        start = int(rng.random() * count)
        return self.hosts[start : start + most] + self.hosts[: max(start + most - count, 0)]


class _Region:
    """The hosts of one zone, or of one cell, for what may go nowhere else."""

    __slots__ = ("well", "failing")

    def __init__(self) -> None:
        self.well, self.failing = Bag(), Bag()


class _Tier:
    """Ready hosts by rank: those in the aperture, or those outside of it."""

    __slots__ = ("ranks", "mask")

    def __init__(self) -> None:
        self.ranks: dict[int, list[Host]] = {}
        self.mask = 0  # bit r: rank r holds somebody


class _Pool:
    """The hosts that serve one pool, by group."""

    __slots__ = ("count", "near", "far", "cold", "failing", "regions", "trials")

    def __init__(self) -> None:
        self.count = 0
        self.near, self.far = _Tier(), _Tier()
        self.cold, self.failing = Bag(), Bag()
        self.regions: dict[tuple[str | int, ...], _Region] = {}
        self.trials = TRIAL_BANK


def _scopes(settings: api.Settings) -> set[str]:
    """Where repeats of keyed requests are bound to: they need regions."""
    return {c.key_scope for c in settings.classes if c.idempotency == Idempotency.KEYED}


class Fleet:
    """All listed servers, and the choice among them."""

    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        self.s, self.rng = settings, rng
        self.scopes = _scopes(settings)
        self.hosts: dict[str, Host] = {}
        self.out: dict[str, float] = {}  # hosts out by hand, listed or not, and since when
        self.now = 0.0
        self.open_well = 0  # requests open on listed hosts that do not fail
        self.up = self.cold = self.failing = 0  # listed hosts that are up, and what of them is cold or fails
        self.mid, self.many_fail = 1.0, False  # the hosts' median pace; whether over half of them fail
        self.warm_work = self.warm_rate = 0.0  # work sent to warm hosts, and per ms and host
        self._pools: dict[str, _Pool] = {}
        self._paces = [0] * PACES
        self._warming: list[tuple[float, int, Host]] = []  # when cold hosts will be warm; may hold stale ones
        self._turn = 0  # breaks ties there
        self._ring_stale, self._aperture = True, 0  # hosts came or went; the size laid out last, 0: all
        self._begun, self._begun_rate = 0, 0.0  # requests since the last sweep, and per ms

    # --- The list ---

    def update(self, event: api.EndpointList) -> None:
        """Take over a list, whole or in part."""
        if event.kind != ListKind.CHANGES:
            named = {s.name for s in event.endpoints}
            for name in [n for n in self.hosts if n not in named]:
                self._unlist(name)
        for server in event.endpoints:
            host = self.hosts.get(server.name)
            if server.status == HostStatus.REMOVED:
                if host is not None:
                    self._unlist(server.name)
            elif host is None:
                host = self.hosts[server.name] = Host(server)
                host.listed, host.out = True, server.name in self.out
                self.place(host)
            elif host.server != server:  # a list replaced whole mostly says what we know
                self._move(host, OUT)
                self.open_well -= 0 if host.fails else host.open
                host.update(server)
                self.open_well += 0 if host.fails else host.open
                self.place(host)
        if event.kind != ListKind.CHANGES:
            self._lay_out()

    def _unlist(self, name: str) -> None:
        host = self.hosts.pop(name)
        self._move(host, OUT)
        self.open_well -= 0 if host.fails else host.open
        host.listed = False

    def by_hand(self, name: str, out: bool) -> None:
        """Take a host out, or put it back. Attempts that are out on it go on."""
        since = self.out.get(name) if out else self.out.pop(name, None)
        if out:
            self.out.setdefault(name, self.now)
        host = self.hosts.get(name)
        if host is None or host.out == out:
            return
        self._move(host, OUT)
        host.out = out
        if not out and since is not None:
            # Danger: it was most likely restarted meanwhile, and the list tells of that late. It is cold from
            # now on unless a start was told since. Hurts: one that was left running gets little at first.
            host.died = host.born < since
            self.recovered(host)
        self.place(host)

    def change(self, settings: api.Settings) -> None:
        """New settings: cold times and scopes may differ."""
        for host in self.hosts.values():
            self._move(host, OUT)
        self.s, self.scopes = settings, _scopes(settings)
        for host in self.hosts.values():
            self.place(host)

    # --- Groups and ranks ---

    def place(self, host: Host) -> None:
        """Put a host where its state belongs; called after each change of it."""
        if host.group != READY or host.fails or host.cold_from_ms:
            if not host.listed or not host.up or host.out:
                group = OUT
            elif host.fails:
                group = FAILING
            elif host.cold_from_ms and self.warmth(host) < 1:
                group = COLD
            else:
                group, host.cold_from_ms = READY, 0.0
            if group != host.group:
                self._move(host, group)
            if group != READY:
                return
        count = host.open
        rank = int(host.log_load + (RANKS_OPEN[count] if count < 1024 else STEPS * log2(count + 1)))
        if rank == host.rank:
            return
        rank = min(max(rank, 0), RANKS - 1)
        if host.rank >= 0:
            self._leave(host)
        tier = host.tier
        assert tier is not None
        held = tier.ranks.get(rank)
        if held is None:
            held = tier.ranks[rank] = []
        host.rank, host.at = rank, len(held)
        held.append(host)
        tier.mask |= 1 << rank

    @staticmethod
    def _leave(host: Host) -> None:
        tier = host.tier
        assert tier is not None
        held = tier.ranks[host.rank]
        last = held.pop()
        if last is not host:
            held[host.at] = last
            last.at = host.at
        if not held:
            tier.mask ^= 1 << host.rank
        host.rank = -1

    def _move(self, host: Host, group: int) -> None:
        """From one group to another, with all sums; `place` gives a ready one its rank."""
        old, host.group = host.group, group
        if old == group:
            return
        if old == OUT:
            self._enter(host)
        home = host.home
        assert home is not None
        if old == READY:
            self._leave(host)
        elif old == COLD:
            home.cold.drop(host)
            self.cold -= 1
        elif old == FAILING:
            home.failing.drop(host)
            self.failing -= 1
        if group == COLD:
            home.cold.add(host)
            self.cold += 1
            self._turn += 1
            heappush(self._warming, (host.cold_from_ms + self.s.slow_start_ms, self._turn, host))
        elif group == FAILING:
            home.failing.add(host)
            self.failing += 1
        for region in host.regions:
            if old != OUT:
                (region.failing if old == FAILING else region.well).drop(host)
            if group != OUT:
                (region.failing if group == FAILING else region.well).add(host)
        if group == OUT:
            self._exit(host, home)

    def _enter(self, host: Host) -> None:
        """It is up: into its pool, and the regions that requests may be bound to."""
        self.up += 1
        self._ring_stale = True
        self._paces[host.pace] += 1
        home = host.home = self._pools.get(host.pool)
        if home is None:
            home = host.home = self._pools[host.pool] = _Pool()
        home.count += 1
        # Danger: what was outside when it left would stay there where all are inside meanwhile.
        host.near = host.near or not self._aperture
        host.tier = home.near if host.near else home.far
        for scope, key in (("zone", (host.zone,)), ("cell", (host.zone, host.cell))):
            if scope in self.scopes:
                region = home.regions.get(key)
                if region is None:
                    region = home.regions[key] = _Region()
                host.regions.append(region)

    def _exit(self, host: Host, home: _Pool) -> None:
        """It is up no longer. What it leaves empty goes: renamed pools and zones must not fill the memory."""
        self.up -= 1
        self._ring_stale = True
        self._paces[host.pace] -= 1
        for key in ((host.zone,), (host.zone, host.cell)):
            region = home.regions.get(key)
            if region is not None and not region.well.hosts and not region.failing.hosts:
                del home.regions[key]
        home.count -= 1
        if not home.count:
            del self._pools[host.pool]
        host.home = None
        host.regions = []

    # --- Requests ---

    def began(self, host: Host, work: float) -> None:
        """A request with `work`, ms of service, goes to it."""
        host.open += 1
        self._begun += 1
        if not host.fails and host.listed:
            self.open_well += 1
        if host.cold_from_ms and self.warmth(host) < 1:
            host.credit -= work
        else:
            self.warm_work += work
        self.place(host)

    def ended(self, host: Host) -> None:
        """A request on it is over; `place` is to be called once its outcome is judged."""
        host.open -= 1
        if not host.fails and host.listed:
            self.open_well -= 1

    def paced(self, host: Host, pace: float) -> None:
        """An outcome at `pace` times the usual latency."""
        slow = host.slow + GAIN * ((pace if pace < SLOWEST else SLOWEST) - host.slow)
        host.slow = slow if slow > FASTEST else FASTEST
        old = host.pace
        host.weigh()
        if host.group != OUT and host.pace != old:
            self._paces[old] -= 1
            self._paces[host.pace] += 1

    def recovered(self, host: Host) -> None:
        """It has answered."""
        if host.died:
            # Danger: a host back from the dead is cold long before the list says so.
            host.cold_from_ms, host.died = max(host.cold_from_ms, self.now), False
        if host.fails and host.listed:
            self.open_well += host.open
        host.strikes = host.fails = 0

    def down(self, host: Host) -> bool:
        """It fails: it rests, longer each time. False while it rests already."""
        if host.fails and self.now < host.down_until:
            return False
        if not host.fails and host.listed:
            self.open_well -= host.open
        host.down_until = self.now + min(BACKOFF_MS * 2**host.fails, BACKOFF_MAX_MS)
        host.fails = min(host.fails + 1, 10)
        return True

    def unwell(self, host: Host) -> bool:
        """Worse than its fellows. When all are slow or failing none is: then it is f that must act."""
        return host.slow > BAD * self.mid or (host.fails > 0 and not self.many_fail)

    def skipped(self) -> int:
        """Listed hosts that get no request now: they drain, are out by hand, or rest."""
        return sum(h.group == OUT or (h.fails > 0 and self.now < h.down_until) for h in self.hosts.values())

    # --- Time ---

    def warmth(self, host: Host) -> float:
        """The least part of its capacity that a host may have after its start."""
        if not host.cold_from_ms or self.s.slow_start_ms <= 0:
            return 1.0
        if self.now >= host.cold_from_ms + self.s.slow_start_ms:  # as `warm_up` reckons: the two must agree
            return 1.0
        age = self.now - host.cold_from_ms
        return (
            self.s.slow_start_min_share
            + (1 - self.s.slow_start_min_share) * max(age, 0.0) / self.s.slow_start_ms
        )

    def warm_up(self) -> None:
        """Hosts that have become warm by now join the ready ones."""
        while self._warming and self._warming[0][0] <= self.now:
            host = heappop(self._warming)[2]
            if host.group == COLD:
                self.place(host)

    def sweep(self, span: float, keep: float) -> None:
        """Refresh what is weighed seldom: the median pace, the yardstick of a warm host, the aperture."""
        self.warm_up()
        memory = APERTURE_MS / (APERTURE_MS + span)
        self._begun_rate = memory * self._begun_rate + (1 - memory) * self._begun / span
        self._begun = 0
        self._lay_out()
        half, seen = self.up // 2, 0
        self.mid = 1.0
        if self.up:
            for pace, count in enumerate(self._paces):
                seen += count
                if seen > half:
                    self.mid = max(2.0 ** ((pace + 0.5 - PACE_ZERO) / PACE_STEPS), 1.0)
                    break
        self.many_fail = 2 * self.failing > self.up
        warm = self.up - self.failing - self.cold
        if warm:
            self.warm_rate = keep * self.warm_rate + (1 - keep) * self.warm_work / span / warm
        self.warm_work = 0.0
        if len(self._warming) > 2 * self.cold + FAR_LOOKS:  # of hosts that left, or died and came back
            cold = [h for pool in self._pools.values() for h in pool.cold.hosts]
            self._warming = [(h.cold_from_ms + self.s.slow_start_ms, i, h) for i, h in enumerate(cold)]
            heapify(self._warming)
            self._turn = len(cold)

    def _lay_out(self) -> None:
        """Lay the aperture: as many hosts from this gateway's place on the ring on as its traffic keeps warm.

        Danger: a host in too few apertures idles, one in too many is flooded; by place in the order, not by
        angle, each is in as many as the next, whatever its name. Hurts: a host that comes or goes moves the
        ends of the others' apertures by one. Lists that differ for a while do no more than that.
        """
        wide = max(APERTURE_MIN, COVER * self.up / self.s.fleet_size, APERTURE_MS * self._begun_rate)
        size = int(wide) if wide * (RESIZE if self._aperture else RESIZE**2) < self.up else 0
        if self._aperture and size and 1 / RESIZE < size / self._aperture < RESIZE:
            size = self._aperture
        if size == self._aperture and not (size and self._ring_stale):
            return
        self._aperture, self._ring_stale = size, False
        ring = sorted((h for h in self.hosts.values() if h.group != OUT), key=lambda h: h.place)
        first = len(ring) * self.s.gateway_index // self.s.fleet_size
        for at, host in enumerate(chain(ring[first:], ring[:first])):
            near = at < size or not size
            if near != host.near:
                host.near = near
                home, ranked = host.home, host.rank >= 0
                assert home is not None
                if ranked:
                    self._leave(host)
                host.tier = home.near if near else home.far
                if ranked:
                    self.place(host)

    # --- Choice ---

    def cold_room(self, host: Host, warmth: float, work: float) -> bool:
        """Whether our part of a cold host's budget holds `work`; a part of it is drawn for.

        The yardstick is what this gateway itself sends to a warm host, so the parts of all gateways add up to
        what the fleet sends to one, times warmth. Danger: parts under one request; one for each gateway would
        tip the host, none leave it idle. Hurts: those with no yardstick yet send lone requests only.
        """
        if self.warm_rate <= 0:
            return host.open == 0 and self.rng.random() * self.s.fleet_size < 1
        rate = min(COLD_MARGIN * self.s.overload_multiple, 1.0) * warmth * self.warm_rate
        span = self.now - max(host.credit_at, host.cold_from_ms)
        host.credit = min(host.credit + rate * span, rate * self.s.overload_after_ms / 2)
        host.credit_at = self.now
        host.credit = draw(self.rng, host.credit, work)
        return host.credit >= work

    def pick(
        self, pool: str, work: float, safe: bool, tried: list[Host], region: tuple[str | int, ...] = ()
    ) -> Host | None:
        """A failing host whose rest is over gets a lone trial, a cold one our part, else the least loaded.

        `region` is the zone, or zone and cell, that a repeat of a keyed request must stay in; () for none.
        """
        home = self._pools.get(pool)
        if home is None:
            return None
        if self._warming:
            self.warm_up()
        if region:
            there = home.regions.get(region)
            if there is None:
                return None
            best = self._least(there.well.look(FAR_LOOKS, self.rng), work, tried)
            return best if best is not None else self._rested(there.failing, work, tried)
        if home.failing.hosts:
            home.trials = min(home.trials + TRIAL_SHARE, TRIAL_BANK)
            # Danger: where most of a large fleet fails, trials would take all requests from the hosts left.
            if safe and (home.trials >= 1 or not (home.near.mask or home.far.mask)):
                for host in home.failing.look(LOOKS, self.rng):
                    if self._on_trial(host, work) and host not in tried:
                        home.trials = max(home.trials - 1, 0.0)
                        return host
        if home.cold.hosts:
            for host in home.cold.look(LOOKS, self.rng):
                if self.cold_room(host, self.warmth(host), work):
                    return host
        best = self._nearest(home, tried) if home.far.mask else self._least_ranked(home, home.near, tried)
        return best if best is not None else self._rested(home.failing, work, tried)

    def _nearest(self, home: _Pool, tried: list[Host]) -> Host | None:
        """The least loaded of the aperture, unless one outside of it is far less so: a lost zone, or a burst,
        must not jam the few."""
        best = self._least_ranked(home, home.near, tried)
        load = (best.open + 1) * best.load if best is not None and best not in tried else 0.0
        lowest = home.far.mask & -home.far.mask
        if not load or load > SPILL * LOWEST[lowest.bit_length() - 1]:
            other = self._least_ranked(home, home.far, tried)
            if other is not None and (not load or load > SPILL * (other.open + 1) * other.load):
                return other
        return best

    def _least_ranked(self, home: _Pool, tier: _Tier, tried: list[Host]) -> Host | None:
        """The least loaded of some of the lowest ranks: all that could be it, where that is a few."""
        best, best_load, looks = None, 0.0, LOOKS
        mask, random = tier.mask, self.rng.random
        while mask and looks > 0:
            low = mask & -mask
            rank = low.bit_length() - 1
            if best is not None and LOWEST[rank] >= best_load:
                break
            held = tier.ranks[rank]
            count = len(held)
            at = int(random() * count) if count > looks else 0
            for i in range(at - count, at - count + min(count, looks)):
                host = held[i]
                if tried and host in tried:
                    continue
                load = (host.open + 1) * host.load * (1 + NOISE * random())
                looks -= 1
                if best is None or load < best_load:
                    best, best_load = host, load
            mask ^= low
        # A host that was tried costs four times its load; it is scored apart, so that it takes no look.
        for host in tried:
            if host.group == READY and host.home is home:
                load = TRIED * (host.open + 1) * host.load * (1 + NOISE * random())
                if best is None or load < best_load:
                    best, best_load = host, load
        return best

    def _least(self, hosts: Iterable[Host], work: float, tried: list[Host]) -> Host | None:
        """The same among a few given hosts: a cold one with room first."""
        best, best_load = None, 0.0
        for host in hosts:
            if host.group == COLD:
                if self.cold_room(host, self.warmth(host), work):
                    return host
                continue
            load = (host.open + 1) * host.load * (1 + NOISE * self.rng.random())
            if host in tried:
                load *= TRIED
            if best is None or load < best_load:
                best, best_load = host, load
        return best

    def _has_room(self, host: Host, work: float) -> bool:
        warmth = self.warmth(host)
        return warmth >= 1 or self.cold_room(host, warmth, work)

    def _on_trial(self, host: Host, work: float) -> bool:
        """Whether a lone request may try it: its rest is over and nothing is open on it."""
        return not host.open and self.now >= host.down_until and self._has_room(host, work)

    def _rested(self, failing: Bag, work: float, tried: list[Host]) -> Host | None:
        """Where nothing else is left: the failing host whose rest ends first, unless a trial of it is due."""
        best = None
        for host in failing.look(FAR_LOOKS, self.rng):
            if host in tried or not (host.open or self.now < host.down_until):
                continue
            if not self._has_room(host, work):
                continue
            if best is None or host.down_until < best.down_until:
                best = host
        return best
