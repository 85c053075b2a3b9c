"""The server side: takes requests off connections, and gives each one exactly one answer."""

from __future__ import annotations

import asyncio
import errno
import logging
import os
import re
import select
import socket
import time
from collections import deque
from functools import partial
from itertools import islice
from typing import Any, ClassVar, Final, Generic, Protocol, TypeVar, cast

import httptools

from hillmux import interface as api
from hillmux.net.forward_request import Client, ForwardRequest
from hillmux.net.http1 import BODILESS_STATUSES, MAX_BUFFERED_BODY_BYTES, NOT_CONNECTED, OPTIONAL_WHITESPACE
from hillmux.net.lingering_close import (
    LINGER_TIMEOUT_S,
    MAX_LINGER_BYTES,
    HangUpDetector,
    has_unread_input,
    peer_has_closed,
)
from hillmux.net.requests import (
    GATEWAY_HEADERS,
    BadRequestError,
    RequestMessage,
    RequestRules,
    check_framing,
    parse_request,
)

log = logging.getLogger(__name__)
Connection = TypeVar("Connection", bound="ClientConnection")

LISTEN_BACKLOG: Final = 256
CLIENT_DESCRIPTOR_SHARE: Final = 0.5  # of the descriptors
MAX_HEAD_BYTES: Final = 32 * 1024
MAX_FRAMED_BODY_BYTES: Final = (
    2 * MAX_BUFFERED_BODY_BYTES
)  # a body as it stands on the wire, with its chunk lines
MAX_PIPELINED: Final = 16  # requests that may wait behind the open one on a connection
# Bytes that are read, and not yet parsed, behind requests that wait: on one connection, and on all
MAX_UNPARSED_BYTES_PER_CONNECTION: Final = 1024 * 1024
MAX_UNPARSED_BYTES: Final = 4 * 1024 * 1024
FIRST_REQUEST_GRACE_S: Final = (
    0.4  # a drain leaves a connection that has asked for nothing yet so much time to do so
)
MAX_EVICTION_CANDIDATES: Final = 8  # connections owed nothing that are looked at when one of them has to go
# How long a head may take to come in, the first one from the connect on: slow clients need 2 s
HEAD_TIMEOUT_S: Final = 2.6
BODY_STALL_TIMEOUT_S: Final = 2.4  # how long a body may stand still
BODY_TIMEOUT_S, MIN_BODY_BYTES_PER_S = (
    5.0,
    16_384.0,
)  # how long it may take in all, and what it must bring a second beyond that
KEEP_ALIVE_TIMEOUT_S: Final = 4.0  # how long a connection is kept after its last answer
TIMEOUT_CHECK_INTERVAL_S: Final = 0.25
ACCEPT_RETRY_DELAY_S: Final = 0.05
# Spacing of the looks for connections that carry nothing, while another process takes over
MIGRATION_RETRY_INTERVAL_S: Final = 0.005
MAX_ACCEPTS_PER_TURN: Final = 16  # connections taken in one turn of the loop: others have work to do, too

REASON_PHRASES: Final = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    408: b"Request Timeout",
    405: b"Method Not Allowed",
    409: b"Conflict",
    410: b"Gone",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
STATUS_LINES: Final = {
    status: b"HTTP/1.1 %d %b\r\n" % (status, reason) for status, reason in REASON_PHRASES.items()
}
ABSOLUTE_FORM_ORIGIN: Final = re.compile(rb"^https?://[^/?#]*(?=/)", re.IGNORECASE)


class RequestHandler(Protocol):
    """Who takes the requests of one server."""

    draining: bool
    settings: api.Settings

    def request(self, client: Client, order: ForwardRequest) -> str | None:
        """Take one; None if its own id is in use."""

    def client_disconnected(self, rid: str) -> None:
        """The client of a request is gone."""

    def abort_request(self, rid: str, status: int) -> None:
        """A request that was taken will never be whole."""

    def ready(self) -> bool:
        """Whether requests can be served."""


class SuccessorProcess(Protocol):
    """The process that goes on serving our clients."""

    def take(self, descriptor: int) -> None:
        """Take a connection over; the descriptor is the heir's."""

    def took(self) -> bool:
        """Whether all that it was given has left."""


