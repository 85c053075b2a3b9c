"""Index from Host and path to a tenant, and within the tenant to a route.

The Host selects the tenants of that name, and the longest matching path prefix selects one of them. A Host
that any tenant names never falls back to the tenant of `*`, so no path can reach a tenant under another's
Host. Within the tenant, the longest prefix that has a route for the method and headers wins. Among the routes
of one prefix and method, those with more header conditions are tried first. This is well-defined, because
overlapping routes, where each also matches requests that the other does not, are rejected.

A look-up tries the prefixes of the path's first segments, as many as the longest prefix of that host name
has. Its cost grows neither with the number of tenants nor with the length of a hostile path.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import combinations
from typing import Final

from hillmux.tenants.model import ANY_HOST, Route, Tenant

MAX_TOMBSTONES: Final = 4096  # host name and prefix pairs of removed tenants that are answered 410


class RouteConflictError(ValueError):
    """Two routes or two tenants claim the same requests; the text names both."""


@dataclass(slots=True)
class _RouteTable:
    """Compiled routes, shared by all tenants that have equal routes."""

    by_method_and_prefix: dict[bytes, tuple[Route, ...]]  # key: method + prefix; most specific route first
    depth: int  # number of segments of the longest prefix
    tenant_count: int = 0


@dataclass(slots=True)
class Entry:
    """A tenant with its compiled routes."""

    tenant: Tenant
    rules: _RouteTable
    gone: bool = False  # the tenant was removed: answered 410 Gone


@dataclass(slots=True)
class _HostPrefixes:
    """The tenants of one host name by path prefix."""

    entries: dict[bytes, Entry] = field(default_factory=dict)
    depth: int = 0  # number of segments of the longest prefix
    root: Entry | None = None  # the only entry, if it matches all paths: needs no search


def without_trailing_slash(prefix: bytes) -> bytes:
    """A prefix without its trailing slash; `/` becomes empty."""
    return prefix.rstrip(b"/")


def check_routes(tenant: Tenant) -> list[str]:
    """Errors among a tenant's own routes: duplicate names, and pairs of routes that match ambiguously."""
    errors = []
    by_prefix: dict[bytes, list[Route]] = {}
    names: dict[str, Route] = {}
    for route in tenant.routes:
        by_prefix.setdefault(without_trailing_slash(route.prefix), []).append(route)
        if names.setdefault(route.name, route) is not route:
            errors.append(f"route {route.name!r}: two routes of one name")
    for routes in by_prefix.values():
        for first, second in combinations(routes, 2):
            conflict = _conflict_between(first, second)
            if conflict:
                errors.append(f"routes {first.name!r} and {second.name!r}: {conflict}")
    return errors


def _conflict_between(first: Route, second: Route) -> str:
    """Why two routes of one prefix are ambiguous; empty if they are not."""
    common = first.methods & second.methods
    first_headers, second_headers = dict(first.headers), dict(second.headers)
    if not common or any(second_headers.get(name, value) != value for name, value in first_headers.items()):
        return ""  # no request matches both
    if first_headers == second_headers:
        return "ambiguous: both match every request with " + _describe_requests(common, first_headers)
    if first_headers.items() <= second_headers.items() or second_headers.items() <= first_headers.items():
        return ""  # the route with more conditions is tried first
    return "ambiguous: neither is the more specific for a request with " + _describe_requests(
        common, first_headers | second_headers
    )


def _describe_requests(methods: frozenset[bytes], headers: dict[bytes, bytes]) -> str:
    words = [b"/".join(sorted(methods)).decode()]
    return " and ".join(words + [f"{n.decode()}: {v.decode('latin-1')}" for n, v in sorted(headers.items())])


