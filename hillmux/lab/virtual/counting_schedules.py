"""Short schedules of faults for gateways that share quotas, drawn from seeds, and what they come to.

A schedule has a few customers, 3 to 24 gateways, up to six faults and 20 to 40 seconds. The same seed draws
and plays the same schedule each time.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

import numpy as np

from hillmux.lab.streams import generator
from hillmux.lab.virtual.counter import CounterModel
from hillmux.lab.virtual.counting import UNLIMITED, CountingFleet, HollowGateway, Scenario
from hillmux.lab.virtual.counting_faults import (
    BadCalls,
    BadEnd,
    ClockJump,
    CounterEmptied,
    CounterOldCopy,
    CutOff,
    Fault,
    FaultyFleet,
    Kill,
    TrafficMoves,
)
from hillmux.lab.virtual.counting_leases import StrandedLeases

SCHEDULES: Final = 1000
MOST_SCHEDULES: Final = 10_000
LEAST_GATEWAYS, MOST_GATEWAYS = 3, 24
LEAST_CUSTOMERS, MOST_CUSTOMERS = 2, 5
LEAST_S, MOST_S = 20.0, 40.0
MOST_FAULTS: Final = 6
USES: Final = (0.5, 0.9, 1.5, 3.5)  # what customers ask, in their rates
LEAST_RATE, MOST_RATE = 1.0, 3.0
LEAST_BURST_S, MOST_BURST_S = 1.0, 5.0  # in seconds of the rate
LIMITED_SHARE: Final = 0.25  # of schedules with a counter that takes only so many calls a second:
LEAST_PER_S, MOST_PER_S = 20.0, 300.0
LONG_CUT_OFF_MS: Final = 60_000.0  # to beyond the schedule's end
CLOCK_OFF_MS: Final = 5_000.0


@dataclass(slots=True, frozen=True)
class Schedule:
    """A scenario, its faults and its length."""

    scenario: Scenario
    faults: tuple[Fault, ...]
    length_s: float


def draw_schedule(seed: int) -> Schedule:
    """The schedule of a seed."""
    draw = generator(seed, "schedule")
    gateways = int(draw.integers(LEAST_GATEWAYS, MOST_GATEWAYS + 1))
    rate = float(draw.uniform(LEAST_RATE, MOST_RATE))
    limited = draw.random() < LIMITED_SHARE
    scenario = Scenario(
        gateways=gateways,
        customers=int(draw.integers(LEAST_CUSTOMERS, MOST_CUSTOMERS + 1)),
        width=int(draw.integers(LEAST_GATEWAYS, gateways + 1)),
        asked_per_s=rate * float(draw.choice(USES)),
        rate=rate,
        burst=rate * float(draw.uniform(LEAST_BURST_S, MOST_BURST_S)),
        seed=seed,
        counter=CounterModel(per_s=float(draw.uniform(LEAST_PER_S, MOST_PER_S))) if limited else UNLIMITED,
    )
    length_s = float(draw.uniform(LEAST_S, MOST_S))
    count = int(draw.integers(MOST_FAULTS + 1))
    return Schedule(scenario, tuple(_draw_fault(draw, scenario, length_s) for _ in range(count)), length_s)


def _draw_fault(draw: np.random.Generator, scenario: Scenario, length_s: float) -> Fault:
    at_ms = float(draw.uniform(0.0, 900.0 * length_s))
    gateway = int(draw.integers(scenario.gateways))
    kind = int(draw.integers(8))
    match kind:
        case 0:
            return Kill(at_ms, gateway, float(draw.uniform(0.0, 3000.0)))
        case 1:
            length_ms = LONG_CUT_OFF_MS if draw.random() < 0.3 else float(draw.uniform(100.0, 10_000.0))
            return CutOff(at_ms, gateway, length_ms)
        case 2:
            end = list(BadEnd)[int(draw.integers(len(BadEnd)))]
            return BadCalls(at_ms, float(draw.uniform(500.0, 10_000.0)), float(draw.uniform(0.05, 1.0)), end)
        case 3:
            return CounterEmptied(at_ms)
        case 4:
            return CounterOldCopy(at_ms)
        case 5:
            return ClockJump(at_ms, gateway, float(draw.uniform(100.0, 20_000.0)))
        case 6:
            return ClockJump(0.0, gateway, CLOCK_OFF_MS if draw.random() < 0.5 else -CLOCK_OFF_MS)
        case _:
            customer = int(draw.integers(scenario.customers))
            place = int(draw.integers(scenario.width))
            return TrafficMoves(at_ms, customer, (customer + place) % scenario.gateways)


@dataclass(slots=True, frozen=True)
class Played:
    """What one schedule came to; units by customer."""

    seed: int
    requests: int
    refused_with_room: int  # the true store held half a burst or more
    beyond: tuple[float, ...]  # units beyond the quota
    burst: float
    earned: float  # rate x time
    calls: int = 0
    refused_by_quota: int = 0
    stranded: float = 0.0  # bursts in leases of others, summed over refusals by quota
    stranded_most: float = 0.0  # the same at one refusal
    failure: str = ""  # what the inspection, or the program, raised

    @property
    def most_of_burst(self) -> float:
        """Units beyond the quota of the worst customer, as a share of the burst."""
        return max(self.beyond) / self.burst

    @property
    def most_of_earned(self) -> float:
        """The same as a share of rate x time."""
        return max(self.beyond) / self.earned


@dataclass(slots=True, frozen=True)
class Spread:
    """A distribution over schedules, or over customers of schedules."""

    mean: float
    p99: float
    most: float

    @classmethod
    def of(cls, values: Iterable[float]) -> Spread:
        """Of some values, one or more."""
        found = np.fromiter(values, float)
        return cls(float(found.mean()), float(np.quantile(found, 0.99)), float(found.max()))


@dataclass(slots=True, frozen=True)
class Summary:
    """What many schedules came to."""

    played: tuple[Played, ...]

    @property
    def failures(self) -> dict[int, str]:
        """What was raised, by the seed that plays it again."""
        return {one.seed: one.failure for one in self.played if one.failure}

    @property
    def beyond_units(self) -> Spread:
        """Units beyond the quota, over customers."""
        return Spread.of(units for one in self.played for units in one.beyond)

    @property
    def beyond_of_burst(self) -> Spread:
        """Units beyond the quota of a schedule's worst customer, as a share of its burst."""
        return Spread.of(one.most_of_burst for one in self.played)

    @property
    def beyond_of_earned(self) -> Spread:
        """The same as a share of rate x time."""
        return Spread.of(one.most_of_earned for one in self.played)

    @property
    def refused_with_room_share(self) -> float:
        """Requests refused while the true store held half a burst or more, as a share of all."""
        requests = sum(one.requests for one in self.played)
        return sum(one.refused_with_room for one in self.played) / max(requests, 1)

    @property
    def calls_per_request(self) -> float:
        """Calls to the counter."""
        return sum(one.calls for one in self.played) / max(sum(one.requests for one in self.played), 1)

    @property
    def stranded_mean(self) -> float:
        """Bursts in leases of other gateways, the mean over refusals by quota."""
        refusals = sum(one.refused_by_quota for one in self.played)
        return sum(one.stranded for one in self.played) / max(refusals, 1)

    @property
    def stranded_most(self) -> float:
        """The same at the worst refusal."""
        return max(one.stranded_most for one in self.played)


