"""What a decision module remembers, and for how long each item may be believed by the process after it.

Theory of operation. A process that ends leaves documents behind (`handover.state`). Handed over while both
run, or sealed at the end of a drain, they are exact: nothing was decided after them. A process that was
killed decided more after its last snapshot, and nobody knows what. So each item says two things: how long it
holds after an exact end, and how long after a snapshot that the process may have overtaken. Past that it is
what a fresh module begins with, which is the side that can do no harm: a ceiling that is empty, a host that
is tried as any other, a fraction of 1.

Every field that the documents have belongs to exactly one item; a test holds that, so a field that is added
is not forgotten here. Free of I/O; times in milliseconds of Unix time.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from hillmux.hot_restart import state_codec as state

FOREVER = math.inf
NEVER = 0.0
SLOW_HALF_MS = 10_000.0  # a host's pace drifts back to that of the others by half in so long


@dataclass(slots=True, frozen=True)
class Item:
    """One thing that is remembered."""

    name: str
    where: str  # which part of the documents: scalars, host, use, cell, head or sketch
    fields: tuple[str, ...]
    exact_ms: float  # how long it is believed after an end at which nothing was lost
    loose_ms: float  # and after a snapshot that the process went on after
    fresh: dict[str, Any]  # what stands in its place
    guards: str  # the harm


ITEMS: tuple[Item, ...] = (
    Item(
        "birth", "scalars", ("born",), FOREVER, NEVER, {},
        "ceilings and splits are earned from it on: an old one would give all of them back at once",
    ),
    Item(
        "pressure", "scalars", ("q", "f", "q_sum", "q_n", "q_seen", "lost", "done", "done_rate"),
        5_000, 2_000,
        {"q": 0.0, "f": 1.0, "q_sum": 0.0, "q_n": 0, "q_seen": 0, "lost": 0.0, "done": 0.0, "done_rate": 0.0},
        "an old fraction refuses a calm fleet",
    ),
    Item(
        "usual outcomes", "scalars", ("ok_q",), 600_000, 600_000, {"ok_q": 0.0},
        "none: it is a prior that outcomes correct",
    ),
    Item(
        "retry bank", "scalars", ("bank",), FOREVER, NEVER, {"bank": 0.0},
        "a fleet that has just come back would spend all its saved retries at once",
    ),
    Item(
        "counter", "scalars", ("heard", "call_at"), 5_000, 2_000, {"heard": 1.0, "call_at": 0.0},
        "a counter that was silent then may answer now; one that was well may be gone",
    ),
    Item(
        "usual latency", "head", ("latency", "warm_rate"), 600_000, 600_000,
        {"latency": {}, "warm_rate": 0.0},
        "none for minutes: priors that outcomes correct; after a release they are another program's",
    ),
    Item(
        "seen plans", "head", ("asked_at",), 120_000, 120_000, {"asked_at": {}},
        "none: it says when a plan was last asked for",
    ),
    Item(
        "cell worths", "cell", ("value", "work"), 60_000, 60_000, {"value": 0.0, "work": 0.0},
        "the mix of classes changes with the hour",
    ),
    Item(
        "cell fraction", "cell", ("f", "r"), 5_000, 2_000, {"f": 1.0, "r": 0.0},
        "an old fraction refuses a calm fleet",
    ),
    Item(
        "start of a host", "host", ("born", "cold_from_ms"), FOREVER, FOREVER, {},
        "none: a later start that the list tells goes before it, and warmth is never remembered, only starts",
    ),
    Item(
        "health", "host", ("strikes", "fails", "down_until", "died"), 30_000, 10_000,
        {"strikes": 0, "fails": 0, "down_until": 0.0, "died": False},
        "a host that failed once would rest though it is well",
    ),
    Item(
        "slowness", "host", ("slow",), 60_000, 60_000, {"slow": 1.0},
        "a host that was slow would be passed over for good: it drifts back to 1",
    ),
    Item(
        "cold budget", "host", ("credit", "credit_at"), FOREVER, NEVER, {"credit": 0.0},
        "what was sent after the snapshot would be sent to a cold host once more",
    ),
    Item(
        "customer", "use", ("width", "widest", "window", "seen", "luck"), 120_000, 120_000, {},
        "none: a set and a window are named anew by the next request",
    ),
    Item(
        "use by others", "use", ("others",), 30_000, 10_000, {},
        "customers would be refused for what others used long ago",
    ),
    Item(
        "count", "use",
        ("own", "added", "base", "base_own", "base_use", "base_at", "base_left", "most", "left", "left_at"),
        FOREVER, NEVER,
        {"own": 0.0, "added": 0.0, "base": None, "base_own": 0.0, "base_use": 0.0, "left": 0.0},
        "units told since would be told twice, and what was spent since would be spent once more",
    ),
    Item(
        "ceiling", "use", ("ceiling", "ceiling_at"), FOREVER, NEVER, {"ceiling": 0.0},
        "what was spent since would be spent once more: a restart may only lose of a ceiling",
    ),
    Item(
        "early forgotten", "sketch", ("text",), FOREVER, FOREVER, {},
        "none: it only says that a ceiling began to fill later than at our birth",
    ),
)  # fmt: skip
# A customer unseen for so long before a snapshot that may be overtaken has nothing in it that is believed.
SEEN_MS = next(item.loose_ms for item in ITEMS if item.name == "use by others")


def worth_leaving(seen_ms: float, rest_ms: float, now_ms: float, exact: bool) -> bool:
    """Whether a customer last seen then goes into a snapshot.

    Unseen for its plan's rest it is known no better than a new one; in a snapshot that may be overtaken
    nothing of it is believed after `SEEN_MS`.
    """
    return now_ms - seen_ms < (rest_ms if exact else SEEN_MS)


class BeliefError(ValueError):
    """Documents that have not the form that they are left in."""


def believed(
    documents: Iterable[dict[str, Any]], taken_ms: float, exact: bool, now_ms: float, born_ms: float
) -> list[dict[str, Any]]:
    """The documents as a process may go on from them that began at `born_ms`; nothing in them is changed.

    `exact`: nothing was decided after they were taken. The form is that which `handover.state.restore` reads.

    Raises:
        BeliefError: they have another form.
    """
    age = max(now_ms - taken_ms, 0.0)
    stale = [item for item in ITEMS if age >= (item.exact_ms if exact else item.loose_ms)]
    fresh = {"scalars": {"born": born_ms}, "host": {"credit_at": now_ms}} | {"use": _fresh_use(now_ms)}
    gone: dict[str, dict[str, Any]] = {}
    for item in stale:
        values = {name: fresh.get(item.where, {}).get(name, item.fresh.get(name)) for name in item.fields}
        kept = {name: value for name, value in values.items() if value is not None or name == "base"}
        gone.setdefault(item.where, {}).update(kept)
    try:
        return [_aged(document, gone, age) for document in documents]
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise BeliefError(f"documents: {type(error).__name__}: {error}") from None


def _fresh_use(now_ms: float) -> dict[str, Any]:
    """Moments of a customer's use that begin now."""
    return {"left_at": now_ms, "base_at": now_ms, "ceiling_at": now_ms}


