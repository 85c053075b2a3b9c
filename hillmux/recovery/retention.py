"""Which parts of a decision module's state the next process may restore, and for how long.

A process leaves its state as documents (`hot_restart.state_codec`). After a hot restart, or a graceful
shutdown that wrote a final snapshot, they are exact: no decision was taken after them. A process that was
killed took unknown decisions after its last snapshot. So each rule states two retention times: one after a
clean exit, one after a crash. An expired part is replaced by the value of a fresh module, which is the safe
default: an empty ceiling, a host without a record, an admit fraction of 1.

Every field of the documents belongs to exactly one rule; a test checks it, so that no new field is left out.
Free of I/O; times are Unix time in ms.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from hillmux.hot_restart import state_codec

FOREVER = math.inf
NEVER = 0.0
LATENCY_RATIO_HALF_LIFE_MS = 10_000.0  # a host's latency ratio decays towards 1


class Section(StrEnum):
    """The part of the documents that a rule's fields belong to."""

    SCALARS = "scalars"
    HEAD = "head"
    CELL = "cell"
    HOST = "host"
    USE = "use"
    SKETCH = "sketch"


@dataclass(slots=True, frozen=True)
class RetentionRule:
    """How long certain fields of the state may be restored."""

    name: str
    section: Section
    fields: tuple[str, ...]
    after_clean_exit_ms: float
    after_crash_ms: float
    defaults: dict[str, Any]  # values of expired fields, except times, which are set to the current time
    risk: str  # the risk of restoring the fields for longer, as shown to operators


RETENTION_RULES: tuple[RetentionRule, ...] = (
    RetentionRule(
        "birth", Section.SCALARS, ("born",), FOREVER, NEVER, {},
        "ceilings and splits are earned from it on: an old one would give all of them back at once",
    ),
    RetentionRule(
        "pressure", Section.SCALARS, ("q", "f", "q_sum", "q_n", "q_seen", "lost", "done", "done_rate"),
        5_000, 2_000,
        {"q": 0.0, "f": 1.0, "q_sum": 0.0, "q_n": 0, "q_seen": 0, "lost": 0.0, "done": 0.0, "done_rate": 0.0},
        "an old fraction refuses a calm fleet",
    ),
    RetentionRule(
        "usual outcomes", Section.SCALARS, ("ok_q",), 600_000, 600_000, {"ok_q": 0.0},
        "none: it is a prior that outcomes correct",
    ),
    RetentionRule(
        "retry bank", Section.SCALARS, ("bank",), FOREVER, NEVER, {"bank": 0.0},
        "a fleet that has just come back would spend all its saved retries at once",
    ),
    RetentionRule(
        "counter", Section.SCALARS, ("heard", "call_at"), 5_000, 2_000, {"heard": 1.0, "call_at": 0.0},
        "a counter that was silent then may answer now; one that was well may be gone",
    ),
    RetentionRule(
        "usual latency", Section.HEAD, ("latency", "warm_rate"), 600_000, 600_000,
        {"latency": {}, "warm_rate": 0.0},
        "none for minutes: priors that outcomes correct; after a release they are another program's",
    ),
    RetentionRule(
        "seen plans", Section.HEAD, ("asked_at",), 120_000, 120_000, {"asked_at": {}},
        "none: it says when a plan was last asked for",
    ),
    RetentionRule(
        "cell worths", Section.CELL, ("value", "work"), 60_000, 60_000, {"value": 0.0, "work": 0.0},
        "the mix of classes changes with the hour",
    ),
    RetentionRule(
        "cell fraction", Section.CELL, ("f", "r"), 5_000, 2_000, {"f": 1.0, "r": 0.0},
        "an old fraction refuses a calm fleet",
    ),
    RetentionRule(
        "start of a host", Section.HOST, ("born", "cold_from_ms"), FOREVER, FOREVER, {},
        "none: a later start that the list tells goes before it, and warmth is never remembered, only starts",
    ),
    RetentionRule(
        "health", Section.HOST, ("strikes", "fails", "down_until", "died"), 30_000, 10_000,
        {"strikes": 0, "fails": 0, "down_until": 0.0, "died": False},
        "a host that failed once would rest though it is well",
    ),
    RetentionRule(
        "slowness", Section.HOST, ("slow",), 60_000, 60_000, {"slow": 1.0},
        "a host that was slow would be passed over for good: it drifts back to 1",
    ),
    RetentionRule(
        "cold budget", Section.HOST, ("credit", "credit_at"), FOREVER, NEVER, {"credit": 0.0},
        "what was sent after the snapshot would be sent to a cold host once more",
    ),
    RetentionRule(
        "customer", Section.USE, ("width", "widest", "window", "seen", "luck"), 120_000, 120_000, {},
        "none: a set and a window are named anew by the next request",
    ),
    RetentionRule(
        "use by others", Section.USE, ("others",), 30_000, 10_000, {},
        "customers would be refused for what others used long ago",
    ),
    RetentionRule(
        "count", Section.USE,
        ("own", "added", "base", "base_own", "base_use", "base_at", "base_left", "most", "left", "left_at"),
        FOREVER, NEVER,
        {"own": 0.0, "added": 0.0, "base": None, "base_own": 0.0, "base_use": 0.0, "left": 0.0},
        "units told since would be told twice, and what was spent since would be spent once more",
    ),
    RetentionRule(
        "ceiling", Section.USE, ("ceiling", "ceiling_at"), FOREVER, NEVER, {"ceiling": 0.0},
        "what was spent since would be spent once more: a restart may only lose of a ceiling",
    ),
    RetentionRule(
        "early forgotten", Section.SKETCH, ("text",), FOREVER, FOREVER, {},
        "none: it only says that a ceiling began to fill later than at our birth",
    ),
)  # fmt: skip
# A snapshot left by a crash holds no customer that was unseen for this long before it.
MAX_UNSEEN_AFTER_CRASH_MS = next(
    rule.after_crash_ms for rule in RETENTION_RULES if rule.name == "use by others"
)


