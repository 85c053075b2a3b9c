"""The file of measurements: each figure with its sizes, its slope, its residual and its spread over seeds."""

from __future__ import annotations

import json
import math
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from pathlib import Path

FILE = Path(__file__).with_name("measurements.json")
VERSION = 1


class MeasurementError(ValueError):
    """A file of measurements that cannot be read, or a figure that is not in it; names the field."""


@dataclass(slots=True, frozen=True)
class Point:
    """A figure at one size, by seed."""

    size: int
    values: dict[str, float]

    @property
    def mean(self) -> float:
        """Mean over the seeds."""
        return math.fsum(self.values.values()) / len(self.values)

    @property
    def spread(self) -> float:
        """Largest less smallest value over the seeds, as a share of the mean."""
        values = self.values.values()
        return (max(values) - min(values)) / abs(self.mean) if self.mean else 0.0


@dataclass(slots=True, frozen=True)
class Figure:
    """One figure along its axis, with the straight line through its points (least squares)."""

    name: str
    unit: str
    role: str
    axis: str
    command: str
    points: tuple[Point, ...]
    slope: float  # units a step of the axis
    intercept: float
    residual: float  # largest distance of a point from the line, as a share of the largest value
    spread: float  # largest of the points' spreads

    def at(self, size: float) -> float:
        """The figure at a size: by the line through its two neighbours, beyond the last one by the slope."""
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
        part = (size - low.size) / (high.size - low.size)
        return low.mean + part * (high.mean - low.mean)


def fit(name: str, unit: str, role: str, axis: str, command: str, points: Iterable[Point]) -> Figure:
    """A figure with its line."""
    found = tuple(sorted(points, key=lambda point: point.size))
    sizes, values = [float(p.size) for p in found], [p.mean for p in found]
    middle, mean = math.fsum(sizes) / len(sizes), math.fsum(values) / len(values)
    width = math.fsum((x - middle) ** 2 for x in sizes)
    pairs = zip(sizes, values, strict=True)
    slope = math.fsum((x - middle) * (y - mean) for x, y in pairs) / width if width else 0.0
    intercept = mean - slope * middle
    off = max(abs(y - intercept - slope * x) for x, y in zip(sizes, values, strict=True))
    largest = max(map(abs, values))
    residual = off / largest if largest else 0.0
    spread = max(p.spread for p in found)
    return Figure(name, unit, role, axis, command, found, slope, intercept, residual, spread)


class Measurements:
    """All figures, by name."""

    def __init__(self, figures: Iterable[Figure] = (), seeds: Iterable[int] = ()) -> None:
        self.figures = {figure.name: figure for figure in figures}
        self.seeds = tuple(seeds)

    def __getitem__(self, name: str) -> Figure:
        if name not in self.figures:
            raise MeasurementError(f"figures: {name!r} was not measured; there are {', '.join(self.figures)}")
        return self.figures[name]

    def with_figures(self, figures: Iterable[Figure], seeds: Iterable[int]) -> Measurements:
        """These and new ones, which replace those of the same names."""
        merged = {**self.figures, **{figure.name: figure for figure in figures}}
        return Measurements((merged[name] for name in sorted(merged)), seeds)

    def write(self, path: Path = FILE) -> None:
        """Write the file, whole or not at all."""
        document = {
            "version": VERSION,
            "seeds": list(self.seeds),
            "figures": [asdict(self.figures[name]) for name in sorted(self.figures)],
        }
        beside = path.with_suffix(".new")
        beside.write_text(json.dumps(document, indent=1) + "\n")
        beside.replace(path)

    @classmethod
    def read(cls, path: Path = FILE) -> Measurements:
        """Read the file.

        Raises:
            MeasurementError: it is missing, or has another form.
        """
        try:
            document = json.loads(path.read_text())
            if document["version"] != VERSION:
                raise MeasurementError(f"version: found {document['version']!r}, allowed {VERSION}")
            return cls(map(_figure, document["figures"]), document["seeds"])
        except (OSError, KeyError, TypeError, json.JSONDecodeError) as error:
            raise MeasurementError(f"{path.name}: {type(error).__name__}: {error}") from None


def _figure(row: dict[str, object]) -> Figure:
    points = tuple(Point(**point) for point in row.pop("points"))  # type: ignore[attr-defined]
    return Figure(points=points, **row)  # type: ignore[arg-type]
