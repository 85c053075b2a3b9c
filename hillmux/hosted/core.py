"""One tenant's core: its decision module, hosts and statistics, within its shares of the resources."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from itertools import islice
from typing import Any, Protocol, cast

from hillmux import interface as api
from hillmux.hosted.resources import SHARE_EXHAUSTED, Resources
from hillmux.hosted.stats import Stats
from hillmux.interface import AttemptResult, Idempotency, ListKind, RejectReason
from hillmux.net.attempt import Attempt
from hillmux.net.discovery_response import DiscoveryResponse
from hillmux.net.forward_request import Client, ForwardRequest, OpenRequest
from hillmux.net.gateway_core import CounterClient, GatewayCore
from hillmux.net.loop_lag import LoopLagMonitor
from hillmux.net.response import Response
from hillmux.net.upstream_connection import UpstreamConnection
from hillmux.net.upstream_pool import UpstreamPool
from hillmux.tenants.model import Tenant

log = logging.getLogger(__name__)

IDLE_AFTER_S = 2.0  # time since the last request after which a tenant may become idle
IDLE_SWEEP_INTERVAL_S = 5.0  # maximum interval of the `sweep` timer while a tenant is idle
SWEEPS_PER_EXPIRY_CHECK = 10  # `sweep` timers between checks for expired idle connections
FAILED_TIMER_RETRY_MS = 100.0  # delay after which a timer is repeated on which the module raised
SHED_CANDIDATES = 16  # number of the newest requests from which the one to shed is chosen
SERVICE_RETRY_AFTER_MS = 1000.0  # Retry-After of requests that the service itself rejects
CONFLICT = "conflict"
HEADER_LINES_KEY = b":lines"  # not a valid header name, so it can't collide with a received header
# Response headers that are not forwarded: they apply to one connection (RFC 9110 section 7.6.1), or are
# exchanged between host and gateway only.
UNFORWARDED_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"content-type",
        b"billed-units",
        b"x-not-run",
        b"x-load",
    )
)


class TenantCounter(CounterClient, Protocol):
    """A counter client that can be closed."""

    def close(self) -> None:
        """Pass on no further replies."""


class TenantHostConnection(UpstreamConnection):
    """A connection to a tenant's host, which also keeps the header lines to forward to the client."""

    def on_header(self, name: bytes, value: bytes) -> None:
        """Also keep the line for the client, unless it is in UNFORWARDED_HEADERS or a trailer."""
        super().on_header(name, value)
        if name.lower() not in UNFORWARDED_HEADERS and b":done" not in self._headers:
            self._headers[HEADER_LINES_KEY] = b"%b%b: %b\r\n" % (
                self._headers.get(HEADER_LINES_KEY, b""),
                name,
                value,
            )

    def on_headers_complete(self) -> None:
        """Also mark the end of the headers."""
        super().on_headers_complete()
        self._headers[b":done"] = b""  # header lines received from here on are trailers


class TenantHosts(UpstreamPool):
    """The connections to a tenant's hosts, charged to the tenant's shares."""

    connection_class = TenantHostConnection

    def __init__(
        self,
        tenant: Tenant,
        loop: asyncio.AbstractEventLoop,
        resources: Resources,
        on_attempt_ended: Callable[[Attempt, AttemptResult, Response | None], None],
        make_room: Callable[[str], bool],
        may_still_send: Callable[[Attempt], bool],
    ) -> None:
        super().__init__(
            loop,
            int(resources.hosts.capacity),
            tenant.dial_ms,
            tenant.idle_ms,
            on_attempt_ended,
            may_still_send,
        )
        self._tenant, self._resources, self._make_room = tenant.id, resources, make_room

    def classify(self, response: Response) -> AttemptResult:
        """Also count 2xx to 4xx as served, except 408 and 429: the tenant may mean a 404 as much as a 201."""
        if 200 <= response.status < 500 and response.status not in (408, 429):
            return AttemptResult.OK
        return super().classify(response)

    def is_empty(self) -> bool:
        """Whether no connections and no dials are left."""
        return not self.connections and not self.dials

    def reserve_dial(self) -> bool:
        """Also reserve the dial and its descriptor in the tenant's shares, to protect other tenants."""
        if not self._resources.dials.acquire(self._tenant):
            return False
        if self._resources.hosts.acquire(self._tenant):
            return True
        # Close an idle connection of this tenant, otherwise one of the tenant that exceeds its share most.
        # Either is closed within this iteration of the event loop, before the dial completes.
        if self.drop_idle() or (
            self._resources.hosts.within_guaranteed_share(self._tenant) and self._make_room(self._tenant)
        ):
            self._resources.hosts.charge(self._tenant, 1.0)
            return True
        self._resources.dials.release(self._tenant)
        return False

    def release_dial(self) -> None:
        """Also return the dial and its descriptor to the tenant's shares."""
        super().release_dial()
        self._resources.dials.release(self._tenant)
        self._resources.hosts.release(self._tenant)  # an established connection is charged separately

    def connection_opened(self, connection: UpstreamConnection) -> None:
        """Also charge the connection to the tenant's share."""
        super().connection_opened(connection)
        self._resources.hosts.charge(self._tenant, 1.0)

    def connection_closed(self, connection: UpstreamConnection) -> None:
        """Also release the connection from the tenant's share, if it was established."""
        if connection in self.connections:
            self._resources.hosts.release(self._tenant)
        super().connection_closed(connection)


