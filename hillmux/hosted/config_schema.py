"""Schema of the configuration file: tables, fields and their bounds. Nothing here opens a file."""

from __future__ import annotations

import re
from typing import Annotated, Any, Literal

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field
from pydantic_core import PydanticCustomError

from hillmux.tenants.target import TargetError, host_name

IDENTIFIER = re.compile(r"[a-z0-9](?:[a-z0-9-]{0,61}[a-z0-9])?")
TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]{1,64}")  # a header's name (RFC 9110 section 5.6.2)
VALUE = re.compile(r"[!-~]{1,128}")
PREFIX = re.compile(r"/(?:[A-Za-z0-9._~!$&'()*+,;=:@-]+/?)*")


def _expected(what: str) -> PydanticCustomError:
    """An error whose text is what the field may hold; it is reported after `expected`."""
    return PydanticCustomError("expected", "{what}", {"what": what})


def _address(value: Any) -> tuple[str, int]:
    host, colon, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not (colon and host and port.isascii() and port.isdigit() and int(port) < 65536):
        raise _expected("HOST:PORT, with a port from 0 to 65535")
    return host.strip("[]"), int(port)


def _matching(pattern: re.Pattern[str], what: str) -> BeforeValidator:
    def check(value: Any) -> str:
        if not isinstance(value, str) or not pattern.fullmatch(value):
            raise _expected(what)
        return value

    return BeforeValidator(check)


def _host(value: Any) -> str:
    if value == "*":
        return "*"
    try:
        name = host_name(value.encode()) if isinstance(value, str) else ""
    except TargetError:
        name = ""
    if not name:
        raise _expected("a host name such as api.example.org, an [IPv6] address, or * for those of no tenant")
    return name


def _prefix(value: Any) -> str:
    if (
        not isinstance(value, str)
        or not PREFIX.fullmatch(value)
        or any(part in (".", "..") for part in value.split("/"))
    ):
        raise _expected("a path that starts with /, with no escape, empty segment or dot segment")
    return value


Address = Annotated[tuple[str, int], BeforeValidator(_address)]
Identifier = Annotated[str, _matching(IDENTIFIER, "1 to 63 lower-case letters, digits and inner hyphens")]
Word = Annotated[str, _matching(VALUE, "1 to 128 visible ASCII characters")]
HeaderName = Annotated[str, _matching(TOKEN, "a header's name")]
HostName = Annotated[str, BeforeValidator(_host)]
Prefix = Annotated[str, BeforeValidator(_prefix)]
Positive = Annotated[float, Field(gt=0, le=1e12, allow_inf_nan=False)]
NotNegative = Annotated[float, Field(ge=0, le=1e12, allow_inf_nan=False)]


class Shape(BaseModel):
    """A table of the file; an unknown field is an error."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class ClassShape(Shape):
    """A request class."""

    aim_ms: Positive
    deadline_ms: Positive
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    worth: NotNegative = 1.0
    late_worth: NotNegative = 0.0
    key_scope: Literal["all", "zone", "cell"] = "all"
    window_ms: NotNegative = 0.0


class PlanShape(Shape):
    """A plan that partners can have."""

    rate: NotNegative = 0.0
    burst: NotNegative = 0.0
    worth: NotNegative = 1.0
    over_worth: NotNegative = 0.0
    over_cost: NotNegative = 0.0
    ceiling_rate: NotNegative = 0.0
    ceiling_burst: NotNegative = 0.0
    ceiling_slack: NotNegative = 0.0


class HostShape(Shape):
    """One host of a pool."""

    id: Word
    address: Address
    zone: str = ""
    cell: int = 0
    weight: Positive = 1.0
    state: Literal["ready", "draining"] = "ready"
    started_at_ms: NotNegative = 0.0


class PoolShape(Shape):
    """A pool's hosts, listed here or in a hosts file."""

    hosts: tuple[HostShape, ...] = ()
    hosts_file: str = ""


class HostsFileShape(Shape):
    """A hosts file."""

    hosts: tuple[HostShape, ...]


class RouteShape(Shape):
    """The request class and the pool of the requests that a route matches."""

    name: Word
    prefix: Prefix = "/"
    methods: tuple[Literal["GET", "POST", "PUT", "PATCH", "DELETE"], ...] = ()
    headers: dict[HeaderName, Word] = {}
    pool: Identifier
    class_: Word = Field(alias="class")


class PartnerShape(Shape):
    """One partner of a tenant."""

    plan: Word


class ModuleShape(Shape):
    """Settings of the tenant's decision module other than classes and plans."""

    try_limit: Annotated[int, Field(ge=1, le=16)] = 3
    max_retry_after_ms: NotNegative = 10_000.0
    most_units: Positive = 1000.0
    most_customers: Annotated[int, Field(ge=16, le=1_000_000)] = 8192
    drain_grace_ms: NotNegative = 1000.0
    cold_from: Annotated[float, Field(gt=0, le=1)] = 1.0
    cold_ms: NotNegative = 0.0
    fall_multiple: Positive = 1.0
    tip_after_ms: NotNegative = 0.0
    dial_timeout_ms: Positive = 250.0
    conn_idle_ms: Positive = 15_000.0


class TenantShape(Shape):
    """One tenant."""

    id: Identifier
    state: Literal["active", "draining"] = "active"
    share: Annotated[float, Field(ge=0.01, le=1000)] = 1.0
    host_names: Annotated[tuple[HostName, ...], Field(min_length=1, max_length=64)]
    path_prefixes: Annotated[tuple[Prefix, ...], Field(min_length=1, max_length=64)] = ("/",)
    partner_header: HeaderName | None = None
    default_plan: str = ""
    partners: dict[Word, PartnerShape] = {}
    classes: dict[Word, ClassShape] = {}
    plans: dict[Word, PlanShape] = {}
    pools: Annotated[dict[Identifier, PoolShape], Field(min_length=1, max_length=64)]
    routes: Annotated[tuple[RouteShape, ...], Field(min_length=1, max_length=1000)]
    module: ModuleShape = ModuleShape()


class GatewayShape(Shape):
    """This process within the fleet that serves the same tenants."""

    name: Word = "hillmux"
    number: Annotated[int, Field(ge=0)] = 0
    fleet_size: Annotated[int, Field(ge=1, le=1000)] = 1
    drain_s: Annotated[float, Field(ge=0, le=3600)] = 25.0


class ListenerShape(Shape):
    """An address to listen on."""

    address: Address


class LimitsShape(Shape):
    """Resource limits of the process."""

    sockets: Annotated[int, Field(ge=128)] = 1024
    open_requests: Annotated[int, Field(ge=16)] = 2000
    buffer_mb: Annotated[float, Field(ge=1)] = 64.0
    dials: Annotated[int, Field(ge=4)] = 64
    log_lines: Annotated[int, Field(ge=1)] = 50
    loop_share: Annotated[float, Field(gt=0, le=1)] = 0.7


class CounterShape(Shape):
    """The counter's address; without one, the counter is embedded in the process."""

    address: Address | None = None
    wait_ms: Positive = 30.0


class FileShape(Shape):
    """The complete file. Tenants are validated one by one, so that an error in one hides none in another."""

    state_folder: str = ""
    gateway: GatewayShape = GatewayShape()
    listeners: Annotated[tuple[ListenerShape, ...], Field(min_length=1, max_length=16)]
    limits: LimitsShape = LimitsShape()
    counter: CounterShape = CounterShape()
    classes: dict[Word, ClassShape] = {}
    plans: dict[Word, PlanShape] = {}
    tenants: list[Any] = []
