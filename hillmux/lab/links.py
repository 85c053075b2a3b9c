"""Faults on the way between two actors: what a relay would do, between a socket and the stand-in behind it.

Theory of operation. Every stand-in listens at one port for each gateway, so a connection's link, the pair
of its two ends, is known when it comes up. Bytes and endings pass the link in both directions and are held,
delayed, throttled or lost there. No second socket lies between, so a reset or a FIN can't be hidden by
accident: the gateway talks to the very socket that the fault acts on.

TCP sends again what a cut path lost. So bytes under a cut are dropped and the connection is marked: once the
path is back it is reset, as the platform's protocol says of a machine that returns. New connections under a
cut never come up: the listener takes none, and its queue is kept full by a connection of our own.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import deque
from collections.abc import Callable
from typing import Any

LINGER_RESET = struct.pack("ii", 1, 0)
BACKLOG = 256


class EmulatedLink:
    """The way between two actors, with its faults; shared by all connections between them."""

    __slots__ = (
        "a",
        "b",
        "cut_in",
        "cut_out",
        "delay_ms",
        "bytes_per_s",
        "reset_after",
        "connections",
        "listeners",
    )

    def __init__(self, a: str, b: str) -> None:
        self.a, self.b = a, b
        self.cut_in = self.cut_out = False  # towards the stand-in; back to the gateway
        self.delay_ms = 0.0  # on top, each way
        self.bytes_per_s = 0.0  # towards the gateway; 0: no bound
        self.reset_after = 0  # bytes of an answer after which its connection is reset; 0: never
        self.connections: set[EmulatedConnection] = set()
        self.listeners: list[GatedListener] = []

    def cut(self, inward: bool, outward: bool) -> None:
        """Cut one way or both, or heal: what lost bytes is reset then."""
        healed = (self.cut_in and not inward) or (self.cut_out and not outward)
        self.cut_in, self.cut_out = inward, outward
        for door in self.listeners:
            door.set_blocked(inward or outward)
        if healed and not inward and not outward:
            for wire in [w for w in self.connections if w.bytes_lost]:
                wire.path_restored()


class EmulatedConnection(asyncio.Protocol):
    """One connection on a link. `made` is called with it, and gives what takes its bytes and its end."""

    def __init__(
        self,
        link: EmulatedLink,
        made: Callable[[EmulatedConnection], Receiver],
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.link, self._make_receiver, self._loop = link, made, loop
        self.bytes_lost = self.closing = False
        self._socket_closed = self._end_delivered = False  # the socket is closed; the receiver knows
        self._transport: Any = None
        # What is on its way, and when the last of it is through. Bytes go in their order: two timers that
        # are due at one moment may be called in any.
        self._inbound: deque[bytes | None] = deque()  # None: the other side's end
        self._outbound: deque[bytes] = deque()
        self._inbound_free_at = self._outbound_free_at = 0.0
        self._bytes_written = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register on the link, and make the receiver."""
        self._transport = transport
        self.link.connections.add(self)
        self._receiver = self._make_receiver(self)

    def data_received(self, data: bytes) -> None:
        """Pass bytes on to the receiver; under a cut drop them and mark the connection as lost."""
        link = self.link
        if link.cut_in or self.bytes_lost:
            self.bytes_lost = True
            return
        self._deliver(data)

    def _deliver(self, data: bytes | None) -> None:
        """Bytes, or the other side's end, to the receiver, in their order and after the link's delay.

        A gateway that dies under a slow link has sent what is on its way, and the host runs a request that
        arrives complete. An end of the connection that overtook it would hide such work.
        """
        due = max(self._loop.time() + self.link.delay_ms / 1000, self._inbound_free_at)
        if not self._inbound and due <= self._loop.time():
            self._deliver_now(data)
            return
        self._inbound_free_at = due
        self._inbound.append(data)
        self._loop.call_at(due, self._deliver_next)

    def has_inbound(self) -> bool:
        """Whether something is on its way to the receiver."""
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
        """Towards the gateway."""
        link = self.link
        if self.closing:
            return
        if link.cut_out or self.bytes_lost:
            self.bytes_lost = True
            return
        self._bytes_written += len(data)
        if link.reset_after and self._bytes_written > link.reset_after:
            keep = max(len(data) - (self._bytes_written - link.reset_after), 0)
            self._transport.write(data[:keep])
            self._loop.call_later(0.005, self.reset)  # the half goes out first
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
        """End it with a reset, as a process that dies does."""
        self.closing = True
        sock = self._transport.get_extra_info("socket")
        if sock is not None and not self._transport.is_closing():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self._transport.abort()

    def path_restored(self) -> None:
        """The path is back, and bytes were lost: it is reset, and its stand-in hears of that only now."""
        self.reset()
        self.link.connections.discard(self)
        if self._socket_closed:
            self._receiver.ended()

    def eof_received(self) -> bool:
        """Pass the other side's end on, unless the way to the stand-in is cut; the transport then closes."""
        if not self.link.cut_in and not self.bytes_lost:
            self._deliver(None)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the receiver that the connection is gone; under a cut only once the path is back."""
        ours = self.closing  # we have ended it, or are about to
        self.closing = self._socket_closed = True
        if self.link.cut_in or self.bytes_lost:
            self.bytes_lost = True  # nobody at this end can know before the path is back
            if not ours:
                return
        self.link.connections.discard(self)
        if ours:
            self._end_delivered = True  # what is still on its way finds nobody
            self._receiver.ended()
        else:
            self._deliver(None)


class Receiver:
    """What stands behind a wire."""

    def received(self, data: bytes) -> None:
        """Bytes have come."""
        raise NotImplementedError

    def ended(self) -> None:
        """The other side has ended its sending, or the connection is gone; may be told twice."""


class GatedListener:
    """A listener whose new connections a cut link keeps from coming up."""

    def __init__(
        self,
        link: EmulatedLink,
        made: Callable[[EmulatedConnection], Receiver],
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.link, self._make_receiver, self._loop = link, made, loop
        self._socket: socket.socket | None = None
        self._queue_filler: socket.socket | None = None
        self._tasks: set[asyncio.Task[Any]] = set()
        # Its port stays ours while the stand-in is dead: the system would give it to a connection else.
        self._port_reservation = socket.socket()
        self._port_reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._port_reservation.bind(("127.0.0.1", 0))
        self.port = int(self._port_reservation.getsockname()[1])
        link.listeners.append(self)

    def set_receiver_factory(self, made: Callable[[EmulatedConnection], Receiver]) -> None:
        """From now on this stands behind its connections."""
        self._make_receiver = made

    def open(self) -> None:
        """Listen at its port, which the system chose."""
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
        """As a process that dies: new connections are refused."""
        if self._socket is not None:
            self._loop.remove_reader(self._socket.fileno())
            self._socket.close()
            self._socket = None
        if self._queue_filler is not None:
            self._queue_filler.close()
            self._queue_filler = None

    def set_blocked(self, on: bool) -> None:
        """Take no new connection, so that a dial hangs; or take them again."""
        sock = self._socket
        if sock is None or on == (self._queue_filler is not None):
            return
        if on:
            self._loop.remove_reader(sock.fileno())
            sock.listen(0)  # one more fits into the queue: it is ours
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
            found, _ = sock.accept()
        except OSError:
            return
        found.setblocking(False)
        found.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        task = self._loop.create_task(
            self._loop.connect_accepted_socket(
                lambda: EmulatedConnection(self.link, self._make_receiver, self._loop), found
            )
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
