"""The aperture: even coverage of all hosts, its size by traffic, and requests to hosts outside of it."""

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


def make_balancer(gateway_index: int, gateways: int, hosts: int, **changes: object) -> LoadBalancer:
    balancer = LoadBalancer(
        settings(gateway_index=gateway_index, fleet_size=gateways, **changes),
        random.Random(gateway_index + 1),
    )
    balancer.now = 100_000.0
    balancer.update_endpoints(api.EndpointList(ListKind.FULL, tuple(endpoint(i) for i in range(hosts))))
    return balancer


def names_in_aperture(balancer: LoadBalancer) -> set[str]:
    return {h.name for h in balancer.hosts.values() if h.in_aperture}


def send_requests(
    balancer: LoadBalancer, sweeps: int, per_sweep: int, max_open: int = 0
) -> collections.Counter[str]:
    """Send requests, at most `max_open` of them open at a time; returns the number of requests by host."""
    requests_by_host: collections.Counter[str] = collections.Counter()
    open_hosts: collections.deque[Host] = collections.deque()
    for _ in range(sweeps):
        for _ in range(per_sweep):
            host = balancer.select("", 10.0, True, [])
            assert host is not None
            balancer.request_started(host, 10.0)
            requests_by_host[host.name] += 1
            open_hosts.append(host)
            while len(open_hosts) > max_open:
                ended = open_hosts.popleft()
                balancer.request_ended(ended)
                balancer.reindex(ended)
        balancer.now += 100.0
        balancer.sweep(100.0, 0.9)
    while open_hosts:
        ended = open_hosts.popleft()
        balancer.request_ended(ended)
        balancer.reindex(ended)
    return requests_by_host


@pytest.mark.parametrize(("gateways", "hosts"), [(200, 113), (60, 66), (24, 200), (200, 41)])
def test_every_host_is_in_as_many_apertures_as_the_others(gateways: int, hosts: int) -> None:
    balancers = [make_balancer(gateway_index, gateways, hosts) for gateway_index in range(gateways)]
    counts = collections.Counter(name for balancer in balancers for name in names_in_aperture(balancer))
    assert len(counts) == hosts
    assert max(counts.values()) - min(counts.values()) <= 1
    mean = sum(counts.values()) / hosts
    assert min(counts.values()) >= APERTURES_PER_HOST - 1 and max(counts.values()) <= 1.5 * mean + 1


def test_all_hosts_get_even_shares_of_the_requests_of_all_gateways() -> None:
    requests_by_host: collections.Counter[str] = collections.Counter()
    for gateway_index in range(200):
        requests_by_host += send_requests(make_balancer(gateway_index, 200, 120), 20, 1)
    assert len(requests_by_host) == 120
    assert (
        max(requests_by_host.values()) <= 2 * 4000 / 120
        and min(requests_by_host.values()) >= 0.4 * 4000 / 120
    )


@pytest.mark.parametrize(("gateways", "hosts"), [(1, 200), (4, 50), (200, 8), (200, 9)])
def test_aperture_covers_all_hosts_with_few_gateways_or_few_hosts(gateways: int, hosts: int) -> None:
    balancer = make_balancer(0, gateways, hosts)
    send_requests(balancer, 10, 2)
    assert (
        len(names_in_aperture(balancer)) == hosts
        and not balancer.host_set.pools[""].outside_aperture.occupied_ranks
    )


def test_aperture_grows_and_shrinks_with_traffic() -> None:
    balancer = make_balancer(3, 200, 120)
    requests_by_host = send_requests(balancer, 100, 1, max_open=3)
    assert (
        len(requests_by_host) <= 3 * len(names_in_aperture(balancer))
        and len(names_in_aperture(balancer)) < 40
    )
    calm_size = len(names_in_aperture(balancer))
    send_requests(balancer, 100, 5, max_open=30)
    assert len(names_in_aperture(balancer)) > 3 * calm_size
    for _ in range(300):
        balancer.now += 100.0
        balancer.sweep(100.0, 0.9)
    assert len(names_in_aperture(balancer)) <= calm_size


def test_requests_go_outside_an_aperture_whose_hosts_are_ejected_or_draining() -> None:
    balancer = make_balancer(5, 200, 120)
    aperture_hosts = names_in_aperture(balancer)
    for name in aperture_hosts:
        balancer.eject(balancer.hosts[name])
        balancer.reindex(balancer.hosts[name])
    balancer.select("", 10.0, False, [])
    host = balancer.select("", 10.0, False, [])
    assert host is not None and host.name not in aperture_hosts
    # Draining hosts leave the ring, so the aperture extends to the next hosts on it.
    balancer.update_endpoints(
        api.EndpointList(
            ListKind.CHANGES, tuple(endpoint(int(name[1:]), HostStatus.DRAINING) for name in aperture_hosts)
        )
    )
    balancer.sweep(100.0, 0.9)
    assert not any(
        h.in_aperture for h in balancer.hosts.values() if h.group == READY and h.name in aperture_hosts
    )
    assert sum(h.in_aperture and h.group == READY for h in balancer.hosts.values()) == len(aperture_hosts)


def test_burst_spills_over_before_a_host_in_the_aperture_is_overloaded() -> None:
    balancer = make_balancer(7, 200, 120)
    aperture_hosts = names_in_aperture(balancer)
    requests_by_host = send_requests(balancer, 1, 100, max_open=100)
    assert max(requests_by_host.values()) <= SPILLOVER_LOAD_RATIO + 1
    assert len(requests_by_host) > 2 * len(aperture_hosts)


def test_adding_and_removing_a_host_replaces_few_hosts_of_an_aperture() -> None:
    for gateway_index in (0, 17, 99, 199):
        balancer = make_balancer(gateway_index, 200, 120)
        before = names_in_aperture(balancer)
        balancer.update_endpoints(
            api.EndpointList(ListKind.CHANGES, (endpoint(120), endpoint(5, HostStatus.REMOVED)))
        )
        balancer.sweep(100.0, 0.9)
        after = names_in_aperture(balancer)
        assert len(after - before) <= 3 and len(after) == len(before)


def test_retry_bound_to_a_zone_stays_in_it_regardless_of_the_aperture() -> None:
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


def test_host_that_was_draining_while_the_aperture_grew_to_all_is_added_to_it() -> None:
    balancer = make_balancer(3, 200, 20)
    outside_host = next(h for h in balancer.hosts.values() if not h.in_aperture)
    number = int(outside_host.name[1:])
    balancer.update_endpoints(api.EndpointList(ListKind.CHANGES, (endpoint(number, HostStatus.DRAINING),)))
    send_requests(balancer, 30, 5)  # 50 requests per second: the aperture covers all hosts
    assert not balancer.host_set.pools[""].outside_aperture.occupied_ranks
    balancer.update_endpoints(api.EndpointList(ListKind.CHANGES, (endpoint(number),)))
    send_requests(balancer, 5, 5)
    assert outside_host.in_aperture and not balancer.host_set.pools[""].outside_aperture.occupied_ranks


def test_aperture_size_near_the_number_of_hosts_does_not_change_at_each_sweep() -> None:
    balancer = make_balancer(3, 200, 20)
    sizes = []
    for i in range(60):
        # Alternates around 20 hosts / RESIZE_FACTOR, above which the aperture covers all hosts.
        balancer.aperture.request_rate = (15.5 if i % 2 else 16.5) / REQUEST_SPACING_MS
        balancer.update_aperture()
        sizes.append(balancer.aperture.size)
    assert len(set(sizes[2:])) == 1
