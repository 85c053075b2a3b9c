"""Tenants: what each is, which requests are whose, what each may hold. No sockets, clocks or files."""

from yewstage.tenants.model import Pool, Route, ServiceConfig, Tenant
from yewstage.tenants.registry import Change, Registry
from yewstage.tenants.router import RouteFault, Router
from yewstage.tenants.shares import Shares

__all__ = ["Change", "Pool", "Registry", "Route", "RouteFault", "Router", "ServiceConfig", "Shares", "Tenant"]
