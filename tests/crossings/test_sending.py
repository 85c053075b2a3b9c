"""Between the decision to send and the first byte: what has changed by then holds."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
import socket
import time
from collections.abc import Callable

import pytest
from conftest import LOOP, Driver, Fake, message, on_loop, reply
from fakes.core import Answers, HeldDials, Script, an_order, core_with

from hillmux import interface as api
from hillmux.interface import AttemptResult, ListKind
from hillmux.net.counter_client import CONNECTIONS, HttpCounterClient
from hillmux.net.discovery_response import parse_discovery_response
from hillmux.net.gateway_core import GatewayCore
from hillmux.net.streaming import StreamingListener

LONG_MS = 5000.0


def told(core: GatewayCore, lifecycle: str, port: int) -> None:
    """Discovery tells a change of the one host."""
    entry = {"instanceId": "s-0", "hostPort": f"{LOOP}:{port}", "lifecycle": lifecycle}
    core.apply_endpoints(
        parse_discovery_response({"generation": 2, "reset": False, "instances": [entry]}), ListKind.CHANGES
    )


def drains(core: GatewayCore, port: int) -> None:
    told(core, "draining", port)


def is_gone(core: GatewayCore, port: int) -> None:
    told(core, "gone", port)


def moves(core: GatewayCore, port: int) -> None:
    told(core, "ready", port + 1 if port < 65535 else port - 1)


def is_out_by_hand(core: GatewayCore, port: int) -> None:
    core.upstreams.set_disabled(frozenset({"s-0"}))


def client_leaves(core: GatewayCore, port: int) -> None:
    core.client_disconnected("r1")


def guard_answers(core: GatewayCore, port: int) -> None:
    core.deadline_reached(core.requests["r1"])


def time_runs_out(core: GatewayCore, port: int) -> None:
    core.requests["r1"].deadline = 0.0


@pytest.mark.parametrize(
    "happens", [drains, is_gone, moves, is_out_by_hand, client_leaves, guard_answers, time_runs_out]
)
def test_what_happens_while_a_dial_is_under_way_keeps_the_request_from_its_host(
    monkeypatch: pytest.MonkeyPatch, happens: Callable[[GatewayCore, int], None]
) -> None:
    """The module calls nothing off: some settings do not let it, and its events may wait for news."""

    async def scenario() -> None:
        host = Fake(lambda seen: reply(b"served"))
        core, script = await core_with(monkeypatch, host)
        dials = core.upstreams.loop = HeldDials(core.loop)
        core.upstreams.dialer.timeout_s = 10.0
        script.plan[api.Request] = [api.SendAttempt("r1", "s-0", LONG_MS)]
        core.request(Answers(), an_order())
        await dials.asked.wait()
        happens(core, host.port)
        dials.go.set()
        while not script.outcomes():
            await asyncio.sleep(0)
        assert script.outcomes() == [AttemptResult.NOT_SENT]
        assert not core.requests or core.requests["r1"].open_attempts == 0
        await asyncio.sleep(0.02)
        assert not host.seen
        host.stop()

    on_loop(scenario, 5)


@pytest.mark.parametrize("happens", [drains, is_gone, is_out_by_hand])
def test_what_happens_after_the_first_byte_leaves_the_request_alone(
    monkeypatch: pytest.MonkeyPatch, happens: Callable[[GatewayCore, int], None]
) -> None:
    async def scenario() -> None:
        host = Fake(lambda seen: None)
        core, script = await core_with(monkeypatch, host)
        script.plan[api.Request] = [api.SendAttempt("r1", "s-0", LONG_MS)]
        client = Answers()
        core.request(client, an_order())
        await host.until(lambda fake: len(fake.seen) == 1)
        happens(core, host.port)
        host.seen[0].writer.write(reply(b"served"))
        assert await client.got.get() == 200
        assert script.outcomes() == [AttemptResult.OK]
        await host.until(lambda fake: fake.closed == 1)  # and its connection is not kept
        host.stop()

    on_loop(scenario, 5)


def test_a_decision_made_on_an_older_list_is_not_sent_to_a_host_that_drains(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """News and a send cross in the process: the module hears of the drain one event after its decision."""

    async def scenario() -> None:
        host = Fake(lambda seen: reply(b"served"))
        core, script = await core_with(monkeypatch, host)
        client = Answers()
        script.plan[api.Request] = [api.SendAttempt("r1", "s-0", LONG_MS)]
        core.request(client, an_order())
        assert await client.got.get() == 200
        await asyncio.sleep(0.02)  # its connection is kept, and rested
        before = len(script.events)
        core._handling = True  # another event is being handled
        core.request(client, an_order())
        drains(core, host.port)
        core._handling = False
        script.plan[api.Request] = [api.SendAttempt("r2", "s-0", LONG_MS)]
        core.post(core._queued_events.popleft())
        assert [type(e) for e in script.events[before:]] == [api.Request, api.EndpointList, api.AttemptEnded]
        assert script.outcomes()[-1] == AttemptResult.NOT_SENT and len(host.seen) == 1
        host.stop()

    on_loop(scenario, 5)


@pytest.mark.parametrize("recalled", [True, False])
def test_a_repeat_is_sent_only_while_the_hosts_recall_its_key(
    monkeypatch: pytest.MonkeyPatch, recalled: bool
) -> None:
    async def scenario() -> None:
        host = Fake(lambda seen: reply(b"served"))
        core, script = await core_with(monkeypatch, host)
        dials = core.upstreams.loop = HeldDials(core.loop)
        core.upstreams.dialer.timeout_s = 10.0
        script.plan[api.Request] = [api.SendAttempt("r1", "s-0", LONG_MS, LONG_MS if recalled else 20.0)]
        core.request(Answers(), an_order())
        await dials.asked.wait()
        attempt = core.requests["r1"].attempts[0]
        assert attempt is not None
        while not recalled and time.monotonic() < attempt.delivery_deadline:
            await asyncio.sleep(0.001)
        dials.go.set()
        while not script.outcomes():
            await asyncio.sleep(0)
        assert script.outcomes() == [AttemptResult.OK if recalled else AttemptResult.NOT_SENT]
        assert len(host.seen) == recalled
        host.stop()

    on_loop(scenario, 5)


def test_the_module_tells_how_long_a_repeat_may_still_arrive() -> None:
    """The window runs from the first attempt that may have run, not from the one that surely did not."""
    driver = Driver()
    rid, out = driver.ask("put")
    assert [a.delivery_window_ms for a in out if isinstance(a, api.SendAttempt)] == [float("inf")]
    (again,) = (
        a
        for a in driver.end(rid, AttemptResult.CONNECT_FAILED, 10, after=10)
        if isinstance(a, api.SendAttempt)
    )
    assert again.delivery_window_ms == float("inf")  # nothing has run
    (last,) = (
        a for a in driver.end(rid, AttemptResult.RESET, 300, after=300) if isinstance(a, api.SendAttempt)
    )
    assert last.delivery_window_ms == 3000 - 2 * 2 - 300  # window, two ticks, since the second one was sent


def test_a_connection_that_came_up_for_nothing_serves_the_next(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        host = Fake(lambda seen: reply(b"served"))
        core, script = await core_with(monkeypatch, host)
        dials = core.upstreams.loop = HeldDials(core.loop)
        core.upstreams.dialer.timeout_s = 10.0
        script.plan[api.Request] = [api.SendAttempt("r1", "s-0", LONG_MS)]
        core.request(Answers(), an_order())
        await dials.asked.wait()
        core.client_disconnected("r1")
        dials.go.set()
        while not script.outcomes():
            await asyncio.sleep(0)
        await asyncio.sleep(0.02)
        client = Answers()
        script.plan[api.Request] = [api.SendAttempt("r2", "s-0", LONG_MS)]
        core.request(client, an_order())
        assert await client.got.get() == 200
        assert (host.opened, len(host.seen)) == (1, 1)
        host.stop()

    on_loop(scenario, 5)


def test_an_attempt_that_is_given_up_is_out_no_more_when_the_module_hears_of_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """What the module sends next would else be a second copy, with the first one still out."""

    async def scenario() -> None:
        listener = socket.create_server((LOOP, 0))
        host = Fake(lambda seen: None)
        core, script = await core_with(monkeypatch, host)
        core.upstreams.update({"s-0": (LOOP, listener.getsockname()[1])}, set())
        script.plan[api.Request] = [api.SendAttempt("r1", "s-0", 60.0)]
        ended: list[bytes] = []
        heard = Script.handle

        def handle(self: Script, now_ms: float, event: api.Event) -> list[api.Action]:
            if isinstance(event, api.AttemptEnded):
                peer.setblocking(False)
                peer.recv(65536)  # the request
                ended.append(peer.recv(1))  # the end, or BlockingIOError where there is none yet
            return heard(self, now_ms, event)

        monkeypatch.setattr(Script, "handle", handle)
        core.request(Answers(), an_order())
        peer, _ = await asyncio.get_running_loop().run_in_executor(None, listener.accept)
        while not script.outcomes():
            await asyncio.sleep(0.001)
        assert script.outcomes() == [AttemptResult.TIMED_OUT] and ended == [b""]
        peer.close()
        listener.close()
        host.stop()

    on_loop(scenario, 5)


def test_an_attempt_is_given_up_though_no_descriptor_is_left(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        def none_left(descriptor: int) -> int:
            raise OSError(errno.EMFILE, "Too many open files")

        host = Fake(lambda seen: None)
        core, script = await core_with(monkeypatch, host)
        script.plan[api.Request] = [api.SendAttempt("r1", "s-0", 60.0)]
        core.request(Answers(), an_order())
        await host.until(lambda fake: len(fake.seen) == 1)
        monkeypatch.setattr(os, "dup", none_left)
        await host.until(lambda fake: fake.closed == 1)
        assert script.outcomes() == [AttemptResult.TIMED_OUT]
        host.stop()

    on_loop(scenario, 5)


def test_a_connection_past_its_idle_time_is_not_written_to_before_the_sweep(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A host with a short idle limit closes it between two sweeps: what crosses that may have run."""

    async def scenario() -> None:
        host = Fake(lambda seen: reply(b"served"))
        core, script = await core_with(monkeypatch, host)
        client = Answers()
        for serial, opened in ((1, 1), (2, 1), (3, 2)):
            script.plan[api.Request] = [api.SendAttempt(f"r{serial}", "s-0", LONG_MS)]
            core.request(client, an_order())
            assert await client.got.get() == 200
            assert host.opened == opened
            await asyncio.sleep(0.02)
            if serial == 2:  # no sweep comes: the core was not started
                for connection in core.upstreams.idle.oldest_first:
                    connection.idle_since -= core.upstreams.idle.timeout_s
        host.stop()

    on_loop(scenario, 5)


