"""A gateway that stood still and wakes: it never died, but all that it remembers is old."""

from __future__ import annotations

from pathlib import Path

import pytest
from conftest import Driver, of_type
from lab.test_run import count, day, held

from hillmux import interface as api
from hillmux.decision.gateway import OUTDATED_MS
from hillmux.interface import AttemptResult
from hillmux.lab import record
from hillmux.lab.run import play


def press(d: Driver, count: int, every_ms: float) -> None:
    """New requests at a back end that takes nearly all of their time; all that is out ends answered."""
    out = []
    for number in range(count):
        rid, acts = d.request("read", ("basic", "open")[number % 2], f"c{number % 200}", after=every_ms)
        if of_type(acts, api.SendAttempt):
            out.append((d.now, rid))
        while out and d.now - out[0][0] > 900:
            d.end(out.pop(0)[1], AttemptResult.OK, took=900)
        if number % 50 == 0:
            d.sweep(1, every=0)
    for _, rid in out:
        d.end(rid, AttemptResult.OK, took=900)


def jammed() -> Driver:
    """A module that lets in a few only."""
    d = Driver(servers=6, counter_available=False)
    press(d, 3000, every_ms=2)
    assert d.gateway.admission.admit_fraction < 0.2
    return d


def let_in(d: Driver, customers: int = 50) -> int:
    """How many of so many new customers' first requests are sent on, all of which are answered at once."""
    sent = 0
    for number in range(customers):
        rid, acts = d.request("read", "open", f"new{number}", after=2)
        if of_type(acts, api.SendAttempt):
            sent += 1
            d.end(rid, AttemptResult.OK, took=10)
    return sent


@pytest.mark.parametrize("stood_ms", [OUTDATED_MS + 200, 60_000, 3_600_000])
def test_admit_fraction_from_before_a_long_stall_rejects_nothing(stood_ms: float) -> None:
    """Guards against a virtual machine that was paused in an overload and wakes after it."""
    d = jammed()
    d.now += stood_ms
    assert let_in(d) == 50 and not d.gateway.quotas.shedding_load


@pytest.mark.parametrize("stood_ms", [0, 300, OUTDATED_MS - 500])
def test_recent_admit_fraction_holds_through_a_short_stall(stood_ms: float) -> None:
    d = jammed()
    d.now += stood_ms
    assert let_in(d) < 25


def test_overload_that_outlasts_a_stall_is_detected_again() -> None:
    d = jammed()
    d.now += 60_000
    press(d, 1500, every_ms=2)
    assert d.gateway.admission.admit_fraction < 0.5


def test_gateway_sends_nothing_by_the_endpoint_list_from_before_a_stall(tmp_path: Path) -> None:
    """Two of four stand still while three hosts drain, one by one, and one restarts; requests wait."""
    result = play(day(
        {"at_s": 1.0, "what": "stop", "who": "50% of gateways", "name": "still"},
        *({"at_s": at, "what": "drain", "who": f"host:h{i}"} for i, at in enumerate((1.5, 1.9, 2.3))),
        {"at_s": 1.5, "what": "crash", "who": "host:h3"},
        {"at_s": 1.9, "what": "restart", "who": "host:h3"},
        {"at_s": 4.5, "what": "cont", "who": "@still"},
        rules=("answered", "effects", "drains", "cold", "ceilings"), length_s=6.5,
    ), tmp_path / "run")  # fmt: skip
    held(result)
    events = list(record.read(result.folder))
    woke = {e["who"]: e["t"] for e in events if e["ev"] == "cont"}
    sent = [e for e in events if e["ev"] == "got" and e["t"] > woke.get(e["gw"], 1e18)]
    assert count(result, "stop") == len(woke) == 2 and len(sent) > 20
    assert not {e["who"] for e in sent} & {"h0", "h1", "h2"}
