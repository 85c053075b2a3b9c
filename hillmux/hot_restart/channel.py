"""Sends JSON packets, each with at most one file descriptor, between two processes of one gateway.

A Unix socket of type SOCK_SEQPACKET preserves packet boundaries and order; SCM_RIGHTS (unix(7)) passes a
descriptor. While the socket's send buffer is full, packets wait in a queue, which is bounded by the number of
connections and documents that this process holds.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
import struct
from collections import deque
from collections.abc import Callable, Iterator

from hillmux.hot_restart.packets import Packet

MAX_PACKET_BYTES = 192 * 1024  # fits the system's default send buffer
SOCKET_NAME = "hillmux.sock"
BACKLOG = 4
MAX_PACKETS_PER_WAKEUP = 64  # packets read in one iteration of the event loop


class PacketChannel:
    """One end of a connection between the two processes; closing it drops the packets still queued."""

    def __init__(
        self,
        sock: socket.socket,
        loop: asyncio.AbstractEventLoop,
        on_packet: Callable[[Packet, int | None], None],
        on_lost: Callable[[], None],
    ) -> None:
        self._sock, self._loop = sock, loop
        self._on_packet, self._on_lost = on_packet, on_lost
        self._send_queue: deque[tuple[bytes, int | None]] = deque()
        self.open = True
        sock.setblocking(False)
        loop.add_reader(sock, self._read)

    def send(self, packet: Packet, descriptor: int | None = None) -> None:
        """Queue a packet, and send as many queued packets as the socket accepts.

        The channel owns the descriptor from now on, and closes it once it is sent.

        Raises:
            ValueError: The packet is longer than `MAX_PACKET_BYTES`.
        """
        if not self.open:
            if descriptor is not None:
                os.close(descriptor)
            return
        data = json.dumps(packet, separators=(",", ":")).encode()
        if len(data) > MAX_PACKET_BYTES:
            raise ValueError(f"packet: found {len(data)} bytes, expected at most {MAX_PACKET_BYTES}")
        self._send_queue.append((data, descriptor))
        if len(self._send_queue) == 1:
            self._write()

    def all_sent(self) -> bool:
        """Whether the send queue is empty."""
        return not self._send_queue

    def close(self) -> None:
        """Close the connection and the queued descriptors."""
        if not self.open:
            return
        self.open = False
        self._loop.remove_reader(self._sock)
        self._loop.remove_writer(self._sock)
        self._sock.close()
        for _, descriptor in self._send_queue:
            if descriptor is not None:
                os.close(descriptor)
        self._send_queue.clear()

    def _write(self) -> None:
        while self._send_queue:
            data, descriptor = self._send_queue[0]
            try:
                if descriptor is None:
                    self._sock.send(data)
                else:
                    socket.send_fds(self._sock, [data], [descriptor])
            except (BlockingIOError, InterruptedError):
                self._loop.add_writer(self._sock, self._write)
                return
            except OSError:
                self._connection_lost()
                return
            self._send_queue.popleft()
            if descriptor is not None:
                os.close(descriptor)
        self._loop.remove_writer(self._sock)

    def _read(self) -> None:
        for _ in range(MAX_PACKETS_PER_WAKEUP):
            if not self.open:
                return
            try:
                data, descriptors, flags, _ = socket.recv_fds(self._sock, MAX_PACKET_BYTES + 1, 1)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                self._connection_lost()
                return
            descriptor = descriptors[0] if descriptors else None
            packet = _decode(data) if not flags & (socket.MSG_TRUNC | socket.MSG_CTRUNC) else None
            if packet is None:  # end of stream, or not a packet of this protocol
                if descriptor is not None:
                    os.close(descriptor)
                self._connection_lost()
                return
            self._on_packet(packet, descriptor)

    def _connection_lost(self) -> None:
        if self.open:
            self.close()
            self._on_lost()


def _decode(data: bytes) -> Packet | None:
    try:
        packet = json.loads(data)
    except ValueError:
        return None
    return packet if isinstance(packet, dict) else None


@contextlib.contextmanager
def _socket_path(directory: str) -> Iterator[str]:
    """Yield a short path of the socket: an address holds 108 bytes (unix(7)), a path may be longer."""
    descriptor = os.open(directory, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{descriptor}/{SOCKET_NAME}"
    finally:
        os.close(descriptor)


def listen(directory: str) -> socket.socket:
    """Listen in a directory, replacing the socket of the process that listened there before.

    Raises:
        OSError: The socket cannot be bound.
    """
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    try:
        with _socket_path(directory) as path:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(path)
            sock.bind(path)
            os.chmod(path, 0o600)
        sock.listen(BACKLOG)
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock


def connect(directory: str) -> socket.socket | None:
    """Connect to the process that listens in a directory; None if none runs there as the same user."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    try:
        with _socket_path(directory) as path:
            sock.connect(path)
    except OSError:
        sock.close()
        return None
    if not is_same_user(sock):
        sock.close()
        return None
    return sock


def is_same_user(sock: socket.socket) -> bool:
    """Whether the other process runs as the same user; no other user may receive clients' connections."""
    credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize("3i"))
    return bool(struct.unpack("3i", credentials)[1] == os.getuid())
