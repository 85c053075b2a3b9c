"""The decision module's state as documents, which another process of the same gateway restores.

A new process without this state would fill its ceilings from empty, call the counter for every customer,
send requests to failing hosts and overload hosts that are warming up. So the whole state is exported, and the
old module is notified that another process has taken over: from then on it admits nothing from a ceiling.
Requests, attempts and counter calls in flight stay with the old process. Amounts in a counter call in flight
are exported as reported; the old module reports them again itself if the call fails. Free of I/O; times are
Unix time in ms, the module's clock, in both processes.

A document is an object whose field `t` is its type. `restore` checks all documents before it applies any: it
restores all or nothing.
"""

from __future__ import annotations

import base64
import math
import zlib
from array import array
from collections.abc import Callable, Container, Iterator
from dataclasses import dataclass
from typing import Any

from hillmux.balancing.host import MAX_LATENCY_RATIO, MIN_LATENCY_RATIO
from hillmux.decision.admission import AdmissionShare
from hillmux.decision.gateway import Gateway
from hillmux.quotas.latest_times import SLOT_COUNT
from hillmux.quotas.state import QuotaState

VERSION = 1
MAX_ENTRIES_PER_DOCUMENT = 256  # customers or hosts in one document
SKETCH_CHUNK_CHARS = 96 * 1024  # characters of the encoded sketch in one document
MODULE, HOSTS, CUSTOMERS, SKETCH = "module", "hosts", "customers", "sketch"
SCALAR_KEYS = (
    "born", "q", "f", "q_sum", "q_n", "q_seen", "ok_q", "lost", "done", "done_rate", "bank",
)  # fmt: skip
THROTTLE_KEYS = ("heard", "call_at")  # state of the throttle of counter calls; stored among the scalars
HOST_KEYS = ("born", "cold_from_ms", "slow", "strikes", "fails", "down_until", "died", "credit", "credit_at")
QUOTA_STATE_KEYS = (
    "width", "widest", "window", "own", "added", "base", "base_own", "base_use", "base_at", "base_left",
    "most", "left", "left_at", "others", "luck", "seen", "ceiling", "ceiling_at",
)  # fmt: skip
# Keys in documents are fixed, since processes of two versions read each other's documents. The tables below
# map each key to the attribute that it stands for.
SCALAR_ATTRIBUTES = {  # key -> (attribute of the gateway, attribute of that object)
    "born": ("context", "started_at"),
    "q": ("occupancy", "smoothed"),
    "f": ("admission", "admit_fraction"),
    "q_sum": ("occupancy", "interval_sum"),
    "q_n": ("occupancy", "interval_count"),
    "q_seen": ("occupancy", "samples_seen"),
    "ok_q": ("occupancy", "response_occupancy"),
    "lost": ("occupancy", "lost_ratio"),
    "done": ("occupancy", "completions"),
    "done_rate": ("occupancy", "completion_rate"),
    "bank": ("retry_budget", "balance"),
}
HOST_ATTRIBUTES = {
    "born": "started_at_ms",
    "cold_from_ms": "warming_since_ms",
    "slow": "latency_ratio",
    "strikes": "consecutive_failures",
    "fails": "ejections",
    "down_until": "ejected_until_ms",
    "died": "connection_refused",
    "credit": "slow_start_credit",
    "credit_at": "slow_start_credit_at_ms",
}
THROTTLE_ATTRIBUTES = {"heard": "answer_rate", "call_at": "called_at"}
QUOTA_STATE_ATTRIBUTES = {name: name for name in QUOTA_STATE_KEYS} | {
    "width": "replicas",
    "widest": "replicas_in_window",
    "own": "used",
    "added": "reported",
    "base": "last_total",
    "base_own": "last_total_reported",
    "base_use": "last_total_used",
    "base_at": "last_total_at",
    "base_left": "last_total_upper_bound",
    "most": "upper_bound",
    "left": "remaining",
    "left_at": "remaining_at",
    "others": "others_rate",
    "luck": "grant_ratio",
    "seen": "seen_at",
    "ceiling": "ceiling_remaining",
}
INTEGER_KEYS = frozenset(("q_n", "q_seen", "strikes", "fails", "width", "widest", "window"))
MAX_MAGNITUDE = 1e15  # bound of all other numbers; times in ms have 13 digits
# A value outside these ranges would make the module fail while it is half restored, or later: it takes the
# logarithm of a latency ratio, and doubles the time for which it ejects a host with each ejection.
RANGES = {
    "f": (0.0, 1.0), "heard": (0.0, 1.0), "luck": (0.0, 1.0),
    "slow": (MIN_LATENCY_RATIO, MAX_LATENCY_RATIO), "fails": (0, 10),
    "strikes": (0, MAX_MAGNITUDE), "width": (1, MAX_MAGNITUDE), "widest": (1, MAX_MAGNITUDE),
    "q_n": (0, MAX_MAGNITUDE), "q_seen": (0, MAX_MAGNITUDE),
    "warm_rate": (0.0, MAX_MAGNITUDE), "bank": (0.0, MAX_MAGNITUDE),
}  # fmt: skip


