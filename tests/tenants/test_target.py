"""Host and target: what they name, and what two readers could read in two ways."""

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
def test_a_host_has_one_name_however_it_is_written(value: bytes, name: str) -> None:
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
def test_what_is_no_host_is_refused(value: bytes) -> None:
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
def test_a_path_is_compared_as_hosts_read_it(path: bytes, plain: bytes) -> None:
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
def test_a_path_that_two_readers_read_in_two_ways_is_refused(path: bytes) -> None:
    with pytest.raises(TargetError):
        normalize_path(path)


def test_an_absolute_target_goes_before_the_host_header_and_on_in_origin_form() -> None:
    target = read_target(b"http://B.example:80/api/x?y=1", b"a.example", False)
    assert (target.host, target.path, target.origin) == ("b.example", b"/api/x", b"/api/x?y=1")
    assert read_target(b"HTTP://b.example?y", b"a", False).origin == b"/?y"
    assert read_target(b"http://[::1]", b"a", False).origin == b"/"


def test_a_query_is_passed_on_as_it_came_and_decides_nothing() -> None:
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
def test_what_names_nothing_plainly_is_refused(url: bytes, host: bytes | None, old: bool) -> None:
    with pytest.raises(TargetError):
        read_target(url, host, old)


def test_http_1_0_may_come_without_a_host() -> None:
    assert read_target(b"/x", None, True).host == ""
