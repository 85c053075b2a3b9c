"""The counter's published protocol: a request line to a call. Bytes to values; no socket."""

from __future__ import annotations

import re
from dataclasses import dataclass

from hillmux.counter.store import LONGEST_NAME, MOST_AMOUNT

PREFIX = b"/v1/count/"
NAME = re.compile(rb"[!-.0-~]{1,%d}" % LONGEST_NAME)  # as it stands in the path: no space, no slash
AMOUNT = re.compile(rb"[+-]?[0-9]{1,10}(?:\.[0-9]{1,12})?")
LIFE = re.compile(rb"[0-9]{1,15}")


class NoCallError(ValueError):
    """What was asked is no call; `status` is what the protocol answers, and nothing is added."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(slots=True, frozen=True)
class Call:
    """Add `amount` units to `name`, which lives `life_ms` if it is new."""

    name: str
    amount: float
    life_ms: float


def parse(method: bytes, target: bytes) -> Call:
    """`POST /v1/count/NAME?add=-2.5&ttl_ms=4000` as a `Call`.

    Raises:
        NoCallError: 404 for another path, 400 for a call with a fault; the text names the field.
    """
    path, _, query = target.partition(b"?")
    if not path.startswith(PREFIX):
        raise NoCallError(404, f"path: found {_show(path)}, expected {PREFIX.decode()}NAME")
    if method != b"POST":
        raise NoCallError(400, f"method: found {_show(method)}, expected POST")
    name = path[len(PREFIX) :]
    if not NAME.fullmatch(name):
        raise NoCallError(400, f"name: found {_show(name)}, expected 1 to {LONGEST_NAME} visible bytes but /")
    fields: dict[bytes, bytes] = {}
    for part in query.split(b"&"):
        key, _, value = part.partition(b"=")
        if key in fields or key not in (b"add", b"ttl_ms"):
            raise NoCallError(400, f"query: found {_show(part)}, expected add and ttl_ms, each once")
        fields[key] = value
    add, life = fields.get(b"add", b""), fields.get(b"ttl_ms", b"")
    if not AMOUNT.fullmatch(add) or abs(float(add)) > MOST_AMOUNT:
        raise NoCallError(400, f"add: found {_show(add)}, expected a decimal of {MOST_AMOUNT:g} at most")
    if not LIFE.fullmatch(life) or int(life) < 1:
        raise NoCallError(400, f"ttl_ms: found {_show(life)}, expected a whole number from 1")
    return Call(name.decode("ascii"), float(add), float(life))


def _show(found: bytes) -> str:
    return repr(found[:80].decode("latin-1"))
