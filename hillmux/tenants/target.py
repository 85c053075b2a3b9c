"""Host and request target of a request: what they name, and whether two readers could differ over it."""

from __future__ import annotations

import ipaddress
import re
from dataclasses import dataclass

LABEL = r"[a-z0-9_](?:[a-z0-9_-]{0,61}[a-z0-9_])?"
NAME = re.compile(rf"{LABEL}(?:\.{LABEL})*")
PORT = re.compile(r"[0-9]{0,5}")
UNRESERVED = frozenset(b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~")
ESCAPE = re.compile(rb"%([0-9A-Fa-f]{2})?")
VISIBLE = re.compile(rb"[!-~]+")
# Decoded, these change how many segments a path has or where it ends, to some readers and not to others.
FORBIDDEN = frozenset(b"/\\\x00")


class TargetError(ValueError):
    """A Host or target that could be read in two ways, or in none (answered 400)."""


@dataclass(slots=True, frozen=True)
class Target:
    """What a request is for."""

    host: str  # normalised; "" where HTTP/1.0 gave none
    path: bytes  # as routes see it: escapes of unreserved characters undone
    origin: bytes  # path and query in origin form, unchanged: what goes on to a host


def read_target(url: bytes, host: bytes | None, http_1_0: bool) -> Target:
    """Target and Host header as a `Target` (RFC 9112 sections 3.2 and 3.2.2).

    Args:
        url: the request target as it came.
        host: the Host header's value; that it came once is checked with the other headers.
        http_1_0: the request's version is 1.0, in which Host may be missing.

    Raises:
        TargetError: the text says what was wrong.
    """
    if host is None and not http_1_0:
        raise TargetError("Host: is missing")
    name = "" if host is None else host_name(host)
    origin = url
    if url[:1] != b"/":
        scheme, colon, rest = url.partition(b"://")
        if not colon or scheme.lower() != b"http":
            raise TargetError("target: is neither a path nor an absolute http URI")
        cut = min((i for i in (rest.find(b"/"), rest.find(b"?")) if i >= 0), default=len(rest))
        name = host_name(rest[:cut])  # goes before the Host header (RFC 9112 section 3.2.2)
        origin = rest[cut:]
        if origin[:1] != b"/":
            origin = b"/" + origin
        if not name:
            raise TargetError("target: names no host")
    path = origin.partition(b"?")[0]
    if b"#" in origin or not VISIBLE.fullmatch(origin):
        raise TargetError("target: holds a byte that must not stand there")
    return Target(name, plain_path(path), origin)


def host_name(value: bytes) -> str:
    """A Host header's value as the name it stands for: lower-case, without port or trailing dot; an IPv6
    address in its shortest form, in brackets (RFC 5952). TargetError where it is no host.
    """
    try:
        text = value.decode("ascii").strip(" \t").lower()
    except UnicodeDecodeError:
        raise TargetError("Host: is not ASCII") from None
    if not text:
        return ""
    if text.startswith("["):
        literal, bracket, rest = text[1:].partition("]")
        if not bracket or (rest and not rest.startswith(":")) or not PORT.fullmatch(rest[1:]):
            raise TargetError("Host: is not [IPv6] or [IPv6]:PORT")
        if "%" in literal:  # a zone means something on one machine only (RFC 6874)
            raise TargetError("Host: holds an IPv6 address with a zone")
        try:
            return f"[{ipaddress.IPv6Address(literal)}]"
        except ValueError:
            raise TargetError("Host: holds no IPv6 address in its brackets") from None
    name, _, port = text.partition(":")
    if not PORT.fullmatch(port):
        raise TargetError("Host: its port is no number")
    name = name.removesuffix(".")
    if len(name) > 253 or not NAME.fullmatch(name):
        raise TargetError("Host: is no host name")
    return name


def plain_path(path: bytes) -> bytes:
    """A path as routes compare it: escapes of unreserved characters undone (RFC 3986 section 6.2.2.2).

    Refused, since a host may read them otherwise than the router and so serve what the route was meant to
    keep apart: dot segments (`..`, `%2e%2e`), empty segments (`//`), escaped slashes, backslashes and zeros,
    and escapes that are none.
    """
    if b"%" in path:
        path = ESCAPE.sub(_unescape, path)
    if b"//" in path or b"\\" in path:
        raise TargetError("path: holds an empty segment or a backslash")
    if b"/." in path and any(part in (b".", b"..") for part in path.split(b"/")):
        raise TargetError("path: holds a dot segment")
    return path


def _unescape(match: re.Match[bytes]) -> bytes:
    digits = match[1]
    if digits is None:
        raise TargetError("path: holds a percent sign with no two hex digits behind it")
    value = int(digits, 16)
    if value in FORBIDDEN:
        raise TargetError("path: holds an escaped slash, backslash or zero")
    return bytes((value,)) if value in UNRESERVED else b"%" + digits.upper()
