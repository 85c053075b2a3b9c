"""Planted faults: for each, a copy of the tree with a line changed, played in the lab; its checker tells.

Where a second guard stands behind the line, that one is taken away, too: what is tested is the checker.

    python benchmarks/mutations.py [--only NAME] [--out FOLDER]

Ends with 1 where a planted fault was not found, or a scenario does not hold for the tree as it is. A scenario
is judged on the tree as it is first: a checker that always tells shows nothing.
"""

from __future__ import annotations

import argparse
import shutil
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from hillmux.lab.run import play
from hillmux.lab.scenario import Scenario

ROOT = Path(__file__).resolve().parents[1]

PLAN = {"name": "capped", "share": 1.0, "rate": 6.0, "burst": 12.0, "ceiling": 1.5, "width": 4}
READ = {"name": "read", "share": 0.5, "work_ms": 20, "aim_ms": 2000, "deadline_ms": 3000, "worth": 3.0}
BOOK = {"name": "book", "share": 0.5, "work_ms": 20, "aim_ms": 2000, "deadline_ms": 3000, "worth": 2.0}
KEYED = {**BOOK, "effect": "keyed", "window_ms": 400}
UNSAFE = {**BOOK, "effect": "unsafe"}


def day(
    *faults: dict[str, Any],
    booking: dict[str, Any] = UNSAFE,
    plan: dict[str, Any] = PLAN,
    heavy: float = 0.2,
    per_s: float = 80,
    length_s: float = 6.0,
    unruly_per_s: float = 0.0,
    **fleet: Any,
) -> Scenario:
    """Some seconds of four gateways and six hosts."""
    return Scenario.model_validate(
        {
            "name": "planted",
            "seed": 3,
            "length_s": length_s,
            "fleet": {"gateways": 4, "hosts": 6, "cold_ms": 4000, "list_late_ms": [10, 150], **fleet},
            "traffic": {
                "per_s": per_s,
                "heavy": heavy,
                "heavy_x": 5.0,
                "unruly_per_s": unruly_per_s,
                "plans": [plan],
                "classes": [READ, booking],
            },
            "faults": faults,
        }
    )


@dataclass(frozen=True)
class Planted:
    """One fault: where it is planted, who ought to tell, and the day that shows it."""

    name: str
    file: str
    line: str
    instead: str
    rule: str
    scenario: Scenario
    behind: tuple[tuple[str, str, str], ...] = ()  # guards behind it: file, line, what stands in its place


