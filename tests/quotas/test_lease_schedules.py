"""Random schedules of faults: invariants of each gateway after each event, and of the whole fleet."""

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
# 20345 failed once: a lease prefetched away from the limit was checked against the bound near the limit.
REGRESSION_SEEDS = (20345,)
REQUEST_UNITS = 1.0
FLEET = CountingScenario(
    gateways=8, customers=12, replicas=8, requests_per_s=6.9, rate=4.6, burst=27.6, seed=1
)


@functools.cache
def cached_result(seed: int) -> ScheduleResult:
    return play_schedule(seed, inspect=check_leases)


def max_units_beyond_quota(schedule: Schedule) -> float:
    """Return the units that a fleet may admit beyond a customer's quota: the sum of its gateways' bounds.

    In each window, and after each start, a gateway sends one part of the burst and one unit before a total
    shows it the others' use. A schedule begins and ends within windows.

    A counter that loses counts or calls for seconds hides more use. Of seeds 0 to 999 seven exceed the sum,
    by up to 1.64 times: 281, 617, 789, 825, 853, 947 and 949, all with requests at 3.5 times the plan's rate
    under such faults.
    """
    scenario = schedule.scenario
    gateway_count = min(scenario.replicas, scenario.gateways)
    starts = gateway_count + sum(isinstance(fault, Kill) for fault in schedule.faults)
    windows = schedule.length_s * scenario.rate / (window.BURSTS_PER_WINDOW * scenario.burst)
    return (
        starts * (math.floor(windows) + 2) * (REQUEST_UNITS + scenario.burst / batches.divisor(gateway_count))
    )


@pytest.mark.parametrize("seed", [*SEEDS, *REGRESSION_SEEDS])
def test_amounts_are_finite_and_leases_and_unreported_use_are_within_bounds(seed: int) -> None:
    assert cached_result(seed).failure == ""


@pytest.mark.parametrize("seed", SEEDS)
def test_fleet_exceeds_a_quota_by_at_most_the_sum_of_its_gateways_bounds(seed: int) -> None:
    assert max(cached_result(seed).units_beyond_quota) <= max_units_beyond_quota(draw_schedule(seed))


@pytest.mark.parametrize("seed", SEEDS[:4])
def test_schedule_gives_the_same_result_each_time(seed: int) -> None:
    assert play_schedule(seed, inspect=check_leases) == cached_result(seed) == play_schedule(seed)


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


# Requests as a multiple of the plan's rate; mean units in leases elsewhere at a rejection, in bursts.
# With seeds 1 and 2, largest and mean: none at 0.9; 0.145, 0.175 and 0.026 at 1.5; 0.254 and 0.109 at 3.5.
@pytest.mark.parametrize(("use", "mean"), [(0.9, 0.01), (1.5, 0.032), (3.5, 0.131)])
def test_units_leased_elsewhere_at_a_rejection_are_bounded(use: float, mean: float) -> None:
    """The queue holds the refill of `MAX_WAIT_MS`, and one request per gateway that is next in its turn.

    Each gateway serves an even share here, so almost nothing is prefetched; prefetched units would add to it.
    """
    scenario = CountingScenario(
        gateways=8, customers=12, replicas=8, requests_per_s=4.6 * use, rate=4.6, burst=27.6, seed=1
    )
    fleet = CountingFleet(scenario)
    fleet.run(20.0)
    stranded_leases = StrandedLeases(fleet)
    fleet.rejection_observer = stranded_leases.record_rejection
    fleet.run(30.0)
    queued_units = scenario.rate * lease.MAX_WAIT_MS / 1000 + (scenario.gateways - 1) * REQUEST_UNITS
    assert stranded_leases.max_share <= queued_units / scenario.burst
    assert stranded_leases.total_share <= mean * max(stranded_leases.rejections, 1)


def test_leased_elsewhere_counts_only_leases_of_the_current_window() -> None:
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
    first.window -= 1  # a lease of another window, which no gateway has subtracted in this one
    others = leased_elsewhere(fleet, fleet.gateways[1], customer)
    assert others <= before
