"""Accepts clients within a bound of descriptors, and keeps their connections until each is closed."""

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
from hillmux.net.client_connection import ClientConnection
from hillmux.net.client_timeouts import TIMEOUT_CHECK_INTERVAL_S
from hillmux.net.forward_request import Client, ForwardRequest
from hillmux.net.lingering_close import HangUpDetector
from hillmux.net.listening_sockets import LISTEN_BACKLOG, Address, ListeningSockets
from hillmux.net.requests import RequestRules
from hillmux.net.unparsed_input import UnparsedTotal

log = logging.getLogger(__name__)
Connection = TypeVar("Connection", bound=ClientConnection)

CLIENT_DESCRIPTOR_SHARE: Final = 0.5
MAX_EVICTION_CANDIDATES: Final = 8  # idle connections that are looked at when one of them has to be closed
MAX_ACCEPTS_PER_TURN: Final = 16  # of the event loop, which has other work too
ACCEPT_RETRY_DELAY_S: Final = 0.05
MIGRATION_RETRY_INTERVAL_S: Final = 0.005  # between looks for idle connections, while a successor takes over


class RequestHandler(Protocol):
    """Takes the requests of one listener."""

    draining: bool
    settings: api.Settings

    def request(self, client: Client, forward_request: ForwardRequest) -> str | None:
        """Take a request; its id, or None if the client's own id is in use."""

    def client_disconnected(self, request_id: str) -> None:
        """The client of an open request has disconnected."""

    def abort_request(self, request_id: str, status: int) -> None:
        """An open request will never be complete: its client is answered `status`."""

    def ready(self) -> bool:
        """Whether requests can be served."""


class SuccessorProcess(Protocol):
    """The process that takes over our clients."""

    def pass_connection(self, descriptor: int) -> None:
        """Pass a connection on; the descriptor belongs to the successor from now on."""

    def all_passed(self) -> bool:
        """Whether all connections that were passed on have left this process."""


def _as_protocol(connection: ClientConnection) -> asyncio.Protocol:
    return cast(asyncio.Protocol, connection)


