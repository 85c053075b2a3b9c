"""The tenants being served, and the changes that lead from one set of tenants to another."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from hillmux.tenants.model import Tenant

ADDED, CHANGED, REMOVED = "added", "changed", "removed"


@dataclass(slots=True, frozen=True)
class Change:
    """A tenant that was added, changed or removed."""

    kind: str
    old: Tenant | None
    new: Tenant | None

    @property
    def id(self) -> str:
        """The tenant's id."""
        tenant = self.new or self.old
        assert tenant is not None
        return tenant.id

    @property
    def needs_new_module(self) -> bool:
        """Whether the tenant needs a new decision module, since a module's settings can't change."""
        old, new = self.old, self.new
        return (
            old is not None
            and new is not None
            and (
                (old.settings is not new.settings and old.settings != new.settings)
                or (old.dial_ms, old.idle_ms) != (new.dial_ms, new.idle_ms)
            )
        )


def changes_between(before: dict[str, Tenant], tenants: Iterable[Tenant]) -> list[Change]:
    """The changes from `before` to `tenants`.

    Removals come first, so that a host name and prefix can pass from one tenant to another.
    """
    after = {tenant.id: tenant for tenant in tenants}
    changes = [Change(REMOVED, old, None) for key, old in before.items() if key not in after]
    for key, new in after.items():
        old = before.get(key)
        if old is None:
            changes.append(Change(ADDED, None, new))
        elif old != new:
            changes.append(Change(CHANGED, old, new))
    return changes


class Registry:
    """The tenants being served."""

    def __init__(self) -> None:
        self.tenants: dict[str, Tenant] = {}

    def commit(self, change: Change) -> None:
        """Record a change that has been applied."""
        if change.new is None:
            del self.tenants[change.id]
        else:
            self.tenants[change.id] = change.new
