"""From Host and path to the tenant, and within it to a pool and a class, through an index.

Theory of operation. The Host chooses among names, the longest path prefix among the tenants of that name; a
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

from hillmux.tenants.model import ANY_HOST, Route, Tenant

MOST_TOMBSTONES = 4096


class RouteFault(ValueError):  # noqa: N818 - it is told, not only raised
    """Two routes, or two tenants, that claim the same requests; the text names both."""


@dataclass(slots=True)
class _Rules:
    """Compiled routes, shared by all tenants whose routes are alike: by method and prefix in one word."""

    by_word: dict[bytes, tuple[Route, ...]]  # the most specific first
    depth: int
    uses: int = 0


@dataclass(slots=True)
class Entry:
    """A tenant with its routes."""

    tenant: Tenant
    rules: _Rules
    gone: bool = False  # the tenant was removed: 410


@dataclass(slots=True)
class _Prefixes:
    """Tenants of one host name by prefix."""

    entries: dict[bytes, Entry] = field(default_factory=dict)
    depth: int = 0
    root: Entry | None = None  # the only one, for all paths: no walk


def segments(prefix: bytes) -> bytes:
    """A prefix without its trailing slash: `/` is the empty one."""
    return prefix.rstrip(b"/")


def check_routes(tenant: Tenant) -> list[str]:
    """What is wrong among a tenant's own routes: pairs that are the same, cross, or hide one another."""
    faults = []
    by_prefix: dict[bytes, list[Route]] = {}
    names: dict[str, Route] = {}
    for route in tenant.routes:
        by_prefix.setdefault(segments(route.prefix), []).append(route)
        if names.setdefault(route.name, route) is not route:
            faults.append(f"route {route.name!r}: two routes of one name")
    for routes in by_prefix.values():
        for one, other in combinations(routes, 2):
            fault = _pair_fault(one, other)
            if fault:
                faults.append(f"routes {one.name!r} and {other.name!r}: {fault}")
    return faults


def _pair_fault(one: Route, other: Route) -> str:
    common = one.methods & other.methods
    mine, theirs = dict(one.headers), dict(other.headers)
    if not common or any(theirs.get(name, value) != value for name, value in mine.items()):
        return ""  # nothing matches both
    if mine == theirs:
        return "ambiguous: both match every request with " + _spell(common, mine)
    if mine.items() <= theirs.items() or theirs.items() <= mine.items():
        return ""  # the one with more conditions is tried first
    return "ambiguous: neither is the more specific for a request with " + _spell(common, mine | theirs)


def _spell(methods: frozenset[bytes], headers: dict[bytes, bytes]) -> str:
    words = [b"/".join(sorted(methods)).decode()]
    return " and ".join(words + [f"{n.decode()}: {v.decode('latin-1')}" for n, v in sorted(headers.items())])


def check_tenants(tenants: Iterable[Tenant]) -> list[str]:
    """What is wrong between tenants: two of one id, or two that claim one host name and prefix."""
    faults, ids, claims = [], set(), dict[tuple[str, bytes], str]()
    for tenant in tenants:
        if tenant.id in ids:
            faults.append(f"tenant {tenant.id!r}: two tenants of one id")
        ids.add(tenant.id)
        for host in tenant.host_names:
            for prefix in tenant.path_prefixes:
                holder = claims.setdefault((host, segments(prefix)), tenant.id)
                if holder != tenant.id:
                    faults.append(_both_claim(holder, tenant.id, host, prefix))
    return faults


def _both_claim(one: str, other: str, host: str, prefix: bytes) -> str:
    return (
        f"tenants {one!r} and {other!r}: ambiguous: both claim host {host!r} "
        f"with prefix {prefix.decode() or '/'!r}"
    )


