"""The running process of a hot restart: it waits for a successor and hands over to it.

The new process connects once it could serve, and asks. The running one stops accepting, tells its decision
module that it has been taken over, and sends its listening socket and state. The new one restores them,
accepts connections and says so. Only then does the running process pass on the clients' connections that
carry no request, and each of the others after its response. Connections not yet accepted and bytes not yet
read are the new process's to read, so no client is rejected. Until the successor serves, the running
process can resume, and does if the successor ends.
"""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from collections.abc import Iterable
from typing import NamedTuple, Protocol

from hillmux.hot_restart.channel import PacketChannel, is_same_user, listen
from hillmux.hot_restart.packets import Packet, PacketKind

log = logging.getLogger(__name__)


class HandOver(NamedTuple):
    """What a retiring process hands over before its successor serves."""

    listener: int  # a descriptor of the listening socket of its own
    documents: Iterable[Packet]  # the state


class RetiringProcess(Protocol):
    """The running process, as the hot restart drives it."""

    def hand_over(self) -> HandOver:
        """Stop accepting and deciding; returns listener and state."""

    def resume(self) -> None:
        """Serve again: the successor ended before it served."""

    def on_successor_serving(self, successor: SuccessorProcess) -> None:
        """The successor accepts connections; pass the clients' connections on to it."""

    def on_successor_lost(self) -> None:
        """The successor that served has ended; no more connections can be passed on."""


class SuccessorProcess:
    """The process that connections are passed on to."""

    def __init__(self, channel: PacketChannel) -> None:
        self._channel = channel

    def pass_connection(self, descriptor: int) -> None:
        """Pass on a client's connection that carries no request; the descriptor is closed once it is sent."""
        self._channel.send(PacketKind.CONNECTION.packet(), descriptor)

    def all_passed(self) -> bool:
        """Whether every connection has been sent."""
        return self._channel.all_sent()


class HotRestartServer:
    """Waits for a successor of this process, one at a time."""

    def __init__(self, process: RetiringProcess, loop: asyncio.AbstractEventLoop) -> None:
        self._process, self._loop = process, loop
        self._listener: socket.socket | None = None
        self._channel: PacketChannel | None = None
        self._asked = self._successor_serves = False

    def start(self, directory: str) -> None:
        """Listen in a directory, in place of a predecessor."""
        try:
            self._listener = listen(directory)
        except OSError as error:  # clients are served all the same; only a hot restart is not possible
            log.warning("hand-over: cannot listen in %s: %s", directory, error)
            return
        self._loop.add_reader(self._listener, self._accept)

    def stop(self) -> None:
        """Stop waiting for a successor."""
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
        if self._channel is not None or not is_same_user(sock):
            sock.close()
            return
        self._channel = PacketChannel(sock, self._loop, self._packet_received, self._connection_lost)

    def _packet_received(self, packet: Packet, descriptor: int | None) -> None:
        if descriptor is not None:
            os.close(descriptor)
        kind = packet.get("t")
        if kind == PacketKind.ASK and not self._asked:
            self._hand_over()
        elif kind == PacketKind.SERVING and self._asked and not self._successor_serves:
            self._retire()

    def _hand_over(self) -> None:
        assert self._channel is not None
        self._asked = True
        listener, documents = self._process.hand_over()
        self._channel.send(PacketKind.LISTENER.packet(), listener)
        for document in documents:
            self._channel.send(document)
        self._channel.send(PacketKind.END.packet())

    def _retire(self) -> None:
        assert self._channel is not None
        self._successor_serves = True
        self.stop()
        log.info("another process serves: passing connections on")
        self._process.on_successor_serving(SuccessorProcess(self._channel))

    def _connection_lost(self) -> None:
        self._channel = None
        if self._successor_serves:
            self._process.on_successor_lost()
        elif self._asked:
            self._asked = False
            log.warning("the process that was to take over ended: going on")
            self._process.resume()
