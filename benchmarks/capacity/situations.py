"""The situations for which each role's use is computed, with the load and the remaining gateways of each."""

from __future__ import annotations

from dataclasses import dataclass

from benchmarks.capacity.assumptions import (
    GATEWAYS_PER_RACK,
    GATEWAYS_PER_ZONE,
    MEAN_LOAD_SHARE,
    REGION_PARTITION_S,
    SHARE_WITHOUT_COUNTER,
)
from benchmarks.capacity.size import FULL


@dataclass(slots=True, frozen=True)
class Situation:
    """An operating condition of the system, such as the peak or the loss of a zone.

    Attributes:
        name: name on the page.
        requests_per_s: load on all gateways together.
        gateways: gateways that remain to serve this load.
        note: assumptions about the load, shown on the page.
    """

    name: str
    requests_per_s: float
    gateways: float
    note: str

    @property
    def requests_per_gateway(self) -> float:
        """Requests a second at each remaining gateway."""
        return self.requests_per_s / self.gateways


ORDINARY_DAY = Situation(
    "ordinary day", FULL.requests_per_s * MEAN_LOAD_SHARE.value, FULL.gateways, "the mean load, nothing fails"
)
PEAK = Situation("peak", FULL.requests_per_s, FULL.gateways, "the full load, nothing fails")
MACHINE_LOSS = Situation(
    "one machine", FULL.requests_per_s, FULL.gateways - 1, "at the peak; the others take its requests"
)
RACK_LOSS = Situation(
    "a rack",
    FULL.requests_per_s,
    FULL.gateways - GATEWAYS_PER_RACK.value,
    "at the peak; the others take its requests",
)
ZONE_LOSS = Situation(
    "a zone",
    FULL.requests_per_s,
    FULL.gateways - GATEWAYS_PER_ZONE.value,
    "at the peak; the others take its requests. One control machine is lost with it",
)
REGION_PARTITION = Situation(
    "both regions apart",
    FULL.requests_per_s * (1 - SHARE_WITHOUT_COUNTER.value),
    FULL.gateways * (1 - SHARE_WITHOUT_COUNTER.value),
    f"at the peak, for {REGION_PARTITION_S.value:g} s; each region serves its own requests,"
    " one has the counter",
)
ZONE_RESTART = Situation(
    "all gateways of a zone restarted",
    FULL.requests_per_s,
    FULL.gateways,
    "at the peak; they start at once and know nothing",
)
SITUATIONS = (ORDINARY_DAY, PEAK, MACHINE_LOSS, RACK_LOSS, ZONE_LOSS, REGION_PARTITION, ZONE_RESTART)
FAILURES = (MACHINE_LOSS, RACK_LOSS, ZONE_LOSS, REGION_PARTITION, ZONE_RESTART)
