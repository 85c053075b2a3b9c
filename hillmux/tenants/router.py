"""An index from Host and path to the tenant, and within it to a pool and a class.

The Host chooses among names, the longest path prefix among the tenants of that name; a
Host that some tenant names never falls to the tenant of `*`, so no path can reach a tenant past the Host.
Within the tenant the longest prefix whose routes have one for the method and headers wins; among the routes
of one prefix and method those with more header conditions come first, which is well-defined since routes
that cross (each matches something that the other does not, and both match something) are refused.

Every look-up is a walk up the path's first segments, as many as the deepest prefix of that name has: it grows
neither with the tenants nor with a hostile path's length.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import combinations
from typing import Final

from hillmux.tenants.model import ANY_HOST, Route, Tenant

MAX_TOMBSTONES: Final = 4096  # places of removed tenants that are answered as gone


class RouteConflictError(ValueError):
    """Two routes, or two tenants, that claim the same requests; the text names both."""


@dataclass(slots=True)
class _RouteTable:
    """Compiled routes, shared by all tenants whose routes are alike."""

    by_method_and_prefix: dict[bytes, tuple[Route, ...]]  # in one key; the most specific first
    depth: int  # segments of the longest prefix
    tenant_count: int = 0


@dataclass(slots=True)
class Entry:
    """A tenant with its routes."""

    tenant: Tenant
    rules: _RouteTable
    gone: bool = False  # the tenant was removed: 410


@dataclass(slots=True)
class _HostPrefixes:
    """Tenants of one host name by prefix."""

    entries: dict[bytes, Entry] = field(default_factory=dict)
    depth: int = 0  # segments of the longest prefix
    root: Entry | None = None  # the only entry, if it is for all paths: no walk is needed


def segments(prefix: bytes) -> bytes:
    """A prefix without its trailing slash: `/` is the empty one."""
    return prefix.rstrip(b"/")


def check_routes(tenant: Tenant) -> list[str]:
    """Errors among a tenant's own routes: names that stand twice, and pairs whose requests are ambiguous."""
    errors = []
    by_prefix: dict[bytes, list[Route]] = {}
    names: dict[str, Route] = {}
    for route in tenant.routes:
        by_prefix.setdefault(segments(route.prefix), []).append(route)
        if names.setdefault(route.name, route) is not route:
            errors.append(f"route {route.name!r}: two routes of one name")
    for routes in by_prefix.values():
        for one, other in combinations(routes, 2):
            conflict = _conflict_between(one, other)
            if conflict:
                errors.append(f"routes {one.name!r} and {other.name!r}: {conflict}")
    return errors


def _conflict_between(one: Route, other: Route) -> str:
    common = one.methods & other.methods
    one_headers, other_headers = dict(one.headers), dict(other.headers)
    if not common or any(other_headers.get(name, value) != value for name, value in one_headers.items()):
        return ""  # nothing matches both
    if one_headers == other_headers:
        return "ambiguous: both match every request with " + _describe_requests(common, one_headers)
    if one_headers.items() <= other_headers.items() or other_headers.items() <= one_headers.items():
        return ""  # the one with more conditions is tried first
    return "ambiguous: neither is the more specific for a request with " + _describe_requests(
        common, one_headers | other_headers
    )


def _describe_requests(methods: frozenset[bytes], headers: dict[bytes, bytes]) -> str:
    words = [b"/".join(sorted(methods)).decode()]
    return " and ".join(words + [f"{n.decode()}: {v.decode('latin-1')}" for n, v in sorted(headers.items())])


def check_tenants(tenants: Iterable[Tenant]) -> list[str]:
    """Errors between tenants: two of one id, or two that claim one host name and prefix."""
    errors, ids, claims = [], set(), dict[tuple[str, bytes], str]()
    for tenant in tenants:
        if tenant.id in ids:
            errors.append(f"tenant {tenant.id!r}: two tenants of one id")
        ids.add(tenant.id)
        for host in tenant.host_names:
            for prefix in tenant.path_prefixes:
                holder = claims.setdefault((host, segments(prefix)), tenant.id)
                if holder != tenant.id:
                    errors.append(_claim_conflict(holder, tenant.id, host, prefix))
    return errors


def _claim_conflict(one: str, other: str, host: str, prefix: bytes) -> str:
    return (
        f"tenants {one!r} and {other!r}: ambiguous: both claim host {host!r} "
        f"with prefix {prefix.decode() or '/'!r}"
    )


