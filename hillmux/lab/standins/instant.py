"""Stand-ins that answer at once, whatever comes: hosts, counter and registry, for a gateway's own cost.

They cost as little as the libraries allow, so that a closed loop waits for the gateway alone. Counter and
registry also count what went over their connections: `counts` is a coroutine function that tells it.
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

LOOP = "127.0.0.1"
GOOD = response_bytes(200, b'{"slots":[' + b"1" * 50 + b"]}", b"Content-Type: application/json\r\n")
FULL = response_bytes(503, b"", b"X-Not-Run: 1\r\n")
MOST_NAMES = 400_000


@dataclass(slots=True)
class Traffic:
    """What went over the connections of a stand-in, as payload of TCP."""

    calls: int = 0
    bytes_read: int = 0
    bytes_written: int = 0

    async def counts(self) -> dict[str, int]:
        """Totals so far, by field."""
        return asdict(self)


Answer = Callable[[bytes, "Answering"], bytes | None]


class Answering(asyncio.Protocol):
    """A server: `answer` makes bytes of a target, or keeps the connection for later with None."""

    def __init__(self, answer: Answer, traffic: Traffic) -> None:
        self._answer, self._traffic = answer, traffic
        self._parser = httptools.HttpRequestParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport: Any = transport

    def data_received(self, data: bytes) -> None:
        """Count the bytes, and parse them."""
        self._traffic.bytes_read += len(data)
        self._parser.feed_data(data)

    def on_message_begin(self) -> None:
        """A request begins."""
        self._url = b""

    def on_url(self, url: bytes) -> None:
        """A piece of the request target."""
        self._url += url

    def on_message_complete(self) -> None:
        """Count the call, and write its answer, if there is one now."""
        self._traffic.calls += 1
        answer = self._answer(self._url, self)
        if answer is not None:
            self.write(answer)

    def write(self, answer: bytes) -> None:
        """Write an answer, unless the connection is gone."""
        if not self.transport.is_closing():
            self._traffic.bytes_written += len(answer)
            self.transport.write(answer)


async def listen(answer: Answer, traffic: Traffic, count: int = 1) -> list[int]:
    """Listen on so many ports that the system chooses."""
    loop = asyncio.get_running_loop()
    ports = []
    for _ in range(count):
        server = await loop.create_server(lambda: Answering(answer, traffic), LOOP, 0, backlog=512)
        ports.append(server.sockets[0].getsockname()[1])
    return ports


async def hosts(ports: int = 8, full_every: int = 0) -> dict[str, Any]:
    """Hosts that answer at once; one in `full_every` requests is turned away unrun, and so sent anew."""
    request = 0

    def answer(url: bytes, connection: Answering) -> bytes:
        nonlocal request
        request += 1
        return FULL if full_every and request % full_every == 0 else GOOD

    return {"ports": await listen(answer, Traffic(), ports)}


async def counter() -> dict[str, Any]:
    """Totals of what was added under each name; the names unused for the longest go first."""
    totals: OrderedDict[str, float] = OrderedDict()
    traffic = Traffic()

    def answer(url: bytes, connection: Answering) -> bytes:
        name, _, query = url.decode().removeprefix("/v1/count/").partition("?")
        total = totals.get(name, 0.0) + float(query.split("&")[0].removeprefix("add="))
        totals[name] = total
        totals.move_to_end(name)
        if len(totals) > MOST_NAMES:
            totals.popitem(last=False)
        return response_bytes(200, f"{total:g}".encode())

    return {"ports": await listen(answer, traffic), "counts": traffic.counts}


async def registry(instances: list[dict[str, Any]], watched: bool = False) -> dict[str, Any]:
    """The whole list at once; a watch is never answered, or when its wait is over if `watched`."""
    whole = response_bytes(200, orjson.dumps({"generation": 1, "reset": True, "instances": instances}))
    nothing = response_bytes(200, orjson.dumps({"generation": 1, "reset": False, "instances": []}))
    traffic = Traffic()
    loop = asyncio.get_running_loop()

    def answer(url: bytes, connection: Answering) -> bytes | None:
        if b"after=" not in url:
            return whole
        if watched:
            wait_ms = float(url.rpartition(b"wait_ms=")[2] or 0)
            loop.call_later(wait_ms / 1000, connection.write, nothing)
        return None

    return {"ports": await listen(answer, traffic), "counts": traffic.counts}
