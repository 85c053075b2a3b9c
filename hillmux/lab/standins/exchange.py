"""Relay for the platform's datagrams between gateways (`peers`, `peers_all`), with faults.

Datagrams can be delayed, lost, duplicated, reordered or cut. The exchange has an address for each gateway and
one for all. A datagram from a gateway's `peer_listen` to another's address is relayed to the other's
`peer_listen` from the address of the sender, as the platform's protocol specifies. Each ordered pair of
gateways is a link with its own faults.
"""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass

from hillmux.lab.clock import Clock
from hillmux.lab.random_streams import Stream
from hillmux.lab.record import Note

MAX_DATAGRAM_BYTES = 256  # a longer datagram voids a run on the platform
REORDER_DELAY_MS = 50.0  # added delay of a reordered datagram; that of a duplicate is drawn from 0 to this
MAX_READS_AT_ONCE = 64  # datagrams read per callback, so that a flood does not block the event loop
MAX_IN_FLIGHT = 100_000  # datagrams in flight in total; more are dropped, as by a full queue
RECEIVE_BUFFER_BYTES = 1 << 20
Address = tuple[str, int]


@dataclass(slots=True)
class PeerLink:
    """The link from one gateway to another, with its faults and its own random stream."""

    stream: Stream
    cut: bool = False
    delay_ms: float = 0.0
    lose: float = 0.0  # share of the datagrams that are lost
    duplicate: float = 0.0  # share that are duplicated
    reorder: float = 0.0  # share that are delayed by REORDER_DELAY_MS

    def heal(self) -> None:
        """Remove all faults."""
        self.cut, self.delay_ms = False, 0.0
        self.lose = self.duplicate = self.reorder = 0.0

    def copies(self) -> list[float]:
        """Draw the delay in ms of each copy of one datagram; empty if it is lost."""
        if self.cut or (self.lose and self.stream.uniform() < self.lose):
            return []
        delay_ms = self.delay_ms
        if self.reorder and self.stream.uniform() < self.reorder:
            delay_ms += REORDER_DELAY_MS
        duplicated = self.duplicate and self.stream.uniform() < self.duplicate
        return [delay_ms, delay_ms + REORDER_DELAY_MS * self.stream.uniform()] if duplicated else [delay_ms]


def _bind_socket() -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.bind(("127.0.0.1", 0))
    return sock


class Exchange:
    """Relays datagrams between gateways, subject to the faults of their links."""

    def __init__(
        self, clock: Clock, loop: asyncio.AbstractEventLoop, names: list[str], note: Note, seed: int
    ) -> None:
        self._clock, self._loop, self._note = clock, loop, note
        self._links: dict[tuple[str, str], PeerLink] = {}
        self._seed, self.in_flight = seed, 0
        self._sockets = {name: _bind_socket() for name in names}
        self._all = _bind_socket()
        # The address where each gateway listens: chosen while all sockets of the exchange are bound, so that
        # they differ, then released for the gateway to bind.
        reserved = {name: _bind_socket() for name in names}
        self.listens: dict[str, Address] = {name: sock.getsockname() for name, sock in reserved.items()}
        for sock in reserved.values():
            sock.close()
        self._names = {address: name for name, address in self.listens.items()}
        for name, sock in self._sockets.items():
            loop.add_reader(sock.fileno(), self._readable, sock, [name])
        loop.add_reader(self._all.fileno(), self._readable, self._all, names)

    def addresses_of(self, name: str) -> dict[str, object]:
        """Return the fields of a gateway's configuration about its peers."""
        return {
            "peer_listen": _format_address(self.listens[name]),
            "peers": [_format_address(sock.getsockname()) for sock in self._sockets.values()],
            "peers_all": _format_address(self._all.getsockname()),
        }

    def link(self, sender: str, receiver: str) -> PeerLink:
        """Return the link from one gateway to another, created on first use."""
        link = self._links.get((sender, receiver))
        if link is None:
            link = PeerLink(Stream(self._seed, f"way.{sender}.{receiver}"))
            self._links[sender, receiver] = link
        return link

    def apply_fault(self, a: str, b: str, what: str, value: float) -> None:
        """Apply a fault in both directions; `cut_in` only from `a` to `b`, `cut_out` only from `b` to `a`."""
        links = [self.link(a, b)] if what != "cut_out" else []
        links += [self.link(b, a)] if what != "cut_in" else []
        for link in links:
            match what:
                case "cut" | "cut_in" | "cut_out":
                    link.cut = True
                case "heal":
                    link.heal()
                case "delay":
                    link.delay_ms = value
                case "lose":
                    link.lose = value
                case "duplicate":
                    link.duplicate = value
                case _:
                    link.reorder = value

    def _readable(self, sock: socket.socket, to: list[str]) -> None:
        for _ in range(MAX_READS_AT_ONCE):
            try:
                data, address = sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except OSError:  # queue empty, or an earlier datagram was sent to a closed port (ICMP error)
                return
            sender = self._names.get(address)
            if sender is None:
                self._note("exchange", "stranger", address=_format_address(address))
                continue
            self._note(sender, "datagram", size=len(data), to=len(to), long=len(data) > MAX_DATAGRAM_BYTES)
            if len(data) <= MAX_DATAGRAM_BYTES:
                for name in to:
                    self._relay(sender, name, data)

    def _relay(self, sender: str, receiver: str, data: bytes) -> None:
        copies = self.link(sender, receiver).copies()
        if not copies:
            self._note(receiver, "unheard", gw=sender)
        for delay_ms in copies:
            if self.in_flight < MAX_IN_FLIGHT:
                self.in_flight += 1
                self._clock.after(delay_ms, self._deliver, sender, receiver, data)

    def _deliver(self, sender: str, receiver: str, data: bytes) -> None:
        self.in_flight -= 1
        try:
            self._sockets[sender].sendto(data, self.listens[receiver])
        except OSError:
            return  # lost: a full queue, or no gateway listens
        self._note(receiver, "passed", gw=sender, size=len(data))  # its receive buffer may still drop it

    def close(self) -> None:
        """Close all sockets."""
        for sock in (*self._sockets.values(), self._all):
            self._loop.remove_reader(sock.fileno())
            sock.close()


def _format_address(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
