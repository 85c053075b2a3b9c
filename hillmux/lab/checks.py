"""The rules over a record: what was broken, by the shortest chain of events that shows it. Free of I/O.

Each checker reads events in the order of their times. One that saw no event of its kind says `not exercised`,
which does not count as held: a check that cannot fail shows nothing.
"""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

Event = dict[str, Any]
SLACK_MS = 50.0  # the protocol's, on sockets
ANSWER_SLACK_MS = 500.0  # an answer so long after its client gave up is late, not lost
MAX_PAUSE_MS = 160.0  # 0.15 s, for which deadlines allow, and what the lab's own signals are late
MIN_KILL_AFTER_TERM_MS = 700.0  # what an earlier SIGKILL finds unanswered is not lost
MOST_SHOWN = 20
LOSES_CALLS = frozenset(("counter_stop", "counter_split", "cut", "cut_in", "cut_out", "reset_after"))
TURNED_AWAY = frozenset(("full", "draining"))  # proves that a request did not run


@dataclass(slots=True)
class Verdict:
    """What one checker found."""

    rule: str
    exercised: int = 0  # times that it had something to judge
    broken: int = 0
    chains: list[list[Event]] = field(default_factory=list)  # the first few

    def status(self) -> str:
        """held, broken or not exercised."""
        return "broken" if self.broken else "held" if self.exercised else "not exercised"

    def add_violation(self, chain: Iterable[Event]) -> None:
        """Note one violation with the events that show it."""
        self.broken += 1
        if len(self.chains) < MOST_SHOWN:
            self.chains.append(list(chain))


@dataclass(slots=True, frozen=True)
class Criteria:
    """What the rules are judged by."""

    drain_grace_ms: float
    fall_ms: float  # a cold host falls by what comes in so long
    ceilings: dict[str, tuple[float, float, float]]  # by plan: rate in units a second, store, slack
    quotas: dict[str, tuple[float, float]]  # by plan: rate, burst
    earliest_kill_ms: float = 3700.0  # after SIGTERM: the longest deadline, 3 s at most, and 0.7 s
    judge_times: bool = True  # the load itself was in time, so that lateness is the program's


class _Outages:
    """What befell one gateway, as far as it excuses what the gateway owed."""

    def __init__(self) -> None:
        self._events: list[Event] = []
        self._term: Event | None = None  # SIGTERM to the present process

    def note(self, event: Event) -> None:
        """Add a signal or a start."""
        what, last = event["ev"], self._events[-1] if self._events else None
        if what == "term":
            self._term = self._term or event
        elif what == "kill" and self._term and event["t"] >= self._term["t"] + MIN_KILL_AFTER_TERM_MS:
            return
        elif what == "cont" and last and last["ev"] == "stop" and event["t"] <= last["t"] + MAX_PAUSE_MS:
            self._events.pop()
        else:
            if what == "start":
                self._term = None
            self._events.append(event)

    def excuse(self, asked: Event) -> bool:
        """Whether an answer to a request of this moment is not owed."""
        if self._events and self._events[-1]["ev"] in ("stop", "kill"):
            return True
        return any(e["t"] >= asked["t"] - SLACK_MS and e["ev"] != "start" for e in self._events)


def answered(events: Iterable[Event], judge_times: bool = True) -> Verdict:
    """One final answer for each request that a running gateway took, and none after it.

    A try whose connection broke under it, or that came too late, is excused where its gateway was killed or
    stopped meanwhile, and so is one that was never written. A gateway that ended by itself, or in its drain,
    has lost what it had taken; a pause of up to MAX_PAUSE_MS excuses nothing, nor does a SIGKILL later
    than MIN_KILL_AFTER_TERM_MS after SIGTERM. Where the machine was too busy for times (not `timed`), an
    answer that came late breaks nothing; one that never came does.
    """
    verdict = Verdict("answered")
    events = list(events)
    came = set() if judge_times else {event["rid"] for event in events if event["ev"] == "came"}
    wrote: dict[str, Event] = {}
    outages: dict[str, _Outages] = defaultdict(_Outages)
    for event in events:
        match event["ev"]:
            case "wrote":
                wrote[event["rid"]] = event
            case "kill" | "stop" | "cont" | "start" | "term":
                outages[event["who"]].note(event)
            case "second" | "foreign":  # one more answer, or one that no host made for this request
                verdict.add_violation([event])
            case "answer" if event["rid"] in wrote:
                verdict.exercised += 1
                asked = wrote.pop(event["rid"])
                owed = event["result"] in ("late", "reset") and event["rid"] not in came
                if owed and not outages[event["gw"]].excuse(asked):
                    verdict.add_violation([asked, event])
    for asked in wrote.values():
        verdict.add_violation([asked])
    return verdict


