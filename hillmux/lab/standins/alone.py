"""Host stand-ins for a single gateway, without a record of events, for demonstration and benchmarks."""

from __future__ import annotations

import asyncio
from typing import Any

from hillmux.lab.clock import RealClock
from hillmux.lab.links import EmulatedLink
from hillmux.lab.random_streams import Stream
from hillmux.lab.standins.host import HostStandIn, IdempotencyKeys
from hillmux.lab.virtual.hosts import HostModel

MAX_QUEUED = 200  # requests queued at a host
MAX_CONNECTIONS = 10_000  # open connections of a host


def _discard_event(who: str, ev: str, **fields: Any) -> None:
    """Discard an event that a stand-in notes."""


def start_host_stand_ins(count: int, work_ms: float, seed: int = 1) -> list[HostStandIn]:
    """Start hosts in the running loop, each listening on a port chosen by the kernel; `crash` stops one.

    Args:
        count: Number of hosts.
        work_ms: Mean work of a request that does not state its own, in ms of one core.
        seed: Seed of the hosts' random streams.
    """
    loop = asyncio.get_running_loop()
    clock, keys = RealClock(loop), IdempotencyKeys()
    hosts = []
    for number in range(count):
        name = f"h{number}"
        host = HostStandIn(
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
        host.open()
        hosts.append(host)
    return hosts
