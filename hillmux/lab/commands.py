"""`hillmux lab`: commands that play scenarios with many processes and injected faults."""

from __future__ import annotations

import sys
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING

import click

from hillmux.lab.soak_command import soak

if TYPE_CHECKING:
    from hillmux.lab.run import Result
    from hillmux.lab.scenario import Scenario

EXIT_ERROR = 2  # exit status for an invalid file or a failed run
SCENARIO_FOLDER = Path("examples/lab")
SHOWN_RESULTS = ("served", "refused", "failed", "reset", "late")
LIVE_ROWS = 15  # rows of the live table, one for each second


@click.group()
def lab() -> None:
    """Play fleets of gateways between stand-ins, with faults, and judge what they did."""


lab.add_command(soak)


def _load_scenario(path: Path) -> Scenario:
    from hillmux.lab.scenario import ScenarioError, load

    try:
        return load(path)
    except ScenarioError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_ERROR)


@lab.command(epilog="Example: hillmux lab run examples/lab/herd.toml")
@click.argument("path", type=click.Path(path_type=Path), metavar="FILE")
@click.option("--seed", type=click.IntRange(min=0), help="In place of the file's.")
@click.option(
    "--out",
    type=click.Path(path_type=Path),
    default=Path("lab-runs"),
    show_default=True,
    help="Where the run's folder goes.",
)
@click.option(
    "--tree",
    type=click.Path(path_type=Path, exists=True),
    help="The checkout whose gateways are played, if not this one.",
)
@click.option("--virtual", is_flag=True, help="In virtual time: no processes, the same to the last byte.")
def run(path: Path, seed: int | None, out: Path, tree: Path | None, virtual: bool) -> None:
    """Play a scenario. Ends with 1 where something does not hold, or was not exercised."""
    from hillmux.lab.processes import ROOT, NotReadyError
    from hillmux.lab.record import free_folder
    from hillmux.lab.run import RunError, play, play_virtual

    scenario = _load_scenario(path)
    if seed is not None:
        scenario = scenario.model_copy(update={"seed": seed})
    folder = free_folder(out, f"{scenario.name}-{scenario.seed}")
    if virtual:
        result = play_virtual(scenario, folder, lambda t: click.echo(t, err=True))
        print_result(result)
        sys.exit(0 if result.holds() else 1)
    try:
        with _live_table(scenario) as show_progress:
            result = play(
                scenario, folder, (tree or ROOT).resolve(), lambda t: click.echo(t, err=True), show_progress
            )
    except (RunError, NotReadyError, TimeoutError) as error:
        click.echo(f"{path}: {error or 'the run did not end in its time'}", err=True)
        sys.exit(EXIT_ERROR)
    print_result(result)
    sys.exit(0 if result.holds() else 1)


@contextmanager
def _live_table(scenario: Scenario) -> Iterator[Callable[[dict[str, float]], None]]:
    """Show a live table of the last seconds; without a terminal, show nothing."""
    if not sys.stdout.isatty():
        yield lambda progress: None
        return
    from rich.live import Live
    from rich.table import Table

    rows: deque[tuple[str, ...]] = deque(maxlen=LIVE_ROWS)

    with Live(refresh_per_second=4) as live:

        def show_progress(progress: dict[str, float]) -> None:
            at_s = progress["at_s"]
            recent_faults = [f.what for f in scenario.faults if at_s - 1 < f.at_s <= at_s]
            rows.append((
                f"{at_s:.0f} of {scenario.length_s:g}", f"{progress['alive']:.0f}", f"{progress['out']:.0f}",
                *(f"{progress.get(name, 0):.0f}" for name in SHOWN_RESULTS), f"{progress['open']:.0f}",
                ", ".join(recent_faults),
            ))  # fmt: skip
            table = Table("s", "alive", "front: out", *SHOWN_RESULTS, "open", "faults", title=scenario.name)
            for row in rows:
                table.add_row(*row)
            live.update(table)

        yield show_progress


