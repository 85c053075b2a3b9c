"""A probe: one thing that is measured at several sizes, each in a process of its own."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

GATEWAY, COUNTER, DISCOVERY, HOST, OPERATOR = "gateway", "counter", "discovery", "host", "operator"
ROLES = (GATEWAY, COUNTER, DISCOVERY, HOST, OPERATOR)
LEAST_SIZES = 4
LONGEST_S = 300.0  # of one measurement at one size

Values = dict[str, float]  # by figure, in the figure's unit


@dataclass(slots=True, frozen=True)
class Probe:
    """What is measured, along which axis, at which sizes.

    `measure` takes a size and a seed and returns one value for each of `figures`. It runs in a fresh process,
    so that memory is its own, under `LONGEST_S` and half of the machine's memory.
    """

    name: str
    role: str
    axis: str  # what a size counts, such as "hosts in the list"
    sizes: tuple[int, ...]  # ascending; the last one is the largest that one machine is to bear
    figures: dict[str, str]  # name of each figure: its unit
    measure: Callable[[int, int], Values]
    small: int  # the size at which `make test` counts
    real: bool = False  # real processes, so alone on the machine; else hollow ones
    processes: int = 1  # at the largest size
    note: str = ""  # what it leaves out

    def __post_init__(self) -> None:
        if self.role not in ROLES:
            raise ValueError(f"{self.name}.role: found {self.role!r}, allowed {', '.join(ROLES)}")
        if len(self.sizes) < LEAST_SIZES or list(self.sizes) != sorted(set(self.sizes)):
            raise ValueError(
                f"{self.name}.sizes: found {self.sizes}, allowed {LEAST_SIZES} or more, ascending"
            )
