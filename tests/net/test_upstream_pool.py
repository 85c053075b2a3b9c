"""Connections to upstream hosts: reuse, idle time, and dials that fail as they succeed."""

from __future__ import annotations

import asyncio

import pytest
from conftest import LOOP, FakeServer, on_loop, reply
from fakes.gateway_core import RecordingClient, forward_request, start_gateway_core

from hillmux import interface as api
from hillmux.interface import AttemptResult, RejectReason


@pytest.mark.parametrize("more", [b"HTTP/1.1 200", b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"])
def test_connection_with_data_after_its_response_is_not_reused(
    monkeypatch: pytest.MonkeyPatch, more: bytes
) -> None:
    async def scenario() -> None:
        host = await FakeServer(lambda seen: reply() + more).start()
        core, decisions = await start_gateway_core(monkeypatch, host)
        client = RecordingClient()
        for _ in range(2):
            decisions.actions[api.Request] = [api.SendAttempt("", "s-0", 4000)]
            request = forward_request()
            serial = core.last_serial + 1
            decisions.actions[api.Request] = [api.SendAttempt(f"r{serial}", "s-0", 4000)]
            core.request(client, request)
            assert await client.statuses.get() == 200
            await asyncio.sleep(0.02)  # an answered connection rests before it is used again
        assert len({id(seen.writer) for seen in host.seen}) == 2
        host.stop()

    on_loop(scenario)


def test_connection_idle_longest_is_closed_first(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        fakes = [await FakeServer(lambda seen: reply()).start() for _ in range(3)]
        core, decisions = await start_gateway_core(monkeypatch, fakes[0])
        hosts = core.upstreams
        hosts.update({f"s-{i}": (LOOP, fake.port) for i, fake in enumerate(fakes)}, set())
        client = RecordingClient()
        for name in ("s-1", "s-0", "s-2", "s-0"):  # the last time s-0 is used it is kept, and the freshest
            decisions.actions[api.Request] = [api.SendAttempt(f"r{core.last_serial + 1}", name, 4000)]
            core.request(client, forward_request())
            assert await client.statuses.get() == 200
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


class LoopWithBrokenConnections:
    """A loop whose new connections are broken before anybody can use them."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def __getattr__(self, name: str) -> object:
        return getattr(self._loop, name)

    async def create_connection(self, *args: object) -> tuple[asyncio.Transport, asyncio.Protocol]:
        transport, protocol = await self._loop.create_connection(*args)
        transport.abort()
        return transport, protocol


def test_attempt_on_a_connection_lost_while_it_opens_is_reported_incomplete(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Nothing may be written to it: the attempt would hang until its time-out."""

    async def scenario() -> None:
        host = FakeServer(lambda seen: reply(b"served"))
        core, decisions = await start_gateway_core(monkeypatch, host)
        core.upstreams.loop = LoopWithBrokenConnections(core.loop)
        client = RecordingClient()
        decisions.actions[api.Request] = [api.SendAttempt("r1", "s-0", 5000)]
        decisions.actions[api.AttemptEnded] = [api.Reject("r1", 0.0, RejectReason.OVERLOAD)]
        core.request(client, forward_request())
        assert await client.statuses.get() == 503
        assert decisions.outcomes() == [AttemptResult.INCOMPLETE_REQUEST]
        host.stop()

    on_loop(scenario, 3)


def test_dial_cancelled_as_its_connection_opens_leaks_no_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The loop closes such a connection without a word; it would count against our bound for good."""

    async def scenario() -> None:
        host = FakeServer(lambda seen: reply(b"served"))
        core, decisions = await start_gateway_core(monkeypatch, host)
        hosts, opened = core.upstreams, core.upstreams.connection_opened
        up: list[object] = []

        def opened_and_cancelled(connection) -> None:
            opened(connection)
            up.append(connection)
            (attempt,) = core.requests["r1"].attempts
            hosts.cancel(attempt)

        monkeypatch.setattr(hosts, "connection_opened", opened_and_cancelled)
        decisions.actions[api.Request] = [api.SendAttempt("r1", "s-0", 5000)]
        decisions.actions[api.AttemptEnded] = [api.Reject("r1", 0.0, RejectReason.OVERLOAD)]
        client = RecordingClient()
        core.request(client, forward_request())
        assert await client.statuses.get() == 503
        while hosts.dials:
            await asyncio.sleep(0)
        assert decisions.outcomes() == [
            AttemptResult.NOT_SENT
        ]  # called off before its first byte: it surely never ran
        await asyncio.sleep(0.01)
        assert up and not hosts.connections
        host.stop()

    on_loop(scenario, 3)
