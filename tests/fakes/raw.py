"""A host that sends raw bytes, scripted by one coroutine per connection."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path

from conftest import Rig, instance

Script = Callable[["Peer"], Awaitable[None]]


class Peer:
    """One connection of a scripted host."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def head(self) -> str:
        """Read the next request's head."""
        return (await self.reader.readuntil(b"\r\n\r\n")).decode()

    async def body(self, head: str) -> bytes:
        """Read the body that belongs to a head, framed by Content-Length or chunks."""
        for line in head.lower().split("\r\n"):
            if line.startswith("content-length:"):
                return await self.reader.readexactly(int(line.split(":")[1]))
        if "transfer-encoding: chunked" not in head.lower():
            return b""
        pieces = []
        while size := int(await self.reader.readuntil(b"\n"), 16):
            pieces.append(await self.reader.readexactly(size))
            await self.reader.readexactly(2)
        await self.reader.readexactly(2)
        return b"".join(pieces)

    async def write(self, data: bytes) -> None:
        """Write, and wait until the write buffer is below its limit.

        Raises:
            ConnectionResetError: The connection is closed; uvloop itself raises a RuntimeError then.
        """
        if self.writer.transport.is_closing():
            raise ConnectionResetError("connection closed")
        self.writer.write(data)
        await self.writer.drain()

    async def closed(self) -> bytes:
        """Read until the other side closes the connection, and return those bytes; b"" on a reset."""
        try:
            return await self.reader.read(-1)
        except ConnectionError:
            return b""


class RawHost:
    """Listens and runs the script for each connection; exceptions of the script are stored in `errors`."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.port = 0
        self.peers = 0
        self.errors: list[BaseException] = []

    async def start(self) -> RawHost:
        """Listen on a port that the system chooses."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=64 * 1024 * 1024)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.peers += 1
        try:
            await self.script(Peer(reader, writer))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass  # closed by the gateway; scripts that test for this catch it themselves
        except BaseException as error:
            self.errors.append(error)
            raise
        finally:
            writer.close()

    def stop(self) -> None:
        """Stop listening."""
        self._server.close()


@contextlib.asynccontextmanager
async def running_rig(folder: Path, *scripts: Script, rig: Rig | None = None) -> AsyncIterator[Rig]:
    """Run a gateway process with one host for each script."""
    hosts = [await RawHost(script).start() for script in scripts]
    rig = rig or Rig(folder, operated=True)
    rig.others = [instance(f"r-{i}", host.port) for i, host in enumerate(hosts)]
    async with rig:
        yield rig
    for host in hosts:
        host.stop()
        assert not host.errors


async def read_chunked_body(reader: asyncio.StreamReader) -> bytes:
    """Read and decode a chunked body without trailers."""
    chunks = []
    while size := int(await reader.readline(), 16):
        chunks.append(await reader.readexactly(size))
        await reader.readexactly(2)
    await reader.readexactly(2)
    return b"".join(chunks)
