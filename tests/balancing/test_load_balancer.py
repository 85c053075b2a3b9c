"""The choice among servers: the index against a plain scan, over random histories, and the hard cases."""

from __future__ import annotations

import collections
import random

import pytest
from conftest import Driver, of, server, settings

from hillmux import interface as api
from hillmux.balancing.host import EJECTED, READY, UNAVAILABLE, WARMING, Host
from hillmux.balancing.host_pool import MAX_PROBE_BUDGET
from hillmux.balancing.latency_histogram import BINS_PER_DOUBLING
from hillmux.balancing.load_balancer import LoadBalancer
from hillmux.balancing.load_ranking import MIN_LOAD_OF_RANK, RANKS, RANKS_PER_DOUBLING
from hillmux.balancing.outliers import BASE_EJECTION_MS, PROBES_PER_REQUEST
from hillmux.balancing.selection import CANDIDATES, MAX_LOAD_NOISE, TRIED_LOAD_FACTOR
from hillmux.balancing.slow_start import QUEUE_SLACK
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


def make(hosts: int = 0, seed: int = 1, **changes: object) -> LoadBalancer:
    given = settings(
        slow_start_ms=10_000.0,
        slow_start_min_share=0.2,
        overload_after_ms=2000.0,
        overload_multiple=3.0,
        **changes,
    )
    balancer = LoadBalancer(given, random.Random(seed))
    balancer.now = 100_000.0
    balancer.update_endpoints(api.EndpointList(ListKind.FULL, tuple(line(i) for i in range(hosts))))
    return balancer


def line(i: int, **changes: object) -> api.Endpoint:
    values: dict[str, object] = {"zone": f"z{i % 3}", "cell": i % 2, "capacity": 1.0}
    return api.Endpoint(f"h{i}", **values | changes)  # type: ignore[arg-type]


# --- The index against a plain scan ---


