"""Quotas of customers that a gateway sees rarely, as in a fleet of hundreds of gateways."""

from __future__ import annotations

import pytest
from conftest import PLAN, Driver, of_type

from hillmux import interface as api
from hillmux.interface import AttemptResult


def window_start(d: Driver, customer: str) -> float:
    """Return the start (ms) of the customer's next window."""
    d.request(plan="basic", customer=customer, width=100)
    use = d.gateway.quotas.registry.states[customer, "basic"]
    length = d.gateway.quotas.window_ms["basic"]
    phase = (use.digest[0] << 8 | use.digest[1]) / 65536
    return (use.window + 1 - phase) * length


@pytest.mark.parametrize("into_ms", [500.0, 1500.0, 5000.0])
def test_first_total_covers_the_time_since_the_start_of_the_window(into_ms: float) -> None:
    """The others used three units since the window's start, not since this gateway's first request.

    They may have been used just now, so no refill is added for that time.
    """
    start = window_start(Driver(), "c")
    d = Driver(fleet_size=100, now=start + into_ms)
    rid, out = d.request(plan="basic", customer="c", width=100)
    (call,) = of_type(out, api.IncrementCounter)
    assert of_type(
        d.handle(api.CounterReply(call.name, AttemptResult.OK, call.amount + 3.0)), api.SendAttempt
    )
    use = d.gateway.quotas.registry.states["c", "basic"]
    assert use.others_rate == pytest.approx(3.0 / into_ms)
    assert use.remaining == pytest.approx(PLAN.burst - 3 - 1)


def test_customer_whose_quota_was_spent_elsewhere_is_rejected() -> None:
    start = window_start(Driver(), "c")
    d = Driver(fleet_size=100, now=start + 1000.0)
    _, out = d.request(plan="basic", customer="c", width=100)
    (call,) = of_type(out, api.IncrementCounter)
    out = d.handle(api.CounterReply(call.name, AttemptResult.OK, call.amount + PLAN.burst + PLAN.rate))
    assert of_type(out, api.Reject) and not of_type(out, api.SendAttempt)


def test_first_total_gives_the_rate_of_the_others_over_the_window() -> None:
    """The others use half of the rate; the rest remains for this gateway seconds later without a call."""
    start = window_start(Driver(), "c")
    d = Driver(fleet_size=100, now=start + 2000.0)
    _, out = d.request(plan="basic", customer="c", width=100)
    (call,) = of_type(out, api.IncrementCounter)
    rid = of_type(
        d.handle(api.CounterReply(call.name, AttemptResult.OK, call.amount + 2.0)), api.SendAttempt
    )[0].request_id
    d.end(rid)
    d.sweep(20)
    assert d.gateway.quotas.remaining(d.gateway.quotas.registry.states["c", "basic"]) >= PLAN.burst - 2


@pytest.mark.parametrize("into_ms", [1.0, 1500.0, 5000.0])
def test_restarted_single_gateway_reads_its_earlier_use_from_the_counter(into_ms: float) -> None:
    d = Driver(now=window_start(Driver(), "c") + into_ms)
    _, out = d.request(plan="basic", customer="c", width=1)
    (call,) = of_type(out, api.IncrementCounter)
    out = d.handle(api.CounterReply(call.name, AttemptResult.OK, call.amount + PLAN.burst))
    assert of_type(out, api.Reject) and not of_type(out, api.SendAttempt)
