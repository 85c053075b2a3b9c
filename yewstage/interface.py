"""Settings, events and actions of the decision module. Neutral: no policy lives here.

Every time is in milliseconds on the caller's clock, every amount of use in quota units.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Final

# Why a request is refused: its quota, its ceiling, pressure on the back end, no host that may take it, too
# little time left, too many customers to know one more, or settings that do not know its class or plan.
# (A line each: mypyc puts a constant in place only where its own line says that it is one.)
QUOTA: Final = "quota"
CEILING: Final = "ceiling"
PRESSURE: Final = "pressure"
NO_HOST: Final = "no_host"
LATE: Final = "late"
CROWDED: Final = "crowded"
UNKNOWN: Final = "unknown"

# Results of an attempt, and whether each one proves that the request never ran.
OK: Final = "ok"
ERROR: Final = "error"
FULL: Final = "full"
TIMED_OUT: Final = "timed_out"
CONNECT_FAILED: Final = "connect_failed"
RESET: Final = "reset"
CANCELLED: Final = "cancelled"
MOOT: Final = "moot"  # not sent: by the first byte nobody wanted it, or its server no new work
SPOILT: Final = "spoilt"  # an answer came that cannot be read: it may have run, and says little of the server
# A kept connection was reset by its next request: it may have run, the server is no worse
STALE: Final = "stale"
UNSENT: Final = "unsent"  # a connection came up and broke before the last byte was written: it never ran
# The connection broke under a counter call: it may have been added, the counter may be well
CUT: Final = "cut"
NO_ROOM: Final = "no_room"  # a bound of our own kept it from being sent: it says nothing of the server
NEVER_RAN: Final = frozenset((FULL, CONNECT_FAILED, MOOT, UNSENT, NO_ROOM))
NEVER_ARRIVED: Final = frozenset((MOOT, UNSENT, NO_ROOM))  # and took nothing of a quota or a ceiling


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of request: what it is worth, when it is wanted, whether it may run again."""

    name: str
    aim_ms: float
    deadline_ms: float
    worth: float = 1.0
    late_worth: float = 0.0
    effect: str = "safe"  # safe, keyed, unsafe
    key_scope: str = "all"  # all, zone, cell
    window_ms: float = 0.0  # how long hosts remember a key
    stream: bool = False


@dataclass(slots=True, frozen=True)
class Plan:
    """A plan: quota store, ceiling store and what work counts for; the stores are per customer."""

    name: str
    rate: float = 0.0  # units a second; 0: no such quota
    burst: float = 0.0
    worth: float = 1.0
    over_worth: float = 0.0
    over_cost: float = 0.0
    ceiling_rate: float = 0.0  # units a second; 0: no ceiling
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0
    parallel: int = 0  # attempts out at once; 0: no such quota


@dataclass(slots=True, frozen=True)
class Settings:
    """What a gateway is told when it starts."""

    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...] = ()
    me: int = 0
    fleet_size: int = 1
    zone: str = ""
    try_limit: int = 1
    second_copies: bool = False
    cancel: bool = False
    max_retry_after_ms: float = 0.0
    probing: bool = False
    peers: bool = False
    must_ask: bool = False  # the list of servers comes only on request
    may_count: bool = False
    most_units: float = math.inf  # the largest request
    most_customers: int = 8192  # known at once: a flood of new names must not fill the memory
    count_wait_ms: float = 50.0
    trued_up: bool = False
    use_period_ms: float = 0.0
    tick_ms: float = 1.0
    answer_slack_ms: float = 0.0
    drain_grace_ms: float = 0.0
    cold_from: float = 1.0
    cold_ms: float = 0.0
    fall_multiple: float = 1.0
    tip_after_ms: float = 0.0

    def check(self) -> None:
        """Refuse settings that make no sense: the field, what was found, what may stand there."""
        if not self.classes:
            raise ValueError("classes: found none, expected at least one")
        if self.fleet_size < 1:
            raise ValueError(f"fleet_size: found {self.fleet_size}, expected 1 or more")
        if self.most_customers < 1:
            raise ValueError(f"most_customers: found {self.most_customers}, expected 1 or more")
        for what, names in (
            ("classes", [c.name for c in self.classes]),
            ("plans", [p.name for p in self.plans]),
        ):
            twice = sorted({name for name in names if names.count(name) > 1})
            if twice:
                raise ValueError(f"{what}: found {twice[0]!r} twice, expected each name once")
        if not 0 <= self.me < self.fleet_size:
            raise ValueError(f"me: found {self.me}, expected 0 to {self.fleet_size - 1}, below fleet_size")
        for c in self.classes:
            for name in ("aim_ms", "deadline_ms"):
                if getattr(c, name) <= 0:
                    raise ValueError(
                        f"classes[{c.name}].{name}: found {getattr(c, name):g}, expected above 0"
                    )
            if c.effect not in ("safe", "keyed", "unsafe"):
                raise ValueError(
                    f"classes[{c.name}].effect: found {c.effect!r}, expected safe, keyed or unsafe"
                )
            if c.key_scope not in ("all", "zone", "cell"):
                raise ValueError(
                    f"classes[{c.name}].key_scope: found {c.key_scope!r}, expected all, zone or cell"
                )
        for p in self.plans:
            for name in ("rate", "burst", "ceiling_rate", "ceiling_burst", "ceiling_slack", "parallel"):
                if getattr(p, name) < 0:
                    raise ValueError(
                        f"plans[{p.name}].{name}: found {getattr(p, name):g}, expected 0 or more"
                    )
        for name in ("cold_ms", "fall_multiple", "tip_after_ms", "tick_ms", "try_limit"):
            if getattr(self, name) < 0:
                raise ValueError(f"{name}: found {getattr(self, name):g}, expected 0 or more")


