"""What all tenants of a process share, each as a ledger: who holds how much of it."""

from __future__ import annotations

import time

from hillmux.net.event_dispatcher import UnixClock
from hillmux.tenants.looptime import LoopTime
from hillmux.tenants.model import Limits, Tenant
from hillmux.tenants.shares import Shares

CLIENT_SHARE, HOST_SHARE = 0.5, 0.36  # of the descriptors, as on the platform
TURN_S = 0.1  # how often the loop's time is dealt out anew
UNHEARD = "(unheard)"  # holds the connections that have not asked for anything yet
CROWDED, SHARE, DRAINING = "gateway_time", "gateway_share", "draining"  # causes of the service's own refusals


class Resources:
    """The ledgers."""

    def __init__(self, limits: Limits) -> None:
        self.clock = UnixClock()  # one for all: no tenant's windows move if the system's clock is set
        self.open = Shares(limits.open_requests)
        self.buffer = Shares(limits.buffer_mb * 1024 * 1024)
        self.clients = Shares(max(int(CLIENT_SHARE * limits.sockets), 1))
        self.hosts = Shares(max(int(HOST_SHARE * limits.sockets), 1))
        self.dials = Shares(limits.dials)
        self.lines = Shares(limits.log_lines)  # by the second
        self.loop = LoopTime(limits.loop_share * TURN_S)  # seconds, by the turn
        self._all = (self.open, self.buffer, self.clients, self.hosts, self.dials, self.lines, self.loop)
        self.clients.register(UNHEARD, 1.0)
        self.buffer.register(UNHEARD, 1.0)
        self._second = 0
        self.lines_left_out = 0

    def register(self, tenant: Tenant) -> None:
        """A tenant, and its weight from now on."""
        for shares in self._all:
            shares.register(tenant.id, tenant.share)

    def unregister(self, tenant_id: str) -> bool:
        """A tenant that is gone; False while it still holds something that lasts."""
        lasting = (self.open, self.buffer, self.clients, self.hosts, self.dials)
        if any(shares.held_by(tenant_id) > 0 for shares in lasting):
            return False
        for shares in (self.lines, self.loop):
            shares.release(tenant_id, shares.held_by(tenant_id))
        for shares in self._all:
            shares.unregister(tenant_id)
        return True

    def may_log(self, tenant_id: str) -> bool:
        """Whether a tenant may have one more line in the log in this second."""
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self.lines.start_period()
        if self.lines.is_registered(tenant_id) and self.lines.acquire(tenant_id):
            return True
        self.lines_left_out += 1
        return False
