"""Worker process of benchmarks/module.py: runs and times the decision module of the tree on its path.

Reads cases from standard input, one line of JSON each, and answers each with a line.
Case: numbers of `hosts`, `customers` and `requests`; `share_bad`, share of the hosts that fail; optional
`plant`, share of a request's cost that is added on purpose, to check that a comparison detects it.
Answer: `us`, time in the module per request in us, including its outcome and its share of counter calls and
sweeps; `sent`, share of the requests that were forwarded; `events` and `actions` per request; `kb`, growth of
memory per customer in KB.
"""

from __future__ import annotations

import gc
import json
import random
import sys
import time
from collections import deque

from hillmux import interface as api
from hillmux.decision.gateway import Gateway
from hillmux.interface import AttemptResult, Idempotency, KeyScope, ListKind

CLASSES = (
    api.RequestClass("read", latency_objective_ms=1000, deadline_ms=2000),
    api.RequestClass(
        "book",
        latency_objective_ms=1500,
        deadline_ms=3000,
        idempotency=Idempotency.KEYED,
        key_scope=KeyScope.ZONE,
        idempotency_window_ms=2000,
    ),
    api.RequestClass(
        "pay", latency_objective_ms=2000, deadline_ms=4000, idempotency=Idempotency.NOT_IDEMPOTENT
    ),
)
REQUEST_INTERVAL_MS = 0.5  # between two requests: 2,000 a second
MAX_IN_FLIGHT = 40  # requests in flight at once


def settings(customers: int) -> api.Settings:
    plans = (
        api.Plan("basic", rate=50, burst=100, ceiling_rate=100, ceiling_burst=200),
        api.Plan("wide", rate=500, burst=1000, over_quota_weight=0.5, over_quota_cost=0.2),
        api.Plan("open"),
    )
    return api.Settings(
        classes=CLASSES,
        plans=plans,
        fleet_size=3,
        zone="z0",
        max_attempts=3,
        cancellation_allowed=True,
        max_retry_after_ms=2000,
        counter_available=True,
        clock_resolution_ms=2,
        drain_grace_ms=500,
        slow_start_min_share=0.2,
        slow_start_ms=10_000,
        overload_multiple=3,
        overload_after_ms=2000,
        max_customers=customers,
    )


