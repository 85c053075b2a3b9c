"""What tenants cost while they are idle: the hosted service's file and registry, a gateway's customers."""

from __future__ import annotations

import asyncio
import tempfile
import time
from pathlib import Path

import uvloop

from benchmarks.capacity.probe import GATEWAY, OPERATOR, Probe, Values
from benchmarks.capacity.resources import MemoryGrowth, median_cpu_s
from benchmarks.module_worker import Play
from benchmarks.tenants import write
from hillmux import interface as api
from hillmux.hosted.config import load
from hillmux.hosted.service import Service

SIZES = (1000, 8000, 31_000, 62_000)
LARGE = 10_000  # tenants from which reading takes seconds: one repeat, the seeds are the others
REPEATS = 3
IDLE_S = 3.0
HOSTS = 10
WARM = 100  # customers that are known before memory is looked at
SHORT_GAP_MS = 0.01  # between two customers' requests: no customer is forgotten before the last has come
TIME_LEFT_MS = 2000.0


def measure_configuration(size: int, seed: int) -> Values:
    """A hosted service with so many idle tenants, its file, and a change of one tenant's host."""
    return uvloop.run(_configuration(size, seed))


async def _configuration(size: int, seed: int) -> Values:
    repeats = 1 if size > LARGE else REPEATS
    with tempfile.TemporaryDirectory(prefix="hillmux-capacity-") as folder:
        path = write(Path(folder) / "hillmux.toml", size, [])
        changed = write(Path(folder) / "changed.toml", size, [])
        _move_host(changed, seed % size)
        load(write(Path(folder) / "small.toml", 10, []))  # imports and checkers are no growth of the tenants'
        growth = MemoryGrowth()
        service = Service(load(path), asyncio.get_running_loop(), seed)
        service.start()
        memory_mb = growth.mb()
        idle_share = await _idle_share()
        paths = iter([changed, path] * repeats)
        values = {
            "tenants.configuration.bytes": float(path.stat().st_size),
            "tenants.configuration.read_ms": 1e3 * median_cpu_s(lambda: load(path), repeats),
            "tenants.configuration.change_ms": 1e3
            * median_cpu_s(lambda: _change(service, next(paths)), repeats),
            "tenants.idle.memory_mb": memory_mb,
            "tenants.idle.cpu_share": idle_share,
        }
        service.stop()
    return values


def _move_host(path: Path, tenant: int) -> None:
    """Give one tenant's host another port."""
    old = f"127.9.{tenant // 250}.{tenant % 250 + 1}:9"
    path.write_text(path.read_text().replace(f'"{old}"', f'"{old}1"'))


def _change(service: Service, path: Path) -> None:
    """What SIGHUP does (`hillmux.hosted.serve.Reloader`), with the reading in this thread."""
    changes = service.apply_prepared(Service.prepare(load(path, pure_python=True), service.tenants()))
    if len(changes) != 1:
        raise RuntimeError(f"{len(changes)} tenants changed in place of one")


async def _idle_share() -> float:
    began = time.process_time()
    await asyncio.sleep(IDLE_S)
    return (time.process_time() - began) / IDLE_S


class Customers(Play):
    """A gateway to which each customer comes once; the totals of its counter are no memory here."""

    def __init__(self, count: int, seed: int) -> None:
        super().__init__(HOSTS, count, seed=seed, gap_ms=SHORT_GAP_MS, out=1)

    def ask_once(self, customers: list[str]) -> None:
        """One request for each customer, by turns of a plan with a quota and one with a ceiling too."""
        for number, customer in enumerate(customers):
            self.now += self.gap_ms
            plan = "basic" if number % 2 else "wide"
            request_id = f"{customer}-first"
            self.give(api.Request(request_id, "read", plan, customer, TIME_LEFT_MS, replicas=3))
            while self.out:
                self.end()
            self.counts.clear()


def measure_customers(size: int, seed: int) -> Values:
    """A gateway's decision module that knows so many customers, none with a request out."""
    play = Customers(size + WARM, seed)
    play.ask_once(play.customers[size:])
    growth = MemoryGrowth()
    play.ask_once(play.customers[:size])
    return {"tenants.customers.memory_mb": growth.mb()}


PROBES = (
    Probe(
        name="tenants.configuration",
        role=OPERATOR,
        axis="tenants of the hosted service",
        sizes=SIZES,
        figures={
            "tenants.configuration.read_ms": "ms of a core",
            "tenants.configuration.change_ms": "ms of a core a change",
            "tenants.configuration.bytes": "bytes",
            "tenants.idle.memory_mb": "MB",
            "tenants.idle.cpu_share": "share of a core",
        },
        measure=measure_configuration,
        small=100,
        note="sockets and files of hosts; a change's reading is in the loop's thread, not beside it; two "
        "routes and a host a tenant",
    ),
    Probe(
        name="tenants.customers",
        role=GATEWAY,
        axis="customers under a plan known to one gateway",
        sizes=SIZES,
        figures={"tenants.customers.memory_mb": "MB"},
        measure=measure_customers,
        small=100,
        note="the module as source; no customer has a request out",
    ),
)
