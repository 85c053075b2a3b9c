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
from hillmux.net.core import Client, Order
from hillmux.net.http1 import BLANKS, LONGEST_BODY, NO_BODY, NOT_UP
from hillmux.net.lingering_close import LINGER_BYTES, LINGER_S, HangUps, hung_up, unread
from hillmux.net.requests import WANTED, BadRequestError, Message, Terms, check_framing, order

log = logging.getLogger(__name__)
Connection = TypeVar("Connection", bound="ClientConnection")

BACKLOG: Final = 256
CLIENT_SHARE: Final = 0.5  # of the descriptors
LONGEST_HEAD: Final = 32 * 1024
LONGEST_FRAME: Final = 2 * LONGEST_BODY  # a body as it stands on the wire, with its chunk lines
MOST_AHEAD: Final = 16  # requests that may wait behind the open one on a connection
# Bytes that are read, and not yet parsed, behind requests that wait: on one connection, and on all
AHEAD_BYTES: Final = 1024 * 1024
MOST_AHEAD_BYTES: Final = 4 * 1024 * 1024
HEAR_S: Final = 0.4  # a drain leaves a connection that has asked for nothing yet so much time to do so
ROOM_LOOKS: Final = 8  # connections owed nothing that are looked at when one of them has to go
# How long a head may take to come in, the first one from the connect on: slow clients need 2 s
READ_S: Final = 2.6
STALL_S: Final = 2.4  # how long a body may stand still
BODY_S, BODY_RATE = 5.0, 16_384.0  # how long it may take in all, and what it must bring a second beyond that
IDLE_S: Final = 4.0  # how long a connection is kept after its last answer
SWEEP_S: Final = 0.25
ACCEPT_PAUSE_S: Final = 0.05
# Spacing of the looks for connections that carry nothing, while another process takes over
HAND_ON_S: Final = 0.005
ACCEPTS: Final = 16  # connections taken in one turn of the loop: others have work to do, too

