"""The configuration file to a `ServiceConfig`: all faults at once, with file, field, found and expected."""

from __future__ import annotations

import tomllib
from collections.abc import Iterable
from dataclasses import dataclass
from functools import cache
from pathlib import Path
from types import ModuleType
from typing import Any

import tomli
from pydantic import TypeAdapter, ValidationError

from hillmux import interface as api
from hillmux.hosted import shape
from hillmux.interface import HostStatus, Idempotency, KeyScope
from hillmux.tenants import model, router
from hillmux.tenants.addresses import AddressBook

MOST_FAULTS = 100  # told at once
SHOWN = 60  # characters of what was found
COUNT_PATIENCE = 3.0  # as the platform's gateway has it: a late total is true, too


@dataclass(slots=True, frozen=True)
class Fault:
    """One thing that is wrong with a file."""

    file: str
    path: str  # of the field, as in `tenants[2].pools.main.hosts[0].address`; "" for the whole
    text: str  # what was found, and what may stand there

    def __str__(self) -> str:
        return ": ".join(part for part in (self.file, self.path, self.text) if part)


class ConfigFaultsError(ValueError):
    """A configuration that is not taken, with all that is wrong with it."""

    def __init__(self, faults: list[Fault]) -> None:
        self.faults = faults
        lines = [str(fault) for fault in faults[:MOST_FAULTS]]
        if len(faults) > MOST_FAULTS:
            lines.append(f"and {len(faults) - MOST_FAULTS} more faults")
        super().__init__("\n".join(lines))


@cache
def _adapter(kind: type[shape.Shape]) -> TypeAdapter[Any]:
    return TypeAdapter(kind)


def load(path: Path, gently: bool = False) -> model.ServiceConfig:
    """The configuration in a file; `gently`: slower, and other threads are not held up.

    Raises:
        ConfigFaultsError: with every fault that was found.
    """
    return parse(read_toml(path, tomllib if gently else tomli), str(path), path.parent)


def read_toml(path: Path, reader: ModuleType = tomli) -> dict[str, Any]:
    """A file's tables; ConfigFaultsError where it is none."""
    try:
        return dict(reader.loads(path.read_text(encoding="utf-8")))
    except OSError as error:
        raise ConfigFaultsError([Fault(str(path), "", f"cannot be read: {error.strerror}")]) from None
    except (UnicodeDecodeError, tomli.TOMLDecodeError, tomllib.TOMLDecodeError) as error:
        raise ConfigFaultsError([Fault(str(path), "", f"is no TOML in UTF-8: {error}")]) from None


def parse(raw: dict[str, Any], file: str, folder: Path) -> model.ServiceConfig:
    """Tables as a `ServiceConfig`; paths in them are relative to `folder`. Raises as `load` does."""
    faults: list[Fault] = []
    head = _validate(shape.FileShape, raw, file, "", faults)
    if head is None:  # its tenants are looked at all the same, for their faults
        for i, entry in enumerate(raw.get("tenants") or []):
            _validate(shape.TenantShape, entry, file, f"tenants[{i}]", faults)
        raise ConfigFaultsError(faults)
    if head.gateway.number >= head.gateway.fleet_size:
        faults.append(
            Fault(
                file,
                "gateway.number",
                f"found {head.gateway.number}, expected 0 to "
                f"{head.gateway.fleet_size - 1} (below fleet_size)",
            )
        )
    if head.gateway.fleet_size > 1 and head.counter.address is None:
        text = f"is missing, expected HOST:PORT: gateway.fleet_size is {head.gateway.fleet_size}"
        faults.append(Fault(file, "counter.address", text))
    tenants: list[model.Tenant] = []
    maker = _Maker(head, file, folder, faults)
    for i, entry in enumerate(head.tenants):
        shaped = _validate(shape.TenantShape, entry, file, f"tenants[{i}]", faults)
        if shaped is not None:
            tenants.append(maker.tenant(shaped, f"tenants[{i}]"))
    faults += [Fault(file, "tenants", text) for text in check_together(tenants)]
    if faults:
        raise ConfigFaultsError(faults)
    limits = head.limits
    return model.ServiceConfig(
        name=head.gateway.name,
        listeners=tuple(item.address for item in head.listeners),
        tenants=tuple(tenants),
        state_folder=str(folder / head.state_folder) if head.state_folder else "",
        number=head.gateway.number,
        fleet_size=head.gateway.fleet_size,
        drain_s=head.gateway.drain_s,
        counter=head.counter.address,
        count_wait_ms=COUNT_PATIENCE * head.counter.wait_ms,
        limits=model.Limits(
            limits.sockets,
            limits.open_requests,
            limits.buffer_mb,
            limits.dials,
            limits.log_lines,
            limits.loop_share,
        ),
    )


