"""Stand-in for the quota counter: the model of `lab.virtual.counter`, served by the platform's protocol."""

from __future__ import annotations

import asyncio
from functools import partial

from hillmux.lab.clock import Clock
from hillmux.lab.links import EmulatedConnection, EmulatedLink, GatedListener
from hillmux.lab.record import Note
from hillmux.lab.standins.http import ReceivedRequest, RequestHandler, ServerConnection, response_bytes
from hillmux.lab.virtual.counter import CounterModel, SimulatedCounter

MAX_NAME_LENGTH = 64  # characters of a total's name
Totals = list[dict[str, tuple[float, float]]]


class CounterStandIn(RequestHandler):
    """The counter, or two diverging copies of it after a split, with a listener for each gateway."""

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
        self.second_copy: SimulatedCounter | None = None  # None: not split
        self.gateways_at_second_copy: set[str] = set()  # the gateways that it serves
        self._saved_totals: Totals = []
        self._connections: set[ServerConnection] = set()
        self.listeners = {link.gateway: GatedListener(link, self._connection_opened, loop) for link in links}

    def _connection_opened(self, transport: EmulatedConnection) -> ServerConnection:
        connection = ServerConnection(transport, self)
        self._connections.add(connection)
        return connection

    def connection_closed(self, connection: ServerConnection) -> None:
        """Drop a connection that was closed."""
        self._connections.discard(connection)

    def open(self) -> None:
        """Open every listener."""
        for listener in self.listeners.values():
            listener.open()

    def save_totals(self) -> None:
        """Save the current totals, for a later start from outdated totals."""
        self._saved_totals = self.service.copy()

    def stop(self) -> None:
        """Stop as if its process had died: refuse new connections and reset open ones."""
        self.service.stop()
        for listener in self.listeners.values():
            listener.close()
        for connection in list(self._connections):
            connection.transport.reset()

    def start(self, how: str) -> None:
        """Start again with its totals (`all`), no totals (`nothing`) or those of save_totals (`old`)."""
        self.service.start(
            None if how == "nothing" else self._saved_totals if how == "old" else self.service.copy()
        )
        self.open()

    def split(self, gateways: set[str]) -> None:
        """Serve these gateways from a second copy with the current totals; an empty set ends the split."""
        if not gateways:
            self.second_copy, self.gateways_at_second_copy = None, set()
            return
        self.second_copy = SimulatedCounter(self._clock, self._model)
        self.second_copy.start(self.service.copy())
        self.gateways_at_second_copy = gateways

    def handle_request(self, request: ReceivedRequest) -> None:
        """Pass a call to the copy that serves its gateway; 400 on an invalid name, amount or `ttl_ms`."""
        gateway = request.connection.transport.link.gateway
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
        second_copy = self.second_copy if gateway in self.gateways_at_second_copy else None
        (second_copy or self.service).call(
            name, amount, ttl, partial(self._respond, request, name, amount, gateway)
        )

    def _respond(
        self, request: ReceivedRequest, name: str, amount: float, gateway: str, result: str, total: float
    ) -> None:
        self._note("counter", "count", gw=gateway, name=name, amount=amount, result=result, total=total)
        request.respond(
            response_bytes(200, f"{total:.6f}".encode()) if result == "ok" else response_bytes(503)
        )
