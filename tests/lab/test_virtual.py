"""Whole days in virtual time: the same every time, and many gateways together keep to quotas and ceilings."""

from __future__ import annotations

import pytest

from yewstage.lab.traffic import ClassTraffic, PlanTraffic, TrafficModel, tries
from yewstage.lab.virtual.counter import CounterModel
from yewstage.lab.virtual.world import DayModel, World

READ = ClassTraffic("read", 0.7, 300.0, 5000.0, 20_000.0, 3.0)
BOOK = ClassTraffic("book", 0.3, 200.0, 4000.0, 12_000.0, 2.0, "keyed", 8000.0)
WIDE = PlanTraffic("wide", 0.5, 13.0, 30.0, width=24)
CAPPED = PlanTraffic("capped", 0.5, 3.2, 17.0, ceiling=1.9, width=4)


def day(**changes: float) -> World:
    traffic = TrafficModel(per_s=150.0, length_s=5.0, plans=(WIDE, CAPPED), classes=(READ, BOOK), **changes)
    return World(DayModel(24, 40, traffic, counter=CounterModel(5000.0)), seed=3)


def test_a_seed_gives_the_same_day() -> None:
    assert day().run() == day().run()


def test_first_tries_do_not_depend_on_what_is_played() -> None:
    traffic = TrafficModel(per_s=50.0, length_s=2.0, plans=(WIDE,), classes=(READ,))
    asked = tries(traffic, 10, 1)
    assert [(t.at_ms, t.gateway, t.units) for t in asked] == [(t.at_ms, t.gateway, t.units)
                                                             for t in tries(traffic, 10, 1)]
    assert {t.gateway for t in asked} == set(range(10))


def test_customers_seen_seldom_at_each_gateway_are_let_in() -> None:
    """Nobody asks for more than its rate, and each total is the first that a gateway reads in its window."""
    world = day(heavy=0.0, full=0.0)
    figures = world.run()
    assert world.counter_unheard == 0
    assert figures.first > 500
    assert world.causes["quota"] <= 0.02 * figures.first


def test_a_ceiling_holds_over_gateways_that_are_killed_and_start_anew() -> None:
    world = day(heavy=0.6, heavy_x=6.0)
    for at in (1.0, 2.0, 3.0):
        world.run(at)
        for number in range(0, 24, 2):
            world.kill(number)
            world.start(number)
    figures = world.run()
    assert figures.reset > 0
    assert figures.lowest_ceiling >= -max(0.1 * CAPPED.ceiling * CAPPED.burst, 4.0)


def test_a_host_that_drains_gets_nothing_new_after_the_lists() -> None:
    world = day()
    world.run(2.0)
    world.drain_host("h0")
    world.run(4.1)
    host = world.hosts["h0"]
    before = host.work_done + sum(job.work for job in host._running) + sum(job.work for job in host.line)
    world.run()
    assert host.work_done <= before


@pytest.mark.parametrize("lost", [True, False])
def test_a_counter_that_comes_back_empty_is_counted_on_again(lost: bool) -> None:
    world = day()
    world.run(1.5)
    known = world.counter.copy()
    world.counter.stop()
    world.run(2.5)
    world.counter.start(None if lost else known)
    served = world.counter.served
    world.run()
    assert world.counter_unheard > 0 and world.counter.served > served
