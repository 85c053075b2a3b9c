"""Discovery's answers: the list of hosts as JSON, in the platform's field names."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

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
    """One answer of discovery: hosts by instance id, and where to dial them."""

    generation: int  # of the list; discovery counts it up with each change
    is_full: bool  # all hosts, not only what has changed
    endpoints: tuple[api.Endpoint, ...]
    addresses: dict[str, tuple[str, int]]  # by name, but for hosts that are removed


def parse_discovery_response(raw: object) -> DiscoveryResponse:
    """Discovery's JSON as a `DiscoveryResponse`.

    Raises:
        ValueError: it is not a list of hosts; the text says what is wrong.
    """
    if not isinstance(raw, dict) or not isinstance(raw.get("instances"), list):
        raise ValueError("is no list of instances")
    generation = raw.get("generation")
    if not isinstance(generation, int) or isinstance(generation, bool):
        raise ValueError(f"generation {generation!r} is not a whole number")
    endpoints, addresses = [], {}
    for entry in raw["instances"]:
        endpoint, address = _parse_instance(entry)
        endpoints.append(endpoint)
        if address is not None:
            addresses[endpoint.name] = address
    return DiscoveryResponse(generation, bool(raw.get("reset")), tuple(endpoints), addresses)


def _parse_instance(entry: object) -> tuple[api.Endpoint, tuple[str, int] | None]:
    if not isinstance(entry, dict) or not isinstance(entry.get("instanceId"), str) or not entry["instanceId"]:
        raise ValueError("an instance without instanceId")
    name = entry["instanceId"]
    # A host in a state that this version does not know gets no new request.
    status = STATUS_BY_LIFECYCLE.get(str(entry.get("lifecycle")), HostStatus.DRAINING)
    address = _parse_address(name, entry) if status != HostStatus.REMOVED else None
    try:
        # The decision module's clock is Unix time in milliseconds, as startedAtMs is.
        endpoint = api.Endpoint(
            name,
            str(entry.get("zone", "")),
            int(entry.get("cell", 0)),
            status,
            float(entry.get("weight", 1.0)),
            float(entry.get("startedAtMs", 0)),
        )
    except (TypeError, ValueError):
        raise ValueError(f"{name}: cell, weight or startedAtMs is not a number") from None
    return endpoint, address


def _parse_address(name: str, entry: dict[str, object]) -> tuple[str, int]:
    host, _, port = str(entry.get("hostPort", "")).rpartition(":")
    if not (host and port.isascii() and port.isdigit() and int(port) <= MAX_PORT):
        raise ValueError(f"{name}: hostPort {entry.get('hostPort')!r} is not HOST:PORT")
    return host.strip("[]"), int(port)
