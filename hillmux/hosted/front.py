"""The clients' side of many tenants: each request to its tenant, class, pool and plan, or why not."""

from __future__ import annotations

import asyncio
import json
import logging
import re
import secrets
import socket
import time
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol, cast

from hillmux import interface as api
from hillmux.hosted.core import CONFLICT, NO_MODULE_MS, TenantCore
from hillmux.hosted.resources import CROWDED, DRAINING, SHARE, UNHEARD, Resources
from hillmux.hosted.stats import Stats
from hillmux.interface import Idempotency
from hillmux.net.client_connection import ClientConnection
from hillmux.net.client_timeouts import KEEP_ALIVE_TIMEOUT_S
from hillmux.net.forward_request import ForwardRequest
from hillmux.net.listener import Listener
from hillmux.net.requests import (
    DEADLINE_VALUE,
    GATEWAY_HEADERS,
    VISIBLE_TOKEN,
    BadRequestError,
    RejectedRequest,
    RequestMessage,
    RequestRules,
)
from hillmux.tenants import model
from hillmux.tenants.router import Entry, Router
from hillmux.tenants.target import Target, TargetError, read_target

log = logging.getLogger(__name__)

READY = b"/ready"
FAULTS = {408: "the request took too long to come", 413: "the body is longer than may be passed on"}
# Of a request, these are for one connection only (RFC 9110 section 7.6.1), or made anew for the host.
# `connection` is kept until what it names is known.
OWN_HEADERS = frozenset(
    (
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"host",
        b"content-length",
        b"content-type",
        b"expect",
        b"x-request-id",
        b"x-class",
        b"x-partner",
        b"idempotency-key",
        b"x-deadline",
        b"plan",
        b"quota-info",
        b"x-retry",
    )
)
SEND_BUFFER = 64 * 1024  # bytes of answers that the system holds for a client
CUSTOMER = re.compile(r"[!-~]{1,128}")
WANTED_HERE = GATEWAY_HEADERS | {b"host"}
RETURNED = frozenset((404, 405, 409, 410))  # whole and well framed: its connection carries others, too
TITLES = {
    404: "not found",
    405: "method not allowed",
    408: "request timeout",
    409: "conflict",
    410: "gone",
    413: "too long",
    429: "refused",
    500: "gateway fault",
    502: "failed",
    503: "refused",
    504: "too late",
}


class _TenantMessage(RequestMessage):
    """One request, with the header lines that go on to the host unchanged."""

    __slots__ = ("rest",)

    def __init__(self) -> None:
        super().__init__()
        self.rest: list[tuple[bytes, bytes]] = []


class Slot(Protocol):
    """What the front needs of a tenant."""

    tenant: model.Tenant

    @property
    def stats(self) -> Stats:
        """Its counts."""

    @property
    def plans(self) -> dict[str, str]:
        """The plan of each partner that is listed."""

    @property
    def terms(self) -> RequestRules:
        """What its requests may name."""


class Tenants(Protocol):
    """What the front needs of the service."""

    draining: bool
    router: Router
    resources: Resources
    disown: Callable[[str], None]  # called with each tenant that is gone

    def slot(self, tenant_id: str) -> Slot:
        """A tenant that the router names."""

    def core(self, tenant_id: str) -> TenantCore:
        """Its core, awake."""

    def make_room(self, tenant_id: str) -> bool:
        """Have whoever holds more than its part answer one request early; whether anyone did."""

    def give_way(self, tenant_id: str) -> bool:
        """Have a tenant, which may be gone by now, answer one request early; whether it did."""

    def ready(self) -> bool:
        """Whether requests are taken."""


