"""Figures of a record: goodput by window, time to full service, attempts, dials, counter calls. No I/O."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from hillmux.lab.checks import Criteria, Event
from hillmux.lab.store import TokenBucket
from hillmux.recovery import full_service as full


@dataclass(slots=True)
class Figures:
    """Figures of one run.

    Attributes:
        windows: offered and served priority weight and latencies, by second from the start of the run.
        first: first requests of clients, without their retries.
        tries: requests of clients, with their retries.
        attempts: attempts of gateways at hosts.
        served_share: share of the priority weight offered within quotas that was served within the class's
            latency objective.
        results: number of the clients' requests, by result.
        p50_ms: median latency of the served requests.
        p99_ms: 99th percentile of the same latencies.
        dials: connections that gateways opened.
        most_dials_s: most connections opened to one host in one second.
        usual_dials_s: the same maximum for the time before the first fault.
        counter_calls: calls to the counter.
        most_counter_s: most calls to the counter in one second.
        turned_away: calls to the counter with a result other than `ok`.
        fell: number of times that a host was overloaded and failed.
        memory_mb: highest memory use of one gateway.
        faults_s: time of each fault, from the start of the run.
        full_service_s: time to full service, from the second of the last fault, end of a fault or start of a
            gateway; None if full service was not reached.
        full_after_ready_s: time from the last gateway's readiness to full service; 0 if service was full
            before.
        second_wave_s: time from the last fault to a drop of service after full service; None without a drop.
    """

    windows: list[full.ServiceWindow] = field(default_factory=list)
    first: int = 0
    tries: int = 0
    attempts: int = 0
    served_share: float = 0.0
    results: dict[str, int] = field(default_factory=dict)
    p50_ms: float = 0.0
    p99_ms: float = 0.0
    dials: int = 0
    most_dials_s: int = 0
    usual_dials_s: float = 0.0
    counter_calls: int = 0
    most_counter_s: int = 0
    turned_away: int = 0
    fell: int = 0
    memory_mb: float = 0.0
    faults_s: list[float] = field(default_factory=list)
    full_service_s: float | None = None
    full_after_ready_s: float | None = None
    second_wave_s: float | None = None

    def attempts_per_request(self) -> float:
        """Attempts of gateways at hosts for each first request of a client."""
        return self.attempts / max(self.first, 1)


def measure(events: Iterable[Event], t0: float, length_s: float, criteria: Criteria) -> Figures:
    """Calculate the figures of a run.

    Args:
        events: the record, in the order of time.
        t0: start of the run in ms, on the record's clock.
        length_s: length of the run.
        criteria: the plans' quotas are taken from here.
    """
    figures = Figures()
    offered: dict[int, float] = defaultdict(float)
    served: dict[int, float] = defaultdict(float)
    latency_ms: dict[int, list[float]] = defaultdict(list)
    # By request: time due, priority weight if within quota (otherwise 0), latency objective in ms.
    first_requests: dict[str, tuple[float, float, float]] = {}
    quotas: dict[str, TokenBucket] = {}
    dials: Counter[tuple[str, int]] = Counter()
    counter_calls_by_second: Counter[int] = Counter()
    results: Counter[str] = Counter()
    first_fault = last_fault = last_ready = None
    for event in events:
        second = int((event["t"] - t0) / 1000)
        match event["ev"]:
            case "first":
                figures.first += 1
                rate, burst = criteria.quotas[event["plan"]]
                quota = quotas.setdefault(event["customer"], TokenBucket(rate, burst, event["due"]))
                within_quota = quota.refill(event["due"]) >= event["units"]
                quota.available -= event["true"] if within_quota else 0.0
                first_requests[event["rid"]] = (
                    event["due"],
                    event["worth"] if within_quota else 0.0,
                    event["aim"],
                )
                offered[int((event["due"] - t0) / 1000)] += event["worth"] if within_quota else 0.0
            case "ask":
                figures.tries += 1
            case "answer":
                results[event["result"]] += 1
                if event["result"] == "served" and event["first"] in first_requests:
                    due, weight, objective_ms = first_requests[event["first"]]
                    latency_ms[int((due - t0) / 1000)].append(event["total"])
                    if event["total"] <= objective_ms:
                        served[int((due - t0) / 1000)] += weight
            case "got":
                figures.attempts += 1
            case "dial":
                figures.dials += 1
                dials[event["who"], second] += 1
            case "count":
                figures.counter_calls += 1
                figures.turned_away += event["result"] != "ok"
                counter_calls_by_second[second] += 1
            case "fell":
                figures.fell += 1
            case "memory":
                figures.memory_mb = max(figures.memory_mb, event["kb"] / 1024)
            case "fault" | "kill" | "term" | "stop" | "cont" | "hup" | "start":
                at_s = (event["t"] - t0) / 1000
                if at_s >= 0:  # starts of gateways before the run are no faults
                    figures.faults_s.append(at_s)
                    first_fault = at_s if first_fault is None else first_fault
                    last_fault = at_s
            case "ready":
                last_ready = (event["t"] - t0) / 1000
    figures.results = dict(results)
    figures.windows = [
        full.ServiceWindow(offered[s], served[s], tuple(latency_ms[s])) for s in range(int(length_s))
    ]
    figures.served_share = sum(served.values()) / max(sum(offered.values()), 1e-9)
    all_latencies = sorted(t for values in latency_ms.values() for t in values)
    if all_latencies:
        figures.p50_ms, figures.p99_ms = all_latencies[len(all_latencies) // 2], full.p99(all_latencies)
    figures.most_dials_s = max(dials.values(), default=0)
    figures.most_counter_s = max(counter_calls_by_second.values(), default=0)
    if first_fault is not None and last_fault is not None:
        # Every gateway is cold in the first second of a run, which is left out.
        calm_windows = figures.windows[1 : max(int(first_fault), 2)]
        figures.usual_dials_s = max((n for (_, s), n in dials.items() if s < int(first_fault)), default=0)
        if calm_windows:
            before_faults = full.baseline(calm_windows)
            after = figures.windows[int(last_fault) :]
            figures.full_service_s = full.time_to_full(after, before_faults)
            if figures.full_service_s is not None:
                figures.second_wave_s = full.second_drop(after, before_faults, figures.full_service_s)
                end = int(last_fault) + figures.full_service_s
                if last_ready is not None and last_ready > first_fault:
                    figures.full_after_ready_s = max(end - last_ready, 0.0)
    return figures
