"""The page's generated blocks by name; each is a function from measurements to Markdown."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

from benchmarks.capacity.assumptions import ASSUMPTIONS
from benchmarks.capacity.markdown import number, percent, prose, table
from benchmarks.capacity.measurement import Figure, Measurements
from benchmarks.capacity.probes import PROBES
from benchmarks.capacity.row import Reading, ReadingKind, Remedy, Role, Row
from benchmarks.capacity.rows import ROWS
from benchmarks.capacity.situations import FAILURES, ORDINARY_DAY, PEAK, SITUATIONS
from benchmarks.capacity.size_terms import SIZE_TERMS

NOT_MEASURED = "not measured"
NONE_YET = "none yet"
NO_BUDGET = "none given"
NO_MECHANISM = "no mechanism"
WIDE_SPREAD = 0.10  # figures whose seeds differ by a larger share are marked
ROW_HEADERS = (
    "what",
    "resource",
    "situation",
    "use",
    "budget",
    "use over budget",
    "mechanism",
    "worked out",
    "figures",
)


def words(measured: Measurements) -> str:
    """Table of the terms of the size and their meaning in the program."""
    return table(
        ("word", "number", "platform's start (`python -m hillmux`)", "hosted service (`hillmux serve`)"),
        ([term.word, term.number, term.platform, term.hosted] for term in SIZE_TERMS),
    )


def assumptions(measured: Measurements) -> str:
    """Table of the assumptions with their reasons."""
    rows = (
        [assumption.name, number(assumption.value), assumption.unit, assumption.reason]
        for assumption in ASSUMPTIONS
    )
    return table(("assumed", "value", "unit", "why"), rows)


def situations(measured: Measurements) -> str:
    """Table of the situations with load and remaining gateways."""
    return table(
        ("situation", "requests/s in all", "gateways", "requests/s a gateway", ""),
        (
            [
                situation.name,
                number(situation.requests_per_s),
                number(situation.gateways),
                number(situation.requests_per_gateway),
                situation.note,
            ]
            for situation in SITUATIONS
        ),
    )


def figures(measured: Measurements) -> str:
    """Table of all measured figures at their largest size, with slope, residual, spread and command."""
    if not measured.figures:
        return f"All figures: {NOT_MEASURED}."
    headers = ("figure", "unit", "by", "at", "value", "slope", "residual", "spread over seeds", "command")
    seeds = ", ".join(map(str, measured.seeds))
    wide = [f"`{figure.name}`" for figure in measured.figures.values() if figure.spread > WIDE_SPREAD]
    names = ", ".join(wide) or "none"
    note = (
        f"Seeds: {seeds}. Marked with *, seeds differ by more than {WIDE_SPREAD:.0%} at some size: {names}."
    )
    return f"{table(headers, map(_figure_cells, measured.figures.values()))}\n\n{prose(note)}"


def _figure_cells(figure: Figure) -> list[str]:
    largest_point = figure.points[-1]
    spread = percent(figure.spread) + (" *" if figure.spread > WIDE_SPREAD else "")
    sizes = f"{figure.points[0].size:,} to {largest_point.size:,}"
    return [
        f"`{figure.name}`",
        figure.unit,
        f"{figure.axis}, {len(figure.points)} sizes, {sizes}",
        f"{largest_point.size:,}",
        number(largest_point.mean),
        number(figure.slope),
        percent(figure.residual),
        spread,
        f"`{figure.command}`",
    ]


def probes(measured: Measurements) -> str:
    """Table of the probes with what each leaves out."""
    rows = (
        [probe.name, probe.axis, "real processes" if probe.real else "hollow", probe.note]
        for probe in PROBES.values()
    )
    return table(("probe", "by", "plays", "what it leaves out, and how it counts"), rows)


def role(selected_role: Role) -> Callable[[Measurements], str]:
    """Return the block of a role's rows on the ordinary day and at the peak."""

    def render(measured: Measurements) -> str:
        return _rows(
            measured,
            (row for row in ROWS if row.role is selected_role and row.situation in (ORDINARY_DAY, PEAK)),
        )

    return render


def failures(measured: Measurements) -> str:
    """Table of all rows of the failures, grouped by failure."""
    return _rows(
        measured, (row for failure in FAILURES for row in ROWS if row.situation is failure), roles=True
    )


