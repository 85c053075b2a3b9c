"""The event loop's time as shares: which tenants used up theirs, and whose requests go after the others'."""

from __future__ import annotations

from typing import Final

from hillmux.tenants.shares import Shares

CHANCE_SLACK: Final = 0.1  # part of the whole by which chance alone may put a tenant beyond its share
HEAVY_USE_FACTOR: Final = 1.5  # times its share of the time used, beyond which others' requests go first


class LoopTime(Shares):
    """Seconds of the loop's time in one turn; `turn` begins the next."""

    def __init__(self, whole: float) -> None:
        super().__init__(whole)
        self._heavy: frozenset[str] = frozenset()  # tenants of the last turn
        self._was_shared = False  # the last turn was of more than one tenant

    def crowded(self, tenant_id: str) -> bool:
        """Whether a tenant has had its part of the loop's time in this turn, and there is none left to lend.

        A tenant that is alone never is, and by the slack none of many that are equally busy is. Requests
        refused for it leave the others their time: to refuse costs a fifth of what serving would.
        """
        if self.held < self.whole or not (self._was_shared or self.holders() > 1):
            return False
        return self.holds(tenant_id) > self.entitled(tenant_id) + CHANCE_SLACK * self.whole

    def heavy(self, tenant_id: str) -> bool:
        """Whether a tenant used much more than its share of the time used, in this turn or the last.

        Its requests are read one by one, after those that others have ready.
        """
        return tenant_id in self._heavy or self._uses_much(tenant_id)

    def _uses_much(self, tenant_id: str) -> bool:
        if self.holders() < 2:
            return False
        return self.holds(tenant_id) > HEAVY_USE_FACTOR * self.entitled(tenant_id) / self.whole * self.held

    def turn(self) -> None:
        """Begin a new turn."""
        self._heavy = frozenset(name for name in self.names() if self._uses_much(name))
        self._was_shared = self.holders() > 1
        super().turn()