def print_result(result: Result) -> None:
    """Print the result of a run."""
    from rich.console import Console
    from rich.table import Table

    console = Console()
    table = Table(
        "rule", "says", "judged", "broken", title=f"{result.scenario.name}, seed {result.scenario.seed}"
    )
    for verdict in result.verdicts:
        table.add_row(verdict.rule, verdict.status(), str(verdict.exercised), str(verdict.broken))
    console.print(table)
    f = result.figures
    full_service = "-" if f.full_service_s is None else f"{f.full_service_s:.0f} s"
    for line in (
        f"worth served in time: {f.served_share:.3f}; latency p50 {f.p50_ms:.0f} ms, p99 {f.p99_ms:.0f} ms",
        f"first tries {f.first}, tries {f.tries}, attempts {f.attempts} "
        f"({f.attempts_per_request():.2f} a first)",
        f"tries ended: {', '.join(f'{k} {n}' for k, n in sorted(f.results.items()))}",
        f"dials {f.dials}, at a host in 1 s at most {f.most_dials_s} (before: {f.usual_dials_s:g})",
        f"counter calls {f.counter_calls}, {f.most_counter_s} a second at most, turned away {f.turned_away}",
        f"hosts that fell: {f.fell}; full service after the last fault or start: {full_service}"
        + ("" if f.full_after_ready_s is None else f", {f.full_after_ready_s:.1f} s after the last ready"),
        f"the load's own lateness, ms: p50 {result.late_ms[0]:.1f}, p99 {result.late_ms[1]:.1f}",
    ):
        console.print(line, highlight=False)
    for text in result.unmet_requirements:
        console.print(f"not met: {text}", style="red")
    console.print(f"record: {result.folder}", highlight=False)


@lab.command(epilog="Example: hillmux lab check examples/lab/herd.toml")
@click.argument("path", type=click.Path(path_type=Path), metavar="FILE")
def check(path: Path) -> None:
    """Tell every fault of a scenario's file, and what playing it takes, without starting anything."""
    from hillmux.lab.scenario import resource_needs, schedule

    scenario = _load_scenario(path)
    processes, megabytes, files = resource_needs(scenario)
    click.echo(
        f"{path}: sound: {len(schedule(scenario))} strikes in {scenario.length_s:g} s; takes "
        f"{processes} processes, {megabytes} MB, {files} descriptors"
    )


@lab.command(name="list")
def list_() -> None:
    """The scenarios that come with the program."""
    for path in sorted(SCENARIO_FOLDER.glob("*.toml")):
        scenario = _load_scenario(path)
        click.echo(f"{path}: {scenario.about}")


def _judge_record(folder: Path) -> Result:
    """Judge a run's record again; exits with EXIT_ERROR if the run has no complete record."""
    import orjson

    from hillmux.lab.run import judge
    from hillmux.lab.scenario import Scenario

    try:
        scenario = Scenario.model_validate(orjson.loads((folder / "scenario.json").read_bytes()))
        verdict = orjson.loads((folder / "verdict.json").read_bytes())
    except (OSError, ValueError) as error:
        click.echo(
            f"RUN: found {folder}, expected the folder of a run that came to its end: {error}", err=True
        )
        sys.exit(EXIT_ERROR)
    return judge(scenario, folder, verdict["t0"], verdict["late_ms"])


@lab.command(epilog="Example: hillmux lab explain lab-runs/herd-1-1")
@click.argument("folder", type=click.Path(path_type=Path, exists=True), metavar="RUN")
def explain(folder: Path) -> None:
    """The events that show what a run broke: the shortest chain for each violation."""
    result = _judge_record(folder)
    for verdict in result.verdicts:
        click.echo(
            f"{verdict.rule}: {verdict.status()} ({verdict.exercised} judged, {verdict.broken} broken)"
        )
        for chain in verdict.chains:
            for event in chain:
                click.echo("  " + _format_event(event, result.t0))
            click.echo("")


