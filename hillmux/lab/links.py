"""Emulated network links with faults, between the socket of a stand-in and the stand-in's own code.

Theory of operation. Every stand-in listens on a separate port for each gateway, so the link of a connection
(its gateway and its stand-in) is known when it is accepted. Bytes, FINs and resets pass the link in both
directions, which delays, throttles or drops them. There is no relay with a second socket that could hide a
reset or a FIN: the gateway is connected to the very socket that the fault acts on.

TCP would retransmit the bytes lost on a cut path. Bytes under a cut are therefore dropped and the connection
is marked; it is reset once the path is restored, as the platform's protocol specifies for a machine that
returns. New connections are never established under a cut: the listener accepts none, and a connection of its
own keeps its accept queue full.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import deque
from collections.abc import Callable
from typing import Any

LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER with a time-out of 0: close() sends a reset
BACKLOG = 256


class EmulatedLink:
    """The link between a gateway and a stand-in, with its faults; shared by all connections between them."""

    __slots__ = (
        "gateway",
        "stand_in",
        "cut_in",
        "cut_out",
        "delay_ms",
        "bytes_per_s",
        "reset_after",
        "connections",
        "listeners",
    )

    def __init__(self, gateway: str, stand_in: str) -> None:
        self.gateway, self.stand_in = gateway, stand_in
        self.cut_in = self.cut_out = False  # whether the path to the stand-in, or back, is cut
        self.delay_ms = 0.0  # added latency, in each direction
        self.bytes_per_s = 0.0  # rate limit towards the gateway; 0: unlimited
        self.reset_after = 0  # bytes sent to the gateway after which a connection is reset; 0: never
        self.connections: set[EmulatedConnection] = set()
        self.listeners: list[GatedListener] = []

    def cut(self, inward: bool, outward: bool) -> None:
        """Cut or restore each direction; connections that lost bytes are reset once both are restored."""
        healed = (self.cut_in and not inward) or (self.cut_out and not outward)
        self.cut_in, self.cut_out = inward, outward
        for listener in self.listeners:
            listener.set_blocked(inward or outward)
        if healed and not inward and not outward:
            for connection in [c for c in self.connections if c.bytes_lost]:
                connection.path_restored()


class EmulatedConnection(asyncio.Protocol):
    """One accepted connection on a link.

    `make_receiver` is called with the connection once it is established; the Receiver that it returns gets
    the bytes and the end of the connection.
    """

    def __init__(
        self,
        link: EmulatedLink,
        make_receiver: Callable[[EmulatedConnection], Receiver],
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.link, self._make_receiver, self._loop = link, make_receiver, loop
        self.bytes_lost = self.closing = False
        self._socket_closed = self._end_delivered = False  # _end_delivered: the receiver was notified
        self._transport: Any = None
        # Delayed data in each direction, and when the last of it is due. The queues keep the bytes in order:
        # two timers that are due at the same time may be called in any order.
        self._inbound: deque[bytes | None] = deque()  # None: the gateway's end of the connection
        self._outbound: deque[bytes] = deque()
        self._inbound_free_at = self._outbound_free_at = 0.0
        self._bytes_written = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register on the link, and create the receiver."""
        self._transport = transport
        self.link.connections.add(self)
        self._receiver = self._make_receiver(self)

    def data_received(self, data: bytes) -> None:
        """Pass bytes to the receiver; under a cut drop them and mark the connection."""
        link = self.link
        if link.cut_in or self.bytes_lost:
            self.bytes_lost = True
            return
        self._deliver(data)

    def _deliver(self, data: bytes | None) -> None:
        """Pass bytes, or with None the gateway's end, to the receiver in order and after the link's delay.

        Bytes that a gateway sent on a slow link before it died still arrive, and the host runs a request that
        arrives complete. An end of the connection that overtook those bytes would hide such work.
        """
        due = max(self._loop.time() + self.link.delay_ms / 1000, self._inbound_free_at)
        if not self._inbound and due <= self._loop.time():
            self._deliver_now(data)
            return
        self._inbound_free_at = due
        self._inbound.append(data)
        self._loop.call_at(due, self._deliver_next)

    def has_inbound(self) -> bool:
        """Whether data for the receiver is delayed on the link."""
        return bool(self._inbound)

    def _deliver_next(self) -> None:
        self._deliver_now(self._inbound.popleft())

    def _deliver_now(self, data: bytes | None) -> None:
        if self.bytes_lost or self._end_delivered:
            return
        if data is None:
            self._end_delivered = True
            self._receiver.ended()
        elif not self.closing or self._socket_closed:
            self._receiver.received(data)

    def write(self, data: bytes) -> None:
        """Send bytes to the gateway, subject to the link's faults."""
        link = self.link
        if self.closing:
            return
        if link.cut_out or self.bytes_lost:
            self.bytes_lost = True
            return
        self._bytes_written += len(data)
        if link.reset_after and self._bytes_written > link.reset_after:
            sent_bytes = max(len(data) - (self._bytes_written - link.reset_after), 0)
            self._transport.write(data[:sent_bytes])
            self._loop.call_later(0.005, self.reset)  # after the bytes before the bound were sent
            self.closing = True
            return
        due = max(self._loop.time() + link.delay_ms / 1000, self._outbound_free_at)
        if link.bytes_per_s > 0:
            due += len(data) / link.bytes_per_s
        if not self._outbound and due <= self._loop.time():
            self._transport.write(data)
            return
        self._outbound_free_at = due
        self._outbound.append(data)
        self._loop.call_at(due, self._write_next)

    def _write_next(self) -> None:
        data = self._outbound.popleft()
        if not self.bytes_lost and not self.closing:
            self._transport.write(data)

    def reset(self) -> None:
        """Close the connection with a TCP reset, as the kernel does for a killed process."""
        self.closing = True
        sock = self._transport.get_extra_info("socket")
        if sock is not None and not self._transport.is_closing():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self._transport.abort()

    def path_restored(self) -> None:
        """Reset the connection, which lost bytes; notify the receiver if its socket closed under the cut."""
        self.reset()
        self.link.connections.discard(self)
        if self._socket_closed:
            self._receiver.ended()

    def eof_received(self) -> bool:
        """Pass the gateway's FIN on unless the path to the stand-in is cut; the transport closes itself."""
        if not self.link.cut_in and not self.bytes_lost:
            self._deliver(None)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the receiver that the connection was closed; under a cut only once the path is restored."""
        closed_here = self.closing  # closed by this end, or about to be
        self.closing = self._socket_closed = True
        if self.link.cut_in or self.bytes_lost:
            self.bytes_lost = True  # this end cannot learn of the close before the path is restored
            if not closed_here:
                return
        self.link.connections.discard(self)
        if closed_here:
            self._end_delivered = True  # drops the data still delayed on the link
            self._receiver.ended()
        else:
            self._deliver(None)


class Receiver:
    """Receives the bytes and the end of an EmulatedConnection."""

    def received(self, data: bytes) -> None:
        """Handle bytes that arrived."""
        raise NotImplementedError

    def ended(self) -> None:
        """Handle the gateway's FIN or the loss of the connection; may be called twice."""