def test_what_never_left_took_nothing_of_a_quota_or_a_ceiling() -> None:
    driver = Driver(counter_available=False)
    driver.now += 60_000  # ceilings are earned anew after a start
    rid, out = driver.ask("read", "capped", units=2, width=1)
    (use,) = driver.gateway.quotas.registry.states.values()
    took = (use.remaining, use.ceiling_remaining)
    driver.give(api.ClientDisconnected(rid))
    driver.give(api.AttemptEnded(rid, 0, "h0", AttemptResult.NOT_SENT, 0.0, True))
    assert (use.remaining, use.ceiling_remaining, use.used) == (took[0] + 2, took[1] + 2, 0.0)
    rid, out = driver.ask("read", "capped", units=2, width=1)
    driver.give(
        api.AttemptEnded(rid, 0, "h0", AttemptResult.QUEUE_FULL, 0.0, True)
    )  # it came whole to its host
    assert (use.remaining, use.ceiling_remaining) == took


@pytest.mark.parametrize("behind", [True, False])
def test_a_request_read_before_its_clients_end_is_not_sent_on_after_a_stall(
    monkeypatch: pytest.MonkeyPatch, behind: bool
) -> None:
    """Both came while we stood still; the loop reads the request first. Without a stall there is no look."""

    async def scenario() -> None:
        host = Fake(lambda seen: reply(b"served"))
        core, script = await core_with(monkeypatch, host)
        server = StreamingListener(core, core.loop, 1024)
        ((_, port),) = server.start((LOOP, 0))
        client = socket.create_connection((LOOP, port))
        client.sendall(message("pay", rid=b"first"))
        script.plan[api.Request] = [api.SendAttempt("r1", "s-0", LONG_MS)]
        await host.until(lambda fake: len(fake.seen) == 1)
        while not script.outcomes():
            await asyncio.sleep(0)
        await asyncio.sleep(0.02)  # the client has its answer, the host's connection is rested
        script.plan[api.Request] = [api.SendAttempt("r2", "s-0", LONG_MS)]
        if behind:
            core.loop_lag._next_heartbeat_at = time.monotonic() - 0.2
        client.sendall(message("pay", rid=b"second"))
        client.shutdown(socket.SHUT_WR)
        while len(script.outcomes()) < 2:
            await asyncio.sleep(0)
        assert script.outcomes()[1] == (AttemptResult.NOT_SENT if behind else AttemptResult.OK)
        assert len(host.seen) == (1 if behind else 2)
        client.close()
        server.stop_accepting()
        host.stop()

    on_loop(scenario, 5)


