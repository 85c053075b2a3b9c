"""The quota counter on sockets: the model of `lab.virtual.counter` behind the platform's protocol."""

from __future__ import annotations

import asyncio
from functools import partial

from hillmux.lab.clock import Clock
from hillmux.lab.links import EmulatedConnection, EmulatedLink, GatedListener
from hillmux.lab.record import Note
from hillmux.lab.standins.http import ReceivedRequest, RequestHandler, ServerConnection, response_bytes
from hillmux.lab.virtual.counter import CounterModel, SimulatedCounter

MAX_NAME_LENGTH = 64
Totals = list[dict[str, tuple[float, float]]]


class CounterStandIn(RequestHandler):
    """One counter, or two copies of it, with a door for each gateway."""

    def __init__(
        self,
        clock: Clock,
        loop: asyncio.AbstractEventLoop,
        model: CounterModel,
        links: list[EmulatedLink],
        note: Note,
    ) -> None:
        self._clock, self._note, self._model = clock, note, model
        self.service = SimulatedCounter(clock, model)
        self.second: SimulatedCounter | None = None  # what the gateways in `at_second` see
        self.at_second: set[str] = set()
        self._saved_totals: Totals = []
        self._connections: set[ServerConnection] = set()
        self.listeners = {link.a: GatedListener(link, self._connection_opened, loop) for link in links}

    def _connection_opened(self, transport: EmulatedConnection) -> ServerConnection:
        connection = ServerConnection(transport, self)
        self._connections.add(connection)
        return connection

    def connection_closed(self, connection: ServerConnection) -> None:
        """Forget a connection that is over."""
        self._connections.discard(connection)

    def open(self) -> None:
        """Listen at every door."""
        for door in self.listeners.values():
            door.open()

    def save_totals(self) -> None:
        """Remember what it knows now, for a copy that will be old."""
        self._saved_totals = self.service.copy()

    def stop(self) -> None:
        """Its process dies."""
        self.service.stop()
        for door in self.listeners.values():
            door.close()
        for connection in list(self._connections):
            connection.transport.reset()

    def start(self, how: str) -> None:
        """It is back with `all`, `nothing`, or what it knew when `keep` was called (`old`)."""
        self.service.start(
            None if how == "nothing" else self._saved_totals if how == "old" else self.service.copy()
        )
        self.open()

    def split(self, gateways: set[str]) -> None:
        """From now on these gateways see a second copy, which begins with what the first knows."""
        if not gateways:
            self.second, self.at_second = None, set()
            return
        self.second = SimulatedCounter(self._clock, self._model)
        self.second.start(self.service.copy())
        self.at_second = gateways

    def handle_request(self, request: ReceivedRequest) -> None:
        """Add a call to the copy that its gateway sees; 400 on a bad name, amount or `ttl_ms`."""
        gateway = request.connection.transport.link.a
        name = request.path.removeprefix("/v1/count/")
        try:
            amount, ttl = float(request.query["add"]), float(request.query["ttl_ms"])
        except (KeyError, ValueError):
            amount = ttl = float("nan")
        if (
            request.method != "POST"
            or not 1 <= len(name) <= MAX_NAME_LENGTH
            or not abs(amount) <= 1e9
            or not ttl >= 1
        ):
            request.respond(response_bytes(400))
            return
        second = self.second if gateway in self.at_second else None
        (second or self.service).call(
            name, amount, ttl, partial(self._answer, request, name, amount, gateway)
        )

    def _answer(
        self, request: ReceivedRequest, name: str, amount: float, gateway: str, result: str, total: float
    ) -> None:
        self._note("counter", "count", gw=gateway, name=name, amount=amount, result=result, total=total)
        request.respond(
            response_bytes(200, f"{total:.6f}".encode()) if result == "ok" else response_bytes(503)
        )
