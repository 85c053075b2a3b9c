"""The rules on the life of a gateway's process, and on clients that misbehave. Free of I/O."""

from __future__ import annotations

from collections.abc import Iterable

from hillmux.lab.checks import SLACK_MS, Event, Verdict

READY_AGAIN_MS = 10_000.0  # within which nine in ten restarted gateways are ready
MIN_READY_SHARE = 0.9
SEND_AFTER_LEAVE_MS = 100.0  # no attempt begins later than this after its client has left


def exits(events: Iterable[Event], earliest_kill_ms: float) -> Verdict:
    """A gateway ends by itself only after SIGTERM, with 0, and before the platform may kill it.

    One that was stopped meanwhile may be killed in its shutdown.
    """
    verdict = Verdict("exits")
    term: dict[str, Event] = {}
    stopped: set[str] = set()
    killed: dict[str, Event] = {}
    for event in events:
        who = event["who"]
        match event["ev"]:
            case "start":
                term.pop(who, None)
                killed.pop(who, None)
                stopped.discard(who)
            case "term":
                term.setdefault(who, event)
            case "stop":
                stopped.add(who)
            case "kill":
                killed[who] = event
                begun = term.get(who)
                if begun is not None and who not in stopped and event["t"] - begun["t"] >= earliest_kill_ms:
                    verdict.exercised += 1
                    verdict.add_violation([begun, event])  # it had not ended by then
            case "ended" if who not in killed and event["code"] != -9:
                verdict.exercised += 1
                if who not in term or event["code"] != 0:
                    verdict.add_violation([*([term[who]] if who in term else []), event])
    return verdict


def restarts(events: Iterable[Event]) -> Verdict:
    """Nine in ten restarted gateways are ready within READY_AGAIN_MS, but for those signalled before."""
    verdict = Verdict("restarts")
    begun: dict[str, Event] = {}
    seen: set[str] = set()
    late: list[Event] = []
    for event in events:
        who = event["who"]
        match event["ev"]:
            case "start":
                if who in seen:
                    begun[who] = event
                seen.add(who)
            case "kill" | "term" | "stop":
                begun.pop(who, None)
            case "ready" if who in begun:
                verdict.exercised += 1
                started = begun.pop(who)
                if event["t"] - started["t"] > READY_AGAIN_MS:
                    late += [started, event]
    if len(late) // 2 > (1 - MIN_READY_SHARE) * verdict.exercised:
        verdict.add_violation(late)
    return verdict


def departures(events: Iterable[Event], judge_times: bool = True) -> Verdict:
    """No attempt begins more than SEND_AFTER_LEAVE_MS after its client has left; judged where `timed`."""
    verdict = Verdict("departures")
    left: dict[str, Event] = {}
    for event in events:
        if event["ev"] == "left":
            left[event["rid"]] = event
            verdict.exercised += judge_times
        elif event["ev"] == "got" and event["rid"] in left:
            gone = left[event["rid"]]
            if judge_times and event["t"] > gone["t"] + SEND_AFTER_LEAVE_MS + SLACK_MS:
                verdict.add_violation([gone, event])
    return verdict


def unruly(events: Iterable[Event], judge_times: bool = True) -> Verdict:
    """A client that halts is ended in time, and each that sends much, slowly or in a hurry is answered once.

    What a gateway owed that was killed or stopped meanwhile is not judged; nor is a time where not `timed`.
    """
    verdict = Verdict("unruly")
    owed: dict[str, Event] = {}
    for event in events:
        match event["ev"]:
            case "kill" | "stop":
                owed = {rid: sent for rid, sent in owed.items() if sent["gw"] != event["who"]}
            case "halted" | "unruly_wrote":
                owed[event["rid"]] = event
            case "released" | "unruly_answer" if event["rid"] in owed:
                sent = owed.pop(event["rid"])
                verdict.exercised += 1
                late = event["t"] > sent["t"] + sent["allowed_ms"] + SLACK_MS
                if event.get("result") in ("reset", "foreign", "rejected") or (late and judge_times):
                    verdict.add_violation([sent, event])
    for sent in owed.values():
        verdict.add_violation([sent])
    return verdict
