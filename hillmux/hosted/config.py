"""Loads the configuration file as a `ServiceConfig`; reports all errors at once, with file and field."""

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
from hillmux.hosted import config_schema
from hillmux.interface import HostStatus, Idempotency, KeyScope
from hillmux.tenants import model, router
from hillmux.tenants.addresses import AddressBook

MAX_REPORTED_FAULTS = 100  # errors listed in one exception
MAX_VALUE_CHARS = 60  # characters of an invalid value that are shown
COUNTER_TIMEOUT_FACTOR = 3.0  # multiple of `wait_ms`, as on the platform: a late total is still correct


@dataclass(slots=True, frozen=True)
class Fault:
    """One error in a file."""

    file: str
    path: str  # path of the field, as in `tenants[2].pools.main.hosts[0].address`; "" for the whole file
    text: str  # the value found and the values allowed

    def __str__(self) -> str:
        return ": ".join(part for part in (self.file, self.path, self.text) if part)


class ConfigFaultsError(ValueError):
    """A configuration was rejected; `faults` lists all its errors."""

    def __init__(self, faults: list[Fault]) -> None:
        self.faults = faults
        lines = [str(fault) for fault in faults[:MAX_REPORTED_FAULTS]]
        if len(faults) > MAX_REPORTED_FAULTS:
            lines.append(f"and {len(faults) - MAX_REPORTED_FAULTS} more faults")
        super().__init__("\n".join(lines))


@cache
def _adapter(kind: type[config_schema.Shape]) -> TypeAdapter[Any]:
    return TypeAdapter(kind)


def load(path: Path, pure_python: bool = False) -> model.ServiceConfig:
    """Load a configuration file.

    Args:
        path: the file.
        pure_python: use the slower TOML parser in pure Python, which lets other threads run.

    Raises:
        ConfigFaultsError: with every error that was found.
    """
    return parse(read_toml(path, tomllib if pure_python else tomli), str(path), path.parent)


def read_toml(path: Path, reader: ModuleType = tomli) -> dict[str, Any]:
    """The tables of a TOML file; ConfigFaultsError if it is unreadable or not valid TOML."""
    try:
        return dict(reader.loads(path.read_text(encoding="utf-8")))
    except OSError as error:
        raise ConfigFaultsError([Fault(str(path), "", f"cannot be read: {error.strerror}")]) from None
    except (UnicodeDecodeError, tomli.TOMLDecodeError, tomllib.TOMLDecodeError) as error:
        raise ConfigFaultsError([Fault(str(path), "", f"is no valid TOML in UTF-8: {error}")]) from None


def parse(raw: dict[str, Any], file: str, folder: Path) -> model.ServiceConfig:
    """Build a `ServiceConfig` from TOML tables; paths in them are relative to `folder`.

    Raises:
        ConfigFaultsError: with every error that was found.
    """
    faults: list[Fault] = []
    file_table = _validate(config_schema.FileShape, raw, file, "", faults)
    if file_table is None:  # validate the tenants too, so that their errors are reported with the others
        for i, entry in enumerate(raw.get("tenants") or []):
            _validate(config_schema.TenantShape, entry, file, f"tenants[{i}]", faults)
        raise ConfigFaultsError(faults)
    if file_table.gateway.number >= file_table.gateway.fleet_size:
        faults.append(
            Fault(
                file,
                "gateway.number",
                f"found {file_table.gateway.number}, expected 0 to "
                f"{file_table.gateway.fleet_size - 1} (below fleet_size)",
            )
        )
    if file_table.gateway.fleet_size > 1 and file_table.counter.address is None:
        text = f"is missing, expected HOST:PORT: gateway.fleet_size is {file_table.gateway.fleet_size}"
        faults.append(Fault(file, "counter.address", text))
    tenants: list[model.Tenant] = []
    builder = _TenantBuilder(file_table, file, folder, faults)
    for i, entry in enumerate(file_table.tenants):
        parsed = _validate(config_schema.TenantShape, entry, file, f"tenants[{i}]", faults)
        if parsed is not None:
            tenants.append(builder.tenant(parsed, f"tenants[{i}]"))
    faults += [Fault(file, "tenants", text) for text in check_together(tenants)]
    if faults:
        raise ConfigFaultsError(faults)
    limits = file_table.limits
    return model.ServiceConfig(
        name=file_table.gateway.name,
        listeners=tuple(item.address for item in file_table.listeners),
        tenants=tuple(tenants),
        state_folder=str(folder / file_table.state_folder) if file_table.state_folder else "",
        number=file_table.gateway.number,
        fleet_size=file_table.gateway.fleet_size,
        drain_s=file_table.gateway.drain_s,
        counter=file_table.counter.address,
        count_wait_ms=COUNTER_TIMEOUT_FACTOR * file_table.counter.wait_ms,
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
    """Conflicts between tenants that are each valid: equal claims, counter scopes or hosts."""
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
                        f"{address[0]}:{address[1]}: a host must belong to one tenant, otherwise neither "
                        "could limit its load when it is cold, nor tell its idempotency keys from the other's"
                    )
    return faults


