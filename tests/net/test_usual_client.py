"""The usual clients of the memory tests tell requests that were read from those that were not."""

from __future__ import annotations

import asyncio
import socket

import pytest
from conftest import LOOP, on_loop
from fakes.usual_client import is_closed, was_reset


async def connect() -> tuple[asyncio.StreamReader, asyncio.StreamWriter, socket.socket]:
    """A connection whose other side the test plays."""
    with socket.create_server((LOOP, 0)) as server:
        reader, writer = await asyncio.open_connection(*server.getsockname())
        return reader, writer, server.accept()[0]


def test_request_that_was_read_and_then_closed_is_not_taken_for_unread() -> None:
    async def scenario() -> None:
        reader, writer, other = await connect()
        writer.write(b"request")
        await asyncio.sleep(0.01)
        assert other.recv(100) == b"request"
        other.close()
        with pytest.raises(asyncio.IncompleteReadError):
            await reader.readexactly(1)
        assert not was_reset(writer)
        writer.close()

    on_loop(scenario)


def test_request_that_meets_a_closed_connection_is_taken_for_unread() -> None:
    async def scenario() -> None:
        reader, writer, other = await connect()
        other.close()
        while not reader.at_eof():  # the end is read first, and the reset follows
            await asyncio.sleep(0.01)
        writer.write(b"request")
        with pytest.raises(asyncio.IncompleteReadError):
            await reader.readexactly(1)
        await asyncio.sleep(0.01)
        assert was_reset(writer)
        writer.close()

    on_loop(scenario)


def test_connection_that_the_other_side_has_closed_is_seen_as_closed() -> None:
    async def scenario() -> None:
        reader, writer, other = await connect()
        assert not is_closed((reader, writer))
        other.close()
        assert is_closed((reader, writer))
        writer.close()

    on_loop(scenario)
