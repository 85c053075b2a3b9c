"""Seeded lists of hosts in discovery's format, with values as long as real ones."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Any

import orjson

from benchmarks.capacity.size import FULL

CELLS = 4
BASE_START_MS = 1_790_000_000_000  # Unix time with as many digits as discovery sends

Instance = dict[str, Any]


def instances(count: int, seed: int, ports: Sequence[int] = ()) -> list[Instance]:
    """`count` hosts as discovery lists them, at `ports` of this machine, or each at its own address."""
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
            "startedAtMs": BASE_START_MS + rng.randrange(10**9) if i % 2 else 0,
        }
        for i, name in enumerate(names)
    ]


def _address(number: int) -> str:
    return f"10.{100 + number // 62_500}.{number // 250 % 250}.{1 + number % 250}:8081"


def full_list(hosts: list[Instance]) -> bytes:
    """Body of a discovery response with the full list."""
    return orjson.dumps({"generation": 100_000, "reset": True, "instances": hosts})


def single_change(instance: Instance, generation: int, draining: bool) -> bytes:
    """Body of a discovery response with one changed host, which is draining or ready again."""
    changed = {**instance, "lifecycle": "draining" if draining else "ready"}
    return orjson.dumps({"generation": generation, "reset": False, "instances": [changed]})