def play_schedule(
    seed: int,
    inspect: Callable[[HollowGateway], None] | None = None,
    check: Callable[[CountingFleet], None] | None = None,
) -> Played:
    """Play the schedule of a seed; it ends early where `inspect`, `check` or the program raises."""
    schedule = draw_schedule(seed)
    scenario, failure = schedule.scenario, ""
    fleet = FaultyFleet(scenario, schedule.faults, inspect, check)
    stranded = StrandedLeases(fleet)
    fleet.refusal_watch = stranded.refused
    try:
        fleet.run(schedule.length_s)
    except Exception as error:  # whatever it is, its seed is to be known
        failure = f"{type(error).__name__}: {error}"
    return Played(
        seed=seed,
        requests=fleet.figures.requests,
        refused_with_room=fleet.figures.refused_with_half,
        beyond=tuple(customer.beyond for customer in fleet.customers),
        burst=scenario.burst,
        earned=scenario.rate * schedule.length_s,
        calls=fleet.figures.calls,
        refused_by_quota=stranded.refusals,
        stranded=stranded.total,
        stranded_most=stranded.most,
        failure=failure,
    )


def play_schedules(
    count: int = SCHEDULES,
    first_seed: int = 0,
    inspect: Callable[[HollowGateway], None] | None = None,
    check: Callable[[CountingFleet], None] | None = None,
) -> Summary:
    """Play the schedules of so many seeds in a row.

    Raises:
        ValueError: none, or more than `MOST_SCHEDULES`.
    """
    if not 1 <= count <= MOST_SCHEDULES:
        raise ValueError(f"count: found {count}, allowed 1 to {MOST_SCHEDULES}")
    return Summary(tuple(play_schedule(first_seed + i, inspect, check) for i in range(count)))
