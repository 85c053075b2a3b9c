"""Many gateways that share quotas through one counter, in virtual time, without sockets.

The decision modules are the program's own (`hillmux.decision.gateway.Gateway`). Modelled are the clients
(Poisson arrivals, no retries), a handful of hosts that answer every request, the way to the counter, and
the counter. A true store for each customer judges what the modules let through. Seeded: a scenario plays
the same way each time. Faults: `hillmux.lab.virtual.counting_faults`.
"""

from __future__ import annotations

from collections import Counter as Tally
from collections.abc import Callable
from dataclasses import dataclass, field
from time import thread_time
from typing import Final

from hillmux import interface as api
from hillmux.counter.store import format_total
from hillmux.decision.gateway import Gateway
from hillmux.interface import AttemptResult, ListKind
from hillmux.lab.random_streams import Stream, generator
from hillmux.lab.store import TokenBucket
from hillmux.lab.virtual.counter import CounterModel, SimulatedCounter
from hillmux.lab.virtual.loop import VirtualLoop
from hillmux.net.counter_channel import request_bytes

START_TIME_MS: Final = 1.8e12  # a time of day: window numbers are as long as in service
UNLIMITED: Final = CounterModel(per_s=1e9, parts=1)
ARRIVAL_BATCH: Final = 4096  # arrivals are drawn by so many
CLASS: Final = api.RequestClass("read", latency_objective_ms=1000, deadline_ms=2000)
CLIENT_TIMEOUT_MS: Final = 2000.0  # what a request says of its time left
DISCONNECT_AFTER_MS: Final = 1000.0  # without an answer, as `SILENCE_TIMEOUT_S` of net/counter_channel.py

# On the wire a segment carries an IPv4 header (20 bytes) and a TCP header with timestamps (32 bytes). A call
# is one segment each way; the reply acknowledges the request. The reply is acknowledged by the next request
# on its connection if that comes within the 40 ms of Linux's delayed acknowledgement, else by a segment of
# its own: at 65 calls a second over 4 connections that is one reply in two.
SEGMENT_BYTES: Final = 52
SEGMENTS_PER_CALL: Final = 2.5


REJECTED_REPLY_BYTES: Final = len(
    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 22\r\n\r\nno room for a new name"
)


