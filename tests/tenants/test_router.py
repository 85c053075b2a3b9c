"""Routing by Host and path to tenants and routes, and the rejection of ambiguous claims."""

from __future__ import annotations

import random
from itertools import product

import pytest
from fakes.tenants import BOOK, PAY, READ, route, tenant

from hillmux.tenants import RouteConflictError, Router
from hillmux.tenants.model import Route, Tenant
from hillmux.tenants.router import MAX_TOMBSTONES, check_routes, check_tenants


def find_tenant(router: Router, host: str, path: bytes) -> str | None:
    entry = router.find(host, path)
    return None if entry is None else ("gone " if entry.gone else "") + entry.tenant.id


def find_route(route_tenant: Tenant, method: bytes, path: bytes, **headers: bytes) -> str | list[str]:
    router = Router()
    router.put(route_tenant)
    entry = router.find(route_tenant.host_names[0], path)
    assert entry is not None
    result = Router.route(entry, method, path, {k.replace("_", "-").encode(): v for k, v in headers.items()})
    return result.name if isinstance(result, Route) else sorted(m.decode() for m in result)


def test_host_selects_the_tenants_before_the_path() -> None:
    router = Router()
    router.put(tenant("a", path_prefixes=(b"/a",)))
    router.put(tenant("b", path_prefixes=(b"/b",)))
    assert find_tenant(router, "a.example", b"/a/x") == "a"
    assert find_tenant(router, "a.example", b"/b/x") is None  # the prefix belongs to a tenant of another host
    assert find_tenant(router, "c.example", b"/a/x") is None


def test_named_host_never_falls_back_to_the_wildcard_tenant() -> None:
    router = Router()
    router.put(tenant("any", host_names=("*",)))
    router.put(tenant("a", path_prefixes=(b"/a",)))
    assert find_tenant(router, "b.example", b"/x") == "any"
    assert find_tenant(router, "", b"/x") == "any"
    assert find_tenant(router, "a.example", b"/x") is None


def test_longest_prefix_in_whole_segments_selects_the_tenant_of_a_shared_host() -> None:
    router = Router()
    for name, prefix in (("root", b"/"), ("api", b"/api"), ("deep", b"/api/v2/")):
        router.put(tenant(name, route("r", prefix.decode()), host_names=("h",), path_prefixes=(prefix,)))
    for path, name in (
        (b"/", "root"),
        (b"/apix", "root"),
        (b"/api", "api"),
        (b"/api/", "api"),
        (b"/api/v1/x", "api"),
        (b"/api/v2", "deep"),
        (b"/api/v2/", "deep"),
        (b"/api/v2/x/y/z", "deep"),
        (b"/api/v22", "api"),
    ):
        assert find_tenant(router, "h", path) == name, path


def test_route_is_selected_by_prefix_then_method_then_headers() -> None:
    one = tenant(
        "a",
        route("all", "/", READ),
        route("slots", "/api/slots", READ),
        route("book", "/api", BOOK, methods="POST"),
        route("put", "/api", BOOK, methods="PUT"),
        route("pay", "/api", PAY, methods="POST", x_kind="pay"),
        route("vip", "/api", PAY, methods="POST", x_kind="pay", x_level="vip"),
    )
    assert find_route(one, b"GET", b"/api/slots/1") == "slots"
    assert find_route(one, b"GET", b"/api/other") == "all"
    assert find_route(one, b"POST", b"/api/slots/1") == "book"  # the longer prefix has no route for POST
    assert find_route(one, b"PUT", b"/api/x") == "put"
    assert find_route(one, b"POST", b"/api/x", x_kind=b"pay") == "pay"
    assert find_route(one, b"POST", b"/api/x", x_kind=b"pay", x_level=b"vip") == "vip"
    assert find_route(one, b"POST", b"/api/x", x_kind=b"Pay") == "book"
    assert find_route(one, b"DELETE", b"/api/x") == ["GET", "POST", "PUT"]
    assert find_route(tenant("b", route("r", "/api")), b"GET", b"/other") == []


@pytest.mark.parametrize(
    ("one", "other"),
    [
        (route("one", "/api"), route("two", "/api")),
        (route("one", "/api"), route("two", "/api/")),  # the same prefix with a trailing slash
        (route("one", "/api", BOOK, methods="POST PUT"), route("two", "/api", BOOK, methods="PUT")),
        (route("one", "/api", x_a="1"), route("two", "/api", x_b="1")),
    ],
)
def test_ambiguous_routes_are_rejected_with_both_names(one: Route, other: Route) -> None:
    (fault,) = check_routes(tenant("a", one, other))
    assert "'one'" in fault and "'two'" in fault and "ambiguous" in fault
    with pytest.raises(RouteConflictError):
        Router().put(tenant("a", one, other))


