"""The counter's store and its protocol, in memory and over a socket."""

from __future__ import annotations

import asyncio
import random

import pytest
from conftest import on_loop
from fakes.client_connection import FlowControlledTransport

from hillmux import interface as api
from hillmux.counter import EmbeddedCounter, Store, StoreFullError
from hillmux.counter.codec import InvalidCallError, parse_call
from hillmux.counter.service import (
    LINGER_TIMEOUT_S,
    MAX_CONNECTIONS_PER_ADDRESS,
    CounterConnection,
    CounterServer,
)
from hillmux.counter.store import format_total
from hillmux.interface import AttemptResult

COUNTER_CALL = b"POST /v1/count/a?add=1&ttl_ms=60000 HTTP/1.1\r\nContent-Length: 0\r\n\r\n"
COUNTER_SLICE_BYTES = 4 * 1024  # what one connection's calls may have in a turn of the loop


def test_retention_of_a_name_starts_at_its_first_addition_only() -> None:
    store = Store()
    assert store.add("a", 2, 100, now_ms=0) == 2
    assert store.add("a", -0.5, 9999, now_ms=99) == 1.5  # a later retention has no effect
    assert store.add("a", 1, 100, now_ms=100) == 1
    store.sweep(1e9)
    assert len(store) == 0


def test_retention_is_limited_to_60_s() -> None:
    store = Store()
    store.add("long", 1, 1e12, now_ms=0)
    store.add("short", 1, 0, now_ms=0)
    assert store.add("long", 1, 1, now_ms=59_999) == 2
    assert store.add("long", 1, 1, now_ms=60_000) == 1


def test_full_store_rejects_new_names_and_adds_to_known_ones() -> None:
    store = Store(max_names=2)
    store.add("a", 1, 100, 0)
    store.add("b", 1, 200, 0)
    with pytest.raises(StoreFullError):
        store.add("c", 1, 100, 50)
    assert store.add("a", 1, 100, 50) == 2
    assert store.add("c", 1, 100, 100) == 1  # `a` has expired


def test_store_gives_the_same_totals_as_a_plain_table() -> None:
    rng, store = random.Random(5), Store()
    table: dict[str, tuple[float, float]] = {}
    now = 0.0
    for _ in range(5000):
        now += rng.random() * 20
        name, amount, retention_ms = rng.choice("abcdef"), rng.randint(-3, 9), rng.randint(1, 200)
        total, expires_at = table.get(name, (0.0, 0.0))
        if expires_at <= now:
            total, expires_at = 0.0, now + retention_ms
        table[name] = (total + amount, expires_at)
        assert store.add(name, amount, retention_ms, now) == total + amount
        assert len(store) <= 6


@pytest.mark.parametrize(
    ("total", "text"),
    [
        (0, "0"),
        (1.5, "1.5"),
        (-2.25, "-2.25"),
        (1234567, "1234567"),
        (0.1 + 0.2, "0.3"),
        (1e9, "1000000000"),
        (123456.7, "123456.7"),
        (3e-12, "0"),
        (1e15, "1000000000000000"),
    ],
)
def test_total_is_formatted_as_a_plain_decimal(total: float, text: str) -> None:
    assert format_total(total) == text


