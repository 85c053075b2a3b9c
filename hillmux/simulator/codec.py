"""The simulator's wire format: parses lines to events of the decision module, formats actions as lines."""

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
RETRY_FLAG = 2  # bit in the flags of a request, set if the client retries

Member = TypeVar("Member")


class WireFormatError(ValueError):
    """A line that does not follow the simulator's format."""


@dataclass(slots=True)
class InstanceOpened:
    """A gateway instance was started with this seed and these settings."""

    seed: int
    settings: api.Settings


@dataclass(slots=True)
class InstanceClosed:
    """A gateway instance was killed."""


WireEvent = api.Event | InstanceOpened | InstanceClosed


# --- Fields of a line ---


def parse_float(text: str) -> float:
    """Parse a finite number; an absent one is 0.

    Raises:
        WireFormatError: the text is not a finite number.
    """
    try:
        return parse_number(text)
    except NumberFormatError as error:
        raise WireFormatError(str(error)) from None


def parse_int(text: str) -> int:
    """Parse an integer; an absent one is 0.

    Raises:
        WireFormatError: the text is not an integer.
    """
    if text == ABSENT:
        return 0
    try:
        return int(text)
    except ValueError:
        raise WireFormatError(f"expected a whole number, found {text!r}") from None


def parse_flag(text: str) -> bool:
    """Parse a flag, 1 or 0; an absent one is False.

    Raises:
        WireFormatError: the text is neither.
    """
    if text not in ("0", "1", ABSENT):
        raise WireFormatError(f"expected 0 or 1, found {text!r}")
    return text == "1"


def parse_member(table: dict[str, Member], text: str) -> Member:
    """Look up the value that a word of the wire format stands for.

    Raises:
        WireFormatError: the word is not in the table.
    """
    if text not in table:
        raise WireFormatError(f"unknown word {text!r}, expected one of {', '.join(table)}")
    return table[text]


def parse_load_report(text: str) -> dict[str, float]:
    """Parse a load report: name:value pairs separated by commas.

    Raises:
        WireFormatError: a pair has no colon, or its value is not a finite number.
    """
    values: dict[str, float] = {}
    if text == ABSENT:
        return values
    for pair in text.split(","):
        name, colon, value = pair.partition(":")
        if not colon:
            raise WireFormatError(f"load report: expected name:value pairs, found {text!r}")
        values[name] = parse_float(value)
    return values


def parse_endpoint(parts: list[str]) -> api.Endpoint:
    """Parse one entry of an endpoint list.

    Args:
        parts: the entry's line, split at single spaces.

    Raises:
        WireFormatError: a value is missing or malformed.
    """
    if len(parts) != 8 or parts[0] != ENDPOINT_TAG:
        raise WireFormatError("endpoint list entry: expected M and 7 values")
    _, name, zone, _, cell, status, capacity, started_at_ms = parts
    if status not in set(HostStatus):
        raise WireFormatError(f"endpoint list entry: unknown status {status!r}")
    return api.Endpoint(
        name,
        zone,
        parse_int(cell),
        HostStatus(status),
        parse_float(capacity),
        parse_float(started_at_ms),
    )


# --- Events: each parser gets the values that follow the instance name ---


def _parse_instance_opened(values: list[str]) -> InstanceOpened:
    seed = parse_int(values[0])
    pairs: dict[str, str] = {}
    for pair in values[1:]:
        path, equals, value = pair.partition("=")
        if not equals:
            raise WireFormatError(f"expected a setting path=value, found {pair!r}")
        pairs[path] = value
    try:
        return InstanceOpened(seed, parse_settings(pairs))
    except NumberFormatError as error:
        raise WireFormatError(str(error)) from None


def _parse_instance_closed(values: list[str]) -> InstanceClosed:
    return InstanceClosed()


def _parse_request(values: list[str]) -> api.Request:
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


def _parse_attempt_ended(values: list[str]) -> api.AttemptEnded:
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


def _parse_gossip_message(values: list[str]) -> api.GossipMessage:
    sender, data = values
    try:
        return api.GossipMessage(parse_int(sender), bytes.fromhex("" if data == ABSENT else data))
    except ValueError:
        raise WireFormatError(f"expected bytes in hexadecimal, found {data!r}") from None


def _parse_health_check_reply(values: list[str]) -> api.HealthCheckReply:
    elapsed_ms, host, result, load_report = values
    return api.HealthCheckReply(
        host,
        parse_member(ATTEMPT_RESULTS, result),
        parse_float(elapsed_ms),
        parse_load_report(load_report),
    )


def _parse_client_disconnected(values: list[str]) -> api.ClientDisconnected:
    return api.ClientDisconnected(values[0])


def _parse_response_started(values: list[str]) -> api.ResponseStarted:
    request_id, attempt, _, _ = values
    return api.ResponseStarted(request_id, parse_int(attempt))


def _parse_timer_fired(values: list[str]) -> api.TimerFired:
    return api.TimerFired(values[0])


def _parse_counter_reply(values: list[str]) -> api.CounterReply:
    total, result, elapsed_ms, name = values
    return api.CounterReply(
        name, parse_member(ATTEMPT_RESULTS, result), parse_float(total), parse_float(elapsed_ms)
    )


# By message name: the number of values after the instance name (None: one or more), and their parser.
EVENT_PARSERS: dict[str, tuple[int | None, Callable[[list[str]], WireEvent]]] = {
    "OPEN_INSTANCE": (None, _parse_instance_opened),
    "REQ": (9, _parse_request),
    "ENDED": (9, _parse_attempt_ended),
    "INBOX": (2, _parse_gossip_message),
    "DETACH": (0, _parse_instance_closed),
    "PROBE_DONE": (4, _parse_health_check_reply),
    "CLIENT_LEFT": (1, _parse_client_disconnected),
    "HEAD_RECEIVED": (4, _parse_response_started),
    "TICK_DUE": (1, _parse_timer_fired),
    "COUNTER_REPLY": (4, _parse_counter_reply),
}


def parse_event(parts: list[str]) -> WireEvent:
    """Parse the event of one line.

    Args:
        parts: the line, split at single spaces.

    Raises:
        WireFormatError: the line is malformed.
        ValueError: a setting has a value that is not one of the allowed choices.
    """
    name = parts[0]
    if name not in EVENT_PARSERS:
        raise WireFormatError(f"unknown message name {name!r}")
    count, parser = EVENT_PARSERS[name]
    values = parts[2:]
    if len(parts) < 2 or (count is None and not values) or (count is not None and len(values) != count):
        raise WireFormatError(f"{name}: wrong number of values")
    return parser(values)


def format_action(instance: str, action: api.Action) -> str:
    """Format one action as a line.

    Raises:
        TypeError: the action has no line in this format.
    """
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
    """Format the line that reports a failure of an instance's decision module."""
    return f"BROKEN {instance} {type(error).__name__}: {single_line(str(error))}"


def single_line(text: str) -> str:
    """Replace each run of white space in a text by a single space, so that it fits on one line."""
    return " ".join(text.split())
