"""Memory over a long day, scaled down: real gateways while hosts are replaced and customers come and go.

    python benchmarks/soak.py [--seconds 240]

Ends with 1 where a gateway holds over 3% more at the end than in the middle. The first third is left out:
there the bounds fill.
"""

from __future__ import annotations

import argparse
import sys
import tempfile
from collections import defaultdict
from pathlib import Path
from statistics import median

from hillmux.lab import record
from hillmux.lab.run import play
from hillmux.lab.scenario import Scenario

GROWTH = 0.03
LOOKS = 10  # samples whose median is compared


def scenario(seconds: float) -> Scenario:
    """Two gateways, 12 hosts that restart all along, 3,000 customers seen seldom."""
    plan = {"name": "basic", "share": 1.0, "rate": 0.3, "burst": 6.0, "width": 2, "ceiling": 2.0}
    read = {"name": "read", "share": 0.6, "work_ms": 4, "aim_ms": 2000, "deadline_ms": 3000, "worth": 3.0}
    book = {
        "name": "book",
        "share": 0.4,
        "work_ms": 4,
        "aim_ms": 2000,
        "deadline_ms": 3000,
        "worth": 2.0,
        "effect": "keyed",
        "window_ms": 4000,
    }
    faults = []
    for at in range(5, int(seconds) - 5, 6):
        host = f"host:h{at // 6 % 12}"
        faults += [
            {"at_s": at, "what": "drain", "who": host},
            {"at_s": at + 2, "what": "remove", "who": host},
            {"at_s": at + 3, "what": "restart", "who": host},
        ]
    return Scenario.model_validate(
        {
            "name": "soak",
            "seed": 1,
            "length_s": seconds,
            "fleet": {"gateways": 2, "hosts": 12, "cold_ms": 2000, "counter_per_s": 2000},
            "traffic": {"per_s": 300, "calm_use": 0.5, "plans": [plan], "classes": [read, book]},
            "faults": faults,
            "hold": {"rules": ["answered", "effects", "drains", "ceilings"]},
        }
    )


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.split("\n", maxsplit=1)[0])
    parser.add_argument("--seconds", type=float, default=240.0)
    seconds = parser.parse_args().seconds
    with tempfile.TemporaryDirectory() as out:
        result = play(scenario(seconds), Path(out) / "run", report=print)
        held: dict[str, list[int]] = defaultdict(list)
        for event in record.read(result.folder):
            if event["ev"] == "memory":
                held[event["who"]].append(event["kb"])
    worst = 0.0
    for name, kb in sorted(held.items()):
        middle = median(kb[len(kb) // 2 - LOOKS // 2 : len(kb) // 2 + LOOKS // 2])
        end = median(kb[-LOOKS:])
        worst = max(worst, end / middle - 1)
        print(
            f"{name}: {kb[0]} kB at first, {middle:.0f} in the middle, {end:.0f} at the end "
            f"({end / middle - 1:+.2%})"
        )
    print(
        f"{result.figures.first} first tries; " + ", ".join(f"{v.rule} {v.status()}" for v in result.verdicts)
    )
    return 0 if worst <= GROWTH and result.holds() else 1


if __name__ == "__main__":
    sys.exit(main())
