"""Random schedules of faults for gateways that share quotas, and statistics of their results.

A schedule has 2 to 5 customers, 3 to 24 gateways, up to six faults, and lasts 20 to 40 seconds. The same seed
gives the same schedule and the same result.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

import numpy as np

from hillmux.lab.random_streams import generator
from hillmux.lab.virtual.counter import CounterModel
from hillmux.lab.virtual.counting import UNLIMITED, CountingFleet, CountingGateway, CountingScenario
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
from hillmux.lab.virtual.counting_leases import StrandedLeases

DEFAULT_SCHEDULES: Final = 1000
MAX_SCHEDULES: Final = 10_000
MIN_GATEWAYS, MAX_GATEWAYS = 3, 24
MIN_CUSTOMERS, MAX_CUSTOMERS = 2, 5
MIN_LENGTH_S, MAX_LENGTH_S = 20.0, 40.0
MAX_FAULTS: Final = 6
LOAD_FACTORS: Final = (0.5, 0.9, 1.5, 3.5)  # requests as multiples of the customer's rate
MIN_RATE, MAX_RATE = 1.0, 3.0  # units per second
MIN_BURST_S, MAX_BURST_S = 1.0, 5.0  # burst divided by rate
LIMITED_SHARE: Final = 0.25  # share of schedules whose counter has a limited capacity
MIN_CALLS_PER_S, MAX_CALLS_PER_S = 20.0, 300.0  # capacity of such a counter
LONG_DISCONNECTION_MS: Final = 60_000.0  # longer than any schedule
CLOCK_OFFSET_MS: Final = 5_000.0  # clock offset from the start, of either sign


@dataclass(slots=True, frozen=True)
class Schedule:
    """A scenario with its faults and its length in virtual time."""

    scenario: CountingScenario
    faults: tuple[Fault, ...]
    length_s: float


def draw_schedule(seed: int) -> Schedule:
    """Draw the schedule of a seed."""
    draw = generator(seed, "schedule")
    gateways = int(draw.integers(MIN_GATEWAYS, MAX_GATEWAYS + 1))
    rate = float(draw.uniform(MIN_RATE, MAX_RATE))
    limited = draw.random() < LIMITED_SHARE
    scenario = CountingScenario(
        gateways=gateways,
        customers=int(draw.integers(MIN_CUSTOMERS, MAX_CUSTOMERS + 1)),
        replicas=int(draw.integers(MIN_GATEWAYS, gateways + 1)),
        requests_per_s=rate * float(draw.choice(LOAD_FACTORS)),
        rate=rate,
        burst=rate * float(draw.uniform(MIN_BURST_S, MAX_BURST_S)),
        seed=seed,
        counter=CounterModel(per_s=float(draw.uniform(MIN_CALLS_PER_S, MAX_CALLS_PER_S)))
        if limited
        else UNLIMITED,
    )
    length_s = float(draw.uniform(MIN_LENGTH_S, MAX_LENGTH_S))
    count = int(draw.integers(MAX_FAULTS + 1))
    return Schedule(scenario, tuple(_draw_fault(draw, scenario, length_s) for _ in range(count)), length_s)


def _draw_fault(draw: np.random.Generator, scenario: CountingScenario, length_s: float) -> Fault:
    at_ms = float(draw.uniform(0.0, 900.0 * length_s))
    gateway = int(draw.integers(scenario.gateways))
    kind = int(draw.integers(8))
    match kind:
        case 0:
            return Kill(at_ms, gateway, float(draw.uniform(0.0, 3000.0)))
        case 1:
            length_ms = LONG_DISCONNECTION_MS if draw.random() < 0.3 else float(draw.uniform(100.0, 10_000.0))
            return CounterUnreachable(at_ms, gateway, length_ms)
        case 2:
            failure = list(CallFailure)[int(draw.integers(len(CallFailure)))]
            return FailingCalls(
                at_ms, float(draw.uniform(500.0, 10_000.0)), float(draw.uniform(0.05, 1.0)), failure
            )
        case 3:
            return CounterReset(at_ms)
        case 4:
            return CounterRolledBack(at_ms)
        case 5:
            return ClockJump(at_ms, gateway, float(draw.uniform(100.0, 20_000.0)))
        case 6:
            return ClockJump(0.0, gateway, CLOCK_OFFSET_MS if draw.random() < 0.5 else -CLOCK_OFFSET_MS)
        case _:
            customer = int(draw.integers(scenario.customers))
            index = int(draw.integers(scenario.replicas))
            return TrafficMoved(at_ms, customer, (customer + index) % scenario.gateways)


@dataclass(slots=True, frozen=True)
class ScheduleResult:
    """The result of one schedule."""

    seed: int
    requests: int
    rejected_with_half_burst: int  # while the reference bucket held half a burst or more
    units_beyond_quota: tuple[float, ...]  # by customer
    burst: float  # of each customer's plan, in units
    refilled_units: float  # rate of each customer's plan, times the length of the schedule
    counter_calls: int = 0
    rejected_by_quota: int = 0
    stranded: float = 0.0  # share of the burst leased by other gateways, summed over rejections by quota
    max_stranded: float = 0.0  # largest such share at one rejection
    failure: str = ""  # type and message of the exception that ended the schedule, if any

    @property
    def max_share_of_burst(self) -> float:
        """Units beyond the quota of the customer with most of them, as a share of the burst."""
        return max(self.units_beyond_quota) / self.burst

    @property
    def max_share_of_refill(self) -> float:
        """Units beyond the quota of the customer with most of them, as a share of rate x time."""
        return max(self.units_beyond_quota) / self.refilled_units


@dataclass(slots=True, frozen=True)
class Distribution:
    """Mean, 99th percentile and maximum over schedules, or over customers of schedules."""

    mean: float
    p99: float
    maximum: float

    @classmethod
    def of(cls, values: Iterable[float]) -> Distribution:
        """Return the distribution of the values, of which there must be one or more."""
        array = np.fromiter(values, float)
        return cls(float(array.mean()), float(np.quantile(array, 0.99)), float(array.max()))


@dataclass(slots=True, frozen=True)
class ScheduleSummary:
    """The results of many schedules."""

    results: tuple[ScheduleResult, ...]

    @property
    def failures(self) -> dict[int, str]:
        """The exceptions that ended schedules, by seed."""
        return {result.seed: result.failure for result in self.results if result.failure}

    @property
    def units_beyond_quota(self) -> Distribution:
        """Units beyond the quota, over customers."""
        return Distribution.of(units for result in self.results for units in result.units_beyond_quota)

    @property
    def beyond_quota_of_burst(self) -> Distribution:
        """Each schedule's `max_share_of_burst`."""
        return Distribution.of(result.max_share_of_burst for result in self.results)

    @property
    def beyond_quota_of_refill(self) -> Distribution:
        """Each schedule's `max_share_of_refill`."""
        return Distribution.of(result.max_share_of_refill for result in self.results)

    @property
    def rejected_with_half_burst_share(self) -> float:
        """Share of requests rejected while the reference bucket held half a burst or more."""
        requests = sum(result.requests for result in self.results)
        return sum(result.rejected_with_half_burst for result in self.results) / max(requests, 1)

    @property
    def calls_per_request(self) -> float:
        """Calls to the counter per request."""
        return sum(result.counter_calls for result in self.results) / max(
            sum(result.requests for result in self.results), 1
        )

    @property
    def stranded_mean(self) -> float:
        """Share of the burst leased by other gateways, averaged over rejections by quota."""
        rejections = sum(result.rejected_by_quota for result in self.results)
        return sum(result.stranded for result in self.results) / max(rejections, 1)

    @property
    def max_stranded(self) -> float:
        """Largest share of the burst leased by other gateways at a rejection by quota."""
        return max(result.max_stranded for result in self.results)