class TenantConnection(ClientConnection):
    """One connection; it may carry requests of many tenants, and belongs to the last one's."""

    message_type = _TenantMessage

    def __init__(self, server: TenantServer) -> None:
        super().__init__(server)
        self._front = server
        self._service = server.service
        self.owner = UNHEARD
        self.unread = 0  # bytes answered that the client has not read, held against the owner's share
        self.reading = 0  # bytes of requests that are not yet taken, held likewise
        self._title = self._fault = ""
        self._peer = b""
        self._behind = 0  # pieces of data that were read and wait for others' requests
        self._taking_s = 0.0  # of the data being handled, what was charged request by request
        self.passing = False  # the answer that is being written is a host's

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Also limit the system's send buffer to SEND_BUFFER bytes, and note the client's address."""
        # Guards the system's memory, too: it would take megabytes for a client that does not read.
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)
        self._peer = str((transport.get_extra_info("peername") or ("",))[0]).encode()
        super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Handle what has come, or defer it while the owner takes much more of the loop than its part."""
        if self._behind or (self.owner != UNHEARD and self._service.resources.loop.heavy(self.owner)):
            if not self._behind and not self._reading_paused:
                self.transport.pause_reading()  # guards the memory: one chunk of a connection waits, not more
            self._behind += 1
            self._listener.mark_busy(self)  # it is not idle: nobody may close it
            self._front.defer(self, data)
        else:
            self._handle(data)

    def go_on(self, data: bytes) -> None:
        """Handle what was read a moment ago, in its order."""
        self._behind -= 1
        if self.transport.is_closing():
            return
        if not self._answer_due:
            self._listener.mark_idle(self)
        self._handle(data)
        if not self._behind and not self._reading_paused and not self.transport.is_closing():
            self.transport.resume_reading()

    def close_if_idle(self) -> None:
        """As the base does, unless data that was read is deferred."""
        if not self._behind:
            super().close_if_idle()

    def _handle(self, data: bytes) -> None:
        began = time.perf_counter()
        self._taking_s = 0.0
        super().data_received(data)
        self._hold_request()
        self._spent(time.perf_counter() - began - self._taking_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Also give back what was held against the owner's share of the buffer."""
        self._hold(0)
        self._service.resources.buffer.give(self.owner, self.reading)
        self.reading = 0
        super().connection_lost(exc)

    def pause_writing(self) -> None:
        """Also hold the unread bytes against the owner's share; beyond it the connection is aborted."""
        super().pause_writing()
        self._hold(self.transport.get_write_buffer_size())

    def resume_writing(self) -> None:
        """Also adjust what is held against the owner's share to the bytes still unread."""
        self._hold(self.transport.get_write_buffer_size())
        super().resume_writing()

    def on_message_begin(self) -> None:
        """Also refresh the set of headers to keep, which the tenants' routes change."""
        super().on_message_begin()
        self.kept_headers = self._front.wanted()  # those that some tenant's routes go by are among them

    def on_header(self, name: bytes, value: bytes) -> None:
        """Also keep a line that goes on to the host unchanged."""
        super().on_header(name, value)
        name = name.lower()
        if name not in OWN_HEADERS:
            assert isinstance(self._message, _TenantMessage)
            self._message.rest.append((name, value))

    def on_headers_complete(self) -> None:
        """Also keep the reason of a BadRequestError for the answer, and note whether it is HTTP/1.0."""
        try:
            super().on_headers_complete()
        except BadRequestError as error:
            self._fault = str(error)
            raise
        assert self._message is not None
        self._message.is_http_1_0 = self._parser.get_http_version() == "1.0"

    def check_timeouts(self, now: float) -> None:
        """As the base does, but abort after IDLE_S with answers that the client does not read."""
        # Guards the memory: a close waits for the client to read, and this one does not.
        if now - self.waiting_since > KEEP_ALIVE_TIMEOUT_S and self.transport.get_write_buffer_size():
            self.transport.abort()
        else:
            super().check_timeouts(now)

    def _spent(self, seconds: float) -> None:
        if self.owner != UNHEARD and self._service.resources.loop.known(self.owner):
            self._service.resources.loop.charge(self.owner, seconds)

    def _hold(self, unread: int) -> None:
        """Hold what the client has not read against the owner's share; one beyond it has to go."""
        if unread == self.unread:
            return
        buffer, more = self._service.resources.buffer, unread - self.unread
        self.unread = unread
        if more < 0:
            buffer.give(self.owner, -more)
            return
        if buffer.take(self.owner, more):
            return
        buffer.charge(self.owner, more)
        if not buffer.within(self.owner, 0.0):
            self.transport.abort()  # the client can tell that its answer is not whole

    def _hold_request(self) -> None:
        """Hold what has come of requests that are not yet taken; one beyond its share is turned away."""
        size = 0 if self._message is None else self._message.head_bytes + self._message.body_bytes
        size += self._unparsed.size
        for item in self._queue:
            size += 0 if isinstance(item, RejectedRequest) else item.head_bytes + item.body_bytes
        buffer, more = self._service.resources.buffer, size - self.reading
        if more <= 0 or self.transport.is_closing():
            more = max(more, -self.reading)
            buffer.give(self.owner, -min(more, 0))
            self.reading += min(more, 0)
            return
        self.reading = size
        if not buffer.take(self.owner, more):
            buffer.charge(self.owner, more)
            if not buffer.within(self.owner, 0.0):
                self._reject(503)
                self._take_requests()

    def _own(self, owner: str) -> None:
        """The connection carries a request of this tenant now."""
        if owner != self.owner:
            self._hold(0)
            self._service.resources.buffer.give(self.owner, self.reading)
            self.reading = 0
            self._front.moved(self, owner)
            self.owner = owner

    def disown(self) -> None:
        """Its tenant is gone; the connection, owed nothing, is nobody's."""
        self._listener.mark_busy(self)
        unread = self.unread
        self._own(UNHEARD)
        self._hold(unread)
        self._hold_request()
        self._listener.mark_idle(self)

    def _take_request(self, item: RequestMessage | RejectedRequest) -> None:
        # Each request is its own tenant's, also where a connection carries those of several.
        began = time.perf_counter()
        self._take_one(item)
        took = time.perf_counter() - began
        self._spent(took)
        self._taking_s += took

    def _take_one(self, item: RequestMessage | RejectedRequest) -> None:
        self._answer_due = True
        self._listener.mark_busy(self)
        self._handler = self._front.handler
        self._title = ""
        try:
            if isinstance(item, RejectedRequest):
                fault = self._fault or FAULTS.get(item.status, "no HTTP/1.1 request")
                raise BadRequestError(fault, item.status)
            self._keep_alive = item.keep_alive
            self._route(item)
        except BadRequestError as error:
            self._title = str(error)
            if error.status == 503:
                self._title = SHARE
            if error.status not in RETURNED:
                self._keep_alive = False  # guards against a flood on one connection: it has to come again
            self.answer(error.status)
        except Exception:
            # Guards the one answer, and the others on this connection, against a fault of ours.
            log.exception("a request could not be taken")
            if self._answer_due:
                self._title = "gateway fault"
                self.answer(500)

    def _route(self, message: RequestMessage) -> None:
        try:
            target = read_target(message.url, message.headers.get(b"host"), message.is_http_1_0)
        except TargetError as error:
            raise BadRequestError(str(error)) from None
        service = self._service
        entry = service.router.find(target.host, target.path)
        if entry is None:
            if target.path == READY and message.method == b"GET":
                self._title = "ready" if service.ready() else "not ready"
                self.answer(200 if service.ready() else 503)
                return
            raise BadRequestError("no tenant is served at this host and path", 404)
        if entry.gone:
            raise BadRequestError("this tenant was removed", 410)
        tenant = entry.tenant
        self._own(tenant.id)
        slot = service.slot(tenant.id)
        try:
            order = self._order(message, target, entry, slot)
        except BadRequestError:
            slot.stats.rejected += 1
            raise
        slot.stats.requests += 1
        if tenant.state == model.DRAINING:
            self._turn_away(slot, DRAINING)
        elif service.resources.loop.crowded(tenant.id):
            self._turn_away(slot, CROWDED)
        else:
            self._hand_over(slot, order)

    def _hand_over(self, slot: Slot, order: ForwardRequest) -> None:
        core = self._service.core(slot.tenant.id)
        self._handler = cast(Any, core)
        rid = core.take(self, order, self._service.make_room)
        if rid is not None:
            if self._answer_due:  # else it is answered already
                self._request_id = rid
        elif core.cause == CONFLICT:
            slot.stats.requests -= 1
            slot.stats.rejected += 1
            raise BadRequestError("X-Request-Id: is in use", 409)
        else:
            self._turn_away(slot, core.cause)

    def _turn_away(self, slot: Slot, cause: str) -> None:
        slot.stats.refuse(cause)
        self._title = cause
        self.answer(503, retry_after_ms=NO_MODULE_MS)

    def _order(self, message: RequestMessage, target: Target, entry: Entry, slot: Slot) -> ForwardRequest:
        """The request as its tenant's module and hosts are told of it; BadRequestError where it is none."""
        headers, tenant = message.headers, entry.tenant
        route = Router.route(entry, message.method, target.path, headers)
        if isinstance(route, frozenset):
            if not route:
                raise BadRequestError("no route of this tenant has this path", 404)
            allowed = ", ".join(sorted(m.decode() for m in route))
            self.extra_header_lines = b"Allow: %b\r\n" % allowed.encode()
            raise BadRequestError(f"method: expected {allowed}", 405)
        partner = (
            headers.get(tenant.partner_header, b"")
            if tenant.partner_header
            else target.path.rpartition(b"/")[2]
        ).decode("latin-1")
        if not CUSTOMER.fullmatch(partner):
            raise BadRequestError("partner: expected 1 to 128 visible ASCII characters")
        plan = slot.plans.get(partner) or tenant.default_plan
        if not plan:
            raise BadRequestError("partner: is not one of this tenant's", 404)
        terms = slot.terms
        cls = terms.classes[route.class_name.encode()]
        time_left_ms = cls.deadline_ms
        if b"x-deadline" in headers:
            deadline = DEADLINE_VALUE.fullmatch(headers[b"x-deadline"])
            if deadline is None:
                raise BadRequestError("X-Deadline: expected a number and m or u, as in 480m")
            time_left_ms = min(float(deadline[1]) / (1 if deadline[2] == b"m" else 1000), time_left_ms)
        units, width, first = 1.0, tenant.settings.fleet_size, 0
        if b"quota-info" in headers:
            units, width, first = terms.quota_info(headers[b"quota-info"])
        rid = headers.get(b"x-request-id") or secrets.token_hex(16).encode()
        return ForwardRequest(
            rid,
            cls.name,
            plan,
            partner,
            time_left_ms,
            units,
            width,
            first,
            headers.get(b"x-retry") == b"1",
            message.read_at,
            _head(message, target, route, cls, rid, partner, self._peer),
            b"".join(message.body),
            route.pool,
        )

    def _retry_after_line(self, wait_ms: float) -> bytes:
        """Whole seconds, as clients at large read it (RFC 9110 section 10.2.3)."""
        return b"Retry-After: %d\r\n" % max(-(-wait_ms // 1000), 1)

    def answer(
        self, status: int, body: bytes = b"", content_type: bytes = b"", retry_after_ms: float = 0.0
    ) -> None:
        """The one answer; without a body of its own it says why in one (RFC 9457)."""
        passed_on, self.passing = self.passing, False
        if status != 200 and not passed_on:
            detail = self._title or (self._handler.cause if isinstance(self._handler, TenantCore) else "")
            body = json.dumps(
                {"status": status, "title": TITLES.get(status, "bad request"), "detail": detail}
            ).encode()
            content_type = b"application/problem+json"
        if self._service.draining and not self._has_more_input():
            self._keep_alive = False
        super().answer(status, body, content_type, retry_after_ms)
        if not self.transport.is_closing():
            self._hold_request()
            self._hold(self.transport.get_write_buffer_size())


def _head(
    message: RequestMessage,
    target: Target,
    route: model.Route,
    cls: api.RequestClass,
    rid: bytes,
    partner: str,
    peer: bytes,
) -> bytes:
    """The head for the host: method, target in origin form, id, key, class and partner."""
    headers, key = message.headers, message.headers.get(b"idempotency-key")
    if not VISIBLE_TOKEN.fullmatch(rid) or (key is not None and not VISIBLE_TOKEN.fullmatch(key)):
        raise BadRequestError("X-Request-Id or Idempotency-Key: expected 1 to 128 visible ASCII characters")
    if cls.idempotency == Idempotency.KEYED and key is None:
        raise BadRequestError(f"Idempotency-Key: is missing, class {cls.name!r} is keyed")
    if cls.idempotency == Idempotency.IDEMPOTENT and message.body:
        raise BadRequestError(f"body: found one, class {cls.name!r} is safe")
    lines = [
        b"%b %b HTTP/1.1\r\nHost: %b\r\nX-Request-Id: %b\r\nX-Class: %b\r\nX-Partner: %b\r\n"
        % (
            message.method,
            target.origin,
            target.host.encode() or b"upstream",
            rid,
            cls.name.encode(),
            partner.encode(),
        )
    ]
    if key is not None:
        lines.append(b"Idempotency-Key: %b\r\n" % key)
    if message.method != b"GET":
        lines.append(b"Content-Length: %d\r\n" % message.body_bytes)
    if b"content-type" in headers:
        lines.append(b"Content-Type: %b\r\n" % headers[b"content-type"])
    lines += _rest(message)
    lines.append(b"X-Forwarded-For: %b\r\nVia: 1.1 hillmux\r\n" % peer)
    return b"".join(lines)


def _rest(message: RequestMessage) -> list[bytes]:
    """The client's own header lines, but for those that it says are for this connection only."""
    assert isinstance(message, _TenantMessage)
    named = frozenset(
        token.strip().lower()
        for name, value in message.rest
        if name == b"connection"
        for token in value.split(b",")
    )
    if any(b"\r" in value or b"\n" in value for _, value in message.rest):
        raise BadRequestError("headers: a value goes over more than one line")
    return [
        b"%b: %b\r\n" % (name, value)
        for name, value in message.rest
        if name != b"connection" and name not in named
    ]


class TenantServer(Listener[TenantConnection]):
    """Accepts clients for all tenants; when descriptors run out, whoever holds more than its part gives."""

    connection_type = TenantConnection

    def __init__(self, service: Tenants, loop: asyncio.AbstractEventLoop, sockets: int) -> None:
        self.service = service
        self._idle: dict[str, dict[TenantConnection, None]] = {}  # by owner, owed nothing, the longest first
        self._wanted: frozenset[bytes] = WANTED_HERE
        self._routed: frozenset[bytes] = frozenset()
        self._deferred: deque[tuple[TenantConnection, bytes]] = deque()
        self._reclaiming = False
        service.disown = self.disown
        super().__init__(cast(Any, service), loop, sockets)

    def _make_request_rules(self) -> None:
        """Each tenant has its own."""

    def wanted(self) -> frozenset[bytes]:
        """The headers that are kept."""
        routed = self.service.router.headers
        if routed is not self._routed:
            self._routed, self._wanted = routed, WANTED_HERE | routed
        return self._wanted

    def defer(self, connection: TenantConnection, data: bytes) -> None:
        """Handle data one by one, each after what others have ready in this turn of the loop.

        Guards the others' time to an answer against bursts of one that takes much more than its part: without
        it they stand behind the whole burst. Hurts: its own requests wait for a turn of the loop each.
        """
        self._deferred.append((connection, data))
        if len(self._deferred) == 1:
            self.loop.call_soon(self._go_on)

    def _go_on(self) -> None:
        connection, data = self._deferred[0]
        try:
            connection.go_on(data)
        finally:
            self._deferred.popleft()
            if self._deferred:
                self.loop.call_soon(self._go_on)

    def on_connection_made(self, connection: TenantConnection) -> None:
        """Also charge the connection to UNHEARD, until a request names its tenant."""
        self.service.resources.clients.charge(UNHEARD, 1.0)
        super().on_connection_made(connection)

    def on_connection_lost(self, connection: TenantConnection) -> None:
        """Also give the connection back to its owner's share."""
        if connection in self.connections:
            self.service.resources.clients.give(connection.owner)
        super().on_connection_lost(connection)

    def disown(self, owner: str) -> None:
        """A tenant is gone: its idle connections are nobody's."""
        for connection in list(self._idle.get(owner, ())):
            connection.disown()

    def moved(self, connection: TenantConnection, owner: str) -> None:
        """A connection carries another tenant's request than before."""
        clients = self.service.resources.clients
        clients.give(connection.owner)
        clients.charge(owner, 1.0)

    def mark_idle(self, connection: TenantConnection) -> None:
        """Also list the connection among its owner's idle ones."""
        super().mark_idle(connection)
        self._idle.setdefault(connection.owner, {})[connection] = None

    def mark_busy(self, connection: TenantConnection) -> None:
        """Also take the connection off the list of its owner's idle ones."""
        super().mark_busy(connection)
        idle = self._idle.get(connection.owner)
        if idle is not None:
            idle.pop(connection, None)
            if not idle:
                del self._idle[connection.owner]

    def ensure_capacity(self) -> bool:
        """Whether there is a descriptor for one more, if need be of one that is owed nothing.

        Guards each tenant's connections against another's flood, silent or not: whoever holds most for its
        weight gives up the one idle for longest; those that never asked count as one more tenant.
        """
        if self._below_limit() or not self._client_waiting():
            return True
        if self._evicted:
            return False  # its room comes with its close; nobody else need give any
        clients = self.service.resources.clients
        if not self._idle and not self._reclaim():
            return False
        if self._below_limit():
            return True
        owner = max(self._idle, key=lambda o: clients.holds(o) / clients.entitled(o), default=None)
        if owner is None:
            return False
        self._evict_idle(self._idle[owner])
        return False

    def _reclaim(self) -> bool:
        """Have a request answered early whose tenant holds more connections than its part, all busy."""
        if self._reclaiming:  # an answer makes its connection idle, which asks for room
            return False
        self._reclaiming = True
        try:
            victim = self.service.resources.clients.victim(UNHEARD)
            return victim is not None and victim != UNHEARD and self.service.give_way(victim)
        finally:
            self._reclaiming = False
