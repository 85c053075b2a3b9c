"""The aperture: the hosts that one of many gateways prefers, evenly dealt, wide enough, left when need be."""

from __future__ import annotations

import collections
import random

import pytest
from conftest import settings

from hillmux import interface as api
from hillmux.balancing import fleet as fl
from hillmux.interface import HostStatus, Idempotency, KeyScope, ListKind


def line(i: int, status: HostStatus = HostStatus.UP, zone: str | None = None) -> api.Endpoint:
    return api.Endpoint(f"h{i}", zone or f"z{i % 2}", 0, status, 1.0)


def make(me: int, gateways: int, hosts: int, **changes: object) -> fl.LoadBalancer:
    fleet = fl.LoadBalancer(settings(gateway_index=me, fleet_size=gateways, **changes), random.Random(me + 1))
    fleet.now = 100_000.0
    fleet.update_endpoints(api.EndpointList(ListKind.FULL, tuple(line(i) for i in range(hosts))))
    return fleet


def near(fleet: fl.LoadBalancer) -> set[str]:
    return {h.name for h in fleet.hosts.values() if h.in_aperture}


def drive(fleet: fl.LoadBalancer, sweeps: int, per_sweep: int, held: int = 0) -> collections.Counter[str]:
    """Requests, `held` of them open at a time; who got how many."""
    got: collections.Counter[str] = collections.Counter()
    out: collections.deque[fl.Host] = collections.deque()
    for _ in range(sweeps):
        for _ in range(per_sweep):
            host = fleet.select("", 10.0, True, [])
            assert host is not None
            fleet.request_started(host, 10.0)
            got[host.name] += 1
            out.append(host)
            while len(out) > held:
                over = out.popleft()
                fleet.request_ended(over)
                fleet.reindex(over)
        fleet.now += 100.0
        fleet.sweep(100.0, 0.9)
    while out:
        over = out.popleft()
        fleet.request_ended(over)
        fleet.reindex(over)
    return got


@pytest.mark.parametrize(("gateways", "hosts"), [(200, 113), (60, 66), (24, 200), (200, 41)])
def test_every_host_is_in_as_many_apertures_as_the_next(gateways: int, hosts: int) -> None:
    fleets = [make(me, gateways, hosts) for me in range(gateways)]
    counts = collections.Counter(name for fleet in fleets for name in near(fleet))
    assert len(counts) == hosts
    assert max(counts.values()) - min(counts.values()) <= 1
    mean = sum(counts.values()) / hosts
    assert min(counts.values()) >= fl.APERTURES_PER_HOST - 1 and max(counts.values()) <= 1.5 * mean + 1


def test_the_hosts_of_the_fleet_get_even_shares_of_its_requests() -> None:
    got: collections.Counter[str] = collections.Counter()
    for me in range(200):
        got += drive(make(me, 200, 120), 20, 1)
    assert len(got) == 120
    assert max(got.values()) <= 2 * 4000 / 120 and min(got.values()) >= 0.4 * 4000 / 120


@pytest.mark.parametrize(("gateways", "hosts"), [(1, 200), (4, 50), (200, 8), (200, 9)])
def test_few_gateways_or_few_hosts_have_no_aperture(gateways: int, hosts: int) -> None:
    fleet = make(0, gateways, hosts)
    drive(fleet, 10, 2)
    assert len(near(fleet)) == hosts and not fleet.pools[""].outside.occupied_ranks


def test_a_gateway_that_sees_ten_times_the_mean_has_a_wider_aperture_and_narrows_it_again() -> None:
    fleet = make(3, 200, 120)
    usual = drive(fleet, 100, 1, held=3)
    assert len(usual) <= 3 * len(near(fleet)) and len(near(fleet)) < 40
    calm = len(near(fleet))
    drive(fleet, 100, 5, held=30)
    assert len(near(fleet)) > 3 * calm
    for _ in range(300):
        fleet.now += 100.0
        fleet.sweep(100.0, 0.9)
    assert len(near(fleet)) <= calm


def test_requests_leave_an_aperture_that_fails_drains_or_is_full() -> None:
    fleet = make(5, 200, 120)
    mine = near(fleet)
    for name in mine:
        fleet.eject(fleet.hosts[name])
        fleet.reindex(fleet.hosts[name])
    fleet.select("", 10.0, False, [])
    host = fleet.select("", 10.0, False, [])
    assert host is not None and host.name not in mine
    # Those that drain leave the ring: the aperture goes on to the next ones.
    fleet.update_endpoints(
        api.EndpointList(ListKind.CHANGES, tuple(line(int(name[1:]), HostStatus.DRAINING) for name in mine))
    )
    fleet.sweep(100.0, 0.9)
    assert not any(h.in_aperture for h in fleet.hosts.values() if h.group == fl.READY and h.name in mine)
    assert sum(h.in_aperture and h.group == fl.READY for h in fleet.hosts.values()) == len(mine)


def test_a_burst_spills_over_before_a_host_is_crowded() -> None:
    fleet = make(7, 200, 120)
    mine = near(fleet)
    got = drive(fleet, 1, 100, held=100)
    assert max(got.values()) <= fl.SPILLOVER_LOAD_RATIO + 1
    assert len(got) > 2 * len(mine)


def test_a_host_that_comes_or_goes_moves_each_aperture_by_one_at_most() -> None:
    for me in (0, 17, 99, 199):
        fleet = make(me, 200, 120)
        before = near(fleet)
        fleet.update_endpoints(api.EndpointList(ListKind.CHANGES, (line(120), line(5, HostStatus.REMOVED))))
        fleet.sweep(100.0, 0.9)
        after = near(fleet)
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
    fleet = make(9, 200, 120, classes=(keyed,))
    for _ in range(50):
        host = fleet.select("", 10.0, False, [fleet.hosts["h1"]], ("z1",))
        assert host is not None and host.zone == "z1"


def test_a_host_that_was_out_while_the_aperture_grew_to_all_comes_back_into_it() -> None:
    fleet = make(3, 200, 20)
    far = next(h for h in fleet.hosts.values() if not h.in_aperture)
    number = int(far.name[1:])
    fleet.update_endpoints(api.EndpointList(ListKind.CHANGES, (line(number, HostStatus.DRAINING),)))
    drive(fleet, 30, 5)  # 50 a second: it takes in all hosts
    assert not fleet.pools[""].outside.occupied_ranks
    fleet.update_endpoints(api.EndpointList(ListKind.CHANGES, (line(number),)))
    drive(fleet, 5, 5)
    assert far.in_aperture and not fleet.pools[""].outside.occupied_ranks


def test_a_size_about_that_of_the_fleet_does_not_lay_the_aperture_out_at_each_sweep() -> None:
    fleet = make(3, 200, 20)
    sizes = []
    for turn in range(60):
        fleet.request_rate = (15.5 if turn % 2 else 16.5) / fl.REQUEST_SPACING_MS  # about 20 / RESIZE
        fleet.layout_aperture()
        sizes.append(fleet.aperture_size)
    assert len(set(sizes[2:])) == 1
