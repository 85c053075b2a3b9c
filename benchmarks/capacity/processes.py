"""Real gateways with stand-ins for hosts, counter and discovery, started as the platform starts them."""

from __future__ import annotations

import subprocess
import tempfile
import time
from http.client import HTTPConnection
from pathlib import Path
from types import TracebackType
from typing import Any

from benchmarks.capacity import listings
from benchmarks.capacity.size import FULL
from benchmarks.path import HOST_PORT_COUNT, Process, configuration, launch
from benchmarks.trees import Tree

LOOPBACK = "127.0.0.1"
POLL_S = 0.002
READY_S = 30.0  # a gateway that takes longer is treated as failed
STOP_S = 10.0
PLANS = [  # each tenant sends 2.3 requests/s through its eight gateways
    {"name": "team", "refill": 10.0, "burst": 40.0, "worth_factor": 1.0},
    {
        "name": "wide",
        "refill": 20.0,
        "burst": 80.0,
        "worth_factor": 1.0,
        "ceiling_rate": 40.0,
        "hard_burst": 80.0,
    },
]


class Gateway:
    """One real gateway process."""

    def __init__(self, process: subprocess.Popen[str], port: int, started_at: float) -> None:
        self.process, self.port, self.pid, self._started_at = process, port, process.pid, started_at

    def ready_s(self) -> float:
        """Wait until the gateway is ready; returns the seconds since its process was started.

        Raises:
            RuntimeError: it is not ready within `READY_S` from now.
        """
        deadline = time.monotonic() + READY_S
        while time.monotonic() < deadline:
            if self._is_ready():
                return time.monotonic() - self._started_at
            time.sleep(POLL_S)
        raise RuntimeError(f"a gateway was not ready in {READY_S:g} s")

    def _is_ready(self) -> bool:
        connection = HTTPConnection(LOOPBACK, self.port, timeout=READY_S)
        try:
            connection.request("GET", "/ready")
            return connection.getresponse().status == 200
        finally:
            connection.close()

    def stop(self) -> None:
        """Kill the process and wait for its end."""
        self.process.kill()
        self.process.wait(STOP_S)
        if self.process.stderr is not None:
            self.process.stderr.close()


class Testbed:
    """Stand-ins for hosts, counter and discovery's agent, and the gateways started between them.

    Leaving the context stops all gateways and stand-ins.
    """

    def __init__(self, hosts: int, seed: int) -> None:
        self._seed = seed
        self._folder = tempfile.TemporaryDirectory(prefix="hillmux-capacity-")
        self._tree = Tree.build()
        self._processes: list[Process] = []
        self._gateways: list[Gateway] = []
        self.hosts = self._start_stand_in("hosts", ports=HOST_PORT_COUNT)
        self.counter = self._start_stand_in("counter")
        instances = listings.instances(hosts, seed, self.hosts.ports)
        self.discovery = self._start_stand_in("registry", instances=instances, watched=True)

    def __enter__(self) -> Testbed:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        for gateway in self._gateways:
            gateway.stop()
        for process in self._processes:
            process.close()
        self._folder.cleanup()

    def _start_stand_in(self, role: str, **arguments: Any) -> Process:
        self._processes.append(Process(role, None, **arguments))
        return self._processes[-1]

    def load(self, port: int, customers: int, connections: int) -> Process:
        """Start a load generator for a port; its requests state that 8 gateways serve each customer."""
        return self._start_stand_in(
            "load", port=port, customers=customers, connections=connections, spread=8, seed=self._seed
        )

    def gateway(self, number: int = 0) -> Gateway:
        """Start a gateway; it listens on return, but may not be ready."""
        config = configuration(self.discovery.ports[0], self.counter.ports[0])
        config["name"] = f"gateway-{number}"
        config["seed"] = f"{self._seed:08x}{number:08x}"
        config["settings"] |= {"packages": PLANS, "fleet_size": FULL.gateways, "me": number}
        started_at = time.monotonic()
        process, port = launch(self._tree, Path(self._folder.name), config, [])
        self._gateways.append(Gateway(process, port, started_at))
        return self._gateways[-1]

    def stop_gateway(self, gateway: Gateway) -> None:
        """Stop one gateway before the testbed is closed."""
        self._gateways.remove(gateway)
        gateway.stop()
