"""Two trees side by side: the same scenario and seeds played by each in turn, and the paired differences."""

from __future__ import annotations

import tempfile
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path

import numpy as np

from hillmux.lab.measures import Figures
from hillmux.lab.run import Result, play
from hillmux.lab.scenario import Scenario
from hillmux.lab.source_trees import PACKAGES, extract_revision
from hillmux.lab.streams import generator

RESAMPLES = 4000
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
class Paired:
    """One figure of two trees over the same seeds."""

    name: str
    base: float
    head: float
    low: float  # bounds of the mean difference, 95%, by resampling the pairs
    high: float
    pairs: int  # in which both have the figure


def interval(differences: list[float], seed: int = 1) -> tuple[float, float]:
    """Where the mean of paired differences lies, at 95% (percentile bootstrap, Efron 1979)."""
    found = np.array(differences)
    draws = generator(seed, "bootstrap").integers(len(found), size=(RESAMPLES, len(found)))
    low, high = np.percentile(found[draws].mean(axis=1), (2.5, 97.5))
    return float(low), float(high)


def paired(base: list[Figures], head: list[Figures]) -> list[Paired]:
    """The figures of plays that were paired by seed; one that neither shows is left out."""
    rows = []
    for name, read in FIGURES.items():
        values = [
            (b, h)
            for b, h in zip(map(read, base), map(read, head), strict=True)
            if b is not None and h is not None
        ]
        if values:
            mean_base, mean_head = (sum(v[i] for v in values) / len(values) for i in (0, 1))
            low, high = interval([h - b for b, h in values])
            rows.append(Paired(name, mean_base, mean_head, low, high, len(values)))
    return rows


def tree(text: str, stack: ExitStack) -> Path:
    """A checkout by its folder, or a revision of this one, laid out in a folder that goes with the stack."""
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
    say: Callable[[str], None] = lambda text: None,
) -> tuple[list[Paired], list[Result]]:
    """Play `pairs` seeds from the scenario's on, each by both trees, the order changing from pair to pair."""
    played: dict[str, list[Result]] = {"base": [], "head": []}
    with ExitStack() as stack:
        trees = {"base": tree(base, stack), "head": tree(head, stack)}
        for number in range(pairs):
            day = scenario.model_copy(update={"seed": scenario.seed + number})
            for which in ("base", "head") if number % 2 == 0 else ("head", "base"):
                say(f"seed {day.seed}, {which}")
                played[which].append(play(day, out / f"{which}-{day.seed}", trees[which]))
    rows = paired([r.figures for r in played["base"]], [r.figures for r in played["head"]])
    return rows, played["base"] + played["head"]
