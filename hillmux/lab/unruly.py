"""Clients that leave, halt in the middle of a request, pipeline, write slowly or have very little time.

Part of the load's process. Each one opens a connection of its own at a gateway that takes new ones.
"""

from __future__ import annotations

import asyncio

from hillmux.lab.checks import ANSWER_SLACK_MS
from hillmux.lab.load_balancer import FrontGateway, Load
from hillmux.lab.random_streams import Stream

KINDS = ("leave", "halt", "pipeline", "slow", "hurry")
HALTED_CLIENT_MS = 3000.0  # within which a client that halts gets its error, or a close
LAST_BEFORE_END_S = 5.0  # none begins later than this before the run's end
SLOW_PIECES = 8
PIECE_INTERVAL_S = 0.12  # between two pieces of a client that writes slowly
DEADLINE_MS = 2500.0
HURRIED_DEADLINE_MS = (5.0, 60.0)
RESULT_BY_STATUS = {200: "served", 429: "refused", 502: "failed", 503: "refused", 504: "failed"}
UNRULY_CUSTOMERS = 1 << 32  # their numbers begin above those of the planned customers
CROWD_INTERVAL_S = 0.002  # between two connections of a crowd


class UnrulyClients:
    """Draws when the next one comes, which gateway it goes to and what it does."""

    def __init__(self, load: Load, gateways: list[FrontGateway], run_id: str) -> None:
        traffic = load.scenario.traffic
        self._gateways, self._run_id = gateways, run_id
        self._load, self._rate, self._crowd = load, traffic.unruly_per_s, traffic.crowd
        self._class, self._plan = traffic.classes[0], traffic.plans[0]
        self._stream = Stream(load.scenario.seed, "unruly")
        self._serial = 0
        self.active = 0

    def play(self, t0_ms: float) -> None:
        """Begin at the start of the run."""
        self._begin_ms = t0_ms
        self._end_ms = t0_ms + 1000 * (self._load.scenario.length_s - LAST_BEFORE_END_S)
        if self._rate:
            self._load.run_in_background(self._arrivals())
        if self._crowd:
            self._load.run_in_background(self._hold_crowd())

    async def _arrivals(self) -> None:
        await asyncio.sleep((self._begin_ms - self._load.clock.now) / 1000)
        while self._load.clock.now < self._end_ms:
            await asyncio.sleep(self._stream.uniform(0, 2 / self._rate))
            open_gateways = [g for g in self._gateways if g.takes_connections()]
            if open_gateways:
                gateway = open_gateways[int(self._stream.uniform(0, len(open_gateways)))]
                kind = KINDS[int(self._stream.uniform(0, len(KINDS)))]
                self._load.run_in_background(self._counted(gateway, kind))

    async def _counted(self, gateway: FrontGateway, kind: str) -> None:
        self.active += 1
        try:
            await self._play(gateway, kind)
        finally:
            self.active -= 1

    async def _play(self, gateway: FrontGateway, kind: str) -> None:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
        except OSError:
            return
        try:
            match kind:
                case "leave":
                    await self._leave(gateway, writer)
                case "halt":
                    await self._halt(gateway, reader, writer)
                case "pipeline":
                    await self._pipeline(gateway, reader, writer)
                case _:
                    await self._one(gateway, reader, writer, slowly=kind == "slow")
        except OSError:
            pass  # what it was owed stays owed in the record
        finally:
            writer.close()

    def _new_request(self, deadline_ms: float = DEADLINE_MS) -> tuple[str, bytes]:
        """An id and the bytes of a request under it, by a customer of its own."""
        self._serial += 1
        rid, cls = f"{self._run_id}f{self._serial:010x}0", self._class
        customer = f"{UNRULY_CUSTOMERS + self._serial:016x}"
        return rid, (
            f"GET /api/{customer}?work={cls.work_ms:.1f}&true=1&kind=safe&window=0&units=1"
            f"&plan={self._plan.name} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {rid}\r\n"
            f"X-Class: {cls.name}\r\nPlan: {self._plan.name}\r\nX-Deadline: {deadline_ms:.0f}m\r\n"
            f"Quota-Info: units=1,spread=1,first=0\r\n\r\n"
        ).encode()

    async def _leave(self, gateway: FrontGateway, writer: asyncio.StreamWriter) -> None:
        rid, request = self._new_request()
        writer.write(request)
        await asyncio.sleep(self._stream.uniform(0, 0.2))
        writer.transport.abort()
        self._load.note("client", "left", rid=rid, gw=gateway.name)

    async def _halt(
        self, gateway: FrontGateway, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        rid, request = self._new_request()
        writer.write(request[: int(self._stream.uniform(1, len(request) - 1))])
        self._load.note("client", "halted", rid=rid, gw=gateway.name, allowed_ms=HALTED_CLIENT_MS)
        await reader.read(1)  # its error, or the close
        self._load.note("client", "released", rid=rid, gw=gateway.name)

    async def _pipeline(
        self, gateway: FrontGateway, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        requests = [self._new_request() for _ in range(int(self._stream.uniform(2, 13)))]
        for rid, _ in requests:
            self._note_sent(gateway, rid, DEADLINE_MS)
        writer.write(b"".join(request for _, request in requests))
        for rid, _ in requests:
            await self._take_answer(gateway, rid, reader)

    async def _one(
        self, gateway: FrontGateway, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, slowly: bool
    ) -> None:
        deadline_ms = DEADLINE_MS if slowly else self._stream.uniform(*HURRIED_DEADLINE_MS)
        rid, request = self._new_request(deadline_ms)
        *pieces, last = _cut(request, SLOW_PIECES if slowly else 1)
        for piece in pieces:
            writer.write(piece)
            await asyncio.sleep(PIECE_INTERVAL_S)
            if writer.is_closing():
                return  # nothing is owed for a request that was never whole
        self._note_sent(gateway, rid, deadline_ms)
        writer.write(last)
        await self._take_answer(gateway, rid, reader)

    def _note_sent(self, gateway: FrontGateway, rid: str, allowed_ms: float) -> None:
        allowed_ms += ANSWER_SLACK_MS
        self._load.note("client", "unruly_wrote", rid=rid, gw=gateway.name, allowed_ms=allowed_ms)

    async def _take_answer(self, gateway: FrontGateway, rid: str, reader: asyncio.StreamReader) -> None:
        result = "shut" if gateway.crowded else "reset"
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
            length = int(head.partition("content-length:")[2].partition("\r\n")[0] or 0)
            body = await reader.readexactly(length)
            result = RESULT_BY_STATUS.get(int(head.split()[1]), "rejected")
            if result == "served" and body != rid.encode():  # hosts answer with the id that they were sent
                result = "foreign"
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        self._load.note("client", "unruly_answer", rid=rid, gw=gateway.name, result=result)

    async def _hold_crowd(self) -> None:
        """Hold idle connections at the first gateway, and dial again for those that it closes."""
        gateway = self._gateways[0]
        held: list[asyncio.StreamWriter] = []
        while self._load.clock.now < self._end_ms:
            held = [writer for writer in held if not writer.is_closing()]
            if len(held) < self._crowd and gateway.takes_connections():
                try:
                    held.append((await asyncio.open_connection("127.0.0.1", gateway.port))[1])
                except OSError:
                    await asyncio.sleep(10 * CROWD_INTERVAL_S)
            await asyncio.sleep(CROWD_INTERVAL_S)
        for writer in held:
            writer.close()


def _cut(data: bytes, count: int) -> list[bytes]:
    """The data in about so many pieces of one length, the last of which may be shorter."""
    length = -(-len(data) // count)
    return [data[start : start + length] for start in range(0, len(data), length)]
