"""Shares of the event loop's time: which tenants have used up theirs, and which are served last."""

from __future__ import annotations

from typing import Final

from hillmux.tenants.shares import Shares

OVER_SHARE_TOLERANCE: Final = 0.1  # fraction of the capacity by which chance alone may exceed a share
OVER_SHARE_FACTOR: Final = 1.5  # multiple of its share of the time used, beyond which a tenant is served last


class LoopTime(Shares):
    """Seconds of the event loop's time in one accounting period; `start_period` begins the next."""

    def __init__(self, capacity: float) -> None:
        super().__init__(capacity)
        self._last_over_share: frozenset[str] = frozenset()  # tenants over their share in the last period
        self._was_shared = False  # several tenants used time in the last period

    def must_shed_load(self, tenant_id: str) -> bool:
        """Whether a tenant has used up its share of the loop's time in this period, with none left to lend.

        Never true of a tenant that is alone, and, due to the tolerance, of none among many equally busy ones.
        Rejecting its requests leaves time to the others: a rejection costs a fifth of serving the request.
        """
        if self.total_held < self.capacity or not (self._was_shared or self.holder_count() > 1):
            return False
        return (
            self.held_by(tenant_id) > self.guaranteed_share(tenant_id) + OVER_SHARE_TOLERANCE * self.capacity
        )

    def over_share(self, tenant_id: str) -> bool:
        """Whether a tenant used much more than its share of the time used, in this period or the last.

        Its requests are read one at a time, after those that other tenants have ready.
        """
        return tenant_id in self._last_over_share or self._is_over_share(tenant_id)

    def _is_over_share(self, tenant_id: str) -> bool:
        if self.holder_count() < 2:
            return False
        return (
            self.held_by(tenant_id)
            > OVER_SHARE_FACTOR * self.guaranteed_share(tenant_id) / self.capacity * self.total_held
        )

    def start_period(self) -> None:
        """Begin a new accounting period."""
        self._last_over_share = frozenset(name for name in self.holder_names() if self._is_over_share(name))
        self._was_shared = self.holder_count() > 1
        super().start_period()
