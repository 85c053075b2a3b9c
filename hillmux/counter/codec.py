"""The counter's published protocol: request lines to calls, without sockets."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Final

from hillmux.counter.store import MAX_AMOUNT, MAX_NAME_BYTES

PATH_PREFIX: Final = b"/v1/count/"
NAME: Final = re.compile(rb"[!-.0-~]{1,%d}" % MAX_NAME_BYTES)  # visible characters but the slash
AMOUNT: Final = re.compile(rb"[+-]?[0-9]{1,10}(?:\.[0-9]{1,12})?")
RETENTION: Final = re.compile(rb"[0-9]{1,15}")
AMOUNT_FIELD: Final = b"add"
RETENTION_FIELD: Final = b"ttl_ms"
MAX_SHOWN_BYTES: Final = 80  # of a malformed field, in an error's text


class InvalidCallError(ValueError):
    """A request that is no valid call; the text names the field.

    Attributes:
        status: the status with which the protocol answers it; nothing is added.
    """

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(slots=True, frozen=True)
class Call:
    """Add `amount` units to `name`, which is kept for `retention_ms` if it is new."""

    name: str
    amount: float
    retention_ms: float


def parse_call(method: bytes, target: bytes) -> Call:
    """Parse a request such as `POST /v1/count/NAME?add=-2.5&ttl_ms=4000`.

    Raises:
        InvalidCallError: with status 404 for another path, else 400.
    """
    path, _, query = target.partition(b"?")
    if not path.startswith(PATH_PREFIX):
        raise InvalidCallError(404, f"path: found {_show(path)}, expected {PATH_PREFIX.decode()}NAME")
    if method != b"POST":
        raise InvalidCallError(400, f"method: found {_show(method)}, expected POST")
    name = path[len(PATH_PREFIX) :]
    if not NAME.fullmatch(name):
        expected = f"1 to {MAX_NAME_BYTES} visible bytes but /"
        raise InvalidCallError(400, f"name: found {_show(name)}, expected {expected}")
    fields = _parse_query(query)
    amount = _parse_amount(fields.get(AMOUNT_FIELD, b""))
    return Call(name.decode("ascii"), amount, _parse_retention(fields.get(RETENTION_FIELD, b"")))


def _parse_query(query: bytes) -> dict[bytes, bytes]:
    fields: dict[bytes, bytes] = {}
    for part in query.split(b"&"):
        key, _, value = part.partition(b"=")
        if key in fields or key not in (AMOUNT_FIELD, RETENTION_FIELD):
            raise InvalidCallError(400, f"query: found {_show(part)}, expected add and ttl_ms, each once")
        fields[key] = value
    return fields


def _parse_amount(text: bytes) -> float:
    if not AMOUNT.fullmatch(text) or abs(float(text)) > MAX_AMOUNT:
        raise InvalidCallError(400, f"add: found {_show(text)}, expected a decimal of {MAX_AMOUNT:g} at most")
    return float(text)


def _parse_retention(text: bytes) -> float:
    if not RETENTION.fullmatch(text) or int(text) < 1:
        raise InvalidCallError(400, f"ttl_ms: found {_show(text)}, expected a whole number from 1")
    return float(text)


def _show(found: bytes) -> str:
    return repr(found[:MAX_SHOWN_BYTES].decode("latin-1"))
