"""The decision module's state as documents, which another process of the same gateway restores.

A new process without this state would fill its ceilings from empty, call the counter for every customer,
trust hosts that fail and overload hosts that warm up. So the whole state is exported, and the old module is
told that it has been taken over: it spends nothing of a ceiling any more. What is open stays with the old
process: its requests, attempts and counter calls. Amounts in an open counter call are exported as reported;
the old module reports them again by itself if the call fails. Free of I/O; times are the module's clock,
Unix time in ms, in both processes.

A document is an object with a field `t`. Restoring is strict about what it reads, and restores all or
nothing.
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
AT_ONCE = 256  # customers, or hosts, in one document
PIECE = 96 * 1024  # of the sketch, as text
MODULE, HOSTS, CUSTOMERS, SKETCH = "module", "hosts", "customers", "sketch"
SCALARS = (
    "born", "q", "f", "q_sum", "q_n", "q_seen", "ok_q", "lost", "done", "done_rate", "bank",
)  # fmt: skip
COUNTER = ("heard", "call_at")  # of the throttle of counter calls; told beside the scalars
HOST = ("born", "cold_from_ms", "slow", "strikes", "fails", "down_until", "died", "credit", "credit_at")
USE = (
    "width", "widest", "window", "own", "added", "base", "base_own", "base_use", "base_at", "base_left",
    "most", "left", "left_at", "others", "luck", "seen", "ceiling", "ceiling_at",
)  # fmt: skip
# The names in documents are fixed: processes of two versions read each other's. These are the attributes that
# they stand for, where those have other names.
SCALAR_ATTRIBUTES = {  # part of the gateway, and the attribute there
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
COUNTER_ATTRIBUTES = {"heard": "answer_rate", "call_at": "called_at"}
USE_ATTRIBUTES = {name: name for name in USE} | {
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
WHOLE = frozenset(("q_n", "q_seen", "strikes", "fails", "width", "widest", "window"))
MOST = 1e15  # of any other number: moments in ms have 13 digits
# What lies outside would break the module later, when it is half taken: a pace has a logarithm, a failing
# host's rest is a power of how often it failed.
RANGES = {
    "f": (0.0, 1.0), "heard": (0.0, 1.0), "luck": (0.0, 1.0),
    "slow": (MIN_LATENCY_RATIO, MAX_LATENCY_RATIO), "fails": (0, 10),
    "strikes": (0, MOST), "width": (1, MOST), "widest": (1, MOST), "q_n": (0, MOST), "q_seen": (0, MOST),
    "warm_rate": (0.0, MOST), "bank": (0.0, MOST),
}  # fmt: skip


_PLAIN = frozenset((int, float))
_BASE = USE.index("base")
_USE_RANGES = [RANGES.get(name, (-MOST, MOST)) for name in USE]
_USE_WHOLE = [name for name in USE if name in WHOLE]


class StateError(ValueError):
    """Documents that a module cannot go on from; the text names the field."""


def export(
    gateway: Gateway, wanted: Callable[[QuotaState], bool] = lambda state: True
) -> Iterator[dict[str, Any]]:
    """All that a module knows but for what is open, in documents of bounded size; of its customers those that
    are `wanted`.
    """
    load_balancer, quotas = gateway.load_balancer, gateway.quotas
    yield {
        "t": MODULE,
        "version": VERSION,
        "scalars": {name: _scalar(gateway, name) for name in SCALARS}
        | {name: getattr(quotas.throttle, COUNTER_ATTRIBUTES[name]) for name in COUNTER},
        "warm_rate": load_balancer.slow_start.warm_work_rate,
        "latency": gateway.latency.learned(),
        "asked_at": dict(quotas.registry.last_request_at),
        "cells": [
            [*key, share.priority_per_work, share.work, share.admit_fraction, share.accumulator]
            for key, share in gateway.admission.shares.items()
        ],
    }
    hosts = list(load_balancer.hosts.values())
    for at in range(0, len(hosts), AT_ONCE):
        some = hosts[at : at + AT_ONCE]
        yield {
            "t": HOSTS,
            "hosts": {h.name: [getattr(h, HOST_ATTRIBUTES[field]) for field in HOST] for h in some},
        }
    states = [state for state in quotas.registry.states.values() if wanted(state)]
    attributes = [USE_ATTRIBUTES[name] for name in USE]
    for at in range(0, len(states), AT_ONCE):
        some_states = states[at : at + AT_ONCE]
        yield {
            "t": CUSTOMERS,
            "uses": [[*state.key, *(getattr(state, name) for name in attributes)] for state in some_states],
        }
    times = quotas.registry.forgotten_ceilings.slots
    if times is not None:
        text = base64.b85encode(zlib.compress(times.tobytes(), 1)).decode()
        for at in range(0, len(text), PIECE):
            yield {"t": SKETCH, "text": text[at : at + PIECE]}


@dataclass(slots=True)
class _State:
    """What documents hold, checked but not yet applied."""

    scalars: dict[str, Any]
    latency: dict[str, float]
    asked_at: dict[str, float]
    warm_rate: float
    cells: list[tuple[str, str, list[float]]]  # class, plan, and the values of the cell
    hosts: dict[str, dict[str, Any]]
    uses: list[tuple[str, str, dict[str, Any]]]  # customer, plan, and the fields of its use
    sketch_times: array[float] | None


def restore(gateway: Gateway, documents: list[dict[str, Any]]) -> None:
    """Restore the state that `export` wrote.

    Hosts that are not in the gateway's endpoint list, and classes and plans that its settings do not have,
    are omitted.

    Raises:
        StateError: the documents are malformed; the gateway is unchanged.
    """
    state = _parse(documents, gateway.load_balancer.hosts)
    _restore_scalars(gateway, state)
    _restore_cells(gateway, state.cells)
    for name, fields in state.hosts.items():
        _restore_host(gateway, name, fields)
    registry = gateway.quotas.registry
    for customer, plan, fields in state.uses:
        if plan in gateway.context.plans and len(registry.states) < gateway.settings.max_customers:
            _restore_use(gateway, customer, plan, fields)
    if state.sketch_times is not None:
        registry.forgotten_ceilings.slots = state.sketch_times


def _parse(documents: list[dict[str, Any]], listed_hosts: Container[str]) -> _State:
    heads = [d for d in documents if d.get("t") == MODULE]
    if len(heads) != 1 or heads[0].get("version") != VERSION:
        raise StateError(f"{MODULE}: one document of version {VERSION} is needed")
    head = heads[0]
    return _State(
        scalars=_named("scalars", head.get("scalars"), SCALARS + COUNTER),
        hosts=_parse_hosts(documents, listed_hosts),
        latency=_parse_latency(head),
        asked_at=_numbers("asked_at", head.get("asked_at")),
        warm_rate=_value("module", "warm_rate", head.get("warm_rate")),
        cells=[
            (str(row[0]), str(row[1]), [_number("cells", v) for v in row[2:]])
            for row in _rows("cells", head, 6)
        ],
        uses=_parse_uses(documents),
        sketch_times=_sketch("".join(str(d.get("text", "")) for d in documents if d.get("t") == SKETCH)),
    )


def _parse_hosts(documents: list[dict[str, Any]], listed_hosts: Container[str]) -> dict[str, dict[str, Any]]:
    return {
        name: _values(f"hosts.{name}", HOST, row)
        for document in documents
        if document.get("t") == HOSTS
        for name, row in _object("hosts", document.get("hosts")).items()
        if name in listed_hosts
    }


def _parse_latency(head: dict[str, Any]) -> dict[str, float]:
    latency = _numbers("latency", head.get("latency"))
    for name, value in latency.items():
        if not 0 < value <= MOST:  # outcomes are divided by it
            raise StateError(f"latency.{name}: {value!r} is not above 0")
    return latency


def _parse_uses(documents: list[dict[str, Any]]) -> list[tuple[str, str, dict[str, Any]]]:
    return [
        (str(row[0]), str(row[1]), _values(f"uses.{row[0]}", USE, row[2:]))
        for document in documents
        if document.get("t") == CUSTOMERS
        for row in _rows("uses", document, len(USE) + 2)
    ]


def _restore_scalars(gateway: Gateway, state: _State) -> None:
    for name, value in state.scalars.items():
        if name in COUNTER_ATTRIBUTES:
            setattr(gateway.quotas.throttle, COUNTER_ATTRIBUTES[name], value)
        else:
            part, attribute = SCALAR_ATTRIBUTES[name]
            setattr(getattr(gateway, part), attribute, value)
    plans = gateway.context.plans
    gateway.quotas.started_at = gateway.context.started_at
    gateway.quotas.shedding_load = gateway.admission.admit_fraction < 1
    gateway.latency.restore(state.latency)
    gateway.quotas.registry.last_request_at.update({n: v for n, v in state.asked_at.items() if n in plans})
    gateway.load_balancer.slow_start.warm_work_rate = state.warm_rate


def _restore_cells(gateway: Gateway, cells: list[tuple[str, str, list[float]]]) -> None:
    for class_name, plan, (value, work, admit_fraction, accumulator) in cells:
        if class_name in gateway.context.classes and plan in gateway.context.plans:
            share = gateway.admission.shares[class_name, plan] = AdmissionShare()
            share.priority_per_work, share.work = value, work
            share.admit_fraction, share.accumulator = admit_fraction, accumulator


def _scalar(gateway: Gateway, name: str) -> Any:
    part, attribute = SCALAR_ATTRIBUTES[name]
    return getattr(getattr(gateway, part), attribute)


def _restore_host(gateway: Gateway, name: str, fields: dict[str, Any]) -> None:
    load_balancer, host = gateway.load_balancer, gateway.load_balancer.hosts[name]
    born = host.started_at_ms
    if fields["born"] < born:
        return  # it has started anew since: what was learnt of it is of no use
    load_balancer.host_set.detach(host)
    for field, value in fields.items():
        setattr(host, HOST_ATTRIBUTES[field], value)
    host.connection_refused = bool(host.connection_refused)
    host.update_load()
    load_balancer.host_set.attach(host, load_balancer.now)


def _restore_use(gateway: Gateway, customer: str, plan: str, fields: dict[str, Any]) -> None:
    key, registry = (customer, plan), gateway.quotas.registry
    state = registry.states.get(key)
    if state is None:
        state = QuotaState(key, gateway.context.plans[plan], fields["width"], gateway.context.now, 0.0)
        registry.states[key] = state
        registry.sweep_queue.append(state)
    for name, value in fields.items():
        setattr(state, USE_ATTRIBUTES[name], value)
    state.set_replicas(state.replicas)
    state.lease_confirmed = False
    state.reset_covered_at(gateway.context.now)


# --- Reading ---


def _object(field: str, found: object) -> dict[str, Any]:
    if not isinstance(found, dict):
        raise StateError(f"{field}: must be an object")
    return found


def _number(field: str, found: object) -> float:
    try:
        if not isinstance(found, bool) and isinstance(found, int | float) and math.isfinite(found):
            return float(found)
    except OverflowError:  # a whole number beyond all floats
        pass
    raise StateError(f"{field}: {found!r} is not a finite number")


def _numbers(field: str, found: object) -> dict[str, float]:
    return {name: _number(f"{field}.{name}", value) for name, value in _object(field, found).items()}


def _value(field: str, name: str, found: object) -> Any:
    if name == "base" and found is None:
        return None
    if name == "died":
        return bool(found)
    value = _number(f"{field}.{name}", found)
    least, most = RANGES.get(name, (-MOST, MOST))
    if not least <= value <= most:
        raise StateError(f"{field}.{name}: {found!r} is not from {least:g} to {most:g}")
    if name in WHOLE:
        if value != int(value):
            raise StateError(f"{field}.{name}: {found!r} is not a whole number")
        return int(value)
    return value


def _values(field: str, names: tuple[str, ...], row: object) -> dict[str, Any]:
    if not isinstance(row, list) or len(row) != len(names):
        raise StateError(f"{field}: must be {len(names)} values")
    if names is USE:
        # A start must not wait for tens of thousands of customers: what is plainly well is looked at whole.
        base = row[_BASE]
        numbers = row if base is not None else [*row[:_BASE], 0.0, *row[_BASE + 1 :]]
        if _PLAIN.issuperset(map(type, numbers)) and all(
            low <= value <= high for value, (low, high) in zip(numbers, _USE_RANGES, strict=True)
        ):
            values = dict(zip(names, map(float, numbers), strict=True))
            whole = {name: int(values[name]) for name in _USE_WHOLE}
            if all(values[name] == number for name, number in whole.items()):
                return {**values, **whole, "base": None if base is None else values["base"]}
    return {name: _value(field, name, found) for name, found in zip(names, row, strict=True)}


def _named(field: str, found: object, names: tuple[str, ...]) -> dict[str, Any]:
    values = _object(field, found)
    missing = [name for name in names if name not in values]
    if missing:
        raise StateError(f"{field}.{missing[0]}: is missing")
    return {name: _value(field, name, values[name]) for name in names}


def _rows(field: str, document: dict[str, Any], width: int) -> list[list[Any]]:
    rows = document.get(field)
    if not isinstance(rows, list) or not all(isinstance(row, list) and len(row) == width for row in rows):
        raise StateError(f"{field}: must be rows of {width} values")
    return rows


def _sketch(text: str) -> array[float] | None:
    if not text:
        return None
    try:
        found = array("d", zlib.decompressobj().decompress(base64.b85decode(text), 8 * SLOT_COUNT + 1))
    except (ValueError, zlib.error):
        raise StateError(f"{SKETCH}: cannot be read") from None
    if len(found) != SLOT_COUNT or not all(map(math.isfinite, found)):
        raise StateError(f"{SKETCH}: must be {SLOT_COUNT} times")
    return found
