"""The counter client: results of calls, failed connections, time-outs."""

from __future__ import annotations

import asyncio
import socket
import struct

import pytest
from conftest import GRADES, LOOP, PACKAGES, FakeServer, Seen, on_loop, reply

from hillmux import interface as api
from hillmux.interface import AttemptResult
from hillmux.net import counter_channel, counter_client
from hillmux.net.config import parse
from hillmux.net.counter_client import HttpCounterClient


async def start_counter_client(
    monkeypatch: pytest.MonkeyPatch, fake: FakeServer, timeout_ms: float
) -> tuple[HttpCounterClient, asyncio.Queue[api.CounterReply]]:
    monkeypatch.setattr(counter_client, "CONNECTIONS", 1)
    await fake.start()
    got: asyncio.Queue[api.CounterReply] = asyncio.Queue()
    counter = HttpCounterClient(asyncio.get_running_loop(), (LOOP, fake.port), timeout_ms, got.put_nowait)
    return counter, got


def test_late_answer_is_not_taken_for_the_next_calls_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        fake = FakeServer(lambda seen: None)
        counter, got = await start_counter_client(monkeypatch, fake, 400)
        counter.call(api.IncrementCounter("a", 1, 1000))
        assert (await got.get()).result == AttemptResult.TIMED_OUT
        counter.call(api.IncrementCounter("b", -2.5, 4000.4))
        await fake.until(lambda fake: len(fake.seen) == 2)
        assert fake.seen[1].line == "POST /v1/count/b?add=-2.5&ttl_ms=4000 HTTP/1.1"
        fake.seen[0].writer.write(reply(b"7") + reply(b"9"))
        answer = await got.get()
        assert (answer.name, answer.result, answer.total) == ("b", AttemptResult.OK, 9)
        assert got.empty()
        counter.stop()
        fake.stop()

    on_loop(scenario)


@pytest.mark.parametrize(
    ("behave", "result"),
    [
        (
            lambda seen: b"",
            AttemptResult.CONNECTION_LOST,
        ),  # reset after the call was written: it may have been added
        (lambda seen: reply(b"", 503), AttemptResult.QUEUE_FULL),
        (lambda seen: reply(b"many"), AttemptResult.MALFORMED_RESPONSE),
        (lambda seen: reply(b"nan"), AttemptResult.MALFORMED_RESPONSE),
        (lambda seen: reply(b"1_0"), AttemptResult.MALFORMED_RESPONSE),
        (lambda seen: b"HTTP/1.1 2x0 OK\r\n\r\n", AttemptResult.MALFORMED_RESPONSE),
    ],
)
def test_result_of_a_counter_call(monkeypatch: pytest.MonkeyPatch, behave, result: str) -> None:
    async def scenario() -> None:
        fake = FakeServer(behave)
        counter, got = await start_counter_client(monkeypatch, fake, 5000)
        counter.call(api.IncrementCounter("a", 1, 1000))
        assert (await got.get()).result == result
        assert got.empty()
        counter.stop()
        fake.stop()

    on_loop(scenario)


