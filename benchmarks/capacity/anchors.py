"""Real gateways as anchors: what hollow ones leave out of memory, processor time, bytes and added delay."""

from __future__ import annotations

import statistics
import time
from typing import Any

from benchmarks.capacity.hosts import CUSTOMERS
from benchmarks.capacity.probe import DISCOVERY, GATEWAY, Probe, Values
from benchmarks.capacity.processes import Gateway, Surroundings
from benchmarks.capacity.resources import core_wait_s, process_cpu_s, proportional_mb, resident_mb
from benchmarks.capacity.size import FULL
from benchmarks.path import Process

CONNECTIONS = 32  # of the load
BLOCKS = 3  # through the gateway and at the host, by turns
BLOCK_S = 4
LEAST_REQUESTS = 400  # in a block: below that a p99 is one request or two
SETTLE_S = 2.0
IDLE_S = 5.0
STARTS = 3
FLEET_HOSTS = 100
FLEET_SETTLE_S = 3.0
FLEET_WATCH_S = 10.0


def measure_gateway(size: int, seed: int) -> Values:
    """One gateway with all hosts at so many requests a second, beside the same load at a host itself."""
    with Surroundings(FULL.hosts, seed) as around:
        gateway = around.gateway()
        gateway.ready_s()
        time.sleep(SETTLE_S)
        idle_share = _cpu_share(gateway.pid, IDLE_S)
        through = around.load(gateway.port, CUSTOMERS, CONNECTIONS)
        direct = around.load(around.hosts.ports[0], CUSTOMERS, CONNECTIONS)
        _block(through, size)
        _block(direct, size)
        return _loaded(around, gateway, through, direct, size) | {
            "anchors.gateway.idle_cpu_share": idle_share,
            "anchors.gateway.memory_mb": resident_mb(gateway.pid),
        }


def _loaded(
    around: Surroundings, gateway: Gateway, through: Process, direct: Process, size: int
) -> dict[str, float]:
    """Blocks of load by turns: the medians of what they cost and add."""
    shares, waits, p50, p99, requests, refused = [], [], [], [], 0, 0
    before = around.counter.play()
    for _ in range(BLOCKS):
        cpu_s, wait_s = process_cpu_s(gateway.pid), core_wait_s(gateway.pid)
        ours = _block(through, size)
        shares.append((process_cpu_s(gateway.pid) - cpu_s) / ours["s"])
        waits.append((core_wait_s(gateway.pid) - wait_s) / ours["s"])
        theirs = _block(direct, size)
        p50.append(ours["p50_ms"] - theirs["p50_ms"])
        p99.append(ours["p99_ms"] - theirs["p99_ms"])
        requests += sum(ours["statuses"].values())
        refused += sum(count for status, count in ours["statuses"].items() if status != "200")
    after = around.counter.play()
    calls = after["calls"] - before["calls"]
    moved = sum(after[field] - before[field] for field in ("bytes_read", "bytes_written"))
    return {
        "anchors.gateway.cpu_share": statistics.median(shares),
        "anchors.gateway.core_wait_share": statistics.median(waits),
        "anchors.gateway.added_p50_ms": statistics.median(p50),
        "anchors.gateway.added_p99_ms": statistics.median(p99),
        "anchors.gateway.counter_bytes_per_call": moved / calls if calls else 0.0,
        "anchors.gateway.counter_calls_per_request": calls / requests,
        "anchors.gateway.refused_share": refused / requests,
    }


def _block(load: Process, rate: int) -> dict[str, Any]:
    return load.play(requests=max(rate * BLOCK_S, LEAST_REQUESTS), rate=rate, from_written=True)


def _cpu_share(pid: int, seconds: float) -> float:
    began, cpu_s = time.monotonic(), process_cpu_s(pid)
    time.sleep(seconds)
    return (process_cpu_s(pid) - cpu_s) / (time.monotonic() - began)


