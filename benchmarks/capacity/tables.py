"""The page's generated blocks, by name: each one a function from measurements to Markdown."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

from benchmarks.capacity.assumptions import ASSUMPTIONS
from benchmarks.capacity.markdown import number, percent, prose, table
from benchmarks.capacity.measurement import Figure, Measurements
from benchmarks.capacity.probes import PROBES
from benchmarks.capacity.row import Mend, Reading, Role, Row, Take
from benchmarks.capacity.rows import ROWS
from benchmarks.capacity.situations import FAILURES, ORDINARY, PEAK, SITUATIONS
from benchmarks.capacity.words import WORDS

NOT_MEASURED = "not measured"
NONE_YET = "none yet"
NO_BUDGET = "none given"
NO_MECHANISM = "no mechanism"
WIDE_SPREAD = 0.10  # two seeds that differ by more are marked
ROW_HEADS = (
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
    """What each word of the size is in the program's terms."""
    return table(
        ("word", "number", "platform's start (`python -m hillmux`)", "hosted service (`hillmux serve`)"),
        ([word.word, word.number, word.platform, word.hosted] for word in WORDS),
    )


def assumptions(measured: Measurements) -> str:
    """What was assumed, and why."""
    rows = ([each.name, number(each.value), each.unit, each.reason] for each in ASSUMPTIONS)
    return table(("assumed", "value", "unit", "why"), rows)


def situations(measured: Measurements) -> str:
    """What each situation leaves of gateways and load."""
    return table(
        ("situation", "requests/s in all", "gateways", "requests/s a gateway", ""),
        (
            [s.name, number(s.requests_per_s), number(s.gateways), number(s.requests_per_gateway), s.note]
            for s in SITUATIONS
        ),
    )


def figures(measured: Measurements) -> str:
    """Every measured figure at its largest size, with slope, residual, spread and command."""
    if not measured.figures:
        return f"All figures: {NOT_MEASURED}."
    heads = ("figure", "unit", "by", "at", "value", "slope", "residual", "spread over seeds", "command")
    seeds = ", ".join(map(str, measured.seeds))
    wide = [f"`{figure.name}`" for figure in measured.figures.values() if figure.spread > WIDE_SPREAD]
    differ = ", ".join(wide) or "none"
    note = (
        f"Seeds: {seeds}. Marked with *, seeds differ by more than {WIDE_SPREAD:.0%} at some size: {differ}."
    )
    return f"{table(heads, map(_figure_cells, measured.figures.values()))}\n\n{prose(note)}"


def _figure_cells(figure: Figure) -> list[str]:
    last = figure.points[-1]
    spread = percent(figure.spread) + (" *" if figure.spread > WIDE_SPREAD else "")
    sizes = f"{figure.points[0].size:,} to {last.size:,}"
    return [
        f"`{figure.name}`",
        figure.unit,
        f"{figure.axis}, {len(figure.points)} sizes, {sizes}",
        f"{last.size:,}",
        number(last.mean),
        number(figure.slope),
        percent(figure.residual),
        spread,
        f"`{figure.command}`",
    ]


def probes(measured: Measurements) -> str:
    """How each figure was measured, and what that leaves out."""
    rows = (
        [probe.name, probe.axis, "real processes" if probe.real else "hollow", probe.note]
        for probe in PROBES.values()
    )
    return table(("probe", "by", "plays", "what it leaves out, and how it counts"), rows)


def role(wanted: Role) -> Callable[[Measurements], str]:
    """A role's rows on the ordinary day and at the peak."""

    def made(measured: Measurements) -> str:
        return _rows(
            measured, (row for row in ROWS if row.role is wanted and row.situation in (ORDINARY, PEAK))
        )

    return made


def failures(measured: Measurements) -> str:
    """All rows of the failures, one failure after the other."""
    return _rows(
        measured, (row for failure in FAILURES for row in ROWS if row.situation is failure), roles=True
    )


def plan(measured: Measurements) -> str:
    """Rows over 1, the largest first, and which is next."""
    over = _over(measured)
    rows = (
        [
            str(place),
            row.role.value,
            row.what,
            row.situation.name,
            _ratio(row, measured),
            row.mechanism or NONE_YET,
            row.mend.value,
            row.how,
        ]
        for place, row in enumerate(over, 1)
    )
    heads = (
        "",
        "role",
        "what",
        "situation",
        "use over budget",
        "mechanism",
        "new protocol",
        "what would mend it",
    )
    next_one = next((row for row in over if row.mend is Mend.WITHIN), None)
    named = f"{next_one.what} ({next_one.role.value}, {next_one.situation.name})" if next_one else "none"
    mend = f": {next_one.how}" if next_one and next_one.how else ""
    note = f"Next, the largest that needs no new protocol, front end or parser: {named}{mend}."
    return f"{table(heads, rows)}\n\n{prose(note)}"


def _over(measured: Measurements) -> list[Row]:
    found = [(row, row.over(measured)) for row in ROWS]
    over = [(row, ratio) for row, ratio in found if ratio is not None and ratio > 1]
    return [row for row, _ in sorted(over, key=lambda pair: -pair[1])]


def missing(measured: Measurements) -> str:
    """Figures that rows ask for and the file does not have."""
    names: dict[str, int] = {}
    for row in ROWS:
        for name in row.missing(measured):
            names[name] = names.get(name, 0) + 1
    if not names:
        return "Each figure that a row needs was measured."
    return table(("figure that was not measured", "rows"), ([f"`{n}`", str(c)] for n, c in names.items()))


def _rows(measured: Measurements, rows: Iterable[Row], roles: bool = False) -> str:
    heads = ("role", *ROW_HEADS) if roles else ROW_HEADS
    lines = [[row.role.value, *_cells(row, measured)] if roles else _cells(row, measured) for row in rows]
    return table(heads, lines)


def _cells(row: Row, measured: Measurements) -> list[str]:
    use = row.use(measured)
    shown = NOT_MEASURED if use is None else NO_MECHANISM if math.isinf(use) else f"{number(use)} {row.unit}"
    budget = NO_BUDGET if row.budget is None else f"{number(row.budget)} {row.unit}"
    needs = ", ".join(_reading(reading, measured) for reading in row.readings)
    return [
        row.what,
        row.resource.value,
        row.situation.name,
        shown,
        budget,
        _ratio(row, measured),
        row.mechanism or NONE_YET,
        _worked(row),
        needs,
    ]


def _worked(row: Row) -> str:
    if not row.assumed:
        return row.worked
    return f"{row.worked}; assumed: {', '.join(each.name for each in row.assumed)}"


def _ratio(row: Row, measured: Measurements) -> str:
    ratio = row.over(measured)
    if ratio is None:
        return ""
    return NO_MECHANISM if math.isinf(ratio) else number(ratio)


def _reading(reading: Reading, measured: Measurements) -> str:
    figure = measured.figures.get(reading.figure)
    if figure is None:
        return f"`{reading.figure}` ({NOT_MEASURED})"
    value, last = number(reading.value(measured)), figure.points[-1].size
    match reading.take:
        case Take.SLOPE:
            return f"`{reading.figure}` slope {value}"
        case Take.LARGEST:
            return f"`{reading.figure}` at {last:,}, the largest: {value}"
        case Take.AT:
            beyond = " (beyond what was measured: by its slope)" if reading.size > last else ""
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
