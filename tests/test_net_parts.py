"""Parts of the gateway in this process: what cannot be brought about from outside for certain."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import struct
import time

import pytest
from conftest import GRADES, LOOP, PACKAGES, Fake, Seen, instance, on_loop, reply
from fakes.core import Answers, an_order, core_with

from hillmux import interface as api
from hillmux.interface import AttemptResult, RejectReason
from hillmux.net import counter_channel, counter_client
from hillmux.net.config import parse
from hillmux.net.counter_client import HttpCounterClient
from hillmux.net.discovery_watch import MAX_WATCH_MS
from hillmux.net.gateway_core import GatewayCore
from hillmux.net.http1 import Response


def test_guard_answers_in_time_and_nothing_follows(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        host = Fake(lambda seen: None)
        core, script = await core_with(monkeypatch, host)
        client, started = Answers(), time.monotonic()
        script.plan[api.Request] = [api.SendAttempt("r1", "s-0", 5000)]  # still out when the guard answers
        core.request(client, an_order(300))
        assert await client.got.get() == 504
        assert time.monotonic() - started < 0.3
        assert script.events[-1] == api.ClientDisconnected("r1")
        assert len(host.seen) == 1
        script.plan[api.TimerFired] = [
            api.SendAttempt("r1", "s-0", 100),
            api.Reject("r1", 0.0, RejectReason.OVERLOAD),
            api.Fail("r1"),
        ]
        core.post(api.TimerFired("late"))
        assert script.outcomes() == [AttemptResult.NOT_SENT]
        await asyncio.sleep(0.05)
        assert client.got.empty() and len(host.seen) == 1
        host.stop()

    on_loop(scenario)


def stood_still(core: GatewayCore) -> None:
    """As after a stall that is over before the heartbeat could tell."""
    core.loop_lag._next_heartbeat_at = time.monotonic() - 2


@pytest.mark.parametrize("answers", [True, False])
def test_after_a_stall_all_news_of_the_hosts_goes_before_what_waits(
    monkeypatch: pytest.MonkeyPatch, answers: bool
) -> None:
    """The watch that was open brings the first; the second comes at once when asked for, or in vain."""

    async def scenario() -> None:
        told: list[str] = []

        def agent(seen: Seen) -> bytes | None:
            told.append(seen.line.split()[1])
            if len(told) == 2 and answers:
                return reply(
                    json.dumps(
                        {
                            "generation": 3,
                            "reset": False,
                            "instances": [instance("s-0", 9, lifecycle="draining")],
                        }
                    ).encode()
                )
            return None

        host = Fake(agent)
        core, script = await core_with(monkeypatch, host)
        core._discovery.start()
        await host.until(lambda fake: len(fake.seen) == 1)
        began = len(script.events)
        stood_still(core)
        first = {"generation": 2, "reset": False, "instances": [instance("s-1", 9)]}
        core._discovery.on_response(
            core._discovery._connection, reply_of(first), True
        )  # read after the stall
        core.request(Answers(), an_order())
        core.loop_lag._next_heartbeat_at = time.monotonic() + 60  # caught up
        while not any(isinstance(e, api.Request) for e in script.events):
            await asyncio.sleep(0.002)
        kinds = [type(e) for e in script.events[began:]]
        assert kinds == [api.EndpointList, *([api.EndpointList] if answers else []), api.Request]
        await host.until(lambda fake: len(told) >= (3 if answers else 2))  # perhaps a turn later
        waits = [int(query.rpartition("=")[2]) for query in told[1:]]
        assert waits[0] == 0 and len(waits) == (2 if answers else 1)
        assert all(
            MAX_WATCH_MS / 2 <= wait <= MAX_WATCH_MS for wait in waits[1:]
        )  # a watch again, as long as ever
        core.stop()
        host.stop()

    on_loop(scenario)


def test_without_a_stall_nothing_waits(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        host = Fake(lambda seen: None)
        core, script = await core_with(monkeypatch, host)
        core.request(Answers(), an_order())
        assert isinstance(script.events[-1], api.Request)
        host.stop()

    on_loop(scenario)


def reply_of(raw: dict[str, object]) -> Response:
    """An answer of discovery, read whole."""
    return Response(200, {}, json.dumps(raw).encode(), True)


def test_a_module_that_raises_loses_one_request_only(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        host = Fake(lambda seen: reply(b"served"))
        core, script = await core_with(monkeypatch, host)
        broken, served = Answers(), Answers()
        script.plan[api.Request] = RuntimeError("broken")
        core.request(broken, an_order())
        assert await broken.got.get() == 500
        script.plan[api.Request] = [api.SendAttempt("r2", "s-0", 1000)]
        core.request(served, an_order())
        assert await served.got.get() == 200
        host.stop()

    on_loop(scenario)


def test_every_send_has_one_outcome(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        host = Fake(lambda seen: None)
        core, script = await core_with(monkeypatch, host)
        client = Answers()
        script.plan[api.Request] = [
            api.SendAttempt("r1", "s-0", 1000),
            api.SendAttempt("r1", "nowhere", 1000),
            api.SendAttempt("r1", "s-0", 1000),
        ]  # the third is beyond the limit of two
        core.request(client, an_order())
        assert script.outcomes() == [AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT]
        await host.until(lambda fake: bool(fake.seen))
        script.plan[api.TimerFired] = [api.CancelAttempt("r1", 0), api.CancelAttempt("r1", 0), api.Fail("r1")]
        core.post(api.TimerFired("cancel"))
        await host.until(lambda fake: fake.closed == 1)
        assert script.outcomes() == [
            AttemptResult.CONNECT_FAILED,
            AttemptResult.NOT_SENT,
            AttemptResult.CANCELLED,
        ]
        assert await client.got.get() == 502
        assert not core.requests
        host.stop()

    on_loop(scenario)


class Breaking:
    """A loop whose new connections are broken before anybody can use them."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def __getattr__(self, name: str) -> object:
        return getattr(self._loop, name)

    async def create_connection(self, *args: object) -> tuple[asyncio.Transport, asyncio.Protocol]:
        transport, protocol = await self._loop.create_connection(*args)
        transport.abort()
        return transport, protocol


