"""The aperture: even over all hosts, as wide as traffic needs, left where its hosts cannot serve."""

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


def endpoint(i: int, status: HostStatus = HostStatus.UP, zone: str | None = None) -> api.Endpoint:
    return api.Endpoint(f"h{i}", zone or f"z{i % 2}", 0, status, 1.0)


def make_balancer(me: int, gateways: int, hosts: int, **changes: object) -> LoadBalancer:
    balancer = LoadBalancer(settings(gateway_index=me, fleet_size=gateways, **changes), random.Random(me + 1))
    balancer.now = 100_000.0
    balancer.update_endpoints(api.EndpointList(ListKind.FULL, tuple(endpoint(i) for i in range(hosts))))
    return balancer


def names_in_aperture(balancer: LoadBalancer) -> set[str]:
    return {h.name for h in balancer.hosts.values() if h.in_aperture}


def send_requests(
    balancer: LoadBalancer, sweeps: int, per_sweep: int, max_open: int = 0
) -> collections.Counter[str]:
    """Requests, `max_open` of them open at a time; who got how many."""
    requests_by_host: collections.Counter[str] = collections.Counter()
    open_on: collections.deque[Host] = collections.deque()
    for _ in range(sweeps):
        for _ in range(per_sweep):
            host = balancer.select("", 10.0, True, [])
            assert host is not None
            balancer.request_started(host, 10.0)
            requests_by_host[host.name] += 1
            open_on.append(host)
            while len(open_on) > max_open:
                ended = open_on.popleft()
                balancer.request_ended(ended)
                balancer.reindex(ended)
        balancer.now += 100.0
        balancer.sweep(100.0, 0.9)
    while open_on:
        ended = open_on.popleft()
        balancer.request_ended(ended)
        balancer.reindex(ended)
    return requests_by_host


@pytest.mark.parametrize(("gateways", "hosts"), [(200, 113), (60, 66), (24, 200), (200, 41)])
def test_every_host_is_in_as_many_apertures_as_the_others(gateways: int, hosts: int) -> None:
    fleets = [make_balancer(me, gateways, hosts) for me in range(gateways)]
    counts = collections.Counter(name for balancer in fleets for name in names_in_aperture(balancer))
    assert len(counts) == hosts
    assert max(counts.values()) - min(counts.values()) <= 1
    mean = sum(counts.values()) / hosts
    assert min(counts.values()) >= APERTURES_PER_HOST - 1 and max(counts.values()) <= 1.5 * mean + 1


def test_all_hosts_get_even_shares_of_the_requests_of_all_gateways() -> None:
    requests_by_host: collections.Counter[str] = collections.Counter()
    for me in range(200):
        requests_by_host += send_requests(make_balancer(me, 200, 120), 20, 1)
    assert len(requests_by_host) == 120
    assert (
        max(requests_by_host.values()) <= 2 * 4000 / 120
        and min(requests_by_host.values()) >= 0.4 * 4000 / 120
    )


@pytest.mark.parametrize(("gateways", "hosts"), [(1, 200), (4, 50), (200, 8), (200, 9)])
def test_few_gateways_or_few_hosts_have_no_aperture(gateways: int, hosts: int) -> None:
    balancer = make_balancer(0, gateways, hosts)
    send_requests(balancer, 10, 2)
    assert (
        len(names_in_aperture(balancer)) == hosts
        and not balancer.host_set.pools[""].outside_aperture.occupied_ranks
    )


def test_aperture_widens_with_traffic_and_narrows_again() -> None:
    balancer = make_balancer(3, 200, 120)
    usual = send_requests(balancer, 100, 1, max_open=3)
    assert len(usual) <= 3 * len(names_in_aperture(balancer)) and len(names_in_aperture(balancer)) < 40
    calm = len(names_in_aperture(balancer))
    send_requests(balancer, 100, 5, max_open=30)
    assert len(names_in_aperture(balancer)) > 3 * calm
    for _ in range(300):
        balancer.now += 100.0
        balancer.sweep(100.0, 0.9)
    assert len(names_in_aperture(balancer)) <= calm


