"""The loop's time as shares: who has had its part of a turn, and whose requests go after the others'."""

from __future__ import annotations

from hillmux.tenants.shares import Shares

SLACK = 0.1  # of the whole, by which a tenant may be beyond its part: chance alone is no flood
HEAVY = 1.5  # times a tenant's part of the time that is taken, beyond which others' requests go first


class LoopTime(Shares):
    """Seconds of each turn, dealt out anew by `turn`."""

    def __init__(self, whole: float) -> None:
        super().__init__(whole)
        self._heavy: frozenset[str] = frozenset()  # those that took much in the last turn
        self._was_shared = False  # the last turn was of more than one tenant

    def crowded(self, tenant_id: str) -> bool:
        """Whether a tenant has had its part of the loop's time in this turn, and there is none left to lend.

        One that is alone is never crowded, and of many that are busy alike none is, by the slack.

        Guards the others' time: what is refused here costs a fifth of what the module and a host would.
        """
        if self.held < self.whole or not (self._was_shared or self.holders() > 1):
            return False
        return self.holds(tenant_id) > self.entitled(tenant_id) + SLACK * self.whole

    def heavy(self, tenant_id: str) -> bool:
        """Whether a tenant takes much more of the loop's time than its part of what all take, in this turn or
        the last: what it sends goes one by one, after what others have ready."""
        return tenant_id in self._heavy or self._takes_much(tenant_id)

    def _takes_much(self, tenant_id: str) -> bool:
        if self.holders() < 2:
            return False
        return self.holds(tenant_id) > HEAVY * self.entitled(tenant_id) / self.whole * self.held

    def turn(self) -> None:
        """Deal the loop's time out anew."""
        self._heavy = frozenset(name for name in self.names() if self._takes_much(name))
        self._was_shared = self.holders() > 1
        super().turn()
