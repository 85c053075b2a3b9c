"""`hillmux lab soak`: plays drawn scenarios by seed, and prints the result of each."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click

if TYPE_CHECKING:
    from hillmux.lab.soak import SeedResult

EXIT_BROKEN = 1  # exit status if a rule was broken
EXIT_NO_RUN = 2  # exit status for invalid seeds or a failed run


@click.command(epilog="Example: hillmux lab soak --seeds 1-50 --jobs 2")
@click.option("--seeds", required=True, help="Such as 17, 1-50 or 3,17,40-42.")
@click.option(
    "--out",
    type=click.Path(path_type=Path),
    default=Path("lab-runs"),
    show_default=True,
    help="Where the runs' folders go.",
)
@click.option(
    "--seconds", type=click.FloatRange(8, 600), default=10.0, show_default=True, help="Of each run."
)
@click.option("--jobs", type=click.IntRange(1, 16), default=1, show_default=True, help="Runs at a time.")
@click.option("--show", is_flag=True, help="Write the scenarios as TOML, and play nothing.")
def soak(seeds: str, out: Path, seconds: float, jobs: int, show: bool) -> None:
    """Play scenarios drawn from seeds. Ends with 1 where a rule broke, with 2 where a run did not happen.

    A seed draws its scenario; what the processes make of it may differ from play to play.
    """
    from hillmux.lab.soak import SeedRangeError, as_toml, parse_seeds, play_seeds
    from hillmux.lab.soak_draw import draw_scenario

    try:
        seed_numbers = parse_seeds(seeds)
    except SeedRangeError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_NO_RUN)
    if show:
        for number in seed_numbers:
            click.echo(as_toml(draw_scenario(number, seconds)))
        return
    results = play_seeds(seed_numbers, seconds, out, jobs, lambda result: click.echo(_line(result)))
    for result in results:
        _show_failure(result, seconds)
    broken, failed = sum(bool(r.broken) for r in results), sum(bool(r.error) for r in results)
    inconclusive = sum(r.inconclusive for r in results)
    click.echo(
        f"{len(results)} seeds, {broken} broken, {failed} did not come about; {inconclusive} tries untold"
    )
    sys.exit(EXIT_NO_RUN if failed else EXIT_BROKEN if broken else 0)


def _line(result: SeedResult) -> str:
    times = "" if result.times_judged else ", times not judged"
    counts = f"{result.judged:>5} judged, {result.inconclusive:>3} untold{times}"
    return f"seed {result.seed:<6} {result.verdict():<7} {counts}  {result.about}"


def _show_failure(result: SeedResult, seconds: float) -> None:
    if result.error:
        click.echo(f"\nseed {result.seed} did not come about: {result.error}")
    for broken in result.broken:
        click.echo(f"\nseed {result.seed}: {broken.rule} broken {broken.times} times")
        click.echo(f"  again:  hillmux lab soak --seeds {result.seed} --seconds {seconds:g}")
        if broken.request_id:
            click.echo(f"  follow: hillmux lab follow {result.folder} {broken.request_id}")
