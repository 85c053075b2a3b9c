"""Keeps the process below its memory limit where what it keeps costs more than what is charged.

The resident size is measured in intervals, and whenever the charged use has grown by a part of what is left:
the faster clients send, the more often. Near the limit the budget is lowered, so that the process takes in no
more than it has held before. Allocators keep most of what was freed, so the size does not tell how much can
be reused. The peak of the use does: the same use needs no more memory again.
"""

from __future__ import annotations

import asyncio
import gc
import logging
from collections.abc import Callable
from typing import Final

from hillmux.net.diagnostics import resident_bytes
from hillmux.net.memory_budget import KIB, MIN_PEER_BYTES, MemoryBudget, plan_memory

CHECK_INTERVAL_S: Final = 0.1
GUARD_SHARE: Final = 0.96  # of the memory limit, from which the budget is lowered
RESTORE_SHARE: Final = 0.9  # of the memory limit, below which a lowered budget is restored
GROWTH_DIVISOR: Final = 4  # of what is left up to GUARD_SHARE, charged use may grow between two measurements
MIN_GROWTH_BYTES: Final = 64 * KIB


class MemoryGuard:
    """Measures the process's size, and lowers its memory budget near the limit."""

    def __init__(
        self,
        memory: MemoryBudget,
        limit_bytes: int,
        loop: asyncio.AbstractEventLoop,
        log_message: Callable[[int, str], None],
        measure: Callable[[], int] = resident_bytes,
    ) -> None:
        """Create a guard that does not measure yet.

        Args:
            memory: The budget.
            limit_bytes: What the process may hold.
            loop: The event loop.
            log_message: Writes a line of the log at a level.
            measure: Returns what the process holds, in bytes.
        """
        self._memory, self._limit_bytes, self._loop = memory, limit_bytes, loop
        self._log_message, self._measure = log_message, measure
        self._guard_bytes = int(GUARD_SHARE * limit_bytes)
        self._planned = memory.limit
        self._held_before = self._guard_bytes  # the largest size that the budget was lowered for

    def start(self) -> None:
        """Plan the budget from what the process holds now, and begin to measure."""
        self._planned = plan_memory(self._limit_bytes, self._measure()).peer_bytes
        self._memory.set_limit(self._planned)
        self._memory.on_growth = self.check
        self._check_regularly()

    def _check_regularly(self) -> None:
        self.check()
        self._loop.call_later(CHECK_INTERVAL_S, self._check_regularly)

    def check(self) -> None:
        """Measure the size; lower the budget if it has grown near the limit, or restore it far below."""
        resident = self._measure()
        if resident > self._held_before:
            gc.collect()  # free what only the collector can, before clients are rejected
            resident = self._measure()
        if resident > self._held_before:
            self._lower(resident)
        elif resident < RESTORE_SHARE * self._limit_bytes and self._memory.limit < self._planned:
            self._held_before = self._guard_bytes
            self._memory.set_limit(self._planned)
        growth = max((self._guard_bytes - resident) // GROWTH_DIVISOR, MIN_GROWTH_BYTES)
        self._memory.check_above = self._memory.used + growth

    def _lower(self, resident: int) -> None:
        memory, growth = self._memory, resident - self._held_before
        self._held_before = resident
        memory.set_limit(max(min(memory.limit, memory.peak) - growth, MIN_PEER_BYTES))
        self._log_message(
            logging.WARNING,
            f"memory: process holds {resident} bytes, limit {self._limit_bytes}; {memory.used} charged,"
            f" budget for peers {memory.limit} bytes",
        )
