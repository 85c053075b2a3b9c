"""The aperture: the hosts that one of many gateways prefers, evenly dealt, wide enough, left when need be."""

from __future__ import annotations

import collections
import random

import pytest
from conftest import settings

from hillmux import interface as api
from hillmux.balancing.aperture import APERTURES_PER_HOST, REQUEST_SPACING_MS
from hillmux.balancing.host import READY, Host
from hillmux.balancing.load_balancer import LoadBalancer
from hillmux.balancing.selection import SPILLOVER_LOAD_RATIO
from hillmux.interface import HostStatus, Idempotency, KeyScope, ListKind


def line(i: int, status: HostStatus = HostStatus.UP, zone: str | None = None) -> api.Endpoint:
    return api.Endpoint(f"h{i}", zone or f"z{i % 2}", 0, status, 1.0)


def make(me: int, gateways: int, hosts: int, **changes: object) -> LoadBalancer:
    balancer = LoadBalancer(settings(gateway_index=me, fleet_size=gateways, **changes), random.Random(me + 1))
    balancer.now = 100_000.0
    balancer.update_endpoints(api.EndpointList(ListKind.FULL, tuple(line(i) for i in range(hosts))))
    return balancer


def near(balancer: LoadBalancer) -> set[str]:
    return {h.name for h in balancer.hosts.values() if h.in_aperture}


def drive(balancer: LoadBalancer, sweeps: int, per_sweep: int, held: int = 0) -> collections.Counter[str]:
    """Requests, `held` of them open at a time; who got how many."""
    got: collections.Counter[str] = collections.Counter()
    out: collections.deque[Host] = collections.deque()
    for _ in range(sweeps):
        for _ in range(per_sweep):
            host = balancer.select("", 10.0, True, [])
            assert host is not None
            balancer.request_started(host, 10.0)
            got[host.name] += 1
            out.append(host)
            while len(out) > held:
                over = out.popleft()
                balancer.request_ended(over)
                balancer.reindex(over)
        balancer.now += 100.0
        balancer.sweep(100.0, 0.9)
    while out:
        over = out.popleft()
        balancer.request_ended(over)
        balancer.reindex(over)
    return got


@pytest.mark.parametrize(("gateways", "hosts"), [(200, 113), (60, 66), (24, 200), (200, 41)])
def test_every_host_is_in_as_many_apertures_as_the_next(gateways: int, hosts: int) -> None:
    fleets = [make(me, gateways, hosts) for me in range(gateways)]
    counts = collections.Counter(name for balancer in fleets for name in near(balancer))
    assert len(counts) == hosts
    assert max(counts.values()) - min(counts.values()) <= 1
    mean = sum(counts.values()) / hosts
    assert min(counts.values()) >= APERTURES_PER_HOST - 1 and max(counts.values()) <= 1.5 * mean + 1


def test_the_hosts_of_the_fleet_get_even_shares_of_its_requests() -> None:
    got: collections.Counter[str] = collections.Counter()
    for me in range(200):
        got += drive(make(me, 200, 120), 20, 1)
    assert len(got) == 120
    assert max(got.values()) <= 2 * 4000 / 120 and min(got.values()) >= 0.4 * 4000 / 120


@pytest.mark.parametrize(("gateways", "hosts"), [(1, 200), (4, 50), (200, 8), (200, 9)])
def test_few_gateways_or_few_hosts_have_no_aperture(gateways: int, hosts: int) -> None:
    balancer = make(0, gateways, hosts)
    drive(balancer, 10, 2)
    assert len(near(balancer)) == hosts and not balancer.host_set.pools[""].outside.occupied_ranks


def test_a_gateway_that_sees_ten_times_the_mean_has_a_wider_aperture_and_narrows_it_again() -> None:
    balancer = make(3, 200, 120)
    usual = drive(balancer, 100, 1, held=3)
    assert len(usual) <= 3 * len(near(balancer)) and len(near(balancer)) < 40
    calm = len(near(balancer))
    drive(balancer, 100, 5, held=30)
    assert len(near(balancer)) > 3 * calm
    for _ in range(300):
        balancer.now += 100.0
        balancer.sweep(100.0, 0.9)
    assert len(near(balancer)) <= calm


def test_requests_leave_an_aperture_that_fails_drains_or_is_full() -> None:
    balancer = make(5, 200, 120)
    mine = near(balancer)
    for name in mine:
        balancer.eject(balancer.hosts[name])
        balancer.reindex(balancer.hosts[name])
    balancer.select("", 10.0, False, [])
    host = balancer.select("", 10.0, False, [])
    assert host is not None and host.name not in mine
    # Those that drain leave the ring: the aperture goes on to the next ones.
    balancer.update_endpoints(
        api.EndpointList(ListKind.CHANGES, tuple(line(int(name[1:]), HostStatus.DRAINING) for name in mine))
    )
    balancer.sweep(100.0, 0.9)
    assert not any(h.in_aperture for h in balancer.hosts.values() if h.group == READY and h.name in mine)
    assert sum(h.in_aperture and h.group == READY for h in balancer.hosts.values()) == len(mine)


def test_a_burst_spills_over_before_a_host_is_crowded() -> None:
    balancer = make(7, 200, 120)
    mine = near(balancer)
    got = drive(balancer, 1, 100, held=100)
    assert max(got.values()) <= SPILLOVER_LOAD_RATIO + 1
    assert len(got) > 2 * len(mine)


def test_a_host_that_comes_or_goes_moves_each_aperture_by_one_at_most() -> None:
    for me in (0, 17, 99, 199):
        balancer = make(me, 200, 120)
        before = near(balancer)
        balancer.update_endpoints(
            api.EndpointList(ListKind.CHANGES, (line(120), line(5, HostStatus.REMOVED)))
        )
        balancer.sweep(100.0, 0.9)
        after = near(balancer)
        assert len(after - before) <= 3 and len(after) == len(before)


def test_a_repeat_bound_to_a_zone_stays_in_it_whatever_the_aperture() -> None:
    keyed = api.RequestClass(
        "zoned",
        1000,
        2000,
        idempotency=Idempotency.KEYED,
        key_scope=KeyScope.ZONE,
        idempotency_window_ms=2000,
    )
    balancer = make(9, 200, 120, classes=(keyed,))
    for _ in range(50):
        host = balancer.select("", 10.0, False, [balancer.hosts["h1"]], ("z1",))
        assert host is not None and host.zone == "z1"


def test_a_host_that_was_out_while_the_aperture_grew_to_all_comes_back_into_it() -> None:
    balancer = make(3, 200, 20)
    far = next(h for h in balancer.hosts.values() if not h.in_aperture)
    number = int(far.name[1:])
    balancer.update_endpoints(api.EndpointList(ListKind.CHANGES, (line(number, HostStatus.DRAINING),)))
    drive(balancer, 30, 5)  # 50 a second: it takes in all hosts
    assert not balancer.host_set.pools[""].outside.occupied_ranks
    balancer.update_endpoints(api.EndpointList(ListKind.CHANGES, (line(number),)))
    drive(balancer, 5, 5)
    assert far.in_aperture and not balancer.host_set.pools[""].outside.occupied_ranks


def test_a_size_about_that_of_the_fleet_does_not_lay_the_aperture_out_at_each_sweep() -> None:
    balancer = make(3, 200, 20)
    sizes = []
    for turn in range(60):
        balancer.aperture.request_rate = (
            15.5 if turn % 2 else 16.5
        ) / REQUEST_SPACING_MS  # about 20 / RESIZE
        balancer.layout_aperture()
        sizes.append(balancer.aperture.size)
    assert len(set(sizes[2:])) == 1
