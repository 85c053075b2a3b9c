"""Memory over a long day, scaled down: real gateways while hosts are replaced and customers come and go.

    python benchmarks/soak.py [--seconds 240]

Exits with 1 if a gateway uses over 3% more memory at the end than in the middle, or if a rule is broken. The
first third is ignored, since bounded stores fill up in it.
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

MAX_GROWTH = 0.03
SAMPLES = 10  # number of samples in each compared median


def scenario(seconds: float) -> Scenario:
    """Two gateways, 12 hosts that keep restarting, and 3,000 customers with few requests each."""
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
    for start_s in range(5, int(seconds) - 5, 6):
        host = f"host:h{start_s // 6 % 12}"
        faults += [
            {"at_s": start_s, "what": "drain", "who": host},
            {"at_s": start_s + 2, "what": "remove", "who": host},
            {"at_s": start_s + 3, "what": "restart", "who": host},
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
        memory_kb: dict[str, list[int]] = defaultdict(list)
        for event in record.read(result.folder):
            if event["ev"] == "memory":
                memory_kb[event["who"]].append(event["kb"])
    max_growth = 0.0
    for name, kb in sorted(memory_kb.items()):
        middle_kb = median(kb[len(kb) // 2 - SAMPLES // 2 : len(kb) // 2 + SAMPLES // 2])
        end_kb = median(kb[-SAMPLES:])
        max_growth = max(max_growth, end_kb / middle_kb - 1)
        print(
            f"{name}: {kb[0]} kB at first, {middle_kb:.0f} in the middle, {end_kb:.0f} at the end "
            f"({end_kb / middle_kb - 1:+.2%})"
        )
    print(
        f"{result.figures.first} first tries; " + ", ".join(f"{v.rule} {v.status()}" for v in result.verdicts)
    )
    return 0 if max_growth <= MAX_GROWTH and result.holds() else 1


if __name__ == "__main__":
    sys.exit(main())
