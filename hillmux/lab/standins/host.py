"""Stand-in for a host (a booking node): the model of `lab.virtual.hosts`, served by the platform's protocol.

The query of a request, which gateways forward unchanged, states its work and its kind. The work of a request
without that field is drawn between 0.5 and 1.5 times the host's usual work.
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

MAX_KEYS = 200_000  # idempotency keys kept; the oldest is dropped first
NOT_RUN = b"X-Not-Run: 1\r\n"  # header line: the request was not run and may be sent to another host


class IdempotencyKeys:
    """Idempotency keys shared by all hosts, each valid for its class's window from the first run."""

    def __init__(self) -> None:
        self._seen: OrderedDict[str, float] = OrderedDict()

    def register(self, key: str, now_ms: float, window_ms: float) -> bool:
        """Register a key; returns False for a repeat within the window."""
        expires_ms = self._seen.get(key)
        if expires_ms is not None and now_ms < expires_ms:
            return False
        self._seen[key] = now_ms + window_ms
        self._seen.move_to_end(key)
        if len(self._seen) > MAX_KEYS:
            self._seen.popitem(last=False)
        return True


class HostConnection(ServerConnection):
    """A connection at a host, with its gateway and the jobs of its requests."""

    def __init__(self, connection: EmulatedConnection, handler: HostStandIn) -> None:
        super().__init__(connection, handler)
        self.gateway = connection.link.gateway
        self.jobs: dict[ReceivedRequest, Job] = {}


class HostStandIn(RequestHandler):
    """One host, with a listener for each gateway and one model that runs the requests of all."""

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
        max_connections: int,
        work_ms: float = 1.0,
    ) -> None:
        self.name, self.zone = name, zone
        self.host = SimulatedHost(clock, name, zone, model)
        self._clock, self._keys, self._note, self._stream = clock, keys, note, stream
        self._max_connections, self._work_ms = max_connections, work_ms
        self._connections: set[HostConnection] = set()
        self.failing = 0.0  # share of the requests that get status 500
        self.hanging = False  # accepts requests without responding
        self.listeners = {link.gateway: GatedListener(link, self.connection_opened, loop) for link in links}

    def connection_opened(self, transport: EmulatedConnection) -> ServerConnection:
        """Register and record a new connection from a gateway."""
        connection = HostConnection(transport, self)
        self._connections.add(connection)
        self.host.connection_opened()
        self._note(self.name, "dial", gw=connection.gateway, cold=self.host.capacity_share() < 1)
        return connection

    def connection_closed(self, connection: ServerConnection) -> None:
        """Mark the jobs of a closed connection as done: a job that is running still uses its core."""
        assert isinstance(connection, HostConnection)
        self._connections.discard(connection)
        for job in connection.jobs.values():
            job.done = True  # its result is discarded

    def open(self) -> None:
        """Open every listener."""
        for listener in self.listeners.values():
            listener.open()

    @property
    def port(self) -> int:
        """The port of a host with a single listener."""
        (listener,) = self.listeners.values()
        return listener.port

    def crash(self) -> None:
        """Stop as if the process had died: open connections are reset, new ones are refused."""
        self.host.stop()
        for listener in self.listeners.values():
            listener.close()
        for connection in list(self._connections):
            connection.transport.reset()
        self._note(self.name, "died")

    def restart(self) -> None:
        """Start again at the same addresses, at the capacity of a cold host."""
        self.host.start()
        self.open()
        self._note(self.name, "up", started=True)

    def handle_request(self, request: ReceivedRequest) -> None:
        """Run a request as a job of the model.

        Health checks, injected faults and requests beyond the connection limit are handled without a job.
        """
        connection = request.connection
        assert isinstance(connection, HostConnection)
        if request.path == "/health":
            self._note(self.name, "probe", gw=connection.gateway)
            request.respond(response_bytes(200))
            return
        rid, key = request.headers.get("x-request-id", ""), request.headers.get("idempotency-key", "")
        query = request.query
        was_overloaded = self.host.overloaded
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
            self._finish_request(request, rid, "full")
            return
        if self.failing and self._stream.uniform() < self.failing:
            self._finish_request(request, rid, "error")
            return
        work = float(query["work"]) if "work" in query else self._work_ms * self._stream.uniform(0.5, 1.5)
        job = Job(rid, work, partial(self._finish_request, request, rid))
        connection.jobs[request] = job
        if key and not self._keys.register(key, self._clock.now, float(query.get("window", 0))):
            self._note(self.name, "dropped", rid=rid, key=key)
        self.host.attempt_arrived(job)
        if self.host.overloaded and not was_overloaded:
            self._note(self.name, "fell")

    def _finish_request(self, request: ReceivedRequest, rid: str, result: str) -> None:
        connection = request.connection
        assert isinstance(connection, HostConnection)
        connection.jobs.pop(request, None)
        self._note(self.name, "end", rid=rid, result=result, gw=connection.gateway)
        if result == "ok":
            billed_units = b"Billed-Units: %b\r\n" % request.query.get("true", "1").encode()
            request.respond(response_bytes(200, rid.encode(), billed_units))
        elif result == "error":
            request.respond(response_bytes(500))
        elif result != "reset":  # on a crash the connection is reset without a response
            request.respond(response_bytes(503, b"", NOT_RUN))
