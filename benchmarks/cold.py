"""How often a cold host gets more requests than its budget and chance allow, with the module's own code.

    .venv/bin/python benchmarks/cold.py [--seeds 10000] [--processes 4]

In a fleet of gateways, each with its own `LoadBalancer`, one host starts cold among warm ones. Gateways have
unequal shares of the traffic, and some have just restarted and have no record of requests sent before. N is
the host's budget in `overload_after_ms` at its start, in requests of mean work; it grows as the host warms.
For each window of the first seconds, the requests of all gateways and their work in means are counted. A seed
exceeds the limit if either is above N + 2 x root N + 2. No gateway knows a request's work in advance. It is
exponentially distributed: one request in 150 has 5 means or more, which is the entire limit for N = 1.
"""

from __future__ import annotations

import argparse
import random
from collections import deque
from dataclasses import replace
from functools import partial
from heapq import heappop, heappush
from multiprocessing import Pool

from hillmux import interface as api
from hillmux.balancing.host import Host
from hillmux.balancing.load_balancer import LoadBalancer
from hillmux.interface import ListKind

CLASS = api.RequestClass("read", latency_objective_ms=2500, deadline_ms=10000)
SETTINGS = api.Settings(
    classes=(CLASS,),
    clock_resolution_ms=4,
    slow_start_min_share=0.16,
    slow_start_ms=17_000,
    overload_multiple=2,
    overload_after_ms=1500,
)
HOSTS, MEAN_MS, UTILISATION = 10, 250.0, 0.8
BEFORE_MS, AFTER_MS, SWEEP_MS, MAX_LIST_DELAY_MS = 2000.0, 5000.0, 100.0, 300.0
RESTARTED_SHARE = 0.7  # share of the gateways that restart while the host starts


def play(gateways: int, allowed: float, restarts: bool, seed: int) -> tuple[float, float]:
    """Largest share of the limit that was used in any window, by requests and by work."""
    rng = random.Random(seed)
    settings = replace(SETTINGS, fleet_size=gateways)
    # Times the host's warmth and `rate`, this is its budget in requests.
    budget = settings.overload_multiple * settings.overload_after_ms
    rate = allowed / (settings.slow_start_min_share * budget)  # requests per ms that a warm host can do
    endpoints = [api.Endpoint(f"h{i}") for i in range(HOSTS)]

    def new_load_balancer(gateway: int, now: float, listed: list[api.Endpoint]) -> LoadBalancer:
        load_balancer = LoadBalancer(replace(settings, gateway_index=gateway), random.Random(rng.random()))
        load_balancer.now = now
        load_balancer.update_endpoints(api.EndpointList(ListKind.FULL, tuple(listed)))
        return load_balancer

    start = 1e6 + BEFORE_MS
    load_balancers = [new_load_balancer(gateway, 1e6, endpoints[1:]) for gateway in range(gateways)]
    shares = [rng.expovariate(1.0) + 0.1 for _ in range(gateways)]
    cold = replace(endpoints[0], started_at_ms=start)
    events: list[tuple[float, int, str, int, Host | None, float]] = []
    sequence = 0

    def schedule(due: float, kind: str, gateway: int, host: Host | None = None, work: float = 0.0) -> None:
        nonlocal sequence
        sequence += 1
        heappush(events, (due, sequence, kind, gateway, host, work))

    for gateway in range(gateways):
        schedule(1e6 + rng.random() * SWEEP_MS, "sweep", gateway)
        notified_at = start + rng.random() * MAX_LIST_DELAY_MS
        if restarts and rng.random() < RESTARTED_SHARE:
            schedule(notified_at, "restart", gateway)
        else:
            schedule(notified_at, "list", gateway)
    mean_interval_ms = 1 / (UTILISATION * HOSTS * rate)
    schedule(1e6 + rng.expovariate(1 / mean_interval_ms), "request", 0)
    window: deque[tuple[float, float]] = deque()
    window_work = max_share = max_work_share = 0.0
    while events and events[0][0] < start + AFTER_MS:
        now, _, kind, gateway, host, work = heappop(events)
        if kind == "request":
            schedule(now + rng.expovariate(1 / mean_interval_ms), "request", 0)
            gateway = rng.choices(range(gateways), shares)[0]
        load_balancer = load_balancers[gateway]
        load_balancer.now = now
        if kind == "sweep":
            load_balancer.sweep(SWEEP_MS, 0.9)
            schedule(now + SWEEP_MS, "sweep", gateway)
        elif kind == "restart":
            load_balancers[gateway] = new_load_balancer(gateway, now, [cold, *endpoints[1:]])
        elif kind == "list":
            load_balancer.update_endpoints(api.EndpointList(ListKind.CHANGES, (cold,)))
        elif kind == "done":
            assert host is not None
            load_balancer.request_ended(host)
            load_balancer.record_latency_ratio(host, 1.0)
            load_balancer.reindex(host)
        else:
            selected = load_balancer.select("", MEAN_MS, True, [])
            if selected is None:
                continue
            load_balancer.request_started(selected, MEAN_MS)
            work = rng.expovariate(1.0)  # actual work, in multiples of the mean
            schedule(now + MEAN_MS * max(work, 0.05), "done", gateway, selected)
            if selected.name == cold.name:
                window.append((now, work))
                window_work += work
                while window[0][0] < now - settings.overload_after_ms:
                    window_work -= window.popleft()[1]
                warmth = (
                    settings.slow_start_min_share
                    + (1 - settings.slow_start_min_share) * (now - start) / settings.slow_start_ms
                )
                budget_requests = budget * warmth * rate
                limit = budget_requests + 2 * budget_requests**0.5 + 2
                max_share, max_work_share = (
                    max(max_share, len(window) / limit),
                    max(max_work_share, window_work / limit),
                )
    return max_share, max_work_share


# Gateways, N, and the share of the seeds that is run; expensive cases take seconds per seed.
CASES = (
    (3, 1, 1.0),
    (3, 3, 0.4),
    (3, 10, 0.1),
    (3, 30, 0.02),
    (3, 100, 0.005),
    (20, 1, 0.2),
    (20, 3, 0.1),
    (20, 10, 0.05),
    (20, 100, 0.004),
    (30, 1, 0.2),
    (30, 3, 0.1),
    (30, 10, 0.05),
    (30, 100, 0.004),
    (200, 1, 0.02),
    (200, 3, 0.02),
    (200, 10, 0.01),
    (200, 100, 0.002),
)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=1000)
    parser.add_argument("--processes", type=int, default=2)
    args = parser.parse_args()
    print("                             beyond the line         most of it used")
    print("gateways  restarts    N  seeds  requests    work        requests  work")
    with Pool(args.processes) as pool:
        for gateways, allowed, seed_share in CASES:
            for restarts in (False, True):
                count = max(int(args.seeds * seed_share), 20)
                used = pool.map(partial(play, gateways, allowed, restarts), range(count))
                beyond = [sum(share > 1 for share in column) / count for column in zip(*used, strict=True)]
                max_share = [max(column) for column in zip(*used, strict=True)]
                print(
                    f"{gateways:8}  {restarts!s:8}  {allowed:3}  {count:5}  {beyond[0]:8.4f}"
                    f"  {beyond[1]:6.4f}        {max_share[0]:8.2f}  {max_share[1]:4.2f}",
                    flush=True,
                )


if __name__ == "__main__":
    main()
