"""Stand-ins with immediate responses (hosts, counter and registry), to measure the cost of a gateway itself.

They do as little work as the libraries allow, so that a closed loop waits only for the gateway. Counter and
registry also count the traffic on their connections: `counts` is a coroutine function that returns it.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any

import httptools
import orjson

from hillmux.lab.standins.http import response_bytes

LOOPBACK = "127.0.0.1"
OK_RESPONSE = response_bytes(200, b'{"slots":[' + b"1" * 50 + b"]}", b"Content-Type: application/json\r\n")
NOT_RUN_RESPONSE = response_bytes(503, b"", b"X-Not-Run: 1\r\n")
MAX_NAMES = 400_000  # totals that the counter keeps


@dataclass(slots=True)
class Traffic:
    """Calls and TCP payload bytes on the connections of a stand-in."""

    calls: int = 0
    bytes_read: int = 0
    bytes_written: int = 0

    async def counts(self) -> dict[str, int]:
        """Return the totals so far, by field name."""
        return asdict(self)


Responder = Callable[[bytes, "InstantServerConnection"], bytes | None]


class InstantServerConnection(asyncio.Protocol):
    """A server connection: `answer` returns the response to a request target, or None to write it later."""

    def __init__(self, answer: Responder, traffic: Traffic) -> None:
        self._answer, self._traffic = answer, traffic
        self._parser = httptools.HttpRequestParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport: Any = transport

    def data_received(self, data: bytes) -> None:
        """Count and parse the bytes."""
        self._traffic.bytes_read += len(data)
        self._parser.feed_data(data)

    def on_message_begin(self) -> None:
        """Reset the request target."""
        self._url = b""

    def on_url(self, url: bytes) -> None:
        """Append a piece of the request target."""
        self._url += url

    def on_message_complete(self) -> None:
        """Count the call, and write its response if `answer` returned one."""
        self._traffic.calls += 1
        answer = self._answer(self._url, self)
        if answer is not None:
            self.write(answer)

    def write(self, answer: bytes) -> None:
        """Write a response, unless the connection is closing."""
        if not self.transport.is_closing():
            self._traffic.bytes_written += len(answer)
            self.transport.write(answer)


async def listen(answer: Responder, traffic: Traffic, count: int = 1) -> list[int]:
    """Listen on `count` ports chosen by the kernel, and return them."""
    loop = asyncio.get_running_loop()
    ports = []
    for _ in range(count):
        server = await loop.create_server(
            lambda: InstantServerConnection(answer, traffic), LOOPBACK, 0, backlog=512
        )
        ports.append(server.sockets[0].getsockname()[1])
    return ports


async def hosts(ports: int = 8, full_every: int = 0) -> dict[str, Any]:
    """Start hosts that respond at once; one in `full_every` requests gets X-Not-Run, so it is retried."""
    request = 0

    def answer(url: bytes, connection: InstantServerConnection) -> bytes:
        nonlocal request
        request += 1
        return NOT_RUN_RESPONSE if full_every and request % full_every == 0 else OK_RESPONSE

    return {"ports": await listen(answer, Traffic(), ports)}


async def counter() -> dict[str, Any]:
    """Start a counter of totals by name; beyond MAX_NAMES the least recently used name is dropped."""
    totals: OrderedDict[str, float] = OrderedDict()
    traffic = Traffic()

    def answer(url: bytes, connection: InstantServerConnection) -> bytes:
        name, _, query = url.decode().removeprefix("/v1/count/").partition("?")
        total = totals.get(name, 0.0) + float(query.split("&")[0].removeprefix("add="))
        totals[name] = total
        totals.move_to_end(name)
        if len(totals) > MAX_NAMES:
            totals.popitem(last=False)
        return response_bytes(200, f"{total:g}".encode())

    return {"ports": await listen(answer, traffic), "counts": traffic.counts}


async def registry(instances: list[dict[str, Any]], watched: bool = False) -> dict[str, Any]:
    """Start a registry with a fixed list; watches are answered after their wait if `watched`, else never."""
    complete_list = response_bytes(
        200, orjson.dumps({"generation": 1, "reset": True, "instances": instances})
    )
    no_changes = response_bytes(200, orjson.dumps({"generation": 1, "reset": False, "instances": []}))
    traffic = Traffic()
    loop = asyncio.get_running_loop()

    def answer(url: bytes, connection: InstantServerConnection) -> bytes | None:
        if b"after=" not in url:
            return complete_list
        if watched:
            wait_ms = float(url.rpartition(b"wait_ms=")[2] or 0)
            loop.call_later(wait_ms / 1000, connection.write, no_changes)
        return None

    return {"ports": await listen(answer, traffic), "counts": traffic.counts}
