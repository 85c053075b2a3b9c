"""Stand-ins that answer at once, whatever comes: hosts, counter and registry, for a gateway's own cost.

They cost as little as the libraries allow, so that a closed loop waits for the gateway alone.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

import httptools
import orjson

from yewstage.lab.standins.http import message

LOOP = "127.0.0.1"
GOOD = message(200, b'{"slots":[' + b"1" * 50 + b"]}", b"Content-Type: application/json\r\n")
FULL = message(503, b"", b"X-Not-Run: 1\r\n")
MOST_NAMES = 400_000


class Answering(asyncio.Protocol):
    """A server: `answer` makes bytes of a target, or keeps the connection for later with None."""

    def __init__(self, answer: Callable[[bytes, asyncio.Transport], bytes | None]) -> None:
        self._answer = answer
        self._parser = httptools.HttpRequestParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: Any = transport

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_message_begin(self) -> None:
        self._url = b""

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_message_complete(self) -> None:
        answer = self._answer(self._url, self.transport)
        if answer is not None:
            self.transport.write(answer)


async def listen(answer: Callable[[bytes, asyncio.Transport], bytes | None], count: int = 1) -> list[int]:
    """Listen on so many ports that the system chooses."""
    loop = asyncio.get_running_loop()
    ports = []
    for _ in range(count):
        server = await loop.create_server(lambda: Answering(answer), LOOP, 0, backlog=512)
        ports.append(server.sockets[0].getsockname()[1])
    return ports


async def hosts(ports: int = 8, full_every: int = 0) -> dict[str, Any]:
    """Hosts that answer at once; one in `full_every` requests is turned away unrun, and so sent anew."""
    asked = 0

    def answer(url: bytes, transport: asyncio.Transport) -> bytes:
        nonlocal asked
        asked += 1
        return FULL if full_every and asked % full_every == 0 else GOOD

    return {"ports": await listen(answer, ports)}


async def counter() -> dict[str, Any]:
    """Totals of what was added under each name; the names unused for the longest go first."""
    totals: OrderedDict[str, float] = OrderedDict()

    def answer(url: bytes, transport: asyncio.Transport) -> bytes:
        name, _, query = url.decode().removeprefix("/v1/count/").partition("?")
        total = totals.get(name, 0.0) + float(query.split("&")[0].removeprefix("add="))
        totals[name] = total
        totals.move_to_end(name)
        if len(totals) > MOST_NAMES:
            totals.popitem(last=False)
        return message(200, f"{total:g}".encode())

    return {"ports": await listen(answer)}


async def registry(instances: list[dict[str, Any]]) -> dict[str, Any]:
    """The whole list at once; a watch is never answered."""
    whole = message(200, orjson.dumps({"generation": 1, "reset": True, "instances": instances}))

    def answer(url: bytes, transport: asyncio.Transport) -> bytes | None:
        return None if b"after=" in url else whole

    return {"ports": await listen(answer)}
