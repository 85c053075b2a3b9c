"""Parses the Host header and the request target, and rejects those that parsers could read differently."""

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
# Escapes of these bytes are rejected: once decoded they change the number of a path's segments or its end for
# some parsers but not for others.
FORBIDDEN = frozenset(b"/\\\x00")


class TargetError(ValueError):
    """A Host or target that is ambiguous or malformed (answered 400)."""


@dataclass(slots=True, frozen=True)
class Target:
    """The host and path that a request addresses."""

    host: str  # normalized; "" for an HTTP/1.0 request without a Host header
    path: bytes  # normalized for routing: escapes of unreserved characters are decoded
    origin: bytes  # path and query in origin form, forwarded to the host unchanged


def read_target(url: bytes, host: bytes | None, http_1_0: bool) -> Target:
    """Parse the request target and the Host header (RFC 9112 sections 3.2 and 3.2.2).

    Args:
        url: the request target as received.
        host: the Host header's value; duplicates are rejected with those of the other headers.
        http_1_0: whether the request's version is 1.0, in which Host is optional.

    Raises:
        TargetError: the target or Host is ambiguous or malformed; the text describes the error.
    """
    if host is None and not http_1_0:
        raise TargetError("Host: is missing")
    name = "" if host is None else host_name(host)
    origin = url
    if url[:1] != b"/":
        scheme, colon, rest = url.partition(b"://")
        if not colon or scheme.lower() != b"http":
            raise TargetError("target: is neither a path nor an absolute http URI")
        authority_end = min((i for i in (rest.find(b"/"), rest.find(b"?")) if i >= 0), default=len(rest))
        name = host_name(rest[:authority_end])  # overrides the Host header (RFC 9112 section 3.2.2)
        origin = rest[authority_end:]
        if origin[:1] != b"/":
            origin = b"/" + origin
        if not name:
            raise TargetError("target: names no host")
    path = origin.partition(b"?")[0]
    if b"#" in origin or not VISIBLE.fullmatch(origin):
        raise TargetError("target: holds a byte that must not stand there")
    return Target(name, normalize_path(path), origin)


def host_name(value: bytes) -> str:
    """Normalize a Host header's value: lower-case, without port or trailing dot.

    An IPv6 address is given in its shortest form, in brackets (RFC 5952).

    Raises:
        TargetError: the value is not a valid host.
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
        if "%" in literal:  # a zone identifier is only meaningful on one machine (RFC 6874)
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


def normalize_path(path: bytes) -> bytes:
    """Decode escapes of unreserved characters in a path (RFC 3986 section 6.2.2.2).

    Raises:
        TargetError: the path has a dot segment (`..`, `%2e%2e`), an empty segment (`//`), an escaped slash,
            backslash or zero, or a malformed escape. A host may interpret these differently from the router
            and so serve a request that another route was meant to handle.
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