def check_together(tenants: Iterable[model.Tenant]) -> list[str]:
    """What is wrong between tenants that are each sound: claims, scopes, and hosts that two would share."""
    tenants = list(tenants)
    faults = router.check_tenants(tenants)
    scopes: dict[str, str] = {}
    holders: dict[model.Address, str] = {}
    for tenant in tenants:
        held = scopes.setdefault(model.scope_of(tenant.id), tenant.id)
        if held != tenant.id:
            faults.append(f"tenants {held!r} and {tenant.id!r}: have one scope in the counter: rename one")
        for pool in tenant.pools:
            for name, address in pool.addresses:
                other = holders.setdefault(address, tenant.id)
                if other != tenant.id:
                    faults.append(
                        f"tenants {other!r} and {tenant.id!r}: both list the host {name!r} at "
                        f"{address[0]}:{address[1]}: a host is one tenant's, or neither could keep it "
                        "from falling over when it is cold, nor tell its keys from the other's"
                    )
    return faults


def check_files(config: model.ServiceConfig) -> list[str]:
    """What is wrong with the files of hosts that a configuration names, one by one and together."""
    book, faults = AddressBook(), list[str]()
    for tenant in config.tenants:
        book.claim((tenant.id, ""), [address for pool in tenant.pools for _, address in pool.addresses])
    for tenant in config.tenants:
        for pool in tenant.pools:
            if not pool.hosts_file:
                continue
            try:
                addresses = [address for _, address in load_hosts(Path(pool.hosts_file), pool.name)[1]]
            except ConfigFaultsError as error:
                faults += [str(fault) for fault in error.faults]
                continue
            faults += [
                str(
                    Fault(
                        pool.hosts_file, "hosts", f"found {host}:{port}, which is a host of tenant {other!r}"
                    )
                )
                for (host, port), (other, _) in book.held_by_others(tenant.id, addresses).items()
            ]
            book.claim((tenant.id, pool.hosts_file), addresses)
    return faults


def load_hosts(
    path: Path, pool: str
) -> tuple[tuple[api.Endpoint, ...], tuple[tuple[str, model.Address], ...]]:
    """A pool's file of hosts: servers, and addresses by name. ConfigFaultsError where it is none."""
    faults: list[Fault] = []
    shaped = _validate(shape.HostsFileShape, read_toml(path), str(path), "", faults)
    if shaped is not None:
        faults += _twice(shaped.hosts, str(path), "hosts")
    if shaped is None or faults:
        raise ConfigFaultsError(faults)
    return _servers(shaped.hosts, pool), tuple((h.id, h.address) for h in shaped.hosts)


def _validate(kind: type[shape.Shape], raw: Any, file: str, at: str, faults: list[Fault]) -> Any:
    """A table as its shape; None, with its faults told, where it is none."""
    try:
        return _adapter(kind).validate_python(raw)
    except ValidationError as error:
        label = raw.get("id") if isinstance(raw, dict) else None
        named = f"{at} ({label})" if at and isinstance(label, str) else at
        for item in error.errors(include_url=False):
            where = "".join(
                f"[{part}]" if isinstance(part, int) else f".{part}"
                for part in item["loc"]
                if part != "[key]"
            )
            faults.append(Fault(file, (named + where).lstrip("."), _tell(item)))
        return None


def _tell(item: Any) -> str:
    if item["type"] == "missing":
        return "is missing"
    if item["type"] == "extra_forbidden":
        return f"found {_show(item['input'])}, expected no field of this name"
    what = item["msg"]
    for start, short in (("Input should be ", ""), ("Value error, ", ""), ("Input should have", "what has")):
        what = what.replace(start, short) if what.startswith(start) else what
    return f"found {_show(item['input'])}, expected {what}"