def check_files(config: model.ServiceConfig) -> list[str]:
    """Errors in the hosts files that a configuration names, and conflicts between them."""
    address_book, faults = AddressBook(), list[str]()
    for tenant in config.tenants:
        address_book.claim(
            (tenant.id, ""), [address for pool in tenant.pools for _, address in pool.addresses]
        )
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
                for (host, port), (other, _) in address_book.held_by_others(tenant.id, addresses).items()
            ]
            address_book.claim((tenant.id, pool.hosts_file), addresses)
    return faults


def load_hosts(
    path: Path, pool: str
) -> tuple[tuple[api.Endpoint, ...], tuple[tuple[str, model.Address], ...]]:
    """Load a pool's hosts file: its servers, and their names with addresses.

    Raises:
        ConfigFaultsError: with every error that was found.
    """
    faults: list[Fault] = []
    parsed = _validate(config_schema.HostsFileShape, read_toml(path), str(path), "", faults)
    if parsed is not None:
        faults += _duplicate_ids(parsed.hosts, str(path), "hosts")
    if parsed is None or faults:
        raise ConfigFaultsError(faults)
    return _servers(parsed.hosts, pool), tuple((h.id, h.address) for h in parsed.hosts)


def _validate(kind: type[config_schema.Shape], raw: Any, file: str, path: str, faults: list[Fault]) -> Any:
    """Validate a table; if it is invalid, add its errors to `faults` and return None."""
    try:
        return _adapter(kind).validate_python(raw)
    except ValidationError as error:
        label = raw.get("id") if isinstance(raw, dict) else None
        table_path = f"{path} ({label})" if path and isinstance(label, str) else path
        for item in error.errors(include_url=False):
            where = "".join(
                f"[{part}]" if isinstance(part, int) else f".{part}"
                for part in item["loc"]
                if part != "[key]"
            )
            faults.append(Fault(file, (table_path + where).lstrip("."), _describe(item)))
        return None


def _describe(item: Any) -> str:
    if item["type"] == "missing":
        return "is missing"
    if item["type"] == "extra_forbidden":
        return f"found {_abbreviate(item['input'])}, expected no field of this name"
    what = item["msg"]
    for start, short in (("Input should be ", ""), ("Value error, ", ""), ("Input should have", "what has")):
        what = what.replace(start, short) if what.startswith(start) else what
    return f"found {_abbreviate(item['input'])}, expected {what}"


def _abbreviate(found: object) -> str:
    text = repr(found)
    return text if len(text) <= MAX_VALUE_CHARS else text[:MAX_VALUE_CHARS] + "..."


