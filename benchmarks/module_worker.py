"""One process of benchmarks/module.py: plays the decision module of the tree on its path; says what it took.

Reads a case for each line of standard input, as JSON, and answers each with a line:
hosts, customers (numbers), share_bad (part of the hosts that fail), requests; optional `plant`, a part of
the cost of a request that is wasted on purpose, to see whether a comparison finds it.
Answer: `us`, time in the module in us a request, with its outcome and its part of counter calls and sweeps;
`sent`, the part of the requests that was sent on; `events` and `actions` a request; `kb`, memory gained in KB
a customer.
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
GAP_MS = 0.5  # between two requests: 2,000 a second
OUT = 40  # requests that are out at once


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
    """A gateway at work, with its hosts and its counter."""

    def __init__(
        self,
        hosts: int,
        customers: int,
        share_bad: float = 0.0,
        seed: int = 1,
        gap_ms: float = GAP_MS,
        out: int = OUT,
    ) -> None:
        """`gap_ms` is between two requests, of which `out` are out at once."""
        self.rng = random.Random(6 + seed)
        self.gateway = Gateway(settings(customers), seed)
        self.gap_ms, self.most_out = gap_ms, out
        self.now = 1e6
        self.hosts, self.customers = hosts, [f"customer-{i:06}" for i in range(customers)]
        self.bad = {f"host-{i}" for i in range(int(hosts * share_bad))}
        servers = tuple(api.Endpoint(f"host-{i}", zone=f"z{i % 3}") for i in range(hosts))
        self.timers: list[tuple[float, str]] = []
        self.out: deque[tuple[str, int, str, float]] = deque()
        self.counts: dict[str, float] = {}
        self.serial = self.sent = self.events = self.actions = 0
        self.spent = 0.0  # s in the module
        self.wasted = 0  # turns of an empty loop for each event
        self.tries: dict[str, int] = {}
        self.give(api.EndpointList(ListKind.FULL, servers))

    def give(self, event: api.Event) -> None:
        began = time.perf_counter()
        actions = self.gateway.handle(self.now, event)
        for _ in range(self.wasted):
            pass
        self.spent += time.perf_counter() - began
        self.events += 1
        self.actions += len(actions)
        for act in actions:
            if isinstance(act, api.SendAttempt):
                number = self.tries.get(act.request_id, -1) + 1
                self.tries[act.request_id] = number
                self.sent += number == 0
                self.out.append((act.request_id, number, act.host, self.now))
            elif isinstance(act, api.IncrementCounter):
                total = self.counts[act.name] = self.counts.get(act.name, 0.0) + act.amount
                if len(self.counts) > 400_000:
                    self.counts.pop(next(iter(self.counts)))
                self.give(api.CounterReply(act.name, AttemptResult.OK, total, 1.0))
            elif isinstance(act, api.SetTimer):
                self.timers.append((self.now + act.delay_ms, act.name))

    def end(self) -> None:
        request, number, host, sent = self.out.popleft()
        bad = host in self.bad
        result, took = (AttemptResult.CONNECT_FAILED, 1.0) if bad else (AttemptResult.OK, self.now - sent)
        self.give(api.AttemptEnded(request, number, host, result, took, not bad))
        if self.tries[request] == number:  # not sent once more
            del self.tries[request]

    def requests(self, count: int, everyone: bool = False) -> list[api.Request]:
        plans, kinds = ("basic", "basic", "wide", "open"), ("read", "read", "read", "book", "pay")
        names, made = self.customers, []
        for _ in range(count):
            self.serial += 1
            who = self.serial % len(names) if everyone else int(self.rng.random() * len(names))
            cls = kinds[self.serial % 5]
            aim = 2000.0 if cls == "read" else 4000.0
            made.append(api.Request(f"r{self.serial}", cls, plans[who % 4], names[who], aim, 1.0, 3))
        return made

    def run(self, requests: list[api.Request]) -> None:
        for request in requests:
            self.now += self.gap_ms
            while self.timers and self.timers[0][0] <= self.now:
                self.give(api.TimerFired(self.timers.pop(0)[1]))
            while len(self.out) >= self.most_out:
                self.end()
            self.give(request)


def memory_kb() -> float:
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * 4.0


def main() -> None:
    plays: dict[str, Play] = {}
    for line in sys.stdin:
        case = json.loads(line)
        key = json.dumps([case["hosts"], case["customers"], case.get("share_bad", 0.0)])
        kb = 0.0
        play = plays.get(key)
        if play is None:
            plays.clear()
            play = plays[key] = Play(case["hosts"], case["customers"], case.get("share_bad", 0.0))
            gc.collect()
            before = memory_kb()
            for _ in range(0, max(case["customers"], 3000), 1000):
                play.run(play.requests(1000, everyone=True))
            gc.collect()
            kb = (memory_kb() - before) / case["customers"]
        count = case["requests"]
        play.sent = play.events = play.actions = 0
        play.spent = 0.0
        requests = play.requests(count)
        gc.disable()  # a collection falls into one run and not into its pair
        play.run(requests)
        took = play.spent
        if case.get("plant") and not play.wasted:  # from the next block on
            began = time.perf_counter()
            for _ in range(100_000):
                pass
            turn = (time.perf_counter() - began) / 100_000
            play.wasted = round(case["plant"] * took / play.events / turn)
        gc.enable()
        answer = {
            "us": 1e6 * took / count,
            "sent": play.sent / count,
            "events": play.events / count,
            "actions": play.actions / count,
            "kb": kb,
        }
        print(json.dumps(answer), flush=True)


if __name__ == "__main__":
    main()
