"""The demonstration on real sockets: three tenants, of which one is flooded and one is removed."""

from __future__ import annotations

import asyncio
import signal
import sys
import tempfile
from pathlib import Path

from rich import box
from rich.console import Console
from rich.live import Live
from rich.table import Table

from hillmux.demo.load import Load
from hillmux.lab.standins.alone import start_host_stand_ins
from hillmux.lab.standins.host import HostStandIn

TENANTS = ("adjara", "imereti", "svaneti")
REQUESTS_PER_S, FLOOD_FACTOR = 30.0, 20.0  # rate of each tenant, and factor by which a flood raises it
PARTNERS = [f"partner-{i}" for i in range(4)]
WORK_MS = 5.0  # mean work of a request at a host
REFRESH_S = 0.5  # interval at which the results are printed
START_TIMEOUT_S = 10.0  # for the gateway to listen

CONFIG_HEAD = """\
state_folder = "state"

[gateway]
name = "demo"

[[listeners]]
address = "127.0.0.1:{port}"

[classes.slot-lookup]
aim_ms = 2500
deadline_ms = 10000
effect = "safe"
worth = 3

[classes.slot-booking]
aim_ms = 2000
deadline_ms = 6000
effect = "keyed"
window_ms = 4000
worth = 2

[plans.business]
rate = 40
burst = 80
ceiling_rate = 80
ceiling_burst = 160
"""
TENANT_CONFIG = """
[[tenants]]
id = "{id}"
host_names = ["{id}.example"]
default_plan = "business"
pools.nodes.hosts_file = "{id}-hosts.toml"

[[tenants.routes]]
name = "lookups"
prefix = "/api/slots"
class = "slot-lookup"
pool = "nodes"

[[tenants.routes]]
name = "bookings"
prefix = "/api/bookings"
class = "slot-booking"
pool = "nodes"
"""


def write_config(folder: Path, port: int, tenants: tuple[str, ...]) -> Path:
    """Write the gateway's configuration for these tenants, and return its path."""
    path = folder / "hillmux.toml"
    path.write_text(
        CONFIG_HEAD.format(port=port) + "".join(TENANT_CONFIG.format(id=name) for name in tenants)
    )
    return path


def write_hosts(folder: Path, tenant: str, nodes: list[HostStandIn]) -> None:
    """Write a tenant's hosts file."""
    lines = [
        f'[[hosts]]\nid = "{tenant}-{i}"\naddress = "127.0.0.1:{node.port}"\n' for i, node in enumerate(nodes)
    ]
    (folder / f"{tenant}-hosts.toml").write_text("\n".join(lines))


