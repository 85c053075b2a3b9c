"""The server side: parses and validates requests, and gives each one exactly one answer."""

from __future__ import annotations

import asyncio
import errno
import logging
import re
import socket
from collections import deque
from functools import lru_cache

import httptools

from yewstage import interface as api
from yewstage.net.core import Core, Order
from yewstage.net.http1 import LONGEST_BODY

log = logging.getLogger(__name__)

BACKLOG = 256
CLIENT_SHARE = 0.5  # of the descriptors
LONGEST_HEAD = 32 * 1024
HEAD_S = 10.0  # how long a request may take to come in
IDLE_S = 75.0  # how long an idle connection is kept
LINGER_S = 1.0  # how long the rest of a rejected request is read before its connection is closed
SWEEP_S = 1.0
ACCEPT_PAUSE_S = 0.05

REASONS = {200: b"OK", 400: b"Bad Request", 404: b"Not Found", 408: b"Request Timeout",
           413: b"Content Too Large", 500: b"Internal Server Error", 502: b"Bad Gateway",
           503: b"Service Unavailable", 504: b"Gateway Timeout"}
LINES = {status: b"HTTP/1.1 %d %b\r\n" % (status, reason) for status, reason in REASONS.items()}
WANTED = frozenset((b"x-request-id", b"x-class", b"plan", b"x-deadline", b"quota-info", b"x-retry",
                    b"idempotency-key", b"content-length", b"content-type", b"expect"))
WORD = re.compile(rb"[!-~]{1,128}")
CUSTOMER = re.compile(rb"[0-9a-fA-F]{16}")
DEADLINE = re.compile(rb"([0-9]{1,12}(?:\.[0-9]{1,6})?)([mu])")
UNITS = re.compile(r"[0-9]{1,9}(?:\.[0-9]{1,9})?")
WHOLE = re.compile(r"[0-9]{1,6}")


class BadRequestError(ValueError):
    """A request that is answered 400."""


class _Message:
    """One request as parsed."""

    __slots__ = ("url", "headers", "body", "size", "method", "keep_alive", "twice", "head")

    def __init__(self) -> None:
        self.url = b""
        self.headers: dict[bytes, bytes] = {}
        self.body: list[bytes] = []
        self.size = 0
        self.method = b""
        self.keep_alive = True
        self.head = 0  # bytes of its headers
        self.twice = False  # a header that we go by came twice


class Names:
    """The classes and plans that a request may name, as they stand in its headers."""

    def __init__(self, settings: api.Settings) -> None:
        self.classes = {c.name.encode(): c for c in settings.classes}
        self.plans = {p.name.encode(): p.name for p in settings.plans}


def order(message: _Message, names: Names) -> Order:
    """A request for `/api/` as an `Order`; BadRequestErrorError where it breaks the protocol."""
    headers = message.headers
    if message.twice:
        raise BadRequestError("a header came twice")
    path, _, _ = message.url.partition(b"?")
    customer = path.rpartition(b"/")[2]
    if not CUSTOMER.fullmatch(customer) or int(customer, 16) >= 2 ** 33:
        raise BadRequestError("customer")
    cls = names.classes.get(headers.get(b"x-class", b""))
    plan = names.plans.get(headers.get(b"plan", b""))
    if cls is None or plan is None:
        raise BadRequestError("class or plan")
    deadline = DEADLINE.fullmatch(headers.get(b"x-deadline", b""))
    if deadline is None:
        raise BadRequestError("X-Deadline")
    time_left_ms = float(deadline[1]) / (1 if deadline[2] == b"m" else 1000)
    units, width, first = _quota_info(headers.get(b"quota-info", b""))
    return Order(cls.name, plan, customer.decode().lower(), time_left_ms, units, width, first,
                 headers.get(b"x-retry") == b"1", _head(message, cls), b"".join(message.body))


@lru_cache(maxsize=1024)  # a few values make up all traffic
def _quota_info(value: bytes) -> tuple[float, int, int]:
    """`units=2,spread=3,first=1`."""
    fields = dict(part.strip().partition("=")[::2] for part in value.decode("latin-1").split(","))
    units, spread, first = (fields.get(name, "") for name in ("units", "spread", "first"))
    if not (UNITS.fullmatch(units) and WHOLE.fullmatch(spread) and WHOLE.fullmatch(first)):
        raise BadRequestError("Quota-Info")
    if float(units) <= 0 or int(spread) < 1:
        raise BadRequestError("Quota-Info")
    return float(units), int(spread), int(first)


