"""Short schedules of faults for gateways that share quotas, drawn from seeds, and what they come to.

A schedule has a few customers, 3 to 24 gateways, up to six faults and 20 to 40 seconds. The same seed draws
and plays the same schedule each time.
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

SCHEDULES: Final = 1000
MAX_SCHEDULES: Final = 10_000
MIN_GATEWAYS, MAX_GATEWAYS = 3, 24
MIN_CUSTOMERS, MAX_CUSTOMERS = 2, 5
MIN_LENGTH_S, MAX_LENGTH_S = 20.0, 40.0
MAX_FAULTS: Final = 6
LOADS: Final = (0.5, 0.9, 1.5, 3.5)  # what customers ask, in their rates
MIN_RATE, MAX_RATE = 1.0, 3.0
MIN_BURST_S, MAX_BURST_S = 1.0, 5.0  # in seconds of the rate
LIMITED_SHARE: Final = 0.25  # of schedules with a counter that takes only so many calls a second:
MIN_CALLS_PER_S, MAX_CALLS_PER_S = 20.0, 300.0
LONG_DISCONNECTION_MS: Final = 60_000.0  # to beyond the schedule's end
CLOCK_OFFSET_MS: Final = 5_000.0


@dataclass(slots=True, frozen=True)
class Schedule:
    """A scenario, its faults and its length."""

    scenario: CountingScenario
    faults: tuple[Fault, ...]
    length_s: float


def draw_schedule(seed: int) -> Schedule:
    """The schedule of a seed."""
    draw = generator(seed, "schedule")
    gateways = int(draw.integers(MIN_GATEWAYS, MAX_GATEWAYS + 1))
    rate = float(draw.uniform(MIN_RATE, MAX_RATE))
    limited = draw.random() < LIMITED_SHARE
    scenario = CountingScenario(
        gateways=gateways,
        customers=int(draw.integers(MIN_CUSTOMERS, MAX_CUSTOMERS + 1)),
        replicas=int(draw.integers(MIN_GATEWAYS, gateways + 1)),
        requests_per_s=rate * float(draw.choice(LOADS)),
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
            end = list(CallFailure)[int(draw.integers(len(CallFailure)))]
            return FailingCalls(
                at_ms, float(draw.uniform(500.0, 10_000.0)), float(draw.uniform(0.05, 1.0)), end
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
            place = int(draw.integers(scenario.replicas))
            return TrafficMoved(at_ms, customer, (customer + place) % scenario.gateways)


@dataclass(slots=True, frozen=True)
class ScheduleResult:
    """What one schedule came to; units by customer."""

    seed: int
    requests: int
    rejected_with_half_burst: int  # the true store held half a burst or more
    units_beyond_quota: tuple[float, ...]  # units beyond the quota
    burst: float
    refilled_units: float  # rate x time
    counter_calls: int = 0
    rejected_by_quota: int = 0
    stranded: float = 0.0  # bursts in leases of others, summed over refusals by quota
    max_stranded: float = 0.0  # the same at one refusal
    failure: str = ""  # what the inspection, or the program, raised

    @property
    def max_share_of_burst(self) -> float:
        """Units beyond the quota of the worst customer, as a share of the burst."""
        return max(self.units_beyond_quota) / self.burst

    @property
    def max_share_of_refill(self) -> float:
        """The same as a share of rate x time."""
        return max(self.units_beyond_quota) / self.refilled_units


@dataclass(slots=True, frozen=True)
class Distribution:
    """A distribution over schedules, or over customers of schedules."""

    mean: float
    p99: float
    maximum: float

    @classmethod
    def of(cls, values: Iterable[float]) -> Distribution:
        """Of some values, one or more."""
        found = np.fromiter(values, float)
        return cls(float(found.mean()), float(np.quantile(found, 0.99)), float(found.max()))


@dataclass(slots=True, frozen=True)
class ScheduleSummary:
    """What many schedules came to."""

    results: tuple[ScheduleResult, ...]

    @property
    def failures(self) -> dict[int, str]:
        """What was raised, by the seed that plays it again."""
        return {one.seed: one.failure for one in self.results if one.failure}

    @property
    def units_beyond_quota(self) -> Distribution:
        """Units beyond the quota, over customers."""
        return Distribution.of(units for one in self.results for units in one.units_beyond_quota)

    @property
    def beyond_quota_of_burst(self) -> Distribution:
        """Units beyond the quota of a schedule's worst customer, as a share of its burst."""
        return Distribution.of(one.max_share_of_burst for one in self.results)

    @property
    def beyond_quota_of_refill(self) -> Distribution:
        """The same as a share of rate x time."""
        return Distribution.of(one.max_share_of_refill for one in self.results)

    @property
    def rejected_with_half_burst_share(self) -> float:
        """Requests refused while the true store held half a burst or more, as a share of all."""
        requests = sum(one.requests for one in self.results)
        return sum(one.rejected_with_half_burst for one in self.results) / max(requests, 1)

    @property
    def calls_per_request(self) -> float:
        """Calls to the counter."""
        return sum(one.counter_calls for one in self.results) / max(
            sum(one.requests for one in self.results), 1
        )

    @property
    def stranded_mean(self) -> float:
        """Bursts in leases of other gateways, the mean over refusals by quota."""
        refusals = sum(one.rejected_by_quota for one in self.results)
        return sum(one.stranded for one in self.results) / max(refusals, 1)

    @property
    def max_stranded(self) -> float:
        """The same at the worst refusal."""
        return max(one.max_stranded for one in self.results)


def play_schedule(
    seed: int,
    inspect: Callable[[CountingGateway], None] | None = None,
    check: Callable[[CountingFleet], None] | None = None,
) -> ScheduleResult:
    """Play the schedule of a seed; it ends early where `inspect`, `check` or the program raises."""
    schedule = draw_schedule(seed)
    scenario, failure = schedule.scenario, ""
    fleet = FaultyFleet(scenario, schedule.faults, inspect, check)
    stranded = StrandedLeases(fleet)
    fleet.rejection_observer = stranded.record_rejection
    try:
        fleet.run(schedule.length_s)
    except Exception as error:  # whatever it is, its seed is to be known
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
    count: int = SCHEDULES,
    first_seed: int = 0,
    inspect: Callable[[CountingGateway], None] | None = None,
    check: Callable[[CountingFleet], None] | None = None,
) -> ScheduleSummary:
    """Play the schedules of so many seeds in a row.

    Raises:
        ValueError: none, or more than `MOST_SCHEDULES`.
    """
    if not 1 <= count <= MAX_SCHEDULES:
        raise ValueError(f"count: found {count}, allowed 1 to {MAX_SCHEDULES}")
    return ScheduleSummary(tuple(play_schedule(first_seed + i, inspect, check) for i in range(count)))