@pytest.mark.parametrize(
    ("one", "other"),
    [
        (route("one", "/api"), route("two", "/api", BOOK)),
        (route("one", "/api", x_a="1"), route("two", "/api", x_a="2", x_b="1")),
        (route("one", "/api", x_a="1"), route("two", "/api", x_a="1", x_b="1")),
        (route("one", "/api", x_a="1"), route("two", "/api/v2", x_b="1")),
    ],
)
def test_distinguishable_routes_are_accepted(one: Route, other: Route) -> None:
    assert check_routes(tenant("a", one, other)) == []


def test_tenants_with_the_same_claim_or_id_are_rejected() -> None:
    one = tenant("a", host_names=("h", "i"), path_prefixes=(b"/x", b"/y"))
    other = tenant("b", host_names=("i",), path_prefixes=(b"/y/",))
    (fault,) = check_tenants([one, other])
    assert "'a'" in fault and "'b'" in fault and "'i'" in fault
    assert "one id" in check_tenants([one, one])[0]
    router = Router()
    router.put(one)
    with pytest.raises(RouteConflictError, match="'a' and 'b'"):
        router.put(other)
    assert find_tenant(router, "i", b"/y") == "a"


def test_claims_of_a_removed_tenant_are_gone_until_another_tenant_takes_them() -> None:
    router = Router()
    one = tenant("a")
    router.put(one)
    router.remove(one)
    assert find_tenant(router, "a.example", b"/x") == "gone a"
    router.put(tenant("b", host_names=("a.example",)))
    assert find_tenant(router, "a.example", b"/x") == "b"


def test_number_of_tombstones_is_bounded() -> None:
    router = Router()
    for i in range(MAX_TOMBSTONES + 10):
        one = tenant(f"t{i}")
        router.put(one)
        router.remove(one)
    assert find_tenant(router, "t0.example", b"/") is None
    assert find_tenant(router, f"t{MAX_TOMBSTONES + 9}.example", b"/") == f"gone t{MAX_TOMBSTONES + 9}"
    assert len(router._hosts) == len(router._tombstones) == MAX_TOMBSTONES


def test_matched_headers_are_kept_while_any_route_uses_them() -> None:
    router = Router()
    one, other = (tenant(n, route("r", "/api", x_kind="k"), partner_header=b"x-" + n.encode()) for n in "ab")
    router.put(one)
    router.put(other)
    assert router.headers == {b"x-kind", b"x-a", b"x-b"}
    router.remove(one)
    assert router.headers == {b"x-kind", b"x-b"}
    router.remove_for_update(other)
    assert router.headers == frozenset()


def test_lookup_of_a_hostile_path_tries_no_more_than_the_deepest_prefix() -> None:
    router = Router()
    router.put(tenant("a", path_prefixes=(b"/x/y",)))
    looked_up: list[bytes] = []

    class RecordingDict(dict):  # type: ignore[type-arg]
        def get(self, key: bytes, default: object = None) -> object:
            looked_up.append(key)
            return super().get(key, default)

    prefixes = router._hosts["a.example"]
    prefixes.entries = RecordingDict(prefixes.entries)
    assert find_tenant(router, "a.example", b"/x" * 4000) is None
    assert looked_up == [b"/x/x", b"/x", b""]


def test_index_agrees_with_a_linear_search_over_all_routes() -> None:
    rng = random.Random(3)
    prefixes = ["/", "/a", "/a/b", "/a/b/c", "/b"]
    values = ("", "1", "2")
    for _ in range(200):
        routes = []
        for i in range(6):
            headers = {k: v for k, v in (("x_a", rng.choice(values)), ("x_b", rng.choice(values))) if v}
            candidate = route(f"r{i}", rng.choice(prefixes), rng.choice((READ, BOOK)), **headers)
            if not check_routes(tenant("t", *routes, candidate)):
                routes.append(candidate)
        one = tenant("t", *routes)
        for method, path, a, b in product(
            (b"GET", b"POST"), (b"/", b"/a", b"/a/b/c/d", b"/ab", b"/b/"), values, values
        ):
            headers = {k: v.encode() for k, v in (("x_a", a), ("x_b", b)) if v}
            expected = _linear_search(
                routes, method, path, {k.replace("_", "-").encode(): v for k, v in headers.items()}
            )
            result = find_route(one, method, path, **headers)
            assert (result if isinstance(result, str) else None) == expected


def _linear_search(
    routes: list[Route], method: bytes, path: bytes, headers: dict[bytes, bytes]
) -> str | None:
    matching = [
        r
        for r in routes
        if method in r.methods
        and (path.rstrip(b"/") + b"/").startswith(r.prefix.rstrip(b"/") + b"/")
        and all(headers.get(k) == v for k, v in r.headers)
    ]
    return (
        max(matching, key=lambda r: (len(r.prefix.rstrip(b"/")), len(r.headers))).name if matching else None
    )
