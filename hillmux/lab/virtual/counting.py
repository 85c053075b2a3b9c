"""Simulation of many gateways that share quotas through one counter, in virtual time and without sockets.

Runs the real decision module (`hillmux.decision.gateway.Gateway`). Clients (Poisson arrivals, no retries), a
few hosts that answer every request, the network to the counter, and the counter are models. The requests that
the gateways forward are compared with a reference token bucket for each customer, which no gateway sees. A
scenario with the same seed gives the same results. Faults: `hillmux.lab.virtual.counting_faults`.
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

START_TIME_MS: Final = (
    1.8e12  # a realistic Unix time, so that window numbers have as many digits as in production
)
UNLIMITED: Final = CounterModel(per_s=1e9, parts=1)
ARRIVAL_BATCH: Final = 4096  # arrivals drawn at once
CLASS: Final = api.RequestClass("read", latency_objective_ms=1000, deadline_ms=2000)
CLIENT_TIMEOUT_MS: Final = 2000.0  # time left that each request states on arrival
# A connection without a reply for this long is closed, as by `SILENCE_TIMEOUT_S` of net/counter_channel.py.
DISCONNECT_AFTER_MS: Final = 1000.0

# Each segment carries an IPv4 header (20 bytes) and a TCP header with timestamps (32 bytes). A call is one
# segment each way; the reply acknowledges the request. The next request on the connection acknowledges the
# reply if it is sent within Linux's delayed acknowledgement time of 40 ms; otherwise a separate segment does.
# At 65 calls per second over 4 connections every second reply needs a separate segment.
SEGMENT_BYTES: Final = 52
SEGMENTS_PER_CALL: Final = 2.5


REJECTED_REPLY_BYTES: Final = len(
    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 22\r\n\r\nno room for a new name"
)


def reply_bytes(total: float) -> int:
    """Return the length in bytes of a counter reply with a total, as `hillmux.counter.service` writes it."""
    body = format_total(total)
    return len(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n") + len(body)


@dataclass(slots=True, frozen=True)
class CountingScenario:
    """A fleet, its customers and its counter. Times are in milliseconds, rates in units per second."""

    gateways: int
    customers: int
    replicas: int  # gateways per customer, numbered consecutively modulo `gateways`; at most all of them
    requests_per_s: float  # requests per second of each customer, of one unit each
    rate: float  # rate of each customer's plan, in units per second
    burst: float  # burst of each customer's plan, in units
    seed: int
    counter: CounterModel = UNLIMITED
    counter_delay_ms: tuple[float, float] = (2.0, 20.0)  # one-way delay, uniform between these bounds
    counter_timeout_ms: float = 90.0
    host_latency_ms: float = 20.0
    hosts: int = 5
    max_customers: int = 8192
    timed: bool = False  # whether to measure the processor time of the decision modules


@dataclass(slots=True)
class CountingFigures:
    """Counts and sums since the last `CountingFleet.begin_measuring`."""

    since_ms: float  # virtual time of the start of the measurement
    requests: int = 0
    unserved: int = 0  # requests that found no running gateway of their customer
    units_forwarded: float = 0.0
    units_beyond_quota: float = 0.0  # units forwarded while the reference bucket held less than one unit
    rejected: int = 0
    rejected_with_half_burst: int = 0  # while the reference bucket held half a burst or more
    rejected_with_units: int = 0  # while the reference bucket held the request's units
    stranded: float = 0.0  # level of the reference bucket as a share of the burst, summed over rejections
    reject_reasons: Tally[str] = field(default_factory=Tally)
    counter_calls: int = 0
    counter_calls_ended: int = 0  # calls that were answered, failed or timed out
    counter_calls_answered: int = 0  # calls that were answered with a total before the time-out
    request_bytes: int = 0  # of requests to the counter, without TCP and IP headers
    reply_bytes: int = 0  # of the counter's replies, without TCP and IP headers
    decision_s: float = 0.0  # processor time of the decision modules; 0 unless the scenario is `timed`

    @property
    def payload_bytes(self) -> int:
        """Bytes of requests to the counter and of its replies, without TCP and IP headers."""
        return self.request_bytes + self.reply_bytes

    @property
    def wire_bytes(self) -> float:
        """Estimated bytes of requests and replies, with TCP and IP headers."""
        return self.payload_bytes + self.counter_calls * SEGMENTS_PER_CALL * SEGMENT_BYTES


class Customer:
    """A customer, with its gateways and its reference token bucket."""

    __slots__ = ("name", "first_gateway", "quota", "units_beyond_quota", "units_forwarded", "only_gateway")

    def __init__(self, name: str, first_gateway: int, quota: TokenBucket) -> None:
        self.name, self.first_gateway, self.quota = name, first_gateway, quota
        self.units_beyond_quota = self.units_forwarded = 0.0  # since the start of the simulation
        self.only_gateway: int | None = None  # gateway that gets all requests; None: any of the set


class CountingGateway:
    """One incarnation of a gateway: its decision module, its clock and its connection to the counter."""

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
        self.disconnected_at: float | None = None  # when the counter became unreachable; None: reachable
        self.open_requests: dict[str, Customer] = {}  # customers by request id
        self.requests = self.rejected = self.calls = 0  # counted since this incarnation started


class CounterCall:
    """A call to the counter. Only its first result is passed to the gateway."""

    __slots__ = ("gateway", "action", "started_at_ms", "done")

    def __init__(self, gateway: CountingGateway, action: api.IncrementCounter, started_at_ms: float) -> None:
        self.gateway, self.action, self.started_at_ms = gateway, action, started_at_ms
        self.done = False


CallInterceptor = Callable[[CounterCall], bool]  # returns True if it delivers or fails the call itself
RejectionObserver = Callable[[CountingGateway, Customer, str], None]  # called with each rejection's reason


class CountingFleet:
    """Runs a scenario.

    `inspect` is called with the gateway after each event that it handles, then `check` with the fleet; an
    exception from either ends the run. Without faults and with an unlimited counter every call is answered in
    time, so no time-outs are scheduled.
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
        self.call_interceptor: CallInterceptor | None = None  # injects faults into calls to the counter
        self.rejection_observer: RejectionObserver | None = None
        self._counter_timeouts = scenario.counter is not UNLIMITED
        self._plan = api.Plan("plan", rate=scenario.rate, burst=scenario.burst)
        self._servers = tuple(api.Endpoint(f"host-{i}") for i in range(scenario.hosts))
        self._delays = Stream(scenario.seed, "ways")
        self._last_request_id = self._starts = 0
        self.customers = [
            Customer(f"customer-{i:06}", i % scenario.gateways, self._create_bucket())
            for i in range(scenario.customers)
        ]
        self.gateways = [self._create_gateway(number, 0.0) for number in range(scenario.gateways)]
        self._generator = generator(scenario.seed, "arrivals")
        self._arrivals: list[tuple[float, int, int]] = []
        self._next_arrival()

    def _create_bucket(self) -> TokenBucket:
        return TokenBucket(self.scenario.rate, self.scenario.burst, START_TIME_MS)

    # --- Running ---

    def run(self, for_s: float) -> CountingFigures:
        """Advance virtual time by `for_s` seconds and return the figures."""
        self.loop.run(self.loop.now + 1000 * for_s)
        return self.figures

    def begin_measuring(self) -> None:
        """Reset the figures."""
        self.figures = CountingFigures(self.loop.now)

    def measured_s(self) -> float:
        """Return the virtual time in seconds since the figures were reset."""
        return (self.loop.now - self.figures.since_ms) / 1000

    def enable_counter_timeouts(self) -> None:
        """Time calls out after `counter_timeout_ms`, as scenarios with faults need. Call it before `run`."""
        self._counter_timeouts = True

    # --- Gateways ---

    def _create_gateway(self, number: int, clock_offset_ms: float) -> CountingGateway:
        scenario = self.scenario
        self._starts += 1
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
        seed = int(generator(scenario.seed, f"gateway.{self._starts}").integers(1 << 61))
        gateway = CountingGateway(number, self._starts, Gateway(settings, seed), clock_offset_ms)
        self.handle(gateway, api.EndpointList(ListKind.FULL, self._servers))
        return gateway

    def kill(self, number: int) -> None:
        """Kill a gateway. Its customers' requests go to the next running gateways of their sets."""
        self.gateways[number].alive = False

    def start(self, number: int) -> None:
        """Start a gateway without any state; its clock offset and its connection to the counter stay."""
        old = self.gateways[number]
        old.alive = False
        self.gateways[number] = self._create_gateway(number, old.clock_offset_ms)
        self.gateways[number].disconnected_at = old.disconnected_at

    def handle(self, gateway: CountingGateway, event: api.Event) -> None:
        """Pass an event to a gateway's decision module and execute the actions that it returns."""
        if not gateway.alive:
            return
        now = self.loop.now + gateway.clock_offset_ms
        if self.scenario.timed:
            started_s = thread_time()
            actions = gateway.gateway.handle(now, event)
            self.figures.decision_s += thread_time() - started_s
        else:
            actions = gateway.gateway.handle(now, event)
        for action in actions:
            kind = type(action)
            if kind is api.SendAttempt:
                self._send(gateway, action)  # type: ignore[arg-type]
            elif kind is api.IncrementCounter:
                self._count(gateway, action)  # type: ignore[arg-type]
            elif kind is api.Reject:
                self._record_rejection(gateway, action)  # type: ignore[arg-type]
            elif kind is api.SetTimer:
                self.loop.after(action.delay_ms, self.handle, gateway, api.TimerFired(action.name))  # type: ignore[union-attr]
        if self.inspect is not None:
            self.inspect(gateway)
        if self.check is not None:
            self.check(self)

    # --- Clients and hosts ---

    def _draw_arrivals(self) -> None:
        """Draw the next arrivals of all customers, one Poisson process in sum, with the earliest last."""
        scenario, draw = self.scenario, self._generator
        gaps = draw.exponential(1000 / (scenario.requests_per_s * scenario.customers), ARRIVAL_BATCH)
        times = (self.loop.now + gaps.cumsum()).tolist()
        customers = draw.integers(scenario.customers, size=ARRIVAL_BATCH).tolist()
        indexes = draw.integers(self.replicas, size=ARRIVAL_BATCH).tolist()
        self._arrivals = list(zip(times, customers, indexes, strict=True))[::-1]

    def _next_arrival(self) -> None:
        if not self._arrivals:
            self._draw_arrivals()
        self.loop.at(self._arrivals[-1][0], self._arrive)

    def _arrive(self) -> None:
        _, number, index = self._arrivals.pop()
        self._next_arrival()
        self.request(self.customers[number], index)

    def request(self, customer: Customer, index: int) -> None:
        """Send a request to the gateway at an index in the customer's set, or to the next one that runs."""
        figures, gateway = self.figures, self._serving_gateway(customer, index)
        figures.requests += 1
        if gateway is None:
            figures.unserved += 1
            return
        self._last_request_id += 1
        request_id = str(self._last_request_id)
        gateway.open_requests[request_id] = customer
        gateway.requests += 1
        self.handle(
            gateway,
            api.Request(
                request_id,
                CLASS.name,
                "plan",
                customer.name,
                CLIENT_TIMEOUT_MS,
                1.0,
                self.replicas,
                customer.first_gateway,
            ),
        )

    def _serving_gateway(self, customer: Customer, index: int) -> CountingGateway | None:
        if customer.only_gateway is not None and self.gateways[customer.only_gateway].alive:
            return self.gateways[customer.only_gateway]
        for step in range(self.replicas):
            number = (customer.first_gateway + (index + step) % self.replicas) % len(self.gateways)
            if self.gateways[number].alive:
                return self.gateways[number]
        return None

    def _send(self, gateway: CountingGateway, action: api.SendAttempt) -> None:
        customer, figures = gateway.open_requests[action.request_id], self.figures
        bucket = customer.quota
        figures.units_forwarded += 1
        customer.units_forwarded += 1
        if bucket.refill(self.loop.now) >= 1:
            bucket.available -= 1
        else:
            figures.units_beyond_quota += 1
            customer.units_beyond_quota += 1
        self.loop.after(self.scenario.host_latency_ms, self._served, gateway, action)

    def _served(self, gateway: CountingGateway, action: api.SendAttempt) -> None:
        gateway.open_requests.pop(action.request_id, None)
        self.handle(
            gateway,
            api.AttemptEnded(
                action.request_id, 0, action.host, AttemptResult.OK, self.scenario.host_latency_ms, True
            ),
        )

    def _record_rejection(self, gateway: CountingGateway, action: api.Reject) -> None:
        customer, figures = gateway.open_requests.pop(action.request_id), self.figures
        if self.rejection_observer is not None:
            self.rejection_observer(gateway, customer, action.reason)
        bucket = customer.quota
        available = bucket.refill(self.loop.now)
        figures.rejected += 1
        gateway.rejected += 1
        figures.reject_reasons[action.reason] += 1
        figures.rejected_with_half_burst += available >= bucket.burst / 2
        figures.rejected_with_units += available >= 1
        figures.stranded += available / bucket.burst

    # --- Calls to the counter ---

    def _count(self, gateway: CountingGateway, action: api.IncrementCounter) -> None:
        self.figures.counter_calls += 1
        gateway.calls += 1
        self.figures.request_bytes += len(request_bytes(action))
        call = CounterCall(gateway, action, self.loop.now)
        if gateway.disconnected_at is not None:
            timed_out = self.loop.now < gateway.disconnected_at + DISCONNECT_AFTER_MS
            result = AttemptResult.TIMED_OUT if timed_out else AttemptResult.CONNECT_FAILED
            self.loop.after(self.scenario.counter_timeout_ms, self.end_call, call, result, 0.0)
            return
        if self._counter_timeouts:
            self.loop.after(
                self.scenario.counter_timeout_ms, self.end_call, call, AttemptResult.TIMED_OUT, 0.0
            )
        if self.call_interceptor is None or not self.call_interceptor(call):
            self.loop.after(self.draw_counter_delay_ms(), self.deliver_call, call)

    def draw_counter_delay_ms(self) -> float:
        """Draw the one-way delay of a message between a gateway and the counter."""
        return self._delays.uniform(*self.scenario.counter_delay_ms)

    def deliver_call(self, call: CounterCall) -> None:
        """Let a call arrive at the counter and send the reply to the gateway."""
        action = call.action

        def answered(result: AttemptResult, total: float) -> None:
            self.figures.reply_bytes += reply_bytes(total) if result == "ok" else REJECTED_REPLY_BYTES
            self.loop.after(
                self.draw_counter_delay_ms(),
                self.end_call,
                call,
                AttemptResult.OK if result == "ok" else AttemptResult.QUEUE_FULL,
                total,
            )

        self.counter.call(action.name, action.amount, action.retention_ms, answered)

    def end_call(self, call: CounterCall, result: AttemptResult, total: float) -> None:
        """Report a call's first result to its gateway; a total is lost while the counter is unreachable."""
        if call.done:
            return
        if result == AttemptResult.OK and call.gateway.disconnected_at is not None:
            return  # the reply is lost, since the counter is unreachable
        call.done = True
        if call.started_at_ms >= self.figures.since_ms:
            self.figures.counter_calls_ended += 1
            self.figures.counter_calls_answered += result == AttemptResult.OK
        latency_ms = self.loop.now - call.started_at_ms
        self.handle(call.gateway, api.CounterReply(call.action.name, result, total, latency_ms))
