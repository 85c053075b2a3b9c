"""What a simulation is made of, and the figures that it gives."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Final

from hillmux.lab.traffic import TrafficModel
from hillmux.lab.virtual.counter import CounterModel
from hillmux.lab.virtual.hosts import HostModel

START_MS: Final = 1e9  # the gateways' clock at the start


@dataclass(slots=True, frozen=True)
class SimulationModel:
    """Gateways, hosts, counter, discovery and clients."""

    gateways: int
    hosts: int
    traffic: TrafficModel
    zones: tuple[str, ...] = ("a", "b")
    host: HostModel = field(default_factory=HostModel)
    counter: CounterModel = field(default_factory=CounterModel)
    counter_timeout_ms: float = 90.0
    retries: int = 3  # of a client, for one request
    backoff_ms: float = 300.0
    retry_after_obeyed_share: float = 0.6  # of the clients
    attempt_timeout_share: float = 0.75  # of the class's deadline
    failover_delay_ms: float = 2000.0  # for which requests still go to a dead gateway
    discovery_delay_ms: tuple[float, float] = (800.0, 2000.0)  # least and most, of a change of the list
    max_retry_after_ms: float = 2000.0


@dataclass(slots=True)
class SimulationFigures:
    """Counts and sums of a simulation. Value is priority weight times units."""

    attempts: int = 0
    requests: int = 0
    finished: int = 0  # requests that were served, or given up after their last attempt
    rejected: int = 0
    rejected_with_quota_left: int = 0  # at least half of the burst was unused
    offered_value: float = 0.0  # of requests within the quotas
    served_value: float = 0.0
    units_beyond_quota: float = 0.0  # forwarded
    units_forwarded: float = 0.0
    beyond_quota_cost: float = 0.0  # value that units beyond the quotas cost
    reset: int = 0
    timed_out: int = 0  # attempts
    lowest_ceiling: float = math.inf  # the least that any ceiling's bucket held, in units
    hosts_overloaded: int = 0
    windows: dict[int, list[float]] = field(default_factory=dict)  # by second: value offered, value served

    def goodput(self) -> float:
        """Value served over value offered, less what units beyond the quotas cost."""
        return (self.served_value - self.beyond_quota_cost) / max(self.offered_value, 1e-9)
