"""A probe measures figures at several sizes, each size in a separate process."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

GATEWAY, COUNTER, DISCOVERY, HOST, OPERATOR = "gateway", "counter", "discovery", "host", "operator"
ROLES = (GATEWAY, COUNTER, DISCOVERY, HOST, OPERATOR)
MIN_SIZES = 4
MEASUREMENT_TIMEOUT_S = 300.0  # bound of one measurement at one size

Values = dict[str, float]  # value by name of the figure, in the figure's unit


@dataclass(slots=True, frozen=True)
class Probe:
    """What is measured, along which axis, at which sizes.

    `measure` takes a size and a seed and returns one value for each of `figures`. It runs in a new process,
    so that memory of other measurements is not counted, bounded by `MEASUREMENT_TIMEOUT_S` and half of the
    machine's memory.
    """

    name: str
    role: str
    axis: str  # what a size counts, such as "hosts in the list"
    sizes: tuple[int, ...]  # ascending; the last is the largest size allowed on one machine
    figures: dict[str, str]  # unit by name of the figure
    measure: Callable[[int, int], Values]
    small: int  # size used by `make test`
    real: bool = False  # runs real processes, one measurement at a time; otherwise hollow, in one process
    processes: int = 1  # number of processes at the largest size
    memory_mb: float = 512.0  # memory of all its processes at the largest size
    note: str = ""  # what the probe leaves out, shown on the page

    def __post_init__(self) -> None:
        if self.role not in ROLES:
            raise ValueError(f"{self.name}.role: found {self.role!r}, allowed {', '.join(ROLES)}")
        if len(self.sizes) < MIN_SIZES or list(self.sizes) != sorted(set(self.sizes)):
            raise ValueError(f"{self.name}.sizes: found {self.sizes}, allowed {MIN_SIZES} or more, ascending")
