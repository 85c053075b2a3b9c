"""Known customers: bounded in number, forgotten when idle, their ceilings kept."""

from __future__ import annotations

import collections

import pytest
from conftest import CAPPED, PLAN, Driver, make_endpoint, of_type, settings

from hillmux import interface as api
from hillmux.decision.gateway import Gateway
from hillmux.interface import AttemptResult, ListKind, RejectReason
from hillmux.quotas.latest_times import LatestTimes
from hillmux.quotas.registry import EVICTION_CANDIDATES


def test_customer_with_one_request_is_forgotten() -> None:
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
    d.now += 30_000  # it spends all of its burst elsewhere in the meantime
    sent, called = 0, False
    while not called:
        request_id, out = d.request(plan="basic", after=1.0)
        sent += len(of_type(out, api.SendAttempt))
        called = bool(of_type(out, api.IncrementCounter))
    assert 0 < sent <= PLAN.burst / 3 + 1
    (call,) = of_type(out, api.IncrementCounter)
    out = d.handle(api.CounterReply(call.name, AttemptResult.OK, 100.0))
    assert not of_type(d.request(plan="basic", after=1.0)[1], api.SendAttempt)
    d.now += 30_000  # who was seen to spend much elsewhere is asked for first
    out = d.request(plan="basic")[1]
    assert of_type(out, api.IncrementCounter) and not of_type(out, api.SendAttempt)


@pytest.mark.parametrize("seed", range(8))
def test_customer_long_unseen_gets_a_share_and_no_more_while_the_counter_is_silent(seed: int) -> None:
    d = Driver(seed=seed, now=1e6 + 700 * seed)  # at any place in the customer's window
    _, out = d.request(plan="basic")
    (call,) = of_type(out, api.IncrementCounter)
    d.handle(api.CounterReply(call.name, AttemptResult.OK, 1.0))
    d.now += 30_000  # all three gateways may be in this place at once
    sent = sum(len(of_type(d.request(plan="basic", after=1.0)[1], api.SendAttempt)) for _ in range(20))
    assert 0 < sent <= PLAN.burst / 3


def test_customer_is_kept_while_its_ceiling_refills_or_a_request_is_open() -> None:
    slow = api.Plan("slow", ceiling_rate=0.1, ceiling_burst=60)  # full after ten minutes
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
    again = 0
    for _ in range(30):
        request_id, out = d.request(plan="slow", customer="spent", width=1)
        if of_type(out, api.SendAttempt):
            again += 1
            d.end(request_id)
    assert 10 <= again <= 14  # what 130 s have filled, not all of it
    d.sweep(6100)
    assert set(d.gateway.quotas.registry.states) == {("out", "basic")}


def test_customer_unseen_for_the_longest_is_forgotten_first() -> None:
    d = Driver(counter_available=False, max_customers=EVICTION_CANDIDATES)
    for i in range(EVICTION_CANDIDATES):
        d.end(d.request(customer=f"c{i}", after=1.0)[0])
    for i in (0, 1, 2, 4, 5, 6, 7):  # all but c3 come again
        d.end(d.request(customer=f"c{i}", after=1.0)[0])
    d.request(customer="new", after=1.0)
    states = d.gateway.quotas.registry.states
    assert ("c3", "open") not in states and len(states) == EVICTION_CANDIDATES


def test_customers_that_share_a_sketch_slot_keep_their_own_time() -> None:
    shadow = LatestTimes()
    shadow.put(bytes([0, 0, 0, 1, 0, 0, 0, 2]), 50.0)
    shadow.put(bytes([0, 0, 0, 1, 0, 0, 0, 3]), 40.0)
    assert shadow.get(bytes([0, 0, 0, 1, 0, 0, 0, 2])) == 50.0
    assert shadow.get(bytes([0, 0, 0, 1, 0, 0, 0, 3])) == 40.0  # not that of the slot that both have
    assert shadow.get(bytes([0, 0, 0, 1, 0, 0, 0, 4])) == 0.0


def test_known_customers_are_bounded_and_those_with_open_requests_are_kept() -> None:
    """A flood of new names in one window must not fill the memory, nor push out what is in use."""
    d = Driver(counter_available=False, max_customers=50)
    d.request(plan="open", customer="busy")  # its request stays out
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
    """Known ones at their ceilings are forgotten between two tries: what they have had is not."""
    d = Driver(counter_available=False, max_customers=20, servers=50)
    admitted, rejected = collections.Counter[str](), 0
    full, rate = CAPPED.ceiling_burst / 3, CAPPED.ceiling_rate / 1000 / 3
    d.now += full / rate
    start, forgotten = d.now, 0
    for i in range(6000):  # 2,000 new ones a second for three seconds
        request_id, out = d.request(plan="capped", customer=f"new{i}", after=0.5, width=3)
        rejected += len(of_type(out, api.Reject))
        if of_type(out, api.SendAttempt):
            d.end(request_id)
        if i % 10 == 0:
            d.log.clear()
            known = f"known{i // 10 % 5}"
            forgotten += (known, "capped") not in d.gateway.quotas.registry.states
            request_id, out = d.request(plan="capped", customer=known, width=3)
            if of_type(out, api.SendAttempt):
                admitted[known] += 1
                d.end(request_id)
    assert rejected <= 6000 * 0.01  # two slots shared with others is rare
    assert forgotten > 100
    for known, count in admitted.items():
        assert count <= full + rate * (d.now - start) + 1e-6, known
        assert count >= 0.9 * min(full + rate * (d.now - start), 120) - 1


def test_hundred_thousand_new_customers_in_ten_seconds_keep_ceilings() -> None:
    """As many as the default lets be known, and a dozen times more; known ones try all the time."""
    gateway = Gateway(settings(counter_available=False), 1)
    now = 1e6
    gateway.handle(now, api.EndpointList(ListKind.FULL, tuple(make_endpoint(i) for i in range(20))))
    full, rate = CAPPED.ceiling_burst / 3, CAPPED.ceiling_rate / 1000 / 3
    now += full / rate
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
    allowed = full + rate * (now - start)
    assert len(admitted) == 10
    for known, count in admitted.items():
        assert 0.9 * allowed - 1 <= count <= allowed + 1e-6, known
