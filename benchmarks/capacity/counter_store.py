"""What our own counter costs: its store by the names that it keeps."""

from __future__ import annotations

import random

from benchmarks.capacity.probe import COUNTER, Probe, Values
from benchmarks.capacity.resources import MemoryGrowth, median_cpu_s
from hillmux.counter.codec import parse_call
from hillmux.counter.store import MAX_NAMES, Store, format_total

NOW_MS = 1e6
LIFE_MS = 60_000
WINDOW = 446_750_000  # a window's number, as long as today's
CALLS = 5_000
REPEATS = 7


def target(number: int) -> bytes:
    """A call's target with a name as the gateways' decision modules make them: 16 digits, plan, window."""
    return b"/v1/count/%016x.0.%d?add=1.5&ttl_ms=%d" % (number * 0x9E3779B97F4A7C15 % 2**64, WINDOW, LIFE_MS)


def answer(store: Store, asked: bytes) -> str:
    """One call as the service answers it, from the target to the total's text."""
    call = parse_call(b"POST", asked)
    return format_total(store.add(call.name, call.amount, call.retention_ms, NOW_MS))


def measure(size: int, seed: int) -> Values:
    """A store with so many names, and calls to names that it holds."""
    answer(Store(), target(0))
    growth = MemoryGrowth()
    store = Store(MAX_NAMES)
    for number in range(size):
        answer(store, target(number))
    memory_mb = growth.mb()
    rng = random.Random(seed)
    asked = [target(rng.randrange(size)) for _ in range(CALLS)]
    return {
        "counter.store.memory_mb": memory_mb,
        "counter.store.us_per_call": 1e6 / CALLS * median_cpu_s(lambda: _answer_all(store, asked), REPEATS),
    }


def _answer_all(store: Store, asked: list[bytes]) -> None:
    for call in asked:
        answer(store, call)


PROBES = (
    Probe(
        name="counter.store",
        role=COUNTER,
        axis="names kept",
        sizes=(10_000, 60_000, 250_000, 500_000),
        figures={
            "counter.store.memory_mb": "MB",
            "counter.store.us_per_call": "us of a core a call",
        },
        measure=measure,
        small=100,
        note="sockets and HTTP; a call's target and its total's text are in",
    ),
)
