"""The core: owns the decision module, its clock, timers and open requests. Translation only."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from dataclasses import dataclass
from typing import Any, Final, Protocol, cast

from hillmux import interface as api
from hillmux.decision.gateway import Gateway
from hillmux.interface import AttemptResult, HostStatus, ListKind
from hillmux.net.deadlines import TICK_S, Deadlines
from hillmux.net.discovery import DiscoveryResponse
from hillmux.net.hosts import Attempt, UpstreamPool
from hillmux.net.http1 import Reply

log = logging.getLogger(__name__)

CLIENT_TRANSIT_MS: Final = (
    4.0  # what a request may have spent on its way to us and its answer may on its way back
)
DEADLINE_MARGIN_MS: Final = 8.0  # the guard answers this long before the client's time is up
DECISION_MARGIN_MS: Final = 20.0  # the module is told of an end this much earlier, so that it comes first
HEARTBEAT_INTERVAL_S: Final = 0.05  # spacing of the heartbeat that measures our own lag
MIN_STALL_MS: Final = 5.0  # a heartbeat later than this is a stall
STALE_ENDPOINTS_STALL_MS: Final = (
    500.0  # after a stall so long news of the hosts goes before all that waits to be decided
)
ENDPOINTS_POLL_INTERVAL_S: Final = (
    0.002  # later than the turn of the loop in which all that waited on sockets is read
)
ENDPOINTS_WAIT_TIMEOUT_S: Final = 0.25  # how long news is waited for, as at a start


class Clock:
    """The module's clock: Unix time in milliseconds, which all gateways share, but never set back."""

    def __init__(self) -> None:
        self._offset = time.time() - time.monotonic()

    def now_ms(self) -> float:
        """The time now."""
        return (self._offset + time.monotonic()) * 1000


class Client(Protocol):
    """Who is owed an answer."""

    def answer(
        self, status: int, body: bytes = b"", content_type: bytes = b"", retry_after_ms: float = 0.0
    ) -> None:
        """Pass the one final answer on."""

    def has_left(self, behind: bool) -> bool:
        """Whether it has gone, though the loop has not read so yet; `behind`: it may be some time ago."""


class StreamingClient(Client, Protocol):
    """One who is passed a long answer as it comes."""

    def begin(self, reply: Reply, source: Any) -> None:
        """Begin it; the body follows from a connection to a host."""

    def finish(self) -> None:
        """It is whole."""

    def cut(self) -> None:
        """It cannot be had whole."""


@dataclass(slots=True, init=False)
class ForwardRequest:
    """A valid request of a client: what the module is told, and what goes on to a host."""

    client_request_id: bytes  # X-Request-Id
    class_name: str
    plan_name: str
    customer: str
    time_left_ms: float
    units: float
    replicas: int
    first_replica: int
    is_retry: bool
    read_at: float  # when its last byte was read, by time.monotonic
    head: bytes  # request line and headers for the host, but for X-Deadline
    body: bytes
    pool: str = ""  # the hosts that may serve it
    upload: Any = None  # the rest of its body, if that is still coming (net/flows.py)

    def __init__(
        self,
        client_request_id: bytes,
        class_name: str,
        plan_name: str,
        customer: str,
        time_left_ms: float,
        units: float,
        replicas: int,
        first_replica: int,
        is_retry: bool,
        read_at: float,
        head: bytes,
        body: bytes,
        pool: str = "",
        upload: Any = None,
    ) -> None:
        self.client_request_id, self.class_name = client_request_id, class_name
        self.plan_name, self.customer = plan_name, customer
        self.time_left_ms, self.units, self.replicas, self.first_replica = (
            time_left_ms,
            units,
            replicas,
            first_replica,
        )
        self.is_retry, self.read_at, self.head, self.body = is_retry, read_at, head, body
        self.pool, self.upload = pool, upload


