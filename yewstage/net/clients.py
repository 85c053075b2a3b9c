"""The server side: parses and validates requests, and gives each one exactly one answer."""

from __future__ import annotations

import asyncio
import errno
import logging
import os
import re
import socket
import time
from collections import deque
from functools import lru_cache, partial
from typing import Any, ClassVar, Final, Generic, Protocol, TypeVar, cast

import httptools

from yewstage import interface as api
from yewstage.net.core import Client, Order
from yewstage.net.http1 import BLANKS, LONGEST_BODY, NO_BODY, NOT_UP

log = logging.getLogger(__name__)
Connection = TypeVar("Connection", bound="ClientConnection")

BACKLOG: Final = 256
CLIENT_SHARE: Final = 0.5  # of the descriptors
LONGEST_HEAD: Final = 32 * 1024
LONGEST_FRAME: Final = 2 * LONGEST_BODY  # a body as it stands on the wire, with its chunk lines
MOST_AHEAD: Final = 16  # requests that may wait behind the open one on a connection
# How long a head may take to come in, the first one from the connect on: slow clients need 2 s
READ_S: Final = 2.6
STALL_S: Final = 2.4  # how long a body may stand still
BODY_S, BODY_RATE = 5.0, 16_384.0  # how long it may take in all, and what it must bring a second beyond that
IDLE_S: Final = 4.0  # how long a connection is kept after its last answer
LINGER_S, LINGER_BYTES = 1.0, 1024 * 1024  # how much of a rejected request is read before the close
SWEEP_S: Final = 0.25
ACCEPT_PAUSE_S: Final = 0.05
# Spacing of the looks for connections that carry nothing, while another process takes over
HAND_ON_S: Final = 0.005
ACCEPTS: Final = 16  # connections taken in one turn of the loop: others have work to do, too

REASONS: Final = {200: b"OK", 400: b"Bad Request", 404: b"Not Found", 408: b"Request Timeout",
           405: b"Method Not Allowed", 409: b"Conflict", 410: b"Gone", 413: b"Content Too Large",
           429: b"Too Many Requests", 500: b"Internal Server Error", 502: b"Bad Gateway",
           503: b"Service Unavailable", 504: b"Gateway Timeout"}
LINES: Final = {status: b"HTTP/1.1 %d %b\r\n" % (status, reason) for status, reason in REASONS.items()}
WANTED: Final = frozenset((b"x-request-id", b"x-class", b"plan", b"x-deadline", b"quota-info", b"x-retry",
                    b"idempotency-key", b"content-length", b"content-type", b"transfer-encoding", b"expect"))
WORD: Final = re.compile(rb"[!-~]{1,128}")
ABSOLUTE: Final = re.compile(rb"^https?://[^/?#]*(?=/)", re.IGNORECASE)
CUSTOMER: Final = re.compile(rb"0{7}[01][0-9a-fA-F]{8}")  # 33 bits
DEADLINE: Final = re.compile(rb"([0-9]{1,12}(?:\.[0-9]{1,6})?)([mu])")
UNITS: Final = re.compile(r"[0-9]{1,9}(?:\.[0-9]{1,9})?")
WHOLE: Final = re.compile(r"[0-9]{1,6}")


class BadRequestError(ValueError):
    """A request that is turned away, and its connection closed."""

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status


class _Message:
    """One request as parsed."""

    __slots__ = ("url", "headers", "body", "size", "method", "keep_alive", "twice", "head", "read_at",
                 "old", "body_at", "moved_at", "upload")

    def __init__(self) -> None:
        self.url = b""
        self.headers: dict[bytes, bytes] = {}
        self.body: list[bytes] = []
        self.size = 0
        self.method = b""
        self.keep_alive = True
        self.head = 0  # bytes of its headers
        self.twice = False  # a header that we go by came twice
        self.read_at = 0.0
        self.body_at = self.moved_at = 0.0  # when its head was whole, and when more of its body came last
        self.upload: Any = None  # its body, if that is passed on as it comes
        self.old = False  # HTTP/1.0, where that is looked at


