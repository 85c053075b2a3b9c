"""Which tenant's each host is: an address belongs to one tenant, whatever lists it."""

from __future__ import annotations

from collections.abc import Iterable

from hillmux.tenants.model import Address

Holder = tuple[str, str]  # a tenant, and what lists its hosts: a pool's file, or "" for the configuration


class AddressBook:
    """Addresses by tenant.

    Guards what two modules would break together, each keeping its own rules: a cold host gets the sum of what
    both allow it, and a booking's key at one tenant drops the other's booking of the same key.
    """

    def __init__(self) -> None:
        self._held: dict[Holder, frozenset[Address]] = {}
        self._holders: dict[Address, list[Holder]] = {}

    def others(self, tenant_id: str, addresses: Iterable[Address]) -> dict[Address, Holder]:
        """Those of the addresses that another tenant has, and where it lists them."""
        found = {}
        for address in addresses:
            for holder in self._holders.get(address, ()):
                if holder[0] != tenant_id:
                    found[address] = holder
        return found

    def claim(self, holder: Holder, addresses: Iterable[Address]) -> None:
        """These are a holder's addresses from now on, and no others."""
        self.release(holder)
        mine = frozenset(addresses)
        if mine:
            self._held[holder] = mine
        for address in mine:
            self._holders.setdefault(address, []).append(holder)

    def release(self, holder: Holder) -> None:
        """A holder has no addresses any more."""
        for address in self._held.pop(holder, ()):
            holders = self._holders[address]
            holders.remove(holder)
            if not holders:
                del self._holders[address]
