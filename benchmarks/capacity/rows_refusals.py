"""Rows of what clients and hosts see of quotas: rejected requests, and units beyond quotas."""

from __future__ import annotations

from benchmarks.capacity.assumptions import (
    GATEWAYS_PER_CUSTOMER,
    GATEWAYS_PER_ZONE,
    REGION_PARTITION_S,
    SHARE_WITHOUT_COUNTER,
)
from benchmarks.capacity.row import Reading, Resource, Role, Row, at_size, largest
from benchmarks.capacity.row_constants import COUNTER_MECHANISM, LOAD_LABELS, REPLICAS
from benchmarks.capacity.situations import MACHINE_LOSS, PEAK, REGION_PARTITION, ZONE_RESTART, Situation

CROWDED_CUSTOMERS = 4_000  # on 48 gateways: the same number per gateway as at full size
EVEN_SPLIT_MECHANISM = "the even split of a counter that does not answer (`quotas/`)"


def unbudgeted_row(
    situation: Situation, what: str, reading: Reading, mechanism: str, unit: str = "of all"
) -> Row:
    """Row of a measured figure without a budget."""
    return Row(
        role=Role.GATEWAY,
        resource=Resource.REFUSALS,
        situation=situation,
        what=what,
        unit=unit,
        budget=None,
        derivation="as measured",
        mechanism=mechanism,
        readings=(reading,),
        formula=lambda value: value,
    )


REPLICA_SET = tuple(
    unbudgeted_row(
        PEAK,
        f"{what}, {LOAD_LABELS[load]}, a customer seen by {REPLICAS}",
        at_size(f"counting.{load}.{figure}", REPLICAS),
        COUNTER_MECHANISM,
    )
    for load in ("half", "ninety", "flood")
    for what, figure in (("requests refused", "refused_share"), ("units beyond quotas", "beyond_share"))
)
CROWDED = tuple(
    unbudgeted_row(
        PEAK,
        f"{what}, 48 gateways on a counter of 600 calls/s",
        at_size(f"counting.crowded.{figure}", CROWDED_CUSTOMERS),
        EVEN_SPLIT_MECHANISM,
    )
    for what, figure in (
        ("calls to the counter that are answered", "answered_share"),
        ("requests refused with room", "refused_with_room_share"),
        ("units beyond quotas", "beyond_share"),
    )
)
RESTARTED = (
    unbudgeted_row(
        ZONE_RESTART,
        "requests refused by the restarted in their first 10 s",
        at_size("counting.burst_of_starts.refused_share_first_10_s", GATEWAYS_PER_ZONE.value),
        COUNTER_MECHANISM,
    ),
)
PARTITION = tuple(
    Row(
        role=Role.GATEWAY,
        resource=Resource.REFUSALS,
        situation=REGION_PARTITION,
        what=what,
        unit="of all",
        budget=None,
        derivation=f"as measured: every second gateway of a customer without the counter, {REPLICAS} in all",
        mechanism=EVEN_SPLIT_MECHANISM,
        readings=(at_size(f"counting.regions.{figure}", REPLICAS),),
        formula=lambda value: value,
        assumed=(SHARE_WITHOUT_COUNTER, REGION_PARTITION_S, GATEWAYS_PER_CUSTOMER),
    )
    for what, figure in (
        (f"requests refused, {LOAD_LABELS['half']}", "refused_share"),
        (f"units beyond quotas, {LOAD_LABELS['flood']}", "beyond_share"),
    )
)
SCHEDULES = unbudgeted_row(
    MACHINE_LOSS,
    "units beyond quotas of a customer, 99th of 100: drawn faults, far more often than in service",
    largest("counting.schedules.beyond_of_burst_p99"),
    COUNTER_MECHANISM,
    "bursts",
)

ROWS = (*REPLICA_SET, *CROWDED, *RESTARTED, SCHEDULES, *PARTITION)
