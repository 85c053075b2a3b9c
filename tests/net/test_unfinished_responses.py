"""What a parser holds of a response is limited, and charged before it is kept."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

from conftest import on_loop
from fakes.client_connection import FlowControlledTransport, RecordingResponseProtocol

from hillmux.interface import AttemptResult
from hillmux.net.attempt import Attempt
from hillmux.net.http1 import MAX_BUFFERED_BODY_BYTES, MAX_TRAILER_FIELD_BYTES
from hillmux.net.memory_budget import COPIES, MIB, MemoryBudget
from hillmux.net.memory_waiters import MAX_MEMORY_WAIT_S
from hillmux.net.response import KEPT_HEADERS, Response
from hillmux.net.upstream_connection import UpstreamConnection, UpstreamHost
from hillmux.net.upstream_pool import UpstreamPool

PIECE_BYTES = 1000
CHUNKED_RESPONSE = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n"


def pieces(data: bytes) -> Iterator[bytes]:
    return (data[start : start + PIECE_BYTES] for start in range(0, len(data), PIECE_BYTES))


def protocol_with_request() -> RecordingResponseProtocol:
    """A connection to a host on which a request was written."""
    protocol = RecordingResponseProtocol(MAX_BUFFERED_BODY_BYTES)
    protocol.connection_made(FlowControlledTransport())
    protocol.write(b"request")
    return protocol


def test_endless_trailer_field_of_a_response_is_malformed() -> None:
    async def scenario() -> None:
        protocol = protocol_with_request()
        body = b"%x\r\n" % 60_000 + b"x" * 60_000 + b"\r\n"
        for piece in pieces(CHUNKED_RESPONSE + body + b"0\r\nt: " + b"x" * MAX_TRAILER_FIELD_BYTES):
            protocol.data_received(piece)
        assert not protocol.malformed
        for piece in pieces(b"x" * 2 * PIECE_BYTES):
            protocol.data_received(piece)
        assert protocol.malformed == 1 and not protocol.received

    on_loop(scenario)


def test_response_with_a_trailer_field_within_the_limit_is_delivered() -> None:
    async def scenario() -> None:
        protocol = protocol_with_request()
        for piece in pieces(CHUNKED_RESPONSE + b"0\r\nt: " + b"x" * 7000 + b"\r\n\r\n"):
            protocol.data_received(piece)
        assert [response.body for response, _ in protocol.received] == [b"x"]

    on_loop(scenario)


def test_fields_of_a_response_that_are_not_used_are_not_kept() -> None:
    async def scenario() -> None:
        protocol = protocol_with_request()
        fields = b"".join(b"f%d: v\r\n" % number for number in range(1000))
        protocol.data_received(b"HTTP/1.1 200 OK\r\n" + fields + b"Content-Length: 1\r\n\r\nx")
        ((response, _),) = protocol.received
        assert response.headers == {b"content-length": b"1"} and set(response.headers) <= KEPT_HEADERS

    on_loop(scenario)


class Host:
    """A connection to a host without a socket, while the budget is in use; records how attempts end."""

    def __init__(self) -> None:
        self.ended: list[AttemptResult] = []
        self.memory = MemoryBudget(4 * MIB)
        loop = asyncio.get_running_loop()
        self.pool = UpstreamPool(loop, 1, 100, 1000, self._ended, memory=self.memory)
        self.transport = FlowControlledTransport()
        self.connection = UpstreamConnection(self.pool, UpstreamHost("h", ("127.0.0.1", 1)))
        self.connection.connection_made(self.transport)
        self.others = self.memory.force(self.memory.reservable)
        attempt = Attempt("r1", 0, "h", b"GET / HTTP/1.1\r\n", b"", 0.0, 1e9)
        self.connection.start_attempt(attempt)
        self.connection.data_received(b"HTTP/1.1 200 OK\r\nf: " + b"x" * 5000)

    def _ended(self, attempt: Attempt, result: AttemptResult, response: Response | None) -> None:
        self.ended.append(result)


def test_response_head_waits_unread_until_there_is_memory() -> None:
    async def scenario() -> None:
        host = Host()
        assert not host.transport.reading
        host.others.release()
        while not host.transport.reading:
            await asyncio.sleep(0.01)
        assert host.connection._reservation is not None
        assert host.connection._reservation.size >= COPIES * MAX_BUFFERED_BODY_BYTES
        host.connection.data_received(b"\r\nContent-Length: 1\r\n\r\nx")
        assert host.ended == [AttemptResult.OK]

    on_loop(scenario)


def test_attempt_ends_if_there_is_no_memory_for_its_response_head() -> None:
    async def scenario() -> None:
        host = Host()
        started_at = asyncio.get_running_loop().time()
        while not host.ended:
            await asyncio.sleep(0.01)
        assert asyncio.get_running_loop().time() - started_at >= MAX_MEMORY_WAIT_S
        assert host.ended == [AttemptResult.MALFORMED_RESPONSE] and host.transport.closed
        assert host.memory.rejections == 1

    on_loop(scenario)


def test_streamed_response_ends_if_there_is_no_memory_for_its_trailer_field() -> None:
    async def scenario() -> None:
        host = Host()
        host.others.release()
        host.connection.retry_reservation()
        host.connection.data_received(b"\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nt: ")
        host.connection._streaming = True
        reservation = host.connection._reservation
        assert reservation is not None
        reservation.shrink(COPIES * host.memory.window)
        host.connection.data_received(b"x" * PIECE_BYTES)
        assert reservation.size == COPIES * host.memory.window + PIECE_BYTES
        others = host.memory.force(host.memory.reservable)
        host.connection.data_received(b"x" * PIECE_BYTES)
        others.release()
        assert host.ended == [AttemptResult.MALFORMED_RESPONSE] and host.transport.closed

    on_loop(scenario)
