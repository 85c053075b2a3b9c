"""Costs of tenants: routing, memory, CPU per request, start, and the effect of one tenant's flood on another.

Gateway, hosts and each load run in separate processes. Few and many tenants, or calm and flooded ones,
alternate within one run, and ratios compare medians. Scaled down for one machine, which hosts and loads share
with the gateway.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import statistics
import subprocess
import sys
import tempfile
import time
import tracemalloc
from pathlib import Path
from typing import Any

import uvloop

from hillmux import interface as api
from hillmux.demo.load import Load, read_answer
from hillmux.demo.run import Gateway
from hillmux.hosted.config import load as load_config
from hillmux.hosted.service import Service
from hillmux.lab.standins.alone import start_host_stand_ins
from hillmux.net.forward_request import ForwardRequest
from hillmux.tenants import Router
from hillmux.tenants.model import Pool, Route, Tenant
from hillmux.tenants.target import read_target

FILE_HEADER = """\
[[listeners]]
address = "127.0.0.1:0"
[limits]
sockets = 4096
[classes.read]
aim_ms = 2500
deadline_ms = 10000
[classes.book]
aim_ms = 2000
deadline_ms = 6000
effect = "keyed"
window_ms = 4000
[plans.team]
rate = {rate}
burst = {burst}
"""
TENANT_TABLE = """\
[[tenants]]
id = "t{i}"
host_names = ["t{i}.example"]
default_plan = "team"
pools.main.hosts = [{{id = "h", address = "{address}"}}]
[[tenants.routes]]
name = "slots"
prefix = "/api/slots"
pool = "main"
class = "read"
[[tenants.routes]]
name = "bookings"
prefix = "/api/bookings"
pool = "main"
class = "book"
"""


def write_configuration(path: Path, count: int, ports: list[int], rate: float = 1e6) -> Path:
    """Write a configuration with `count` tenants; the first ones have stand-ins at `ports` as hosts."""
    with path.open("w") as file:
        file.write(FILE_HEADER.format(rate=rate, burst=2 * rate))
        for i in range(count):
            address = f"127.0.0.1:{ports[i]}" if i < len(ports) else f"127.9.{i // 250}.{i % 250 + 1}:9"
            file.write(TENANT_TABLE.format(i=i, address=address))
    return path


class Report:
    """Prints figures with their limits, and collects the names of those that exceed them."""

    def __init__(self) -> None:
        self.missed: list[str] = []

    def add(self, name: str, value: float, unit: str, limit: float | None = None) -> None:
        """Print one figure; record it as missed if it exceeds `limit`."""
        bound = "" if limit is None else f"   (must be {limit:g} or less)"
        print(f"{name:58} {value:10.3f} {unit}{bound}", flush=True)
        if limit is not None and value > limit:
            self.missed.append(name)


# --- Routing ----------------------------------------------------------------------------------------------


def build_router(count: int, identical_routes: bool) -> Router:
    """An index of `count` tenants, whose routes are identical or different for each."""
    router = Router()
    settings = api.Settings(classes=(api.RequestClass("read", 1, 1),))
    for i in range(count):
        suffix = "" if identical_routes else f"-{i}"
        routes = (
            Route("slots" + suffix, b"/api/slots", frozenset((b"GET",)), (), "main", "read", "safe"),
            Route("bookings" + suffix, b"/api/bookings", frozenset((b"POST",)), (), "main", "book", "keyed"),
        )
        router.put(Tenant(f"t{i}", (f"t{i}.example",), (b"/",), routes, (Pool("main"),), settings))
    return router


def measure_routing(report: Report, rounds: int, identical_routes: bool) -> None:
    """Measure lookups from Host and target to a route, with few and many tenants in turn."""
    counts = (1, 100, 10_000)
    routers = {count: build_router(count, identical_routes) for count in counts}
    rng = random.Random(1)
    # The same number of requests for each, so that only the index differs.
    requests_by_count = {
        count: [
            (f"T{rng.randrange(count)}.example:80".encode(), b"/api/slots/partner-7?day=3")
            for _ in range(1000)
        ]
        for count in counts
    }
    times: dict[int, list[float]] = {count: [] for count in counts}
    for _ in range(rounds):
        for count in counts:
            router, requests = routers[count], requests_by_count[count]
            started_at = time.perf_counter()
            for host, url in requests:
                target = read_target(url, host, False)
                entry = router.find(target.host, target.path)
                assert entry is not None
                assert isinstance(Router.route(entry, b"GET", target.path, {}), Route)
            times[count].append((time.perf_counter() - started_at) * 1e6 / len(requests))
    medians = {count: statistics.median(found) for count, found in times.items()}
    kind = "routes alike" if identical_routes else "routes each one's own"
    for count in counts:
        report.add(f"routing, {count} tenants, {kind}", medians[count], "us a request")
    for count in (100, 10_000):
        report.add(f"routing, {count} tenants to 1, {kind}", medians[count] / medians[1], "ratio", 1.2)


# --- The gateway as a process -----------------------------------------------------------------------------


def cpu_s(pid: int) -> float:
    """User and system time of a process, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def memory_kb(pid: int) -> float:
    """Resident memory of a process, in KB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return float(line.split()[1])
    raise ValueError("no VmRSS")


async def closed_loop(port: int, tenants: int, requests: int, workers: int = 16) -> None:
    """Send lookups for `tenants` tenants in turn over persistent connections, one at a time per worker.

    Raises:
        RuntimeError: a response has another status than 200.
    """
    request_numbers = iter(range(requests))

    async def worker() -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for i in request_numbers:
            writer.write(b"GET /api/slots/p%d HTTP/1.1\r\nHost: t%d.example\r\n\r\n" % (i % 3, i % tenants))
            status, headers, _ = await read_answer(reader)
            if status != 200:
                raise RuntimeError(f"answered {status} {headers}")
        writer.close()

    async with asyncio.timeout(120):
        await asyncio.gather(*(worker() for _ in range(workers)))


async def start_gateway(path: Path) -> tuple[Gateway, float]:
    """Start a gateway; returns it and the seconds from the start of its process until it listened."""
    started_at = time.perf_counter()
    gateway = Gateway(path)
    await gateway.start()
    return gateway, time.perf_counter() - started_at


async def measure_sizes(report: Report, folder: Path, requests: int, rounds: int) -> None:
    """Measure start, memory, and CPU per request of a gateway with 10,000 tenants."""
    host_stand_ins = start_host_stand_ins(100, work_ms=0.2)
    ports = [stand_in.port for stand_in in host_stand_ins]
    small_gateway, _ = await start_gateway(write_configuration(folder / "few.toml", 100, ports))
    small_memory_kb = memory_kb(small_gateway.process.pid)
    await small_gateway.stop()
    seconds = []
    for _ in range(3):
        large_gateway, elapsed = await start_gateway(write_configuration(folder / "many.toml", 10_000, ports))
        seconds.append(elapsed)
        if len(seconds) < 3:
            await large_gateway.stop()
    report.add("start with 10,000 tenants, median of 3", statistics.median(seconds), "s", 5)
    idle_memory_kb = memory_kb(large_gateway.process.pid)
    report.add(
        "memory of an idle tenant, 10,000 against 100", (idle_memory_kb - small_memory_kb) / 9900, "KB", 20
    )
    await closed_loop(large_gateway.port, 100, 3000)
    report.add(
        "resident memory more with 100 busy of 10,000",
        memory_kb(large_gateway.process.pid) - idle_memory_kb,
        "KB",
    )
    # One busy tenant and 100 busy tenants alternate in the same process, which has 10,000 tenants.
    found: dict[int, list[float]] = {1: [], 100: []}
    for _ in range(rounds):
        for count in (1, 100):
            before = cpu_s(large_gateway.process.pid)
            await closed_loop(large_gateway.port, count, requests)
            found[count].append((cpu_s(large_gateway.process.pid) - before) * 1e6 / requests)
    for count in (1, 100):
        report.add(f"CPU, {count} busy of 10,000 tenants", statistics.median(found[count]), "us a request")
    report.add(
        "CPU, 100 busy tenants to 1", statistics.median(found[100]) / statistics.median(found[1]), "ratio"
    )
    await asyncio.sleep(3)
    before = cpu_s(large_gateway.process.pid)
    await asyncio.sleep(5)
    report.add(
        "CPU with 10,000 tenants and no request",
        (cpu_s(large_gateway.process.pid) - before) / 5 * 100,
        "% of a core",
    )
    await measure_reload(report, large_gateway, folder / "many.toml")
    await large_gateway.stop()
    for stand_in in host_stand_ins:
        stand_in.crash()


class IgnoringClient:
    """A client that ignores its response."""

    def answer(self, *positional: object, **keywords: object) -> None:
        """Ignore the response."""

    def has_disconnected(self, behind: bool) -> bool:
        """Always false."""
        return False


async def measure_awake_tenants(report: Report, folder: Path) -> None:
    """Measure Python's allocations for an awake tenant in this process.

    Resident memory would not show them, since they fit in memory that was freed after the start.
    """
    partners = 10
    service = Service(
        load_config(write_configuration(folder / "busy.toml", 200, [])), asyncio.get_running_loop(), seed=1
    )
    service.start()
    await asyncio.sleep(0)
    tracemalloc.start()
    allocated_bytes = [tracemalloc.get_traced_memory()[0]]
    for i in range(100):
        service.core(f"t{i}")
    allocated_bytes.append(tracemalloc.get_traced_memory()[0])
    for i in range(100):
        for j in range(partners):
            head = b"GET /api/slots/p HTTP/1.1\r\n"
            tenant_request = ForwardRequest(
                b"%d" % j,
                "read",
                "team",
                f"p{j}",
                5000.0,
                1,
                1,
                0,
                False,
                time.monotonic(),
                head,
                b"",
                "main",
            )
            service.core(f"t{i}").submit(IgnoringClient(), tenant_request, service.make_room)
    for _ in range(100):
        await asyncio.sleep(0.05)
        if not service.resources.open_requests.total_held:
            break
    allocated_bytes.append(tracemalloc.get_traced_memory()[0])
    tracemalloc.stop()
    service.stop()
    report.add(
        "memory of a tenant that is awake, without partners",
        (allocated_bytes[1] - allocated_bytes[0]) / 100 / 1024,
        "KB",
    )
    report.add(
        "memory of a busy tenant with 10 partners",
        (allocated_bytes[2] - allocated_bytes[0]) / 100 / 1024,
        "KB",
    )


async def measure_reload(report: Report, gateway: Gateway, path: Path) -> None:
    """Measure lookups while the gateway reloads 10,000 tenants, one of which has changed."""
    path.write_text(path.read_text().replace('"t9999', '"other'))
    reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
    elapsed: dict[bool, list[float]] = {False: [], True: []}
    for reloading in (False, True):
        if reloading:
            gateway.reload()
        end = time.monotonic() + (60 if reloading else 3)
        while time.monotonic() < end and not (reloading and any("reloaded" in line for line in gateway.log)):
            started_at = time.perf_counter()
            writer.write(b"GET /api/slots/p HTTP/1.1\r\nHost: t0.example\r\n\r\n")
            await read_answer(reader)
            elapsed[reloading].append((time.perf_counter() - started_at) * 1000)
            await asyncio.sleep(0.002)
    for reloading, name in ((False, "before"), (True, "while 10,000 tenants are read anew")):
        found = sorted(elapsed[reloading])
        report.add(f"p99 of a lookup {name}", found[int(len(found) * 0.99)], "ms")
        report.add(f"longest lookup {name}", found[-1], "ms")
    writer.close()


# --- A flood ----------------------------------------------------------------------------------------------


async def load_process(port: int, tenant: int, rate: float, seconds: float) -> asyncio.subprocess.Process:
    """Start a load generator in a separate process."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        __file__,
        "--load",
        json.dumps([port, tenant, rate, seconds]),
        stdout=asyncio.subprocess.PIPE,
    )


