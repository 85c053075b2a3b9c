"""Rows of the counter and of the three control machines."""

from __future__ import annotations

from benchmarks.capacity.assumptions import (
    CONTROL_MACHINE_MEMORY_MB,
    GATEWAYS_OF_A_ZONE,
    GATEWAYS_SEEING_A_CUSTOMER,
    MACHINES_OF_CONTROL_CORES,
    NAMES_OF_A_CUSTOMER,
    ORDINARY_PART,
    PLATFORM_COUNTER,
)
from benchmarks.capacity.row import Mend, Resource, Role, Row, at, largest
from benchmarks.capacity.situations import (
    MACHINE,
    ORDINARY,
    PEAK,
    RACK,
    REGIONS,
    RESTART,
    ZONE,
    Situation,
)
from benchmarks.capacity.size import FULL
from benchmarks.capacity.terms import AHEAD, COUNTER, RELOAD, SEEING, USE

CORES = FULL.control_machines * MACHINES_OF_CONTROL_CORES.value
NAMES = FULL.tenants * NAMES_OF_A_CUSTOMER.value
ONE_PROCESS = "one process has all names (`counter/service.py`)"
SPLIT_NAMES = "names split among the machines, which the protocol allows"


def platform_calls(situation: Situation, load: str = "half", seeing: int = SEEING) -> Row:
    """Calls a second to the platform's counter."""
    rate = situation.requests_per_s
    return Row(
        role=Role.COUNTER,
        resource=Resource.MESSAGES,
        situation=situation,
        what=f"calls to the platform's counter, {USE[load]}, a customer seen by {seeing}",
        unit="calls/s",
        budget=PLATFORM_COUNTER.value,
        worked=f"calls a request x {rate:,.0f} requests/s",
        mechanism=COUNTER,
        readings=(at(f"counting.{load}.calls_per_request", seeing),),
        formula=lambda calls: calls * rate,
        how=AHEAD,
        assumed=(PLATFORM_COUNTER, GATEWAYS_SEEING_A_CUSTOMER, ORDINARY_PART),
    )


def own_calls(situation: Situation, cores: float = CORES) -> Row:
    """Processor time of our own counter for the same calls; on several machines names would be split."""
    rate = situation.requests_per_s
    return Row(
        role=Role.COUNTER,
        resource=Resource.PROCESSOR,
        situation=situation,
        what=(
            f"our own counter on {cores:g} control machine{'s' * (cores > 1)}, half of each quota used, a"
            " customer seen by"
            f" {SEEING}"
        ),
        unit="cores",
        budget=cores,
        worked=f"calls a request x {rate:,.0f} requests/s / calls a second of a core",
        mechanism=None if cores > 1 else ONE_PROCESS,
        readings=(
            at("counting.half.calls_per_request", SEEING),
            largest("counter.service.calls_per_s_of_a_core"),
        ),
        formula=lambda calls, capacity: calls * rate / capacity,
        how=f"{AHEAD}; {SPLIT_NAMES}",
        assumed=(MACHINES_OF_CONTROL_CORES, GATEWAYS_SEEING_A_CUSTOMER),
    )


ROWS = (
    platform_calls(ORDINARY),
    *(platform_calls(PEAK, "half", seeing) for seeing in (1, 3, SEEING, 24)),
    platform_calls(PEAK, "ninety"),
    platform_calls(PEAK, "flood"),
    *(platform_calls(situation) for situation in (MACHINE, RACK, ZONE, REGIONS)),
    Row(
        role=Role.COUNTER,
        resource=Resource.MESSAGES,
        situation=PEAK,
        what="calls of 710 gateways to the platform's counter, as played",
        unit="calls/s",
        budget=PLATFORM_COUNTER.value,
        worked="as measured",
        mechanism=COUNTER,
        readings=(at("counting.fleet.calls_per_s", FULL.gateways),),
        formula=lambda calls: calls,
        how=AHEAD,
        assumed=(PLATFORM_COUNTER,),
    ),
    Row(
        role=Role.COUNTER,
        resource=Resource.MESSAGES,
        situation=RESTART,
        what="calls in the first second to the platform's counter",
        unit="calls/s",
        budget=PLATFORM_COUNTER.value,
        worked=f"calls of a gateway in its first second x {GATEWAYS_OF_A_ZONE.value:g} gateways",
        mechanism=COUNTER,
        readings=(
            at("counting.burst_of_starts.calls_in_first_second_per_gateway", GATEWAYS_OF_A_ZONE.value),
        ),
        formula=lambda calls: calls * GATEWAYS_OF_A_ZONE.value,
        how="fresh gateways ask less at first",
        assumed=(PLATFORM_COUNTER, GATEWAYS_OF_A_ZONE),
    ),
    own_calls(ORDINARY),
    own_calls(PEAK, MACHINES_OF_CONTROL_CORES.value),
    own_calls(PEAK),
    *(own_calls(situation, CORES - MACHINES_OF_CONTROL_CORES.value) for situation in (MACHINE, RACK, ZONE)),
    Row(
        role=Role.COUNTER,
        resource=Resource.PROCESSOR,
        situation=RESTART,
        what=f"our own counter on {CORES:g} control machines, first second",
        unit="cores",
        budget=CORES,
        worked=(
            f"calls of a gateway in its first second x {GATEWAYS_OF_A_ZONE.value:g} / calls a second of a"
            " core"
        ),
        mechanism=None,
        readings=(
            at("counting.burst_of_starts.calls_in_first_second_per_gateway", GATEWAYS_OF_A_ZONE.value),
            largest("counter.service.calls_per_s_of_a_core"),
        ),
        formula=lambda calls, capacity: calls * GATEWAYS_OF_A_ZONE.value / capacity,
        how="fresh gateways ask less at first",
        assumed=(MACHINES_OF_CONTROL_CORES, GATEWAYS_OF_A_ZONE),
    ),
    Row(
        role=Role.COUNTER,
        resource=Resource.STATE,
        situation=PEAK,
        what=f"names kept: {NAMES:,.0f}",
        unit="MB",
        budget=CONTROL_MACHINE_MEMORY_MB.value,
        worked=f"memory at {NAMES:,.0f} names",
        mechanism="names live for a window and no more (`counter/store.py`)",
        readings=(at("counter.store.memory_mb", NAMES),),
        formula=lambda memory: memory,
        assumed=(NAMES_OF_A_CUSTOMER, CONTROL_MACHINE_MEMORY_MB),
    ),
    Row(
        role=Role.COUNTER,
        resource=Resource.TIME,
        situation=ORDINARY,
        what="platform's start: a change of configuration at all 710 gateways",
        unit="s",
        budget=FULL.change_in_force_s,
        worked="nothing carries a change to the gateways: each file is replaced by hand",
        mechanism=None,
        mend=Mend.NEW_PROTOCOL,
        how="distribution from the control machines, with versions and what each gateway has",
    ),
    Row(
        role=Role.COUNTER,
        resource=Resource.TIME,
        situation=ORDINARY,
        what="hosted service: a change of configuration at all 710 gateways",
        unit="s",
        budget=FULL.change_in_force_s,
        worked=f"nothing carries a change to the gateways; each then takes it by {RELOAD}",
        mechanism=None,
        mend=Mend.NEW_PROTOCOL,
        how="distribution from the control machines, with versions and what each gateway has",
    ),
)
