"""Rows of the counter and of the three control machines."""

from __future__ import annotations

from benchmarks.capacity.assumptions import (
    CONTROL_MACHINE_MEMORY_MB,
    CORES_PER_CONTROL_MACHINE,
    COUNTER_NAMES_PER_CUSTOMER,
    GATEWAYS_PER_CUSTOMER,
    GATEWAYS_PER_ZONE,
    MEAN_LOAD_SHARE,
    PLATFORM_COUNTER_CAPACITY,
)
from benchmarks.capacity.row import Remedy, Resource, Role, Row, at_size, largest
from benchmarks.capacity.row_constants import (
    CALL_OWNING_COUNTER,
    COUNTER_MECHANISM,
    LOAD_LABELS,
    RELOAD_MECHANISM,
    REPLICAS,
)
from benchmarks.capacity.situations import (
    MACHINE_LOSS,
    ORDINARY_DAY,
    PEAK,
    RACK_LOSS,
    REGION_PARTITION,
    ZONE_LOSS,
    ZONE_RESTART,
    Situation,
)
from benchmarks.capacity.size import FULL

CORES = FULL.control_machines * CORES_PER_CONTROL_MACHINE.value
NAMES = FULL.tenants * COUNTER_NAMES_PER_CUSTOMER.value
ONE_PROCESS = "one process has all names (`counter/service.py`)"
SPLIT_NAMES = "names split among the machines, which the protocol allows"


def platform_calls_row(situation: Situation, load: str = "half", replicas: int = REPLICAS) -> Row:
    """Row of the calls a second to the platform's counter."""
    rate = situation.requests_per_s
    return Row(
        role=Role.COUNTER,
        resource=Resource.MESSAGES,
        situation=situation,
        what=f"calls to the platform's counter, {LOAD_LABELS[load]}, a customer seen by {replicas}",
        unit="calls/s",
        budget=PLATFORM_COUNTER_CAPACITY.value,
        derivation=f"calls a request x {rate:,.0f} requests/s",
        mechanism=COUNTER_MECHANISM,
        readings=(at_size(f"counting.{load}.calls_per_request", replicas),),
        formula=lambda calls: calls * rate,
        how=CALL_OWNING_COUNTER,
        assumed=(PLATFORM_COUNTER_CAPACITY, GATEWAYS_PER_CUSTOMER, MEAN_LOAD_SHARE),
    )


def own_calls_row(situation: Situation, cores: float = CORES) -> Row:
    """Row of our own counter's processor time for these calls; names are split if there are several cores."""
    rate = situation.requests_per_s
    return Row(
        role=Role.COUNTER,
        resource=Resource.PROCESSOR,
        situation=situation,
        what=(
            f"our own counter on {cores:g} control machine{'s' * (cores > 1)}, half of each quota used, a"
            " customer seen by"
            f" {REPLICAS}"
        ),
        unit="cores",
        budget=cores,
        derivation=f"calls a request x {rate:,.0f} requests/s / calls a second of a core",
        mechanism=None if cores > 1 else ONE_PROCESS,
        readings=(
            at_size("counting.half.calls_per_request", REPLICAS),
            largest("counter.service.calls_per_s_of_a_core"),
        ),
        formula=lambda calls, capacity: calls * rate / capacity,
        how=f"{CALL_OWNING_COUNTER}; {SPLIT_NAMES}",
        assumed=(CORES_PER_CONTROL_MACHINE, GATEWAYS_PER_CUSTOMER),
    )