class _TenantBuilder:
    """Builds tenants from validated tables; equal settings and routes are shared between tenants."""

    def __init__(
        self, file_table: config_schema.FileShape, file: str, folder: Path, faults: list[Fault]
    ) -> None:
        self._file_table, self._file, self._folder, self._faults = file_table, file, folder, faults
        self._settings: dict[api.Settings, api.Settings] = {}
        self._routes: dict[tuple[model.Route, ...], tuple[model.Route, ...]] = {}

    def tenant(self, parsed: config_schema.TenantShape, path: str) -> model.Tenant:
        """Build one tenant; errors that the schema does not cover are added to the faults."""
        path = f"{path} ({parsed.id})"
        classes = parsed.classes or self._file_table.classes
        plans = parsed.plans or self._file_table.plans
        if not classes:
            self._fault(
                f"{path}.classes", "found none, expected one at least, here or in the file's own classes"
            )
        if not plans:
            self._fault(f"{path}.plans", "found none, expected one at least, here or in the file's own plans")
        if parsed.default_plan and parsed.default_plan not in plans:
            self._fault(
                f"{path}.default_plan", f"found {parsed.default_plan!r}, expected one of {_join_names(plans)}"
            )
        for name, partner in parsed.partners.items():
            if partner.plan not in plans:
                self._fault(
                    f"{path}.partners.{name}.plan",
                    f"found {partner.plan!r}, expected one of {_join_names(plans)}",
                )
        if not parsed.partners and not parsed.default_plan:
            self._fault(
                f"{path}.partners", "found none and no default_plan, expected either: no request could match"
            )
        routes = tuple(
            self._route(route, parsed, classes, f"{path}.routes[{i}]")
            for i, route in enumerate(parsed.routes)
        )
        tenant = model.Tenant(
            id=parsed.id,
            host_names=parsed.host_names,
            path_prefixes=tuple(prefix.encode() for prefix in parsed.path_prefixes),
            routes=self._routes.setdefault(routes, routes),
            pools=self._pools(parsed, path),
            settings=self._settings_of(parsed, classes, plans),
            state=parsed.state,
            share=parsed.share,
            partners=tuple((name, partner.plan) for name, partner in parsed.partners.items()),
            default_plan=parsed.default_plan,
            partner_header=(parsed.partner_header or "").lower().encode(),
            dial_ms=parsed.module.dial_timeout_ms,
            idle_ms=parsed.module.conn_idle_ms,
        )
        for text in router.check_routes(tenant):
            self._fault(f"{path}.routes", text)
        return tenant

    def _fault(self, path: str, text: str) -> None:
        self._faults.append(Fault(self._file, path, text))

    def _route(
        self,
        route: config_schema.RouteShape,
        parsed: config_schema.TenantShape,
        classes: dict[str, config_schema.ClassShape],
        path: str,
    ) -> model.Route:
        effect = "safe"
        if route.class_ in classes:
            effect = classes[route.class_].effect
        else:
            self._fault(f"{path}.class", f"found {route.class_!r}, expected one of {_join_names(classes)}")
        if route.pool not in parsed.pools:
            self._fault(f"{path}.pool", f"found {route.pool!r}, expected one of {_join_names(parsed.pools)}")
        allowed = model.methods_allowed_for(effect)
        methods = frozenset(method.encode() for method in route.methods) or (
            allowed if effect == "safe" else frozenset((b"POST",))
        )
        for method in sorted(methods - allowed):
            if route.class_ in classes:
                self._fault(
                    f"{path}.methods",
                    f"found {method.decode()!r}, expected of {_join_names(m.decode() for m in allowed)}"
                    f": class {route.class_!r} is {effect}",
                )
        prefix = router.without_trailing_slash(route.prefix.encode())
        if not any(
            (prefix + b"/").startswith(router.without_trailing_slash(p.encode()) + b"/")
            for p in parsed.path_prefixes
        ):
            self._fault(
                f"{path}.prefix",
                f"found {route.prefix!r}, expected a path under one of the tenant's "
                f"path_prefixes {_join_names(parsed.path_prefixes)}: nothing would match it",
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

    def _pools(self, parsed: config_schema.TenantShape, path: str) -> tuple[model.Pool, ...]:
        pools, seen = [], dict[str, str]()
        for name, pool in parsed.pools.items():
            where = f"{path}.pools.{name}"
            if pool.hosts_file and pool.hosts:
                self._fault(where, "found hosts and hosts_file, expected one of them")
            self._faults += _duplicate_ids(pool.hosts, self._file, f"{where}.hosts")
            for host in pool.hosts:
                other = seen.setdefault(host.id, name)
                if other != name:
                    self._fault(
                        f"{where}.hosts",
                        f"found id {host.id!r}, which pool {other!r} also has; "
                        "expected an id that is in one pool of the tenant only",
                    )
            hosts_path = str(self._folder / pool.hosts_file) if pool.hosts_file else ""
            pools.append(
                model.Pool(
                    name, _servers(pool.hosts, name), tuple((h.id, h.address) for h in pool.hosts), hosts_path
                )
            )
        return tuple(pools)

    def _settings_of(
        self,
        parsed: config_schema.TenantShape,
        classes: dict[str, config_schema.ClassShape],
        plans: dict[str, config_schema.PlanShape],
    ) -> api.Settings:
        module, gateway = parsed.module, self._file_table.gateway
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
            counter_timeout_ms=COUNTER_TIMEOUT_FACTOR * self._file_table.counter.wait_ms,
            actual_units_reported=True,
            drain_grace_ms=module.drain_grace_ms,
            slow_start_min_share=module.cold_from,
            slow_start_ms=module.cold_ms,
            overload_multiple=module.fall_multiple,
            overload_after_ms=module.tip_after_ms,
        )
        return self._settings.setdefault(settings, settings)


def _request_class(name: str, table: config_schema.ClassShape) -> api.RequestClass:
    return api.RequestClass(
        name,
        latency_objective_ms=table.aim_ms,
        deadline_ms=table.deadline_ms,
        priority_weight=table.worth,
        late_priority_weight=table.late_worth,
        idempotency=Idempotency(table.effect),
        key_scope=KeyScope(table.key_scope),
        idempotency_window_ms=table.window_ms,
    )


def _plan(name: str, table: config_schema.PlanShape) -> api.Plan:
    return api.Plan(
        name,
        rate=table.rate,
        burst=table.burst,
        priority_weight=table.worth,
        over_quota_weight=table.over_worth,
        over_quota_cost=table.over_cost,
        ceiling_rate=table.ceiling_rate,
        ceiling_burst=table.ceiling_burst,
        ceiling_tolerance=table.ceiling_slack,
    )


def _join_names(names: Iterable[str]) -> str:
    ordered = sorted(names)
    text = ", ".join(ordered[:8]) + (", ..." if len(ordered) > 8 else "")
    return text or "(none)"


def _duplicate_ids(hosts: tuple[config_schema.HostShape, ...], file: str, path: str) -> list[Fault]:
    faults, seen = [], set[str]()
    for i, host in enumerate(hosts):
        if host.id in seen:
            faults.append(
                Fault(file, f"{path}[{i}].id", f"found {host.id!r} again, expected an id of its own")
            )
        seen.add(host.id)
    return faults


def _servers(hosts: tuple[config_schema.HostShape, ...], pool: str) -> tuple[api.Endpoint, ...]:
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