class TenantCore(GatewayCore):
    """Passes events of a tenant's requests and hosts to its decision module, and executes its actions.

    While the tenant is active, the housekeeping timer (`sweep`) fires as often as the module requests. Once
    there are no open requests and the module is idle, it fires at most every IDLE_SWEEP_INTERVAL_S, and at
    once when a request arrives. When the module is quiescent, that is, when a new module would decide the
    same, `on_finished` is called and the service discards the core. `on_finished` is also called once the
    core is closed.

    Attributes:
        cause: why the request that is being answered was rejected.
    """

    def __init__(
        self,
        tenant: Tenant,
        loop: asyncio.AbstractEventLoop,
        loop_lag: LoopLagMonitor,
        resources: Resources,
        stats: Stats,
        seed: int,
        on_finished: Callable[[TenantCore], None],
        make_room: Callable[[str], bool],
    ) -> None:
        super().__init__(tenant.settings, seed, loop, loop_lag)
        self.tenant = tenant
        self.clock = resources.clock
        self._resources, self.stats, self._on_finished = resources, stats, on_finished
        self.upstreams: TenantHosts = TenantHosts(
            tenant, loop, resources, self.attempt_ended, make_room, self.may_still_send
        )
        self._timers: dict[str, asyncio.TimerHandle] = {}
        self._idle_mode = False
        self._last_request_at = loop.time()
        self._sweeps = 0
        self._closing = self._closed = False
        self._counts: TenantCounter | None = None
        self.cause = ""

    def start(self, created_ms: float, endpoints: DiscoveryResponse, counter: TenantCounter) -> None:
        """Start as if idle since `created_ms`: the module's ceilings have accrued allowance since then."""
        self.counter = self._counts = counter
        for action in self.decision_module.handle(created_ms, api.EndpointList(ListKind.CACHED, ())):
            self.execute(action)
        self.apply_endpoints(endpoints, ListKind.FULL)

    def update(self, tenant: Tenant, endpoints: DiscoveryResponse) -> None:
        """Apply a changed configuration whose module settings are unchanged."""
        self.tenant = tenant
        self.apply_endpoints(endpoints, ListKind.FULL)

    def begin_closing(self) -> None:
        """Close once all requests have been answered and their attempts have ended."""
        self._closing = True
        self.return_leases()
        self._close_if_done()

    def is_empty(self) -> bool:
        """Whether the core is closed and has no requests, timers or connections left."""
        return self._closed and not self.requests and not self._timers and self.upstreams.is_empty()

    def open_request_count(self) -> int:
        """The number of requests that are not yet answered or have attempts in flight."""
        return len(self.requests)

    # Requests

    def submit(
        self, client: Client, forward_request: ForwardRequest, make_room: Callable[[str], bool]
    ) -> str | None:
        """Accept a request and return its id; None if it was rejected, with the reason in `cause`."""
        tenant, size = self.tenant.id, len(forward_request.head) + len(forward_request.body)
        shares = self._resources.open_requests
        if not shares.acquire(tenant) and not (make_room(tenant) and shares.acquire(tenant)):
            self.cause = SHARE_EXHAUSTED
            return None
        if not self._resources.buffer.acquire(tenant, size):
            shares.release(tenant)
            self.cause = SHARE_EXHAUSTED
            return None
        self._wake()
        request_id = self.request(client, forward_request)
        if request_id is None:
            shares.release(tenant)
            self._resources.buffer.release(tenant, size)
            self.cause = CONFLICT
        return request_id

    def shed_request(self) -> bool:
        """Answer one open request early to shed load; returns whether there was one.

        Chooses among the SHED_CANDIDATES newest: the newest that has no attempts or is idempotent is answered
        503. If there is none, the newest is answered 502, since it may have been executed.
        """
        candidates = [
            r for r in islice(reversed(self.requests.values()), SHED_CANDIDATES) if r.client is not None
        ]
        for request in candidates:
            may_be_repeated = all(a is None for a in request.attempts) or self._is_idempotent(request)
            if may_be_repeated:
                self.cause = SHARE_EXHAUSTED
                self.answer(request, 503, retry_after_ms=SERVICE_RETRY_AFTER_MS)
                self.post(api.ClientDisconnected(request.id))
                return True
        if candidates:
            self.answer(candidates[0], 502)
            self.post(api.ClientDisconnected(candidates[0].id))
        return bool(candidates)

    def drop_idle(self) -> bool:
        """Close an idle connection to a host; returns whether there was one."""
        return self.upstreams.drop_idle()

    def _is_idempotent(self, request: OpenRequest) -> bool:
        return any(
            c.name == request.forward_request.class_name and c.idempotency == Idempotency.IDEMPOTENT
            for c in self.settings.classes
        )

    def _wake(self) -> None:
        self._last_request_at = self.loop.time()
        if self._idle_mode:
            self._idle_mode = False
            handle = self._timers.pop("sweep", None)
            if handle is not None:
                handle.cancel()
            self.post(api.TimerFired("sweep"))

    def forget_if_finished(self, request: OpenRequest) -> None:
        """Also release the request's shares once it is removed."""
        held = request.id in self.requests
        super().forget_if_finished(request)
        if held and request.id not in self.requests:
            self._resources.open_requests.release(self.tenant.id)
            self._resources.buffer.release(
                self.tenant.id, len(request.forward_request.head) + len(request.forward_request.body)
            )
            if self._closing:
                self.loop.call_soon(self._close_if_done)

    def client_disconnected(self, request_id: str) -> None:
        """Also count a request whose client disconnected before its answer."""
        request = self.requests.get(request_id)
        if request is not None and request.client is not None:
            self.stats.client_disconnects += 1
        super().client_disconnected(request_id)

    def answer(
        self,
        request: OpenRequest | None,
        status: int,
        response: Response | None = None,
        retry_after_ms: float = 0.0,
    ) -> None:
        """Also count the answer and its cause."""
        if request is not None and request.client is not None:
            if response is not None:
                self.stats.served += 1
                self.stats.times.add((time.monotonic() - request.forward_request.read_at) * 1000)
            elif status in (429, 503):
                self.stats.count_rejection(self.cause)
            else:
                self.stats.failed += 1
                self.cause = "failed"
        super().answer(request, status, response, retry_after_ms)

    def pass_on_response(self, client: Client, response: Response) -> None:
        """Also forward the header lines that the host connection kept."""
        cast(Any, client).is_forwarding = True
        cast(Any, client).extra_header_lines = response.headers.get(HEADER_LINES_KEY, b"")
        super().pass_on_response(client, response)

    def reject(self, action: api.Reject) -> None:
        """Answer 429 if a quota or ceiling rejected the request, otherwise 503."""
        self.cause = action.reason
        status = 429 if action.reason in (RejectReason.QUOTA, RejectReason.CEILING) else 503
        self.answer(self.requests.get(action.request_id), status, retry_after_ms=action.retry_after_ms)

    def send_attempt(self, action: api.SendAttempt) -> None:
        """Also count the units of a first attempt."""
        request = self.requests.get(action.request_id)
        first = request is not None and not request.attempts
        super().send_attempt(action)
        if first and request is not None and request.attempts and request.attempts[0] is not None:
            self.stats.units += request.forward_request.units

    # Decision module

    def decision_failed(self, event: api.Event) -> None:
        """Also count the fault, and keep the tenant's timers running."""
        self.stats.faults += 1
        super().decision_failed(event)
        if isinstance(event, api.TimerFired):
            # Without its timer a module that raised once would never raise its admitted fraction again.
            self.set_timer(api.SetTimer(event.name, FAILED_TIMER_RETRY_MS))

    def log_message(self, level: int, text: str, trace: bool = False) -> None:
        """Log with the tenant's name, within its share of log lines."""
        if self._resources.may_log(self.tenant.id):
            log.log(level, "tenant %s: %s", self.tenant.id, text, exc_info=trace)

    def set_timer(self, action: api.SetTimer) -> None:
        """Set a timer of the module; the `sweep` timer is less frequent while the tenant is idle."""
        delay_s = max(action.delay_ms, 0.0) / 1000
        if action.name == "sweep":
            self._sweeps += 1
            idle = self.loop.time() - self._last_request_at > IDLE_AFTER_S and not self.requests
            self._idle_mode = idle and self.decision_module.is_idle()
            if self._idle_mode:
                delay_s = min(IDLE_SWEEP_INTERVAL_S, self.tenant.idle_ms / 2000)
            if self._idle_mode or self._sweeps % SWEEPS_PER_EXPIRY_CHECK == 0:
                self.upstreams.close_expired()
        if self._closed:
            return
        old = self._timers.get(action.name)
        if old is not None:
            old.cancel()
        self._timers[action.name] = self.loop.call_later(delay_s, self._timer_due, action.name)

    def _timer_due(self, name: str) -> None:
        self._timers.pop(name, None)
        self.post(api.TimerFired(name))
        if self._idle_mode and name == "sweep" and self.decision_module.is_quiescent() and not self.requests:
            self._on_finished(self)

    # Closing

    def _close_if_done(self) -> None:
        if self._closing and not self.requests:
            self.close()

    def close(self) -> None:
        """Cancel the timers and close all connections; there are no open requests."""
        if self._closed:
            return
        self._closed = True
        for handle in self._timers.values():
            handle.cancel()
        self._timers.clear()
        self.upstreams.stop()
        if self._counts is not None:
            self._counts.close()
        self._on_finished(self)
