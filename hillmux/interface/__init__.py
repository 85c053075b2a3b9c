"""Interface of the decision module: its settings, the events it handles, the actions it answers with.

Neutral: no decision is made here. Times are in milliseconds on the caller's clock, amounts of use in quota
units.
"""

from hillmux.interface.actions import (
    Action,
    CancelAttempt,
    Fail,
    IncrementCounter,
    Log,
    Reject,
    SendAttempt,
    SetTimer,
    Subscribe,
)
from hillmux.interface.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterReply,
    DrainStarted,
    EndpointList,
    Event,
    GossipMessage,
    HealthCheckReply,
    HostDisabled,
    Request,
    ResponseStarted,
    SettingsChanged,
    TakenOver,
    TimerFired,
)
from hillmux.interface.results import (
    NEVER_DELIVERED,
    NEVER_EXECUTED,
    AttemptResult,
    HostStatus,
    Idempotency,
    KeyScope,
    ListKind,
    RejectReason,
)
from hillmux.interface.settings import (
    Endpoint,
    Plan,
    RequestClass,
    Settings,
)

__all__ = [
    "Action",
    "AttemptEnded",
    "AttemptResult",
    "CancelAttempt",
    "ClientDisconnected",
    "CounterReply",
    "DrainStarted",
    "Endpoint",
    "EndpointList",
    "Event",
    "Fail",
    "GossipMessage",
    "HealthCheckReply",
    "HostDisabled",
    "HostStatus",
    "Idempotency",
    "IncrementCounter",
    "KeyScope",
    "ListKind",
    "Log",
    "NEVER_DELIVERED",
    "NEVER_EXECUTED",
    "Plan",
    "Reject",
    "RejectReason",
    "Request",
    "RequestClass",
    "ResponseStarted",
    "SendAttempt",
    "SetTimer",
    "Settings",
    "SettingsChanged",
    "Subscribe",
    "TakenOver",
    "TimerFired",
]
