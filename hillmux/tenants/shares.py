"""Weighted fair shares of one resource; unused capacity is lent out and can be reclaimed at any time.

A tenant's guaranteed share is the capacity divided by weight among the tenants that hold any of it now,
itself included. Guaranteed shares therefore never sum to more than the capacity, and a tenant that is the
only holder is guaranteed all of it. Within its guaranteed share a tenant acquires freely. Beyond it, or as
the only holder among several registered tenants, it borrows, and only while the reserve stays free. A tenant
that becomes active again thus finds room at once, and can get more through `eviction_victim`: if there is no
room for a tenant within its guaranteed share, another one holds more than its own and has to release some.

Every operation takes constant time in the number of tenants, except `eviction_victim`, which iterates over
the
holders: at most as many as the capacity has units.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

RESERVE_SHARE: Final = 0.25  # fraction of the capacity that is kept free for tenants that hold nothing yet
ROUNDING: Final = 1e-6  # largest rounding error of a sum of amounts


@dataclass(slots=True)
class _Account:
    weight: float
    held: float = 0.0


class Shares:
    """Tracks how much of a resource each tenant holds.

    Attributes:
        capacity: the amount that all tenants may hold together.
        total_held: the amount that all tenants hold together.
    """

    def __init__(self, capacity: float, reserve: float = RESERVE_SHARE) -> None:
        if capacity <= 0 or not 0 <= reserve < 1:
            raise ValueError(
                f"capacity, reserve: found {capacity}, {reserve}, expected above 0, and 0 to below 1"
            )
        self.capacity, self._reserve = capacity, reserve * capacity
        self._accounts: dict[str, _Account] = {}
        self._holders: dict[str, _Account] = {}  # accounts that hold something
        self._active_weight = 0.0  # sum of the holders' weights
        self.total_held = 0.0

    def register(self, tenant: str, weight: float) -> None:
        """Add a tenant, or change its weight (above 0)."""
        account = self._accounts.get(tenant)
        if account is None:
            self._accounts[tenant] = _Account(weight)
            return
        if account.held > 0:
            self._active_weight += weight - account.weight
        account.weight = weight

    def unregister(self, tenant: str) -> None:
        """Remove a tenant.

        Raises:
            ValueError: it still holds something; it stays registered.
        """
        account = self._accounts.get(tenant)
        if account is not None and account.held > 0:
            raise ValueError(f"tenant {tenant!r}: still holds {account.held}")
        self._accounts.pop(tenant, None)

    def held_by(self, tenant: str) -> float:
        """The amount that a tenant holds; 0 for one that is not registered."""
        account = self._accounts.get(tenant)
        return 0.0 if account is None else account.held

    def is_registered(self, tenant: str) -> bool:
        """Whether a tenant has an account."""
        return tenant in self._accounts

    def holder_count(self) -> int:
        """The number of tenants that hold something."""
        return len(self._holders)

    def holder_names(self) -> list[str]:
        """The tenants that hold something."""
        return list(self._holders)

    def guaranteed_share(self, tenant: str) -> float:
        """The amount that a tenant may hold whatever the demand of the others."""
        account = self._accounts[tenant]
        active = self._active_weight + (0.0 if account.held > 0 else account.weight)
        return self.capacity * account.weight / active

    def within_guaranteed_share(self, tenant: str, amount: float = 1.0) -> bool:
        """Whether a tenant would not exceed its guaranteed share with `amount` more."""
        return self._accounts[tenant].held + amount <= self.guaranteed_share(tenant) * (1 + 1e-9)

    def acquire(self, tenant: str, amount: float = 1.0) -> bool:
        """Acquire an amount if there is room for it; False if nothing was acquired."""
        free = self.capacity - self.total_held - amount
        if free < 0:
            return False
        if free < self._reserve and len(self._accounts) > 1 and not self._may_use_reserve(tenant, amount):
            return False
        self.charge(tenant, amount)
        return True

    def _may_use_reserve(self, tenant: str, amount: float) -> bool:
        """Whether a tenant may use the reserve: within its guaranteed share, and not as the only holder."""
        account = self._accounts[tenant]
        alone = len(self._holders) == (1 if account.held > 0 else 0)
        return not alone and self.within_guaranteed_share(tenant, amount)

    def charge(self, tenant: str, amount: float) -> None:
        """Acquire an amount whether there is room or not: for usage that can no longer be rejected."""
        if amount <= 0:
            return
        account = self._accounts[tenant]
        if account.held <= 0:
            self._active_weight += account.weight
            self._holders[tenant] = account
        account.held += amount
        self.total_held += amount

    def release(self, tenant: str, amount: float = 1.0) -> None:
        """Release an amount.

        Raises:
            ValueError: it is more than the tenant holds.
        """
        if amount <= 0:
            return
        account = self._accounts[tenant]
        if amount > account.held + ROUNDING:
            raise ValueError(f"tenant {tenant!r}: releases {amount}, holds {account.held}")
        account.held -= amount
        self.total_held -= amount
        if account.held <= ROUNDING:
            self.total_held = max(self.total_held - account.held, 0.0)
            account.held = 0.0
            self._active_weight -= account.weight
            del self._holders[tenant]
            if not self._holders:
                self._active_weight = self.total_held = 0.0  # rounding errors must not accumulate

    def eviction_victim(self, requester: str, amount: float = 1.0) -> str | None:
        """The tenant that exceeds its guaranteed share most, which has to release some for the requester.

        None if the requester itself would exceed its guaranteed share, or no other tenant does.
        """
        if not self.within_guaranteed_share(requester, amount):
            return None
        requesting = self._accounts[requester]
        active = self._active_weight + (0.0 if requesting.held > 0 else requesting.weight)
        victim, largest_excess = None, 0.0
        for tenant, account in self._holders.items():
            excess = account.held - self.capacity * account.weight / active
            if tenant != requester and excess > largest_excess:
                victim, largest_excess = tenant, excess
        return victim

    def start_period(self) -> None:
        """Reset all holdings: for a resource that is shared out per period, such as log lines per second."""
        for account in self._holders.values():
            account.held = 0.0
        self._holders.clear()
        self._active_weight = self.total_held = 0.0