FAILING = ({"at_s": 1.0, "what": "failing", "who": "50% of hosts", "value": 0.4},)
SLOW = ({"at_s": 0.5, "what": "slow", "who": "host:*", "value": 40},)
DRAIN = ({"at_s": 1.0, "what": "drain", "who": "33% of hosts"},)
COLD = (
    {"at_s": 1.0, "what": "crash", "who": "33% of hosts", "name": "lost"},
    {"at_s": 1.5, "what": "restart", "who": "@lost"},
)
HERDS = tuple(
    {"at_s": at + step, "what": what, "who": "gateway:*"}
    for at in (1.5, 2.5, 3.5, 4.5)
    for step, what in ((0.0, "kill"), (0.1, "start"))
)
ROLL = (
    {"at_s": 1.5, "what": "term", "who": "gateway:*", "over_s": 2.0},
    {"at_s": 3.0, "what": "start", "who": "gateway:*", "over_s": 2.0},
)
ENDED = (
    {"at_s": 0.5, "what": "term", "who": "gateway:0"},
    {"at_s": 4.25, "what": "kill", "who": "gateway:0"},  # the earliest: 3 s and 0.7 s later
)
RESTARTED = (
    {"at_s": 1.0, "what": "kill", "who": "gateway:0"},
    {"at_s": 1.1, "what": "start", "who": "gateway:0"},
)
CALM = ({"at_s": 1.0, "what": "slow", "who": "host:h0", "value": 1.5},)
TIGHT = {**PLAN, "ceiling": 0.5}  # it binds before the quota does
QUOTAS, RETRIES = "hillmux/quotas/quotas.py", "hillmux/decision/retries.py"
CEILING, REGISTRY = "hillmux/quotas/ceiling.py", "hillmux/quotas/registry.py"
PLANTED = (
    Planted(
        "an unsafe request is sent again",
        RETRIES,
        "if request_class.idempotency == Idempotency.IDEMPOTENT:",
        "if request_class.idempotency != Idempotency.KEYED:",
        "effects",
        day(*FAILING),
    ),
    Planted(
        "a keyed request is sent again after its window",
        RETRIES,
        "if now - possible_runs[0].sent_at > request_class.idempotency_window_ms - 2 * clock_resolution_ms:",
        "if False:",
        "effects",
        day(*SLOW, *FAILING, booking=KEYED),
        (
            (
                RETRIES,
                "return sent_at[0] + pending.request_class.idempotency_window_ms"
                " - 2 * clock_resolution_ms - now",
                "return inf",
            ),
        ),
    ),
    Planted(
        "a host that drains goes on being used",
        "hillmux/balancing/host.py",
        "self.up = endpoint.status == HostStatus.UP",
        "self.up = endpoint.status != HostStatus.REMOVED",
        "drains",
        day(*DRAIN),
        (("hillmux/net/upstream_pool.py", "host.draining = name in draining", "host.draining = False"),),
    ),
    Planted(
        "a cold host is taken for warm",
        "hillmux/balancing/slow_start.py",
        "        if not host.warming_since_ms or self.settings.slow_start_ms <= 0:",
        "        if True:",
        "cold",
        day(*COLD, per_s=200, cores=1, cold_from=0.1, fall_multiple=1.0, fall_ms=1000),
    ),
    Planted(
        "a cold host's budget is not divided by the gateways",
        "hillmux/balancing/slow_start.py",
        "        return host.slow_start_credit >= work",
        "        return True",
        "cold",
        day(*COLD, per_s=200, cores=1, cold_from=0.1, fall_multiple=1.0, fall_ms=1000),
    ),
    Planted(
        "each gateway takes the whole ceiling for its own",
        CEILING,
        "    gained = (now - state.ceiling_at) * plan.ceiling_rate / 1000 / state.replicas",
        "    limit = plan.ceiling_burst\n    gained = (now - state.ceiling_at) * plan.ceiling_rate / 1000",
        "ceilings",
        day(*CALM, heavy=0.9, plan=TIGHT),
    ),
    Planted(
        "a ceiling is full at a start",
        REGISTRY,
        "state.ceiling_at = max(gateway_start, self.forgotten_ceilings.get(state.digest))",
        "state.ceiling_at = -1e9",
        "ceilings",
        day(*HERDS, heavy=0.9, plan={**TIGHT, "burst": 48.0, "ceiling": 0.5}),
    ),
    Planted(
        "a gateway that is told to end does so at once",
        "hillmux/net/shutdown.py",
        "        self._loop.call_later(ACCEPT_GRACE_S, self.stop_accepting)",
        "        self.done.set()",
        "answered",
        day(*ROLL, booking={**BOOK, "work_ms": 200}),
    ),
    Planted(
        "a count is told again at each reply",
        QUOTAS,
        "        state.reported += amount\n        state.call_amount",
        "        state.call_amount",
        "units",
        day(*CALM),
    ),
    Planted(
        "a gateway that is told to end never does",
        "hillmux/net/shutdown.py",
        "        if self._listener.close_idle() or self._loop.time() > self._flush_until:",
        "        if False:",
        "exits",
        day(*ENDED),
    ),
    Planted(
        "a gateway takes long to start",
        "hillmux/__main__.py",
        "    gateway.start()",
        "    await asyncio.sleep(10.5)\n    gateway.start()",
        "restarts",
        day(*RESTARTED),
    ),
    Planted(
        "a client that halts in the middle of a head is left alone",
        "hillmux/net/client_timeouts.py",
        "HEAD_TIMEOUT_S: Final = 2.6",
        "HEAD_TIMEOUT_S: Final = 26.0",
        "unruly",
        day(*CALM, length_s=9.0, unruly_per_s=20.0),
    ),
)


def tree_with(planted: Planted, folder: Path) -> Path:
    """A copy of the program with one fault in it."""
    shutil.copytree(ROOT / "hillmux", folder / "hillmux", ignore=shutil.ignore_patterns("__pycache__"))
    for file, line, instead in ((planted.file, planted.line, planted.instead), *planted.behind):
        path = folder / file
        text = path.read_text(encoding="utf-8")
        if text.count(line) != 1:
            raise SystemExit(f"{planted.name}: {file} has the line {text.count(line)} times, not once")
        path.write_text(text.replace(line, instead), encoding="utf-8")
    return folder


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.split("\n", maxsplit=1)[0])
    parser.add_argument("--only", default="", help="play only what has this in its name")
    args = parser.parse_args()
    missed = 0
    with tempfile.TemporaryDirectory() as out:
        for number, planted in enumerate(p for p in PLANTED if args.only in p.name):
            said = {}
            for which in ("as it is", "planted"):
                folder = Path(out) / f"{number}-{which.replace(' ', '-')}"
                tree = ROOT if which == "as it is" else tree_with(planted, Path(out) / f"tree-{number}")
                scenario = planted.scenario.model_copy(
                    update={"hold": planted.scenario.hold.model_copy(update={"rules": (planted.rule,)})}
                )
                said[which] = play(scenario, folder, tree).verdicts[0]
            found = said["planted"].status() == "broken" and said["as it is"].status() == "held"
            missed += not found
            print(
                f"{'found ' if found else 'MISSED'}  {planted.rule:9} {planted.name}: "
                f"{said['as it is'].status()} of {said['as it is'].exercised}, "
                f"planted: {said['planted'].broken} broken of {said['planted'].exercised}",
                flush=True,
            )
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
