"""Parser of the counter's published protocol: turns request lines into calls. Performs no I/O."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Final

from hillmux.counter.store import MAX_AMOUNT, MAX_NAME_BYTES

PATH_PREFIX: Final = b"/v1/count/"
NAME: Final = re.compile(rb"[!-.0-~]{1,%d}" % MAX_NAME_BYTES)  # visible ASCII characters except the slash
AMOUNT: Final = re.compile(rb"[+-]?[0-9]{1,10}(?:\.[0-9]{1,12})?")
RETENTION: Final = re.compile(rb"[0-9]{1,15}")
AMOUNT_FIELD: Final = b"add"
RETENTION_FIELD: Final = b"ttl_ms"
MAX_QUOTED_BYTES: Final = 80  # of a malformed value, quoted in the text of an error


class InvalidCallError(ValueError):
    """A request that is not a valid call, so nothing is added; the text names the field.

    Attributes:
        status: HTTP status of the response.
    """

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(slots=True, frozen=True)
class Call:
    """A call that adds `amount` units to `name`; a new name is kept for `retention_ms`."""

    name: str
    amount: float
    retention_ms: float


def parse_call(method: bytes, target: bytes) -> Call:
    """Parse a request such as `POST /v1/count/NAME?add=-2.5&ttl_ms=4000`.

    Raises:
        InvalidCallError: the request is not a valid call; status 404 for an unknown path, else 400.
    """
    path, _, query = target.partition(b"?")
    if not path.startswith(PATH_PREFIX):
        raise InvalidCallError(404, f"path: found {_quote(path)}, expected {PATH_PREFIX.decode()}NAME")
    if method != b"POST":
        raise InvalidCallError(400, f"method: found {_quote(method)}, expected POST")
    name = path[len(PATH_PREFIX) :]
    if not NAME.fullmatch(name):
        expected = f"1 to {MAX_NAME_BYTES} visible bytes but /"
        raise InvalidCallError(400, f"name: found {_quote(name)}, expected {expected}")
    fields = _parse_query(query)
    amount = _parse_amount(fields.get(AMOUNT_FIELD, b""))
    return Call(name.decode("ascii"), amount, _parse_retention(fields.get(RETENTION_FIELD, b"")))


def _parse_query(query: bytes) -> dict[bytes, bytes]:
    fields: dict[bytes, bytes] = {}
    for part in query.split(b"&"):
        key, _, value = part.partition(b"=")
        if key in fields or key not in (AMOUNT_FIELD, RETENTION_FIELD):
            raise InvalidCallError(400, f"query: found {_quote(part)}, expected add and ttl_ms, each once")
        fields[key] = value
    return fields


def _parse_amount(text: bytes) -> float:
    if not AMOUNT.fullmatch(text) or abs(float(text)) > MAX_AMOUNT:
        raise InvalidCallError(
            400, f"add: found {_quote(text)}, expected a decimal of {MAX_AMOUNT:g} at most"
        )
    return float(text)


def _parse_retention(text: bytes) -> float:
    if not RETENTION.fullmatch(text) or int(text) < 1:
        raise InvalidCallError(400, f"ttl_ms: found {_quote(text)}, expected a whole number from 1")
    return float(text)


def _quote(value: bytes) -> str:
    return repr(value[:MAX_QUOTED_BYTES].decode("latin-1"))
