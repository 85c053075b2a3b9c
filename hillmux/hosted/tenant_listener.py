"""Accepts the clients of all tenants, and shares the connections among the tenants."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Any, cast

from hillmux.hosted.resources import UNHEARD
from hillmux.hosted.tenant_connection import TenantConnection
from hillmux.hosted.tenant_requests import TENANT_HEADERS
from hillmux.hosted.tenant_service import TenantService
from hillmux.net.listener import Listener


class TenantListener(Listener[TenantConnection]):
    """Accepts clients for all tenants; short of descriptors, the tenant furthest over its share gives one."""

    connection_type = TenantConnection

    def __init__(self, service: TenantService, loop: asyncio.AbstractEventLoop, sockets: int) -> None:
        self.service = service
        self._idle: dict[str, dict[TenantConnection, None]] = {}  # by owner, the longest idle first
        self._kept_headers: frozenset[bytes] = TENANT_HEADERS
        self._routed_headers: frozenset[bytes] = frozenset()
        self._deferred: deque[tuple[TenantConnection, bytes]] = deque()
        self._reclaiming = False
        service.disown = self.disown
        super().__init__(cast(Any, service), loop, sockets)

    def _make_request_rules(self) -> None:
        """Each tenant has its own."""

    def headers_to_keep(self) -> frozenset[bytes]:
        """The headers of a request that are kept, those that tenants' routes go by among them."""
        routed = self.service.router.headers
        if routed is not self._routed_headers:
            self._routed_headers, self._kept_headers = routed, TENANT_HEADERS | routed
        return self._kept_headers

    def defer(self, connection: TenantConnection, data: bytes) -> None:
        """Handle input piece by piece, each after what others have ready in this turn of the loop.

        Otherwise other tenants' requests would wait for a whole burst of a tenant that uses much more than
        its share; this tenant's own requests wait for a turn of the loop each.
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
        """Also charge the connection to UNHEARD, until a request names its tenant."""
        self.service.resources.clients.charge(UNHEARD, 1.0)
        super().on_connection_made(connection)

    def on_connection_lost(self, connection: TenantConnection) -> None:
        """Also give the connection back to its owner's share."""
        if connection in self.connections:
            self.service.resources.clients.release(connection.owner)
        super().on_connection_lost(connection)

    def disown(self, owner: str) -> None:
        """A tenant was removed: its idle connections have no owner any more."""
        for connection in list(self._idle.get(owner, ())):
            connection.disown()

    def on_owner_changed(self, connection: TenantConnection, owner: str) -> None:
        """A connection carries a request of another tenant than before."""
        clients = self.service.resources.clients
        clients.release(connection.owner)
        clients.charge(owner, 1.0)

    def mark_idle(self, connection: TenantConnection) -> None:
        """Also list the connection among its owner's idle ones."""
        super().mark_idle(connection)
        self._idle.setdefault(connection.owner, {})[connection] = None

    def mark_busy(self, connection: TenantConnection) -> None:
        """Also take the connection off the list of its owner's idle ones."""
        super().mark_busy(connection)
        idle = self._idle.get(connection.owner)
        if idle is not None:
            idle.pop(connection, None)
            if not idle:
                del self._idle[connection.owner]

    def ensure_capacity(self) -> bool:
        """Whether a client can be accepted now; if not, an idle connection is evicted for one that waits.

        So a tenant's connections survive another's flood: the tenant that holds most for its weight loses the
        one idle for longest. Connections without any request yet count as one more tenant.
        """
        if self._below_limit() or not self._client_waiting():
            return True
        if self._evicted:
            return False  # there is capacity once it is closed
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
        """Have a request answered early whose tenant holds more connections than its share, all busy."""
        if self._reclaiming:  # the answer makes its connection idle, which calls `ensure_capacity`
            return False
        self._reclaiming = True
        try:
            victim = self.service.resources.clients.eviction_victim(UNHEARD)
            return victim is not None and victim != UNHEARD and self.service.give_way(victim)
        finally:
            self._reclaiming = False