class OpenRequest:
    """A request until it is answered and its last attempt is over."""

    __slots__ = (
        "id",
        "client",
        "forward_request",
        "deadline",
        "deadline_slot",
        "attempts",
        "open_attempts",
        "max_attempts",
        "streaming_attempt",
    )

    def __init__(
        self, rid: str, client: Client, forward_request: ForwardRequest, deadline: float, max_attempts: int
    ) -> None:
        self.id, self.forward_request, self.deadline = rid, forward_request, deadline
        self.max_attempts = max_attempts  # attempts at most, by the settings that it came under
        self.client: Client | None = client  # None: answered, or gone
        self.deadline_slot = 0  # the slot of its deadline
        self.attempts: list[Attempt | None] = []  # None: never sent
        self.open_attempts = 0
        self.streaming_attempt: Attempt | None = None  # whose answer has begun at the client


class CounterClient(Protocol):
    """Where the module's counter calls go: each gets exactly one `CountReply`."""

    def call(self, act: api.IncrementCounter) -> None:
        """Make one call."""


class LoopLagMonitor:
    """A heartbeat that measures how far the loop runs behind; one serves all cores on a loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._last_stall_ms = 0.0
        self._next_heartbeat_at = time.monotonic() + HEARTBEAT_INTERVAL_S
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin to beat."""
        self._next_heartbeat_at = time.monotonic() + HEARTBEAT_INTERVAL_S
        self._timer = self._loop.call_later(HEARTBEAT_INTERVAL_S, self._heartbeat)

    def stop(self) -> None:
        """Beat no more."""
        if self._timer is not None:
            self._timer.cancel()

    def _heartbeat(self) -> None:
        """Measure how far we run behind: what is read in this turn may have waited for us so long."""
        now = time.monotonic()
        late = (now - self._next_heartbeat_at) * 1000
        if late > MIN_STALL_MS:
            self._last_stall_ms = late
            self._loop.call_later(0.001, self._clear_stall)
        self._next_heartbeat_at = now + HEARTBEAT_INTERVAL_S
        self._timer = self._loop.call_later(HEARTBEAT_INTERVAL_S, self._heartbeat)

    def _clear_stall(self) -> None:
        self._last_stall_ms = 0.0

    def lag_ms(self, now: float) -> float:
        """How long what is read now may have waited for us.

        Guards against a stall that is over before the heartbeat could tell: a loop that was stopped in its
        poll reads sockets first and fires timers after.
        """
        late = (now - self._next_heartbeat_at) * 1000
        return late if late > MIN_STALL_MS else self._last_stall_ms


