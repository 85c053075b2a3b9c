"""Worker process of benchmarks/choice.py: how evenly the decision module of a tree spreads requests.

Reads cases from standard input, one line of JSON each: hosts, gateways, requests, kind (even; nominal: one
host in four has eight slots instead of two; slow: one in ten takes three times as long; half: half of them
take ten times as long), seed. Answers with p99 and maximum of the open requests per slot, over hosts and
time, and with mean and p99 of the latency in ms.

Hosts are simulated with slots and a queue each and exponential service times. Requests arrive at random at
70% of the hosts' total capacity. Each gateway knows only of requests that it sent. There is no quota and no
counter. Each case has its own seed.
"""

from __future__ import annotations

import heapq
import json
import random
import sys

from hillmux import interface as api
from hillmux.decision.gateway import Gateway
from hillmux.interface import AttemptResult, ListKind

SERVICE_MS, UTILISATION = 20.0, 0.7


class Host:
    def __init__(self, name: str, slots: int, service_factor: float) -> None:
        self.name, self.slots, self.service_factor, self.open_requests = name, slots, service_factor, 0
        self.slot_free_at = [0.0] * slots  # when each slot is free


def play(hosts: int, gateways: int, requests: int, kind: str, seed: int) -> dict[str, float]:
    rng = random.Random(seed)
    slots = [8 if kind == "nominal" and index % 4 == 0 else 2 for index in range(hosts)]
    service_factors = [
        10.0 if kind == "half" and index % 2 else 3.0 if kind == "slow" and index % 10 == 0 else 1.0
        for index in range(hosts)
    ]
    fleet = [Host(f"host-{index}", slots[index], service_factors[index]) for index in range(hosts)]
    by_name = {h.name: h for h in fleet}
    settings = api.Settings(
        classes=(api.RequestClass("read", latency_objective_ms=5000, deadline_ms=10_000),),
        plans=(api.Plan("open"),),
        fleet_size=gateways,
        max_attempts=1,
    )
    endpoints = tuple(api.Endpoint(h.name, capacity=float(h.slots)) for h in fleet)
    gateway_modules = [Gateway(settings, seed * 100 + index) for index in range(gateways)]
    now, sequence = 1e6, 0
    # Time, tie breaker, gateway, and a timer or the request, host and start of an attempt that ends.
    events: list[tuple[float, int, int, api.TimerFired | tuple[str, Host, float]]] = []

    def handle_event(gateway_index: int, event: api.Event) -> None:
        nonlocal sequence
        for action in gateway_modules[gateway_index].handle(now, event):
            sequence += 1
            if isinstance(action, api.SetTimer):
                heapq.heappush(
                    events, (now + action.delay_ms, sequence, gateway_index, api.TimerFired(action.name))
                )
            elif isinstance(action, api.SendAttempt):
                host = by_name[action.host]
                host.open_requests += 1
                begins_at = max(heapq.heappop(host.slot_free_at), now)
                ends_at = begins_at + rng.expovariate(1 / (SERVICE_MS * host.service_factor))
                heapq.heappush(host.slot_free_at, ends_at)
                heapq.heappush(events, (ends_at, sequence, gateway_index, (action.request_id, host, now)))

    for gateway_index in range(gateways):
        handle_event(gateway_index, api.EndpointList(ListKind.FULL, endpoints))
    rate = UTILISATION * sum(h.slots / h.service_factor for h in fleet) / SERVICE_MS  # requests per ms
    request_count, latencies_ms, open_per_slot, arrival = 0, [], [], now
    while request_count < requests:
        arrival += rng.expovariate(rate)
        while events and events[0][0] <= arrival:
            now, _, gateway_index, event = heapq.heappop(events)
            if isinstance(event, api.TimerFired):
                handle_event(gateway_index, event)
                continue
            request, host, sent = event
            host.open_requests -= 1
            latencies_ms.append(now - sent)
            handle_event(
                gateway_index, api.AttemptEnded(request, 0, host.name, AttemptResult.OK, now - sent, True)
            )
        now = arrival
        request_count += 1
        handle_event(
            rng.randrange(gateways),
            api.Request(f"r{request_count}", "read", "open", f"c{request_count % 100}", 10_000.0),
        )
        if request_count > requests // 4:  # gateways have learnt the hosts' latencies by then
            sampled_hosts = rng.sample(fleet, min(hosts, 20))
            open_per_slot += [h.open_requests / h.slots for h in sampled_hosts]
    open_per_slot.sort()
    latencies_ms.sort()
    return {
        "open_p99": open_per_slot[len(open_per_slot) * 99 // 100],
        "open_worst": open_per_slot[-1],
        "mean_ms": sum(latencies_ms) / len(latencies_ms),
        "p99_ms": latencies_ms[len(latencies_ms) * 99 // 100],
    }


def main() -> None:
    for line in sys.stdin:
        print(json.dumps(play(**json.loads(line))), flush=True)


if __name__ == "__main__":
    main()