async def load_main(port: int, tenant: int, rate: float, seconds: float) -> None:
    """Main function of a load process; prints its figures as one line of JSON."""
    load = Load(port, f"t{tenant}", f"t{tenant}.example", [f"p{i}" for i in range(8)], rate, tenant)
    task = asyncio.create_task(load.run())
    await asyncio.sleep(seconds)
    load.stop()
    await task
    print(
        json.dumps(
            {
                "sent": load.sent,
                "answered": load.answered(),
                "served": load.served,
                "unsent": load.unsent,
                "refused": dict(load.rejected),
                "failed": load.failed,
                "p50": load.latencies.quantile(0.5),
                "p99": load.latencies.quantile(0.99),
            }
        )
    )


async def run_loads(port: int, rates: dict[int, float], seconds: float) -> dict[int, dict[str, Any]]:
    """Run several loads at once; returns the figures of each by tenant."""
    running = {tenant: await load_process(port, tenant, rate, seconds) for tenant, rate in rates.items()}
    found = {}
    for tenant, process in running.items():
        assert process.stdout is not None
        found[tenant] = json.loads(await process.stdout.read())
        await process.wait()
    return found


async def measure_flood(
    report: Report, folder: Path, rounds: int, seconds: float, rate: float, how: str
) -> None:
    """Measure the third tenant's p99 while the first sends its share, and 20 times its share, in turn.

    With a quota (`rate`, in units a second for each of 8 partners) the flooded tenant's own module rejects
    most requests. Without one its hosts are overloaded, and its module and the shares of the gateway's
    resources must contain the flood.
    """
    # Each tenant's host is a separate process, so that the tenants share only the gateway.
    host_stand_ins = [
        subprocess.Popen([sys.executable, __file__, "--nodes", "1"], stdout=subprocess.PIPE, text=True)
        for _ in range(3)
    ]
    ports = [
        port
        for stand_in in host_stand_ins
        if stand_in.stdout is not None
        for port in json.loads(stand_in.stdout.readline())
    ]
    gateway, _ = await start_gateway(write_configuration(folder / "three.toml", 3, ports, rate))
    share = 60.0  # requests a second of each tenant when all are calm
    calm_p99_ms: list[float] = []
    flooded_p99_ms: list[float] = []
    ratios: list[float] = []
    try:
        await run_loads(gateway.port, {0: share, 1: share, 2: share}, 3)
        for round_index in range(rounds):
            p99_by_load = {}
            for load_factor in (1, 20) if round_index % 2 == 0 else (20, 1):
                found = await run_loads(gateway.port, {0: load_factor * share, 1: share, 2: share}, seconds)
                third = found[2]
                p99_by_load[load_factor] = third["p99"]
                print(f"  flood x{load_factor}: third {third}\n            first {found[0]}", flush=True)
                if third["refused"] or third["failed"] or third["answered"] != third["sent"]:
                    report.missed.append(f"the third tenant lost something, {how}")
            calm_p99_ms.append(p99_by_load[1])
            flooded_p99_ms.append(p99_by_load[20])
            ratios.append(p99_by_load[20] / p99_by_load[1])
    finally:
        await gateway.stop()
        for stand_in in host_stand_ins:
            stand_in.terminate()
            stand_in.wait()
    report.add(f"p99 of the third, calm, {how}", statistics.median(calm_p99_ms), "ms")
    report.add(
        f"p99 of the third, first at 20 times its share, {how}", statistics.median(flooded_p99_ms), "ms"
    )
    report.add(f"the same, flooded to calm, median of pairs, {how}", statistics.median(ratios), "ratio", 1.3)