def _show(found: object) -> str:
    text = repr(found)
    return text if len(text) <= SHOWN else text[:SHOWN] + "..."


class _Maker:
    """Shapes to tenants; settings and routes that are alike are made once, however many tenants have them."""

    def __init__(self, head: shape.FileShape, file: str, folder: Path, faults: list[Fault]) -> None:
        self._head, self._file, self._folder, self._faults = head, file, folder, faults
        self._settings: dict[api.Settings, api.Settings] = {}
        self._routes: dict[tuple[model.Route, ...], tuple[model.Route, ...]] = {}

    def tenant(self, shaped: shape.TenantShape, at: str) -> model.Tenant:
        """One tenant; what is wrong with it beyond its shape is added to the faults."""
        at = f"{at} ({shaped.id})"
        classes = shaped.classes or self._head.classes
        plans = shaped.plans or self._head.plans
        if not classes:
            self._fault(
                f"{at}.classes", "found none, expected one at least, here or in the file's own classes"
            )
        if not plans:
            self._fault(f"{at}.plans", "found none, expected one at least, here or in the file's own plans")
        if shaped.default_plan and shaped.default_plan not in plans:
            self._fault(
                f"{at}.default_plan", f"found {shaped.default_plan!r}, expected one of {_names(plans)}"
            )
        for name, partner in shaped.partners.items():
            if partner.plan not in plans:
                self._fault(
                    f"{at}.partners.{name}.plan", f"found {partner.plan!r}, expected one of {_names(plans)}"
                )
        if not shaped.partners and not shaped.default_plan:
            self._fault(
                f"{at}.partners", "found none and no default_plan, expected either: nobody could call"
            )
        routes = tuple(
            self._route(route, shaped, classes, f"{at}.routes[{i}]") for i, route in enumerate(shaped.routes)
        )
        tenant = model.Tenant(
            id=shaped.id,
            host_names=shaped.host_names,
            path_prefixes=tuple(prefix.encode() for prefix in shaped.path_prefixes),
            routes=self._routes.setdefault(routes, routes),
            pools=self._pools(shaped, at),
            settings=self._settings_of(shaped, classes, plans),
            state=shaped.state,
            share=shaped.share,
            partners=tuple((name, partner.plan) for name, partner in shaped.partners.items()),
            default_plan=shaped.default_plan,
            partner_header=(shaped.partner_header or "").lower().encode(),
            dial_ms=shaped.module.dial_timeout_ms,
            idle_ms=shaped.module.conn_idle_ms,
        )
        for text in router.check_routes(tenant):
            self._fault(f"{at}.routes", text)
        return tenant

    def _fault(self, path: str, text: str) -> None:
        self._faults.append(Fault(self._file, path, text))

    def _route(
        self,
        route: shape.RouteShape,
        shaped: shape.TenantShape,
        classes: dict[str, shape.ClassShape],
        at: str,
    ) -> model.Route:
        effect = "safe"
        if route.class_ in classes:
            effect = classes[route.class_].effect
        else:
            self._fault(f"{at}.class", f"found {route.class_!r}, expected one of {_names(classes)}")
        if route.pool not in shaped.pools:
            self._fault(f"{at}.pool", f"found {route.pool!r}, expected one of {_names(shaped.pools)}")
        allowed = model.methods_allowed_for(effect)
        methods = frozenset(method.encode() for method in route.methods) or (
            allowed if effect == "safe" else frozenset((b"POST",))
        )
        for method in sorted(methods - allowed):
            if route.class_ in classes:
                self._fault(
                    f"{at}.methods",
                    f"found {method.decode()!r}, expected of {_names(m.decode() for m in allowed)}"
                    f": class {route.class_!r} is {effect}",
                )
        prefix = router.without_trailing_slash(route.prefix.encode())
        if not any(
            (prefix + b"/").startswith(router.without_trailing_slash(p.encode()) + b"/")
            for p in shaped.path_prefixes
        ):
            self._fault(
                f"{at}.prefix",
                f"found {route.prefix!r}, expected a path under one of the tenant's "
                f"path_prefixes {_names(shaped.path_prefixes)}: nothing would reach it",
            )
        return model.Route(
            route.name,
            route.prefix.encode(),
            methods,
            tuple(sorted((n.lower().encode(), v.encode()) for n, v in route.headers.items())),
            route.pool,
            route.class_,
            effect,
        )

    def _pools(self, shaped: shape.TenantShape, at: str) -> tuple[model.Pool, ...]:
        pools, seen = [], dict[str, str]()
        for name, pool in shaped.pools.items():
            where = f"{at}.pools.{name}"
            if pool.hosts_file and pool.hosts:
                self._fault(where, "found hosts and hosts_file, expected one of them")
            self._faults += _twice(pool.hosts, self._file, f"{where}.hosts")
            for host in pool.hosts:
                other = seen.setdefault(host.id, name)
                if other != name:
                    self._fault(
                        f"{where}.hosts",
                        f"found id {host.id!r}, which pool {other!r} has, too; "
                        "expected an id in one pool of a tenant",
                    )
            path = str(self._folder / pool.hosts_file) if pool.hosts_file else ""
            pools.append(
                model.Pool(
                    name, _servers(pool.hosts, name), tuple((h.id, h.address) for h in pool.hosts), path
                )
            )
        return tuple(pools)

    def _settings_of(
        self,
        shaped: shape.TenantShape,
        classes: dict[str, shape.ClassShape],
        plans: dict[str, shape.PlanShape],
    ) -> api.Settings:
        module, gateway = shaped.module, self._head.gateway
        settings = api.Settings(
            classes=tuple(_request_class(name, c) for name, c in classes.items()),
            plans=tuple(_plan(name, p) for name, p in plans.items()),
            gateway_index=gateway.number,
            fleet_size=gateway.fleet_size,
            max_attempts=module.try_limit,
            cancellation_allowed=True,
            max_retry_after_ms=module.max_retry_after_ms,
            counter_available=True,
            max_request_units=module.most_units,
            max_customers=module.most_customers,
            counter_timeout_ms=COUNT_PATIENCE * self._head.counter.wait_ms,
            actual_units_reported=True,
            drain_grace_ms=module.drain_grace_ms,
            slow_start_min_share=module.cold_from,
            slow_start_ms=module.cold_ms,
            overload_multiple=module.fall_multiple,
            overload_after_ms=module.tip_after_ms,
        )
        return self._settings.setdefault(settings, settings)


