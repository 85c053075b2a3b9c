"""What our own counter's service carries for a core: real, with calls written one behind another."""

from __future__ import annotations

import asyncio
import random
import subprocess
import sys
import time
from typing import Any

import httptools
import uvloop

from benchmarks.capacity.counter_store import target
from benchmarks.capacity.probe import COUNTER, Probe, Values
from benchmarks.capacity.resources import process_cpu_s
from hillmux.counter.service import MAX_CONNECTIONS_PER_ADDRESS as CONNECTIONS_AN_ADDRESS

LOOP = "127.0.0.1"
NAMES = 10_000
BEHIND = 16  # calls that a connection writes at once, and waits for
WARM_S, MEASURE_S = 1.0, 4.0
STOP_S = 10.0


class Caller(asyncio.Protocol):
    """One connection that calls without a rest."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._parser = httptools.HttpResponseParser(self)
        self._waiting = 0
        self.served = self.others = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin."""
        self.transport: Any = transport
        self._call()

    def _call(self) -> None:
        self._waiting = BEHIND
        heads = [b"POST %b HTTP/1.1\r\nHost: counter\r\nContent-Length: 0\r\n\r\n"] * BEHIND
        self.transport.write(b"".join(head % target(self._random.randrange(NAMES)) for head in heads))

    def data_received(self, data: bytes) -> None:
        """Answers, whole or in parts."""
        self._parser.feed_data(data)
        if not self._waiting:
            self._call()

    def on_message_complete(self) -> None:
        """One answer is here."""
        self._waiting -= 1
        if self._parser.get_status_code() == 200:
            self.served += 1
        else:
            self.others += 1


def measure(size: int, seed: int) -> Values:
    """Our own counter with so many connections, each of which always has calls out."""
    process = subprocess.Popen(
        [sys.executable, "-m", "hillmux.cli", "counter", "--listen", f"{LOOP}:0"],
        text=True,
        stderr=subprocess.PIPE,
    )
    try:
        return {"counter.service.calls_per_s_of_a_core": uvloop.run(_calls(process, size, seed))}
    finally:
        process.kill()
        process.wait(STOP_S)


async def _calls(process: subprocess.Popen[str], size: int, seed: int) -> float:
    """Calls that were served for each second of the counter's processor time."""
    port = _port(process)
    callers = [Caller(seed * 1000 + number) for number in range(size)]
    for number, caller in enumerate(callers):
        await _connect(caller, port, number)
    await asyncio.sleep(WARM_S)
    cpu_s, served = process_cpu_s(process.pid), sum(caller.served for caller in callers)
    began = time.monotonic()
    await asyncio.sleep(MEASURE_S)
    cpu_s, served = process_cpu_s(process.pid) - cpu_s, sum(caller.served for caller in callers) - served
    if any(caller.others or caller.transport.is_closing() for caller in callers):
        raise RuntimeError("the counter turned calls or connections away")
    if cpu_s > time.monotonic() - began + 0.1:
        raise RuntimeError("the counter's processor time is more than a core's")
    for caller in callers:
        caller.transport.abort()
    return served / cpu_s


async def _connect(caller: Caller, port: int, number: int) -> None:
    """Connect from an address that has room for one more at the counter."""
    address = f"127.0.1.{1 + number // CONNECTIONS_AN_ADDRESS}"
    loop = asyncio.get_running_loop()
    await loop.create_connection(lambda: caller, LOOP, port, local_addr=(address, 0))


def _port(process: subprocess.Popen[str]) -> int:
    assert process.stderr is not None
    for line in process.stderr:
        if "listening on" in line:
            return int(line.rsplit(":", 1)[1])
    raise RuntimeError("the counter did not start")


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
        note=f"the network; {BEHIND} calls are written at once on each connection, to {NAMES:,} names",
    ),
)
