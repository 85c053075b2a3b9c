"""What a parser holds of an unfinished request is limited, charged, and released with its request."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from typing import Any

import pytest
from conftest import message, on_loop
from fakes.client_connection import FlowControlledTransport, RecordingHandler
from fakes.hosted import Hosted

from hillmux.net.http1 import MAX_TRAILER_FIELD_BYTES
from hillmux.net.memory_budget import COPIES, MIB, MemoryBudget
from hillmux.net.request_parser import CLOSED_PARSER
from hillmux.net.streaming_client import StreamingClientConnection, StreamingListener

PIECE_BYTES = 1000
CHUNKED = message("put", drop="Content-Length", more="Transfer-Encoding: chunked\r\n")
ONE_BYTE_BODY = CHUNKED + b"1\r\nx\r\n"
LONG_BODY = CHUNKED + b"%x\r\n" % 200_000 + b"x" * 200_000 + b"\r\n"
UNFINISHED = {
    "field_of_first_head": (message()[:-2], b"f" * 20_000),
    "field_behind_a_complete_request": (message(rid=b"a") + message(rid=b"b")[:-2], b"f: " + b"x" * 20_000),
    "trailer_in_the_read_of_its_body": (ONE_BYTE_BODY, b"0\r\nt: " + b"x" * 20_000),
}


class AbortedRequests(RecordingHandler):
    """Records with which statuses requests are ended whose bodies will not be complete."""

    def __init__(self) -> None:
        super().__init__()
        self.aborted: list[int] = []

    def abort_request(self, request_id: str, status: int) -> None:
        self.aborted.append(status)


class Client:
    """A client's connection without a socket."""

    def __init__(self, budget_bytes: int = 16 * MIB) -> None:
        self.listener = StreamingListener(
            RecordingHandler(), asyncio.get_running_loop(), 1024, MemoryBudget(budget_bytes)
        )
        self.transport = FlowControlledTransport()
        self.connection = StreamingClientConnection(self.listener)
        self.connection.connection_made(self.transport)
        self.used_at_start = self.listener.memory.used

    def charged(self) -> int:
        return self.listener.memory.used - self.used_at_start

    def feed(self, data: bytes) -> None:
        """Feed input as pieces."""
        for piece in pieces(data):
            self.connection.data_received(piece)


def pieces(data: bytes) -> Iterator[bytes]:
    return (data[start : start + PIECE_BYTES] for start in range(0, len(data), PIECE_BYTES))


@pytest.mark.parametrize(("before", "unfinished"), UNFINISHED.values(), ids=UNFINISHED)
def test_unfinished_element_of_a_request_is_charged(before: bytes, unfinished: bytes) -> None:
    async def scenario() -> None:
        client = Client()
        client.connection.data_received(before + unfinished)
        assert client.charged() >= len(unfinished)

    on_loop(scenario)


@pytest.mark.parametrize("body", [ONE_BYTE_BODY, LONG_BODY], ids=["one_byte", "streamed"])
def test_endless_trailer_field_ends_its_request_and_releases_its_memory(body: bytes) -> None:
    async def scenario() -> None:
        client = Client()
        handler = client.connection._handler = AbortedRequests()
        client.feed(body + b"0\r\nt: " + b"x" * MAX_TRAILER_FIELD_BYTES)
        assert not client.connection._closing
        client.feed(b"x" * 2 * PIECE_BYTES)
        if body == ONE_BYTE_BODY:
            assert client.connection._parser is CLOSED_PARSER
            assert client.transport.written[-1].startswith(b"HTTP/1.1 400")
            assert client.charged() == 0
        else:
            assert handler.aborted == [400]

    on_loop(scenario)


@pytest.mark.parametrize(
    "end", [b"0\r\nt: " + b"x" * 7000 + b"\r\n\r\n", b"0;e=" + b"x" * 7000 + b"\r\n\r\n"]
)
def test_request_with_a_trailer_field_or_extension_within_the_limit_is_complete(end: bytes) -> None:
    async def scenario() -> None:
        client = Client()
        tiny_chunks = b"1\r\nx\r\n" * 3000
        client.connection.data_received(CHUNKED + tiny_chunks + b"1")
        client.connection.data_received(b"\r")  # no element ends in this piece
        client.connection.data_received(b"\nx\r\n")
        client.feed(end)
        handler: Any = client.connection._handler
        while not handler.bodies:  # expensive input is parsed in later turns of the loop
            assert not client.transport.written
            await asyncio.sleep(0.01)
        assert handler.bodies == [b"x" * 3001]

    on_loop(scenario)


def test_trailer_field_of_a_streamed_body_is_charged_or_ends_its_request() -> None:
    async def scenario() -> None:
        client = Client()
        handler = client.connection._handler = AbortedRequests()
        client.feed(LONG_BODY + b"0\r\nt: ")
        (body,) = handler.streamed_bodies
        window = COPIES * client.connection.window()
        body.reservation.shrink(window)
        client.feed(b"x" * 4 * PIECE_BYTES)
        assert body.reservation.size >= window + 3 * PIECE_BYTES
        others = client.listener.memory.force(client.listener.memory.reservable)
        client.feed(b"x" * PIECE_BYTES)
        assert handler.aborted == [503]
        others.release()

    on_loop(scenario)


def test_rejected_request_releases_its_parser_before_the_connection_is_closed() -> None:
    async def scenario() -> None:
        client = Client()
        client.feed(message()[:-2] + b"f: " + b"x" * 40_000)
        assert client.transport.written[-1].startswith(b"HTTP/1.1 400")
        assert client.connection._parser is CLOSED_PARSER
        assert client.charged() == 0

    on_loop(scenario)


def test_incomplete_request_behind_the_last_response_is_released_with_the_response() -> None:
    async def scenario() -> None:
        client = Client()
        last = message(more="Connection: close\r\n")
        client.connection.data_received(last)
        client.connection.answer(200)
        assert client.connection._message is None and client.connection._parser is CLOSED_PARSER

    on_loop(scenario)


def test_unfinished_element_is_charged_to_the_buffer_share_of_the_hosted_service() -> None:
    async def scenario() -> None:
        async with Hosted("a") as hosted:
            _, writer = await asyncio.open_connection("127.0.0.1", hosted.port)
            writer.write(b"GET /a HTTP/1.1\r\nHost: a\r\nf: " + b"x" * 20_000)
            connections: Any = hosted.server.connections
            while not any(connection.receiving_bytes >= 20_000 for connection in connections):
                await asyncio.sleep(0.01)
            writer.close()

    on_loop(scenario, 10.0)
