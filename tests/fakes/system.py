"""The state of the gateway process's sockets in /proc, and a host that accepts no connection."""

from __future__ import annotations

import os
import socket

from conftest import Rig


class UnreachableHost:
    """A host whose connections are never established: its backlog is full, and it does not accept."""

    def __enter__(self) -> UnreachableHost:
        self._listener = socket.socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(0)
        self.port = self._listener.getsockname()[1]
        self._waiting = [socket.socket() for _ in range(4)]
        for sock in self._waiting:
            sock.setblocking(False)
            sock.connect_ex(("127.0.0.1", self.port))
        return self

    def dialled(self) -> bool:
        """Whether the gateway is dialing this host."""
        return sum(remote == self.port for _, remote, _ in tcp_connections()) > len(self._waiting)

    def __exit__(self, *exc: object) -> None:
        for sock in (*self._waiting, self._listener):
            sock.close()


def tcp_connections() -> list[tuple[int, int, int]]:
    """The machine's TCP connections: local port, remote port and number of unread bytes."""
    with open("/proc/net/tcp") as lines:
        parts = [line.split() for line in lines][1:]
    return [
        (int(p[1].split(":")[1], 16), int(p[2].split(":")[1], 16), int(p[4].split(":")[1], 16)) for p in parts
    ]


def has_unread_input(rig: Rig) -> bool:
    """Whether a client connection of the gateway has unread input."""
    return any(local == rig.port and remote and unread for local, remote, unread in tcp_connections())


def count_sockets(rig: Rig | None = None) -> int:
    """The number of open sockets of the gateway process, or of this process without `rig`."""
    count = 0
    for name in os.listdir(folder := f"/proc/{rig.process.pid if rig else 'self'}/fd"):
        try:
            count += os.readlink(f"{folder}/{name}").startswith("socket:")
        except FileNotFoundError:
            pass  # closed since the folder was listed
    return count
