"""Input with many pieces is parsed over many turns of the event loop, in order and without loss."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from pathlib import Path
from typing import Any

import pytest
from conftest import RID, Rig, instance, message, on_loop
from fakes.client_connection import (
    FlowControlledTransport,
    RecordingHandler,
    RecordingResponseProtocol,
    RecordingUpstream,
)
from fakes.raw import Peer, RawHost

from hillmux.net.client_input import MEMORY_CHECK_INTERVAL_S
from hillmux.net.http1 import MAX_BUFFERED_BODY_BYTES
from hillmux.net.parse_scheduler import MAX_PIECES_PER_READ, MAX_PIECES_PER_TURN, PARSE_SLICE_BYTES
from hillmux.net.response import Response
from hillmux.net.streaming_client import StreamingClientConnection, StreamingListener
from hillmux.net.unparsed_input import MAX_TOTAL_BYTES

READ_BYTES = 250_000  # what the event loop reads from one connection at most
SMALLEST_PIECE_BYTES = 4  # a header field without a value, as in `a:`, with its line end
MAX_PIECES_PER_SLICE = PARSE_SLICE_BYTES // SMALLEST_PIECE_BYTES
CHUNKED_HEAD = message("put", drop="Content-Length", more="Transfer-Encoding: chunked\r\n")
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
TIME_LEFT_S, MAX_LATE_S = 1.5, 0.55  # a request's time; how late its answer may come on real sockets


class CountingConnection(StreamingClientConnection):
    """A client connection that counts the pieces of bodies and heads that it has parsed."""

    parsed = 0

    def on_body(self, data: bytes) -> None:
        self.parsed += 1
        super().on_body(data)

    def on_header(self, name: bytes, value: bytes) -> None:
        self.parsed += 1
        super().on_header(name, value)


class CountingResponseProtocol(RecordingResponseProtocol):
    """A connection to a host that counts the pieces of bodies and collects streamed ones."""

    accepts_streams = True

    def __init__(self) -> None:
        super().__init__(MAX_BUFFERED_BODY_BYTES)
        self.parsed = 0
        self.parts: list[bytes] = []

    def on_body(self, data: bytes) -> None:
        self.parsed += 1
        super().on_body(data)

    def on_stream_start(self, response: Response) -> bool:
        return True

    def on_stream_data(self, data: bytes) -> None:
        self.parts.append(data)


def chunked(body: bytes, chunk_bytes: int = 1) -> bytes:
    """Encode a body in chunks, without the last one."""
    parts = (body[start : start + chunk_bytes] for start in range(0, len(body), chunk_bytes))
    return b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)


def open_listener(handler: RecordingHandler | None = None) -> StreamingListener:
    return StreamingListener(handler or RecordingHandler(), asyncio.get_running_loop(), 1024)


def open_connection(listener: StreamingListener) -> Any:
    connection: Any = CountingConnection(listener)
    connection.connection_made(FlowControlledTransport())
    return connection


def open_upstream() -> Any:
    protocol: Any = CountingResponseProtocol()
    protocol.connection_made(FlowControlledTransport())
    protocol.write(b"request")
    return protocol


async def pieces_by_turn(connections: list[Any]) -> list[int]:
    """The number of pieces that the connections parse in each turn, until all of them read or are closed."""
    pieces = []
    before = sum(c.parsed for c in connections)
    while not all(c.transport.reading or c.transport.is_closing() for c in connections):
        await asyncio.sleep(0)
        after = sum(c.parsed for c in connections)
        pieces.append(after - before)
        before = after
    return pieces


# --- One connection's part of a turn ---


def test_read_with_many_chunks_is_parsed_over_many_turns() -> None:
    """Guards against a client whose tiny chunks keep the loop from all other clients for seconds."""

    async def scenario() -> None:
        connection = open_connection(open_listener())
        body = bytes(i % 251 for i in range(READ_BYTES // 6))
        connection.data_received(CHUNKED_HEAD + chunked(body))
        assert connection.parsed <= MAX_PIECES_PER_READ + MAX_PIECES_PER_SLICE
        assert not connection.transport.reading
        turns = await pieces_by_turn([connection])
        assert max(turns) <= MAX_PIECES_PER_READ + MAX_PIECES_PER_SLICE
        assert connection.parsed > len(body)

    on_loop(scenario, 20)


def test_connections_with_many_chunks_share_a_turn() -> None:
    """Guards against a turn that grows with the number of clients with tiny chunks."""

    async def scenario() -> None:
        listener = open_listener()
        connections = [open_connection(listener) for _ in range(30)]
        for connection in connections:
            connection.data_received(CHUNKED_HEAD + chunked(b"x" * 20_000))
        turns = await pieces_by_turn(connections)
        assert max(turns) <= MAX_PIECES_PER_TURN + MAX_PIECES_PER_SLICE
        for connection in connections:  # each read by itself may be parsed at once, but the last one was not
            connection.data_received(chunked(b"x" * 2_000))
        assert all(not connection.transport.reading for connection in connections)
        turns = await pieces_by_turn(connections)
        assert max(turns) <= MAX_PIECES_PER_TURN + MAX_PIECES_PER_SLICE

    on_loop(scenario, 20)


def test_heads_with_many_fields_are_parsed_over_many_turns() -> None:
    """Guards against pipelined heads of thousands of header fields that occupy a turn."""

    async def scenario() -> None:
        connection = open_connection(open_listener())
        fields = "".join(f"{i:x}:\r\n" for i in range(4000))
        head = message(more=fields)
        connection.data_received(b"".join(head.replace(b"Host", b"Host%d" % i) for i in range(8)))
        assert connection.parsed <= MAX_PIECES_PER_READ + MAX_PIECES_PER_SLICE
        turns = await pieces_by_turn([connection])
        assert max(turns, default=0) <= MAX_PIECES_PER_READ + MAX_PIECES_PER_SLICE

    on_loop(scenario, 20)


def test_response_with_many_chunks_is_parsed_over_many_turns() -> None:
    """Guards against a host whose tiny chunks keep the loop from all clients."""

    async def scenario() -> None:
        connection = open_upstream()
        body = bytes(i % 251 for i in range(READ_BYTES // 6))
        data = RESPONSE_HEAD + chunked(body) * 2 + LAST_CHUNK
        for start in range(0, len(data), READ_BYTES):
            connection.data_received(data[start : start + READ_BYTES])
            turns = await pieces_by_turn([connection])
            assert max(turns) <= MAX_PIECES_PER_READ + MAX_PIECES_PER_SLICE
        assert b"".join(connection.parts) == body * 2
        ((response, reusable),) = connection.received
        assert response.streamed and reusable

    on_loop(scenario, 20)


@pytest.mark.parametrize("surplus", [b"", b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", b"noise"])
def test_deferred_response_is_delivered_once_all_input_read_with_it_is_checked(surplus: bytes) -> None:
    """Guards against reuse of a connection with a surplus response that was deferred."""

    async def scenario() -> None:
        connection = open_upstream()
        connection.data_received(RESPONSE_HEAD + chunked(b"y" * 30_000) + LAST_CHUNK + surplus)
        assert not connection.received
        await pieces_by_turn([connection])
        ((response, reusable),) = connection.received
        assert response.body == b"y" * 30_000
        assert reusable == (not surplus) == (not connection.transport.is_closing())

    on_loop(scenario, 20)


def test_lost_connection_ends_deferred_parsing() -> None:
    """Guards against work for a connection that is closed, and against memory that is still counted."""

    async def scenario() -> None:
        listener = open_listener()
        client, host = open_connection(listener), open_upstream()
        client.data_received(CHUNKED_HEAD + chunked(b"x" * 30_000))
        host.data_received(RESPONSE_HEAD + chunked(b"x" * 30_000))
        parsed = client.parsed, host.parsed
        for connection in (client, host):
            connection.transport.abort()
            connection.connection_lost(None)
        for _ in range(20):
            await asyncio.sleep(0)
        assert (client.parsed, host.parsed) == parsed
        assert listener.unparsed_total.size == 0

    on_loop(scenario, 20)


def test_expensive_connection_does_not_read_while_unparsed_input_is_over_its_limit() -> None:
    """Guards against a read of each such connection that is held in memory at once."""

    async def scenario() -> None:
        listener = open_listener()
        connection = open_connection(listener)
        connection.data_received(CHUNKED_HEAD + chunked(b"x" * 20_000))
        held = MAX_TOTAL_BYTES + 1  # by other connections
        listener.unparsed_total.size += held
        while connection.parsed < 20_000:
            await asyncio.sleep(0)
        await asyncio.sleep(3 * MEMORY_CHECK_INTERVAL_S)
        assert not connection.transport.reading
        listener.unparsed_total.size -= held
        await pieces_by_turn([connection])
        assert connection.transport.reading and listener.unparsed_total.size == 0

    on_loop(scenario, 20)


# --- Writes ---


def test_chunks_of_a_streamed_body_are_written_together() -> None:
    """Guards against a system call for each chunk of a body that is forwarded to a host."""

    async def scenario() -> None:
        handler, upstream = RecordingHandler(), RecordingUpstream()
        connection = open_connection(open_listener(handler))
        body = bytes(i % 251 for i in range(200_000))
        data = CHUNKED_HEAD + chunked(body) + LAST_CHUNK
        for start in range(0, len(data), READ_BYTES):
            connection.data_received(data[start : start + READ_BYTES])
            if handler.streamed_bodies and not upstream.attached:
                upstream.attach(handler.streamed_bodies[0])
            await pieces_by_turn([connection])
        assert upstream.body() == body and upstream.finished
        assert len(upstream.written) <= len(data) // PARSE_SLICE_BYTES + len(data) // READ_BYTES + 2

    on_loop(scenario, 20)


# --- Requests whose input was deferred ---


def test_time_of_a_deferred_request_runs_from_its_arrival() -> None:
    """Guards against a deadline that starts only when deferred input is parsed."""

    async def scenario() -> None:
        handler = RecordingHandler()
        connection = open_connection(open_listener(handler))
        connection.data_received(CHUNKED_HEAD + chunked(b"x" * 30_000) + LAST_CHUNK)
        arrived_at = time.monotonic()
        assert not handler.ids
        await pieces_by_turn([connection])
        assert handler.bodies == [b"x" * 30_000]
        assert handler.read_at[0] <= arrived_at
        connection.answer(200)
        for part in (message(rid=b"later")[:20], message(rid=b"later")[20:]):
            arrived_at = time.monotonic()
            connection.data_received(part)
            await pieces_by_turn([connection])
        assert handler.read_at[1] >= arrived_at

    on_loop(scenario, 20)


def test_deferred_body_is_not_timed_out_as_stalled() -> None:
    """Guards against a 408 for a body that waits to be parsed."""

    async def scenario() -> None:
        handler = RecordingHandler()
        connection = open_connection(open_listener(handler))
        connection.data_received(CHUNKED_HEAD + chunked(b"x" * 30_000) + LAST_CHUNK)
        connection.check_timeouts(connection.waiting_since + 60)
        await pieces_by_turn([connection])
        assert handler.bodies == [b"x" * 30_000]
        assert not connection.can_close_without_loss() or not connection.transport.written

    on_loop(scenario, 20)


@pytest.mark.parametrize("seed", range(40))
def test_random_input_arrives_complete_and_in_order(seed: int) -> None:
    """Guards against input that is lost or parsed out of order where it is deferred and held in turn."""

    async def scenario() -> None:
        rng = random.Random(seed)
        handler = RecordingHandler()
        listener = open_listener(handler)
        connection = open_connection(listener)
        bodies = [rng.randbytes(rng.choice((0, 10, 3_000, 40_000))) for _ in range(14)]
        data = b"".join(
            message("put", rid=b"id-%d" % i, drop="Content-Length", more="Transfer-Encoding: chunked\r\n")
            + chunked(body, rng.choice((1, 2, 50, 5_000)))
            + LAST_CHUNK
            for i, body in enumerate(bodies)
        )
        answers, max_read = 0, rng.choice((200, 20_000, 250_000))
        while answers < len(bodies):
            if data and connection.transport.reading and rng.random() < 0.6:
                length = rng.randint(1, max_read)
                connection.data_received(data[:length])
                data = data[length:]
            elif answers < len(handler.ids) and rng.random() < 0.5:
                answers += 1
                connection.answer(200, b"ok")
            else:
                await asyncio.sleep(0)
        assert handler.bodies == bodies
        assert handler.ids == [b"id-%d" % i for i in range(len(bodies))]
        assert all(line.startswith(b"HTTP/1.1 200") for line in connection.transport.written)
        await pieces_by_turn([connection])
        assert listener.unparsed_total.size == 0

    on_loop(scenario, 30)


# --- A gateway process between clients with tiny chunks and usual ones ---


async def send_tiny_chunks(port: int, number: int) -> None:
    """Send chunks of one byte at full speed until cancelled, on a new connection whenever one is closed."""
    head = CHUNKED_HEAD.replace(RID, b"bad-%d" % number).replace(b"b4d65521", b"b4d6%04x" % number)
    while True:
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        with contextlib.suppress(ConnectionError):
            writer.write(head)
            while True:
                writer.write(b"1\r\nx\r\n" * 10_000)
                await writer.drain()
        writer.close()


def test_usual_clients_are_answered_in_time_beside_clients_with_tiny_chunks(tmp_path: Path) -> None:
    """Guards against usual requests that get no answer because the loop parses others' chunks."""

    async def scenario() -> None:
        async def script(peer: Peer) -> None:
            while True:
                head = await peer.head()
                if "chunked" in head:
                    while await peer.reader.read(1 << 20):
                        pass
                    return
                await peer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

        host = await RawHost(script).start()
        rig = Rig(tmp_path, operated=True)
        rig.others = [instance("r-0", host.port)]
        async with rig:
            senders = [asyncio.create_task(send_tiny_chunks(rig.port, i)) for i in range(16)]
            await asyncio.sleep(0.3)
            for i in range(10):
                request = message(rid=b"usual-%d" % i, deadline=f"{TIME_LEFT_S * 1000:.0f}m")
                async with asyncio.timeout(TIME_LEFT_S + MAX_LATE_S):
                    assert await rig.status(request) in (200, 503)
            assert (await rig.figures())["parse_deferrals"] > 0
            for sender in senders:
                sender.cancel()
            await asyncio.gather(*senders, return_exceptions=True)
        host.stop()

    on_loop(scenario, 60)
