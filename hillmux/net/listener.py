"""Accepts client connections within a limit on descriptors, and closes or migrates them."""

from __future__ import annotations

import asyncio
import errno
import logging
import os
import socket
from functools import partial
from itertools import islice
from typing import Any, ClassVar, Final, Generic, Protocol, TypeVar, cast

from hillmux import interface as api
from hillmux.net.backlog_wait import unread_since_s
from hillmux.net.client_connection import ClientConnection
from hillmux.net.client_timeouts import TIMEOUT_CHECK_INTERVAL_S
from hillmux.net.diagnostics import CloseReason, ReasonCounts
from hillmux.net.forward_request import Client, ForwardRequest
from hillmux.net.lingering_close import HangUpDetector
from hillmux.net.listening_sockets import LISTEN_BACKLOG, Address, ListeningSockets
from hillmux.net.memory_budget import CLIENT_CONNECTION_BYTES, MemoryBudget
from hillmux.net.memory_waiters import MemoryWaiters
from hillmux.net.requests import RequestRules
from hillmux.net.unparsed_input import UnparsedTotal

log = logging.getLogger(__name__)
Connection = TypeVar("Connection", bound=ClientConnection)

CLIENT_DESCRIPTOR_SHARE: Final = 0.5  # of the process's descriptors
OVERFLOW_DESCRIPTOR_SHARE: Final = 0.03  # for connections on which one request is rejected
MAX_OVERFLOW_CONNECTIONS: Final = 16
MAX_EVICTION_CANDIDATES: Final = 8  # idle connections examined for each eviction
MAX_ACCEPTS_PER_TURN: Final = 16  # per iteration of the event loop, to leave time for its other work
ACCEPT_RETRY_DELAY_S: Final = 0.05
MIGRATION_RETRY_INTERVAL_S: Final = 0.005  # between searches for idle connections while migrating


class RequestHandler(Protocol):
    """Handles the requests of one listener."""

    draining: bool
    settings: api.Settings

    def request(self, client: Client, forward_request: ForwardRequest) -> str | None:
        """Begin to handle a request; return its id, or None if the client's request id is in use."""

    def client_disconnected(self, request_id: str) -> None:
        """Abandon an open request whose client has disconnected."""

    def abort_request(self, request_id: str, status: int) -> None:
        """End an open request whose body will never be complete; its client is answered `status`."""

    def ready(self) -> bool:
        """Whether requests can be handled, as `/ready` reports it."""


class SuccessorProcess(Protocol):
    """The successor process, which takes over the listening socket and the client connections."""

    def pass_connection(self, descriptor: int) -> None:
        """Pass a connection to the successor, and take ownership of its descriptor."""

    def all_passed(self) -> bool:
        """Whether all connections passed on have been sent to the successor."""


def _as_protocol(connection: ClientConnection) -> asyncio.Protocol:
    return cast(asyncio.Protocol, connection)


