"""One tenant's core: its own module, hosts and counts, within its shares of what the process has."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from itertools import islice
from typing import Any, Protocol, cast

from hillmux import interface as api
from hillmux.hosted.resources import SHARE, Resources
from hillmux.hosted.stats import Stats
from hillmux.interface import AttemptResult, Idempotency, ListKind, RejectReason
from hillmux.net.attempt import Attempt
from hillmux.net.discovery_response import DiscoveryResponse
from hillmux.net.forward_request import Client, ForwardRequest, OpenRequest
from hillmux.net.gateway_core import CounterClient, GatewayCore
from hillmux.net.http1 import Response
from hillmux.net.loop_lag import LoopLagMonitor
from hillmux.net.upstream_connection import UpstreamConnection
from hillmux.net.upstream_pool import UpstreamPool
from hillmux.tenants.model import Tenant

log = logging.getLogger(__name__)

DOZE_AFTER_S = 2.0  # since the last request
DOZE_S = 5.0  # between housekeeping timers while there is nothing to keep
RETIRE_EVERY = 10  # housekeeping timers between looks at idle connections
RETRY_TIMER_MS = 100.0  # a timer that the module broke on comes again
LOOKED_AT = 16  # newest requests, of which one gives way
NO_MODULE_MS = 1000.0  # Retry-After of what the service itself refuses
CONFLICT = "conflict"
LINES_KEPT = b":lines"  # no header can be called so
# Of an answer, these are for one connection only (RFC 9110 section 7.6.1), or between host and gateway.
OWN_HEADERS = frozenset(
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
    """A counter that a tenant can be cut off from."""

    def close(self) -> None:
        """Reply no more."""


class TenantHostConnection(UpstreamConnection):
    """One connection to a tenant's host; keeps the header lines that the client gets, too."""

    def on_header(self, name: bytes, value: bytes) -> None:
        """Also keep the line for the client, unless it is hop-by-hop, the gateway's own or a trailer."""
        super().on_header(name, value)
        if name.lower() not in OWN_HEADERS and b":done" not in self._headers:
            self._headers[LINES_KEPT] = b"%b%b: %b\r\n" % (self._headers.get(LINES_KEPT, b""), name, value)

    def on_headers_complete(self) -> None:
        """Check the framing as the base does; header lines from here on are trailers."""
        super().on_headers_complete()
        self._headers[b":done"] = b""  # what still comes are trailers


class TenantHosts(UpstreamPool):
    """A tenant's connections, held against its shares."""

    connection_class = TenantHostConnection

    def __init__(
        self,
        tenant: Tenant,
        loop: asyncio.AbstractEventLoop,
        resources: Resources,
        ended: Callable[[Attempt, AttemptResult, Response | None], None],
        make_room: Callable[[str], bool],
        wanted: Callable[[Attempt], bool],
    ) -> None:
        super().__init__(loop, int(resources.hosts.capacity), tenant.dial_ms, tenant.idle_ms, ended, wanted)
        self._tenant, self._resources, self._make_room = tenant.id, resources, make_room

    def classify(self, reply: Response) -> AttemptResult:
        """An answer that is the tenant's own business, a 404 as much as a 201, was served."""
        if 200 <= reply.status < 500 and reply.status not in (408, 429):
            return AttemptResult.OK
        return super().classify(reply)

    def empty(self) -> bool:
        """Whether no connection is left, nor a dial."""
        return not self.connections and not self.dials

    def reserve_dial(self) -> bool:
        """Also reserve the dial and its descriptor in the tenant's shares."""
        # Guards the descriptors and the dials of the others.
        if not self._resources.dials.acquire(self._tenant):
            return False
        if self._resources.hosts.acquire(self._tenant):
            return True
        # An idle connection of our own gives way, else one of whoever holds more than its part. Either is
        # gone within this turn of the loop, before the dial is up.
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
        self._resources.hosts.release(self._tenant)  # it stands for itself now, if it is up

    def connection_opened(self, connection: UpstreamConnection) -> None:
        """Also charge the connection to the tenant's share."""
        super().connection_opened(connection)
        self._resources.hosts.charge(self._tenant, 1.0)

    def connection_closed(self, connection: UpstreamConnection) -> None:
        """Also give the connection back to the tenant's share, if it was up."""
        if connection in self.connections:
            self._resources.hosts.release(self._tenant)
        super().connection_closed(connection)


