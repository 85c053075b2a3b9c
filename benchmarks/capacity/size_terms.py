"""Meaning of each term of the size in the program, for the platform's start and for the hosted service."""

from __future__ import annotations

from dataclasses import dataclass

from benchmarks.capacity.size import FULL

NOTHING = "nothing"
REPLICA_CASES = (1, 3, 8, 24, FULL.gateways)


@dataclass(slots=True, frozen=True)
class SizeTerm:
    """A term of the size, and its meaning in the program."""

    word: str
    number: str
    platform: str  # meaning when started as `python -m hillmux`
    hosted: str  # meaning in `hillmux serve`


def _customers() -> str:
    cases = [f"{replicas}: {FULL.tenants * replicas / FULL.gateways:,.0f}" for replicas in REPLICA_CASES]
    return "; ".join(cases)


SIZE_TERMS = (
    SizeTerm(
        word="gateway",
        number=f"{FULL.gateways}",
        platform=(
            "one process on one core; `fleet_size` in the settings, and the gateways that see one customer"
            " are a set of"
            " `spread` of them (`Quota-Info`)"
        ),
        hosted="one process on one core; `gateway.number` of `gateway.fleet_size`",
    ),
    SizeTerm(
        word="host",
        number=f"{FULL.hosts:,}",
        platform="an entry of discovery's list, all of them in one pool",
        hosted=(
            "a host of a pool; it belongs to one tenant, so 9,000 hosts cannot serve 62,000 tenants: hosts"
            " that tenants"
            " share have no mechanism yet"
        ),
    ),
    SizeTerm(
        word="service",
        number=f"{FULL.services}",
        platform=f"{NOTHING}: the list names none, so each gateway takes all hosts for alike",
        hosted="a pool of a tenant",
    ),
    SizeTerm(
        word="request",
        number=f"{FULL.requests_per_s:,}/s",
        platform=f"{FULL.requests_per_gateway:.0f}/s a gateway",
        hosted=f"{FULL.requests_per_gateway:.0f}/s a gateway",
    ),
    SizeTerm(
        word="route",
        number=f"{FULL.routes:,}",
        platform=f"{NOTHING}: the request names its class",
        hosted="an entry of `[[tenants.routes]]`",
    ),
    SizeTerm(
        word="tenant",
        number=f"{FULL.tenants:,}",
        platform=(
            "a customer under a plan: a name in the counter for each window, and state in each gateway that"
            " sees it."
            f" Customers of one gateway, by gateways that see one customer: {_customers()}"
        ),
        hosted=(
            f"an entry of `[[tenants]]`: all {FULL.tenants:,} in each gateway, asleep until they are asked"
            " for; one that"
            " is awake has a decision module of its own"
        ),
    ),
    SizeTerm(word="region", number=f"{FULL.regions}", platform=NOTHING, hosted=NOTHING),
    SizeTerm(
        word="zone",
        number=f"{FULL.zones}",
        platform="`zone` of gateway and host; it scopes keys (`key_scope`) and nothing else",
        hosted="the same",
    ),
    SizeTerm(
        word="configuration change",
        number=f"{FULL.changes_per_day:,} a day",
        platform="another file and SIGHUP, at each gateway; plans change only at a start",
        hosted="another file and SIGHUP, at each gateway; the whole file is read",
    ),
    SizeTerm(
        word="control of a gateway",
        number=(
            f"{FULL.control_cpu_share:.1%} of a core, {FULL.control_memory_mb:g} MB,"
            f" {FULL.control_bytes_per_s / 1000:g} KB/s"
        ),
        platform="counter calls, the watch, sweeps and timers",
        hosted="the same, and reading the configuration and hosts' files",
    ),
    SizeTerm(
        word="control machine",
        number=f"{FULL.control_machines}",
        platform="the counter, and nothing else of ours",
        hosted="`hillmux counter`, one process; all names are in it",
    ),
)
