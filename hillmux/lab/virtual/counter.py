"""The counter in virtual time.

Its parts serve calls in turn, turn away when their line is long, and may lose all or go back to an old copy.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable
from dataclasses import dataclass

from hillmux.interface import AttemptResult
from hillmux.lab.clock import Clock

Answer = Callable[[AttemptResult, float], object]  # OK or QUEUE_FULL, and the total


@dataclass(slots=True, frozen=True)
class CounterModel:
    """Calls a second in all, split by name over its parts; a line longer than `line_ms` turns calls away."""

    per_s: float = 500.0
    parts: int = 2
    max_queue_ms: float = 60.0


class SimulatedCounter:
    """Works on calls in their order, also on those that nobody waits for any more."""

    def __init__(self, loop: Clock, model: CounterModel) -> None:
        self.loop, self.model = loop, model
        self.service_ms = 1000.0 * model.parts / model.per_s
        self._free_at = [0.0] * model.parts
        self._totals: list[dict[str, tuple[float, float]]] = [{} for _ in range(model.parts)]
        self.up = True
        self.served = self.rejected = 0

    def call(self, name: str, amount: float, ttl_ms: float, answer: Answer) -> None:
        """One call has arrived."""
        if not self.up:
            return  # silence
        part = zlib.crc32(name.encode()) % self.model.parts
        wait = self._free_at[part] - self.loop.now
        if wait > self.model.max_queue_ms:
            self.rejected += 1
            answer(AttemptResult.QUEUE_FULL, 0.0)
            return
        self._free_at[part] = self.loop.now + max(wait, 0.0) + self.service_ms
        self.loop.at(self._free_at[part], self._serve, part, name, amount, ttl_ms, answer)

    def _serve(self, part: int, name: str, amount: float, ttl_ms: float, answer: Answer) -> None:
        if not self.up:
            return
        totals = self._totals[part]
        total, ends = totals.get(name, (0.0, 0.0))
        if ends <= self.loop.now:
            total, ends = 0.0, self.loop.now + min(max(ttl_ms, 1.0), 60_000.0)
        totals[name] = total + amount, ends
        self.served += 1
        answer(AttemptResult.OK, total + amount)

    def copy(self) -> list[dict[str, tuple[float, float]]]:
        """All that it knows now."""
        return [dict(totals) for totals in self._totals]

    def stop(self) -> None:
        """It is gone, and says nothing."""
        self.up = False

    def start(self, known: list[dict[str, tuple[float, float]]] | None = None) -> None:
        """It is back: empty, or with a copy that may be old."""
        self.up = True
        self._free_at = [self.loop.now] * self.model.parts
        self._totals = known if known is not None else [{} for _ in range(self.model.parts)]
