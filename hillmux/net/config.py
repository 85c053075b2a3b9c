"""The configuration that a gateway is started with: file and environment to typed values."""

from __future__ import annotations

import json
import resource
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace

from hillmux import interface as api
from hillmux.net.discovery import DiscoveryResponse, parse_discovery_response
from hillmux.platform_settings import parse_number, parse_settings

Address = tuple[str, int]
COUNTER_TIMEOUT_FACTOR = 3.0  # how long a counter call is waited for, in the time that the settings give it
DEFAULT_MAX_SOCKETS = 1024
DEFAULT_SNAPSHOT_INTERVAL_MS, MIN_SNAPSHOT_INTERVAL_MS = (
    2000.0,
    200.0,
)  # between two snapshots: usual, and least
MIN_SOCKETS = 128  # leaves a reserve beside clients, hosts, counter, discovery and the loop's own


class ConfigError(ValueError):
    """A configuration that no gateway can be started with; the text names the field."""


@dataclass(slots=True, frozen=True)
class SnapshotSettings:
    """Where snapshots are kept, for installations whose disk lasts."""

    directory: str
    interval_s: float
    fleet: str  # a name for the tier: a snapshot of another one is left


@dataclass(slots=True, frozen=True)
class GatewayConfig:
    """What one gateway is told when it starts."""

    name: str
    listen: Address
    discovery: Address
    counter: Address | None
    seed: int
    max_sockets: int
    settings: api.Settings
    known_endpoints: DiscoveryResponse
    dial_timeout_ms: float
    idle_timeout_ms: float
    operator_address: Address | None = None  # where operators call, if they do
    state_directory: str | None = None  # kept while one process follows another, and theirs alone
    snapshots: SnapshotSettings | None = None  # snapshots, where there are any
    present_fields: frozenset[str] = frozenset()  # the fields that the file has


