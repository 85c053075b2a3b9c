"""Memory held for input that arrives in small pieces: it follows the bytes, not the number of pieces."""

from __future__ import annotations

import asyncio
import tracemalloc
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from conftest import message, on_loop
from fakes.client_connection import FlowControlledTransport, RecordingHandler, RecordingResponseProtocol

from hillmux.net.http1 import MAX_BUFFERED_BODY_BYTES, MAX_ENDPOINT_LIST_BYTES
from hillmux.net.streamed_body import MAX_REPLAYABLE_BYTES
from hillmux.net.streaming_client import StreamingClientConnection, StreamingListener
from hillmux.net.unparsed_input import MAX_CONNECTION_BYTES

READ_BYTES = 16_000  # input that the connection is given at a time
# The bounds in docs/platform.md are bounds of memory: a buffer may grow ahead of its data, not more.
MAX_BYTES_HELD_PER_BYTE = 2.0
CONNECTION_OVERHEAD_BYTES = 32 * 1024  # parser, connection and its containers, whatever it receives
CHUNKED_HEAD = message("put", drop="Content-Length", more="Transfer-Encoding: chunked\r\n")
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunks(body_bytes: int, chunk_bytes: int) -> bytes:
    """Encode the beginning of a chunked body, without its last chunk."""
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, (b"xy" * chunk_bytes)[:chunk_bytes])
    return chunk * (body_bytes // chunk_bytes)


async def held_bytes(feed: Callable[[], Awaitable[Any]]) -> int:
    """The memory that is allocated by `feed` and still held while its result is alive."""
    tracemalloc.start()
    try:
        result = await feed()
        held, _ = tracemalloc.get_traced_memory()
        assert result is not None
        return held
    finally:
        tracemalloc.stop()


def open_connection() -> Any:
    """A client connection on a transport that records."""
    listener = StreamingListener(RecordingHandler(), asyncio.get_running_loop(), 1024)
    connection: Any = StreamingClientConnection(listener)
    connection.connection_made(FlowControlledTransport())
    return connection


def open_upstream(max_body_bytes: int) -> Any:
    """A connection to a host on which one response is due."""
    protocol: Any = RecordingResponseProtocol(max_body_bytes)
    protocol.connection_made(FlowControlledTransport())
    protocol.write(b"request")
    return protocol


async def feed_in_reads(connection: Any, data: bytes) -> None:
    """Pass input to a connection in reads of READ_BYTES, whenever it reads."""
    for start in range(0, len(data), READ_BYTES):
        connection.data_received(data[start : start + READ_BYTES])
        await until_reading(connection)


async def until_reading(connection: Any) -> None:
    """Let the event loop run until the connection reads; the test's own time-out ends a wait in vain."""
    while not connection.transport.reading:
        await asyncio.sleep(0)


@pytest.mark.parametrize("chunk_bytes", [1, 2, 3, 16, 1000])
def test_incomplete_body_in_small_chunks_holds_memory_for_its_bytes_only(chunk_bytes: int) -> None:
    """Guards against the memory limit being exceeded by bodies of 63 KB in chunks of two bytes."""

    async def scenario() -> None:
        body_bytes = 63_000

        async def feed() -> Any:
            connection = open_connection()
            await feed_in_reads(connection, CHUNKED_HEAD + chunks(body_bytes, chunk_bytes))
            return connection

        assert await held_bytes(feed) < MAX_BYTES_HELD_PER_BYTE * body_bytes + CONNECTION_OVERHEAD_BYTES

    on_loop(scenario, 20)


@pytest.mark.parametrize("chunk_bytes", [1, 2, 3, 16])
def test_streamed_body_in_small_chunks_is_kept_for_a_retry_within_its_bytes(chunk_bytes: int) -> None:
    """Guards against a replay buffer with an object for each chunk."""

    async def scenario() -> None:
        body_bytes = MAX_REPLAYABLE_BYTES - 1000

        async def feed() -> Any:
            connection = open_connection()
            await feed_in_reads(connection, CHUNKED_HEAD + chunks(body_bytes, chunk_bytes))
            return connection

        assert await held_bytes(feed) < MAX_BYTES_HELD_PER_BYTE * body_bytes + CONNECTION_OVERHEAD_BYTES

    on_loop(scenario, 20)


@pytest.mark.parametrize("piece_bytes", [1, 2, 7])
def test_small_reads_behind_an_open_request_pause_reading_within_the_limit(piece_bytes: int) -> None:
    """Guards against a limit on unparsed input that counts bytes while each read costs an object."""

    async def scenario() -> None:
        connection = open_connection()
        connection.data_received(message())
        connection.data_received(message(rid=b"second"))
        piece = message(rid=b"third")[:piece_bytes]

        async def feed() -> Any:
            while connection.transport.reading:
                connection.data_received(bytes(bytearray(piece)))  # each read makes an object of its own
            return connection

        assert (
            await held_bytes(feed)
            < MAX_BYTES_HELD_PER_BYTE * MAX_CONNECTION_BYTES + CONNECTION_OVERHEAD_BYTES
        )

    on_loop(scenario, 20)


@pytest.mark.parametrize("limit", [MAX_BUFFERED_BODY_BYTES, MAX_ENDPOINT_LIST_BYTES // 8])
@pytest.mark.parametrize("chunk_bytes", [1, 2, 16])
def test_incomplete_response_in_small_chunks_holds_memory_for_its_bytes_only(
    limit: int, chunk_bytes: int
) -> None:
    """Guards against an object for each chunk of a response of a host, the counter or discovery."""

    async def scenario() -> None:
        body_bytes = limit - 100

        async def feed() -> Any:
            protocol = open_upstream(limit)
            await feed_in_reads(protocol, RESPONSE_HEAD + chunks(body_bytes, chunk_bytes))
            return protocol

        assert await held_bytes(feed) < MAX_BYTES_HELD_PER_BYTE * body_bytes + CONNECTION_OVERHEAD_BYTES

    on_loop(scenario, 20)


def test_response_head_with_many_fields_is_malformed() -> None:
    """Guards against tens of thousands of header fields that are held although their bytes are few."""

    async def scenario() -> None:
        protocol = open_upstream(MAX_BUFFERED_BODY_BYTES)
        protocol.data_received(b"HTTP/1.1 200 OK\r\n" + b"".join(b"%x:\r\n" % i for i in range(8000)))
        assert protocol.malformed == 1

    on_loop(scenario, 20)
