"""Tests of faults in the counting simulation, and of schedules of faults drawn from seeds."""

from __future__ import annotations

import dataclasses

import pytest

from hillmux import interface as api
from hillmux.interface import AttemptResult
from hillmux.lab.virtual.counting import START_TIME_MS, CountingFleet, CountingGateway, CountingScenario
from hillmux.lab.virtual.counting_faults import (
    CallFailure,
    ClockJump,
    CounterReset,
    CounterRolledBack,
    CounterUnreachable,
    FailingCalls,
    Fault,
    FaultyFleet,
    Kill,
    TrafficMoved,
)
from hillmux.lab.virtual.counting_schedules import (
    MAX_SCHEDULES,
    Distribution,
    draw_schedule,
    play_schedule,
    play_schedules,
)

# Practically without arrivals: the tests send their own requests.
QUIET = CountingScenario(
    gateways=3, customers=2, replicas=3, requests_per_s=1e-9, rate=4.0, burst=20.0, seed=5
)
BUSY = dataclasses.replace(QUIET, requests_per_s=8.0)


class Replies:
    """Results of counter calls, in the order in which the gateways receive them."""

    def __init__(self, fleet: CountingFleet, monkeypatch: pytest.MonkeyPatch) -> None:
        self.results: list[str] = []
        handle = fleet.handle

        def record(gateway: CountingGateway, event: api.Event) -> None:
            if isinstance(event, api.CounterReply):
                self.results.append(event.result)
            handle(gateway, event)

        monkeypatch.setattr(fleet, "handle", record)


def counter_total(fleet: CountingFleet) -> float:
    """Return the sum of all totals at the counter."""
    return sum(total for part in fleet.counter.copy() for total, _ in part.values())


def results_of_failing_call(failure: CallFailure, monkeypatch: pytest.MonkeyPatch) -> tuple[list[str], float]:
    """Return the results of one failing call after 95 ms, and the sum of the counter's totals 0.3 s later."""
    fleet = FaultyFleet(QUIET, [FailingCalls(0.0, 1000.0, 1.0, failure)])
    replies = Replies(fleet, monkeypatch)
    fleet.run(0.01)
    fleet.request(fleet.customers[0], 0)
    assert fleet.figures.counter_calls == 1
    fleet.run(0.095)
    first = list(replies.results)
    fleet.run(0.3)
    return first, counter_total(fleet)


