"""The gateway's configuration: reads the file and the environment into typed values."""

from __future__ import annotations

import json
import math
import resource
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace
from typing import Final

from hillmux import interface as api
from hillmux.net.discovery_response import DiscoveryResponse, parse_discovery_response
from hillmux.platform_settings import parse_number, parse_settings

Address = tuple[str, int]  # host and port

COUNTER_TIMEOUT_FACTOR: Final = 3.0  # time-out of a counter call, as a multiple of the configured wait
DEFAULT_DIAL_TIMEOUT_MS: Final = 250.0
DEFAULT_IDLE_TIMEOUT_MS: Final = 15000.0
DEFAULT_MAX_SOCKETS: Final = 1024
MIN_SOCKETS: Final = 128  # keeps a reserve beyond the sockets of clients, hosts, counter, discovery and loop
DEFAULT_SNAPSHOT_INTERVAL_MS: Final = 2000.0
MIN_SNAPSHOT_INTERVAL_MS: Final = 200.0
MAX_PORT: Final = 65535
MIB: Final = 1024 * 1024

# Environment variables: the path of the file, and those that override fields of the file.
CONFIG_VARIABLE: Final = "ROUTER_CONFIG"
VARIABLES_BY_FIELD: Final = {
    "name": "ROUTER_NAME",
    "listen": "ROUTER_LISTEN",
    "discovery": "ROUTER_DISCOVERY",
    "operator": "ROUTER_OPERATOR",
}


class ConfigError(ValueError):
    """An invalid configuration; the text names the field."""


@dataclass(slots=True, frozen=True)
class SnapshotSettings:
    """Where and how often snapshots are stored; needs a persistent disk."""

    directory: str
    interval_s: float
    fleet: str  # name of the group of gateways; snapshots of another group are ignored


@dataclass(slots=True, frozen=True)
class GatewayConfig:
    """The configuration of one gateway."""

    name: str
    listen: Address
    discovery: Address
    counter: Address | None
    seed: int
    max_sockets: int
    settings: api.Settings
    known_endpoints: DiscoveryResponse  # the endpoint list used until discovery answers
    dial_timeout_ms: float
    idle_timeout_ms: float  # after this time a host closes an idle connection
    operator_address: Address | None = None  # for operators' calls; None: not accepted
    state_directory: str | None = None  # shared only by the successive processes of this gateway
    snapshots: SnapshotSettings | None = None  # None: no snapshots
    present_fields: frozenset[str] = frozenset()  # paths of the fields present in the file
    memory_bytes: int | None = None  # that the process may hold; None: not limited


def load(environ: Mapping[str, str], initial: GatewayConfig | None = None) -> GatewayConfig:
    """Read the configuration file that ROUTER_CONFIG names; other variables override its fields.

    Args:
        environ: The environment variables.
        initial: When the file is read again, the configuration at the start. The discovery address of the
            file then takes precedence over that of the environment. Each field that was present must still
            be present: the default in place of a missing field would be taken for a change.

    Raises:
        ConfigError: the configuration is invalid, or cannot replace `initial`.
    """
    raw = _read_file(environ.get(CONFIG_VARIABLE))
    present_fields = frozenset(_field_paths("", raw))
    missing = sorted(initial.present_fields - present_fields) if initial is not None else ()
    if missing:
        raise ConfigError(f"{missing[0]}: is missing, but was present at the start")
    for field, variable in VARIABLES_BY_FIELD.items():
        if environ.get(variable) and not (initial is not None and field == "discovery"):
            raw[field] = environ[variable]
    config = parse(raw)
    if initial is not None and config.settings.plans != initial.settings.plans:
        raise ConfigError("settings: packages: plans cannot change in service")
    state_directory = environ.get("TMPDIR") or None
    return replace(config, present_fields=present_fields, state_directory=state_directory)