async def hosts_main(count: int) -> None:
    """Main function of a process of hosts; prints their ports as one line of JSON and serves for 600 s."""
    host_stand_ins = start_host_stand_ins(count, work_ms=5.0)
    print(json.dumps([stand_in.port for stand_in in host_stand_ins]), flush=True)
    await asyncio.sleep(600)


async def main(quick: bool, only: str) -> int:
    """Run the selected measurements; returns 1 if a figure exceeds its limit, else 0."""
    report = Report()
    with tempfile.TemporaryDirectory(prefix="hillmux-bench-") as name:
        if only in ("", "routing"):
            for identical_routes in (True, False):
                measure_routing(report, 10 if quick else 60, identical_routes)
        if only in ("", "sizes"):
            await measure_awake_tenants(report, Path(name))
            await measure_sizes(report, Path(name), 2000 if quick else 8000, 2 if quick else 5)
        if only in ("", "flood"):
            for rate, how in ((15.0, "with quotas"), (1e6, "no quotas")):
                await measure_flood(report, Path(name), 2 if quick else 5, 4 if quick else 15, rate, how)
    for missed in report.missed:
        print(f"MISSED: {missed}")
    return 1 if report.missed else 0


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--only", default="", choices=("", "routing", "sizes", "flood"))
    parser.add_argument("--load", type=json.loads, help=argparse.SUPPRESS)
    parser.add_argument("--nodes", type=int, help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.load:
        uvloop.run(load_main(*args.load))
    elif args.nodes:
        uvloop.run(hosts_main(args.nodes))
    else:
        sys.exit(uvloop.run(main(args.quick, args.only)))
