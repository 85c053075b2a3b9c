"""Rules that judge a run's record; each violation is shown by the shortest chain of events. Free of I/O.

Each checker reads the events in the order of their times. A checker that found no event to judge reports
`not exercised`, which does not count as held: such a run is no evidence that the rule holds.
"""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

Event = dict[str, Any]
SLACK_MS = 50.0  # allowed error of a time on sockets, as the protocol defines it
ANSWER_SLACK_MS = 500.0  # an answer up to this long after its client gave up counts as late, not as lost
MAX_PAUSE_MS = 160.0  # the 0.15 s that deadlines allow for, and the delay of the lab's own signals
MIN_KILL_AFTER_TERM_MS = 700.0  # requests that are open at an earlier SIGKILL do not count as lost
MAX_CHAINS = 20  # violations of one rule that are kept with their events
CALL_LOSING_FAULTS = frozenset(("counter_stop", "counter_split", "cut", "cut_in", "cut_out", "reset_after"))
NOT_EXECUTED_RESULTS = frozenset(("full", "draining"))  # results that prove that a request did not run


@dataclass(slots=True)
class Verdict:
    """Result of one checker.

    Attributes:
        rule: name of the rule.
        exercised: number of times that the checker had something to judge.
        broken: number of violations.
        chains: events of the first violations, at most MAX_CHAINS of them.
    """

    rule: str
    exercised: int = 0
    broken: int = 0
    chains: list[list[Event]] = field(default_factory=list)

    def status(self) -> str:
        """`held`, `broken` or `not exercised`."""
        return "broken" if self.broken else "held" if self.exercised else "not exercised"

    def add_violation(self, chain: Iterable[Event]) -> None:
        """Count one violation, with the events that show it."""
        self.broken += 1
        if len(self.chains) < MAX_CHAINS:
            self.chains.append(list(chain))


@dataclass(slots=True, frozen=True)
class Criteria:
    """Bounds that the rules judge by.

    Attributes:
        drain_grace_ms: time for which a gateway may still send to a host after the notice of its drain.
        fall_ms: a cold host is overloaded by the attempts that arrive within this time.
        ceilings: rate in units a second, burst and slack in units, by plan.
        quotas: rate in units a second and burst in units, by plan.
        earliest_kill_ms: time from SIGTERM to the earliest SIGKILL: the longest deadline, at most 3 s,
            plus 0.7 s.
        judge_times: whether times are judged: the load was sent on time, so that lateness is the gateways'.
    """

    drain_grace_ms: float
    fall_ms: float
    ceilings: dict[str, tuple[float, float, float]]
    quotas: dict[str, tuple[float, float]]
    earliest_kill_ms: float = 3700.0
    judge_times: bool = True


class _Interruptions:
    """Signals to one gateway and its starts, as far as they account for requests without an answer."""

    def __init__(self) -> None:
        self._events: list[Event] = []
        self._term: Event | None = None  # first SIGTERM to the current process

    def note(self, event: Event) -> None:
        """Add a signal or a start."""
        kind, last = event["ev"], self._events[-1] if self._events else None
        if kind == "term":
            self._term = self._term or event
        elif kind == "kill" and self._term and event["t"] >= self._term["t"] + MIN_KILL_AFTER_TERM_MS:
            return
        elif kind == "cont" and last and last["ev"] == "stop" and event["t"] <= last["t"] + MAX_PAUSE_MS:
            self._events.pop()
        else:
            if kind == "start":
                self._term = None
            self._events.append(event)

    def account_for(self, request: Event) -> bool:
        """Whether a request that was sent at this time may stay without an answer."""
        if self._events and self._events[-1]["ev"] in ("stop", "kill"):
            return True
        return any(e["t"] >= request["t"] - SLACK_MS and e["ev"] != "start" for e in self._events)


def answered(events: Iterable[Event], judge_times: bool = True) -> Verdict:
    """Each request that a running gateway accepted gets exactly one final answer.

    A request whose connection was reset, or whose answer came too late, is exempt if its gateway was killed
    or stopped while the request was open, and so is a request that was never written. A gateway that exits
    by itself, or while it drains, has lost the requests that it had accepted. A pause of up to MAX_PAUSE_MS
    exempts nothing, nor does a SIGKILL later than MIN_KILL_AFTER_TERM_MS after SIGTERM. Where the machine was
    too busy to judge times (not `judge_times`), an answer that came late is no violation; an answer that
    never came is.
    """
    verdict = Verdict("answered")
    events = list(events)
    # Requests whose late answer arrived; it counts as an answer only without `judge_times`.
    arrived = set() if judge_times else {event["rid"] for event in events if event["ev"] == "came"}
    pending: dict[str, Event] = {}
    interruptions: dict[str, _Interruptions] = defaultdict(_Interruptions)
    for event in events:
        match event["ev"]:
            case "wrote":
                pending[event["rid"]] = event
            case "kill" | "stop" | "cont" | "start" | "term":
                interruptions[event["who"]].note(event)
            case "second" | "foreign":  # a further answer, or an answer that no host made for this request
                verdict.add_violation([event])
            case "answer" if event["rid"] in pending:
                verdict.exercised += 1
                request = pending.pop(event["rid"])
                lost = event["result"] in ("late", "reset") and event["rid"] not in arrived
                if lost and not interruptions[event["gw"]].account_for(request):
                    verdict.add_violation([request, event])
    for request in pending.values():
        verdict.add_violation([request])
    return verdict