class Router:
    """The index. Tenants are put in and taken out one by one, at a cost that does not grow with the rest."""

    def __init__(self) -> None:
        self._hosts: dict[str, _Prefixes] = {}
        self._tombstones: dict[tuple[str, bytes], Entry] = {}  # the oldest first
        self._rules: dict[tuple[Route, ...], _Rules] = {}  # those in use
        self._header_uses: dict[bytes, int] = {}
        self.headers: frozenset[bytes] = frozenset()  # those that some route goes by

    def put(self, tenant: Tenant) -> None:
        """Take a tenant in.

        Raises:
            RouteFault: its routes are at fault, or another tenant has its place; nothing has changed then.
        """
        faults = check_routes(tenant)
        for host, prefix in _places(tenant):
            held = self._hosts[host].entries.get(prefix) if host in self._hosts else None
            if held is not None and not held.gone and held.tenant.id != tenant.id:
                faults.append(_both_claim(held.tenant.id, tenant.id, host, prefix))
        if faults:
            raise RouteFault("; ".join(faults))
        entry = Entry(tenant, self._rules_of(tenant))
        for place in _places(tenant):
            self._tombstones.pop(place, None)
            self._place(place, entry)
        self._count_headers(tenant, 1)

    def take_out(self, tenant: Tenant) -> None:
        """Take a tenant out without a trace: it comes back changed, perhaps to other places."""
        for place in _places(tenant):
            held = self._hosts.get(place[0])
            entry = held.entries.get(place[1]) if held is not None else None
            if entry is not None and not entry.gone and entry.tenant.id == tenant.id:
                self._unplace(place)
        rules = self._rules.get(tenant.routes)
        if rules is not None:
            rules.uses -= 1
            if not rules.uses:
                del self._rules[tenant.routes]
        self._count_headers(tenant, -1)

    def remove(self, tenant: Tenant) -> None:
        """Take a tenant out; its places answer as gone until another takes them, or many others have gone."""
        self.take_out(tenant)
        entry = Entry(tenant, NO_RULES, gone=True)
        for place in _places(tenant):
            while len(self._tombstones) >= MOST_TOMBSTONES:
                oldest = next(iter(self._tombstones))
                del self._tombstones[oldest]
                self._unplace(oldest)
            self._tombstones[place] = entry
            self._place(place, entry)

    def find(self, host: str, path: bytes) -> Entry | None:
        """The tenant that a request is for."""
        held = self._hosts.get(host) or self._hosts.get(ANY_HOST)
        if held is None:
            return None
        return held.root or _longest(held.entries, held.depth, path)

    @staticmethod
    def route(
        entry: Entry, method: bytes, path: bytes, headers: dict[bytes, bytes]
    ) -> Route | frozenset[bytes]:
        """The tenant's route; else the methods that would have had one there (none: no such path)."""
        rules = entry.rules
        for prefix in _upwards(path, rules.depth):
            for route in rules.by_word.get(method + prefix, ()):
                if not route.headers or all(headers.get(name) == value for name, value in route.headers):
                    return route
        return frozenset(
            word.partition(b"/")[0]
            for prefix in _upwards(path, rules.depth)
            for word in rules.by_word
            if word.partition(b"/")[1:] == prefix.partition(b"/")[1:]
        )

    def _place(self, place: tuple[str, bytes], entry: Entry) -> None:
        held = self._hosts.setdefault(place[0], _Prefixes())
        held.entries[place[1]] = entry
        held.depth = max(held.depth, place[1].count(b"/"))
        held.root = held.entries.get(b"") if len(held.entries) == 1 else None

    def _unplace(self, place: tuple[str, bytes]) -> None:
        held = self._hosts[place[0]]
        del held.entries[place[1]]
        held.root = held.entries.get(b"") if len(held.entries) == 1 else None
        if not held.entries:
            del self._hosts[place[0]]

    def _rules_of(self, tenant: Tenant) -> _Rules:
        rules = self._rules.get(tenant.routes)
        if rules is None:
            rules = self._rules[tenant.routes] = _compile(tenant.routes)
        rules.uses += 1
        return rules

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


def _compile(routes: tuple[Route, ...]) -> _Rules:
    rules: dict[bytes, list[Route]] = {}
    for route in sorted(routes, key=lambda r: -len(r.headers)):
        for method in route.methods:
            rules.setdefault(method + segments(route.prefix), []).append(route)
    return _Rules(
        {word: tuple(found) for word, found in rules.items()},
        max((segments(route.prefix).count(b"/") for route in routes), default=0),
    )


NO_RULES = _Rules({}, 0)


def _upwards(path: bytes, depth: int) -> Iterable[bytes]:
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


def _longest(entries: dict[bytes, Entry], depth: int, path: bytes) -> Entry | None:
    for prefix in _upwards(path, depth):
        entry = entries.get(prefix)
        if entry is not None:
            return entry
    return None
