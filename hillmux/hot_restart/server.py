"""The running process's side of a hot restart: waits for a successor process and hands over to it.

The successor connects once it is able to serve, and requests the state. The running process stops accepting,
notifies its decision module that another process takes over, and sends its listening socket and state. The
successor restores them, accepts connections and announces that it serves. Only then does the running process
pass on the client connections that carry no request, and each of the others after its response. Connections
still in the backlog and bytes not yet read are left to the successor, so no client is rejected. If the
successor ends before it serves, the running process resumes.
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
    """What a retiring process transfers before its successor serves."""

    listener: int  # a duplicate descriptor of the listening socket, owned by the receiver
    documents: Iterable[Packet]  # the state of the decision module and the hosts that discovery has listed


class RetiringProcess(Protocol):
    """The interface of the running process to the hot restart."""

    def hand_over(self) -> HandOver:
        """Stop accepting connections and deciding on new requests; returns listener and state."""

    def resume(self) -> None:
        """Serve again, after the successor ended before it served."""

    def on_successor_serving(self, successor: SuccessorProcess) -> None:
        """Pass client connections on to the successor, which now accepts connections."""

    def on_successor_lost(self) -> None:
        """Handle the end of a successor that served: no more connections can be passed on."""


class SuccessorProcess:
    """The process that connections are passed on to."""

    def __init__(self, channel: PacketChannel) -> None:
        self._channel = channel

    def pass_connection(self, descriptor: int) -> None:
        """Pass on a client connection that carries no request; the descriptor is closed once it is sent."""
        self._channel.send(PacketKind.CONNECTION.packet(), descriptor)

    def all_passed(self) -> bool:
        """Whether every connection has been sent."""
        return self._channel.all_sent()


class HotRestartServer:
    """Accepts one successor of this process at a time."""

    def __init__(self, process: RetiringProcess, loop: asyncio.AbstractEventLoop) -> None:
        self._process, self._loop = process, loop
        self._listener: socket.socket | None = None
        self._channel: PacketChannel | None = None
        self._state_requested = self._successor_serves = False

    def start(self, directory: str) -> None:
        """Listen in a directory, replacing the predecessor's socket; a failure is logged."""
        try:
            self._listener = listen(directory)
        except OSError as error:  # the process can serve clients, but not be hot restarted
            log.warning("hot restart: not available, cannot listen in %s: %s", directory, error)
            return
        self._loop.add_reader(self._listener, self._accept)

    def stop(self) -> None:
        """Stop listening for a successor."""
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
        if kind == PacketKind.ASK and not self._state_requested:
            self._hand_over()
        elif kind == PacketKind.SERVING and self._state_requested and not self._successor_serves:
            self._retire()

    def _hand_over(self) -> None:
        assert self._channel is not None
        self._state_requested = True
        listener, documents = self._process.hand_over()
        self._channel.send(PacketKind.LISTENER.packet(), listener)
        for document in documents:
            self._channel.send(document)
        self._channel.send(PacketKind.END.packet())

    def _retire(self) -> None:
        assert self._channel is not None
        self._successor_serves = True
        self.stop()
        log.info("hot restart: the successor serves; passing client connections on")
        self._process.on_successor_serving(SuccessorProcess(self._channel))

    def _connection_lost(self) -> None:
        self._channel = None
        if self._successor_serves:
            self._process.on_successor_lost()
        elif self._state_requested:
            self._state_requested = False
            log.warning("hot restart: the successor ended before it served; resuming")
            self._process.resume()
