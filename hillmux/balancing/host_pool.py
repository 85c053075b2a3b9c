"""The hosts that serve one pool, by group."""

from __future__ import annotations

from typing import Final

from hillmux.balancing.indexed_set import IndexedSet
from hillmux.balancing.load_ranking import RankedHosts

MAX_PROBE_BUDGET: Final = 10.0  # probes that a pool may accumulate


class Locality:
    """The available hosts of one zone, or of one cell in it, for requests that are bound to it."""

    __slots__ = ("usable", "ejected")

    def __init__(self) -> None:
        self.usable, self.ejected = IndexedSet(), IndexedSet()


class HostPool:
    """The available hosts of one pool.

    Ready hosts are in `inside_aperture` or `outside_aperture`, the others in `warming` or `ejected`.
    Localities are keyed by zone, or by zone and cell.
    """

    __slots__ = (
        "host_count",
        "inside_aperture",
        "outside_aperture",
        "warming",
        "ejected",
        "localities",
        "probe_budget",
    )

    def __init__(self) -> None:
        self.host_count = 0
        self.inside_aperture, self.outside_aperture = RankedHosts(), RankedHosts()
        self.warming, self.ejected = IndexedSet(), IndexedSet()
        self.localities: dict[tuple[str | int, ...], Locality] = {}
        self.probe_budget = MAX_PROBE_BUDGET