ROWS = (
    platform_calls_row(ORDINARY_DAY),
    *(platform_calls_row(PEAK, "half", replicas) for replicas in (1, 3, REPLICAS, 24)),
    platform_calls_row(PEAK, "ninety"),
    platform_calls_row(PEAK, "flood"),
    *(platform_calls_row(situation) for situation in (MACHINE_LOSS, RACK_LOSS, ZONE_LOSS, REGION_PARTITION)),
    Row(
        role=Role.COUNTER,
        resource=Resource.MESSAGES,
        situation=PEAK,
        what="calls of 710 gateways to the platform's counter, as played",
        unit="calls/s",
        budget=PLATFORM_COUNTER_CAPACITY.value,
        derivation="as measured",
        mechanism=COUNTER_MECHANISM,
        readings=(at_size("counting.fleet.calls_per_s", FULL.gateways),),
        formula=lambda calls: calls,
        how=CALL_OWNING_COUNTER,
        assumed=(PLATFORM_COUNTER_CAPACITY,),
    ),
    Row(
        role=Role.COUNTER,
        resource=Resource.MESSAGES,
        situation=ZONE_RESTART,
        what="calls in the first second to the platform's counter",
        unit="calls/s",
        budget=PLATFORM_COUNTER_CAPACITY.value,
        derivation=f"calls of a gateway in its first second x {GATEWAYS_PER_ZONE.value:g} gateways",
        mechanism=COUNTER_MECHANISM,
        readings=(
            at_size("counting.burst_of_starts.calls_in_first_second_per_gateway", GATEWAYS_PER_ZONE.value),
        ),
        formula=lambda calls: calls * GATEWAYS_PER_ZONE.value,
        how="fresh gateways ask less at first",
        assumed=(PLATFORM_COUNTER_CAPACITY, GATEWAYS_PER_ZONE),
    ),
    own_calls_row(ORDINARY_DAY),
    own_calls_row(PEAK, CORES_PER_CONTROL_MACHINE.value),
    own_calls_row(PEAK),
    *(
        own_calls_row(situation, CORES - CORES_PER_CONTROL_MACHINE.value)
        for situation in (MACHINE_LOSS, RACK_LOSS, ZONE_LOSS)
    ),
    Row(
        role=Role.COUNTER,
        resource=Resource.PROCESSOR,
        situation=ZONE_RESTART,
        what=f"our own counter on {CORES:g} control machines, first second",
        unit="cores",
        budget=CORES,
        derivation=(
            f"calls of a gateway in its first second x {GATEWAYS_PER_ZONE.value:g} / calls a second of a core"
        ),
        mechanism=None,
        readings=(
            at_size("counting.burst_of_starts.calls_in_first_second_per_gateway", GATEWAYS_PER_ZONE.value),
            largest("counter.service.calls_per_s_of_a_core"),
        ),
        formula=lambda calls, capacity: calls * GATEWAYS_PER_ZONE.value / capacity,
        how="fresh gateways ask less at first",
        assumed=(CORES_PER_CONTROL_MACHINE, GATEWAYS_PER_ZONE),
    ),
    Row(
        role=Role.COUNTER,
        resource=Resource.STATE,
        situation=PEAK,
        what=f"names kept: {NAMES:,.0f}",
        unit="MB",
        budget=CONTROL_MACHINE_MEMORY_MB.value,
        derivation=f"memory at {NAMES:,.0f} names",
        mechanism="names live for a window and no more (`counter/store.py`)",
        readings=(at_size("counter.store.memory_mb", NAMES),),
        formula=lambda memory: memory,
        assumed=(COUNTER_NAMES_PER_CUSTOMER, CONTROL_MACHINE_MEMORY_MB),
    ),
    Row(
        role=Role.COUNTER,
        resource=Resource.TIME,
        situation=ORDINARY_DAY,
        what="platform's start: a change of configuration at all 710 gateways",
        unit="s",
        budget=FULL.change_in_force_s,
        derivation="nothing carries a change to the gateways: each file is replaced by hand",
        mechanism=None,
        remedy=Remedy.NEW_PROTOCOL,
        how="distribution from the control machines, with versions and what each gateway has",
    ),
    Row(
        role=Role.COUNTER,
        resource=Resource.TIME,
        situation=ORDINARY_DAY,
        what="hosted service: a change of configuration at all 710 gateways",
        unit="s",
        budget=FULL.change_in_force_s,
        derivation=f"nothing carries a change to the gateways; each then takes it by {RELOAD_MECHANISM}",
        mechanism=None,
        remedy=Remedy.NEW_PROTOCOL,
        how="distribution from the control machines, with versions and what each gateway has",
    ),
)
