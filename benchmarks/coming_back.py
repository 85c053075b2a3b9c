"""Coming back: how long until service is full again, case by case, over seeds; real or virtual time.

    python benchmarks/coming_back.py [--virtual] [--seeds 8] [--case herd]

Prints the figures of `recovery/full_service.py` and the verdicts of the lab's rules. Exits with 1 if a rule
is broken.
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

FAULT_S = 9.0
KILL_HERD = {"at_s": FAULT_S, "what": "kill", "who": "70% of gateways", "name": "herd"}
START_HERD = {"at_s": FAULT_S + 0.2, "what": "start", "who": "@herd", "over_s": 0.8}
KILL_ALL = {"at_s": FAULT_S, "what": "kill", "who": "gateway:*"}
CASES: dict[str, list[dict[str, Any]]] = {
    "14 of 20, back within 1 s": [KILL_HERD, START_HERD],
    "14 of 20, back in steps over 10 s": [KILL_HERD, {**START_HERD, "over_s": 10.0}],
    "all 20": [KILL_ALL, {**START_HERD, "who": "gateway:*"}],
    "14 of 20, twice in 5 s": [KILL_HERD, START_HERD, {**KILL_HERD, "at_s": FAULT_S + 4, "name": "again"},
                               {**START_HERD, "at_s": FAULT_S + 4.2, "who": "@again"}],
    "one in a crash loop": [{"at_s": FAULT_S + index + offset_s, "what": what, "who": "gateway:7"}
                            for index in range(6) for offset_s, what in ((0.0, "kill"), (0.5, "start"))],
    "14 of 20 while the counter is down": [
        KILL_HERD, START_HERD, {"at_s": FAULT_S - 1, "what": "counter_stop"},
        {"at_s": FAULT_S + 3, "what": "counter_start", "how": "nothing"}],
    "14 of 20 while a third of the hosts is cold": [
        {"at_s": FAULT_S - 0.5, "what": "crash", "who": "33% of hosts", "name": "cold"},
        {"at_s": FAULT_S, "what": "restart", "who": "@cold"}, KILL_HERD, START_HERD],
    "all gateways and all hosts": [
        KILL_ALL, {"at_s": FAULT_S, "what": "crash", "who": "host:*"},
        {"at_s": FAULT_S + 0.2, "what": "restart", "who": "host:*", "over_s": 0.8},
        {**START_HERD, "who": "gateway:*"}],
}  # fmt: skip
LENGTH_S = 30.0


def scenario(faults: list[dict[str, Any]], seed: int) -> sc.Scenario:
    """The scenario of examples/lab/herd.toml with other faults."""
    base = sc.load(ROOT / "examples/lab/herd.toml").model_dump()
    rules = ["answered", "effects", "ceilings"]
    if any(f["what"] == "restart" for f in faults):
        rules.append("cold")
    return sc.Scenario.model_validate(
        base | {"seed": seed, "length_s": LENGTH_S, "faults": faults, "hold": {"rules": rules}}
    )


def print_row(name: str, plays: list[tuple[list[Verdict], Figures]]) -> bool:
    """Print a row of the table; returns whether every rule held."""
    recovery_times_s = sorted(
        f.full_service_s if f.full_service_s is not None else float("inf") for _, f in plays
    )
    figures = [f for _, f in plays]
    broken = [v.rule for verdicts, _ in plays for v in verdicts if v.broken]
    print(f"| {name} | {recovery_times_s[len(recovery_times_s) // 2]:.0f}, {recovery_times_s[-1]:.0f} "
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
    all_rules_held = True
    for name, faults in CASES.items():
        if args.case not in name:
            continue
        plays: list[tuple[list[Verdict], Figures]] = []
        for seed in range(1, args.seeds + 1):
            definition = scenario(faults, seed)
            if args.virtual:
                assert not not_modelled(definition)
                plays.append(play_and_judge(definition))
            else:
                with tempfile.TemporaryDirectory() as out:
                    result = play(definition, Path(out) / "run")
                plays.append((result.verdicts, result.figures))
        all_rules_held = print_row(name, plays) and all_rules_held
    return 0 if all_rules_held else 1


if __name__ == "__main__":
    sys.exit(main())
