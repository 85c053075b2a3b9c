"""The size that the design must support, and the limits of the machine that runs the measurements."""

from __future__ import annotations

import os
from dataclasses import dataclass

MEMORY_SHARE = 0.5  # share of the machine's memory that a measurement may use
MAX_PROCESSES = 300


class SizeError(ValueError):
    """A value is out of bounds; the message names the field, the value found and the allowed range."""


@dataclass(slots=True, frozen=True)
class Size:
    """The system as expected in about two years: its parts, load, failures and budgets."""

    gateways: int = 710
    hosts: int = 9_000
    services: int = 200
    requests_per_s: int = 140_000
    routes: int = 5_200
    tenants: int = 62_000
    regions: int = 2
    zones: int = 7
    changes_per_day: int = 1_200
    change_in_force_s: float = 17.0
    added_p99_ms: float = 2.0
    control_cpu_share: float = 0.031  # share of one core for each gateway
    control_memory_mb: float = 256.0  # for each gateway
    control_bytes_per_s: float = 9_000.0  # for each gateway
    control_machines: int = 3
    machine_failures_per_day: int = 25
    restarts_per_day: int = 910

    @property
    def requests_per_gateway(self) -> float:
        """Requests a second at each gateway at the peak."""
        return self.requests_per_s / self.gateways


FULL = Size()


def machine_memory_bytes() -> int:
    """Memory of this machine, in bytes."""
    return os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")


def memory_limit_mb() -> int:
    """Memory that a measurement may use on this machine, in MB."""
    return int(machine_memory_bytes() * MEMORY_SHARE / 2**20)


def check_number(field: str, value: int, minimum: int, maximum: int) -> int:
    """Return `value` if it is within the bounds, inclusive.

    Raises:
        SizeError: the value is out of bounds; the message names `field`.
    """
    if not minimum <= value <= maximum:
        raise SizeError(f"{field}: found {value}, allowed {minimum} to {maximum}")
    return value