class Terms:
    """What a request may name: classes and plans as they stand in its headers, units, sets of gateways."""

    def __init__(self, settings: api.Settings) -> None:
        self.classes = {c.name.encode(): c for c in settings.classes}
        self.plans = {p.name.encode(): p.name for p in settings.plans}
        self._most_units, self._gateways = settings.most_units, settings.fleet_size
        self.quota_info = lru_cache(maxsize=1024)(self._quota_info)  # a few values make up all traffic

    def _quota_info(self, value: bytes) -> tuple[float, int, int]:
        """`units=2,spread=3,first=1`. Guards quotas and ceilings, in which a wild figure would stay."""
        fields = dict(part.strip().partition("=")[::2] for part in value.decode("latin-1").split(","))
        units, spread, first = (fields.get(name, "") for name in ("units", "spread", "first"))
        if not (UNITS.fullmatch(units) and WHOLE.fullmatch(spread) and WHOLE.fullmatch(first)):
            raise BadRequestError("Quota-Info")
        if not (0 < float(units) <= self._most_units and 1 <= int(spread) <= self._gateways
                and int(first) < self._gateways):
            raise BadRequestError("Quota-Info: out of range")
        return float(units), int(spread), int(first)


def order(message: _Message, terms: Terms) -> Order:
    """A request for `/api/` as an `Order`; BadRequestError where it breaks the protocol."""
    headers = message.headers
    path, _, _ = message.url.partition(b"?")
    customer = path.rpartition(b"/")[2]
    if not CUSTOMER.fullmatch(customer):
        raise BadRequestError("customer")
    cls = terms.classes.get(headers.get(b"x-class", b""))
    plan = terms.plans.get(headers.get(b"plan", b""))
    if cls is None or plan is None:
        raise BadRequestError("class or plan")
    deadline = DEADLINE.fullmatch(headers.get(b"x-deadline", b""))
    if deadline is None:
        raise BadRequestError("X-Deadline")
    time_left_ms = float(deadline[1]) / (1 if deadline[2] == b"m" else 1000)
    units, width, first = terms.quota_info(headers.get(b"quota-info", b""))
    # No client of a class waits for longer than its deadline, whatever it says.
    return Order(headers.get(b"x-request-id", b""), cls.name, plan, customer.decode().lower(),
                 min(time_left_ms, cls.deadline_ms), units, width, first, headers.get(b"x-retry") == b"1",
                 message.read_at, _head(message, cls), b"".join(message.body), upload=message.upload)


def check_framing(message: _Message, longest: int = LONGEST_BODY) -> None:
    """Turn away at its head what could be read in two ways, or is longer than may be passed on.

    Guards against a request hidden in another's body: which bytes are body must not be a matter of opinion.
    """
    length = message.headers.get(b"content-length")
    coding = message.headers.get(b"transfer-encoding")
    if message.twice:
        raise BadRequestError("a header came twice")
    if coding is not None and (length is not None or coding.strip().lower() != b"chunked"):
        raise BadRequestError("Transfer-Encoding")
    if length is not None and not length.isdigit():
        raise BadRequestError("Content-Length")
    if length is not None and int(length) > longest:
        raise BadRequestError("Content-Length", 413)


def _head(message: _Message, cls: api.RequestClass) -> bytes:
    """The head for the host: method, path, query, id and key unchanged."""
    headers, key = message.headers, message.headers.get(b"idempotency-key")
    rid = headers.get(b"x-request-id", b"")
    if not WORD.fullmatch(rid) or (key is not None and not WORD.fullmatch(key)):
        raise BadRequestError("X-Request-Id or Idempotency-Key")
    # A class that may not simply be repeated must not come as a method that may.
    if message.method != (b"GET" if cls.effect == "safe" else b"POST"):
        raise BadRequestError("method")
    if (cls.effect == "keyed" and key is None) or (cls.effect == "safe" and message.size):
        raise BadRequestError("Idempotency-Key or body")
    lines = [b"%b %b HTTP/1.1\r\nHost: upstream\r\nX-Request-Id: %b\r\n" % (message.method, message.url, rid)]
    if key is not None:
        lines.append(b"Idempotency-Key: %b\r\n" % key)
    if message.method == b"POST":
        lines.append(b"Content-Length: %d\r\n" % message.size if message.upload is None
                     else message.upload.framing())
    if b"content-type" in headers:
        lines.append(b"Content-Type: %b\r\n" % headers[b"content-type"])
    return b"".join(lines)


