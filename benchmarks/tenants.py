"""What tenants cost: routing, memory, CPU a request, start, and what a flood of one does to another.

Processes of their own for the gateway, the hosts and each load; few and many, or calm and flooded, in turn
within one run; ratios of medians. Scaled down for one machine: hosts and loads share it with the gateway.
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

HEAD = """\
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
TENANT = """\
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


def write(path: Path, count: int, ports: list[int], rate: float = 1e6) -> Path:
    """A configuration of so many tenants; the first ones have hosts that answer."""
    with path.open("w") as file:
        file.write(HEAD.format(rate=rate, burst=2 * rate))
        for i in range(count):
            address = f"127.0.0.1:{ports[i]}" if i < len(ports) else f"127.9.{i // 250}.{i % 250 + 1}:9"
            file.write(TENANT.format(i=i, address=address))
    return path


class Report:
    """Figures with what they must be."""

    def __init__(self) -> None:
        self.missed: list[str] = []

    def tell(self, name: str, value: float, unit: str, most: float | None = None) -> None:
        """One figure."""
        bound = "" if most is None else f"   (must be {most:g} or less)"
        print(f"{name:58} {value:10.3f} {unit}{bound}", flush=True)
        if most is not None and value > most:
            self.missed.append(name)


# --- Routing ----------------------------------------------------------------------------------------------


def router_of(count: int, alike: bool) -> Router:
    """An index of so many tenants, with routes that are alike or each one's own."""
    router = Router()
    settings = api.Settings(classes=(api.RequestClass("read", 1, 1),))
    for i in range(count):
        own = "" if alike else f"-{i}"
        routes = (
            Route("slots" + own, b"/api/slots", frozenset((b"GET",)), (), "main", "read", "safe"),
            Route("bookings" + own, b"/api/bookings", frozenset((b"POST",)), (), "main", "book", "keyed"),
        )
        router.put(Tenant(f"t{i}", (f"t{i}.example",), (b"/",), routes, (Pool("main"),), settings))
    return router


def routing(report: Report, rounds: int, alike: bool) -> None:
    """From Host and target to a route, with few and many tenants in turn."""
    counts = (1, 100, 10_000)
    routers = {count: router_of(count, alike) for count in counts}
    rng = random.Random(1)
    # As many distinct requests for each: what is compared is the index, not the requests.
    asked = {
        count: [
            (f"T{rng.randrange(count)}.example:80".encode(), b"/api/slots/partner-7?day=3")
            for _ in range(1000)
        ]
        for count in counts
    }
    times: dict[int, list[float]] = {count: [] for count in counts}
    for _ in range(rounds):
        for count in counts:
            router, requests = routers[count], asked[count]
            began = time.perf_counter()
            for host, url in requests:
                target = read_target(url, host, False)
                entry = router.find(target.host, target.path)
                assert entry is not None
                assert isinstance(Router.route(entry, b"GET", target.path, {}), Route)
            times[count].append((time.perf_counter() - began) * 1e6 / len(requests))
    medians = {count: statistics.median(found) for count, found in times.items()}
    kind = "routes alike" if alike else "routes each one's own"
    for count in counts:
        report.tell(f"routing, {count} tenants, {kind}", medians[count], "us a request")
    for count in (100, 10_000):
        report.tell(f"routing, {count} tenants to 1, {kind}", medians[count] / medians[1], "ratio", 1.2)


# --- The gateway as a process -----------------------------------------------------------------------------


def cpu_s(pid: int) -> float:
    """User and system time of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def memory_kb(pid: int) -> float:
    """Resident memory of a process."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return float(line.split()[1])
    raise ValueError("no VmRSS")


async def closed_loop(port: int, tenants: int, requests: int, workers: int = 16) -> None:
    """Lookups of so many tenants in turn, over kept connections, each worker one at a time."""
    todo = iter(range(requests))

    async def one() -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for i in todo:
            writer.write(b"GET /api/slots/p%d HTTP/1.1\r\nHost: t%d.example\r\n\r\n" % (i % 3, i % tenants))
            status, headers, _ = await read_answer(reader)
            if status != 200:
                raise RuntimeError(f"answered {status} {headers}")
        writer.close()

    async with asyncio.timeout(120):
        await asyncio.gather(*(one() for _ in range(workers)))


async def started(path: Path) -> tuple[Gateway, float]:
    """The gateway, and how long it took from the start of its process until it listened."""
    began = time.perf_counter()
    gateway = Gateway(path)
    await gateway.start()
    return gateway, time.perf_counter() - began


