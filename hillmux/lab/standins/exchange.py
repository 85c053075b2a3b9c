"""The platform's datagrams between gateways (`peers`, `peers_all`): late, lost, twice, out of order, or cut.

An address for each gateway and one for all. What a gateway sends from its `peer_listen` to another's address
goes on to the other's `peer_listen` from the sender's own address, as the platform's protocol has it. Each
ordered pair of gateways is a link with faults of its own.
"""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass

from hillmux.lab.clock import Clock
from hillmux.lab.random_streams import Stream
from hillmux.lab.record import Note

MAX_DATAGRAM_BYTES = 256  # bytes; a longer one voids a run on the platform
REORDER_DELAY_MS = 50.0  # how much later one comes that others overtake
MAX_READS_AT_ONCE = 64  # datagrams read in one go, so that a flood doesn't keep the loop
MAX_IN_FLIGHT = 100_000  # datagrams in flight in all; beyond that they are lost, as in a full queue
RECEIVE_BYTES = 1 << 20
Address = tuple[str, int]


@dataclass(slots=True)
class PeerLink:
    """From one gateway to another: faults, and its own random stream."""

    stream: Stream
    cut: bool = False
    delay_ms: float = 0.0
    lose: float = 0.0  # shares of the datagrams
    duplicate: float = 0.0
    reorder: float = 0.0

    def heal(self) -> None:
        """As it was at the start."""
        self.cut, self.delay_ms = False, 0.0
        self.lose = self.duplicate = self.reorder = 0.0

    def copies(self) -> list[float]:
        """After how many milliseconds each copy of one datagram comes; none: it is lost."""
        if self.cut or (self.lose and self.stream.uniform() < self.lose):
            return []
        late = self.delay_ms
        if self.reorder and self.stream.uniform() < self.reorder:
            late += REORDER_DELAY_MS
        twice = self.duplicate and self.stream.uniform() < self.duplicate
        return [late, late + REORDER_DELAY_MS * self.stream.uniform()] if twice else [late]


def _bound() -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
    sock.bind(("127.0.0.1", 0))
    return sock


class Exchange:
    """Takes what gateways send one another, and gives it on."""

    def __init__(
        self, clock: Clock, loop: asyncio.AbstractEventLoop, names: list[str], note: Note, seed: int
    ) -> None:
        self._clock, self._loop, self._note = clock, loop, note
        self._links: dict[tuple[str, str], PeerLink] = {}
        self._seed, self.in_flight = seed, 0
        self._sockets = {name: _bound() for name in names}
        self._all = _bound()
        # Where each gateway listens: chosen while all of ours are bound, and left for it to bind.
        spare = {name: _bound() for name in names}
        self.listens: dict[str, Address] = {name: sock.getsockname() for name, sock in spare.items()}
        for sock in spare.values():
            sock.close()
        self._names = {address: name for name, address in self.listens.items()}
        for name, sock in self._sockets.items():
            loop.add_reader(sock.fileno(), self._readable, sock, [name])
        loop.add_reader(self._all.fileno(), self._readable, self._all, names)

    def addresses_of(self, name: str) -> dict[str, object]:
        """What a gateway's configuration says of its peers."""
        return {
            "peer_listen": _text(self.listens[name]),
            "peers": [_text(sock.getsockname()) for sock in self._sockets.values()],
            "peers_all": _text(self._all.getsockname()),
        }

    def link(self, sender: str, receiver: str) -> PeerLink:
        """The link from one gateway to another."""
        link = self._links.get((sender, receiver))
        if link is None:
            link = PeerLink(Stream(self._seed, f"way.{sender}.{receiver}"))
            self._links[sender, receiver] = link
        return link

    def apply_fault(self, a: str, b: str, what: str, value: float) -> None:
        """A fault between two; `cut_in` of what `a` sends to `b`, `cut_out` of what comes back."""
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
            except OSError:  # nothing more, or the last one found nobody at its port (ICMP)
                return
            sender = self._names.get(address)
            if sender is None:
                self._note("exchange", "stranger", address=_text(address))
                continue
            self._note(sender, "datagram", size=len(data), to=len(to), long=len(data) > MAX_DATAGRAM_BYTES)
            if len(data) <= MAX_DATAGRAM_BYTES:
                for name in to:
                    self._pass_on(sender, name, data)

    def _pass_on(self, sender: str, receiver: str, data: bytes) -> None:
        copies = self.link(sender, receiver).copies()
        if not copies:
            self._note(receiver, "unheard", gw=sender)
        for late in copies:
            if self.in_flight < MAX_IN_FLIGHT:
                self.in_flight += 1
                self._clock.after(late, self._deliver, sender, receiver, data)

    def _deliver(self, sender: str, receiver: str, data: bytes) -> None:
        self.in_flight -= 1
        try:
            self._sockets[sender].sendto(data, self.listens[receiver])
        except OSError:
            return  # a full queue, or nobody listens: lost
        self._note(receiver, "passed", gw=sender, size=len(data))  # its own queue may still lose it

    def close(self) -> None:
        """Close every address."""
        for sock in (*self._sockets.values(), self._all):
            self._loop.remove_reader(sock.fileno())
            sock.close()


def _text(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