def check_tenants(tenants: Iterable[Tenant]) -> list[str]:
    """Errors between tenants: duplicate ids, and tenants that claim the same host name and prefix."""
    errors, ids, claims = [], set(), dict[tuple[str, bytes], str]()
    for tenant in tenants:
        if tenant.id in ids:
            errors.append(f"tenant {tenant.id!r}: two tenants of one id")
        ids.add(tenant.id)
        for host in tenant.host_names:
            for prefix in tenant.path_prefixes:
                holder = claims.setdefault((host, without_trailing_slash(prefix)), tenant.id)
                if holder != tenant.id:
                    errors.append(_claim_conflict(holder, tenant.id, host, prefix))
    return errors


def _claim_conflict(first: str, second: str, host: str, prefix: bytes) -> str:
    return (
        f"tenants {first!r} and {second!r}: ambiguous: both claim host {host!r} "
        f"with prefix {prefix.decode() or '/'!r}"
    )


class Router:
    """The index of tenants. Adding or removing one takes constant time in the number of tenants.

    A claim is a host name and a path prefix, without its trailing slash, that belong to a tenant.

    Attributes:
        headers: the names of the headers that routes match or that name the partner.
    """

    def __init__(self) -> None:
        self._hosts: dict[str, _HostPrefixes] = {}
        self._tombstones: dict[tuple[str, bytes], Entry] = {}  # claims of removed tenants, the oldest first
        self._tables: dict[tuple[Route, ...], _RouteTable] = {}  # tables in use
        self._header_uses: dict[bytes, int] = {}  # number of tenants that use each header
        self.headers: frozenset[bytes] = frozenset()

    def put(self, tenant: Tenant) -> None:
        """Add a tenant.

        Raises:
            RouteConflictError: its routes are ambiguous, or another tenant has one of its claims; the index
                is unchanged.
        """
        errors = check_routes(tenant)
        for host, prefix in _claims(tenant):
            holder = self._hosts[host].entries.get(prefix) if host in self._hosts else None
            if holder is not None and not holder.gone and holder.tenant.id != tenant.id:
                errors.append(_claim_conflict(holder.tenant.id, tenant.id, host, prefix))
        if errors:
            raise RouteConflictError("; ".join(errors))
        entry = Entry(tenant, self._acquire_table(tenant))
        for claim in _claims(tenant):
            self._tombstones.pop(claim, None)
            self._insert(claim, entry)
        self._count_headers(tenant, 1)

    def remove_for_update(self, tenant: Tenant) -> None:
        """Remove a tenant without leaving tombstones: its changed version is added next."""
        for claim in _claims(tenant):
            prefixes = self._hosts.get(claim[0])
            entry = prefixes.entries.get(claim[1]) if prefixes is not None else None
            if entry is not None and not entry.gone and entry.tenant.id == tenant.id:
                self._delete(claim)
        table = self._tables.get(tenant.routes)
        if table is not None:
            table.tenant_count -= 1
            if not table.tenant_count:
                del self._tables[tenant.routes]
        self._count_headers(tenant, -1)

    def remove(self, tenant: Tenant) -> None:
        """Remove a tenant and leave tombstones (answered 410) at its claims.

        A tombstone lasts until another tenant takes the claim, or MAX_TOMBSTONES newer ones replace it.
        """
        self.remove_for_update(tenant)
        entry = Entry(tenant, NO_ROUTES, gone=True)
        for claim in _claims(tenant):
            while len(self._tombstones) >= MAX_TOMBSTONES:
                oldest = next(iter(self._tombstones))
                del self._tombstones[oldest]
                self._delete(oldest)
            self._tombstones[claim] = entry
            self._insert(claim, entry)

    def entry_count(self) -> int:
        """The number of claims, and of keys of method and prefix, in the index."""
        claim_count = sum(len(prefixes.entries) for prefixes in self._hosts.values())
        return claim_count + sum(len(table.by_method_and_prefix) for table in self._tables.values())

    def find(self, host: str, path: bytes) -> Entry | None:
        """The tenant that a request is for; None if there is none."""
        prefixes = self._hosts.get(host) or self._hosts.get(ANY_HOST)
        if prefixes is None:
            return None
        return prefixes.root or _longest_prefix(prefixes.entries, prefixes.depth, path)

    @staticmethod
    def route(
        entry: Entry, method: bytes, path: bytes, headers: dict[bytes, bytes]
    ) -> Route | frozenset[bytes]:
        """The tenant's route for a request; if none, the methods for which the path has routes."""
        table = entry.rules
        for prefix in _prefixes_of(path, table.depth):
            for route in table.by_method_and_prefix.get(method + prefix, ()):
                if not route.headers or all(headers.get(name) == value for name, value in route.headers):
                    return route
        return frozenset(
            key.partition(b"/")[0]
            for prefix in _prefixes_of(path, table.depth)
            for key in table.by_method_and_prefix
            if key.partition(b"/")[1:] == prefix.partition(b"/")[1:]
        )

    def _insert(self, claim: tuple[str, bytes], entry: Entry) -> None:
        prefixes = self._hosts.setdefault(claim[0], _HostPrefixes())
        prefixes.entries[claim[1]] = entry
        prefixes.depth = max(prefixes.depth, claim[1].count(b"/"))
        prefixes.root = prefixes.entries.get(b"") if len(prefixes.entries) == 1 else None

    def _delete(self, claim: tuple[str, bytes]) -> None:
        prefixes = self._hosts[claim[0]]
        del prefixes.entries[claim[1]]
        prefixes.root = prefixes.entries.get(b"") if len(prefixes.entries) == 1 else None
        if not prefixes.entries:
            del self._hosts[claim[0]]

    def _acquire_table(self, tenant: Tenant) -> _RouteTable:
        table = self._tables.get(tenant.routes)
        if table is None:
            table = self._tables[tenant.routes] = _compile(tenant.routes)
        table.tenant_count += 1
        return table

    def _count_headers(self, tenant: Tenant, step: int) -> None:
        for name in _headers(tenant):
            uses = self._header_uses.get(name, 0) + step
            if uses > 0:
                self._header_uses[name] = uses
            else:
                self._header_uses.pop(name, None)
        if self.headers != self._header_uses.keys():
            self.headers = frozenset(self._header_uses)