def measure_list(size: int, seed: int) -> Values:
    """Gateways started one after another with a list of so many hosts."""
    ready_ms, cpu_ms, memory_mb, read = [], [], [], []
    with Surroundings(size, seed) as around:
        for _ in range(STARTS):
            before = around.discovery.play()["bytes_written"]
            gateway = around.gateway()
            ready_ms.append(1e3 * gateway.ready_s())
            cpu_ms.append(1e3 * process_cpu_s(gateway.pid))
            read.append(float(around.discovery.play()["bytes_written"] - before))
            time.sleep(1.0)
            memory_mb.append(resident_mb(gateway.pid))
            around.end(gateway)
    return {
        "anchors.list.memory_mb": statistics.median(memory_mb),
        "anchors.list.ready_ms": statistics.median(ready_ms),
        "anchors.list.cpu_ms_to_ready": statistics.median(cpu_ms),
        "anchors.list.bytes_read": statistics.median(read),
    }


def measure_fleet(size: int, seed: int) -> Values:
    """So many idle gateways."""
    with Surroundings(FLEET_HOSTS, seed) as around:
        gateways = [around.gateway(number) for number in range(size)]
        for gateway in gateways:
            gateway.ready_s()
        time.sleep(FLEET_SETTLE_S)
        began, before = time.monotonic(), _control_bytes(around)
        time.sleep(FLEET_WATCH_S)
        seconds, moved = time.monotonic() - began, _control_bytes(around) - before
        memory_mb = sum(proportional_mb(gateway.pid) for gateway in gateways)
    return {
        "anchors.fleet.memory_mb_per_gateway": memory_mb / size,
        "anchors.fleet.control_bytes_per_s_per_gateway": moved / seconds / size,
    }


def _control_bytes(around: Surroundings) -> int:
    """Bytes that went between the gateways and discovery or the counter, both ways."""
    counts = (around.discovery.play(), around.counter.play())
    return sum(count[field] for count in counts for field in ("bytes_read", "bytes_written"))


PROBES = (
    Probe(
        name="anchors.gateway",
        role=GATEWAY,
        axis="requests a second",
        sizes=(50, 100, 197, 400),
        figures={
            "anchors.gateway.memory_mb": "MB",
            "anchors.gateway.cpu_share": "share of a core",
            "anchors.gateway.added_p50_ms": "ms",
            "anchors.gateway.added_p99_ms": "ms",
            "anchors.gateway.counter_bytes_per_call": "bytes a call",
            "anchors.gateway.counter_calls_per_request": "calls a request",
            "anchors.gateway.idle_cpu_share": "share of a core",
            "anchors.gateway.refused_share": "share of the requests",
            "anchors.gateway.core_wait_share": "share of the time",  # large: the machine was not ours alone
        },
        measure=measure_gateway,
        small=50,
        real=True,
        processes=6,
        memory_mb=1024,
        note="the network; hosts answer at once, and the counter knows only this gateway's use",
    ),
    Probe(
        name="anchors.list",
        role=DISCOVERY,
        axis="hosts in the list",
        sizes=(500, 1500, 4500, 9000),
        figures={
            "anchors.list.memory_mb": "MB",
            "anchors.list.ready_ms": "ms",
            "anchors.list.cpu_ms_to_ready": "ms of a core",
            "anchors.list.bytes_read": "bytes",
        },
        measure=measure_list,
        small=50,
        real=True,
        processes=4,
        memory_mb=1024,
        note="discovery's own time and the network; the compiled build, its files read before",
    ),
    Probe(
        name="anchors.fleet",
        role=GATEWAY,
        axis="real gateways",
        sizes=(2, 8, 24, 64),
        figures={
            "anchors.fleet.memory_mb_per_gateway": "MB a gateway",
            "anchors.fleet.control_bytes_per_s_per_gateway": "bytes/s a gateway",
        },
        measure=measure_fleet,
        small=2,
        real=True,
        processes=68,
        memory_mb=2048,
        note="requests, and changes of the list; memory that processes share is counted once",
    ),
)
