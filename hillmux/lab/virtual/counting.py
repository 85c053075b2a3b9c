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
from hillmux.counter.store import total_text
from hillmux.decision.gateway import Gateway
from hillmux.interface import AttemptResult, ListKind
from hillmux.lab.store import Store
from hillmux.lab.streams import Stream, generator
from hillmux.lab.virtual.counter import CounterModel, CounterService
from hillmux.lab.virtual.loop import Loop
from hillmux.net.counter_channel import request_bytes

START_MS: Final = 1.8e12  # the modules' clock is the time of day: windows have numbers as long as in service
UNLIMITED: Final = CounterModel(per_s=1e9, parts=1)
ARRIVALS_AT_ONCE: Final = 4096  # arrivals are drawn by so many
CLASS: Final = api.RequestClass("read", latency_objective_ms=1000, deadline_ms=2000)
CLIENT_LEFT_MS: Final = 2000.0  # what a request says of its time left
SILENT_MS: Final = (
    1000.0  # `hillmux.net.counter_channel.SILENCE_TIMEOUT_S`: then its connections are closed, and dials fail
)

# On the wire a segment carries an IPv4 header (20 bytes) and a TCP header with timestamps (32 bytes). A call
# is one segment each way; the reply acknowledges the request. The reply is acknowledged by the next request
# on its connection if that comes within the 40 ms of Linux's delayed acknowledgement, else by a segment of
# its own: at 65 calls a second over 4 connections that is one reply in two.
SEGMENT_BYTES: Final = 52
SEGMENTS_PER_CALL: Final = 2.5


TURNED_AWAY_BYTES: Final = len(
    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 22\r\n\r\nno room for a new name"
)


