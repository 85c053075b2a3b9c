"""docs/CAPACITY.md agrees with the file of measurements, and the check tells where it does not."""

from __future__ import annotations

import json
import shutil
from dataclasses import replace
from functools import cache
from pathlib import Path

import pytest

from benchmarks.capacity import __main__ as command
from benchmarks.capacity import page
from benchmarks.capacity.markdown import LINE
from benchmarks.capacity.measurement import FILE, Figure, MeasurementError, Measurements, Point, fit
from benchmarks.capacity.row import Mend, Row, at, slope
from benchmarks.capacity.row import largest as at_largest
from benchmarks.capacity.rows import ROWS
from benchmarks.capacity.situations import SITUATIONS
from benchmarks.capacity.tables import BLOCKS

MADE_UP_SIZES = (10, 100, 1_000, 100_000)
SEEDS = (1, 2)


def made_up_figure(name: str, each: float = 0.001, spread: float = 0.02) -> Figure:
    """A figure that grows by `each` a step and whose two seeds differ by `spread`; no measurement at all."""
    points = [
        Point(size, {"1": (1 + each * size) * (1 - spread / 2), "2": (1 + each * size) * (1 + spread / 2)})
        for size in MADE_UP_SIZES
    ]
    return fit(name, "unit", "gateway", "steps", "made up in a test", points)


def needed_figures() -> list[str]:
    return sorted({reading.figure for row in ROWS for reading in row.readings})


@cache
def made_up_measurements() -> Measurements:
    return Measurements(map(made_up_figure, needed_figures()), SEEDS)


@cache
def made_up_page() -> str:
    return page.filled(page.PAGE.read_text(), made_up_measurements())


@pytest.fixture
def files(tmp_path: Path) -> tuple[Path, Path]:
    """A copy of the page made from made-up measurements, and their file."""
    copy, file = tmp_path / "CAPACITY.md", tmp_path / "measurements.json"
    copy.write_text(made_up_page())
    made_up_measurements().write(file)
    return copy, file


def changed(file: Path, name: str, factor: float) -> None:
    measured = Measurements.read(file)
    before = measured[name]
    points = (Point(p.size, {s: v * factor for s, v in p.values.items()}) for p in before.points)
    after = fit(before.name, before.unit, before.role, before.axis, before.command, points)
    measured.with_figures([after], SEEDS).write(file)


def row_of(what: str, situation: str) -> Row:
    return next(row for row in ROWS if row.what == what and row.situation.name == situation)


def test_page_and_file_of_measurements_agree() -> None:
    assert page.write(only_check=True) == 0, "make it anew: python -m benchmarks.capacity page"


def test_a_page_that_was_just_made_agrees(files: tuple[Path, Path]) -> None:
    assert page.write(only_check=True, page=files[0], file=files[1]) == 0


def test_a_changed_measurement_is_told_with_its_blocks(
    files: tuple[Path, Path], capsys: pytest.CaptureFixture[str]
) -> None:
    copy, file = files
    changed(file, "hosts.list.bytes", 1.5)
    assert page.write(only_check=True, page=copy, file=file) == 1
    told = capsys.readouterr().err.splitlines()
    assert told == [
        f"CAPACITY.md: block {name!r} disagrees with measurements.json" for name in ("failures", "figures")
    ]


@pytest.mark.parametrize("name", needed_figures())
def test_each_figure_that_a_row_needs_changes_the_page(name: str) -> None:
    before = made_up_page()
    changed_one = made_up_measurements().with_figures([made_up_figure(name, each=0.003)], SEEDS)
    differ = page.differing(before, page.filled(before, changed_one))
    assert "figures" in differ and len(differ) > 1


def test_a_number_changed_by_hand_is_told(
    files: tuple[Path, Path], capsys: pytest.CaptureFixture[str]
) -> None:
    copy, file = files
    copy.write_text(copy.read_text().replace("| zone | 7 |", "| zone | 8 |"))
    assert page.write(only_check=True, page=copy, file=file) == 1
    assert capsys.readouterr().err == "CAPACITY.md: block 'words' disagrees with measurements.json\n"


def test_prose_between_the_blocks_is_left_as_it_is(files: tuple[Path, Path]) -> None:
    copy, file = files
    prose = page.BLOCK.sub("", page.PAGE.read_text())
    assert page.BLOCK.sub("", copy.read_text()) == prose
    assert page.write(only_check=True, page=copy, file=file) == 0


def test_a_block_that_is_missing_twice_or_unknown_is_told_and_nothing_is_written(
    files: tuple[Path, Path], capsys: pytest.CaptureFixture[str]
) -> None:
    copy, file = files
    text = copy.read_text()
    begin, end = page.BEGIN.format(name="host"), page.END.format(name="host")
    for marker in (begin, end):
        text = text.replace(marker, marker.replace("host", "hosts"))
    twice = f"{page.BEGIN.format(name='plan')}\n{page.END.format(name='plan')}\n"
    copy.write_text(text + twice)
    before = copy.read_text()
    for only_check in (True, False):
        assert page.write(only_check=only_check, page=copy, file=file) == 1
        told = capsys.readouterr().err.splitlines()
        assert told == [
            "CAPACITY.md: block 'host' is missing",
            "CAPACITY.md: block 'hosts' is unknown",
            "CAPACITY.md: block 'plan' is there twice",
        ]
    assert copy.read_text() == before


