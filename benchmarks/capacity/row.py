"""A row of the page: one use of one resource by one role, worked out from measured figures."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from benchmarks.capacity.assumptions import Assumption
from benchmarks.capacity.measurement import MeasurementError, Measurements
from benchmarks.capacity.situations import Situation


class Role(Enum):
    """Who has the use."""

    GATEWAY = "gateway"
    COUNTER = "counter and the three control machines"
    AGENT = "discovery's agent"
    HOST = "host"
    OPERATOR = "operator's machine"


class Resource(Enum):
    """What is used."""

    STATE = "state"
    MESSAGES = "messages"
    PROCESSOR = "processor"
    MEMORY = "memory"
    TIME = "time"
    REFUSALS = "refusals and units beyond quotas"


class Mend(Enum):
    """What it takes to bring a row under its budget."""

    WITHIN = "no"
    NEW_PROTOCOL = "yes"


class Take(Enum):
    """What a row takes from a figure."""

    AT = "at a size"
    LARGEST = "at the largest size measured"
    SLOPE = "slope"


@dataclass(slots=True, frozen=True)
class Reading:
    """What a row takes from one measured figure; `size` counts for `Take.AT` alone."""

    figure: str
    take: Take
    size: float = 0.0

    def value(self, measured: Measurements) -> float:
        """The value, in the figure's unit, or in its unit a step of its axis for a slope.

        Raises:
            MeasurementError: the figure was not measured.
        """
        figure = measured[self.figure]
        match self.take:
            case Take.AT:
                return figure.at(self.size)
            case Take.LARGEST:
                return figure.points[-1].mean
            case Take.SLOPE:
                return figure.slope


def at(figure: str, size: float) -> Reading:
    """A figure at a size."""
    return Reading(figure, Take.AT, size)


def largest(figure: str) -> Reading:
    """A figure at the largest size that was measured, where its slope says nothing beyond that."""
    return Reading(figure, Take.LARGEST)


def slope(figure: str) -> Reading:
    """A figure's slope."""
    return Reading(figure, Take.SLOPE)


@dataclass(slots=True, frozen=True)
class Row:
    """One use of one resource by one role in one situation.

    `formula` takes the values of `readings` in their order and returns the use in `unit`; `worked` says the
    same in words. A row without a formula has no mechanism that carries it: its use over budget is infinite.
    """

    role: Role
    resource: Resource
    situation: Situation
    what: str
    unit: str
    budget: float | None  # in `unit`; None: none is given
    worked: str
    mechanism: str | None  # None: none yet
    readings: tuple[Reading, ...] = ()
    formula: Callable[..., float] | None = None
    mend: Mend = Mend.WITHIN
    how: str = ""  # what would bring it under its budget
    assumed: tuple[Assumption, ...] = ()

    @property
    def name(self) -> str:
        """What tells it from all others."""
        return f"{self.role.value}, {self.resource.value}: {self.what}, {self.situation.name}"

    def missing(self, measured: Measurements) -> list[str]:
        """Names of its figures that were not measured."""
        names = dict.fromkeys(reading.figure for reading in self.readings)
        return [name for name in names if name not in measured.figures]

    def use(self, measured: Measurements) -> float | None:
        """Its use in `unit`; infinite with no mechanism; None where a figure was not measured."""
        if self.formula is None:
            return math.inf
        try:
            return self.formula(*(reading.value(measured) for reading in self.readings))
        except MeasurementError:
            return None

    def over(self, measured: Measurements) -> float | None:
        """Use over budget; None where one of them is not known."""
        use = self.use(measured)
        if use is None or math.isinf(use):
            return use
        return use / self.budget if self.budget else None
