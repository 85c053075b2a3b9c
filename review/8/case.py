"""A few bad clients name units that are out of range; a host that has come back cold is then pushed over."""

from __future__ import annotations

import asyncio
import sys
import time
from collections import deque
from math import sqrt
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import standins_2 as s

# Figures of a deployment whose units are not settled afterwards.
HOSTS, CORES, WORK_S, QUEUE_PER_CORE = 11, 2, 0.06, 14
COLD_FROM, COLD_S, FALL_MULTIPLE, TIP_AFTER_S = 0.21, 16.0, 2.0, 1.0
GATEWAYS, LOAD = 2, 0.63
RATE = LOAD * (HOSTS - 1) * CORES / WORK_S
BAD_CLIENTS, BAD_UNITS = 6, b"0.0001"


class ModelHost(s.Host):
    """A host with cores, a waiting room and a cold start."""

    def __init__(self, name: str, record: s.Record) -> None:
        super().__init__(name, record, WORK_S)
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._busy = 0
        self.started_at = 0.0  # seconds since the start of the case; 0: long ago

    def share(self, at: float) -> float:
        """The share of its capacity that it has at a time: evenly from COLD_FROM to 1 over COLD_S."""
        if not self.started_at:
            return 1.0
        return min(1.0, COLD_FROM + (1 - COLD_FROM) * max(at - self.started_at, 0.0) / COLD_S)

    def bears(self, at: float) -> float:
        """The requests that it bears in TIP_AFTER_S."""
        n = FALL_MULTIPLE * self.share(at) * CORES / WORK_S * TIP_AFTER_S
        return n + (3 * sqrt(n) + 3 if n < 30 else 2 * sqrt(n) + 2)

    async def answer(self, message: s.Message, rid: str, writer: asyncio.StreamWriter) -> None:
        """Turn a request away if the waiting room is full; otherwise run it on a core."""
        if self._busy >= CORES:
            if len(self._waiting) >= QUEUE_PER_CORE * CORES:
                self.record.note(f"host {self.name} turns {rid} away")
                writer.write(s.response(503, b"", "X-Not-Run: 1\r\n"))
                return
            turn = asyncio.get_running_loop().create_future()
            self._waiting.append(turn)
            await turn
        else:
            self._busy += 1
        try:
            await asyncio.sleep(WORK_S / self.share(self.record.now()))
        finally:
            if self._waiting:
                self._waiting.popleft().set_result(None)
            else:
                self._busy -= 1
        self.record.note(f"host {self.name} ran {rid}")
        writer.write(s.response(200, rid.encode()))


def settings(number: int) -> dict[str, Any]:
    """The settings of that deployment."""
    result = s.settings(number, GATEWAYS)
    result["family_info"]["trued_up"] = False
    result["rules"].update(
        cold_from=COLD_FROM,
        cold_ms=1000 * COLD_S,
        fall_multiple=FALL_MULTIPLE,
        tip_after_ms=1000 * TIP_AFTER_S,
    )
    result["grades"][0].update(objective_ms=600.0, deadline_ms=1500.0)
    result["grades"][1].update(objective_ms=400.0, deadline_ms=1200.0, window_ms=1200.0)
    return result


async def bad_client(world: s.World, gateway: s.Gateway, number: int) -> None:
    """Ask once with units that are out of range."""
    rid, data = s.request_bytes(5000 + number, False, GATEWAYS, deadline_ms=1500)
    world.record.note(f"bad client {number} names {BAD_UNITS.decode()} units in {rid}")
    client = s.Client(gateway, world.record)
    await client.ask(rid, data.replace(b"units=1,", b"units=%b," % BAD_UNITS))
    client.close()


async def case(world: s.World) -> int:
    """Play the case."""
    record = world.record
    hosts = [ModelHost(f"s-{letter}", record) for letter in "abcdefghijk"[:HOSTS]]
    cold = hosts[-1]
    agents = [
        s.Agent(name, record, [host.entry() for host in hosts]) for name in (f"g{n}" for n in range(GATEWAYS))
    ]
    counter = s.Counter()
    await world.opened(*hosts, *agents, counter)
    gateways = [
        s.Gateway(f"g{n}", record, world.scratch, agents[n], counter, settings(n)) for n in range(GATEWAYS)
    ]
    await world.started(*gateways)
    traffic = s.Traffic(gateways, record, RATE, GATEWAYS, deadlines_ms=(1500, 1200))
    load = asyncio.create_task(traffic.run(25))
    await asyncio.sleep(6)
    record.note(f"host {cold.name} ends")
    cold.close()
    await asyncio.sleep(1)
    cold.started_at, cold.started_at_ms = record.now(), time.time() * 1000
    await cold.open()
    record.note(f"host {cold.name} starts again, cold")
    await asyncio.sleep(1)
    told = max(agent.change(cold.entry()) for agent in agents)
    await asyncio.sleep(2)
    if s.TROUBLE:
        await asyncio.gather(*(bad_client(world, gateways[n % GATEWAYS], n) for n in range(BAD_CLIENTS)))
    await load
    await traffic.finish()

    worst, window = 0.0, deque[float]()
    arrivals = [at for at in cold.first_bytes if told < at < cold.started_at + COLD_S]
    for at in arrivals:
        window.append(at)
        while window[0] < at - TIP_AFTER_S:
            window.popleft()
        if len(window) / cold.bears(at) > worst:
            worst = len(window) / cold.bears(at)
            record.note(
                f"{cold.name} at {at:.3f}, {at - cold.started_at:.2f} s after its start: {len(window)}"
                f" requests in {TIP_AFTER_S} s, it bears {cold.bears(at):.1f}"
            )
    record.note(f"answers by status: {traffic.statuses}; most of what it bears: {worst:.2f}")
    if traffic.statuses.get(200, 0) < 1000 or len(arrivals) < 20:
        return s.COULD_NOT_RUN
    return s.BROKEN if worst > 1 else s.HELD


if __name__ == "__main__":
    sys.exit(s.main(__file__, case))
