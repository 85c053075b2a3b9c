"""Booking nodes behind a single gateway, without a record: for the demonstration and for benchmarks."""

from __future__ import annotations

import asyncio
from typing import Any

from hillmux.lab.clock import RealClock
from hillmux.lab.links import Link
from hillmux.lab.standins.host import BookingNode, Keys
from hillmux.lab.streams import Stream
from hillmux.lab.virtual.hosts import HostModel

WAITING = 200
MOST_CONNECTIONS = 10_000


def _unnoted(who: str, ev: str, **fields: Any) -> None:
    """A record that nobody keeps."""


def booking_nodes(count: int, work_ms: float, seed: int = 1) -> list[BookingNode]:
    """Nodes that listen, each at a port that the system chose, in the running loop; `crash` ends one."""
    loop = asyncio.get_running_loop()
    clock, keys = RealClock(loop), Keys()
    nodes = []
    for number in range(count):
        name = f"h{number}"
        node = BookingNode(
            clock,
            loop,
            name,
            "a",
            HostModel(max_queued=WAITING),
            keys,
            [Link("gateway", name)],
            _unnoted,
            Stream(seed, f"host.{number}"),
            MOST_CONNECTIONS,
            work_ms,
        )
        node.open()
        nodes.append(node)
    return nodes