class ClientConnection:
    """One connection of a client: requests are taken one at a time, in order.

    An `asyncio.Protocol` by its methods, not by its base (see `ReplyProtocol`).
    """

    kept_headers = GATEWAY_HEADERS  # the headers that are kept
    max_body_bytes = MAX_BUFFERED_BODY_BYTES  # a body that is said to be longer is turned away at its head
    max_request_bytes = MAX_HEAD_BYTES + MAX_FRAMED_BODY_BYTES  # of a request with its chunk lines
    message_type: type[RequestMessage] = RequestMessage  # what one request is read into
    _streamed_body: Any = (
        None  # the body of the request that is owed an answer, where it is passed on as it comes
    )
    _body_paused = False  # no host takes that body: read no more of it
    extra_header_lines = b""  # further header lines of the answer that is being written

    def __init__(self, server: Listener[Any]) -> None:
        self._listener, self._handler = server, server.handler
        self.transport = NOT_CONNECTED
        self._parser = httptools.HttpRequestParser(self)
        self._message: RequestMessage | None = None  # being read
        self._queue: deque[RequestMessage | int] = deque()  # whole, or the status of a bad one
        self._request_id: str | None = None  # id of the request that is owed an answer
        self._answer_due = False  # a request is owed an answer
        self._keep_alive = True
        self._closing = False
        self._parse_error_status = 400  # for what is found to be bad while it is parsed
        self.answered = False  # at least one request
        self._taking_requests = self._reading_paused = False
        self._unparsed: deque[bytes] = deque()  # what came behind requests that wait, unparsed
        self._unparsed_bytes = 0
        self._writing_paused = False  # the client does not read its answers
        self._received_bytes = 0  # bytes of the message being read, or of a rejected one's rest
        self.waiting_since = 0.0  # when it was opened, became idle, or the message being read began

    # The methods of asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, and register with the server."""
        self.transport = cast(asyncio.Transport, transport)
        self._listener.on_connection_made(self)

    def data_received(self, data: bytes) -> None:
        """Parse what has come, or keep it while requests wait (1 MiB on one connection, 4 MiB on all)."""
        if self._closing:
            self._received_bytes += len(data)
            if self._received_bytes > MAX_LINGER_BYTES:
                if self._answer_due or self._queue:
                    self._update_reading()  # it is owed answers
                else:
                    self.transport.abort()
        elif self._queue and self._message is None:
            # Danger: a client that sends much at once and goes. Its end stands behind all that it sent, and
            # shows only once that is read; unread, its requests would be sent on for nobody one by one.
            self._unparsed.append(data)
            self._unparsed_bytes += len(data)
            self._listener.unparsed_bytes += len(data)
            self._update_reading()
        else:
            self._parse(data)
            self._take_requests()

    def _parse(self, data: bytes) -> None:
        """Parse what has come."""
        self._received_bytes += len(data)
        if self._message is None and not self._answer_due and self.answered:
            self._listener.mark_idle(self)
        try:
            self._parser.feed_data(data)
            in_head = self._message is not None and self._message.method == b""
            if self._received_bytes > (MAX_HEAD_BYTES if in_head else self.max_request_bytes):
                self._reject(400)  # guards the memory: a head without an end
        except httptools.HttpParserUpgrade:  # not offered: the request is answered, and is the last
            self._closing = True
            last = self._queue[-1]
            if isinstance(last, RequestMessage):
                last.keep_alive = False
        except httptools.HttpParserError:
            self._reject(self._parse_error_status)

    def pause_writing(self) -> None:
        """The transport's write buffer is full: take no further request."""
        self._writing_paused = (
            True  # guards the memory: no further request is taken until the answers are read
        )

    def resume_writing(self) -> None:
        """The write buffer has drained: go on with the requests that wait."""
        self._writing_paused = False
        self._take_requests()

    def eof_received(self) -> None:
        """The client has gone away; the transport closes itself once what was answered has left.

        Danger: with answers that nobody reads that is never. So what is open for the client ends now, and
        the connection in a while (`check`).
        """
        self._on_client_disconnected()
        self._listener.mark_idle(self)

    def has_disconnected(self, behind: bool) -> bool:
        """Whether the client has closed or reset; looked for only if `behind` or before a first answer."""
        # Not for every request: a look at the system's buffer is a system call.
        return (behind or not self.answered) and peer_has_closed(self.transport)

    def on_hang_up(self) -> None:
        """The client has gone away while it was not being read."""
        self._on_client_disconnected()
        self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is gone: free its room, and call off the request that is open."""
        self._listener.on_connection_lost(self)
        self._on_client_disconnected()

    def _on_client_disconnected(self) -> None:
        """Nobody reads what would still be answered: nothing more is taken, what is open is called off."""
        self._closing = True
        self._queue.clear()
        self._drop_unparsed()
        self._listener.hang_up_detector.forget(self)
        rid, self._request_id = self._request_id, None
        if rid is not None:
            self._handler.client_disconnected(rid)

    def _drop_unparsed(self) -> None:
        self._listener.unparsed_bytes -= self._unparsed_bytes
        self._unparsed.clear()
        self._unparsed_bytes = 0

    # httptools; what these raise reaches data_received as an HttpParserError

    def on_message_begin(self) -> None:
        """A request begins; BadRequestError if more than MAX_PIPELINED wait already."""
        if len(self._queue) > MAX_PIPELINED:
            raise BadRequestError("too many requests at once")  # guards the memory and others' turns
        self._message = self.message_type()

    def on_url(self, url: bytes) -> None:
        """A piece of the request target."""
        message = self._message
        assert message is not None
        message.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header if it is wanted; BadRequestError once all of them exceed MAX_HEAD_BYTES bytes."""
        message = self._message
        assert message is not None
        if message.method:
            return  # a trailer: what the request is has been decided by its head
        message.head_bytes += len(name) + len(value)
        if message.head_bytes > MAX_HEAD_BYTES:
            raise BadRequestError("head")
        name = name.lower()
        if name in self.kept_headers:
            headers = message.headers
            if name in headers:
                message.has_duplicate_header = True
            headers[name] = value.strip(OPTIONAL_WHITESPACE)

    def on_headers_complete(self) -> None:
        """Check the framing, and answer `Expect: 100-continue`; BadRequestError (400 or 413) if it is bad."""
        message = self._message
        assert message is not None
        message.method = self._parser.get_method()
        try:
            check_framing(message, self.max_body_bytes)
        except BadRequestError as error:
            self._parse_error_status = error.status
            raise
        if message.headers.get(b"expect", b"").lower() == b"100-continue" and not self._answer_due:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Buffer the body up to MAX_BUFFERED_BODY_BYTES; what exceeds that goes to `on_oversized_body`."""
        message = self._message
        assert message is not None
        message.body_bytes += len(data)
        message.last_data_at = self._listener.loop.time()
        if message.body_bytes > MAX_BUFFERED_BODY_BYTES:
            self.on_oversized_body(data)
        else:
            message.body.append(data)

    def on_oversized_body(self, data: bytes) -> None:
        """More of a body that is too long to be gathered."""
        self._parse_error_status = 413
        raise BadRequestError("body", 413)

    def on_streamed_body_complete(self) -> None:
        """The last byte of one that is passed on as it comes."""

    def on_message_complete(self) -> None:
        """Queue the whole request; one that is passed on as it comes is queued already."""
        message = self._message
        assert message is not None
        if message.streamed_body is not None:
            self.on_streamed_body_complete()
            return
        self._message = None
        self._received_bytes = 0
        message.keep_alive = self._parser.should_keep_alive()
        message.read_at = time.monotonic()
        self._queue.append(message)

    # Requests and answers

    def _reject(self, status: int) -> None:
        """Answer what cannot be taken, after all that came before it, and read no more of it."""
        if not self._closing:
            self._closing = True
            self._message = None
            self._received_bytes = 0
            self._queue.append(status)

    def _take_requests(self) -> None:
        """Take what waits, one request at a time; parse on only while nothing waits."""
        if (
            self._taking_requests
            or self.transport is NOT_CONNECTED
            or not (self._queue or self._reading_paused or self._unparsed)
        ):
            return
        self._taking_requests = True
        try:
            while True:
                while self._queue and not self._answer_due and not self._writing_paused:
                    self._take_request(self._queue.popleft())
                if self._queue or self._closing or not self._unparsed:
                    break
                data = self._unparsed.popleft()  # as it came: only so many requests may stand in one piece
                self._unparsed_bytes -= len(data)
                self._listener.unparsed_bytes -= len(data)
                self._parse(data)
        finally:
            self._taking_requests = False
        if self._queue or self._body_paused or self._reading_paused:
            self._update_reading()

    def _update_reading(self) -> None:
        # What is read only to be forgotten has its bound, and answers that are owed go before it.
        owed = self._answer_due or bool(self._queue)
        wait = (
            self._body_paused
            or (self._closing and owed and self._received_bytes > MAX_LINGER_BYTES)
            or self._unparsed_bytes > MAX_UNPARSED_BYTES_PER_CONNECTION
            or (self._unparsed_bytes > 0 and self._listener.unparsed_bytes > MAX_UNPARSED_BYTES)
        )
        if wait == self._reading_paused or self.transport.is_closing():
            return
        self._reading_paused = wait
        if wait:
            self.transport.pause_reading()
            self._listener.hang_up_detector.watch(self)
        else:
            self._listener.hang_up_detector.forget(self)
            self.transport.resume_reading()

    def _take_request(self, item: RequestMessage | int) -> None:
        self._answer_due = True
        self._listener.mark_busy(self)
        try:
            if isinstance(item, int):
                raise BadRequestError("unreadable", item)
            self._keep_alive = item.keep_alive
            if item.streamed_body is not None:
                self._streamed_body = item.streamed_body
            self._route(item)
        except BadRequestError as error:
            self._keep_alive = False  # guards against a flood on one connection: it has to come again
            self.answer(error.status)

    def _route(self, message: RequestMessage) -> None:
        if message.url[:1] != b"/":
            message.url = ABSOLUTE_FORM_ORIGIN.sub(b"", message.url) or b"/"  # RFC 9112 section 3.2.2
        path = message.url.partition(b"?")[0]
        if path == b"/ready" and message.method == b"GET":
            self.answer(200 if self._handler.ready() else 503)
        elif not path.startswith(b"/api/"):
            raise BadRequestError("path", 404)
        else:
            terms = self._listener.request_rules
            assert terms is not None  # a front without any has a way of its own to serve
            wanted = parse_request(message, terms)
            rid = self._handler.request(self, wanted)
            if rid is None:
                raise BadRequestError("an id that is in use", 409)
            if self._answer_due:  # else it is answered already
                self._request_id = rid

    def answer(
        self, status: int, body: bytes = b"", content_type: bytes = b"", retry_after_ms: float = 0.0
    ) -> None:
        """The one answer to the request that is open."""
        self._request_id, self._answer_due, self.answered = None, False, True
        if self._streamed_body is not None:
            upload, self._streamed_body = self._streamed_body, None
            if not upload.complete:
                upload.discard()  # its answer is here before its end: read on, so that the client hears it
        if self.transport.is_closing():
            return
        self._listener.mark_idle(self)
        heir = self._listener.successor
        keep = self._keep_alive and (heir is not None or not self._handler.draining or self._has_more_input())
        parts = [STATUS_LINES.get(status) or b"HTTP/1.1 %d \r\n" % status]
        if status not in BODILESS_STATUSES:
            parts.append(b"Content-Length: %d\r\n" % len(body))
        if content_type:
            parts.append(b"Content-Type: %b\r\n" % content_type)
        if retry_after_ms > 0:
            parts.append(self._retry_after_line(retry_after_ms))
        if self.extra_header_lines:
            parts.append(self.extra_header_lines)
            self.extra_header_lines = b""
        parts.append(b"\r\n" if keep else b"Connection: close\r\n\r\n")
        parts.append(body)
        self.transport.write(b"".join(parts))
        if not keep:
            self._close_gracefully()
        elif heir is not None:
            self._listener.loop.call_soon(self.migrate)
        self._take_requests()

    def _retry_after_line(self, wait_ms: float) -> bytes:
        """The header's line; the platform reads decimals."""
        return b"Retry-After: %.3f\r\n" % (wait_ms / 1000)

    def _has_more_input(self) -> bool:
        """Whether more has arrived than the request that is open, so that this answer is not the last."""
        return (
            bool(self._queue)
            or bool(self._unparsed)
            or self._message is not None
            or has_unread_input(self.transport)
        )

    def _close_gracefully(self) -> None:
        """Shut our side after the last answer, and read on for a while (net/closing.py)."""
        if self.transport.is_closing():
            return
        self._closing = True
        self._queue.clear()
        self._drop_unparsed()
        self._received_bytes = 0
        self.waiting_since = self._listener.loop.time()
        self.transport.write_eof()
        self._update_reading()

    def check_timeouts(self, now: float) -> None:
        """Close if the client has been silent, idle or slow to send its request for too long."""
        waited = now - self.waiting_since
        if self._closing:
            if waited > LINGER_TIMEOUT_S:
                self.transport.abort()  # also guards the descriptors: it does not read its last answer
        elif self._message is not None:
            if waited > HEAD_TIMEOUT_S and self._read_timed_out(now):
                self._reject(408)
                self._take_requests()
        elif waited > (KEEP_ALIVE_TIMEOUT_S if self.answered else HEAD_TIMEOUT_S):
            self.close_if_idle()

    def migrate(self) -> bool:
        """Pass the connection on to the server's heir, if it carries nothing and all answers have left."""
        heir, transport = self._listener.successor, self.transport
        if (
            heir is None
            or self._answer_due
            or self._message is not None
            or self._queue
            or self._unparsed
            or self._closing
            or transport is NOT_CONNECTED
            or transport.is_closing()
            or transport.get_write_buffer_size()
        ):
            return False
        heir.take(os.dup(transport.get_extra_info("socket").fileno()))
        self._closing = True
        transport.abort()  # closes our descriptor and says nothing to the client: the heir has another
        return True

    def _read_timed_out(self, now: float) -> bool:
        """Whether the request being read has taken its time: all of it for a head, or a body too slow."""
        message = self._message
        if message is None or not message.method:
            return True
        if (
            not message.body_started_at
        ):  # its head has come since we last looked, and perhaps some of its body
            message.body_started_at = message.last_data_at = message.last_data_at or now
        return (
            now - message.last_data_at > BODY_STALL_TIMEOUT_S
            or now - message.body_started_at > BODY_TIMEOUT_S + message.body_bytes / MIN_BODY_BYTES_PER_S
        )

    def close_if_idle(self) -> None:
        """Close unless a request is owed its answer, is being read, or has come and is unread."""
        if not (self._answer_due or self._closing or self.transport.is_closing() or self._has_more_input()):
            self._close_gracefully()

    def drain(self, now: float) -> None:
        """Close if idle; one that has asked for nothing yet is left some time to do so."""
        if self.answered or now - self.waiting_since > FIRST_REQUEST_GRACE_S:
            self.close_if_idle()

    def can_close_without_loss(self) -> bool:
        """Whether it can be closed at once with nothing lost: all answers have left, nothing has come."""
        return not self.transport.get_write_buffer_size() and not has_unread_input(self.transport)


