"""The counter in virtual time.

Each part serves its calls in order and rejects calls while its queue is long. The counter can restart without
its totals, or with an old copy of them.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable
from dataclasses import dataclass

from hillmux.interface import AttemptResult
from hillmux.lab.clock import Clock

ReplyCallback = Callable[[AttemptResult, float], object]  # called with OK or QUEUE_FULL, and the total


@dataclass(slots=True, frozen=True)
class CounterModel:
    """Capacity of a counter. Each name belongs to one part, which rejects calls if its queue is too long."""

    per_s: float = 500.0  # calls per second of all parts together
    parts: int = 2
    max_queue_ms: float = 60.0  # a call that would wait longer is rejected


class SimulatedCounter:
    """Serves calls in order of arrival, including those that have timed out at their gateway."""

    def __init__(self, loop: Clock, model: CounterModel) -> None:
        self.loop, self.model = loop, model
        self.service_ms = 1000.0 * model.parts / model.per_s
        self._free_at = [0.0] * model.parts
        self._totals: list[dict[str, tuple[float, float]]] = [{} for _ in range(model.parts)]
        self.up = True
        self.served = self.rejected = 0

    def call(self, name: str, amount: float, ttl_ms: float, answer: ReplyCallback) -> None:
        """Handle a call that has arrived; a stopped counter never answers it."""
        if not self.up:
            return
        part = zlib.crc32(name.encode()) % self.model.parts
        wait = self._free_at[part] - self.loop.now
        if wait > self.model.max_queue_ms:
            self.rejected += 1
            answer(AttemptResult.QUEUE_FULL, 0.0)
            return
        self._free_at[part] = self.loop.now + max(wait, 0.0) + self.service_ms
        self.loop.at(self._free_at[part], self._serve, part, name, amount, ttl_ms, answer)

    def _serve(self, part: int, name: str, amount: float, ttl_ms: float, answer: ReplyCallback) -> None:
        if not self.up:
            return
        totals = self._totals[part]
        total, expires_at = totals.get(name, (0.0, 0.0))
        if expires_at <= self.loop.now:
            total, expires_at = 0.0, self.loop.now + min(max(ttl_ms, 1.0), 60_000.0)
        totals[name] = total + amount, expires_at
        self.served += 1
        answer(AttemptResult.OK, total + amount)

    def copy(self) -> list[dict[str, tuple[float, float]]]:
        """Return a copy of all totals, by part."""
        return [dict(totals) for totals in self._totals]

    def stop(self) -> None:
        """Stop the counter, which then answers nothing."""
        self.up = False

    def start(self, totals: list[dict[str, tuple[float, float]]] | None = None) -> None:
        """Start the counter with totals from `copy`, or without any."""
        self.up = True
        self._free_at = [self.loop.now] * self.model.parts
        self._totals = totals if totals is not None else [{} for _ in range(self.model.parts)]