@pytest.mark.parametrize(
    ("method", "target", "status", "field"),
    [
        (b"GET", b"/v1/count/a?add=1&ttl_ms=5", 400, "method"),
        (b"POST", b"/v1/other/a?add=1&ttl_ms=5", 404, "path"),
        (b"POST", b"/v1/count/?add=1&ttl_ms=5", 400, "name"),
        (b"POST", b"/v1/count/" + b"x" * 65 + b"?add=1&ttl_ms=5", 400, "name"),
        (b"POST", b"/v1/count/a/b?add=1&ttl_ms=5", 400, "name"),
        (b"POST", b"/v1/count/a?ttl_ms=5", 400, "add"),
        (b"POST", b"/v1/count/a?add=1e3&ttl_ms=5", 400, "add"),
        (b"POST", b"/v1/count/a?add=2000000000&ttl_ms=5", 400, "add"),
        (b"POST", b"/v1/count/a?add=nan&ttl_ms=5", 400, "add"),
        (b"POST", b"/v1/count/a?add=1&ttl_ms=0", 400, "ttl_ms"),
        (b"POST", b"/v1/count/a?add=1&ttl_ms=-5", 400, "ttl_ms"),
        (b"POST", b"/v1/count/a?add=1&add=1&ttl_ms=5", 400, "query"),
        (b"POST", b"/v1/count/a?add=1&ttl_ms=5&more=1", 400, "query"),
    ],
)
def test_invalid_call_is_rejected_with_the_name_of_its_field(
    method: bytes, target: bytes, status: int, field: str
) -> None:
    with pytest.raises(InvalidCallError) as caught:
        parse_call(method, target)
    assert caught.value.status == status
    assert str(caught.value).startswith(field) and "expected" in str(caught.value)


def test_call_is_parsed_with_all_its_fields() -> None:
    call = parse_call(b"POST", b"/v1/count/" + b"n" * 64 + b"?ttl_ms=70000&add=-2.5")
    assert (call.name, call.amount, call.retention_ms) == ("n" * 64, -2.5, 70000)


def test_embedded_counter_replies_once_to_each_call_until_it_is_closed() -> None:
    replies: list[api.CounterReply] = []
    counter = EmbeddedCounter(Store(max_names=1), lambda: 0.0, replies.append)
    counter.call(api.IncrementCounter("a", 2.0, 1000))
    counter.call(api.IncrementCounter("b", 2.0, 1000))
    counter.call(api.IncrementCounter("a", 1.0, 1000))
    assert [(r.name, r.result, r.total) for r in replies] == [
        ("a", AttemptResult.OK, 2),
        ("b", AttemptResult.QUEUE_FULL, 0),
        ("a", AttemptResult.OK, 3),
    ]
    counter.close()
    counter.call(api.IncrementCounter("a", 1.0, 1000))
    assert len(replies) == 3
    with pytest.raises(ValueError, match="1 to 64 bytes"):
        EmbeddedCounter(Store(), lambda: 0.0, replies.append).call(api.IncrementCounter("x" * 65, 1.0, 1000))


async def _answers(reader: asyncio.StreamReader, count: int) -> list[tuple[int, bytes]]:
    answers = []
    for _ in range(count):
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        answers.append((int(head.split()[1]), await reader.readexactly(length)))
    return answers


