"""A booking node on sockets: the model of `lab.virtual.hosts` behind the platform's protocol.

How much work a request is, and what kind it is, stands in its query, which gateways pass on unchanged; one
that doesn't say takes half to one and a half of the node's usual work.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from functools import partial

from hillmux.lab.clock import Clock
from hillmux.lab.links import EmulatedConnection, EmulatedLink, GatedListener
from hillmux.lab.random_streams import Stream
from hillmux.lab.record import Note
from hillmux.lab.standins.http import ReceivedRequest, RequestHandler, ServerConnection, response_bytes
from hillmux.lab.virtual.hosts import HostModel, Job, SimulatedHost

MAX_KEYS = 200_000
NOT_RUN = b"X-Not-Run: 1\r\n"


class IdempotencyKeys:
    """The keys that hosts remember together, each for its class's window from its first run on."""

    def __init__(self) -> None:
        self._seen: OrderedDict[str, float] = OrderedDict()

    def register(self, key: str, now_ms: float, window_ms: float) -> bool:
        """Whether work under this key is new; a repeat inside the window is not."""
        ends = self._seen.get(key)
        if ends is not None and now_ms < ends:
            return False
        self._seen[key] = now_ms + window_ms
        self._seen.move_to_end(key)
        if len(self._seen) > MAX_KEYS:
            self._seen.popitem(last=False)
        return True


class HostConnection(ServerConnection):
    """A connection at a host; it knows its gateway."""

    def __init__(self, connection: EmulatedConnection, handler: HostStandIn) -> None:
        super().__init__(connection, handler)
        self.gateway = connection.link.a
        self.jobs: dict[ReceivedRequest, Job] = {}


class HostStandIn(RequestHandler):
    """One host: a listener for each gateway, one model behind all of them."""

    def __init__(
        self,
        clock: Clock,
        loop: asyncio.AbstractEventLoop,
        name: str,
        zone: str,
        model: HostModel,
        keys: IdempotencyKeys,
        links: list[EmulatedLink],
        note: Note,
        stream: Stream,
        most_connections: int,
        work_ms: float = 1.0,
    ) -> None:
        self.name, self.zone = name, zone
        self.host = SimulatedHost(clock, name, zone, model)
        self._clock, self._keys, self._note, self._stream = clock, keys, note, stream
        self._max_connections, self._work_ms = most_connections, work_ms
        self._connections: set[HostConnection] = set()
        self.failing = 0.0  # part of the requests that are answered 500
        self.hanging = False  # takes requests and says nothing
        self.listeners = {link.a: GatedListener(link, self.connection_opened, loop) for link in links}

    def connection_opened(self, transport: EmulatedConnection) -> ServerConnection:
        """A connection of a gateway has come up."""
        connection = HostConnection(transport, self)
        self._connections.add(connection)
        self.host.connection_opened()
        self._note(self.name, "dial", gw=connection.gateway, cold=self.host.capacity_share() < 1)
        return connection

    def connection_closed(self, connection: ServerConnection) -> None:
        """A connection is over: nobody waits for its jobs, those that run go on."""
        assert isinstance(connection, HostConnection)
        self._connections.discard(connection)
        for job in connection.jobs.values():
            job.done = True  # nobody waits for it; what runs goes on running

    def open(self) -> None:
        """Open every listener."""
        for listener in self.listeners.values():
            listener.open()

    @property
    def port(self) -> int:
        """Where it listens, of a node that one gateway alone talks to."""
        (listener,) = self.listeners.values()
        return listener.port

    def crash(self) -> None:
        """The process dies: what is open is reset, new connections are refused."""
        self.host.stop()
        for listener in self.listeners.values():
            listener.close()
        for connection in list(self._connections):
            connection.transport.reset()
        self._note(self.name, "died")

    def restart(self) -> None:
        """It is back, cold, at its addresses."""
        self.host.start()
        self.open()
        self._note(self.name, "up", started=True)

    def handle_request(self, request: ReceivedRequest) -> None:
        """Run the request as a job of the model, or answer a health check, a fault or a lack of room."""
        connection = request.connection
        assert isinstance(connection, HostConnection)
        if request.path == "/health":
            self._note(self.name, "probe", gw=connection.gateway)
            request.respond(response_bytes(200))
            return
        rid, key = request.headers.get("x-request-id", ""), request.headers.get("idempotency-key", "")
        query = request.query
        fell = self.host.overloaded
        self._note(
            self.name,
            "got",
            rid=rid,
            gw=connection.gateway,
            key=key,
            kind=query.get("kind", "safe"),
            window=float(query.get("window", 0)),
            units=float(query.get("units", 1)),
            customer=request.path.rpartition("/")[2],
            plan=query.get("plan", ""),
            cold=self.host.capacity_share() < 1,
        )
        if self.hanging:
            return
        if len(self._connections) > self._max_connections:
            self._end(request, rid, "full")
            return
        if self.failing and self._stream.uniform() < self.failing:
            self._end(request, rid, "error")
            return
        work = float(query["work"]) if "work" in query else self._work_ms * self._stream.uniform(0.5, 1.5)
        job = Job(rid, work, partial(self._end, request, rid))
        connection.jobs[request] = job
        if key and not self._keys.register(key, self._clock.now, float(query.get("window", 0))):
            self._note(self.name, "dropped", rid=rid, key=key)
        self.host.attempt_arrived(job)
        if self.host.overloaded and not fell:
            self._note(self.name, "fell")

    def _end(self, request: ReceivedRequest, rid: str, result: str) -> None:
        connection = request.connection
        assert isinstance(connection, HostConnection)
        connection.jobs.pop(request, None)
        self._note(self.name, "end", rid=rid, result=result, gw=connection.gateway)
        if result == "ok":
            more = b"Billed-Units: %b\r\n" % request.query.get("true", "1").encode()
            request.respond(response_bytes(200, rid.encode(), more))
        elif result == "error":
            request.respond(response_bytes(500))
        elif result != "reset":  # a process that dies resets its connections itself
            request.respond(response_bytes(503, b"", NOT_RUN))
