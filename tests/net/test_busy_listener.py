"""A listener whose connections are all busy rejects further clients instead of leaving them unread."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import pytest
from conftest import LOOP, message, on_loop, read_message
from fakes.client_connection import RecordingHandler

from hillmux.net.forward_request import ForwardRequest
from hillmux.net.streaming_client import StreamingListener

SOCKETS = 256
SOCKETS_FOR_ONE_CLIENT = 2
WAIT_S, TOLERANCE_S = 0.4, 0.1
LIMIT_S = 1.0


class BusyHandler(RecordingHandler):
    """Leaves all requests open, also those of clients that have left."""

    def client_disconnected(self, request_id: str) -> None:
        """Nothing to end."""


class AnsweringHandler(BusyHandler):
    """Leaves the answers to the test."""

    def __init__(self) -> None:
        super().__init__()
        self.clients: list[Any] = []

    def request(self, client: Any, forward_request: ForwardRequest) -> str:
        """Keep the client, to be answered later."""
        self.clients.append(client)
        return super().request(client, forward_request)


def test_client_beyond_the_busy_connections_is_rejected_at_once() -> None:
    async def scenario() -> None:
        handler = BusyHandler()
        listener = StreamingListener(handler, asyncio.get_running_loop(), SOCKETS)
        ((host, port),) = listener.start((LOOP, 0))
        busy = []
        for number in range(SOCKETS // 2):
            busy.append(await asyncio.open_connection(host, port))
            busy[-1][1].write(message(rid=b"busy-%d" % number))
        while len(handler.ids) < SOCKETS // 2:
            await asyncio.sleep(0.01)
        for number in range(40):  # more than are accepted beyond the capacity at a time
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(message(rid=b"more-%d" % number))
            async with asyncio.timeout(LIMIT_S):
                seen = await read_message(reader, writer)
                assert seen.line.split()[1] == "503" and seen.headers["connection"] == "close"
                assert "retry-after" in seen.headers
            writer.close()
        assert len(handler.ids) == SOCKETS // 2
        for _, writer in busy:
            writer.close()
        listener.stop_accepting()

    on_loop(scenario)


def test_answer_is_sent_before_its_connection_gives_way_to_a_waiting_client() -> None:
    async def scenario() -> None:
        handler = AnsweringHandler()
        listener = StreamingListener(handler, asyncio.get_running_loop(), SOCKETS_FOR_ONE_CLIENT)
        ((host, port),) = listener.start((LOOP, 0))
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(message(rid=b"first"))
        while not handler.clients:
            await asyncio.sleep(0.01)
        waiting_reader, waiting_writer = await asyncio.open_connection(host, port)
        waiting_writer.write(message(rid=b"second"))
        await asyncio.sleep(0.1)  # until the listener has found no room for it
        handler.clients[0].answer(200, b"first")
        assert (await read_message(reader, writer)).body == b"first"
        while len(handler.clients) < 2:
            await asyncio.sleep(0.01)
        handler.clients[1].answer(200, b"second")
        assert (await read_message(waiting_reader, waiting_writer)).body == b"second"
        for open_writer in (writer, waiting_writer):
            open_writer.close()
        listener.stop_accepting()

    on_loop(scenario)


def open_at_capacity() -> tuple[AnsweringHandler, StreamingListener, str, int]:
    """A listener with room for one client."""
    handler = AnsweringHandler()
    listener = StreamingListener(handler, asyncio.get_running_loop(), SOCKETS_FOR_ONE_CLIENT)
    ((host, port),) = listener.start((LOOP, 0))
    return handler, listener, host, port


async def until_requests(handler: AnsweringHandler, count: int) -> None:
    """Wait until the handler has got so many requests."""
    async with asyncio.timeout(LIMIT_S):
        while len(handler.clients) < count:
            await asyncio.sleep(0.01)


def test_connection_is_not_evicted_while_its_next_request_is_being_read() -> None:
    async def scenario() -> None:
        handler, listener, host, port = open_at_capacity()
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(message(rid=b"first"))
        await until_requests(handler, 1)
        _, waiting_writer = await asyncio.open_connection(host, port)
        await asyncio.sleep(0.1)  # until the listener has found no room for it
        writer.write(message(rid=b"second"))  # unread until the next turn of the loop
        handler.clients[0].answer(200, b"first")
        assert (await read_message(reader, writer)).body == b"first"
        await until_requests(handler, 2)
        await asyncio.sleep(0.05)
        handler.clients[1].answer(200, b"second")
        assert (await read_message(reader, writer)).body == b"second"
        for open_writer in (writer, waiting_writer):
            open_writer.close()
        listener.stop_accepting()

    on_loop(scenario)


@pytest.mark.parametrize("more", [1, 5])
def test_connection_is_not_evicted_while_pipelined_requests_are_queued(more: int) -> None:
    async def scenario() -> None:
        handler, listener, host, port = open_at_capacity()
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(b"".join(message(rid=b"queued-%d" % i) for i in range(1 + more)))
        await until_requests(handler, 1)
        _, waiting_writer = await asyncio.open_connection(host, port)
        await asyncio.sleep(0.1)
        for number in range(1 + more):
            await until_requests(handler, number + 1)
            await asyncio.sleep(0.02)
            handler.clients[number].answer(200, b"%d" % number)
            assert (await read_message(reader, writer)).body == b"%d" % number
        for open_writer in (writer, waiting_writer):
            open_writer.close()
        listener.stop_accepting()

    on_loop(scenario)


def test_client_whose_incomplete_request_gives_way_is_answered() -> None:
    async def scenario() -> None:
        handler, listener, host, port = open_at_capacity()
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(message("put", body=b"x" * 500)[:-100])
        await asyncio.sleep(0.1)
        waiting_reader, waiting_writer = await asyncio.open_connection(host, port)
        waiting_writer.write(message(rid=b"waiting"))
        async with asyncio.timeout(LIMIT_S):
            seen = await read_message(reader, writer)
        assert seen.line.split()[1] == "503" and seen.headers["connection"] == "close"
        await until_requests(handler, 1)
        handler.clients[0].answer(200)
        assert (await read_message(waiting_reader, waiting_writer)).line.split()[1] == "200"
        for open_writer in (writer, waiting_writer):
            open_writer.close()
        listener.stop_accepting()

    on_loop(scenario)


def test_time_of_a_request_runs_while_its_connection_waits_to_be_accepted() -> None:
    async def scenario() -> None:
        handler, listener, host, port = open_at_capacity()
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(message(rid=b"first"))
        await until_requests(handler, 1)
        _, waiting_writer = await asyncio.open_connection(host, port)
        waiting_writer.write(message(rid=b"waiting"))
        sent_at = time.monotonic()
        await asyncio.sleep(WAIT_S)
        writer.close()  # makes room
        await until_requests(handler, 2)
        assert handler.read_at[1] - sent_at < TOLERANCE_S
        waiting_writer.close()
        listener.stop_accepting()

    on_loop(scenario)
