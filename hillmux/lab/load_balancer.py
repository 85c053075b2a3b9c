"""The load balancer in front of the gateways, with the clients' connections; part of the load generator."""

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

READY_CHECK_INTERVAL_MS = 100.0  # between two ready checks of a gateway that is out of rotation
MAX_IDLE_MS = 1500.0  # a connection idle for longer is not reused: the gateway may be closing it
NEW_CONNECTIONS_MS = 350.0  # after SIGTERM, during which the platform's clients still open connections
MAX_KEPT_BODY_BYTES = 64  # of each piece of a response's body, kept to compare it with the request id
RESULT_BY_STATUS = {200: "served", 429: "refused", 503: "refused"}  # any other status: failed


class OpenAttempt(Protocol):
    """One attempt of a client, sent on a ClientConnection."""

    rid: str
    done: bool
    resent: bool

    def finish(self, result: str, status: int, retry_after_ms: float) -> None:
        """Record the attempt's result; calls after the first have no effect."""


class LoadGeneratorInterface(Protocol):
    """What connections and misbehaving clients use of the load generator."""

    scenario: Scenario
    note: Recorder
    clock: RealClock

    def run_in_background(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task, and keep a reference to the task until it is done."""

    def resend(self, attempt: Any) -> None:
        """Send the attempt's request again, on a new connection."""

    def late_answer_received(self, attempt: Any, status: int) -> None:
        """Record the late response to an attempt that its client had given up."""

    def given_up_connection_lost(self, attempt: Any) -> None:
        """Stop waiting for an attempt that its client had given up: its connection was lost."""


class ClientConnection(asyncio.Protocol):
    """A client's connection to a gateway, with at most one request in flight."""

    def __init__(self, gateway: BackendGateway) -> None:
        self.gateway = gateway
        self.attempt: OpenAttempt | None = None  # the attempt in flight
        self.transport: Any = None
        self.last_used_ms = 0.0
        self.responses = 0
        self._parser = httptools.HttpResponseParser(self)
        self._retry_after_ms = 0.0
        self._body = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport of the new connection."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse a part of a response; abort the connection if it is malformed."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep the value of Retry-After, in ms."""
        if name.lower() == b"retry-after":
            self._retry_after_ms = 1000 * float(value)

    def on_body(self, body: bytes) -> None:
        """Keep the first MAX_KEPT_BODY_BYTES of each piece of the body."""
        self._body += body[:MAX_KEPT_BODY_BYTES]

    def on_message_complete(self) -> None:
        """Report a response to its attempt; record one without an attempt as a second response."""
        attempt, self.attempt = self.attempt, None
        status, retry_after_ms, self._retry_after_ms = (
            self._parser.get_status_code(),
            self._retry_after_ms,
            0.0,
        )
        self._parser = httptools.HttpResponseParser(self)
        body, self._body = bytes(self._body), bytearray()
        self.last_used_ms = self.gateway.generator.clock.now
        self.responses += 1
        if attempt is None:
            self.gateway.generator.note("client", "second", gw=self.gateway.name, status=status)
        elif attempt.done:  # the client had given up: the response is late, not lost
            self.gateway.generator.late_answer_received(attempt, status)
            self.transport.close()
        else:
            self.gateway.idle.append(self)
            if status == 200 and body != attempt.rid.encode():  # hosts return the request id in the body
                self.gateway.generator.note("client", "foreign", rid=attempt.rid, gw=self.gateway.name)
            attempt.finish(RESULT_BY_STATUS.get(status, "failed"), status, retry_after_ms)

    def connection_lost(self, exc: Exception | None) -> None:
        """Resend or finish an attempt whose connection was lost before the response."""
        attempt, self.attempt = self.attempt, None
        if attempt is None or attempt.done:
            if attempt is not None:
                self.gateway.generator.given_up_connection_lost(attempt)
            return
        if self.responses and not attempt.resent:
            # A gateway may close a connection between two requests; a request that crosses the close is sent
            # once more.
            attempt.resent = True
            self.gateway.generator.resend(attempt)
        else:
            attempt.finish("shut" if self.gateway.crowded and not self.responses else "reset", 0, 0.0)


class BackendGateway:
    """One gateway as a backend of the load balancer."""

    def __init__(self, generator: LoadGeneratorInterface, name: str, port: int) -> None:
        self.generator, self.name, self.port = generator, name, port
        self.idle: deque[ClientConnection] = deque()
        self.failing_since = 0.0  # when dials began to fail, in ms of the clock; 0: they do not fail
        self.removed = False  # out of rotation until it is ready again
        self.sigterm_ms = inf  # when SIGTERM was sent to its process; inf: not sent
        self.crowded = False  # idle clients fill its connections: it may close new ones without reading

    def takes_connections(self) -> bool:
        """Whether new connections to it may be opened; established ones are used while they stay open."""
        return not self.removed and self.generator.clock.now < self.sigterm_ms + NEW_CONNECTIONS_MS

    def has_idle(self) -> bool:
        """Whether an idle connection to it is open."""
        return any(not connection.transport.is_closing() for connection in self.idle)

    def sigterm_sent(self) -> None:
        """Note SIGTERM: NEW_CONNECTIONS_MS later no more connections are opened until it is ready again."""
        if self.sigterm_ms == inf:
            self.sigterm_ms = self.generator.clock.now
            self.generator.clock.after(NEW_CONNECTIONS_MS, self._start_ready_check)

    def take_connection(self) -> ClientConnection | None:
        """Take an idle connection used within MAX_IDLE_MS, closing older ones; None if there is none."""
        oldest_use_ms = self.generator.clock.now - MAX_IDLE_MS
        while self.idle:
            connection = self.idle.pop()
            if connection.last_used_ms > oldest_use_ms and not connection.transport.is_closing():
                return connection
            connection.transport.close()
        return None

    def dial_failed(self) -> None:
        """Take the gateway out of rotation, until it is ready, if dials have failed for `fleet.notice_ms`."""
        generator = self.generator
        if self.removed:
            return
        if not self.failing_since:
            self.failing_since = generator.clock.now
        elif generator.clock.now - self.failing_since >= generator.scenario.fleet.notice_ms:
            self.removed = True
            generator.note("front", "out", gw=self.name)
            generator.clock.after(READY_CHECK_INTERVAL_MS, self._start_ready_check)

    def _start_ready_check(self) -> None:
        generator = self.generator
        generator.run_in_background(self._check_ready())

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
            self.removed, self.failing_since, self.sigterm_ms = False, 0.0, inf
            self.generator.note("front", "in", gw=self.name)
        else:
            self.generator.clock.after(READY_CHECK_INTERVAL_MS, self._start_ready_check)
