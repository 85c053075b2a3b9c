"""Faults on a link, seen from the gateway's end of real connections."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine
from typing import Any

import pytest
from conftest import on_loop

from hillmux.lab.links import LINGER_RESET, EmulatedConnection, EmulatedLink, GatedListener, Receiver


class Echo(Receiver):
    """Gives back what comes."""

    def __init__(self, wire: EmulatedConnection) -> None:
        self.wire, self.over = wire, False
        self.seen = b""

    def received(self, data: bytes) -> None:
        self.seen += data
        self.wire.write(data)

    def ended(self) -> None:
        self.over = True


class Way:
    """A link with a door behind it."""

    def __init__(self) -> None:
        self.link = EmulatedLink("g0", "h0")
        self.echoes: list[Echo] = []
        self.door = GatedListener(self.link, self._made, asyncio.get_running_loop())
        self.door.open()

    def _made(self, wire: EmulatedConnection) -> Echo:
        self.echoes.append(Echo(wire))
        return self.echoes[-1]

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self.door.port)


def playing(scenario: Callable[[Way], Coroutine[Any, Any, None]]) -> None:
    async def whole() -> None:
        way = Way()
        try:
            await scenario(way)
        finally:
            way.door.close()
            for wire in list(way.link.connections):
                wire.reset()

    on_loop(whole)


async def silent(work: Coroutine[Any, Any, Any]) -> None:
    """Nothing comes of it in a while."""
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(work, 0.1)


@pytest.mark.parametrize("inward", [True, False])
def test_a_cut_is_silent_and_what_lost_bytes_is_reset_when_it_heals(inward: bool) -> None:
    async def scenario(way: Way) -> None:
        reader, writer = await way.connect()
        writer.write(b"a")
        assert await reader.readexactly(1) == b"a"
        other, _ = await way.connect()
        way.link.cut(inward, not inward)
        writer.write(b"b")
        await silent(reader.read(1))
        assert way.echoes[0].seen == (b"a" if inward else b"ab")
        way.link.cut(False, False)
        with pytest.raises(ConnectionResetError):
            await reader.read(1)
        await silent(other.read(1))  # nothing of it was lost: it stays

    playing(scenario)


def test_a_dial_under_a_cut_never_comes_up_and_does_after_it() -> None:
    async def scenario(way: Way) -> None:
        way.link.cut(True, True)
        for _ in range(3):
            await silent(way.connect())
        way.link.cut(False, False)
        reader, writer = await asyncio.wait_for(way.connect(), 5)
        writer.write(b"a")
        assert await reader.readexactly(1) == b"a"

    playing(scenario)


def test_a_stand_in_that_dies_resets_and_refuses_and_is_back_at_its_port() -> None:
    async def scenario(way: Way) -> None:
        reader, writer = await way.connect()
        writer.write(b"a")
        await reader.readexactly(1)
        port = way.door.port
        way.door.close()
        way.echoes[0].wire.reset()
        with pytest.raises(ConnectionResetError):
            await reader.read(1)
        with pytest.raises(ConnectionRefusedError):
            await way.connect()
        way.door.open()
        assert way.door.port == port
        await way.connect()

    playing(scenario)


def test_a_reset_in_the_middle_of_an_answer_lets_its_half_through() -> None:
    async def scenario(way: Way) -> None:
        way.link.reset_after = 3
        reader, writer = await way.connect()
        writer.write(b"abcdef")
        assert await reader.readexactly(3) == b"abc"
        with pytest.raises(ConnectionResetError):
            await reader.read(1)

    playing(scenario)


def test_the_ends_of_a_connection_are_not_hidden() -> None:
    async def scenario(way: Way) -> None:
        reader, writer = await way.connect()
        writer.write(b"a")
        await reader.readexactly(1)
        writer.write_eof()
        while not way.echoes[0].over:
            await asyncio.sleep(0.005)
        assert await reader.read(1) == b""

    playing(scenario)


def test_a_delay_keeps_the_order_of_bytes_also_when_it_shrinks() -> None:
    async def scenario(way: Way) -> None:
        way.link.delay_ms = 60
        reader, writer = await way.connect()
        writer.write(b"a")
        while not way.link.connections:
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.02)
        way.link.delay_ms = 0
        writer.write(b"b")
        assert await reader.readexactly(2) == b"ab"

    playing(scenario)


@pytest.mark.parametrize("cut", [False, True])
def test_what_a_peer_sent_before_it_died_comes_before_its_end(cut: bool) -> None:
    """Half of a message is on its way when its sender is killed; a cut loses both until the path is back."""

    async def scenario(way: Way) -> None:
        reader, writer = await way.connect()
        writer.write(b"a")
        assert await reader.readexactly(1) == b"a"
        (echo,) = way.echoes
        way.link.delay_ms = 1000  # a stall of this test must not outlast it
        writer.write(b"half")
        while not echo.wire.has_inbound():
            await asyncio.sleep(0.001)
        if cut:
            way.link.cut(True, True)
            writer.write(b"lost")
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)  # as a process that is killed
        writer.transport.abort()
        if cut:
            await asyncio.sleep(0.1)
            assert not echo.over  # nobody can know
            way.link.cut(False, False)
        else:
            assert not echo.over
        while not echo.over:
            await asyncio.sleep(0.005)
        assert echo.seen == (b"a" if cut else b"ahalf")

    playing(scenario)
