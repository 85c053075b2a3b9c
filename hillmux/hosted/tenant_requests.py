"""Validates a request to a tenant and converts it to a `ForwardRequest`; no I/O."""

from __future__ import annotations

import re
import secrets

from hillmux import interface as api
from hillmux.hosted.tenant_service import TenantInfo
from hillmux.interface import Idempotency
from hillmux.net.body_buffer import to_bytes
from hillmux.net.forward_request import ForwardRequest
from hillmux.net.requests import (
    DEADLINE_VALUE,
    GATEWAY_HEADERS,
    VISIBLE_TOKEN,
    BadRequestError,
    QuotaInfo,
    RequestMessage,
    read_quota_info,
)
from hillmux.tenants import model
from hillmux.tenants.router import Entry, Router
from hillmux.tenants.target import Target

# Headers that are not forwarded unchanged: they apply to one connection (RFC 9110 section 7.6.1), or the
# gateway writes its own for the host. `connection` is kept until the headers that it names are known.
REPLACED_HEADERS = frozenset(
    (
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"host",
        b"content-length",
        b"content-type",
        b"expect",
        b"x-request-id",
        b"x-class",
        b"x-partner",
        b"idempotency-key",
        b"x-deadline",
        b"plan",
        b"quota-info",
        b"x-retry",
    )
)
PARTNER_NAME = re.compile(r"[!-~]{1,128}")
TENANT_HEADERS = GATEWAY_HEADERS | {b"host"}


class MethodNotAllowedError(BadRequestError):
    """The request's path has routes, but none for its method; `allowed` lists their methods."""

    def __init__(self, methods: frozenset[bytes]) -> None:
        self.allowed = ", ".join(sorted(method.decode() for method in methods))
        super().__init__(f"method: expected {self.allowed}", 405)


class TenantMessage(RequestMessage):
    """One request, with the headers that are forwarded to the host unchanged."""

    __slots__ = ("other_headers",)

    def __init__(self) -> None:
        super().__init__()
        self.other_headers: list[tuple[bytes, bytes]] = []


def parse_tenant_request(
    message: TenantMessage, target: Target, entry: Entry, record: TenantInfo, peer: bytes
) -> ForwardRequest:
    """Convert a request to the form that its tenant's decision module and hosts receive.

    Args:
        message: the request.
        target: its parsed target.
        entry: its tenant with the compiled routes.
        record: the tenant's record.
        peer: the client's address.

    Raises:
        MethodNotAllowedError: the path has routes, but none for this method.
        BadRequestError: the request violates the protocol, or has no route or partner of this tenant.
    """
    headers, tenant = message.headers, entry.tenant
    route = Router.route(entry, message.method, target.path, headers)
    if isinstance(route, frozenset):
        if not route:
            raise BadRequestError("no route of this tenant has this path", 404)
        raise MethodNotAllowedError(route)
    partner = _partner(message, target, tenant)
    plan = record.plans.get(partner) or tenant.default_plan
    if not plan:
        raise BadRequestError("partner: is not one of this tenant's", 404)
    request_class = record.request_rules.classes[route.class_name.encode()]
    time_left_ms = _time_left_ms(message, request_class)
    quota_info = QuotaInfo(1.0, tenant.settings.fleet_size, 0)
    if b"quota-info" in headers:
        quota_info = read_quota_info(headers[b"quota-info"], record.request_rules)
    request_id = headers.get(b"x-request-id") or secrets.token_hex(16).encode()
    return ForwardRequest(
        request_id,
        request_class.name,
        plan,
        partner,
        time_left_ms,
        quota_info.units,
        quota_info.replicas,
        quota_info.first_replica,
        headers.get(b"x-retry") == b"1",
        message.read_at,
        _encode_head(message, target, route, request_class, request_id, partner, peer),
        to_bytes(message.body),
        route.pool,
    )


def _partner(message: TenantMessage, target: Target, tenant: model.Tenant) -> str:
    """The partner that a request names, in the tenant's partner header or as the last path segment."""
    name = (
        message.headers.get(tenant.partner_header, b"")
        if tenant.partner_header
        else target.path.rpartition(b"/")[2]
    ).decode("latin-1")
    if not PARTNER_NAME.fullmatch(name):
        raise BadRequestError("partner: expected 1 to 128 visible ASCII characters")
    return name


def _time_left_ms(message: TenantMessage, request_class: api.RequestClass) -> float:
    """The client's deadline in ms, limited to that of the request class."""
    if b"x-deadline" not in message.headers:
        return request_class.deadline_ms
    deadline = DEADLINE_VALUE.fullmatch(message.headers[b"x-deadline"])
    if deadline is None:
        raise BadRequestError("X-Deadline: expected a number and m or u, as in 480m")
    return min(float(deadline[1]) / (1 if deadline[2] == b"m" else 1000), request_class.deadline_ms)


def _encode_head(
    message: TenantMessage,
    target: Target,
    route: model.Route,
    request_class: api.RequestClass,
    request_id: bytes,
    partner: str,
    peer: bytes,
) -> bytes:
    """Encode the request line and headers for the host."""
    headers, key = message.headers, message.headers.get(b"idempotency-key")
    if not VISIBLE_TOKEN.fullmatch(request_id) or (key is not None and not VISIBLE_TOKEN.fullmatch(key)):
        raise BadRequestError("X-Request-Id or Idempotency-Key: expected 1 to 128 visible ASCII characters")
    if request_class.idempotency == Idempotency.KEYED and key is None:
        raise BadRequestError(f"Idempotency-Key: is missing, class {request_class.name!r} is keyed")
    if request_class.idempotency == Idempotency.IDEMPOTENT and message.body:
        raise BadRequestError(f"body: found one, class {request_class.name!r} is safe")
    lines = [
        b"%b %b HTTP/1.1\r\nHost: %b\r\nX-Request-Id: %b\r\nX-Class: %b\r\nX-Partner: %b\r\n"
        % (
            message.method,
            target.origin,
            target.host.encode() or b"upstream",
            request_id,
            request_class.name.encode(),
            partner.encode(),
        )
    ]
    if key is not None:
        lines.append(b"Idempotency-Key: %b\r\n" % key)
    if message.method != b"GET":
        lines.append(b"Content-Length: %d\r\n" % message.body_bytes)
    if b"content-type" in headers:
        lines.append(b"Content-Type: %b\r\n" % headers[b"content-type"])
    lines += _end_to_end_lines(message)
    lines.append(b"X-Forwarded-For: %b\r\nVia: 1.1 hillmux\r\n" % peer)
    return b"".join(lines)


def _end_to_end_lines(message: TenantMessage) -> list[bytes]:
    """The client's header lines, without those that its Connection header names (RFC 9110 section 7.6.1)."""
    named = frozenset(
        token.strip().lower()
        for name, value in message.other_headers
        if name == b"connection"
        for token in value.split(b",")
    )
    if any(b"\r" in value or b"\n" in value for _, value in message.other_headers):
        raise BadRequestError("headers: a value goes over more than one line")
    return [
        b"%b: %b\r\n" % (name, value)
        for name, value in message.other_headers
        if name != b"connection" and name not in named
    ]
