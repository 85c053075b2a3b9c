"""Schedules of faults, drawn from seeds: what holds in each gateway after each event, and in the fleet."""

from __future__ import annotations

import functools
import math

import pytest

from hillmux.lab.virtual.counting import CountingFleet, CountingScenario
from hillmux.lab.virtual.counting_checks import BrokenInvariantError, check_leases
from hillmux.lab.virtual.counting_faults import Kill
from hillmux.lab.virtual.counting_leases import StrandedLeases, leased_elsewhere
from hillmux.lab.virtual.counting_schedules import Schedule, ScheduleResult, draw_schedule, play_schedule
from hillmux.quotas import batches, lease, window

SEEDS = range(40)
KEPT_SEEDS = (20345,)  # that failed once: a lease drawn away from the limit, and checked by the bound near it
REQUEST_UNITS = 1.0
FLEET = CountingScenario(
    gateways=8, customers=12, replicas=8, requests_per_s=6.9, rate=4.6, burst=27.6, seed=1
)


@functools.cache
def played(seed: int) -> ScheduleResult:
    return play_schedule(seed, inspect=check_leases)


def blind_units(schedule: Schedule) -> float:
    """Units of one customer that a fleet may let in beyond its quota: the sum of its gateways' bounds.

    In each window, and in each life, a gateway sends one part of the burst and one unit before a total tells
    it of the others'. A schedule begins and ends within windows.

    A counter that loses counts or calls for seconds hides more. Of seeds 0 to 999 seven exceed the sum, by up
    to 1.64 times: 281, 617, 789, 825, 853, 947 and 949, all in floods of 3.5 rates under such faults.
    """
    scenario = schedule.scenario
    width = min(scenario.replicas, scenario.gateways)
    lives = width + sum(isinstance(fault, Kill) for fault in schedule.faults)
    windows = schedule.length_s * scenario.rate / (window.BURSTS_PER_WINDOW * scenario.burst)
    return lives * (math.floor(windows) + 2) * (REQUEST_UNITS + scenario.burst / batches.divisor(width))


@pytest.mark.parametrize("seed", [*SEEDS, *KEPT_SEEDS])
def test_amounts_are_finite_and_leases_and_unreported_use_within_their_bounds(seed: int) -> None:
    assert played(seed).failure == ""


@pytest.mark.parametrize("seed", SEEDS)
def test_the_fleet_sends_no_more_beyond_the_quota_than_its_gateways_may_blind(seed: int) -> None:
    assert max(played(seed).units_beyond_quota) <= blind_units(draw_schedule(seed))


@pytest.mark.parametrize("seed", SEEDS[:4])
def test_a_schedule_is_played_the_same_way_each_time(seed: int) -> None:
    assert play_schedule(seed, inspect=check_leases) == played(seed) == play_schedule(seed)


@pytest.mark.parametrize(
    ("field", "value", "told"),
    [
        ("used", math.nan, "used: nan"),
        ("reported", 1e6, "lease of"),
        ("used", 1e6, "units unreported"),
    ],
)
def test_broken_invariant_is_reported(field: str, value: float, told: str) -> None:
    fleet = CountingFleet(FLEET)
    fleet.run(5.0)
    gateway = fleet.gateways[0]
    check_leases(gateway)
    states = gateway.gateway.quotas.registry.states.values()
    state = next(state for state in states if state.lease_confirmed and not state.call_open)
    setattr(state, field, value)
    with pytest.raises(BrokenInvariantError, match=told):
        check_leases(gateway)


# Requests in rates of the plan; the most in leases elsewhere at one refusal and in the mean, in bursts.
# Measured for seeds 1 and 2: none at 0.9; 0.145, 0.175 and 0.026 at 1.5; 0.254 and 0.109 at 3.5.
@pytest.mark.parametrize(("use", "mean"), [(0.9, 0.01), (1.5, 0.032), (3.5, 0.131)])
def test_what_is_stranded_in_leases_while_others_refuse(use: float, mean: float) -> None:
    """In line stands what refills in `MAX_WAIT_MS`, and one request a gateway that is next in its turn.

    Customers are seen evenly here, so next to nothing is drawn ahead. More would stand in line by that.
    """
    scenario = CountingScenario(
        gateways=8, customers=12, replicas=8, requests_per_s=4.6 * use, rate=4.6, burst=27.6, seed=1
    )
    fleet = CountingFleet(scenario)
    fleet.run(20.0)
    watch = StrandedLeases(fleet)
    fleet.rejection_observer = watch.record_rejection
    fleet.run(30.0)
    in_line = scenario.rate * lease.MAX_WAIT_MS / 1000 + (scenario.gateways - 1) * REQUEST_UNITS
    assert watch.max_share <= in_line / scenario.burst
    assert watch.total_share <= mean * max(watch.rejections, 1)


def test_leases_elsewhere_by_hand() -> None:
    fleet = CountingFleet(FLEET)
    customer = fleet.customers[0]
    for place in (0, 1):
        fleet.request(customer, place)
        fleet.run(0.3)
    key = (customer.name, "plan")
    first, second = (fleet.gateways[i].gateway.quotas.registry.states[key] for i in (0, 1))
    assert not first.call_open and not second.call_open
    before = leased_elsewhere(fleet, fleet.gateways[1], customer)
    first.reported += 2.5
    assert leased_elsewhere(fleet, fleet.gateways[1], customer) == pytest.approx(before + 2.5)
    first.window -= 1  # of another window: nobody has taken it off in this one
    others = leased_elsewhere(fleet, fleet.gateways[1], customer)
    assert others <= before
