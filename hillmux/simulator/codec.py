"""The simulator's wire format: lines to events of the decision module, its actions to lines."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

from hillmux import interface as api
from hillmux.interface import AttemptResult, HostStatus, ListKind
from hillmux.platform_settings import ABSENT, NumberFormatError, parse_number, parse_settings

ATTEMPT_RESULTS = {
    "Ok": AttemptResult.OK,
    "Failed": AttemptResult.ERROR,
    "QueueFull": AttemptResult.QUEUE_FULL,
    "TimedOut": AttemptResult.TIMED_OUT,
    "ConnectError": AttemptResult.CONNECT_FAILED,
    "ResetByPeer": AttemptResult.RESET,
    "Canceled": AttemptResult.CANCELLED,
    "Ignored": AttemptResult.NOT_SENT,
}
LIST_KINDS = {
    "Partial": ListKind.CHANGES,
    "Complete": ListKind.FULL,
    "Persisted": ListKind.CACHED,
    "Error": ListKind.FAILED,
}
ENDPOINT_TAG = "M"
RETRY_FLAG = 2  # in the flags of a request

Member = TypeVar("Member")


class WireFormatError(ValueError):
    """A line that does not follow the simulator's format."""


@dataclass(slots=True)
class InstanceOpened:
    """A gateway starts, with its seed and settings."""

    seed: int
    settings: api.Settings


@dataclass(slots=True)
class InstanceClosed:
    """A gateway was killed."""


WireEvent = api.Event | InstanceOpened | InstanceClosed


# --- Fields of a line ---


def parse_float(text: str) -> float:
    """A finite number; an absent one reads as 0.

    Raises:
        WireFormatError: it is none.
    """
    try:
        return parse_number(text)
    except NumberFormatError as error:
        raise WireFormatError(str(error)) from None


def parse_int(text: str) -> int:
    """A whole number; an absent one reads as 0.

    Raises:
        WireFormatError: it is none.
    """
    if text == ABSENT:
        return 0
    try:
        return int(text)
    except ValueError:
        raise WireFormatError(f"bad whole number {text!r}") from None


def parse_flag(text: str) -> bool:
    """1, or 0; an absent one reads as 0.

    Raises:
        WireFormatError: it is neither.
    """
    if text not in ("0", "1", ABSENT):
        raise WireFormatError(f"bad truth value {text!r}")
    return text == "1"


def parse_member(table: dict[str, Member], text: str) -> Member:
    """What a word stands for.

    Raises:
        WireFormatError: the table does not have it.
    """
    if text not in table:
        raise WireFormatError(f"unknown word {text!r}")
    return table[text]


def parse_load_report(text: str) -> dict[str, float]:
    """The name:value pairs of a load report, separated by commas.

    Raises:
        WireFormatError: a pair has no colon, or its value is no number.
    """
    values: dict[str, float] = {}
    if text == ABSENT:
        return values
    for pair in text.split(","):
        name, colon, value = pair.partition(":")
        if not colon:
            raise WireFormatError(f"bad load report {text!r}")
        values[name] = parse_float(value)
    return values


def parse_endpoint(parts: list[str]) -> api.Endpoint:
    """One entry of an endpoint list, split at single spaces.

    Raises:
        WireFormatError: a value is missing or malformed.
    """
    if len(parts) != 8 or parts[0] != ENDPOINT_TAG:
        raise WireFormatError("a list entry needs M and 7 values")
    _, name, zone, _, cell, status, capacity, started_at_ms = parts
    if status not in set(HostStatus):
        raise WireFormatError(f"unknown status {status!r}")
    return api.Endpoint(
        name,
        zone,
        parse_int(cell),
        HostStatus(status),
        parse_float(capacity),
        parse_float(started_at_ms),
    )


# --- Events: each reader gets the values that follow the instance's name ---


def _instance_opened(values: list[str]) -> InstanceOpened:
    seed = parse_int(values[0])
    pairs: dict[str, str] = {}
    for pair in values[1:]:
        path, equals, value = pair.partition("=")
        if not equals:
            raise WireFormatError(f"bad setting {pair!r}")
        pairs[path] = value
    try:
        return InstanceOpened(seed, parse_settings(pairs))
    except NumberFormatError as error:
        raise WireFormatError(str(error)) from None


def _instance_closed(values: list[str]) -> InstanceClosed:
    return InstanceClosed()