def test_a_client_that_left_while_it_waited_to_be_accepted_is_not_sent_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        host = Fake(lambda seen: reply(b"served"))
        core, script = await core_with(monkeypatch, host)
        server = StreamingListener(core, core.loop, 1024)
        ((_, port),) = server.start((LOOP, 0))
        before = Answers()
        script.plan[api.Request] = [api.SendAttempt("r1", "s-0", LONG_MS)]
        core.request(before, an_order())
        assert await before.got.get() == 200
        await asyncio.sleep(0.02)  # the host's connection is kept, and rested
        script.plan[api.Request] = [api.SendAttempt("r2", "s-0", LONG_MS)]
        client = socket.create_connection((LOOP, port))
        client.sendall(message("pay"))
        client.close()  # the loop has had no turn since it connected
        while len(script.outcomes()) < 2:
            await asyncio.sleep(0)
        assert script.outcomes()[1] == AttemptResult.NOT_SENT
        await asyncio.sleep(0.02)
        assert len(host.seen) == 1
        server.stop_accepting()
        host.stop()

    on_loop(scenario, 5)


def test_a_counter_call_does_not_cross_the_counters_idle_close() -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        listener = socket.create_server((LOOP, 0))
        got: asyncio.Queue[api.CounterReply] = asyncio.Queue()
        counter = HttpCounterClient(loop, (LOOP, listener.getsockname()[1]), 1000.0, got.put_nowait)
        counter.start()
        peers = [(await loop.run_in_executor(None, listener.accept))[0] for _ in range(CONNECTIONS)]
        while not all(slot._connection for slot in counter._channels):
            await asyncio.sleep(0)
        for slot in counter._channels:
            slot._last_reply_at = loop.time() - 1.0  # they have stood idle
        for peer in peers:
            peer.shutdown(socket.SHUT_WR)  # has arrived, and the loop has had no turn since
        counter.call(api.IncrementCounter("a", 1.0, 1000.0))
        peer, _ = await loop.run_in_executor(None, listener.accept)
        peer.setblocking(False)
        assert b"/v1/count/a?add=1&" in await loop.sock_recv(peer, 65536)
        await loop.sock_sendall(peer, reply(b"1"))
        assert (await got.get()).result == AttemptResult.OK
        for old in peers:
            old.setblocking(False)
            with contextlib.suppress(ConnectionError):
                assert await loop.sock_recv(old, 65536) == b""  # nothing was written to it
        counter.stop()
        for sock in (*peers, peer, listener):
            sock.close()

    on_loop(scenario, 5)