@dataclass(slots=True, frozen=True)
class Server:
    """One line of the list of servers."""

    name: str
    zone: str = ""
    cell: int = 0
    status: str = "up"  # up, draining, removed
    nominal: float = 1.0
    up_since_ms: float = 0.0  # 0: a long time back
    pool: str = ""  # it serves the requests that name this pool, and no others


# Events. Nobody changes one, nor an action; but to have it checked (frozen) triples the cost of making one.
# Those that each request makes say how they are made: what dataclass writes itself is not compiled.


@dataclass(slots=True)
class ServerList:
    """News of the servers: 'full' and 'kept' bring all of them, 'changes' some, 'failed' none."""

    kind: str
    servers: tuple[Server, ...] = ()


@dataclass(slots=True, init=False)
class Request:
    """A client's request, which is owed exactly one final answer."""

    id: str
    class_name: str
    plan_name: str
    customer: str
    time_left_ms: float
    units: float = 1.0
    width: int = 1  # gateways that this customer's requests may come through
    first: int = 0  # number of the first of them
    repeat: bool = False
    pool: str = ""  # the hosts that may serve it

    def __init__(
        self,
        id: str,
        class_name: str,
        plan_name: str,
        customer: str,
        time_left_ms: float,
        units: float = 1.0,
        width: int = 1,
        first: int = 0,
        repeat: bool = False,
        pool: str = "",
    ) -> None:
        self.id, self.class_name, self.plan_name, self.customer = id, class_name, plan_name, customer
        self.time_left_ms, self.units, self.width, self.first = time_left_ms, units, width, first
        self.repeat, self.pool = repeat, pool


@dataclass(slots=True, init=False)
class Outcome:
    """How one attempt ended; `final` is set once the request is finished."""

    request: str
    attempt: int
    server: str
    result: str
    took_ms: float
    final: bool
    use_percent: float = 0.0  # 1 + the customer's metered use; 0: not told
    true_units: float = 0.0  # 0: not told
    report: dict[str, float] = field(default_factory=dict)

    def __init__(
        self,
        request: str,
        attempt: int,
        server: str,
        result: str,
        took_ms: float,
        final: bool,
        use_percent: float = 0.0,
        true_units: float = 0.0,
        report: dict[str, float] | None = None,
    ) -> None:
        self.request, self.attempt, self.server, self.result = request, attempt, server, result
        self.took_ms, self.final, self.use_percent, self.true_units = took_ms, final, use_percent, true_units
        self.report = {} if report is None else report


@dataclass(slots=True)
class StreamStarted:
    """A streamed answer has begun: the client owns this attempt now."""

    request: str
    attempt: int


@dataclass(slots=True)
class ClientLeft:
    """The client is gone; nothing more is owed."""

    request: str


@dataclass(slots=True)
class TimerDue:
    """A timer that the module asked for."""

    name: str


@dataclass(slots=True)
class CountReply:
    """What one Count call came to: result ok, full, connect_failed or timed_out; spoilt: it was answered, so
    added, but with no total; cut: its connection broke while it was out."""

    name: str
    result: str
    total: float
    took_ms: float = 0.0


@dataclass(slots=True)
class ProbeReply:
    """What one Probe found."""

    server: str
    result: str
    took_ms: float
    report: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class HostOut:
    """People on call take a host out (`out`), or put it back. While it is out it counts as draining, whatever
    the list of servers says of it."""

    server: str
    out: bool


@dataclass(slots=True)
class SettingsChanged:
    """New settings. Open requests keep the class, and the number of attempts, that they began with."""

    settings: Settings


@dataclass(slots=True)
class Draining:
    """This process ends soon, and nobody goes on from it: what it reserved ahead of use is given back."""


@dataclass(slots=True)
class Succeeded:
    """Another process of this gateway decides from now on (`by_heir`), and holds what this one held of
    ceilings; or it does not, after all."""

    by_heir: bool


@dataclass(slots=True)
class PeerMessage:
    """A message from another gateway."""

    sender: int
    data: bytes


# Actions


@dataclass(slots=True, init=False)
class Send:
    """Start an attempt; attempts of a request are numbered 0, 1, 2... in the order of Sends."""

    request: str
    server: str
    timeout_ms: float
    valid_ms: float = math.inf  # how long its last byte may still reach the server: a repeat with a key, say

    def __init__(self, request: str, server: str, timeout_ms: float, valid_ms: float = math.inf) -> None:
        self.request, self.server, self.timeout_ms, self.valid_ms = request, server, timeout_ms, valid_ms


@dataclass(slots=True)
class Refuse:
    """Final answer: not served, and trying again does no harm."""

    request: str
    retry_after_ms: float = 0.0
    cause: str = ""  # one of the causes above


@dataclass(slots=True)
class Fail:
    """Final answer: failed, nothing promised."""

    request: str


@dataclass(slots=True)
class Cancel:
    """Stop waiting for one attempt."""

    request: str
    attempt: int


@dataclass(slots=True)
class Timer:
    """Ask for a TimerDue."""

    name: str
    in_ms: float


@dataclass(slots=True)
class Count:
    """Add an amount to a shared count and learn its total."""

    name: str
    amount: float
    keep_ms: float


@dataclass(slots=True)
class Subscribe:
    """Ask to be told of changes to the list of servers."""


@dataclass(slots=True)
class Log:
    """A line for the people on call."""

    text: str


Event = (
    ServerList
    | Request
    | Outcome
    | StreamStarted
    | ClientLeft
    | TimerDue
    | CountReply
    | ProbeReply
    | PeerMessage
    | HostOut
    | SettingsChanged
    | Draining
    | Succeeded
)
Action = Send | Refuse | Fail | Cancel | Timer | Count | Subscribe | Log
