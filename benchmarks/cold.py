"""How often a cold host gets more than its budget and chance, over the whole fleet, by the module's own code.

    .venv/bin/python benchmarks/cold.py [--seeds 10000] [--processes 4]

A fleet of gateways, each with its own `LoadBalancer`, sees one host start cold among warm ones. Shares of the
traffic are uneven; at the start some gateways have just restarted and know of nobody's sending. N is what the
settings allow the host in `tip_after_ms` as it starts, in requests of mean work; it grows as the host warms.
Counted is, for each window of the first seconds, what all gateways sent: requests, and the work in them by
the mean. A seed passes the line if that goes beyond N + 2 x root N + 2. What a request's work is no gateway
knows before: drawn (exponential), one in 150 alone is 5 means, which is the whole line at N of 1.
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
HOSTS, MEAN_MS, UTIL = 10, 250.0, 0.8
BEFORE_MS, AFTER_MS, SWEEP_MS, LIST_MS = 2000.0, 5000.0, 100.0, 300.0
RESTARTED = 0.7  # part of the gateways that knows nothing when the host starts


def play(gateways: int, allowed: float, restarts: bool, seed: int) -> tuple[float, float]:
    """The largest part of the line that was used in any window, by requests and by work."""
    rng = random.Random(seed)
    settings = replace(SETTINGS, fleet_size=gateways)
    budget = (
        settings.overload_multiple * settings.overload_after_ms
    )  # of one host, times warmth and rate per ms
    rate = allowed / (settings.slow_start_min_share * budget)  # requests per ms that a warm host can do
    servers = [api.Endpoint(f"h{i}") for i in range(HOSTS)]

    def born(me: int, now: float, listed: list[api.Endpoint]) -> LoadBalancer:
        load_balancer = LoadBalancer(replace(settings, gateway_index=me), random.Random(rng.random()))
        load_balancer.now = now
        load_balancer.update_endpoints(api.EndpointList(ListKind.FULL, tuple(listed)))
        return load_balancer

    start = 1e6 + BEFORE_MS
    load_balancers = [born(me, 1e6, servers[1:]) for me in range(gateways)]
    shares = [rng.expovariate(1.0) + 0.1 for _ in range(gateways)]
    cold = replace(servers[0], started_at_ms=start)
    due: list[tuple[float, int, str, int, Host | None, float]] = []
    serial = 0

    def push(at: float, what: str, me: int, host: Host | None = None, work: float = 0.0) -> None:
        nonlocal serial
        serial += 1
        heappush(due, (at, serial, what, me, host, work))

    for me in range(gateways):
        push(1e6 + rng.random() * SWEEP_MS, "sweep", me)
        told = start + rng.random() * LIST_MS
        if restarts and rng.random() < RESTARTED:
            push(told, "restart", me)
        else:
            push(told, "list", me)
    every = 1 / (UTIL * HOSTS * rate)
    push(1e6 + rng.expovariate(1 / every), "request", 0)
    window: deque[tuple[float, float]] = deque()
    sent = most = most_work = 0.0
    while due and due[0][0] < start + AFTER_MS:
        now, _, what, me, host, work = heappop(due)
        if what == "request":
            push(now + rng.expovariate(1 / every), "request", 0)
            me = rng.choices(range(gateways), shares)[0]
        load_balancer = load_balancers[me]
        load_balancer.now = now
        if what == "sweep":
            load_balancer.sweep(SWEEP_MS, 0.9)
            push(now + SWEEP_MS, "sweep", me)
        elif what == "restart":
            load_balancers[me] = born(me, now, [cold, *servers[1:]])
        elif what == "list":
            load_balancer.update_endpoints(api.EndpointList(ListKind.CHANGES, (cold,)))
        elif what == "done":
            assert host is not None
            load_balancer.request_ended(host)
            load_balancer.record_latency_ratio(host, 1.0)
            load_balancer.reindex(host)
        else:
            picked = load_balancer.select("", MEAN_MS, True, [])
            if picked is None:
                continue
            load_balancer.request_started(picked, MEAN_MS)
            work = rng.expovariate(1.0)  # its true work, in means
            push(now + MEAN_MS * max(work, 0.05), "done", me, picked)
            if picked.name == cold.name:
                window.append((now, work))
                sent += work
                while window[0][0] < now - settings.overload_after_ms:
                    sent -= window.popleft()[1]
                warmth = (
                    settings.slow_start_min_share
                    + (1 - settings.slow_start_min_share) * (now - start) / settings.slow_start_ms
                )
                n = budget * warmth * rate
                line = n + 2 * n**0.5 + 2
                most, most_work = max(most, len(window) / line), max(most_work, sent / line)
    return most, most_work


# Gateways, N, and the part of the seeds that is played: the dear ones take seconds each.
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
    asked = parser.parse_args()
    print("                             beyond the line         most of it used")
    print("gateways  restarts    N  seeds  requests    work        requests  work")
    with Pool(asked.processes) as pool:
        for gateways, allowed, part in CASES:
            for restarts in (False, True):
                count = max(int(asked.seeds * part), 20)
                used = pool.map(partial(play, gateways, allowed, restarts), range(count))
                beyond = [sum(share > 1 for share in column) / count for column in zip(*used, strict=True)]
                most = [max(column) for column in zip(*used, strict=True)]
                print(
                    f"{gateways:8}  {restarts!s:8}  {allowed:3}  {count:5}  {beyond[0]:8.4f}"
                    f"  {beyond[1]:6.4f}        {most[0]:8.2f}  {most[1]:4.2f}",
                    flush=True,
                )


if __name__ == "__main__":
    main()
