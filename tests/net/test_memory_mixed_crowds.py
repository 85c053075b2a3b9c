"""The process keeps to its memory limit when crowds of ever other habits and sizes follow one another."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from pathlib import Path

import pytest
from conftest import Rig, Seen, message, on_loop, reply
from fakes.ballast import carry_ballast
from fakes.crowd import Crowd, Habit, host_behaviour, peak_resident_mb, resident_mb
from fakes.usual_client import CUT, UNREAD, shares, start_usual_clients

pytestmark = pytest.mark.usefixtures("made_build")

CROWDS = 12
MAX_CROWD_CLIENTS = 600
MIN_STAY_S, MAX_STAY_S = 0.2, 2.0
MAX_PAUSE_S = 0.5
LIMIT_S = 90.0
PROBE_MB = 192  # of the start that shows what a process holds
BIG_START_MB = 38
LIMITS = [(1, 64, 1024), (2, 64, 1024), (3, 48, 1024), (4, 64, 256), (5, 44, 512)]


async def start_mb(folder: Path) -> float:
    """What a process holds at its start, in MiB."""
    async with Rig(folder, lambda seen: reply(), built=True, memory_mb=PROBE_MB) as rig:
        return resident_mb(rig.process.pid)


@pytest.mark.parametrize(("seed", "memory_mb", "sockets"), LIMITS)
def test_crowds_of_other_habits_do_not_take_a_process_with_a_big_start_over_its_limit(
    tmp_path: Path, seed: int, memory_mb: int, sockets: int
) -> None:
    async def scenario() -> None:
        rng = random.Random(seed)
        behaviours = {habit: host_behaviour(habit) for habit in Habit}
        habit = Habit.SAY_NOTHING

        def behave(seen: Seen) -> bytes | None:
            return behaviours[habit](seen)

        ballast_mb = BIG_START_MB - await start_mb(tmp_path)
        rig = Rig(tmp_path, behave, behave, built=True, memory_mb=memory_mb, sockets=sockets)
        carry_ballast(rig, ballast_mb)
        async with rig:
            assert resident_mb(rig.process.pid) >= BIG_START_MB - 1
            statuses: Counter[int] = Counter()
            until = asyncio.Event()
            clients = start_usual_clients(rig, until, statuses)
            peaks = []
            for _ in range(CROWDS):
                habit = rng.choice(list(Habit))
                async with Crowd(rig, habit, rng.randint(50, MAX_CROWD_CLIENTS)):
                    await asyncio.sleep(rng.uniform(MIN_STAY_S, MAX_STAY_S))
                await asyncio.sleep(rng.uniform(0.0, MAX_PAUSE_S))
                peaks.append((habit, round(peak_resident_mb(rig.process.pid), 1)))
            until.set()
            await asyncio.gather(*clients)
            print(f"seed {seed}, {memory_mb} MB, {sockets} descriptors: {peaks}, {shares(statuses)}")
            print("".join(line for line in rig.log if "memory" in line)[-2000:])
            assert peak_resident_mb(rig.process.pid) <= memory_mb
            assert statuses[CUT] == statuses[UNREAD] == 0, shares(statuses)
            while await rig.status(message(rid=b"after")) != 200:  # all that the crowds held is free again
                await asyncio.sleep(0.05)

    on_loop(scenario, LIMIT_S)
