"""Many deadlines of which nearly all are cancelled, on one timer of the loop.

Theory of operation. A deadline belongs to the slot of TICK_S in which it falls: a dictionary under the slot's
number. Adding and cancelling are one look-up each, however many there are (hashed timing wheel; Varghese and
Lauck, 1987, scheme 6). A heap knows the numbers in use, and the loop is asked to wake us for the first slot
that holds anything. A deadline comes up to TICK_S late, never early.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Final, Generic, TypeVar

T = TypeVar("T")

TICK_S: Final = 0.004  # finer would keep more slots: one for each tick up to the farthest deadline
MAX_EXPIRED_PER_TURN: Final = 64  # deadlines told of in one turn of the loop


class TimingWheel(Generic[T]):
    """Calls `due` with each thing that was added and not cancelled when its time has come."""

    def __init__(self, loop: asyncio.AbstractEventLoop, due: Callable[[T], None]) -> None:
        self._loop, self._on_expired = loop, due
        self._slots: dict[int, dict[T, None]] = {}
        self._slot_numbers: list[int] = []  # a heap of the slots' keys
        self._wakeup: asyncio.TimerHandle | None = None
        self._wakeup_slot = 0  # the slot for which the loop wakes us, while there is a handle

    def add(self, thing: T, in_s: float) -> int:
        """Its slot, by which it may be cancelled; the thing may stand in one slot once."""
        number = int((self._loop.time() + in_s) / TICK_S) + 1
        slot = self._slots.get(number)
        if slot is None:
            slot = self._slots[number] = {}
            heappush(self._slot_numbers, number)
        slot[thing] = None
        self._schedule_wakeup(number)
        return number

    def cancel(self, thing: T, number: int) -> None:
        """Forget a thing; nothing happens if it was told of already."""
        slot = self._slots.get(number)
        if slot is not None:
            slot.pop(thing, None)

    def stop(self) -> None:
        """Tell of nothing any more."""
        if self._wakeup is not None:
            self._wakeup.cancel()
        self._slots.clear()
        self._slot_numbers.clear()

    def _schedule_wakeup(self, number: int) -> None:
        """Have the loop wake us for a slot, if it does not do so by then."""
        if self._wakeup is not None and number >= self._wakeup_slot:
            return
        if self._wakeup is not None:
            self._wakeup.cancel()
        self._wakeup_slot = number
        self._wakeup = self._loop.call_later(max(number * TICK_S - self._loop.time(), 0.0), self._expire)

    def _expire(self) -> None:
        """Tell of what is due.

        Danger: after a stall all is due at once, and answers lie unread that would have cancelled most of it.
        So only some are told of before the loop reads its sockets again.
        """
        self._wakeup = None
        now, left = int(self._loop.time() / TICK_S), MAX_EXPIRED_PER_TURN
        try:
            while self._slot_numbers:
                number = self._slot_numbers[0]
                slot = self._slots[number]
                if slot and (number > now or not left):
                    break
                if not slot:
                    del self._slots[heappop(self._slot_numbers)]
                    continue
                thing = next(iter(slot))
                del slot[thing]
                left -= 1
                self._on_expired(thing)
        finally:  # what `due` raises goes to the loop's handler, the others' deadlines hold
            if self._slot_numbers:
                self._schedule_wakeup(self._slot_numbers[0])