def _as_protocol(connection: ClientConnection) -> asyncio.Protocol:
    return cast(asyncio.Protocol, connection)


class Listener(Generic[Connection]):
    """Accepts clients while there is room for them."""

    connection_type: ClassVar[type[Any]] = ClientConnection  # made of what is accepted

    def __init__(self, handler: RequestHandler, loop: asyncio.AbstractEventLoop, sockets: int) -> None:
        self.handler, self.loop = handler, loop
        self.request_rules = self._make_request_rules()  # of the requests that come
        self.hang_up_detector = HangUpDetector(loop)
        self.unparsed_bytes = 0  # bytes kept behind requests that wait, on all connections
        self.connections: set[Connection] = set()
        # Owed nothing, the longest first: those that have had an answer, and those still to be heard.
        self._idle_after_answer: dict[Connection, None] = {}
        self._awaiting_first_request: dict[Connection, None] = {}
        self.max_connections = int(CLIENT_DESCRIPTOR_SHARE * sockets)
        self.sockets: list[socket.socket] = []
        self._accepting = self._socket_lent = False
        self._setup_tasks: set[asyncio.Task[Any]] = set()
        self._being_set_up: set[Connection] = set()  # accepted, and not yet up
        self._evicted: set[Connection] = set()  # told to go, for room, and not yet gone
        self.successor: SuccessorProcess | None = None  # accepts in our place, and takes connections over

    def _make_request_rules(self) -> RequestRules | None:
        return RequestRules(self.handler.settings)

    def reload_settings(self) -> None:
        """Go by the core's settings as they are now."""
        self.request_rules = self._make_request_rules()

    def start(self, *addresses: tuple[str, int], shared: bool = False) -> list[tuple[str, int]]:
        """Listen; returns the addresses, with the ports that the system chose for 0. Shared ones may be
        listened on by several processes of this user.

        Raises:
            OSError: an address cannot be listened on; then none is.
        """
        try:
            for address in addresses:
                family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
                listener = socket.socket(family, socket.SOCK_STREAM)
                self.sockets.append(listener)
                listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                if shared:
                    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
                listener.setblocking(False)
                listener.bind(address)
                listener.listen(LISTEN_BACKLOG)
        except OSError:
            self.stop_accepting()
            raise
        return self._start_listening()

    def _start_listening(self) -> list[tuple[str, int]]:
        self._resume_accepting()
        self.loop.call_later(TIMEOUT_CHECK_INTERVAL_S, self._check_timeouts)
        return [listener.getsockname()[:2] for listener in self.sockets]

    def inherit_socket(self, descriptor: int) -> list[tuple[str, int]]:
        """Listen on another process's socket; returns its address. What waits there is ours."""
        listener = socket.socket(fileno=descriptor)
        listener.setblocking(False)
        self.sockets.append(listener)
        return self._start_listening()

    def lend_socket(self) -> int:
        """Accept no more for now; a descriptor of the listening socket, in whose line connections wait."""
        self._pause_accepting()
        self._socket_lent = True
        return os.dup(self.sockets[0].fileno())

    def take_back_socket(self) -> None:
        """Accept again: the other process did not."""
        self._socket_lent = False
        self._resume_accepting()

    def hand_over_to(self, heir: SuccessorProcess) -> None:
        """Another process accepts on our socket: pass on what carries nothing, the rest after its answers."""
        self._close_sockets()
        self.successor = heir
        self.migrate_connections()

    def migrate_connections(self) -> None:
        """Pass on the connections that carry nothing, again and again until none is left."""
        if self.successor is None:
            return
        for connection in list(self.connections):
            connection.migrate()
        if self.connections or self._being_set_up:
            self.loop.call_later(MIGRATION_RETRY_INTERVAL_S, self.migrate_connections)

    def adopt_connection(self, descriptor: int) -> None:
        """Take over a client's connection that has had answers of another process."""
        connection = self.connection_type(self)
        connection.answered = True
        if not self.ensure_capacity() and not self._evicted:
            os.close(descriptor)  # guards the descriptors: its client asks again on a new one
            return
        self._set_up_connection(connection, socket.socket(fileno=descriptor))

    def _close_sockets(self) -> None:
        self._pause_accepting()
        for listener in self.sockets:
            listener.close()
        self.sockets.clear()

    def stop_accepting(self) -> None:
        """Close the listening socket, once all that has come to it is accepted."""
        if not self._socket_lent:
            for listener in self.sockets:
                self.accept(listener, LISTEN_BACKLOG)
        self._close_sockets()

    def close_idle(self) -> bool:
        """Close the connections that carry nothing, or pass them on; True once none is left."""
        if self.successor is None:
            now = self.loop.time()
            for connection in list(self.connections):
                connection.drain(now)
        return (
            not self.connections
            and not self._setup_tasks
            and (self.successor is None or self.successor.took())
        )

    def on_connection_made(self, connection: Connection) -> None:
        """A connection is up, and silent so far."""
        self._being_set_up.discard(connection)
        self.connections.add(connection)
        self.mark_idle(connection)

    def mark_idle(self, connection: Connection) -> None:
        """From now on a connection is owed nothing."""
        connection.waiting_since = self.loop.time()
        self.mark_busy(connection)
        (self._idle_after_answer if connection.answered else self._awaiting_first_request)[connection] = None
        self._resume_accepting()

    def mark_busy(self, connection: Connection) -> None:
        """A connection is owed an answer."""
        self._idle_after_answer.pop(connection, None)
        self._awaiting_first_request.pop(connection, None)

    def on_connection_lost(self, connection: Connection) -> None:
        """A connection is gone; there is room for another."""
        self.connections.discard(connection)
        self._evicted.discard(connection)
        self.mark_busy(connection)
        self._resume_accepting()

    def _resume_accepting(self) -> None:
        if (
            self.sockets
            and not self._accepting
            and not self._socket_lent
            and (self.ensure_capacity() or not self._client_waiting())
        ):
            self._accepting = True
            for listener in self.sockets:
                self.loop.add_reader(listener, self.accept, listener)

    def _pause_accepting(self) -> None:
        if self._accepting:
            self._accepting = False
            for listener in self.sockets:
                self.loop.remove_reader(listener)

    def ensure_capacity(self) -> bool:
        """Whether there is a descriptor for one more now; if not, one that is owed nothing goes, if any can.

        Guards those who ask against those who only hold connections: silent, half-sent or asked once. One
        that had an answer goes first: its client asks again elsewhere, while the first request on a new
        connection that is closed has failed.
        """
        if self._below_limit():
            return True
        if not self._evicted and self._client_waiting() and not self._evict_idle(self._idle_after_answer):
            self._evict_idle(self._awaiting_first_request)
        return False

    def _client_waiting(self) -> bool:
        """Whether a client waits to be accepted: nobody gives anything up for none."""
        poll = select.poll()
        for listener in self.sockets:
            poll.register(listener, select.POLLIN)
        return bool(poll.poll(0))

    def _evict_idle(self, idle: dict[Connection, None]) -> bool:
        """End the one idle for longest that can be ended at once with nothing lost; whether there was one.

        Danger: its descriptor is free with the next turn of the loop, and who is accepted before that takes
        one that hosts, counter or discovery were to have. So its room comes with its close (`closed`).
        """
        for connection in islice(idle, MAX_EVICTION_CANDIDATES):
            if connection.can_close_without_loss():
                self.mark_busy(connection)
                self._evicted.add(connection)
                connection.transport.abort()
                return True
        return False

    def _below_limit(self) -> bool:
        return len(self.connections) + len(self._being_set_up) < self.max_connections

    def accept(self, listener: socket.socket, most: int = MAX_ACCEPTS_PER_TURN) -> None:
        # Guards the descriptors: beyond the bound clients wait in the backlog, and a failing accept is
        # tried again later. Neither may end the listener.
        for _ in range(most):
            if not self.ensure_capacity():
                if self._client_waiting():  # else the next one finds us listening
                    self._pause_accepting()
                return
            try:
                accepted, _ = listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                log.warning("accept failed: %s", errno.errorcode.get(error.errno or 0, error))
                self._pause_accepting()
                self.loop.call_later(ACCEPT_RETRY_DELAY_S, self._resume_accepting)
                return
            self._set_up_connection(self.connection_type(self), accepted)

    def _set_up_connection(self, connection: Connection, accepted: socket.socket) -> None:
        accepted.setblocking(False)
        self._being_set_up.add(connection)
        task = self.loop.create_task(
            self.loop.connect_accepted_socket(partial(_as_protocol, connection), accepted)
        )
        self._setup_tasks.add(task)
        task.add_done_callback(partial(self._on_set_up, connection))

    def _on_set_up(self, connection: Connection, task: asyncio.Task[Any]) -> None:
        self._setup_tasks.discard(task)
        self._being_set_up.discard(connection)
        if not task.cancelled() and task.exception() is not None:
            log.warning("a client was gone before it was taken: %s", task.exception())
        self._resume_accepting()

    def _check_timeouts(self) -> None:
        now = self.loop.time()
        for connection in (*self._idle_after_answer, *self._awaiting_first_request):
            connection.check_timeouts(now)
        self.loop.call_later(TIMEOUT_CHECK_INTERVAL_S, self._check_timeouts)
