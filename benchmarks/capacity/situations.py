"""The situations that each role is worked out for, and what each leaves of the gateways and the load."""

from __future__ import annotations

from dataclasses import dataclass

from benchmarks.capacity.assumptions import (
    GATEWAYS_OF_A_ZONE,
    MACHINES_OF_A_RACK,
    ORDINARY_PART,
    PART_WITHOUT_COUNTER,
    REGIONS_APART_S,
)
from benchmarks.capacity.size import FULL


@dataclass(slots=True, frozen=True)
class Situation:
    """One state of the system.

    `requests_per_s` is the load on all gateways, `gateways` how many are left to take it.
    """

    name: str
    requests_per_s: float
    gateways: float
    note: str

    @property
    def requests_per_gateway(self) -> float:
        """Requests a second of one gateway that is left."""
        return self.requests_per_s / self.gateways


ORDINARY = Situation(
    "ordinary day", FULL.requests_per_s * ORDINARY_PART.value, FULL.gateways, "the mean load, nothing fails"
)
PEAK = Situation("peak", FULL.requests_per_s, FULL.gateways, "the full load, nothing fails")
MACHINE = Situation(
    "one machine", FULL.requests_per_s, FULL.gateways - 1, "at the peak; the others take its requests"
)
RACK = Situation(
    "a rack",
    FULL.requests_per_s,
    FULL.gateways - MACHINES_OF_A_RACK.value,
    "at the peak; the others take its requests",
)
ZONE = Situation(
    "a zone",
    FULL.requests_per_s,
    FULL.gateways - GATEWAYS_OF_A_ZONE.value,
    "at the peak; the others take its requests. One control machine is lost with it",
)
REGIONS = Situation(
    "both regions apart",
    FULL.requests_per_s * (1 - PART_WITHOUT_COUNTER.value),
    FULL.gateways * (1 - PART_WITHOUT_COUNTER.value),
    f"at the peak, for {REGIONS_APART_S.value:g} s; each region serves its own requests, one has the counter",
)
RESTART = Situation(
    "all gateways of a zone restarted",
    FULL.requests_per_s,
    FULL.gateways,
    "at the peak; they start at once and know nothing",
)
SITUATIONS = (ORDINARY, PEAK, MACHINE, RACK, ZONE, REGIONS, RESTART)
FAILURES = (MACHINE, RACK, ZONE, REGIONS, RESTART)
