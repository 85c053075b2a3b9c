"""The choice among servers: the index against a plain scan, over random histories, and the hard cases."""

from __future__ import annotations

import collections
import random

import pytest
from conftest import Driver, of, server, settings

from hillmux import interface as api
from hillmux.balancing import fleet as fl
from hillmux.interface import HostStatus, Idempotency, KeyScope, ListKind

KEYED = (
    api.RequestClass(
        "zoned",
        1000,
        2000,
        idempotency=Idempotency.KEYED,
        key_scope=KeyScope.ZONE,
        idempotency_window_ms=2000,
    ),
    api.RequestClass(
        "celled",
        1000,
        2000,
        idempotency=Idempotency.KEYED,
        key_scope=KeyScope.CELL,
        idempotency_window_ms=2000,
    ),
)


def make(hosts: int = 0, seed: int = 1, **changes: object) -> fl.Fleet:
    given = settings(
        slow_start_ms=10_000.0,
        slow_start_min_share=0.2,
        overload_after_ms=2000.0,
        overload_multiple=3.0,
        **changes,
    )
    fleet = fl.Fleet(given, random.Random(seed))
    fleet.now = 100_000.0
    fleet.update(api.EndpointList(ListKind.FULL, tuple(line(i) for i in range(hosts))))
    return fleet


def line(i: int, **changes: object) -> api.Endpoint:
    values: dict[str, object] = {"zone": f"z{i % 3}", "cell": i % 2, "capacity": 1.0}
    return api.Endpoint(f"h{i}", **values | changes)  # type: ignore[arg-type]


# --- The index against a plain scan ---


