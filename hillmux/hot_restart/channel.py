"""Packets of JSON, each perhaps with one descriptor, between two processes of one gateway (Unix sockets).

SOCK_SEQPACKET keeps packets whole and in order; SCM_RIGHTS (unix(7)) carries a descriptor. Packets that the
other side has no room for wait here, in a line that is as long as the connections and documents that we
hold.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
import struct
from collections import deque
from collections.abc import Callable
from typing import Any

LONGEST = 192 * 1024  # of a packet: the system's default send buffer holds one
NAME = "hillmux.sock"
BACKLOG = 4
READS = 64  # packets read in one turn of the loop


class Channel:
    """One end of a conversation."""

    def __init__(
        self,
        sock: socket.socket,
        loop: asyncio.AbstractEventLoop,
        received: Callable[[dict[str, Any], int | None], None],
        lost: Callable[[], None],
    ) -> None:
        self._sock, self._loop, self._received, self._lost = sock, loop, received, lost
        self._waiting: deque[tuple[bytes, int | None]] = deque()
        self.open = True
        sock.setblocking(False)
        loop.add_reader(sock, self._read)

    def send(self, packet: dict[str, Any], descriptor: int | None = None) -> None:
        """Send a packet in its turn; the descriptor is ours from now on, and closed once it is sent."""
        if not self.open:
            if descriptor is not None:
                os.close(descriptor)
            return
        data = json.dumps(packet, separators=(",", ":")).encode()
        if len(data) > LONGEST:
            raise ValueError(f"a packet of {len(data)} bytes")
        self._waiting.append((data, descriptor))
        if len(self._waiting) == 1:
            self._write()

    def sent(self) -> bool:
        """Whether nothing waits to be sent."""
        return not self._waiting

    def close(self) -> None:
        """End the conversation."""
        if not self.open:
            return
        self.open = False
        self._loop.remove_reader(self._sock)
        self._loop.remove_writer(self._sock)
        self._sock.close()
        for _, descriptor in self._waiting:
            if descriptor is not None:
                os.close(descriptor)
        self._waiting.clear()

    def _write(self) -> None:
        while self._waiting:
            data, descriptor = self._waiting[0]
            try:
                if descriptor is None:
                    self._sock.send(data)
                else:
                    socket.send_fds(self._sock, [data], [descriptor])
            except (BlockingIOError, InterruptedError):
                self._loop.add_writer(self._sock, self._write)
                return
            except OSError:
                self._end()
                return
            self._waiting.popleft()
            if descriptor is not None:
                os.close(descriptor)
        self._loop.remove_writer(self._sock)

    def _read(self) -> None:
        for _ in range(READS):
            if not self.open:
                return
            try:
                data, descriptors, flags, _ = socket.recv_fds(self._sock, LONGEST + 1, 1)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                self._end()
                return
            descriptor = descriptors[0] if descriptors else None
            packet = _packet(data) if not flags & (socket.MSG_TRUNC | socket.MSG_CTRUNC) else None
            if packet is None:  # the end, or nothing of ours
                if descriptor is not None:
                    os.close(descriptor)
                self._end()
                return
            self._received(packet, descriptor)

    def _end(self) -> None:
        if self.open:
            self.close()
            self._lost()


def _packet(data: bytes) -> dict[str, Any] | None:
    try:
        packet = json.loads(data)
    except ValueError:
        return None
    return packet if isinstance(packet, dict) else None


@contextlib.contextmanager
def _path(folder: str):  # type: ignore[no-untyped-def]  # a context of one str
    """The socket's path, however long the folder's name is: an address holds 108 bytes (unix(7))."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{descriptor}/{NAME}"
    finally:
        os.close(descriptor)


def listen(folder: str) -> socket.socket:
    """Listen in a folder, in place of whoever listened there before; OSError where that fails."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    try:
        with _path(folder) as path:
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


def connect(folder: str) -> socket.socket | None:
    """A connection to whoever listens in a folder; None where nobody does."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    try:
        with _path(folder) as path:
            sock.connect(path)
    except OSError:
        sock.close()
        return None
    if not ours(sock):
        sock.close()
        return None
    return sock


def ours(sock: socket.socket) -> bool:
    """Whether the other side runs as the same user: what is passed here are our clients."""
    credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize("3i"))
    return bool(struct.unpack("3i", credentials)[1] == os.getuid())
