"""Converts values of either version to plain JSON, without the names of classes and attributes.

A dataclass or pydantic model becomes the list of its fields' values in declaration order. So a rename does
not change the result, but a changed, moved or lost value does.
"""

from __future__ import annotations

import dataclasses
import math
from typing import Any


def plain(value: Any) -> Any:
    """Convert a value to JSON types."""
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
    """A JSON schema without names and docstrings of classes, with references replaced by their targets."""
    definitions = schema.get("$defs", {}) if definitions is None else definitions

    def resolved(part: Any, names_fields: bool = False) -> Any:
        if isinstance(part, list):
            return [resolved(item) for item in part]
        if not isinstance(part, dict):
            return part
        if "$ref" in part:
            return resolved(definitions[part["$ref"].rpartition("/")[2]])
        omitted_keys = () if names_fields else ("$defs", "title", "description")
        return {
            key: resolved(item, key == "properties" and not names_fields)
            for key, item in part.items()
            if key not in omitted_keys
        }

    return resolved(schema)
