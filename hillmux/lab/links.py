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


class Link:
    """The way between two actors, with its faults; shared by all connections between them."""

    __slots__ = ("a", "b", "cut_in", "cut_out", "delay_ms", "bytes_per_s", "reset_after", "wires", "doors")

    def __init__(self, a: str, b: str) -> None:
        self.a, self.b = a, b
        self.cut_in = self.cut_out = False  # towards the stand-in; back to the gateway
        self.delay_ms = 0.0  # on top, each way
        self.bytes_per_s = 0.0  # towards the gateway; 0: no bound
        self.reset_after = 0  # bytes of an answer after which its connection is reset; 0: never
        self.wires: set[Wire] = set()
        self.doors: list[Door] = []

    def cut(self, inward: bool, outward: bool) -> None:
        """Cut one way or both, or heal: what lost bytes is reset then."""
        healed = (self.cut_in and not inward) or (self.cut_out and not outward)
        self.cut_in, self.cut_out = inward, outward
        for door in self.doors:
            door.block(inward or outward)
        if healed and not inward and not outward:
            for wire in [w for w in self.wires if w.lost]:
                wire.healed()


class Wire(asyncio.Protocol):
    """One connection on a link. `made` is called with it, and gives what takes its bytes and its end."""

    def __init__(self, link: Link, made: Callable[[Wire], Receiver], loop: asyncio.AbstractEventLoop) -> None:
        self.link, self._made, self._loop = link, made, loop
        self.lost = self.closing = False
        self._gone = self._told_end = False  # the socket is closed; the receiver knows
        self._transport: Any = None
        # What is on its way, and when the last of it is through. Bytes go in their order: two timers that
        # are due at one moment may be called in any.
        self._coming: deque[bytes | None] = deque()  # None: the other side's end
        self._going: deque[bytes] = deque()
        self._in_free = self._out_free = 0.0
        self._answered = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register on the link, and make the receiver."""
        self._transport = transport
        self.link.wires.add(self)
        self._receiver = self._made(self)

    def data_received(self, data: bytes) -> None:
        """Pass bytes on to the receiver; under a cut drop them and mark the connection as lost."""
        link = self.link
        if link.cut_in or self.lost:
            self.lost = True
            return
        self._bring(data)

    def _bring(self, data: bytes | None) -> None:
        """Bytes, or the other side's end, to the receiver, in their order and after the link's delay.

        Danger: a gateway that dies under a slow link has sent what is on its way: a request that is whole
        there is run by the host. An end that went past it would hide such work.
        """
        due = max(self._loop.time() + self.link.delay_ms / 1000, self._in_free)
        if not self._coming and due <= self._loop.time():
            self._hand(data)
            return
        self._in_free = due
        self._coming.append(data)
        self._loop.call_at(due, self._receive)

    def holds(self) -> bool:
        """Whether something is on its way to the receiver."""
        return bool(self._coming)

    def _receive(self) -> None:
        self._hand(self._coming.popleft())

    def _hand(self, data: bytes | None) -> None:
        if self.lost or self._told_end:
            return
        if data is None:
            self._told_end = True
            self._receiver.ended()
        elif not self.closing or self._gone:
            self._receiver.received(data)

    def write(self, data: bytes) -> None:
        """Towards the gateway."""
        link = self.link
        if self.closing:
            return
        if link.cut_out or self.lost:
            self.lost = True
            return
        self._answered += len(data)
        if link.reset_after and self._answered > link.reset_after:
            keep = max(len(data) - (self._answered - link.reset_after), 0)
            self._transport.write(data[:keep])
            self._loop.call_later(0.005, self.reset)  # the half goes out first
            self.closing = True
            return
        due = max(self._loop.time() + link.delay_ms / 1000, self._out_free)
        if link.bytes_per_s > 0:
            due += len(data) / link.bytes_per_s
        if not self._going and due <= self._loop.time():
            self._transport.write(data)
            return
        self._out_free = due
        self._going.append(data)
        self._loop.call_at(due, self._send)

    def _send(self) -> None:
        data = self._going.popleft()
        if not self.lost and not self.closing:
            self._transport.write(data)

    def reset(self) -> None:
        """End it with a reset, as a process that dies does."""
        self.closing = True
        sock = self._transport.get_extra_info("socket")
        if sock is not None and not self._transport.is_closing():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self._transport.abort()

    def healed(self) -> None:
        """The path is back, and bytes were lost: it is reset, and its stand-in hears of that only now."""
        self.reset()
        self.link.wires.discard(self)
        if self._gone:
            self._receiver.ended()

    def eof_received(self) -> bool:
        """Pass the other side's end on, unless the way to the stand-in is cut; the transport then closes."""
        if not self.link.cut_in and not self.lost:
            self._bring(None)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the receiver that the connection is gone; under a cut only once the path is back."""
        ours = self.closing  # we have ended it, or are about to
        self.closing = self._gone = True
        if self.link.cut_in or self.lost:
            self.lost = True  # nobody at this end can know before the path is back
            if not ours:
                return
        self.link.wires.discard(self)
        if ours:
            self._told_end = True  # what is still on its way finds nobody
            self._receiver.ended()
        else:
            self._bring(None)


class Receiver:
    """What stands behind a wire."""

    def received(self, data: bytes) -> None:
        """Bytes have come."""
        raise NotImplementedError

    def ended(self) -> None:
        """The other side has ended its sending, or the connection is gone; may be told twice."""


class Door:
    """A listener whose new connections a cut link keeps from coming up."""

    def __init__(self, link: Link, made: Callable[[Wire], Receiver], loop: asyncio.AbstractEventLoop) -> None:
        self.link, self._made, self._loop = link, made, loop
        self._socket: socket.socket | None = None
        self._stuffing: socket.socket | None = None
        self._tasks: set[asyncio.Task[Any]] = set()
        # Its port stays ours while the stand-in is dead: the system would give it to a connection else.
        self._held = socket.socket()
        self._held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._held.bind(("127.0.0.1", 0))
        self.port = int(self._held.getsockname()[1])
        link.doors.append(self)

    def lead_to(self, made: Callable[[Wire], Receiver]) -> None:
        """From now on this stands behind its connections."""
        self._made = made

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
            self.block(True)

    def close(self) -> None:
        """As a process that dies: new connections are refused."""
        if self._socket is not None:
            self._loop.remove_reader(self._socket.fileno())
            self._socket.close()
            self._socket = None
        if self._stuffing is not None:
            self._stuffing.close()
            self._stuffing = None

    def block(self, on: bool) -> None:
        """Take no new connection, so that a dial hangs; or take them again."""
        sock = self._socket
        if sock is None or on == (self._stuffing is not None):
            return
        if on:
            self._loop.remove_reader(sock.fileno())
            sock.listen(0)  # one more fits into the queue: it is ours
            self._stuffing = socket.socket()
            self._stuffing.setblocking(False)
            self._stuffing.connect_ex(("127.0.0.1", self.port))
        else:
            assert self._stuffing is not None
            self._stuffing.close()
            self._stuffing = None
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
            self._loop.connect_accepted_socket(lambda: Wire(self.link, self._made, self._loop), found)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
