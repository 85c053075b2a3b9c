"""What the listener of many tenants needs of the service behind it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from hillmux.hosted.core import TenantCore
from hillmux.hosted.resources import Resources
from hillmux.hosted.stats import Stats
from hillmux.net.requests import RequestRules
from hillmux.tenants import model
from hillmux.tenants.router import Router


class TenantSlot(Protocol):
    """What the listener needs of a tenant."""

    tenant: model.Tenant

    @property
    def stats(self) -> Stats:
        """Its counts."""

    @property
    def plans(self) -> dict[str, str]:
        """The plan of each partner that is listed."""

    @property
    def request_rules(self) -> RequestRules:
        """What its requests may name."""


class TenantService(Protocol):
    """What the listener needs of the service."""

    draining: bool
    router: Router
    resources: Resources
    disown: Callable[[str], None]  # called with each tenant that is gone

    def slot(self, tenant_id: str) -> TenantSlot:
        """A tenant that the router names."""

    def core(self, tenant_id: str) -> TenantCore:
        """Its core, awake."""

    def make_room(self, tenant_id: str) -> bool:
        """Have whoever holds more than its part answer one request early; whether anyone did."""

    def give_way(self, tenant_id: str) -> bool:
        """Have a tenant, which may be gone by now, answer one request early; whether it did."""

    def ready(self) -> bool:
        """Whether requests are taken."""
