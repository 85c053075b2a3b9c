"""The checkers of processes' lives and of unruly clients: each says held, and broken where it has to."""

from __future__ import annotations

from typing import Any

import pytest

from hillmux.lab.checks import Event, Verdict, answered
from hillmux.lab.lifecycle_checks import departures, exits, restarts, unruly

KILL_MS = 3700.0


def event(t: float, who: str, ev: str, **fields: Any) -> Event:
    return {"t": t, "who": who, "ev": ev, **fields}


def says(verdict: Verdict) -> str:
    return verdict.status()


def life(*later: Event) -> list[Event]:
    return [event(0, "g0", "start"), event(300, "g0", "ready"), *later]


@pytest.mark.parametrize(
    ("later", "said"),
    [
        ([event(1000, "g0", "term"), event(4000, "g0", "ended", code=0)], "held"),
        ([event(1000, "g0", "term"), event(4000, "g0", "ended", code=1)], "broken"),
        ([event(4000, "g0", "ended", code=0)], "broken"),  # nobody told it to
        ([event(1000, "g0", "term"), event(4700, "g0", "kill"), event(4701, "g0", "ended", code=-9)],
         "broken"),
        ([event(1000, "g0", "term"), event(2000, "g0", "kill"), event(2001, "g0", "ended", code=-9)],
         "not exercised"),
        ([event(900, "g0", "stop"), event(1000, "g0", "term"), event(4700, "g0", "kill"),
          event(4701, "g0", "ended", code=-9)], "not exercised"),
        ([event(1000, "g0", "kill"), event(1001, "g0", "ended", code=-9)], "not exercised"),
    ],
)  # fmt: skip
def test_gateway_ends_only_when_told_and_before_it_may_be_killed(later: list[Event], said: str) -> None:
    assert says(exits(life(*later), KILL_MS)) == said


@pytest.mark.parametrize(("ready_ms", "said"), [(900, "held"), (10_400, "broken")])
def test_restarted_gateway_is_ready_in_time(ready_ms: float, said: str) -> None:
    again = [event(1000, "g0", "kill"), event(1100, "g0", "start"), event(1100 + ready_ms, "g0", "ready")]
    assert says(restarts(life(*again))) == said


def test_restart_that_is_signalled_before_it_is_ready_is_not_judged() -> None:
    again = [event(1000, "g0", "kill"), event(1100, "g0", "start"), event(1200, "g0", "kill")]
    assert says(restarts(life(*again))) == "not exercised"


@pytest.mark.parametrize(("after_ms", "said"), [(20, "held"), (160, "broken")])
def test_attempt_for_a_client_that_has_left_breaks_the_rule(after_ms: float, said: str) -> None:
    events = [event(0, "client", "left", rid="a"), event(after_ms, "h0", "got", rid="a", gw="g0")]
    assert says(departures(events)) == said
    assert says(departures(events, judge_times=False)) == "not exercised"


def sent(kind: str = "unruly_wrote", allowed_ms: float = 3000.0) -> Event:
    return event(0, "client", kind, rid="a", gw="g0", allowed_ms=allowed_ms)


@pytest.mark.parametrize(
    ("events", "said"),
    [
        ([sent(), event(500, "client", "unruly_answer", rid="a", result="served")], "held"),
        ([sent(), event(500, "client", "unruly_answer", rid="a", result="refused")], "held"),
        ([sent(), event(500, "client", "unruly_answer", rid="a", result="reset")], "broken"),
        ([sent(), event(500, "client", "unruly_answer", rid="a", result="rejected")], "broken"),
        ([sent(), event(500, "client", "unruly_answer", rid="a", result="foreign")], "broken"),
        ([sent(), event(3100, "client", "unruly_answer", rid="a", result="served")], "broken"),
        ([sent("halted"), event(2900, "client", "released", rid="a")], "held"),
        ([sent("halted"), event(3100, "client", "released", rid="a")], "broken"),
        ([sent("halted")], "broken"),
        ([sent(), event(100, "g0", "kill"), event(101, "client", "unruly_answer", rid="a", result="reset")],
         "not exercised"),
    ],
)  # fmt: skip
def test_unruly_client_gets_its_one_answer_or_its_close_in_time(events: list[Event], said: str) -> None:
    assert says(unruly(events)) == said


def answer(t: float, result: str) -> Event:
    return event(t, "client", "answer", rid="a", gw="g0", result=result)


@pytest.mark.parametrize(
    ("signals", "said"),
    [
        ([event(50, "g0", "stop"), event(180, "g0", "cont")], "broken"),  # 0.15 s is no excuse
        ([event(50, "g0", "stop"), event(900, "g0", "cont")], "held"),
        ([event(-800, "g0", "term"), event(50, "g0", "kill")], "broken"),  # what SIGKILL finds is lost
        ([event(-500, "g0", "term"), event(50, "g0", "kill")], "held"),
        ([event(-800, "g0", "term"), event(-100, "g0", "start"), event(50, "g0", "kill")], "held"),
    ],
)
def test_short_pause_and_late_sigkill_excuse_no_lost_answer(signals: list[Event], said: str) -> None:
    wrote = event(0, "client", "wrote", rid="a", gw="g0")
    events = sorted([wrote, *signals], key=lambda e: e["t"])
    assert says(answered([*events, answer(1000, "reset")])) == said
