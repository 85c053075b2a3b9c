"""Closing client connections: no response is lost, and no request that had already arrived."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest
from conftest import message, on_loop
from fakes.desk import FakeRequestHandler, closes_in_order, read_responses

from hillmux.net.client_timeouts import FIRST_REQUEST_GRACE_S, KEEP_ALIVE_TIMEOUT_S
from hillmux.net.listener import MAX_ACCEPTS_PER_TURN
from hillmux.net.shutdown import Shutdown


def drain(handler: FakeRequestHandler) -> None:
    handler.listener.close_idle()


def time_out(handler: FakeRequestHandler) -> None:
    for connection in list(handler.listener.connections):
        connection.check_timeouts(asyncio.get_running_loop().time() + KEEP_ALIVE_TIMEOUT_S + 1)


def evict(handler: FakeRequestHandler) -> None:
    """Evict an idle connection because the descriptor limit is reached."""
    handler.listener.max_connections = len(handler.listener.connections)
    handler.listener.ensure_capacity()


CLOSE_FUNCTIONS = [drain, time_out, evict]


@pytest.mark.parametrize("close_connections", CLOSE_FUNCTIONS)
def test_arrived_request_is_served_before_its_connection_closes(
    close_connections: Callable[[FakeRequestHandler], None],
) -> None:
    async def scenario() -> None:
        handler = FakeRequestHandler()
        client = handler.connect()
        client.sendall(message(rid=b"first"))
        await handler.wait_for_requests(1)
        handler.answer_all()
        assert await read_responses(client) == [b"first"]
        await asyncio.sleep(0.01)
        client.setblocking(True)
        client.sendall(message(rid=b"crossing"))  # in the socket buffer; the loop has not run since
        close_connections(handler)
        await handler.wait_for_requests(2)
        handler.answer_all()
        assert await read_responses(client) == [b"crossing"]
        client.close()

    on_loop(scenario, 5)


@pytest.mark.parametrize("close_connections", CLOSE_FUNCTIONS)
def test_response_just_written_is_sent_before_close(
    close_connections: Callable[[FakeRequestHandler], None],
) -> None:
    async def scenario() -> None:
        handler = FakeRequestHandler()
        client = handler.connect()
        client.sendall(message(rid=b"x" * 100))
        await handler.wait_for_requests(1)
        handler.answer_all()  # uvloop writes at the end of the iteration
        close_connections(handler)
        assert await read_responses(client) == [b"x" * 100]
        client.close()

    on_loop(scenario, 5)


@pytest.mark.parametrize("close_connections", [drain, time_out])
def test_request_after_close_is_not_accepted_and_causes_no_reset(
    close_connections: Callable[[FakeRequestHandler], None],
) -> None:
    """The client must see an orderly close without a response, so that it can retry elsewhere."""

    async def scenario() -> None:
        handler = FakeRequestHandler()
        client = handler.connect()
        client.sendall(message(rid=b"first"))
        await handler.wait_for_requests(1)
        handler.answer_all()
        await asyncio.sleep(0.01)
        close_connections(handler)
        client.sendall(message(rid=b"late"))
        assert await read_responses(client, 2) == [b"first"]
        assert handler.request_ids == [b"first"]
        client.close()
        while handler.listener.connections:
            await asyncio.sleep(0.01)

    on_loop(scenario, 5)


def test_last_response_survives_unread_input_behind_its_request() -> None:
    async def scenario() -> None:
        handler = FakeRequestHandler()
        client = handler.connect()
        client.sendall(message(rid=b"first", more="Connection: close\r\n"))
        await handler.wait_for_requests(1)
        client.sendall(b"GET / HTTP/1.1\r\n" + b"x" * 3000)
        await asyncio.sleep(0.01)
        handler.answer_all()
        client.sendall(b"x" * 3000)  # unread when the answer is written
        assert await read_responses(client) == [b"first"]
        assert await closes_in_order(client)
        client.close()
        while handler.listener.connections:
            await asyncio.sleep(0.01)

    on_loop(scenario, 5)


def test_input_after_close_is_discarded_for_a_bounded_time() -> None:
    async def scenario() -> None:
        handler = FakeRequestHandler()
        client = handler.connect()
        client.sendall(message(rid=b"first", more="Connection: close\r\n"))
        await handler.wait_for_requests(1)
        handler.answer_all()
        assert await read_responses(client, 2) == [b"first"]
        loop = asyncio.get_running_loop()
        with pytest.raises(ConnectionError):  # this client neither stops sending nor closes
            while True:
                await loop.sock_sendall(client, b"x" * 10_000)
                await asyncio.sleep(0.001)
        assert not handler.listener.connections and handler.request_ids == [b"first"]
        client.close()

    on_loop(scenario, 10)


def test_drain_answers_requests_behind_the_open_one() -> None:
    async def scenario() -> None:
        handler = FakeRequestHandler()
        client = handler.connect()
        client.sendall(message(rid=b"open"))
        await handler.wait_for_requests(1)
        client.sendall(message(rid=b"behind"))
        await asyncio.sleep(0.01)
        handler.draining = True
        client.sendall(message(rid=b"unread"))
        handler.answer_all()
        await handler.wait_for_requests(2)
        handler.answer_all()
        await handler.wait_for_requests(3)
        handler.answer_all()
        assert await read_responses(client, 4) == [b"open", b"behind", b"unread"]
        client.close()

    on_loop(scenario, 5)


def test_drain_leaves_new_connection_time_for_its_first_request() -> None:
    async def scenario() -> None:
        handler = FakeRequestHandler()
        client, silent = handler.connect(), handler.connect()
        while len(handler.listener.connections) < 2:
            await asyncio.sleep(0)
        handler.draining = True
        assert not handler.listener.close_idle()
        await asyncio.sleep(0.01)
        client.sendall(message(rid=b"first"))
        await handler.wait_for_requests(1)
        handler.answer_all()
        assert await read_responses(client, 2) == [b"first"]
        while not handler.listener.close_idle():
            await asyncio.sleep(FIRST_REQUEST_GRACE_S / 10)
            client.close()
        assert await closes_in_order(silent)
        silent.close()

    on_loop(scenario, 5)


def test_stop_accepting_accepts_all_waiting_clients() -> None:
    async def scenario() -> None:
        handler = FakeRequestHandler()
        clients = [handler.connect() for _ in range(3 * MAX_ACCEPTS_PER_TURN)]
        for i, client in enumerate(clients):
            client.sendall(message(rid=b"%d" % i))
        handler.listener.stop_accepting()
        await handler.wait_for_requests(len(clients))
        handler.answer_all()
        assert [await read_responses(client) for client in clients] == [
            [b"%d" % i] for i in range(len(clients))
        ]
        for client in clients:
            client.close()

    on_loop(scenario, 10)


def test_shutdown_completes_after_last_responses_are_sent() -> None:
    """Shutdown waits a bounded time for clients that read their last response late or never."""

    async def scenario() -> None:
        handler = FakeRequestHandler()
        gateway = FailingGateway(handler)
        shutdown = Shutdown(gateway, handler.listener, asyncio.get_running_loop())
        client, non_reading_client = handler.connect(), handler.connect()
        for sock in (client, non_reading_client):
            sock.sendall(message(rid=b"open"))
        await handler.wait_for_requests(2)
        gateway.draining = handler.draining = True
        shutdown.stop_accepting()
        shutdown.fail_open_requests()
        client.sendall(message(rid=b"behind"))  # unread when the answers are written
        assert not shutdown.done.is_set()
        await asyncio.sleep(0.04)
        assert not shutdown.done.is_set()  # no client has closed its connection so far
        assert (await read_responses(client, 1)) == [b"failed"]
        client.close()
        await shutdown.done.wait()
        non_reading_client.close()

    on_loop(scenario, 5)


class FailingGateway:
    """A gateway core whose `fail_all` answers each open request with status 200 and the body `failed`."""

    draining = False

    def __init__(self, handler: FakeRequestHandler) -> None:
        self._handler = handler

    def max_request_time_s(self) -> float:
        return 1.0

    def fail_all(self) -> None:
        failed, self._handler.open_requests = self._handler.open_requests, {}
        for client, _ in failed.values():
            client.answer(200, b"failed")