def plan(measured: Measurements) -> str:
    """Table of the rows whose use over budget exceeds 1, in descending order, and the next one to work on."""
    over_budget = _rows_over_budget(measured)
    rows = (
        [
            str(rank),
            row.role.value,
            row.what,
            row.situation.name,
            _ratio(row, measured),
            row.mechanism or NONE_YET,
            row.remedy.value,
            row.how,
        ]
        for rank, row in enumerate(over_budget, 1)
    )
    headers = (
        "",
        "role",
        "what",
        "situation",
        "use over budget",
        "mechanism",
        "new protocol",
        "what would mend it",
    )
    next_row = next((row for row in over_budget if row.remedy is Remedy.EXISTING_PROTOCOL), None)
    next_label = f"{next_row.what} ({next_row.role.value}, {next_row.situation.name})" if next_row else "none"
    remedy = f": {next_row.how}" if next_row and next_row.how else ""
    note = f"Next, the largest that needs no new protocol, front end or parser: {next_label}{remedy}."
    return f"{table(headers, rows)}\n\n{prose(note)}"


def _rows_over_budget(measured: Measurements) -> list[Row]:
    ratios = [(row, row.budget_ratio(measured)) for row in ROWS]
    over_budget = [(row, ratio) for row, ratio in ratios if ratio is not None and ratio > 1]
    return [row for row, _ in sorted(over_budget, key=lambda pair: -pair[1])]


def missing(measured: Measurements) -> str:
    """Table of the figures that rows need and that were not measured."""
    names: dict[str, int] = {}
    for row in ROWS:
        for name in row.missing(measured):
            names[name] = names.get(name, 0) + 1
    if not names:
        return "Each figure that a row needs was measured."
    return table(("figure that was not measured", "rows"), ([f"`{n}`", str(c)] for n, c in names.items()))


def _rows(measured: Measurements, rows: Iterable[Row], roles: bool = False) -> str:
    headers = ("role", *ROW_HEADERS) if roles else ROW_HEADERS
    cells = [[row.role.value, *_cells(row, measured)] if roles else _cells(row, measured) for row in rows]
    return table(headers, cells)


def _cells(row: Row, measured: Measurements) -> list[str]:
    use = row.use(measured)
    use_cell = (
        NOT_MEASURED if use is None else NO_MECHANISM if math.isinf(use) else f"{number(use)} {row.unit}"
    )
    budget = NO_BUDGET if row.budget is None else f"{number(row.budget)} {row.unit}"
    readings_cell = ", ".join(_reading(reading, measured) for reading in row.readings)
    return [
        row.what,
        row.resource.value,
        row.situation.name,
        use_cell,
        budget,
        _ratio(row, measured),
        row.mechanism or NONE_YET,
        _derivation(row),
        readings_cell,
    ]


def _derivation(row: Row) -> str:
    if not row.assumed:
        return row.derivation
    return f"{row.derivation}; assumed: {', '.join(assumption.name for assumption in row.assumed)}"


def _ratio(row: Row, measured: Measurements) -> str:
    ratio = row.budget_ratio(measured)
    if ratio is None:
        return ""
    return NO_MECHANISM if math.isinf(ratio) else number(ratio)


def _reading(reading: Reading, measured: Measurements) -> str:
    figure = measured.figures.get(reading.figure)
    if figure is None:
        return f"`{reading.figure}` ({NOT_MEASURED})"
    value, largest_size = number(reading.value(measured)), figure.points[-1].size
    match reading.kind:
        case ReadingKind.SLOPE:
            return f"`{reading.figure}` slope {value}"
        case ReadingKind.LARGEST:
            return f"`{reading.figure}` at {largest_size:,}, the largest: {value}"
        case ReadingKind.AT:
            beyond = " (beyond what was measured: by its slope)" if reading.size > largest_size else ""
            return f"`{reading.figure}` at {number(reading.size)}: {value}{beyond}"


BLOCKS: dict[str, Callable[[Measurements], str]] = {
    "words": words,
    "assumptions": assumptions,
    "situations": situations,
    "gateway": role(Role.GATEWAY),
    "counter": role(Role.COUNTER),
    "agent": role(Role.AGENT),
    "host": role(Role.HOST),
    "operator": role(Role.OPERATOR),
    "failures": failures,
    "plan": plan,
    "figures": figures,
    "probes": probes,
    "missing": missing,
}
