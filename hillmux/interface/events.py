"""Events that the decision module handles.

All times are in milliseconds on the caller's clock, all amounts in quota units.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from hillmux.interface.results import AttemptResult, ListKind
from hillmux.interface.settings import Endpoint, Settings

# Events and actions are never modified after creation, but a frozen dataclass takes longer to create.
# Classes instantiated for every request define `__init__`: mypyc does not compile the one that dataclass
# generates.


@dataclass(slots=True)
class EndpointList:
    """Hosts from discovery: the full list, the changed hosts, or none if the call to discovery failed."""

    kind: ListKind
    endpoints: tuple[Endpoint, ...] = ()


@dataclass(slots=True, init=False)
class Request:
    """A client's request, which gets exactly one final answer."""

    id: str
    class_name: str
    plan_name: str
    customer: str
    time_left_ms: float
    units: float = 1.0
    replicas: int = 1  # number of gateways that serve this customer
    first_replica: int = 0  # index of the first gateway that serves this customer
    is_retry: bool = False
    pool: str = ""  # name of the host pool that may serve it

    def __init__(
        self,
        id: str,
        class_name: str,
        plan_name: str,
        customer: str,
        time_left_ms: float,
        units: float = 1.0,
        replicas: int = 1,
        first_replica: int = 0,
        is_retry: bool = False,
        pool: str = "",
    ) -> None:
        self.id, self.class_name, self.plan_name, self.customer = id, class_name, plan_name, customer
        self.time_left_ms, self.units, self.replicas, self.first_replica = (
            time_left_ms,
            units,
            replicas,
            first_replica,
        )
        self.is_retry, self.pool = is_retry, pool


@dataclass(slots=True, init=False)
class AttemptEnded:
    """Result of one attempt; `final` is true once the request has its final answer."""

    request_id: str
    attempt: int
    host: str
    result: AttemptResult
    elapsed_ms: float
    final: bool
    usage_percent: float = 0.0  # 1 + the customer's metered usage in percent; 0: not reported
    actual_units: float = 0.0  # 0: not reported
    load_report: dict[str, float] = field(default_factory=dict)

    def __init__(
        self,
        request_id: str,
        attempt: int,
        host: str,
        result: AttemptResult,
        elapsed_ms: float,
        final: bool,
        usage_percent: float = 0.0,
        actual_units: float = 0.0,
        load_report: dict[str, float] | None = None,
    ) -> None:
        self.request_id, self.attempt, self.host, self.result = request_id, attempt, host, result
        self.elapsed_ms, self.final, self.usage_percent, self.actual_units = (
            elapsed_ms,
            final,
            usage_percent,
            actual_units,
        )
        self.load_report = {} if load_report is None else load_report


@dataclass(slots=True)
class ResponseStarted:
    """The first bytes of the response were sent to the client: no other attempt may answer the request."""

    request_id: str
    attempt: int


@dataclass(slots=True)
class ClientDisconnected:
    """The client has closed its connection; the request needs no answer any more."""

    request_id: str


@dataclass(slots=True)
class TimerFired:
    """A timer set with `SetTimer` has fired."""

    name: str


@dataclass(slots=True)
class CounterReply:
    """Result of one `IncrementCounter`.

    With MALFORMED_RESPONSE the amount was added, but the total is unknown. With CONNECTION_LOST the amount
    may have been added.
    """

    name: str
    result: AttemptResult
    total: float
    elapsed_ms: float = 0.0


@dataclass(slots=True)
class HealthCheckReply:
    """Result of one health check."""

    host: str
    result: AttemptResult
    elapsed_ms: float
    load_report: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class HostDisabled:
    """An operator has disabled or enabled a host; a disabled host drains, whatever discovery lists."""

    host: str
    disabled: bool


@dataclass(slots=True)
class SettingsChanged:
    """New settings; open requests keep their class and their maximum number of attempts."""

    settings: Settings


@dataclass(slots=True)
class DrainStarted:
    """This process exits soon without a successor process: leased units that are not used are returned."""


@dataclass(slots=True)
class TakenOver:
    """A successor process has taken over the decisions and this gateway's share of the ceilings.

    If `by_successor` is false, the successor process has exited, and this process makes the decisions again.
    """

    by_successor: bool


@dataclass(slots=True)
class GossipMessage:
    """A message from another gateway."""

    sender: int
    data: bytes


Event = (
    EndpointList
    | Request
    | AttemptEnded
    | ResponseStarted
    | ClientDisconnected
    | TimerFired
    | CounterReply
    | HealthCheckReply
    | GossipMessage
    | HostDisabled
    | SettingsChanged
    | DrainStarted
    | TakenOver
)