class Taker(Protocol):
    """Who takes the requests of one server."""

    draining: bool
    settings: api.Settings

    def request(self, client: Client, order: Order) -> str | None:
        """Take one; None if its own id is in use."""

    def left(self, rid: str) -> None:
        """The client of a request is gone."""

    def broken(self, rid: str, status: int) -> None:
        """A request that was taken will never be whole."""

    def ready(self) -> bool:
        """Whether requests can be served."""


class Heir(Protocol):
    """The process that goes on serving our clients."""

    def take(self, descriptor: int) -> None:
        """Take a connection over; the descriptor is the heir's."""

    def took(self) -> bool:
        """Whether all that it was given has left."""


class ClientConnection:
    """One connection of a client: requests are taken one at a time, in order.

    An `asyncio.Protocol` by its methods, not by its base (see `ReplyProtocol`).
    """

    wanted = WANTED  # the headers that are kept
    longest = LONGEST_BODY  # a body that is said to be longer is turned away at its head
    longest_read = LONGEST_HEAD + LONGEST_FRAME  # of a request with its chunk lines
    message: type[_Message] = _Message  # what one request is read into
    _serving: Any = None  # the body of the request that is owed an answer, where it is passed on as it comes
    _held = False  # no host takes that body: read no more of it
    more = b""  # further header lines of the answer that is being written

    def __init__(self, server: Server[Any]) -> None:
        self._server, self._core = server, server.core
        self.transport = NOT_UP
        self._parser = httptools.HttpRequestParser(self)
        self._message: _Message | None = None  # being read
        self._queue: deque[_Message | int] = deque()  # whole, or the status of a bad one
        self._open: str | None = None  # id of the request that is owed an answer
        self._busy = False  # a request is owed an answer
        self._keep_alive = True
        self._ending = False
        self._status = 400  # for what is found to be bad while it is parsed
        self.answered = False  # at least one request
        self._pumping = self._paused = False
        self._blocked = False  # the client does not read its answers
        self._taken = 0  # bytes of the message being read, or of a rejected one's rest
        self.since = 0.0  # when it was opened, became idle, or the message being read began

    # The methods of asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self._server.opened(self)

    def data_received(self, data: bytes) -> None:
        self._taken += len(data)
        if self._ending:
            if self._taken > LINGER_BYTES:
                self.transport.abort()
            return
        if self._message is None and not self._busy and self.answered:
            self._server.waits(self)
        try:
            self._parser.feed_data(data)
            in_head = self._message is not None and self._message.method == b""
            if self._taken > (LONGEST_HEAD if in_head else self.longest_read):
                self._reject(400)  # guards the memory: a head without an end
        except httptools.HttpParserUpgrade:  # not offered: the request is answered, and is the last
            self._ending = True
            last = self._queue[-1]
            if isinstance(last, _Message):
                last.keep_alive = False
        except httptools.HttpParserError:
            self._reject(self._status)
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

    # httptools; what these raise reaches data_received as an HttpParserError

    def on_message_begin(self) -> None:
        if len(self._queue) > MOST_AHEAD:
            raise BadRequestError("too many requests at once")  # guards the memory and others' turns
        self._message = self.message()

    def on_url(self, url: bytes) -> None:
        message = self._message
        assert message is not None
        message.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        message = self._message
        assert message is not None
        if message.method:
            return  # a trailer: what the request is has been decided by its head
        message.head += len(name) + len(value)
        if message.head > LONGEST_HEAD:
            raise BadRequestError("head")
        name = name.lower()
        if name in self.wanted:
            headers = message.headers
            if name in headers:
                message.twice = True
            headers[name] = value.strip(BLANKS)

    def on_headers_complete(self) -> None:
        message = self._message
        assert message is not None
        message.method = self._parser.get_method()
        try:
            check_framing(message, self.longest)
        except BadRequestError as error:
            self._status = error.status
            raise
        if message.headers.get(b"expect", b"").lower() == b"100-continue" and not self._busy:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        message = self._message
        assert message is not None
        message.size += len(data)
        message.moved_at = self._server.loop.time()
        if message.size > LONGEST_BODY:
            self.beyond(data)
        else:
            message.body.append(data)

    def beyond(self, data: bytes) -> None:
        """More of a body that is too long to be gathered."""
        self._status = 413
        raise BadRequestError("body", 413)

    def uploaded(self) -> None:
        """The last byte of one that is passed on as it comes."""

    def on_message_complete(self) -> None:
        message = self._message
        assert message is not None
        if message.upload is not None:
            self.uploaded()
            return
        self._message = None
        self._taken = 0
        message.keep_alive = self._parser.should_keep_alive()
        message.read_at = time.monotonic()
        self._queue.append(message)

    # Requests and answers

    def _reject(self, status: int) -> None:
        """Answer what cannot be taken, after all that came before it, and read no more of it."""
        if not self._ending:
            self._ending = True
            self._message = None
            self._queue.append(status)

    def _pump(self) -> None:
        """Take what waits, one request at a time; read on only while nothing waits."""
        if self._pumping or self.transport is NOT_UP or not (self._queue or self._paused):
            return
        self._pumping = True
        try:
            while self._queue and not self._busy and not self._blocked:
                self._take(self._queue.popleft())
        finally:
            self._pumping = False
        if self._queue or self._held or self._paused:
            self._read_or_wait()

    def _read_or_wait(self) -> None:
        wait = bool(self._queue) or self._held
        if wait != self._paused and not self.transport.is_closing():
            self._paused = wait
            (self.transport.pause_reading if wait else self.transport.resume_reading)()

    def _take(self, item: _Message | int) -> None:
        self._busy = True
        self._server.owes(self)
        try:
            if isinstance(item, int):
                raise BadRequestError("unreadable", item)
            self._keep_alive = item.keep_alive
            if item.upload is not None:
                self._serving = item.upload
            self._serve(item)
        except BadRequestError as error:
            self._keep_alive = False  # guards against a flood on one connection: it has to come again
            self.answer(error.status)

    def _serve(self, message: _Message) -> None:
        if message.url[:1] != b"/":
            message.url = ABSOLUTE.sub(b"", message.url) or b"/"  # RFC 9112 section 3.2.2
        path = message.url.partition(b"?")[0]
        if path == b"/ready" and message.method == b"GET":
            self.answer(200 if self._core.ready() else 503)
        elif not path.startswith(b"/api/"):
            raise BadRequestError("path", 404)
        else:
            terms = self._server.terms
            assert terms is not None  # a front without any has a way of its own to serve
            wanted = order(message, terms)
            rid = self._core.request(self, wanted)
            if rid is None:
                raise BadRequestError("an id that is in use", 409)
            if self._busy:  # else it is answered already
                self._open = rid

    def answer(self, status: int, body: bytes = b"", content_type: bytes = b"",
               retry_after_ms: float = 0.0) -> None:
        """The one answer to the request that is open."""
        self._open, self._busy, self.answered = None, False, True
        if self._serving is not None:
            upload, self._serving = self._serving, None
            if not upload.whole:
                upload.drop()  # its answer is here before its end: read on, so that the client hears it
        if self.transport.is_closing():
            return
        self._server.waits(self)
        heir = self._server.heir
        keep = self._keep_alive and (heir is not None or not self._core.draining)
        parts = [LINES.get(status) or b"HTTP/1.1 %d \r\n" % status]
        if status not in NO_BODY:
            parts.append(b"Content-Length: %d\r\n" % len(body))
        if content_type:
            parts.append(b"Content-Type: %b\r\n" % content_type)
        if retry_after_ms > 0:
            parts.append(self._retry_after(retry_after_ms))
        if self.more:
            parts.append(self.more)
            self.more = b""
        parts.append(b"\r\n" if keep else b"Connection: close\r\n\r\n")
        parts.append(body)
        self.transport.write(b"".join(parts))
        if not keep:
            self._end(status)
        elif heir is not None:
            self._server.loop.call_soon(self.hand_on)
        self._pump()

    def _retry_after(self, wait_ms: float) -> bytes:
        """The header's line; the platform reads decimals."""
        return b"Retry-After: %.3f\r\n" % (wait_ms / 1000)

    def _end(self, status: int) -> None:
        """Close after the last answer. What a rejected client still sends is read for a while: a close with
        unread data resets the connection, and the answer with it."""
        unread = self._message is not None or 400 <= status < 500
        self._ending = True
        self._queue.clear()
        self._taken = 0
        if unread:
            self.transport.write_eof()
        else:
            self.transport.close()

    def check(self, now: float) -> None:
        """Close if the client has been silent, idle or slow to send its request for too long."""
        waited = now - self.since
        if self._ending:
            if waited > LINGER_S:
                self.transport.abort()  # also guards the descriptors: it does not read its last answer
        elif self._message is not None:
            if waited > READ_S and self._stands(now):
                self._reject(408)
                self._pump()
        elif waited > (IDLE_S if self.answered else READ_S):
            self.transport.close()

    def hand_on(self) -> bool:
        """Pass the connection on to the server's heir, if it carries nothing and all answers have left."""
        heir, transport = self._server.heir, self.transport
        if (heir is None or self._busy or self._message is not None or self._queue or self._ending
                or transport is NOT_UP or transport.is_closing() or transport.get_write_buffer_size()):
            return False
        heir.take(os.dup(transport.get_extra_info("socket").fileno()))
        self._ending = True
        transport.abort()  # closes our descriptor and says nothing to the client: the heir has another
        return True

    def _stands(self, now: float) -> bool:
        """Whether the request being read has taken its time: all of it for a head, or a body too slow."""
        message = self._message
        if message is None or not message.method:
            return True
        if not message.body_at:  # its head has come since we last looked, and perhaps some of its body
            message.body_at = message.moved_at = message.moved_at or now
        return (now - message.moved_at > STALL_S
                or now - message.body_at > BODY_S + message.size / BODY_RATE)

    def close_if_idle(self) -> None:
        """Close unless a request is owed its answer or is being read."""
        if not self._busy and self._message is None and not self._queue:
            self.transport.close()


