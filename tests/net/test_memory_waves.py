"""The process keeps to its memory limit when crowds come and go, and serves others meanwhile."""

from __future__ import annotations

import asyncio
from collections import Counter
from pathlib import Path

import pytest
from conftest import Rig, message, on_loop, reply
from fakes.crowd import Crowd, Habit, host_behaviour, peak_resident_mb, resident_mb
from fakes.usual_client import CUT, UNREAD, shares, start_usual_clients

pytestmark = pytest.mark.usefixtures("made_build")

CROWD_CLIENTS = 600
WAVES = 4
HOLD_S = 1.5  # how long each wave stays
PAUSE_S = 0.3  # between two waves
EVIDENCE_LEFT_MB = 27  # what the processes of issue 55 could still take after their start
PROBE_MB = 192  # of the start that shows what a process holds
LIMIT_S = 60.0
HABITS = (
    Habit.STOP_IN_BODY,
    Habit.STOP_IN_LONG_BODY,
    Habit.STOP_IN_TINY_FIELDS,
    Habit.PIPELINE,
    Habit.IGNORE_LONG_ANSWERS,
)
LIMITS = ((32, 1024), (32, 256), (EVIDENCE_LEFT_MB, 1024), (192, 512))


async def memory_limit(folder: Path, memory_mb: int) -> int:
    """The limit in MB; EVIDENCE_LEFT_MB stands for as much more than what a process holds at its start."""
    if memory_mb != EVIDENCE_LEFT_MB:
        return memory_mb
    async with Rig(folder, lambda seen: reply(), built=True, memory_mb=PROBE_MB) as rig:
        return round(resident_mb(rig.process.pid)) + EVIDENCE_LEFT_MB


@pytest.mark.parametrize(("memory_mb", "sockets"), LIMITS)
@pytest.mark.parametrize("habit", HABITS)
def test_waves_of_clients_do_not_take_the_process_over_its_memory_limit(
    tmp_path: Path, habit: Habit, memory_mb: int, sockets: int
) -> None:
    async def scenario() -> None:
        limit_mb = await memory_limit(tmp_path, memory_mb)
        behave = host_behaviour(habit)
        async with Rig(tmp_path, behave, behave, built=True, memory_mb=limit_mb, sockets=sockets) as rig:
            statuses: Counter[int] = Counter()
            until = asyncio.Event()
            clients = start_usual_clients(rig, until, statuses)
            peaks = []
            for _ in range(WAVES):
                async with Crowd(rig, habit, CROWD_CLIENTS):
                    await asyncio.sleep(HOLD_S)
                await asyncio.sleep(PAUSE_S)
                peaks.append(peak_resident_mb(rig.process.pid))
            until.set()
            await asyncio.gather(*clients)
            print(f"{habit} of {limit_mb} MB, {sockets} descriptors: peaks {peaks}, {shares(statuses)}")
            assert max(peaks) <= limit_mb
            assert statuses[CUT] == statuses[UNREAD] == 0
            assert set(statuses) <= {200, 503, CUT, UNREAD}
            while await rig.status(message(rid=b"after")) != 200:  # all that the crowds held is free again
                await asyncio.sleep(0.05)

    on_loop(scenario, LIMIT_S)
