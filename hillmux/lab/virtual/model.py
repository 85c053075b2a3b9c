"""Model of a simulated fleet, and the figures that a simulation returns."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Final

from hillmux.lab.traffic import TrafficModel
from hillmux.lab.virtual.counter import CounterModel
from hillmux.lab.virtual.hosts import HostModel

START_MS: Final = 1e9  # time on the gateways' clocks at the start of the simulation


@dataclass(slots=True, frozen=True)
class SimulationModel:
    """Model of gateways, hosts, counter, discovery and clients."""

    gateways: int
    hosts: int
    traffic: TrafficModel
    zones: tuple[str, ...] = ("a", "b")
    host: HostModel = field(default_factory=HostModel)
    counter: CounterModel = field(default_factory=CounterModel)
    counter_timeout_ms: float = 90.0
    retries: int = 3  # a client's retries per request
    backoff_ms: float = 300.0  # a client's delay before a retry
    retry_after_obeyed_share: float = 0.6  # share of clients that obey Retry-After
    attempt_timeout_share: float = 0.75  # a client's time-out per attempt, as a share of the class's deadline
    failover_delay_ms: float = 2000.0  # time for which requests are still sent to a dead gateway
    discovery_delay_ms: tuple[float, float] = (800.0, 2000.0)  # bounds of the delay of an endpoint change
    max_retry_after_ms: float = 2000.0  # for gateways, and for clients that obey Retry-After


@dataclass(slots=True)
class SimulationFigures:
    """Counts and sums of a simulation. Value is priority weight times units."""

    attempts: int = 0
    requests: int = 0
    finished: int = 0  # requests that were served, or given up after their last attempt
    rejected: int = 0  # attempts
    rejected_with_quota_left: int = 0  # attempts rejected while at least half of the burst was unused
    offered_value: float = 0.0  # value of requests within the quotas
    served_value: float = 0.0  # value of requests within the quotas that met their latency objective
    units_beyond_quota: float = 0.0  # units of forwarded requests that exceeded their quota
    units_forwarded: float = 0.0  # including those beyond the quotas
    beyond_quota_cost: float = 0.0  # value that units beyond the quotas cost
    reset: int = 0  # attempts whose connection to the gateway was reset
    timed_out: int = 0  # attempts that the client gave up
    lowest_ceiling: float = math.inf  # lowest level of any ceiling's bucket, in units
    hosts_overloaded: int = 0  # at the end of the run
    windows: dict[int, list[float]] = field(default_factory=dict)  # by second: value offered, value served

    def goodput(self) -> float:
        """Value served over value offered, less what units beyond the quotas cost."""
        return (self.served_value - self.beyond_quota_cost) / max(self.offered_value, 1e-9)
