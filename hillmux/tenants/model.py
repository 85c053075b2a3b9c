"""Configuration of the service and its tenants: typed values, small because there may be 10,000 tenants."""

from __future__ import annotations

import base64
import hashlib
from dataclasses import dataclass, field

from hillmux import interface as api

Address = tuple[str, int]

ACTIVE, DRAINING = "active", "draining"  # configurable states; a tenant missing from the file is removed
SAFE_METHODS = frozenset((b"GET",))
CHANGING_METHODS = frozenset((b"POST", b"PUT", b"PATCH", b"DELETE"))
ANY_HOST = "*"

# A counter's name has at most 64 bytes: the scope, a dot, and the name that the decision module gives the
# count, which is 16 hex digits of the customer, a dot, the plan's number, a dot and the window's number (13
# digits at most).
SCOPE_BYTES = 16


def methods_allowed_for(effect: str) -> frozenset[bytes]:
    """The methods that a class of this effect may use: an unsafe request must not use a safe method, which
    may be repeated freely (RFC 9110 section 9.2).
    """
    return SAFE_METHODS if effect == "safe" else CHANGING_METHODS


def scope_of(tenant_id: str) -> str:
    """The prefix of a tenant's names in the counter: 22 bytes, whatever the length of the tenant's id.

    128 bits of BLAKE2s in the URL-safe alphabet (RFC 4648 section 5). A configuration in which two ids have
    the same scope is rejected when it is loaded, so names never collide.
    """
    digest = hashlib.blake2s(tenant_id.encode(), digest_size=SCOPE_BYTES).digest()
    return base64.urlsafe_b64encode(digest).rstrip(b"=").decode()


@dataclass(slots=True, frozen=True)
class Pool:
    """Hosts that serve the same requests, listed in the configuration or in a hosts file that is watched."""

    name: str
    servers: tuple[api.Endpoint, ...] = ()
    addresses: tuple[tuple[str, Address], ...] = ()  # server names with their addresses
    hosts_file: str = ""


@dataclass(slots=True, frozen=True)
class Route:
    """Maps requests under a path prefix, with given methods and headers, to a pool and a request class."""

    name: str
    prefix: bytes  # matches whole segments: `/api` matches `/api` and `/api/x`, not `/apix`
    methods: frozenset[bytes]
    headers: tuple[tuple[bytes, bytes], ...]  # lower-case names and exact values, all of which must match
    pool: str
    class_name: str
    effect: str


@dataclass(slots=True, frozen=True)
class Tenant:
    """The complete configuration of one tenant."""

    id: str
    host_names: tuple[str, ...]  # lower-case, without port; `*` matches hosts that no tenant names
    path_prefixes: tuple[bytes, ...]
    routes: tuple[Route, ...]
    pools: tuple[Pool, ...]
    settings: api.Settings
    state: str = ACTIVE
    share: float = 1.0
    partners: tuple[tuple[str, str], ...] = ()  # partners with their plans
    default_plan: str = ""  # plan of partners that are not listed; if empty, their requests are rejected
    partner_header: bytes = b""  # lower-case header that names the partner; empty: the last path segment
    dial_ms: float = 250.0
    idle_ms: float = 15_000.0


@dataclass(slots=True, frozen=True)
class Limits:
    """Resource limits of one process, shared by all its tenants."""

    sockets: int = 1024  # file descriptors
    open_requests: int = 2000
    buffer_mb: float = 64.0  # memory for open requests and for responses that clients have not read
    dials: int = 64  # connections to hosts that are being opened at once
    log_lines: int = 50  # log lines of tenants per second
    loop_share: float = 0.7  # fraction of the loop's time, beyond which tenants over their share are rejected


@dataclass(slots=True, frozen=True)
class ServiceConfig:
    """The complete configuration of the hosted service."""

    name: str
    listeners: tuple[Address, ...]
    tenants: tuple[Tenant, ...]
    state_folder: str = ""
    number: int = 0
    fleet_size: int = 1
    drain_s: float = 25.0  # after SIGTERM; requests still open then are answered as failed
    counter: Address | None = None  # None selects the embedded counter
    count_wait_ms: float = 90.0  # time-out of a counter call
    limits: Limits = field(default_factory=Limits)
