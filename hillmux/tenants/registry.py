"""Which tenants there are, in which state, and what has to be done to come from one set to another."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from hillmux.tenants.model import Tenant

ADDED, CHANGED, REMOVED = "added", "changed", "removed"


@dataclass(slots=True, frozen=True)
class Change:
    """One step: a tenant that was added, changed or removed."""

    kind: str
    old: Tenant | None
    new: Tenant | None

    @property
    def id(self) -> str:
        """The tenant's."""
        tenant = self.new or self.old
        assert tenant is not None
        return tenant.id

    @property
    def new_module(self) -> bool:
        """Whether the tenant's decision module has to be made anew: its settings are fixed for its life."""
        old, new = self.old, self.new
        return (
            old is not None
            and new is not None
            and (
                (old.settings is not new.settings and old.settings != new.settings)
                or (old.dial_ms, old.idle_ms) != (new.dial_ms, new.idle_ms)
            )
        )


def changes_between(before: dict[str, Tenant], wanted: Iterable[Tenant]) -> list[Change]:
    """From what is to what is wanted: removals first, so that a place is free for who takes it over."""
    after = {tenant.id: tenant for tenant in wanted}
    out = [Change(REMOVED, old, None) for key, old in before.items() if key not in after]
    for key, new in after.items():
        old = before.get(key)
        if old is None:
            out.append(Change(ADDED, None, new))
        elif old != new:
            out.append(Change(CHANGED, old, new))
    return out


class Registry:
    """The tenants that are served."""

    def __init__(self) -> None:
        self.tenants: dict[str, Tenant] = {}

    def commit(self, change: Change) -> None:
        """A step that has been carried out."""
        if change.new is None:
            del self.tenants[change.id]
        else:
            self.tenants[change.id] = change.new
