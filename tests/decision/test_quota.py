"""A quota at one gateway: between totals, near the limit, and while the counter is silent."""

from __future__ import annotations

import dataclasses

import pytest
from conftest import CAPPED, PLAN, Driver, of_type

from hillmux import interface as api
from hillmux.interface import AttemptResult
from hillmux.quotas.estimate import EVEN_SPLIT_FACTOR
from hillmux.quotas.throttle import MAX_LOST_CONNECTIONS


def calls_of(d: Driver) -> list[api.IncrementCounter]:
    return [a for _, a in d.log if isinstance(a, api.IncrementCounter)]


def drive(d: Driver, n: int, others: float = 0.0, lose_at: int = -1, **request_options: object) -> int:
    """Send `n` requests 1 ms apart, and return how many were forwarded.

    The counter replies at once. Other gateways add `others` units before each request; before the request of
    index `lose_at` the counter loses its totals.
    """
    sent = 0
    for i in range(n):
        if i == lose_at:
            d.totals = dict.fromkeys(d.totals, 0.0)
        d.totals = {name: total + others for name, total in d.totals.items()}
        request_id, _ = d.request(after=1, **request_options)
        while d.answered < len(calls := calls_of(d)):
            action = calls[d.answered]
            d.answered += 1
            d.totals[action.name] = d.totals.get(action.name, 0.0) + action.amount
            d.handle(api.CounterReply(action.name, AttemptResult.OK, d.totals[action.name]))
        sent += any(isinstance(a, api.SendAttempt) and a.request_id == request_id for _, a in d.log)
    return sent


def test_quota_is_the_burst_and_then_the_rate() -> None:
    d = Driver()
    assert drive(d, 20, plan="basic") == 6
    d.now += 2000  # two seconds refill four units
    assert drive(d, 20, plan="basic") == 4


def test_quota_counts_the_use_at_other_gateways() -> None:
    d = Driver()
    assert 3 <= drive(d, 12, others=1.0, plan="basic") <= 4  # other gateways use about every second unit


def test_request_near_the_limit_waits_for_the_total_and_is_answered() -> None:
    d = Driver()
    drive(d, 5, plan="basic")
    # The estimate leaves no units; the last total left one.
    d.gateway.quotas.registry.states["c", "basic"].remaining = 0.0
    request_id, out = d.request(plan="basic")
    assert (
        not of_type(out, api.SendAttempt)
        and not of_type(out, api.Reject)
        and of_type(out, api.IncrementCounter)
    )
    out = d.handle(api.CounterReply(calls_of(d)[-1].name, AttemptResult.TIMED_OUT, 0.0), 30)
    assert len(of_type(out, api.SendAttempt)) + len(of_type(out, api.Reject)) == 1
    assert request_id not in d.gateway.new_requests.waiting


def test_rejected_reservation_is_returned_while_the_counter_answers() -> None:
    for answer_rate, amounts in ((1.0, [1, -1]), (0.0, [1])):
        d = Driver()
        d.request(plan="basic")
        d.gateway.quotas.throttle.answer_rate = answer_rate
        d.gateway.rng.random = lambda: 0.5
        d.handle(api.CounterReply(calls_of(d)[0].name, AttemptResult.OK, 100.0))
        assert [c.amount for c in calls_of(d)] == amounts


@pytest.mark.parametrize("left", [5, 60, 200])
def test_request_with_little_time_left_does_not_wait_for_the_counter(left: float) -> None:
    d = Driver(counter_timeout_ms=30)
    request_id, out = d.request(plan="basic", left=left)
    assert len(of_type(out, api.SendAttempt)) + len(of_type(out, api.Reject)) == 1
    assert request_id not in d.gateway.new_requests.waiting


def test_request_is_answered_although_the_counter_reply_is_lost() -> None:
    d = Driver()
    drive(d, 5, plan="basic")
    d.gateway.quotas.registry.states["c", "basic"].remaining = 0.0
    request_id, out = d.request(plan="basic")
    d.sweep(3)
    finals = [
        a for _, a in d.log if isinstance(a, api.SendAttempt | api.Reject) and a.request_id == request_id
    ]
    assert len(finals) == 1 and not d.gateway.new_requests.waiting


def test_gateway_keeps_to_its_share_while_the_counter_is_silent() -> None:
    d = Driver()
    d.now += 10000
    sent = 0
    for _ in range(12):
        _, out = d.request(plan="basic")
        for action in of_type(out, api.IncrementCounter):
            out = out + d.handle(api.CounterReply(action.name, AttemptResult.TIMED_OUT, 0.0))
        sent += len(of_type(out, api.SendAttempt))
    assert sent <= PLAN.burst / 3 + 1


