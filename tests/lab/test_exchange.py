"""Datagrams between gateways through the lab's exchange, with each of its faults."""

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
SENT = 400  # in flights of this many: what a share of them is, is the seed's, the same each time
FLIGHT = 50


class Peers:
    """Three scripted gateways at an exchange."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.noted: list[tuple[str, str]] = []
        self.exchange = Exchange(RealClock(loop), loop, NAMES, self._note, seed=3)
        self.told = {name: self.exchange.addresses_of(name) for name in NAMES}
        self.got: dict[str, list[bytes]] = {name: [] for name in NAMES}
        self.froms: set[tuple[str, int]] = set()
        self.socks = {}
        for name in NAMES:
            sock = self.socks[name] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.setblocking(False)
            sock.bind(address(self.told[name]["peer_listen"]))
            loop.add_reader(sock.fileno(), self._read, name, sock)

    def _note(self, who: str, ev: str, **fields: Any) -> None:
        self.noted.append((who, ev))

    def _read(self, name: str, sock: socket.socket) -> None:
        data, sender = sock.recvfrom(2048)
        self.got[name].append(data)
        self.froms.add(sender)

    def send(self, sender: str, data: bytes, to: str) -> None:
        """To one, or to `all`."""
        told = self.told[sender]
        target = told["peers_all"] if to == "all" else told["peers"][NAMES.index(to)]  # type: ignore[index]
        self.socks[sender].sendto(data, address(target))

    async def flights(self, sender: str, to: str) -> list[bytes]:
        """Send many, a flight at a time; what came."""
        for number in range(SENT):
            self.send(sender, b"%d" % number, to)
            if number % FLIGHT == FLIGHT - 1:
                # The receiver's own queue holds some hundreds: more at once would be lost there.
                while self.told_of("datagram") <= number or len(self.got[to]) < self.told_of("passed"):
                    await asyncio.sleep(0.001)
        while self.exchange.in_flight or len(self.got[to]) < self.told_of("passed"):
            await asyncio.sleep(0.005)
        return self.got[to]

    def told_of(self, ev: str) -> int:
        return sum(event == ev for _, event in self.noted)

    def close(self) -> None:
        self.exchange.close()
        for sock in self.socks.values():
            asyncio.get_running_loop().remove_reader(sock.fileno())
            sock.close()


def address(text: Any) -> tuple[str, int]:
    host, _, port = str(text).rpartition(":")
    return host, int(port)


def playing(scenario: Callable[[Peers], Coroutine[Any, Any, None]]) -> None:
    async def whole() -> None:
        peers = Peers()
        try:
            await scenario(peers)
        finally:
            peers.close()

    on_loop(whole)


def test_one_and_all_come_from_the_senders_address_among_the_peers() -> None:
    async def scenario(peers: Peers) -> None:
        peers.send("g0", b"one", "g1")
        peers.send("g2", b"all", "all")
        while sum(map(len, peers.got.values())) < 4:
            await asyncio.sleep(0.001)
        assert peers.got == {"g0": [b"all"], "g1": [b"one", b"all"], "g2": [b"all"]}
        listed = peers.told["g0"]["peers"]
        assert peers.froms == {address(listed[0]), address(listed[2])}  # type: ignore[index]

    playing(scenario)


def test_a_cut_of_one_direction_loses_that_one_alone_until_it_heals() -> None:
    async def scenario(peers: Peers) -> None:
        peers.exchange.apply_fault("g0", "g1", "cut_in", 0.0)
        peers.send("g0", b"lost", "g1")
        peers.send("g0", b"other", "g2")
        peers.send("g1", b"back", "g0")
        while not (peers.got["g0"] and peers.got["g2"] and peers.told_of("unheard")):
            await asyncio.sleep(0.001)
        peers.exchange.apply_fault("g0", "g1", "heal", 0.0)
        peers.send("g0", b"now", "g1")
        while not peers.got["g1"]:
            await asyncio.sleep(0.001)
        assert peers.got == {"g0": [b"back"], "g1": [b"now"], "g2": [b"other"]}

    playing(scenario)


def test_shares_of_what_is_sent_are_lost_doubled_and_overtaken() -> None:
    async def lossy(peers: Peers) -> None:
        peers.exchange.apply_fault("g0", "g1", "lose", 0.25)
        got = await peers.flights("g0", "g1")
        assert len(set(got)) == len(got) == SENT - peers.told_of("unheard")
        assert 0.15 * SENT < peers.told_of("unheard") < 0.35 * SENT

    async def twice(peers: Peers) -> None:
        peers.exchange.apply_fault("g0", "g1", "duplicate", 0.25)
        times = Counter(Counter(await peers.flights("g0", "g1")).values())
        assert set(times) == {1, 2} and 0.15 * SENT < times[2] < 0.35 * SENT

    async def overtaken(peers: Peers) -> None:
        peers.exchange.apply_fault("g0", "g1", "reorder", 0.25)
        got = [int(data) for data in await peers.flights("g0", "g1")]
        assert sorted(got) == list(range(SENT)) and got != sorted(got)

    for scenario in (lossy, twice, overtaken):
        playing(scenario)


def test_what_is_too_long_or_from_nobodys_address_is_noted_and_not_passed_on() -> None:
    async def scenario(peers: Peers) -> None:
        peers.send("g0", b"x" * 257, "g1")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
            stranger.sendto(b"x", address(peers.told["g0"]["peers"][1]))  # type: ignore[index]
        peers.send("g0", b"good", "g1")
        while not peers.got["g1"]:
            await asyncio.sleep(0.001)
        assert peers.got["g1"] == [b"good"] and peers.told_of("stranger") == 1

    playing(scenario)


def test_a_fault_between_gateways_wants_a_fleet_that_has_datagrams_and_a_share(tmp_path: Any) -> None:
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
        said = str(error)
    assert "faults.0.what: found a fault between gateways, expected fleet.peers = true" in said
    assert "faults.0.value: found 2.0, expected a share" in said
    assert "faults.1.other: found 'host:*', expected gateways" in said
    assert "faults.2.other: found 'gateways in a', expected hosts" in said
