"""A stand-in booking node: lookups and bookings after some work, with a key's repeats dropped."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from typing import cast

import httptools

CORES = 3
MOST_WAITING = 200
MOST_KEYS = 10_000


class BookingNode:
    """Answers over HTTP/1.1: 200 after its work, 503 with `X-Not-Run` where its queue is full."""

    def __init__(self, work_ms: float = 5.0, seed: int = 1) -> None:
        self.work_ms = work_ms
        self.served: Counter[str] = Counter()  # by X-Request-Id
        self.effects: Counter[str] = Counter()  # by Idempotency-Key
        self.silent = False  # takes requests and answers none
        self.connections: set[_Peer] = set()
        self.port = 0
        self._random = random.Random(seed)
        self._cores = asyncio.Semaphore(CORES)
        self._waiting = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> BookingNode:
        """Listen on a port that the system chooses."""
        self._server = await asyncio.get_running_loop().create_server(lambda: _Peer(self), "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for peer in list(self.connections):
            peer.transport.abort()

    async def handle(self, peer: _Peer, rid: str, key: str) -> None:
        """One request."""
        if self.silent:
            return
        if self._waiting >= MOST_WAITING:
            peer.write(503, b"queue full", b"X-Not-Run: 1\r\n")
            return
        self._waiting += 1
        try:
            async with self._cores:
                await asyncio.sleep(self.work_ms / 1000 * self._random.uniform(0.5, 1.5))
        finally:
            self._waiting -= 1
        self.served[rid] += 1
        if key:
            self.effects[key] += key not in self.effects
            if len(self.effects) > MOST_KEYS:
                del self.effects[next(iter(self.effects))]
        if len(self.served) > MOST_KEYS:
            del self.served[next(iter(self.served))]
        peer.write(200, b'{"slot":"free"}')


class _Peer(asyncio.Protocol):
    def __init__(self, node: BookingNode) -> None:
        self._node = node
        self._parser = httptools.HttpRequestParser(self)
        self._headers: dict[bytes, bytes] = {}
        self.transport: asyncio.Transport
        self._task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self._node.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._node.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.lower()] = value

    def on_message_complete(self) -> None:
        headers, self._headers = self._headers, {}
        self._task = asyncio.get_running_loop().create_task(
            self._node.handle(
                self,
                headers.get(b"x-request-id", b"").decode(),
                headers.get(b"idempotency-key", b"").decode(),
            )
        )

    def write(self, status: int, body: bytes, more: bytes = b"") -> None:
        """An answer, unless the gateway has gone."""
        if not self.transport.is_closing():
            self.transport.write(
                b"HTTP/1.1 %d X\r\n%bContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%b"
                % (status, more, len(body), body)
            )
