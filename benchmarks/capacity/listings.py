"""Lists of hosts in the form and lengths of discovery's own, seeded."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Any

import orjson

from benchmarks.capacity.size import FULL

CELLS = 4
LONG_AGO_MS = 1_790_000_000_000  # Unix time: as long as those that discovery sends

Instance = dict[str, Any]


def instances(count: int, seed: int, ports: Sequence[int] = ()) -> list[Instance]:
    """Hosts as discovery lists them; at these ports of this machine, or at addresses of their own."""
    rng = random.Random(seed)
    names = rng.sample(range(2**32), count)
    return [
        {
            "instanceId": f"s-{name:08x}",
            "hostPort": f"127.0.0.1:{ports[i % len(ports)]}" if ports else _address(i),
            "zone": f"z{i % FULL.zones}",
            "machineType": f"m{i % 3}",
            "cell": i % CELLS,
            "lifecycle": "ready",
            "weight": 1.0,
            "startedAtMs": LONG_AGO_MS + rng.randrange(10**9) if i % 2 else 0,
        }
        for i, name in enumerate(names)
    ]


def _address(number: int) -> str:
    return f"10.{100 + number // 62_500}.{number // 250 % 250}.{1 + number % 250}:8081"


def whole(found: list[Instance]) -> bytes:
    """The whole list, as the body of an answer."""
    return orjson.dumps({"generation": 100_000, "reset": True, "instances": found})


def change(instance: Instance, generation: int, drains: bool) -> bytes:
    """A host drains, or is ready again: an answer with one line."""
    line = {**instance, "lifecycle": "draining" if drains else "ready"}
    return orjson.dumps({"generation": generation, "reset": False, "instances": [line]})
