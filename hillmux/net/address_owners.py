"""Which host owns an address: the process that listens there now, not one that listened there before.

Discovery may name a new instance at an address before it reports that the old one is gone. Requests for the
old instance would then reach the new process, which may be cold and knows no idempotency keys of the old one.
An address therefore belongs to one instance: the one that started last, or else the one named last. Later
news about a superseded instance does not return the address to it.
"""

from __future__ import annotations

from typing import NamedTuple

from hillmux import interface as api
from hillmux.interface import HostStatus

Place = tuple[str, tuple[str, int]]  # the name of a pool and an address: pools may share a process


class Owner(NamedTuple):
    """The instance that owns an address."""

    name: str
    started_at_ms: float


class AddressOwners:
    """The owners of all listed addresses."""

    def __init__(self) -> None:
        self._owners: dict[Place, Owner] = {}
        self._places: dict[str, Place] = {}  # by name, of owners and of superseded instances
        self._superseded: set[str] = set()

    def update(
        self, endpoints: tuple[api.Endpoint, ...], addresses: dict[str, tuple[str, int]], is_full: bool
    ) -> set[str]:
        """Apply an endpoint list, or changes to it.

        Returns:
            The names of the listed instances whose address belongs to another one, known before or not.
        """
        if is_full:
            for name in self._places.keys() - {endpoint.name for endpoint in endpoints}:
                self._remove(name)
        superseded: set[str] = set()
        for endpoint in endpoints:
            if endpoint.status == HostStatus.REMOVED:
                self._remove(endpoint.name)
            else:
                superseded |= self._claim(endpoint, (endpoint.pool, addresses[endpoint.name]))
        return superseded

    def _claim(self, endpoint: api.Endpoint, place: Place) -> set[str]:
        """Give an address to an instance unless its owner is newer; returns the name of the other one."""
        name = endpoint.name
        if self._places.get(name, place) != place:
            self._remove(name)
        self._places[name] = place
        owner = self._owners.get(place)
        if owner is not None and owner.name != name and not self._is_newer(endpoint, owner):
            self._superseded.add(name)
            return {name}
        self._owners[place] = Owner(name, endpoint.started_at_ms)
        self._superseded.discard(name)
        if owner is None or owner.name == name:
            return set()
        self._superseded.add(owner.name)
        return {owner.name}

    def _is_newer(self, endpoint: api.Endpoint, owner: Owner) -> bool:
        if endpoint.started_at_ms != owner.started_at_ms:
            return endpoint.started_at_ms > owner.started_at_ms
        return endpoint.name not in self._superseded

    def _remove(self, name: str) -> None:
        place = self._places.pop(name, None)
        self._superseded.discard(name)
        owner = self._owners.get(place) if place is not None else None
        if place is not None and owner is not None and owner.name == name:
            del self._owners[place]