def _request_class(name: str, found: shape.ClassShape) -> api.RequestClass:
    return api.RequestClass(
        name,
        latency_objective_ms=found.aim_ms,
        deadline_ms=found.deadline_ms,
        priority_weight=found.worth,
        late_priority_weight=found.late_worth,
        idempotency=Idempotency(found.effect),
        key_scope=KeyScope(found.key_scope),
        idempotency_window_ms=found.window_ms,
    )


def _plan(name: str, found: shape.PlanShape) -> api.Plan:
    return api.Plan(
        name,
        rate=found.rate,
        burst=found.burst,
        priority_weight=found.worth,
        over_quota_weight=found.over_worth,
        over_quota_cost=found.over_cost,
        ceiling_rate=found.ceiling_rate,
        ceiling_burst=found.ceiling_burst,
        ceiling_tolerance=found.ceiling_slack,
    )


def _names(names: Iterable[str]) -> str:
    known = sorted(names)
    text = ", ".join(known[:8]) + (", ..." if len(known) > 8 else "")
    return text or "(none)"


def _twice(hosts: tuple[shape.HostShape, ...], file: str, at: str) -> list[Fault]:
    faults, seen = [], set[str]()
    for i, host in enumerate(hosts):
        if host.id in seen:
            faults.append(Fault(file, f"{at}[{i}].id", f"found {host.id!r} again, expected an id of its own"))
        seen.add(host.id)
    return faults


def _servers(hosts: tuple[shape.HostShape, ...], pool: str) -> tuple[api.Endpoint, ...]:
    return tuple(
        api.Endpoint(
            h.id,
            h.zone,
            h.cell,
            HostStatus.UP if h.state == "ready" else HostStatus.DRAINING,
            h.weight,
            h.started_at_ms,
            pool,
        )
        for h in hosts
    )
