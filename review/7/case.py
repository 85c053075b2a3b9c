"""A host is replaced at its address; the change that names the old one as gone is lost, and all in it."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import standins_2 as s

GRACE_S = 1.0 + 0.05  # rules.stop_sending_within_ms, and 50 ms on sockets


async def case(world: s.World) -> int:
    """Play the case: A goes silent, B comes to its address and ends, then A is noticed and D drains."""
    record = world.record
    hosts = [s.Host(f"s-{letter}", record, 0.3) for letter in "acdefghijk"]
    a, _, draining = hosts[:3]
    agents = [s.Agent(name, record, [host.entry() for host in hosts]) for name in ("g0", "g1")]
    counter = s.Counter()
    await world.opened(*hosts, *agents, counter)
    gateways = [
        s.Gateway(f"g{n}", record, world.scratch, agents[n], counter, s.settings(n, 2), agents[n].known())
        for n in range(2)
    ]
    await world.started(*gateways)
    traffic = s.Traffic(gateways, record, 40, 2)
    load = asyncio.create_task(traffic.run(17))

    await asyncio.sleep(4)
    record.note("host s-a ends; discovery has not noticed it")
    a.close()
    await asyncio.sleep(0.5)
    b = s.Host("s-b", record, 0.3, port=a.port if s.TROUBLE else 0)
    b.started_at_ms = time.time() * 1000
    await world.opened(b)
    record.note(f"host s-b starts at {'the address of s-a' if s.TROUBLE else 'an address of its own'}")
    await asyncio.sleep(0.9)
    for agent in agents:
        agent.change(b.entry())
    await asyncio.sleep(0.8)
    record.note("host s-b ends")
    b.close()
    await asyncio.sleep(1.1)
    for agent in agents:
        agent.change(b.entry("gone"))
    await asyncio.sleep(1.2)
    told = [agent.change(a.entry("gone"), draining.entry("draining")) for agent in agents]
    await load
    await traffic.finish()

    late = [at for at in draining.first_bytes if at > max(told) + GRACE_S]
    before = [at for at in draining.first_bytes if at <= min(told)]
    record.note(f"answers by status: {traffic.statuses}")
    record.note(
        f"{draining.name} was told as draining at {max(told):.3f}; it got {len(before)} requests before, and"
        f" {len(late)} later than {GRACE_S} s after it"
        + (f", the last {late[-1] - max(told):.2f} s after it" if late else "")
    )
    if len(before) < 10 or traffic.statuses.get(200, 0) < 100:
        return s.COULD_NOT_RUN
    return s.BROKEN if late else s.HELD


if __name__ == "__main__":
    sys.exit(s.main(__file__, case))
