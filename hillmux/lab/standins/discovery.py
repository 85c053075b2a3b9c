"""Stand-in for the discovery agent of one gateway: list versions, watches, delayed changes and silence."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Any

import orjson

from hillmux.lab.clock import Clock
from hillmux.lab.links import EmulatedConnection, EmulatedLink, GatedListener
from hillmux.lab.record import Note
from hillmux.lab.standins.http import ReceivedRequest, RequestHandler, ServerConnection, response_bytes

MAX_KEPT_CHANGES = 4096  # a watch from an earlier version gets the complete list
MAX_WATCH_MS = 60_000.0
SILENT_CHANGE_KNOWN_AFTER_MS = 6000.0  # after the silence began; see _change_arrived
OLD_ADDRESS_CLOSES_AFTER_MS = 500.0  # after a change of address
Entry = dict[str, Any]


class DiscoveryStandIn(RequestHandler):
    """Responds at once from the changes that have arrived; keeps running while its gateway is down."""

    def __init__(
        self,
        clock: Clock,
        loop: asyncio.AbstractEventLoop,
        link: EmulatedLink,
        note: Note,
        entries: list[Entry],
    ) -> None:
        self.name, self._clock, self._note = link.gateway, clock, note
        self.version = 1
        self.entries = {entry["instanceId"]: entry for entry in entries}
        self._changes: deque[tuple[int, Entry]] = deque(maxlen=MAX_KEPT_CHANGES)
        self._watches: list[tuple[ReceivedRequest, int]] = []
        self._held_requests: list[ReceivedRequest] = []
        self.silent = False
        self.ahead_ms = 0.0  # clock error: added to the start times in its responses
        self._silent_at = 0.0
        self._unreported: list[Entry] = []
        self._last_arrival_ms = 0.0
        # Two addresses, of which one is active.
        self.listeners = [GatedListener(link, self._connection_opened, loop) for _ in range(2)]
        self._connections: dict[ServerConnection, GatedListener] = {}
        self._active = 0

    @property
    def listener(self) -> GatedListener:
        """The listener of its active address."""
        return self.listeners[self._active]

    def _connection_opened(self, transport: EmulatedConnection) -> ServerConnection:
        connection = ServerConnection(transport, self)
        self._connections[connection] = self.listener
        return connection

    def change_address(self) -> None:
        """Listen on the other address; the old one closes OLD_ADDRESS_CLOSES_AFTER_MS later."""
        old = self.listener
        self._active = 1 - self._active
        self.listener.open()
        self._clock.after(OLD_ADDRESS_CLOSES_AFTER_MS, self._close_old_address, old)

    def _close_old_address(self, old: GatedListener) -> None:
        if old is self.listener:
            return  # the address was changed back in the meantime
        old.close()
        for connection in [
            connection for connection, listener in self._connections.items() if listener is old
        ]:
            connection.transport.reset()

    def listing(self, entries: list[Entry], complete: bool) -> Entry:
        """Return the body of a list response; `complete` is false for a list of changes."""
        return {"generation": self.version, "reset": complete, "instances": entries}

    def send(self, entry: Entry, delay_ms: float) -> None:
        """Deliver a changed entry to this agent after a delay, in the order of the calls."""
        self._last_arrival_ms = max(self._last_arrival_ms, self._clock.now + delay_ms)
        self._clock.at(self._last_arrival_ms, self._change_arrived, entry)

    def _change_arrived(self, entry: Entry) -> None:
        self.version += 1
        if entry["lifecycle"] == "gone":
            self.entries.pop(entry["instanceId"], None)
        else:
            self.entries[entry["instanceId"]] = entry
        self._changes.append((self.version, entry))
        if self.silent:
            # A change during silence is recorded as known SILENT_CHANGE_KNOWN_AFTER_MS after the silence
            # began (at once if that has passed), or at the end of the silence, whichever is earlier.
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
        """Record a change as known to the gateway; the rules on drains and cold hosts start here."""
        self._note(
            self.name,
            "told",
            host=entry["instanceId"],
            state=entry["lifecycle"],
            started=entry["startedAtMs"],
        )

    def _record_if_unreported(self, entry: Entry) -> None:
        if any(unreported is entry for unreported in self._unreported):
            self._unreported = [unreported for unreported in self._unreported if unreported is not entry]
            self._record_change(entry)

    def reset_versions(self) -> None:
        """Restart at version 1 without earlier changes, and answer all watches with the complete list."""
        self.version, self._changes = 1, deque(maxlen=MAX_KEPT_CHANGES)
        self._answer_watches(complete=True)

    def set_silent(self, on: bool) -> None:
        """Stop or resume responding; requests that arrive during silence are held and answered at its end."""
        if on and not self.silent:
            self._silent_at = self._clock.now
        self.silent = on
        if not on:
            unreported, self._unreported = self._unreported, []
            for entry in unreported:
                self._record_change(entry)
            held, self._held_requests = self._held_requests, []
            for request in held:
                self.handle_request(request)
            self._answer_watches()

    def handle_request(self, request: ReceivedRequest) -> None:
        """Respond with the list or its changes, or hold a watch for up to `wait_ms`; 404 on another path."""
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
        """Drop the watches and held requests of a connection that was closed."""
        self._connections.pop(connection, None)
        self._watches = [
            (request, after) for request, after in self._watches if request.connection is not connection
        ]
        self._held_requests = [
            request for request in self._held_requests if request.connection is not connection
        ]

    def _watch_timed_out(self, request: ReceivedRequest) -> None:
        if any(waiting is request for waiting, _ in self._watches) and not self.silent:
            self._watches = [(waiting, after) for waiting, after in self._watches if waiting is not request]
            self._write(request, [], False)

    def _answer_watches(self, complete: bool = False) -> None:
        if self.silent:
            return
        watches, self._watches = self._watches, []
        for request, after in watches:
            self._write_changes(request, -1 if complete else after)

    def _write_changes(self, request: ReceivedRequest, after: int) -> None:
        oldest = self._changes[0][0] if self._changes else self.version + 1
        if after > self.version or after < oldest - 1:
            self._write(request, list(self.entries.values()), True)
            return
        latest = {entry["instanceId"]: entry for version, entry in self._changes if version > after}
        self._write(request, list(latest.values()), False)

    def _write(self, request: ReceivedRequest, entries: list[Entry], complete: bool) -> None:
        self._note(self.name, "list", whole=complete, count=len(entries))
        if self.ahead_ms:
            entries = [
                {**e, "startedAtMs": round(e["startedAtMs"] + self.ahead_ms)} if e["startedAtMs"] else e
                for e in entries
            ]
        request.respond(response_bytes(200, orjson.dumps(self.listing(entries, complete))))
