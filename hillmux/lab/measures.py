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
    """What a run came to; windows are of one second from its start."""

    windows: list[full.ServiceWindow] = field(default_factory=list)
    first: int = 0
    tries: int = 0
    attempts: int = 0
    served_share: float = 0.0  # of the worth inside quotas, within each class's aim
    results: dict[str, int] = field(default_factory=dict)  # of tries
    p50_ms: float = 0.0
    p99_ms: float = 0.0
    dials: int = 0
    most_dials_s: int = 0  # at one host in one second
    usual_dials_s: float = 0.0  # the same before the first fault, at most
    counter_calls: int = 0
    most_counter_s: int = 0
    turned_away: int = 0  # of the counter's calls
    fell: int = 0
    memory_mb: float = 0.0  # the most that a gateway held
    faults_s: list[float] = field(default_factory=list)
    # From the second of the last fault, end of one, or start; None: not seen.
    full_service_s: float | None = None
    full_after_ready_s: float | None = None  # after the last gateway was ready
    second_wave_s: float | None = None

    def attempts_per_request(self) -> float:
        """Attempts at hosts for each first try."""
        return self.attempts / max(self.first, 1)


def measure(events: Iterable[Event], t0: float, length_s: float, criteria: Criteria) -> Figures:
    """The figures of a run that began at `t0`, in ms of its clock."""
    figures = Figures()
    asked: dict[int, float] = defaultdict(float)
    served: dict[int, float] = defaultdict(float)
    took: dict[int, list[float]] = defaultdict(list)
    firsts: dict[str, tuple[float, float, float]] = {}  # due, worth inside the quota, aim
    quotas: dict[str, TokenBucket] = {}
    dials: Counter[tuple[str, int]] = Counter()
    calls: Counter[int] = Counter()
    results: Counter[str] = Counter()
    first_fault = last_fault = last_ready = None
    for event in events:
        second = int((event["t"] - t0) / 1000)
        match event["ev"]:
            case "first":
                figures.first += 1
                rate, burst = criteria.quotas[event["plan"]]
                quota = quotas.setdefault(event["customer"], TokenBucket(rate, burst, event["due"]))
                inside = quota.refill(event["due"]) >= event["units"]
                quota.available -= event["true"] if inside else 0.0
                firsts[event["rid"]] = event["due"], event["worth"] if inside else 0.0, event["aim"]
                asked[int((event["due"] - t0) / 1000)] += event["worth"] if inside else 0.0
            case "ask":
                figures.tries += 1
            case "answer":
                results[event["result"]] += 1
                if event["result"] == "served" and event["first"] in firsts:
                    due, worth, aim = firsts[event["first"]]
                    took[int((due - t0) / 1000)].append(event["total"])
                    if event["total"] <= aim:
                        served[int((due - t0) / 1000)] += worth
            case "got":
                figures.attempts += 1
            case "dial":
                figures.dials += 1
                dials[event["who"], second] += 1
            case "count":
                figures.counter_calls += 1
                figures.turned_away += event["result"] != "ok"
                calls[second] += 1
            case "fell":
                figures.fell += 1
            case "memory":
                figures.memory_mb = max(figures.memory_mb, event["kb"] / 1024)
            case "fault" | "kill" | "term" | "stop" | "cont" | "hup" | "start":
                at = (event["t"] - t0) / 1000
                if at >= 0:  # the starts before the run are none of its faults
                    figures.faults_s.append(at)
                    first_fault = at if first_fault is None else first_fault
                    last_fault = at
            case "ready":
                last_ready = (event["t"] - t0) / 1000
    figures.results = dict(results)
    figures.windows = [full.ServiceWindow(asked[s], served[s], tuple(took[s])) for s in range(int(length_s))]
    figures.served_share = sum(served.values()) / max(sum(asked.values()), 1e-9)
    all_took = sorted(t for times in took.values() for t in times)
    if all_took:
        figures.p50_ms, figures.p99_ms = all_took[len(all_took) // 2], full.p99(all_took)
    figures.most_dials_s = max(dials.values(), default=0)
    figures.most_counter_s = max(calls.values(), default=0)
    if first_fault is not None and last_fault is not None:
        # The first second of a run is its own start: every gateway is cold then.
        calm = figures.windows[1 : max(int(first_fault), 2)]
        figures.usual_dials_s = max((n for (_, s), n in dials.items() if s < int(first_fault)), default=0)
        if calm:
            then = full.baseline(calm)
            after = figures.windows[int(last_fault) :]
            figures.full_service_s = full.time_to_full(after, then)
            if figures.full_service_s is not None:
                figures.second_wave_s = full.second_drop(after, then, figures.full_service_s)
                end = int(last_fault) + figures.full_service_s
                if last_ready is not None and last_ready > first_fault:
                    figures.full_after_ready_s = max(end - last_ready, 0.0)
    return figures
