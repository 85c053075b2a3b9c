"""Bounds on the connections and dials of one gateway at a small size; counts only, no times."""

from __future__ import annotations

from benchmarks.capacity.connections import STARTUP_S, ConnectionModel, measure
from benchmarks.capacity.probes import PROBES
from benchmarks.capacity.size import FULL

FEWER_HOSTS, MORE_HOSTS = 500, 2_000  # both larger than an aperture
MAX_OPEN_CONNECTIONS = FULL.requests_per_gateway / 1.5  # well below one connection per request of a second


def test_same_seed_gives_same_figures() -> None:
    results = []
    for _ in range(2):
        model = ConnectionModel(FEWER_HOSTS, 1)
        model.run(10 * STARTUP_S)
        results.append((model.dials, model.open_connections(), model.hosts_connected()))
    assert results[0] == results[1]


def test_open_connections_do_not_grow_with_hosts() -> None:
    fewer, more = measure(FEWER_HOSTS, 1), measure(MORE_HOSTS, 1)
    assert 0 < fewer["hosts.connections.open"] < MAX_OPEN_CONNECTIONS
    assert more["hosts.connections.open"] < 1.25 * fewer["hosts.connections.open"]
    assert more["hosts.connections.dials_per_s"] < FULL.requests_per_gateway / 4


def test_gateway_dials_at_most_half_its_requests_after_start() -> None:
    model = ConnectionModel(MORE_HOSTS, 1)
    model.run(STARTUP_S)
    assert 0 < model.dials < FULL.requests_per_gateway / 2


def test_probe_is_registered_with_the_figures_it_measures() -> None:
    probe = PROBES["hosts.connections"]
    assert set(probe.measure(probe.small, 1)) == set(probe.figures)