class GatedListener:
    """A listener that accepts no new connections while its link is cut."""

    def __init__(
        self,
        link: EmulatedLink,
        make_receiver: Callable[[EmulatedConnection], Receiver],
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.link, self._make_receiver, self._loop = link, make_receiver, loop
        self._socket: socket.socket | None = None
        self._queue_filler: socket.socket | None = None
        self._tasks: set[asyncio.Task[Any]] = set()
        # Keeps the port bound while the stand-in is down: the kernel could assign it to a connection.
        self._port_reservation = socket.socket()
        self._port_reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._port_reservation.bind(("127.0.0.1", 0))
        self.port = int(self._port_reservation.getsockname()[1])
        link.listeners.append(self)

    def set_receiver_factory(self, make_receiver: Callable[[EmulatedConnection], Receiver]) -> None:
        """Set what creates the receivers of connections accepted from now on."""
        self._make_receiver = make_receiver

    def open(self) -> None:
        """Listen on its port, which was chosen by the kernel; no effect while open."""
        if self._socket is not None:
            return
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind(("127.0.0.1", self.port))
        sock.listen(BACKLOG)
        self._socket = sock
        self._loop.add_reader(sock.fileno(), self._accept, sock)
        if self.link.cut_in or self.link.cut_out:
            self.set_blocked(True)

    def close(self) -> None:
        """Stop listening, so that new connections are refused as after the death of a process."""
        if self._socket is not None:
            self._loop.remove_reader(self._socket.fileno())
            self._socket.close()
            self._socket = None
        if self._queue_filler is not None:
            self._queue_filler.close()
            self._queue_filler = None

    def set_blocked(self, on: bool) -> None:
        """Stop accepting connections, so that a dial hangs, or (`on` false) accept them again."""
        sock = self._socket
        if sock is None or on == (self._queue_filler is not None):
            return
        if on:
            self._loop.remove_reader(sock.fileno())
            sock.listen(0)  # the queue still holds one connection, which the filler takes
            self._queue_filler = socket.socket()
            self._queue_filler.setblocking(False)
            self._queue_filler.connect_ex(("127.0.0.1", self.port))
        else:
            assert self._queue_filler is not None
            self._queue_filler.close()
            self._queue_filler = None
            sock.listen(BACKLOG)
            self._loop.add_reader(sock.fileno(), self._accept, sock)

    def _accept(self, sock: socket.socket) -> None:
        try:
            accepted, _ = sock.accept()
        except OSError:
            return
        accepted.setblocking(False)
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        task = self._loop.create_task(
            self._loop.connect_accepted_socket(
                lambda: EmulatedConnection(self.link, self._make_receiver, self._loop), accepted
            )
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
