"""The guard measures as fast as clients send, and lowers the budget near the limit no more than needed."""

from __future__ import annotations

import asyncio
import logging

from conftest import on_loop

from hillmux.net.memory_budget import MIB, MIN_PEER_BYTES, MemoryBudget, plan_memory
from hillmux.net.memory_guard import (
    CHECK_INTERVAL_S,
    CRITICAL_SHARE,
    GIVE_BACK_INTERVAL_S,
    GIVE_BACK_SHARE,
    GUARD_SHARE,
    MIN_GROWTH_BYTES,
    RISE_SHARE,
    MemoryGuard,
)
from hillmux.net.memory_waiters import MemoryWaiters

LIMIT = 64 * MIB
START = 36 * MIB


class Process:
    """A process whose size follows the charged use by a factor."""

    def __init__(self) -> None:
        self.memory = MemoryBudget()
        self.factor = 1.0
        self.size, self.measurements = START, 0
        self.free, self.give_backs = 0, 0  # bytes that can be returned to the system, and how often they were
        self.rejected: list[int] = []
        self.log: list[str] = []  # warnings
        self.information: list[str] = []
        self.guard = MemoryGuard(
            self.memory,
            LIMIT,
            asyncio.get_running_loop(),
            lambda level, line: (self.log if level >= logging.WARNING else self.information).append(line),
            self.measure,
            self.reject,
            self.give_back,
        )
        self.guard.start()

    def reject(self, size: int) -> int:
        self.rejected.append(size)
        return size

    def give_back(self) -> None:
        self.give_backs += 1
        self.size, self.free = self.size - self.free, 0

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
        assert [f"holds {START} bytes at its start" in line for line in process.information] == [True]

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


def test_size_that_grows_while_the_use_falls_stops_intake_and_rejects_the_largest_requests() -> None:
    async def scenario() -> None:
        process = Process()
        memory = process.memory
        memory.charge(16 * MIB)
        memory.release(12 * MIB)
        process.size = critical = int(CRITICAL_SHARE * LIMIT) + MIB // 2
        process.guard.check()
        assert memory.limit <= memory.used
        assert memory.reserve(1) is None and memory.used > memory.shed_above
        assert not process.rejected  # not within the charge that led to the measurement
        await asyncio.sleep(0)
        assert process.rejected == [critical - int(GUARD_SHARE * LIMIT)]
        assert process.guard.rejected_bytes == process.rejected[0]

    on_loop(scenario)


def test_free_memory_is_given_back_before_the_budget_is_lowered() -> None:
    async def scenario() -> None:
        process = Process()
        planned = process.memory.limit
        process.free = 10 * MIB
        process.size = LIMIT
        process.guard.check()
        assert process.size == LIMIT - 10 * MIB and process.memory.limit == planned
        assert not process.log and process.guard.given_back_bytes == 10 * MIB

    on_loop(scenario)


def test_free_memory_is_given_back_in_intervals_and_only_above_its_share() -> None:
    async def scenario() -> None:
        process = Process()
        process.give_backs = 0
        process.size = int(GIVE_BACK_SHARE * LIMIT) - MIB
        process.guard.check()
        assert process.give_backs == 0
        process.size = int(GIVE_BACK_SHARE * LIMIT) + MIB
        process.guard.check()
        process.guard.check()
        assert process.give_backs == 1
        await asyncio.sleep(GIVE_BACK_INTERVAL_S + 2 * CHECK_INTERVAL_S)
        assert process.give_backs == 2

    on_loop(scenario)


def test_lowered_budget_rises_step_by_step_while_the_size_stays_below_the_guard() -> None:
    async def scenario() -> None:
        process = Process()
        planned = process.memory.limit
        process.size = LIMIT
        process.guard.check()
        lowered = process.memory.limit
        assert lowered < planned
        process.size = int(GUARD_SHARE * LIMIT) - MIB
        steps = []
        while process.memory.limit < planned:
            if process.memory.limit != lowered:
                steps.append(process.memory.limit - lowered)
                lowered = process.memory.limit
            await asyncio.sleep(CHECK_INTERVAL_S / 4)
        assert max(steps) <= RISE_SHARE * planned and len(steps) >= 10

    on_loop(scenario)


def test_largest_holders_are_rejected_until_their_reservations_add_up() -> None:
    class Holder:
        last_input_at = 0.0

        def __init__(self, size: int) -> None:
            self.size, self.rejected = size, False

        def reserved_bytes(self) -> int:
            return self.size

        def retry_reservation(self) -> bool:
            return True

        def reject_for_memory(self) -> None:
            self.rejected = True

    async def scenario() -> None:
        waiters = MemoryWaiters(asyncio.get_running_loop())
        holders = [Holder(size) for size in (10, 40, 30, 20)]
        waiters.holders.update(dict.fromkeys(holders))
        assert waiters.reject_largest_holders(50) == 70
        assert [holder.rejected for holder in holders] == [False, True, True, False]
        assert len(waiters.holders) == 2

    on_loop(scenario)