REASONS: Final = {
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
LINES: Final = {status: b"HTTP/1.1 %d %b\r\n" % (status, reason) for status, reason in REASONS.items()}
ABSOLUTE: Final = re.compile(rb"^https?://[^/?#]*(?=/)", re.IGNORECASE)


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

    def pass_connection(self, descriptor: int) -> None:
        """Take a connection over; the descriptor is the heir's."""

    def all_passed(self) -> bool:
        """Whether all that it was given has left."""


class ClientConnection:
    """One connection of a client: requests are taken one at a time, in order.

    An `asyncio.Protocol` by its methods, not by its base (see `ReplyProtocol`).
    """

    wanted = WANTED  # the headers that are kept
    longest = LONGEST_BODY  # a body that is said to be longer is turned away at its head
    longest_read = LONGEST_HEAD + LONGEST_FRAME  # of a request with its chunk lines
    message: type[Message] = Message  # what one request is read into
    _serving: Any = None  # the body of the request that is owed an answer, where it is passed on as it comes
    _held = False  # no host takes that body: read no more of it
    more = b""  # further header lines of the answer that is being written

    def __init__(self, server: Server[Any]) -> None:
        self._server, self._core = server, server.core
        self.transport = NOT_UP
        self._parser = httptools.HttpRequestParser(self)
        self._message: Message | None = None  # being read
        self._queue: deque[Message | int] = deque()  # whole, or the status of a bad one
        self._open: str | None = None  # id of the request that is owed an answer
        self._busy = False  # a request is owed an answer
        self._keep_alive = True
        self._ending = False
        self._status = 400  # for what is found to be bad while it is parsed
        self.answered = False  # at least one request
        self._pumping = self._paused = False
        self._ahead: deque[bytes] = deque()  # what came behind requests that wait, unparsed
        self._ahead_size = 0
        self._blocked = False  # the client does not read its answers
        self._taken = 0  # bytes of the message being read, or of a rejected one's rest
        self.since = 0.0  # when it was opened, became idle, or the message being read began

    # The methods of asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, and register with the server."""
        self.transport = cast(asyncio.Transport, transport)
        self._server.opened(self)

    def data_received(self, data: bytes) -> None:
        """Parse what has come, or keep it while requests wait (1 MiB on one connection, 4 MiB on all)."""
        if self._ending:
            self._taken += len(data)
            if self._taken > LINGER_BYTES:
                if self._busy or self._queue:
                    self._read_or_wait()  # it is owed answers
                else:
                    self.transport.abort()
        elif self._queue and self._message is None:
            # Danger: a client that sends much at once and goes. Its end stands behind all that it sent, and
            # shows only once that is read; unread, its requests would be sent on for nobody one by one.
            self._ahead.append(data)
            self._ahead_size += len(data)
            self._server.ahead += len(data)
            self._read_or_wait()
        else:
            self._feed(data)
            self._pump()

    def _feed(self, data: bytes) -> None:
        """Parse what has come."""
        self._taken += len(data)
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
            if isinstance(last, Message):
                last.keep_alive = False
        except httptools.HttpParserError:
            self._reject(self._status)

    def pause_writing(self) -> None:
        """The transport's write buffer is full: take no further request."""
        self._blocked = True  # guards the memory: no further request is taken until the answers are read

    def resume_writing(self) -> None:
        """The write buffer has drained: go on with the requests that wait."""
        self._blocked = False
        self._pump()

    def eof_received(self) -> None:
        """The client has gone away; the transport closes itself once what was answered has left.

        Danger: with answers that nobody reads that is never. So what is open for the client ends now, and
        the connection in a while (`check`).
        """
        self._gone()
        self._server.waits(self)

    def has_left(self, behind: bool) -> bool:
        """Whether the client has closed or reset; looked for only if `behind` or before a first answer."""
        # Not for every request: a look at the system's buffer is a system call.
        return (behind or not self.answered) and hung_up(self.transport)

    def hung_up(self) -> None:
        """The client has gone away while it was not being read."""
        self._gone()
        self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is gone: free its room, and call off the request that is open."""
        self._server.closed(self)
        self._gone()

    def _gone(self) -> None:
        """Nobody reads what would still be answered: nothing more is taken, what is open is called off."""
        self._ending = True
        self._queue.clear()
        self._forget_ahead()
        self._server.hang_ups.forget(self)
        rid, self._open = self._open, None
        if rid is not None:
            self._core.left(rid)

    def _forget_ahead(self) -> None:
        self._server.ahead -= self._ahead_size
        self._ahead.clear()
        self._ahead_size = 0

    # httptools; what these raise reaches data_received as an HttpParserError

    def on_message_begin(self) -> None:
        """A request begins; BadRequestError if more than MOST_AHEAD wait already."""
        if len(self._queue) > MOST_AHEAD:
            raise BadRequestError("too many requests at once")  # guards the memory and others' turns
        self._message = self.message()

    def on_url(self, url: bytes) -> None:
        """A piece of the request target."""
        message = self._message
        assert message is not None
        message.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header if it is wanted; BadRequestError once all of them exceed LONGEST_HEAD bytes."""
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
        """Check the framing, and answer `Expect: 100-continue`; BadRequestError (400 or 413) if it is bad."""
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
        """Gather the body up to LONGEST_BODY bytes; what exceeds that goes to `beyond`."""
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
        """Queue the whole request; one that is passed on as it comes is queued already."""
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
            self._taken = 0
            self._queue.append(status)

    def _pump(self) -> None:
        """Take what waits, one request at a time; parse on only while nothing waits."""
        if self._pumping or self.transport is NOT_UP or not (self._queue or self._paused or self._ahead):
            return
        self._pumping = True
        try:
            while True:
                while self._queue and not self._busy and not self._blocked:
                    self._take(self._queue.popleft())
                if self._queue or self._ending or not self._ahead:
                    break
                data = self._ahead.popleft()  # as it came: only so many requests may stand in one piece
                self._ahead_size -= len(data)
                self._server.ahead -= len(data)
                self._feed(data)
        finally:
            self._pumping = False
        if self._queue or self._held or self._paused:
            self._read_or_wait()

    def _read_or_wait(self) -> None:
        # What is read only to be forgotten has its bound, and answers that are owed go before it.
        owed = self._busy or bool(self._queue)
        wait = (
            self._held
            or (self._ending and owed and self._taken > LINGER_BYTES)
            or self._ahead_size > AHEAD_BYTES
            or (self._ahead_size > 0 and self._server.ahead > MOST_AHEAD_BYTES)
        )
        if wait == self._paused or self.transport.is_closing():
            return
        self._paused = wait
        if wait:
            self.transport.pause_reading()
            self._server.hang_ups.watch(self)
        else:
            self._server.hang_ups.forget(self)
            self.transport.resume_reading()

    def _take(self, item: Message | int) -> None:
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

    def _serve(self, message: Message) -> None:
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

    def answer(
        self, status: int, body: bytes = b"", content_type: bytes = b"", retry_after_ms: float = 0.0
    ) -> None:
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
        keep = self._keep_alive and (heir is not None or not self._core.draining or self._more())
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
            self._end()
        elif heir is not None:
            self._server.loop.call_soon(self.hand_on)
        self._pump()

    def _retry_after(self, wait_ms: float) -> bytes:
        """The header's line; the platform reads decimals."""
        return b"Retry-After: %.3f\r\n" % (wait_ms / 1000)

    def _more(self) -> bool:
        """Whether more has arrived than the request that is open, so that this answer is not the last."""
        return bool(self._queue) or bool(self._ahead) or self._message is not None or unread(self.transport)

    def _end(self) -> None:
        """Shut our side after the last answer, and read on for a while (net/closing.py)."""
        if self.transport.is_closing():
            return
        self._ending = True
        self._queue.clear()
        self._forget_ahead()
        self._taken = 0
        self.since = self._server.loop.time()
        self.transport.write_eof()
        self._read_or_wait()

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
            self.close_if_idle()

    def hand_on(self) -> bool:
        """Pass the connection on to the server's heir, if it carries nothing and all answers have left."""
        heir, transport = self._server.heir, self.transport
        if (
            heir is None
            or self._busy
            or self._message is not None
            or self._queue
            or self._ahead
            or self._ending
            or transport is NOT_UP
            or transport.is_closing()
            or transport.get_write_buffer_size()
        ):
            return False
        heir.pass_connection(os.dup(transport.get_extra_info("socket").fileno()))
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
        return now - message.moved_at > STALL_S or now - message.body_at > BODY_S + message.size / BODY_RATE

    def close_if_idle(self) -> None:
        """Close unless a request is owed its answer, is being read, or has come and is unread."""
        if not (self._busy or self._ending or self.transport.is_closing() or self._more()):
            self._end()

    def drain(self, now: float) -> None:
        """Close if idle; one that has asked for nothing yet is left some time to do so."""
        if self.answered or now - self.since > HEAR_S:
            self.close_if_idle()

    def spare(self) -> bool:
        """Whether it can be closed at once with nothing lost: all answers have left, nothing has come."""
        return not self.transport.get_write_buffer_size() and not unread(self.transport)


def _itself(connection: ClientConnection) -> asyncio.Protocol:
    return cast(asyncio.Protocol, connection)


class Server(Generic[Connection]):
    """Accepts clients while there is room for them."""

    connection: ClassVar[type[Any]] = ClientConnection  # made of what is accepted

    def __init__(self, core: Taker, loop: asyncio.AbstractEventLoop, sockets: int) -> None:
        self.core, self.loop = core, loop
        self.terms = self._read_terms()  # of the requests that come
        self.hang_ups = HangUps(loop)
        self.ahead = 0  # bytes kept behind requests that wait, on all connections
        self.connections: set[Connection] = set()
        # Owed nothing, the longest first: those that have had an answer, and those still to be heard.
        self._kept: dict[Connection, None] = {}
        self._unheard: dict[Connection, None] = {}
        self._most = int(CLIENT_SHARE * sockets)
        self._listeners: list[socket.socket] = []
        self._accepting = self._lent = False
        self._pending: set[asyncio.Task[Any]] = set()
        self._coming: set[Connection] = set()  # accepted, and not yet up
        self._leaving: set[Connection] = set()  # told to go, for room, and not yet gone
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
        if not self._room() and not self._leaving:
            os.close(descriptor)  # guards the descriptors: its client asks again on a new one
            return
        self._bring_up(connection, socket.socket(fileno=descriptor))

    def _drop_listeners(self) -> None:
        self._pause()
        for listener in self._listeners:
            listener.close()
        self._listeners.clear()

    def stop_accepting(self) -> None:
        """Close the listening socket, once all that has come to it is accepted."""
        if not self._lent:
            for listener in self._listeners:
                self._accept(listener, BACKLOG)
        self._drop_listeners()

    def close_idle(self) -> bool:
        """Close the connections that carry nothing, or pass them on; True once none is left."""
        if self.heir is None:
            now = self.loop.time()
            for connection in list(self.connections):
                connection.drain(now)
        return not self.connections and not self._pending and (self.heir is None or self.heir.all_passed())

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
        self._leaving.discard(connection)
        self.owes(connection)
        self._resume()

    def _resume(self) -> None:
        if self._listeners and not self._accepting and not self._lent and (self._room() or not self._asked()):
            self._accepting = True
            for listener in self._listeners:
                self.loop.add_reader(listener, self._accept, listener)

    def _pause(self) -> None:
        if self._accepting:
            self._accepting = False
            for listener in self._listeners:
                self.loop.remove_reader(listener)

    def _room(self) -> bool:
        """Whether there is a descriptor for one more now; if not, one that is owed nothing goes, if any can.

        Guards those who ask against those who only hold connections: silent, half-sent or asked once. One
        that had an answer goes first: its client asks again elsewhere, while the first request on a new
        connection that is closed has failed.
        """
        if self._free():
            return True
        if not self._leaving and self._asked() and not self._give_up(self._kept):
            self._give_up(self._unheard)
        return False

    def _asked(self) -> bool:
        """Whether a client waits to be accepted: nobody gives anything up for none."""
        poll = select.poll()
        for listener in self._listeners:
            poll.register(listener, select.POLLIN)
        return bool(poll.poll(0))

    def _give_up(self, idle: dict[Connection, None]) -> bool:
        """End the one idle for longest that can be ended at once with nothing lost; whether there was one.

        Danger: its descriptor is free with the next turn of the loop, and who is accepted before that takes
        one that hosts, counter or discovery were to have. So its room comes with its close (`closed`).
        """
        for connection in islice(idle, ROOM_LOOKS):
            if connection.spare():
                self.owes(connection)
                self._leaving.add(connection)
                connection.transport.abort()
                return True
        return False

    def _free(self) -> bool:
        return len(self.connections) + len(self._coming) < self._most

    def _accept(self, listener: socket.socket, most: int = ACCEPTS) -> None:
        # Guards the descriptors: beyond the bound clients wait in the backlog, and a failing accept is
        # tried again later. Neither may end the listener.
        for _ in range(most):
            if not self._room():
                if self._asked():  # else the next one finds us listening
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
            self.loop.connect_accepted_socket(partial(_itself, connection), accepted)
        )
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