def play_schedule(
    seed: int,
    inspect: Callable[[CountingGateway], None] | None = None,
    check: Callable[[CountingFleet], None] | None = None,
) -> ScheduleResult:
    """Run the schedule of a seed; an exception from `inspect`, `check` or the simulation ends it early."""
    schedule = draw_schedule(seed)
    scenario, failure = schedule.scenario, ""
    fleet = FaultyFleet(scenario, schedule.faults, inspect, check)
    stranded = StrandedLeases(fleet)
    fleet.rejection_observer = stranded.record_rejection
    try:
        fleet.run(schedule.length_s)
    except Exception as error:  # any exception is reported with its seed
        failure = f"{type(error).__name__}: {error}"
    return ScheduleResult(
        seed=seed,
        requests=fleet.figures.requests,
        rejected_with_half_burst=fleet.figures.rejected_with_half_burst,
        units_beyond_quota=tuple(customer.units_beyond_quota for customer in fleet.customers),
        burst=scenario.burst,
        refilled_units=scenario.rate * schedule.length_s,
        counter_calls=fleet.figures.counter_calls,
        rejected_by_quota=stranded.rejections,
        stranded=stranded.total_share,
        max_stranded=stranded.max_share,
        failure=failure,
    )


def play_schedules(
    count: int = DEFAULT_SCHEDULES,
    first_seed: int = 0,
    inspect: Callable[[CountingGateway], None] | None = None,
    check: Callable[[CountingFleet], None] | None = None,
) -> ScheduleSummary:
    """Run the schedules of `count` consecutive seeds.

    Raises:
        ValueError: `count` is 0, negative or above `MAX_SCHEDULES`.
    """
    if not 1 <= count <= MAX_SCHEDULES:
        raise ValueError(f"count: found {count}, allowed 1 to {MAX_SCHEDULES}")
    return ScheduleSummary(tuple(play_schedule(first_seed + i, inspect, check) for i in range(count)))