def load(environ: Mapping[str, str], before: GatewayConfig | None = None) -> GatewayConfig:
    """The configuration that `ROUTER_CONFIG` names; the single variables go before the file.

    When it is read again, after `before`, the file has the news: the environment tells where discovery was at
    the start. A field that was there must be there still, in each class and plan, too: a default in place
    of one that was lost would be taken for a change.
    """
    path = environ.get("ROUTER_CONFIG")
    if not path:
        raise ConfigError("ROUTER_CONFIG: is not set")
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except (OSError, ValueError) as error:
        raise ConfigError(f"ROUTER_CONFIG: cannot be read: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError("ROUTER_CONFIG: must hold a JSON object")
    shape = frozenset(_shape("", raw))
    missing = sorted(before.present_fields - shape) if before is not None else ()
    if missing:
        raise ConfigError(f"{missing[0]}: is missing, and was there before")
    for field, variable in (
        ("name", "ROUTER_NAME"),
        ("listen", "ROUTER_LISTEN"),
        ("discovery", "ROUTER_DISCOVERY"),
        ("operator", "ROUTER_OPERATOR"),
    ):
        if environ.get(variable) and not (before is not None and field == "discovery"):
            raw[field] = environ[variable]
    config = parse(raw)
    if before is not None and config.settings.plans != before.settings.plans:
        raise ConfigError("settings: packages: plans cannot change in service")
    return replace(config, present_fields=shape, state_directory=environ.get("TMPDIR") or None)


def parse(raw: dict[str, object]) -> GatewayConfig:
    """The object of the file as a `Config`."""
    pairs = dict(_flatten("", _object(raw, "settings")))
    _positive(pairs, "bounds.try_limit", 1.0)
    settings = _settings(pairs)
    # The counter answers however late, and what it says is true then, too: given up at the bound, one call in
    # seven of a busy counter taught nothing, and the module took it for silent.
    settings = replace(settings, counter_timeout_ms=COUNTER_TIMEOUT_FACTOR * settings.counter_timeout_ms)
    counter = raw.get("counter")
    if settings.counter_available and not counter:
        raise ConfigError("counter: is missing, though the settings allow calls")
    try:
        known = (
            parse_discovery_response(raw["known"]) if raw.get("known") else DiscoveryResponse(0, True, (), {})
        )
    except ValueError as error:
        raise ConfigError(f"known: {error}") from None
    return GatewayConfig(
        name=str(raw.get("name", "")),
        listen=address(raw, "listen"),
        discovery=address(raw, "discovery"),
        counter=address(raw, "counter") if counter else None,
        seed=_seed(raw),
        max_sockets=_sockets(raw),
        settings=settings,
        known_endpoints=known,
        dial_timeout_ms=_positive(pairs, "bounds.dial_timeout_ms", 250.0),
        idle_timeout_ms=_positive(pairs, "bounds.conn_idle_ms", 15000.0),
        operator_address=address(raw, "operator") if raw.get("operator") else None,
        snapshots=_keep(_object(raw, "snapshots")) if raw.get("snapshots") is not None else None,
    )


def address(raw: Mapping[str, object], field: str) -> Address:
    """A field of the form HOST:PORT."""
    host, colon, port = str(raw.get(field, "")).rpartition(":")
    if not colon or not host or not (port.isascii() and port.isdigit() and int(port) < 65536):
        raise ConfigError(f"{field}: found {raw.get(field)!r}, expected HOST:PORT")
    return host.strip("[]"), int(port)


def _keep(raw: dict[str, object]) -> SnapshotSettings:
    """The object `snapshots`: `folder`, and where they are given `every_ms` and `fleet`."""
    unknown = sorted(set(raw) - {"folder", "every_ms", "fleet"})
    if unknown:
        raise ConfigError(f"snapshots.{unknown[0]}: is not folder, every_ms or fleet")
    folder, every, fleet = (
        raw.get("folder"),
        raw.get("every_ms", DEFAULT_SNAPSHOT_INTERVAL_MS),
        raw.get("fleet", ""),
    )
    if not isinstance(folder, str) or not folder.startswith("/"):
        raise ConfigError(f"snapshots.folder: found {folder!r}, expected a path that begins with /")
    if isinstance(every, bool) or not isinstance(every, int | float) or not every >= MIN_SNAPSHOT_INTERVAL_MS:
        raise ConfigError(
            f"snapshots.every_ms: found {every!r}, expected {MIN_SNAPSHOT_INTERVAL_MS:g} or more"
        )
    if not isinstance(fleet, str):
        raise ConfigError(f"snapshots.fleet: found {fleet!r}, expected a name")
    return SnapshotSettings(folder, every / 1000, fleet)


def _object(raw: Mapping[str, object], field: str) -> dict[str, object]:
    value = raw.get(field)
    if not isinstance(value, dict):
        raise ConfigError(f"{field}: found {value!r:.40}, expected an object")
    return value


def _shape(path: str, value: object) -> set[str]:
    """The fields of an object; of a list of objects those that each of them has."""
    found = {path} if path else set()
    if isinstance(value, dict) and path != "known":
        for key, item in value.items():
            found |= _shape(f"{path}.{key}" if path else str(key), item)
    elif isinstance(value, list) and value and all(isinstance(item, dict) for item in value):
        found |= set.intersection(*(_shape(f"{path}[]", item) for item in value))
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
    try:
        settings = parse_settings(pairs)
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


def _sockets(raw: Mapping[str, object]) -> int:
    limits = raw.get("limits") or {}
    value = limits.get("sockets", DEFAULT_MAX_SOCKETS) if isinstance(limits, dict) else None
    if not isinstance(value, int) or value < MIN_SOCKETS:
        raise ConfigError(
            f"limits.sockets: found {value!r}, expected a whole number of {MIN_SOCKETS} or more"
        )
    allowed = resource.getrlimit(resource.RLIMIT_NOFILE)[0]  # the system's own limit may be lower
    return value if allowed == resource.RLIM_INFINITY else min(value, allowed)