def test_what_an_action_gives_rise_to_waits_for_the_other_actions(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        host = await Fake(lambda seen: reply()).start()
        core, script = await core_with(monkeypatch, host)
        order: list[str] = []
        handle, act = script.handle, core.execute

        def handled(now_ms: float, event: api.Event) -> list[api.Action]:
            order.append(type(event).__name__)
            return handle(now_ms, event)

        def acted(action: api.Action) -> None:
            order.append(type(action).__name__)
            act(action)

        monkeypatch.setattr(script, "handle", handled)
        monkeypatch.setattr(core, "execute", acted)
        monkeypatch.setattr(core, "counter", None)  # so each call fails at once
        script.plan[api.TimerFired] = [
            api.IncrementCounter("a", 1.0, 1.0),
            api.IncrementCounter("b", 1.0, 1.0),
            api.Log("done"),
        ]
        core.post(api.TimerFired("any"))
        assert order == [
            "TimerFired",
            "IncrementCounter",
            "IncrementCounter",
            "Log",
            "CounterReply",
            "CounterReply",
        ]
        host.stop()

    on_loop(scenario)


@pytest.mark.parametrize("more", [b"HTTP/1.1 200", b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"])
def test_a_connection_on_which_more_has_begun_is_not_used_again(
    monkeypatch: pytest.MonkeyPatch, more: bytes
) -> None:
    async def scenario() -> None:
        host = await Fake(lambda seen: reply() + more).start()
        core, script = await core_with(monkeypatch, host)
        client = Answers()
        for _ in range(2):
            script.plan[api.Request] = [api.SendAttempt("", "s-0", 4000)]
            request = an_order()
            serial = core.last_serial + 1
            script.plan[api.Request] = [api.SendAttempt(f"r{serial}", "s-0", 4000)]
            core.request(client, request)
            assert await client.got.get() == 200
            await asyncio.sleep(0.02)  # an answered connection rests before it is used again
        assert len({id(seen.writer) for seen in host.seen}) == 2
        host.stop()

    on_loop(scenario)


def test_idle_connections_go_the_longest_idle_first(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        fakes = [await Fake(lambda seen: reply()).start() for _ in range(3)]
        core, script = await core_with(monkeypatch, fakes[0])
        hosts = core.upstreams
        hosts.update({f"s-{i}": (LOOP, fake.port) for i, fake in enumerate(fakes)}, set())
        client = Answers()
        for name in ("s-1", "s-0", "s-2", "s-0"):  # the last time s-0 is used it is kept, and the freshest
            script.plan[api.Request] = [api.SendAttempt(f"r{core.last_serial + 1}", name, 4000)]
            core.request(client, an_order())
            assert await client.got.get() == 200
            await asyncio.sleep(0.02)
        assert [c.host.name for c in hosts.idle.oldest_first] == ["s-1", "s-2", "s-0"]
        assert hosts.drop_idle()
        await fakes[1].until(lambda fake: fake.closed == 1)
        hosts.idle.timeout_s = 0.03  # by now s-2 has been idle for longer, s-0 has not
        hosts.loop.time()
        next(reversed(hosts.idle.oldest_first)).idle_since = hosts.loop.time() + 1.0
        await asyncio.sleep(0.05)
        hosts.close_expired()
        await fakes[2].until(lambda fake: fake.closed == 1)
        assert [c.host.name for c in hosts.idle.oldest_first] == ["s-0"] and fakes[0].closed == 0
        hosts.update({}, {"s-0"})
        await fakes[0].until(lambda fake: fake.closed == 1)
        assert not hosts.idle.oldest_first and not hosts.drop_idle()
        for fake in fakes:
            fake.stop()

    on_loop(scenario)


def test_a_connection_that_breaks_as_it_comes_up_never_ran(monkeypatch: pytest.MonkeyPatch) -> None:
    """Nothing may be written to it: the attempt would hang until its time-out."""

    async def scenario() -> None:
        host = Fake(lambda seen: reply(b"served"))
        core, script = await core_with(monkeypatch, host)
        core.upstreams.loop = Breaking(core.loop)
        client = Answers()
        script.plan[api.Request] = [api.SendAttempt("r1", "s-0", 5000)]
        script.plan[api.AttemptEnded] = [api.Reject("r1", 0.0, RejectReason.OVERLOAD)]
        core.request(client, an_order())
        assert await client.got.get() == 503
        assert script.outcomes() == [AttemptResult.INCOMPLETE_REQUEST]
        host.stop()

    on_loop(scenario, 3)


def test_a_dial_called_off_in_the_turn_in_which_it_comes_up_leaves_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The loop closes such a connection without a word; it would count against our bound for good."""

    async def scenario() -> None:
        host = Fake(lambda seen: reply(b"served"))
        core, script = await core_with(monkeypatch, host)
        hosts, opened = core.upstreams, core.upstreams.connection_opened
        up: list[object] = []

        def opened_and_cancelled(connection) -> None:
            opened(connection)
            up.append(connection)
            (attempt,) = core.requests["r1"].attempts
            hosts.cancel(attempt)

        monkeypatch.setattr(hosts, "connection_opened", opened_and_cancelled)
        script.plan[api.Request] = [api.SendAttempt("r1", "s-0", 5000)]
        script.plan[api.AttemptEnded] = [api.Reject("r1", 0.0, RejectReason.OVERLOAD)]
        client = Answers()
        core.request(client, an_order())
        assert await client.got.get() == 503
        while hosts.dials:
            await asyncio.sleep(0)
        assert script.outcomes() == [
            AttemptResult.NOT_SENT
        ]  # called off before its first byte: it surely never ran
        await asyncio.sleep(0.01)
        assert up and not hosts.connections
        host.stop()

    on_loop(scenario, 3)


def test_a_stall_is_not_told_as_the_hosts_latency(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        host = Fake(lambda seen: None)
        core, script = await core_with(monkeypatch, host)
        await asyncio.sleep(0.1)
        script.plan[api.Request] = [api.SendAttempt("r1", "s-0", 3000)]
        client = Answers()
        core.request(client, an_order())
        await host.until(lambda fake: any("/api/" in s.line for s in fake.seen))
        os.write(host.seen[-1].writer.get_extra_info("socket").fileno(), reply(b"served"))
        time.sleep(0.6)  # the answer lies unread meanwhile
        assert await client.got.get() == 200
        while not script.outcomes():  # the client has its answer; the module is told after the hosts' news
            await asyncio.sleep(0.001)
        (outcome,) = [e for e in script.events if isinstance(e, api.AttemptEnded)]
        assert outcome.elapsed_ms < 400
        host.stop()

    on_loop(scenario)


async def counter_with(
    monkeypatch: pytest.MonkeyPatch, fake: Fake, wait_ms: float
) -> tuple[HttpCounterClient, asyncio.Queue[api.CounterReply]]:
    monkeypatch.setattr(counter_client, "CONNECTIONS", 1)
    await fake.start()
    got: asyncio.Queue[api.CounterReply] = asyncio.Queue()
    counter = HttpCounterClient(asyncio.get_running_loop(), (LOOP, fake.port), wait_ms, got.put_nowait)
    return counter, got


def test_a_late_answer_is_not_taken_for_the_next_calls(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        fake = Fake(lambda seen: None)
        counter, got = await counter_with(monkeypatch, fake, 400)
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
        ),  # broken after the call was written: it may have been added
        (lambda seen: reply(b"", 503), AttemptResult.QUEUE_FULL),
        (lambda seen: reply(b"many"), AttemptResult.MALFORMED_RESPONSE),
        (lambda seen: reply(b"nan"), AttemptResult.MALFORMED_RESPONSE),
        (lambda seen: reply(b"1_0"), AttemptResult.MALFORMED_RESPONSE),
        (lambda seen: b"HTTP/1.1 2x0 OK\r\n\r\n", AttemptResult.MALFORMED_RESPONSE),
    ],
)
def test_what_a_counter_call_comes_to(monkeypatch: pytest.MonkeyPatch, behave, result: str) -> None:
    async def scenario() -> None:
        fake = Fake(behave)
        counter, got = await counter_with(monkeypatch, fake, 5000)
        counter.call(api.IncrementCounter("a", 1, 1000))
        assert (await got.get()).result == result
        assert got.empty()
        counter.stop()
        fake.stop()

    on_loop(scenario)


def test_a_counter_that_answers_late_is_still_heard(monkeypatch: pytest.MonkeyPatch) -> None:
    """A busy counter answers after the bound that the settings give; its totals are true all the same."""

    async def scenario() -> None:
        fake = Fake(lambda seen: None)
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


def test_a_silent_counter_is_dialled_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """A counter that is cut off leaves its connection open; the calls must not go there for ever."""

    async def scenario() -> None:
        fake = Fake(lambda seen: None)
        counter, got = await counter_with(monkeypatch, fake, 30)
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


def test_a_counter_connection_that_is_reset_as_it_comes_up_is_dialled_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its loss is told before its dial is over; it must not stand for the slot's connection from then on."""

    async def scenario() -> None:
        monkeypatch.setattr(counter_client, "CONNECTIONS", 1)
        listener = socket.create_server((LOOP, 0))
        made, gone = (
            counter_channel.CounterConnection.connection_made,
            counter_channel.CounterConnection.connection_lost,
        )
        ended = asyncio.Event()

        def made_and_reset(connection, transport: asyncio.BaseTransport) -> None:
            accepted, _ = listener.accept()
            accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            accepted.close()
            monkeypatch.setattr(counter_channel.CounterConnection, "connection_made", made)
            made(connection, transport)

        def lost(connection, exc: Exception | None) -> None:
            gone(connection, exc)
            ended.set()

        monkeypatch.setattr(counter_channel.CounterConnection, "connection_made", made_and_reset)
        monkeypatch.setattr(counter_channel.CounterConnection, "connection_lost", lost)
        got: asyncio.Queue[api.CounterReply] = asyncio.Queue()
        counter = HttpCounterClient(asyncio.get_running_loop(), listener.getsockname(), 5000, got.put_nowait)
        counter.start()
        await ended.wait()
        await asyncio.sleep(0.01)  # the dial's task has ended, too
        fake = Fake(lambda seen: reply(b"1"))
        fake.server = await asyncio.start_server(fake._serve, sock=listener)
        counter.call(api.IncrementCounter("a", 1, 1000))
        assert (await got.get()).result == AttemptResult.OK
        counter.stop()
        fake.stop()

    on_loop(scenario, 3)


def test_a_counter_dial_called_off_as_it_comes_up_is_begun_anew(monkeypatch: pytest.MonkeyPatch) -> None:
    """The loop tells nobody of that connection's end; its slot would hold a dead one for good."""

    async def scenario() -> None:
        monkeypatch.setattr(counter_client, "CONNECTIONS", 1)
        fake = Fake(lambda seen: reply(b"1"))
        await fake.start()
        got: asyncio.Queue[api.CounterReply] = asyncio.Queue()
        counter = HttpCounterClient(asyncio.get_running_loop(), (LOOP, fake.port), 5000, got.put_nowait)
        made = counter_channel.CounterConnection.connection_made

        def made_and_called_off(connection, transport: asyncio.BaseTransport) -> None:
            monkeypatch.setattr(counter_channel.CounterConnection, "connection_made", made)
            dial = counter._channels[0]._dial
            made(connection, transport)
            dial.cancel()

        monkeypatch.setattr(counter_channel.CounterConnection, "connection_made", made_and_called_off)
        counter.start()
        while counter_channel.CounterConnection.connection_made is not made:
            await asyncio.sleep(0)
        await asyncio.sleep(0.05)
        counter.call(api.IncrementCounter("a", 1, 1000))
        assert (await got.get()).result == AttemptResult.OK
        counter.stop()
        fake.stop()

    on_loop(scenario, 3)


def test_a_call_made_while_a_counter_connection_ends_goes_to_another(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        monkeypatch.setattr(counter_client, "CONNECTIONS", 2)
        fake = Fake(lambda seen: reply(b"many" if len(fake.seen) == 1 else b"1"))
        await fake.start()
        got: asyncio.Queue[api.CounterReply] = asyncio.Queue()

        def replied(answer: api.CounterReply) -> None:
            got.put_nowait(answer)
            if answer.result == AttemptResult.MALFORMED_RESPONSE:
                counter.call(api.IncrementCounter("a", 1, 1000))

        counter = HttpCounterClient(asyncio.get_running_loop(), (LOOP, fake.port), 5000, replied)
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
        (1, {AttemptResult.CONNECTION_LOST}),  # what waits behind the call that ran out is cut with it
        (2, {AttemptResult.TIMED_OUT}),  # on more than one connection it is the counter that is slow
    ],
)
def test_one_silent_counter_connection_is_given_up(
    monkeypatch: pytest.MonkeyPatch, stuck: int, results: set[str]
) -> None:
    async def scenario() -> None:
        monkeypatch.setattr(counter_client, "CONNECTIONS", 3)
        silent: list[asyncio.StreamWriter] = []

        def behave(seen: Seen) -> bytes | None:
            if "/stuck" in seen.line:
                silent.append(seen.writer)
            return None if seen.writer in silent else reply(b"1")

        fake = Fake(behave)
        await fake.start()
        got: asyncio.Queue[api.CounterReply] = asyncio.Queue()
        counter = HttpCounterClient(asyncio.get_running_loop(), (LOOP, fake.port), 200, got.put_nowait)
        counter.start()
        while not all(slot._connection for slot in counter._channels):
            await asyncio.sleep(0.01)
        for i in range(stuck):
            counter.call(api.IncrementCounter(f"stuck{i}", 1, 1000))
        await fake.until(lambda fake: len(silent) == stuck)
        counter.call(api.IncrementCounter("well", 1, 1000))
        assert (await got.get()).result == AttemptResult.OK
        ends = [await got.get() for _ in range(stuck)]
        assert {end.result for end in ends} == results
        counter.stop()
        fake.stop()

    on_loop(scenario, 5)


def test_a_lost_counter_connection_is_dialled_before_a_call_needs_it(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        fake = Fake(lambda seen: b"" if len(fake.seen) == 1 else None)
        counter, got = await counter_with(monkeypatch, fake, 5000)
        counter.call(api.IncrementCounter("a", 1, 1000))
        assert (await got.get()).result == AttemptResult.CONNECTION_LOST
        await fake.until(lambda fake: fake.opened == 2)
        counter.stop()
        await fake.until(lambda fake: fake.closed == 1)
        await asyncio.sleep(0.2)  # longer than the rests so far
        assert fake.opened == 2  # what is stopped dials no more
        fake.stop()

    on_loop(scenario, 5)


def test_a_counter_that_refuses_added_nothing_and_comes_back(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        def behave(seen: Seen) -> bytes:
            return reply(b"1")

        fake = Fake(behave)
        counter, got = await counter_with(monkeypatch, fake, 5000)
        fake.stop()
        await fake.server.wait_closed()
        counter.call(api.IncrementCounter("a", 1, 1000))
        assert (await got.get()).result == AttemptResult.CONNECT_FAILED
        fake.server = await asyncio.start_server(fake._serve, LOOP, fake.port)
        while True:  # calls in its rest fail at once; then it dials again
            counter.call(api.IncrementCounter("a", 1, 1000))
            if (await got.get()).result == AttemptResult.OK:
                break
            await asyncio.sleep(0.01)
        counter.stop()
        fake.stop()

    on_loop(scenario)
