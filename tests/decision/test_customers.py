"""Tracked customers: limited in number, dropped when idle, with their ceilings kept."""

from __future__ import annotations

import collections

import pytest
from conftest import CAPPED, PLAN, Driver, make_endpoint, of_type, settings

from hillmux import interface as api
from hillmux.decision.gateway import Gateway
from hillmux.interface import AttemptResult, ListKind, RejectReason
from hillmux.quotas.latest_times import LatestTimes
from hillmux.quotas.registry import EVICTION_CANDIDATES


def test_customer_with_one_request_is_dropped_when_idle() -> None:
    d = Driver()
    for i in range(300):
        request_id, out = d.request(plan="basic", customer=f"k{i}")
        for action in of_type(out, api.IncrementCounter):
            d.handle(api.CounterReply(action.name, AttemptResult.TIMED_OUT, 0.0))
        if request_id in d.gateway.pending:
            d.end(request_id)
    d.sweep(1210)
    quotas = d.gateway.quotas
    assert (
        not quotas.registry.states
        and not quotas.registry.sweep_queue
        and not quotas.open_calls
        and not d.gateway.pending
    )


def test_customer_long_unseen_gets_a_share_before_the_counter_is_called() -> None:
    d = Driver()
    _, out = d.request(plan="basic")
    (call,) = of_type(out, api.IncrementCounter)
    d.handle(api.CounterReply(call.name, AttemptResult.OK, 1.0))
    d.now += 30_000  # by now it has used all of its burst at other gateways
    sent, called = 0, False
    while not called:
        request_id, out = d.request(plan="basic", after=1.0)
        sent += len(of_type(out, api.SendAttempt))
        called = bool(of_type(out, api.IncrementCounter))
    assert 0 < sent <= PLAN.burst / 3 + 1
    (call,) = of_type(out, api.IncrementCounter)
    out = d.handle(api.CounterReply(call.name, AttemptResult.OK, 100.0))
    assert not of_type(d.request(plan="basic", after=1.0)[1], api.SendAttempt)
    d.now += 30_000  # after a total with much use by others, the counter is called first
    out = d.request(plan="basic")[1]
    assert of_type(out, api.IncrementCounter) and not of_type(out, api.SendAttempt)


@pytest.mark.parametrize("seed", range(8))
def test_customer_long_unseen_gets_a_share_and_no_more_while_the_counter_is_silent(seed: int) -> None:
    d = Driver(seed=seed, now=1e6 + 700 * seed)  # at different positions in the customer's window
    _, out = d.request(plan="basic")
    (call,) = of_type(out, api.IncrementCounter)
    d.handle(api.CounterReply(call.name, AttemptResult.OK, 1.0))
    d.now += 30_000  # all three gateways may be in this situation at once
    sent = sum(len(of_type(d.request(plan="basic", after=1.0)[1], api.SendAttempt)) for _ in range(20))
    assert 0 < sent <= PLAN.burst / 3


def test_customer_is_kept_while_its_ceiling_refills_or_a_request_is_open() -> None:
    slow = api.Plan("slow", ceiling_rate=0.1, ceiling_burst=60)  # refilled after ten minutes
    d = Driver(counter_available=False, plans=(slow, PLAN), fleet_size=1)
    d.now += 700_000
    for _ in range(70):
        request_id, out = d.request(plan="slow", customer="spent", width=1)
        if of_type(out, api.SendAttempt):
            d.end(request_id)
    d.handle(api.Request("open", "pay", "basic", "out", 1e6))
    d.request(plan="basic", customer="left")
    d.end("r71")
    d.sweep(1300)
    assert set(d.gateway.quotas.registry.states) == {("spent", "slow"), ("out", "basic")}
    admitted = 0
    for _ in range(30):
        request_id, out = d.request(plan="slow", customer="spent", width=1)
        if of_type(out, api.SendAttempt):
            admitted += 1
            d.end(request_id)
    assert 10 <= admitted <= 14  # the refill of 130 s, not the whole burst
    d.sweep(6100)
    assert set(d.gateway.quotas.registry.states) == {("out", "basic")}


def test_least_recently_seen_customer_is_dropped_first() -> None:
    d = Driver(counter_available=False, max_customers=EVICTION_CANDIDATES)
    for i in range(EVICTION_CANDIDATES):
        d.end(d.request(customer=f"c{i}", after=1.0)[0])
    for i in (0, 1, 2, 4, 5, 6, 7):  # all but c3 send another request
        d.end(d.request(customer=f"c{i}", after=1.0)[0])
    d.request(customer="new", after=1.0)
    states = d.gateway.quotas.registry.states
    assert ("c3", "open") not in states and len(states) == EVICTION_CANDIDATES