def reply_bytes(total: float) -> int:
    """Length of the counter's reply with a total, as `hillmux.counter.service` writes it."""
    body = format_total(total)
    return len(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n") + len(body)


@dataclass(slots=True, frozen=True)
class CountingScenario:
    """A fleet, its customers, its counter; times in milliseconds, rates a second."""

    gateways: int
    customers: int
    replicas: int  # gateways that see a customer, in a row and counted round; the whole fleet at most
    requests_per_s: float  # requests a second of one customer, of one unit each
    rate: float  # of each customer's plan
    burst: float
    seed: int
    counter: CounterModel = UNLIMITED
    counter_delay_ms: tuple[float, float] = (2.0, 20.0)  # one way to the counter: even between these
    counter_timeout_ms: float = 90.0
    host_latency_ms: float = 20.0
    hosts: int = 5
    max_customers: int = 8192
    timed: bool = False  # sums the processor time of the modules


@dataclass(slots=True)
class CountingFigures:
    """What was seen since the last `CountingFleet.begin_measuring`."""

    since_ms: float
    requests: int = 0
    unserved: int = 0  # no gateway of the customer's set was up
    units_forwarded: float = 0.0  # units
    units_beyond_quota: float = 0.0  # units that the true store did not hold
    rejected: int = 0
    rejected_with_half_burst: int = 0  # the true store held half a burst or more
    rejected_with_units: int = 0  # the true store held the request's units
    stranded: float = 0.0  # share of the burst in the true store, summed over refusals
    reject_reasons: Tally[str] = field(default_factory=Tally)
    counter_calls: int = 0  # to the counter
    counter_calls_ended: int = 0  # of them: those that came to an end, and
    counter_calls_answered: int = 0  # those that did with a total, in time
    request_bytes: int = 0
    reply_bytes: int = 0
    decision_s: float = 0.0  # processor time, where the scenario is timed

    @property
    def payload_bytes(self) -> int:
        """Bytes of requests to the counter and of its replies."""
        return self.request_bytes + self.reply_bytes

    @property
    def wire_bytes(self) -> float:
        """The same with TCP and IP headers."""
        return self.payload_bytes + self.counter_calls * SEGMENTS_PER_CALL * SEGMENT_BYTES


class Customer:
    """A customer: its set of gateways, its true store."""

    __slots__ = ("name", "first_gateway", "quota", "units_beyond_quota", "units_forwarded", "only_gateway")

    def __init__(self, name: str, first_gateway: int, quota: TokenBucket) -> None:
        self.name, self.first_gateway, self.quota = name, first_gateway, quota
        self.units_beyond_quota = self.units_forwarded = 0.0  # units, since the start
        self.only_gateway: int | None = None  # all of its traffic comes to this gateway


class CountingGateway:
    """One gateway's module, from a start to its end, and what is between it and the counter."""

    __slots__ = (
        "number",
        "incarnation",
        "gateway",
        "alive",
        "clock_offset_ms",
        "disconnected_at",
        "open_requests",
        "requests",
        "rejected",
        "calls",
    )

    def __init__(self, number: int, incarnation: int, gateway: Gateway, clock_offset_ms: float) -> None:
        self.number, self.incarnation, self.gateway, self.clock_offset_ms = (
            number,
            incarnation,
            gateway,
            clock_offset_ms,
        )
        self.alive = True
        self.disconnected_at: float | None = None  # since when the counter is out of its reach
        self.open_requests: dict[str, Customer] = {}  # by request
        self.requests = self.rejected = self.calls = 0  # since its start


class CounterCall:
    """One call to the counter, which is answered to its gateway once."""

    __slots__ = ("gateway", "action", "started_at_ms", "done")

    def __init__(self, gateway: CountingGateway, action: api.IncrementCounter, started_at_ms: float) -> None:
        self.gateway, self.action, self.started_at_ms = gateway, action, started_at_ms
        self.done = False


CallInterceptor = Callable[[CounterCall], bool]  # takes a call's way over, or leaves it (False)
RejectionObserver = Callable[[CountingGateway, Customer, str], None]  # is told of each refusal and its cause


class CountingFleet:
    """Plays a scenario.

    `inspect` is called with a gateway after each event that it handled, `check` with the fleet after that;
    they may raise. Without faults and with an unlimited counter no call is late, and time-outs are left out.
    """

    def __init__(
        self,
        scenario: CountingScenario,
        inspect: Callable[[CountingGateway], None] | None = None,
        check: Callable[[CountingFleet], None] | None = None,
    ) -> None:
        self.scenario, self.inspect, self.check = scenario, inspect, check
        self.loop = VirtualLoop(START_TIME_MS)
        self.counter = SimulatedCounter(self.loop, scenario.counter)
        self.figures = CountingFigures(START_TIME_MS)
        self.replicas = min(scenario.replicas, scenario.gateways)
        self.call_interceptor: CallInterceptor | None = None  # faults of calls
        self.rejection_observer: RejectionObserver | None = None
        self._late_calls = scenario.counter is not UNLIMITED
        self._plan = api.Plan("plan", rate=scenario.rate, burst=scenario.burst)
        self._servers = tuple(api.Endpoint(f"host-{i}") for i in range(scenario.hosts))
        self._ways = Stream(scenario.seed, "ways")
        self._serial = self._lives = 0
        self.customers = [
            Customer(f"customer-{i:06}", i % scenario.gateways, self._store())
            for i in range(scenario.customers)
        ]
        self.gateways = [self._started(number, 0.0) for number in range(scenario.gateways)]
        self._generator = generator(scenario.seed, "arrivals")
        self._arrivals: list[tuple[float, int, int]] = []
        self._next_arrival()

    def _store(self) -> TokenBucket:
        return TokenBucket(self.scenario.rate, self.scenario.burst, START_TIME_MS)

    # --- Playing ---

    def run(self, for_s: float) -> CountingFigures:
        """Go on for a time."""
        self.loop.run(self.loop.now + 1000 * for_s)
        return self.figures

    def begin_measuring(self) -> None:
        """Figures from here on."""
        self.figures = CountingFigures(self.loop.now)

    def measured_s(self) -> float:
        """Virtual time since the figures began."""
        return (self.loop.now - self.figures.since_ms) / 1000

    def enable_counter_timeouts(self) -> None:
        """Give up calls after `count_wait_ms`: for scenarios with faults. To be called before the start."""
        self._late_calls = True

    # --- Gateways ---

    def _started(self, number: int, clock_off_ms: float) -> CountingGateway:
        scenario = self.scenario
        self._lives += 1
        settings = api.Settings(
            classes=(CLASS,),
            plans=(self._plan,),
            gateway_index=number,
            fleet_size=scenario.gateways,
            counter_available=True,
            counter_timeout_ms=scenario.counter_timeout_ms,
            max_customers=scenario.max_customers,
            max_retry_after_ms=2000,
        )
        seed = int(generator(scenario.seed, f"gateway.{self._lives}").integers(1 << 61))
        gateway = CountingGateway(number, self._lives, Gateway(settings, seed), clock_off_ms)
        self.handle(gateway, api.EndpointList(ListKind.FULL, self._servers))
        return gateway

    def kill(self, number: int) -> None:
        """A gateway's process ends; requests go to the next ones of their sets."""
        self.gateways[number].alive = False

    def start(self, number: int) -> None:
        """It is back and knows nothing; its machine's clock and its way to the counter are as before."""
        old = self.gateways[number]
        old.alive = False
        self.gateways[number] = self._started(number, old.clock_offset_ms)
        self.gateways[number].disconnected_at = old.disconnected_at

    def handle(self, gateway: CountingGateway, event: api.Event) -> None:
        """One event for a gateway's module; does what it answers."""
        if not gateway.alive:
            return
        now = self.loop.now + gateway.clock_offset_ms
        if self.scenario.timed:
            began = thread_time()
            actions = gateway.gateway.handle(now, event)
            self.figures.decision_s += thread_time() - began
        else:
            actions = gateway.gateway.handle(now, event)
        for act in actions:
            kind = type(act)
            if kind is api.SendAttempt:
                self._send(gateway, act)  # type: ignore[arg-type]
            elif kind is api.IncrementCounter:
                self._count(gateway, act)  # type: ignore[arg-type]
            elif kind is api.Reject:
                self._refused(gateway, act)  # type: ignore[arg-type]
            elif kind is api.SetTimer:
                self.loop.after(act.delay_ms, self.handle, gateway, api.TimerFired(act.name))  # type: ignore[union-attr]
        if self.inspect is not None:
            self.inspect(gateway)
        if self.check is not None:
            self.check(self)

    # --- Clients and hosts ---

    def _draw_arrivals(self) -> None:
        """The next arrivals, the earliest last: all customers' together are one Poisson stream."""
        scenario, draw = self.scenario, self._generator
        gaps = draw.exponential(1000 / (scenario.requests_per_s * scenario.customers), ARRIVAL_BATCH)
        times = (self.loop.now + gaps.cumsum()).tolist()
        customers = draw.integers(scenario.customers, size=ARRIVAL_BATCH).tolist()
        places = draw.integers(self.replicas, size=ARRIVAL_BATCH).tolist()
        self._arrivals = list(zip(times, customers, places, strict=True))[::-1]

    def _next_arrival(self) -> None:
        if not self._arrivals:
            self._draw_arrivals()
        self.loop.at(self._arrivals[-1][0], self._arrive)

    def _arrive(self) -> None:
        _, number, place = self._arrivals.pop()
        self._next_arrival()
        self.request(self.customers[number], place)

    def request(self, customer: Customer, place: int) -> None:
        """A request of a customer at one place of its set, or at the next one that is up."""
        figures, gateway = self.figures, self._reached(customer, place)
        figures.requests += 1
        if gateway is None:
            figures.unserved += 1
            return
        self._serial += 1
        rid = str(self._serial)
        gateway.open_requests[rid] = customer
        gateway.requests += 1
        self.handle(
            gateway,
            api.Request(
                rid,
                CLASS.name,
                "plan",
                customer.name,
                CLIENT_TIMEOUT_MS,
                1.0,
                self.replicas,
                customer.first_gateway,
            ),
        )

    def _reached(self, customer: Customer, place: int) -> CountingGateway | None:
        if customer.only_gateway is not None and self.gateways[customer.only_gateway].alive:
            return self.gateways[customer.only_gateway]
        for step in range(self.replicas):
            number = (customer.first_gateway + (place + step) % self.replicas) % len(self.gateways)
            if self.gateways[number].alive:
                return self.gateways[number]
        return None

    def _send(self, gateway: CountingGateway, act: api.SendAttempt) -> None:
        customer, figures = gateway.open_requests[act.request_id], self.figures
        store = customer.quota
        figures.units_forwarded += 1
        customer.units_forwarded += 1
        if store.refill(self.loop.now) >= 1:
            store.available -= 1
        else:
            figures.units_beyond_quota += 1
            customer.units_beyond_quota += 1
        self.loop.after(self.scenario.host_latency_ms, self._served, gateway, act)

    def _served(self, gateway: CountingGateway, act: api.SendAttempt) -> None:
        gateway.open_requests.pop(act.request_id, None)
        self.handle(
            gateway,
            api.AttemptEnded(
                act.request_id, 0, act.host, AttemptResult.OK, self.scenario.host_latency_ms, True
            ),
        )

    def _refused(self, gateway: CountingGateway, act: api.Reject) -> None:
        customer, figures = gateway.open_requests.pop(act.request_id), self.figures
        if self.rejection_observer is not None:
            self.rejection_observer(gateway, customer, act.reason)
        store = customer.quota
        left = store.refill(self.loop.now)
        figures.rejected += 1
        gateway.rejected += 1
        figures.reject_reasons[act.reason] += 1
        figures.rejected_with_half_burst += left >= store.burst / 2
        figures.rejected_with_units += left >= 1
        figures.stranded += left / store.burst

    # --- Calls to the counter ---

    def _count(self, gateway: CountingGateway, act: api.IncrementCounter) -> None:
        self.figures.counter_calls += 1
        gateway.calls += 1
        self.figures.request_bytes += len(request_bytes(act))
        call = CounterCall(gateway, act, self.loop.now)
        if gateway.disconnected_at is not None:
            silent = self.loop.now < gateway.disconnected_at + DISCONNECT_AFTER_MS
            result = AttemptResult.TIMED_OUT if silent else AttemptResult.CONNECT_FAILED
            self.loop.after(self.scenario.counter_timeout_ms, self.end_call, call, result, 0.0)
            return
        if self._late_calls:
            self.loop.after(
                self.scenario.counter_timeout_ms, self.end_call, call, AttemptResult.TIMED_OUT, 0.0
            )
        if self.call_interceptor is None or not self.call_interceptor(call):
            self.loop.after(self.draw_counter_delay_ms(), self.deliver_call, call)

    def draw_counter_delay_ms(self) -> float:
        """One way between a gateway and the counter."""
        return self._ways.uniform(*self.scenario.counter_delay_ms)

    def deliver_call(self, call: CounterCall) -> None:
        """A call has reached the counter, which will answer it."""
        act = call.action

        def answered(result: AttemptResult, total: float) -> None:
            self.figures.reply_bytes += reply_bytes(total) if result == "ok" else REJECTED_REPLY_BYTES
            self.loop.after(
                self.draw_counter_delay_ms(),
                self.end_call,
                call,
                AttemptResult.OK if result == "ok" else AttemptResult.QUEUE_FULL,
                total,
            )

        self.counter.call(act.name, act.amount, act.retention_ms, answered)

    def end_call(self, call: CounterCall, result: AttemptResult, total: float) -> None:
        """What a call came to at its gateway; the first word counts."""
        if call.done:
            return
        if result == AttemptResult.OK and call.gateway.disconnected_at is not None:
            return  # the answer does not come through
        call.done = True
        if call.started_at_ms >= self.figures.since_ms:
            self.figures.counter_calls_ended += 1
            self.figures.counter_calls_answered += result == AttemptResult.OK
        took = self.loop.now - call.started_at_ms
        self.handle(call.gateway, api.CounterReply(call.action.name, result, total, took))
