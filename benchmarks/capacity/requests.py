"""Processor time of a gateway's decision module by requests a second, in virtual time."""

from __future__ import annotations

import gc

from benchmarks.capacity.hosts import AS_SOURCE, CUSTOMERS
from benchmarks.capacity.probe import GATEWAY, Probe, Values
from benchmarks.capacity.size import FULL
from benchmarks.module_worker import Play

HOST_RESPONSE_S = 0.05  # response time of each host
VIRTUAL_S = 20
SERIES_COUNT = 5  # the median series is reported


def measure(size: int, seed: int) -> Values:
    """Measure `size` requests a second, with all hosts and the customers of one gateway."""
    in_flight = max(1, round(size * HOST_RESPONSE_S))
    play = Play(FULL.hosts, CUSTOMERS, seed=seed, interval_ms=1000 / size, max_in_flight=in_flight)
    play.run(play.requests(max(CUSTOMERS, size), everyone=True))
    spent = sorted(_series_s(play, size * VIRTUAL_S // SERIES_COUNT) for _ in range(SERIES_COUNT))
    return {"requests.module.cpu_share": spent[SERIES_COUNT // 2] * SERIES_COUNT / VIRTUAL_S}


def _series_s(play: Play, count: int) -> float:
    requests = play.requests(count)
    play.module_time_s = 0.0
    gc.disable()
    play.run(requests)
    gc.enable()
    return play.module_time_s


PROBES = (
    Probe(
        name="requests.module",
        role=GATEWAY,
        axis="requests a second",
        sizes=(50, 197, 400, 800),
        figures={"requests.module.cpu_share": "share of a core"},
        measure=measure,
        small=50,
        note=f"sockets; the housekeeping of an idle gateway is in; {AS_SOURCE}",
    ),
)
