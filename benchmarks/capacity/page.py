"""Generates the blocks of docs/CAPACITY.md from the measurements file; the prose between is hand-written."""

from __future__ import annotations

import re
import sys
from pathlib import Path

from benchmarks.capacity.measurement import MEASUREMENTS_FILE, Measurements
from benchmarks.capacity.tables import BLOCKS

PAGE = Path(__file__).resolve().parents[2] / "docs" / "CAPACITY.md"
EXIT_DISAGREES = 1
BEGIN = "<!-- made by python -m benchmarks.capacity page: {name} -->"
END = "<!-- end {name} -->"
BLOCK_PATTERN = re.compile(
    r"<!-- made by python -m benchmarks\.capacity page: (?P<name>\w+) -->\n"
    r"(?P<body>.*?)<!-- end (?P=name) -->",
    re.DOTALL,
)


def write(only_check: bool, page: Path = PAGE, file: Path = MEASUREMENTS_FILE) -> int:
    """Regenerate the page's blocks, or with `only_check` report the blocks that differ from the file.

    Returns 1 if a block differs, is missing, unknown or duplicated, else 0. Without a measurements file each
    figure is shown as not measured.

    Raises:
        MeasurementError: the file exists and cannot be read.
    """
    text = page.read_text()
    faults = structure_faults(text)
    if faults:
        return _report_faults(page, faults)
    generated = fill_blocks(text, _measurements(file))
    if only_check:
        return _report_faults(
            page, [f"block {name!r} disagrees with {file.name}" for name in differing_blocks(text, generated)]
        )
    page.write_text(generated)
    return 0


def _measurements(file: Path) -> Measurements:
    return Measurements.read(file) if file.exists() else Measurements()


def _report_faults(page: Path, faults: list[str]) -> int:
    for fault in faults:
        print(f"{page.name}: {fault}", file=sys.stderr)
    return EXIT_DISAGREES if faults else 0


def block_bodies(text: str) -> dict[str, str]:
    """Contents of the page's blocks by name."""
    return {match["name"]: match["body"] for match in BLOCK_PATTERN.finditer(text)}


def structure_faults(text: str) -> list[str]:
    """Messages about blocks that are missing, unknown or duplicated."""
    names = [match["name"] for match in BLOCK_PATTERN.finditer(text)]
    missing = [f"block {name!r} is missing" for name in BLOCKS if name not in names]
    unknown = [f"block {name!r} is unknown" for name in names if name not in BLOCKS]
    duplicated = [f"block {name!r} is there twice" for name in dict.fromkeys(names) if names.count(name) > 1]
    return missing + unknown + duplicated


def fill_blocks(text: str, measured: Measurements) -> str:
    """The page's text with each block generated from the measurements."""

    def generated(match: re.Match[str]) -> str:
        name = match["name"]
        return f"{BEGIN.format(name=name)}\n{BLOCKS[name](measured)}\n{END.format(name=name)}"

    return BLOCK_PATTERN.sub(generated, text)


def differing_blocks(before: str, after: str) -> list[str]:
    """Names of blocks whose contents differ between two versions of the page."""
    old, new = block_bodies(before), block_bodies(after)
    return [name for name in new if old[name] != new[name]]
