"""The discovery agent beside one gateway: versions, watches that wait, news that come late, silence."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Any

import orjson

from hillmux.lab.clock import Clock
from hillmux.lab.links import EmulatedConnection, EmulatedLink, GatedListener
from hillmux.lab.record import Note
from hillmux.lab.standins.http import ReceivedRequest, RequestHandler, ServerConnection, response_bytes

MAX_KEPT_CHANGES = 4096  # changes that a watch may ask for; an older one gets the whole list
MAX_WATCH_MS = 60_000.0
SILENT_CHANGE_KNOWN_AFTER_MS = 6000.0
OLD_ADDRESS_CLOSES_AFTER_MS = 500.0
Entry = dict[str, Any]


class DiscoveryStandIn(RequestHandler):
    """Answers at once with what it has been sent. It lives on as its gateway dies and starts."""

    def __init__(
        self,
        clock: Clock,
        loop: asyncio.AbstractEventLoop,
        link: EmulatedLink,
        note: Note,
        entries: list[Entry],
    ) -> None:
        self.name, self._clock, self._note = link.a, clock, note
        self.version = 1
        self.entries = {entry["instanceId"]: entry for entry in entries}
        self._changes: deque[tuple[int, Entry]] = deque(maxlen=MAX_KEPT_CHANGES)
        self._watches: list[tuple[ReceivedRequest, int]] = []
        self._held_requests: list[ReceivedRequest] = []
        self.silent = False
        self.ahead_ms = 0.0  # of the gateway's clock: what it is told of starts is off by so much
        self._silent_at = 0.0
        self._unreported: list[Entry] = []
        self._last_arrival_ms = 0.0
        self.listeners = [
            GatedListener(link, self._connection_opened, loop) for _ in range(2)
        ]  # two addresses, one open
        self._connections: dict[ServerConnection, GatedListener] = {}
        self._active = 0

    @property
    def listener(self) -> GatedListener:
        """Where it listens."""
        return self.listeners[self._active]

    def _connection_opened(self, transport: EmulatedConnection) -> ServerConnection:
        connection = ServerConnection(transport, self)
        self._connections[connection] = self.listener
        return connection

    def change_address(self) -> None:
        """Listen at the other address from now on; the old one ends when its callers have been told."""
        old = self.listener
        self._active = 1 - self._active
        self.listener.open()
        self._clock.after(OLD_ADDRESS_CLOSES_AFTER_MS, self._close_old_address, old)

    def _close_old_address(self, old: GatedListener) -> None:
        if old is self.listener:
            return  # it has moved back since
        old.close()
        for connection in [
            connection for connection, listener in self._connections.items() if listener is old
        ]:
            connection.transport.reset()

    def listing(self, entries: list[Entry], whole: bool) -> Entry:
        """A list in discovery's form."""
        return {"generation": self.version, "reset": whole, "instances": entries}

    def send(self, entry: Entry, late_ms: float) -> None:
        """News for this agent, which come late, and in their order."""
        self._last_arrival_ms = max(self._last_arrival_ms, self._clock.now + late_ms)
        self._clock.at(self._last_arrival_ms, self._change_arrived, entry)

    def _change_arrived(self, entry: Entry) -> None:
        self.version += 1
        if entry["lifecycle"] == "gone":
            self.entries.pop(entry["instanceId"], None)
        else:
            self.entries[entry["instanceId"]] = entry
        self._changes.append((self.version, entry))
        if self.silent:
            # What a silent watch misses counts as told so long after it fell silent, or when it speaks again.
            self._unreported.append(entry)
            self._clock.at(
                max(self._silent_at + SILENT_CHANGE_KNOWN_AFTER_MS, self._clock.now),
                self._record_if_unreported,
                entry,
            )
        else:
            self._record_change(entry)
        self._answer_watches()

    def _record_change(self, entry: Entry) -> None:
        """What the agent has counts as told: the rules on drains and cold hosts reckon from here."""
        self._note(
            self.name,
            "told",
            host=entry["instanceId"],
            state=entry["lifecycle"],
            started=entry["startedAtMs"],
        )

    def _record_if_unreported(self, entry: Entry) -> None:
        if any(untold is entry for untold in self._unreported):
            self._unreported = [untold for untold in self._unreported if untold is not entry]
            self._record_change(entry)

    def forget(self) -> None:
        """Discovery is back from nothing: version 1, and the whole list."""
        self.version, self._changes = 1, deque(maxlen=MAX_KEPT_CHANGES)
        self._answer_watches(whole=True)

    def silence(self, on: bool) -> None:
        """Say nothing; requests are held and answered when that ends."""
        if on and not self.silent:
            self._silent_at = self._clock.now
        self.silent = on
        if not on:
            untold, self._unreported = self._unreported, []
            for entry in untold:
                self._record_change(entry)
            held, self._held_requests = self._held_requests, []
            for request in held:
                self.handle_request(request)
            self._answer_watches()

    def handle_request(self, request: ReceivedRequest) -> None:
        """Answer with the list or its changes, or hold a watch for `wait_ms`; 404 on another path."""
        if request.path != "/v1/endpoints":
            request.respond(response_bytes(404))
        elif self.silent:
            self._held_requests.append(request)
        elif "after" not in request.query:
            self._write(request, list(self.entries.values()), True)
        else:
            after = int(request.query["after"])
            if after != self.version:
                self._write_changes(request, after)
                return
            self._watches.append((request, after))
            wait_ms = min(float(request.query.get("wait_ms", 0)), MAX_WATCH_MS)
            self._clock.after(wait_ms, self._watch_timed_out, request)

    def connection_closed(self, connection: ServerConnection) -> None:
        """Drop the watches and held requests of a connection that is over."""
        self._connections.pop(connection, None)
        self._watches = [(a, after) for a, after in self._watches if a.connection is not connection]
        self._held_requests = [a for a in self._held_requests if a.connection is not connection]

    def _watch_timed_out(self, request: ReceivedRequest) -> None:
        if any(a is request for a, _ in self._watches) and not self.silent:
            self._watches = [(a, after) for a, after in self._watches if a is not request]
            self._write(request, [], False)

    def _answer_watches(self, whole: bool = False) -> None:
        if self.silent:
            return
        watches, self._watches = self._watches, []
        for request, after in watches:
            self._write_changes(request, -1 if whole else after)

    def _write_changes(self, request: ReceivedRequest, after: int) -> None:
        first = self._changes[0][0] if self._changes else self.version + 1
        if after > self.version or after < first - 1:
            self._write(request, list(self.entries.values()), True)
            return
        latest = {entry["instanceId"]: entry for version, entry in self._changes if version > after}
        self._write(request, list(latest.values()), False)

    def _write(self, request: ReceivedRequest, entries: list[Entry], whole: bool) -> None:
        self._note(self.name, "list", whole=whole, count=len(entries))
        if self.ahead_ms:
            entries = [
                {**e, "startedAtMs": round(e["startedAtMs"] + self.ahead_ms)} if e["startedAtMs"] else e
                for e in entries
            ]
        request.respond(response_bytes(200, orjson.dumps(self.listing(entries, whole))))