def test_with_no_file_each_figure_stands_as_not_measured(tmp_path: Path) -> None:
    copy = tmp_path / "CAPACITY.md"
    shutil.copy(page.PAGE, copy)
    assert page.write(only_check=False, page=copy, file=tmp_path / "none.json") == 0
    blocks = page.bodies(copy.read_text())
    for name in needed_figures():
        assert f"`{name}`" in blocks["missing"]
    assert blocks["figures"].strip() == "All figures: not measured."


def test_a_file_of_another_form_is_bad_input(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "measurements.json"
    file.write_text(json.dumps({"version": 99}))
    with pytest.raises(MeasurementError, match="version: found 99, allowed 1"):
        page.write(only_check=True, file=file)
    monkeypatch.setattr(page.write, "__defaults__", (page.PAGE, file))
    assert command.main(["page", "--check"]) == command.BAD_INPUT
    assert capsys.readouterr().err.count("\n") == 1


def test_the_command_ends_with_one_where_they_disagree(
    files: tuple[Path, Path], monkeypatch: pytest.MonkeyPatch
) -> None:
    copy, file = files
    monkeypatch.setattr(page.write, "__defaults__", (copy, file))
    assert command.main(["page", "--check"]) == 0
    changed(file, "hosts.list.bytes", 1.5)
    assert command.main(["page", "--check"]) == 1
    assert command.main(["page"]) == 0
    assert command.main(["page", "--check"]) == 0


def test_a_row_is_its_formula_over_the_measured_figures() -> None:
    measured = made_up_measurements()
    whole_list = row_of("the whole list of hosts at a start, at 9 KB/s", "all gateways of a zone restarted")
    assert whole_list.use(measured) == pytest.approx((1 + 0.001 * 9_000) / 9_000)
    assert whole_list.over(measured) == pytest.approx((1 + 0.001 * 9_000) / 9_000 / 17)


def test_a_row_whose_figure_was_not_measured_has_no_number() -> None:
    row = next(row for row in ROWS if row.readings)
    assert row.use(Measurements()) is None and row.over(Measurements()) is None
    assert row.missing(Measurements()) == list(dict.fromkeys(reading.figure for reading in row.readings))


def test_readings_at_a_size_beyond_the_largest_one_and_of_the_slope() -> None:
    figure = made_up_figure("some.figure")
    measured = Measurements([figure])
    last = figure.points[-1].mean
    assert at("some.figure", 200_000).value(measured) == pytest.approx(last + 100_000 * figure.slope)
    assert at("some.figure", 55).value(measured) == pytest.approx(1 + 0.001 * 55)
    assert at_largest("some.figure").value(measured) == last
    assert slope("some.figure").value(measured) == pytest.approx(0.001)


def test_figures_whose_seeds_differ_are_marked(files: tuple[Path, Path]) -> None:
    copy, file = files
    odd = made_up_figure("hosts.list.bytes", spread=0.3)
    Measurements.read(file).with_figures([odd], SEEDS).write(file)
    figures = BLOCKS["figures"](Measurements.read(file))
    assert "30.0% *" in figures
    assert " ".join(figures.split()).endswith("by more than 10% at some size: `hosts.list.bytes`.")


def test_the_plan_has_all_rows_over_one_with_the_largest_first() -> None:
    measured = made_up_measurements()
    ratios = [row.over(measured) for row in ROWS]
    over = sorted((ratio for ratio in ratios if ratio is not None and ratio > 1), reverse=True)
    lines = BLOCKS["plan"](measured).split("\n\n")[0].splitlines()[2:]
    assert len(lines) == len(over) > 3
    shown = [line.split(" | ")[4] for line in lines]
    endless = sum(ratio == float("inf") for ratio in over)
    assert shown[:endless] == ["no mechanism"] * endless
    numbers = [float(text.replace(",", "")) for text in shown[endless:]]
    assert numbers == sorted(numbers, reverse=True)


def test_next_is_the_largest_row_that_needs_no_new_protocol() -> None:
    measured = made_up_measurements()
    can = [row for row in ROWS if row.mend is Mend.WITHIN and (row.over(measured) or 0) > 1]
    largest = max(can, key=lambda row: row.over(measured) or 0)
    told = " ".join(BLOCKS["plan"](measured).split())
    assert f"parser: {largest.what} ({largest.role.value}, {largest.situation.name})" in told


def test_rows_have_names_of_their_own_and_each_situation_has_rows() -> None:
    names = [row.name for row in ROWS]
    assert len(set(names)) == len(names)
    assert {row.situation.name for row in ROWS} == {situation.name for situation in SITUATIONS}


def test_a_row_without_a_formula_says_that_there_is_no_mechanism() -> None:
    for row in ROWS:
        if row.formula is None:
            assert row.mechanism is None and row.mend is Mend.NEW_PROTOCOL and not row.readings


def test_rows_take_as_many_values_as_they_have_readings() -> None:
    measured = made_up_measurements()
    for row in ROWS:
        assert row.use(measured) is not None, row.name
        assert replace(row, budget=1.0).over(measured) == pytest.approx(row.use(measured))


def test_the_file_of_the_tree_is_no_made_up_one() -> None:
    if FILE.exists():
        assert "made up in a test" not in FILE.read_text()


def test_lines_of_prose_have_the_length_of_the_pages(files: tuple[Path, Path]) -> None:
    for line in files[0].read_text().splitlines():
        assert line.startswith("|") or len(line) <= LINE
