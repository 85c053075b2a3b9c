"""From Host and path to tenant, pool and class; and what is refused because two claim the same."""

from __future__ import annotations

import random
from itertools import product

import pytest
from fakes.tenants import BOOK, PAY, READ, route, tenant

from hillmux.tenants import RouteConflictError, Router
from hillmux.tenants.model import Route, Tenant
from hillmux.tenants.router import MAX_TOMBSTONES, check_routes, check_tenants


def found(router: Router, host: str, path: bytes) -> str | None:
    entry = router.find(host, path)
    return None if entry is None else ("gone " if entry.gone else "") + entry.tenant.id


def chosen(one: Tenant, method: bytes, path: bytes, **headers: bytes) -> str | list[str]:
    router = Router()
    router.put(one)
    entry = router.find(one.host_names[0], path)
    assert entry is not None
    result = Router.route(entry, method, path, {k.replace("_", "-").encode(): v for k, v in headers.items()})
    return result.name if isinstance(result, Route) else sorted(m.decode() for m in result)


def test_the_host_chooses_first_and_the_path_only_within_it() -> None:
    router = Router()
    router.put(tenant("a", path_prefixes=(b"/a",)))
    router.put(tenant("b", path_prefixes=(b"/b",)))
    assert found(router, "a.example", b"/a/x") == "a"
    assert found(router, "a.example", b"/b/x") is None  # the path is another's: the Host holds
    assert found(router, "c.example", b"/a/x") is None


def test_a_named_host_never_falls_to_the_tenant_of_any_host() -> None:
    router = Router()
    router.put(tenant("any", host_names=("*",)))
    router.put(tenant("a", path_prefixes=(b"/a",)))
    assert found(router, "b.example", b"/x") == "any"
    assert found(router, "", b"/x") == "any"
    assert found(router, "a.example", b"/x") is None


def test_tenants_of_one_host_share_it_by_the_longest_whole_segments() -> None:
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
        assert found(router, "h", path) == name, path


def test_within_a_tenant_prefix_then_method_then_headers_choose() -> None:
    one = tenant(
        "a",
        route("all", "/", READ),
        route("slots", "/api/slots", READ),
        route("book", "/api", BOOK, methods="POST"),
        route("put", "/api", BOOK, methods="PUT"),
        route("pay", "/api", PAY, methods="POST", x_kind="pay"),
        route("vip", "/api", PAY, methods="POST", x_kind="pay", x_level="vip"),
    )
    assert chosen(one, b"GET", b"/api/slots/1") == "slots"
    assert chosen(one, b"GET", b"/api/other") == "all"
    assert chosen(one, b"POST", b"/api/slots/1") == "book"  # no POST at the longer prefix
    assert chosen(one, b"PUT", b"/api/x") == "put"
    assert chosen(one, b"POST", b"/api/x", x_kind=b"pay") == "pay"
    assert chosen(one, b"POST", b"/api/x", x_kind=b"pay", x_level=b"vip") == "vip"
    assert chosen(one, b"POST", b"/api/x", x_kind=b"Pay") == "book"
    assert chosen(one, b"DELETE", b"/api/x") == ["GET", "POST", "PUT"]
    assert chosen(tenant("b", route("r", "/api")), b"GET", b"/other") == []


@pytest.mark.parametrize(
    ("one", "other"),
    [
        (route("one", "/api"), route("two", "/api")),
        (route("one", "/api"), route("two", "/api/")),  # one prefix, written in two ways
        (route("one", "/api", BOOK, methods="POST PUT"), route("two", "/api", BOOK, methods="PUT")),
        (route("one", "/api", x_a="1"), route("two", "/api", x_b="1")),
    ],
)
def test_routes_that_claim_the_same_are_refused_naming_both(one: Route, other: Route) -> None:
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
def test_routes_that_are_told_apart_are_taken(one: Route, other: Route) -> None:
    assert check_routes(tenant("a", one, other)) == []


