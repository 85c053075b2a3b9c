"""Accepts the clients of all tenants, and divides the client connections between the tenants."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Any, cast

from hillmux.hosted.resources import UNASSIGNED
from hillmux.hosted.tenant_connection import TenantConnection
from hillmux.hosted.tenant_requests import TENANT_HEADERS
from hillmux.hosted.tenant_service import TenantService
from hillmux.net.listener import Listener


class TenantListener(Listener[TenantConnection]):
    """Accepts clients for all tenants; at its limit, evicts from the tenant most over its share."""

    connection_type = TenantConnection
    overflow_share = 0.0  # connections are evicted by their tenants' shares

    def __init__(self, service: TenantService, loop: asyncio.AbstractEventLoop, sockets: int) -> None:
        self.service = service
        self._idle: dict[str, dict[TenantConnection, None]] = {}  # by owner, the longest idle first
        self._kept_headers: frozenset[bytes] = TENANT_HEADERS
        self._routed_headers: frozenset[bytes] = frozenset()
        self._deferred: deque[tuple[TenantConnection, bytes]] = deque()
        self._reclaiming = False
        service.on_tenant_removed = self.on_tenant_removed
        super().__init__(cast(Any, service), loop, sockets)

    def _make_request_rules(self) -> None:
        """Create none, since each tenant has its own."""

    def headers_to_keep(self) -> frozenset[bytes]:
        """The request headers to keep, including those that tenants' routes match."""
        routed = self.service.router.headers
        if routed is not self._routed_headers:
            self._routed_headers, self._kept_headers = routed, TENANT_HEADERS | routed
        return self._kept_headers

    def defer(self, connection: TenantConnection, data: bytes) -> None:
        """Queue input; one piece is handled per iteration of the event loop, after others' ready input.

        Otherwise other tenants' requests would wait for a whole burst of a tenant that uses much more than
        its share.
        """
        self._deferred.append((connection, data))
        if len(self._deferred) == 1:
            self.loop.call_soon(self._handle_next_deferred)

    def _handle_next_deferred(self) -> None:
        connection, data = self._deferred[0]
        try:
            connection.handle_deferred(data)
        finally:
            self._deferred.popleft()
            if self._deferred:
                self.loop.call_soon(self._handle_next_deferred)

    def on_connection_made(self, connection: TenantConnection) -> None:
        """Also charge the connection to UNASSIGNED, until its first request determines the tenant."""
        self.service.resources.clients.charge(UNASSIGNED, 1.0)
        super().on_connection_made(connection)

    def on_connection_lost(self, connection: TenantConnection) -> None:
        """Also release the connection from its owner's share."""
        if connection in self.connections:
            self.service.resources.clients.release(connection.owner)
        super().on_connection_lost(connection)

    def on_tenant_removed(self, owner: str) -> None:
        """Make the idle connections of a removed tenant unassigned."""
        for connection in list(self._idle.get(owner, ())):
            connection.clear_owner()

    def on_owner_changed(self, connection: TenantConnection, owner: str) -> None:
        """Move a connection from its owner's share to another tenant's."""
        clients = self.service.resources.clients
        clients.release(connection.owner)
        clients.charge(owner, 1.0)

    def mark_receiving(self, connection: TenantConnection) -> None:
        """Also add the connection to its owner's idle ones."""
        super().mark_receiving(connection)
        self._idle.setdefault(connection.owner, {})[connection] = None

    def mark_busy(self, connection: TenantConnection) -> None:
        """Also remove the connection from its owner's idle ones."""
        super().mark_busy(connection)
        idle = self._idle.get(connection.owner)
        if idle is not None:
            idle.pop(connection, None)
            if not idle:
                del self._idle[connection.owner]

    def ensure_capacity(self) -> bool:
        """Whether a client can be accepted now; if not, an idle connection is evicted for a waiting one.

        The tenant that holds most connections relative to its guaranteed share loses the one that was idle
        for longest, so a flood of one tenant's connections does not evict those of another. Connections that
        have not carried a request yet count as a tenant of their own.
        """
        if self._below_limit() or not self._client_waiting():
            return True
        if self._evicted:
            return False  # there is capacity once the evicted connection is closed
        clients = self.service.resources.clients
        if not self._idle and not self._reclaim_busy():
            return False
        if self._below_limit():
            return True
        owner = max(self._idle, key=lambda o: clients.held_by(o) / clients.guaranteed_share(o), default=None)
        if owner is None:
            return False
        self._evict_idle(self._idle[owner])
        return False

    def _reclaim_busy(self) -> bool:
        """Shed a request of the tenant most over its share, when all connections are busy."""
        if self._reclaiming:  # shedding makes a connection idle, which calls `ensure_capacity` again
            return False
        self._reclaiming = True
        try:
            victim = self.service.resources.clients.eviction_victim(UNASSIGNED)
            return victim is not None and victim != UNASSIGNED and self.service.shed_request(victim)
        finally:
            self._reclaiming = False
