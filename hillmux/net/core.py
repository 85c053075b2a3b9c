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
from hillmux.net.deadlines import TICK_S, TimingWheel
from hillmux.net.discovery import Listing
from hillmux.net.hosts import Attempt, Hosts
from hillmux.net.http1 import Response

log = logging.getLogger(__name__)

TRANSIT_MS: Final = 4.0  # what a request may have spent on its way to us and its answer may on its way back
GUARD_MS: Final = 8.0  # the guard answers this long before the client's time is up
MODULE_MS: Final = 20.0  # the module is told of an end this much earlier, so that it comes first
BEAT_S: Final = 0.05  # spacing of the heartbeat that measures our own lag
LAG_MS: Final = 5.0  # a heartbeat later than this is a stall
OLD_LIST_MS: Final = 500.0  # after a stall so long news of the hosts goes before all that waits to be decided
NEWS_S: Final = 0.002  # later than the turn of the loop in which all that waited on sockets is read
MOST_NEWS_S: Final = 0.25  # how long news is waited for, as at a start


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

    def start_response(self, reply: Response, source: Any) -> None:
        """Begin it; the body follows from a connection to a host."""

    def finish_response(self) -> None:
        """It is whole."""

    def abort_response(self) -> None:
        """It cannot be had whole."""


@dataclass(slots=True, init=False)
class Order:
    """A valid request of a client: what the module is told, and what goes on to a host."""

    wire_id: bytes  # X-Request-Id
    class_name: str
    plan_name: str
    customer: str
    time_left_ms: float
    units: float
    width: int
    first: int
    repeat: bool
    read_at: float  # when its last byte was read, by time.monotonic
    head: bytes  # request line and headers for the host, but for X-Deadline
    body: bytes
    pool: str = ""  # the hosts that may serve it
    streamed_body: Any = None  # the rest of its body, if that is still coming (net/flows.py)

    def __init__(
        self,
        wire_id: bytes,
        class_name: str,
        plan_name: str,
        customer: str,
        time_left_ms: float,
        units: float,
        width: int,
        first: int,
        repeat: bool,
        read_at: float,
        head: bytes,
        body: bytes,
        pool: str = "",
        streamed_body: Any = None,
    ) -> None:
        self.wire_id, self.class_name = wire_id, class_name
        self.plan_name, self.customer = plan_name, customer
        self.time_left_ms, self.units, self.width, self.first = time_left_ms, units, width, first
        self.repeat, self.read_at, self.head, self.body = repeat, read_at, head, body
        self.pool, self.streamed_body = pool, streamed_body


class _Open:
    """A request until it is answered and its last attempt is over."""

    __slots__ = ("id", "client", "order", "end_at", "guard", "attempts", "out", "tries", "flow")

    def __init__(self, rid: str, client: Client, order: Order, end_at: float, tries: int) -> None:
        self.id, self.order, self.end_at = rid, order, end_at
        self.tries = tries  # attempts at most, by the settings that it came under
        self.client: Client | None = client  # None: answered, or gone
        self.guard = 0  # the slot of its deadline
        self.attempts: list[Attempt | None] = []  # None: never sent
        self.out = 0
        self.flow: Attempt | None = None  # whose answer has begun at the client


class CounterClient(Protocol):
    """Where the module's counter calls go: each gets exactly one `CountReply`."""

    def call(self, act: api.IncrementCounter) -> None:
        """Make one call."""


class Pulse:
    """A heartbeat that measures how far the loop runs behind; one serves all cores on a loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._lag_ms = 0.0
        self._due = time.monotonic() + BEAT_S
        self._handle: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin to beat."""
        self._due = time.monotonic() + BEAT_S
        self._handle = self._loop.call_later(BEAT_S, self._beat)

    def stop(self) -> None:
        """Beat no more."""
        if self._handle is not None:
            self._handle.cancel()

    def _beat(self) -> None:
        """Measure how far we run behind: what is read in this turn may have waited for us so long."""
        now = time.monotonic()
        late = (now - self._due) * 1000
        if late > LAG_MS:
            self._lag_ms = late
            self._loop.call_later(0.001, self._caught_up)
        self._due = now + BEAT_S
        self._handle = self._loop.call_later(BEAT_S, self._beat)

    def _caught_up(self) -> None:
        self._lag_ms = 0.0

    def behind_ms(self, now: float) -> float:
        """How long what is read now may have waited for us.

        Guards against a stall that is over before the heartbeat could tell: a loop that was stopped in its
        poll reads sockets first and fires timers after.
        """
        late = (now - self._due) * 1000
        return late if late > LAG_MS else self._lag_ms


