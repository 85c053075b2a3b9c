"""Assumptions of the page as named constants, each with its reason. None of these was measured."""

from __future__ import annotations

from dataclasses import dataclass

from benchmarks.capacity.size import FULL


@dataclass(slots=True, frozen=True)
class Assumption:
    """A number that is assumed instead of measured, and the reason for its value."""

    name: str
    value: float
    unit: str
    reason: str


GATEWAYS_PER_CUSTOMER = Assumption(
    "gateways that see one customer",
    8,
    "gateways",
    "main case; 1, 3 and 24 are worked out beside it. The front end decides it, and nothing in the"
    " program does.",
)
MEAN_LOAD_SHARE = Assumption(
    "ordinary day's load", 1 / 3, "of the peak", "mean over a day whose peak is three times its mean."
)
GATEWAYS_PER_ZONE = Assumption(
    "gateways of a zone", FULL.gateways // FULL.zones, "gateways", "710 over 7 zones, alike, rounded down."
)
GATEWAYS_PER_RACK = Assumption(
    "gateways of a rack", 20, "gateways", "a common rack; all of its machines taken for gateways."
)
CORES_PER_CONTROL_MACHINE = Assumption(
    "cores for counting on a control machine", 1, "cores", "a counter is one process on one core."
)
PLATFORM_COUNTER_CAPACITY = Assumption(
    "the platform's counter",
    600,
    "calls/s",
    "between 440 and 600 were seen from outside; the larger is taken.",
)
HOST_CHANGES_PER_RESTART = Assumption(
    "changes of the list that one restart makes", 3, "changes", "draining, gone, ready again."
)
HOST_CHANGES_PER_DAY = Assumption(
    "changes of the list a day",
    HOST_CHANGES_PER_RESTART.value * (FULL.restarts_per_day + FULL.machine_failures_per_day),
    "changes",
    "910 restarts and 25 failures, all taken for hosts, three changes each.",
)
SWEEPS_PER_S = Assumption(
    "sweeps of a decision module", 10, "1/s", "the module's timer: one in 100 ms, from the program's text."
)
COUNTER_CALL_US = Assumption(
    "processor time of one counter call in a gateway",
    40,
    "us",
    "docs/operators/capacity.md; from before these tests, which do not measure it apart.",
)
REGION_PARTITION_S = Assumption(
    "time that the regions are apart", 300, "s", "minutes by the size's table; five are taken."
)
SHARE_WITHOUT_COUNTER = Assumption(
    "gateways without the counter while regions are apart",
    1 / FULL.regions,
    "of all",
    "the counter is in one region, and each region has half of the gateways and of the requests.",
)
COUNTER_NAMES_PER_CUSTOMER = Assumption(
    "names in the counter for one customer", 2, "names", "this window's and the last one's, which lives on."
)
REQUEST_PATH_SHARE = Assumption(
    "processor time of the request path",
    0.6,
    "of a core",
    "the rule of docs/operators/capacity.md: 0.6 to plan with.",
)
CONTROL_MACHINE_MEMORY_MB = Assumption(
    "memory for counting on a control machine", 1024, "MB", "no budget is given; a small machine's memory."
)

CLASSES = Assumption("classes of requests", 10, "classes", "the platform's sites have a handful.")

ASSUMPTIONS = (
    GATEWAYS_PER_CUSTOMER,
    MEAN_LOAD_SHARE,
    GATEWAYS_PER_ZONE,
    GATEWAYS_PER_RACK,
    CORES_PER_CONTROL_MACHINE,
    PLATFORM_COUNTER_CAPACITY,
    HOST_CHANGES_PER_RESTART,
    HOST_CHANGES_PER_DAY,
    SWEEPS_PER_S,
    COUNTER_CALL_US,
    REGION_PARTITION_S,
    SHARE_WITHOUT_COUNTER,
    COUNTER_NAMES_PER_CUSTOMER,
    REQUEST_PATH_SHARE,
    CONTROL_MACHINE_MEMORY_MB,
    CLASSES,
)