def test_pipelined_calls_are_answered_in_order() -> None:
    async def scenario() -> None:
        server = CounterServer(Store(max_names=2), asyncio.get_running_loop())
        host, port = await server.start("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection(host, port)
        lines = [
            b"POST /v1/count/a?add=2&ttl_ms=5000",
            b"POST /v1/count/b?add=1.25&ttl_ms=5000",
            b"POST /v1/count/c?add=1&ttl_ms=5000",
            b"POST /v1/count/a?add=x&ttl_ms=5000",
            b"POST /nothing",
            b"POST /v1/count/a?add=-0.5&ttl_ms=5000",
        ]
        writer.write(b"".join(line + b" HTTP/1.1\r\nHost: c\r\nContent-Length: 0\r\n\r\n" for line in lines))
        answers = await _answers(reader, len(lines))
        assert [status for status, _ in answers] == [200, 200, 503, 400, 404, 200]
        assert [answers[i][1] for i in (0, 1, 5)] == [b"2", b"1.25", b"1.5"]
        assert server.calls == 3
        server.stop()

    on_loop(scenario)


def test_malformed_http_closes_only_its_own_connection() -> None:
    async def scenario() -> None:
        server = CounterServer(Store(), asyncio.get_running_loop())
        host, port = await server.start("127.0.0.1", 0)
        good = await asyncio.open_connection(host, port)
        for malformed in (b"\x16\x03\x01 no HTTP\r\n\r\n", b"POST /v1/count/" + b"a" * 9000):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(malformed)
            assert b" 400 " in await reader.read()
        good[1].write(b"POST /v1/count/a?add=1&ttl_ms=5000 HTTP/1.1\r\n\r\n")
        assert await _answers(good[0], 1) == [(200, b"1")]
        server.stop()

    on_loop(scenario)


def test_answers_to_calls_before_noise_are_not_lost_by_a_reset() -> None:
    async def scenario() -> None:
        server = CounterServer(Store(), asyncio.get_running_loop())
        host, port = await server.start("127.0.0.1", 0)
        for _ in range(8):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(COUNTER_CALL * 5 + b"\x00" * 3_000_000)
            await asyncio.sleep(0.05)  # the noise beyond what was read would reset a closed connection
            statuses = [status for status, _ in await _answers(reader, 6)]
            assert statuses == [200] * 5 + [400]
            writer.transport.abort()
        while server.connections:
            await asyncio.sleep(0.01)
        server.stop()

    on_loop(scenario)


def test_rejected_connection_is_closed_although_its_caller_does_not_leave() -> None:
    async def scenario() -> None:
        server = CounterServer(Store(), asyncio.get_running_loop())
        host, port = await server.start("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(b"no call\r\n\r\n")
        assert b" 400 " in await reader.read()
        async with asyncio.timeout(2 * LINGER_TIMEOUT_S):
            while server.connections:
                await asyncio.sleep(0.05)
        writer.close()
        server.stop()

    on_loop(scenario)


def test_connections_per_address_are_limited() -> None:
    async def scenario() -> None:
        server = CounterServer(Store(), asyncio.get_running_loop())
        host, port = await server.start("127.0.0.1", 0)
        connections = [await asyncio.open_connection(host, port) for _ in range(MAX_CONNECTIONS_PER_ADDRESS)]
        for reader, writer in connections:
            writer.write(b"POST /v1/count/a?add=1&ttl_ms=5000 HTTP/1.1\r\n\r\n")
            assert (await _answers(reader, 1))[0][0] == 200
        excess, _ = await asyncio.open_connection(host, port)
        with pytest.raises(ConnectionResetError):
            await excess.readexactly(1)
        connections.pop()[1].close()
        while len(server.connections) >= MAX_CONNECTIONS_PER_ADDRESS:
            await asyncio.sleep(0)
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(b"POST /v1/count/a?add=0&ttl_ms=5000 HTTP/1.1\r\n\r\n")
        assert (await _answers(reader, 1)) == [(200, b"32")]
        server.stop()

    on_loop(scenario)


def test_many_calls_in_one_read_are_answered_over_many_turns() -> None:
    """Guards against one gateway's calls that keep the counter from all others."""

    async def scenario() -> None:
        server = CounterServer(Store(), asyncio.get_running_loop())
        transport = FlowControlledTransport()
        connection = CounterConnection(server)
        connection.connection_made(transport)
        calls, bytes_of_a_call = 4000, len(COUNTER_CALL)
        connection.data_received(COUNTER_CALL * calls)
        calls_by_turn = [server.calls]
        assert not transport.reading
        while not transport.reading:
            before = server.calls
            await asyncio.sleep(0)
            calls_by_turn.append(server.calls - before)
        assert max(calls_by_turn) <= COUNTER_SLICE_BYTES // bytes_of_a_call + 1
        assert b"".join(transport.written).count(b"HTTP/1.1 200") == server.calls == calls
        assert b"".join(transport.written).endswith(b"%d" % calls)

    on_loop(scenario, 10)


def test_counter_connection_that_is_lost_answers_no_further_calls() -> None:
    """Guards against calls that are added although nobody is left to read their totals."""

    async def scenario() -> None:
        server = CounterServer(Store(), asyncio.get_running_loop())
        transport = FlowControlledTransport()
        connection = CounterConnection(server)
        connection.connection_made(transport)
        connection.data_received(COUNTER_CALL * 4000)
        transport.abort()
        connection.connection_lost(None)
        calls = server.calls
        for _ in range(5):
            await asyncio.sleep(0)
        assert server.calls == calls < 4000

    on_loop(scenario, 10)