_NUMBER_TYPES = frozenset((int, float))
_BASE_INDEX = QUOTA_STATE_KEYS.index("base")
_QUOTA_STATE_RANGES = [RANGES.get(name, (-MAX_MAGNITUDE, MAX_MAGNITUDE)) for name in QUOTA_STATE_KEYS]
_QUOTA_STATE_INTEGER_KEYS = [name for name in QUOTA_STATE_KEYS if name in INTEGER_KEYS]


class StateError(ValueError):
    """Documents that cannot be restored; the text names the field."""


def export(
    gateway: Gateway, include: Callable[[QuotaState], bool] = lambda state: True
) -> Iterator[dict[str, Any]]:
    """Yield the module's state in documents of bounded size, without what is in flight.

    Args:
        gateway: The module whose state is exported.
        include: Whether the state of a customer is exported.
    """
    load_balancer, quotas = gateway.load_balancer, gateway.quotas
    yield {
        "t": MODULE,
        "version": VERSION,
        "scalars": {name: _scalar(gateway, name) for name in SCALAR_KEYS}
        | {name: getattr(quotas.throttle, THROTTLE_ATTRIBUTES[name]) for name in THROTTLE_KEYS},
        "warm_rate": load_balancer.slow_start.warm_work_rate,
        "latency": gateway.latency.learned(),
        "asked_at": dict(quotas.registry.last_request_at),
        "cells": [
            [*key, share.priority_per_work, share.work, share.admit_fraction, share.accumulator]
            for key, share in gateway.admission.shares.items()
        ],
    }
    hosts = list(load_balancer.hosts.values())
    for start in range(0, len(hosts), MAX_ENTRIES_PER_DOCUMENT):
        chunk = hosts[start : start + MAX_ENTRIES_PER_DOCUMENT]
        yield {
            "t": HOSTS,
            "hosts": {h.name: [getattr(h, HOST_ATTRIBUTES[field]) for field in HOST_KEYS] for h in chunk},
        }
    states = [state for state in quotas.registry.states.values() if include(state)]
    attributes = [QUOTA_STATE_ATTRIBUTES[name] for name in QUOTA_STATE_KEYS]
    for start in range(0, len(states), MAX_ENTRIES_PER_DOCUMENT):
        state_chunk = states[start : start + MAX_ENTRIES_PER_DOCUMENT]
        yield {
            "t": CUSTOMERS,
            "uses": [[*state.key, *(getattr(state, name) for name in attributes)] for state in state_chunk],
        }
    times = quotas.registry.forgotten_ceilings.slots
    if times is not None:
        text = base64.b85encode(zlib.compress(times.tobytes(), 1)).decode()
        for start in range(0, len(text), SKETCH_CHUNK_CHARS):
            yield {"t": SKETCH, "text": text[start : start + SKETCH_CHUNK_CHARS]}


@dataclass(slots=True)
class _ParsedState:
    """The contents of the documents, checked but not yet applied."""

    scalars: dict[str, Any]
    latency: dict[str, float]
    last_request_at: dict[str, float]  # by plan
    warm_rate: float
    admission_shares: list[tuple[str, str, list[float]]]  # class, plan, and the share's values
    hosts: dict[str, dict[str, Any]]
    quota_states: list[tuple[str, str, dict[str, Any]]]  # customer, plan, and the quota state by key
    sketch_times: array[float] | None


def restore(gateway: Gateway, documents: list[dict[str, Any]]) -> None:
    """Restore the state that `export` wrote.

    Hosts that are not in the gateway's endpoint list and classes and plans that are not in its settings are
    skipped.

    Raises:
        StateError: The documents are malformed; the gateway is unchanged.
    """
    state = _parse(documents, gateway.load_balancer.hosts)
    _restore_scalars(gateway, state)
    _restore_admission_shares(gateway, state.admission_shares)
    for name, fields in state.hosts.items():
        _restore_host(gateway, name, fields)
    _restore_request_rate(gateway)
    registry = gateway.quotas.registry
    for customer, plan, fields in state.quota_states:
        if plan in gateway.context.plans and len(registry.states) < gateway.settings.max_customers:
            _restore_quota_state(gateway, customer, plan, fields)
    if state.sketch_times is not None:
        registry.forgotten_ceilings.slots = state.sketch_times


