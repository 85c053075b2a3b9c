"""TimingWheel: expiry, cancellation, and many that are due at once after a stall."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import pytest

from hillmux.net.deadlines import MAX_EXPIRED_PER_ITERATION, TICK_S, TimingWheel


class FakeLoop:
    """An event loop's clock and timers, moved by the test."""

    def __init__(self) -> None:
        self.now = 100.0
        self.timers: list[FakeTimer] = []
        self.timers_created = 0

    def time(self) -> float:
        return self.now

    def call_later(self, in_s: float, call: Callable[[], None]) -> FakeTimer:
        self.timers_created += 1
        timer = FakeTimer(self, self.now + in_s, call)
        self.timers.append(timer)
        return timer

    def run_once(self, seconds: float = 0.0) -> None:
        """One iteration: calls each timer that is due by then; those that they set wait for the next."""
        self.now += seconds
        due = [t for t in self.timers if t.at <= self.now + 1e-9]
        self.timers = [t for t in self.timers if t not in due]
        for timer in due:
            timer.call()


class FakeTimer:
    def __init__(self, loop: FakeLoop, at: float, call: Callable[[], None]) -> None:
        self.loop, self.at, self.call = loop, at, call

    def cancel(self) -> None:
        if self in self.loop.timers:
            self.loop.timers.remove(self)


def create() -> tuple[FakeLoop, list[Any], TimingWheel[Any]]:
    loop, expired = FakeLoop(), []
    return loop, expired, TimingWheel(loop, expired.append)  # type: ignore[arg-type]


def test_deadline_expires_once_and_in_time() -> None:
    loop, expired, deadlines = create()
    rng, due = random.Random(5), {}
    for i in range(500):
        due[i] = loop.now + rng.random()
        slot = deadlines.add(i, due[i] - loop.now)
        if i % 3 == 0:
            deadlines.cancel(i, slot)
            deadlines.cancel(i, slot)
            del due[i]
    seen: set[int] = set()
    while loop.timers:
        loop.run_once(0.001)
        for i in set(expired) - seen:  # never early, at most a tick late, and the turns are 1 ms apart
            assert due[i] <= loop.now + 1e-9 and loop.now <= due[i] + TICK_S + 0.0021
        seen = set(expired)
    assert sorted(expired) == sorted(due)


def test_cancelled_deadlines_need_no_timers_and_leave_nothing() -> None:
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
    """All are due at once; answers that lay unread cancel most of them between two turns.

    Guards against a paused machine: timers are due before the answers of the pause are read.
    """
    loop, expired, deadlines = create()
    slots = {i: deadlines.add(i, 0.2) for i in range(1000)}
    loop.run_once(1.2)
    assert len(expired) == MAX_EXPIRED_PER_ITERATION
    for i in range(900):
        deadlines.cancel(i, slots[i])  # their answers were read
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
