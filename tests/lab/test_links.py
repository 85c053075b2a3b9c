"""Faults of an emulated link, observed at the gateway's end of real connections."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine
from typing import Any

import pytest
from conftest import on_loop

from hillmux.lab.links import LINGER_RESET, EmulatedConnection, EmulatedLink, GatedListener, Receiver


class Echo(Receiver):
    """Sends back all bytes that it receives."""

    def __init__(self, connection: EmulatedConnection) -> None:
        self.connection, self.closed = connection, False
        self.received_bytes = b""

    def received(self, data: bytes) -> None:
        self.received_bytes += data
        self.connection.write(data)

    def ended(self) -> None:
        self.closed = True


class EchoLink:
    """A link with a listener whose connections are echoed."""

    def __init__(self) -> None:
        self.link = EmulatedLink("g0", "h0")
        self.echoes: list[Echo] = []
        self.listener = GatedListener(self.link, self._new_echo, asyncio.get_running_loop())
        self.listener.open()

    def _new_echo(self, connection: EmulatedConnection) -> Echo:
        self.echoes.append(Echo(connection))
        return self.echoes[-1]

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self.listener.port)


def run_scenario(scenario: Callable[[EchoLink], Coroutine[Any, Any, None]]) -> None:
    async def run() -> None:
        echo_link = EchoLink()
        try:
            await scenario(echo_link)
        finally:
            echo_link.listener.close()
            for connection in list(echo_link.link.connections):
                connection.reset()

    on_loop(run)


async def assert_pending(operation: Coroutine[Any, Any, Any]) -> None:
    """Check that an operation neither completes nor fails within 0.1 s."""
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(operation, 0.1)


@pytest.mark.parametrize("inward", [True, False])
def test_cut_drops_bytes_silently_and_healing_resets_the_connections_that_lost_some(inward: bool) -> None:
    async def scenario(echo_link: EchoLink) -> None:
        reader, writer = await echo_link.connect()
        writer.write(b"a")
        assert await reader.readexactly(1) == b"a"
        other, _ = await echo_link.connect()
        echo_link.link.cut(inward, not inward)
        writer.write(b"b")
        await assert_pending(reader.read(1))
        assert echo_link.echoes[0].received_bytes == (b"a" if inward else b"ab")
        echo_link.link.cut(False, False)
        with pytest.raises(ConnectionResetError):
            await reader.read(1)
        await assert_pending(other.read(1))  # it lost no bytes, so it is not reset

    run_scenario(scenario)


def test_dial_hangs_during_cut_and_succeeds_after_it() -> None:
    async def scenario(echo_link: EchoLink) -> None:
        echo_link.link.cut(True, True)
        for _ in range(3):
            await assert_pending(echo_link.connect())
        echo_link.link.cut(False, False)
        reader, writer = await asyncio.wait_for(echo_link.connect(), 5)
        writer.write(b"a")
        assert await reader.readexactly(1) == b"a"

    run_scenario(scenario)


def test_closed_listener_refuses_connections_and_reopens_on_the_same_port() -> None:
    async def scenario(echo_link: EchoLink) -> None:
        reader, writer = await echo_link.connect()
        writer.write(b"a")
        await reader.readexactly(1)
        port = echo_link.listener.port
        echo_link.listener.close()
        echo_link.echoes[0].connection.reset()
        with pytest.raises(ConnectionResetError):
            await reader.read(1)
        with pytest.raises(ConnectionRefusedError):
            await echo_link.connect()
        echo_link.listener.open()
        assert echo_link.listener.port == port
        await echo_link.connect()

    run_scenario(scenario)


def test_reset_within_response_delivers_the_bytes_before_it() -> None:
    async def scenario(echo_link: EchoLink) -> None:
        echo_link.link.reset_after = 3
        reader, writer = await echo_link.connect()
        writer.write(b"abcdef")
        assert await reader.readexactly(3) == b"abc"
        with pytest.raises(ConnectionResetError):
            await reader.read(1)

    run_scenario(scenario)


def test_end_of_connection_is_passed_on_in_both_directions() -> None:
    async def scenario(echo_link: EchoLink) -> None:
        reader, writer = await echo_link.connect()
        writer.write(b"a")
        await reader.readexactly(1)
        writer.write_eof()
        while not echo_link.echoes[0].closed:
            await asyncio.sleep(0.005)
        assert await reader.read(1) == b""

    run_scenario(scenario)


def test_bytes_stay_in_order_when_delay_is_reduced() -> None:
    async def scenario(echo_link: EchoLink) -> None:
        echo_link.link.delay_ms = 60
        reader, writer = await echo_link.connect()
        writer.write(b"a")
        while not echo_link.link.connections:
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.02)
        echo_link.link.delay_ms = 0
        writer.write(b"b")
        assert await reader.readexactly(2) == b"ab"

    run_scenario(scenario)


@pytest.mark.parametrize("cut", [False, True])
def test_bytes_sent_before_sender_died_arrive_before_the_end_of_connection(cut: bool) -> None:
    """Guards against an end of connection that overtakes delayed bytes when the sender is killed.

    Under a cut, bytes and end are lost; the end is delivered once the path is restored.
    """

    async def scenario(echo_link: EchoLink) -> None:
        reader, writer = await echo_link.connect()
        writer.write(b"a")
        assert await reader.readexactly(1) == b"a"
        (echo,) = echo_link.echoes
        echo_link.link.delay_ms = 1000  # longer than any stall of this test
        writer.write(b"half")
        while not echo.connection.has_inbound():
            await asyncio.sleep(0.001)
        if cut:
            echo_link.link.cut(True, True)
            writer.write(b"lost")
        sock = writer.get_extra_info("socket")
        # A reset, as the kernel sends for the connections of a killed process.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        writer.transport.abort()
        if cut:
            await asyncio.sleep(0.1)
            assert not echo.closed  # the cut hides the reset
            echo_link.link.cut(False, False)
        else:
            assert not echo.closed
        while not echo.closed:
            await asyncio.sleep(0.005)
        assert echo.received_bytes == (b"a" if cut else b"ahalf")

    run_scenario(scenario)
