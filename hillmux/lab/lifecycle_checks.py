"""Rules on the life of a gateway's process, and on misbehaving clients. Free of I/O."""

from __future__ import annotations

from collections.abc import Iterable

from hillmux.lab.checks import SLACK_MS, Event, Verdict

READY_AGAIN_MS = 10_000.0  # time from a restart to readiness
MIN_READY_SHARE = 0.9  # least share of restarts that are ready within READY_AGAIN_MS
SEND_AFTER_LEAVE_MS = 100.0  # no attempt begins later than this after its client disconnected


def exits(events: Iterable[Event], earliest_kill_ms: float) -> Verdict:
    """A gateway exits only after SIGTERM, with status 0, and before the platform may kill it.

    A gateway that was stopped (SIGSTOP) since its start may be killed during its shutdown.

    Args:
        events: the record.
        earliest_kill_ms: time from SIGTERM to the earliest SIGKILL of the platform.
    """
    verdict = Verdict("exits")
    term: dict[str, Event] = {}  # first SIGTERM, by gateway
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
                sigterm = term.get(who)
                if (
                    sigterm is not None
                    and who not in stopped
                    and event["t"] - sigterm["t"] >= earliest_kill_ms
                ):
                    verdict.exercised += 1
                    verdict.add_violation([sigterm, event])  # still running at that time
            case "ended" if who not in killed and event["code"] != -9:
                verdict.exercised += 1
                if who not in term or event["code"] != 0:
                    verdict.add_violation([*([term[who]] if who in term else []), event])
    return verdict


def restarts(events: Iterable[Event]) -> Verdict:
    """MIN_READY_SHARE of the restarted gateways are ready within READY_AGAIN_MS.

    A restart that is followed by a signal before the gateway is ready is not judged.
    """
    verdict = Verdict("restarts")
    starting: dict[str, Event] = {}  # restarts that are not ready yet, by gateway
    seen: set[str] = set()
    late: list[Event] = []  # the start and the readiness of each late restart
    for event in events:
        who = event["who"]
        match event["ev"]:
            case "start":
                if who in seen:
                    starting[who] = event
                seen.add(who)
            case "kill" | "term" | "stop":
                starting.pop(who, None)
            case "ready" if who in starting:
                verdict.exercised += 1
                started = starting.pop(who)
                if event["t"] - started["t"] > READY_AGAIN_MS:
                    late += [started, event]
    if len(late) // 2 > (1 - MIN_READY_SHARE) * verdict.exercised:
        verdict.add_violation(late)
    return verdict


def departures(events: Iterable[Event], judge_times: bool = True) -> Verdict:
    """No attempt begins more than SEND_AFTER_LEAVE_MS after its client disconnected.

    Judged only with `judge_times`.
    """
    verdict = Verdict("departures")
    left: dict[str, Event] = {}
    for event in events:
        if event["ev"] == "left":
            left[event["rid"]] = event
            verdict.exercised += judge_times
        elif event["ev"] == "got" and event["rid"] in left:
            departure = left[event["rid"]]
            if judge_times and event["t"] > departure["t"] + SEND_AFTER_LEAVE_MS + SLACK_MS:
                verdict.add_violation([departure, event])
    return verdict


def unruly(events: Iterable[Event], judge_times: bool = True) -> Verdict:
    """Each misbehaving client is handled in time.

    A client that stops sending within a request is disconnected in time. A client that pipelines, sends
    slowly or sets a very short deadline gets exactly one answer, in time. A request that is open at a gateway
    when the gateway is killed or stopped is not judged, nor are times without `judge_times`.
    """
    verdict = Verdict("unruly")
    pending: dict[str, Event] = {}
    for event in events:
        match event["ev"]:
            case "kill" | "stop":
                pending = {rid: sent for rid, sent in pending.items() if sent["gw"] != event["who"]}
            case "halted" | "unruly_wrote":
                pending[event["rid"]] = event
            case "released" | "unruly_answer" if event["rid"] in pending:
                sent = pending.pop(event["rid"])
                verdict.exercised += 1
                late = event["t"] > sent["t"] + sent["allowed_ms"] + SLACK_MS
                if event.get("result") in ("reset", "foreign", "rejected") or (late and judge_times):
                    verdict.add_violation([sent, event])
    for sent in pending.values():
        verdict.add_violation([sent])
    return verdict