def _aged(document: dict[str, Any], gone: dict[str, dict[str, Any]], age: float) -> dict[str, Any]:
    kind, aged = document.get("t"), dict(document)
    if kind == state.MODULE:
        aged["scalars"] = {**document["scalars"], **gone.get("scalars", {})}
        aged.update(gone.get("head", {}))
        cell = gone.get("cell", {})
        names = ("value", "work", "f", "r")
        aged["cells"] = [[*row[:2], *_row(names, row[2:], cell)] for row in document["cells"]]
    elif kind == state.HOSTS:
        host = gone.get("host", {})
        at = state.HOST.index("slow")
        rows = {}
        for name, row in document["hosts"].items():
            kept = _row(state.HOST, row, host)
            kept[at] = 1.0 + (kept[at] - 1.0) * 0.5 ** (age / SLOW_HALF_MS)
            rows[name] = kept
        aged["hosts"] = rows
    elif kind == state.CUSTOMERS:
        use = gone.get("use", {})
        aged["uses"] = [[*row[:2], *_row(state.USE, row[2:], use)] for row in document["uses"]]
    return aged


def _row(names: tuple[str, ...], row: list[Any], gone: dict[str, Any]) -> list[Any]:
    return [gone.get(name, value) for name, value in zip(names, row, strict=True)]
