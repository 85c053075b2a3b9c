"""One client connection of the hosted service: each request goes to its tenant, or is refused."""

from __future__ import annotations

import asyncio
import json
import logging
import socket
import time
from typing import TYPE_CHECKING, Any, cast

from hillmux.hosted.core import CONFLICT, NO_MODULE_MS, TenantCore
from hillmux.hosted.resources import CROWDED, DRAINING, SHARE, UNHEARD
from hillmux.hosted.tenant_requests import (
    REPLACED_HEADERS,
    MethodNotAllowedError,
    TenantMessage,
    parse_tenant_request,
)
from hillmux.hosted.tenant_service import TenantSlot
from hillmux.net.client_connection import ClientConnection
from hillmux.net.client_timeouts import KEEP_ALIVE_TIMEOUT_S
from hillmux.net.forward_request import ForwardRequest
from hillmux.net.requests import BadRequestError, RejectedRequest, RequestMessage
from hillmux.tenants import model
from hillmux.tenants.target import TargetError, read_target

if TYPE_CHECKING:
    from hillmux.hosted.tenant_listener import TenantListener

log = logging.getLogger(__name__)

READY_PATH = b"/ready"
PARSE_ERRORS = {408: "the request took too long to come", 413: "the body is longer than may be passed on"}
SEND_BUFFER_BYTES = 64 * 1024  # of answers that the system holds for a client
KEEP_ALIVE_ERRORS = frozenset((404, 405, 409, 410))  # complete and well framed: the connection stays usable
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


