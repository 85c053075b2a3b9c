"""Planted faults: for each, a copy of the tree with a line changed, played in the lab; its checker tells.

Where a backup guard would hide the fault, it is disabled as well, since the checker is what is tested.

    python benchmarks/mutations.py [--only NAME]

Exits with 1 if a planted fault is not found, or if a rule is broken on the unchanged tree. Each scenario runs
on the unchanged tree first, to detect a checker that always reports a violation.
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
KEYED_BOOK = {**BOOK, "effect": "keyed", "window_ms": 400}
UNSAFE_BOOK = {**BOOK, "effect": "unsafe"}


def make_scenario(
    *faults: dict[str, Any],
    booking: dict[str, Any] = UNSAFE_BOOK,
    plan: dict[str, Any] = PLAN,
    heavy: float = 0.2,
    per_s: float = 80,
    length_s: float = 6.0,
    unruly_per_s: float = 0.0,
    **fleet: Any,
) -> Scenario:
    """A scenario of a few seconds with four gateways and six hosts."""
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
class PlantedFault:
    """One fault to plant, and how it must be found.

    Attributes:
        name: description of the fault.
        file: file to change, relative to the root.
        line: text to replace, which occurs exactly once in the file.
        replacement: text with the fault.
        rule: rule of the lab's checker that must be broken.
        scenario: scenario in which the fault breaks the rule.
        backup_guards: further replacements that disable other guards: file, text, replacement.
    """

    name: str
    file: str
    line: str
    replacement: str
    rule: str
    scenario: Scenario
    backup_guards: tuple[tuple[str, str, str], ...] = ()


FAILING_HOSTS = ({"at_s": 1.0, "what": "failing", "who": "50% of hosts", "value": 0.4},)
SLOW_HOSTS = ({"at_s": 0.5, "what": "slow", "who": "host:*", "value": 40},)
DRAINED_HOSTS = ({"at_s": 1.0, "what": "drain", "who": "33% of hosts"},)
COLD_HOSTS = (
    {"at_s": 1.0, "what": "crash", "who": "33% of hosts", "name": "lost"},
    {"at_s": 1.5, "what": "restart", "who": "@lost"},
)
REPEATED_RESTARTS = tuple(
    {"at_s": start_s + offset_s, "what": what, "who": "gateway:*"}
    for start_s in (1.5, 2.5, 3.5, 4.5)
    for offset_s, what in ((0.0, "kill"), (0.1, "start"))
)
ROLLING_RESTART = (
    {"at_s": 1.5, "what": "term", "who": "gateway:*", "over_s": 2.0},
    {"at_s": 3.0, "what": "start", "who": "gateway:*", "over_s": 2.0},
)
TERMINATED_GATEWAY = (
    {"at_s": 0.5, "what": "term", "who": "gateway:0"},
    # The earliest time allowed for the kill, 3 s + 0.7 s after the signal.
    {"at_s": 4.25, "what": "kill", "who": "gateway:0"},
)
RESTARTED_GATEWAY = (
    {"at_s": 1.0, "what": "kill", "who": "gateway:0"},
    {"at_s": 1.1, "what": "start", "who": "gateway:0"},
)
ONE_SLOW_HOST = ({"at_s": 1.0, "what": "slow", "who": "host:h0", "value": 1.5},)
TIGHT_CEILING_PLAN = {**PLAN, "ceiling": 0.5}  # reached before the quota
QUOTAS, RETRIES = "hillmux/quotas/quotas.py", "hillmux/decision/retries.py"
CEILING, REGISTRY = "hillmux/quotas/ceiling.py", "hillmux/quotas/registry.py"
PLANTED_FAULTS = (
    PlantedFault(
        "an unsafe request is sent again",
        RETRIES,
        "if request_class.idempotency == Idempotency.IDEMPOTENT:",
        "if request_class.idempotency != Idempotency.KEYED:",
        "effects",
        make_scenario(*FAILING_HOSTS),
    ),
    PlantedFault(
        "a keyed request is sent again after its window",
        RETRIES,
        "if now - possible_runs[0].sent_at > request_class.idempotency_window_ms - 2 * clock_resolution_ms:",
        "if False:",
        "effects",
        make_scenario(*SLOW_HOSTS, *FAILING_HOSTS, booking=KEYED_BOOK),
        (
            (
                RETRIES,
                "return sent_at[0] + pending.request_class.idempotency_window_ms"
                " - 2 * clock_resolution_ms - now",
                "return inf",
            ),
        ),
    ),
    PlantedFault(
        "a host that drains goes on being used",
        "hillmux/balancing/host.py",
        "self.up = endpoint.status == HostStatus.UP",
        "self.up = endpoint.status != HostStatus.REMOVED",
        "drains",
        make_scenario(*DRAINED_HOSTS),
        (("hillmux/net/upstream_pool.py", "host.draining = name in draining", "host.draining = False"),),
    ),
    PlantedFault(
        "a cold host is taken for warm",
        "hillmux/balancing/slow_start.py",
        "        if not host.warming_since_ms or self.settings.slow_start_ms <= 0:",
        "        if True:",
        "cold",
        make_scenario(*COLD_HOSTS, per_s=200, cores=1, cold_from=0.1, fall_multiple=1.0, fall_ms=1000),
    ),
    PlantedFault(
        "a cold host's budget is not divided by the gateways",
        "hillmux/balancing/slow_start.py",
        "        return host.slow_start_credit >= work",
        "        return True",
        "cold",
        make_scenario(*COLD_HOSTS, per_s=200, cores=1, cold_from=0.1, fall_multiple=1.0, fall_ms=1000),
    ),
    PlantedFault(
        "each gateway takes the whole ceiling for its own",
        CEILING,
        "    gained = (now - state.ceiling_at) * plan.ceiling_rate / 1000 / state.replicas",
        "    limit = plan.ceiling_burst\n    gained = (now - state.ceiling_at) * plan.ceiling_rate / 1000",
        "ceilings",
        make_scenario(*ONE_SLOW_HOST, heavy=0.9, plan=TIGHT_CEILING_PLAN),
    ),
    PlantedFault(
        "a ceiling is full at a start",
        REGISTRY,
        "state.ceiling_at = max(gateway_start, self.forgotten_ceilings.get(state.digest))",
        "state.ceiling_at = -1e9",
        "ceilings",
        make_scenario(
            *REPEATED_RESTARTS, heavy=0.9, plan={**TIGHT_CEILING_PLAN, "burst": 48.0, "ceiling": 0.5}
        ),
    ),
    PlantedFault(
        "a gateway that is told to end does so at once",
        "hillmux/net/shutdown.py",
        "        self._loop.call_later(ACCEPT_GRACE_S, self.stop_accepting)",
        "        self.done.set()",
        "answered",
        make_scenario(*ROLLING_RESTART, booking={**BOOK, "work_ms": 200}),
    ),
    PlantedFault(
        "a count is told again at each reply",
        QUOTAS,
        "        state.reported += amount\n        state.call_amount",
        "        state.call_amount",
        "units",
        make_scenario(*ONE_SLOW_HOST),
    ),
    PlantedFault(
        "a gateway that is told to end never does",
        "hillmux/net/shutdown.py",
        "        if self._listener.close_idle() or self._loop.time() > self._flush_until:",
        "        if False:",
        "exits",
        make_scenario(*TERMINATED_GATEWAY),
    ),
    PlantedFault(
        "a gateway takes long to start",
        "hillmux/__main__.py",
        "    gateway.start()",
        "    await asyncio.sleep(10.5)\n    gateway.start()",
        "restarts",
        make_scenario(*RESTARTED_GATEWAY),
    ),
    PlantedFault(
        "a client that halts in the middle of a head is left alone",
        "hillmux/net/client_timeouts.py",
        "HEAD_TIMEOUT_S: Final = 2.6",
        "HEAD_TIMEOUT_S: Final = 26.0",
        "unruly",
        make_scenario(*ONE_SLOW_HOST, length_s=9.0, unruly_per_s=20.0),
    ),
)


def tree_with(fault: PlantedFault, folder: Path) -> Path:
    """Copy the package to `folder` and plant one fault in it; returns `folder`.

    Raises:
        SystemExit: a text to replace does not occur exactly once.
    """
    shutil.copytree(ROOT / "hillmux", folder / "hillmux", ignore=shutil.ignore_patterns("__pycache__"))
    for file, line, replacement in ((fault.file, fault.line, fault.replacement), *fault.backup_guards):
        path = folder / file
        text = path.read_text(encoding="utf-8")
        if text.count(line) != 1:
            raise SystemExit(f"{fault.name}: {file} has the line {text.count(line)} times, not once")
        path.write_text(text.replace(line, replacement), encoding="utf-8")
    return folder


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.split("\n", maxsplit=1)[0])
    parser.add_argument("--only", default="", help="play only what has this in its name")
    args = parser.parse_args()
    missed = 0
    with tempfile.TemporaryDirectory() as out:
        for number, fault in enumerate(p for p in PLANTED_FAULTS if args.only in p.name):
            verdicts = {}
            for tree_name in ("as it is", "planted"):
                folder = Path(out) / f"{number}-{tree_name.replace(' ', '-')}"
                tree = ROOT if tree_name == "as it is" else tree_with(fault, Path(out) / f"tree-{number}")
                scenario = fault.scenario.model_copy(
                    update={"hold": fault.scenario.hold.model_copy(update={"rules": (fault.rule,)})}
                )
                verdicts[tree_name] = play(scenario, folder, tree).verdicts[0]
            found = verdicts["planted"].status() == "broken" and verdicts["as it is"].status() == "held"
            missed += not found
            print(
                f"{'found ' if found else 'MISSED'}  {fault.rule:9} {fault.name}: "
                f"{verdicts['as it is'].status()} of {verdicts['as it is'].exercised}, "
                f"planted: {verdicts['planted'].broken} broken of {verdicts['planted'].exercised}",
                flush=True,
            )
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
