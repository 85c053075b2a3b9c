"""Parsing of the Host header and request target, and the rejection of ambiguous ones."""

from __future__ import annotations

import pytest

from hillmux.tenants.target import TargetError, host_name, normalize_path, read_target


@pytest.mark.parametrize(
    ("value", "name"),
    [
        (b"api.example", "api.example"),
        (b"API.Example", "api.example"),
        (b"api.example:8080", "api.example"),
        (b"api.example.", "api.example"),
        (b"Api.Example.:80", "api.example"),
        (b"api.example:", "api.example"),
        (b" api.example\t", "api.example"),
        (b"127.0.0.1:9", "127.0.0.1"),
        (b"", ""),
        (b"[::1]", "[::1]"),
        (b"[0:0:0:0:0:0:0:1]:8080", "[::1]"),
        (b"[2001:DB8::0A]", "[2001:db8::a]"),
    ],
)
def test_equivalent_host_values_normalize_to_one_name(value: bytes, name: str) -> None:
    assert host_name(value) == name


@pytest.mark.parametrize(
    "value",
    [
        b"a b",
        b"a,b",
        b"a/b",
        b"user@a",
        b"a:b",
        b"a:123456",
        b"-a",
        b"a..b",
        b".",
        b"[::1",
        b"[::g]",
        b"[]",
        b"[::1]x",
        b"::1",
        b"a" * 64,
        b"\xc3\xa9.example",
        b"a\x00b",
        b"a%2eb",
        b"[fe80::1%25eth0]",
    ],
)
def test_invalid_host_is_rejected(value: bytes) -> None:
    with pytest.raises(TargetError):
        host_name(value)


@pytest.mark.parametrize(
    ("path", "plain"),
    [
        (b"/api/x", b"/api/x"),
        (b"/%61pi/x", b"/api/x"),
        (b"/a%7Eb", b"/a~b"),
        (b"/a%3fb", b"/a%3Fb"),
        (b"/a.b/c..d/.e", b"/a.b/c..d/.e"),
        (b"/x/", b"/x/"),
        (b"/", b"/"),
        (b"/%E1%83%90", b"/%E1%83%90"),
    ],
)
def test_unreserved_escapes_in_a_path_are_decoded(path: bytes, plain: bytes) -> None:
    assert normalize_path(path) == plain


@pytest.mark.parametrize(
    "path",
    [
        b"/a/../b",
        b"/..",
        b"/.",
        b"/a/.",
        b"/a/./b",
        b"/%2e%2e/b",
        b"/a/%2E./b",
        b"/.%2e",
        b"//a",
        b"/a//b",
        b"/a//",
        b"/a%2fb",
        b"/a%2Fb",
        b"/a%5cb",
        b"/a\\b",
        b"/a%00b",
        b"/a%",
        b"/a%2",
        b"/a%zz",
    ],
)
def test_ambiguous_path_is_rejected(path: bytes) -> None:
    with pytest.raises(TargetError):
        normalize_path(path)


def test_absolute_target_overrides_the_host_header_and_is_forwarded_in_origin_form() -> None:
    target = read_target(b"http://B.example:80/api/x?y=1", b"a.example", False)
    assert (target.host, target.path, target.origin) == ("b.example", b"/api/x", b"/api/x?y=1")
    assert read_target(b"HTTP://b.example?y", b"a", False).origin == b"/?y"
    assert read_target(b"http://[::1]", b"a", False).origin == b"/"


def test_query_is_forwarded_unchanged_and_does_not_affect_routing() -> None:
    target = read_target(b"/api/x?next=/../%2f//", b"a", False)
    assert (target.path, target.origin) == (b"/api/x", b"/api/x?next=/../%2f//")


@pytest.mark.parametrize(
    ("url", "host", "old"),
    [
        (b"/x", None, False),
        (b"http://b/x", None, False),
        (b"https://b/x", b"a", False),
        (b"ftp://b/x", b"a", False),
        (b"http://u@b/x", b"a", False),
        (b"http:///x", b"a", False),
        (b"*", b"a", False),
        (b"a.example:80", b"a", False),
        (b"/x#y", b"a", False),
        (b"/x\x80", b"a", False),
        (b"", b"a", False),
    ],
)
def test_malformed_or_ambiguous_target_is_rejected(url: bytes, host: bytes | None, old: bool) -> None:
    with pytest.raises(TargetError):
        read_target(url, host, old)


def test_http_1_0_request_needs_no_host() -> None:
    assert read_target(b"/x", None, True).host == ""
