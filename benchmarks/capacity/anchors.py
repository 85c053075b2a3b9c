"""Probes of real gateway processes: memory, processor time, bytes and latency that hollow probes leave out.

A hollow probe runs the modules of one role within its own process; these probes show what that omits.
"""

from __future__ import annotations

import statistics
import time
from typing import Any

from benchmarks.capacity.hosts import CUSTOMERS
from benchmarks.capacity.probe import DISCOVERY, GATEWAY, Probe, Values
from benchmarks.capacity.processes import Gateway, Testbed
from benchmarks.capacity.resources import core_wait_s, process_cpu_s, proportional_mb, resident_mb
from benchmarks.capacity.size import FULL
from benchmarks.path import Process

CONNECTIONS = 32  # connections of each load generator
BLOCK_PAIRS = 3  # each a block through the gateway, then one at the host
BLOCK_S = 4
MIN_REQUESTS_PER_BLOCK = 400  # with fewer requests, a p99 depends on one or two of them
SETTLE_S = 2.0
IDLE_S = 5.0
STARTS = 3
FLEET_HOSTS = 100
FLEET_SETTLE_S = 3.0
FLEET_WATCH_S = 10.0


def measure_gateway(size: int, seed: int) -> Values:
    """Measure one gateway with all hosts at `size` requests/s, and the same load sent directly to a host."""
    with Testbed(FULL.hosts, seed) as testbed:
        gateway = testbed.gateway()
        gateway.ready_s()
        time.sleep(SETTLE_S)
        idle_share = _cpu_share(gateway.pid, IDLE_S)
        gateway_load = testbed.load(gateway.port, CUSTOMERS, CONNECTIONS)
        direct_load = testbed.load(testbed.hosts.ports[0], CUSTOMERS, CONNECTIONS)
        _run_block(gateway_load, size)
        _run_block(direct_load, size)
        return _measure_under_load(testbed, gateway, gateway_load, direct_load, size) | {
            "anchors.gateway.idle_cpu_share": idle_share,
            "anchors.gateway.memory_mb": resident_mb(gateway.pid),
        }


def _measure_under_load(
    testbed: Testbed, gateway: Gateway, gateway_load: Process, direct_load: Process, size: int
) -> dict[str, float]:
    """Alternate blocks of load through the gateway and at the host; returns medians of cost and latency."""
    cpu_shares, core_waits, added_p50_ms, added_p99_ms, requests, rejected = [], [], [], [], 0, 0
    before = testbed.counter.play()
    for _ in range(BLOCK_PAIRS):
        cpu_s, wait_s = process_cpu_s(gateway.pid), core_wait_s(gateway.pid)
        via_gateway = _run_block(gateway_load, size)
        cpu_shares.append((process_cpu_s(gateway.pid) - cpu_s) / via_gateway["s"])
        core_waits.append((core_wait_s(gateway.pid) - wait_s) / via_gateway["s"])
        at_host = _run_block(direct_load, size)
        added_p50_ms.append(via_gateway["p50_ms"] - at_host["p50_ms"])
        added_p99_ms.append(via_gateway["p99_ms"] - at_host["p99_ms"])
        requests += sum(via_gateway["statuses"].values())
        rejected += sum(count for status, count in via_gateway["statuses"].items() if status != "200")
    after = testbed.counter.play()
    calls = after["calls"] - before["calls"]
    bytes_moved = sum(after[field] - before[field] for field in ("bytes_read", "bytes_written"))
    return {
        "anchors.gateway.cpu_share": statistics.median(cpu_shares),
        "anchors.gateway.core_wait_share": statistics.median(core_waits),
        "anchors.gateway.added_p50_ms": statistics.median(added_p50_ms),
        "anchors.gateway.added_p99_ms": statistics.median(added_p99_ms),
        "anchors.gateway.counter_bytes_per_call": bytes_moved / calls if calls else 0.0,
        "anchors.gateway.counter_calls_per_request": calls / requests,
        "anchors.gateway.refused_share": rejected / requests,
    }


def _run_block(load: Process, rate: int) -> dict[str, Any]:
    return load.play(requests=max(rate * BLOCK_S, MIN_REQUESTS_PER_BLOCK), rate=rate, from_written=True)


def _cpu_share(pid: int, seconds: float) -> float:
    began, cpu_s = time.monotonic(), process_cpu_s(pid)
    time.sleep(seconds)
    return (process_cpu_s(pid) - cpu_s) / (time.monotonic() - began)


def measure_list(size: int, seed: int) -> Values:
    """Start gateways one after another with a list of `size` hosts; returns the medians of their figures."""
    ready_ms, cpu_ms, memory_mb, bytes_read = [], [], [], []
    with Testbed(size, seed) as testbed:
        for _ in range(STARTS):
            before = testbed.discovery.play()["bytes_written"]
            gateway = testbed.gateway()
            ready_ms.append(1e3 * gateway.ready_s())
            cpu_ms.append(1e3 * process_cpu_s(gateway.pid))
            bytes_read.append(float(testbed.discovery.play()["bytes_written"] - before))
            time.sleep(1.0)
            memory_mb.append(resident_mb(gateway.pid))
            testbed.stop_gateway(gateway)
    return {
        "anchors.list.memory_mb": statistics.median(memory_mb),
        "anchors.list.ready_ms": statistics.median(ready_ms),
        "anchors.list.cpu_ms_to_ready": statistics.median(cpu_ms),
        "anchors.list.bytes_read": statistics.median(bytes_read),
    }


def measure_fleet(size: int, seed: int) -> Values:
    """Run `size` idle gateways: memory and control traffic of each."""
    with Testbed(FLEET_HOSTS, seed) as testbed:
        gateways = [testbed.gateway(number) for number in range(size)]
        for gateway in gateways:
            gateway.ready_s()
        time.sleep(FLEET_SETTLE_S)
        began, before = time.monotonic(), _control_bytes(testbed)
        time.sleep(FLEET_WATCH_S)
        seconds, bytes_moved = time.monotonic() - began, _control_bytes(testbed) - before
        memory_mb = sum(proportional_mb(gateway.pid) for gateway in gateways)
    return {
        "anchors.fleet.memory_mb_per_gateway": memory_mb / size,
        "anchors.fleet.control_bytes_per_s_per_gateway": bytes_moved / seconds / size,
    }


def _control_bytes(testbed: Testbed) -> int:
    """Bytes exchanged so far between the gateways and discovery or the counter, in both directions."""
    counts = (testbed.discovery.play(), testbed.counter.play())
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
            "anchors.gateway.core_wait_share": "share of the time",  # high if the machine is shared
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