async def sizes(report: Report, folder: Path, requests: int, rounds: int) -> None:
    """Start, memory, and CPU a request."""
    nodes = start_host_stand_ins(100, work_ms=0.2)
    ports = [node.port for node in nodes]
    few, _ = await started(write(folder / "few.toml", 100, ports))
    base = memory_kb(few.process.pid)
    await few.stop()
    seconds = []
    for _ in range(3):
        many, took = await started(write(folder / "many.toml", 10_000, ports))
        seconds.append(took)
        if len(seconds) < 3:
            await many.stop()
    report.tell("start with 10,000 tenants, median of 3", statistics.median(seconds), "s", 5)
    idle = memory_kb(many.process.pid)
    report.tell("memory of an idle tenant, 10,000 against 100", (idle - base) / 9900, "KB", 20)
    await closed_loop(many.port, 100, 3000)
    report.tell("resident memory more with 100 busy of 10,000", memory_kb(many.process.pid) - idle, "KB")
    # One busy tenant and 100 in turn, in the one process that knows 10,000.
    found: dict[int, list[float]] = {1: [], 100: []}
    for _ in range(rounds):
        for count in (1, 100):
            before = cpu_s(many.process.pid)
            await closed_loop(many.port, count, requests)
            found[count].append((cpu_s(many.process.pid) - before) * 1e6 / requests)
    for count in (1, 100):
        report.tell(f"CPU, {count} busy of 10,000 tenants", statistics.median(found[count]), "us a request")
    report.tell(
        "CPU, 100 busy tenants to 1", statistics.median(found[100]) / statistics.median(found[1]), "ratio"
    )
    await asyncio.sleep(3)
    before = cpu_s(many.process.pid)
    await asyncio.sleep(5)
    report.tell(
        "CPU with 10,000 tenants and no request", (cpu_s(many.process.pid) - before) / 5 * 100, "% of a core"
    )
    await reload(report, many, folder / "many.toml")
    await many.stop()
    for node in nodes:
        node.crash()


class Nobody:
    """A client that takes any answer."""

    def answer(self, *words: object, **named: object) -> None:
        """The one answer."""

    def has_disconnected(self, behind: bool) -> bool:
        """It waits for it."""
        return False


