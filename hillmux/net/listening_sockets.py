"""The sockets on which a listener accepts: bound here, inherited from another process, or lent to one."""

from __future__ import annotations

import asyncio
import os
import select
import socket
from collections.abc import Callable, Sequence
from typing import Final

LISTEN_BACKLOG: Final = 256

Address = tuple[str, int]


class ListeningSockets:
    """A listener's sockets, and whether the event loop watches them for new connections."""

    def __init__(self, loop: asyncio.AbstractEventLoop, accept: Callable[[socket.socket], None]) -> None:
        self._loop, self._accept = loop, accept
        self.sockets: list[socket.socket] = []
        self.lent = False  # another process may accept on them, so this one must not
        self._watched = False

    def open(self, addresses: Sequence[Address], shared: bool) -> None:
        """Listen on addresses; with `shared`, several processes of this user may listen on them.

        Raises:
            OSError: An address could not be bound; the sockets bound before it stay open.
        """
        for address in addresses:
            family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
            sock = socket.socket(family, socket.SOCK_STREAM)
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                if shared:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
                sock.setblocking(False)
                sock.bind(address)
                sock.listen(LISTEN_BACKLOG)
            except OSError:
                sock.close()
                raise
            self.sockets.append(sock)

    def inherit(self, descriptor: int) -> None:
        """Listen on the socket of another process, including the clients in its backlog."""
        sock = socket.socket(fileno=descriptor)
        sock.setblocking(False)
        self.sockets.append(sock)

    def duplicate(self) -> int:
        """Duplicate the descriptor of the first socket, to be passed to another process."""
        return os.dup(self.sockets[0].fileno())

    def addresses(self) -> list[Address]:
        """The bound addresses with their actual ports."""
        return [sock.getsockname()[:2] for sock in self.sockets]

    def can_watch(self) -> bool:
        """Whether there are sockets that are neither watched nor lent."""
        return bool(self.sockets) and not self._watched and not self.lent

    def watch(self) -> None:
        """Start to call `accept` whenever a client waits on a socket."""
        self._watched = True
        for sock in self.sockets:
            self._loop.add_reader(sock, self._accept, sock)

    def unwatch(self) -> None:
        """Stop watching; new clients wait in the backlog."""
        if self._watched:
            self._watched = False
            for sock in self.sockets:
                self._loop.remove_reader(sock)

    def has_waiting_client(self) -> bool:
        """Whether a client waits to be accepted."""
        poll = select.poll()
        for sock in self.sockets:
            poll.register(sock, select.POLLIN)
        return bool(poll.poll(0))

    def close(self) -> None:
        """Close all sockets."""
        self.unwatch()
        for sock in self.sockets:
            sock.close()
        self.sockets.clear()
