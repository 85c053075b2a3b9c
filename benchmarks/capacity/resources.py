"""Processor time and memory of this process and of others, as the kernel counts them."""

from __future__ import annotations

import gc
import statistics
import time
from collections.abc import Callable
from pathlib import Path

MB = 1024.0 * 1024.0
KB_PER_MB = 1024.0


def process_cpu_s(pid: int) -> float:
    """Processor seconds that a process has used (schedstat)."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


def core_wait_s(pid: int) -> float:
    """Seconds for which a process was ready to run and had no core (schedstat): other load of the machine."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / 1e9


def resident_mb(pid: int | str = "self") -> float:
    """Resident memory of a process, in MB, with all that it shares (VmRSS)."""
    return _field_kb(Path(f"/proc/{pid}/status"), "VmRSS:") / KB_PER_MB


def proportional_mb(pid: int) -> float:
    """Memory of a process, in MB, with its part of what it shares (PSS); resident where that is not told."""
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
    """Median processor time of a piece of work in this process, in seconds; no collection falls into it."""
    taken = []
    for _ in range(repeats):
        gc.collect()
        gc.disable()
        began = time.process_time()
        work()
        taken.append(time.process_time() - began)
        gc.enable()
    return statistics.median(taken)


class MemoryGrowth:
    """Resident growth of this process from here on; for a fresh process, whose heap holds no free room."""

    def __init__(self) -> None:
        gc.collect()
        self._before_mb = resident_mb()

    def mb(self) -> float:
        """Growth so far, in MB, what is garbage taken away."""
        gc.collect()
        return resident_mb() - self._before_mb