class GatewayCore:
    """Events of the sockets in, actions of the module out."""

    def __init__(
        self, settings: api.Settings, seed: int, loop: asyncio.AbstractEventLoop, pulse: LoopLagMonitor
    ) -> None:
        self.settings = settings
        self.loop, self.loop_lag = loop, pulse
        self.clock = Clock()
        self.decision_module = Gateway(settings, seed)
        self.upstreams: UpstreamPool
        self.counter: CounterClient | None = None
        self.requests: dict[str, OpenRequest] = {}
        self.deadlines = Deadlines(loop, self.deadline_reached)
        self._client_request_ids: set[bytes] = set()  # of the requests that are open or have an attempt out
        self.last_serial = 0
        self._queued_events: deque[api.Event] = deque()
        self._handling = False
        self._held_until = 0.0  # until when events wait for news of the hosts at most; 0: they don't
        self.draining = False
        self._refuses_requests = False  # nothing new is taken any more

    def drain(self) -> None:
        """Take no new connections for long, and give back what was reserved: the process ends soon."""
        self.draining = True
        self.return_leases()

    def return_leases(self) -> None:
        """Give back what is reserved of quotas ahead of use."""
        self.post(api.DrainStarted())

    def fail_all(self) -> None:
        """Answer all that is open as failed, and refuse what still comes: the process is about to end."""
        self._refuses_requests = True
        for request in list(self.requests.values()):
            self._fail_request(request)

    def change_settings(self, settings: api.Settings) -> None:
        """Go over to new settings, which have been checked; what is open keeps those that it came under."""
        self.settings = settings
        self.post(api.SettingsChanged(settings))

    # --- Clients ------------------------------------------------------------------------------------------

    def request(self, client: Client, order: ForwardRequest) -> str | None:
        """Take a request; its id tells `left` which one is meant. None: its own id is in use."""
        if self._refuses_requests:
            # Danger: sent on now it would still be out when the process ends, and its answer lost.
            client.answer(503)
            return ""
        # Guards against one client in another's name: hosts know a request by its id alone.
        if order.client_request_id in self._client_request_ids:
            return None
        self._client_request_ids.add(order.client_request_id)
        self.last_serial += 1
        rid = f"r{self.last_serial}"
        # The client's time runs from when it sent the request, not from when we came to read it.
        now = time.monotonic()
        queued_ms = (now - order.read_at) * 1000
        behind_ms = self.loop_lag.lag_ms(now)
        if behind_ms > STALE_ENDPOINTS_STALL_MS:
            self.hold_events()
        left_ms = order.time_left_ms - CLIENT_TRANSIT_MS - behind_ms - queued_ms
        request = OpenRequest(
            rid, client, order, now + (left_ms - DEADLINE_MARGIN_MS) / 1000, self.settings.max_attempts
        )
        self.requests[rid] = request
        if order.upload is None:
            request.deadline_slot = self.deadlines.add(
                request, max((left_ms - DEADLINE_MARGIN_MS) / 1000 - TICK_S, 0.0)
            )
        else:
            self.await_upload(request)
        self.post(
            api.Request(
                rid,
                order.class_name,
                order.plan_name,
                order.customer,
                left_ms - DECISION_MARGIN_MS,
                order.units,
                order.replicas,
                order.first_replica,
                order.is_retry,
                order.pool,
            )
        )
        return rid

    def left(self, rid: str) -> None:
        """The client is gone."""
        request = self.requests.get(rid)
        if request is not None and request.client is not None:
            self._detach_client(request)
            self.post(api.ClientDisconnected(rid))

    def broken(self, rid: str, status: int) -> None:
        """A request that was taken will never be whole: answer it, and call off what is out for it."""
        request = self.requests.get(rid)
        if request is not None and request.client is not None:
            self.answer(request, status)
            self.post(api.ClientDisconnected(rid))

    def await_upload(self, request: OpenRequest) -> None:
        """A request whose body is still coming: its time runs from the last byte on."""
        raise NotImplementedError

    def deadline_reached(self, request: OpenRequest) -> None:
        # Guards the first rule: whatever the module or a socket does, the client gets its answer in time.
        self.log_message(logging.WARNING, "a request ran to its deadline unanswered: failed by the guard")
        self._fail_request(request)

    def _fail_request(self, request: OpenRequest) -> None:
        if request.client is not None:
            self.answer(request, 504)
            self.post(api.ClientDisconnected(request.id))

    def answer(
        self,
        request: OpenRequest | None,
        status: int,
        reply: Reply | None = None,
        retry_after_ms: float = 0.0,
    ) -> None:
        """The one final answer; a second one is dropped."""
        if request is None or request.client is None:
            return
        client = request.client
        self._detach_client(request)
        if reply is None:
            if request.streaming_attempt is not None:
                cast(StreamingClient, client).cut()  # it has begun: the client must see that it is not whole
            else:
                client.answer(status, retry_after_ms=retry_after_ms)
        else:
            self.pass_on_response(client, reply)

    def pass_on_response(self, client: Client, reply: Reply) -> None:
        """A host's good answer goes to the client."""
        if reply.flowed:
            cast(StreamingClient, client).finish()
        else:
            client.answer(reply.status, reply.body, reply.headers.get(b"content-type", b""))

    def _detach_client(self, request: OpenRequest) -> None:
        request.client = None
        self.deadlines.cancel(request, request.deadline_slot)
        self.forget_if_finished(request)

    def forget_if_finished(self, request: OpenRequest) -> None:
        if (
            request.client is None
            and not request.open_attempts
            and self.requests.pop(request.id, None) is not None
        ):
            self._client_request_ids.discard(request.forward_request.client_request_id)

    # --- Hosts --------------------------------------------------------------------------------------------

    def apply_endpoints(self, listing: DiscoveryResponse, kind: ListKind) -> None:
        """Take news of the hosts: of all of them (kind `full`, `kept`), or of some (`changes`)."""
        gone = {s.name for s in listing.endpoints if s.status == HostStatus.REMOVED}
        if kind != ListKind.CHANGES:  # a whole list replaces the old one
            gone |= self.upstreams.host_names() - {s.name for s in listing.endpoints}
        draining = frozenset(s.name for s in listing.endpoints if s.status == HostStatus.DRAINING)
        self.upstreams.update(listing.addresses, gone, draining)
        if listing.endpoints or kind != ListKind.CHANGES:
            event = api.EndpointList(kind, listing.endpoints)
            if self._held_until:
                self._handle(event)
            else:
                self.post(event)

    def send_attempt(self, act: api.SendAttempt) -> None:
        request = self.requests.get(act.request_id)
        number = len(request.attempts) if request is not None else 0
        left_s = request.deadline - time.monotonic() if request is not None else 0.0
        if (
            request is None
            or request.client is None
            or left_s <= 0
            or number >= request.max_attempts
            or (request.forward_request.upload is not None and not request.forward_request.upload.again())
        ):
            if request is not None:
                request.attempts.append(None)
            self.post(
                api.AttemptEnded(
                    act.request_id,
                    number,
                    act.host,
                    AttemptResult.NOT_SENT,
                    0.0,
                    request is None or request.client is None,
                )
            )
            return
        wait_s = min(act.timeout_ms / 1000, left_s) if act.timeout_ms else left_s
        order = request.forward_request
        now = time.monotonic()
        attempt = Attempt(
            act.request_id, number, act.host, order.head, order.body, now, now + act.delivery_window_ms / 1000
        )
        attempt.timeout_s = wait_s
        if order.upload is not None:
            attempt.upload = order.upload
            wait_s = wait_s if order.upload.whole else left_s
        request.attempts.append(attempt)
        request.open_attempts += 1
        self.upstreams.send(attempt, max(wait_s, 0.0))

    def is_wanted(self, attempt: Attempt) -> bool:
        """Asked right before an attempt's first byte: whether its client still waits, with time left."""
        request = self.requests.get(attempt.request_id)
        if request is None or request.client is None:
            return False
        # Danger: after a stall, or on a connection that waited to be accepted, a request is read before its
        # client's end that came long since, and would be sent on for nobody.
        now = time.monotonic()
        return now < request.deadline and not request.client.has_left(self.loop_lag.lag_ms(now) > 0)

    def attempt_ended(self, attempt: Attempt, result: AttemptResult, reply: Reply | None) -> None:
        request = self.requests[attempt.request_id]
        request.open_attempts -= 1
        # What lay unread while we stalled is not the host's latency.
        now = time.monotonic()
        took = (now - attempt.sent_at) * 1000
        if reply is not None:
            if reply.came_at:  # one that comes in pieces tells of its path, not of the host's load
                took -= (now - reply.came_at) * 1000
            behind_ms = self.loop_lag.lag_ms(now)
            took = max(took - behind_ms, 0.0)
            if behind_ms > STALE_ENDPOINTS_STALL_MS:
                self.hold_events()
        units = 0.0
        if result == AttemptResult.OK and reply is not None:
            units = reply.amount(b"billed-units", self.settings.max_request_units)
            self.answer(request, reply.status, reply)
        elif request.streaming_attempt is attempt:
            self.answer(request, 502)
        final = request.client is None
        self.forget_if_finished(request)
        self.post(
            api.AttemptEnded(
                attempt.request_id, attempt.number, attempt.host, result, took, final, actual_units=units
            )
        )

    def _cancel_attempt(self, act: api.CancelAttempt) -> None:
        request = self.requests.get(act.request_id)
        if request is not None and act.attempt < len(request.attempts):
            attempt = request.attempts[act.attempt]
            if attempt is not None:
                self.upstreams.cancel(attempt)

    # --- The module ---------------------------------------------------------------------------------------

    def post(self, event: api.Event) -> None:
        """Hand events to the module in their order, also those that its own actions give rise to."""
        if self._handling:
            self._queued_events.append(event)
            return
        self._handling = True
        try:
            self._handle(event)
            while self._queued_events:
                self._handle(self._queued_events.popleft())
        finally:
            self._handling = False

    def endpoints_due(self) -> bool:
        """Whether discovery still owes an answer that tells all there is now."""
        return False

    def hold_events(self) -> None:
        """We stood still: what has come meanwhile is decided once the news of the hosts is read.

        Danger: sockets are read in any order after a stall, and of several news a watch has brought the first
        alone; a request or outcome that is decided before goes to a host that drained long since. Hurts: some
        ms after such a stall, MOST_NEWS_S where discovery is silent.
        """
        if not self._handling:
            self._handling, self._held_until = True, time.monotonic() + ENDPOINTS_WAIT_TIMEOUT_S
            self.loop.call_later(ENDPOINTS_POLL_INTERVAL_S, self._release_events)

    def _release_events(self) -> None:
        if self.endpoints_due() and time.monotonic() < self._held_until:
            self.loop.call_later(ENDPOINTS_POLL_INTERVAL_S, self._release_events)
            return
        self._handling, self._held_until = False, 0.0
        if self._queued_events:
            self.post(self._queued_events.popleft())

    def _handle(self, event: api.Event) -> None:
        try:
            actions = self.decision_module.handle(self.clock.now_ms(), event)
        except Exception:
            # Guards all other requests against one that the module breaks on.
            self.log_message(logging.ERROR, f"the module failed on {type(event).__name__}", True)
            self.decision_failed(event)
            return
        for act in actions:
            try:
                if type(act) is api.SendAttempt:
                    self.send_attempt(act)
                else:
                    self.execute(act)
            except Exception:
                self.log_message(logging.ERROR, f"an action failed: {type(act).__name__}", True)

    def decision_failed(self, event: api.Event) -> None:
        """Answer the request that the module broke on at once: it will not come back to it."""
        if isinstance(event, api.Request):
            self.answer(self.requests.get(event.id), 500)
        elif isinstance(event, api.AttemptEnded):
            self.answer(self.requests.get(event.request_id), 502)

    def execute(self, act: api.Action) -> None:
        match act:
            case api.Reject():
                self.reject(act)
            case api.Fail():
                self.answer(self.requests.get(act.request_id), 502)
            case api.CancelAttempt():
                self._cancel_attempt(act)
            case api.SetTimer():
                self.set_timer(act)
            case api.IncrementCounter():
                if self.counter is None:
                    self.post(api.CounterReply(act.name, AttemptResult.CONNECT_FAILED, 0.0))
                else:
                    self.counter.call(act)
            case api.Subscribe():
                pass  # the watch is always on
            case api.Log():
                self.log_message(logging.INFO, act.text)

    def log_message(self, level: int, text: str, trace: bool = False) -> None:
        """A line for the log, with the trace of what is being handled if so wanted."""
        log.log(level, "%s", text, exc_info=trace)

    def reject(self, act: api.Reject) -> None:
        self.answer(self.requests.get(act.request_id), 503, retry_after_ms=act.retry_after_ms)

    def set_timer(self, act: api.SetTimer) -> None:
        self.loop.call_later(max(act.delay_ms, 0.0) / 1000, self.post, api.TimerFired(act.name))
