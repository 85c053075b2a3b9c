"""Rows of the gateway: memory, processor time of the process, and times seen by clients and operators."""

from __future__ import annotations

from benchmarks.capacity.assumptions import GATEWAYS_PER_CUSTOMER, REQUEST_PATH_SHARE
from benchmarks.capacity.row import Resource, Role, Row, at_size, slope
from benchmarks.capacity.row_constants import (
    CUSTOMERS_PER_GATEWAY,
    LIST_MECHANISM,
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


def request_path_rows(situation: Situation) -> tuple[Row, ...]:
    """Rows of a real gateway's processor time and added latency."""
    rate = situation.requests_per_gateway
    return (
        Row(
            role=Role.GATEWAY,
            resource=Resource.PROCESSOR,
            situation=situation,
            what="the whole process, request path and control",
            unit="cores",
            budget=REQUEST_PATH_SHARE.value,
            derivation=f"share of a core at {rate:.0f} requests/s",
            mechanism="one process on one core",
            readings=(at_size("anchors.gateway.cpu_share", rate),),
            formula=lambda unbudgeted_row: unbudgeted_row,
            assumed=(REQUEST_PATH_SHARE,),
        ),
        Row(
            role=Role.GATEWAY,
            resource=Resource.TIME,
            situation=situation,
            what="time added to a request at p99",
            unit="ms",
            budget=FULL.added_p99_ms,
            derivation=f"at {rate:.0f} requests/s",
            mechanism="one process on one core",
            readings=(at_size("anchors.gateway.added_p99_ms", rate),),
            formula=lambda added: added,
        ),
    )


MEMORY = (
    Row(
        role=Role.GATEWAY,
        resource=Resource.MEMORY,
        situation=PEAK,
        what=f"platform's start, a customer seen by {REPLICAS}",
        unit="MB",
        budget=FULL.control_memory_mb,
        derivation=f"process with 9,000 hosts + slope of a customer x {CUSTOMERS_PER_GATEWAY:.0f} customers",
        mechanism="customers kept for two minutes, 8,192 at the most",
        readings=(at_size("anchors.list.memory_mb", FULL.hosts), slope("tenants.customers.memory_mb")),
        formula=lambda process, customer: process + customer * CUSTOMERS_PER_GATEWAY,
        assumed=(GATEWAYS_PER_CUSTOMER,),
    ),
    Row(
        role=Role.GATEWAY,
        resource=Resource.MEMORY,
        situation=ZONE_RESTART,
        what="platform's start, all 62,000 customers through one gateway",
        unit="MB",
        budget=FULL.control_memory_mb,
        derivation="process with 9,000 hosts + slope of a customer x 62,000 customers",
        mechanism="`most_customers` has to be raised from 8,192",
        readings=(at_size("anchors.list.memory_mb", FULL.hosts), slope("tenants.customers.memory_mb")),
        formula=lambda process, customer: process + customer * FULL.tenants,
    ),
    Row(
        role=Role.GATEWAY,
        resource=Resource.MEMORY,
        situation=ORDINARY_DAY,
        what="hosted service, 62,000 tenants asleep, with two routes and a host each",
        unit="MB",
        budget=FULL.control_memory_mb,
        derivation="process + slope of an idle tenant x 62,000",
        mechanism="a record for each tenant asleep (`tenants/registry.py`)",
        readings=(
            at_size("anchors.gateway.memory_mb", PEAK.requests_per_gateway),
            slope("tenants.idle.memory_mb"),
        ),
        formula=lambda process, tenant: process + tenant * FULL.tenants,
        how="a smaller record, or tenants held by those gateways alone that see them",
    ),
)

ROUTES = Row(
    role=Role.GATEWAY,
    resource=Resource.MEMORY,
    situation=ORDINARY_DAY,
    what="hosted service: the index of 5,200 routes, none alike",
    unit="MB",
    budget=FULL.control_memory_mb,
    derivation="as measured",
    mechanism="the router's dictionaries (`tenants/`)",
    readings=(at_size("routes.lookup.memory_mb", FULL.routes),),
    formula=lambda index: index,
)

AWAKE = Row(
    role=Role.GATEWAY,
    resource=Resource.MEMORY,
    situation=PEAK,
    what=f"hosted service, {CUSTOMERS_PER_GATEWAY:.0f} of the tenants awake, beside those asleep",
    unit="MB",
    budget=FULL.control_memory_mb,
    derivation=f"slope of a tenant awake x {CUSTOMERS_PER_GATEWAY:.0f}",
    mechanism="a decision module for each tenant awake (`tenants/registry.py`)",
    readings=(slope("tenants.awake.memory_mb"),),
    formula=lambda tenant: tenant * CUSTOMERS_PER_GATEWAY,
    assumed=(GATEWAYS_PER_CUSTOMER,),
)

TIME = (
    *(
        row
        for situation in (PEAK, MACHINE_LOSS, RACK_LOSS, ZONE_LOSS, REGION_PARTITION)
        for row in request_path_rows(situation)
    ),
    Row(
        role=Role.GATEWAY,
        resource=Resource.TIME,
        situation=ZONE_RESTART,
        what="ready after a start with the whole list",
        unit="s",
        budget=FULL.change_in_force_s,
        derivation="ms to ready / 1,000",
        mechanism=LIST_MECHANISM,
        readings=(at_size("anchors.list.ready_ms", FULL.hosts),),
        formula=lambda ready: ready / 1000,
    ),
    Row(
        role=Role.GATEWAY,
        resource=Resource.TIME,
        situation=ORDINARY_DAY,
        what="hosted service: a change is read and taken",
        unit="s",
        budget=FULL.change_in_force_s,
        derivation="ms of a change, with the reading, / 1,000, once the file is there",
        mechanism=RELOAD_MECHANISM,
        readings=(at_size("tenants.configuration.change_ms", FULL.tenants),),
        formula=lambda change: change / 1000,
        how="only what changed is read",
    ),
)

ROWS = (*MEMORY, ROUTES, AWAKE, *TIME)
