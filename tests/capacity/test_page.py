"""docs/CAPACITY.md agrees with the measurements file, and the check reports the blocks that differ."""

from __future__ import annotations

import json
import shutil
from dataclasses import replace
from functools import cache
from pathlib import Path

import pytest

from benchmarks.capacity import __main__ as command
from benchmarks.capacity import page
from benchmarks.capacity.markdown import LINE_LENGTH
from benchmarks.capacity.measurement import (
    MEASUREMENTS_FILE,
    Figure,
    MeasurementError,
    Measurements,
    Point,
    fit,
)
from benchmarks.capacity.row import Remedy, Row, at_size, slope
from benchmarks.capacity.row import largest as at_largest
from benchmarks.capacity.rows import ROWS
from benchmarks.capacity.situations import SITUATIONS
from benchmarks.capacity.tables import BLOCKS

SYNTHETIC_SIZES = (10, 100, 1_000, 100_000)
SEEDS = (1, 2)


def synthetic_figure(name: str, slope_per_step: float = 0.001, spread: float = 0.02) -> Figure:
    """A figure that was not measured: it grows by `slope_per_step`, and its two seeds differ by `spread`."""
    points = [
        Point(
            size,
            {
                "1": (1 + slope_per_step * size) * (1 - spread / 2),
                "2": (1 + slope_per_step * size) * (1 + spread / 2),
            },
        )
        for size in SYNTHETIC_SIZES
    ]
    return fit(name, "unit", "gateway", "steps", "made up in a test", points)


def needed_figures() -> list[str]:
    return sorted({reading.figure for row in ROWS for reading in row.readings})


@cache
def synthetic_measurements() -> Measurements:
    return Measurements(map(synthetic_figure, needed_figures()), SEEDS)


@cache
def synthetic_page() -> str:
    return page.fill_blocks(page.PAGE.read_text(), synthetic_measurements())


@pytest.fixture
def files(tmp_path: Path) -> tuple[Path, Path]:
    """A copy of the page generated from synthetic measurements, and the file of these measurements."""
    page_copy, file = tmp_path / "CAPACITY.md", tmp_path / "measurements.json"
    page_copy.write_text(synthetic_page())
    synthetic_measurements().write(file)
    return page_copy, file


def scale_figure(file: Path, name: str, factor: float) -> None:
    measured = Measurements.read(file)
    before = measured[name]
    points = (Point(p.size, {s: v * factor for s, v in p.values.items()}) for p in before.points)
    after = fit(before.name, before.unit, before.role, before.axis, before.command, points)
    measured.with_figures([after], SEEDS).write(file)


def find_row(what: str, situation: str) -> Row:
    return next(row for row in ROWS if row.what == what and row.situation.name == situation)


def test_page_agrees_with_measurements_file() -> None:
    assert page.write(only_check=True) == 0, "regenerate it: python -m benchmarks.capacity page"


def test_check_passes_on_freshly_generated_page(files: tuple[Path, Path]) -> None:
    assert page.write(only_check=True, page=files[0], file=files[1]) == 0


def test_check_reports_blocks_of_changed_measurement(
    files: tuple[Path, Path], capsys: pytest.CaptureFixture[str]
) -> None:
    page_copy, file = files
    scale_figure(file, "hosts.list.bytes", 1.5)
    assert page.write(only_check=True, page=page_copy, file=file) == 1
    messages = capsys.readouterr().err.splitlines()
    assert messages == [
        f"CAPACITY.md: block {name!r} disagrees with measurements.json" for name in ("failures", "figures")
    ]


@pytest.mark.parametrize("name", needed_figures())
def test_changed_figure_changes_its_rows_on_the_page(name: str) -> None:
    before = synthetic_page()
    remeasured = synthetic_measurements().with_figures([synthetic_figure(name, slope_per_step=0.003)], SEEDS)
    names = page.differing_blocks(before, page.fill_blocks(before, remeasured))
    assert "figures" in names and len(names) > 1


def test_check_reports_number_edited_by_hand(
    files: tuple[Path, Path], capsys: pytest.CaptureFixture[str]
) -> None:
    page_copy, file = files
    page_copy.write_text(page_copy.read_text().replace("| zone | 7 |", "| zone | 8 |"))
    assert page.write(only_check=True, page=page_copy, file=file) == 1
    assert capsys.readouterr().err == "CAPACITY.md: block 'words' disagrees with measurements.json\n"


def test_prose_between_blocks_is_unchanged(files: tuple[Path, Path]) -> None:
    page_copy, file = files
    prose = page.BLOCK_PATTERN.sub("", page.PAGE.read_text())
    assert page.BLOCK_PATTERN.sub("", page_copy.read_text()) == prose
    assert page.write(only_check=True, page=page_copy, file=file) == 0


def test_missing_duplicated_or_unknown_block_is_reported_and_nothing_written(
    files: tuple[Path, Path], capsys: pytest.CaptureFixture[str]
) -> None:
    page_copy, file = files
    text = page_copy.read_text()
    begin, end = page.BEGIN.format(name="host"), page.END.format(name="host")
    for marker in (begin, end):
        text = text.replace(marker, marker.replace("host", "hosts"))
    twice = f"{page.BEGIN.format(name='plan')}\n{page.END.format(name='plan')}\n"
    page_copy.write_text(text + twice)
    before = page_copy.read_text()
    for only_check in (True, False):
        assert page.write(only_check=only_check, page=page_copy, file=file) == 1
        messages = capsys.readouterr().err.splitlines()
        assert messages == [
            "CAPACITY.md: block 'host' is missing",
            "CAPACITY.md: block 'hosts' is unknown",
            "CAPACITY.md: block 'plan' is there twice",
        ]
    assert page_copy.read_text() == before


