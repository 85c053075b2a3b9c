"""Processor time and memory of this and other processes, as reported by the kernel."""

from __future__ import annotations

import gc
import statistics
import time
from collections.abc import Callable
from pathlib import Path

MB = 1024.0 * 1024.0
KB_PER_MB = 1024.0


def process_cpu_s(pid: int) -> float:
    """Processor time used by a process, in seconds (schedstat)."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


def core_wait_s(pid: int) -> float:
    """Time a process was runnable without a core, in seconds (schedstat), due to other load."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / 1e9


def resident_mb(pid: int | str = "self") -> float:
    """Resident memory of a process, in MB, including all shared pages (VmRSS)."""
    return _field_kb(Path(f"/proc/{pid}/status"), "VmRSS:") / KB_PER_MB


def proportional_mb(pid: int) -> float:
    """Proportional set size of a process, in MB; resident memory where the kernel does not report it."""
    try:
        return _field_kb(Path(f"/proc/{pid}/smaps_rollup"), "Pss:") / KB_PER_MB
    except (OSError, ValueError):
        return resident_mb(pid)


def _field_kb(path: Path, field: str) -> float:
    for line in path.read_text().splitlines():
        if line.startswith(field):
            return float(line.split()[1])
    raise ValueError(f"{path} has no {field}")


def median_cpu_s(work: Callable[[], object], repeats: int) -> float:
    """Median processor time of `work` in this process, in seconds, with the garbage collector disabled."""
    durations = []
    for _ in range(repeats):
        gc.collect()
        gc.disable()
        started = time.process_time()
        work()
        durations.append(time.process_time() - started)
        gc.enable()
    return statistics.median(durations)


class MemoryGrowth:
    """Growth of this process's resident memory since the creation of this object.

    Only meaningful in a new process: free memory in an older heap would hide allocations.
    """

    def __init__(self) -> None:
        gc.collect()
        self._before_mb = resident_mb()

    def mb(self) -> float:
        """Growth so far, in MB, after a garbage collection."""
        gc.collect()
        return resident_mb() - self._before_mb
