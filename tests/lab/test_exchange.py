"""Datagrams between gateways, relayed by the lab's exchange with each of its faults."""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any

from conftest import on_loop

from hillmux.lab.clock import RealClock
from hillmux.lab.scenario import ScenarioError, load
from hillmux.lab.standins.exchange import Exchange

NAMES = ["g0", "g1", "g2"]
SENT = 400  # datagrams sent by send_all; the seed determines which of them a fault affects
BATCH = 50  # datagrams sent before waiting for their arrival


class Peers:
    """Three simulated gateways connected to an exchange."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.events: list[tuple[str, str]] = []
        self.exchange = Exchange(RealClock(loop), loop, NAMES, self._note, seed=3)
        self.addresses = {name: self.exchange.addresses_of(name) for name in NAMES}
        self.received: dict[str, list[bytes]] = {name: [] for name in NAMES}
        self.senders: set[tuple[str, int]] = set()
        self.sockets = {}
        for name in NAMES:
            sock = self.sockets[name] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.setblocking(False)
            sock.bind(address(self.addresses[name]["peer_listen"]))
            loop.add_reader(sock.fileno(), self._read, name, sock)

    def _note(self, who: str, ev: str, **fields: Any) -> None:
        self.events.append((who, ev))

    def _read(self, name: str, sock: socket.socket) -> None:
        data, sender = sock.recvfrom(2048)
        self.received[name].append(data)
        self.senders.add(sender)

    def send(self, sender: str, data: bytes, to: str) -> None:
        """Send a datagram to one gateway, or to `all`."""
        addresses = self.addresses[sender]
        target = addresses["peers_all"] if to == "all" else addresses["peers"][NAMES.index(to)]  # type: ignore[index]
        self.sockets[sender].sendto(data, address(target))

    async def send_all(self, sender: str, to: str) -> list[bytes]:
        """Send SENT numbered datagrams in batches; returns those that were received."""
        for number in range(SENT):
            self.send(sender, b"%d" % number, to)
            if number % BATCH == BATCH - 1:
                # The receive buffer holds a few hundred datagrams and would drop more.
                while self.count_events("datagram") <= number or len(self.received[to]) < self.count_events(
                    "passed"
                ):
                    await asyncio.sleep(0.001)
        while self.exchange.in_flight or len(self.received[to]) < self.count_events("passed"):
            await asyncio.sleep(0.005)
        return self.received[to]

    def count_events(self, ev: str) -> int:
        return sum(event == ev for _, event in self.events)

    def close(self) -> None:
        self.exchange.close()
        for sock in self.sockets.values():
            asyncio.get_running_loop().remove_reader(sock.fileno())
            sock.close()


def address(text: Any) -> tuple[str, int]:
    host, _, port = str(text).rpartition(":")
    return host, int(port)


def run_scenario(scenario: Callable[[Peers], Coroutine[Any, Any, None]]) -> None:
    async def run() -> None:
        peers = Peers()
        try:
            await scenario(peers)
        finally:
            peers.close()

    on_loop(run)


def test_datagrams_arrive_from_the_address_of_the_sender_in_the_peer_list() -> None:
    async def scenario(peers: Peers) -> None:
        peers.send("g0", b"one", "g1")
        peers.send("g2", b"all", "all")
        while sum(map(len, peers.received.values())) < 4:
            await asyncio.sleep(0.001)
        assert peers.received == {"g0": [b"all"], "g1": [b"one", b"all"], "g2": [b"all"]}
        peer_list = peers.addresses["g0"]["peers"]
        assert peers.senders == {address(peer_list[0]), address(peer_list[2])}  # type: ignore[index]

    run_scenario(scenario)


def test_cut_of_one_direction_drops_only_its_datagrams_until_healed() -> None:
    async def scenario(peers: Peers) -> None:
        peers.exchange.apply_fault("g0", "g1", "cut_in", 0.0)
        peers.send("g0", b"lost", "g1")
        peers.send("g0", b"other", "g2")
        peers.send("g1", b"back", "g0")
        while not (peers.received["g0"] and peers.received["g2"] and peers.count_events("unheard")):
            await asyncio.sleep(0.001)
        peers.exchange.apply_fault("g0", "g1", "heal", 0.0)
        peers.send("g0", b"now", "g1")
        while not peers.received["g1"]:
            await asyncio.sleep(0.001)
        assert peers.received == {"g0": [b"back"], "g1": [b"now"], "g2": [b"other"]}

    run_scenario(scenario)


def test_configured_share_of_datagrams_is_lost_duplicated_or_reordered() -> None:
    async def lossy(peers: Peers) -> None:
        peers.exchange.apply_fault("g0", "g1", "lose", 0.25)
        received = await peers.send_all("g0", "g1")
        assert len(set(received)) == len(received) == SENT - peers.count_events("unheard")
        assert 0.15 * SENT < peers.count_events("unheard") < 0.35 * SENT

    async def duplicated(peers: Peers) -> None:
        peers.exchange.apply_fault("g0", "g1", "duplicate", 0.25)
        copies = Counter(Counter(await peers.send_all("g0", "g1")).values())
        assert set(copies) == {1, 2} and 0.15 * SENT < copies[2] < 0.35 * SENT

    async def reordered(peers: Peers) -> None:
        peers.exchange.apply_fault("g0", "g1", "reorder", 0.25)
        received = [int(data) for data in await peers.send_all("g0", "g1")]
        assert sorted(received) == list(range(SENT)) and received != sorted(received)

    for scenario in (lossy, duplicated, reordered):
        run_scenario(scenario)


def test_oversized_datagrams_and_those_of_unknown_senders_are_not_relayed() -> None:
    async def scenario(peers: Peers) -> None:
        peers.send("g0", b"x" * 257, "g1")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
            stranger.sendto(b"x", address(peers.addresses["g0"]["peers"][1]))  # type: ignore[index]
        peers.send("g0", b"good", "g1")
        while not peers.received["g1"]:
            await asyncio.sleep(0.001)
        assert peers.received["g1"] == [b"good"] and peers.count_events("stranger") == 1

    run_scenario(scenario)


def test_invalid_faults_between_gateways_are_rejected_with_the_value_expected(tmp_path: Any) -> None:
    path = tmp_path / "day.toml"
    path.write_text(
        'name = "x"\nlength_s = 4\nfleet = {gateways = 2, hosts = 2}\n'
        '[[traffic.plans]]\nname = "p"\nshare = 1\nrate = 1\nburst = 1\n'
        '[[traffic.classes]]\nname = "c"\nshare = 1\nwork_ms = 1\naim_ms = 1\ndeadline_ms = 1\n'
        "[traffic]\nper_s = 1\n"
        '[[faults]]\nat_s = 1\nwhat = "lose"\nwho = "gateway:0"\nother = "gateway:1"\nvalue = 2\n'
        '[[faults]]\nat_s = 1\nwhat = "reorder"\nwho = "gateway:0"\nvalue = 0.5\n'
        '[[faults]]\nat_s = 1\nwhat = "throttle"\nwho = "gateway:0"\nother = "gateways in a"\nvalue = 5\n'
    )
    try:
        load(path)
    except ScenarioError as error:
        message = str(error)
    assert "faults.0.what: found a fault between gateways, expected fleet.peers = true" in message
    assert "faults.0.value: found 2.0, expected a share" in message
    assert "faults.1.other: found 'host:*', expected gateways" in message
    assert "faults.2.other: found 'gateways in a', expected hosts" in message