class Scan:
    """What the index must come to, found by looking at every host."""

    def __init__(self, fleet: fl.Fleet) -> None:
        self.fleet = fleet

    def group(self, host: fl.Host) -> int:
        if not host.up:
            return fl.OUT
        if host.fails:
            return fl.FAILING
        return fl.COLD if self.fleet.warmth(host) < 1 else fl.READY

    def check(self) -> None:
        fleet, hosts = self.fleet, self.fleet.hosts.values()
        groups = {h: self.group(h) for h in hosts}
        assert {h: h.group for h in hosts} == groups
        assert fleet.open_well == sum(h.open for h in hosts if not h.fails)
        up = [h for h in hosts if h.up]
        count = collections.Counter(groups.values())
        assert (fleet.up, fleet.cold, fleet.failing) == (len(up), count[fl.COLD], count[fl.FAILING])
        for name in {h.pool for h in hosts}:
            mine = [h for h in up if h.pool == name]
            home = fleet._pools.get(name)
            if home is None:
                assert not mine
                continue
            assert {h for h in mine if groups[h] == fl.COLD} == set(home.cold.hosts)
            assert {h for h in mine if groups[h] == fl.FAILING} == set(home.failing.hosts)
            tiers = (home.near, home.far)
            ranked = {h: r for tier in tiers for r, held in tier.ranks.items() for h in held}
            assert set(ranked) == {h for h in mine if groups[h] == fl.READY}
            for tier in tiers:
                assert tier.mask == sum(1 << r for r, held in tier.ranks.items() if held)
            for host, rank in ranked.items():
                assert host.tier is (home.near if host.near else home.far)
                assert host.tier.ranks[rank][host.at] is host
                load = (host.open + 1) * host.slow**0.5 / host.nominal
                assert fl.LOWEST[rank] <= load * 1.000001
                assert rank == fl.RANKS - 1 or load <= fl.LOWEST[rank + 1] * 1.000001
            assert set(home.regions) == {(h.zone,) for h in mine} | {(h.zone, h.cell) for h in mine}
            for key, region in home.regions.items():
                there = [h for h in mine if (h.zone, h.cell)[: len(key)] == key]
                assert set(region.well.hosts) == {h for h in there if groups[h] != fl.FAILING}
                assert set(region.failing.hosts) == {h for h in there if groups[h] == fl.FAILING}
        assert set(fleet._pools) == {h.pool for h in up}

    def check_sweep(self) -> None:
        """Sweep, and compare what it came to."""
        fleet = self.fleet
        fleet.warm_up()
        warm = sum(1 for h in fleet.hosts.values() if self.group(h) == fl.READY)
        work, rate = fleet.warm_work, fleet.warm_rate
        fleet.sweep(100.0, 0.9)
        assert fleet.warm_rate == pytest.approx(0.9 * rate + 0.1 * work / 100.0 / warm if warm else rate)
        assert fleet.warm_work == 0.0
        self.check_median()

    def check_median(self) -> None:
        paces = sorted(h.slow for h in self.fleet.hosts.values() if h.up)
        median = max(paces[len(paces) // 2], 1.0) if paces else 1.0
        assert self.fleet.mid == pytest.approx(median, rel=2 ** (1 / fl.PACE_STEPS) - 1)
        failing = sum(1 for h in self.fleet.hosts.values() if h.up and h.fails)
        assert self.fleet.many_fail == (2 * failing > len(paces))

    def check_pick(self, pool: str, safe: bool, tried: list[fl.Host], region: tuple[str | int, ...]) -> None:
        fleet = self.fleet
        mine = [
            h
            for h in fleet.hosts.values()
            if h.up and h.pool == pool and (h.zone, h.cell)[: len(region)] == region
        ]
        fleet.warm_up()
        ready = [h for h in mine if self.group(h) == fl.READY]
        picked = fleet.pick(pool, 5.0, safe, tried, region)
        if picked is None:
            assert not ready
            assert all(
                h in tried
                or self.group(h) == fl.COLD
                or fleet.warmth(h) < 1
                or not (h.open or fleet.now < h.down_until)
                for h in mine
            )
            return
        assert picked in mine
        if picked.fails:
            assert picked not in tried
            if safe and not picked.open and fleet.now >= picked.down_until:
                return  # a lone trial
            assert not ready
            assert picked.open or fleet.now < picked.down_until
        elif self.group(picked) == fl.READY:

            def load(h: fl.Host) -> float:
                return (h.open + 1) * h.load * (fl.TRIED if h in tried else 1.0)

            # Chance adds a fifth at most; of a large fleet, one rank's hosts are drawn from alike.
            slack = (1 + fl.NOISE) * (1 if len(ready) <= fl.LOOKS else 2 ** (1 / fl.STEPS))
            assert load(picked) <= min(map(load, ready)) * slack * 1.000001


@pytest.mark.parametrize("seed", range(12))
def test_index_agrees_with_a_plain_scan_over_random_histories(seed: int) -> None:
    rng = random.Random(seed)
    names = rng.choice([1, 3, 12, 40])
    fleet = make(seed=seed, classes=KEYED)
    scan, out = Scan(fleet), []

    def some_line(i: int) -> api.Endpoint:
        return line(
            i,
            zone=f"z{rng.randrange(3)}" if rng.random() < 0.1 else f"z{i % 3}",
            capacity=rng.choice([1.0, 1.0, 1.0, 50.0, 0.001]),
            pool=rng.choice(["", "", "", "other"]),
            status=rng.choice([HostStatus.UP] * 6 + [HostStatus.DRAINING]),
            started_at_ms=rng.choice([0.0, 0.0, fleet.now, fleet.now - 9000]),
        )

    for _ in range(1500):
        what = rng.random()
        if what < 0.02:
            listed = tuple(some_line(i) for i in range(names) if rng.random() < 0.8)
            fleet.update(api.EndpointList(rng.choice([ListKind.FULL, ListKind.CACHED]), listed))
        elif what < 0.08:
            one = some_line(rng.randrange(names))
            if rng.random() < 0.2:
                one = line(int(one.name[1:]), status=HostStatus.REMOVED)
            fleet.update(api.EndpointList(ListKind.CHANGES, (one,)))
        elif what < 0.5:
            known = list(fleet.hosts.values())
            tried = rng.sample(known, min(rng.choice([0, 0, 1, 2]), len(known)))
            region = rng.choice([(), (), (), ("z1",), ("z0", 0)])
            scan.check_pick(rng.choice(["", "", "other"]), rng.random() < 0.7, tried, region)
            picked = fleet.pick("", 5.0, True, [])
            if picked is not None:
                fleet.began(picked, 5.0)
                out.append(picked)
        elif what < 0.9 and out:
            host = out.pop(rng.randrange(len(out)))  # it may be off the list by now
            fleet.ended(host)
            result = rng.random()
            if result < 0.6:
                fleet.recovered(host)
                fleet.paced(host, rng.choice([0.0, 0.5, 1.0, 3.0, 40.0]))
            elif result < 0.8:
                host.died = rng.random() < 0.5
                fleet.down(host)
            fleet.place(host)
        elif what < 0.97:
            fleet.now += rng.choice([0.0, 1.0, 50.0, 600.0, 3000.0])
            fleet.warm_up()
        else:
            scan.check_sweep()
        scan.check()
        assert len(fleet._warming) <= 600


# --- Few and many ---


@pytest.mark.parametrize("hosts", [10, 1000])
def test_a_pick_looks_at_no_more_hosts_in_a_large_fleet(hosts: int) -> None:
    fleet = make(hosts)
    drawn = 0

    class Counting(random.Random):
        def random(self) -> float:
            nonlocal drawn
            drawn += 1
            return super().random()

    fleet.rng = Counting(3)
    for _ in range(200):
        fleet.began(fleet.pick("", 1.0, True, []), 1.0)
    assert drawn <= 200 * (fl.LOOKS + 2)


def spread(hosts: int, requests: int, nominals: list[float], gateways: int = 1) -> list[float]:
    """Load over nominal speed on each host after `requests` were placed; a gateway sees only its own."""
    fleets = []
    for g in range(gateways):
        fleet = make(seed=g)
        fleet.update(
            api.EndpointList(
                ListKind.FULL, tuple(line(i, capacity=nominals[i % len(nominals)]) for i in range(hosts))
            )
        )
        fleets.append(fleet)
    loads: collections.Counter[str] = collections.Counter()
    for i in range(requests):
        fleet = fleets[i % gateways]
        host = fleet.pick("", 1.0, True, [])
        fleet.began(host, 1.0)
        loads[host.name] += 1
    return [loads[f"h{i}"] / nominals[i % len(nominals)] for i in range(hosts)]


def test_hosts_of_nominal_1_and_50_bear_load_by_their_speed() -> None:
    loads = spread(100, 20_000, [1.0, 50.0])
    mean = 20_000 / (50 * 51)
    assert max(loads) < 1.5 * mean and min(loads[1::2]) > 0.7 * mean


def test_ten_gateways_of_one_view_do_not_herd() -> None:
    loads = spread(100, 100, [1.0], gateways=10)  # ten requests each, at once, to hosts that look alike
    assert max(loads) <= 5  # by pure chance four or five; a herd would be ten
    assert sum(1 for load in loads if load) >= 50


def test_one_host_only_is_picked_again_though_it_was_tried() -> None:
    fleet = make(1)
    (host,) = fleet.hosts.values()
    assert fleet.pick("", 1.0, True, []) is host
    assert fleet.pick("", 1.0, True, [host]) is host


def test_the_untried_of_two_is_picked() -> None:
    fleet = make(2)
    one, two = fleet.hosts.values()
    fleet.began(two, 1.0)
    assert all(fleet.pick("", 1.0, True, [one]) is two for _ in range(50))
    for _ in range(9):
        fleet.began(two, 1.0)
    assert fleet.pick("", 1.0, True, [one]) is one  # four times its load is still less


@pytest.mark.parametrize("state", ["resting", "draining", "cold"])
def test_of_1000_hosts_900_of_no_use_take_little(state: str) -> None:
    fleet = make(1000)
    fleet.warm_rate = 1e-9  # no budget for cold ones
    for i in range(900):
        if state == "resting":
            host = fleet.hosts[f"h{i}"]
            fleet.down(host)
            fleet.place(host)
        else:
            draining, cold = {"status": HostStatus.DRAINING}, {"started_at_ms": fleet.now}
            changes = draining if state == "draining" else cold
            fleet.update(api.EndpointList(ListKind.CHANGES, (line(i, **changes),)))
    picked = collections.Counter(fleet.pick("", 1.0, True, []).name for _ in range(2000))
    assert all(int(name[1:]) >= 900 for name in picked)
    assert len(picked) == 100 and max(picked.values()) < 60


def test_trials_of_many_failing_hosts_leave_the_well_ones_their_requests() -> None:
    fleet = make(1000)
    for i in range(900):
        fleet.down(fleet.hosts[f"h{i}"])
        fleet.place(fleet.hosts[f"h{i}"])
    fleet.now += fl.BACKOFF_MS  # all may be tried by now
    trials = sum(fleet.pick("", 1.0, True, []).fails > 0 for _ in range(1000))
    assert 100 < trials <= fl.TRIAL_BANK + 1000 * fl.TRIAL_SHARE + 1


def test_a_keyed_repeat_stays_in_its_zone_and_cell_though_others_are_idle() -> None:
    """Three hosts of a thousand may take it: they are loaded, one was tried, all others idle."""
    fleet = make(classes=KEYED)
    listed = [line(i, zone="rare" if i < 3 else "z", cell=i % 2) for i in range(1000)]
    fleet.update(api.EndpointList(ListKind.FULL, tuple(listed)))
    tried, other, third = (fleet.hosts[f"h{i}"] for i in range(3))
    for host in (tried, other, third):
        for _ in range(50):
            fleet.began(host, 0.0)
    zone = {fleet.pick("", 1.0, False, [tried], ("rare",)).name for _ in range(50)}
    cell = {fleet.pick("", 1.0, False, [tried], ("rare", 0)).name for _ in range(50)}
    assert zone == {"h1", "h2"} and cell == {"h2"}
    assert int(fleet.pick("", 1.0, False, [tried]).name[1:]) >= 3
    for host in (other, third):
        fleet.down(host)
        fleet.place(host)
    assert fleet.pick("", 1.0, False, [tried], ("rare",)) is tried  # better than what rests
    assert fleet.pick("", 1.0, False, [], ("gone",)) is None


def test_all_fail_at_once_and_come_back() -> None:
    fleet = make(200)
    for host in fleet.hosts.values():
        fleet.down(host)
        fleet.place(host)
    assert fleet.pick("", 1.0, True, []).fails  # nothing better is left
    fleet.now += fl.BACKOFF_MS
    tried: set[str] = set()
    for _ in range(4000):  # each request is a lone trial, answered before the next
        host = fleet.pick("", 1.0, True, [])
        tried.add(host.name)
        fleet.began(host, 1.0)
        fleet.ended(host)
        fleet.recovered(host)
        fleet.place(host)
    assert fleet.failing == 0 and len(tried) == 200


def test_half_the_hosts_ten_times_slower_get_a_third_of_the_work() -> None:
    """Pace weighs by its root: it is noise of what others send, too."""
    fleet = make(100)
    for i in range(50):
        for _ in range(40):
            fleet.paced(fleet.hosts[f"h{i}"], 10.0)
        fleet.place(fleet.hosts[f"h{i}"])
    fleet.sweep(100.0, 0.9)
    for _ in range(5000):
        fleet.began(fleet.pick("", 1.0, True, []), 1.0)
    slow = sum(fleet.hosts[f"h{i}"].open for i in range(50))
    assert 0.2 < slow / 5000 < 0.3  # 1 / (1 + 10 ** 0.5) is 0.24


def test_a_list_replaced_whole_under_load_forgets_the_old_hosts() -> None:
    d = Driver(servers=50)
    rids = [d.ask()[0] for _ in range(100)]
    d.give(api.EndpointList(ListKind.FULL, tuple(server(i) for i in range(100, 150))))
    fleet = d.gateway.fleet
    assert fleet.open_well == 0 and fleet.up == 50
    for rid in rids:  # their outcomes come from hosts that are off the list
        d.end(rid)
    assert fleet.open_well == 0 and len(fleet._pools[""].near.ranks) < 20
    sent = [of(d.ask()[1], api.SendAttempt)[0].host for _ in range(50)]
    assert len(set(sent)) > 40 and all(int(name[1:]) >= 100 for name in sent)


def test_what_no_host_serves_any_longer_is_forgotten() -> None:
    fleet = make(classes=KEYED)
    fleet.update(api.EndpointList(ListKind.FULL, tuple(line(i) for i in range(10))))
    for i in range(500):  # pools and zones are renamed, hosts come cold and go again
        fleet.update(
            api.EndpointList(
                ListKind.CHANGES,
                (
                    line(0, pool=f"p{i}"),
                    line(1, zone=f"z{i}", started_at_ms=fleet.now),
                    line(100 + i, started_at_ms=fleet.now),
                ),
            )
        )
        fleet.update(api.EndpointList(ListKind.CHANGES, (line(100 + i, status=HostStatus.REMOVED),)))
        fleet.now += 1.0
        fleet.sweep(100.0, 0.9)
        assert len(fleet._pools) == 2 and len(fleet._pools[""].regions) <= 12
        assert len(fleet._warming) <= 2 * fleet.cold + fl.FAR_LOOKS
    fleet.now += 10_000.0
    fleet.sweep(100.0, 0.9)
    assert not fleet.cold and not fleet._warming