class Listener(Generic[Connection]):
    """Accepts clients while there is capacity, and closes or migrates their connections."""

    connection_type: ClassVar[type[Any]] = ClientConnection

    def __init__(self, handler: RequestHandler, loop: asyncio.AbstractEventLoop, sockets: int) -> None:
        """`sockets`: the descriptors that the process may use."""
        self.handler, self.loop = handler, loop
        self.request_rules = self._make_request_rules()
        self.hang_up_detector = HangUpDetector(loop)
        self.unparsed_total = UnparsedTotal()
        self.connections: set[Connection] = set()
        # Idle connections, the longest idle first
        self._idle_after_answer: dict[Connection, None] = {}
        self._awaiting_first_request: dict[Connection, None] = {}
        self.max_connections = int(CLIENT_DESCRIPTOR_SHARE * sockets)
        self._listening = ListeningSockets(loop, self.accept)
        self._setup_tasks: set[asyncio.Task[Any]] = set()
        self._being_set_up: set[Connection] = set()  # accepted, and not yet connected to a transport
        self._evicted: set[Connection] = set()  # aborted to make capacity, and not yet closed
        self.successor: SuccessorProcess | None = None  # accepts in our place, and takes connections over

    def _make_request_rules(self) -> RequestRules | None:
        return RequestRules(self.handler.settings)

    def reload_settings(self) -> None:
        """Check requests by the handler's settings as they are now."""
        self.request_rules = self._make_request_rules()

    # Listening

    @property
    def sockets(self) -> list[socket.socket]:
        """The listening sockets."""
        return self._listening.sockets

    def start(self, *addresses: Address, shared: bool = False) -> list[Address]:
        """Listen; the addresses, with the ports that the system chose for 0.

        With `shared`, several processes of this user may listen on them.

        Raises:
            OSError: an address cannot be listened on; then none is.
        """
        try:
            self._listening.open(addresses, shared)
        except OSError:
            self.stop_accepting()
            raise
        return self._start_listening()

    def inherit_socket(self, descriptor: int) -> list[Address]:
        """Listen on another process's socket; its address. Clients in its backlog are ours."""
        self._listening.inherit(descriptor)
        return self._start_listening()

    def _start_listening(self) -> list[Address]:
        self._resume_accepting()
        self.loop.call_later(TIMEOUT_CHECK_INTERVAL_S, self._check_timeouts)
        return self._listening.addresses()

    def _check_timeouts(self) -> None:
        now = self.loop.time()
        for connection in (*self._idle_after_answer, *self._awaiting_first_request):
            connection.check_timeouts(now)
        self.loop.call_later(TIMEOUT_CHECK_INTERVAL_S, self._check_timeouts)

    def stop_accepting(self) -> None:
        """Close the listening sockets, once all clients in their backlogs are accepted."""
        if not self._listening.lent:
            for sock in self._listening.sockets:
                self.accept(sock, LISTEN_BACKLOG)
        self._listening.close()

    # Migration to a successor process

    def lend_socket(self) -> int:
        """Accept no more for now; a descriptor of the listening socket, in whose backlog clients wait."""
        self._listening.unwatch()
        self._listening.lent = True
        return self._listening.duplicate()

    def take_back_socket(self) -> None:
        """Accept again: the other process did not."""
        self._listening.lent = False
        self._resume_accepting()

    def hand_over_to(self, successor: SuccessorProcess) -> None:
        """Pass idle connections to the process that accepts on our socket, the others after their answers."""
        self._listening.close()
        self.successor = successor
        self.migrate_connections()

    def migrate_connections(self) -> None:
        """Pass idle connections on, again and again until no connection is left."""
        if self.successor is None:
            return
        for connection in list(self.connections):
            connection.migrate()
        if self.connections or self._being_set_up:
            self.loop.call_later(MIGRATION_RETRY_INTERVAL_S, self.migrate_connections)

    def adopt_connection(self, descriptor: int) -> None:
        """Take over a connection that another process has answered on; closed where there is no capacity.

        Its client retries on a new connection then.
        """
        connection = self.connection_type(self)
        connection.answered = True
        if not self.ensure_capacity() and not self._evicted:
            os.close(descriptor)
            return
        self._set_up_connection(connection, socket.socket(fileno=descriptor))

    def close_idle(self) -> bool:
        """Close the idle connections, or pass them on; True once none is left."""
        if self.successor is None:
            now = self.loop.time()
            for connection in list(self.connections):
                connection.drain(now)
        all_sent = self.successor is None or self.successor.all_passed()
        return not self.connections and not self._setup_tasks and all_sent

    # From connections

    def on_connection_made(self, connection: Connection) -> None:
        """A connection is up, and silent so far."""
        self._being_set_up.discard(connection)
        self.connections.add(connection)
        self.mark_idle(connection)

    def on_connection_lost(self, connection: Connection) -> None:
        """A connection is closed; there is capacity for another."""
        self.connections.discard(connection)
        self._evicted.discard(connection)
        self.mark_busy(connection)
        self._resume_accepting()

    def mark_idle(self, connection: Connection) -> None:
        """No answer is due on a connection from now on."""
        connection.waiting_since = self.loop.time()
        self.mark_busy(connection)
        idle = self._idle_after_answer if connection.answered else self._awaiting_first_request
        idle[connection] = None
        self._resume_accepting()

    def mark_busy(self, connection: Connection) -> None:
        """An answer is due on a connection."""
        self._idle_after_answer.pop(connection, None)
        self._awaiting_first_request.pop(connection, None)

    # Capacity

    def ensure_capacity(self) -> bool:
        """Whether a client can be accepted now; if not, an idle connection is evicted for one that waits.

        So those who only hold connections, silent or with half a request, do not shut out those who ask. A
        connection with an answer goes first: its client retries on a new one, while the first request on a
        new connection that is closed has failed.
        """
        if self._below_limit():
            return True
        if not self._evicted and self._client_waiting() and not self._evict_idle(self._idle_after_answer):
            self._evict_idle(self._awaiting_first_request)
        return False

    def _below_limit(self) -> bool:
        return len(self.connections) + len(self._being_set_up) < self.max_connections

    def _client_waiting(self) -> bool:
        return self._listening.has_waiting_client()

    def _evict_idle(self, idle: dict[Connection, None]) -> bool:
        """Abort the connection idle for longest that loses nothing by it; whether there was one.

        Its descriptor is free only in the next turn of the loop. A client accepted before that would take one
        that hosts, counter or discovery need, so there is capacity only once it is closed.
        """
        for connection in islice(idle, MAX_EVICTION_CANDIDATES):
            if connection.can_close_without_loss():
                self.mark_busy(connection)
                self._evicted.add(connection)
                connection.transport.abort()
                return True
        return False

    # Accepting

    def _resume_accepting(self) -> None:
        if self._listening.can_watch() and (self.ensure_capacity() or not self._client_waiting()):
            self._listening.watch()

    def accept(self, sock: socket.socket, max_accepts: int = MAX_ACCEPTS_PER_TURN) -> None:
        """Accept clients that wait on a listening socket.

        Without capacity they stay in the backlog, and a failed accept is retried later: neither ends the
        listener.
        """
        for _ in range(max_accepts):
            if not self.ensure_capacity():
                if self._client_waiting():  # otherwise the next client finds the socket watched
                    self._listening.unwatch()
                return
            try:
                accepted, _ = sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                log.warning("accept failed: %s", errno.errorcode.get(error.errno or 0, error))
                self._listening.unwatch()
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
            log.warning("client connection lost before it was set up: %s", task.exception())
        self._resume_accepting()