def _headers(tenant: Tenant) -> set[bytes]:
    names = {name for route in tenant.routes for name, _ in route.headers}
    return names | {tenant.partner_header} if tenant.partner_header else names


def _claims(tenant: Tenant) -> list[tuple[str, bytes]]:
    return [
        (host, without_trailing_slash(prefix))
        for host in tenant.host_names
        for prefix in tenant.path_prefixes
    ]


def _compile(routes: tuple[Route, ...]) -> _RouteTable:
    by_method_and_prefix: dict[bytes, list[Route]] = {}
    for route in sorted(routes, key=lambda route: -len(route.headers)):
        for method in route.methods:
            by_method_and_prefix.setdefault(method + without_trailing_slash(route.prefix), []).append(route)
    return _RouteTable(
        {key: tuple(matching) for key, matching in by_method_and_prefix.items()},
        max((without_trailing_slash(route.prefix).count(b"/") for route in routes), default=0),
    )


NO_ROUTES = _RouteTable({}, 0)


def _prefixes_of(path: bytes, depth: int) -> Iterable[bytes]:
    """The prefixes of a path in whole segments, longest first, from at most `depth` segments down to none."""
    parts = path.split(b"/", depth + 1)
    if len(parts) > depth + 1:
        parts.pop()
    prefix = b"/".join(parts)
    if len(prefix) > 1 and prefix.endswith(b"/"):
        yield prefix[:-1]
    while prefix:
        yield prefix
        prefix = prefix.rpartition(b"/")[0]
    yield b""


def _longest_prefix(entries: dict[bytes, Entry], depth: int, path: bytes) -> Entry | None:
    for prefix in _prefixes_of(path, depth):
        entry = entries.get(prefix)
        if entry is not None:
            return entry
    return None
