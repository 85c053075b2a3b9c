"""What the service and its tenants are told: typed values, as small as 10,000 of them ask for."""

from __future__ import annotations

import base64
import hashlib
from dataclasses import dataclass, field

from hillmux import interface as api

Address = tuple[str, int]

ACTIVE, DRAINING = "active", "draining"  # states that a configuration may give; a tenant left out is removed
SAFE_METHODS = frozenset((b"GET",))
CHANGING_METHODS = frozenset((b"POST", b"PUT", b"PATCH", b"DELETE"))
ANY_HOST = "*"

# In 64 bytes of a counter's name stand the scope, a dot, and what the module calls the count: 16 hex digits
# of the customer, a dot and the plan's number, a dot and the window's number (13 digits at most).
SCOPE_BYTES = 16


def methods_of(effect: str) -> frozenset[bytes]:
    """The methods under which a class may be asked for: one that may not be repeated must not come as one
    that may (RFC 9110 section 9.2).
    """
    return SAFE_METHODS if effect == "safe" else CHANGING_METHODS


def scope_of(tenant_id: str) -> str:
    """What stands before a tenant's names in the counter: 22 bytes, whatever the tenant is called.

    128 bits of BLAKE2s in the URL-safe alphabet (RFC 4648 section 5). Two ids of one scope are refused when a
    configuration is loaded, so names never collide.
    """
    digest = hashlib.blake2s(tenant_id.encode(), digest_size=SCOPE_BYTES).digest()
    return base64.urlsafe_b64encode(digest).rstrip(b"=").decode()


@dataclass(slots=True, frozen=True)
class Pool:
    """Hosts that serve the same requests: listed, or in a file that is watched."""

    name: str
    servers: tuple[api.Endpoint, ...] = ()
    addresses: tuple[tuple[str, Address], ...] = ()  # by the server's name
    hosts_file: str = ""


@dataclass(slots=True, frozen=True)
class Route:
    """Requests under a prefix, with these methods and headers, go to a pool as a class."""

    name: str
    prefix: bytes  # whole segments: `/api` holds `/api` and `/api/x`, not `/apix`
    methods: frozenset[bytes]
    headers: tuple[tuple[bytes, bytes], ...]  # lower-case name and exact value; all must be there
    pool: str
    class_name: str
    effect: str


@dataclass(slots=True, frozen=True)
class Tenant:
    """One tenant, whole."""

    id: str
    host_names: tuple[str, ...]  # lower-case, no port; `*` for those that no tenant names
    path_prefixes: tuple[bytes, ...]
    routes: tuple[Route, ...]
    pools: tuple[Pool, ...]
    settings: api.Settings
    state: str = ACTIVE
    share: float = 1.0
    partners: tuple[tuple[str, str], ...] = ()  # partner and its plan
    default_plan: str = ""  # for partners that are not listed; none: they are turned away
    partner_header: bytes = b""  # lower-case; none: the path's last part
    dial_ms: float = 250.0
    idle_ms: float = 15_000.0


@dataclass(slots=True, frozen=True)
class Limits:
    """What one process may hold for all its tenants together."""

    sockets: int = 1024  # file descriptors
    open_requests: int = 2000
    buffer_mb: float = 64.0  # requests being served, and answers that clients have not read
    dials: int = 64  # connections to hosts being opened at once
    log_lines: int = 50  # a second
    loop_share: float = 0.7  # of the loop's time, beyond which tenants over their share are refused


@dataclass(slots=True, frozen=True)
class ServiceConfig:
    """A whole configuration."""

    name: str
    listeners: tuple[Address, ...]
    tenants: tuple[Tenant, ...]
    state_folder: str = ""
    number: int = 0
    fleet_size: int = 1
    drain_s: float = 25.0  # after SIGTERM, what is open then is answered as failed
    counter: Address | None = None  # none: embedded
    count_wait_ms: float = 90.0  # how long a call is waited for
    limits: Limits = field(default_factory=Limits)