class TenantCore(GatewayCore):
    """Events of a tenant's requests and hosts in, actions of its module out.

    Awake, the module has its timer as often as it asks. With nothing open and no pressure left it dozes: the
    timer comes each DOZE_S, and at once when a request comes. When the module says that nothing is left which
    a fresh one would not know, it is put away whole; `settled` tells the service so.
    """

    def __init__(
        self,
        tenant: Tenant,
        loop: asyncio.AbstractEventLoop,
        pulse: LoopLagMonitor,
        resources: Resources,
        stats: Stats,
        seed: int,
        settled: Callable[[TenantCore], None],
        make_room: Callable[[str], bool],
    ) -> None:
        super().__init__(tenant.settings, seed, loop, pulse)
        self.tenant = tenant
        self.clock = resources.clock
        self._resources, self.stats, self._settled = resources, stats, settled
        self.upstreams: TenantHosts = TenantHosts(
            tenant, loop, resources, self.attempt_ended, make_room, self.is_wanted
        )
        self._timers: dict[str, asyncio.TimerHandle] = {}
        self._dozing = False
        self._busy_at = loop.time()
        self._sweeps = 0
        self._leaving = self._closed = False
        self._counts: TenantCounter | None = None
        self.cause = ""  # of the refusal that is being answered

    def start(self, born_ms: float, listing: DiscoveryResponse, counter: TenantCounter) -> None:
        """Begin as one that was born then and idle since: its ceilings have earned what they could."""
        self.counter = self._counts = counter
        for act in self.decision_module.handle(born_ms, api.EndpointList(ListKind.CACHED, ())):
            self.execute(act)
        self.apply_endpoints(listing, ListKind.FULL)

    def update(self, tenant: Tenant, listing: DiscoveryResponse) -> None:
        """Go on under a changed configuration whose settings are the same."""
        self.tenant = tenant
        self.apply_endpoints(listing, ListKind.FULL)

    def leave(self) -> None:
        """Take nothing new; close once the last request has its answer and its attempts are over."""
        self._leaving = True
        self.return_leases()
        self._close_if_done()

    def empty(self) -> bool:
        """Whether nothing is left: no request, timer or connection."""
        return self._closed and not self.requests and not self._timers and self.upstreams.empty()

    def open_requests(self) -> int:
        """Requests that are owed an answer, or whose attempts are out."""
        return len(self.requests)

    # Requests

    def take(self, client: Client, order: ForwardRequest, make_room: Callable[[str], bool]) -> str | None:
        """Take a request; None: it was refused at once, for the cause in `cause`."""
        tenant, size = self.tenant.id, len(order.head) + len(order.body)
        shares = self._resources.open
        if not shares.acquire(tenant) and not (make_room(tenant) and shares.acquire(tenant)):
            self.cause = SHARE
            return None
        if not self._resources.buffer.acquire(tenant, size):
            shares.release(tenant)
            self.cause = SHARE
            return None
        self._wake()
        rid = self.request(client, order)
        if rid is None:
            shares.release(tenant)
            self._resources.buffer.release(tenant, size)
            self.cause = CONFLICT
        return rid

    def give_way(self) -> bool:
        """Answer one request early, the newest that was never sent or may be repeated if there is one."""
        newest = [r for r in islice(reversed(self.requests.values()), LOOKED_AT) if r.client is not None]
        for request in newest:
            harmless = all(a is None for a in request.attempts) or self._safe(request)
            if harmless:
                self.cause = SHARE
                self.answer(request, 503, retry_after_ms=NO_MODULE_MS)
                self.post(api.ClientDisconnected(request.id))
                return True
        if newest:
            self.answer(newest[0], 502)
            self.post(api.ClientDisconnected(newest[0].id))
        return bool(newest)

    def drop_idle(self) -> bool:
        """End an idle connection to a host, if there is one."""
        return self.upstreams.drop_idle()

    def _safe(self, request: OpenRequest) -> bool:
        return any(
            c.name == request.forward_request.class_name and c.idempotency == Idempotency.IDEMPOTENT
            for c in self.settings.classes
        )

    def _wake(self) -> None:
        self._busy_at = self.loop.time()
        if self._dozing:
            self._dozing = False
            handle = self._timers.pop("sweep", None)
            if handle is not None:
                handle.cancel()
            self.post(api.TimerFired("sweep"))

    def forget_if_finished(self, request: OpenRequest) -> None:
        """Also return the request's shares once it is forgotten."""
        held = request.id in self.requests
        super().forget_if_finished(request)
        if held and request.id not in self.requests:
            self._resources.open.release(self.tenant.id)
            self._resources.buffer.release(
                self.tenant.id, len(request.forward_request.head) + len(request.forward_request.body)
            )
            if self._leaving:
                self.loop.call_soon(self._close_if_done)

    def client_disconnected(self, rid: str) -> None:
        """Also count a request whose client left before its answer."""
        request = self.requests.get(rid)
        if request is not None and request.client is not None:
            self.stats.left += 1
        super().client_disconnected(rid)

    def answer(
        self,
        request: OpenRequest | None,
        status: int,
        reply: Response | None = None,
        retry_after_ms: float = 0.0,
    ) -> None:
        """Also count the answer and its cause."""
        if request is not None and request.client is not None:
            if reply is not None:
                self.stats.served += 1
                self.stats.times.add((time.monotonic() - request.forward_request.read_at) * 1000)
            elif status in (429, 503):
                self.stats.refuse(self.cause)
            else:
                self.stats.failed += 1
                self.cause = "failed"
        super().answer(request, status, reply, retry_after_ms)

    def pass_on_response(self, client: Client, reply: Response) -> None:
        """Also hand on the header lines that stay as the host wrote them."""
        cast(Any, client).is_forwarding = True
        cast(Any, client).extra_header_lines = reply.headers.get(LINES_KEPT, b"")
        super().pass_on_response(client, reply)

    def reject(self, act: api.Reject) -> None:
        """Answer 429 where a quota or ceiling rejects, else 503."""
        self.cause = act.reason
        status = 429 if act.reason in (RejectReason.QUOTA, RejectReason.CEILING) else 503
        self.answer(self.requests.get(act.request_id), status, retry_after_ms=act.retry_after_ms)

    def send_attempt(self, act: api.SendAttempt) -> None:
        """Also count the units of a first attempt."""
        request = self.requests.get(act.request_id)
        first = request is not None and not request.attempts
        super().send_attempt(act)
        if first and request is not None and request.attempts and request.attempts[0] is not None:
            self.stats.units += request.forward_request.units

    # The module

    def decision_failed(self, event: api.Event) -> None:
        """Also count the fault, and keep the tenant's timer running."""
        self.stats.faults += 1
        super().decision_failed(event)
        if isinstance(event, api.TimerFired):
            # Guards the tenant against its own fault: without its timer the module would never see f rise.
            self.set_timer(api.SetTimer(event.name, RETRY_TIMER_MS))

    def log_message(self, level: int, text: str, trace: bool = False) -> None:
        """Log with the tenant's name, within its share of log lines."""
        if self._resources.may_log(self.tenant.id):
            log.log(level, "tenant %s: %s", self.tenant.id, text, exc_info=trace)

    def set_timer(self, act: api.SetTimer) -> None:
        """Set a timer of the module, less often while the tenant is idle."""
        delay_s = max(act.delay_ms, 0.0) / 1000
        if act.name == "sweep":
            self._sweeps += 1
            idle = self.loop.time() - self._busy_at > DOZE_AFTER_S and not self.requests
            self._dozing = idle and self.decision_module.is_idle()
            if self._dozing:
                delay_s = min(DOZE_S, self.tenant.idle_ms / 2000)
            if self._dozing or self._sweeps % RETIRE_EVERY == 0:
                self.upstreams.close_expired()
        if self._closed:
            return
        old = self._timers.get(act.name)
        if old is not None:
            old.cancel()
        self._timers[act.name] = self.loop.call_later(delay_s, self._timer_due, act.name)

    def _timer_due(self, name: str) -> None:
        self._timers.pop(name, None)
        self.post(api.TimerFired(name))
        if self._dozing and name == "sweep" and self.decision_module.is_quiescent() and not self.requests:
            self._settled(self)

    # The end

    def _close_if_done(self) -> None:
        if self._leaving and not self.requests:
            self.close()

    def close(self) -> None:
        """End all that is left; nothing is open."""
        if self._closed:
            return
        self._closed = True
        for handle in self._timers.values():
            handle.cancel()
        self._timers.clear()
        self.upstreams.stop()
        if self._counts is not None:
            self._counts.close()
        self._settled(self)
