"""The successor's side of a hot restart: receives the listener, the state and client connections."""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Callable
from typing import NamedTuple

from hillmux.hot_restart.channel import PacketChannel, connect
from hillmux.hot_restart.packets import Packet, PacketKind

HANDOVER_TIMEOUT_S = 2.0
MAX_DOCUMENTS = 8192


class TransferredState(NamedTuple):
    """What the running process transfers before the successor serves."""

    listener: int  # descriptor of the listening socket, owned by the receiver
    documents: list[Packet]  # the state, in the form that `state_codec.restore` reads


class HotRestartClient:
    """A connection to the running process."""

    def __init__(
        self, sock: socket.socket, loop: asyncio.AbstractEventLoop, on_connection: Callable[[int], None]
    ) -> None:
        self._on_connection = on_connection
        self._listener: int | None = None
        self._documents: list[Packet] = []
        self._complete: asyncio.Future[None] = loop.create_future()
        self._channel = PacketChannel(sock, loop, self._packet_received, self._connection_lost)

    @classmethod
    def connect(
        cls, directory: str, loop: asyncio.AbstractEventLoop, on_connection: Callable[[int], None]
    ) -> HotRestartClient | None:
        """Connect to the running process; None if there is none.

        `on_connection` is called with the descriptor of each client connection that is passed on.
        """
        sock = connect(directory)
        return None if sock is None else cls(sock, loop, on_connection)

    def predecessor_serves(self) -> bool:
        """Whether the running process is connected and has not handed over yet."""
        return not self._complete.done()

    async def request_state(self) -> TransferredState:
        """Request the listener and the state from the running process.

        Raises:
            OSError: It ended, or did not send them within `HANDOVER_TIMEOUT_S`.
        """
        self._channel.send(PacketKind.ASK.packet())
        try:
            async with asyncio.timeout(HANDOVER_TIMEOUT_S):
                await self._complete
        except TimeoutError:
            self.close()
            raise OSError("the old process did not hand over in time") from None
        assert self._listener is not None
        transferred = TransferredState(self._listener, self._documents)
        self._listener, self._documents = None, []
        return transferred

    def announce_serving(self) -> None:
        """Notify the running process that this process accepts connections."""
        self._channel.send(PacketKind.SERVING.packet())

    def close(self) -> None:
        """Close the connection; unless `announce_serving` was called, the running process resumes serving."""
        self._channel.close()
        if self._listener is not None:
            os.close(self._listener)
            self._listener = None

    def _packet_received(self, packet: Packet, descriptor: int | None) -> None:
        if descriptor is None:
            self._document_received(packet)
        elif packet.get("t") == PacketKind.LISTENER and self._awaits_listener():
            self._listener = descriptor
        elif packet.get("t") == PacketKind.CONNECTION:
            self._on_connection(descriptor)
        else:
            os.close(descriptor)

    def _awaits_listener(self) -> bool:
        return self._listener is None and not self._complete.done()

    def _document_received(self, packet: Packet) -> None:
        if self._complete.done():
            return
        if packet.get("t") == PacketKind.END and self._listener is not None:
            self._complete.set_result(None)
        elif len(self._documents) < MAX_DOCUMENTS:
            self._documents.append(packet)

    def _connection_lost(self) -> None:
        if not self._complete.done():
            self._complete.set_exception(OSError("the old process ended before its state was complete"))