class Gateway:
    """`hillmux serve` in a separate process."""

    def __init__(self, config: Path) -> None:
        self._config = config
        self.process: asyncio.subprocess.Process
        self.port = 0
        self.log: list[str] = []
        self._log_reader: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the process, and wait until it listens.

        Raises:
            RuntimeError: The process ended before it listened; the message contains its log.
            TimeoutError: It did not listen within `START_TIMEOUT_S`.
        """
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "hillmux.cli",
            "serve",
            "--config",
            str(self._config),
            stderr=asyncio.subprocess.PIPE,
        )
        assert self.process.stderr is not None
        async with asyncio.timeout(START_TIMEOUT_S):
            while line := (await self.process.stderr.readline()).decode():
                self.log.append(line)
                if "listening on" in line:
                    self.port = int(line.rsplit(":", 1)[1])
                    self._log_reader = asyncio.create_task(self._read_log())
                    return
        raise RuntimeError("the gateway did not start: " + "".join(self.log))

    async def _read_log(self) -> None:
        assert self.process.stderr is not None
        while line := (await self.process.stderr.readline()).decode():
            self.log.append(line)
            del self.log[:-1000]

    def reload(self) -> None:
        """Let the process reload its configuration."""
        self.process.send_signal(signal.SIGHUP)

    async def stop(self) -> int:
        """Stop the process with SIGTERM if it still runs, and return its exit status."""
        if self.process.returncode is None:
            self.process.terminate()
        status = await self.process.wait()
        if self._log_reader is not None:
            await self._log_reader
        return status


async def run(seconds: float, plain: bool) -> int:
    """Run the demonstration; return 0 if every request was answered and the gateway ended with 0, else 1."""
    console = Console(width=100 if plain else None)
    with tempfile.TemporaryDirectory(prefix="hillmux-demo-") as name:
        folder = Path(name)
        nodes = {tenant: start_host_stand_ins(3, WORK_MS, seed) for seed, tenant in enumerate(TENANTS)}
        for tenant, tenant_nodes in nodes.items():
            write_hosts(folder, tenant, tenant_nodes)
        gateway = Gateway(write_config(folder, 0, TENANTS))
        await gateway.start()
        loads = [
            Load(gateway.port, tenant, f"{tenant}.example", PARTNERS, REQUESTS_PER_S, seed)
            for seed, tenant in enumerate(TENANTS)
        ]
        tasks = [asyncio.create_task(load.run()) for load in loads]
        console.print(
            f"gateway on 127.0.0.1:{gateway.port}, {len(TENANTS)} tenants with 3 booking nodes each"
        )
        try:
            await _run_phases(console, plain, seconds, folder, gateway, loads)
        finally:
            for load in loads:
                load.stop()
            await asyncio.gather(*tasks)
            status = await gateway.stop()
            for tenant_nodes in nodes.values():
                for node in tenant_nodes:
                    node.crash()
    console.print(_table(loads, {}, "summary"))
    succeeded = status == 0 and all(load.answered() == load.sent for load in loads)
    console.print(
        f"requests {sum(load.sent for load in loads)}, with exactly one final answer "
        f"{sum(load.answered() for load in loads)}; the gateway ended with {status}"
    )
    return 0 if succeeded else 1


async def _run_phases(
    console: Console, plain: bool, seconds: float, folder: Path, gateway: Gateway, loads: list[Load]
) -> None:
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    flooded, removed = loads[0], loads[1]
    phases = [(0.25, "flood"), (0.6, "remove"), (0.75, "calm"), (1.0, "end")]
    last_sent = {load.tenant: 0 for load in loads}
    phase = "calm"
    live = None if plain else Live(console=console, auto_refresh=False)
    if live is not None:
        live.start()
    try:
        while True:
            await asyncio.sleep(REFRESH_S)
            elapsed_share = (loop.time() - started_at) / seconds
            while phases and elapsed_share >= phases[0][0]:
                phase = phases.pop(0)[1]
                if phase == "flood":
                    flooded.rate = FLOOD_FACTOR * REQUESTS_PER_S
                    phase = f"{flooded.tenant} is flooded, {FLOOD_FACTOR:g} times its rate"
                elif phase == "remove":
                    write_config(folder, gateway.port, tuple(t for t in TENANTS if t != removed.tenant))
                    gateway.reload()
                    phase = f"{removed.tenant} was removed, its clients still call"
                elif phase == "calm":
                    flooded.rate = REQUESTS_PER_S
                    phase = "the flood is over"
                else:
                    return
            rates = {load.tenant: (load.sent - last_sent[load.tenant]) / REFRESH_S for load in loads}
            last_sent = {load.tenant: load.sent for load in loads}
            if live is not None:
                live.update(_table(loads, rates, phase), refresh=True)
            else:
                for load in loads:
                    console.print(
                        f"{elapsed_share * seconds:5.1f}s {phase}: {_result_line(load, rates[load.tenant])}",
                        soft_wrap=True,
                    )
    finally:
        if live is not None:
            live.stop()


def _result_line(load: Load, rate: float) -> str:
    return (
        f"{load.tenant} {rate:.0f}/s served {load.served} refused {_rejections(load)} gone {load.not_found} "
        f"p50 {load.latencies.quantile(0.5):.1f} ms p99 {load.latencies.quantile(0.99):.1f} ms "
        f"units {load.units:g}"
    )


def _rejections(load: Load) -> str:
    return ", ".join(f"{reason} {count}" for reason, count in sorted(load.rejected.items())) or "0"


def _table(loads: list[Load], rates: dict[str, float], title: str) -> Table:
    """Return a table of the results of each tenant, which fits 80 columns."""
    table = Table(title=title, box=box.SIMPLE_HEAD, pad_edge=False, padding=(0, 1))
    columns = (
        "tenant",
        "req/s",
        "sent",
        "served",
        "refused by cause",
        "gone",
        "failed",
        "lost",
        "p50",
        "p99",
        "units",
    )
    for column in columns:
        left = column in ("tenant", "refused by cause")
        table.add_column(column, justify="left" if left else "right", no_wrap=column != "refused by cause")
    for load in loads:
        table.add_row(
            load.tenant,
            f"{rates.get(load.tenant, 0.0):.0f}",
            str(load.sent),
            str(load.served),
            _rejections(load),
            str(load.not_found),
            str(load.failed),
            str(load.unanswered),
            f"{load.latencies.quantile(0.5):.1f}",
            f"{load.latencies.quantile(0.99):.1f}",
            f"{load.units:g}",
        )
    return table