def test_response_after_the_configured_wait_is_accepted(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against taking a busy counter for a silent one: its late totals are still valid."""

    async def scenario() -> None:
        fake = FakeServer(lambda seen: None)
        await fake.start()
        config = parse(
            {
                "listen": f"{LOOP}:0",
                "discovery": f"{LOOP}:{fake.port}",
                "counter": f"{LOOP}:{fake.port}",
                "seed": "1",
                "settings": {
                    "grades": GRADES,
                    "packages": PACKAGES,
                    "family_info": {"may_count": True, "count_wait_ms": 250.0},
                },
            }
        )
        got: asyncio.Queue[api.CounterReply] = asyncio.Queue()
        counter = HttpCounterClient(
            asyncio.get_running_loop(), config.counter, config.settings.counter_timeout_ms, got.put_nowait
        )
        counter.call(api.IncrementCounter("a", 1, 1000))
        await fake.until(lambda fake: len(fake.seen) == 1)
        await asyncio.sleep(0.4)
        fake.seen[0].writer.write(reply(b"7"))
        answer = await got.get()
        assert (answer.result, answer.total) == (AttemptResult.OK, 7)
        counter.stop()
        fake.stop()

    on_loop(scenario)


def test_silent_counter_is_dialled_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """A counter that is cut off leaves its connection open; later calls must not be sent on it."""

    async def scenario() -> None:
        fake = FakeServer(lambda seen: None)
        counter, got = await start_counter_client(monkeypatch, fake, 30)
        counter.call(api.IncrementCounter("a", 1, 1000))
        assert (await got.get()).result == AttemptResult.TIMED_OUT
        await fake.until(lambda fake: fake.closed == 1)
        fake.behave = lambda seen: reply(b"1")
        counter.call(api.IncrementCounter("a", 1, 1000))
        await fake.until(lambda fake: len(fake.seen) == 2)
        assert fake.seen[0].writer is not fake.seen[1].writer
        counter.stop()
        fake.stop()

    on_loop(scenario, 10)


def test_connection_reset_while_it_opens_is_dialled_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a channel that keeps a dead connection: its loss is reported before its dial ends."""

    async def scenario() -> None:
        monkeypatch.setattr(counter_client, "CONNECTIONS", 1)
        listener = socket.create_server((LOOP, 0))
        connection_made, connection_lost = (
            counter_channel.CounterConnection.connection_made,
            counter_channel.CounterConnection.connection_lost,
        )
        lost = asyncio.Event()

        def make_and_reset(connection, transport: asyncio.BaseTransport) -> None:
            accepted, _ = listener.accept()
            accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            accepted.close()
            monkeypatch.setattr(counter_channel.CounterConnection, "connection_made", connection_made)
            connection_made(connection, transport)

        def record_loss(connection, exc: Exception | None) -> None:
            connection_lost(connection, exc)
            lost.set()

        monkeypatch.setattr(counter_channel.CounterConnection, "connection_made", make_and_reset)
        monkeypatch.setattr(counter_channel.CounterConnection, "connection_lost", record_loss)
        got: asyncio.Queue[api.CounterReply] = asyncio.Queue()
        counter = HttpCounterClient(asyncio.get_running_loop(), listener.getsockname(), 5000, got.put_nowait)
        counter.start()
        await lost.wait()
        await asyncio.sleep(0.01)  # until the dial's task has ended, too
        fake = FakeServer(lambda seen: reply(b"1"))
        fake.server = await asyncio.start_server(fake._serve, sock=listener)
        counter.call(api.IncrementCounter("a", 1, 1000))
        assert (await got.get()).result == AttemptResult.OK
        counter.stop()
        fake.stop()

    on_loop(scenario, 3)


def test_dial_cancelled_as_its_connection_opens_is_repeated(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a channel that keeps a dead connection: the loop does not report this one's loss."""

    async def scenario() -> None:
        monkeypatch.setattr(counter_client, "CONNECTIONS", 1)
        fake = FakeServer(lambda seen: reply(b"1"))
        await fake.start()
        got: asyncio.Queue[api.CounterReply] = asyncio.Queue()
        counter = HttpCounterClient(asyncio.get_running_loop(), (LOOP, fake.port), 5000, got.put_nowait)
        connection_made = counter_channel.CounterConnection.connection_made

        def make_and_cancel_dial(connection, transport: asyncio.BaseTransport) -> None:
            monkeypatch.setattr(counter_channel.CounterConnection, "connection_made", connection_made)
            dial = counter._channels[0]._dial
            connection_made(connection, transport)
            dial.cancel()

        monkeypatch.setattr(counter_channel.CounterConnection, "connection_made", make_and_cancel_dial)
        counter.start()
        while counter_channel.CounterConnection.connection_made is not connection_made:
            await asyncio.sleep(0)
        await asyncio.sleep(0.05)
        counter.call(api.IncrementCounter("a", 1, 1000))
        assert (await got.get()).result == AttemptResult.OK
        counter.stop()
        fake.stop()

    on_loop(scenario, 3)


def test_call_made_while_a_connection_ends_uses_another_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        monkeypatch.setattr(counter_client, "CONNECTIONS", 2)
        fake = FakeServer(lambda seen: reply(b"many" if len(fake.seen) == 1 else b"1"))
        await fake.start()
        got: asyncio.Queue[api.CounterReply] = asyncio.Queue()

        def on_reply(answer: api.CounterReply) -> None:
            got.put_nowait(answer)
            if answer.result == AttemptResult.MALFORMED_RESPONSE:
                counter.call(api.IncrementCounter("a", 1, 1000))

        counter = HttpCounterClient(asyncio.get_running_loop(), (LOOP, fake.port), 5000, on_reply)
        counter.call(api.IncrementCounter("a", 1, 1000))
        assert [(await got.get()).result, (await got.get()).result] == [
            AttemptResult.MALFORMED_RESPONSE,
            AttemptResult.OK,
        ]
        counter.stop()
        fake.stop()

    on_loop(scenario, 3)


@pytest.mark.parametrize(
    ("stuck", "results"),
    [
        (1, {AttemptResult.CONNECTION_LOST}),  # calls behind the timed-out one are lost with the connection
        (2, {AttemptResult.TIMED_OUT}),  # silence on several connections means a slow counter
    ],
)
def test_only_silent_connection_is_closed(
    monkeypatch: pytest.MonkeyPatch, stuck: int, results: set[str]
) -> None:
    async def scenario() -> None:
        monkeypatch.setattr(counter_client, "CONNECTIONS", 3)
        silent: list[asyncio.StreamWriter] = []

        def behave(seen: Seen) -> bytes | None:
            if "/stuck" in seen.line:
                silent.append(seen.writer)
            return None if seen.writer in silent else reply(b"1")

        fake = FakeServer(behave)
        await fake.start()
        got: asyncio.Queue[api.CounterReply] = asyncio.Queue()
        counter = HttpCounterClient(asyncio.get_running_loop(), (LOOP, fake.port), 200, got.put_nowait)
        counter.start()
        while not all(channel._connection for channel in counter._channels):
            await asyncio.sleep(0.01)
        for i in range(stuck):
            counter.call(api.IncrementCounter(f"stuck{i}", 1, 1000))
        await fake.until(lambda fake: len(silent) == stuck)
        counter.call(api.IncrementCounter("well", 1, 1000))
        assert (await got.get()).result == AttemptResult.OK
        replies = [await got.get() for _ in range(stuck)]
        assert {r.result for r in replies} == results
        counter.stop()
        fake.stop()

    on_loop(scenario, 5)


def test_lost_connection_is_dialled_before_a_call_needs_it(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        fake = FakeServer(lambda seen: b"" if len(fake.seen) == 1 else None)
        counter, got = await start_counter_client(monkeypatch, fake, 5000)
        counter.call(api.IncrementCounter("a", 1, 1000))
        assert (await got.get()).result == AttemptResult.CONNECTION_LOST
        await fake.until(lambda fake: fake.opened == 2)
        counter.stop()
        await fake.until(lambda fake: fake.closed == 1)
        await asyncio.sleep(0.2)  # longer than the backoffs so far
        assert fake.opened == 2  # a stopped client does not dial
        fake.stop()

    on_loop(scenario, 5)


def test_calls_fail_while_the_counter_refuses_connections_and_recover(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        def behave(seen: Seen) -> bytes:
            return reply(b"1")

        fake = FakeServer(behave)
        counter, got = await start_counter_client(monkeypatch, fake, 5000)
        fake.stop()
        await fake.server.wait_closed()
        counter.call(api.IncrementCounter("a", 1, 1000))
        assert (await got.get()).result == AttemptResult.CONNECT_FAILED
        fake.server = await asyncio.start_server(fake._serve, LOOP, fake.port)
        while True:  # calls during the backoff fail at once; after it the client dials again
            counter.call(api.IncrementCounter("a", 1, 1000))
            if (await got.get()).result == AttemptResult.OK:
                break
            await asyncio.sleep(0.01)
        counter.stop()
        fake.stop()

    on_loop(scenario)