class Listener(Generic[Connection]):
    """Accepts clients while there is capacity; keeps, closes and migrates their connections."""

    connection_type: ClassVar[type[Any]] = ClientConnection
    overflow_share = OVERFLOW_DESCRIPTOR_SHARE

    def __init__(
        self,
        handler: RequestHandler,
        loop: asyncio.AbstractEventLoop,
        sockets: int,
        memory: MemoryBudget | None = None,
    ) -> None:
        """Create a listener that does not listen yet.

        Args:
            handler: Handles the requests.
            loop: The event loop.
            sockets: The number of descriptors that the process may use.
            memory: The budget that the connections are charged to; without a limit if None.
        """
        self.handler, self.loop = handler, loop
        self.request_rules = self._make_request_rules()
        self.hang_up_detector = HangUpDetector(loop)
        self.memory = memory or MemoryBudget()
        self.memory_waiters = MemoryWaiters(loop)
        self.unparsed_total = UnparsedTotal(self.memory)
        self.connections: set[Connection] = set()
        self.closes = ReasonCounts()
        self.lost_requests = 0  # evictions of connections with an open request; none is expected
        # Idle connections, ordered by how long they have been idle, longest first
        self._idle_after_answer: dict[Connection, None] = {}
        self._awaiting_first_request: dict[Connection, None] = {}
        self.max_connections = int(CLIENT_DESCRIPTOR_SHARE * sockets)
        self._listening = ListeningSockets(loop, self.accept)
        self._setup_tasks: set[asyncio.Task[Any]] = set()
        self._being_set_up: set[Connection] = set()  # accepted, but without a transport so far
        # Accepted beyond the capacity, to reject the first request of each instead of leaving it unread
        self._overflow: set[Connection] = set()
        self._max_overflow = min(int(self.overflow_share * sockets), MAX_OVERFLOW_CONNECTIONS)
        self._clients_have_waited = False  # for capacity or a turn of the loop, in the backlog
        self._evicted: set[Connection] = set()  # aborted to free capacity, but not closed so far
        self.successor: SuccessorProcess | None = None  # now accepts clients and takes over connections

    def _make_request_rules(self) -> RequestRules | None:
        return RequestRules(self.handler.settings)

    def reload_settings(self) -> None:
        """Check further requests against the handler's current settings."""
        self.request_rules = self._make_request_rules()

    # Listening

    @property
    def sockets(self) -> list[socket.socket]:
        """The listening sockets."""
        return self._listening.sockets

    def start(self, *addresses: Address, shared: bool = False) -> list[Address]:
        """Listen on addresses.

        Args:
            addresses: Addresses to bind; port 0 lets the system choose.
            shared: Whether other processes of this user may listen on the same addresses.

        Returns:
            The bound addresses with their actual ports.

        Raises:
            OSError: An address could not be bound; all sockets are closed again.
        """
        try:
            self._listening.open(addresses, shared)
        except OSError:
            self.stop_accepting()
            raise
        return self._start_listening()

    def inherit_socket(self, descriptor: int) -> list[Address]:
        """Accept on a listening socket of another process, including the clients in its backlog.

        Returns:
            The socket's address.
        """
        self._listening.inherit(descriptor)
        return self._start_listening()

    def _start_listening(self) -> list[Address]:
        self.resume_accepting()
        self.loop.call_later(TIMEOUT_CHECK_INTERVAL_S, self._check_timeouts)
        return self._listening.addresses()

    def _check_timeouts(self) -> None:
        now = self.loop.time()
        for connection in (*self._idle_after_answer, *self._awaiting_first_request):
            connection.check_timeouts(now)
        self.resume_accepting()  # memory may have become free
        self.loop.call_later(TIMEOUT_CHECK_INTERVAL_S, self._check_timeouts)

    def stop_accepting(self) -> None:
        """Accept the clients that wait in the backlogs, then close the listening sockets."""
        if not self._listening.lent:
            for sock in self._listening.sockets:
                self.accept(sock, LISTEN_BACKLOG)
        self._listening.close()

    # Migration to a successor process

    def lend_socket(self) -> int:
        """Pause accepting and return a duplicate descriptor of the first listening socket.

        Clients that connect while accepting is paused wait in the socket's backlog.
        """
        self._listening.unwatch()
        self._listening.lent = True
        return self._listening.duplicate()

    def take_back_socket(self) -> None:
        """Resume accepting after a handover that did not take place."""
        self._listening.lent = False
        self.resume_accepting()

    def hand_over_to(self, successor: SuccessorProcess) -> None:
        """Stop listening and pass on connections: idle ones now, the others after their response."""
        self._listening.close()
        self.successor = successor
        self.migrate_connections()

    def migrate_connections(self) -> None:
        """Pass idle connections to the successor; repeats until no connection is left."""
        if self.successor is None:
            return
        for connection in list(self.connections):
            connection.migrate()
        if self.connections or self._being_set_up:
            self.loop.call_later(MIGRATION_RETRY_INTERVAL_S, self.migrate_connections)

    def adopt_connection(self, descriptor: int) -> None:
        """Take over a connection on which another process has already answered requests.

        It is closed if there is neither capacity nor a connection to evict; its client then retries on a new
        connection.
        """
        connection = self.connection_type(self)
        connection.answered = True
        if not self.ensure_capacity() and not self._evicted:
            os.close(descriptor)
            return
        self._set_up_connection(connection, socket.socket(fileno=descriptor))

    def close_idle(self) -> bool:
        """Close the idle connections, unless a successor process takes them over.

        Returns:
            Whether no connection is left or being set up, and all that were passed on have been sent.
        """
        if self.successor is None:
            now = self.loop.time()
            for connection in list(self.connections):
                connection.drain(now)
        all_sent = self.successor is None or self.successor.all_passed()
        return not self.connections and not self._setup_tasks and all_sent

    # Called by connections

    def on_connection_made(self, connection: Connection) -> None:
        """Register a new connection, which is idle until its first request."""
        self._being_set_up.discard(connection)
        self.connections.add(connection)
        self.memory.charge(CLIENT_CONNECTION_BYTES)
        self.mark_idle(connection)

    def on_connection_lost(self, connection: Connection) -> None:
        """Deregister a closed connection, and accept another client if one waits."""
        if connection in self.connections:
            self.connections.discard(connection)
            self.memory.release(CLIENT_CONNECTION_BYTES)
        self._overflow.discard(connection)
        self.closes.count(connection.close_reason or CloseReason.CLIENT)
        if connection.close_reason == CloseReason.EVICTED and connection.has_open_request():
            self.lost_requests += 1
            log.error("connection evicted with an open request")
        self._evicted.discard(connection)
        self.mark_busy(connection)
        self.resume_accepting()

    def mark_idle(self, connection: Connection) -> None:
        """Record that no response is due on a connection; it may be evicted at once for a waiting client."""
        self.mark_receiving(connection)
        self.resume_accepting()

    def mark_receiving(self, connection: Connection) -> None:
        """Record that no response is due on a connection whose input is being parsed.

        Unlike `mark_idle` this evicts no connection: it might be this one, whose requests would be lost.
        """
        connection.waiting_since = self.loop.time()
        self.mark_busy(connection)
        idle = self._idle_after_answer if connection.answered else self._awaiting_first_request
        idle[connection] = None

    def mark_busy(self, connection: Connection) -> None:
        """Record that a response is due on a connection, or that the connection is closing."""
        self._idle_after_answer.pop(connection, None)
        self._awaiting_first_request.pop(connection, None)

    # Capacity

    def ensure_capacity(self) -> bool:
        """Whether a client can be accepted now; if not, evict an idle connection for a waiting client.

        Eviction keeps idle clients and clients with incomplete requests from shutting out active ones.
        Connections that have been answered are evicted first: their clients retry on a new connection, while
        closing a connection before its first response makes that request fail.
        """
        if self._below_limit():
            return True
        if not self._evicted and self._client_waiting() and not self._evict_idle(self._idle_after_answer):
            self._evict_idle(self._awaiting_first_request)
        return False

    def _below_limit(self) -> bool:
        count = len(self.connections) + len(self._being_set_up) - len(self._overflow)
        return count < self.max_connections and count < self.memory.max_connections()

    def _may_overflow(self) -> bool:
        """Whether a client may be accepted beyond the capacity, which no idle connection can make room for.

        All connections are busy then, perhaps for long, and a request that waits in the backlog is due, too.
        """
        return not self._evicted and len(self._overflow) < self._max_overflow and self._client_waiting()

    def _client_waiting(self) -> bool:
        return self._listening.has_waiting_client()

    def _evict_idle(self, idle: dict[Connection, None]) -> bool:
        """Abort the longest idle connection that can be closed without loss; return whether there was one.

        Its descriptor becomes free only in the next iteration of the loop. A client accepted before that
        would use a descriptor that hosts, the counter or discovery need, so there is no capacity until the
        connection is closed.
        """
        for connection in islice(idle, MAX_EVICTION_CANDIDATES):
            if connection.can_close_without_loss():
                self.mark_busy(connection)
                self._evicted.add(connection)
                connection.evict()
                return True
        return False

    # Accepting

    def resume_accepting(self) -> None:
        """Watch the listening sockets again if there is capacity, evicting a connection if necessary."""
        if self._listening.can_watch() and (
            self.ensure_capacity() or not self._client_waiting() or self._may_overflow()
        ):
            self._listening.watch()

    def accept(self, sock: socket.socket, max_accepts: int = MAX_ACCEPTS_PER_TURN) -> None:
        """Accept up to `max_accepts` clients that wait on a listening socket.

        Without capacity the clients stay in the backlog. After a failed accept, accepting resumes
        ACCEPT_RETRY_DELAY_S later.
        """
        for _ in range(max_accepts):
            overflows = not self.ensure_capacity()
            if overflows and not self._may_overflow():
                if self._client_waiting():  # if none waits, the socket stays watched for the next one
                    self._listening.unwatch()
                    self._clients_have_waited = True
                return
            try:
                accepted, _ = sock.accept()
            except BlockingIOError:
                self._clients_have_waited = False  # all that waited are accepted
                return
            except (InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                log.warning("accept failed: %s", errno.errorcode.get(error.errno or 0, error))
                self._listening.unwatch()
                self.loop.call_later(ACCEPT_RETRY_DELAY_S, self.resume_accepting)
                return
            connection = self.connection_type(self)
            if self._clients_have_waited:
                connection.date_first_request(unread_since_s(accepted))
            if overflows:
                connection.sheds_load = True
                self._overflow.add(connection)
            self._set_up_connection(connection, accepted)
        self._clients_have_waited = True  # for a later turn

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
        if connection not in self.connections:
            self._overflow.discard(connection)
        if not task.cancelled() and task.exception() is not None:
            log.warning("client connection lost during set-up: %s", task.exception())
        self.resume_accepting()
