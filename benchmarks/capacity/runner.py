"""Runs probes: each size and seed in a child process, bounded in time, memory and number."""

from __future__ import annotations

import json
import math
import resource
import subprocess
import sys
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path

from benchmarks.capacity.measurement import Figure, Point, fit
from benchmarks.capacity.probe import LONGEST_S, Probe, Values
from benchmarks.capacity.probes import PROBES
from benchmarks.capacity.size import MOST_PROCESSES, SizeError, bearable_memory_mb, check_number

ROOT = Path(__file__).resolve().parents[2]
MOST_SEED = 2**31 - 1


class ProbeError(RuntimeError):
    """A measurement that failed; the text says which one and why."""


def check(probe: Probe, sizes: Iterable[int], seeds: Iterable[int], jobs: int = 1) -> None:
    """Refuse what cannot be measured before anything is started; hollow probes run in so many jobs.

    Raises:
        SizeError: names the field, what was found and what is allowed.
    """
    for size in sizes:
        check_number(f"{probe.name}.size ({probe.axis})", size, 1, probe.sizes[-1])
    for seed in seeds:
        check_number("seed", seed, 0, MOST_SEED)
    at_once = 1 if probe.real else jobs
    check_number(f"{probe.name}.processes", probe.processes * at_once, 1, MOST_PROCESSES)
    wanted_mb = math.ceil(probe.memory_mb * at_once)
    check_number(f"{probe.name}.memory_mb ({at_once} at once)", wanted_mb, 1, bearable_memory_mb())


def run_one(name: str, size: int, seed: int) -> Values:
    """One measurement, in this process."""
    probe = PROBES[name]
    check(probe, [size], [seed])
    values = probe.measure(size, seed)
    if set(values) != set(probe.figures):
        raise ProbeError(f"{name}: measured {sorted(values)}, declared {sorted(probe.figures)}")
    return values


def _limit_memory(at_once: int) -> None:
    most = bearable_memory_mb() * 2**20 // at_once
    resource.setrlimit(resource.RLIMIT_AS, (most, most))


def _in_child(probe: Probe, at_once: int, size: int, seed: int) -> Values:
    command = [sys.executable, "-m", "benchmarks.capacity", "one", probe.name, str(size), str(seed)]
    try:
        done = subprocess.run(
            command,
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=LONGEST_S,
            preexec_fn=partial(_limit_memory, at_once),
        )
    except subprocess.TimeoutExpired:
        raise ProbeError(f"{probe.name} at {size}: not done in {LONGEST_S:g} s") from None
    if done.returncode:
        raise ProbeError(f"{probe.name} at {size}, seed {seed}: {done.stderr.strip()[-400:]}")
    values: Values = json.loads(done.stdout.splitlines()[-1])
    return values


def measure(probe: Probe, seeds: list[int], jobs: int) -> list[Figure]:
    """All figures of a probe over its sizes and seeds; real processes one measurement at a time."""
    check(probe, probe.sizes, seeds, jobs)
    at_once = 1 if probe.real else jobs
    cases = [(size, seed) for size in probe.sizes for seed in seeds]
    with ThreadPoolExecutor(at_once) as pool:
        found = list(pool.map(lambda case: _in_child(probe, at_once, *case), cases))
    by_case = dict(zip(cases, found, strict=True))
    command = f"python -m benchmarks.capacity measure {probe.name}"
    return [
        fit(name, unit, probe.role, probe.axis, command, (
            Point(size, {str(seed): by_case[size, seed][name] for seed in seeds}) for size in probe.sizes
        ))
        for name, unit in probe.figures.items()
    ]  # fmt: skip


__all__ = ["ProbeError", "SizeError", "check", "measure", "run_one"]
