"""The configuration that a gateway is started with: file and environment to typed values."""

from __future__ import annotations

import json
import resource
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace
from typing import Final

from hillmux import interface as api
from hillmux.net.discovery_response import DiscoveryResponse, parse_discovery_response
from hillmux.platform_settings import parse_number, parse_settings

Address = tuple[str, int]  # host and port

COUNTER_TIMEOUT_FACTOR: Final = 3.0  # a counter call may take this many times what the settings expect
DEFAULT_DIAL_TIMEOUT_MS: Final = 250.0
DEFAULT_IDLE_TIMEOUT_MS: Final = 15000.0
DEFAULT_MAX_SOCKETS: Final = 1024
MIN_SOCKETS: Final = 128  # leaves a reserve beside clients, hosts, counter, discovery and the loop's own
DEFAULT_SNAPSHOT_INTERVAL_MS: Final = 2000.0
MIN_SNAPSHOT_INTERVAL_MS: Final = 200.0
MAX_PORT: Final = 65535

# Variables of the environment that stand before fields of the file.
CONFIG_VARIABLE: Final = "ROUTER_CONFIG"
VARIABLES_BY_FIELD: Final = {
    "name": "ROUTER_NAME",
    "listen": "ROUTER_LISTEN",
    "discovery": "ROUTER_DISCOVERY",
    "operator": "ROUTER_OPERATOR",
}


class ConfigError(ValueError):
    """A configuration that no gateway can be started with; the text names the field."""


@dataclass(slots=True, frozen=True)
class SnapshotSettings:
    """Where snapshots are stored, in installations with a persistent disk."""

    directory: str
    interval_s: float
    fleet: str  # a name for the tier: a snapshot of another one is ignored


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
    known_endpoints: DiscoveryResponse  # the hosts to start with
    dial_timeout_ms: float
    idle_timeout_ms: float  # after which a host closes an idle connection
    operator_address: Address | None = None  # where operators' calls are accepted, if at all
    state_directory: str | None = None  # shared by the successive processes of this gateway alone
    snapshots: SnapshotSettings | None = None  # None: no snapshots
    present_fields: frozenset[str] = frozenset()  # the paths of the fields that the file has


def load(environ: Mapping[str, str], before: GatewayConfig | None = None) -> GatewayConfig:
    """The configuration in the file that ROUTER_CONFIG names; single variables override its fields.

    `before` is the configuration at the start, when the file is read again. The discovery of the file then
    stands before that of the environment. Each field that was present must still be: a default in place of
    one that was lost would be taken for a change.

    Raises:
        ConfigError: no gateway can be started with it, or it cannot replace `before`.
    """
    raw = _read_file(environ.get(CONFIG_VARIABLE))
    present_fields = frozenset(_field_paths("", raw))
    missing = sorted(before.present_fields - present_fields) if before is not None else ()
    if missing:
        raise ConfigError(f"{missing[0]}: is missing, and was there before")
    for field, variable in VARIABLES_BY_FIELD.items():
        if environ.get(variable) and not (before is not None and field == "discovery"):
            raw[field] = environ[variable]
    config = parse(raw)
    if before is not None and config.settings.plans != before.settings.plans:
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
    """The object of the file as a `GatewayConfig`.

    Raises:
        ConfigError: a field is missing or wrong.
    """
    pairs = dict(_flatten("", _object(raw, "settings")))
    _positive(pairs, "bounds.try_limit", 1.0)
    settings = _settings(pairs)
    # A late answer still holds: without the extra time a busy counter would be taken for a silent one.
    settings = replace(settings, counter_timeout_ms=COUNTER_TIMEOUT_FACTOR * settings.counter_timeout_ms)
    if settings.counter_available and not raw.get("counter"):
        raise ConfigError("counter: is missing, though the settings allow calls")
    return GatewayConfig(
        name=str(raw.get("name", "")),
        known_endpoints=_known_endpoints(raw),
        listen=address(raw, "listen"),
        discovery=address(raw, "discovery"),
        counter=address(raw, "counter") if raw.get("counter") else None,
        seed=_seed(raw),
        max_sockets=_max_sockets(raw),
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
    """A field of the form HOST:PORT."""
    host, colon, port = str(raw.get(field, "")).rpartition(":")
    if not colon or not host or not (port.isascii() and port.isdigit() and int(port) <= MAX_PORT):
        raise ConfigError(f"{field}: found {raw.get(field)!r}, expected HOST:PORT")
    return host.strip("[]"), int(port)


def _snapshots(raw: dict[str, object]) -> SnapshotSettings:
    """The field `snapshots`: an object with `folder`, and optionally `every_ms` and `fleet`."""
    unknown = sorted(set(raw) - {"folder", "every_ms", "fleet"})
    if unknown:
        raise ConfigError(f"snapshots.{unknown[0]}: is not folder, every_ms or fleet")
    folder, fleet = raw.get("folder"), raw.get("fleet", "")
    interval_ms = raw.get("every_ms", DEFAULT_SNAPSHOT_INTERVAL_MS)
    if not isinstance(folder, str) or not folder.startswith("/"):
        raise ConfigError(f"snapshots.folder: found {folder!r}, expected a path that begins with /")
    if (
        isinstance(interval_ms, bool)
        or not isinstance(interval_ms, int | float)
        or not interval_ms >= MIN_SNAPSHOT_INTERVAL_MS  # true of NaN, too
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
    """The paths of the fields in an object; of a list of objects those that each of them has."""
    found = {path} if path else set()
    if isinstance(value, dict) and path != "known":
        for key, item in value.items():
            found |= _field_paths(f"{path}.{key}" if path else str(key), item)
    elif isinstance(value, list) and value and all(isinstance(item, dict) for item in value):
        found |= set.intersection(*(_field_paths(f"{path}[]", item) for item in value))
    return found


def _flatten(path: str, value: object) -> Iterator[tuple[str, str]]:
    """Nested settings by path, as `hillmux.platform_settings` reads them."""
    if isinstance(value, dict):
        for key, item in value.items():
            yield from _flatten(f"{path}.{key}" if path else str(key), item)
    elif isinstance(value, list):
        if any(isinstance(item, dict) for item in value):
            yield f"{path}.count", str(len(value))
            for i, item in enumerate(value):
                yield from _flatten(f"{path}.{i}", item)
        else:
            yield path, ",".join(map(str, value))
    elif isinstance(value, bool):
        yield path, "true" if value else "false"
    elif value is not None:
        yield path, str(value)


def _settings(pairs: dict[str, str]) -> api.Settings:
    # A key that holds `=` is split there, as on the simulator's wire.
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
        raise ConfigError(f"seed: found {raw.get('seed')!r}, expected a hex number") from None


def _max_sockets(raw: Mapping[str, object]) -> int:
    limits = raw.get("limits") or {}
    value = limits.get("sockets", DEFAULT_MAX_SOCKETS) if isinstance(limits, dict) else None
    if not isinstance(value, int) or value < MIN_SOCKETS:
        raise ConfigError(
            f"limits.sockets: found {value!r}, expected a whole number of {MIN_SOCKETS} or more"
        )
    allowed = resource.getrlimit(resource.RLIMIT_NOFILE)[0]  # the system's own limit may be lower
    return value if allowed == resource.RLIM_INFINITY else min(value, allowed)
