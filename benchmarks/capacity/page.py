"""docs/CAPACITY.md: prose written by hand, with blocks that are made from the file of measurements."""

from __future__ import annotations

import re
import sys
from pathlib import Path

from benchmarks.capacity.measurement import FILE, Measurements
from benchmarks.capacity.tables import BLOCKS

PAGE = Path(__file__).resolve().parents[2] / "docs" / "CAPACITY.md"
DISAGREES = 1
BEGIN = "<!-- made by python -m benchmarks.capacity page: {name} -->"
END = "<!-- end {name} -->"
BLOCK = re.compile(
    r"<!-- made by python -m benchmarks\.capacity page: (?P<name>\w+) -->\n"
    r"(?P<body>.*?)<!-- end (?P=name) -->",
    re.DOTALL,
)


def write(only_check: bool, page: Path = PAGE, file: Path = FILE) -> int:
    """Make the page's blocks anew, or say where page and file disagree.

    Returns 1 if they disagree or a block is missing, else 0. With no file of measurements each figure stands
    as not measured.

    Raises:
        MeasurementError: the file is there and cannot be read.
    """
    text = page.read_text()
    faults = structure_faults(text)
    if faults:
        return _told(page, faults)
    made = filled(text, _measurements(file))
    if only_check:
        return _told(page, [f"block {name!r} disagrees with {file.name}" for name in differing(text, made)])
    page.write_text(made)
    return 0


def _measurements(file: Path) -> Measurements:
    return Measurements.read(file) if file.exists() else Measurements()


def _told(page: Path, faults: list[str]) -> int:
    for fault in faults:
        print(f"{page.name}: {fault}", file=sys.stderr)
    return DISAGREES if faults else 0


def bodies(text: str) -> dict[str, str]:
    """The page's blocks by name."""
    return {found["name"]: found["body"] for found in BLOCK.finditer(text)}


def structure_faults(text: str) -> list[str]:
    """Blocks that are missing, unknown or there twice."""
    names = [found["name"] for found in BLOCK.finditer(text)]
    missing = [f"block {name!r} is missing" for name in BLOCKS if name not in names]
    unknown = [f"block {name!r} is unknown" for name in names if name not in BLOCKS]
    twice = [f"block {name!r} is there twice" for name in dict.fromkeys(names) if names.count(name) > 1]
    return missing + unknown + twice


def filled(text: str, measured: Measurements) -> str:
    """The page with each block made from these measurements."""

    def made(found: re.Match[str]) -> str:
        name = found["name"]
        return f"{BEGIN.format(name=name)}\n{BLOCKS[name](measured)}\n{END.format(name=name)}"

    return BLOCK.sub(made, text)


def differing(before: str, after: str) -> list[str]:
    """Names of the blocks that are not the same in two texts of the page."""
    old, new = bodies(before), bodies(after)
    return [name for name in new if old[name] != new[name]]
