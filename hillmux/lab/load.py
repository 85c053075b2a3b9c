"""The process of the clients: an open loop drawn ahead, behind a front that deals them out and notices late.

    python -m hillmux.lab.load

Takes lines of JSON: `{"scenario": ..., "folder": ..., "ports": {"g0": ...}}`, then `{"t0": ...}`. Says
`{"ready": true}`, once a second `{"progress": ...}`, and at the end how late it was itself: `{"over": ...,
"late_ms": [p50, p99, max]}`.

Latency is taken from the moment at which a try was due, so that a slow gateway, or a slow load, hides nothing
(the coordinated omission of Tene's talks).
"""

from __future__ import annotations

import asyncio
import gc
import os
from collections import Counter, deque
from functools import partial
from typing import Any

import httptools
import orjson
import uvloop
from hdrh.histogram import HdrHistogram

from hillmux.lab.checks import ANSWER_SLACK_MS
from hillmux.lab.clock import RealClock
from hillmux.lab.pipe import begun, tell
from hillmux.lab.record import Recorder
from hillmux.lab.scenario import Scenario
from hillmux.lab.streams import Stream
from hillmux.lab.traffic import PlannedRequest, plan_requests

LONGEST_US = 60_000_000
LOOK_MS = 100.0  # how often the front asks a gateway that it has taken out whether it is ready
FRESH_MS = 1500.0  # a connection unused for longer is not used again: its other side may be closing it
GIVE_UP_SHARE = 0.75  # of the class's deadline that one try may take
SETTLE_S = 1.0
LOST_MS = 10_000.0  # an answer that does not come for so long after the last try is lost
LONGEST_BODY = 64  # of an answer, kept to be looked at
GC_ALLOCATIONS = 100_000


class _Connection(asyncio.Protocol):
    """A client's connection to a gateway: a request at a time."""

    def __init__(self, gate: _Gate) -> None:
        self.gate, self.asking = gate, None  # type: tuple[_Gate, _Asking | None]
        self.transport: Any = None
        self.used = 0.0
        self.answers = 0
        self._parser = httptools.HttpResponseParser(self)
        self._retry_after = 0.0
        self._body = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"retry-after":
            self._retry_after = 1000 * float(value)

    def on_body(self, body: bytes) -> None:
        self._body += body[:LONGEST_BODY]

    def on_message_complete(self) -> None:
        asking, self.asking = self.asking, None
        status, wait, self._retry_after = self._parser.get_status_code(), self._retry_after, 0.0
        self._parser = httptools.HttpResponseParser(self)
        body, self._body = bytes(self._body), bytearray()
        self.used = self.gate.clients.clock.now
        self.answers += 1
        if asking is None:
            self.gate.clients.note("client", "second", gw=self.gate.name, status=status)
        elif asking.over:  # its client had given up: it was late, and not lost
            self.gate.clients.came(asking, status)
            self.transport.close()
        else:
            self.gate.free.append(self)
            if status == 200 and body != asking.rid.encode():  # hosts answer with the id that they were sent
                self.gate.clients.note("client", "foreign", rid=asking.rid, gw=self.gate.name)
            asking.ended({200: "served", 429: "refused", 503: "refused"}.get(status, "failed"), status, wait)

    def connection_lost(self, exc: Exception | None) -> None:
        asking, self.asking = self.asking, None
        if asking is None or asking.over:
            if asking is not None:
                self.gate.clients.unheard.discard(asking)
            return
        if self.answers and not asking.again:
            # A gateway may close a connection between requests: what crosses that is sent once more.
            asking.again = True
            self.gate.clients.again(asking)
        else:
            asking.ended("reset", 0, 0.0)


class _Gate:
    """One gateway as the front sees it."""

    def __init__(self, clients: Clients, name: str, port: int) -> None:
        self.clients, self.name, self.port = clients, name, port
        self.free: deque[_Connection] = deque()
        self.failed_at = 0.0  # since when dials fail; 0: they don't
        self.out = False

    def take(self) -> _Connection | None:
        """A connection that is free and fresh."""
        fresh = self.clients.clock.now - FRESH_MS
        while self.free:
            connection = self.free.pop()
            if connection.used > fresh and not connection.transport.is_closing():
                return connection
            connection.transport.close()
        return None

    def failed(self) -> None:
        """A dial failed: after the front's time it takes this gateway out, until it is ready again."""
        clients = self.clients
        if self.out:
            return
        if not self.failed_at:
            self.failed_at = clients.clock.now
        elif clients.clock.now - self.failed_at >= clients.scenario.fleet.notice_ms:
            self.out = True
            clients.note("front", "out", gw=self.name)
            clients.clock.after(LOOK_MS, self._look)

    def _look(self) -> None:
        clients = self.clients
        clients.start(self._ready())

    async def _ready(self) -> None:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
            ready = line.split()[1:2] == [b"200"]
        except (OSError, TimeoutError):
            ready = False
        if ready:
            self.out, self.failed_at = False, 0.0
            self.clients.note("front", "in", gw=self.name)
        else:
            self.clients.clock.after(LOOK_MS, self._look)


