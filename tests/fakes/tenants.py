"""Tenants for tests: as values of the model, and as tables of a configuration file."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from hillmux import interface as api
from hillmux.hosted.config import parse
from hillmux.interface import Idempotency
from hillmux.tenants.model import Pool, Route, ServiceConfig, Tenant, methods_allowed_for

READ = api.RequestClass("read", latency_objective_ms=1500, deadline_ms=3000, priority_weight=3)
BOOK = api.RequestClass(
    "book",
    latency_objective_ms=1500,
    deadline_ms=3000,
    priority_weight=2,
    idempotency=Idempotency.KEYED,
    idempotency_window_ms=4000,
)
PAY = api.RequestClass(
    "pay",
    latency_objective_ms=1500,
    deadline_ms=3000,
    priority_weight=2,
    idempotency=Idempotency.NOT_IDEMPOTENT,
)
SETTINGS = api.Settings(
    classes=(READ, BOOK, PAY),
    plans=(api.Plan("team", rate=50, burst=100),),
    cancellation_allowed=True,
    counter_available=True,
    max_attempts=3,
    max_retry_after_ms=10_000,
)


def route(
    name: str,
    prefix: str = "/api",
    cls: api.RequestClass = READ,
    pool: str = "main",
    methods: str = "",
    **headers: str,
) -> Route:
    """A route; underscores in header names stand for hyphens."""
    allowed = frozenset(m.encode() for m in methods.split()) or methods_allowed_for(cls.idempotency)
    return Route(
        name,
        prefix.encode(),
        allowed,
        tuple(sorted((k.lower().replace("_", "-").encode(), v.encode()) for k, v in headers.items())),
        pool,
        cls.name,
        cls.idempotency,
    )


def tenant(name: str, *routes: Route, **overrides: Any) -> Tenant:
    """A tenant at the host name `<name>.example`."""
    fields: dict[str, Any] = {
        "id": name,
        "host_names": (f"{name}.example",),
        "path_prefixes": (b"/",),
        "routes": routes or (route("reads"),),
        "pools": (Pool("main"),),
        "settings": SETTINGS,
        "default_plan": "team",
    }
    return Tenant(**{**fields, **overrides})


CLASSES = {
    "read": {"aim_ms": 1500, "deadline_ms": 3000, "worth": 3},
    "book": {"aim_ms": 1500, "deadline_ms": 3000, "worth": 2, "effect": "keyed", "window_ms": 4000},
    "pay": {"aim_ms": 1500, "deadline_ms": 3000, "worth": 2, "effect": "unsafe"},
}
PLANS = {"team": {"rate": 500, "burst": 1000}, "small": {"rate": 2, "burst": 4, "over_cost": 1.0}}


def table(name: str, *ports: int, **overrides: Any) -> dict[str, Any]:
    """The configuration table of a tenant, with a pool of hosts at these ports."""
    fields: dict[str, Any] = {
        "id": name,
        "host_names": [f"{name}.example"],
        "default_plan": "team",
        "pools": {
            "main": {
                "hosts": [
                    {"id": f"{name}-{i}", "address": f"127.0.0.1:{port}"} for i, port in enumerate(ports)
                ]
            }
        },
        "routes": [
            {"name": "reads", "prefix": "/api", "pool": "main", "class": "read"},
            {"name": "books", "prefix": "/api/book", "pool": "main", "class": "book"},
            {"name": "pays", "prefix": "/api/pay", "pool": "main", "class": "pay"},
        ],
    }
    return {**fields, **overrides}


def tables(*tenants: dict[str, Any], **overrides: Any) -> dict[str, Any]:
    """The tables of a complete configuration with a listener on a free port."""
    return {
        "listeners": [{"address": "127.0.0.1:0"}],
        "classes": CLASSES,
        "plans": PLANS,
        "tenants": list(tenants),
        **overrides,
    }


def config(*tenants: dict[str, Any], **overrides: Any) -> ServiceConfig:
    """A complete configuration."""
    return parse(tables(*tenants, **overrides), "test.toml", Path("."))
