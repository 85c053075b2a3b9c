"""Which tenant each host address belongs to: an address has one tenant, wherever it is listed."""

from __future__ import annotations

from collections.abc import Iterable

from hillmux.tenants.model import Address

Holder = tuple[str, str]  # tenant id, and where its hosts are listed: a pool's file, "" for the configuration


class AddressBook:
    """Host addresses by tenant.

    Prevents two tenants' decision modules from using the same host, since each only enforces its own limits:
    a host in slow start would receive the sum of what both allow it, and a booking under an idempotency key
    of one tenant would overwrite the other tenant's booking under the same key.
    """

    def __init__(self) -> None:
        self._held: dict[Holder, frozenset[Address]] = {}
        self._holders: dict[Address, list[Holder]] = {}

    def held_by_others(self, tenant_id: str, addresses: Iterable[Address]) -> dict[Address, Holder]:
        """Those of the addresses that belong to another tenant, with the holder that lists them."""
        conflicts = {}
        for address in addresses:
            for holder in self._holders.get(address, ()):
                if holder[0] != tenant_id:
                    conflicts[address] = holder
        return conflicts

    def claim(self, holder: Holder, addresses: Iterable[Address]) -> None:
        """Replace a holder's addresses."""
        self.release(holder)
        claimed = frozenset(addresses)
        if claimed:
            self._held[holder] = claimed
        for address in claimed:
            self._holders.setdefault(address, []).append(holder)

    def release(self, holder: Holder) -> None:
        """Remove all addresses of a holder."""
        for address in self._held.pop(holder, ()):
            holders = self._holders[address]
            holders.remove(holder)
            if not holders:
                del self._holders[address]
