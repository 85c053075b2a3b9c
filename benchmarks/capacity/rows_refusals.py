"""Rows of what clients and hosts see of the counting: refusals, and units beyond quotas."""

from __future__ import annotations

from benchmarks.capacity.assumptions import (
    GATEWAYS_OF_A_ZONE,
    GATEWAYS_SEEING_A_CUSTOMER,
    PART_WITHOUT_COUNTER,
    REGIONS_APART_S,
)
from benchmarks.capacity.row import Reading, Resource, Role, Row, at, largest
from benchmarks.capacity.situations import MACHINE, PEAK, REGIONS, RESTART, Situation
from benchmarks.capacity.terms import COUNTER, SEEING, USE

CROWDED_CUSTOMERS = 4_000  # as many a gateway as at the full size, with 48 gateways
SPLIT = "the even split of a counter that does not answer (`quotas/`)"


def share(situation: Situation, what: str, reading: Reading, mechanism: str, unit: str = "of all") -> Row:
    """What was measured and has no budget."""
    return Row(
        role=Role.GATEWAY,
        resource=Resource.REFUSALS,
        situation=situation,
        what=what,
        unit=unit,
        budget=None,
        worked="as measured",
        mechanism=mechanism,
        readings=(reading,),
        formula=lambda value: value,
    )


ONE_SET = tuple(
    share(
        PEAK,
        f"{what}, {USE[load]}, a customer seen by {SEEING}",
        at(f"counting.{load}.{figure}", SEEING),
        COUNTER,
    )
    for load in ("half", "ninety", "flood")
    for what, figure in (("requests refused", "refused_share"), ("units beyond quotas", "beyond_share"))
)
CROWDED = tuple(
    share(
        PEAK,
        f"{what}, 48 gateways on a counter of 600 calls/s",
        at(f"counting.crowded.{figure}", CROWDED_CUSTOMERS),
        SPLIT,
    )
    for what, figure in (
        ("calls to the counter that are answered", "answered_share"),
        ("requests refused with room", "refused_with_room_share"),
        ("units beyond quotas", "beyond_share"),
    )
)
RESTARTED = (
    share(
        RESTART,
        "requests refused by the restarted in their first 10 s",
        at("counting.burst_of_starts.refused_share_first_10_s", GATEWAYS_OF_A_ZONE.value),
        COUNTER,
    ),
)
APART = tuple(
    Row(
        role=Role.GATEWAY,
        resource=Resource.REFUSALS,
        situation=REGIONS,
        what=what,
        unit="of all",
        budget=None,
        worked=f"as measured: every second gateway of a customer without the counter, {SEEING} in all",
        mechanism=SPLIT,
        readings=(at(f"counting.regions.{figure}", SEEING),),
        formula=lambda value: value,
        assumed=(PART_WITHOUT_COUNTER, REGIONS_APART_S, GATEWAYS_SEEING_A_CUSTOMER),
    )
    for what, figure in (
        (f"requests refused, {USE['half']}", "refused_share"),
        (f"units beyond quotas, {USE['flood']}", "beyond_share"),
    )
)
SCHEDULES = share(
    MACHINE,
    "units beyond quotas of a customer, 99th of 100: drawn faults, far more often than in service",
    largest("counting.schedules.beyond_of_burst_p99"),
    COUNTER,
    "bursts",
)

ROWS = (*ONE_SET, *CROWDED, *RESTARTED, SCHEDULES, *APART)
