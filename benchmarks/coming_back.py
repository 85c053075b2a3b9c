"""Coming back: how long until service is full again, case by case, over seeds; real or virtual time.

    python benchmarks/coming_back.py [--virtual] [--seeds 8] [--case herd]

The figures of `recovery/full.py` and the lab's rules. Ends with 1 where a rule is broken.
"""

from __future__ import annotations

import argparse
import sys
import tempfile
from pathlib import Path
from typing import Any

from hillmux.lab import scenario as sc
from hillmux.lab.checks import Verdict
from hillmux.lab.measures import Figures
from hillmux.lab.run import play
from hillmux.lab.virtual.play import not_modelled, play_and_judge

ROOT = Path(__file__).resolve().parents[1]

AT = 9.0
KILL = {"at_s": AT, "what": "kill", "who": "70% of gateways", "name": "herd"}
START = {"at_s": AT + 0.2, "what": "start", "who": "@herd", "over_s": 0.8}
ALL = {"at_s": AT, "what": "kill", "who": "gateway:*"}
CASES: dict[str, list[dict[str, Any]]] = {
    "14 of 20, back within 1 s": [KILL, START],
    "14 of 20, back in steps over 10 s": [KILL, {**START, "over_s": 10.0}],
    "all 20": [ALL, {**START, "who": "gateway:*"}],
    "14 of 20, twice in 5 s": [KILL, START, {**KILL, "at_s": AT + 4, "name": "again"},
                               {**START, "at_s": AT + 4.2, "who": "@again"}],
    "one in a crash loop": [{"at_s": AT + i + step, "what": what, "who": "gateway:7"}
                            for i in range(6) for step, what in ((0.0, "kill"), (0.5, "start"))],
    "14 of 20 while the counter is down": [KILL, START, {"at_s": AT - 1, "what": "counter_stop"},
                                           {"at_s": AT + 3, "what": "counter_start", "how": "nothing"}],
    "14 of 20 while a third of the hosts is cold": [
        {"at_s": AT - 0.5, "what": "crash", "who": "33% of hosts", "name": "cold"},
        {"at_s": AT, "what": "restart", "who": "@cold"}, KILL, START],
    "all gateways and all hosts": [
        ALL, {"at_s": AT, "what": "crash", "who": "host:*"},
        {"at_s": AT + 0.2, "what": "restart", "who": "host:*", "over_s": 0.8}, {**START, "who": "gateway:*"}],
}  # fmt: skip
LENGTH_S = 30.0


def scenario(faults: list[dict[str, Any]], seed: int) -> sc.Scenario:
    """The shipped herd, with other faults."""
    base = sc.load(ROOT / "examples/lab/herd.toml").model_dump()
    rules = ["answered", "effects", "ceilings"]
    if any(f["what"] == "restart" for f in faults):
        rules.append("cold")
    return sc.Scenario.model_validate(
        base | {"seed": seed, "length_s": LENGTH_S, "faults": faults, "hold": {"rules": rules}}
    )


def shown(name: str, plays: list[tuple[list[Verdict], Figures]]) -> bool:
    """A row of the table; whether every rule held."""
    back = sorted(f.full_service_s if f.full_service_s is not None else float("inf") for _, f in plays)
    figures = [f for _, f in plays]
    broken = [v.rule for verdicts, _ in plays for v in verdicts if v.broken]
    print(f"| {name} | {back[len(back) // 2]:.0f}, {back[-1]:.0f} "
          f"| {max(f.attempts_per_request() for f in figures):.2f} "
          f"| {max(f.most_dials_s for f in figures)} ({max(f.usual_dials_s for f in figures):.0f}) "
          f"| {max(f.most_counter_s for f in figures)} | {sum(f.fell for f in figures)} "
          f"| {sum(f.second_wave_s is not None for f in figures)} of {len(plays)} "
          f"| {', '.join(broken) or 'held'} |", flush=True)  # fmt: skip
    return not broken


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.split("\n", maxsplit=1)[0])
    parser.add_argument("--virtual", action="store_true")
    parser.add_argument("--seeds", type=int, default=8)
    parser.add_argument("--case", default="", help="play only what has this in its name")
    args = parser.parse_args()
    print("| case | full service after the last fault, s: p50, most | attempts a first try, most "
          "| dials at a host in 1 s, most (before) | counter calls a second, most | hosts that fell "
          "| a second wave | rules |\n|" + " --- |" * 8, flush=True)  # fmt: skip
    sound = True
    for name, faults in CASES.items():
        if args.case not in name:
            continue
        plays: list[tuple[list[Verdict], Figures]] = []
        for seed in range(1, args.seeds + 1):
            day = scenario(faults, seed)
            if args.virtual:
                assert not not_modelled(day)
                plays.append(play_and_judge(day))
            else:
                with tempfile.TemporaryDirectory() as out:
                    result = play(day, Path(out) / "run")
                plays.append((result.verdicts, result.figures))
        sound = shown(name, plays) and sound
    return 0 if sound else 1


if __name__ == "__main__":
    sys.exit(main())
