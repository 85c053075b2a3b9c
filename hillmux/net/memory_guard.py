"""Keeps the process below its memory limit where what it keeps costs more than what is charged.

The resident size is measured in intervals, and whenever the charged use has grown by a part of what is left:
the faster clients send, the more often. By the share of the limit that the process holds:

- from GIVE_BACK_SHARE on, memory that was freed inside the process is returned to the system in intervals;
- from GUARD_SHARE on, the budget is lowered below the peak of the use, so that the process takes in no more
  than it has held before: usually the same use needs no more memory again;
- from CRITICAL_SHARE on, the size grows whatever the use does. The budget is lowered below the current use,
  so that nothing new is taken in and no client is accepted, and the largest incomplete requests are rejected.

Of small limits, GUARD_MARGIN_BYTES and CRITICAL_MARGIN_BYTES are left at least.
A lowered budget rises again step by step below the guard, and at once below RESTORE_SHARE.
"""

from __future__ import annotations

import asyncio
import gc
import logging
import math
from collections.abc import Callable
from typing import Final

from hillmux.net.allocator import release_free_memory
from hillmux.net.diagnostics import resident_bytes
from hillmux.net.memory_budget import KIB, MIB, MIN_PEER_BYTES, MemoryBudget, plan_memory

CHECK_INTERVAL_S: Final = 0.1
GIVE_BACK_INTERVAL_S: Final = 0.5
GIVE_BACK_SHARE: Final = 0.75  # of the memory limit, as all shares below
RESTORE_SHARE: Final = 0.9
GUARD_SHARE: Final = 0.96
CRITICAL_SHARE: Final = 0.98
# The interpreter's allocator grows by 1 MiB.
CRITICAL_MARGIN_BYTES: Final = 1 * MIB
GUARD_MARGIN_BYTES: Final = CRITICAL_MARGIN_BYTES + MIB // 2
RISE_SHARE: Final = 0.02  # of the planned budget, by which a lowered one rises in each interval
GROWTH_DIVISOR: Final = 4  # of what is left up to GUARD_SHARE, charged use may grow between two measurements
MIN_GROWTH_BYTES: Final = 64 * KIB
LOG_INTERVAL_S: Final = 1.0  # between two lines about lowered budgets


