"""All probes, by name."""

from __future__ import annotations

from benchmarks.capacity import counting, schedules
from benchmarks.capacity.probe import ROLES, Probe
from benchmarks.capacity.size import SizeError

# Each module of probes has a tuple PROBES of its own.
MODULES: tuple[tuple[Probe, ...], ...] = (counting.PROBES, schedules.PROBES)
PROBES: dict[str, Probe] = {probe.name: probe for probes in MODULES for probe in probes}


def chosen(names: list[str], role: str | None) -> list[Probe]:
    """The probes of these names, or all; of one role, or of all.

    Raises:
        SizeError: a name or a role that there is not.
    """
    if role is not None and role not in ROLES:
        raise SizeError(f"role: found {role!r}, allowed {', '.join(ROLES)}")
    for name in names:
        if name not in PROBES:
            raise SizeError(f"probe: found {name!r}, allowed {', '.join(sorted(PROBES))}")
    wanted = [PROBES[name] for name in names] if names else list(PROBES.values())
    return [probe for probe in wanted if role is None or probe.role == role]
