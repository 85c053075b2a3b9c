"""A whole day in virtual time: gateways, hosts, counter, lists that come late, clients that ask again.

What is measured follows what the operators count: worth answered within each class's aim over the worth asked
for inside the quotas, a client's retries belonging to its first try. Quotas are judged by one true store for
each customer, which no gateway sees.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from hillmux import interface as api
from hillmux.interface import HostStatus, Idempotency, KeyScope, ListKind
from hillmux.lab.record import Note
from hillmux.lab.store import TokenBucket
from hillmux.lab.streams import Stream, generator
from hillmux.lab.traffic import Customer, PlannedRequest, PlanTraffic, TrafficModel, plan_requests
from hillmux.lab.virtual.counter import CounterModel, SimulatedCounter
from hillmux.lab.virtual.gateway import SimulatedGateway
from hillmux.lab.virtual.hosts import DRAINING, HostModel, SimulatedHost
from hillmux.lab.virtual.loop import VirtualLoop

START_MS = 1e9  # the modules' clock at the start of a day


@dataclass(slots=True, frozen=True)
class SimulationModel:
    """What a day is made of."""

    gateways: int
    hosts: int
    traffic: TrafficModel
    zones: tuple[str, ...] = ("a", "b")
    host: HostModel = field(default_factory=HostModel)
    counter: CounterModel = field(default_factory=CounterModel)
    counter_timeout_ms: float = 90.0
    retries: int = 3
    backoff_ms: float = 300.0
    retry_after_obeyed_share: float = 0.6  # part of the clients that obey Retry-After
    attempt_timeout_share: float = 0.75  # of the class's deadline, after which a try is given up
    failover_delay_ms: float = 2000.0  # how long the front goes on sending to a dead gateway
    discovery_delay_ms: tuple[float, float] = (800.0, 2000.0)  # how late a change of the list comes
    max_retry_after_ms: float = 2000.0


@dataclass(slots=True)
class SimulationFigures:
    """What came of a day; windows are of one second."""

    attempts: int = 0
    requests: int = 0
    finished: int = 0  # first tries that were served, or given up after their last try
    rejected: int = 0
    rejected_with_quota_left: int = 0  # at least half of the quota was unused
    offered_value: float = 0.0  # asked for inside the quotas
    served_value: float = 0.0
    units_beyond_quota: float = 0.0  # units sent on beyond the quotas
    units_forwarded: float = 0.0
    beyond_quota_cost: float = 0.0  # worth that what was sent on beyond the quotas cost
    reset: int = 0
    timed_out: int = 0  # tries that had no answer when their clients gave up
    lowest_ceiling: float = math.inf  # the least that was in a ceiling's store, in units
    hosts_overloaded: int = 0
    windows: dict[int, list[float]] = field(default_factory=dict)  # asked, served

    def goodput(self) -> float:
        """Worth served over worth asked for, less what went beyond the quotas."""
        return (self.served_value - self.beyond_quota_cost) / max(self.offered_value, 1e-9)


class _Ask:
    """A first try and its retries."""

    __slots__ = ("one", "left_tries", "inside", "done", "begun", "rid")

    def __init__(self, one: PlannedRequest, retries: int, begun: float) -> None:
        self.one, self.left_tries, self.begun = one, retries, begun
        self.inside = self.done = False
        self.rid = ""  # where it is recorded


class Simulation:
    """One day."""

    client_delay_ms = 0.6
    counter_delay_ms = 1.0
    connect_timeout_ms = 250.0
    idle_timeout_ms = 30_000.0

    def __init__(self, model: SimulationModel, seed: int) -> None:
        self.model, self.seed = model, seed
        self.loop = VirtualLoop(START_MS)
        self.stream = Stream(seed, "network")
        self.counter = SimulatedCounter(self.loop, model.counter)
        self.hosts: dict[str, SimulatedHost] = {}
        self.connections = self.attempts = self.counter_calls = self.counter_calls_failed = 0
        self.figures = SimulationFigures()
        self.reject_reasons: Counter[str] = Counter()  # why requests were refused
        # What the agent beside each gateway has been sent, and when the last of what is on its way arrives.
        self._agents: list[dict[str, api.Endpoint]] = [{} for _ in range(model.gateways)]
        self._sent_until = [START_MS] * model.gateways
        self.gateway_starts = 0
        self.note: Note | None = None  # where events go, in the form of `lab.record`; None: nowhere
        self._classes = tuple(
            api.RequestClass(
                c.name,
                c.aim_ms,
                c.deadline_ms,
                c.worth,
                0.0,
                Idempotency(c.effect),
                KeyScope.GLOBAL,
                c.window_ms,
            )
            for c in model.traffic.classes
        )
        self._plans = tuple(
            api.Plan(
                p.name,
                p.rate,
                p.burst,
                p.worth,
                p.over_worth,
                p.over_cost,
                p.ceiling * p.rate,
                p.ceiling * p.burst,
                max(0.1 * p.ceiling * p.burst, model.traffic.most_units),
            )
            for p in model.traffic.plans
        )
        speeds = generator(seed, "hosts").lognormal(0.0, 0.12, size=model.hosts)
        for i in range(model.hosts):
            first = self._host(f"h{i}", float(speeds[i]))
            for agent in self._agents:
                agent[first.name] = self._line(first, HostStatus.UP)
        self.gateways = [self._start(i) for i in range(model.gateways)]
        self._down_until: dict[int, float] = {}
        self._offers: dict[str, TokenBucket] = {}
        self._quotas: dict[str, TokenBucket] = {}
        self._ceilings: dict[str, TokenBucket] = {}
        self._asked = plan_requests(model.traffic, model.gateways, seed)
        self._next = 0
        if self._asked:
            self.loop.at(START_MS + self._asked[0].at_ms, self._arrivals)

    # --- The fleet ---

    def zone_of(self, number: int) -> str:
        """The zone of a gateway."""
        return self.model.zones[number % len(self.model.zones)]

    def network_delay_ms(self, a: str, b: str) -> float:
        """One way between two machines."""
        return (0.25 if a == b else 1.0) * self.stream.uniform(1.0, 1.3)

    def add_host(self, name: str, speed: float = 1.0, started: bool = False) -> SimulatedHost:
        """One more host; `started`: just now, so it is cold. The lists tell of it late."""
        host = self._host(name, speed)
        if started:
            host.start()
        self._tell(self._line(host, HostStatus.UP))
        return host

    def _host(self, name: str, speed: float) -> SimulatedHost:
        model = self.model.host
        host = SimulatedHost(
            self.loop,
            name,
            self.model.zones[len(self.hosts) % len(self.model.zones)],
            HostModel(
                model.cores,
                model.speed * speed,
                model.max_queued,
                model.slow_start_min_share,
                model.slow_start_ms,
                model.overload_multiple,
                model.overload_after_ms,
                model.handshake_ms,
            ),
        )
        self.hosts[name] = host
        return host

    @staticmethod
    def _line(host: SimulatedHost, status: HostStatus) -> api.Endpoint:
        return api.Endpoint(host.name, host.zone, 0, status, 1.0, host.started_ms)

    def drain_host(self, name: str) -> None:
        """It wants nothing new."""
        self.hosts[name].state = DRAINING
        self._tell(self._line(self.hosts[name], HostStatus.DRAINING))

    def list_host(self, name: str) -> None:
        """The lists tell of it as it is, up."""
        self._tell(self._line(self.hosts[name], HostStatus.UP))

    def remove_host(self, name: str) -> None:
        """Its process ends, and it leaves the list."""
        self.hosts[name].stop()
        self._tell(self._line(self.hosts[name], HostStatus.REMOVED))

    def restart_host(self, name: str) -> None:
        """Its process is back, cold, under its id."""
        host = self.hosts[name]
        host.start()
        if self.note is not None:
            self.note(name, "up", started=True)
        self._tell(self._line(host, HostStatus.UP))

    def set_host_reachable(self, name: str, cut: bool) -> None:
        """Cut it off, or end that: connections stay open and silent, and new ones never come up."""
        self.hosts[name].reachable = not cut

    def _tell(self, server: api.Endpoint) -> None:
        """News for every agent, late by its own time; an agent hears all news in their order."""
        for number, until in enumerate(self._sent_until):
            self._sent_until[number] = max(
                until, self.loop.now + self.stream.uniform(*self.model.discovery_delay_ms)
            )
            self.loop.at(self._sent_until[number], self._told, number, server)

    def _told(self, number: int, server: api.Endpoint) -> None:
        if server.status == HostStatus.REMOVED:
            self._agents[number].pop(server.name, None)
        else:
            self._agents[number][server.name] = server
        if self.note is not None:
            state = {"up": "ready", "removed": "gone"}.get(server.status, server.status)
            self.note(f"g{number}", "told", host=server.name, state=state, started=server.started_at_ms)
        self.gateways[number].handle(api.EndpointList(ListKind.CHANGES, (server,)))

    def settings(self, number: int) -> api.Settings:
        """What a gateway is told when it starts."""
        day = self.model
        return api.Settings(
            classes=self._classes,
            plans=self._plans,
            gateway_index=number,
            fleet_size=day.gateways,
            zone=self.zone_of(number),
            max_attempts=5,
            hedging_allowed=True,
            cancellation_allowed=True,
            max_retry_after_ms=day.max_retry_after_ms,
            counter_available=True,
            max_request_units=day.traffic.most_units,
            counter_timeout_ms=day.counter_timeout_ms,
            actual_units_reported=True,
            clock_resolution_ms=4.0,
            drain_grace_ms=1000.0,
            slow_start_min_share=min(day.host.slow_start_min_share, 0.16),
            slow_start_ms=1.2 * day.host.slow_start_ms,
            overload_multiple=day.host.overload_multiple,
            overload_after_ms=day.host.overload_after_ms,
        )

    def _start(self, number: int) -> SimulatedGateway:
        self.gateway_starts += 1
        seed = int(generator(self.seed, f"gateway.{number}.{self.gateway_starts}").integers(1 << 61))
        process = SimulatedGateway(self, number, seed)
        process.handle(api.EndpointList(ListKind.CACHED, tuple(self._agents[number].values())))
        return process

    def kill_gateway(self, number: int) -> None:
        """A gateway dies at once; the front notices late."""
        if self.note is not None:
            self.note(f"g{number}", "kill")
        self.gateways[number].die()
        self._down_until[number] = self.loop.now + self.model.failover_delay_ms

    def start_gateway(self, number: int) -> None:
        """It is back, and knows nothing."""
        if self.note is not None:
            self.note(f"g{number}", "start")
            self.note(f"g{number}", "ready")
        self.gateways[number] = self._start(number)
        self._down_until.pop(number, None)

    # --- Clients ---

    def _arrivals(self) -> None:
        asked, now = self._asked, self.loop.now
        while self._next < len(asked) and START_MS + asked[self._next].at_ms <= now:
            one = asked[self._next]
            self._next += 1
            self._first(one)
        if self._next < len(asked):
            self.loop.at(START_MS + asked[self._next].at_ms, self._arrivals)

    def _worth(self, one: PlannedRequest) -> float:
        return one.request_class.worth * one.customer.plan.worth * one.units

    def _quota(self, customer: Customer) -> TokenBucket:
        store = self._quotas.get(customer.name)
        if store is None:
            plan: PlanTraffic = customer.plan
            store = self._quotas[customer.name] = TokenBucket(plan.rate, plan.burst, START_MS)
            self._ceilings[customer.name] = TokenBucket(
                plan.ceiling * plan.rate, plan.ceiling * plan.burst, START_MS
            )
        return store

    def _first(self, one: PlannedRequest) -> None:
        ask = _Ask(one, self.model.retries, self.loop.now)
        figures = self.figures
        figures.requests += 1
        offered = self._offered(one)
        window = figures.windows.setdefault(int((self.loop.now - START_MS) / 1000), [0.0, 0.0])
        if offered:
            figures.offered_value += self._worth(one)
            window[0] += self._worth(one)
        ask.inside = offered
        if self.note is not None:
            ask.rid = f"t{figures.requests}"
            self.note(
                "client",
                "first",
                rid=ask.rid,
                due=self.loop.now,
                cls=one.request_class.name,
                plan=one.customer.plan.name,
                customer=one.customer.name,
                units=one.units,
                true=one.actual_units,
                worth=self._worth(one),
                aim=one.request_class.aim_ms,
            )
        self._try(ask, one.gateway)

    def _offered(self, one: PlannedRequest) -> bool:
        """Whether a try is inside the quota if all before it that were inside had been served."""
        customer = one.customer
        store = self._offers.get(customer.name)
        if store is None:
            store = self._offers[customer.name] = TokenBucket(
                customer.plan.rate, customer.plan.burst, START_MS
            )
        if store.refill(self.loop.now) >= one.units:
            store.available -= one.actual_units
            return True
        return False

    def _try(self, ask: _Ask, number: int) -> None:
        customer = ask.one.customer
        self.figures.attempts += 1
        process = self.gateways[number]
        if not process.alive:
            until = self._down_until.get(number)
            if until is not None and self.loop.now >= until:  # the front knows: another of the set
                for step in range(1, customer.replicas):
                    other = self._beside(customer, number, step)
                    if self.gateways[other].alive:
                        self._try_at(ask, other)
                        return
            self.loop.after(2 * self.client_delay_ms, self._ended, ask, number, "reset", 0.0)
            return
        self._try_at(ask, number)

    def _beside(self, customer: Customer, number: int, step: int) -> int:
        """Another gateway of a customer's set, counted round."""
        place = (number - customer.first_gateway) % self.model.gateways
        return (customer.first_gateway + (place + step) % customer.replicas) % self.model.gateways

    def _try_at(self, ask: _Ask, number: int) -> None:
        one, customer = ask.one, ask.one.customer
        left = min(
            self.model.attempt_timeout_share * one.request_class.deadline_ms,
            one.request_class.deadline_ms - (self.loop.now - ask.begun),
        )
        done = [False]

        def answer(result: str, retry_after_ms: float) -> None:
            if not done[0]:
                done[0] = True
                if self.note is not None:
                    now = self.loop.now
                    self.note(
                        "client",
                        "answer",
                        rid=rid,
                        first=ask.rid,
                        gw=f"g{number}",
                        result=result,
                        took=now - asked_at,
                        total=now - ask.begun,
                        wait=retry_after_ms,
                    )
                self._ended(ask, number, result, retry_after_ms)

        process, asked_at = self.gateways[number], self.loop.now
        rid = process.request(
            lambda rid: api.Request(
                rid,
                one.request_class.name,
                customer.plan.name,
                customer.name,
                left,
                one.units,
                customer.replicas,
                customer.first_gateway,
            ),
            one,
            answer,
        )
        if self.note is not None:
            self.note(
                "client", "ask", rid=rid, first=ask.rid, gw=f"g{number}", effect=one.request_class.effect
            )
            self.note("client", "wrote", rid=rid, gw=f"g{number}")
        self.loop.after(left, self._give_up, process, rid, answer)

    def _give_up(self, process: SimulatedGateway, rid: str, answer: Any) -> None:
        process.client_disconnected(rid)
        answer("late", 0.0)

    def request_forwarded(self, one: PlannedRequest) -> None:
        """A try was sent on: it takes its units from the true stores."""
        store, plan = self._quota(one.customer), one.customer.plan
        figures = self.figures
        figures.units_forwarded += one.units
        if store.refill(self.loop.now) >= one.units:
            store.available -= one.actual_units
        else:
            figures.units_beyond_quota += one.units
            figures.beyond_quota_cost += plan.over_cost * self._worth(one)
        ceiling = self._ceilings[one.customer.name]
        if ceiling.rate > 0:
            ceiling.refill(self.loop.now)
            ceiling.available -= one.units
            figures.lowest_ceiling = min(figures.lowest_ceiling, ceiling.available)

    def _ended(self, ask: _Ask, number: int, result: str, retry_after_ms: float) -> None:
        one, figures = ask.one, self.figures
        if ask.done:
            return
        if result == "served":
            self._over(ask)
            if ask.inside and self.loop.now - ask.begun <= one.request_class.aim_ms:
                worth = self._worth(one)
                figures.served_value += worth
                figures.windows.setdefault(int((ask.begun - START_MS) / 1000), [0.0, 0.0])[1] += worth
            return
        if result == "refused":
            figures.rejected += 1
            store = self._quota(one.customer)
            figures.rejected_with_quota_left += store.refill(self.loop.now) >= store.burst / 2
        figures.reset += result == "reset"
        figures.timed_out += result == "late"
        spent = self.loop.now - ask.begun
        if ask.left_tries <= 0 or result == "late" or spent >= one.request_class.deadline_ms:
            self._over(ask)
            return
        ask.left_tries -= 1
        wait = self.model.backoff_ms
        if (
            result == "refused"
            and retry_after_ms > 0
            and one.client_draw < self.model.retry_after_obeyed_share
        ):
            wait = max(wait, min(retry_after_ms, self.model.max_retry_after_ms))
        other = self._beside(one.customer, number, 1 if one.client_draw < 0.3 else 0)
        if spent + wait < one.request_class.deadline_ms:
            self.loop.after(wait, self._try, ask, other)
        else:
            self._over(ask)

    def _over(self, ask: _Ask) -> None:
        """A first try and its retries have come to an end."""
        ask.done = True
        self.figures.finished += 1

    # --- The day ---

    def run(self, until_s: float | None = None) -> SimulationFigures:
        """Play to a time, or to the end."""
        until = until_s if until_s is not None else self.model.traffic.length_s + 12.0
        self.loop.run(START_MS + 1000 * until)
        self.figures.hosts_overloaded = sum(h.overloaded for h in self.hosts.values())
        return self.figures
