"""A timing wheel: many deadlines, most of which are cancelled, on one timer of the event loop.

Hashed timing wheel (Varghese and Lauck, 1987, scheme 6): time is divided into numbered slots of TICK_S, and
each deadline is kept in the dictionary of the slot in which it falls, so that adding and cancelling take one
look-up each. A heap holds the numbers of the slots in use, and the event loop's timer is set to the first
of them. A deadline expires up to TICK_S late, never early.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Final, Generic, TypeVar

T = TypeVar("T")

TICK_S: Final = 0.004  # width of a slot; narrower slots would increase their number
MAX_EXPIRED_PER_ITERATION: Final = 64  # items reported in one iteration of the event loop


class TimingWheel(Generic[T]):
    """Calls `on_expired` with each item whose deadline passes before it is cancelled."""

    def __init__(self, loop: asyncio.AbstractEventLoop, on_expired: Callable[[T], None]) -> None:
        self._loop, self._on_expired = loop, on_expired
        self._slots: dict[int, dict[T, None]] = {}
        self._slot_numbers: list[int] = []  # heap of the keys of `_slots`
        self._wakeup: asyncio.TimerHandle | None = None
        self._wakeup_slot = 0  # slot number to which `_wakeup` is set; valid only while it is not None

    def add(self, item: T, delay_s: float) -> int:
        """Add an item that is not in the wheel.

        Returns:
            The number of its slot, which `cancel` needs.
        """
        slot_number = int((self._loop.time() + delay_s) / TICK_S) + 1
        slot = self._slots.get(slot_number)
        if slot is None:
            slot = self._slots[slot_number] = {}
            heappush(self._slot_numbers, slot_number)
        slot[item] = None
        self._schedule_wakeup(slot_number)
        return slot_number

    def cancel(self, item: T, slot_number: int) -> None:
        """Cancel an item in the slot that `add` returned; does nothing if the item has expired."""
        slot = self._slots.get(slot_number)
        if slot is not None:
            slot.pop(item, None)

    def stop(self) -> None:
        """Cancel all items."""
        if self._wakeup is not None:
            self._wakeup.cancel()
        self._slots.clear()
        self._slot_numbers.clear()

    def _schedule_wakeup(self, slot_number: int) -> None:
        """Set the timer to a slot, unless it is already set to this or an earlier one."""
        if self._wakeup is not None and slot_number >= self._wakeup_slot:
            return
        if self._wakeup is not None:
            self._wakeup.cancel()
        self._wakeup_slot = slot_number
        self._wakeup = self._loop.call_later(max(slot_number * TICK_S - self._loop.time(), 0.0), self._expire)

    def _expire(self) -> None:
        """Report expired items, at most MAX_EXPIRED_PER_ITERATION before the event loop reads its sockets.

        After a stall of the event loop many items are due at once, although responses that have arrived
        unread would cancel most of them. The limit lets the loop read these responses in between.
        """
        self._wakeup = None
        current_slot, remaining = int(self._loop.time() / TICK_S), MAX_EXPIRED_PER_ITERATION
        try:
            while self._slot_numbers:
                slot_number = self._slot_numbers[0]
                slot = self._slots[slot_number]
                if slot and (slot_number > current_slot or not remaining):
                    break
                if not slot:
                    del self._slots[heappop(self._slot_numbers)]
                    continue
                item = next(iter(slot))
                del slot[item]
                remaining -= 1
                self._on_expired(item)
        finally:  # an exception of the callback goes to the loop's handler; other deadlines must still expire
            if self._slot_numbers:
                self._schedule_wakeup(self._slot_numbers[0])
