"""Quota leases at SIGTERM, tested from outside the gateway process."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from conftest import Rig, Seen, message, on_loop, read_message, reply


def bills_one_unit(seen: Seen) -> bytes:
    return reply(b"served", headers=b"Billed-Units: 1\r\n")


def added(rig: Rig) -> list[float]:
    """The amounts added by the counter calls so far, in order."""
    return [float(seen.line.split("add=")[1].split("&")[0]) for seen in rig.counter.seen]


def test_drain_returns_leases(tmp_path: Path) -> None:
    """Each request reserves two units and uses one; the unit left by the second is leased until SIGTERM."""

    async def scenario() -> None:
        async with Rig(tmp_path, bills_one_unit) as rig:
            reader, writer = await rig.connect()
            for number in range(2):
                writer.write(message(plan="small", rid=b"id-%d" % number))
                assert (await read_message(reader, writer)).body == b"served"
                await asyncio.sleep(0.1)
            assert sum(added(rig)) == 3
            rig.process.send_signal(signal.SIGTERM)
            await rig.counter.until(lambda fake: sum(added(rig)) == 2)
            writer.close()
            assert await rig.process.wait() == 0
            assert added(rig)[-1] == -1

    on_loop(scenario, 10)
