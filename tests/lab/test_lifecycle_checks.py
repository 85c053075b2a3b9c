"""Checkers of the life of processes and of misbehaving clients: each reports the correct status."""

from __future__ import annotations

from typing import Any

import pytest

from hillmux.lab.checks import Event, Verdict, answered
from hillmux.lab.lifecycle_checks import departures, exits, restarts, unruly

KILL_MS = 3700.0


def event(t: float, who: str, ev: str, **fields: Any) -> Event:
    return {"t": t, "who": who, "ev": ev, **fields}


def status(verdict: Verdict) -> str:
    return verdict.status()


def gateway_record(*events_after_ready: Event) -> list[Event]:
    return [event(0, "g0", "start"), event(300, "g0", "ready"), *events_after_ready]


@pytest.mark.parametrize(
    ("events_after_ready", "expected"),
    [
        ([event(1000, "g0", "term"), event(4000, "g0", "ended", code=0)], "held"),
        ([event(1000, "g0", "term"), event(4000, "g0", "ended", code=1)], "broken"),
        ([event(4000, "g0", "ended", code=0)], "broken"),  # without SIGTERM
        ([event(1000, "g0", "term"), event(4700, "g0", "kill"), event(4701, "g0", "ended", code=-9)],
         "broken"),
        ([event(1000, "g0", "term"), event(2000, "g0", "kill"), event(2001, "g0", "ended", code=-9)],
         "not exercised"),
        ([event(900, "g0", "stop"), event(1000, "g0", "term"), event(4700, "g0", "kill"),
          event(4701, "g0", "ended", code=-9)], "not exercised"),
        ([event(1000, "g0", "kill"), event(1001, "g0", "ended", code=-9)], "not exercised"),
    ],
)  # fmt: skip
def test_gateway_may_exit_only_after_sigterm_and_before_the_earliest_sigkill(
    events_after_ready: list[Event], expected: str
) -> None:
    assert status(exits(gateway_record(*events_after_ready), KILL_MS)) == expected


@pytest.mark.parametrize(("ready_ms", "expected"), [(900, "held"), (10_400, "broken")])
def test_restarted_gateway_must_be_ready_in_time(ready_ms: float, expected: str) -> None:
    restart = [event(1000, "g0", "kill"), event(1100, "g0", "start"), event(1100 + ready_ms, "g0", "ready")]
    assert status(restarts(gateway_record(*restart))) == expected


def test_restart_that_is_signalled_before_it_is_ready_is_not_judged() -> None:
    restart = [event(1000, "g0", "kill"), event(1100, "g0", "start"), event(1200, "g0", "kill")]
    assert status(restarts(gateway_record(*restart))) == "not exercised"


@pytest.mark.parametrize(("after_ms", "expected"), [(20, "held"), (160, "broken")])
def test_attempt_must_not_begin_after_its_client_disconnects(after_ms: float, expected: str) -> None:
    events = [event(0, "client", "left", rid="a"), event(after_ms, "h0", "got", rid="a", gw="g0")]
    assert status(departures(events)) == expected
    assert status(departures(events, judge_times=False)) == "not exercised"


def sent(kind: str = "unruly_wrote", allowed_ms: float = 3000.0) -> Event:
    return event(0, "client", kind, rid="a", gw="g0", allowed_ms=allowed_ms)


@pytest.mark.parametrize(
    ("events", "expected"),
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
def test_misbehaving_client_must_get_one_answer_or_be_disconnected_in_time(
    events: list[Event], expected: str
) -> None:
    assert status(unruly(events)) == expected


def answer(t: float, result: str) -> Event:
    return event(t, "client", "answer", rid="a", gw="g0", result=result)


@pytest.mark.parametrize(
    ("signals", "expected"),
    [
        # a pause of 0.15 s must lose no answer
        ([event(50, "g0", "stop"), event(180, "g0", "cont")], "broken"),
        ([event(50, "g0", "stop"), event(900, "g0", "cont")], "held"),
        # requests that are open at a late SIGKILL are lost
        ([event(-800, "g0", "term"), event(50, "g0", "kill")], "broken"),
        ([event(-500, "g0", "term"), event(50, "g0", "kill")], "held"),
        ([event(-800, "g0", "term"), event(-100, "g0", "start"), event(50, "g0", "kill")], "held"),
    ],
)
def test_short_pause_and_late_sigkill_do_not_account_for_a_lost_answer(
    signals: list[Event], expected: str
) -> None:
    wrote = event(0, "client", "wrote", rid="a", gw="g0")
    events = sorted([wrote, *signals], key=lambda e: e["t"])
    assert status(answered([*events, answer(1000, "reset")])) == expected
