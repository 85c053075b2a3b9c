"""A booking node on sockets: the model of `lab.virtual.hosts` behind the platform's protocol.

How much work a request is, and what kind it is, stands in its query, which gateways pass on unchanged; one
that doesn't say takes half to one and a half of the node's usual work.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from functools import partial

from hillmux.lab.clock import Clock
from hillmux.lab.links import Door, Link, Wire
from hillmux.lab.record import Note
from hillmux.lab.standins.http import Asked, Line, Owner, message
from hillmux.lab.streams import Stream
from hillmux.lab.virtual.hosts import HostModel, Job, SimulatedHost

MOST_KEYS = 200_000
NOT_RUN = b"X-Not-Run: 1\r\n"


class Keys:
    """The keys that hosts remember together, each for its class's window from its first run on."""

    def __init__(self) -> None:
        self._seen: OrderedDict[str, float] = OrderedDict()

    def first(self, key: str, now_ms: float, window_ms: float) -> bool:
        """Whether work under this key is new; a repeat inside the window is not."""
        ends = self._seen.get(key)
        if ends is not None and now_ms < ends:
            return False
        self._seen[key] = now_ms + window_ms
        self._seen.move_to_end(key)
        if len(self._seen) > MOST_KEYS:
            self._seen.popitem(last=False)
        return True


class HostLine(Line):
    """A connection at a host; it knows its gateway."""

    def __init__(self, wire: Wire, owner: BookingNode) -> None:
        super().__init__(wire, owner)
        self.gateway = wire.link.a
        self.jobs: dict[Asked, Job] = {}


class BookingNode(Owner):
    """One host: a door for each gateway, one model behind all of them."""

    def __init__(
        self,
        clock: Clock,
        loop: asyncio.AbstractEventLoop,
        name: str,
        zone: str,
        model: HostModel,
        keys: Keys,
        links: list[Link],
        note: Note,
        stream: Stream,
        most_connections: int,
        work_ms: float = 1.0,
    ) -> None:
        self.name, self.zone = name, zone
        self.host = SimulatedHost(clock, name, zone, model)
        self._clock, self._keys, self._note, self._stream = clock, keys, note, stream
        self._most_connections, self._work_ms = most_connections, work_ms
        self._lines: set[HostLine] = set()
        self.failing = 0.0  # part of the requests that are answered 500
        self.hung = False  # takes requests and says nothing
        self.doors = {link.a: Door(link, self.came_up, loop) for link in links}

    def came_up(self, wire: Wire) -> Line:
        """A connection of a gateway has come up."""
        line = HostLine(wire, self)
        self._lines.add(line)
        self.host.connection_opened()
        self._note(self.name, "dial", gw=line.gateway, cold=self.host.capacity_share() < 1)
        return line

    def gone(self, line: Line) -> None:
        """A connection is over: nobody waits for its jobs, those that run go on."""
        assert isinstance(line, HostLine)
        self._lines.discard(line)
        for job in line.jobs.values():
            job.done = True  # nobody waits for it; what runs goes on running

    def open(self) -> None:
        """Listen at every door."""
        for door in self.doors.values():
            door.open()

    @property
    def port(self) -> int:
        """Where it listens, of a node that one gateway alone talks to."""
        (door,) = self.doors.values()
        return door.port

    def crash(self) -> None:
        """The process dies: what is open is reset, new connections are refused."""
        self.host.stop()
        for door in self.doors.values():
            door.close()
        for line in list(self._lines):
            line.wire.reset()
        self._note(self.name, "died")

    def restart(self) -> None:
        """It is back, cold, at its addresses."""
        self.host.start()
        self.open()
        self._note(self.name, "up", started=True)

    def asked(self, asked: Asked) -> None:
        """Run the request as a job of the model, or answer a health check, a fault or a lack of room."""
        line = asked.line
        assert isinstance(line, HostLine)
        if asked.path == "/health":
            self._note(self.name, "probe", gw=line.gateway)
            asked.reply(message(200))
            return
        rid, key = asked.headers.get("x-request-id", ""), asked.headers.get("idempotency-key", "")
        query = asked.query
        fell = self.host.overloaded
        self._note(
            self.name,
            "got",
            rid=rid,
            gw=line.gateway,
            key=key,
            kind=query.get("kind", "safe"),
            window=float(query.get("window", 0)),
            units=float(query.get("units", 1)),
            customer=asked.path.rpartition("/")[2],
            plan=query.get("plan", ""),
            cold=self.host.capacity_share() < 1,
        )
        if self.hung:
            return
        if len(self._lines) > self._most_connections:
            self._end(asked, rid, "full")
            return
        if self.failing and self._stream.uniform() < self.failing:
            self._end(asked, rid, "error")
            return
        work = float(query["work"]) if "work" in query else self._work_ms * self._stream.uniform(0.5, 1.5)
        job = Job(rid, work, partial(self._end, asked, rid))
        line.jobs[asked] = job
        if key and not self._keys.first(key, self._clock.now, float(query.get("window", 0))):
            self._note(self.name, "dropped", rid=rid, key=key)
        self.host.attempt_arrived(job)
        if self.host.overloaded and not fell:
            self._note(self.name, "fell")

    def _end(self, asked: Asked, rid: str, result: str) -> None:
        line = asked.line
        assert isinstance(line, HostLine)
        line.jobs.pop(asked, None)
        self._note(self.name, "end", rid=rid, result=result, gw=line.gateway)
        if result == "ok":
            more = b"Billed-Units: %b\r\n" % asked.query.get("true", "1").encode()
            asked.reply(message(200, rid.encode(), more))
        elif result == "error":
            asked.reply(message(500))
        elif result != "reset":  # a process that dies resets its connections itself
            asked.reply(message(503, b"", NOT_RUN))
