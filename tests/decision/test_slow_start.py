"""Hosts that are warming up get no more than their share of requests."""

from __future__ import annotations

import pytest
from conftest import Driver, make_endpoint, of_type

from hillmux import interface as api
from hillmux.balancing.slow_start import BUDGET_SHARE
from hillmux.interface import ListKind


def test_warming_host_gets_no_more_than_its_budget() -> None:
    d = Driver(servers=4)
    for i in range(300):
        request_id, _ = d.request(after=10)
        d.end(request_id, took=100)
        if i % 10 == 9:
            d.handle(api.TimerFired("sweep"))
    d.handle(api.EndpointList(ListKind.CHANGES, (make_endpoint(9, started_at_ms=d.now),)))
    sent_to_warming = sent = 0
    for i in range(200):
        request_id, out = d.request(after=10)
        sent += 1
        sent_to_warming += of_type(out, api.SendAttempt)[0].host == "h9"
        d.end(request_id, took=10 if of_type(out, api.SendAttempt)[0].host == "h9" else 100)
        if i % 10 == 9:
            d.handle(api.TimerFired("sweep"))
    assert sent_to_warming <= BUDGET_SHARE * 3 * 0.4 * sent / 4 + 1


def test_slow_start_budget_has_the_computed_size() -> None:
    d = Driver(servers=1)
    gateway = d.gateway
    gateway.load_balancer.slow_start.warm_work_rate = 0.1  # work sent to a warm host per ms
    d.handle(api.EndpointList(ListKind.FULL, (make_endpoint(9, started_at_ms=d.now - 5000),)))
    warming_host = gateway.hosts["h9"]
    max_credit = 0.2 * 0.1 * 2000 / 2  # the budget of half an `overload_after_ms`
    assert gateway.load_balancer.slow_start.has_budget(
        warming_host, 0.2, max_credit - 0.1, gateway.load_balancer.now
    )
    gateway.latency.per_unit_ms["read"] = max_credit / 4.5
    replies = [d.request()[1] for _ in range(20)]
    # The budget holds although there is no other host.
    assert 4 <= sum(len(of_type(out, api.SendAttempt)) for out in replies) <= 5


@pytest.mark.parametrize("share", [0.02, 0.2, 0.7])
def test_shares_under_one_request_add_up_over_the_gateways(share: float) -> None:
    sent = 0
    for i in range(300):
        d = Driver(servers=1, seed=i, fleet_size=300)
        # 2 s of 10 s after its start, the host has at least 0.36 of its capacity.
        d.gateway.load_balancer.slow_start.warm_work_rate, work = (0.1, 0.36 * 0.1 * 1000 / share)
        d.handle(api.EndpointList(ListKind.FULL, (make_endpoint(9, started_at_ms=d.now - 2000),)))
        d.gateway.latency.per_unit_ms["read"] = work
        sent += any(of_type(d.request()[1], api.SendAttempt) for _ in range(10))
    assert abs(sent - 300 * share) < 3 * (300 * share * (1 - share)) ** 0.5 + 1


def test_gateways_without_a_known_rate_send_single_requests_to_a_warming_host() -> None:
    sent = 0
    for i in range(300):
        d = Driver(servers=1, seed=i, fleet_size=300)
        d.handle(api.EndpointList(ListKind.FULL, (make_endpoint(9, started_at_ms=d.now),)))
        sent += len(of_type(d.request()[1], api.SendAttempt))
    assert sent <= 5
