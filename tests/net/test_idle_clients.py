"""Clients that hold connections without complete requests."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from conftest import (
    Rig,
    message,
    on_loop,
    read_message,
    reply,
)
from fakes.host_behaviours import serve, silent


def test_idle_connection_is_evicted_for_waiting_client(tmp_path: Path) -> None:
    """Silent, half-sent and asked-once connections must not take the descriptors from a client that asks."""

    async def scenario() -> None:
        async with Rig(tmp_path, silent, sockets=128) as rig:
            reader, writer = await rig.connect()
            writer.write(message(rid=b"open"))
            await rig.hosts[0].until(lambda fake: len(fake.seen) == 1)
            crowd = []
            for i in range(210):
                crowd.append(await rig.connect())
                crowd[-1][1].write((b"", b"GET /api/", b"GET /ready HTTP/1.1\r\n\r\n")[i % 3])
            asked = asyncio.create_task(rig.ask(message(rid=b"late")))
            await rig.hosts[0].until(lambda fake: len(fake.seen) == 2)
            for seen in rig.hosts[0].seen:  # the one that was owed its answer has kept its place
                seen.writer.write(reply(b"served"))
            assert (await asked).body == b"served"
            assert (await read_message(reader, writer)).body == b"served"
            assert rig.process.returncode is None

    on_loop(scenario, 10)


def test_connections_with_an_answer_are_evicted_before_new_ones(tmp_path: Path) -> None:
    """Closed, it would lose its first request; the client of a kept one asks again on another."""

    async def scenario() -> None:
        async with Rig(tmp_path, serve, sockets=128) as rig:
            reader, writer = await rig.connect()
            crowd = []
            for _ in range(150):
                crowd.append(await rig.connect())
                crowd[-1][1].write(b"GET /ready HTTP/1.1\r\n\r\n")
                await read_message(*crowd[-1])
            writer.write(message())
            assert (await read_message(reader, writer)).body == b"served"

    on_loop(scenario, 10)


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"", None),
        (b"GET /api/0 HTTP/1.1\r\nX-Pad: ", b"408"),
        (message("put", body=b"x" * 9)[:-1], b"408"),
        (b"GET /ready HTTP/1.1\r\n\r\nGET ", b"408"),
    ],
)
def test_incomplete_request_is_closed_in_time(tmp_path: Path, sent: bytes, status: bytes | None) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, serve) as rig:
            reader, writer = await rig.connect()
            writer.write(sent)
            async with asyncio.timeout(3):  # an error or a close is owed by then
                answer = await reader.read()
            assert answer == b"" if status is None else b"HTTP/1.1 " + status in answer
            assert not rig.hosts[0].seen

    on_loop(scenario)