def effects(events: Iterable[Event]) -> Verdict:
    """A request that might have run goes out again only within what its class allows."""
    verdict = Verdict("effects")
    out: dict[str, list[Event]] = {}  # what may have run, by request
    for event in events:
        if event["ev"] == "got" and event["kind"] != "safe":
            verdict.exercised += 1
            before = out.setdefault(event["rid"], [])
            if before and event["kind"] == "unsafe":
                verdict.add_violation([*before, event])
            elif before and event["t"] - before[0]["t"] > event["window"] + SLACK_MS:
                verdict.add_violation([before[0], event])
            before.append(event)
        elif event["ev"] == "end" and event["result"] in TURNED_AWAY and event["rid"] in out:
            held = out[event["rid"]]
            for i, sent in enumerate(held):
                if sent["who"] == event["who"] and sent["gw"] == event["gw"]:
                    del held[i]
                    break
    return verdict


def drains(events: Iterable[Event], grace_ms: float) -> Verdict:
    """Nothing new reaches a host later than the grace after its gateway's agent was told that it drains."""
    verdict = Verdict("drains")
    told: dict[tuple[str, str], Event] = {}
    judged: dict[str, dict[str, Event]] = defaultdict(dict)  # by gateway, hosts it has not sent on since
    for event in events:
        match event["ev"]:
            case "told" if event["state"] == "ready":
                told.pop((event["who"], event["host"]), None)
                judged[event["who"]].pop(event["host"], None)
            case "told":
                told[event["who"], event["host"]] = judged[event["who"]][event["host"]] = event
            case "got":
                # Only a gateway that still sends, to whomever, shows that it does not send there.
                due = [h for h, word in judged[event["gw"]].items() if event["t"] > word["t"] + grace_ms]
                for host in due:
                    del judged[event["gw"]][host]
                verdict.exercised += len(due)
                word = told.get((event["gw"], event["who"]))
                if word is not None and event["t"] > word["t"] + grace_ms + SLACK_MS:
                    verdict.add_violation([word, event])
    return verdict


def cold(events: Iterable[Event], span_ms: float) -> Verdict:
    """No cold host falls by what gateways send it that were told of its start."""
    verdict = Verdict("cold")
    told: dict[str, set[str]] = defaultdict(set)
    recent: dict[str, deque[Event]] = defaultdict(deque)
    for event in events:
        who = event["who"]
        match event["ev"]:
            case "up":
                told[who].clear()
                recent[who].clear()
            case "told" if event["state"] == "ready" and event["started"]:
                told[event["host"]].add(who)
            case "got" if event["cold"]:
                verdict.exercised += 1
                recent[who].append(event)
                while recent[who][0]["t"] < event["t"] - span_ms:
                    recent[who].popleft()
            case "fell":
                pushed = recent[who]
                knew = sum(e["gw"] in told[who] for e in pushed)
                if 3 * knew > 2 * len(pushed):
                    verdict.add_violation([*list(pushed)[-5:], event])
    return verdict


def ceilings(events: Iterable[Event], terms: dict[str, tuple[float, float, float]]) -> Verdict:
    """What all gateways first send on for a customer stays within its plan's ceiling and slack."""
    verdict = Verdict("ceilings")
    stores: dict[str, tuple[float, float]] = {}  # by customer: left, as of when
    sent: set[str] = set()
    last: dict[str, deque[Event]] = defaultdict(lambda: deque(maxlen=5))
    for event in events:
        if event["ev"] != "got" or event["plan"] not in terms or event["rid"] in sent:
            continue
        sent.add(event["rid"])
        verdict.exercised += 1
        rate, most, slack = terms[event["plan"]]
        left, at = stores.get(event["customer"], (most, event["t"]))
        left = min(most, left + rate * (event["t"] - at) / 1000) - event["units"]
        stores[event["customer"]] = left, event["t"]
        last[event["customer"]].append(event)
        if left < -slack - 0.15 * rate:
            verdict.add_violation(last[event["customer"]])
    return verdict


def units(events: Iterable[Event]) -> Verdict:
    """What the counter was told stays within what gateways sent on: no unit is told twice.

    Told more than was sent by a quarter is taken for a count that was added again and again. Where calls may
    have been added and never answered, what is told anew is no fault: nothing is judged then.
    """
    verdict = Verdict("units")
    told = sent = 0.0
    seen: set[str] = set()
    lost = False
    for event in events:
        if event["ev"] == "count" and event["result"] == "ok":
            told += event["amount"]
            verdict.exercised += 1
        elif event["ev"] == "got" and event["rid"] not in seen:
            seen.add(event["rid"])
            sent += event["units"]
        elif event["ev"] == "fault" and event["what"] in LOSES_CALLS:
            lost = True
    if lost:
        verdict.exercised = 0
    elif told > 1.25 * sent + 20:
        verdict.add_violation([{"ev": "units", "told": told, "sent": sent}])
    return verdict


def datagrams(events: Iterable[Event]) -> Verdict:
    """What gateways send one another goes from their own addresses, and is short enough."""
    verdict = Verdict("datagrams")
    for event in events:
        if event["ev"] == "datagram":
            verdict.exercised += 1
            if event["long"]:
                verdict.add_violation([event])
        elif event["ev"] == "stranger":
            verdict.add_violation([event])
    return verdict
