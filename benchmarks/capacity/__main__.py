"""The command line of the scale tests."""

from __future__ import annotations

import argparse
import json
import sys
import time
from typing import NoReturn

from benchmarks.capacity import runner
from benchmarks.capacity.measurement import Figure, MeasurementError, Measurements
from benchmarks.capacity.probes import PROBES, select_probes
from benchmarks.capacity.size import SizeError, check_number

BAD_INPUT = 2
MAX_JOBS = 8


class Parser(argparse.ArgumentParser):
    """Raises `SizeError` for invalid arguments, so that they are reported on one line like invalid sizes."""

    def error(self, message: str) -> NoReturn:
        """Reject the command line.

        Raises:
            SizeError: always, with argparse's message.
        """
        raise SizeError(message)


def parse_integer(text: str) -> int:
    """Parse an integer argument; argparse prefixes the error message with the argument's name."""
    try:
        return int(text)
    except ValueError:
        raise argparse.ArgumentTypeError(f"found {text!r}, allowed a whole number") from None


def main(arguments: list[str] | None = None) -> int:
    """Run one command.

    Returns 0, 1 if `page --check` finds a difference, or 2 for invalid input, which is reported on one line
    before any measurement is started.
    """
    parser = Parser(prog="python -m benchmarks.capacity", description=__doc__)
    commands = parser.add_subparsers(dest="command", required=True)
    commands.add_parser("list", help="the probes, with axis, sizes and figures")
    measure = commands.add_parser("measure", help="run probes and write the file of measurements")
    measure.add_argument("probes", nargs="*")
    measure.add_argument("--role")
    measure.add_argument("--seeds", type=parse_integer, nargs="+", default=[1, 2])
    measure.add_argument("--jobs", type=parse_integer, default=2)
    one = commands.add_parser("one", help="one measurement in this process, as a line of JSON")
    one.add_argument("probe")
    one.add_argument("size", type=parse_integer)
    one.add_argument("seed", type=parse_integer)
    page = commands.add_parser("page", help="write docs/CAPACITY.md from the file of measurements")
    page.add_argument("--check", action="store_true", help="only say whether page and file agree")
    try:
        return _run(parser.parse_args(arguments))
    except (SizeError, MeasurementError) as error:
        print(error, file=sys.stderr)
        return BAD_INPUT


def _run(args: argparse.Namespace) -> int:
    match args.command:
        case "list":
            _list()
        case "one":
            select_probes([args.probe], None)
            print(json.dumps(runner.run_one(args.probe, args.size, args.seed)))
        case "measure":
            _measure(args)
        case "page":
            from benchmarks.capacity import page

            return page.write(only_check=args.check)
    return 0


def _list() -> None:
    for probe in PROBES.values():
        kind = "real" if probe.real else "hollow"
        print(f"{probe.name} ({probe.role}, {kind}), by {probe.axis}: {', '.join(map(str, probe.sizes))}")
        for name, unit in probe.figures.items():
            print(f"    {name} [{unit}]")


def _measure(args: argparse.Namespace) -> None:
    check_number("jobs", args.jobs, 1, MAX_JOBS)
    probes = select_probes(args.probes, args.role)
    for probe in probes:
        runner.check(probe, probe.sizes, args.seeds, args.jobs)
    for probe in probes:
        began = time.monotonic()
        figures = runner.measure(probe, args.seeds, args.jobs)
        _merge_into_file(figures, args.seeds)
        print(f"{probe.name}: {time.monotonic() - began:.0f} s", flush=True)
        for figure in figures:
            points = ", ".join(f"{p.size}: {p.mean:.4g}" for p in figure.points)
            print(f"    {figure.name} [{figure.unit}] {points}; slope {figure.slope:.3g}, residual "
                  f"{figure.residual:.1%}, spread {figure.spread:.1%}", flush=True)  # fmt: skip


def _merge_into_file(figures: list[Figure], seeds: list[int]) -> None:
    try:
        stored = Measurements.read()
    except MeasurementError:
        stored = Measurements()
    stored.with_figures(figures, seeds).write()


if __name__ == "__main__":
    sys.exit(main())
