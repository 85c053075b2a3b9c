"""The processes around the gateway in benchmarks/path.py: the lab's instant stand-ins, load, other proxies.

    python benchmarks/standins.py ROLE      # its arguments come as a line of JSON

Each prints a line of JSON once it is ready (its ports), and ends with its standard input. The load takes a
case for each further line, and answers each with a line; counter and registry answer a line with what went
over their connections.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any

import httptools
import uvloop

from hillmux.lab.standins.instant import LOOPBACK, counter, hosts, registry

FRESH_S = 1.5  # a connection unused for longer may be closed by the other side just as we write to it
MOST_WAITING = 10_000  # requests of an open loop that wait for a connection


# --- Load ---


class Asking(asyncio.Protocol):
    """One connection of the load: a request at a time."""

    def __init__(self, load: Load) -> None:
        self._load = load
        self.asked = False
        self.used = time.monotonic()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: Any = transport
        self._parser = httptools.HttpResponseParser(self)

    def ask(self, data: bytes, due: float) -> None:
        self._due, self.asked = due, True
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_message_complete(self) -> None:
        self.asked, self.used = False, time.monotonic()
        self._load.answered(self, self._parser.get_status_code(), self._due)

    def connection_lost(self, exc: Exception | None) -> None:
        self._load.lost(self)


class Load:
    """Requests of many customers and three classes, closed or open loop; latency from the intended time."""

    def __init__(self, port: int, customers: int, connections: int, spread: int = 1, seed: int = 11) -> None:
        """`spread` gateways take each customer's requests, as far as the gateway is told."""
        self._port, self._customers, self._count = port, customers, connections
        self._spread = spread
        self._random = random.Random(seed)
        self._serial = 0
        self._free: deque[Asking] = deque()

    async def connect(self) -> None:
        """Dial anew what the other side has closed since: a gateway keeps an idle connection for seconds."""
        loop = asyncio.get_running_loop()
        fresh = deque(
            c for c in self._free if time.monotonic() - c.used < FRESH_S and not c.transport.is_closing()
        )
        for connection in set(self._free) - set(fresh):
            connection.transport.close()
        self._free = fresh
        while len(self._free) < self._count:
            _, connection = await loop.create_connection(lambda: Asking(self), LOOPBACK, self._port)
            self._free.append(connection)

    def _request(self) -> bytes:
        self._serial += 1
        customer = int(self._random.random() * self._customers) * 7919
        draw, rid = self._serial % 10, f"{self._serial:016x}"
        cls, method = ("read", "GET") if draw < 7 else ("put", "POST") if draw < 9 else ("pay", "POST")
        more = "" if method == "GET" else f"Content-Length: 2\r\nIdempotency-Key: {rid}\r\n"
        plan = "wide" if customer % 4 else "team"
        return (
            f"{method} /api/{customer:016x} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {rid}\r\n"
            f"X-Class: {cls}\r\nPlan: {plan}\r\nX-Deadline: 5000m\r\n"
            f"Quota-Info: units=1,spread={self._spread},first=0\r\n{more}\r\n{'{}' if more else ''}"
        ).encode()

    def lost(self, connection: Asking) -> None:
        if connection.asked and not self._done.done():
            self._done.set_exception(ConnectionError("a request was cut off"))

    def answered(self, connection: Asking, status: int, due: float) -> None:
        self._statuses[status] = self._statuses.get(status, 0) + 1
        self._times.append(time.monotonic() - due)
        if self._waiting:
            connection.ask(*self._waiting.popleft())
        elif self._rate == 0 and self._left:
            self._left -= 1
            connection.ask(self._made.pop(), time.monotonic())
        else:
            self._free.append(connection)
        if len(self._times) == self._wanted and not self._done.done():
            self._done.set_result(None)

    async def play(self, requests: int, rate: float = 0.0, from_written: bool = False) -> dict[str, Any]:
        """So many requests: as fast as answers come, or at a rate whatever comes.

        `from_written`: latency begins when a request is written, where a connection was free for it, so that
        the timer of this process, a millisecond coarse, is not in it.
        """
        await self.connect()
        self._loop = asyncio.get_running_loop()
        self._statuses: dict[int, int] = {}
        self._times: list[float] = []
        self._waiting: deque[tuple[bytes, float]] = deque()
        self._made = [self._request() for _ in range(requests)]
        self._done: asyncio.Future[None] = self._loop.create_future()
        self._rate, self._wanted, self._left = rate, requests, requests
        began = time.monotonic()
        if rate == 0:
            while self._free and self._left:
                self._left -= 1
                self._free.popleft().ask(self._made.pop(), time.monotonic())
        else:
            for i, data in enumerate(self._made):
                due = began + i / rate
                while (wait := due - time.monotonic()) > 0:
                    await asyncio.sleep(max(wait, 0.001))
                if self._free:
                    self._free.popleft().ask(data, time.monotonic() if from_written else due)
                elif len(self._waiting) < MOST_WAITING:
                    self._waiting.append((data, due))
                else:
                    raise RuntimeError("the gateway is far behind the rate")
        await asyncio.wait_for(self._done, 120)
        took = sorted(self._times)
        return {
            "statuses": self._statuses,
            "s": time.monotonic() - began,
            "p50_ms": 1000 * took[len(took) // 2],
            "p99_ms": 1000 * took[len(took) * 99 // 100],
        }


async def load(port: int, customers: int, connections: int, **more: int) -> dict[str, Any]:
    return {"ports": [], "play": Load(port, customers, connections, **more).play}


# --- Proxies beside the gateway ---


class Upstream(asyncio.Protocol):
    """A kept connection of the bare proxy to a host."""

    def __init__(self, free: list[Upstream]) -> None:
        self._free = free
        self.client: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: Any = transport
        self._parser = httptools.HttpResponseParser(self)

    def data_received(self, data: bytes) -> None:
        client = self.client
        self._parser.feed_data(data)
        client.write(data)

    def on_message_complete(self) -> None:
        self._free.append(self)


class Bare(asyncio.Protocol):
    """What the two libraries cost at least: requests are parsed and passed on as they came, hosts in turn."""

    def __init__(self, free: list[list[Upstream]], ports: list[int], turn: list[int]) -> None:
        self._free, self._ports, self._turn = free, ports, turn
        self._parser = httptools.HttpRequestParser(self)
        self._data: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self._data.append(data)
        self._parser.feed_data(data)

    def on_message_complete(self) -> None:
        self._turn[0] = i = (self._turn[0] + 1) % len(self._ports)
        data, self._data = b"".join(self._data), []
        if self._free[i]:
            upstream = self._free[i].pop()
            upstream.client = self.transport
            upstream.transport.write(data)
        else:
            asyncio.get_running_loop().create_task(self._dial(i, data))

    async def _dial(self, i: int, data: bytes) -> None:
        loop = asyncio.get_running_loop()
        _, upstream = await loop.create_connection(lambda: Upstream(self._free[i]), LOOPBACK, self._ports[i])
        upstream.client = self.transport
        upstream.transport.write(data)


async def bare(ports: list[int]) -> dict[str, Any]:
    free: list[list[Upstream]] = [[] for _ in ports]
    turn = [0]
    server = await asyncio.get_running_loop().create_server(lambda: Bare(free, ports, turn), LOOPBACK, 0)
    return {"ports": [server.sockets[0].getsockname()[1]]}


async def aiohttp_proxy(ports: list[int]) -> dict[str, Any]:
    """What one would write with aiohttp."""
    from aiohttp import ClientSession, TCPConnector, web

    session = ClientSession(connector=TCPConnector(limit=0), auto_decompress=False)
    turn = 0

    async def passed_on(request: web.Request) -> web.Response:
        nonlocal turn
        turn = (turn + 1) % len(ports)
        url = f"http://{LOOPBACK}:{ports[turn]}{request.raw_path}"
        async with session.request(
            request.method, url, headers=request.headers, data=await request.read()
        ) as got:
            return web.Response(status=got.status, body=await got.read(), content_type=got.content_type)

    app = web.Application()
    app.router.add_route("*", "/{path:.*}", passed_on)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, LOOPBACK, 0)
    await site.start()
    return {"ports": [site._server.sockets[0].getsockname()[1]]}


ROLES: dict[str, Callable[..., Awaitable[dict[str, Any]]]] = {
    "hosts": hosts,
    "counter": counter,
    "registry": registry,
    "load": load,
    "bare": bare,
    "aiohttp": aiohttp_proxy,
}


async def main() -> None:
    ready = await ROLES[sys.argv[1]](**json.loads(sys.stdin.readline()))
    play = ready.pop("play", None) or ready.pop("counts", None)
    print(json.dumps(ready), flush=True)
    loop = asyncio.get_running_loop()
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        if play is not None:
            print(json.dumps(await play(**json.loads(line))), flush=True)


if __name__ == "__main__":
    uvloop.run(main())
