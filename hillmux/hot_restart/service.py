"""Both sides of a hand-over: who accepts, who decides, and whose connections are whose.

Theory of operation. The new process connects to the old one's socket once it could serve, and asks (`ask`).
The old one stops accepting, tells its module that it has been succeeded, and sends its listening socket and
what its module knows (`listener`, documents, `end`). The new one goes on from that, accepts, and says so
(`serving`). Only then does the old one pass on the clients' connections that carry nothing (`connection`),
and each of the others after its answer. Whatever waits in the listener's line or unread on a connection is
read by the new one: nobody is turned away. Until `serving` has come the old one can go on as if nothing had
been, and does if the new one ends.
"""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from hillmux.hot_restart.channel import Channel, connect, listen, ours

log = logging.getLogger(__name__)

ASK, LISTENER, END, SERVING, CONNECTION = "ask", "listener", "end", "serving", "connection"
ANSWER_S = 2.0  # how long the old process may take to hand over
MOST_DOCUMENTS = 8192


class Giver(Protocol):
    """The old process, as its successor finds it."""

    def give(self) -> tuple[int, Iterable[dict[str, Any]]]:
        """Stop accepting and deciding: a descriptor of the listening socket, and what is known."""

    def keep(self) -> None:
        """Go on after all: the successor ended before it served."""

    def gone(self, heir: Heir) -> None:
        """The successor serves."""

    def alone(self) -> None:
        """The successor that served is gone; connections cannot be passed on any more."""


class Heir:
    """The process that connections are passed on to."""

    def __init__(self, channel: Channel) -> None:
        self._channel = channel

    def take(self, descriptor: int) -> None:
        """Pass on a client's connection that carries nothing; the descriptor is the heir's."""
        self._channel.send({"t": CONNECTION}, descriptor)

    def took(self) -> bool:
        """Whether all has been sent."""
        return self._channel.sent()


class HandOver:
    """The old side: waits for a successor."""

    def __init__(self, giver: Giver, loop: asyncio.AbstractEventLoop) -> None:
        self._giver, self._loop = giver, loop
        self._listener: socket.socket | None = None
        self._channel: Channel | None = None
        self._asked = self._served = False

    def start(self, folder: str) -> None:
        """Listen in a folder, in place of a predecessor."""
        try:
            self._listener = listen(folder)
        except OSError as error:  # serving goes on; an upgrade would have to do without us
            log.warning("hand-over: cannot listen in %s: %s", folder, error)
            return
        self._loop.add_reader(self._listener, self._accept)

    def stop(self) -> None:
        """Wait for nobody any more."""
        if self._listener is not None:
            self._loop.remove_reader(self._listener)
            self._listener.close()
            self._listener = None

    def _accept(self) -> None:
        assert self._listener is not None
        try:
            sock, _ = self._listener.accept()
        except OSError:
            return
        if self._channel is not None or not ours(sock):
            sock.close()
            return
        self._channel = Channel(sock, self._loop, self._received, self._lost)

    def _received(self, packet: dict[str, Any], descriptor: int | None) -> None:
        if descriptor is not None:
            os.close(descriptor)
        assert self._channel is not None
        if packet.get("t") == ASK and not self._asked:
            self._asked = True
            listener, documents = self._giver.give()
            self._channel.send({"t": LISTENER}, listener)
            for document in documents:
                self._channel.send(document)
            self._channel.send({"t": END})
        elif packet.get("t") == SERVING and self._asked and not self._served:
            self._served = True
            self.stop()
            log.info("another process serves: passing connections on")
            self._giver.gone(Heir(self._channel))

    def _lost(self) -> None:
        self._channel = None
        if self._served:
            self._giver.alone()
        elif self._asked:
            self._asked = False
            log.warning("the process that was to take over ended: going on")
            self._giver.keep()


class TakeOver:
    """The new side: asks the old process for all that it has."""

    def __init__(
        self, sock: socket.socket, loop: asyncio.AbstractEventLoop, connection: Callable[[int], None]
    ) -> None:
        self._connection = connection
        self._listener: int | None = None
        self._documents: list[dict[str, Any]] = []
        self._whole: asyncio.Future[None] = loop.create_future()
        self._channel = Channel(sock, loop, self._received, self._lost)

    @classmethod
    def find(
        cls, folder: str, loop: asyncio.AbstractEventLoop, connection: Callable[[int], None]
    ) -> TakeOver | None:
        """A conversation with the process that serves already; None where there is none. `connection` gets
        the descriptor of each client's connection that it passes on."""
        sock = connect(folder)
        return None if sock is None else cls(sock, loop, connection)

    async def ask(self) -> tuple[int, list[dict[str, Any]]]:
        """The descriptor of the listening socket, and what the old module knows.

        Raises:
            OSError: the old process ended, or did not hand over in time.
        """
        self._channel.send({"t": ASK})
        try:
            async with asyncio.timeout(ANSWER_S):
                await self._whole
        except TimeoutError:
            self.close()
            raise OSError("the old process does not hand over") from None
        assert self._listener is not None
        listener, self._listener = self._listener, None
        documents, self._documents = self._documents, []
        return listener, documents

    def serving(self) -> None:
        """Tell the old process that we accept."""
        self._channel.send({"t": SERVING})

    def close(self) -> None:
        """Ask no more; the old process goes on if it has not heard that we serve."""
        self._channel.close()
        if self._listener is not None:
            os.close(self._listener)
            self._listener = None

    def _received(self, packet: dict[str, Any], descriptor: int | None) -> None:
        kind = packet.get("t")
        if descriptor is not None and kind == LISTENER and self._listener is None and not self._whole.done():
            self._listener = descriptor
        elif descriptor is not None and kind == CONNECTION:
            self._connection(descriptor)
        elif descriptor is not None:
            os.close(descriptor)
        elif self._whole.done():
            return
        elif kind == END and self._listener is not None:
            self._whole.set_result(None)
        elif len(self._documents) < MOST_DOCUMENTS:
            self._documents.append(packet)

    def _lost(self) -> None:
        if not self._whole.done():
            self._whole.set_exception(OSError("the old process ended"))
