"""A hollow probe of both regions apart: half of each customer's gateways do not reach the counter."""

from __future__ import annotations

from benchmarks.capacity.probe import GATEWAY, Probe, Values
from benchmarks.capacity.size import FULL
from hillmux.lab.virtual.counting import CountingFigures, CountingScenario
from hillmux.lab.virtual.counting_faults import CounterUnreachable, FaultyFleet

ASKED_PER_S = 2.3  # requests a second of one customer
BURST_S = 4.6  # burst of a plan, in seconds of its rate
CUSTOMERS = 48
WARM_S = 30.0
APART_S = 120.0  # a dozen windows of the plans: the shares are steady
HALF, FLOOD = 0.5, 3.5  # what is asked, in rates


def play(width: int, load: float, seed: int, apart_s: float = APART_S) -> CountingFigures:
    """What is seen while every second gateway of a set of `width` is cut off from the counter."""
    rate = ASKED_PER_S / HALF
    scenario = CountingScenario(width, CUSTOMERS, width, load * rate, rate, BURST_S * rate, seed)
    cut = range(0, width, FULL.regions)
    fleet = FaultyFleet(
        scenario, [CounterUnreachable(1_000 * WARM_S, number, 1_000 * apart_s) for number in cut]
    )
    fleet.run(WARM_S)
    fleet.begin_measuring()
    return fleet.run(apart_s)


def measure(width: int, seed: int) -> Values:
    """Half of each quota used, and a flood."""
    half, flood = play(width, HALF, seed), play(width, FLOOD, seed)
    return {
        "counting.regions.refused_share": half.rejected / half.requests,
        "counting.regions.beyond_share": flood.units_beyond_quota / flood.units_forwarded,
    }


PROBES = (
    Probe(
        name="counting.regions",
        role=GATEWAY,
        axis="gateways that serve a customer, every second one without the counter",
        sizes=(2, 4, 8, 24),
        figures={
            "counting.regions.refused_share": "share of requests, half of each quota used",
            "counting.regions.beyond_share": "share of units sent, in a flood of 3.5 times the quotas",
        },
        measure=measure,
        small=2,
        note="48 customers, 120 s apart; a customer's gateways stand in both regions by turns",
    ),
)
