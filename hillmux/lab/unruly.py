"""Misbehaving clients: disconnects, stalls within a request, pipelining, slow writes, short deadlines.

They run in the load generator's process. Each opens its own connection to a gateway that accepts new ones.
"""

from __future__ import annotations

import asyncio

from hillmux.lab.checks import ANSWER_SLACK_MS
from hillmux.lab.load_balancer import BackendGateway, LoadGeneratorInterface
from hillmux.lab.random_streams import Stream

KINDS = ("leave", "halt", "pipeline", "slow", "hurry")
STALLED_CLIENT_TIMEOUT_MS = 3000.0  # within which a stalled client must get an error or a close
LAST_BEFORE_END_S = 5.0  # no client starts in this last part of the run
SLOW_PIECES = 8  # parts of a request that a slow client writes
PIECE_INTERVAL_S = 0.12  # between two parts of a slow client's request
DEADLINE_MS = 2500.0
SHORT_DEADLINE_MS = (5.0, 60.0)  # bounds from which a short deadline is drawn
RESULT_BY_STATUS = {200: "served", 429: "refused", 502: "failed", 503: "refused", 504: "failed"}
FIRST_CUSTOMER_NUMBER = 1 << 32  # above the numbers of all planned customers
CROWD_INTERVAL_S = 0.002  # between two connections of the idle crowd


