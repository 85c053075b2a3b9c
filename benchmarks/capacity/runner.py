"""Runs probes: each size and seed in a child process, with bounds on time, memory and number of processes."""

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
from benchmarks.capacity.probe import MEASUREMENT_TIMEOUT_S, Probe, Values
from benchmarks.capacity.probes import PROBES
from benchmarks.capacity.size import MAX_PROCESSES, SizeError, check_number, memory_limit_mb

ROOT = Path(__file__).resolve().parents[2]
MAX_SEED = 2**31 - 1


class ProbeError(RuntimeError):
    """A measurement failed; the message names it and the cause."""


def check(probe: Probe, sizes: Iterable[int], seeds: Iterable[int], jobs: int = 1) -> None:
    """Check that a measurement is within its bounds, before any process is started.

    Args:
        probe: the probe to run.
        sizes: sizes to measure.
        seeds: seeds to measure with.
        jobs: measurements at a time, if the probe is hollow; real ones run one at a time.

    Raises:
        SizeError: a value is out of bounds; names the field, the value found and the allowed range.
    """
    for size in sizes:
        check_number(f"{probe.name}.size ({probe.axis})", size, 1, probe.sizes[-1])
    for seed in seeds:
        check_number("seed", seed, 0, MAX_SEED)
    at_once = 1 if probe.real else jobs
    check_number(f"{probe.name}.processes", probe.processes * at_once, 1, MAX_PROCESSES)
    required_mb = math.ceil(probe.memory_mb * at_once)
    check_number(f"{probe.name}.memory_mb ({at_once} at once)", required_mb, 1, memory_limit_mb())


def run_one(name: str, size: int, seed: int) -> Values:
    """Run one measurement in this process.

    Raises:
        SizeError: the size or the seed is out of bounds.
        ProbeError: the measured figures are not those that the probe declares.
    """
    probe = PROBES[name]
    check(probe, [size], [seed])
    values = probe.measure(size, seed)
    if set(values) != set(probe.figures):
        raise ProbeError(f"{name}: measured {sorted(values)}, declared {sorted(probe.figures)}")
    return values


def _limit_memory(at_once: int) -> None:
    limit_bytes = memory_limit_mb() * 2**20 // at_once
    resource.setrlimit(resource.RLIMIT_AS, (limit_bytes, limit_bytes))


def _run_in_child(probe: Probe, at_once: int, size: int, seed: int) -> Values:
    command = [sys.executable, "-m", "benchmarks.capacity", "one", probe.name, str(size), str(seed)]
    try:
        completed = subprocess.run(
            command,
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=MEASUREMENT_TIMEOUT_S,
            preexec_fn=partial(_limit_memory, at_once),
        )
    except subprocess.TimeoutExpired:
        raise ProbeError(f"{probe.name} at {size}: not done in {MEASUREMENT_TIMEOUT_S:g} s") from None
    if completed.returncode:
        raise ProbeError(f"{probe.name} at {size}, seed {seed}: {completed.stderr.strip()[-400:]}")
    values: Values = json.loads(completed.stdout.splitlines()[-1])
    return values


def measure(probe: Probe, seeds: list[int], jobs: int) -> list[Figure]:
    """Measure a probe at all its sizes and `seeds`, `jobs` at a time (real processes one at a time).

    Raises:
        SizeError: a value is out of bounds.
        ProbeError: a measurement failed or took longer than `MEASUREMENT_TIMEOUT_S`.
    """
    check(probe, probe.sizes, seeds, jobs)
    at_once = 1 if probe.real else jobs
    cases = [(size, seed) for size in probe.sizes for seed in seeds]
    with ThreadPoolExecutor(at_once) as pool:
        results = list(pool.map(lambda case: _run_in_child(probe, at_once, *case), cases))
    by_case = dict(zip(cases, results, strict=True))
    command = f"python -m benchmarks.capacity measure {probe.name}"
    return [
        fit(name, unit, probe.role, probe.axis, command, (
            Point(size, {str(seed): by_case[size, seed][name] for seed in seeds}) for size in probe.sizes
        ))
        for name, unit in probe.figures.items()
    ]  # fmt: skip


__all__ = ["ProbeError", "SizeError", "check", "measure", "run_one"]
