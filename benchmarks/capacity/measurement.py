"""The measurements file: each figure with its points, slope, residual and spread over seeds."""

from __future__ import annotations

import json
import math
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from pathlib import Path

MEASUREMENTS_FILE = Path(__file__).with_name("measurements.json")
FORMAT_VERSION = 1


class MeasurementError(ValueError):
    """The measurements file cannot be read, or lacks a figure; the message names the field."""


@dataclass(slots=True, frozen=True)
class Point:
    """Values of a figure at one size, by seed."""

    size: int
    values: dict[str, float]

    @property
    def mean(self) -> float:
        """Mean over the seeds."""
        return math.fsum(self.values.values()) / len(self.values)

    @property
    def spread(self) -> float:
        """Difference of the largest and smallest value over the seeds, as a share of the mean."""
        values = self.values.values()
        return (max(values) - min(values)) / abs(self.mean) if self.mean else 0.0


@dataclass(slots=True, frozen=True)
class Figure:
    """One figure along its axis, with the line fitted to its points by least squares."""

    name: str
    unit: str
    role: str
    axis: str
    command: str
    points: tuple[Point, ...]
    slope: float  # in the figure's unit per step of the axis
    intercept: float
    residual: float  # largest deviation of a point from the line, as a share of the largest value
    spread: float  # largest spread of a point

    def at(self, size: float) -> float:
        """Value at a size: interpolated between measured sizes, beyond the last extrapolated by the slope."""
        points = self.points
        if size >= points[-1].size:
            return points[-1].mean + self.slope * (size - points[-1].size)
        low, high = points[0], points[0]
        for point in points:
            low, high = high, point
            if size <= point.size:
                break
        if low.size == high.size:
            return low.mean
        fraction = (size - low.size) / (high.size - low.size)
        return low.mean + fraction * (high.mean - low.mean)


def fit(name: str, unit: str, role: str, axis: str, command: str, points: Iterable[Point]) -> Figure:
    """Fit a line to the points and return the figure."""
    sorted_points = tuple(sorted(points, key=lambda point: point.size))
    sizes, values = [float(p.size) for p in sorted_points], [p.mean for p in sorted_points]
    mean_size, mean = math.fsum(sizes) / len(sizes), math.fsum(values) / len(values)
    sum_of_squares = math.fsum((x - mean_size) ** 2 for x in sizes)
    coordinates = zip(sizes, values, strict=True)
    slope = (
        math.fsum((x - mean_size) * (y - mean) for x, y in coordinates) / sum_of_squares
        if sum_of_squares
        else 0.0
    )
    intercept = mean - slope * mean_size
    max_deviation = max(abs(y - intercept - slope * x) for x, y in zip(sizes, values, strict=True))
    largest = max(map(abs, values))
    residual = max_deviation / largest if largest else 0.0
    spread = max(p.spread for p in sorted_points)
    return Figure(name, unit, role, axis, command, sorted_points, slope, intercept, residual, spread)


class Measurements:
    """All measured figures.

    Attributes:
        figures: figures by name.
        seeds: seeds of the last measurement.
    """

    def __init__(self, figures: Iterable[Figure] = (), seeds: Iterable[int] = ()) -> None:
        self.figures = {figure.name: figure for figure in figures}
        self.seeds = tuple(seeds)

    def __getitem__(self, name: str) -> Figure:
        if name not in self.figures:
            raise MeasurementError(f"figures: {name!r} was not measured; there are {', '.join(self.figures)}")
        return self.figures[name]

    def with_figures(self, figures: Iterable[Figure], seeds: Iterable[int]) -> Measurements:
        """A copy with `figures` added, replacing figures of the same names, and with `seeds`."""
        merged = {**self.figures, **{figure.name: figure for figure in figures}}
        return Measurements((merged[name] for name in sorted(merged)), seeds)

    def write(self, path: Path = MEASUREMENTS_FILE) -> None:
        """Write the file atomically."""
        document = {
            "version": FORMAT_VERSION,
            "seeds": list(self.seeds),
            "figures": [asdict(self.figures[name]) for name in sorted(self.figures)],
        }
        temporary = path.with_suffix(".new")
        temporary.write_text(json.dumps(document, indent=1) + "\n")
        temporary.replace(path)

    @classmethod
    def read(cls, path: Path = MEASUREMENTS_FILE) -> Measurements:
        """Read the file.

        Raises:
            MeasurementError: the file is missing, or has a different format.
        """
        try:
            document = json.loads(path.read_text())
            if document["version"] != FORMAT_VERSION:
                raise MeasurementError(f"version: found {document['version']!r}, allowed {FORMAT_VERSION}")
            return cls(map(_figure, document["figures"]), document["seeds"])
        except (OSError, KeyError, TypeError, json.JSONDecodeError) as error:
            raise MeasurementError(f"{path.name}: {type(error).__name__}: {error}") from None


def _figure(row: dict[str, object]) -> Figure:
    points = tuple(Point(**point) for point in row.pop("points"))  # type: ignore[attr-defined]
    return Figure(points=points, **row)  # type: ignore[arg-type]
