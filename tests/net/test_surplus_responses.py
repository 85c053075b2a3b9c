"""Second copies of responses that come late must not answer other requests on the same connection."""

from __future__ import annotations

import asyncio
from itertools import count

import pytest
from conftest import LOOP, FakeServer, Seen, on_loop, reply

from hillmux.interface import AttemptResult
from hillmux.net import idle_connections
from hillmux.net.attempt import Attempt
from hillmux.net.idle_connections import REUSE_DELAY_S
from hillmux.net.response import Response
from hillmux.net.upstream_pool import UpstreamPool

ATTEMPT_S = 5.0
FAR_FUTURE = 1e9
serials = count(1)


def echo(seen: Seen) -> bytes:
    return reply(seen.headers["x-request-id"].encode())


class PoolOfHosts:
    """A pool with some hosts, each a `FakeServer` that answers with the request's id."""

    def __init__(self, hosts: int) -> None:
        self.hosts = [FakeServer(echo) for _ in range(hosts)]
        self._responses: dict[str, asyncio.Future[Response | None]] = {}

    async def start(self) -> PoolOfHosts:
        loop = asyncio.get_running_loop()
        self.pool = UpstreamPool(loop, 64, 1000.0, 60_000.0, self._ended)
        for host in self.hosts:
            await host.start()
        self.pool.update({f"s-{i}": (LOOP, host.port) for i, host in enumerate(self.hosts)}, set())
        return self

    def _ended(self, attempt: Attempt, result: AttemptResult, response: Response | None) -> None:
        self._responses[attempt.request_id].set_result(response)

    def send(self, host: str = "s-0") -> tuple[str, asyncio.Future[Response | None]]:
        """Send an attempt; returns its id and its response to come."""
        loop = asyncio.get_running_loop()
        request_id = f"id-{next(serials)}"
        head = b"POST / HTTP/1.1\r\nX-Request-Id: %b\r\nContent-Length: 0\r\n" % request_id.encode()
        attempt = Attempt(request_id, 0, host, head, b"", loop.time(), FAR_FUTURE)
        self._responses[request_id] = loop.create_future()
        self.pool.send(attempt, ATTEMPT_S)
        return request_id, self._responses[request_id]

    async def ask(self, host: str = "s-0") -> bool:
        """Send an attempt; returns whether it got its own response."""
        request_id, response = self.send(host)
        got = await response
        return got is not None and got.body == request_id.encode()

    async def let_host_send_copy(self, number: int) -> None:
        """Let a host send data on the connection of its latest request, and wait until it is closed."""
        host = self.hosts[number]
        closed = host.closed
        host.seen[-1].writer.write(echo(host.seen[-1]))
        await host.until(lambda fake: fake.closed > closed)

    def stop(self) -> None:
        self.pool.stop()
        for host in self.hosts:
            host.stop()


@pytest.mark.parametrize("copying", [0, 1])
def test_copies_that_come_late_answer_no_request_after_one_has_been_seen(copying: int) -> None:
    """Guards against review/6; `copying` is the host that sent the first copy, the same or another one."""

    async def scenario() -> None:
        rig = await PoolOfHosts(2).start()
        assert await rig.ask(f"s-{copying}")
        await rig.let_host_send_copy(copying)

        def behave(seen: Seen) -> bytes:
            loop = asyncio.get_running_loop()
            loop.call_later(1.2 * REUSE_DELAY_S, seen.writer.write, echo(seen))
            return echo(seen)

        rig.hosts[0].behave = behave
        for _ in range(20):
            assert await rig.ask()
            await asyncio.sleep(1.1 * REUSE_DELAY_S)
        rig.stop()

    on_loop(scenario)


@pytest.mark.parametrize("in_use", [False, True])
def test_connection_with_shifted_responses_is_not_reused_after_a_copy_has_been_seen(in_use: bool) -> None:
    """Guards against a chain: a copy is taken for a response, whose own response answers the next request."""

    async def scenario() -> None:
        rig = await PoolOfHosts(2).start()
        assert await rig.ask("s-0") and await rig.ask("s-1")
        await asyncio.sleep(2 * REUSE_DELAY_S)
        host = rig.hosts[0]
        host.behave = lambda seen: None  # its responses come late
        _, response = rig.send("s-0")
        await host.until(lambda fake: len(fake.seen) == 2)
        assert host.seen[1].writer is host.seen[0].writer
        host.seen[0].writer.write(echo(host.seen[0]))  # a copy, taken for the response to the second request
        got = await response
        assert got is not None and got.body != host.seen[1].headers["x-request-id"].encode()
        if in_use:
            await asyncio.sleep(2 * REUSE_DELAY_S)
            _, response = rig.send("s-0")
            await host.until(lambda fake: len(fake.seen) == 3)
        await rig.let_host_send_copy(1)  # the first one that is seen
        if in_use:
            host.seen[1].writer.write(echo(host.seen[1]))  # taken for the response to the third request
            await response
        await host.until(lambda fake: fake.closed == 1)
        host.behave = echo
        assert await rig.ask("s-0")
        rig.stop()

    on_loop(scenario)


def test_connections_are_reused_as_before_when_no_copy_has_been_seen_for_a_while(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(idle_connections, "CAUTION_S", 0.0)

    async def scenario() -> None:
        rig = await PoolOfHosts(1).start()
        assert await rig.ask()
        await rig.let_host_send_copy(0)
        for _ in range(3):
            assert await rig.ask()
            await asyncio.sleep(2 * REUSE_DELAY_S)
        assert rig.hosts[0].opened == 2
        rig.stop()

    on_loop(scenario)


def test_data_on_a_connection_that_is_idle_for_long_is_no_second_copy(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against caution where hosts announce that they close an idle connection."""
    monkeypatch.setattr(idle_connections, "MAX_SURPLUS_DELAY_S", REUSE_DELAY_S)

    async def scenario() -> None:
        rig = await PoolOfHosts(2).start()
        assert await rig.ask("s-0") and await rig.ask("s-1")
        await asyncio.sleep(2 * REUSE_DELAY_S)
        rig.hosts[1].seen[-1].writer.write(reply(b"", 408))
        await rig.hosts[1].until(lambda fake: fake.closed == 1)
        assert await rig.ask("s-0")
        assert rig.hosts[0].opened == 1 and rig.pool.idle.generation == 0
        rig.stop()

    on_loop(scenario)
