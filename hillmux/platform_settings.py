"""The platform's setting names, mapped to the settings of the decision module.

The platform's settings are nested. Here they are flattened to a mapping from path, such as
`grades.0.objective_ms`, to value as text. Both sources, the simulator's first message and a gateway's
configuration file, are converted to this mapping. Unknown settings are ignored.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from enum import StrEnum
from typing import TypeVar

from hillmux.interface import Idempotency, KeyScope, Plan, RequestClass, Settings

ABSENT = "-"  # stands for a missing value

Choice = TypeVar("Choice", bound=StrEnum)


class NumberFormatError(ValueError):
    """A text does not hold a finite number."""


def parse_number(text: str) -> float:
    """Return the finite number in `text`; `ABSENT` is read as 0.

    Raises:
        NumberFormatError: `text` does not hold a finite number.
    """
    if text == ABSENT:
        return 0.0
    try:
        value = float(text)
    except ValueError:
        raise NumberFormatError(f"bad number {text!r}") from None
    if not math.isfinite(value):
        raise NumberFormatError(f"bad number {text!r}")
    return value


def parse_settings(values: Mapping[str, str]) -> Settings:
    """Convert the platform's values by path to settings, which are not yet validated by `Settings.check`.

    Raises:
        NumberFormatError: a value is not a finite number; the message names its path.
        ValueError: a value is not one of the allowed choices; the message names the field and the choices.
    """
    reader = _SettingReader(values)
    return Settings(
        classes=tuple(_request_class(reader, f"grades.{i}") for i in range(reader.integer("grades.count"))),
        plans=tuple(_plan(reader, f"packages.{i}") for i in range(reader.integer("packages.count"))),
        gateway_index=reader.integer("me"),
        fleet_size=reader.integer("fleet_size", 1),
        zone=reader.text("zone"),
        max_attempts=reader.integer("bounds.try_limit", 1),
        hedging_allowed=reader.flag("bounds.second_copies"),
        cancellation_allowed=reader.flag("bounds.cancel"),
        max_retry_after_ms=reader.number("bounds.max_retry_after_ms"),
        health_checks_allowed=reader.flag("bounds.probing"),
        gossip_allowed=reader.flag("bounds.peers"),
        must_subscribe=reader.text("membership_mode", "pushed") == "on_request",
        counter_available=reader.flag("family_info.may_count"),
        counter_timeout_ms=reader.number("family_info.count_wait_ms", 50.0),
        max_request_units=reader.number("family_info.most_units") or math.inf,
        actual_units_reported=reader.flag("family_info.trued_up"),
        usage_period_ms=reader.number("family_info.use_period_ms"),
        clock_resolution_ms=reader.number("tick_ms", 1.0),
        answer_slack_ms=reader.number("rules.answer_slack_ms"),
        drain_grace_ms=reader.number("rules.stop_sending_within_ms"),
        slow_start_min_share=reader.number("rules.cold_from", 1.0),
        slow_start_ms=reader.number("rules.cold_ms"),
        overload_multiple=reader.number("rules.fall_multiple", 1.0),
        overload_after_ms=reader.number("rules.tip_after_ms"),
    )


class _SettingReader:
    """Looks up values by path and converts them to their types."""

    def __init__(self, values: Mapping[str, str]) -> None:
        self._values = values

    def text(self, path: str, default: str = "") -> str:
        return self._values.get(path, default)

    def number(self, path: str, default: float = 0.0) -> float:
        if path not in self._values:
            return default
        try:
            return parse_number(self._values[path])
        except NumberFormatError as error:
            raise NumberFormatError(f"{path}: {error}") from None

    def integer(self, path: str, default: int = 0) -> int:
        return int(self.number(path, default))

    def flag(self, path: str) -> bool:
        return self.text(path, "false") in ("true", "1")

    def choice(self, path: str, default: Choice, field: str, allowed: str) -> Choice:
        """Return the member of `default`'s enumeration at `path`, or `default` if there is none.

        `field` and `allowed` are used in the error message only.
        """
        text = self.text(path, default.value)
        choices = type(default)
        if text not in set(choices):
            raise ValueError(f"{field}: found {text!r}, expected {allowed}")
        return choices(text)


def _request_class(reader: _SettingReader, path: str) -> RequestClass:
    name = reader.text(f"{path}.name")
    return RequestClass(
        name=name,
        latency_objective_ms=reader.number(f"{path}.objective_ms"),
        deadline_ms=reader.number(f"{path}.deadline_ms"),
        priority_weight=reader.number(f"{path}.worth", 1.0),
        late_priority_weight=reader.number(f"{path}.late_worth"),
        idempotency=reader.choice(
            f"{path}.effect", Idempotency.IDEMPOTENT, f"classes[{name}].effect", "safe, keyed or unsafe"
        ),
        key_scope=reader.choice(
            f"{path}.key_scope", KeyScope.GLOBAL, f"classes[{name}].key_scope", "all, zone or cell"
        ),
        idempotency_window_ms=reader.number(f"{path}.window_ms"),
        streaming=reader.flag(f"{path}.stream"),
    )


def _plan(reader: _SettingReader, path: str) -> Plan:
    return Plan(
        name=reader.text(f"{path}.name"),
        rate=reader.number(f"{path}.refill"),
        burst=reader.number(f"{path}.burst"),
        priority_weight=reader.number(f"{path}.worth_factor", 1.0),
        over_quota_weight=reader.number(f"{path}.over_worth"),
        over_quota_cost=reader.number(f"{path}.over_cost"),
        ceiling_rate=reader.number(f"{path}.ceiling_rate"),
        ceiling_burst=reader.number(f"{path}.hard_burst"),
        ceiling_tolerance=reader.number(f"{path}.tolerance"),
        max_concurrency=reader.integer(f"{path}.parallel"),
    )
