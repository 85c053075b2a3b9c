"""Bodies and answers that are passed on as they come, since they are too long to be gathered.

Theory of operation. What fits into `LONGEST_BODY` is gathered, judged and repeated as ever. A longer
request is decided once so much of it has come; from then on its body goes to the host piece by piece
(`Body`). A longer answer begins at the client with its first bytes, and nothing can take it back: the
module hears of it (StreamStarted), its deadline no longer holds, and only a side that stands still ends it.
In both directions reading stops while the other side is full, so a flow holds two pieces and one buffer of
the transport, however long it is.

An attempt whose body is on its way has not run before its last byte has left (the host begins then). It can
go again while the body is still kept whole, which is up to KEPT bytes.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any, ClassVar, Final

from hillmux.interface import AttemptResult
from hillmux.net.attempt import Attempt
from hillmux.net.clients import ClientConnection, Server
from hillmux.net.http1 import LONGEST_BODY, NO_BODY, Reply
from hillmux.net.requests import BadRequestError
from hillmux.net.upstream_connection import UpstreamConnection
from hillmux.net.upstream_pool import UpstreamPool

LONGEST_UPLOAD: Final = 33 * 1024 * 1024
KEPT: Final = 128 * 1024  # of a body, for a further attempt
WINDOW: Final = 64 * 1024  # of a body that no host takes yet; beyond it nothing more is read
STANDS_S: Final = 15.0  # how long a flow may stand still; a slow client empties our buffers every 5 s
UPLOAD_S: Final = 600.0  # how long a body may take to come at all


class Body:
    """A request's body that is still coming: from one client, to one host at a time."""

    def __init__(self, source: FlowConnection, length: int | None) -> None:
        self.source, self.length = source, length
        self.whole = self.unwanted = False
        self.came: Callable[[], None] | None = None  # told of the last byte
        self._kept: list[bytes] = []
        self._kept_size = 0
        self._gone = False  # some of it is kept no more: no further attempt can have it
        self._sink: FlowHostConnection | None = None

    def again(self) -> bool:
        """Whether an attempt can have all of it."""
        return not self._gone

    def framing(self) -> bytes:
        """How its end is told to a host."""
        if self.length is None:
            return b"Transfer-Encoding: chunked\r\n"
        return b"Content-Length: %d\r\n" % self.length

    def add(self, data: bytes) -> None:
        """More of it has come."""
        if self.unwanted:
            return
        if not self._gone:
            self._kept.append(data)
            self._kept_size += len(data)
        if self._sink is not None:
            self._sink.send(self._framed(data))
            if self._kept_size > KEPT:
                self._gone = True
                self._kept.clear()
        elif self._kept_size > LONGEST_BODY + WINDOW:
            self.source.hold(True)

    def end(self) -> None:
        """Its last byte has come; what follows on its connection is no part of it."""
        self.whole = True
        self.source.hold(False)
        if self._sink is not None:
            self._sink.send_last(self._last())
        if self.came is not None and not self.unwanted:
            self.came()

    def attach(self, connection: FlowHostConnection) -> None:
        """Write what has come, and what comes, to a connection."""
        self._sink = connection
        for data in self._kept:
            connection.send(self._framed(data))
        if self._kept_size > KEPT:
            self._gone = True
            self._kept.clear()
        if self.whole:
            connection.send_last(self._last())
        elif not connection.full:
            self.source.hold(False)

    def detach(self, connection: FlowHostConnection) -> None:
        """Write no more to it."""
        if self._sink is connection:
            self._sink = None

    def drop(self) -> None:
        """Nobody wants it any more: what still comes is read and forgotten."""
        self.unwanted = True
        self._kept.clear()
        self.source.hold(False)

    def _framed(self, data: bytes) -> bytes:
        return data if self.length is not None else b"%x\r\n%b\r\n" % (len(data), data)

    def _last(self) -> bytes:
        return b"" if self.length is not None else b"0\r\n\r\n"