class Router:
    """The index of tenants. To add or remove one costs the same however many there are."""

    def __init__(self) -> None:
        self._hosts: dict[str, _HostPrefixes] = {}
        self._tombstones: dict[tuple[str, bytes], Entry] = {}  # the oldest first
        self._tables: dict[tuple[Route, ...], _RouteTable] = {}  # those in use
        self._header_uses: dict[bytes, int] = {}
        self.headers: frozenset[bytes] = frozenset()  # those that some route goes by

    def put(self, tenant: Tenant) -> None:
        """Add a tenant.

        Raises:
            RouteConflictError: its routes are ambiguous, or its place is taken; nothing has changed.
        """
        errors = check_routes(tenant)
        for host, prefix in _places(tenant):
            holder = self._hosts[host].entries.get(prefix) if host in self._hosts else None
            if holder is not None and not holder.gone and holder.tenant.id != tenant.id:
                errors.append(_claim_conflict(holder.tenant.id, tenant.id, host, prefix))
        if errors:
            raise RouteConflictError("; ".join(errors))
        entry = Entry(tenant, self._acquire_table(tenant))
        for place in _places(tenant):
            self._tombstones.pop(place, None)
            self._insert(place, entry)
        self._count_headers(tenant, 1)

    def take_out(self, tenant: Tenant) -> None:
        """Remove a tenant without tombstones: it is added again changed, perhaps to other places."""
        for place in _places(tenant):
            prefixes = self._hosts.get(place[0])
            entry = prefixes.entries.get(place[1]) if prefixes is not None else None
            if entry is not None and not entry.gone and entry.tenant.id == tenant.id:
                self._delete(place)
        table = self._tables.get(tenant.routes)
        if table is not None:
            table.tenant_count -= 1
            if not table.tenant_count:
                del self._tables[tenant.routes]
        self._count_headers(tenant, -1)

    def remove(self, tenant: Tenant) -> None:
        """Remove a tenant; its places answer as gone until another takes them, or many others are removed."""
        self.take_out(tenant)
        entry = Entry(tenant, NO_ROUTES, gone=True)
        for place in _places(tenant):
            while len(self._tombstones) >= MAX_TOMBSTONES:
                oldest = next(iter(self._tombstones))
                del self._tombstones[oldest]
                self._delete(oldest)
            self._tombstones[place] = entry
            self._insert(place, entry)

    def entry_count(self) -> int:
        """Places of tenants, and keys of method and prefix, that the index holds."""
        places = sum(len(prefixes.entries) for prefixes in self._hosts.values())
        return places + sum(len(table.by_method_and_prefix) for table in self._tables.values())

    def find(self, host: str, path: bytes) -> Entry | None:
        """The tenant that a request is for, None if there is none."""
        prefixes = self._hosts.get(host) or self._hosts.get(ANY_HOST)
        if prefixes is None:
            return None
        return prefixes.root or _longest_prefix(prefixes.entries, prefixes.depth, path)

    @staticmethod
    def route(
        entry: Entry, method: bytes, path: bytes, headers: dict[bytes, bytes]
    ) -> Route | frozenset[bytes]:
        """The tenant's route; else the methods that would have had one there (none: no such path)."""
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

    def _insert(self, place: tuple[str, bytes], entry: Entry) -> None:
        prefixes = self._hosts.setdefault(place[0], _HostPrefixes())
        prefixes.entries[place[1]] = entry
        prefixes.depth = max(prefixes.depth, place[1].count(b"/"))
        prefixes.root = prefixes.entries.get(b"") if len(prefixes.entries) == 1 else None

    def _delete(self, place: tuple[str, bytes]) -> None:
        prefixes = self._hosts[place[0]]
        del prefixes.entries[place[1]]
        prefixes.root = prefixes.entries.get(b"") if len(prefixes.entries) == 1 else None
        if not prefixes.entries:
            del self._hosts[place[0]]

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


def _places(tenant: Tenant) -> list[tuple[str, bytes]]:
    return [(host, segments(prefix)) for host in tenant.host_names for prefix in tenant.path_prefixes]


def _compile(routes: tuple[Route, ...]) -> _RouteTable:
    by_method_and_prefix: dict[bytes, list[Route]] = {}
    for route in sorted(routes, key=lambda route: -len(route.headers)):
        for method in route.methods:
            by_method_and_prefix.setdefault(method + segments(route.prefix), []).append(route)
    return _RouteTable(
        {key: tuple(found) for key, found in by_method_and_prefix.items()},
        max((segments(route.prefix).count(b"/") for route in routes), default=0),
    )


NO_ROUTES = _RouteTable({}, 0)


def _prefixes_of(path: bytes, depth: int) -> Iterable[bytes]:
    """The prefixes of a path by whole segments, the longest of at most `depth` segments first."""
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
