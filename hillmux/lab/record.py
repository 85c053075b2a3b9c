"""The record of a run: the events seen by each actor, as JSON lines on one clock, in a file for each process.

An event is an object with `t` (milliseconds of the machine's monotonic clock), `who` (the actor), `ev` (the
kind of event) and the fields of that kind. The module `checks` shows the fields that the rules use.
"""

from __future__ import annotations

import heapq
import os
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import Any

import orjson

from hillmux.lab.checks import Event

Note = Callable[..., None]  # (actor, kind of event, **fields)
WRITE_BUFFER_BYTES = 1 << 16  # events are written in blocks: a write for each event would slow the actors
MAX_RECORD_BYTES = 1 << 30  # protects the disk: beyond this the record ends with a `cut` event


class Recorder:
    """Writes the events of one process to its file.

    Attributes:
        full: the file reached MAX_RECORD_BYTES; further events are dropped.
    """

    def __init__(self, path: Path, clock: Callable[[], float]) -> None:
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o644)
        self._clock, self._buffer, self._written = clock, bytearray(), 0
        self.full = False

    def __call__(self, who: str, ev: str, **fields: Any) -> None:
        """Record one event at the current time; it may stay in the buffer until `flush`."""
        if self.full:
            return
        self._buffer += orjson.dumps({"t": self._clock(), "who": who, "ev": ev, **fields}) + b"\n"
        if len(self._buffer) >= WRITE_BUFFER_BYTES:
            self.flush()

    def flush(self) -> None:
        """Write the buffered events; beyond MAX_RECORD_BYTES, drop them and write a `cut` event instead."""
        if self._written + len(self._buffer) > MAX_RECORD_BYTES:
            self.full = True
            self._buffer = bytearray(orjson.dumps({"t": self._clock(), "who": "record", "ev": "cut"}) + b"\n")
        while self._buffer:
            count = os.write(self._file, self._buffer)
            self._written += count
            del self._buffer[:count]

    def close(self) -> None:
        """Write the buffered events and close the file."""
        self.flush()
        os.close(self._file)


def free_folder(out: Path, name: str) -> Path:
    """Return the first path `out/name-1`, `out/name-2`, ... that does not exist."""
    serial = 1
    while (out / f"{name}-{serial}").exists():
        serial += 1
    return out / f"{name}-{serial}"


def _lines(path: Path) -> Iterator[Event]:
    with path.open("rb") as file:
        for line in file:
            if line.endswith(b"\n"):  # a killed process may leave an incomplete last line
                yield orjson.loads(line)


def read(folder: Path) -> Iterator[Event]:
    """Yield all events of a run, in the order of their times."""
    return merge(_lines(path) for path in sorted(folder.glob("*.jsonl")))


def merge(parts: Iterable[Iterable[Event]]) -> Iterator[Event]:
    """Merge parts that are each sorted by time into one sorted sequence."""
    return heapq.merge(*parts, key=lambda event: event["t"])


def follow(events: Iterable[Event], rid: str) -> list[Event]:
    """Return the events of a request, its first request and all retries of it, from every actor."""
    all_events = list(events)
    first_id = next((e["first"] for e in all_events if e.get("rid") == rid and "first" in e), rid)
    request_ids = {e["rid"] for e in all_events if e.get("first") == first_id} | {first_id, rid}
    return [e for e in all_events if e.get("rid") in request_ids]
