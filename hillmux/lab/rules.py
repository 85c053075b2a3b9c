"""The checkers of the rules, by the name of the rule. Free of I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from hillmux.lab import checks, lifecycle_checks
from hillmux.lab.checks import Criteria, Event, Verdict

CHECKERS: dict[str, Callable[[list[Event], Criteria], Verdict]] = {
    "answered": lambda events, criteria: checks.answered(events, criteria.judge_times),
    "effects": lambda events, criteria: checks.effects(events),
    "drains": lambda events, criteria: checks.drains(events, criteria.drain_grace_ms),
    "cold": lambda events, criteria: checks.cold(events, criteria.fall_ms),
    "ceilings": lambda events, criteria: checks.ceilings(events, criteria.ceilings),
    "units": lambda events, criteria: checks.units(events),
    "datagrams": lambda events, criteria: checks.datagrams(events),
    "exits": lambda events, criteria: lifecycle_checks.exits(events, criteria.earliest_kill_ms),
    "restarts": lambda events, criteria: lifecycle_checks.restarts(events),
    "departures": lambda events, criteria: lifecycle_checks.departures(events, criteria.judge_times),
    "unruly": lambda events, criteria: lifecycle_checks.unruly(events, criteria.judge_times),
}

# Judged only where a scenario lists them: most runs have no event that exercises them.
OPTIONAL_RULES = ("datagrams", "exits", "restarts", "departures", "unruly")


def judge(events: list[Event], criteria: Criteria, rules: Iterable[str]) -> list[Verdict]:
    """Return the verdicts of the named rules, in their order.

    Raises:
        KeyError: a rule is not in CHECKERS.
    """
    return [CHECKERS[rule](events, criteria) for rule in rules]