class UnrulyClients:
    """Starts misbehaving clients at random times; draws the gateway and the kind of each."""

    def __init__(self, load: LoadGeneratorInterface, gateways: list[BackendGateway], run_id: str) -> None:
        traffic = load.scenario.traffic
        self._gateways, self._run_id = gateways, run_id
        self._load, self._rate, self._crowd = load, traffic.unruly_per_s, traffic.crowd
        self._class, self._plan = traffic.classes[0], traffic.plans[0]
        self._stream = Stream(load.scenario.seed, "unruly")
        self._serial = 0
        self.active = 0  # clients that are running now

    def play(self, t0_ms: float) -> None:
        """Run the clients from `t0_ms`, the start of the run."""
        self._begin_ms = t0_ms
        self._end_ms = t0_ms + 1000 * (self._load.scenario.length_s - LAST_BEFORE_END_S)
        if self._rate:
            self._load.run_in_background(self._start_clients())
        if self._crowd:
            self._load.run_in_background(self._hold_idle_connections())

    async def _start_clients(self) -> None:
        await asyncio.sleep((self._begin_ms - self._load.clock.now) / 1000)
        while self._load.clock.now < self._end_ms:
            await asyncio.sleep(self._stream.uniform(0, 2 / self._rate))
            open_gateways = [g for g in self._gateways if g.takes_connections()]
            if open_gateways:
                gateway = open_gateways[int(self._stream.uniform(0, len(open_gateways)))]
                kind = KINDS[int(self._stream.uniform(0, len(KINDS)))]
                self._load.run_in_background(self._run_counted(gateway, kind))

    async def _run_counted(self, gateway: BackendGateway, kind: str) -> None:
        self.active += 1
        try:
            await self._run_client(gateway, kind)
        finally:
            self.active -= 1

    async def _run_client(self, gateway: BackendGateway, kind: str) -> None:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
        except OSError:
            return
        try:
            match kind:
                case "leave":
                    await self._disconnect(gateway, writer)
                case "halt":
                    await self._stall_request(gateway, reader, writer)
                case "pipeline":
                    await self._pipeline_requests(gateway, reader, writer)
                case _:
                    await self._send_request(gateway, reader, writer, slowly=kind == "slow")
        except OSError:
            pass  # the checks find the missing responses in the record
        finally:
            writer.close()

    def _new_request(self, deadline_ms: float = DEADLINE_MS) -> tuple[str, bytes]:
        """Return a new request id and the bytes of its request, by a customer that sends no other."""
        self._serial += 1
        rid, cls = f"{self._run_id}f{self._serial:010x}0", self._class
        customer = f"{FIRST_CUSTOMER_NUMBER + self._serial:016x}"
        return rid, (
            f"GET /api/{customer}?work={cls.work_ms:.1f}&true=1&kind=safe&window=0&units=1"
            f"&plan={self._plan.name} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {rid}\r\n"
            f"X-Class: {cls.name}\r\nPlan: {self._plan.name}\r\nX-Deadline: {deadline_ms:.0f}m\r\n"
            f"Quota-Info: units=1,spread=1,first=0\r\n\r\n"
        ).encode()

    async def _disconnect(self, gateway: BackendGateway, writer: asyncio.StreamWriter) -> None:
        rid, request = self._new_request()
        writer.write(request)
        await asyncio.sleep(self._stream.uniform(0, 0.2))
        writer.transport.abort()
        self._load.note("client", "left", rid=rid, gw=gateway.name)

    async def _stall_request(
        self, gateway: BackendGateway, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        rid, request = self._new_request()
        writer.write(request[: int(self._stream.uniform(1, len(request) - 1))])
        self._load.note("client", "halted", rid=rid, gw=gateway.name, allowed_ms=STALLED_CLIENT_TIMEOUT_MS)
        await reader.read(1)  # a byte of the gateway's error response, or the close
        self._load.note("client", "released", rid=rid, gw=gateway.name)

    async def _pipeline_requests(
        self, gateway: BackendGateway, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        requests = [self._new_request() for _ in range(int(self._stream.uniform(2, 13)))]
        for rid, _ in requests:
            self._note_sent(gateway, rid, DEADLINE_MS)
        writer.write(b"".join(request for _, request in requests))
        for rid, _ in requests:
            await self._read_answer(gateway, rid, reader)

    async def _send_request(
        self,
        gateway: BackendGateway,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        slowly: bool,
    ) -> None:
        deadline_ms = DEADLINE_MS if slowly else self._stream.uniform(*SHORT_DEADLINE_MS)
        rid, request = self._new_request(deadline_ms)
        *pieces, last = _split(request, SLOW_PIECES if slowly else 1)
        for piece in pieces:
            writer.write(piece)
            await asyncio.sleep(PIECE_INTERVAL_S)
            if writer.is_closing():
                return  # no response is due to an incomplete request
        self._note_sent(gateway, rid, deadline_ms)
        writer.write(last)
        await self._read_answer(gateway, rid, reader)

    def _note_sent(self, gateway: BackendGateway, rid: str, allowed_ms: float) -> None:
        allowed_ms += ANSWER_SLACK_MS
        self._load.note("client", "unruly_wrote", rid=rid, gw=gateway.name, allowed_ms=allowed_ms)

    async def _read_answer(self, gateway: BackendGateway, rid: str, reader: asyncio.StreamReader) -> None:
        result = "shut" if gateway.crowded else "reset"
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
            length = int(head.partition("content-length:")[2].partition("\r\n")[0] or 0)
            body = await reader.readexactly(length)
            result = RESULT_BY_STATUS.get(int(head.split()[1]), "rejected")
            if result == "served" and body != rid.encode():  # hosts return the request id in the body
                result = "foreign"
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        self._load.note("client", "unruly_answer", rid=rid, gw=gateway.name, result=result)

    async def _hold_idle_connections(self) -> None:
        """Keep `traffic.crowd` idle connections open to the first gateway; replace those that it closes."""
        gateway = self._gateways[0]
        connections: list[asyncio.StreamWriter] = []
        while self._load.clock.now < self._end_ms:
            connections = [writer for writer in connections if not writer.is_closing()]
            if len(connections) < self._crowd and gateway.takes_connections():
                try:
                    connections.append((await asyncio.open_connection("127.0.0.1", gateway.port))[1])
                except OSError:
                    await asyncio.sleep(10 * CROWD_INTERVAL_S)
            await asyncio.sleep(CROWD_INTERVAL_S)
        for writer in connections:
            writer.close()


def _split(data: bytes, count: int) -> list[bytes]:
    """Split data into at most `count` pieces of equal length; the last may be shorter."""
    length = -(-len(data) // count)
    return [data[start : start + length] for start in range(0, len(data), length)]