def _parse(documents: list[dict[str, Any]], listed_hosts: Container[str]) -> _ParsedState:
    module_documents = [d for d in documents if d.get("t") == MODULE]
    if len(module_documents) != 1 or module_documents[0].get("version") != VERSION:
        raise StateError(f"{MODULE}: expected exactly one document, of version {VERSION}")
    module_document = module_documents[0]
    return _ParsedState(
        scalars=_object_values("scalars", module_document.get("scalars"), SCALAR_KEYS + THROTTLE_KEYS),
        hosts=_parse_hosts(documents, listed_hosts),
        latency=_parse_latency(module_document),
        last_request_at=_number_map("asked_at", module_document.get("asked_at")),
        warm_rate=_key_value("module", "warm_rate", module_document.get("warm_rate")),
        admission_shares=[
            (str(row[0]), str(row[1]), [_number("cells", v) for v in row[2:]])
            for row in _table_rows("cells", module_document, 6)
        ],
        quota_states=_parse_quota_states(documents),
        sketch_times=_parse_sketch(
            "".join(str(d.get("text", "")) for d in documents if d.get("t") == SKETCH)
        ),
    )


def _parse_hosts(documents: list[dict[str, Any]], listed_hosts: Container[str]) -> dict[str, dict[str, Any]]:
    return {
        name: _row_values(f"hosts.{name}", HOST_KEYS, row)
        for document in documents
        if document.get("t") == HOSTS
        for name, row in _object("hosts", document.get("hosts")).items()
        if name in listed_hosts
    }


def _parse_latency(module_document: dict[str, Any]) -> dict[str, float]:
    latency = _number_map("latency", module_document.get("latency"))
    for name, value in latency.items():
        if not 0 < value <= MAX_MAGNITUDE:  # measured latencies are divided by it
            raise StateError(
                f"latency.{name}: found {value!r}, expected above 0 and at most {MAX_MAGNITUDE:g}"
            )
    return latency


def _parse_quota_states(documents: list[dict[str, Any]]) -> list[tuple[str, str, dict[str, Any]]]:
    return [
        (str(row[0]), str(row[1]), _row_values(f"uses.{row[0]}", QUOTA_STATE_KEYS, row[2:]))
        for document in documents
        if document.get("t") == CUSTOMERS
        for row in _table_rows("uses", document, len(QUOTA_STATE_KEYS) + 2)
    ]


def _restore_scalars(gateway: Gateway, state: _ParsedState) -> None:
    for name, value in state.scalars.items():
        if name in THROTTLE_ATTRIBUTES:
            setattr(gateway.quotas.throttle, THROTTLE_ATTRIBUTES[name], value)
        else:
            part, attribute = SCALAR_ATTRIBUTES[name]
            setattr(getattr(gateway, part), attribute, value)
    plans = gateway.context.plans
    gateway.quotas.started_at = gateway.context.started_at
    gateway.quotas.shedding_load = gateway.admission.admit_fraction < 1
    gateway.latency.restore(state.latency)
    gateway.quotas.registry.last_request_at.update(
        {n: v for n, v in state.last_request_at.items() if n in plans}
    )
    gateway.load_balancer.slow_start.warm_work_rate = state.warm_rate


def _restore_admission_shares(gateway: Gateway, shares: list[tuple[str, str, list[float]]]) -> None:
    for class_name, plan, (value, work, admit_fraction, accumulator) in shares:
        if class_name in gateway.context.classes and plan in gateway.context.plans:
            share = gateway.admission.shares[class_name, plan] = AdmissionShare()
            share.priority_per_work, share.work = value, work
            share.admit_fraction, share.accumulator = admit_fraction, accumulator


def _scalar(gateway: Gateway, name: str) -> Any:
    part, attribute = SCALAR_ATTRIBUTES[name]
    return getattr(getattr(gateway, part), attribute)


def _restore_host(gateway: Gateway, name: str, fields: dict[str, Any]) -> None:
    load_balancer, host = gateway.load_balancer, gateway.load_balancer.hosts[name]
    listed_start_ms = host.started_at_ms
    if fields["born"] < listed_start_ms:
        return  # the host has restarted since the export, so its earlier record does not apply
    load_balancer.host_set.detach(host)
    for field, value in fields.items():
        setattr(host, HOST_ATTRIBUTES[field], value)
    host.connection_refused = bool(host.connection_refused)
    host.update_load()
    load_balancer.host_set.attach(host, load_balancer.now)


