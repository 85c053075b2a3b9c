"""The memory of a closed connection is released at its close, not when the garbage collector runs."""

from __future__ import annotations

import asyncio
import gc
from collections.abc import Callable, Iterator

import pytest
from conftest import LOOP, message, on_loop, reply
from fakes.client_connection import RecordingHandler, RecordingResponseProtocol
from fakes.hosted import Hosted

from hillmux.counter import Store
from hillmux.counter.service import CounterConnection, CounterServer
from hillmux.hosted.tenant_connection import TenantConnection
from hillmux.net.http1 import MAX_BUFFERED_BODY_BYTES
from hillmux.net.streaming_client import StreamingClientConnection, StreamingListener

CONNECTIONS = 5
INPUTS = {
    "silent": b"",
    "in_head": b"GET /api/x HTTP/1.1\r\nHost: a\r\n",
    "in_body": message("put", body=b"x" * 30_000)[:-100],
    "in_long_body": message("put", body=b"x" * 100_000)[:-100],
    "open": message(),
    "rejected": b"nonsense\r\n\r\n",
}


class DisconnectHandler(RecordingHandler):
    """Leaves all requests open."""

    def client_disconnected(self, request_id: str) -> None:
        """Forget the request's body, which refers to its client."""
        self.streamed_bodies.clear()

    def abort_request(self, request_id: str, status: int) -> None:
        self.streamed_bodies.clear()


@pytest.fixture(autouse=True)
def no_collector() -> Iterator[None]:
    """Switch the cyclic garbage collector off."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def instances(kind: type) -> int:
    """The number of objects of a class."""
    return sum(type(found) is kind for found in gc.get_objects())


async def until_released(*kinds: type) -> None:
    """Wait until no object of the classes is left; the limit of `on_loop` bounds the wait."""
    while any(instances(kind) for kind in kinds):
        await asyncio.sleep(0.02)


async def come_and_go(host: str, port: int, data: bytes, arrived: Callable[[], bool]) -> None:
    """Let clients connect, send and leave."""
    streams = [await asyncio.open_connection(host, port) for _ in range(CONNECTIONS)]
    for _, writer in streams:
        writer.write(data)
    while not arrived():
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.05)
    for _, writer in streams:
        writer.transport.abort()


@pytest.mark.parametrize("data", INPUTS.values(), ids=INPUTS)
def test_client_connection_is_released_at_its_close(data: bytes) -> None:
    async def scenario() -> None:
        listener = StreamingListener(DisconnectHandler(), asyncio.get_running_loop(), 1024)
        ((host, port),) = listener.start((LOOP, 0))
        await come_and_go(host, port, data, lambda: len(listener.connections) == CONNECTIONS)
        await until_released(StreamingClientConnection)
        assert listener.memory.used == 0
        listener.stop_accepting()

    on_loop(scenario, 10.0)


@pytest.mark.parametrize("answer", [b"", reply(b"x" * 1000)[:-1], reply(), b"HTTP/1.1 nonsense"])
def test_host_connection_is_released_at_its_close(answer: bytes) -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readexactly(7)
        writer.write(answer)
        await asyncio.sleep(0.05)
        writer.close()

    async def dial(port: int) -> None:
        protocol = RecordingResponseProtocol(MAX_BUFFERED_BODY_BYTES)
        await asyncio.get_running_loop().create_connection(protocol.as_protocol, LOOP, port)
        protocol.write(b"request")

    async def scenario() -> None:
        server = await asyncio.start_server(serve, LOOP, 0)
        for _ in range(CONNECTIONS):
            await dial(server.sockets[0].getsockname()[1])
        await until_released(RecordingResponseProtocol)
        server.close()

    on_loop(scenario, 10.0)


@pytest.mark.parametrize("data", [b"", b"POST /v1/count/a?add=1&ttl_ms=60000 HTTP/1.1\r\n"])
def test_counter_connection_is_released_at_its_close(data: bytes) -> None:
    async def scenario() -> None:
        server = CounterServer(Store(), asyncio.get_running_loop())
        host, port = await server.start(LOOP, 0)
        await come_and_go(host, port, data, lambda: len(server.connections) == CONNECTIONS)
        await until_released(CounterConnection)
        server.stop()

    on_loop(scenario, 10.0)


@pytest.mark.parametrize(
    "data", [b"", b"GET /a HTTP/1.1\r\n", b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n", b"nonsense\r\n\r\n"]
)
def test_tenant_connection_is_released_at_its_close(data: bytes) -> None:
    async def scenario() -> None:
        async with Hosted("a") as hosted:
            await come_and_go(LOOP, hosted.port, data, lambda: len(hosted.server.connections) == CONNECTIONS)
            await until_released(TenantConnection)

    on_loop(scenario, 10.0)
