"""What came sound before a fault in a host's input is passed on, and nothing short looks complete."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest
from conftest import message, on_loop
from fakes.client_connection import FlowControlledTransport, RecordingResponseProtocol
from fakes.raw import Peer, read_chunked_body, running_rig

from hillmux.net.http1 import MAX_BUFFERED_BODY_BYTES
from hillmux.net.response import Response

BODY = bytes(i % 251 for i in range(88_969))
CHUNK_BYTES = 4_000
CLIENTS = 16
NOISE = (
    b"\x00\x01noise\xff\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
    b"HTTP/1.1 200 OK\r\nContent-Length: 90000\r\n\r\n" + b"y" * 80_000,
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n11170\r\n" + b"y" * 70_000,
)


def encode(framing: str, body: bytes = BODY) -> bytes:
    """Encode a response with its body in chunks, or with a length."""
    if framing == "length":
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
    chunks = (body[start : start + CHUNK_BYTES] for start in range(0, len(body), CHUNK_BYTES))
    encoded = b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + encoded + b"0\r\n\r\n"


@pytest.mark.parametrize("noise", NOISE, ids=("bytes", "short", "long", "chunked"))
@pytest.mark.parametrize("framing", ["chunked", "length"])
def test_long_answer_with_noise_behind_its_end_is_delivered_complete(
    tmp_path: Path, framing: str, noise: bytes
) -> None:
    async def script(peer: Peer) -> None:
        await peer.head()
        await peer.write(encode(framing) + noise)
        await peer.closed()

    async def scenario() -> None:
        async with running_rig(tmp_path, script) as rig:
            for number in range(CLIENTS):
                reader, writer = await rig.connect()
                writer.write(message(rid=b"noise-%d" % number))
                head = await reader.readuntil(b"\r\n\r\n")
                if b"Transfer-Encoding: chunked" in head:
                    body = await read_chunked_body(reader)
                else:
                    assert f"Content-Length: {len(BODY)}".encode() in head
                    body = await reader.readexactly(len(BODY))
                assert body == BODY
                writer.close()

    on_loop(scenario)


def test_long_answer_with_a_fault_before_its_end_is_not_ended_soundly(tmp_path: Path) -> None:
    async def script(peer: Peer) -> None:
        await peer.head()
        await peer.write(encode("chunked").removesuffix(b"0\r\n\r\n") + b"zz\r\n")
        await peer.closed()

    async def scenario() -> None:
        async with running_rig(tmp_path, script) as rig:
            for number in range(CLIENTS):
                reader, writer = await rig.connect()
                writer.write(message(rid=b"fault-%d" % number))
                await reader.readuntil(b"\r\n\r\n")
                with pytest.raises((asyncio.IncompleteReadError, ConnectionError, ValueError)):
                    await read_chunked_body(reader)
                writer.close()

    on_loop(scenario)


class RecordingStream(RecordingResponseProtocol):
    """Collects the parts of streamed responses."""

    accepts_streams = True

    def __init__(self) -> None:
        super().__init__(MAX_BUFFERED_BODY_BYTES)
        self.parts: list[bytes] = []
        self.streams_started = 0

    def on_stream_start(self, response: Response) -> bool:
        self.streams_started += 1
        return True

    def on_stream_data(self, data: bytes) -> None:
        self.parts.append(data)


def open_stream() -> Any:
    protocol: Any = RecordingStream()
    protocol.connection_made(FlowControlledTransport())
    protocol.write(b"request")
    return protocol


@pytest.mark.parametrize("framing", ["chunked", "length"])
@pytest.mark.parametrize("noise", NOISE, ids=("bytes", "short", "long", "chunked"))
def test_noise_is_not_passed_on_wherever_the_input_is_split(framing: str, noise: bytes) -> None:
    async def scenario() -> None:
        data = encode(framing)
        for before_end in (0, 1, 4, 5, 600, 30_000):
            protocol = open_stream()
            protocol.data_received(data[: len(data) - before_end])
            protocol.data_received(data[len(data) - before_end :] + noise)
            assert b"".join(protocol.parts) == BODY
            assert protocol.streams_started == 1 and protocol.transport.is_closing()

    on_loop(scenario)


def test_data_before_a_fault_is_passed_on_wherever_the_fault_is() -> None:
    async def scenario() -> None:
        for cut in range(1, 40):
            sent = encode("chunked")[: MAX_BUFFERED_BODY_BYTES + 6_000 + cut]
            protocol = open_stream()
            protocol.data_received(sent + b"\xff\x00" * 3_000)
            assert BODY.startswith(b"".join(protocol.parts)[:MAX_BUFFERED_BODY_BYTES])
            assert len(b"".join(protocol.parts)) >= MAX_BUFFERED_BODY_BYTES

    on_loop(scenario)
