"""Virtual time at size: 1,000 gateways, 1,000 hosts, 60 s of a day on one core; a herd of 70% in the middle.

    python benchmarks/thousand.py [--gateways 1000] [--seconds 60] [--seeds 1]

Prints CPU seconds and figures for each seed, and the time to full service. Exits with 1 if two runs of a seed
differ, a ceiling is exceeded, a host is overloaded, or an attempt times out.
"""

from __future__ import annotations

import argparse
import sys
import time

from hillmux.lab.scenario import Scenario
from hillmux.lab.virtual.model import SimulationFigures
from hillmux.lab.virtual.play import play
from hillmux.recovery import full_service

CEILING_RATE = 1.9


def scenario(gateways: int, seconds: float, seed: int) -> Scenario:
    """A scenario whose load and counter capacity are proportional to the gateways."""
    fault_s = round(seconds / 2)
    plans = [
        {"name": "basic", "share": 0.6, "rate": 1.6, "burst": 7.0, "worth": 0.9, "over_cost": 0.5,
         "width": min(gateways, 200)},
        {"name": "business", "share": 0.4, "rate": 4.7, "burst": 22.0, "worth": 1.3, "over_cost": 0.6,
         "ceiling": CEILING_RATE, "width": 4},
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
            # These sizes are within the scenario's bounds, which apply to real processes; `with_fleet_size`
            # exceeds them in virtual time.
            "fleet": {"gateways": 200, "hosts": 400, "counter_per_s": 2.5 * gateways, "notice_ms": 2000},
            "traffic": {"per_s": 2.0 * gateways, "plans": plans, "classes": classes, "heavy": 0.08},
            "faults": [
                {"at_s": fault_s, "what": "kill", "who": "70% of gateways", "name": "herd"},
                {"at_s": fault_s + 0.2, "what": "start", "who": "@herd", "over_s": 0.8},
            ],
        }
    )


def with_fleet_size(definition: Scenario, gateways: int) -> Scenario:
    """A copy with `gateways` gateways and as many hosts, without the bounds that apply to real processes."""
    return definition.model_copy(
        update={"fleet": definition.fleet.model_copy(update={"gateways": gateways, "hosts": gateways})}
    )


def time_to_full_service(figures: SimulationFigures, fault_s: int, seconds: float) -> float | None:
    """Seconds from the last start of the herd until full service; None if it was not reached."""
    windows = []
    for second in range(int(seconds)):
        offered, served = figures.windows.get(second, [0.0, 0.0])
        windows.append(full_service.ServiceWindow(offered, served))
    baseline = full_service.baseline(windows[fault_s // 2 : fault_s])
    return full_service.time_to_full(windows[fault_s + 1 :], baseline)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.split("\n", maxsplit=1)[0])
    parser.add_argument("--gateways", type=int, default=1000)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--twice", action="store_true", help="play each seed twice and compare")
    args = parser.parse_args()
    failed = 0
    for seed in range(1, args.seeds + 1):
        definition = with_fleet_size(scenario(args.gateways, args.seconds, seed), args.gateways)
        started = time.process_time()
        world, figures = play(definition)
        cpu_s = time.process_time() - started
        same = not args.twice or play(definition)[1] == figures
        plan = next(p for p in definition.traffic.plans if p.ceiling)
        slack = max(0.1 * plan.ceiling * plan.burst, 4.0)
        valid = (
            same
            and figures.lowest_ceiling >= -slack
            and not figures.hosts_overloaded
            and not figures.timed_out
        )
        failed += not valid
        full_service_s = time_to_full_service(figures, round(args.seconds / 2), args.seconds)
        print(f"seed {seed}: {cpu_s:.0f} s of CPU for {args.seconds:g} s; {figures.requests} first tries, "
              f"{figures.attempts} tries, worth served {figures.served_value / figures.offered_value:.3f}, "
              f"counter calls {world.counter_calls} "
              f"({world.counter_calls_failed / max(world.counter_calls, 1):.0%} unheard), "
              f"dials {world.connections}, full service "
              f"{'not seen' if full_service_s is None else f'after {full_service_s:.0f} s'}"
              f"{'' if valid else '; NOT SOUND'}{', twice the same' if args.twice and same else ''}",
              flush=True)  # fmt: skip
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
