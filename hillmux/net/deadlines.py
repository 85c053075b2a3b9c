"""Many deadlines, nearly all of which are cancelled, on one timer of the event loop.

A hashed timing wheel (Varghese and Lauck, 1987, scheme 6): a deadline belongs to the slot of TICK_S in which
it falls, a dictionary under the slot's number, so that adding and cancelling are one look-up each. A heap
holds the numbers in use, and the timer of the loop is set to the first slot that holds anything. A deadline
expires up to TICK_S late, never early.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Final, Generic, TypeVar

T = TypeVar("T")

TICK_S: Final = 0.004  # a shorter one would keep more slots
MAX_EXPIRED_PER_TURN: Final = 64  # of the event loop


class TimingWheel(Generic[T]):
    """Calls `on_expired` with each item that was added and not cancelled once its deadline is reached."""

    def __init__(self, loop: asyncio.AbstractEventLoop, on_expired: Callable[[T], None]) -> None:
        self._loop, self._on_expired = loop, on_expired
        self._slots: dict[int, dict[T, None]] = {}
        self._slot_numbers: list[int] = []  # a heap of the keys of `_slots`
        self._wakeup: asyncio.TimerHandle | None = None
        self._wakeup_slot = 0  # its slot, while there is a timer

    def add(self, item: T, delay_s: float) -> int:
        """Add an item that is in no slot yet; returns its slot, which `cancel` takes."""
        number = int((self._loop.time() + delay_s) / TICK_S) + 1
        slot = self._slots.get(number)
        if slot is None:
            slot = self._slots[number] = {}
            heappush(self._slot_numbers, number)
        slot[item] = None
        self._schedule_wakeup(number)
        return number

    def cancel(self, item: T, number: int) -> None:
        """Cancel an item; does nothing if it has expired already."""
        slot = self._slots.get(number)
        if slot is not None:
            slot.pop(item, None)

    def stop(self) -> None:
        """Cancel all items."""
        if self._wakeup is not None:
            self._wakeup.cancel()
        self._slots.clear()
        self._slot_numbers.clear()

    def _schedule_wakeup(self, number: int) -> None:
        """Set the timer to a slot, unless it is set to an earlier one."""
        if self._wakeup is not None and number >= self._wakeup_slot:
            return
        if self._wakeup is not None:
            self._wakeup.cancel()
        self._wakeup_slot = number
        self._wakeup = self._loop.call_later(max(number * TICK_S - self._loop.time(), 0.0), self._expire)

    def _expire(self) -> None:
        """Report expired items, at most MAX_EXPIRED_PER_TURN before the loop reads its sockets again.

        After a stall all are due at once, while unread responses would cancel most of them.
        """
        self._wakeup = None
        now, remaining = int(self._loop.time() / TICK_S), MAX_EXPIRED_PER_TURN
        try:
            while self._slot_numbers:
                number = self._slot_numbers[0]
                slot = self._slots[number]
                if slot and (number > now or not remaining):
                    break
                if not slot:
                    del self._slots[heappop(self._slot_numbers)]
                    continue
                item = next(iter(slot))
                del slot[item]
                remaining -= 1
                self._on_expired(item)
        finally:  # what the callback raises goes to the loop's handler; the other deadlines still hold
            if self._slot_numbers:
                self._schedule_wakeup(self._slot_numbers[0])