class TenantConnection(ClientConnection):
    """A connection that may carry requests of several tenants; the last one's tenant is its owner."""

    message_type = TenantMessage

    def __init__(self, listener: TenantListener) -> None:
        super().__init__(listener)
        self._tenant_listener = listener
        self._service = listener.service
        self.owner = UNHEARD
        self.unread_bytes = 0  # of answers that the client has not read, charged to the owner's share
        self.receiving_bytes = 0  # of requests that are not yet taken, charged likewise
        self._detail = self._parse_error = ""
        self._peer = b""
        self._deferred_pieces = 0  # of input that waits while other tenants' requests are handled
        self._charged_s = 0.0  # of the input being handled, charged request by request
        self.is_forwarding = False  # the next answer is a host's

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Also note the client's address, and limit the system's send buffer to SEND_BUFFER_BYTES.

        It would take megabytes of the system's memory for a client that does not read.
        """
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        self._peer = str((transport.get_extra_info("peername") or ("",))[0]).encode()
        super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Handle input, or defer it while the owner uses much more than its share of the loop's time.

        Reading pauses meanwhile, so that one piece of input waits for each connection and no more.
        """
        if self._deferred_pieces or (
            self.owner != UNHEARD and self._service.resources.loop.over_share(self.owner)
        ):
            if not self._deferred_pieces and not self._reading_paused:
                self.transport.pause_reading()
            self._deferred_pieces += 1
            self._listener.mark_busy(self)  # it must not be closed as idle
            self._tenant_listener.defer(self, data)
        else:
            self._handle(data)

    def handle_deferred(self, data: bytes) -> None:
        """Handle deferred input, in its order."""
        self._deferred_pieces -= 1
        if self.transport.is_closing():
            return
        if not self._answer_due:
            self._listener.mark_idle(self)
        self._handle(data)
        if not self._deferred_pieces and not self._reading_paused and not self.transport.is_closing():
            self.transport.resume_reading()

    def close_if_idle(self) -> None:
        """Close if idle, unless input is deferred."""
        if not self._deferred_pieces:
            super().close_if_idle()

    def _handle(self, data: bytes) -> None:
        began = time.perf_counter()
        self._charged_s = 0.0
        super().data_received(data)
        self._charge_request()
        self._charge_loop_time(time.perf_counter() - began - self._charged_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Also give back what was charged to the owner's share of the buffer."""
        self._charge_unread(0)
        self._service.resources.buffer.release(self.owner, self.receiving_bytes)
        self.receiving_bytes = 0
        super().connection_lost(exc)

    def pause_writing(self) -> None:
        """Also charge the unread bytes to the owner's share; beyond it the connection is aborted."""
        super().pause_writing()
        self._charge_unread(self.transport.get_write_buffer_size())

    def resume_writing(self) -> None:
        """Also adjust what is charged to the owner's share to the bytes still unread."""
        self._charge_unread(self.transport.get_write_buffer_size())
        super().resume_writing()

    def on_message_begin(self) -> None:
        """Also refresh the set of headers to keep, which the tenants' routes change."""
        super().on_message_begin()
        self.kept_headers = self._tenant_listener.headers_to_keep()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Also keep a header that is forwarded unchanged."""
        super().on_header(name, value)
        name = name.lower()
        if name not in REPLACED_HEADERS:
            assert isinstance(self._message, TenantMessage)
            self._message.other_headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Also keep the reason of a BadRequestError for the answer, and note whether it is HTTP/1.0."""
        try:
            super().on_headers_complete()
        except BadRequestError as error:
            self._parse_error = str(error)
            raise
        assert self._message is not None
        self._message.is_http_1_0 = self._parser.get_http_version() == "1.0"

    def check_timeouts(self, now: float) -> None:
        """Close on a time-out; abort after KEEP_ALIVE_TIMEOUT_S with answers that the client does not read.

        A graceful close would hold their memory until the client reads.
        """
        if now - self.waiting_since > KEEP_ALIVE_TIMEOUT_S and self.transport.get_write_buffer_size():
            self.transport.abort()
        else:
            super().check_timeouts(now)

    def _charge_loop_time(self, seconds: float) -> None:
        if self.owner != UNHEARD and self._service.resources.loop.is_registered(self.owner):
            self._service.resources.loop.charge(self.owner, seconds)

    def _charge_unread(self, unread: int) -> None:
        """Charge what the client has not read to the owner's share; beyond it the connection is aborted."""
        if unread == self.unread_bytes:
            return
        buffer, more = self._service.resources.buffer, unread - self.unread_bytes
        self.unread_bytes = unread
        if more < 0:
            buffer.release(self.owner, -more)
            return
        if buffer.acquire(self.owner, more):
            return
        buffer.charge(self.owner, more)
        if not buffer.within_guaranteed_share(self.owner, 0.0):
            self.transport.abort()  # the client can tell that its answer is incomplete

    def _charge_request(self) -> None:
        """Charge the requests that are not yet taken to the owner's share; beyond it they are rejected."""
        size = 0 if self._message is None else self._message.head_bytes + self._message.body_bytes
        size += self._unparsed.size
        for item in self._queue:
            size += 0 if isinstance(item, RejectedRequest) else item.head_bytes + item.body_bytes
        buffer, more = self._service.resources.buffer, size - self.receiving_bytes
        if more <= 0 or self.transport.is_closing():
            more = max(more, -self.receiving_bytes)
            buffer.release(self.owner, -min(more, 0))
            self.receiving_bytes += min(more, 0)
            return
        self.receiving_bytes = size
        if not buffer.acquire(self.owner, more):
            buffer.charge(self.owner, more)
            if not buffer.within_guaranteed_share(self.owner, 0.0):
                self._reject(503)
                self._take_requests()

    def _set_owner(self, owner: str) -> None:
        """The connection carries a request of this tenant now."""
        if owner != self.owner:
            self._charge_unread(0)
            self._service.resources.buffer.release(self.owner, self.receiving_bytes)
            self.receiving_bytes = 0
            self._tenant_listener.on_owner_changed(self, owner)
            self.owner = owner

    def disown(self) -> None:
        """Its tenant was removed: the idle connection has no owner any more."""
        self._listener.mark_busy(self)
        unread = self.unread_bytes
        self._set_owner(UNHEARD)
        self._charge_unread(unread)
        self._charge_request()
        self._listener.mark_idle(self)

    def _take_request(self, item: RequestMessage | RejectedRequest) -> None:
        began = time.perf_counter()
        self._take_and_answer(item)
        took = time.perf_counter() - began
        self._charge_loop_time(took)
        self._charged_s += took

    def _take_and_answer(self, item: RequestMessage | RejectedRequest) -> None:
        self._answer_due = True
        self._listener.mark_busy(self)
        self._handler = self._tenant_listener.handler
        self._detail = ""
        try:
            if isinstance(item, RejectedRequest):
                fault = self._parse_error or PARSE_ERRORS.get(item.status, "no HTTP/1.1 request")
                raise BadRequestError(fault, item.status)
            self._keep_alive = item.keep_alive
            self._route(item)
        except BadRequestError as error:
            self._detail = str(error)
            if error.status == 503:
                self._detail = SHARE
            if error.status not in KEEP_ALIVE_ERRORS:
                self._keep_alive = False  # so that a flood of bad requests has to connect again
            self.answer(error.status)
        except Exception:
            # The client still gets its one answer, and the connection its other requests.
            log.exception("a request could not be taken")
            if self._answer_due:
                self._detail = "gateway fault"
                self.answer(500)

    def _route(self, message: RequestMessage) -> None:
        try:
            target = read_target(message.url, message.headers.get(b"host"), message.is_http_1_0)
        except TargetError as error:
            raise BadRequestError(str(error)) from None
        service = self._service
        entry = service.router.find(target.host, target.path)
        if entry is None:
            if target.path == READY_PATH and message.method == b"GET":
                self._detail = "ready" if service.ready() else "not ready"
                self.answer(200 if service.ready() else 503)
                return
            raise BadRequestError("no tenant is served at this host and path", 404)
        if entry.gone:
            raise BadRequestError("this tenant was removed", 410)
        tenant = entry.tenant
        self._set_owner(tenant.id)
        slot = service.slot(tenant.id)
        try:
            assert isinstance(message, TenantMessage)
            forward_request = parse_tenant_request(message, target, entry, slot, self._peer)
        except BadRequestError as error:
            slot.stats.rejected += 1
            if isinstance(error, MethodNotAllowedError):
                self.extra_header_lines = b"Allow: %b\r\n" % error.allowed.encode()
            raise
        slot.stats.requests += 1
        if tenant.state == model.DRAINING:
            self._refuse(slot, DRAINING)
        elif service.resources.loop.must_shed_load(tenant.id):
            self._refuse(slot, CROWDED)
        else:
            self._submit(slot, forward_request)

    def _submit(self, slot: TenantSlot, forward_request: ForwardRequest) -> None:
        core = self._service.core(slot.tenant.id)
        self._handler = cast(Any, core)
        request_id = core.take(self, forward_request, self._service.make_room)
        if request_id is not None:
            if self._answer_due:  # otherwise it has been answered already
                self._request_id = request_id
        elif core.cause == CONFLICT:
            slot.stats.requests -= 1
            slot.stats.rejected += 1
            raise BadRequestError("X-Request-Id: is in use", 409)
        else:
            self._refuse(slot, core.cause)

    def _refuse(self, slot: TenantSlot, cause: str) -> None:
        slot.stats.refuse(cause)
        self._detail = cause
        self.answer(503, retry_after_ms=NO_MODULE_MS)

    def _retry_after_line(self, wait_ms: float) -> bytes:
        """The header's line in whole seconds (RFC 9110 section 10.2.3)."""
        return b"Retry-After: %d\r\n" % max(-(-wait_ms // 1000), 1)

    def answer(
        self, status: int, body: bytes = b"", content_type: bytes = b"", retry_after_ms: float = 0.0
    ) -> None:
        """Send the one answer; an error of the gateway's own has a problem document (RFC 9457)."""
        is_forwarded, self.is_forwarding = self.is_forwarding, False
        if status != 200 and not is_forwarded:
            detail = self._detail or (self._handler.cause if isinstance(self._handler, TenantCore) else "")
            body = json.dumps(
                {"status": status, "title": TITLES.get(status, "bad request"), "detail": detail}
            ).encode()
            content_type = b"application/problem+json"
        if self._service.draining and not self._has_more_input():
            self._keep_alive = False
        super().answer(status, body, content_type, retry_after_ms)
        if not self.transport.is_closing():
            self._charge_request()
            self._charge_unread(self.transport.get_write_buffer_size())