async def busy(report: Report, folder: Path) -> None:
    """What Python allocates for a tenant that is awake, in this process; resident memory hides it in what a
    start has freed.
    """
    partners = 10
    service = Service(load_config(write(folder / "busy.toml", 200, [])), asyncio.get_running_loop(), seed=1)
    service.start()
    await asyncio.sleep(0)
    tracemalloc.start()
    sizes = [tracemalloc.get_traced_memory()[0]]
    for i in range(100):
        service.core(f"t{i}")
    sizes.append(tracemalloc.get_traced_memory()[0])
    for i in range(100):
        for j in range(partners):
            head = b"GET /api/slots/p HTTP/1.1\r\n"
            order = ForwardRequest(
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
            service.core(f"t{i}").submit(Nobody(), order, service.make_room)
    for _ in range(100):
        await asyncio.sleep(0.05)
        if not service.resources.open_requests.total_held:
            break
    sizes.append(tracemalloc.get_traced_memory()[0])
    tracemalloc.stop()
    service.stop()
    report.tell(
        "memory of a tenant that is awake, without partners", (sizes[1] - sizes[0]) / 100 / 1024, "KB"
    )
    report.tell("memory of a busy tenant with 10 partners", (sizes[2] - sizes[0]) / 100 / 1024, "KB")


async def reload(report: Report, gateway: Gateway, path: Path) -> None:
    """How long one request waits at most while 10,000 tenants are read anew and one is another."""
    path.write_text(path.read_text().replace('"t9999', '"other'))
    reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
    took: dict[bool, list[float]] = {False: [], True: []}
    for reloading in (False, True):
        if reloading:
            gateway.reload()
        end = time.monotonic() + (60 if reloading else 3)
        while time.monotonic() < end and not (reloading and any("reloaded" in line for line in gateway.log)):
            began = time.perf_counter()
            writer.write(b"GET /api/slots/p HTTP/1.1\r\nHost: t0.example\r\n\r\n")
            await read_answer(reader)
            took[reloading].append((time.perf_counter() - began) * 1000)
            await asyncio.sleep(0.002)
    for reloading, name in ((False, "before"), (True, "while 10,000 tenants are read anew")):
        found = sorted(took[reloading])
        report.tell(f"p99 of a lookup {name}", found[int(len(found) * 0.99)], "ms")
        report.tell(f"longest lookup {name}", found[-1], "ms")
    writer.close()


# --- A flood ----------------------------------------------------------------------------------------------


async def load_process(port: int, tenant: int, rate: float, seconds: float) -> asyncio.subprocess.Process:
    """A load in a process of its own."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        __file__,
        "--load",
        json.dumps([port, tenant, rate, seconds]),
        stdout=asyncio.subprocess.PIPE,
    )


async def load_main(port: int, tenant: int, rate: float, seconds: float) -> None:
    """The load's process: its figures as one line."""
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


async def loads(port: int, rates: dict[int, float], seconds: float) -> dict[int, dict[str, Any]]:
    """Several loads at once; what each one found."""
    running = {tenant: await load_process(port, tenant, rate, seconds) for tenant, rate in rates.items()}
    found = {}
    for tenant, process in running.items():
        assert process.stdout is not None
        found[tenant] = json.loads(await process.stdout.read())
        await process.wait()
    return found


async def flood(report: Report, folder: Path, rounds: int, seconds: float, rate: float, how: str) -> None:
    """The third tenant's p99 beside a calm neighbour, and beside one at 20 times its share, in turn.

    With a quota (`rate`, units a second of each of 8 partners) the flooded tenant's own module refuses most;
    without one its hosts are overrun, and its module and the shares have to hold it.
    """
    # A process for each tenant's host: they have nothing in common but the gateway.
    nodes = [
        subprocess.Popen([sys.executable, __file__, "--nodes", "1"], stdout=subprocess.PIPE, text=True)
        for _ in range(3)
    ]
    ports = [port for node in nodes if node.stdout is not None for port in json.loads(node.stdout.readline())]
    gateway, _ = await started(write(folder / "three.toml", 3, ports, rate))
    share = 60.0  # requests a second of each tenant when all are calm
    calm: list[float] = []
    pressed: list[float] = []
    ratios: list[float] = []
    try:
        await loads(gateway.port, {0: share, 1: share, 2: share}, 3)
        for number in range(rounds):
            pair = {}
            for times in (1, 20) if number % 2 == 0 else (20, 1):
                found = await loads(gateway.port, {0: times * share, 1: share, 2: share}, seconds)
                third = found[2]
                pair[times] = third["p99"]
                print(f"  flood x{times}: third {third}\n            first {found[0]}", flush=True)
                if third["refused"] or third["failed"] or third["answered"] != third["sent"]:
                    report.missed.append(f"the third tenant lost something, {how}")
            calm.append(pair[1])
            pressed.append(pair[20])
            ratios.append(pair[20] / pair[1])
    finally:
        await gateway.stop()
        for node in nodes:
            node.terminate()
            node.wait()
    report.tell(f"p99 of the third, calm, {how}", statistics.median(calm), "ms")
    report.tell(f"p99 of the third, first at 20 times its share, {how}", statistics.median(pressed), "ms")
    report.tell(f"the same, flooded to calm, median of pairs, {how}", statistics.median(ratios), "ratio", 1.3)


async def nodes_main(count: int) -> None:
    """The hosts' process: their ports as one line, then service until it is ended."""
    nodes = start_host_stand_ins(count, work_ms=5.0)
    print(json.dumps([node.port for node in nodes]), flush=True)
    await asyncio.sleep(600)


async def main(quick: bool, only: str) -> int:
    """All of it; 1 if a figure is missed."""
    report = Report()
    with tempfile.TemporaryDirectory(prefix="hillmux-bench-") as name:
        if only in ("", "routing"):
            for alike in (True, False):
                routing(report, 10 if quick else 60, alike)
        if only in ("", "sizes"):
            await busy(report, Path(name))
            await sizes(report, Path(name), 2000 if quick else 8000, 2 if quick else 5)
        if only in ("", "flood"):
            for rate, how in ((15.0, "with quotas"), (1e6, "no quotas")):
                await flood(report, Path(name), 2 if quick else 5, 4 if quick else 15, rate, how)
    for missed in report.missed:
        print(f"MISSED: {missed}")
    return 1 if report.missed else 0


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--only", default="", choices=("", "routing", "sizes", "flood"))
    parser.add_argument("--load", type=json.loads, help=argparse.SUPPRESS)
    parser.add_argument("--nodes", type=int, help=argparse.SUPPRESS)
    given = parser.parse_args()
    if given.load:
        uvloop.run(load_main(*given.load))
    elif given.nodes:
        uvloop.run(nodes_main(given.nodes))
    else:
        sys.exit(uvloop.run(main(given.quick, given.only)))