def test_two_tenants_may_not_claim_one_place_nor_one_id() -> None:
    one = tenant("a", host_names=("h", "i"), path_prefixes=(b"/x", b"/y"))
    other = tenant("b", host_names=("i",), path_prefixes=(b"/y/",))
    (fault,) = check_tenants([one, other])
    assert "'a'" in fault and "'b'" in fault and "'i'" in fault
    assert "one id" in check_tenants([one, one])[0]
    router = Router()
    router.put(one)
    with pytest.raises(RouteConflictError, match="'a' and 'b'"):
        router.put(other)
    assert found(router, "i", b"/y") == "a"


def test_a_removed_tenants_places_are_gone_until_another_takes_them() -> None:
    router = Router()
    one = tenant("a")
    router.put(one)
    router.remove(one)
    assert found(router, "a.example", b"/x") == "gone a"
    router.put(tenant("b", host_names=("a.example",)))
    assert found(router, "a.example", b"/x") == "b"


def test_what_is_remembered_of_removed_tenants_has_a_bound() -> None:
    router = Router()
    for i in range(MAX_TOMBSTONES + 10):
        one = tenant(f"t{i}")
        router.put(one)
        router.remove(one)
    assert found(router, "t0.example", b"/") is None
    assert found(router, f"t{MAX_TOMBSTONES + 9}.example", b"/") == f"gone t{MAX_TOMBSTONES + 9}"
    assert len(router._hosts) == len(router._tombstones) == MAX_TOMBSTONES


def test_headers_that_routes_go_by_are_known_as_long_as_a_route_does() -> None:
    router = Router()
    one, other = (tenant(n, route("r", "/api", x_kind="k"), partner_header=b"x-" + n.encode()) for n in "ab")
    router.put(one)
    router.put(other)
    assert router.headers == {b"x-kind", b"x-a", b"x-b"}
    router.remove(one)
    assert router.headers == {b"x-kind", b"x-b"}
    router.remove_for_update(other)
    assert router.headers == frozenset()


def test_a_hostile_path_costs_no_more_than_the_deepest_prefix() -> None:
    router = Router()
    router.put(tenant("a", path_prefixes=(b"/x/y",)))
    looked: list[bytes] = []

    class Watched(dict):  # type: ignore[type-arg]
        def get(self, key: bytes, default: object = None) -> object:
            looked.append(key)
            return super().get(key, default)

    held = router._hosts["a.example"]
    held.entries = Watched(held.entries)
    assert found(router, "a.example", b"/x" * 4000) is None
    assert looked == [b"/x/x", b"/x", b""]


def test_the_index_finds_what_a_walk_over_all_routes_finds() -> None:
    rng = random.Random(3)
    prefixes = ["/", "/a", "/a/b", "/a/b/c", "/b"]
    values = ("", "1", "2")
    for _ in range(200):
        routes = []
        for i in range(6):
            headers = {k: v for k, v in (("x_a", rng.choice(values)), ("x_b", rng.choice(values))) if v}
            made = route(f"r{i}", rng.choice(prefixes), rng.choice((READ, BOOK)), **headers)
            if not check_routes(tenant("t", *routes, made)):
                routes.append(made)
        one = tenant("t", *routes)
        for method, path, a, b in product(
            (b"GET", b"POST"), (b"/", b"/a", b"/a/b/c/d", b"/ab", b"/b/"), values, values
        ):
            headers = {k: v.encode() for k, v in (("x_a", a), ("x_b", b)) if v}
            expected = _walk(
                routes, method, path, {k.replace("_", "-").encode(): v for k, v in headers.items()}
            )
            result = chosen(one, method, path, **headers)
            assert (result if isinstance(result, str) else None) == expected


def _walk(routes: list[Route], method: bytes, path: bytes, headers: dict[bytes, bytes]) -> str | None:
    fits = [
        r
        for r in routes
        if method in r.methods
        and (path.rstrip(b"/") + b"/").startswith(r.prefix.rstrip(b"/") + b"/")
        and all(headers.get(k) == v for k, v in r.headers)
    ]
    return max(fits, key=lambda r: (len(r.prefix.rstrip(b"/")), len(r.headers))).name if fits else None