class _First:
    """A first try, and its retries."""

    __slots__ = ("rid", "one", "due", "tries", "number", "key")

    def __init__(self, rid: str, one: PlannedRequest, due: float) -> None:
        self.rid, self.one, self.due, self.tries = rid, one, due, 0
        self.number, self.key = one.gateway, f"k{rid}"


class _Asking:
    """One try."""

    __slots__ = ("first", "rid", "gate", "clients", "at", "left", "connection", "over", "again")

    def __init__(self, clients: Clients, first: _First, rid: str, gate: _Gate, left: float) -> None:
        self.clients, self.first, self.rid, self.gate, self.left = clients, first, rid, gate, left
        self.at, self.over, self.again = clients.clock.now, False, False
        self.connection: _Connection | None = None

    def ended(self, result: str, status: int, wait_ms: float) -> None:
        """Its one end."""
        if self.over:
            return
        self.over = True
        if status:
            self.gate.failed_at = 0.0
        self.clients.note(
            "client",
            "answer",
            rid=self.rid,
            first=self.first.rid,
            gw=self.gate.name,
            result=result,
            status=status,
            took=self.clients.clock.now - self.at,
            total=self.clients.clock.now - self.first.due,
            wait=wait_ms,
        )
        self.clients.ended(self.first, result, wait_ms)


