"""All probes, by name."""

from __future__ import annotations

from benchmarks.capacity import (
    anchors,
    awake,
    connections,
    counter_service,
    counter_store,
    counting,
    hosts,
    operator_figures,
    regions,
    requests,
    routes,
    schedules,
    tenants,
)
from benchmarks.capacity.probe import ROLES, Probe
from benchmarks.capacity.size import SizeError

# Each module of probes defines a tuple PROBES.
MODULES: tuple[tuple[Probe, ...], ...] = (
    awake.PROBES,
    regions.PROBES,
    connections.PROBES,
    operator_figures.PROBES,
    hosts.PROBES,
    tenants.PROBES,
    routes.PROBES,
    requests.PROBES,
    counter_store.PROBES,
    counter_service.PROBES,
    anchors.PROBES,
    counting.PROBES,
    schedules.PROBES,
)
PROBES: dict[str, Probe] = {probe.name: probe for probes in MODULES for probe in probes}


def select_probes(names: list[str], role: str | None) -> list[Probe]:
    """Probes with the given names, or all if there are none, restricted to `role` unless it is None.

    Raises:
        SizeError: a name or the role is unknown.
    """
    if role is not None and role not in ROLES:
        raise SizeError(f"role: found {role!r}, allowed {', '.join(ROLES)}")
    for name in names:
        if name not in PROBES:
            raise SizeError(f"probe: found {name!r}, allowed {', '.join(sorted(PROBES))}")
    selected = [PROBES[name] for name in names] if names else list(PROBES.values())
    return [probe for probe in selected if role is None or probe.role == role]
