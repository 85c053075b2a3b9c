"""The rules that a record may be judged by, by name. Free of I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from hillmux.lab import checks, lifecycle_checks
from hillmux.lab.checks import Event, Terms, Verdict

CHECKERS: dict[str, Callable[[list[Event], Terms], Verdict]] = {
    "answered": lambda events, terms: checks.answered(events, terms.timed),
    "effects": lambda events, terms: checks.effects(events),
    "drains": lambda events, terms: checks.drains(events, terms.drain_grace_ms),
    "cold": lambda events, terms: checks.cold(events, terms.fall_ms),
    "ceilings": lambda events, terms: checks.ceilings(events, terms.ceilings),
    "units": lambda events, terms: checks.units(events),
    "datagrams": lambda events, terms: checks.datagrams(events),
    "exits": lambda events, terms: lifecycle_checks.exits(events, terms.earliest_kill_ms),
    "restarts": lambda events, terms: lifecycle_checks.restarts(events),
    "departures": lambda events, terms: lifecycle_checks.departures(events, terms.timed),
    "unruly": lambda events, terms: lifecycle_checks.unruly(events, terms.timed),
}

# Judged where a scenario names them: most runs have nothing that exercises them.
OPTIONAL_RULES = ("datagrams", "exits", "restarts", "departures", "unruly")


def judge(events: list[Event], terms: Terms, rules: Iterable[str]) -> list[Verdict]:
    """The verdicts of the named rules."""
    return [CHECKERS[rule](events, terms) for rule in rules]