def _head(message: _Message, cls: api.RequestClass) -> bytes:
    """The head for the host: method, path, query, id and key unchanged."""
    headers, key = message.headers, message.headers.get(b"idempotency-key")
    rid = headers.get(b"x-request-id", b"")
    if not WORD.fullmatch(rid) or (key is not None and not WORD.fullmatch(key)):
        raise BadRequestError("X-Request-Id or Idempotency-Key")
    # A class that may not simply be repeated must not come as a method that may.
    if message.method != (b"GET" if cls.effect == "safe" else b"POST"):
        raise BadRequestError("method")
    if (cls.effect == "keyed" and key is None) or (cls.effect == "safe" and message.body):
        raise BadRequestError("Idempotency-Key or body")
    lines = [b"%b %b HTTP/1.1\r\nHost: upstream\r\nX-Request-Id: %b\r\n" % (message.method, message.url, rid)]
    if key is not None:
        lines.append(b"Idempotency-Key: %b\r\n" % key)
    if message.method == b"POST":
        lines.append(b"Content-Length: %d\r\n" % message.size)
    if b"content-type" in headers:
        lines.append(b"Content-Type: %b\r\n" % headers[b"content-type"])
    return b"".join(lines)


class ClientConnection(asyncio.Protocol):
    """One connection of a client: requests are taken one at a time, in order."""

    def __init__(self, server: Server) -> None:
        self._server, self._core = server, server.core
        self.transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._message: _Message | None = None  # being read
        self._queue: deque[_Message | int] = deque()  # whole, or the status of a bad one
        self._open: str | None = None  # id of the request that is owed an answer
        self._busy = False  # a request is owed an answer
        self._keep_alive = True
        self._ending = False
        self._pumping = self._paused = False
        self._blocked = False  # the client does not read its answers
        self._head = 0  # bytes of the head being read
        self.since = 0.0  # when the message being read began, or the connection became idle

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.since = self._server.now()
        self._server.connections.add(self)

    def data_received(self, data: bytes) -> None:
        if self._ending:
            return
        if self._message is None and not self._busy:
            self.since = self._server.now()
        self._head += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._reject(400)
        if self._head > LONGEST_HEAD and not self._ending:
            self._reject(400)  # guards the memory: a head without an end
        self._pump()

    def pause_writing(self) -> None:
        self._blocked = True  # guards the memory: no further request is taken until the answers are read

    def resume_writing(self) -> None:
        self._blocked = False
        self._pump()

    def eof_received(self) -> None:
        """The client has gone away; the transport closes itself."""

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.closed(self)
        self._ending = True
        self._queue.clear()
        if self._open is not None:
            self._core.left(self._open)
            self._open = None

    # httptools

    def on_message_begin(self) -> None:
        self._message = _Message()

    def on_url(self, url: bytes) -> None:
        self._message.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        name = name.lower()
        self._message.head += len(name) + len(value)
        if self._message.head > LONGEST_HEAD:
            self._reject(400)
        elif name in WANTED:
            headers = self._message.headers
            self._message.twice |= name in headers
            headers[name] = value

    def on_headers_complete(self) -> None:
        message = self._message
        self._head = -LONGEST_BODY * 2  # from here on the body's own bound holds
        length = message.headers.get(b"content-length", b"0")
        if length.isdigit() and int(length) > LONGEST_BODY:
            self._reject(413)
        elif message.headers.get(b"expect", b"").lower() == b"100-continue" and not self._busy:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        message = self._message
        message.size += len(data)
        if message.size <= LONGEST_BODY:
            message.body.append(data)
        else:
            self._reject(413)

    def on_message_complete(self) -> None:
        message, self._message = self._message, None
        self._head = 0
        message.method = self._parser.get_method()
        message.keep_alive = self._parser.should_keep_alive()
        if not self._ending:
            self._queue.append(message)

    # Requests and answers

    def _reject(self, status: int) -> None:
        """Answer what cannot be taken, after all that came before it, and read no more of it."""
        if not self._ending:
            self._ending = True
            self._queue.append(status)

    def _pump(self) -> None:
        """Take what waits, one request at a time; read on only while nothing waits."""
        if self._pumping or self.transport is None:
            return
        self._pumping = True
        try:
            while self._queue and not self._busy and not self._blocked:
                self._take(self._queue.popleft())
        finally:
            self._pumping = False
        wait = bool(self._queue)
        if wait != self._paused and not self.transport.is_closing():
            self._paused = wait
            (self.transport.pause_reading if wait else self.transport.resume_reading)()

    def _take(self, item: _Message | int) -> None:
        self._busy = True
        if isinstance(item, int):
            self._keep_alive = False
            self.answer(item)
            return
        self._keep_alive = item.keep_alive
        path = item.url.partition(b"?")[0]
        if path == b"/ready" and item.method == b"GET":
            self.answer(200 if self._core.ready() else 503)
        elif not path.startswith(b"/api/"):
            self.answer(404)
        else:
            try:
                wanted = order(item, self._server.names)
            except BadRequestError:
                self.answer(400)
                return
            rid = self._core.request(self, wanted)
            if self._busy:  # else it is answered already
                self._open = rid

    def answer(self, status: int, body: bytes = b"", content_type: bytes = b"",
               retry_after_ms: float = 0.0) -> None:
        """The one answer to the request that is open."""
        self._open, self._busy = None, False
        self.since = self._server.now()
        if self.transport.is_closing():
            return
        keep = self._keep_alive and not self._core.draining
        parts = [LINES[status], b"Content-Length: %d\r\n" % len(body)]
        if content_type:
            parts.append(b"Content-Type: %b\r\n" % content_type)
        if retry_after_ms > 0:
            parts.append(b"Retry-After: %.3f\r\n" % (retry_after_ms / 1000))
        parts.append(b"\r\n" if keep else b"Connection: close\r\n\r\n")
        parts.append(body)
        self.transport.write(b"".join(parts))
        if not keep:
            self._end()
        self._pump()

    def _end(self) -> None:
        """Close after the last answer. What the client still sends is read for a while: a close with unread
        data resets the connection, and the answer with it."""
        self._ending = True
        self._queue.clear()
        if self._message is None:
            self.transport.close()
            return
        self.transport.write_eof()
        self._server.loop.call_later(LINGER_S, self.transport.abort)

    def check(self, now: float) -> None:
        """Close if the client has been idle, or slow to send its request, for too long."""
        if self._busy:
            return
        if self._ending:
            if now - self.since > IDLE_S:
                self.transport.abort()  # guards the descriptors: it does not read its last answer
        elif self._message is not None and now - self.since > HEAD_S:
            self._keep_alive, self._busy = False, True
            self.answer(408)
        elif self._message is None and now - self.since > IDLE_S:
            self.transport.abort()  # what it has not read by now it will not read

    def close_if_idle(self) -> None:
        """Close unless a request is owed its answer or is being read."""
        if not self._busy and self._message is None and not self._queue:
            self.transport.close()