class Scan:
    """What the index must come to, found by looking at every host."""

    def __init__(self, balancer: LoadBalancer) -> None:
        self.balancer = balancer

    def group(self, host: Host) -> int:
        if not host.up:
            return UNAVAILABLE
        if host.ejections:
            return EJECTED
        return WARMING if self.balancer.capacity_share(host) < 1 else READY

    def check(self) -> None:
        balancer, hosts = self.balancer, self.balancer.hosts.values()
        groups = {h: self.group(h) for h in hosts}
        assert {h: h.group for h in hosts} == groups
        assert balancer.host_set.open_on_healthy == sum(h.open_requests for h in hosts if not h.ejections)
        up = [h for h in hosts if h.up]
        count = collections.Counter(groups.values())
        assert (
            balancer.host_set.available_count,
            balancer.host_set.warming_count,
            balancer.host_set.ejected_count,
        ) == (
            len(up),
            count[WARMING],
            count[EJECTED],
        )
        for name in {h.pool_name for h in hosts}:
            mine = [h for h in up if h.pool_name == name]
            home = balancer.host_set.pools.get(name)
            if home is None:
                assert not mine
                continue
            assert {h for h in mine if groups[h] == WARMING} == set(home.warming.hosts)
            assert {h for h in mine if groups[h] == EJECTED} == set(home.ejected.hosts)
            tiers = (home.inside, home.outside)
            ranked = {h: r for tier in tiers for r, held in tier.by_rank.items() for h in held}
            assert set(ranked) == {h for h in mine if groups[h] == READY}
            for tier in tiers:
                assert tier.occupied_ranks == sum(1 << r for r, held in tier.by_rank.items() if held)
            for host, rank in ranked.items():
                assert host.ranking is (home.inside if host.in_aperture else home.outside)
                assert host.ranking.by_rank[rank][host.rank_index] is host
                load = (host.open_requests + 1) * host.latency_ratio**0.5 / host.capacity
                assert MIN_LOAD_OF_RANK[rank] <= load * 1.000001
                assert rank == RANKS - 1 or load <= MIN_LOAD_OF_RANK[rank + 1] * 1.000001
            assert set(home.localities) == {(h.zone,) for h in mine} | {(h.zone, h.cell) for h in mine}
            for key, region in home.localities.items():
                there = [h for h in mine if (h.zone, h.cell)[: len(key)] == key]
                assert set(region.usable.hosts) == {h for h in there if groups[h] != EJECTED}
                assert set(region.ejected.hosts) == {h for h in there if groups[h] == EJECTED}
        assert set(balancer.host_set.pools) == {h.pool_name for h in up}

    def check_sweep(self) -> None:
        """Sweep, and compare what it came to."""
        balancer = self.balancer
        balancer.finish_warm_ups()
        warm = sum(1 for h in balancer.hosts.values() if self.group(h) == READY)
        work, rate = balancer.slow_start.warm_work, balancer.slow_start.warm_work_rate
        balancer.sweep(100.0, 0.9)
        assert balancer.slow_start.warm_work_rate == pytest.approx(
            0.9 * rate + 0.1 * work / 100.0 / warm if warm else rate
        )
        assert balancer.slow_start.warm_work == 0.0
        self.check_median()

    def check_median(self) -> None:
        paces = sorted(h.latency_ratio for h in self.balancer.hosts.values() if h.up)
        median = max(paces[len(paces) // 2], 1.0) if paces else 1.0
        assert self.balancer.outliers.median_latency_ratio == pytest.approx(
            median, rel=2 ** (1 / BINS_PER_DOUBLING) - 1
        )
        failing = sum(1 for h in self.balancer.hosts.values() if h.up and h.ejections)
        assert self.balancer.outliers.most_are_ejected == (2 * failing > len(paces))

    def check_pick(self, pool: str, safe: bool, tried: list[Host], region: tuple[str | int, ...]) -> None:
        balancer = self.balancer
        mine = [
            h
            for h in balancer.hosts.values()
            if h.up and h.pool_name == pool and (h.zone, h.cell)[: len(region)] == region
        ]
        balancer.finish_warm_ups()
        ready = [h for h in mine if self.group(h) == READY]
        picked = balancer.select(pool, 5.0, safe, tried, region)
        if picked is None:
            assert not ready
            assert all(
                h in tried
                or self.group(h) == WARMING
                or balancer.capacity_share(h) < 1
                or not (h.open_requests or balancer.now < h.ejected_until_ms)
                for h in mine
            )
            return
        assert picked in mine
        if picked.ejections:
            assert picked not in tried
            if safe and not picked.open_requests and balancer.now >= picked.ejected_until_ms:
                return  # a lone trial
            assert not ready
            assert picked.open_requests or balancer.now < picked.ejected_until_ms
        elif self.group(picked) == READY:

            def load(h: Host) -> float:
                return (h.open_requests + 1) * h.load_per_request * (TRIED_LOAD_FACTOR if h in tried else 1.0)

            # Chance adds a fifth at most; of a large balancer, one rank's hosts are drawn from alike.
            slack = (1 + MAX_LOAD_NOISE) * (1 if len(ready) <= CANDIDATES else 2 ** (1 / RANKS_PER_DOUBLING))
            assert load(picked) <= min(map(load, ready)) * slack * 1.000001


@pytest.mark.parametrize("seed", range(12))
def test_index_agrees_with_a_plain_scan_over_random_histories(seed: int) -> None:
    rng = random.Random(seed)
    names = rng.choice([1, 3, 12, 40])
    balancer = make(seed=seed, classes=KEYED)
    scan, out = Scan(balancer), []

    def some_line(i: int) -> api.Endpoint:
        return line(
            i,
            zone=f"z{rng.randrange(3)}" if rng.random() < 0.1 else f"z{i % 3}",
            capacity=rng.choice([1.0, 1.0, 1.0, 50.0, 0.001]),
            pool=rng.choice(["", "", "", "other"]),
            status=rng.choice([HostStatus.UP] * 6 + [HostStatus.DRAINING]),
            started_at_ms=rng.choice([0.0, 0.0, balancer.now, balancer.now - 9000]),
        )

    for _ in range(1500):
        what = rng.random()
        if what < 0.02:
            listed = tuple(some_line(i) for i in range(names) if rng.random() < 0.8)
            balancer.update_endpoints(api.EndpointList(rng.choice([ListKind.FULL, ListKind.CACHED]), listed))
        elif what < 0.08:
            one = some_line(rng.randrange(names))
            if rng.random() < 0.2:
                one = line(int(one.name[1:]), status=HostStatus.REMOVED)
            balancer.update_endpoints(api.EndpointList(ListKind.CHANGES, (one,)))
        elif what < 0.5:
            known = list(balancer.hosts.values())
            tried = rng.sample(known, min(rng.choice([0, 0, 1, 2]), len(known)))
            region = rng.choice([(), (), (), ("z1",), ("z0", 0)])
            scan.check_pick(rng.choice(["", "", "other"]), rng.random() < 0.7, tried, region)
            picked = balancer.select("", 5.0, True, [])
            if picked is not None:
                balancer.request_started(picked, 5.0)
                out.append(picked)
        elif what < 0.9 and out:
            host = out.pop(rng.randrange(len(out)))  # it may be off the list by now
            balancer.request_ended(host)
            result = rng.random()
            if result < 0.6:
                balancer.record_success(host)
                balancer.record_latency_ratio(host, rng.choice([0.0, 0.5, 1.0, 3.0, 40.0]))
            elif result < 0.8:
                host.connection_refused = rng.random() < 0.5
                balancer.eject(host)
            balancer.reindex(host)
        elif what < 0.97:
            balancer.now += rng.choice([0.0, 1.0, 50.0, 600.0, 3000.0])
            balancer.finish_warm_ups()
        else:
            scan.check_sweep()
        scan.check()
        assert len(balancer.slow_start.queue) <= 600


# --- Few and many ---


@pytest.mark.parametrize("hosts", [10, 1000])
def test_a_pick_looks_at_no_more_hosts_in_a_large_fleet(hosts: int) -> None:
    balancer = make(hosts)
    drawn = 0

    class Counting(random.Random):
        def random(self) -> float:
            nonlocal drawn
            drawn += 1
            return super().random()

    balancer.selector.rng = balancer.slow_start.rng = Counting(3)
    for _ in range(200):
        balancer.request_started(balancer.select("", 1.0, True, []), 1.0)
    assert drawn <= 200 * (CANDIDATES + 2)


def spread(hosts: int, requests: int, nominals: list[float], gateways: int = 1) -> list[float]:
    """Load over nominal speed on each host after `requests` were placed; a gateway sees only its own."""
    fleets = []
    for g in range(gateways):
        balancer = make(seed=g)
        balancer.update_endpoints(
            api.EndpointList(
                ListKind.FULL, tuple(line(i, capacity=nominals[i % len(nominals)]) for i in range(hosts))
            )
        )
        fleets.append(balancer)
    loads: collections.Counter[str] = collections.Counter()
    for i in range(requests):
        balancer = fleets[i % gateways]
        host = balancer.select("", 1.0, True, [])
        balancer.request_started(host, 1.0)
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
    balancer = make(1)
    (host,) = balancer.hosts.values()
    assert balancer.select("", 1.0, True, []) is host
    assert balancer.select("", 1.0, True, [host]) is host


def test_the_untried_of_two_is_picked() -> None:
    balancer = make(2)
    one, two = balancer.hosts.values()
    balancer.request_started(two, 1.0)
    assert all(balancer.select("", 1.0, True, [one]) is two for _ in range(50))
    for _ in range(9):
        balancer.request_started(two, 1.0)
    assert balancer.select("", 1.0, True, [one]) is one  # four times its load is still less


@pytest.mark.parametrize("state", ["resting", "draining", "cold"])
def test_of_1000_hosts_900_of_no_use_take_little(state: str) -> None:
    balancer = make(1000)
    balancer.slow_start.warm_work_rate = 1e-9  # no budget for cold ones
    for i in range(900):
        if state == "resting":
            host = balancer.hosts[f"h{i}"]
            balancer.eject(host)
            balancer.reindex(host)
        else:
            draining, cold = {"status": HostStatus.DRAINING}, {"started_at_ms": balancer.now}
            changes = draining if state == "draining" else cold
            balancer.update_endpoints(api.EndpointList(ListKind.CHANGES, (line(i, **changes),)))
    picked = collections.Counter(balancer.select("", 1.0, True, []).name for _ in range(2000))
    assert all(int(name[1:]) >= 900 for name in picked)
    assert len(picked) == 100 and max(picked.values()) < 60


def test_trials_of_many_failing_hosts_leave_the_well_ones_their_requests() -> None:
    balancer = make(1000)
    for i in range(900):
        balancer.eject(balancer.hosts[f"h{i}"])
        balancer.reindex(balancer.hosts[f"h{i}"])
    balancer.now += BASE_EJECTION_MS  # all may be tried by now
    trials = sum(balancer.select("", 1.0, True, []).ejections > 0 for _ in range(1000))
    assert 100 < trials <= MAX_PROBE_BUDGET + 1000 * PROBES_PER_REQUEST + 1


def test_a_keyed_repeat_stays_in_its_zone_and_cell_though_others_are_idle() -> None:
    """Three hosts of a thousand may take it: they are loaded, one was tried, all others idle."""
    balancer = make(classes=KEYED)
    listed = [line(i, zone="rare" if i < 3 else "z", cell=i % 2) for i in range(1000)]
    balancer.update_endpoints(api.EndpointList(ListKind.FULL, tuple(listed)))
    tried, other, third = (balancer.hosts[f"h{i}"] for i in range(3))
    for host in (tried, other, third):
        for _ in range(50):
            balancer.request_started(host, 0.0)
    zone = {balancer.select("", 1.0, False, [tried], ("rare",)).name for _ in range(50)}
    cell = {balancer.select("", 1.0, False, [tried], ("rare", 0)).name for _ in range(50)}
    assert zone == {"h1", "h2"} and cell == {"h2"}
    assert int(balancer.select("", 1.0, False, [tried]).name[1:]) >= 3
    for host in (other, third):
        balancer.eject(host)
        balancer.reindex(host)
    assert balancer.select("", 1.0, False, [tried], ("rare",)) is tried  # better than what rests
    assert balancer.select("", 1.0, False, [], ("gone",)) is None


def test_all_fail_at_once_and_come_back() -> None:
    balancer = make(200)
    for host in balancer.hosts.values():
        balancer.eject(host)
        balancer.reindex(host)
    assert balancer.select("", 1.0, True, []).ejections  # nothing better is left
    balancer.now += BASE_EJECTION_MS
    tried: set[str] = set()
    for _ in range(4000):  # each request is a lone trial, answered before the next
        host = balancer.select("", 1.0, True, [])
        tried.add(host.name)
        balancer.request_started(host, 1.0)
        balancer.request_ended(host)
        balancer.record_success(host)
        balancer.reindex(host)
    assert balancer.host_set.ejected_count == 0 and len(tried) == 200


def test_half_the_hosts_ten_times_slower_get_a_third_of_the_work() -> None:
    """Pace weighs by its root: it is noise of what others send, too."""
    balancer = make(100)
    for i in range(50):
        for _ in range(40):
            balancer.record_latency_ratio(balancer.hosts[f"h{i}"], 10.0)
        balancer.reindex(balancer.hosts[f"h{i}"])
    balancer.sweep(100.0, 0.9)
    for _ in range(5000):
        balancer.request_started(balancer.select("", 1.0, True, []), 1.0)
    slow = sum(balancer.hosts[f"h{i}"].open_requests for i in range(50))
    assert 0.2 < slow / 5000 < 0.3  # 1 / (1 + 10 ** 0.5) is 0.24


def test_a_list_replaced_whole_under_load_forgets_the_old_hosts() -> None:
    d = Driver(servers=50)
    rids = [d.ask()[0] for _ in range(100)]
    d.give(api.EndpointList(ListKind.FULL, tuple(server(i) for i in range(100, 150))))
    balancer = d.gateway.fleet
    assert balancer.host_set.open_on_healthy == 0 and balancer.host_set.available_count == 50
    for rid in rids:  # their outcomes come from hosts that are off the list
        d.end(rid)
    assert balancer.host_set.open_on_healthy == 0 and len(balancer.host_set.pools[""].inside.by_rank) < 20
    sent = [of(d.ask()[1], api.SendAttempt)[0].host for _ in range(50)]
    assert len(set(sent)) > 40 and all(int(name[1:]) >= 100 for name in sent)


def test_what_no_host_serves_any_longer_is_forgotten() -> None:
    balancer = make(classes=KEYED)
    balancer.update_endpoints(api.EndpointList(ListKind.FULL, tuple(line(i) for i in range(10))))
    for i in range(500):  # pools and zones are renamed, hosts come cold and go again
        balancer.update_endpoints(
            api.EndpointList(
                ListKind.CHANGES,
                (
                    line(0, pool=f"p{i}"),
                    line(1, zone=f"z{i}", started_at_ms=balancer.now),
                    line(100 + i, started_at_ms=balancer.now),
                ),
            )
        )
        balancer.update_endpoints(
            api.EndpointList(ListKind.CHANGES, (line(100 + i, status=HostStatus.REMOVED),))
        )
        balancer.now += 1.0
        balancer.sweep(100.0, 0.9)
        assert len(balancer.host_set.pools) == 2 and len(balancer.host_set.pools[""].localities) <= 12
        assert len(balancer.slow_start.queue) <= 2 * balancer.host_set.warming_count + QUEUE_SLACK
    balancer.now += 10_000.0
    balancer.sweep(100.0, 0.9)
    assert not balancer.host_set.warming_count and not balancer.slow_start.queue
