"""The size that the design is held to, and what the machine that measures it bears."""

from __future__ import annotations

import os
from dataclasses import dataclass

MEMORY_SHARE = 0.5  # of the machine's memory that a measurement may take
MOST_PROCESSES = 300


class SizeError(ValueError):
    """A size that cannot be measured; the text names the field, what was found and what is allowed."""


@dataclass(slots=True, frozen=True)
class Size:
    """The system in about two years: its parts, its load, its failures and its budgets."""

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
    control_cpu_share: float = 0.031  # of one core, a gateway
    control_memory_mb: float = 256.0  # a gateway
    control_bytes_per_s: float = 9_000.0  # a gateway
    control_machines: int = 3
    machine_failures_per_day: int = 25
    restarts_per_day: int = 910

    @property
    def requests_per_gateway(self) -> float:
        """Requests a second of one gateway at the peak."""
        return self.requests_per_s / self.gateways


FULL = Size()


def machine_memory_bytes() -> int:
    """Memory of this machine, in bytes."""
    return os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")


def check_number(field: str, found: int, least: int, most: int) -> int:
    """The number, if it is within its bounds.

    Raises:
        SizeError: it is not.
    """
    if not least <= found <= most:
        raise SizeError(f"{field}: found {found}, allowed {least} to {most}")
    return found