@pytest.mark.parametrize(
    "failure, result, added",
    [
        (CallFailure.CUT_ADDED, AttemptResult.CONNECTION_LOST, True),
        (CallFailure.CUT_NOT_ADDED, AttemptResult.CONNECTION_LOST, False),
        (CallFailure.LOST, AttemptResult.TIMED_OUT, False),
        (CallFailure.LATE, AttemptResult.TIMED_OUT, True),
    ],
)
def test_failing_call_gives_its_result_and_is_added_or_not(
    failure: CallFailure, result: str, added: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    results, total = results_of_failing_call(failure, monkeypatch)
    assert results == [result]
    assert (total > 0) is added


def test_reset_counter_has_lost_its_totals() -> None:
    fleet = FaultyFleet(BUSY, [CounterReset(3000.0)])
    fleet.run(2.9999)
    assert counter_total(fleet) > 10
    fleet.run(0.0002)
    assert counter_total(fleet) < 2


def test_rolled_back_counter_has_the_totals_of_the_copy() -> None:
    fleet = FaultyFleet(BUSY, [CounterRolledBack(4000.0, age_ms=2000.0)])
    fleet.run(2.0)
    copied = counter_total(fleet)
    fleet.run(1.9999)
    before = counter_total(fleet)
    fleet.run(0.0002)
    assert copied < before
    assert copied <= counter_total(fleet) < before


def test_killed_gateway_gets_no_requests_until_it_starts_without_state() -> None:
    fleet = FaultyFleet(BUSY, [Kill(1000.0, 1, 2000.0)])
    first = fleet.gateways[1]
    fleet.run(2.0)
    assert not first.alive and fleet.gateways[1] is first
    requests = first.requests
    fleet.run(1.5)
    assert fleet.gateways[1] is not first and fleet.gateways[1].alive
    assert first.requests == requests and fleet.gateways[1].requests > 0
    assert fleet.figures.unserved == 0


def test_calls_of_a_gateway_fail_while_the_counter_is_unreachable(monkeypatch: pytest.MonkeyPatch) -> None:
    scenario = dataclasses.replace(BUSY, gateways=1, replicas=1)
    fleet = FaultyFleet(scenario, [CounterUnreachable(0.0, 0, 5000.0), CounterUnreachable(1000.0, 0, 500.0)])
    replies = Replies(fleet, monkeypatch)
    fleet.run(4.99)
    assert counter_total(fleet) == 0
    assert set(replies.results) == {AttemptResult.TIMED_OUT, AttemptResult.CONNECT_FAILED}
    fleet.run(5.0)
    assert replies.results[-1] == AttemptResult.OK


def test_clocks_jump_or_have_an_offset_but_never_run_backwards() -> None:
    seen: dict[int, list[float]] = {}

    def inspect(gateway: CountingGateway) -> None:
        seen.setdefault(gateway.incarnation, []).append(gateway.gateway.context.now)

    faults = [ClockJump(2000.0, 0, 7000.0), ClockJump(0.0, 1, -5000.0)]
    fleet = FaultyFleet(BUSY, faults, inspect)
    fleet.run(3.0)
    for times in seen.values():
        assert times == sorted(times)
    assert START_TIME_MS + 9900 < fleet.gateways[0].gateway.context.now <= START_TIME_MS + 10_000
    assert START_TIME_MS - 2100 < fleet.gateways[1].gateway.context.now <= START_TIME_MS - 2000
    with pytest.raises(ValueError, match="by_ms"):
        FaultyFleet(BUSY, [ClockJump(1.0, 0, -1.0)])


def test_moved_traffic_goes_to_one_gateway_until_moved_back() -> None:
    scenario = dataclasses.replace(BUSY, customers=1)
    fleet = FaultyFleet(scenario, [TrafficMoved(0.0, 0, 2), TrafficMoved(4000.0, 0, None)])
    fleet.run(4.0)
    assert [gateway.requests > 0 for gateway in fleet.gateways] == [False, False, True]
    fleet.run(4.0)
    assert all(gateway.requests > 0 for gateway in fleet.gateways)


def test_same_seed_gives_same_schedule_and_result() -> None:
    assert draw_schedule(7) == draw_schedule(7) != draw_schedule(8)
    assert play_schedule(7) == play_schedule(7)


def test_schedules_are_within_bounds_and_contain_every_kind_of_fault() -> None:
    kinds: set[type[Fault]] = set()
    for seed in range(200):
        schedule = draw_schedule(seed)
        scenario = schedule.scenario
        assert 3 <= scenario.replicas <= scenario.gateways <= 24
        assert 20 <= schedule.length_s <= 40
        kinds |= {type(fault) for fault in schedule.faults}
    assert kinds == {
        Kill,
        CounterUnreachable,
        FailingCalls,
        CounterReset,
        CounterRolledBack,
        ClockJump,
        TrafficMoved,
    }


def test_exceptions_are_reported_by_the_seed_of_their_schedule() -> None:
    def inspect(gateway: CountingGateway) -> None:
        if gateway.requests >= 3 and gateway.number == 2:
            raise AssertionError("three requests")

    summary = play_schedules(2, 20, inspect)
    assert summary.failures == {20: "AssertionError: three requests", 21: "AssertionError: three requests"}


def test_check_is_called_with_the_fleet_after_events() -> None:
    seen: list[int] = []
    fleet = CountingFleet(BUSY, check=lambda fleet: seen.append(fleet.figures.requests))
    fleet.run(1.0)
    assert seen and seen[-1] == fleet.figures.requests


@pytest.mark.parametrize("count", [0, MAX_SCHEDULES + 1])
def test_schedule_count_out_of_bounds_is_rejected(count: int) -> None:
    with pytest.raises(ValueError, match=f"count: found {count}, allowed 1 to {MAX_SCHEDULES}"):
        play_schedules(count)


def test_distribution_of_three_values() -> None:
    assert Distribution.of([1.0, 2.0, 6.0]) == Distribution(mean=3.0, p99=pytest.approx(5.92), maximum=6.0)