def test_customers_that_share_a_sketch_slot_keep_their_own_time() -> None:
    latest_times = LatestTimes()
    latest_times.put(bytes([0, 0, 0, 1, 0, 0, 0, 2]), 50.0)
    latest_times.put(bytes([0, 0, 0, 1, 0, 0, 0, 3]), 40.0)
    assert latest_times.get(bytes([0, 0, 0, 1, 0, 0, 0, 2])) == 50.0
    # Not the time in the slot that the two share.
    assert latest_times.get(bytes([0, 0, 0, 1, 0, 0, 0, 3])) == 40.0
    assert latest_times.get(bytes([0, 0, 0, 1, 0, 0, 0, 4])) == 0.0


def test_known_customers_are_bounded_and_those_with_open_requests_are_kept() -> None:
    """A flood of new customers in one window must neither fill the memory nor evict customers in use."""
    d = Driver(counter_available=False, max_customers=50)
    d.request(plan="open", customer="busy")  # its request stays open
    for i in range(300):
        request_id, out = d.request(plan="basic", customer=f"k{i}")
        assert of_type(out, api.SendAttempt)
        d.end(request_id)
        assert len(d.gateway.quotas.registry.states) == len(d.gateway.quotas.registry.sweep_queue) <= 50
    assert ("busy", "open") in d.gateway.quotas.registry.states
    for i in range(60):
        d.request(plan="open", customer=f"busy{i}")
    assert [out.reason for out in of_type(d.request(plan="open", customer="one more")[1], api.Reject)] == [
        RejectReason.TOO_MANY_CUSTOMERS
    ]


def test_flood_of_new_customers_is_served_and_keeps_ceilings() -> None:
    """Customers at their ceilings are dropped between two requests, but their use is remembered."""
    d = Driver(counter_available=False, max_customers=20, servers=50)
    admitted, rejected = collections.Counter[str](), 0
    burst, rate = CAPPED.ceiling_burst / 3, CAPPED.ceiling_rate / 1000 / 3
    d.now += burst / rate
    start, dropped = d.now, 0
    for i in range(6000):  # 2,000 new customers per second for three seconds
        request_id, out = d.request(plan="capped", customer=f"new{i}", after=0.5, width=3)
        rejected += len(of_type(out, api.Reject))
        if of_type(out, api.SendAttempt):
            d.end(request_id)
        if i % 10 == 0:
            d.log.clear()
            known = f"known{i // 10 % 5}"
            dropped += (known, "capped") not in d.gateway.quotas.registry.states
            request_id, out = d.request(plan="capped", customer=known, width=3)
            if of_type(out, api.SendAttempt):
                admitted[known] += 1
                d.end(request_id)
    assert rejected <= 6000 * 0.01  # sharing both slots with other customers is rare
    assert dropped > 100
    for known, count in admitted.items():
        assert count <= burst + rate * (d.now - start) + 1e-6, known
        assert count >= 0.9 * min(burst + rate * (d.now - start), 120) - 1


def test_hundred_thousand_new_customers_in_ten_seconds_keep_ceilings() -> None:
    """About twelve times as many as are tracked by default; ten customers send requests all the time."""
    gateway = Gateway(settings(counter_available=False), 1)
    now = 1e6
    gateway.handle(now, api.EndpointList(ListKind.FULL, tuple(make_endpoint(i) for i in range(20))))
    burst, rate = CAPPED.ceiling_burst / 3, CAPPED.ceiling_rate / 1000 / 3
    now += burst / rate
    start, admitted, rejected = now, collections.Counter[str](), 0

    def ask(request_id: str, customer: str) -> bool:
        nonlocal rejected
        request = api.Request(request_id, "read", "capped", customer, 4000, 1.0, 3, 0)
        sent = of_type(gateway.handle(now, request), api.SendAttempt)
        if sent:
            gateway.handle(now, api.AttemptEnded(request_id, 0, sent[0].host, AttemptResult.OK, 50, True))
        return bool(sent)

    for i in range(100_000):
        now += 0.1
        rejected += not ask(f"n{i}", f"new{i}")
        if i % 1000 == 0:
            gateway.handle(now, api.TimerFired("sweep"))
        if i % 50 == 0:
            known = f"known{i // 50 % 10}"
            admitted[known] += ask(f"k{i}", known)
    assert (
        len(gateway.quotas.registry.states) == len(gateway.quotas.registry.sweep_queue) == 8192
        and not gateway.pending
    )
    assert rejected <= 100_000 * 0.01
    allowed = burst + rate * (now - start)
    assert len(admitted) == 10
    for known, count in admitted.items():
        assert 0.9 * allowed - 1 <= count <= allowed + 1e-6, known