class Core:
    """Events of the sockets in, actions of the module out."""

    def __init__(
        self, settings: api.Settings, seed: int, loop: asyncio.AbstractEventLoop, pulse: Pulse
    ) -> None:
        self.settings = settings
        self._loop, self._pulse = loop, pulse
        self._clock = Clock()
        self._gateway = Gateway(settings, seed)
        self._hosts: Hosts
        self._counter: CounterClient | None = None
        self._requests: dict[str, _Open] = {}
        self._guards = TimingWheel(loop, self._guard)
        self._wire_ids: set[bytes] = set()  # of the requests that are open or have an attempt out
        self._serial = 0
        self._events: deque[api.Event] = deque()
        self._handling = False
        self._holding = 0.0  # until when events wait for news of the hosts at most; 0: they don't
        self.draining = False
        self._shut = False  # nothing new is taken any more

    def drain(self) -> None:
        """Take no new connections for long, and give back what was reserved: the process ends soon."""
        self.draining = True
        self.return_leases()

    def return_leases(self) -> None:
        """Give back what is reserved of quotas ahead of use."""
        self._post(api.DrainStarted())

    def fail_all(self) -> None:
        """Answer all that is open as failed, and refuse what still comes: the process is about to end."""
        self._shut = True
        for request in list(self._requests.values()):
            self._give_up(request)

    def change(self, settings: api.Settings) -> None:
        """Go over to new settings, which have been checked; what is open keeps those that it came under."""
        self.settings = settings
        self._post(api.SettingsChanged(settings))

    # --- Clients ------------------------------------------------------------------------------------------

    def request(self, client: Client, order: Order) -> str | None:
        """Take a request; its id tells `left` which one is meant. None: its own id is in use."""
        if self._shut:
            # Danger: sent on now it would still be out when the process ends, and its answer lost.
            client.answer(503)
            return ""
        # Guards against one client in another's name: hosts know a request by its id alone.
        if order.wire_id in self._wire_ids:
            return None
        self._wire_ids.add(order.wire_id)
        self._serial += 1
        rid = f"r{self._serial}"
        # The client's time runs from when it sent the request, not from when we came to read it.
        now = time.monotonic()
        queued_ms = (now - order.read_at) * 1000
        behind_ms = self._pulse.behind_ms(now)
        if behind_ms > OLD_LIST_MS:
            self._hold()
        left_ms = order.time_left_ms - TRANSIT_MS - behind_ms - queued_ms
        request = _Open(rid, client, order, now + (left_ms - GUARD_MS) / 1000, self.settings.max_attempts)
        self._requests[rid] = request
        if order.streamed_body is None:
            request.guard = self._guards.add(request, max((left_ms - GUARD_MS) / 1000 - TICK_S, 0.0))
        else:
            self._uploads(request)
        self._post(
            api.Request(
                rid,
                order.class_name,
                order.plan_name,
                order.customer,
                left_ms - MODULE_MS,
                order.units,
                order.width,
                order.first,
                order.repeat,
                order.pool,
            )
        )
        return rid

    def left(self, rid: str) -> None:
        """The client is gone."""
        request = self._requests.get(rid)
        if request is not None and request.client is not None:
            self._close(request)
            self._post(api.ClientDisconnected(rid))

    def broken(self, rid: str, status: int) -> None:
        """A request that was taken will never be whole: answer it, and call off what is out for it."""
        request = self._requests.get(rid)
        if request is not None and request.client is not None:
            self._answer(request, status)
            self._post(api.ClientDisconnected(rid))

    def _uploads(self, request: _Open) -> None:
        """A request whose body is still coming: its time runs from the last byte on."""
        raise NotImplementedError

    def _guard(self, request: _Open) -> None:
        # Guards the first rule: whatever the module or a socket does, the client gets its answer in time.
        self._note(logging.WARNING, "a request ran to its deadline unanswered: failed by the guard")
        self._give_up(request)

    def _give_up(self, request: _Open) -> None:
        if request.client is not None:
            self._answer(request, 504)
            self._post(api.ClientDisconnected(request.id))

    def _answer(
        self, request: _Open | None, status: int, reply: Response | None = None, retry_after_ms: float = 0.0
    ) -> None:
        """The one final answer; a second one is dropped."""
        if request is None or request.client is None:
            return
        client = request.client
        self._close(request)
        if reply is None:
            if request.flow is not None:
                cast(
                    StreamingClient, client
                ).abort_response()  # it has begun: the client must see that it is not whole
            else:
                client.answer(status, retry_after_ms=retry_after_ms)
        else:
            self._pass_on(client, reply)

    def _pass_on(self, client: Client, reply: Response) -> None:
        """A host's good answer goes to the client."""
        if reply.streamed:
            cast(StreamingClient, client).finish_response()
        else:
            client.answer(reply.status, reply.body, reply.headers.get(b"content-type", b""))

    def _close(self, request: _Open) -> None:
        request.client = None
        self._guards.cancel(request, request.guard)
        self._forget(request)

    def _forget(self, request: _Open) -> None:
        if request.client is None and not request.out and self._requests.pop(request.id, None) is not None:
            self._wire_ids.discard(request.order.wire_id)

    # --- Hosts --------------------------------------------------------------------------------------------

    def _apply(self, listing: Listing, kind: ListKind) -> None:
        """Take news of the hosts: of all of them (kind `full`, `kept`), or of some (`changes`)."""
        gone = {s.name for s in listing.servers if s.status == HostStatus.REMOVED}
        if kind != ListKind.CHANGES:  # a whole list replaces the old one
            gone |= self._hosts.names() - {s.name for s in listing.servers}
        draining = frozenset(s.name for s in listing.servers if s.status == HostStatus.DRAINING)
        self._hosts.update(listing.addresses, gone, draining)
        if listing.servers or kind != ListKind.CHANGES:
            event = api.EndpointList(kind, listing.servers)
            if self._holding:
                self._handle(event)
            else:
                self._post(event)

    def _send(self, act: api.SendAttempt) -> None:
        request = self._requests.get(act.request_id)
        number = len(request.attempts) if request is not None else 0
        left_s = request.end_at - time.monotonic() if request is not None else 0.0
        if (
            request is None
            or request.client is None
            or left_s <= 0
            or number >= request.tries
            or (request.order.streamed_body is not None and not request.order.streamed_body.can_replay())
        ):
            if request is not None:
                request.attempts.append(None)
            self._post(
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
        order = request.order
        now = time.monotonic()
        attempt = Attempt(
            act.request_id, number, act.host, order.head, order.body, now, now + act.delivery_window_ms / 1000
        )
        attempt.timeout_s = wait_s
        if order.streamed_body is not None:
            attempt.streamed_body = order.streamed_body
            wait_s = wait_s if order.streamed_body.complete else left_s
        request.attempts.append(attempt)
        request.out += 1
        self._hosts.send(attempt, max(wait_s, 0.0))

    def _wanted(self, attempt: Attempt) -> bool:
        """Asked right before an attempt's first byte: whether its client still waits, with time left."""
        request = self._requests.get(attempt.request)
        if request is None or request.client is None:
            return False
        # Danger: after a stall, or on a connection that waited to be accepted, a request is read before its
        # client's end that came long since, and would be sent on for nobody.
        now = time.monotonic()
        return now < request.end_at and not request.client.has_left(self._pulse.behind_ms(now) > 0)

    def _ended(self, attempt: Attempt, result: AttemptResult, reply: Response | None) -> None:
        request = self._requests[attempt.request]
        request.out -= 1
        # What lay unread while we stalled is not the host's latency.
        now = time.monotonic()
        took = (now - attempt.sent_at) * 1000
        if reply is not None:
            if reply.first_byte_at:  # one that comes in pieces tells of its path, not of the host's load
                took -= (now - reply.first_byte_at) * 1000
            behind_ms = self._pulse.behind_ms(now)
            took = max(took - behind_ms, 0.0)
            if behind_ms > OLD_LIST_MS:
                self._hold()
        units = 0.0
        if result == AttemptResult.OK and reply is not None:
            units = reply.positive_number(b"billed-units", self.settings.max_request_units)
            self._answer(request, reply.status, reply)
        elif request.flow is attempt:
            self._answer(request, 502)
        final = request.client is None
        self._forget(request)
        self._post(
            api.AttemptEnded(
                attempt.request, attempt.number, attempt.server, result, took, final, actual_units=units
            )
        )

    def _cancel(self, act: api.CancelAttempt) -> None:
        request = self._requests.get(act.request_id)
        if request is not None and act.attempt < len(request.attempts):
            attempt = request.attempts[act.attempt]
            if attempt is not None:
                self._hosts.cancel(attempt)

    # --- The module ---------------------------------------------------------------------------------------

    def _post(self, event: api.Event) -> None:
        """Hand events to the module in their order, also those that its own actions give rise to."""
        if self._handling:
            self._events.append(event)
            return
        self._handling = True
        try:
            self._handle(event)
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._handling = False

    def _news_due(self) -> bool:
        """Whether discovery still owes an answer that tells all there is now."""
        return False

    def _hold(self) -> None:
        """We stood still: what has come meanwhile is decided once the news of the hosts is read.

        Danger: sockets are read in any order after a stall, and of several news a watch has brought the first
        alone; a request or outcome that is decided before goes to a host that drained long since. Hurts: some
        ms after such a stall, MOST_NEWS_S where discovery is silent.
        """
        if not self._handling:
            self._handling, self._holding = True, time.monotonic() + MOST_NEWS_S
            self._loop.call_later(NEWS_S, self._release)

    def _release(self) -> None:
        if self._news_due() and time.monotonic() < self._holding:
            self._loop.call_later(NEWS_S, self._release)
            return
        self._handling, self._holding = False, 0.0
        if self._events:
            self._post(self._events.popleft())

    def _handle(self, event: api.Event) -> None:
        try:
            actions = self._gateway.handle(self._clock.now_ms(), event)
        except Exception:
            # Guards all other requests against one that the module breaks on.
            self._note(logging.ERROR, f"the module failed on {type(event).__name__}", True)
            self._module_failed(event)
            return
        for act in actions:
            try:
                if type(act) is api.SendAttempt:
                    self._send(act)
                else:
                    self._act(act)
            except Exception:
                self._note(logging.ERROR, f"an action failed: {type(act).__name__}", True)

    def _module_failed(self, event: api.Event) -> None:
        """Answer the request that the module broke on at once: it will not come back to it."""
        if isinstance(event, api.Request):
            self._answer(self._requests.get(event.id), 500)
        elif isinstance(event, api.AttemptEnded):
            self._answer(self._requests.get(event.request_id), 502)

    def _act(self, act: api.Action) -> None:
        match act:
            case api.Reject():
                self._refuse(act)
            case api.Fail():
                self._answer(self._requests.get(act.request_id), 502)
            case api.CancelAttempt():
                self._cancel(act)
            case api.SetTimer():
                self._timer(act)
            case api.IncrementCounter():
                if self._counter is None:
                    self._post(api.CounterReply(act.name, AttemptResult.CONNECT_FAILED, 0.0))
                else:
                    self._counter.call(act)
            case api.Subscribe():
                pass  # the watch is always on
            case api.Log():
                self._note(logging.INFO, act.text)

    def _note(self, level: int, text: str, trace: bool = False) -> None:
        """A line for the log, with the trace of what is being handled if so wanted."""
        log.log(level, "%s", text, exc_info=trace)

    def _refuse(self, act: api.Reject) -> None:
        self._answer(self._requests.get(act.request_id), 503, retry_after_ms=act.retry_after_ms)

    def _timer(self, act: api.SetTimer) -> None:
        self._loop.call_later(max(act.delay_ms, 0.0) / 1000, self._post, api.TimerFired(act.name))
