"""Discovery responses: lists of hosts as JSON, with the platform's field names."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any, Final, NamedTuple

from hillmux import interface as api
from hillmux.interface import HostStatus

STATUS_BY_LIFECYCLE: Final = {
    "ready": HostStatus.UP,
    "draining": HostStatus.DRAINING,
    "gone": HostStatus.REMOVED,
}
MAX_PORT: Final = 65535


@dataclass(slots=True, frozen=True)
class DiscoveryResponse:
    """One discovery response: hosts, named by their instance ids, and their addresses."""

    generation: int  # generation of the list; discovery increments it with each change
    is_full: bool  # whether all hosts are listed, not only the changed ones
    endpoints: tuple[api.Endpoint, ...]
    addresses: dict[str, tuple[str, int]]  # addresses by host name; removed hosts have none


def with_changes(full: DiscoveryResponse, changes: DiscoveryResponse) -> DiscoveryResponse:
    """Return the full list that results from a full list and later changes to it."""
    endpoints = {e.name: e for e in full.endpoints if e.status != HostStatus.REMOVED}
    for endpoint in changes.endpoints:
        # Placed last: of two instances at one address, the one named last may own it.
        endpoints.pop(endpoint.name, None)
        if endpoint.status != HostStatus.REMOVED:
            endpoints[endpoint.name] = endpoint
    addresses = {**full.addresses, **changes.addresses}
    return DiscoveryResponse(
        changes.generation,
        True,
        tuple(endpoints.values()),
        {name: addresses[name] for name in endpoints},
    )


class ReadableEntries(NamedTuple):
    """The entries of a discovery response that could be read."""

    response: DiscoveryResponse
    errors: list[str]  # what is wrong with the others


def parse_discovery_response(raw: object) -> DiscoveryResponse:
    """Parse the decoded JSON of a discovery response.

    Raises:
        ValueError: it is not a valid list of hosts; the text names the field.
    """
    response, errors = parse_readable_entries(raw)
    if errors:
        raise ValueError(errors[0])
    return response


def parse_readable_entries(raw: object) -> ReadableEntries:
    """Parse the decoded JSON of a discovery response, of which some entries may be invalid.

    An entry that cannot be read does not hide the others, which may name hosts that drain. Its host, if it is
    named, gets no new requests: it counts as removed.

    Raises:
        ValueError: it is not a list of hosts, or no entry of it can be read; the text names the field.
    """
    if not isinstance(raw, dict) or not isinstance(raw.get("instances"), list):
        raise ValueError("instances: is missing or not a list")
    generation = raw.get("generation")
    if not isinstance(generation, int) or isinstance(generation, bool):
        raise ValueError(f"generation: found {generation!r}, expected an integer")
    endpoints, addresses, errors = [], {}, []
    for entry in raw["instances"]:
        name = _parse_name(entry)
        try:
            endpoint, address = _parse_instance(name, entry)
        except ValueError as error:
            errors.append(str(error))
            if name is None:
                continue
            endpoint, address = api.Endpoint(name, "", 0, HostStatus.REMOVED), None
        endpoints.append(endpoint)
        if address is not None:
            addresses[endpoint.name] = address
    if errors and len(errors) == len(raw["instances"]):
        raise ValueError(errors[0])
    response = DiscoveryResponse(generation, bool(raw.get("reset")), tuple(endpoints), addresses)
    return ReadableEntries(response, errors)


def _parse_name(entry: object) -> str | None:
    name = entry.get("instanceId") if isinstance(entry, dict) else None
    return name if isinstance(name, str) and name else None


def _parse_instance(name: str | None, entry: Any) -> tuple[api.Endpoint, tuple[str, int] | None]:
    if name is None:
        raise ValueError("instances: an entry has no instanceId")
    # A host in an unknown lifecycle state gets no new requests.
    status = STATUS_BY_LIFECYCLE.get(str(entry.get("lifecycle")), HostStatus.DRAINING)
    address = _parse_address(name, entry) if status != HostStatus.REMOVED else None
    try:
        # startedAtMs is Unix time in milliseconds, like the decision module's clock.
        endpoint = api.Endpoint(
            name,
            str(entry.get("zone", "")),
            int(entry.get("cell", 0)),
            status,
            _parse_number(entry, "weight", 1.0),
            _parse_number(entry, "startedAtMs", 0.0),
        )
    except (TypeError, ValueError, OverflowError):
        raise ValueError(f"{name}: cell, weight or startedAtMs is not a finite number") from None
    return endpoint, address


def _parse_number(entry: dict[str, Any], field: str, default: float) -> float:
    number = float(entry.get(field, default))
    if not math.isfinite(number):  # JSON as Python reads it has NaN and Infinity
        raise ValueError(field)
    return number


def _parse_address(name: str, entry: dict[str, object]) -> tuple[str, int]:
    host, _, port = str(entry.get("hostPort", "")).rpartition(":")
    if not (host and port.isascii() and port.isdigit() and int(port) <= MAX_PORT):
        raise ValueError(f"{name}: hostPort: found {entry.get('hostPort')!r}, expected HOST:PORT")
    return host.strip("[]"), int(port)
