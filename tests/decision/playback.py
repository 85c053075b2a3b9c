"""Plays a seeded stream of events against the simulator's adapter."""

from __future__ import annotations

import dataclasses
import io
import random
from collections.abc import Iterator

from decision.event_stream import INSTANCE, EventStream, Recording

from hillmux import interface as api
from hillmux.simulator.adapter import SimulatorAdapter

SEEDS = tuple(range(901, 913))
EVENTS = 9000


class Playback:
    """An adapter with one gateway, which plays one batch at a time."""

    def __init__(self) -> None:
        self.lines: list[str] = []
        self.adapter = SimulatorAdapter(self._feed(), io.StringIO())

    def _feed(self) -> Iterator[str]:
        while True:
            yield self.lines.pop(0)

    def batch(self, now_ms: float, lines: list[str]) -> list[str]:
        """Play the lines of one batch and return the reply."""
        self.lines = [line + "\n" for line in (*lines, "END")]
        return self.adapter.answer_batch(now_ms)

    def inject(self, now_ms: float, name: str, rng: random.Random) -> list[str]:
        """Deliver an event that has no line in the simulator's protocol, and return the reply."""
        gateway = self.adapter.gateways[INSTANCE]
        event: api.Event
        match name:
            case "host":
                event = api.HostDisabled(f"h{rng.randrange(6)}", rng.random() < 0.5)
            case "settings":
                classes = tuple(
                    dataclasses.replace(
                        c, latency_objective_ms=c.latency_objective_ms * rng.choice((0.5, 1.0, 2.0))
                    )
                    for c in gateway.settings.classes
                )
                event = api.SettingsChanged(dataclasses.replace(gateway.settings, classes=classes))
            case "drain":
                event = api.DrainStarted()
            case _:
                event = api.TakenOver(rng.random() < 0.5)
        return self.adapter.deliver(now_ms, INSTANCE, event)


def record(seed: int) -> Recording:
    """Play one stream to its end."""
    playback = Playback()
    return EventStream(seed, EVENTS, playback.batch, playback.inject).play()
