"""Faults of the hollow gateways do what they say; schedules are drawn and played the same way each time."""

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

# No arrivals of its own: tests send what they need.
QUIET = CountingScenario(
    gateways=3, customers=2, replicas=3, requests_per_s=1e-9, rate=4.0, burst=20.0, seed=5
)
BUSY = dataclasses.replace(QUIET, requests_per_s=8.0)


class Replies:
    """The answers to one gateway's calls, kept in the order in which they came."""

    def __init__(self, fleet: CountingFleet, monkeypatch: pytest.MonkeyPatch) -> None:
        self.results: list[str] = []
        give = fleet.handle

        def noted(gateway: CountingGateway, event: api.Event) -> None:
            if isinstance(event, api.CounterReply):
                self.results.append(event.result)
            give(gateway, event)

        monkeypatch.setattr(fleet, "handle", noted)


def counted(fleet: CountingFleet) -> float:
    """All that the counter holds."""
    return sum(total for part in fleet.counter.copy() for total, _ in part.values())


def one_call(end: CallFailure, monkeypatch: pytest.MonkeyPatch) -> tuple[list[str], float]:
    """The answers to one first call that ends badly, and what the counter has added of it."""
    fleet = FaultyFleet(QUIET, [FailingCalls(0.0, 1000.0, 1.0, end)])
    replies = Replies(fleet, monkeypatch)
    fleet.run(0.01)
    fleet.request(fleet.customers[0], 0)
    assert fleet.figures.counter_calls == 1
    fleet.run(0.095)
    first = list(replies.results)
    fleet.run(0.3)
    return first, counted(fleet)


@pytest.mark.parametrize(
    "end, result, adds",
    [
        (CallFailure.CUT_ADDED, AttemptResult.CONNECTION_LOST, True),
        (CallFailure.CUT_NOT_ADDED, AttemptResult.CONNECTION_LOST, False),
        (CallFailure.LOST, AttemptResult.TIMED_OUT, False),
        (CallFailure.LATE, AttemptResult.TIMED_OUT, True),
    ],
)
def test_a_bad_call_ends_as_it_says_and_is_added_or_not(
    end: CallFailure, result: str, adds: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    results, total = one_call(end, monkeypatch)
    assert results == [result]
    assert (total > 0) is adds


def test_an_emptied_counter_has_lost_its_counts() -> None:
    fleet = FaultyFleet(BUSY, [CounterReset(3000.0)])
    fleet.run(2.9999)
    assert counted(fleet) > 10
    fleet.run(0.0002)
    assert counted(fleet) < 2


def test_a_counter_back_with_an_old_copy_knows_what_it_knew_then() -> None:
    fleet = FaultyFleet(BUSY, [CounterRolledBack(4000.0, age_ms=2000.0)])
    fleet.run(2.0)
    then = counted(fleet)
    fleet.run(1.9999)
    before = counted(fleet)
    fleet.run(0.0002)
    assert then < before
    assert then <= counted(fleet) < before


def test_a_killed_gateway_is_passed_over_and_comes_back_knowing_nothing() -> None:
    fleet = FaultyFleet(BUSY, [Kill(1000.0, 1, 2000.0)])
    first = fleet.gateways[1]
    fleet.run(2.0)
    assert not first.alive and fleet.gateways[1] is first
    asked = first.requests
    fleet.run(1.5)
    assert fleet.gateways[1] is not first and fleet.gateways[1].alive
    assert first.requests == asked and fleet.gateways[1].requests > 0
    assert fleet.figures.unserved == 0


def test_a_gateway_that_is_cut_off_hears_nothing_until_it_is_back(monkeypatch: pytest.MonkeyPatch) -> None:
    one = dataclasses.replace(BUSY, gateways=1, replicas=1)
    fleet = FaultyFleet(one, [CounterUnreachable(0.0, 0, 5000.0), CounterUnreachable(1000.0, 0, 500.0)])
    replies = Replies(fleet, monkeypatch)
    fleet.run(4.99)
    assert counted(fleet) == 0
    assert set(replies.results) == {AttemptResult.TIMED_OUT, AttemptResult.CONNECT_FAILED}
    fleet.run(5.0)
    assert replies.results[-1] == AttemptResult.OK


def test_clocks_jump_forwards_or_are_off_from_the_start_and_never_run_backwards() -> None:
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


def test_traffic_that_moves_comes_to_one_gateway() -> None:
    one = dataclasses.replace(BUSY, customers=1)
    fleet = FaultyFleet(one, [TrafficMoved(0.0, 0, 2), TrafficMoved(4000.0, 0, None)])
    fleet.run(4.0)
    assert [gateway.requests > 0 for gateway in fleet.gateways] == [False, False, True]
    fleet.run(4.0)
    assert all(gateway.requests > 0 for gateway in fleet.gateways)


def test_faults_play_the_same_way_each_time() -> None:
    assert draw_schedule(7) == draw_schedule(7) != draw_schedule(8)
    assert play_schedule(7) == play_schedule(7)


def test_schedules_keep_to_their_bounds_and_draw_every_fault() -> None:
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


def test_the_seed_of_a_schedule_that_raises_is_kept() -> None:
    def inspect(gateway: CountingGateway) -> None:
        if gateway.requests >= 3 and gateway.number == 2:
            raise AssertionError("three requests")

    summary = play_schedules(2, 20, inspect)
    assert summary.failures == {20: "AssertionError: three requests", 21: "AssertionError: three requests"}


def test_a_check_sees_the_fleet_after_each_step() -> None:
    seen: list[int] = []
    fleet = CountingFleet(BUSY, check=lambda fleet: seen.append(fleet.figures.requests))
    fleet.run(1.0)
    assert seen and seen[-1] == fleet.figures.requests


@pytest.mark.parametrize("count", [0, MAX_SCHEDULES + 1])
def test_numbers_of_schedules_out_of_bounds_are_refused(count: int) -> None:
    with pytest.raises(ValueError, match=f"count: found {count}, allowed 1 to {MAX_SCHEDULES}"):
        play_schedules(count)


def test_a_spread_by_hand() -> None:
    assert Distribution.of([1.0, 2.0, 6.0]) == Distribution(mean=3.0, p99=pytest.approx(5.92), maximum=6.0)