def reply_bytes(total: float) -> int:
    """Length of the counter's reply with a total, as `hillmux.counter.service` writes it."""
    body = total_text(total)
    return len(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n") + len(body)


@dataclass(slots=True, frozen=True)
class Scenario:
    """A fleet, its customers, its counter; times in milliseconds, rates a second."""

    gateways: int
    customers: int
    width: int  # gateways that see a customer, in a row and counted round; the whole fleet at most
    asked_per_s: float  # requests a second of one customer, of one unit each
    rate: float  # of each customer's plan
    burst: float
    seed: int
    counter: CounterModel = UNLIMITED
    way_ms: tuple[float, float] = (2.0, 20.0)  # one way to the counter: even between these
    count_wait_ms: float = 90.0
    host_ms: float = 20.0
    hosts: int = 5
    most_customers: int = 8192
    timed: bool = False  # sums the processor time of the modules


@dataclass(slots=True)
class Figures:
    """What was seen since the last `CountingFleet.begin_measuring`."""

    since_ms: float
    requests: int = 0
    unserved: int = 0  # no gateway of the customer's set was up
    sent: float = 0.0  # units
    beyond: float = 0.0  # units that the true store did not hold
    refused: int = 0
    refused_with_half: int = 0  # the true store held half a burst or more
    refused_with_units: int = 0  # the true store held the request's units
    stranded: float = 0.0  # share of the burst in the true store, summed over refusals
    causes: Tally[str] = field(default_factory=Tally)
    calls: int = 0  # to the counter
    ended: int = 0  # of them: those that came to an end, and
    answered: int = 0  # those that did with a total, in time
    request_bytes: int = 0
    reply_bytes: int = 0
    module_s: float = 0.0  # processor time, where the scenario is timed

    @property
    def payload_bytes(self) -> int:
        """Bytes of requests to the counter and of its replies."""
        return self.request_bytes + self.reply_bytes

    @property
    def wire_bytes(self) -> float:
        """The same with TCP and IP headers."""
        return self.payload_bytes + self.calls * SEGMENTS_PER_CALL * SEGMENT_BYTES


class Customer:
    """A customer: its set of gateways, its true store."""

    __slots__ = ("name", "first", "store", "beyond", "sent", "kept_to")

    def __init__(self, name: str, first: int, store: Store) -> None:
        self.name, self.first, self.store = name, first, store
        self.beyond = self.sent = 0.0  # units, since the start
        self.kept_to: int | None = None  # all of its traffic comes to this gateway


class HollowGateway:
    """One gateway's module, from a start to its end, and what is between it and the counter."""

    __slots__ = (
        "number",
        "life",
        "module",
        "alive",
        "clock_off_ms",
        "cut_off_at",
        "open",
        "requests",
        "refused",
        "calls",
    )

    def __init__(self, number: int, life: int, module: Gateway, clock_off_ms: float) -> None:
        self.number, self.life, self.module, self.clock_off_ms = number, life, module, clock_off_ms
        self.alive = True
        self.cut_off_at: float | None = None  # since when the counter is out of its reach
        self.open: dict[str, Customer] = {}  # by request
        self.requests = self.refused = self.calls = 0  # since its start


class CountCall:
    """One call to the counter, which is answered to its gateway once."""

    __slots__ = ("gateway", "act", "made_ms", "done")

    def __init__(self, gateway: HollowGateway, act: api.IncrementCounter, made_ms: float) -> None:
        self.gateway, self.act, self.made_ms = gateway, act, made_ms
        self.done = False


Meddler = Callable[[CountCall], bool]  # takes a call's way over, or leaves it (False)
RefusalWatch = Callable[[HollowGateway, Customer, str], None]  # is told of each refusal and its cause


class CountingFleet:
    """Plays a scenario.

    `inspect` is called with a gateway after each event that it handled, `check` with the fleet after that;
    they may raise. Without faults and with an unlimited counter no call is late, and time-outs are left out.
    """

    def __init__(
        self,
        scenario: Scenario,
        inspect: Callable[[HollowGateway], None] | None = None,
        check: Callable[[CountingFleet], None] | None = None,
    ) -> None:
        self.scenario, self.inspect, self.check = scenario, inspect, check
        self.loop = Loop(START_MS)
        self.counter = CounterService(self.loop, scenario.counter)
        self.figures = Figures(START_MS)
        self.width = min(scenario.width, scenario.gateways)
        self.meddler: Meddler | None = None  # faults of calls
        self.refusal_watch: RefusalWatch | None = None
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

    def _store(self) -> Store:
        return Store(self.scenario.rate, self.scenario.burst, START_MS)

    # --- Playing ---

    def run(self, for_s: float) -> Figures:
        """Go on for a time."""
        self.loop.run(self.loop.now + 1000 * for_s)
        return self.figures

    def begin_measuring(self) -> None:
        """Figures from here on."""
        self.figures = Figures(self.loop.now)

    def measured_s(self) -> float:
        """Virtual time since the figures began."""
        return (self.loop.now - self.figures.since_ms) / 1000

    def expect_late_calls(self) -> None:
        """Give up calls after `count_wait_ms`: for scenarios with faults. To be called before the start."""
        self._late_calls = True

    # --- Gateways ---

    def _started(self, number: int, clock_off_ms: float) -> HollowGateway:
        scenario = self.scenario
        self._lives += 1
        settings = api.Settings(
            classes=(CLASS,),
            plans=(self._plan,),
            gateway_index=number,
            fleet_size=scenario.gateways,
            counter_available=True,
            counter_timeout_ms=scenario.count_wait_ms,
            max_customers=scenario.most_customers,
            max_retry_after_ms=2000,
        )
        seed = int(generator(scenario.seed, f"gateway.{self._lives}").integers(1 << 61))
        gateway = HollowGateway(number, self._lives, Gateway(settings, seed), clock_off_ms)
        self.give(gateway, api.EndpointList(ListKind.FULL, self._servers))
        return gateway

    def kill(self, number: int) -> None:
        """A gateway's process ends; requests go to the next ones of their sets."""
        self.gateways[number].alive = False

    def start(self, number: int) -> None:
        """It is back and knows nothing; its machine's clock and its way to the counter are as before."""
        old = self.gateways[number]
        old.alive = False
        self.gateways[number] = self._started(number, old.clock_off_ms)
        self.gateways[number].cut_off_at = old.cut_off_at

    def give(self, gateway: HollowGateway, event: api.Event) -> None:
        """One event for a gateway's module; does what it answers."""
        if not gateway.alive:
            return
        now = self.loop.now + gateway.clock_off_ms
        if self.scenario.timed:
            began = thread_time()
            actions = gateway.module.handle(now, event)
            self.figures.module_s += thread_time() - began
        else:
            actions = gateway.module.handle(now, event)
        for act in actions:
            kind = type(act)
            if kind is api.SendAttempt:
                self._send(gateway, act)  # type: ignore[arg-type]
            elif kind is api.IncrementCounter:
                self._count(gateway, act)  # type: ignore[arg-type]
            elif kind is api.Reject:
                self._refused(gateway, act)  # type: ignore[arg-type]
            elif kind is api.SetTimer:
                self.loop.after(act.delay_ms, self.give, gateway, api.TimerFired(act.name))  # type: ignore[union-attr]
        if self.inspect is not None:
            self.inspect(gateway)
        if self.check is not None:
            self.check(self)

    # --- Clients and hosts ---

    def _draw_arrivals(self) -> None:
        """The next arrivals, the earliest last: all customers' together are one Poisson stream."""
        scenario, draw = self.scenario, self._generator
        gaps = draw.exponential(1000 / (scenario.asked_per_s * scenario.customers), ARRIVALS_AT_ONCE)
        times = (self.loop.now + gaps.cumsum()).tolist()
        customers = draw.integers(scenario.customers, size=ARRIVALS_AT_ONCE).tolist()
        places = draw.integers(self.width, size=ARRIVALS_AT_ONCE).tolist()
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
        gateway.open[rid] = customer
        gateway.requests += 1
        self.give(
            gateway,
            api.Request(
                rid, CLASS.name, "plan", customer.name, CLIENT_LEFT_MS, 1.0, self.width, customer.first
            ),
        )

    def _reached(self, customer: Customer, place: int) -> HollowGateway | None:
        if customer.kept_to is not None and self.gateways[customer.kept_to].alive:
            return self.gateways[customer.kept_to]
        for step in range(self.width):
            number = (customer.first + (place + step) % self.width) % len(self.gateways)
            if self.gateways[number].alive:
                return self.gateways[number]
        return None

    def _send(self, gateway: HollowGateway, act: api.SendAttempt) -> None:
        customer, figures = gateway.open[act.request_id], self.figures
        store = customer.store
        figures.sent += 1
        customer.sent += 1
        if store.fill(self.loop.now) >= 1:
            store.left -= 1
        else:
            figures.beyond += 1
            customer.beyond += 1
        self.loop.after(self.scenario.host_ms, self._served, gateway, act)

    def _served(self, gateway: HollowGateway, act: api.SendAttempt) -> None:
        gateway.open.pop(act.request_id, None)
        self.give(
            gateway,
            api.AttemptEnded(act.request_id, 0, act.host, AttemptResult.OK, self.scenario.host_ms, True),
        )

    def _refused(self, gateway: HollowGateway, act: api.Reject) -> None:
        customer, figures = gateway.open.pop(act.request_id), self.figures
        if self.refusal_watch is not None:
            self.refusal_watch(gateway, customer, act.reason)
        store = customer.store
        left = store.fill(self.loop.now)
        figures.refused += 1
        gateway.refused += 1
        figures.causes[act.reason] += 1
        figures.refused_with_half += left >= store.most / 2
        figures.refused_with_units += left >= 1
        figures.stranded += left / store.most

    # --- Calls to the counter ---

    def _count(self, gateway: HollowGateway, act: api.IncrementCounter) -> None:
        self.figures.calls += 1
        gateway.calls += 1
        self.figures.request_bytes += len(request_bytes(act))
        call = CountCall(gateway, act, self.loop.now)
        if gateway.cut_off_at is not None:
            silent = self.loop.now < gateway.cut_off_at + SILENT_MS
            result = AttemptResult.TIMED_OUT if silent else AttemptResult.CONNECT_FAILED
            self.loop.after(self.scenario.count_wait_ms, self.end, call, result, 0.0)
            return
        if self._late_calls:
            self.loop.after(self.scenario.count_wait_ms, self.end, call, AttemptResult.TIMED_OUT, 0.0)
        if self.meddler is None or not self.meddler(call):
            self.loop.after(self.way_ms(), self.arrive_at_counter, call)

    def way_ms(self) -> float:
        """One way between a gateway and the counter."""
        return self._ways.uniform(*self.scenario.way_ms)

    def arrive_at_counter(self, call: CountCall) -> None:
        """A call has reached the counter, which will answer it."""
        act = call.act

        def answered(result: AttemptResult, total: float) -> None:
            self.figures.reply_bytes += reply_bytes(total) if result == "ok" else TURNED_AWAY_BYTES
            self.loop.after(
                self.way_ms(),
                self.end,
                call,
                AttemptResult.OK if result == "ok" else AttemptResult.QUEUE_FULL,
                total,
            )

        self.counter.call(act.name, act.amount, act.retention_ms, answered)

    def end(self, call: CountCall, result: AttemptResult, total: float) -> None:
        """What a call came to at its gateway; the first word counts."""
        if call.done:
            return
        if result == AttemptResult.OK and call.gateway.cut_off_at is not None:
            return  # the answer does not come through
        call.done = True
        if call.made_ms >= self.figures.since_ms:
            self.figures.ended += 1
            self.figures.answered += result == AttemptResult.OK
        took = self.loop.now - call.made_ms
        self.give(call.gateway, api.CounterReply(call.act.name, result, total, took))