class MemoryGuard:
    """Measures the process's size, gives memory back, and lowers the memory budget near the limit.

    Attributes:
        given_back_bytes: how much smaller the process was after its free memory was returned, in total.
        lowerings: how often the budget was lowered.
        rejected_bytes: the reservations of requests that were rejected to make the process smaller.
    """

    def __init__(
        self,
        memory: MemoryBudget,
        limit_bytes: int,
        loop: asyncio.AbstractEventLoop,
        log_message: Callable[[int, str], None],
        measure: Callable[[], int] = resident_bytes,
        reject_largest: Callable[[int], int] = lambda size: 0,
        give_back: Callable[[], None] = release_free_memory,
    ) -> None:
        """Create a guard that does not measure yet.

        Args:
            memory: The budget.
            limit_bytes: What the process may hold.
            loop: The event loop.
            log_message: Writes a line of the log at a level.
            measure: Returns what the process holds, in bytes.
            reject_largest: Rejects incomplete requests, largest first, until their reservations add up to a
                number of bytes; returns that sum.
            give_back: Returns free memory to the system.
        """
        self._memory, self._limit_bytes, self._loop = memory, limit_bytes, loop
        self._log_message, self._measure = log_message, measure
        self._reject_largest, self._give_back = reject_largest, give_back
        self._guard_bytes = int(min(GUARD_SHARE * limit_bytes, limit_bytes - GUARD_MARGIN_BYTES))
        self._critical_bytes = int(min(CRITICAL_SHARE * limit_bytes, limit_bytes - CRITICAL_MARGIN_BYTES))
        self._planned = memory.limit
        self._held_before = self._guard_bytes  # the largest size that the budget was lowered for
        self._gave_back_at = -math.inf  # loop time
        self._logged_at = -math.inf  # loop time
        self._rejection_due = False
        self.given_back_bytes = self.lowerings = self.rejected_bytes = 0

    def start(self) -> None:
        """Plan the budget from what the process holds now, and begin to measure."""
        gc.collect()
        self._give_back()
        self._planned = plan_memory(self._limit_bytes, self._measure()).peer_bytes
        self._memory.set_limit(self._planned)
        self._log_message(
            logging.INFO,
            f"memory: process holds {self._measure()} bytes at its start, limit {self._limit_bytes},"
            f" budget for peers {self._planned} bytes",
        )
        self._memory.on_growth = self.check
        self._check_regularly()

    def _check_regularly(self) -> None:
        self.check()
        self._raise_lowered_budget()
        self._loop.call_later(CHECK_INTERVAL_S, self._check_regularly)

    def check(self) -> None:
        """Measure the size; lower the budget if it has grown near the limit, or restore it far below."""
        resident = self._measure()
        if resident > GIVE_BACK_SHARE * self._limit_bytes:
            resident = self._reduce(resident)
        if resident > self._critical_bytes:
            self._lower_below_use(resident)
        elif resident > self._held_before:
            self._lower_below_peak(resident)
        elif resident < RESTORE_SHARE * self._limit_bytes and self._memory.limit < self._planned:
            self._held_before = self._guard_bytes
            self._memory.set_limit(self._planned)
        growth = max((self._guard_bytes - resident) // GROWTH_DIVISOR, MIN_GROWTH_BYTES)
        self._memory.check_above = self._memory.used + growth

    def _reduce(self, resident: int) -> int:
        """Give back what is free, in intervals, which are shorter near the limit; return the size then."""
        now = self._loop.time()
        must_shrink = resident > min(self._held_before, self._critical_bytes)
        if now - self._gave_back_at < (CHECK_INTERVAL_S if must_shrink else GIVE_BACK_INTERVAL_S):
            return resident
        if must_shrink:
            gc.collect()  # free what only the collector can, before clients are rejected
        self._gave_back_at = now
        self._give_back()
        after = self._measure()
        self.given_back_bytes += max(resident - after, 0)
        return after

    def _lower_below_peak(self, resident: int) -> None:
        growth = resident - self._held_before
        self._held_before = resident
        self._lower(min(self._memory.limit, self._memory.peak) - growth, resident)

    def _lower_below_use(self, resident: int) -> None:
        """Take in nothing more, and reject the requests whose memory brings the size below the guard."""
        excess = resident - self._guard_bytes
        self._held_before = max(self._held_before, self._critical_bytes)
        self._lower(min(self._memory.limit, self._memory.used) - excess, resident)
        if not self._rejection_due:  # later, since a reservation may be in progress
            self._rejection_due = True
            self._loop.call_soon(self._reject, excess)

    def _reject(self, size: int) -> None:
        self._rejection_due = False
        rejected = self._reject_largest(size)
        self.rejected_bytes += rejected
        if rejected:
            self._log_message(logging.WARNING, f"memory: rejected incomplete requests of {rejected} bytes")

    def _lower(self, budget: int, resident: int) -> None:
        memory = self._memory
        lowered = max(budget, MIN_PEER_BYTES)
        if lowered >= memory.limit:
            return
        self.lowerings += 1
        memory.set_limit(lowered)
        now = self._loop.time()
        if now - self._logged_at < LOG_INTERVAL_S:
            return
        self._logged_at = now
        self._log_message(
            logging.WARNING,
            f"memory: process holds {resident} bytes, limit {self._limit_bytes}; {memory.used} charged,"
            f" budget for peers {memory.limit} bytes, lowered {self.lowerings} times;"
            f" {self.given_back_bytes} bytes given back",
        )

    def _raise_lowered_budget(self) -> None:
        memory = self._memory
        if memory.limit < self._planned and self._measure() < self._guard_bytes:
            self._held_before = self._guard_bytes
            memory.set_limit(min(memory.limit + int(RISE_SHARE * self._planned), self._planned))
