"""Memory and processor time of our counter's store, by the number of names that it holds."""

from __future__ import annotations

import random

from benchmarks.capacity.probe import COUNTER, Probe, Values
from benchmarks.capacity.resources import MemoryGrowth, median_cpu_s
from hillmux.counter.codec import parse_call
from hillmux.counter.store import MAX_NAMES, Store, format_total

NOW_MS = 1e6
RETENTION_MS = 60_000
WINDOW_NUMBER = 446_750_000  # has as many digits as the number of a current window
CALLS = 5_000
REPEATS = 7


def call_target(number: int) -> bytes:
    """Request target of a call, with a name as the decision module makes it: 16 hex digits, plan, window."""
    return b"/v1/count/%016x.0.%d?add=1.5&ttl_ms=%d" % (
        number * 0x9E3779B97F4A7C15 % 2**64,
        WINDOW_NUMBER,
        RETENTION_MS,
    )


def answer_call(store: Store, request_target: bytes) -> str:
    """Handle one call as the service does, from parsing the target to formatting the total."""
    call = parse_call(b"POST", request_target)
    return format_total(store.add(call.name, call.amount, call.retention_ms, NOW_MS))


def measure(size: int, seed: int) -> Values:
    """Measure a store that holds `size` names, and calls to these names."""
    answer_call(Store(), call_target(0))
    growth = MemoryGrowth()
    store = Store(MAX_NAMES)
    for number in range(size):
        answer_call(store, call_target(number))
    memory_mb = growth.mb()
    rng = random.Random(seed)
    targets = [call_target(rng.randrange(size)) for _ in range(CALLS)]
    return {
        "counter.store.memory_mb": memory_mb,
        "counter.store.us_per_call": 1e6
        / CALLS
        * median_cpu_s(lambda: _answer_calls(store, targets), REPEATS),
    }


def _answer_calls(store: Store, targets: list[bytes]) -> None:
    for request_target in targets:
        answer_call(store, request_target)


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
