"""Clients' connections, and a gateway as the front before it sees it. Part of the load's process."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Coroutine
from math import inf
from typing import Any, Protocol

import httptools

from hillmux.lab.clock import RealClock
from hillmux.lab.record import Recorder
from hillmux.lab.scenario import Scenario

READY_CHECK_INTERVAL_MS = (
    100.0  # how often the front asks a gateway that it has taken out whether it is ready
)
MAX_IDLE_MS = 1500.0  # a connection unused for longer is not used again: its other side may be closing it
NEW_CONNECTIONS_MS = 350.0  # after SIGTERM, for which the platform's clients go on opening connections
MAX_KEPT_BODY_BYTES = 64  # of an answer, kept to be looked at
RESULT_BY_STATUS = {200: "served", 429: "refused", 503: "refused"}  # any other: failed


class OpenAttempt(Protocol):
    """One attempt of a client, whose answer a connection brings."""

    rid: str
    done: bool
    resent: bool

    def finish(self, result: str, status: int, wait_ms: float) -> None:
        """Record the attempt's one result."""


class Load(Protocol):
    """The process's clients together."""

    scenario: Scenario
    note: Recorder
    clock: RealClock

    def run_in_background(self, work: Coroutine[Any, Any, None]) -> None:
        """Run in the background, and keep hold of it."""

    def resend(self, attempt: Any) -> None:
        """Send a request once more, on a new connection."""

    def late_answer_received(self, attempt: Any, status: int) -> None:
        """The answer to what its client had given up."""

    def given_up_connection_lost(self, attempt: Any) -> None:
        """The connection of what its client had given up is gone."""


class ClientConnection(asyncio.Protocol):
    """A client's connection to a gateway: a request at a time."""

    def __init__(self, gateway: FrontGateway) -> None:
        self.gateway = gateway
        self.attempt: OpenAttempt | None = None  # whose answer is due
        self.transport: Any = None
        self.last_used_ms = 0.0
        self.answers = 0
        self._parser = httptools.HttpResponseParser(self)
        self._retry_after = 0.0
        self._body = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection to a gateway is up."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse a part of a response; close on one that is malformed."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Note Retry-After."""
        if name.lower() == b"retry-after":
            self._retry_after = 1000 * float(value)

    def on_body(self, body: bytes) -> None:
        """Keep the first bytes of the body."""
        self._body += body[:MAX_KEPT_BODY_BYTES]

    def on_message_complete(self) -> None:
        """Report the response to the attempt that waits for it."""
        attempt, self.attempt = self.attempt, None
        status, wait, self._retry_after = self._parser.get_status_code(), self._retry_after, 0.0
        self._parser = httptools.HttpResponseParser(self)
        body, self._body = bytes(self._body), bytearray()
        self.last_used_ms = self.gateway.generator.clock.now
        self.answers += 1
        if attempt is None:
            self.gateway.generator.note("client", "second", gw=self.gateway.name, status=status)
        elif attempt.done:  # its client had given up: it was late, and not lost
            self.gateway.generator.late_answer_received(attempt, status)
            self.transport.close()
        else:
            self.gateway.idle.append(self)
            if status == 200 and body != attempt.rid.encode():  # hosts answer with the id that they were sent
                self.gateway.generator.note("client", "foreign", rid=attempt.rid, gw=self.gateway.name)
            attempt.finish(RESULT_BY_STATUS.get(status, "failed"), status, wait)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report an attempt whose connection ended before its response."""
        attempt, self.attempt = self.attempt, None
        if attempt is None or attempt.done:
            if attempt is not None:
                self.gateway.generator.given_up_connection_lost(attempt)
            return
        if self.answers and not attempt.resent:
            # A gateway may close a connection between requests: what crosses that is sent once more.
            attempt.resent = True
            self.gateway.generator.resend(attempt)
        else:
            attempt.finish("shut" if self.gateway.crowded and not self.answers else "reset", 0, 0.0)


class FrontGateway:
    """One gateway as the front sees it."""

    def __init__(self, generator: Load, name: str, port: int) -> None:
        self.generator, self.name, self.port = generator, name, port
        self.idle: deque[ClientConnection] = deque()
        self.failing_since = 0.0  # since when dials fail; 0: they don't
        self.removed = False
        self.terminated_ms = inf  # when its process was told to end
        self.crowded = False  # it may shut new connections unread

    def takes_connections(self) -> bool:
        """Whether new connections are sent to it; those that are open are used as long as they stay open."""
        return not self.removed and self.generator.clock.now < self.terminated_ms + NEW_CONNECTIONS_MS

    def has_idle(self) -> bool:
        """Whether a connection to it is open that carries nothing."""
        return any(not connection.transport.is_closing() for connection in self.idle)

    def told_to_end(self) -> None:
        """SIGTERM goes out now: the front looks for its next process."""
        if self.terminated_ms == inf:
            self.terminated_ms = self.generator.clock.now
            self.generator.clock.after(NEW_CONNECTIONS_MS, self._start_ready_check)

    def take_connection(self) -> ClientConnection | None:
        """An idle connection that was used recently."""
        fresh = self.generator.clock.now - MAX_IDLE_MS
        while self.idle:
            connection = self.idle.pop()
            if connection.last_used_ms > fresh and not connection.transport.is_closing():
                return connection
            connection.transport.close()
        return None

    def dial_failed(self) -> None:
        """A dial failed: after the front's time it takes this gateway out, until it is ready again."""
        clients = self.generator
        if self.removed:
            return
        if not self.failing_since:
            self.failing_since = clients.clock.now
        elif clients.clock.now - self.failing_since >= clients.scenario.fleet.notice_ms:
            self.removed = True
            clients.note("front", "out", gw=self.name)
            clients.clock.after(READY_CHECK_INTERVAL_MS, self._start_ready_check)

    def _start_ready_check(self) -> None:
        clients = self.generator
        clients.run_in_background(self._check_ready())

    async def _check_ready(self) -> None:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
            ready = line.split()[1:2] == [b"200"]
        except (OSError, TimeoutError):
            ready = False
        if ready:
            self.removed, self.failing_since, self.terminated_ms = False, 0.0, inf
            self.generator.note("front", "in", gw=self.name)
        else:
            self.generator.clock.after(READY_CHECK_INTERVAL_MS, self._start_ready_check)
