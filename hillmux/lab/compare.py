"""Compares two source trees, which play the same scenario and seeds in turn, by the paired differences."""

from __future__ import annotations

import tempfile
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path

import numpy as np

from hillmux.lab.measures import Figures
from hillmux.lab.random_streams import generator
from hillmux.lab.run import Result, play
from hillmux.lab.scenario import Scenario
from hillmux.lab.source_trees import PACKAGES, extract_revision

RESAMPLES = 4000  # of the bootstrap
FIGURES: dict[str, Callable[[Figures], float | None]] = {
    "worth served": lambda f: f.served_share,
    "attempts a first try": Figures.attempts_per_request,
    "p99, ms": lambda f: f.p99_ms,
    "dials": lambda f: float(f.dials),
    "dials at a host in 1 s": lambda f: float(f.most_dials_s),
    "counter calls": lambda f: float(f.counter_calls),
    "hosts that fell": lambda f: float(f.fell),
    "full service, s": lambda f: f.full_service_s,
}


@dataclass(slots=True, frozen=True)
class PairedFigure:
    """One figure of two trees over the same seeds.

    Attributes:
        name: name of the figure, a key of FIGURES.
        base: mean of the base tree.
        head: mean of the head tree.
        low: lower bound of the mean difference head - base, at 95%.
        high: upper bound of the same.
        pairs: number of pairs in which both trees have the figure.
    """

    name: str
    base: float
    head: float
    low: float
    high: float
    pairs: int


def confidence_interval(differences: list[float], seed: int = 1) -> tuple[float, float]:
    """Return the 95% confidence interval of the mean paired difference (percentile bootstrap, Efron 1979)."""
    observed = np.array(differences)
    draws = generator(seed, "bootstrap").integers(len(observed), size=(RESAMPLES, len(observed)))
    low, high = np.percentile(observed[draws].mean(axis=1), (2.5, 97.5))
    return float(low), float(high)


def compare_paired(base: list[Figures], head: list[Figures]) -> list[PairedFigure]:
    """Compare figures of runs that are paired by seed; a figure that no pair has in both runs is left out."""
    rows = []
    for name, read in FIGURES.items():
        values = [
            (b, h)
            for b, h in zip(map(read, base), map(read, head), strict=True)
            if b is not None and h is not None
        ]
        if values:
            mean_base, mean_head = (sum(v[i] for v in values) / len(values) for i in (0, 1))
            low, high = confidence_interval([h - b for b, h in values])
            rows.append(PairedFigure(name, mean_base, mean_head, low, high, len(values)))
    return rows


def source_tree(text: str, stack: ExitStack) -> Path:
    """Return the folder of a source tree.

    Args:
        text: a checkout's folder, or a revision of this checkout, which is extracted.
        stack: removes the folder of an extracted revision when it is closed.

    Raises:
        TreeError: `text` is neither.
    """
    if any((Path(text) / package).is_dir() for package in PACKAGES):
        return Path(text).resolve()
    folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
    extract_revision(text, folder)
    return folder


def compare(
    base: str,
    head: str,
    scenario: Scenario,
    pairs: int,
    out: Path,
    report: Callable[[str], None] = lambda text: None,
) -> tuple[list[PairedFigure], list[Result]]:
    """Play consecutive seeds with both trees and compare the figures.

    Args:
        base: the base tree: a checkout's folder, or a revision.
        head: the head tree: a checkout's folder, or a revision.
        scenario: the scenario; its seed is the first one.
        pairs: number of seeds; the order of the two trees alternates from seed to seed.
        out: folder for the runs' folders.
        report: called with a line of text before each run.

    Returns:
        The compared figures, and the results of all runs, the base tree's first.

    Raises:
        TreeError: a tree is neither a folder nor a revision.
        RunError, NotReadyError, TimeoutError: a run failed.
    """
    played: dict[str, list[Result]] = {"base": [], "head": []}
    with ExitStack() as stack:
        trees = {"base": source_tree(base, stack), "head": source_tree(head, stack)}
        for number in range(pairs):
            seeded = scenario.model_copy(update={"seed": scenario.seed + number})
            for which in ("base", "head") if number % 2 == 0 else ("head", "base"):
                report(f"seed {seeded.seed}, {which}")
                played[which].append(play(seeded, out / f"{which}-{seeded.seed}", trees[which]))
    rows = compare_paired([r.figures for r in played["base"]], [r.figures for r in played["head"]])
    return rows, played["base"] + played["head"]
