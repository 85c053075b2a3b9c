"""A row of the page: one use of a resource by a role, computed from measured figures."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from benchmarks.capacity.assumptions import Assumption
from benchmarks.capacity.measurement import MeasurementError, Measurements
from benchmarks.capacity.situations import Situation


class Role(Enum):
    """Part of the system that uses the resource."""

    GATEWAY = "gateway"
    COUNTER = "counter and the three control machines"
    AGENT = "discovery's agent"
    HOST = "host"
    OPERATOR = "operator's machine"


class Resource(Enum):
    """Kind of resource that a row accounts for."""

    STATE = "state"
    MESSAGES = "messages"
    PROCESSOR = "processor"
    MEMORY = "memory"
    TIME = "time"
    REFUSALS = "refusals and units beyond quotas"


class Remedy(Enum):
    """Whether bringing a row under its budget needs a new protocol; the value is shown on the page."""

    EXISTING_PROTOCOL = "no"
    NEW_PROTOCOL = "yes"


class ReadingKind(Enum):
    """Which value of a figure a row uses."""

    AT = "at a size"
    LARGEST = "at the largest size measured"
    SLOPE = "slope"


@dataclass(slots=True, frozen=True)
class Reading:
    """A value of one measured figure that a row uses; `size` applies only to `ReadingKind.AT`."""

    figure: str
    kind: ReadingKind
    size: float = 0.0

    def value(self, measured: Measurements) -> float:
        """The value in the figure's unit; for a slope, in this unit per step of the axis.

        Raises:
            MeasurementError: the figure was not measured.
        """
        figure = measured[self.figure]
        match self.kind:
            case ReadingKind.AT:
                return figure.at(self.size)
            case ReadingKind.LARGEST:
                return figure.points[-1].mean
            case ReadingKind.SLOPE:
                return figure.slope


def at_size(figure: str, size: float) -> Reading:
    """Reading of a figure at a size, interpolated or extrapolated."""
    return Reading(figure, ReadingKind.AT, size)


def largest(figure: str) -> Reading:
    """Reading of a figure at the largest measured size, for figures that cannot be extrapolated."""
    return Reading(figure, ReadingKind.LARGEST)


def slope(figure: str) -> Reading:
    """Reading of a figure's slope."""
    return Reading(figure, ReadingKind.SLOPE)


@dataclass(slots=True, frozen=True)
class Row:
    """One use of a resource by a role in a situation.

    `formula` takes the values of `readings` in order and returns the use in `unit`; `derivation` describes
    the formula in words. A row without a formula has no mechanism yet: its use is infinite.
    """

    role: Role
    resource: Resource
    situation: Situation
    what: str
    unit: str
    budget: float | None  # in `unit`; None if no budget is given
    derivation: str
    mechanism: str | None  # None if there is none yet
    readings: tuple[Reading, ...] = ()
    formula: Callable[..., float] | None = None
    remedy: Remedy = Remedy.EXISTING_PROTOCOL
    how: str = ""  # what would bring the row under its budget
    assumed: tuple[Assumption, ...] = ()

    @property
    def name(self) -> str:
        """Name of the row, unique on the page."""
        return f"{self.role.value}, {self.resource.value}: {self.what}, {self.situation.name}"

    def missing(self, measured: Measurements) -> list[str]:
        """Names of the row's figures that were not measured."""
        names = dict.fromkeys(reading.figure for reading in self.readings)
        return [name for name in names if name not in measured.figures]

    def use(self, measured: Measurements) -> float | None:
        """The use in `unit`; infinite without a formula; None if a figure was not measured."""
        if self.formula is None:
            return math.inf
        try:
            return self.formula(*(reading.value(measured) for reading in self.readings))
        except MeasurementError:
            return None

    def budget_ratio(self, measured: Measurements) -> float | None:
        """Use divided by the budget; infinite without a formula, None if the use or the budget is unknown."""
        use = self.use(measured)
        if use is None or math.isinf(use):
            return use
        return use / self.budget if self.budget else None
