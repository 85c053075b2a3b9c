"""A gateway is restarted while discovery is down: it serves by its old list, hosts that drain included."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import standins_2 as s

GRACE_S = 1.0 + 0.05  # rules.stop_sending_within_ms, and 50 ms on sockets
DOWN_S = 8.0


async def case(world: s.World) -> int:
    """Play the case: a gateway is killed, a host drains, discovery goes down, the gateway starts again."""
    record = world.record
    hosts = [s.Host(f"s-{letter}", record, 0.3) for letter in "abcdefghij"]
    draining = hosts[3]
    agents = [s.Agent(name, record, [host.entry() for host in hosts]) for name in ("g0", "g1")]
    counter = s.Counter()
    await world.opened(*hosts, *agents, counter)
    gateways = [
        s.Gateway(f"g{n}", record, world.scratch, agents[n], counter, s.settings(n, 2), agents[n].known())
        for n in range(2)
    ]
    await world.started(*gateways)
    restarted, other = gateways
    calm = s.Traffic(gateways, record, 40, 2)
    await calm.run(3)
    await calm.finish()
    restarted.signal(signal.SIGKILL)
    while restarted.status() is None:
        await asyncio.sleep(0.01)
    restarted.config["known"] = agents[0].known()  # the list as this gateway last had it
    for agent in agents:
        agent.change(draining.entry("draining"))
    at_other = s.Traffic([other], record, 20, 2)
    await at_other.run(2)
    if s.TROUBLE:
        record.note(f"discovery is down for {DOWN_S} s")
        for agent in agents:
            agent.silent = True
    down_since = record.now()
    await asyncio.sleep(1)
    restarted.start()
    started_at = record.now()

    async def serve() -> None:
        await restarted.wait_ready()
        ready_at = record.now()
        record.note(f"{restarted.name} was ready {ready_at - started_at:.2f} s after its start")
        await after.run(down_since + DOWN_S + 3 - ready_at)

    after = s.Traffic([restarted], record, 20, 2)
    serving = asyncio.create_task(serve())
    await asyncio.sleep(down_since + DOWN_S - record.now())
    record.note("discovery is up")
    for agent in agents:
        agent.silent = False
    await serving
    await after.finish()
    await at_other.finish()

    before = [at for at in draining.first_bytes if at < started_at - 2]
    late = [at for at in draining.first_bytes if at > started_at + GRACE_S]
    record.note(
        f"{draining.name} drained before the start; {len(before)} requests came to it before, and {len(late)}"
        f" later than {GRACE_S} s after the start"
        + (f", the last {late[-1] - started_at:.2f} s after it" if late else "")
    )
    record.note(f"answers of {restarted.name} after its start: {after.statuses}")
    if len(before) < 5 or after.statuses.get(200, 0) < 20:
        return s.COULD_NOT_RUN
    return s.BROKEN if late else s.HELD


if __name__ == "__main__":
    sys.exit(s.main(__file__, case))
