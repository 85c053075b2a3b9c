"""Forwarding of requests to hosts and of their responses, tested on a real gateway process."""

from __future__ import annotations

import asyncio
from pathlib import Path

from conftest import (
    Rig,
    message,
    on_loop,
    read_message,
    reply,
)
from fakes.host_behaviours import serve, silent

from hillmux.net.idle_connections import REUSE_DELAY_S


def test_request_and_response_are_forwarded_unchanged(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, lambda seen: reply(b"\0body", headers=b"Billed-Units: 5\r\n")) as rig:
            answer = await rig.ask(message("put", body=b"x" * 3000, target="/api/v2/00000000b4d65521?a=1"))
            assert (answer.line.split()[1], answer.body) == ("200", b"\0body")
            (seen,) = rig.hosts[0].seen
            assert seen.line == "POST /api/v2/00000000b4d65521?a=1 HTTP/1.1"
            assert seen.body == b"x" * 3000
            assert seen.headers["x-request-id"] == "9b1f03aa5c7e2d41"
            assert seen.headers["idempotency-key"] == "5c0f6e1a"
            assert 0 < int(seen.headers["x-deadline"].removesuffix("m")) <= 6000
            # The counter receives the estimated units first, then those billed beyond the estimate.
            await rig.counter.until(lambda fake: sum(rig.totals.values()) >= 2)

    on_loop(scenario)


def test_pipelined_requests_are_answered_in_order(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, lambda seen: reply(seen.headers["x-request-id"].encode())) as rig:
            reader, writer = await rig.connect()
            writer.write(b"".join(message(rid=b"id-%d" % i) for i in range(5)))
            bodies = [(await read_message(reader, writer)).body for _ in range(5)]
            assert bodies == [b"id-%d" % i for i in range(5)]
            assert len(rig.hosts[0].seen) == 5

    on_loop(scenario)


def test_rejection_is_immediate_and_has_retry_after(tmp_path: Path) -> None:
    """A rejected request is answered at once, and not held until its deadline."""

    async def scenario() -> None:
        async with Rig(tmp_path, serve) as rig:
            answers = [await rig.ask(message(plan="small", rid=b"id-%d" % i)) for i in range(6)]
            rejected = [a for a in answers if a.line.split()[1] == "503"]
            assert rejected and len(rig.hosts[0].seen) == len(answers) - len(rejected)
            assert all(0 < float(a.headers["retry-after"]) <= 1 for a in rejected)

    on_loop(scenario, 5)  # a request held until shortly before its deadline of 6 s would exceed this limit


def test_attempt_is_cancelled_when_client_disconnects(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, silent) as rig:
            _, writer = await rig.connect()
            writer.write(message("put"))
            await rig.hosts[0].until(lambda fake: len(fake.seen) == 1)
            writer.close()
            await rig.hosts[0].until(lambda fake: fake.closed == 1)
            assert len(rig.hosts[0].seen) == 1

    on_loop(scenario, 4)  # ends before the attempt's own time-out would close the connection


def test_idle_upstream_connections_are_reused(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, serve) as rig:
            reader, writer = await rig.connect()
            for i in range(5):
                writer.write(message(rid=b"id-%d" % i))
                assert (await read_message(reader, writer)).body == b"served"
                await asyncio.sleep(5 * REUSE_DELAY_S)
            assert len({id(s.writer) for s in rig.hosts[0].seen}) == 1

    on_loop(scenario)