class SnapshotContentError(ValueError):
    """Documents that do not have the form that `state_codec.export` writes."""


def is_worth_storing(seen_at_ms: float, expiry_ms: float, now_ms: float, exact: bool) -> bool:
    """Whether a snapshot needs a customer last seen at `seen_at_ms`.

    A customer unseen for its plan's `expiry_ms` is equivalent to a new one. `exact`: no decision is taken
    after the snapshot.
    """
    return now_ms - seen_at_ms < (expiry_ms if exact else MAX_UNSEEN_AFTER_CRASH_MS)


def retained(
    documents: Iterable[dict[str, Any]], taken_ms: float, exact: bool, now_ms: float, started_at_ms: float
) -> list[dict[str, Any]]:
    """Return copies of the documents in which expired values are replaced by defaults.

    Args:
        documents: The documents of a snapshot.
        taken_ms: When the snapshot was taken.
        exact: Whether no decision was taken after `taken_ms`.
        now_ms: The current time.
        started_at_ms: The start of the process that restores.

    Raises:
        SnapshotContentError: The documents do not have the form that `state_codec.export` writes.
    """
    age_ms = max(now_ms - taken_ms, 0.0)
    replacements = _replacements(age_ms, exact, now_ms, started_at_ms)
    try:
        return [_retain(document, replacements, age_ms) for document in documents]
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise SnapshotContentError(f"documents: {type(error).__name__}: {error}") from None


def _replacements(
    age_ms: float, exact: bool, now_ms: float, started_at_ms: float
) -> dict[Section, dict[str, Any]]:
    """The values that replace expired fields, by section; a field without such a value is kept."""
    time_defaults: dict[Section, dict[str, Any]] = {
        Section.SCALARS: {"born": started_at_ms},
        Section.HOST: {"credit_at": now_ms},
        Section.USE: {"left_at": now_ms, "base_at": now_ms, "ceiling_at": now_ms},
    }
    replacements: dict[Section, dict[str, Any]] = {section: {} for section in Section}
    for rule in RETENTION_RULES:
        if age_ms < (rule.after_clean_exit_ms if exact else rule.after_crash_ms):
            continue
        values = {**rule.defaults, **time_defaults.get(rule.section, {})}
        replacements[rule.section].update({name: values[name] for name in rule.fields if name in values})
    return replacements


def _retain(
    document: dict[str, Any], replacements: dict[Section, dict[str, Any]], age_ms: float
) -> dict[str, Any]:
    match document.get("t"):
        case state_codec.MODULE:
            return _retain_module(document, replacements)
        case state_codec.HOSTS:
            return {**document, "hosts": _retain_hosts(document["hosts"], replacements[Section.HOST], age_ms)}
        case state_codec.CUSTOMERS:
            rows = [
                [*row[:2], *_replace_values(state_codec.QUOTA_STATE_KEYS, row[2:], replacements[Section.USE])]
                for row in document["uses"]
            ]
            return {**document, "uses": rows}
        case _:
            return dict(document)


def _retain_module(document: dict[str, Any], replacements: dict[Section, dict[str, Any]]) -> dict[str, Any]:
    cell_keys, replaced = ("value", "work", "f", "r"), replacements[Section.CELL]
    return {
        **document,
        "scalars": {**document["scalars"], **replacements[Section.SCALARS]},
        **replacements[Section.HEAD],
        "cells": [[*row[:2], *_replace_values(cell_keys, row[2:], replaced)] for row in document["cells"]],
    }


def _retain_hosts(
    hosts: dict[str, list[Any]], replaced: dict[str, Any], age_ms: float
) -> dict[str, list[Any]]:
    slow_index = state_codec.HOST_KEYS.index("slow")
    rows = {}
    for name, row in hosts.items():
        values = _replace_values(state_codec.HOST_KEYS, row, replaced)
        values[slow_index] = 1.0 + (values[slow_index] - 1.0) * 0.5 ** (age_ms / LATENCY_RATIO_HALF_LIFE_MS)
        rows[name] = values
    return rows


def _replace_values(names: tuple[str, ...], row: list[Any], replaced: dict[str, Any]) -> list[Any]:
    return [replaced.get(name, value) for name, value in zip(names, row, strict=True)]