class Play:
    """A gateway's decision module in operation, with simulated hosts and counter.

    Attributes:
        in_flight: attempts in flight, oldest first: request id, attempt number, host, time sent.
        sent: requests forwarded so far.
        events: events handled so far.
        actions: actions returned so far.
        module_time_s: time spent in the module so far, in seconds.
        idle_loop_turns: turns of an empty loop added to each event.
    """

    def __init__(
        self,
        hosts: int,
        customers: int,
        failing_share: float = 0.0,
        seed: int = 1,
        interval_ms: float = REQUEST_INTERVAL_MS,
        max_in_flight: int = MAX_IN_FLIGHT,
    ) -> None:
        """Requests arrive every `interval_ms`, and at most `max_in_flight` are in flight."""
        self.rng = random.Random(6 + seed)
        self.gateway = Gateway(settings(customers), seed)
        self.interval_ms, self.max_in_flight = interval_ms, max_in_flight
        self.now = 1e6
        self.hosts, self.customers = hosts, [f"customer-{index:06}" for index in range(customers)]
        self.failing_hosts = {f"host-{index}" for index in range(int(hosts * failing_share))}
        endpoints = tuple(api.Endpoint(f"host-{index}", zone=f"z{index % 3}") for index in range(hosts))
        self.timers: list[tuple[float, str]] = []
        self.in_flight: deque[tuple[str, int, str, float]] = deque()
        self.counter_totals: dict[str, float] = {}
        self.request_number = self.sent = self.events = self.actions = 0
        self.module_time_s = 0.0
        self.idle_loop_turns = 0
        self.attempt_numbers: dict[str, int] = {}
        self.handle_event(api.EndpointList(ListKind.FULL, endpoints))

    def handle_event(self, event: api.Event) -> None:
        started = time.perf_counter()
        actions = self.gateway.handle(self.now, event)
        for _ in range(self.idle_loop_turns):
            pass
        self.module_time_s += time.perf_counter() - started
        self.events += 1
        self.actions += len(actions)
        for action in actions:
            if isinstance(action, api.SendAttempt):
                number = self.attempt_numbers.get(action.request_id, -1) + 1
                self.attempt_numbers[action.request_id] = number
                self.sent += number == 0
                self.in_flight.append((action.request_id, number, action.host, self.now))
            elif isinstance(action, api.IncrementCounter):
                total = self.counter_totals[action.name] = (
                    self.counter_totals.get(action.name, 0.0) + action.amount
                )
                if len(self.counter_totals) > 400_000:
                    self.counter_totals.pop(next(iter(self.counter_totals)))
                self.handle_event(api.CounterReply(action.name, AttemptResult.OK, total, 1.0))
            elif isinstance(action, api.SetTimer):
                self.timers.append((self.now + action.delay_ms, action.name))

    def finish_oldest_attempt(self) -> None:
        request_id, number, host, sent = self.in_flight.popleft()
        failing = host in self.failing_hosts
        result, latency_ms = (
            (AttemptResult.CONNECT_FAILED, 1.0) if failing else (AttemptResult.OK, self.now - sent)
        )
        self.handle_event(api.AttemptEnded(request_id, number, host, result, latency_ms, not failing))
        if self.attempt_numbers[request_id] == number:  # it was not retried
            del self.attempt_numbers[request_id]

    def requests(self, count: int, everyone: bool = False) -> list[api.Request]:
        plans, classes = ("basic", "basic", "wide", "open"), ("read", "read", "read", "book", "pay")
        names, requests = self.customers, []
        for _ in range(count):
            self.request_number += 1
            customer_index = (
                self.request_number % len(names) if everyone else int(self.rng.random() * len(names))
            )
            request_class = classes[self.request_number % 5]
            deadline_ms = 2000.0 if request_class == "read" else 4000.0
            requests.append(
                api.Request(
                    f"r{self.request_number}",
                    request_class,
                    plans[customer_index % 4],
                    names[customer_index],
                    deadline_ms,
                    1.0,
                    3,
                )
            )
        return requests

    def run(self, requests: list[api.Request]) -> None:
        for request in requests:
            self.now += self.interval_ms
            while self.timers and self.timers[0][0] <= self.now:
                self.handle_event(api.TimerFired(self.timers.pop(0)[1]))
            while len(self.in_flight) >= self.max_in_flight:
                self.finish_oldest_attempt()
            self.handle_event(request)


def memory_kb() -> float:
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * 4.0


def main() -> None:
    plays: dict[str, Play] = {}
    for line in sys.stdin:
        case = json.loads(line)
        key = json.dumps([case["hosts"], case["customers"], case.get("share_bad", 0.0)])
        kb_per_customer = 0.0
        play = plays.get(key)
        if play is None:
            plays.clear()
            play = plays[key] = Play(case["hosts"], case["customers"], case.get("share_bad", 0.0))
            gc.collect()
            before_kb = memory_kb()
            for _ in range(0, max(case["customers"], 3000), 1000):
                play.run(play.requests(1000, everyone=True))
            gc.collect()
            kb_per_customer = (memory_kb() - before_kb) / case["customers"]
        count = case["requests"]
        play.sent = play.events = play.actions = 0
        play.module_time_s = 0.0
        requests = play.requests(count)
        gc.disable()  # a collection would affect only one run of a pair
        play.run(requests)
        spent_s = play.module_time_s
        if case.get("plant") and not play.idle_loop_turns:  # takes effect in the next block
            started = time.perf_counter()
            for _ in range(100_000):
                pass
            turn_s = (time.perf_counter() - started) / 100_000
            play.idle_loop_turns = round(case["plant"] * spent_s / play.events / turn_s)
        gc.enable()
        answer = {
            "us": 1e6 * spent_s / count,
            "sent": play.sent / count,
            "events": play.events / count,
            "actions": play.actions / count,
            "kb": kb_per_customer,
        }
        print(json.dumps(answer), flush=True)


if __name__ == "__main__":
    main()
