"""Admission control: occupancy samples, admit fractions, and which requests are shed first."""

from __future__ import annotations

import pytest
from conftest import Driver, of_type

from hillmux import interface as api
from hillmux.decision import admission, occupancy
from hillmux.decision.admission import admit_fraction_for
from hillmux.interface import AttemptResult


def slow_down(d: Driver, name: str, latency_ratio: float) -> None:
    """Set a host's latency ratio, as if its responses took this many times the expected latency."""
    host = d.gateway.hosts[name]
    host.latency_ratio = latency_ratio
    host.update_load()
    d.gateway.load_balancer.reindex(host)


def test_admit_fraction_falls_from_all_to_the_minimum() -> None:
    low, high = occupancy.MIN_OCCUPANCY, occupancy.MAX_OCCUPANCY
    assert admit_fraction_for(0.0) == 1.0
    assert admit_fraction_for(low) == 1.0
    assert admit_fraction_for((low + high) / 2) == pytest.approx(0.5)
    assert admit_fraction_for(high) == admission.MIN_ADMIT_FRACTION
    assert admit_fraction_for(1.0) == admission.MIN_ADMIT_FRACTION


def test_accumulator_admits_two_of_five_requests_at_a_fraction_of_0_4() -> None:
    d = Driver()
    d.request()
    share = d.gateway.admission.shares[("read", "open")]
    share.admit_fraction, share.accumulator = 0.4, 0.0
    sent = [bool(of_type(d.request()[1], api.SendAttempt)) for _ in range(10)]
    assert sent == [False, False, True, False, True] * 2


def test_occupancy_moves_by_its_weight_towards_the_mean_of_an_interval() -> None:
    d = Driver()
    d.gateway.occupancy.samples_seen = 100  # the occupancy of a new gateway is a plain mean
    for _ in range(2):
        request_id, _ = d.request()
        d.end(request_id, took=500)
    assert d.gateway.occupancy.interval_count == 2
    d.sweep()
    assert d.gateway.occupancy.smoothed == pytest.approx(occupancy.OCCUPANCY_WEIGHT * 0.5)
    request_id, _ = d.request()
    d.sweep()
    # Unchanged without results while an attempt is open.
    assert d.gateway.occupancy.smoothed == pytest.approx(occupancy.OCCUPANCY_WEIGHT * 0.5)


def test_gateway_with_few_requests_notices_the_end_of_an_overload() -> None:
    d = Driver()
    d.gateway.occupancy.smoothed = 1.0
    served = 0
    for _ in range(20):  # two requests per second, answered fast
        request_id, out = d.request(after=0)
        if of_type(out, api.SendAttempt):
            d.end(request_id, took=50, after=50)
            served += 1
        d.sweep(5)
    assert served >= 14


def test_new_gateway_notices_an_overload_by_its_open_attempts() -> None:
    d = Driver()
    request_ids = [d.request(after=20)[0] for _ in range(8)]
    d.sweep(6)
    # No results yet, and most attempts are older than MAX_OCCUPANCY of their latency objective.
    assert d.gateway.admission.admit_fraction < 0.1
    for request_id in request_ids:
        d.end(request_id, took=60)
    d.sweep()
    assert d.gateway.admission.admit_fraction == 1.0


def test_least_priority_per_work_is_shed_first() -> None:
    d = Driver()
    for _ in range(5):
        d.request("read")
        d.request("put")
    d.gateway.occupancy.smoothed = (occupancy.MIN_OCCUPANCY + occupancy.MAX_OCCUPANCY) / 2
    d.sweep()
    shares = d.gateway.admission.shares
    assert shares[("put", "open")].admit_fraction > 0.9 > shares[("read", "open")].admit_fraction


def test_attempt_open_during_a_stall_gives_no_sample() -> None:
    """Guards against a paused machine: results read late after the pause look like those of slow hosts."""
    d = Driver()
    request_id, _ = d.request()
    d.end(request_id, took=5000, after=5000)
    assert d.gateway.occupancy.interval_count == 0
    d.sweep()
    request_id, _ = d.request()
    d.end(request_id, took=40, after=40)
    assert d.gateway.occupancy.interval_count == 1


def test_one_slow_host_does_not_lower_the_admit_fraction() -> None:
    d = Driver(servers=6)
    slow_down(d, "h0", 10.0)
    pending_on_slow_host = None
    for _ in range(200):
        request_id, out = d.request(after=5)
        send = of_type(out, api.SendAttempt)[0]
        if send.host == "h0":
            pending_on_slow_host = request_id
            d.end(request_id, AttemptResult.TIMED_OUT, took=1000)
        else:
            d.end(request_id, took=50)
    d.sweep(5)
    assert d.gateway.admission.admit_fraction == 1.0
    assert pending_on_slow_host is None or d.gateway.hosts["h0"].latency_ratio > 1


def test_outlier_gives_no_samples_but_a_host_among_slow_hosts_does() -> None:
    for median, samples in ((1.0, 0), (10.0, 1)):
        d = Driver(servers=1)
        request_id, _ = d.request()
        slow_down(d, "h0", 10.0)
        d.gateway.load_balancer.outliers.median_latency_ratio, d.gateway.occupancy.response_occupancy = (
            median,
            0.5,
        )
        d.end(request_id, AttemptResult.TIMED_OUT, took=90)
        assert d.gateway.occupancy.interval_count == samples


def test_lost_responses_shed_no_requests_but_late_ones_do() -> None:
    for latency_ms, sheds_load in ((50, False), (700, True)):
        d = Driver(servers=8)
        for i in range(60):
            request_id, _ = d.request(after=20)
            if i % 4 == 0 and request_id in d.gateway.pending:
                d.end(request_id, AttemptResult.TIMED_OUT, took=latency_ms)
            if request_id in d.gateway.pending:
                d.end(request_id, took=latency_ms)
            d.handle(api.TimerFired("sweep"))
        assert (d.gateway.admission.admit_fraction < 1) == sheds_load