def _itself(connection: ClientConnection) -> asyncio.Protocol:
    return cast(asyncio.Protocol, connection)


class Server(Generic[Connection]):
    """Accepts clients while there is room for them."""

    connection: ClassVar[type[Any]] = ClientConnection  # made of what is accepted

    def __init__(self, core: Taker, loop: asyncio.AbstractEventLoop, sockets: int) -> None:
        self.core, self.loop = core, loop
        self.terms = self._read_terms()  # of the requests that come
        self.connections: set[Connection] = set()
        # Owed nothing, the longest first: those that have had an answer, and those still to be heard.
        self._kept: dict[Connection, None] = {}
        self._unheard: dict[Connection, None] = {}
        self._most = int(CLIENT_SHARE * sockets)
        self._listeners: list[socket.socket] = []
        self._accepting = self._lent = False
        self._pending: set[asyncio.Task[Any]] = set()
        self._coming: set[Connection] = set()  # accepted, and not yet up
        self.heir: Heir | None = None  # accepts in our place, and takes connections over

    def _read_terms(self) -> Terms | None:
        return Terms(self.core.settings)

    def read_terms(self) -> None:
        """Go by the core's settings as they are now."""
        self.terms = self._read_terms()

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
                self._listeners.append(listener)
                listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                if shared:
                    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
                listener.setblocking(False)
                listener.bind(address)
                listener.listen(BACKLOG)
        except OSError:
            self.stop_accepting()
            raise
        return self._listen()

    def _listen(self) -> list[tuple[str, int]]:
        self._resume()
        self.loop.call_later(SWEEP_S, self._sweep)
        return [listener.getsockname()[:2] for listener in self._listeners]

    def inherit(self, descriptor: int) -> list[tuple[str, int]]:
        """Listen on another process's socket; returns its address. What waits there is ours."""
        listener = socket.socket(fileno=descriptor)
        listener.setblocking(False)
        self._listeners.append(listener)
        return self._listen()

    def lend(self) -> int:
        """Accept no more for now; a descriptor of the listening socket, in whose line connections wait."""
        self._pause()
        self._lent = True
        return os.dup(self._listeners[0].fileno())

    def take_back(self) -> None:
        """Accept again: the other process did not."""
        self._lent = False
        self._resume()

    def succeeded_by(self, heir: Heir) -> None:
        """Another process accepts on our socket: pass on what carries nothing, the rest after its answers."""
        self._drop_listeners()
        self.heir = heir
        self.hand_on()

    def hand_on(self) -> None:
        """Pass on the connections that carry nothing, again and again until none is left."""
        if self.heir is None:
            return
        for connection in list(self.connections):
            connection.hand_on()
        if self.connections or self._coming:
            self.loop.call_later(HAND_ON_S, self.hand_on)

    def adopt(self, descriptor: int) -> None:
        """Take over a client's connection that has had answers of another process."""
        connection = self.connection(self)
        connection.answered = True
        if not self._room():
            os.close(descriptor)  # guards the descriptors: its client asks again on a new one
            return
        self._bring_up(connection, socket.socket(fileno=descriptor))

    def _drop_listeners(self) -> None:
        self._pause()
        for listener in self._listeners:
            listener.close()
        self._listeners.clear()

    def stop_accepting(self) -> None:
        """Close the listening socket, once what has come to it is accepted."""
        if self._accepting:
            for listener in self._listeners:
                self._accept(listener)
        self._drop_listeners()

    def close_idle(self) -> bool:
        """Close the connections that carry nothing, or pass them on; True once none is left."""
        if self.heir is None:
            for connection in list(self.connections):
                connection.close_if_idle()
        return not self.connections and not self._pending and (self.heir is None or self.heir.took())

    def opened(self, connection: Connection) -> None:
        """A connection is up, and silent so far."""
        self._coming.discard(connection)
        self.connections.add(connection)
        self.waits(connection)

    def waits(self, connection: Connection) -> None:
        """From now on a connection is owed nothing."""
        connection.since = self.loop.time()
        self.owes(connection)
        (self._kept if connection.answered else self._unheard)[connection] = None
        self._resume()

    def owes(self, connection: Connection) -> None:
        """A connection is owed an answer."""
        self._kept.pop(connection, None)
        self._unheard.pop(connection, None)

    def closed(self, connection: Connection) -> None:
        """A connection is gone; there is room for another."""
        self.connections.discard(connection)
        self.owes(connection)
        self._resume()

    def _resume(self) -> None:
        if self._listeners and not self._accepting and not self._lent and self._room():
            self._accepting = True
            for listener in self._listeners:
                self.loop.add_reader(listener, self._accept, listener)

    def _pause(self) -> None:
        if self._accepting:
            self._accepting = False
            for listener in self._listeners:
                self.loop.remove_reader(listener)

    def _room(self) -> bool:
        """Whether there is a descriptor for one more, if need be of one that is owed nothing.

        Guards those who ask against those who only hold connections: silent, half-sent or asked once. One
        that had an answer goes first: its client asks again elsewhere, while the first request on a new
        connection that is closed has failed.
        """
        if self._free():
            return True
        oldest = next(iter(self._kept or self._unheard), None)
        if oldest is None:
            return False
        self.closed(oldest)
        oldest.transport.abort()
        return True

    def _free(self) -> bool:
        return len(self.connections) + len(self._coming) < self._most

    def _accept(self, listener: socket.socket) -> None:
        # Guards the descriptors: beyond the bound clients wait in the backlog, and a failing accept is
        # tried again later. Neither may end the listener.
        for _ in range(ACCEPTS):
            if not self._room():
                self._pause()
                return
            try:
                accepted, _ = listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                log.warning("accept failed: %s", errno.errorcode.get(error.errno or 0, error))
                self._pause()
                self.loop.call_later(ACCEPT_PAUSE_S, self._resume)
                return
            self._bring_up(self.connection(self), accepted)

    def _bring_up(self, connection: Connection, accepted: socket.socket) -> None:
        accepted.setblocking(False)
        self._coming.add(connection)
        task = self.loop.create_task(
            self.loop.connect_accepted_socket(partial(_itself, connection), accepted))
        self._pending.add(task)
        task.add_done_callback(partial(self._accepted, connection))

    def _accepted(self, connection: Connection, task: asyncio.Task[Any]) -> None:
        self._pending.discard(task)
        self._coming.discard(connection)
        if not task.cancelled() and task.exception() is not None:
            log.warning("a client was gone before it was taken: %s", task.exception())
        self._resume()

    def _sweep(self) -> None:
        now = self.loop.time()
        for connection in (*self._kept, *self._unheard):
            connection.check(now)
        self.loop.call_later(SWEEP_S, self._sweep)
