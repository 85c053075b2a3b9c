"""Costs of idle tenants: the hosted service's configuration file and registry, and a gateway's customers."""

from __future__ import annotations

import asyncio
import tempfile
import time
from pathlib import Path

import uvloop

from benchmarks.capacity.probe import GATEWAY, OPERATOR, Probe, Values
from benchmarks.capacity.resources import MemoryGrowth, median_cpu_s
from benchmarks.module_worker import Play
from benchmarks.tenants import write_configuration
from hillmux import interface as api
from hillmux.hosted.config import load
from hillmux.hosted.service import Service

SIZES = (1000, 8000, 31_000, 62_000)
SINGLE_REPEAT_ABOVE = 10_000  # tenants; reading more takes seconds, so only the seeds repeat it
REPEATS = 3
IDLE_S = 3.0
HOSTS = 10
WARM_UP_CUSTOMERS = 100  # customers that the module knows before memory is measured
SHORT_GAP_MS = 0.01  # between two requests; short, so that no customer expires before the last arrives
TIME_LEFT_MS = 2000.0


def measure_configuration(size: int, seed: int) -> Values:
    """Measure a hosted service with `size` idle tenants, its file, and a change of one tenant's host."""
    return uvloop.run(_configuration(size, seed))


async def _configuration(size: int, seed: int) -> Values:
    repeats = 1 if size > SINGLE_REPEAT_ABOVE else REPEATS
    with tempfile.TemporaryDirectory(prefix="hillmux-capacity-") as folder:
        path = write_configuration(Path(folder) / "hillmux.toml", size, [])
        changed = write_configuration(Path(folder) / "changed.toml", size, [])
        _change_host_port(changed, seed % size)
        load(write_configuration(Path(folder) / "small.toml", 10, []))  # loads imports and validators first
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


def _change_host_port(path: Path, tenant: int) -> None:
    """Change the port of one tenant's host in the file."""
    old = f"127.9.{tenant // 250}.{tenant % 250 + 1}:9"
    path.write_text(path.read_text().replace(f'"{old}"', f'"{old}1"'))


def _change(service: Service, path: Path) -> None:
    """Apply a file as SIGHUP does (`hillmux.hosted.serve.Reloader`), but read it in this thread."""
    changes = service.apply_prepared(Service.prepare(load(path, pure_python=True), service.tenants()))
    if len(changes) != 1:
        raise RuntimeError(f"{len(changes)} tenants changed in one reload, expected 1")


async def _idle_share() -> float:
    started = time.process_time()
    await asyncio.sleep(IDLE_S)
    return (time.process_time() - started) / IDLE_S


class CustomerPlay(Play):
    """A simulated gateway to which each customer sends one request; the counter's totals are not kept."""

    def __init__(self, count: int, seed: int) -> None:
        super().__init__(HOSTS, count, seed=seed, interval_ms=SHORT_GAP_MS, max_in_flight=1)

    def request_once(self, customers: list[str]) -> None:
        """Send one request for each customer; the plans `wide` and `basic` alternate, of which the latter
        has a ceiling.
        """
        for number, customer in enumerate(customers):
            self.now += self.interval_ms
            plan = "basic" if number % 2 else "wide"
            request_id = f"{customer}-first"
            self.handle_event(api.Request(request_id, "read", plan, customer, TIME_LEFT_MS, replicas=3))
            while self.in_flight:
                self.finish_oldest_attempt()
            self.counter_totals.clear()


def measure_customers(size: int, seed: int) -> Values:
    """Measure the memory of a decision module that knows `size` customers, none with a request in flight."""
    play = CustomerPlay(size + WARM_UP_CUSTOMERS, seed)
    play.request_once(play.customers[size:])
    growth = MemoryGrowth()
    play.request_once(play.customers[:size])
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
