"""Calls per second of processor time that our counter serves as a real process, with pipelined calls."""

from __future__ import annotations

import asyncio
import random
import subprocess
import sys
import time
from typing import Any

import httptools
import uvloop

from benchmarks.capacity.counter_store import call_target
from benchmarks.capacity.probe import COUNTER, Probe, Values
from benchmarks.capacity.resources import process_cpu_s
from hillmux.counter.service import MAX_CONNECTIONS_PER_ADDRESS as CONNECTIONS_PER_ADDRESS

LOOPBACK = "127.0.0.1"
NAME_COUNT = 10_000
PIPELINED_CALLS = 16  # calls that a connection writes at once before it waits for their replies
WARM_S, MEASURE_S = 1.0, 4.0
STOP_S = 10.0


class PipeliningClient(asyncio.Protocol):
    """One connection that keeps `PIPELINED_CALLS` calls outstanding.

    Attributes:
        served: replies with status 200.
        failed: replies with any other status.
    """

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._parser = httptools.HttpResponseParser(self)
        self._outstanding = 0
        self.served = self.failed = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the first calls."""
        self.transport: Any = transport
        self._call()

    def _call(self) -> None:
        self._outstanding = PIPELINED_CALLS
        templates = [b"POST %b HTTP/1.1\r\nHost: counter\r\nContent-Length: 0\r\n\r\n"] * PIPELINED_CALLS
        self.transport.write(
            b"".join(template % call_target(self._random.randrange(NAME_COUNT)) for template in templates)
        )

    def data_received(self, data: bytes) -> None:
        """Parse replies, complete or partial, and send the next calls after the last reply."""
        self._parser.feed_data(data)
        if not self._outstanding:
            self._call()

    def on_message_complete(self) -> None:
        """Count one complete reply by its status."""
        self._outstanding -= 1
        if self._parser.get_status_code() == 200:
            self.served += 1
        else:
            self.failed += 1


def measure(size: int, seed: int) -> Values:
    """Measure our counter with `size` connections, each of which always has calls outstanding."""
    process = subprocess.Popen(
        [sys.executable, "-m", "hillmux.cli", "counter", "--listen", f"{LOOPBACK}:0"],
        text=True,
        stderr=subprocess.PIPE,
    )
    try:
        return {
            "counter.service.calls_per_s_of_a_core": uvloop.run(_calls_per_core_second(process, size, seed))
        }
    finally:
        process.kill()
        process.wait(STOP_S)


async def _calls_per_core_second(process: subprocess.Popen[str], size: int, seed: int) -> float:
    """Calls served per second of the counter's processor time.

    Raises:
        RuntimeError: the counter rejected calls or connections, or used more than one core.
    """
    port = _port(process)
    clients = [PipeliningClient(seed * 1000 + number) for number in range(size)]
    for number, client in enumerate(clients):
        await _connect(client, port, number)
    await asyncio.sleep(WARM_S)
    cpu_s, served = process_cpu_s(process.pid), sum(client.served for client in clients)
    began = time.monotonic()
    await asyncio.sleep(MEASURE_S)
    cpu_s, served = process_cpu_s(process.pid) - cpu_s, sum(client.served for client in clients) - served
    if any(client.failed or client.transport.is_closing() for client in clients):
        raise RuntimeError("the counter rejected calls or closed connections")
    if cpu_s > time.monotonic() - began + 0.1:
        raise RuntimeError("the counter used more processor time than one core provides")
    for client in clients:
        client.transport.abort()
    return served / cpu_s


async def _connect(client: PipeliningClient, port: int, number: int) -> None:
    """Connect from a source address that is still below the counter's limit of connections per address."""
    address = f"127.0.1.{1 + number // CONNECTIONS_PER_ADDRESS}"
    loop = asyncio.get_running_loop()
    await loop.create_connection(lambda: client, LOOPBACK, port, local_addr=(address, 0))


def _port(process: subprocess.Popen[str]) -> int:
    assert process.stderr is not None
    for line in process.stderr:
        if "listening on" in line:
            return int(line.rsplit(":", 1)[1])
    raise RuntimeError("the counter did not start: it ended before it listened")


PROBES = (
    Probe(
        name="counter.service",
        role=COUNTER,
        axis="connections",
        sizes=(1, 8, 32, 128),
        figures={"counter.service.calls_per_s_of_a_core": "calls a second of a core"},
        measure=measure,
        small=1,
        real=True,
        processes=2,
        note=f"the network; {PIPELINED_CALLS} calls are written at once on each connection,"
        f" to {NAME_COUNT:,} names",
    ),
)
