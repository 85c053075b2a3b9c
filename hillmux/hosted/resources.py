"""The resources that all tenants of a process share, with an account of each tenant's use."""

from __future__ import annotations

import time

from hillmux.net.event_dispatcher import UnixClock
from hillmux.tenants.looptime import LoopTime
from hillmux.tenants.model import Limits, Tenant
from hillmux.tenants.shares import Shares

CLIENT_SHARE, HOST_SHARE = 0.5, 0.36  # fractions of the descriptors, as on the platform
LOOP_TIME_PERIOD_S = 0.1  # accounting period of the loop's time
UNASSIGNED = "(unheard)"  # owner of connections that have not carried a request yet
# Causes of rejections by the service itself.
LOOP_TIME_EXHAUSTED, SHARE_EXHAUSTED, DRAINING = "gateway_time", "gateway_share", "draining"


class Resources:
    """The shares of each resource.

    Attributes:
        clock: one clock for all tenants, so that no tenant's windows move when the system's clock is set.
        open_requests: open requests.
        buffer: bytes of requests and of responses that clients have not read.
        clients: client connections.
        hosts: descriptors of connections to hosts, dials included.
        dials: connections to hosts that are being opened.
        log_lines: log lines per second.
        loop_time: seconds of the loop's time per accounting period.
        suppressed_log_lines: log lines beyond a tenant's share since they were last reported.
    """

    def __init__(self, limits: Limits) -> None:
        self.clock = UnixClock()
        self.open_requests = Shares(limits.open_requests)
        self.buffer = Shares(limits.buffer_mb * 1024 * 1024)
        self.clients = Shares(max(int(CLIENT_SHARE * limits.sockets), 1))
        self.hosts = Shares(max(int(HOST_SHARE * limits.sockets), 1))
        self.dials = Shares(limits.dials)
        self.log_lines = Shares(limits.log_lines)
        self.loop_time = LoopTime(limits.loop_share * LOOP_TIME_PERIOD_S)
        self._all = (
            self.open_requests,
            self.buffer,
            self.clients,
            self.hosts,
            self.dials,
            self.log_lines,
            self.loop_time,
        )
        self.clients.register(UNASSIGNED, 1.0)
        self.buffer.register(UNASSIGNED, 1.0)
        self._second = 0
        self.suppressed_log_lines = 0

    def register(self, tenant: Tenant) -> None:
        """Add a tenant, or change its weight."""
        for shares in self._all:
            shares.register(tenant.id, tenant.share)

    def unregister(self, tenant_id: str) -> bool:
        """Remove a tenant; False if it still holds open requests, memory, connections or dials."""
        lasting = (self.open_requests, self.buffer, self.clients, self.hosts, self.dials)
        if any(shares.held_by(tenant_id) > 0 for shares in lasting):
            return False
        for shares in (self.log_lines, self.loop_time):
            shares.release(tenant_id, shares.held_by(tenant_id))
        for shares in self._all:
            shares.unregister(tenant_id)
        return True

    def may_log(self, tenant_id: str) -> bool:
        """Whether a tenant may write one more log line in this second; acquires the line if so."""
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self.log_lines.start_period()
        if self.log_lines.is_registered(tenant_id) and self.log_lines.acquire(tenant_id):
            return True
        self.suppressed_log_lines += 1
        return False
