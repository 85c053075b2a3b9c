"""The interface of the service that the listener for all tenants uses."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from hillmux.hosted.core import TenantCore
from hillmux.hosted.resources import Resources
from hillmux.hosted.stats import Stats
from hillmux.net.requests import RequestRules
from hillmux.tenants import model
from hillmux.tenants.router import Router


class TenantInfo(Protocol):
    """What the listener uses of a tenant."""

    tenant: model.Tenant

    @property
    def stats(self) -> Stats:
        """The tenant's statistics."""

    @property
    def plans(self) -> dict[str, str]:
        """The plan of each configured partner."""

    @property
    def request_rules(self) -> RequestRules:
        """The rules for requests under the tenant's settings."""


class TenantService(Protocol):
    """What the listener uses of the service."""

    draining: bool
    router: Router
    resources: Resources
    on_tenant_removed: Callable[[str], None]  # called with the id of each removed tenant

    def record(self, tenant_id: str) -> TenantInfo:
        """The record of a tenant that is being served."""

    def core(self, tenant_id: str) -> TenantCore:
        """A tenant's core, created if it has none."""

    def make_room(self, tenant_id: str) -> bool:
        """Shed a request of the tenant most over its share of open requests; returns whether one was shed."""

    def shed_request(self, tenant_id: str) -> bool:
        """Shed a request of a tenant, which may have been removed; returns whether one was shed."""

    def ready(self) -> bool:
        """Whether the service accepts requests."""
