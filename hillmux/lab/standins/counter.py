"""The quota counter on sockets: the model of `lab.virtual.counter` behind the platform's protocol."""

from __future__ import annotations

import asyncio
from functools import partial

from hillmux.lab.clock import Clock
from hillmux.lab.links import Door, Link, Wire
from hillmux.lab.record import Note
from hillmux.lab.standins.http import Asked, Line, Owner, message
from hillmux.lab.virtual.counter import CounterModel, SimulatedCounter

MOST_NAME = 64
Totals = list[dict[str, tuple[float, float]]]


class CounterStandIn(Owner):
    """One counter, or two copies of it, with a door for each gateway."""

    def __init__(
        self,
        clock: Clock,
        loop: asyncio.AbstractEventLoop,
        model: CounterModel,
        links: list[Link],
        note: Note,
    ) -> None:
        self._clock, self._note, self._model = clock, note, model
        self.service = SimulatedCounter(clock, model)
        self.second: SimulatedCounter | None = None  # what the gateways in `at_second` see
        self.at_second: set[str] = set()
        self._kept: Totals = []
        self._lines: set[Line] = set()
        self.doors = {link.a: Door(link, self._came_up, loop) for link in links}

    def _came_up(self, wire: Wire) -> Line:
        line = Line(wire, self)
        self._lines.add(line)
        return line

    def gone(self, line: Line) -> None:
        """Forget a connection that is over."""
        self._lines.discard(line)

    def open(self) -> None:
        """Listen at every door."""
        for door in self.doors.values():
            door.open()

    def keep(self) -> None:
        """Remember what it knows now, for a copy that will be old."""
        self._kept = self.service.copy()

    def stop(self) -> None:
        """Its process dies."""
        self.service.stop()
        for door in self.doors.values():
            door.close()
        for line in list(self._lines):
            line.wire.reset()

    def start(self, how: str) -> None:
        """It is back with `all`, `nothing`, or what it knew when `keep` was called (`old`)."""
        self.service.start(None if how == "nothing" else self._kept if how == "old" else self.service.copy())
        self.open()

    def split(self, gateways: set[str]) -> None:
        """From now on these gateways see a second copy, which begins with what the first knows."""
        if not gateways:
            self.second, self.at_second = None, set()
            return
        self.second = SimulatedCounter(self._clock, self._model)
        self.second.start(self.service.copy())
        self.at_second = gateways

    def asked(self, asked: Asked) -> None:
        """Add a call to the copy that its gateway sees; 400 on a bad name, amount or `ttl_ms`."""
        gateway = asked.line.wire.link.a
        name = asked.path.removeprefix("/v1/count/")
        try:
            amount, ttl = float(asked.query["add"]), float(asked.query["ttl_ms"])
        except (KeyError, ValueError):
            amount = ttl = float("nan")
        if (
            asked.method != "POST"
            or not 1 <= len(name) <= MOST_NAME
            or not abs(amount) <= 1e9
            or not ttl >= 1
        ):
            asked.reply(message(400))
            return
        second = self.second if gateway in self.at_second else None
        (second or self.service).call(name, amount, ttl, partial(self._answer, asked, name, amount, gateway))

    def _answer(
        self, asked: Asked, name: str, amount: float, gateway: str, result: str, total: float
    ) -> None:
        self._note("counter", "count", gw=gateway, name=name, amount=amount, result=result, total=total)
        asked.reply(message(200, f"{total:.6f}".encode()) if result == "ok" else message(503))
