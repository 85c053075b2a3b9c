"""The guard measures as fast as clients send, and lowers the budget near the limit no more than needed."""

from __future__ import annotations

import asyncio

from conftest import on_loop

from hillmux.net.memory_budget import MIB, MIN_PEER_BYTES, MemoryBudget, plan_memory
from hillmux.net.memory_guard import CHECK_INTERVAL_S, GUARD_SHARE, MIN_GROWTH_BYTES, MemoryGuard

LIMIT = 64 * MIB
START = 36 * MIB


class Process:
    """A process whose size follows the charged use by a factor."""

    def __init__(self) -> None:
        self.memory = MemoryBudget()
        self.factor = 1.0
        self.size, self.measurements = START, 0
        self.log: list[str] = []
        self.guard = MemoryGuard(
            self.memory,
            LIMIT,
            asyncio.get_running_loop(),
            lambda level, line: self.log.append(line),
            self.measure,
        )
        self.guard.start()

    def measure(self) -> int:
        self.measurements += 1
        self.size = max(self.size, START + int(self.factor * self.memory.used))
        return self.size


def test_budget_follows_from_the_size_at_the_start() -> None:
    async def scenario() -> None:
        process = Process()
        assert process.memory.limit == plan_memory(LIMIT, START).peer_bytes
        await asyncio.sleep(3 * CHECK_INTERVAL_S)
        assert process.measurements >= 3 and not process.log

    on_loop(scenario)


def test_process_stays_below_its_limit_if_what_is_kept_costs_three_times_its_charge() -> None:
    async def scenario() -> None:
        process = Process()
        process.factor = 3.0
        while not process.memory.under_pressure():  # without a turn of the loop, so no timer runs
            process.memory.charge(16 * 1024)
        process.measure()
        assert process.size <= LIMIT
        assert process.log and "charged" in process.log[0]

    on_loop(scenario)


def test_small_growth_in_a_quiet_time_lowers_the_budget_by_no_more() -> None:
    async def scenario() -> None:
        process = Process()
        process.memory.charge(10 * MIB)
        process.memory.release(10 * MIB)
        process.size = int(GUARD_SHARE * LIMIT)
        before = process.memory.peak
        for _ in range(10):
            process.size += 4096
            process.guard.check()
        assert process.memory.limit == before - 10 * 4096
        assert process.memory.limit > MIN_PEER_BYTES

    on_loop(scenario)


def test_budget_is_restored_when_the_process_has_become_small_again() -> None:
    async def scenario() -> None:
        process = Process()
        planned = process.memory.limit
        process.size = LIMIT - 1
        process.guard.check()
        assert process.memory.limit < planned
        process.size = LIMIT // 2
        process.guard.check()
        assert process.memory.limit == planned

    on_loop(scenario)


def test_growth_below_an_earlier_peak_is_measured_too() -> None:
    async def scenario() -> None:
        process = Process()
        process.memory.charge(10 * MIB)
        process.memory.release(10 * MIB)
        process.guard.check()
        before = process.measurements
        process.memory.charge(9 * MIB)
        assert process.measurements > before

    on_loop(scenario)


def test_measurement_follows_at_the_latest_when_a_quarter_of_what_is_left_was_charged() -> None:
    async def scenario() -> None:
        process = Process()
        left = GUARD_SHARE * LIMIT - START
        charged = 0
        before = process.measurements
        while process.measurements == before:
            process.memory.charge(MIN_GROWTH_BYTES)
            charged += MIN_GROWTH_BYTES
        assert charged <= left / 4 + 2 * MIN_GROWTH_BYTES

    on_loop(scenario)
