"""A guard on the connections of one gateway at a small size: counts, not times."""

from __future__ import annotations

from benchmarks.capacity.connections import FIRST_S, Connected, measure
from benchmarks.capacity.probes import PROBES
from benchmarks.capacity.size import FULL

FEW, MANY = 500, 2_000  # both larger than an aperture
MOST_OPEN = FULL.requests_per_gateway / 1.5  # far fewer than one for each request of a second


def test_the_same_seed_plays_the_same() -> None:
    dials = []
    for _ in range(2):
        played = Connected(FEW, 1)
        played.run(10 * FIRST_S)
        dials.append((played.dials, played.open_connections(), played.hosts_connected()))
    assert dials[0] == dials[1]


def test_a_gateway_keeps_no_more_connections_with_more_hosts() -> None:
    few, many = measure(FEW, 1), measure(MANY, 1)
    assert 0 < few["hosts.connections.open"] < MOST_OPEN
    assert many["hosts.connections.open"] < 1.25 * few["hosts.connections.open"]
    assert many["hosts.connections.dials_per_s"] < FULL.requests_per_gateway / 4


def test_a_gateway_dials_once_a_request_at_the_most_after_its_start() -> None:
    played = Connected(MANY, 1)
    played.run(FIRST_S)
    assert 0 < played.dials < FULL.requests_per_gateway / 2


def test_the_probe_is_registered_with_the_figures_that_it_measures() -> None:
    probe = PROBES["hosts.connections"]
    assert set(probe.measure(probe.small, 1)) == set(probe.figures)