def _request(values: list[str]) -> api.Request:
    request_id, class_name, plan_name, customer, time_left_ms, units, replicas, first_replica, flags = values
    return api.Request(
        request_id,
        class_name,
        plan_name,
        customer,
        parse_float(time_left_ms),
        parse_float(units),
        parse_int(replicas),
        parse_int(first_replica),
        bool(parse_int(flags) & RETRY_FLAG),
    )


def _attempt_ended(values: list[str]) -> api.AttemptEnded:
    request_id, attempt, host, result, elapsed_ms, final, usage_percent, actual_units, load_report = values
    return api.AttemptEnded(
        request_id,
        parse_int(attempt),
        host,
        parse_member(ATTEMPT_RESULTS, result),
        parse_float(elapsed_ms),
        parse_flag(final),
        parse_float(usage_percent),
        parse_float(actual_units),
        parse_load_report(load_report),
    )


def _gossip_message(values: list[str]) -> api.GossipMessage:
    sender, data = values
    try:
        return api.GossipMessage(parse_int(sender), bytes.fromhex("" if data == ABSENT else data))
    except ValueError:
        raise WireFormatError(f"bad bytes {data!r}") from None


def _health_check_reply(values: list[str]) -> api.HealthCheckReply:
    elapsed_ms, host, result, load_report = values
    return api.HealthCheckReply(
        host,
        parse_member(ATTEMPT_RESULTS, result),
        parse_float(elapsed_ms),
        parse_load_report(load_report),
    )


def _client_disconnected(values: list[str]) -> api.ClientDisconnected:
    return api.ClientDisconnected(values[0])


def _response_started(values: list[str]) -> api.ResponseStarted:
    request_id, attempt, _, _ = values
    return api.ResponseStarted(request_id, parse_int(attempt))


def _timer_fired(values: list[str]) -> api.TimerFired:
    return api.TimerFired(values[0])


def _counter_reply(values: list[str]) -> api.CounterReply:
    total, result, elapsed_ms, name = values
    return api.CounterReply(
        name, parse_member(ATTEMPT_RESULTS, result), parse_float(total), parse_float(elapsed_ms)
    )


# By message name: the number of values after the instance (None: one or more), and their reader.
EVENT_READERS: dict[str, tuple[int | None, Callable[[list[str]], WireEvent]]] = {
    "OPEN_INSTANCE": (None, _instance_opened),
    "REQ": (9, _request),
    "ENDED": (9, _attempt_ended),
    "INBOX": (2, _gossip_message),
    "DETACH": (0, _instance_closed),
    "PROBE_DONE": (4, _health_check_reply),
    "CLIENT_LEFT": (1, _client_disconnected),
    "HEAD_RECEIVED": (4, _response_started),
    "TICK_DUE": (1, _timer_fired),
    "COUNTER_REPLY": (4, _counter_reply),
}


def parse_event(parts: list[str]) -> WireEvent:
    """The event of one line, split at single spaces.

    Raises:
        WireFormatError: the line is malformed.
        ValueError: settings have a value that is none of its choices.
    """
    name = parts[0]
    if name not in EVENT_READERS:
        raise WireFormatError(f"unknown message {name!r}")
    count, reader = EVENT_READERS[name]
    values = parts[2:]
    if len(parts) < 2 or (count is None and not values) or (count is not None and len(values) != count):
        raise WireFormatError(f"{name}: wrong number of values")
    return reader(values)


def format_action(instance: str, action: api.Action) -> str:
    """The line of one action."""
    match action:
        case api.SendAttempt():
            return f"DELIVER {instance} {action.request_id} {action.timeout_ms:.3f} {action.host}"
        case api.Reject():
            return f"REFUSE {instance} {action.request_id} {action.retry_after_ms:.3f}"
        case api.Fail():
            return f"GIVE_UP {instance} {action.request_id}"
        case api.CancelAttempt():
            return f"UNDO_SEND {instance} {action.request_id} {action.attempt}"
        case api.SetTimer():
            return f"AFTER {instance} {action.delay_ms:.3f} {action.name}"
        case api.IncrementCounter():
            return f"ADD {instance} {action.name} {action.amount:g} {action.retention_ms:.3f}"
        case api.Subscribe():
            return f"OBSERVE {instance} 1"
        case api.Log():
            return f"NOTE_DOWN {instance} {single_line(action.text)}"
    raise TypeError(f"not an action: {action!r}")


def format_failure(instance: str, error: Exception) -> str:
    """The line that reports that an instance's decision module failed."""
    return f"BROKEN {instance} {type(error).__name__}: {single_line(str(error))}"


def single_line(text: str) -> str:
    """The text with single spaces in place of all white space."""
    return " ".join(text.split())
