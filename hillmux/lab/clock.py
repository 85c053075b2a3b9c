"""The clock interface of the models, which run in virtual and in real time, and a real-time clock."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol


class Clock(Protocol):
    """A clock in milliseconds that schedules calls; `lab.virtual.loop.VirtualLoop` is one."""

    @property
    def now(self) -> float:
        """Milliseconds since a fixed, unspecified time."""

    def at(self, when_ms: float, call: Callable[..., object], *args: Any) -> None:
        """Call at `when_ms` on this clock, or as soon as possible if that has passed."""

    def after(self, in_ms: float, call: Callable[..., object], *args: Any) -> None:
        """Call after `in_ms` milliseconds."""


class RealClock:
    """The machine's monotonic clock (CLOCK_MONOTONIC), the same in all processes of a run."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    @property
    def now(self) -> float:
        """The monotonic clock in milliseconds."""
        return self._loop.time() * 1000

    def at(self, when_ms: float, call: Callable[..., object], *args: Any) -> None:
        """Call at `when_ms` on this clock, or as soon as possible if that has passed."""
        self._loop.call_at(when_ms / 1000, call, *args)

    def after(self, in_ms: float, call: Callable[..., object], *args: Any) -> None:
        """Call after `in_ms` milliseconds."""
        self._loop.call_later(in_ms / 1000, call, *args)