def _restore_request_rate(gateway: Gateway) -> None:
    """Set the rate of requests per warm host, which no document holds, to a lower bound of it.

    Warming hosts complete fewer requests than warm ones, so the mean over all available hosts is a bound.
    """
    load_balancer = gateway.load_balancer
    available_count = load_balancer.host_set.available_count
    if available_count:
        rate = gateway.occupancy.completion_rate / available_count
        load_balancer.slow_start.warm_request_rate = max(rate, 0.0)


def _restore_quota_state(gateway: Gateway, customer: str, plan: str, fields: dict[str, Any]) -> None:
    key, registry = (customer, plan), gateway.quotas.registry
    state = registry.states.get(key)
    if state is None:
        state = QuotaState(key, gateway.context.plans[plan], fields["width"], gateway.context.now, 0.0)
        registry.states[key] = state
        registry.sweep_queue.append(state)
    for name, value in fields.items():
        setattr(state, QUOTA_STATE_ATTRIBUTES[name], value)
    state.set_replicas(state.replicas)
    state.lease_confirmed = False
    state.reset_covered_at(gateway.context.now)


# --- Parsing ---


def _object(field: str, found: object) -> dict[str, Any]:
    if not isinstance(found, dict):
        raise StateError(f"{field}: expected an object")
    return found


def _number(field: str, found: object) -> float:
    try:
        if not isinstance(found, bool) and isinstance(found, int | float) and math.isfinite(found):
            return float(found)
    except OverflowError:  # an integer too large for a float
        pass
    raise StateError(f"{field}: found {found!r}, expected a finite number")


def _number_map(field: str, found: object) -> dict[str, float]:
    return {name: _number(f"{field}.{name}", value) for name, value in _object(field, found).items()}


def _key_value(field: str, name: str, found: object) -> Any:
    if name == "base" and found is None:
        return None
    if name == "died":
        return bool(found)
    value = _number(f"{field}.{name}", found)
    low, high = RANGES.get(name, (-MAX_MAGNITUDE, MAX_MAGNITUDE))
    if not low <= value <= high:
        raise StateError(f"{field}.{name}: found {found!r}, expected {low:g} to {high:g}")
    if name in INTEGER_KEYS:
        if value != int(value):
            raise StateError(f"{field}.{name}: found {found!r}, expected a whole number")
        return int(value)
    return value


def _row_values(field: str, names: tuple[str, ...], row: object) -> dict[str, Any]:
    if not isinstance(row, list) or len(row) != len(names):
        raise StateError(f"{field}: expected a list of {len(names)} values")
    if names is QUOTA_STATE_KEYS:
        # Fast path for valid rows, so that tens of thousands of customers do not delay the start. Rows that
        # fail it are checked value by value below, which names the key at fault.
        base = row[_BASE_INDEX]
        numbers = row if base is not None else [*row[:_BASE_INDEX], 0.0, *row[_BASE_INDEX + 1 :]]
        if _NUMBER_TYPES.issuperset(map(type, numbers)) and all(
            low <= value <= high for value, (low, high) in zip(numbers, _QUOTA_STATE_RANGES, strict=True)
        ):
            values = dict(zip(names, map(float, numbers), strict=True))
            integers = {name: int(values[name]) for name in _QUOTA_STATE_INTEGER_KEYS}
            if all(values[name] == number for name, number in integers.items()):
                return {**values, **integers, "base": None if base is None else values["base"]}
    return {name: _key_value(field, name, found) for name, found in zip(names, row, strict=True)}


def _object_values(field: str, found: object, names: tuple[str, ...]) -> dict[str, Any]:
    values = _object(field, found)
    missing = [name for name in names if name not in values]
    if missing:
        raise StateError(f"{field}.{missing[0]}: missing")
    return {name: _key_value(field, name, values[name]) for name in names}


def _table_rows(field: str, document: dict[str, Any], width: int) -> list[list[Any]]:
    rows = document.get(field)
    if not isinstance(rows, list) or not all(isinstance(row, list) and len(row) == width for row in rows):
        raise StateError(f"{field}: expected a list of rows of {width} values")
    return rows


def _parse_sketch(text: str) -> array[float] | None:
    if not text:
        return None
    try:
        found = array("d", zlib.decompressobj().decompress(base64.b85decode(text), 8 * SLOT_COUNT + 1))
    except (ValueError, zlib.error):
        raise StateError(f"{SKETCH}: cannot be read as base85 of zlib data") from None
    if len(found) != SLOT_COUNT or not all(map(math.isfinite, found)):
        raise StateError(f"{SKETCH}: expected {SLOT_COUNT} finite times")
    return found
