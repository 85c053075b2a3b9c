"""Booking nodes behind a single gateway, without a record: for the demonstration and for benchmarks."""

from __future__ import annotations

import asyncio
from typing import Any

from hillmux.lab.clock import RealClock
from hillmux.lab.links import EmulatedLink
from hillmux.lab.random_streams import Stream
from hillmux.lab.standins.host import HostStandIn, IdempotencyKeys
from hillmux.lab.virtual.hosts import HostModel

MAX_QUEUED = 200
MAX_CONNECTIONS = 10_000


def _discard_event(who: str, ev: str, **fields: Any) -> None:
    """A record that nobody keeps."""


def start_host_stand_ins(count: int, work_ms: float, seed: int = 1) -> list[HostStandIn]:
    """Nodes that listen, each at a port that the system chose, in the running loop; `crash` ends one."""
    loop = asyncio.get_running_loop()
    clock, keys = RealClock(loop), IdempotencyKeys()
    nodes = []
    for number in range(count):
        name = f"h{number}"
        node = HostStandIn(
            clock,
            loop,
            name,
            "a",
            HostModel(max_queued=MAX_QUEUED),
            keys,
            [EmulatedLink("gateway", name)],
            _discard_event,
            Stream(seed, f"host.{number}"),
            MAX_CONNECTIONS,
            work_ms,
        )
        node.open()
        nodes.append(node)
    return nodes
