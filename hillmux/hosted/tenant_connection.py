"""One client connection of the hosted service: passes each request to its tenant, or rejects it."""

from __future__ import annotations

import asyncio
import json
import logging
import socket
import time
from typing import TYPE_CHECKING, Any, cast

from hillmux.hosted.core import CONFLICT, SERVICE_RETRY_AFTER_MS, TenantCore
from hillmux.hosted.resources import DRAINING, LOOP_TIME_EXHAUSTED, SHARE_EXHAUSTED, UNASSIGNED
from hillmux.hosted.tenant_requests import (
    REPLACED_HEADERS,
    MethodNotAllowedError,
    TenantMessage,
    parse_tenant_request,
)
from hillmux.hosted.tenant_service import TenantInfo
from hillmux.net.client_connection import ClientConnection
from hillmux.net.client_timeouts import KEEP_ALIVE_TIMEOUT_S
from hillmux.net.diagnostics import CloseReason
from hillmux.net.forward_request import ForwardRequest
from hillmux.net.requests import BadRequestError, RejectedRequest, RequestMessage
from hillmux.tenants import model
from hillmux.tenants.target import TargetError, read_target

if TYPE_CHECKING:
    from hillmux.hosted.tenant_listener import TenantListener

log = logging.getLogger(__name__)

READY_PATH = b"/ready"
PARSE_ERRORS = {408: "the request took too long to come", 413: "the body is longer than may be passed on"}
FIELD_OVERHEAD_BYTES = 32  # of a header field besides its name and value, as in RFC 9113 section 6.5.2
FIELD_OBJECTS_BYTES = 144  # memory of a kept field besides its name and value: a tuple and two objects
SEND_BUFFER_BYTES = 64 * 1024  # responses that the system buffers per client
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


def _memory_of(message: RequestMessage) -> int:
    """The memory that a received request takes, in bytes."""
    fields = len(message.other_headers) if isinstance(message, TenantMessage) else 0
    held = message.head_bytes + message.unfinished_bytes + message.body_bytes
    return held + fields * FIELD_OBJECTS_BYTES


