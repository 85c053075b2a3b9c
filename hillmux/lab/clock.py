"""What the models need of a loop, and real time in its shape: one model serves both kinds of time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol


class Clock(Protocol):
    """A clock in milliseconds that calls back; `lab.virtual.loop.Loop` is one."""

    @property
    def now(self) -> float:
        """Milliseconds since some fixed moment."""

    def at(self, when_ms: float, call: Callable[..., object], *args: Any) -> None:
        """Call at a time, or soon if that has passed."""

    def after(self, in_ms: float, call: Callable[..., object], *args: Any) -> None:
        """Call after a time."""


class RealClock:
    """The machine's monotonic clock, which all processes of a run share (CLOCK_MONOTONIC)."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    @property
    def now(self) -> float:
        """Milliseconds of the monotonic clock."""
        return self._loop.time() * 1000

    def at(self, when_ms: float, call: Callable[..., object], *args: Any) -> None:
        """Call at a time, or soon if that has passed."""
        self._loop.call_at(when_ms / 1000, call, *args)

    def after(self, in_ms: float, call: Callable[..., object], *args: Any) -> None:
        """Call after a time."""
        self._loop.call_later(in_ms / 1000, call, *args)
