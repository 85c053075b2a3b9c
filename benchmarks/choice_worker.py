"""One process of benchmarks/choice.py: how evenly the decision module of a tree spreads requests.

Reads a case for each line of standard input, as JSON: hosts, gateways, requests, kind (even; nominal: one in
four has eight slots and not two; slow: one in ten takes three times as long; half: half take ten times as
long), seed. Answers with the p99 and the worst of what was open on a host for each of its slots, over hosts
and time, and the mean and p99 of what a request took, in ms.

Hosts are simulated: slots and a queue each, service times exponential, arrivals by chance at 70% of what the
hosts bear together. Gateways know only what they sent. No quota, no counter; a seed for each case.
"""

from __future__ import annotations

import heapq
import json
import random
import sys

from hillmux import interface as api
from hillmux.decision.gateway import Gateway
from hillmux.interface import AttemptResult, ListKind

SERVICE_MS, USE = 20.0, 0.7


class Host:
    def __init__(self, name: str, slots: int, pace: float) -> None:
        self.name, self.slots, self.pace, self.open = name, slots, pace, 0
        self.free = [0.0] * slots  # when each slot is free


def play(hosts: int, gateways: int, requests: int, kind: str, seed: int) -> dict[str, float]:
    rng = random.Random(seed)
    slots = [8 if kind == "nominal" and i % 4 == 0 else 2 for i in range(hosts)]
    paces = [
        10.0 if kind == "half" and i % 2 else 3.0 if kind == "slow" and i % 10 == 0 else 1.0
        for i in range(hosts)
    ]
    fleet = [Host(f"host-{i}", slots[i], paces[i]) for i in range(hosts)]
    by_name = {h.name: h for h in fleet}
    given = api.Settings(
        classes=(api.RequestClass("read", latency_objective_ms=5000, deadline_ms=10_000),),
        plans=(api.Plan("open"),),
        fleet_size=gateways,
        max_attempts=1,
    )
    listed = tuple(api.Endpoint(h.name, capacity=float(h.slots)) for h in fleet)
    modules = [Gateway(given, seed * 100 + i) for i in range(gateways)]
    now, serial = 1e6, 0
    # Time, tie breaker, gateway, and a timer or the request, host and start of an attempt that ends.
    events: list[tuple[float, int, int, api.TimerFired | tuple[str, Host, float]]] = []

    def give(g: int, event: api.Event) -> None:
        nonlocal serial
        for act in modules[g].handle(now, event):
            serial += 1
            if isinstance(act, api.SetTimer):
                heapq.heappush(events, (now + act.delay_ms, serial, g, api.TimerFired(act.name)))
            elif isinstance(act, api.SendAttempt):
                host = by_name[act.host]
                host.open += 1
                begins = max(heapq.heappop(host.free), now)
                ends = begins + rng.expovariate(1 / (SERVICE_MS * host.pace))
                heapq.heappush(host.free, ends)
                heapq.heappush(events, (ends, serial, g, (act.request_id, host, now)))

    for g in range(gateways):
        give(g, api.EndpointList(ListKind.FULL, listed))
    rate = USE * sum(h.slots / h.pace for h in fleet) / SERVICE_MS  # requests a ms
    asked, took, open_, due = 0, [], [], now
    while asked < requests:
        due += rng.expovariate(rate)
        while events and events[0][0] <= due:
            now, _, g, event = heapq.heappop(events)
            if isinstance(event, api.TimerFired):
                give(g, event)
                continue
            request, host, sent = event
            host.open -= 1
            took.append(now - sent)
            give(g, api.AttemptEnded(request, 0, host.name, AttemptResult.OK, now - sent, True))
        now = due
        asked += 1
        give(rng.randrange(gateways), api.Request(f"r{asked}", "read", "open", f"c{asked % 100}", 10_000.0))
        if asked > requests // 4:  # the paces are known by then
            picked = rng.sample(fleet, min(hosts, 20))
            open_ += [h.open / h.slots for h in picked]
    open_.sort()
    took.sort()
    return {
        "open_p99": open_[len(open_) * 99 // 100],
        "open_worst": open_[-1],
        "mean_ms": sum(took) / len(took),
        "p99_ms": took[len(took) * 99 // 100],
    }


def main() -> None:
    for line in sys.stdin:
        print(json.dumps(play(**json.loads(line))), flush=True)


if __name__ == "__main__":
    main()
