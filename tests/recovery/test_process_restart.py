"""A gateway process is stalled and then continues, with state that is outdated by the length of the stall."""

from __future__ import annotations

from pathlib import Path

import pytest
from conftest import Driver, of_type
from lab.test_run import assert_rules_held, count_events, make_scenario

from hillmux import interface as api
from hillmux.decision.gateway import OUTDATED_MS
from hillmux.interface import AttemptResult
from hillmux.lab import record
from hillmux.lab.run import play


def overload(d: Driver, count: int, every_ms: float) -> None:
    """Send new requests to hosts that take 900 ms each; all attempts end with a response."""
    in_flight = []
    for number in range(count):
        rid, acts = d.request("read", ("basic", "open")[number % 2], f"c{number % 200}", after=every_ms)
        if of_type(acts, api.SendAttempt):
            in_flight.append((d.now, rid))
        while in_flight and d.now - in_flight[0][0] > 900:
            d.end(in_flight.pop(0)[1], AttemptResult.OK, took=900)
        if number % 50 == 0:
            d.sweep(1, every=0)
    for _, rid in in_flight:
        d.end(rid, AttemptResult.OK, took=900)


def overloaded_module() -> Driver:
    """A module that admits few requests."""
    d = Driver(servers=6, counter_available=False)
    overload(d, 3000, every_ms=2)
    assert d.gateway.admission.admit_fraction < 0.2
    return d


def admitted_count(d: Driver, customers: int = 50) -> int:
    """The number of new customers whose first request is admitted; all are answered at once."""
    sent = 0
    for number in range(customers):
        rid, acts = d.request("read", "open", f"new{number}", after=2)
        if of_type(acts, api.SendAttempt):
            sent += 1
            d.end(rid, AttemptResult.OK, took=10)
    return sent


@pytest.mark.parametrize("stall_ms", [OUTDATED_MS + 200, 60_000, 3_600_000])
def test_admit_fraction_from_before_a_long_stall_rejects_nothing(stall_ms: float) -> None:
    """Guards against rejections after a virtual machine was paused in an overload and resumed after it."""
    d = overloaded_module()
    d.now += stall_ms
    assert admitted_count(d) == 50 and not d.gateway.quotas.shedding_load


@pytest.mark.parametrize("stall_ms", [0, 300, OUTDATED_MS - 500])
def test_recent_admit_fraction_holds_through_a_short_stall(stall_ms: float) -> None:
    d = overloaded_module()
    d.now += stall_ms
    assert admitted_count(d) < 25


def test_overload_that_outlasts_a_stall_is_detected_again() -> None:
    d = overloaded_module()
    d.now += 60_000
    overload(d, 1500, every_ms=2)
    assert d.gateway.admission.admit_fraction < 0.5


def test_gateway_sends_nothing_to_hosts_drained_during_its_stall(tmp_path: Path) -> None:
    """Two of four gateways are stalled while three hosts drain in turn and one restarts; requests wait."""
    result = play(make_scenario(
        {"at_s": 1.0, "what": "stop", "who": "50% of gateways", "name": "still"},
        *({"at_s": at, "what": "drain", "who": f"host:h{i}"} for i, at in enumerate((1.5, 1.9, 2.3))),
        {"at_s": 1.5, "what": "crash", "who": "host:h3"},
        {"at_s": 1.9, "what": "restart", "who": "host:h3"},
        {"at_s": 4.5, "what": "cont", "who": "@still"},
        rules=("answered", "effects", "drains", "cold", "ceilings"), length_s=6.5,
    ), tmp_path / "run")  # fmt: skip
    assert_rules_held(result)
    events = list(record.read(result.folder))
    resumed_at = {e["who"]: e["t"] for e in events if e["ev"] == "cont"}
    sent = [e for e in events if e["ev"] == "got" and e["t"] > resumed_at.get(e["gw"], 1e18)]
    assert count_events(result, "stop") == len(resumed_at) == 2 and len(sent) > 20
    assert not {e["who"] for e in sent} & {"h0", "h1", "h2"}
