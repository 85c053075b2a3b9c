"""The soak: scenarios drawn from seeds, played with real processes, judged, and told with what broke."""

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

MAX_SEEDS = 10_000  # of one soak


class SeedRangeError(ValueError):
    """A text that names no seeds; says what was found and what may stand there."""


@dataclass(slots=True, frozen=True)
class BrokenRule:
    """A rule that a seed broke."""

    rule: str
    times: int
    request_id: str  # of the first violation; "" where it is about no request


@dataclass(slots=True)
class SeedResult:
    """What playing one seed came to."""

    seed: int
    about: str
    folder: Path
    broken: list[BrokenRule] = field(default_factory=list)
    judged: int = 0
    untold: int = 0  # tries whose end says nothing: their gateway was killed, or a crowd stood before it
    timed: bool = True  # times were judged: the load itself was in time
    error: str = ""  # why the run did not come about

    def verdict(self) -> str:
        """One word for the table."""
        return "no run" if self.error else "broken" if self.broken else "held"


def parse_seeds(text: str) -> list[int]:
    """The seeds in a text such as `1-50` or `3,17,40-42`.

    Raises:
        SeedRangeError: it names none, or more than MAX_SEEDS.
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
    """A scenario as the file that `hillmux lab run` plays."""
    return tomli_w.dumps(scenario.model_dump(mode="json"))


def play_seed(seed: int, length_s: float, out: Path) -> SeedResult:
    """Draw, play and judge one seed."""
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
    result.untold = results.get("reset", 0) + results.get("shut", 0)
    result.timed = played.times_judged()
    return result


def _broken_rule(verdict: Verdict) -> BrokenRule:
    chain = verdict.chains[0] if verdict.chains else []
    return BrokenRule(verdict.rule, verdict.broken, next((e["rid"] for e in chain if "rid" in e), ""))


def play_seeds(
    seeds: Iterable[int], length_s: float, out: Path, jobs: int, show: Callable[[SeedResult], None]
) -> list[SeedResult]:
    """Play seeds, `jobs` at a time; `show` is given each result as it is there."""
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