def _read_file(path: str | None) -> dict[str, object]:
    if not path:
        raise ConfigError(f"{CONFIG_VARIABLE}: is not set")
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except (OSError, ValueError) as error:
        raise ConfigError(f"{CONFIG_VARIABLE}: cannot be read: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError(f"{CONFIG_VARIABLE}: must hold a JSON object")
    return raw


def parse(raw: dict[str, object]) -> GatewayConfig:
    """Parse the JSON object of the configuration file.

    Raises:
        ConfigError: a field is missing or invalid.
    """
    pairs = dict(_flatten("", _object(raw, "settings")))
    _positive(pairs, "bounds.try_limit", 1.0)
    settings = _settings(pairs)
    # A late response is still valid: without the extra time a busy counter would be taken for a silent one.
    settings = replace(settings, counter_timeout_ms=COUNTER_TIMEOUT_FACTOR * settings.counter_timeout_ms)
    if settings.counter_available and not raw.get("counter"):
        raise ConfigError("counter: is missing, but the settings enable the counter")
    return GatewayConfig(
        name=str(raw.get("name", "")),
        known_endpoints=_known_endpoints(raw),
        listen=address(raw, "listen"),
        discovery=address(raw, "discovery"),
        counter=address(raw, "counter") if raw.get("counter") else None,
        seed=_seed(raw),
        max_sockets=_max_sockets(raw),
        memory_bytes=_memory_bytes(raw),
        settings=settings,
        dial_timeout_ms=_positive(pairs, "bounds.dial_timeout_ms", DEFAULT_DIAL_TIMEOUT_MS),
        idle_timeout_ms=_positive(pairs, "bounds.conn_idle_ms", DEFAULT_IDLE_TIMEOUT_MS),
        operator_address=address(raw, "operator") if raw.get("operator") else None,
        snapshots=_snapshots(_object(raw, "snapshots")) if raw.get("snapshots") is not None else None,
    )


def _known_endpoints(raw: Mapping[str, object]) -> DiscoveryResponse:
    if not raw.get("known"):
        return DiscoveryResponse(0, True, (), {})
    try:
        return parse_discovery_response(raw["known"])
    except ValueError as error:
        raise ConfigError(f"known: {error}") from None


def address(raw: Mapping[str, object], field: str) -> Address:
    """Parse a field of the form HOST:PORT.

    Raises:
        ConfigError: the field is missing or has another form.
    """
    host, colon, port = str(raw.get(field, "")).rpartition(":")
    if not colon or not host or not (port.isascii() and port.isdigit() and int(port) <= MAX_PORT):
        raise ConfigError(f"{field}: found {raw.get(field)!r}, expected HOST:PORT")
    return host.strip("[]"), int(port)


def _snapshots(raw: dict[str, object]) -> SnapshotSettings:
    """Parse the field `snapshots`: an object with `folder`, and optionally `every_ms` and `fleet`."""
    unknown = sorted(set(raw) - {"folder", "every_ms", "fleet"})
    if unknown:
        raise ConfigError(f"snapshots.{unknown[0]}: is unknown, expected folder, every_ms or fleet")
    folder, fleet = raw.get("folder"), raw.get("fleet", "")
    interval_ms = raw.get("every_ms", DEFAULT_SNAPSHOT_INTERVAL_MS)
    if not isinstance(folder, str) or not folder.startswith("/"):
        raise ConfigError(f"snapshots.folder: found {folder!r}, expected a path that begins with /")
    if (
        isinstance(interval_ms, bool)
        or not isinstance(interval_ms, int | float)
        or not interval_ms >= MIN_SNAPSHOT_INTERVAL_MS  # this form also rejects NaN
    ):
        raise ConfigError(
            f"snapshots.every_ms: found {interval_ms!r}, expected {MIN_SNAPSHOT_INTERVAL_MS:g} or more"
        )
    if not isinstance(fleet, str):
        raise ConfigError(f"snapshots.fleet: found {fleet!r}, expected a name")
    return SnapshotSettings(folder, interval_ms / 1000, fleet)


def _object(raw: Mapping[str, object], field: str) -> dict[str, object]:
    value = raw.get(field)
    if not isinstance(value, dict):
        raise ConfigError(f"{field}: found {value!r:.40}, expected an object")
    return value


def _field_paths(path: str, value: object) -> set[str]:
    """The paths of the fields in an object; for a list of objects, the paths that all of them have."""
    paths = {path} if path else set()
    if isinstance(value, dict) and path != "known":
        for key, item in value.items():
            paths |= _field_paths(f"{path}.{key}" if path else str(key), item)
    elif isinstance(value, list) and value and all(isinstance(item, dict) for item in value):
        paths |= set.intersection(*(_field_paths(f"{path}[]", item) for item in value))
    return paths


def _flatten(path: str, value: object) -> Iterator[tuple[str, str]]:
    """Flatten nested settings to pairs of path and text, which `hillmux.platform_settings` reads."""
    if isinstance(value, dict):
        for key, item in value.items():
            yield from _flatten(f"{path}.{key}" if path else str(key), item)
    elif isinstance(value, list):
        if any(isinstance(item, dict) for item in value):
            yield f"{path}.count", str(len(value))
            for index, item in enumerate(value):
                yield from _flatten(f"{path}.{index}", item)
        else:
            yield path, ",".join(map(str, value))
    elif isinstance(value, bool):
        yield path, "true" if value else "false"
    elif value is not None:
        yield path, str(value)


def _settings(pairs: dict[str, str]) -> api.Settings:
    # A key that contains `=` is split at the first one, as in the simulator's messages.
    values = dict(f"{path}={value}".partition("=")[::2] for path, value in pairs.items())
    try:
        settings = parse_settings(values)
        settings.check()
    except ValueError as error:
        raise ConfigError(f"settings: {error}") from None
    return settings


def _positive(pairs: dict[str, str], key: str, default: float) -> float:
    try:
        value = parse_number(pairs[key]) if key in pairs else default
    except ValueError as error:
        raise ConfigError(f"settings: {key}: {error}") from None
    if value <= 0:
        raise ConfigError(f"settings: {key}: found {value:g}, expected above 0")
    return value


def _seed(raw: Mapping[str, object]) -> int:
    try:
        return int(str(raw.get("seed", "")), 16)
    except ValueError:
        raise ConfigError(f"seed: found {raw.get('seed')!r}, expected a hexadecimal number") from None


def _memory_bytes(raw: Mapping[str, object]) -> int | None:
    limits = raw.get("limits") or {}
    value = limits.get("memory_mb") if isinstance(limits, dict) else None
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < math.inf:
        raise ConfigError(f"limits.memory_mb: found {value!r}, expected a number above 0")
    return int(value * MIB)


def _max_sockets(raw: Mapping[str, object]) -> int:
    limits = raw.get("limits") or {}
    value = limits.get("sockets", DEFAULT_MAX_SOCKETS) if isinstance(limits, dict) else None
    if not isinstance(value, int) or value < MIN_SOCKETS:
        raise ConfigError(f"limits.sockets: found {value!r}, expected an integer of at least {MIN_SOCKETS}")
    allowed = resource.getrlimit(resource.RLIMIT_NOFILE)[0]  # the operating system's limit may be lower
    return value if allowed == resource.RLIM_INFINITY else min(value, allowed)
