"""Checkers: each is run on a valid record, on one that violates its rule, and on one without events to judge.

A checker that reports `held` without evidence would hide faults of the gateway.
"""

from __future__ import annotations

from typing import Any

import pytest

from hillmux.lab import checks
from hillmux.lab.checks import Verdict, answered


def event(t: float, who: str, ev: str, **fields: Any) -> dict[str, Any]:
    return {"t": t, "who": who, "ev": ev, **fields}


def wrote(t: float, rid: str, gw: str = "g0") -> dict[str, Any]:
    return event(t, "client", "wrote", rid=rid, gw=gw)


def answer(t: float, rid: str, result: str = "served", gw: str = "g0") -> dict[str, Any]:
    return event(t, "client", "answer", rid=rid, gw=gw, result=result)


def got(t: float, rid: str, host: str = "h0", gw: str = "g0", **fields: Any) -> dict[str, Any]:
    defaults = {"kind": "keyed", "window": 4000.0, "units": 2.0, "customer": "c", "plan": "p", "cold": False}
    return event(t, host, "got", rid=rid, gw=gw, key="k", **{**defaults, **fields})


def end(t: float, rid: str, result: str, host: str = "h0") -> dict[str, Any]:
    return event(t, host, "end", rid=rid, result=result, gw="g0")


def notified(t: float, gw: str, host: str, state: str, started: float = 0.0) -> dict[str, Any]:
    return event(t, gw, "told", host=host, state=state, started=started)


CEILINGS = {"p": (1.0, 4.0, 4.0)}
UP = event(0, "h0", "up", started=True)
RECORDS: dict[str, tuple[Any, list[dict[str, Any]], list[dict[str, Any]]]] = {
    "a request with no answer": (
        checks.answered, [wrote(0, "a"), answer(5, "a")], [wrote(0, "a")]),
    "an answer after the client's deadline": (
        checks.answered, [wrote(0, "a"), answer(5, "a", "refused")], [wrote(0, "a"), answer(5, "a", "late")]),
    "a second answer": (
        checks.answered, [wrote(0, "a"), answer(5, "a")],
        [wrote(0, "a"), answer(5, "a"), event(6, "client", "second", gw="g0")]),
    "a reset by a running gateway": (
        checks.answered, [wrote(0, "a"), event(3, "g0", "kill"), answer(5, "a", "reset")],
        [event(-100, "g0", "kill"), event(-90, "g0", "start"), wrote(0, "a"), answer(5, "a", "reset")]),
    "an unsafe request sent twice": (
        checks.effects, [got(0, "a", kind="unsafe"), end(1, "a", "full"), got(2, "a", "h1", kind="unsafe")],
        [got(0, "a", kind="unsafe"), end(1, "a", "error"), got(2, "a", "h1", kind="unsafe")]),
    "a keyed request sent again after its window": (
        checks.effects, [got(0, "a"), got(3900, "a", "h1")], [got(0, "a"), got(4100, "a", "h1")]),
    "an attempt at a draining host after the grace period": (
        lambda events: checks.drains(events, 1000),
        [notified(0, "g0", "h0", "draining"), got(1040, "a"), got(1100, "b", "h1")],
        [notified(0, "g0", "h0", "draining"), got(1060, "a")]),
    "an attempt at a removed host by a notified gateway": (
        lambda events: checks.drains(events, 1000),
        [notified(0, "g0", "h0", "gone"), got(9000, "a", gw="g1"), got(9001, "b", "h1")],
        [notified(0, "g0", "h0", "gone"), got(9000, "a")]),
    "a cold host overloaded by notified gateways": (
        lambda events: checks.cold(events, 1500.0),
        [UP, notified(1, "g0", "h0", "ready", 1.0), got(2, "a", gw="g1", cold=True), event(3, "h0", "fell")],
        [UP, notified(1, "g0", "h0", "ready", 1.0), got(2, "a", cold=True), event(3, "h0", "fell")]),
    "a ceiling exceeded by two gateways together": (
        lambda events: checks.ceilings(events, CEILINGS), [got(i, f"{i}", gw=f"g{i % 2}") for i in range(4)],
        [got(i, f"{i}", gw=f"g{i % 2}") for i in range(5)]),
    "units reported repeatedly": (
        checks.units,
        [got(0, "a"), event(1, "counter", "count", name="n", amount=2.0, result="ok", total=2.0)],
        [got(0, "a"), *(event(i, "counter", "count", name="n", amount=2.0, result="ok", total=2.0)
                        for i in range(20))]),
    "a datagram that is too long": (
        checks.datagrams, [event(0, "g0", "datagram", size=256, to=1, long=False)],
        [event(0, "g0", "datagram", size=257, to=1, long=True)]),
    "a datagram from an address of no gateway": (
        checks.datagrams, [event(0, "g0", "datagram", size=1, to=1, long=False)],
        [event(0, "exchange", "stranger", address="127.0.0.1:9")]),
}  # fmt: skip