class TenantConnection(ClientConnection):
    """A connection that may carry requests to several tenants; the last request's tenant is its owner."""

    message_type = TenantMessage

    def __init__(self, listener: TenantListener) -> None:
        super().__init__(listener)
        self._tenant_listener = listener
        self._service = listener.service
        self.owner = UNASSIGNED
        self.unread_bytes = 0  # responses that the client has not read, charged to the owner's buffer share
        self.receiving_bytes = 0  # received requests that are not submitted yet, charged likewise
        self._detail = self._parse_error = ""
        self._peer = b""
        self._deferred_pieces = 0  # pieces of input that wait until other tenants' requests are handled
        self._charged_s = 0.0  # loop time of the current input that its requests have been charged for
        self.is_forwarding = False  # the next answer is a host's response

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Also store the client's address, and limit the system's send buffer to SEND_BUFFER_BYTES.

        Otherwise it could grow to megabytes for a client that does not read.
        """
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        self._peer = str((transport.get_extra_info("peername") or ("",))[0]).encode()
        super().connection_made(transport)

    def data_received(self, data: bytes | memoryview) -> None:
        """Handle input, or defer it while the owner uses much more than its share of the loop's time.

        Reading is paused while input is deferred, so that each connection defers at most one piece.
        """
        if self._deferred_pieces or (
            self.owner != UNASSIGNED and self._service.resources.loop_time.over_share(self.owner)
        ):
            if not self._deferred_pieces and not self._reading_paused:
                self.transport.pause_reading()
            self._deferred_pieces += 1
            self._listener.mark_busy(self)  # prevents it from being closed as idle
            self._tenant_listener.defer(self, bytes(data))
        else:
            self._handle(data)

    def handle_deferred(self, data: bytes) -> None:
        """Handle one piece of deferred input."""
        self._deferred_pieces -= 1
        if self.transport.is_closing():
            return
        if not self._answer_due:
            self._listener.mark_receiving(self)
        self._handle(data)
        if not self._deferred_pieces and not self._reading_paused and not self.transport.is_closing():
            self.transport.resume_reading()

    def can_close_without_loss(self) -> bool:
        """Also require that no input is deferred."""
        return not self._deferred_pieces and super().can_close_without_loss()

    def close_if_idle(self, reason: CloseReason) -> None:
        """Close if idle, unless input is deferred."""
        if not self._deferred_pieces:
            super().close_if_idle(reason)

    def _handle(self, data: bytes | memoryview) -> None:
        started_at = time.perf_counter()
        self._charged_s = 0.0
        super().data_received(data)
        self._charge_parsing(started_at)

    def parse_deferred(self) -> int:
        """Also charge the owner for the memory and the loop's time."""
        started_at = time.perf_counter()
        self._charged_s = 0.0
        pieces = super().parse_deferred()
        self._charge_parsing(started_at)
        return pieces

    def _charge_parsing(self, started_at: float) -> None:
        self._charge_request()
        self._charge_loop_time(time.perf_counter() - started_at - self._charged_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Also release the buffer that was charged to the owner's share."""
        self._charge_unread(0)
        self._service.resources.buffer.release(self.owner, self.receiving_bytes)
        self.receiving_bytes = 0
        super().connection_lost(exc)

    def pause_writing(self) -> None:
        """Also charge the unread bytes to the owner's share; beyond it the connection is aborted."""
        super().pause_writing()
        self._charge_unread(self.transport.get_write_buffer_size())

    def resume_writing(self) -> None:
        """Also reduce the charge to the owner's share to the bytes still unread."""
        self._charge_unread(self.transport.get_write_buffer_size())
        super().resume_writing()

    def _reserve_until_sent(self, size: int) -> None:
        """Reserve nothing: unread responses are charged to the owner's share of the buffer."""

    def on_message_begin(self) -> None:
        """Also update the set of headers to keep, which depends on the tenants' routes."""
        super().on_message_begin()
        self.kept_headers = self._tenant_listener.headers_to_keep()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Also keep a header that is forwarded unchanged; it counts FIELD_OVERHEAD_BYTES more."""
        message = self._message
        assert isinstance(message, TenantMessage)
        is_trailer = message.method != b""
        super().on_header(name, value)
        name = name.lower()
        if not is_trailer and name not in REPLACED_HEADERS:
            message.head_bytes += FIELD_OVERHEAD_BYTES
            message.other_headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Also keep the text of a BadRequestError for the answer, and store whether it is HTTP/1.0."""
        try:
            super().on_headers_complete()
        except BadRequestError as error:
            self._parse_error = str(error)
            raise
        assert self._message is not None
        self._message.is_http_1_0 = self._parser.get_http_version() == "1.0"

    def check_timeouts(self, now: float) -> None:
        """Close on a time-out; abort after KEEP_ALIVE_TIMEOUT_S if the client does not read its responses.

        A graceful close would hold their memory until the client reads.
        """
        if now - self.waiting_since > KEEP_ALIVE_TIMEOUT_S and self.transport.get_write_buffer_size():
            self.abort_for(CloseReason.UNREAD_RESPONSE)
        else:
            super().check_timeouts(now)

    def _charge_loop_time(self, seconds: float) -> None:
        if self.owner != UNASSIGNED and self._service.resources.loop_time.is_registered(self.owner):
            self._service.resources.loop_time.charge(self.owner, seconds)

    def _charge_unread(self, unread: int) -> None:
        """Charge unread bytes to the owner's buffer share; if they exceed it, the connection is aborted."""
        if unread == self.unread_bytes:
            return
        buffer, increase = self._service.resources.buffer, unread - self.unread_bytes
        self.unread_bytes = unread
        if increase < 0:
            buffer.release(self.owner, -increase)
            return
        if buffer.acquire(self.owner, increase):
            return
        buffer.charge(self.owner, increase)
        if not buffer.within_guaranteed_share(self.owner, 0.0):
            self.abort_for(CloseReason.MEMORY)  # the client can detect that its response is incomplete

    def _charge_request(self) -> None:
        """Charge received requests to the owner's buffer share; if they exceed it, they are rejected."""
        size = 0 if self._message is None else _memory_of(self._message)
        size += self._unparsed.size
        for item in self._queue:
            size += 0 if isinstance(item, RejectedRequest) else _memory_of(item)
        buffer, increase = self._service.resources.buffer, size - self.receiving_bytes
        if increase <= 0 or self.transport.is_closing():
            increase = max(increase, -self.receiving_bytes)
            buffer.release(self.owner, -min(increase, 0))
            self.receiving_bytes += min(increase, 0)
            return
        self.receiving_bytes = size
        if not buffer.acquire(self.owner, increase):
            buffer.charge(self.owner, increase)
            if not buffer.within_guaranteed_share(self.owner, 0.0):
                self.reject(503)
                self.take_requests()

    def _set_owner(self, owner: str) -> None:
        """Make a tenant the connection's owner, and charge the connection to its shares."""
        if owner != self.owner:
            self._charge_unread(0)
            self._service.resources.buffer.release(self.owner, self.receiving_bytes)
            self.receiving_bytes = 0
            self._tenant_listener.on_owner_changed(self, owner)
            self.owner = owner

    def clear_owner(self) -> None:
        """Make the idle connection unassigned, since its tenant was removed."""
        self._listener.mark_busy(self)
        unread = self.unread_bytes
        self._set_owner(UNASSIGNED)
        self._charge_unread(unread)
        self._charge_request()
        self._listener.mark_idle(self)

    def _take_request(self, item: RequestMessage | RejectedRequest) -> None:
        started_at = time.perf_counter()
        self._process_request(item)
        elapsed_s = time.perf_counter() - started_at
        self._charge_loop_time(elapsed_s)
        self._charged_s += elapsed_s

    def _process_request(self, item: RequestMessage | RejectedRequest) -> None:
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
                self._detail = SHARE_EXHAUSTED
            if error.status not in KEEP_ALIVE_ERRORS:
                self._keep_alive = False  # a client that floods bad requests has to reconnect each time
            self.answer(error.status)
        except Exception:
            # The request is still answered, and the connection's other requests are handled.
            log.exception("request could not be submitted")
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
        record = service.record(tenant.id)
        try:
            assert isinstance(message, TenantMessage)
            forward_request = parse_tenant_request(message, target, entry, record, self._peer)
        except BadRequestError as error:
            record.stats.rejected += 1
            if isinstance(error, MethodNotAllowedError):
                self.extra_header_lines = b"Allow: %b\r\n" % error.allowed.encode()
            raise
        record.stats.requests += 1
        if tenant.state == model.DRAINING:
            self._reject_with_cause(record, DRAINING)
        elif service.resources.loop_time.must_shed_load(tenant.id):
            self._reject_with_cause(record, LOOP_TIME_EXHAUSTED)
        else:
            self._submit(record, forward_request)

    def _submit(self, record: TenantInfo, forward_request: ForwardRequest) -> None:
        core = self._service.core(record.tenant.id)
        self._handler = cast(Any, core)
        request_id = core.submit(self, forward_request, self._service.make_room)
        if request_id is not None:
            if self._answer_due:  # otherwise the core has already answered it
                self._request_id = request_id
        elif core.cause == CONFLICT:
            record.stats.requests -= 1
            record.stats.rejected += 1
            raise BadRequestError("X-Request-Id: is in use", 409)
        else:
            self._reject_with_cause(record, core.cause)

    def _reject_with_cause(self, record: TenantInfo, cause: str) -> None:
        record.stats.count_rejection(cause)
        self._detail = cause
        self.answer(503, retry_after_ms=SERVICE_RETRY_AFTER_MS)

    def _retry_after_line(self, wait_ms: float) -> bytes:
        """The Retry-After line in whole seconds (RFC 9110 section 10.2.3)."""
        return b"Retry-After: %d\r\n" % max(-(-wait_ms // 1000), 1)

    def answer(
        self, status: int, body: bytes = b"", content_type: bytes = b"", retry_after_ms: float = 0.0
    ) -> None:
        """Send the answer; an error of the gateway itself has a problem document as its body (RFC 9457)."""
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
