"""Virtual time at size: 1,000 gateways, 1,000 hosts, 60 s of a day on one core; a herd of 70% in the middle.

    python benchmarks/thousand.py [--gateways 1000] [--seconds 60] [--seeds 1]

Prints CPU seconds for each seed, figures, and when service was full again. Ends with 1 where two plays of
a seed differ, a ceiling is passed, a host falls, or a try is left without an answer in time.
"""

from __future__ import annotations

import argparse
import sys
import time

from hillmux.lab.scenario import Scenario
from hillmux.lab.virtual.model import SimulationFigures
from hillmux.lab.virtual.play import play
from hillmux.recovery import full_service

CEILING = 1.9


def scenario(gateways: int, seconds: float, seed: int) -> Scenario:
    """A day whose load, hosts and counter grow with the gateways."""
    middle = round(seconds / 2)
    plans = [
        {"name": "basic", "share": 0.6, "rate": 1.6, "burst": 7.0, "worth": 0.9, "over_cost": 0.5,
         "width": min(gateways, 200)},
        {"name": "business", "share": 0.4, "rate": 4.7, "burst": 22.0, "worth": 1.3, "over_cost": 0.6,
         "ceiling": CEILING, "width": 4},
    ]  # fmt: skip
    classes = [
        {"name": "lookup", "share": 0.7, "work_ms": 300, "aim_ms": 5000, "deadline_ms": 12000, "worth": 3.0},
        {"name": "booking", "share": 0.3, "work_ms": 200, "aim_ms": 4000, "deadline_ms": 12000, "worth": 2.0,
         "effect": "keyed", "window_ms": 8000},
    ]  # fmt: skip
    return Scenario.model_validate(
        {
            "name": "thousand",
            "seed": seed,
            "length_s": seconds,
            # The model's bounds are those of a run of real processes; virtual time has none.
            "fleet": {"gateways": 200, "hosts": 400, "counter_per_s": 2.5 * gateways, "notice_ms": 2000},
            "traffic": {"per_s": 2.0 * gateways, "plans": plans, "classes": classes, "heavy": 0.08},
            "faults": [
                {"at_s": middle, "what": "kill", "who": "70% of gateways", "name": "herd"},
                {"at_s": middle + 0.2, "what": "start", "who": "@herd", "over_s": 0.8},
            ],
        }
    )


def sized(day: Scenario, gateways: int) -> Scenario:
    """The same with as many gateways and hosts as asked for, past the bounds of real processes."""
    return day.model_copy(
        update={"fleet": day.fleet.model_copy(update={"gateways": gateways, "hosts": gateways})}
    )


def back(figures: SimulationFigures, middle: int, seconds: float) -> float | None:
    """Seconds from the herd's last start until service is full."""
    windows = []
    for second in range(int(seconds)):
        asked, served = figures.windows.get(second, [0.0, 0.0])
        windows.append(full_service.ServiceWindow(asked, served))
    baseline = full_service.baseline(windows[middle // 2 : middle])
    return full_service.time_to_full(windows[middle + 1 :], baseline)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.split("\n", maxsplit=1)[0])
    parser.add_argument("--gateways", type=int, default=1000)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--twice", action="store_true", help="play each seed twice and compare")
    args = parser.parse_args()
    wrong = 0
    for seed in range(1, args.seeds + 1):
        day = sized(scenario(args.gateways, args.seconds, seed), args.gateways)
        begun = time.process_time()
        world, figures = play(day)
        took = time.process_time() - begun
        same = not args.twice or play(day)[1] == figures
        plan = next(p for p in day.traffic.plans if p.ceiling)
        slack = max(0.1 * plan.ceiling * plan.burst, 4.0)
        sound = (
            same
            and figures.lowest_ceiling >= -slack
            and not figures.hosts_overloaded
            and not figures.timed_out
        )
        wrong += not sound
        at = back(figures, round(args.seconds / 2), args.seconds)
        print(f"seed {seed}: {took:.0f} s of CPU for {args.seconds:g} s; {figures.requests} first tries, "
              f"{figures.attempts} tries, worth served {figures.served_value / figures.offered_value:.3f}, "
              f"counter calls {world.counter_calls} "
              f"({world.counter_calls_failed / max(world.counter_calls, 1):.0%} unheard), "
              f"dials {world.connections}, full service {'not seen' if at is None else f'after {at:.0f} s'}"
              f"{'' if sound else '; NOT SOUND'}{', twice the same' if args.twice and same else ''}",
              flush=True)  # fmt: skip
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
