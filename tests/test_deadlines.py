"""Deadlines by the hundred thousand: cancelled, due at once after a stall, and bounded."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import pytest

from hillmux.net.deadlines import MAX_EXPIRED_PER_TURN, TICK_S, TimingWheel


class Loop:
    """The loop's clock and timers, moved by hand."""

    def __init__(self) -> None:
        self.now = 100.0
        self.timers: list[Timer] = []
        self.made = 0

    def time(self) -> float:
        return self.now

    def call_later(self, in_s: float, call: Callable[[], None]) -> Timer:
        self.made += 1
        timer = Timer(self, self.now + in_s, call)
        self.timers.append(timer)
        return timer

    def turn(self, seconds: float = 0.0) -> None:
        """One turn: what is due by then is called once, what that asks for waits for the next."""
        self.now += seconds
        due = [t for t in self.timers if t.at <= self.now + 1e-9]
        self.timers = [t for t in self.timers if t not in due]
        for timer in due:
            timer.call()


class Timer:
    def __init__(self, loop: Loop, at: float, call: Callable[[], None]) -> None:
        self.loop, self.at, self.call = loop, at, call

    def cancel(self) -> None:
        if self in self.loop.timers:
            self.loop.timers.remove(self)


def make() -> tuple[Loop, list[Any], TimingWheel[Any]]:
    loop, told = Loop(), []
    return loop, told, TimingWheel(loop, told.append)  # type: ignore[arg-type]


def test_deadlines_come_in_their_time_and_once() -> None:
    loop, told, deadlines = make()
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
        loop.turn(0.001)
        for i in set(told) - seen:  # never early, at most a tick late, and the turns are 1 ms apart
            assert due[i] <= loop.now + 1e-9 and loop.now <= due[i] + TICK_S + 0.0021
        seen = set(told)
    assert sorted(told) == sorted(due)


def test_a_hundred_thousand_cancelled_ones_cost_no_timers_and_leave_nothing() -> None:
    loop, told, deadlines = make()
    for i in range(100_000):
        slot = deadlines.add(i, 5.0)
        if i % 10 == 0:
            loop.turn(0.001)
        deadlines.cancel(i, slot)
        assert len(loop.timers) <= 1
    assert loop.made < 30 and len(deadlines._slots) <= 5.1 / TICK_S
    loop.turn(10.0)
    assert not told and not deadlines._slots and not deadlines._slot_numbers and not loop.timers


def test_after_a_stall_what_is_read_meanwhile_is_not_told_of() -> None:
    """All are due at once; answers that lay unread cancel most of them between two turns."""
    loop, told, deadlines = make()
    slots = {i: deadlines.add(i, 0.2) for i in range(1000)}
    loop.turn(1.2)
    assert len(told) == MAX_EXPIRED_PER_TURN
    for i in range(900):
        deadlines.cancel(i, slots[i])  # their answers were read
    for _ in range(3):
        loop.turn()
    assert sorted(told) == [*range(MAX_EXPIRED_PER_TURN), *range(900, 1000)] and not loop.timers


def test_an_earlier_deadline_wakes_us_earlier() -> None:
    loop, told, deadlines = make()
    deadlines.add("late", 5.0)
    deadlines.add("soon", 0.01)
    loop.turn(0.01 + TICK_S)
    assert told == ["soon"]
    loop.turn(5.0)
    assert told == ["soon", "late"]


def test_one_that_breaks_does_not_take_the_others_along() -> None:
    loop, told = Loop(), []

    def due(thing: int) -> None:
        told.append(thing)
        if thing == 1:
            raise RuntimeError("broken")

    deadlines = TimingWheel[int](loop, due)  # type: ignore[arg-type]
    for i in range(3):
        deadlines.add(i, 0.1)
    with pytest.raises(RuntimeError):
        loop.turn(0.2)
    loop.turn()
    assert told == [0, 1, 2]


def test_what_is_added_while_telling_is_told_of_later() -> None:
    loop, told = Loop(), []

    def due(thing: int) -> None:
        told.append(thing)
        if thing < 3:
            deadlines.add(thing + 1, 0.0)

    deadlines = TimingWheel[int](loop, due)  # type: ignore[arg-type]
    deadlines.add(0, 0.0)
    for _ in range(8):
        loop.turn(TICK_S)
    assert told == [0, 1, 2, 3] and not loop.timers
