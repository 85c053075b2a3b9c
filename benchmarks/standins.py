"""Processes around the gateway in benchmarks/path.py: the lab's instant stand-ins, load, and other proxies.

    python benchmarks/standins.py ROLE      # its arguments come as a line of JSON

Each process prints its ports as a line of JSON once it is ready, and ends when its standard input is closed.
The load runs a case for each further line and answers it with a line; counter and registry answer a line with
the bytes and calls on their connections so far.
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

MAX_IDLE_S = 1.5  # connections idle for longer are replaced: the gateway may close them while we write
MAX_QUEUED_REQUESTS = 10_000  # bound on open-loop requests that wait for a connection


# --- Load ---


class LoadConnection(asyncio.Protocol):
    """One connection of the load, with at most one request in flight."""

    def __init__(self, load: Load) -> None:
        self._load = load
        self.awaiting_response = False
        self.last_used = time.monotonic()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: Any = transport
        self._parser = httptools.HttpResponseParser(self)

    def send_request(self, data: bytes, due: float) -> None:
        self._due, self.awaiting_response = due, True
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_message_complete(self) -> None:
        self.awaiting_response, self.last_used = False, time.monotonic()
        self._load.handle_response(self, self._parser.get_status_code(), self._due)

    def connection_lost(self, exc: Exception | None) -> None:
        self._load.handle_connection_loss(self)


class Load:
    """Sends requests of many customers and three classes, in a closed or open loop.

    Latency counts from the time at which a request was due.
    """

    def __init__(self, port: int, customers: int, connections: int, spread: int = 1, seed: int = 11) -> None:
        """`spread` is the number of gateways per customer that the requests state."""
        self._port, self._customers, self._connection_count = port, customers, connections
        self._spread = spread
        self._random = random.Random(seed)
        self._request_number = 0
        self._free: deque[LoadConnection] = deque()

    async def connect(self) -> None:
        """Replace closed connections and those idle for `MAX_IDLE_S`, which the gateway may close soon."""
        loop = asyncio.get_running_loop()
        reusable = deque(
            c
            for c in self._free
            if time.monotonic() - c.last_used < MAX_IDLE_S and not c.transport.is_closing()
        )
        for connection in set(self._free) - set(reusable):
            connection.transport.close()
        self._free = reusable
        while len(self._free) < self._connection_count:
            _, connection = await loop.create_connection(lambda: LoadConnection(self), LOOPBACK, self._port)
            self._free.append(connection)

    def _request(self) -> bytes:
        self._request_number += 1
        customer = int(self._random.random() * self._customers) * 7919
        draw, request_id = self._request_number % 10, f"{self._request_number:016x}"
        request_class, method = (
            ("read", "GET") if draw < 7 else ("put", "POST") if draw < 9 else ("pay", "POST")
        )
        more = "" if method == "GET" else f"Content-Length: 2\r\nIdempotency-Key: {request_id}\r\n"
        plan = "wide" if customer % 4 else "team"
        return (
            f"{method} /api/{customer:016x} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {request_id}\r\n"
            f"X-Class: {request_class}\r\nPlan: {plan}\r\nX-Deadline: 5000m\r\n"
            f"Quota-Info: units=1,spread={self._spread},first=0\r\n{more}\r\n{'{}' if more else ''}"
        ).encode()

    def handle_connection_loss(self, connection: LoadConnection) -> None:
        if connection.awaiting_response and not self._done.done():
            self._done.set_exception(ConnectionError("a request was cut off"))

    def handle_response(self, connection: LoadConnection, status: int, due: float) -> None:
        self._status_counts[status] = self._status_counts.get(status, 0) + 1
        self._latencies_s.append(time.monotonic() - due)
        if self._queued:
            connection.send_request(*self._queued.popleft())
        elif self._rate == 0 and self._remaining:
            self._remaining -= 1
            connection.send_request(self._prepared.pop(), time.monotonic())
        else:
            self._free.append(connection)
        if len(self._latencies_s) == self._expected and not self._done.done():
            self._done.set_result(None)

    async def play(self, requests: int, rate: float = 0.0, from_written: bool = False) -> dict[str, Any]:
        """Send requests and return statuses, duration and latencies.

        Args:
            requests: number of requests.
            rate: requests a second of an open loop; 0 for a closed loop, which sends on each response.
            from_written: count latency from the time at which a request is written if a connection was free;
                excludes the delay of this process's timer, which has a resolution of 1 ms.

        Raises:
            RuntimeError: more than `MAX_QUEUED_REQUESTS` requests wait for a connection.
        """
        await self.connect()
        self._loop = asyncio.get_running_loop()
        self._status_counts: dict[int, int] = {}
        self._latencies_s: list[float] = []
        self._queued: deque[tuple[bytes, float]] = deque()
        self._prepared = [self._request() for _ in range(requests)]
        self._done: asyncio.Future[None] = self._loop.create_future()
        self._rate, self._expected, self._remaining = rate, requests, requests
        started = time.monotonic()
        if rate == 0:
            while self._free and self._remaining:
                self._remaining -= 1
                self._free.popleft().send_request(self._prepared.pop(), time.monotonic())
        else:
            for index, data in enumerate(self._prepared):
                due = started + index / rate
                while (wait := due - time.monotonic()) > 0:
                    await asyncio.sleep(max(wait, 0.001))
                if self._free:
                    self._free.popleft().send_request(data, time.monotonic() if from_written else due)
                elif len(self._queued) < MAX_QUEUED_REQUESTS:
                    self._queued.append((data, due))
                else:
                    raise RuntimeError("the gateway is far behind the rate")
        await asyncio.wait_for(self._done, 120)
        sorted_latencies_s = sorted(self._latencies_s)
        return {
            "statuses": self._status_counts,
            "s": time.monotonic() - started,
            "p50_ms": 1000 * sorted_latencies_s[len(sorted_latencies_s) // 2],
            "p99_ms": 1000 * sorted_latencies_s[len(sorted_latencies_s) * 99 // 100],
        }


async def load(port: int, customers: int, connections: int, **more: int) -> dict[str, Any]:
    return {"ports": [], "play": Load(port, customers, connections, **more).play}


# --- Proxies beside the gateway ---


class Upstream(asyncio.Protocol):
    """A persistent connection from the pass-through proxy to a host."""

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


class PassThroughProxy(asyncio.Protocol):
    """A proxy that parses requests and forwards them unchanged to hosts in turn.

    It shows the minimum cost with these libraries.
    """

    def __init__(self, free: list[list[Upstream]], ports: list[int], last_index: list[int]) -> None:
        self._free, self._ports, self._last_index = free, ports, last_index
        self._parser = httptools.HttpRequestParser(self)
        self._data: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self._data.append(data)
        self._parser.feed_data(data)

    def on_message_complete(self) -> None:
        self._last_index[0] = index = (self._last_index[0] + 1) % len(self._ports)
        data, self._data = b"".join(self._data), []
        if self._free[index]:
            upstream = self._free[index].pop()
            upstream.client = self.transport
            upstream.transport.write(data)
        else:
            asyncio.get_running_loop().create_task(self._dial(index, data))

    async def _dial(self, index: int, data: bytes) -> None:
        loop = asyncio.get_running_loop()
        _, upstream = await loop.create_connection(
            lambda: Upstream(self._free[index]), LOOPBACK, self._ports[index]
        )
        upstream.client = self.transport
        upstream.transport.write(data)


async def bare(ports: list[int]) -> dict[str, Any]:
    free: list[list[Upstream]] = [[] for _ in ports]
    last_index = [0]
    server = await asyncio.get_running_loop().create_server(
        lambda: PassThroughProxy(free, ports, last_index), LOOPBACK, 0
    )
    return {"ports": [server.sockets[0].getsockname()[1]]}


async def aiohttp_proxy(ports: list[int]) -> dict[str, Any]:
    """A simple proxy written with aiohttp."""
    from aiohttp import ClientSession, TCPConnector, web

    session = ClientSession(connector=TCPConnector(limit=0), auto_decompress=False)
    last_index = 0

    async def forward(request: web.Request) -> web.Response:
        nonlocal last_index
        last_index = (last_index + 1) % len(ports)
        url = f"http://{LOOPBACK}:{ports[last_index]}{request.raw_path}"
        async with session.request(
            request.method, url, headers=request.headers, data=await request.read()
        ) as response:
            return web.Response(
                status=response.status, body=await response.read(), content_type=response.content_type
            )

    app = web.Application()
    app.router.add_route("*", "/{path:.*}", forward)
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
