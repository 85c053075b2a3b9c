"""A hollow probe of a partition of the regions: half of each customer's gateways do not reach the counter."""

from __future__ import annotations

from benchmarks.capacity.probe import GATEWAY, Probe, Values
from benchmarks.capacity.size import FULL
from hillmux.lab.virtual.counting import CountingFigures, CountingScenario
from hillmux.lab.virtual.counting_faults import CounterUnreachable, FaultyFleet

REQUESTS_PER_CUSTOMER_PER_S = 2.3  # requests a second of one customer
BURST_S = 4.6  # burst of a plan, in seconds of its rate
CUSTOMERS = 48
WARM_S = 30.0
PARTITION_S = 120.0  # a dozen windows of the plans, enough for stable shares
HALF_LOAD, FLOOD_LOAD = 0.5, 3.5  # requests as a multiple of the plan's rate


def run_partition(replicas: int, load: float, seed: int, partition_s: float = PARTITION_S) -> CountingFigures:
    """Run `replicas` gateways for `partition_s` seconds while every second one does not reach the counter."""
    rate = REQUESTS_PER_CUSTOMER_PER_S / HALF_LOAD
    scenario = CountingScenario(replicas, CUSTOMERS, replicas, load * rate, rate, BURST_S * rate, seed)
    isolated = range(0, replicas, FULL.regions)
    fleet = FaultyFleet(
        scenario,
        [
            CounterUnreachable(1_000 * WARM_S, gateway_index, 1_000 * partition_s)
            for gateway_index in isolated
        ],
    )
    fleet.run(WARM_S)
    fleet.begin_measuring()
    return fleet.run(partition_s)


def measure(replicas: int, seed: int) -> Values:
    """Measure rejections with half of each quota used, and units beyond the quota in a flood."""
    half, flood = run_partition(replicas, HALF_LOAD, seed), run_partition(replicas, FLOOD_LOAD, seed)
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
