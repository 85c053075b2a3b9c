"""Runs probes: each size and seed in a child process, bounded in time, memory and number."""

from __future__ import annotations

import json
import resource
import subprocess
import sys
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from benchmarks.capacity.measurement import Figure, Point, fit
from benchmarks.capacity.probe import LONGEST_S, Probe, Values
from benchmarks.capacity.probes import PROBES
from benchmarks.capacity.size import MEMORY_SHARE, SizeError, check_number, machine_memory_bytes

ROOT = Path(__file__).resolve().parents[2]
MOST_SEED = 2**31 - 1


class ProbeError(RuntimeError):
    """A measurement that failed; the text says which one and why."""


def check(probe: Probe, sizes: Iterable[int], seeds: Iterable[int]) -> None:
    """Refuse what cannot be measured before anything is started.

    Raises:
        SizeError: names the field, what was found and what is allowed.
    """
    for size in sizes:
        check_number(f"{probe.name}.size ({probe.axis})", size, 1, probe.sizes[-1])
    for seed in seeds:
        check_number("seed", seed, 0, MOST_SEED)


def run_one(name: str, size: int, seed: int) -> Values:
    """One measurement, in this process."""
    probe = PROBES[name]
    check(probe, [size], [seed])
    values = probe.measure(size, seed)
    if set(values) != set(probe.figures):
        raise ProbeError(f"{name}: measured {sorted(values)}, declared {sorted(probe.figures)}")
    return values


def _limit_memory() -> None:
    most = int(machine_memory_bytes() * MEMORY_SHARE)
    resource.setrlimit(resource.RLIMIT_AS, (most, most))


def _in_child(probe: Probe, size: int, seed: int) -> Values:
    command = [sys.executable, "-m", "benchmarks.capacity", "one", probe.name, str(size), str(seed)]
    try:
        done = subprocess.run(
            command, cwd=ROOT, capture_output=True, text=True, timeout=LONGEST_S, preexec_fn=_limit_memory
        )
    except subprocess.TimeoutExpired:
        raise ProbeError(f"{probe.name} at {size}: not done in {LONGEST_S:g} s") from None
    if done.returncode:
        raise ProbeError(f"{probe.name} at {size}, seed {seed}: {done.stderr.strip()[-400:]}")
    values: Values = json.loads(done.stdout.splitlines()[-1])
    return values


def measure(probe: Probe, seeds: list[int], jobs: int) -> list[Figure]:
    """All figures of a probe over its sizes and seeds; real processes one measurement at a time."""
    check(probe, probe.sizes, seeds)
    cases = [(size, seed) for size in probe.sizes for seed in seeds]
    with ThreadPoolExecutor(1 if probe.real else jobs) as pool:
        found = list(pool.map(lambda case: _in_child(probe, *case), cases))
    by_case = dict(zip(cases, found, strict=True))
    command = f"python -m benchmarks.capacity measure {probe.name}"
    return [
        fit(name, unit, probe.role, probe.axis, command, (
            Point(size, {str(seed): by_case[size, seed][name] for seed in seeds}) for size in probe.sizes
        ))
        for name, unit in probe.figures.items()
    ]  # fmt: skip


__all__ = ["ProbeError", "SizeError", "check", "measure", "run_one"]