def effects(events: Iterable[Event]) -> Verdict:
    """A request that may have run is sent again only as its class allows.

    An unsafe request is not sent again; a keyed request is sent again only within its class's window.
    """
    verdict = Verdict("effects")
    executions: dict[str, list[Event]] = {}  # attempts that may have run, by request
    for event in events:
        if event["ev"] == "got" and event["kind"] != "safe":
            verdict.exercised += 1
            earlier = executions.setdefault(event["rid"], [])
            if earlier and event["kind"] == "unsafe":
                verdict.add_violation([*earlier, event])
            elif earlier and event["t"] - earlier[0]["t"] > event["window"] + SLACK_MS:
                verdict.add_violation([earlier[0], event])
            earlier.append(event)
        elif event["ev"] == "end" and event["result"] in NOT_EXECUTED_RESULTS and event["rid"] in executions:
            attempts = executions[event["rid"]]
            for i, attempt in enumerate(attempts):
                if attempt["who"] == event["who"] and attempt["gw"] == event["gw"]:
                    del attempts[i]
                    break
    return verdict


def drains(events: Iterable[Event], grace_ms: float) -> Verdict:
    """A gateway sends a host no new attempt later than `grace_ms` after the notice that the host drains.

    A host that has left the endpoint list is judged in the same way. The time of the notice is the time at
    which the gateway's agent received it.
    """
    verdict = Verdict("drains")
    notices: dict[tuple[str, str], Event] = {}  # by gateway and host
    unjudged: dict[str, dict[str, Event]] = defaultdict(dict)  # notices by gateway and host
    for event in events:
        match event["ev"]:
            case "told" if event["state"] == "ready":
                notices.pop((event["who"], event["host"]), None)
                unjudged[event["who"]].pop(event["host"], None)
            case "told":
                notices[event["who"], event["host"]] = unjudged[event["who"]][event["host"]] = event
            case "got":
                # Only a gateway that still sends attempts, to any host, shows that it avoids this host.
                due = [
                    h for h, notice in unjudged[event["gw"]].items() if event["t"] > notice["t"] + grace_ms
                ]
                for host in due:
                    del unjudged[event["gw"]][host]
                verdict.exercised += len(due)
                notice = notices.get((event["gw"], event["who"]))
                if notice is not None and event["t"] > notice["t"] + grace_ms + SLACK_MS:
                    verdict.add_violation([notice, event])
    return verdict


def cold(events: Iterable[Event], span_ms: float) -> Verdict:
    """No cold host is overloaded by gateways that were notified of its start.

    Broken where such gateways sent more than two thirds of the attempts in the last `span_ms`.
    """
    verdict = Verdict("cold")
    notified: dict[str, set[str]] = defaultdict(set)  # gateways, by host
    recent: dict[str, deque[Event]] = defaultdict(deque)  # attempts within `span_ms`, by host
    for event in events:
        who = event["who"]
        match event["ev"]:
            case "up":
                notified[who].clear()
                recent[who].clear()
            case "told" if event["state"] == "ready" and event["started"]:
                notified[event["host"]].add(who)
            case "got" if event["cold"]:
                verdict.exercised += 1
                recent[who].append(event)
                while recent[who][0]["t"] < event["t"] - span_ms:
                    recent[who].popleft()
            case "fell":
                attempts = recent[who]
                from_notified = sum(e["gw"] in notified[who] for e in attempts)
                if 3 * from_notified > 2 * len(attempts):
                    verdict.add_violation([*list(attempts)[-5:], event])
    return verdict


def ceilings(events: Iterable[Event], limits: dict[str, tuple[float, float, float]]) -> Verdict:
    """The first attempts of all gateways for a customer stay within its plan's ceiling and slack.

    Args:
        events: the record.
        limits: rate in units a second, burst and slack in units, by plan.
    """
    verdict = Verdict("ceilings")
    buckets: dict[str, tuple[float, float]] = {}  # by customer: units left, and the time in ms of that figure
    forwarded: set[str] = set()
    last: dict[str, deque[Event]] = defaultdict(lambda: deque(maxlen=5))
    for event in events:
        if event["ev"] != "got" or event["plan"] not in limits or event["rid"] in forwarded:
            continue
        forwarded.add(event["rid"])
        verdict.exercised += 1
        rate, burst, slack = limits[event["plan"]]
        left, updated_ms = buckets.get(event["customer"], (burst, event["t"]))
        left = min(burst, left + rate * (event["t"] - updated_ms) / 1000) - event["units"]
        buckets[event["customer"]] = left, event["t"]
        last[event["customer"]].append(event)
        if left < -slack - 0.15 * rate:
            verdict.add_violation(last[event["customer"]])
    return verdict


def units(events: Iterable[Event]) -> Verdict:
    """The units reported to the counter stay within the units forwarded by gateways: none is reported twice.

    A total that exceeds the forwarded units by a quarter shows that a count was added repeatedly. Where calls
    may have been added without an answer, a repeated report is correct: nothing is judged then.
    """
    verdict = Verdict("units")
    reported = forwarded = 0.0
    seen: set[str] = set()
    lost = False
    for event in events:
        if event["ev"] == "count" and event["result"] == "ok":
            reported += event["amount"]
            verdict.exercised += 1
        elif event["ev"] == "got" and event["rid"] not in seen:
            seen.add(event["rid"])
            forwarded += event["units"]
        elif event["ev"] == "fault" and event["what"] in CALL_LOSING_FAULTS:
            lost = True
    if lost:
        verdict.exercised = 0
    elif reported > 1.25 * forwarded + 20:
        verdict.add_violation([{"ev": "units", "told": reported, "sent": forwarded}])
    return verdict


def datagrams(events: Iterable[Event]) -> Verdict:
    """Gateways send each other datagrams from their own addresses only, and none is too long."""
    verdict = Verdict("datagrams")
    for event in events:
        if event["ev"] == "datagram":
            verdict.exercised += 1
            if event["long"]:
                verdict.add_violation([event])
        elif event["ev"] == "stranger":
            verdict.add_violation([event])
    return verdict