class FlowConnection(ClientConnection):
    """A client's connection whose long bodies and answers flow."""

    longest = LONGEST_UPLOAD
    longest_read = 4 * LONGEST_UPLOAD  # small chunks have long lines

    def __init__(self, server: FlowServer) -> None:
        super().__init__(server)
        self._uploads: set[FlowConnection] = server.uploads
        self._upload: Body | None = None  # of the request that is being read
        self._source: FlowHostConnection | None = None  # of the answer that is being passed on
        self._chunked = False

    # A body on its way to a host

    def beyond(self, data: bytes) -> None:
        """Pass the body on from here; BadRequestError (413) once it exceeds LONGEST_UPLOAD bytes."""
        message = self._message
        assert message is not None
        if self._upload is None:
            length = message.headers.get(b"content-length")
            self._upload = message.upload = Body(self, None if length is None else int(length))
            for piece in message.body:
                self._upload.add(piece)
            message.body.clear()
            message.read_at = time.monotonic()
            message.keep_alive = self._parser.should_keep_alive()
            self._queue.append(message)  # it has its turn like a whole one
            self._uploads.add(self)
        if message.size > LONGEST_UPLOAD:
            self._status = 413
            raise BadRequestError("body", 413)
        self._upload.add(data)

    def uploaded(self) -> None:
        """The last byte of a body that is passed on has come."""
        upload = self._upload
        assert upload is not None
        self._message = self._upload = None
        self._taken = 0
        self._uploads.discard(self)
        if not self._busy and not self._ending:
            self._server.waits(self)  # its answer went out before its end had come
        upload.end()

    def hold(self, wait: bool) -> None:
        """Read no more of a body while no host takes it, or go on."""
        self._held = wait
        if not self._pumping:
            self._read_or_wait()

    def _reject(self, status: int) -> None:
        """Also a request that waits for its turn, or was taken already: its body cannot be had."""
        upload, self._upload = self._upload, None
        if upload is None or self._ending:
            super()._reject(status)
            return
        self._uploads.discard(self)
        message, self._message = self._message, None
        if message is not None and message in self._queue:
            self._queue.remove(message)
            super()._reject(status)
        elif upload.unwanted or self._open is None:
            self._end()  # it has had its answer
        else:
            self._keep_alive = False
            self._core.broken(self._open, status)
        upload.drop()

    def check_upload(self, now: float) -> None:
        """Turn away a body that stands still, unless it waits for a host."""
        message = self._message
        if message is not None and not self._held and self._stands(now):
            self._reject(408)
            self._pump()

    # An answer on its way to the client

    def begin(self, reply: Reply, source: FlowHostConnection) -> None:
        """Write the head of a long answer; the rest follows by `piece` and `finish`, or `cut`."""
        self._source = source
        keep = self._keep_alive and (self._server.heir is not None or not self._core.draining or self._more())
        old = self._parser.get_http_version() == "1.0"
        self._chunked = reply.length is None and not old
        self._keep_alive = keep and (reply.length is not None or self._chunked)
        lines = [b"HTTP/1.1 %d OK\r\n" % reply.status]
        if reply.length is not None:
            lines.append(b"Content-Length: %d\r\n" % reply.length)
        elif self._chunked:
            lines.append(b"Transfer-Encoding: chunked\r\n")
        kind = reply.headers.get(b"content-type")
        if kind:
            lines.append(b"Content-Type: %b\r\n" % kind)
        lines.append(b"\r\n" if self._keep_alive else b"Connection: close\r\n\r\n")
        self.transport.write(b"".join(lines))

    def piece(self, data: bytes) -> None:
        """Write more of it."""
        if not self.transport.is_closing():
            self.transport.write(b"%x\r\n%b\r\n" % (len(data), data) if self._chunked else data)

    def finish(self) -> None:
        """It is whole."""
        self._source = None
        self._open, self._busy, self.answered, self._serving = None, False, True, None
        if self.transport.is_closing():
            return
        self._server.waits(self)
        if self._chunked:
            self.transport.write(b"0\r\n\r\n")
        if not self._keep_alive:
            self._end()
        elif self._server.heir is not None:
            self._server.loop.call_soon(self.hand_on)
        self._pump()

    def cut(self) -> None:
        """It cannot be had whole: the client can tell by the connection's end."""
        self._source = self._open = None
        self._ending = True
        self.transport.abort()

    def pause_writing(self) -> None:
        """The client reads too slowly: also read no more of its answer from the host."""
        super().pause_writing()
        if self._source is not None:
            self._source.hold(True)

    def resume_writing(self) -> None:
        """The client reads again: also read on from the host."""
        if self._source is not None:
            self._source.hold(False)
        super().resume_writing()

    def _gone(self) -> None:
        self._uploads.discard(self)
        upload, self._upload = self._upload, None
        if upload is not None:
            upload.unwanted = True
        super()._gone()


class FlowServer(Server[FlowConnection]):
    """Accepts clients whose long bodies and answers flow."""

    connection: ClassVar[type[Any]] = FlowConnection

    def __init__(self, core: Any, loop: asyncio.AbstractEventLoop, sockets: int) -> None:
        super().__init__(core, loop, sockets)
        self.uploads: set[FlowConnection] = set()  # whose request is taken and not yet whole

    def _sweep(self) -> None:
        now = self.loop.time()
        for connection in list(self.uploads):
            connection.check_upload(now)
        super()._sweep()


