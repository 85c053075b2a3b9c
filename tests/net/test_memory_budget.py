"""The division of the memory, and the reservations made from a budget."""

from __future__ import annotations

import asyncio
import time
import tracemalloc

import pytest
from conftest import on_loop

from hillmux.net.memory_budget import (
    CLIENT_CONNECTION_BYTES,
    HOST_CONNECTION_BYTES,
    MAX_WINDOW_BYTES,
    MIB,
    MIN_CUSTOMERS,
    MIN_PEER_BYTES,
    MIN_WINDOW_BYTES,
    UNRESERVED_MESSAGE_BYTES,
    MemoryBudget,
    plan_memory,
)
from hillmux.net.unparsed_input import UnparsedInput, UnparsedTotal
from hillmux.net.upstream_pool import UpstreamPool

RESIDENT_BYTES = 26 * MIB  # of a process at its start
CLIENT_SHARE, HOST_SHARE = 0.5, 0.36  # of the descriptors


@pytest.mark.parametrize("memory_mb", [32, 40, 64, 96, 128, 192])
def test_shares_together_stay_below_what_the_process_may_still_take(memory_mb: int) -> None:
    left = memory_mb * MIB - RESIDENT_BYTES
    plan = plan_memory(memory_mb * MIB, RESIDENT_BYTES)
    assert plan.peer_bytes + plan.max_customers * 1024 <= 0.9 * left
    assert plan.peer_bytes >= 0.5 * left


@pytest.mark.parametrize("limit_mb", [1, 26, 27])
def test_process_with_no_memory_left_still_serves(limit_mb: int) -> None:
    plan = plan_memory(limit_mb * MIB, RESIDENT_BYTES)
    assert plan.peer_bytes >= MIN_PEER_BYTES and plan.max_customers >= MIN_CUSTOMERS


@pytest.mark.parametrize("memory_mb", [32, 64, 128, 192])
@pytest.mark.parametrize("descriptors", [256, 512, 1024])
def test_connections_and_windows_of_streams_fit_into_the_budget(memory_mb: int, descriptors: int) -> None:
    limit = plan_memory(memory_mb * MIB, RESIDENT_BYTES).peer_bytes
    budget = MemoryBudget(limit, descriptors)
    hosts = int(HOST_SHARE * descriptors)
    assert MIN_WINDOW_BYTES <= budget.window <= MAX_WINDOW_BYTES
    assert len(budget.read_buffer) == budget.window
    clients = min(int(CLIENT_SHARE * descriptors), budget.max_connections())
    assert clients >= 64
    assert clients * CLIENT_CONNECTION_BYTES <= limit / 2
    if budget.window > MIN_WINDOW_BYTES:
        assert hosts * 2 * budget.window <= limit / 2
    assert hosts * HOST_CONNECTION_BYTES <= limit / 2


def test_no_more_connections_to_hosts_are_opened_than_there_is_memory_for() -> None:
    async def scenario() -> None:
        memory = MemoryBudget(MIN_PEER_BYTES)
        pool = UpstreamPool(asyncio.get_running_loop(), 1000, 100, 1000, lambda *ended: None, memory=memory)
        while pool.reserve_dial():
            pool.dials += 1
            memory.charge(HOST_CONNECTION_BYTES)
        assert 0 < memory.used <= MIN_PEER_BYTES // 2

    on_loop(scenario)


def test_reservation_is_released_with_its_last_holder() -> None:
    budget = MemoryBudget(1000)
    reservation = budget.reserve(700)
    assert reservation is not None and budget.used == 700
    del reservation
    assert budget.used == 0


def test_large_messages_leave_the_last_quarter_of_the_budget() -> None:
    budget = MemoryBudget(1000)
    first = budget.reserve(700)
    assert budget.reserve(100) is None
    assert first is not None and not first.grow(800)
    assert first.grow(750) and budget.used == 750
    forced = budget.force(400)
    assert budget.used == 1150 and budget.used > budget.shed_above
    first.release()
    first.release()  # has no further effect
    assert budget.used == forced.size == 400
    forced.shrink(100)
    assert budget.used == 100 and budget.peak == 1150


def test_limit_can_be_lowered_while_memory_is_in_use() -> None:
    budget = MemoryBudget(1000)
    reservation = budget.force(500)
    assert budget.peak == 500
    budget.set_limit(400)
    assert budget.under_pressure() and budget.reserve(1) is None
    reservation.release()
    assert not budget.under_pressure() and budget.peak == 500 and budget.used == 0


def test_growth_is_reported_once_until_the_next_threshold_is_set() -> None:
    budget = MemoryBudget(1000)
    reports: list[int] = []
    budget.on_growth = lambda: reports.append(budget.used)
    budget.check_above = 200
    for _ in range(4):
        budget.charge(100)
    assert reports == [300]
    budget.check_above = 450
    budget.charge(100)
    assert reports == [300, 500]


def test_reads_under_pressure_are_small_unless_their_memory_is_reserved() -> None:
    budget = MemoryBudget(1_000_000, 1)
    assert budget.buffer_for(False) is budget.read_buffer
    budget.charge(budget.reservable + 1)
    assert len(budget.buffer_for(False)) == UNRESERVED_MESSAGE_BYTES < len(budget.read_buffer)
    assert budget.buffer_for(True) is budget.read_buffer


def test_unparsed_pieces_are_charged_at_least_the_memory_that_they_take() -> None:
    """Guards against tiny pieces behind an open request, which hold more than the budget counts."""
    count = 10_000
    unparsed = UnparsedInput(UnparsedTotal(MemoryBudget()))
    tracemalloc.start()
    try:
        for number in range(count):
            unparsed.append(number.to_bytes(2, "big"), time.monotonic())
        held, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert held <= unparsed.size