@pytest.mark.parametrize("case", RECORDS)
def test_checker_finds_the_violation_in_a_record(case: str) -> None:
    check, valid, violating = RECORDS[case]
    verdict: Verdict = check(valid)
    assert (verdict.status(), verdict.broken) == ("held", 0), verdict.chains
    verdict = check(violating)
    assert verdict.status() == "broken" and verdict.chains
    # The chain ends with the event that breaks the rule.
    assert verdict.chains[0][-1] in violating or verdict.rule == "units"


@pytest.mark.parametrize("case", RECORDS)
def test_checker_without_events_to_judge_reports_not_exercised(case: str) -> None:
    assert RECORDS[case][0]([event(0, "lab", "fault", what="x")]).status() == "not exercised"


RECORDS_WITHOUT_EVIDENCE: dict[str, tuple[Any, list[dict[str, Any]]]] = {
    "a drain without attempts": (lambda e: checks.drains(e, 1000), [notified(0, "g0", "h0", "draining")]),
    "a drain with attempts only within the grace period": (
        lambda e: checks.drains(e, 1000), [notified(0, "g0", "h0", "draining"), got(900, "a", "h1")]),
    "a started host without attempts": (lambda e: checks.cold(e, 1500.0), [UP, got(5, "a", "h1")]),
    "units of a counter that was stopped": (
        checks.units, [event(0, "lab", "fault", what="counter_stop"),
                       event(1, "counter", "count", name="n", amount=900.0, result="ok", total=900.0)]),
}  # fmt: skip


@pytest.mark.parametrize("case", RECORDS_WITHOUT_EVIDENCE)
def test_record_without_evidence_for_a_rule_is_not_exercised(case: str) -> None:
    check, events = RECORDS_WITHOUT_EVIDENCE[case]
    assert check(events).status() == "not exercised"


def test_without_judged_times_a_late_answer_is_no_violation_and_a_lost_answer_is() -> None:
    late = [
        wrote(0, "a"),
        answer(5, "a", "late"),
        event(9, "client", "came", rid="a", gw="g0", status=200),
    ]
    lost = [wrote(0, "a"), answer(5, "a", "late")]
    assert [answered(late, judge_times).status() for judge_times in (True, False)] == ["broken", "held"]
    assert [answered(lost, judge_times).status() for judge_times in (True, False)] == ["broken", "broken"]


def test_answer_that_no_host_made_for_the_request_is_a_violation() -> None:
    foreign = event(4, "client", "foreign", rid="a", gw="g0")
    assert answered([wrote(0, "a"), foreign, answer(5, "a")]).status() == "broken"


def test_ceiling_counts_a_request_once_for_all_its_attempts() -> None:
    events = [got(i, "a", f"h{i}") for i in range(9)]
    assert checks.ceilings(events, CEILINGS).status() == "held"
