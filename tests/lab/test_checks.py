"""Each checker: a record that holds, one that breaks its rule, and one in which it has nothing to judge."""

from __future__ import annotations

from typing import Any

import pytest

from hillmux.lab import checks
from hillmux.lab.checks import Verdict, answered


def at(t: float, who: str, ev: str, **fields: Any) -> dict[str, Any]:
    return {"t": t, "who": who, "ev": ev, **fields}


def wrote(t: float, rid: str, gw: str = "g0") -> dict[str, Any]:
    return at(t, "client", "wrote", rid=rid, gw=gw)


def answer(t: float, rid: str, result: str = "served", gw: str = "g0") -> dict[str, Any]:
    return at(t, "client", "answer", rid=rid, gw=gw, result=result)


def got(t: float, rid: str, host: str = "h0", gw: str = "g0", **fields: Any) -> dict[str, Any]:
    usual = {"kind": "keyed", "window": 4000.0, "units": 2.0, "customer": "c", "plan": "p", "cold": False}
    return at(t, host, "got", rid=rid, gw=gw, key="k", **{**usual, **fields})


def end(t: float, rid: str, result: str, host: str = "h0") -> dict[str, Any]:
    return at(t, host, "end", rid=rid, result=result, gw="g0")


def told(t: float, gw: str, host: str, state: str, started: float = 0.0) -> dict[str, Any]:
    return at(t, gw, "told", host=host, state=state, started=started)


CEILING = {"p": (1.0, 4.0, 4.0)}
UP = at(0, "h0", "up", started=True)
CASES: dict[str, tuple[Any, list[dict[str, Any]], list[dict[str, Any]]]] = {
    "a request with no answer": (
        checks.answered, [wrote(0, "a"), answer(5, "a")], [wrote(0, "a")]),
    "an answer after its time": (
        checks.answered, [wrote(0, "a"), answer(5, "a", "refused")], [wrote(0, "a"), answer(5, "a", "late")]),
    "a second answer": (
        checks.answered, [wrote(0, "a"), answer(5, "a")],
        [wrote(0, "a"), answer(5, "a"), at(6, "client", "second", gw="g0")]),
    "a reset by a gateway that lives": (
        checks.answered, [wrote(0, "a"), at(3, "g0", "kill"), answer(5, "a", "reset")],
        [at(-100, "g0", "kill"), at(-90, "g0", "start"), wrote(0, "a"), answer(5, "a", "reset")]),
    "an unsafe request sent twice": (
        checks.effects, [got(0, "a", kind="unsafe"), end(1, "a", "full"), got(2, "a", "h1", kind="unsafe")],
        [got(0, "a", kind="unsafe"), end(1, "a", "error"), got(2, "a", "h1", kind="unsafe")]),
    "a keyed request after its window": (
        checks.effects, [got(0, "a"), got(3900, "a", "h1")], [got(0, "a"), got(4100, "a", "h1")]),
    "a send after a drain": (
        lambda events: checks.drains(events, 1000),
        [told(0, "g0", "h0", "draining"), got(1040, "a"), got(1100, "b", "h1")],
        [told(0, "g0", "h0", "draining"), got(1060, "a")]),
    "a send to a host that has left, by one that knows": (
        lambda events: checks.drains(events, 1000),
        [told(0, "g0", "h0", "gone"), got(9000, "a", gw="g1"), got(9001, "b", "h1")],
        [told(0, "g0", "h0", "gone"), got(9000, "a")]),
    "a cold host pushed over by those that were told": (
        lambda events: checks.cold(events, 1500.0),
        [UP, told(1, "g0", "h0", "ready", 1.0), got(2, "a", gw="g1", cold=True), at(3, "h0", "fell")],
        [UP, told(1, "g0", "h0", "ready", 1.0), got(2, "a", cold=True), at(3, "h0", "fell")]),
    "a ceiling passed by two gateways together": (
        lambda events: checks.ceilings(events, CEILING), [got(i, f"{i}", gw=f"g{i % 2}") for i in range(4)],
        [got(i, f"{i}", gw=f"g{i % 2}") for i in range(5)]),
    "units told again": (
        checks.units,
        [got(0, "a"), at(1, "counter", "count", name="n", amount=2.0, result="ok", total=2.0)],
        [got(0, "a"), *(at(i, "counter", "count", name="n", amount=2.0, result="ok", total=2.0)
                        for i in range(20))]),
    "a datagram that is too long": (
        checks.datagrams, [at(0, "g0", "datagram", size=256, to=1, long=False)],
        [at(0, "g0", "datagram", size=257, to=1, long=True)]),
    "a datagram from nobody's address": (
        checks.datagrams, [at(0, "g0", "datagram", size=1, to=1, long=False)],
        [at(0, "exchange", "stranger", address="127.0.0.1:9")]),
}  # fmt: skip


@pytest.mark.parametrize("case", CASES)
def test_a_checker_tells_the_record_that_breaks_its_rule(case: str) -> None:
    check, holds, breaks = CASES[case]
    verdict: Verdict = check(holds)
    assert (verdict.status(), verdict.broken) == ("held", 0), verdict.chains
    verdict = check(breaks)
    assert verdict.status() == "broken" and verdict.chains
    # The chain ends with the event at which the rule is broken.
    assert verdict.chains[0][-1] in breaks or verdict.rule == "units"


@pytest.mark.parametrize("case", CASES)
def test_a_checker_with_nothing_to_judge_does_not_say_held(case: str) -> None:
    assert CASES[case][0]([at(0, "lab", "fault", what="x")]).status() == "not exercised"


UNJUDGED: dict[str, tuple[Any, list[dict[str, Any]]]] = {
    "a drain, and nobody who sends": (lambda e: checks.drains(e, 1000), [told(0, "g0", "h0", "draining")]),
    "a drain, and sends within its grace": (
        lambda e: checks.drains(e, 1000), [told(0, "g0", "h0", "draining"), got(900, "a", "h1")]),
    "a start, and nothing sent there": (lambda e: checks.cold(e, 1500.0), [UP, got(5, "a", "h1")]),
    "units of a counter that was down": (
        checks.units, [at(0, "lab", "fault", what="counter_stop"),
                       at(1, "counter", "count", name="n", amount=900.0, result="ok", total=900.0)]),
}  # fmt: skip


@pytest.mark.parametrize("case", UNJUDGED)
def test_what_shows_nothing_of_a_rule_does_not_say_held(case: str) -> None:
    check, events = UNJUDGED[case]
    assert check(events).status() == "not exercised"


def test_on_a_machine_too_busy_for_times_a_late_answer_breaks_nothing_and_a_lost_one_does() -> None:
    late = [wrote(0, "a"), answer(5, "a", "late"), at(9, "client", "came", rid="a", gw="g0", status=200)]
    lost = [wrote(0, "a"), answer(5, "a", "late")]
    assert [answered(late, timed).status() for timed in (True, False)] == ["broken", "held"]
    assert [answered(lost, timed).status() for timed in (True, False)] == ["broken", "broken"]


def test_an_answer_that_no_host_made_for_this_request_breaks_the_rule() -> None:
    foreign = at(4, "client", "foreign", rid="a", gw="g0")
    assert answered([wrote(0, "a"), foreign, answer(5, "a")]).status() == "broken"


def test_a_ceiling_takes_each_request_once_however_often_it_is_sent() -> None:
    events = [got(i, "a", f"h{i}") for i in range(9)]
    assert checks.ceilings(events, CEILING).status() == "held"