def test_requests_leave_an_aperture_that_is_ejected_or_drains() -> None:
    balancer = make_balancer(5, 200, 120)
    mine = names_in_aperture(balancer)
    for name in mine:
        balancer.eject(balancer.hosts[name])
        balancer.reindex(balancer.hosts[name])
    balancer.select("", 10.0, False, [])
    host = balancer.select("", 10.0, False, [])
    assert host is not None and host.name not in mine
    # Those that drain leave the ring: the aperture goes on to the next ones.
    balancer.update_endpoints(
        api.EndpointList(
            ListKind.CHANGES, tuple(endpoint(int(name[1:]), HostStatus.DRAINING) for name in mine)
        )
    )
    balancer.sweep(100.0, 0.9)
    assert not any(h.in_aperture for h in balancer.hosts.values() if h.group == READY and h.name in mine)
    assert sum(h.in_aperture and h.group == READY for h in balancer.hosts.values()) == len(mine)


def test_a_burst_spills_over_before_a_host_is_overloaded() -> None:
    balancer = make_balancer(7, 200, 120)
    mine = names_in_aperture(balancer)
    requests_by_host = send_requests(balancer, 1, 100, max_open=100)
    assert max(requests_by_host.values()) <= SPILLOVER_LOAD_RATIO + 1
    assert len(requests_by_host) > 2 * len(mine)


def test_a_host_that_comes_or_goes_moves_each_aperture_by_one_at_most() -> None:
    for me in (0, 17, 99, 199):
        balancer = make_balancer(me, 200, 120)
        before = names_in_aperture(balancer)
        balancer.update_endpoints(
            api.EndpointList(ListKind.CHANGES, (endpoint(120), endpoint(5, HostStatus.REMOVED)))
        )
        balancer.sweep(100.0, 0.9)
        after = names_in_aperture(balancer)
        assert len(after - before) <= 3 and len(after) == len(before)


def test_a_retry_bound_to_a_zone_stays_in_it_whatever_the_aperture() -> None:
    keyed = api.RequestClass(
        "zoned",
        1000,
        2000,
        idempotency=Idempotency.KEYED,
        key_scope=KeyScope.ZONE,
        idempotency_window_ms=2000,
    )
    balancer = make_balancer(9, 200, 120, classes=(keyed,))
    for _ in range(50):
        host = balancer.select("", 10.0, False, [balancer.hosts["h1"]], ("z1",))
        assert host is not None and host.zone == "z1"


def test_a_host_that_drained_while_the_aperture_grew_to_all_is_added_to_it() -> None:
    balancer = make_balancer(3, 200, 20)
    far = next(h for h in balancer.hosts.values() if not h.in_aperture)
    number = int(far.name[1:])
    balancer.update_endpoints(api.EndpointList(ListKind.CHANGES, (endpoint(number, HostStatus.DRAINING),)))
    send_requests(balancer, 30, 5)  # 50 a second: it takes in all hosts
    assert not balancer.host_set.pools[""].outside_aperture.occupied_ranks
    balancer.update_endpoints(api.EndpointList(ListKind.CHANGES, (endpoint(number),)))
    send_requests(balancer, 5, 5)
    assert far.in_aperture and not balancer.host_set.pools[""].outside_aperture.occupied_ranks


def test_a_size_near_the_number_of_hosts_does_not_change_at_each_sweep() -> None:
    balancer = make_balancer(3, 200, 20)
    sizes = []
    for turn in range(60):
        balancer.aperture.request_rate = (
            15.5 if turn % 2 else 16.5
        ) / REQUEST_SPACING_MS  # about 20 / RESIZE
        balancer.update_aperture()
        sizes.append(balancer.aperture.size)
    assert len(set(sizes[2:])) == 1