def test_counter_that_lost_its_totals_does_not_refill_the_quota() -> None:
    d = Driver()
    assert drive(d, 20, lose_at=3, plan="basic") == 6
    state = d.gateway.quotas.registry.states["c", "basic"]
    assert state.others_rate >= 0  # a lower total does not mean that other gateways returned units


def test_use_beyond_the_quota_is_not_deducted_from_later_refills() -> None:
    d = Driver()
    drive(d, 8, others=5.0, plan="basic")  # other gateways use far more than the quota
    d.now += 1000
    drive(d, 1, plan="basic")
    d.now += 1000
    assert drive(d, 4, plan="basic") >= 1


def test_actual_units_are_taken_from_the_quota() -> None:
    d = Driver()
    drive(d, 1, plan="basic", width=1)
    d.end("r1", true_units=6)
    assert drive(d, 3, plan="basic", width=1) == 0


def test_other_plans_and_replica_counts_do_not_change_a_customers_quota() -> None:
    d = Driver()
    assert drive(d, 10, plan="basic", width=1) == 6  # its burst
    d.request(plan="capped", width=3)
    assert drive(d, 5, plan="basic", width=1) == 0
    state = d.gateway.quotas.registry.states["c", "basic"]
    d.request(plan="basic", width=3)
    assert state.replicas == 3  # the larger value is the safe one, for this window and the next
    for _ in range(2):
        d.request(plan="basic", width=1, after=d.gateway.quotas.window_ms["basic"])
    assert state.replicas == 1


def test_plans_with_equal_windows_have_counters_of_their_own() -> None:
    twin = dataclasses.replace(PLAN, name="twin")
    d = Driver(plans=(PLAN, twin, CAPPED))
    names = [
        of_type(d.request(plan=plan, customer="c")[1], api.IncrementCounter)[0].name
        for plan in ("basic", "twin", "capped")
    ]
    assert len(set(names)) == 3
    alone = of_type(Driver().request(plan="basic", customer="c")[1], api.IncrementCounter)[0].name
    assert names[0] != alone == names[0].replace(".0.", ".")  # without another window of this length, no tag


def test_counter_calls_become_rare_while_unanswered_and_recover() -> None:
    d = Driver()
    d.gateway.rng.seed(5)

    def calls(result: str, n: int = 60) -> int:
        made = 0
        for _ in range(n):
            request_id, out = d.request(plan="basic", customer=f"k{d.serial}", after=20)
            for action in of_type(out, api.IncrementCounter):
                made += 1
                out = out + d.handle(api.CounterReply(action.name, result, action.amount))
            if request_id in d.gateway.pending:
                d.end(request_id)
        return made

    assert calls(AttemptResult.OK) == 60
    # So few lost connections say nothing of the counter.
    assert calls(AttemptResult.CONNECTION_LOST, MAX_LOST_CONNECTIONS) == MAX_LOST_CONNECTIONS
    assert d.gateway.quotas.throttle.answer_rate == 1.0
    assert calls(AttemptResult.CONNECTION_LOST) < 15  # no other results: the counter is unavailable
    calls(AttemptResult.OK, 300)
    assert calls(AttemptResult.QUEUE_FULL) < 15
    calls(AttemptResult.OK, 300)
    assert calls(AttemptResult.OK) > 50


def test_malformed_total_is_an_answer_and_its_amount_counts() -> None:
    d = Driver()
    request_id, out = d.request(plan="basic", customer="k", units=2)
    (call,) = of_type(out, api.IncrementCounter)
    out = d.handle(api.CounterReply(call.name, AttemptResult.MALFORMED_RESPONSE, 0.0))
    assert of_type(out, api.SendAttempt)  # decided at once
    state = d.gateway.quotas.registry.states["k", "basic"]
    assert d.gateway.quotas.throttle.answer_rate == 1.0
    assert state.reported == 2 and not state.call_open


@pytest.mark.parametrize("age_s", [2, 30])
def test_shares_under_one_unit_add_up_over_the_gateways(age_s: int) -> None:
    """300 gateways without a counter: requests after the first add up to the even split of any size."""
    sent = 0
    for i in range(300):
        d = Driver(seed=i, gateway_index=i, fleet_size=300, counter_available=False)
        d.handle(api.TimerFired("sweep"))
        d.now += age_s * 1000
        for _ in range(3):
            request_id, out = d.request(plan="basic", width=300)
            sent += len(of_type(out, api.SendAttempt))
    extra = sent - 300  # each gateway admits the first request: most customers are far from their quota
    assert extra <= 2 * EVEN_SPLIT_FACTOR * min(PLAN.burst, PLAN.rate * age_s) + 3