class Server:
    """Accepts clients while there is room for them."""

    def __init__(self, core: Core, loop: asyncio.AbstractEventLoop, sockets: int) -> None:
        self.core, self.loop = core, loop
        self.names = Names(core.settings)
        self.connections: set[ClientConnection] = set()
        self._most = int(CLIENT_SHARE * sockets)
        self._socket: socket.socket | None = None
        self._accepting = False
        self._pending: set[asyncio.Task] = set()

    def now(self) -> float:
        """The loop's time."""
        return self.loop.time()

    def start(self, address: tuple[str, int]) -> tuple[str, int]:
        """Listen; returns the address, with the port that the system chose for 0."""
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_STREAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.setblocking(False)
        self._socket.bind(address)
        self._socket.listen(BACKLOG)
        self._resume()
        self.loop.call_later(SWEEP_S, self._sweep)
        return self._socket.getsockname()[:2]

    def stop_accepting(self) -> None:
        """Close the listening socket, once what has come to it is accepted."""
        if self._accepting:
            self._accept()
        self._pause()
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def close_idle(self) -> bool:
        """Close the connections that carry nothing; True once none is left."""
        for connection in list(self.connections):
            connection.close_if_idle()
        return not self.connections and not self._pending

    def closed(self, connection: ClientConnection) -> None:
        """A connection is gone; there is room for another."""
        self.connections.discard(connection)
        self._resume()

    def _resume(self) -> None:
        if self._socket is not None and not self._accepting and self._room():
            self._accepting = True
            self.loop.add_reader(self._socket, self._accept)

    def _pause(self) -> None:
        if self._accepting:
            self._accepting = False
            self.loop.remove_reader(self._socket)

    def _room(self) -> bool:
        return len(self.connections) + len(self._pending) < self._most

    def _accept(self) -> None:
        # Guards the descriptors: beyond the bound clients wait in the backlog, and a failing accept is
        # tried again later. Neither may end the listener.
        while self._room():
            try:
                accepted, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                log.warning("accept failed: %s", errno.errorcode.get(error.errno, error))
                self._pause()
                self.loop.call_later(ACCEPT_PAUSE_S, self._resume)
                return
            accepted.setblocking(False)
            task = self.loop.create_task(
                self.loop.connect_accepted_socket(lambda: ClientConnection(self), accepted))
            self._pending.add(task)
            task.add_done_callback(self._accepted)
        self._pause()

    def _accepted(self, task: asyncio.Task) -> None:
        # Until here the connection counted twice, which may have paused the listener with room left.
        self._pending.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.warning("a client was gone before it was taken: %s", task.exception())
        self._resume()

    def _sweep(self) -> None:
        now = self.now()
        for connection in list(self.connections):
            connection.check(now)
        self.loop.call_later(SWEEP_S, self._sweep)