class Clients:
    """All partners' clients."""

    def __init__(
        self, scenario: Scenario, note: Recorder, loop: asyncio.AbstractEventLoop, ports: dict[str, int]
    ) -> None:
        self.scenario, self.note, self.loop, self.clock = scenario, note, loop, RealClock(loop)
        self.gates = [_Gate(self, name, port) for name, port in ports.items()]
        self.late = HdrHistogram(1, LONGEST_US, 3)
        self.open = 0
        self.ended_as: Counter[str] = Counter()  # tries, since the last word of progress
        self.done = asyncio.Event()
        self.unheard: set[_Asking] = set()  # given up, their connections still open
        self._asked = plan_requests(scenario.traffic.model(scenario.length_s), len(self.gates), scenario.seed)
        self._next, self._serial = 0, 0
        self._stream = Stream(scenario.seed, "clients")
        self._tasks: set[asyncio.Task[None]] = set()
        self._run = f"{os.getpid() & 0xFFFF:04x}"

    def start(self, work: Any) -> None:
        """Run in the background, and keep hold of it."""
        task = self.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def play(self, t0: float) -> None:
        """Begin; first tries come when they are due whatever became of those before."""
        self._t0 = t0
        if not self._asked:
            self.done.set()
            return
        self.clock.at(t0 + self._asked[0].at_ms, self._arrivals)

    def progress(self) -> None:
        """Say once a second what tries came to."""
        if not self.done.is_set():
            out = sum(gate.out for gate in self.gates)
            said = {"at_s": (self.clock.now - self._t0) / 1000, "open": self.open, "out": out}
            tell(progress=said | dict(self.ended_as))
            self.ended_as.clear()
            self.clock.after(1000, self.progress)

    def _arrivals(self) -> None:
        asked, now = self._asked, self.clock.now
        while self._next < len(asked) and self._t0 + asked[self._next].at_ms <= now:
            one = asked[self._next]
            self._next += 1
            due = self._t0 + one.at_ms
            self.late.record_value(max(int(1000 * (now - due)), 1))
            self.open += 1
            self._serial += 1
            first = _First(f"{self._run}{self._serial:011x}0", one, due)
            self.note(
                "client",
                "first",
                rid=first.rid,
                due=due,
                cls=one.request_class.name,
                plan=one.customer.plan.name,
                customer=one.customer.name,
                units=one.units,
                true=one.actual_units,
                worth=one.request_class.worth * one.customer.plan.worth * one.units,
                aim=one.request_class.aim_ms,
            )
            self._try(first)
        if self._next < len(asked):
            self.clock.at(self._t0 + asked[self._next].at_ms, self._arrivals)

    def _gate(self, first: _First) -> _Gate:
        """The gateway that the front deals a try to: of the customer's set, one that it has not taken out."""
        customer, count = first.one.customer, len(self.gates)
        place = (first.number - customer.first_gateway) % count
        for step in range(customer.replicas):
            gate = self.gates[(customer.first_gateway + (place + step) % customer.replicas) % count]
            if not gate.out:
                return gate
        return self.gates[first.number]

    def _try(self, first: _First) -> None:
        gate = self._gate(first)
        rid = f"{first.rid[:-1]}{first.tries:x}"
        first.tries += 1
        cls = first.one.request_class
        left = min(GIVE_UP_SHARE * cls.deadline_ms, cls.deadline_ms - (self.clock.now - first.due))
        asking = _Asking(self, first, rid, gate, left)
        self.note("client", "ask", rid=rid, first=first.rid, gw=gate.name, left=left, effect=cls.effect)
        self.clock.after(left + ANSWER_SLACK_MS, self._give_up, asking)
        connection = gate.take()
        if connection is not None:
            self._write(asking, connection)
        else:
            self.start(self._dial(asking))

    def again(self, asking: _Asking) -> None:
        """Send a request once more, on a new connection."""
        self.start(self._dial(asking))

    async def _dial(self, asking: _Asking) -> None:
        gate = asking.gate
        connection = _Connection(gate)
        try:
            await self.loop.create_connection(lambda: connection, "127.0.0.1", gate.port)
        except OSError:
            gate.failed()
            asking.ended("refused_dial", 0, 0.0)
            return
        if asking.over:
            connection.used = self.clock.now
            gate.free.append(connection)
            return
        self._write(asking, connection)

    def _write(self, asking: _Asking, connection: _Connection) -> None:
        one, left = asking.first.one, asking.left - (self.clock.now - asking.at)
        cls, customer = one.request_class, one.customer
        connection.asking, asking.connection = asking, connection
        method = "GET" if cls.effect == "safe" else "POST"
        more = "" if method == "GET" else f"Idempotency-Key: {asking.first.key}\r\nContent-Length: 0\r\n"
        connection.transport.write(
            f"{method} /api/{customer.name}?work={one.work_ms:.1f}&true={one.actual_units:.3f}"
            f"&kind={cls.effect}&window={cls.window_ms:.0f}&units={one.units:g}"
            f"&plan={customer.plan.name} HTTP/1.1\r\n"
            f"Host: origin.svc\r\nX-Request-Id: {asking.rid}\r\nX-Class: {cls.name}\r\n"
            f"Plan: {customer.plan.name}\r\nX-Deadline: {max(left, 1):.0f}m\r\n{more}"
            f"Quota-Info: units={one.units:g},spread={customer.replicas},"
            f"first={customer.first_gateway}\r\n\r\n".encode()
        )
        self.note("client", "wrote", rid=asking.rid, gw=asking.gate.name)

    def _give_up(self, asking: _Asking) -> None:
        if not asking.over:
            connection = asking.connection
            asking.ended("late", 0, 0.0)
            if connection is not None and connection.asking is asking:
                # Whether its answer is late or lost is another matter, and shows only if we go on listening.
                self.unheard.add(asking)

    def came(self, asking: _Asking, status: int) -> None:
        """The answer to what its client had given up."""
        self.unheard.discard(asking)
        self.note("client", "came", rid=asking.rid, gw=asking.gate.name, status=status)

    async def settle(self) -> None:
        """Wait for a second answer, and for those that were given up."""
        await asyncio.sleep(SETTLE_S)
        end = self.clock.now + LOST_MS
        while self.unheard and self.clock.now < end:
            await asyncio.sleep(0.05)

    def ended(self, first: _First, result: str, wait_ms: float) -> None:
        """A try is over: the client is content, gives up, or asks again."""
        self.ended_as[result] += 1
        traffic, one = self.scenario.traffic, first.one
        spent = self.clock.now - first.due
        wait = traffic.backoff_ms * self._stream.uniform(0.5, 1.5)
        if result == "refused" and wait_ms > 0 and one.client_draw < traffic.honour:
            wait = max(wait, wait_ms)
        if (
            result in ("served", "late")
            or first.tries > traffic.retries
            or spent + wait >= one.request_class.deadline_ms
        ):
            self.open -= 1
            if not self.open and self._next >= len(self._asked):
                self.done.set()
            return
        if one.client_draw < 0.3:  # some go through another gateway of their set
            place = (first.number - one.customer.first_gateway) % len(self.gates)
            first.number = (one.customer.first_gateway + (place + 1) % one.customer.replicas) % len(
                self.gates
            )
        self.clock.after(wait, partial(self._try, first))


async def _main() -> None:
    loop = asyncio.get_running_loop()
    reader, first, note = await begun("load")
    clients = Clients(Scenario.model_validate(first["scenario"]), note, loop, first["ports"])
    tell(ready=True)
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_ALLOCATIONS)  # a look over all tries of a day would make the load late
    line = await reader.readline()
    if line:
        clients.play(orjson.loads(line)["t0"])
        clients.progress()
        over = loop.create_task(clients.done.wait())
        gone = loop.create_task(reader.readline())  # the lab has died
        await asyncio.wait((over, gone), return_when=asyncio.FIRST_COMPLETED)
        if not gone.done():
            await clients.settle()
            gone.cancel()
            late = clients.late
            tell(
                over=late.get_total_count(),
                late_ms=[late.get_value_at_percentile(p) / 1000 for p in (50, 99, 100)],
            )
    note.close()


if __name__ == "__main__":
    uvloop.run(_main())