def test_figures_are_shown_as_not_measured_without_file(tmp_path: Path) -> None:
    page_copy = tmp_path / "CAPACITY.md"
    shutil.copy(page.PAGE, page_copy)
    assert page.write(only_check=False, page=page_copy, file=tmp_path / "none.json") == 0
    blocks = page.block_bodies(page_copy.read_text())
    for name in needed_figures():
        assert f"`{name}`" in blocks["missing"]
    assert blocks["figures"].strip() == "All figures: not measured."


def test_file_of_unknown_version_is_bad_input(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "measurements.json"
    file.write_text(json.dumps({"version": 99}))
    with pytest.raises(MeasurementError, match="version: found 99, allowed 1"):
        page.write(only_check=True, file=file)
    monkeypatch.setattr(page.write, "__defaults__", (page.PAGE, file))
    assert command.main(["page", "--check"]) == command.BAD_INPUT
    assert capsys.readouterr().err.count("\n") == 1


def test_check_command_exits_with_1_if_page_differs(
    files: tuple[Path, Path], monkeypatch: pytest.MonkeyPatch
) -> None:
    page_copy, file = files
    monkeypatch.setattr(page.write, "__defaults__", (page_copy, file))
    assert command.main(["page", "--check"]) == 0
    scale_figure(file, "hosts.list.bytes", 1.5)
    assert command.main(["page", "--check"]) == 1
    assert command.main(["page"]) == 0
    assert command.main(["page", "--check"]) == 0


def test_row_applies_formula_to_measured_figures() -> None:
    measured = synthetic_measurements()
    whole_list = find_row("the whole list of hosts at a start, at 9 KB/s", "all gateways of a zone restarted")
    assert whole_list.use(measured) == pytest.approx((1 + 0.001 * 9_000) / 9_000)
    assert whole_list.budget_ratio(measured) == pytest.approx((1 + 0.001 * 9_000) / 9_000 / 17)


def test_row_without_measured_figure_has_no_use() -> None:
    row = next(row for row in ROWS if row.readings)
    assert row.use(Measurements()) is None and row.budget_ratio(Measurements()) is None
    assert row.missing(Measurements()) == list(dict.fromkeys(reading.figure for reading in row.readings))


def test_readings_interpolate_extrapolate_and_return_slope() -> None:
    figure = synthetic_figure("some.figure")
    measured = Measurements([figure])
    last = figure.points[-1].mean
    assert at_size("some.figure", 200_000).value(measured) == pytest.approx(last + 100_000 * figure.slope)
    assert at_size("some.figure", 55).value(measured) == pytest.approx(1 + 0.001 * 55)
    assert at_largest("some.figure").value(measured) == last
    assert slope("some.figure").value(measured) == pytest.approx(0.001)


def test_figures_with_wide_seed_spread_are_marked(files: tuple[Path, Path]) -> None:
    page_copy, file = files
    wide = synthetic_figure("hosts.list.bytes", spread=0.3)
    Measurements.read(file).with_figures([wide], SEEDS).write(file)
    figures = BLOCKS["figures"](Measurements.read(file))
    assert "30.0% *" in figures
    assert " ".join(figures.split()).endswith("by more than 10% at some size: `hosts.list.bytes`.")


def test_plan_lists_rows_over_budget_in_descending_order() -> None:
    measured = synthetic_measurements()
    ratios = [row.budget_ratio(measured) for row in ROWS]
    over = sorted((ratio for ratio in ratios if ratio is not None and ratio > 1), reverse=True)
    lines = BLOCKS["plan"](measured).split("\n\n")[0].splitlines()[2:]
    assert len(lines) == len(over) > 3
    ratio_cells = [line.split(" | ")[4] for line in lines]
    without_mechanism = sum(ratio == float("inf") for ratio in over)
    assert ratio_cells[:without_mechanism] == ["no mechanism"] * without_mechanism
    numbers = [float(text.replace(",", "")) for text in ratio_cells[without_mechanism:]]
    assert numbers == sorted(numbers, reverse=True)


def test_plan_names_largest_row_without_new_protocol_as_next() -> None:
    measured = synthetic_measurements()
    remediable = [
        row
        for row in ROWS
        if row.remedy is Remedy.EXISTING_PROTOCOL and (row.budget_ratio(measured) or 0) > 1
    ]
    largest = max(remediable, key=lambda row: row.budget_ratio(measured) or 0)
    plan_text = " ".join(BLOCKS["plan"](measured).split())
    assert f"parser: {largest.what} ({largest.role.value}, {largest.situation.name})" in plan_text


def test_row_names_are_unique_and_each_situation_has_rows() -> None:
    names = [row.name for row in ROWS]
    assert len(set(names)) == len(names)
    assert {row.situation.name for row in ROWS} == {situation.name for situation in SITUATIONS}


def test_row_without_formula_has_no_mechanism() -> None:
    for row in ROWS:
        if row.formula is None:
            assert row.mechanism is None and row.remedy is Remedy.NEW_PROTOCOL and not row.readings


def test_row_formulas_accept_their_readings() -> None:
    measured = synthetic_measurements()
    for row in ROWS:
        assert row.use(measured) is not None, row.name
        assert replace(row, budget=1.0).budget_ratio(measured) == pytest.approx(row.use(measured))


def test_committed_measurements_are_not_synthetic() -> None:
    if MEASUREMENTS_FILE.exists():
        assert "made up in a test" not in MEASUREMENTS_FILE.read_text()


def test_prose_lines_fit_line_length(files: tuple[Path, Path]) -> None:
    for line in files[0].read_text().splitlines():
        assert line.startswith("|") or len(line) <= LINE_LENGTH
