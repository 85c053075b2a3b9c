"""Weighted shares of one resource, which lend what is idle and take it back at once.

A tenant's entitlement is the whole divided by weight among those that hold any of it
now, and it; entitlements so never sum above the whole, and a tenant alone is entitled to all. Up to it a
tenant takes freely; beyond it, or alone among others that are known, it borrows: only while the reserve stays
free. So whoever comes back finds room without waiting, and finds more by `victim`: when there is no room for
a tenant within its entitlement, someone holds more than its own, and that one has to give.

Every step costs the same whatever the number of tenants, but for `victim`, which looks at those that hold
something, at most as many as the whole has units.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

RESERVE_SHARE: Final = 0.25  # part of the whole that is kept free for tenants that hold nothing yet
ROUNDING: Final = 1e-6  # what a sum of amounts may be off


@dataclass(slots=True)
class _Account:
    weight: float
    held: float = 0.0


class Shares:
    """Which tenant holds how much of the whole."""

    def __init__(self, whole: float, reserve: float = RESERVE_SHARE) -> None:
        if whole <= 0 or not 0 <= reserve < 1:
            raise ValueError(f"whole, reserve: found {whole}, {reserve}, expected above 0, and 0 to below 1")
        self.whole, self._reserve = whole, reserve * whole
        self._accounts: dict[str, _Account] = {}
        self._holders: dict[str, _Account] = {}  # those that hold something
        self._active_weight = 0.0  # theirs
        self.held = 0.0  # by all

    def know(self, tenant: str, weight: float) -> None:
        """Add a tenant, or change its weight (above 0)."""
        account = self._accounts.get(tenant)
        if account is None:
            self._accounts[tenant] = _Account(weight)
            return
        if account.held > 0:
            self._active_weight += weight - account.weight
        account.weight = weight

    def forget(self, tenant: str) -> None:
        """Remove a tenant.

        Raises:
            ValueError: it still holds something; it stays known.
        """
        account = self._accounts.get(tenant)
        if account is not None and account.held > 0:
            raise ValueError(f"tenant {tenant!r}: still holds {account.held}")
        self._accounts.pop(tenant, None)

    def holds(self, tenant: str) -> float:
        """What a tenant holds; 0 for one that is not known."""
        account = self._accounts.get(tenant)
        return 0.0 if account is None else account.held

    def known(self, tenant: str) -> bool:
        """Whether a tenant has an account."""
        return tenant in self._accounts

    def holders(self) -> int:
        """The number of tenants that hold something."""
        return len(self._holders)

    def names(self) -> list[str]:
        """The tenants that hold something."""
        return list(self._holders)

    def entitled(self, tenant: str) -> float:
        """What a tenant may hold whatever the others want."""
        account = self._accounts[tenant]
        active = self._active_weight + (0.0 if account.held > 0 else account.weight)
        return self.whole * account.weight / active

    def within(self, tenant: str, amount: float = 1.0) -> bool:
        """Whether a tenant would still be within its entitlement with so much more."""
        return self._accounts[tenant].held + amount <= self.entitled(tenant) * (1 + 1e-9)

    def take(self, tenant: str, amount: float = 1.0) -> bool:
        """Take an amount if there is room for it; False if nothing was taken."""
        free = self.whole - self.held - amount
        if free < 0:
            return False
        if free < self._reserve and len(self._accounts) > 1 and not self._may_use_reserve(tenant, amount):
            return False
        self.charge(tenant, amount)
        return True

    def _may_use_reserve(self, tenant: str, amount: float) -> bool:
        """Whether a tenant may dip into the reserve: within its entitlement, and not alone with all of it."""
        account = self._accounts[tenant]
        alone = len(self._holders) == (1 if account.held > 0 else 0)
        return not alone and self.within(tenant, amount)

    def charge(self, tenant: str, amount: float) -> None:
        """Take an amount whether there is room or not: for what cannot be refused any more."""
        if amount <= 0:
            return
        account = self._accounts[tenant]
        if account.held <= 0:
            self._active_weight += account.weight
            self._holders[tenant] = account
        account.held += amount
        self.held += amount

    def give(self, tenant: str, amount: float = 1.0) -> None:
        """Give an amount back.

        Raises:
            ValueError: it is more than the tenant holds.
        """
        if amount <= 0:
            return
        account = self._accounts[tenant]
        if amount > account.held + ROUNDING:
            raise ValueError(f"tenant {tenant!r}: gives back {amount}, holds {account.held}")
        account.held -= amount
        self.held -= amount
        if account.held <= ROUNDING:
            self.held = max(self.held - account.held, 0.0)
            account.held = 0.0
            self._active_weight -= account.weight
            del self._holders[tenant]
            if not self._holders:
                self._active_weight = self.held = 0.0  # no rounding is carried along for good

    def victim(self, asker: str, amount: float = 1.0) -> str | None:
        """The tenant furthest beyond its entitlement, which has to give for one that asks within its own.

        None if the asker would be beyond its own, or no other is.
        """
        if not self.within(asker, amount):
            return None
        newcomer = self._accounts[asker]
        active = self._active_weight + (0.0 if newcomer.held > 0 else newcomer.weight)
        worst, excess = None, 0.0
        for tenant, account in self._holders.items():
            beyond = account.held - self.whole * account.weight / active
            if tenant != asker and beyond > excess:
                worst, excess = tenant, beyond
        return worst

    def turn(self) -> None:
        """Begin anew with nothing held: for a resource that is shared out each second, such as log lines."""
        for account in self._holders.values():
            account.held = 0.0
        self._holders.clear()
        self._active_weight = self.held = 0.0
