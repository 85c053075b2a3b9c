"""The record of a run: what each actor saw, as JSON lines with one clock, a file for each process.

An event is an object with `t` (milliseconds of the machine's monotonic clock), `who` (the actor), `ev` (what
happened) and fields of its kind, which `checks` names where it reads them.
"""

from __future__ import annotations

import heapq
import os
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import Any

import orjson

from hillmux.lab.checks import Event

Note = Callable[..., None]  # who, what happened, fields by name
AT_ONCE = 1 << 16  # bytes held back before a write: a write for each event would slow the actors
MOST_BYTES = 1 << 30  # a run that would fill the disk stops being recorded, and says so


class Recorder:
    """One process's part of a record."""

    def __init__(self, path: Path, clock: Callable[[], float]) -> None:
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o644)
        self._clock, self._held, self._written = clock, bytearray(), 0
        self.full = False

    def __call__(self, who: str, ev: str, **fields: Any) -> None:
        """Note one event, now."""
        if self.full:
            return
        self._held += orjson.dumps({"t": self._clock(), "who": who, "ev": ev, **fields}) + b"\n"
        if len(self._held) >= AT_ONCE:
            self.flush()

    def flush(self) -> None:
        """Write what is held back."""
        if self._written + len(self._held) > MOST_BYTES:
            self.full = True
            self._held = bytearray(orjson.dumps({"t": self._clock(), "who": "record", "ev": "cut"}) + b"\n")
        while self._held:
            count = os.write(self._file, self._held)
            self._written += count
            del self._held[:count]

    def close(self) -> None:
        """Write the rest."""
        self.flush()
        os.close(self._file)


def free_folder(out: Path, name: str) -> Path:
    """The first folder of this name and a number that does not exist."""
    serial = 1
    while (out / f"{name}-{serial}").exists():
        serial += 1
    return out / f"{name}-{serial}"


def _lines(path: Path) -> Iterator[Event]:
    with path.open("rb") as file:
        for line in file:
            if line.endswith(b"\n"):  # the last one of a process that was killed may be torn
                yield orjson.loads(line)


def read(folder: Path) -> Iterator[Event]:
    """All events of a run, in the order of their times."""
    return merge(_lines(path) for path in sorted(folder.glob("*.jsonl")))


def merge(parts: Iterable[Iterable[Event]]) -> Iterator[Event]:
    """Parts that are each in order, as one that is."""
    return heapq.merge(*parts, key=lambda event: event["t"])


def follow(events: Iterable[Event], rid: str) -> list[Event]:
    """What happened to one request: to each try of the first one that it belongs to, at every actor."""
    held = list(events)
    first = next((e["first"] for e in held if e.get("rid") == rid and "first" in e), rid)
    tries = {e["rid"] for e in held if e.get("first") == first} | {first, rid}
    return [e for e in held if e.get("rid") in tries]
