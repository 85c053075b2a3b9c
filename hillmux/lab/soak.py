"""Soak test: scenarios are drawn from seeds, played with real processes and judged."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from multiprocessing import get_context
from pathlib import Path

import tomli_w

from hillmux.lab.checks import Verdict
from hillmux.lab.processes import NotReadyError
from hillmux.lab.record import free_folder
from hillmux.lab.run import RunError, play
from hillmux.lab.scenario import Scenario
from hillmux.lab.soak_draw import draw_scenario

MAX_SEEDS = 10_000  # in one soak test


class SeedRangeError(ValueError):
    """A text is no valid list of seeds; the message has the part found and the form expected."""


@dataclass(slots=True, frozen=True)
class BrokenRule:
    """A rule that was broken while a seed was played.

    Attributes:
        rule: name of the rule.
        times: number of violations.
        request_id: request of the first violation; empty if that has no request.
    """

    rule: str
    times: int
    request_id: str


@dataclass(slots=True)
class SeedResult:
    """Result of playing one seed.

    Attributes:
        seed: the seed.
        about: kinds of faults in the drawn scenario.
        folder: the run's folder.
        broken: the rules that were broken.
        judged: number of times that a rule had something to judge.
        inconclusive: clients' requests whose end is no evidence: the gateway was killed, or idle connections
            took all its descriptors.
        times_judged: whether times were judged, which needs a load that was sent on time.
        error: why the run failed; empty if it ended normally.
    """

    seed: int
    about: str
    folder: Path
    broken: list[BrokenRule] = field(default_factory=list)
    judged: int = 0
    inconclusive: int = 0
    times_judged: bool = True
    error: str = ""

    def verdict(self) -> str:
        """`held`, `broken` or `no run`."""
        return "no run" if self.error else "broken" if self.broken else "held"


def parse_seeds(text: str) -> list[int]:
    """Return the seeds in a text such as `1-50` or `3,17,40-42`.

    Raises:
        SeedRangeError: the text is no such list, or has more than MAX_SEEDS seeds.
    """
    seeds: list[int] = []
    for part in text.split(","):
        first, dash, last = part.strip().partition("-")
        if not first.isdecimal() or (dash and not last.isdecimal()):
            raise SeedRangeError(f"seeds: found {part!r}, expected a number or a range such as 1-50")
        begin, end = int(first), int(last or first)
        if end < begin or end - begin + len(seeds) >= MAX_SEEDS:
            raise SeedRangeError(f"seeds: found {part!r}, expected 1 to {MAX_SEEDS} seeds, the lowest first")
        seeds += range(begin, end + 1)
    return seeds


def as_toml(scenario: Scenario) -> str:
    """Return the text of the file with which `hillmux lab run` plays the scenario."""
    return tomli_w.dumps(scenario.model_dump(mode="json"))


def play_seed(seed: int, length_s: float, out: Path) -> SeedResult:
    """Draw the scenario of a seed, play it and judge its record.

    Args:
        seed: the seed.
        length_s: length of the run.
        out: folder for the run's folder.
    """
    scenario = draw_scenario(seed, length_s)
    folder = free_folder(out, f"soak-{seed}")
    result = SeedResult(seed, scenario.about, folder)
    try:
        played = play(scenario, folder)
    except (RunError, NotReadyError, TimeoutError) as error:
        result.error = str(error) or "the run did not end in its time"
        return result
    result.broken = [_broken_rule(verdict) for verdict in played.verdicts if verdict.broken]
    result.judged = sum(verdict.exercised for verdict in played.verdicts)
    results = played.figures.results
    result.inconclusive = results.get("reset", 0) + results.get("shut", 0)
    result.times_judged = played.times_judged()
    return result


def _broken_rule(verdict: Verdict) -> BrokenRule:
    chain = verdict.chains[0] if verdict.chains else []
    return BrokenRule(verdict.rule, verdict.broken, next((e["rid"] for e in chain if "rid" in e), ""))


def play_seeds(
    seeds: Iterable[int], length_s: float, out: Path, jobs: int, show: Callable[[SeedResult], None]
) -> list[SeedResult]:
    """Play seeds, `jobs` at a time; `show` is called with each result, in the order of the seeds."""
    results = []
    for result in _played(list(seeds), length_s, out, jobs):
        show(result)
        results.append(result)
    return results


def _played(seeds: list[int], length_s: float, out: Path, jobs: int) -> Iterator[SeedResult]:
    if jobs == 1:
        yield from (play_seed(seed, length_s, out) for seed in seeds)
        return
    with ProcessPoolExecutor(jobs, mp_context=get_context("spawn")) as pool:
        yield from pool.map(play_seed, seeds, [length_s] * len(seeds), [out] * len(seeds))
