"""Clients that keep connections open without sending complete requests."""

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
    """Guards against idle connections that use up the descriptors and shut out a client with a request.

    The idle ones have sent nothing, half a request, or one request that was answered.
    """

    async def scenario() -> None:
        async with Rig(tmp_path, silent, sockets=128) as rig:
            reader, writer = await rig.connect()
            writer.write(message(rid=b"open"))
            await rig.hosts[0].until(lambda fake: len(fake.seen) == 1)
            idle_clients = []
            for i in range(210):
                idle_clients.append(await rig.connect())
                idle_clients[-1][1].write((b"", b"GET /api/", b"GET /ready HTTP/1.1\r\n\r\n")[i % 3])
            response_task = asyncio.create_task(rig.ask(message(rid=b"late")))
            await rig.hosts[0].until(lambda fake: len(fake.seen) == 2)
            for seen in rig.hosts[0].seen:  # the connection with an open request was not evicted
                seen.writer.write(reply(b"served"))
            assert (await response_task).body == b"served"
            assert (await read_message(reader, writer)).body == b"served"
            assert rig.process.returncode is None

    on_loop(scenario, 10)


def test_answered_connections_are_evicted_before_new_ones(tmp_path: Path) -> None:
    """A new connection that is closed loses its first request; an answered one is retried elsewhere."""

    async def scenario() -> None:
        async with Rig(tmp_path, serve, sockets=128) as rig:
            reader, writer = await rig.connect()
            idle_clients = []
            for _ in range(150):
                idle_clients.append(await rig.connect())
                idle_clients[-1][1].write(b"GET /ready HTTP/1.1\r\n\r\n")
                await read_message(*idle_clients[-1])
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
def test_incomplete_request_times_out(tmp_path: Path, sent: bytes, status: bytes | None) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, serve) as rig:
            reader, writer = await rig.connect()
            writer.write(sent)
            async with asyncio.timeout(3):  # the response or the close is due by then
                answer = await reader.read()
            assert answer == b"" if status is None else b"HTTP/1.1 " + status in answer
            assert not rig.hosts[0].seen

    on_loop(scenario)
