"""TimingWheel: expiry, cancellation, and many deadlines that are due at once after a stall."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import pytest

from hillmux.net.deadlines import MAX_EXPIRED_PER_ITERATION, TICK_S, TimingWheel


class FakeLoop:
    """An event loop's clock and timers, advanced by the test."""

    def __init__(self) -> None:
        self.now = 100.0
        self.timers: list[FakeTimer] = []
        self.timers_created = 0

    def time(self) -> float:
        return self.now

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> FakeTimer:
        self.timers_created += 1
        timer = FakeTimer(self, self.now + delay_s, callback)
        self.timers.append(timer)
        return timer

    def run_once(self, seconds: float = 0.0) -> None:
        """Run one iteration, `seconds` later; timers that its callbacks set wait for the next iteration."""
        self.now += seconds
        due = [t for t in self.timers if t.due_at <= self.now + 1e-9]
        self.timers = [t for t in self.timers if t not in due]
        for timer in due:
            timer.callback()


class FakeTimer:
    def __init__(self, loop: FakeLoop, due_at: float, callback: Callable[[], None]) -> None:
        self.loop, self.due_at, self.callback = loop, due_at, callback

    def cancel(self) -> None:
        if self in self.loop.timers:
            self.loop.timers.remove(self)


def create() -> tuple[FakeLoop, list[Any], TimingWheel[Any]]:
    loop, expired = FakeLoop(), []
    return loop, expired, TimingWheel(loop, expired.append)  # type: ignore[arg-type]


def test_deadline_expires_once_and_in_time() -> None:
    loop, expired, deadlines = create()
    rng, due_times = random.Random(5), {}
    for i in range(500):
        due_times[i] = loop.now + rng.random()
        slot = deadlines.add(i, due_times[i] - loop.now)
        if i % 3 == 0:
            deadlines.cancel(i, slot)
            deadlines.cancel(i, slot)
            del due_times[i]
    seen: set[int] = set()
    while loop.timers:
        loop.run_once(0.001)
        for i in set(expired) - seen:  # never early, at most one tick late; iterations are 1 ms apart
            assert due_times[i] <= loop.now + 1e-9 and loop.now <= due_times[i] + TICK_S + 0.0021
        seen = set(expired)
    assert sorted(expired) == sorted(due_times)


def test_cancelled_deadlines_leave_no_timers_and_no_slots() -> None:
    loop, expired, deadlines = create()
    for i in range(100_000):
        slot = deadlines.add(i, 5.0)
        if i % 10 == 0:
            loop.run_once(0.001)
        deadlines.cancel(i, slot)
        assert len(loop.timers) <= 1
    assert loop.timers_created < 30 and len(deadlines._slots) <= 5.1 / TICK_S
    loop.run_once(10.0)
    assert not expired and not deadlines._slots and not deadlines._slot_numbers and not loop.timers


def test_deadlines_cancelled_after_a_stall_do_not_expire() -> None:
    """After a pause of the machine, timers run before the responses that arrived during the pause are read.

    All deadlines are due at once. Guards against expiring those whose responses are read between two
    iterations of the event loop.
    """
    loop, expired, deadlines = create()
    slots = {i: deadlines.add(i, 0.2) for i in range(1000)}
    loop.run_once(1.2)
    assert len(expired) == MAX_EXPIRED_PER_ITERATION
    for i in range(900):
        deadlines.cancel(i, slots[i])  # as if their responses had been read
    for _ in range(3):
        loop.run_once()
    assert sorted(expired) == [*range(MAX_EXPIRED_PER_ITERATION), *range(900, 1000)] and not loop.timers


def test_earlier_deadline_moves_the_timer_forward() -> None:
    loop, expired, deadlines = create()
    deadlines.add("late", 5.0)
    deadlines.add("soon", 0.01)
    loop.run_once(0.01 + TICK_S)
    assert expired == ["soon"]
    loop.run_once(5.0)
    assert expired == ["soon", "late"]


def test_exception_in_a_callback_does_not_lose_other_deadlines() -> None:
    loop, expired = FakeLoop(), []

    def on_expired(item: int) -> None:
        expired.append(item)
        if item == 1:
            raise RuntimeError("broken")

    deadlines = TimingWheel[int](loop, on_expired)  # type: ignore[arg-type]
    for i in range(3):
        deadlines.add(i, 0.1)
    with pytest.raises(RuntimeError):
        loop.run_once(0.2)
    loop.run_once()
    assert expired == [0, 1, 2]


def test_deadline_added_in_a_callback_expires_later() -> None:
    loop, expired = FakeLoop(), []

    def on_expired(item: int) -> None:
        expired.append(item)
        if item < 3:
            deadlines.add(item + 1, 0.0)

    deadlines = TimingWheel[int](loop, on_expired)  # type: ignore[arg-type]
    deadlines.add(0, 0.0)
    for _ in range(8):
        loop.run_once(TICK_S)
    assert expired == [0, 1, 2, 3] and not loop.timers
