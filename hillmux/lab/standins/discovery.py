"""The discovery agent beside one gateway: versions, watches that wait, news that come late, silence."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Any

import orjson

from hillmux.lab.clock import Clock
from hillmux.lab.links import Door, Link, Wire
from hillmux.lab.record import Note
from hillmux.lab.standins.http import Asked, Line, Owner, message

MOST_KEPT = 4096  # changes that a watch may ask for; an older one gets the whole list
LONGEST_MS = 60_000.0
SILENT_TOLD_MS = 6000.0
MOVED_MS = 500.0
Entry = dict[str, Any]


class Agent(Owner):
    """Answers at once with what it has been sent. It lives on as its gateway dies and starts."""

    def __init__(
        self,
        clock: Clock,
        loop: asyncio.AbstractEventLoop,
        link: Link,
        note: Note,
        entries: list[Entry],
    ) -> None:
        self.name, self._clock, self._note = link.a, clock, note
        self.version = 1
        self.entries = {entry["instanceId"]: entry for entry in entries}
        self._changes: deque[tuple[int, Entry]] = deque(maxlen=MOST_KEPT)
        self._watches: list[tuple[Asked, int]] = []
        self._held: list[Asked] = []
        self.silent = False
        self.ahead_ms = 0.0  # of the gateway's clock: what it is told of starts is off by so much
        self._silent_at = 0.0
        self._untold: list[Entry] = []
        self._sent_until = 0.0
        self.doors = [Door(link, self._came_up, loop) for _ in range(2)]  # two addresses, one open
        self._lines: dict[Line, Door] = {}
        self._at = 0

    @property
    def door(self) -> Door:
        """Where it listens."""
        return self.doors[self._at]

    def _came_up(self, wire: Wire) -> Line:
        line = Line(wire, self)
        self._lines[line] = self.door
        return line

    def move(self) -> None:
        """Listen at the other address from now on; the old one ends when its callers have been told."""
        old = self.door
        self._at = 1 - self._at
        self.door.open()
        self._clock.after(MOVED_MS, self._leave, old)

    def _leave(self, old: Door) -> None:
        old.close()
        for line in [line for line, door in self._lines.items() if door is old]:
            line.wire.reset()

    def listing(self, entries: list[Entry], whole: bool) -> Entry:
        """A list in discovery's form."""
        return {"generation": self.version, "reset": whole, "instances": entries}

    def send(self, entry: Entry, late_ms: float) -> None:
        """News for this agent, which come late, and in their order."""
        self._sent_until = max(self._sent_until, self._clock.now + late_ms)
        self._clock.at(self._sent_until, self._sent, entry)

    def _sent(self, entry: Entry) -> None:
        self.version += 1
        if entry["lifecycle"] == "gone":
            self.entries.pop(entry["instanceId"], None)
        else:
            self.entries[entry["instanceId"]] = entry
        self._changes.append((self.version, entry))
        if self.silent:
            # What a silent watch misses counts as told so long after it fell silent, or when it speaks again.
            self._untold.append(entry)
            self._clock.at(max(self._silent_at + SILENT_TOLD_MS, self._clock.now), self._count_as_told, entry)
        else:
            self._note_told(entry)
        self._answer_watches()

    def _note_told(self, entry: Entry) -> None:
        """What the agent has counts as told: the rules on drains and cold hosts reckon from here."""
        self._note(
            self.name,
            "told",
            host=entry["instanceId"],
            state=entry["lifecycle"],
            started=entry["startedAtMs"],
        )

    def _count_as_told(self, entry: Entry) -> None:
        if any(untold is entry for untold in self._untold):
            self._untold = [untold for untold in self._untold if untold is not entry]
            self._note_told(entry)

    def forget(self) -> None:
        """Discovery is back from nothing: version 1, and the whole list."""
        self.version, self._changes = 1, deque(maxlen=MOST_KEPT)
        self._answer_watches(whole=True)

    def silence(self, on: bool) -> None:
        """Say nothing; what is asked meanwhile is answered when that ends."""
        if on and not self.silent:
            self._silent_at = self._clock.now
        self.silent = on
        if not on:
            untold, self._untold = self._untold, []
            for entry in untold:
                self._note_told(entry)
            held, self._held = self._held, []
            for asked in held:
                self.asked(asked)
            self._answer_watches()

    def asked(self, asked: Asked) -> None:
        """Answer with the list or its changes, or hold a watch for `wait_ms`; 404 on another path."""
        if asked.path != "/v1/endpoints":
            asked.reply(message(404))
        elif self.silent:
            self._held.append(asked)
        elif "after" not in asked.query:
            self._write(asked, list(self.entries.values()), True)
        else:
            after = int(asked.query["after"])
            if after != self.version:
                self._news(asked, after)
                return
            self._watches.append((asked, after))
            wait_ms = min(float(asked.query.get("wait_ms", 0)), LONGEST_MS)
            self._clock.after(wait_ms, self._waited, asked)

    def gone(self, line: Line) -> None:
        """Drop the watches and held requests of a connection that is over."""
        self._lines.pop(line, None)
        self._watches = [(a, after) for a, after in self._watches if a.line is not line]
        self._held = [a for a in self._held if a.line is not line]

    def _waited(self, asked: Asked) -> None:
        if any(a is asked for a, _ in self._watches) and not self.silent:
            self._watches = [(a, after) for a, after in self._watches if a is not asked]
            self._write(asked, [], False)

    def _answer_watches(self, whole: bool = False) -> None:
        if self.silent:
            return
        watches, self._watches = self._watches, []
        for asked, after in watches:
            self._news(asked, -1 if whole else after)

    def _news(self, asked: Asked, after: int) -> None:
        first = self._changes[0][0] if self._changes else self.version + 1
        if after > self.version or after < first - 1:
            self._write(asked, list(self.entries.values()), True)
            return
        latest = {entry["instanceId"]: entry for version, entry in self._changes if version > after}
        self._write(asked, list(latest.values()), False)

    def _write(self, asked: Asked, entries: list[Entry], whole: bool) -> None:
        self._note(self.name, "list", whole=whole, count=len(entries))
        if self.ahead_ms:
            entries = [
                {**e, "startedAtMs": round(e["startedAtMs"] + self.ahead_ms)} if e["startedAtMs"] else e
                for e in entries
            ]
        asked.reply(message(200, orjson.dumps(self.listing(entries, whole))))
