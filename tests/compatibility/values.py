"""Values of either version as plain JSON, without the names of classes and attributes.

A dataclass or pydantic model becomes the list of its fields' values in the order of their declaration, so a
rename leaves it as it is, and a value that changes, moves or is lost does not.
"""

from __future__ import annotations

import dataclasses
import math
from typing import Any


def plain(value: Any) -> Any:
    """A value as JSON holds it."""
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return [plain(getattr(value, field.name)) for field in dataclasses.fields(value)]
    model_fields = getattr(type(value), "model_fields", None)
    if model_fields is not None:
        return [plain(getattr(value, name)) for name in model_fields]
    if isinstance(value, dict):
        return {str(key): plain(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [plain(item) for item in value]
    if isinstance(value, set | frozenset):
        return sorted(plain(item) for item in value)
    if isinstance(value, bytes):
        return value.decode("latin-1")
    if isinstance(value, str):
        return str(value)
    if isinstance(value, float) and not math.isfinite(value):
        return repr(value)
    assert value is None or isinstance(value, bool | int | float), value
    return value


def schema_keys(schema: dict[str, Any], definitions: dict[str, Any] | None = None) -> Any:
    """A JSON schema without the names and docstrings of classes: references stand for what they refer to."""
    definitions = schema.get("$defs", {}) if definitions is None else definitions

    def resolved(part: Any, names_fields: bool = False) -> Any:
        if isinstance(part, list):
            return [resolved(item) for item in part]
        if not isinstance(part, dict):
            return part
        if "$ref" in part:
            return resolved(definitions[part["$ref"].rpartition("/")[2]])
        left_out = () if names_fields else ("$defs", "title", "description")
        return {
            key: resolved(item, key == "properties" and not names_fields)
            for key, item in part.items()
            if key not in left_out
        }

    return resolved(schema)
