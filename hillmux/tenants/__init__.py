"""Tenants: configuration, routing of requests to them, and resource shares. No sockets, clocks or files."""

from hillmux.tenants.model import Pool, Route, ServiceConfig, Tenant
from hillmux.tenants.registry import Change, Registry
from hillmux.tenants.router import RouteConflictError, Router
from hillmux.tenants.shares import Shares

__all__ = [
    "Change",
    "Pool",
    "Registry",
    "Route",
    "RouteConflictError",
    "Router",
    "ServiceConfig",
    "Shares",
    "Tenant",
]