@lab.command(epilog="Example: hillmux lab follow lab-runs/herd-1-1 9b1f000000000010")
@click.argument("folder", type=click.Path(path_type=Path, exists=True), metavar="RUN")
@click.argument("rid", metavar="ID")
def follow(folder: Path, rid: str) -> None:
    """What happened to one request, through client, gateways and hosts."""
    from hillmux.lab import record

    t0 = _judge_record(folder).t0
    events = record.follow(record.read(folder), rid)
    if not events:
        click.echo(f"ID: found {rid!r}, expected the id of a request in {folder}", err=True)
        sys.exit(EXIT_ERROR)
    for event in events:
        click.echo(_format_event(event, t0))


def _format_event(event: dict[str, object], t0: float) -> str:
    fields = " ".join(f"{k}={v}" for k, v in event.items() if k not in ("t", "who", "ev"))
    at_ms = event.get("t")
    elapsed = f"{(at_ms - t0) / 1000:8.3f} s" if isinstance(at_ms, float) else " " * 10
    return f"{elapsed}  {event.get('who', '')!s:8} {event['ev']!s:8} {fields}"


@lab.command(epilog="Example: hillmux lab compare HEAD~3 . examples/lab/herd.toml --pairs 5")
@click.argument("base")
@click.argument("head")
@click.argument("path", type=click.Path(path_type=Path), metavar="FILE")
@click.option(
    "--pairs", default=3, show_default=True, type=click.IntRange(1, 1000), help="Seeds, from the file's on."
)
@click.option("--out", type=click.Path(path_type=Path), default=Path("lab-runs"), show_default=True)
def compare(base: str, head: str, path: Path, pairs: int, out: Path) -> None:
    """Play two trees in turn, BASE and HEAD (folders or revisions), and show the paired differences."""
    from rich.console import Console
    from rich.table import Table

    from hillmux.lab.compare import compare as compare_trees
    from hillmux.lab.processes import NotReadyError
    from hillmux.lab.record import free_folder
    from hillmux.lab.run import RunError
    from hillmux.lab.source_trees import TreeError

    scenario = _load_scenario(path)
    folder = free_folder(out, f"compare-{scenario.name}")
    try:
        rows, results = compare_trees(
            base, head, scenario, pairs, folder, lambda text: click.echo(text, err=True)
        )
    except (RunError, NotReadyError, TreeError, TimeoutError) as error:
        click.echo(f"{path}: {error or 'a run did not end in its time'}", err=True)
        sys.exit(EXIT_ERROR)
    table = Table(
        "figure", "base", "head", "head less base, 95%", "pairs", title=f"{scenario.name}, {pairs} seeds"
    )
    for row in rows:
        table.add_row(
            row.name,
            f"{row.base:.3f}",
            f"{row.head:.3f}",
            f"{row.low:+.3f} .. {row.high:+.3f}",
            str(row.pairs),
        )
    console = Console()
    console.print(table)
    broken = [(r.folder.name, v.rule) for r in results for v in r.verdicts if v.broken]
    for name, rule in broken:
        console.print(f"{name}: {rule} broken", style="red")
    sys.exit(1 if broken else 0)


@lab.command(epilog="Example: hillmux lab report lab-runs/herd-1-1")
@click.argument("folder", type=click.Path(path_type=Path, exists=True), metavar="RUN")
def report(folder: Path) -> None:
    """Write a run as one self-contained page, RUN/report.html."""
    from hillmux.lab import record
    from hillmux.lab.report import Series, page

    result = _judge_record(folder)
    scenario = result.scenario
    series = Series(record.read(folder), result.t0, scenario.length_s)
    title = f"{scenario.name}, seed {scenario.seed}"
    text = page(title, scenario.about, series, result.figures, result.verdicts, result.unmet_requirements)
    (folder / "report.html").write_text(text, encoding="utf-8")
    click.echo(folder / "report.html")