class FlowHostConnection(UpstreamConnection):
    """A connection to a host whose long bodies and answers flow."""

    flows = True

    def __init__(self, pool: FlowHosts, host: Any) -> None:
        super().__init__(pool, host)
        self._flow_pool = pool
        self.flowing: FlowConnection | None = None  # the client that the answer goes to
        self.full = False  # the host does not read what we write
        self.moved_at = 0.0
        self._last_sent = True

    def upload(self, attempt: Attempt) -> None:
        """Attach the attempt's body; `unsent` holds until its last byte has left."""
        self._last_sent = False
        self.unsent = True
        if attempt.upload is not None:
            attempt.upload.attach(self)

    def send(self, data: bytes) -> None:
        """More of a body."""
        self.transport.write(data)

    def send_last(self, data: bytes) -> None:
        """The end of a body."""
        if data:
            self.transport.write(data)
        self._last_sent = True
        self.unsent = self.transport.get_write_buffer_size() > 0
        if not self.unsent and self.attempt is not None:
            self._flow_pool.written(self.attempt)

    def pause_writing(self) -> None:
        """The host reads too slowly: read no more of the body from the client."""
        self.full = True
        if self.attempt is not None and self.attempt.upload is not None and not self.attempt.upload.whole:
            self.attempt.upload.source.hold(True)

    def resume_writing(self) -> None:
        """The write buffer has drained: read on from the client, or all of the request has left."""
        self.full = False
        if self._last_sent:
            super().resume_writing()
        elif self.attempt is not None and self.attempt.upload is not None:
            self.attempt.upload.source.hold(False)

    def flow(self, reply: Reply) -> bool:
        """Begin a long answer at the client; False where it may not be passed on."""
        attempt = self.attempt
        self.flowing = self._flow_pool.began(self, attempt, reply) if attempt is not None else None
        self.moved_at = asyncio.get_running_loop().time()
        return self.flowing is not None

    def piece(self, data: bytes) -> None:
        """Pass more of a long answer on to the client, and note when it came."""
        self.moved_at = asyncio.get_running_loop().time()
        if self.flowing is not None:
            self.flowing.piece(data)

    def hold(self, wait: bool) -> None:
        """Read no more of an answer while its client is full, or go on."""
        if not self.transport.is_closing():
            (self.transport.pause_reading if wait else self.transport.resume_reading)()


class FlowHosts(UpstreamPool):
    """Sends attempts whose bodies and answers may flow."""

    connection_class: ClassVar[type[Any]] = FlowHostConnection
    begun: Callable[[Attempt, Reply, FlowHostConnection], FlowConnection | None]

    def came(self, attempt: Attempt) -> None:
        """Its body's last byte has come: its time runs from now on."""
        if not attempt.done:
            attempt.sent_at = time.monotonic()
            self.timeouts.cancel(attempt, attempt.timeout_slot)
            attempt.timeout_slot = self.timeouts.add(attempt, attempt.timeout_s)

    def written(self, attempt: Attempt) -> None:
        """An attempt whose body flowed is whole on its connection."""

    def began(self, connection: FlowHostConnection, attempt: Attempt, reply: Reply) -> FlowConnection | None:
        """A long answer begins; the client that it goes to, if it may."""
        if attempt.done or self.classify(reply) != AttemptResult.OK or reply.status in NO_BODY:
            return None
        client = self.begun(attempt, reply, connection)
        if client is not None:
            self.timeouts.cancel(attempt, attempt.timeout_slot)
            self.streams[attempt] = connection
        return client

    def time_out(self, attempt: Attempt) -> None:
        if attempt not in self.streams:  # it began while its time-out waited for a turn of the loop
            super().time_out(attempt)

    def end_streams(self, attempt: Attempt) -> None:
        connection = self.streams.pop(attempt, None)
        if connection is not None:
            connection.flowing = None
        if attempt.upload is not None:
            attempt.upload.detach(attempt.connection)

    def close_expired(self) -> None:
        """Also end as timed out the answers of which nothing has come for STANDS_S."""
        super().close_expired()
        before = self.loop.time() - STANDS_S
        for attempt, connection in list(self.streams.items()):
            if connection.moved_at < before:
                self.abandon(attempt)
                self.finish(attempt, AttemptResult.TIMED_OUT)
