"""A response that was received, or the head of one that is streamed."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Final

# Of a response; other fields are neither used nor forwarded.
KEPT_HEADERS: Final = frozenset(
    (
        b"content-length",
        b"transfer-encoding",
        b"connection",
        b"content-type",
        b"x-not-run",
        b"billed-units",
    )
)
BODILESS_STATUSES: Final = frozenset((204, 304))
DECIMAL_NUMBER: Final = re.compile(rb"-?[0-9]{1,15}(?:\.[0-9]{1,15})?(?:[eE][+-]?[0-9]{1,2})?")


def parse_decimal(text: bytes) -> float | None:
    """Parse a decimal number; None if invalid. `float` would also accept values such as `1_0`."""
    return float(text) if DECIMAL_NUMBER.fullmatch(text) else None


@dataclass(slots=True, init=False)
class Response:
    """One response, or the head of a streamed one."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    keep_alive: bool
    streamed: bool = False  # the body is forwarded as it arrives and is not stored here
    content_length: int | None = None  # of a streamed response; None if it has no Content-Length
    first_byte_at: float = 0.0  # time.monotonic at the first byte; 0 if everything arrived in one read

    def __init__(
        self,
        status: int,
        headers: dict[bytes, bytes],
        body: bytes,
        keep_alive: bool,
        streamed: bool = False,
        content_length: int | None = None,
        first_byte_at: float = 0.0,
    ) -> None:
        self.status, self.headers, self.body, self.keep_alive = status, headers, body, keep_alive
        self.streamed, self.content_length, self.first_byte_at = streamed, content_length, first_byte_at

    def positive_number(self, name: bytes, maximum: float) -> float:
        """The number in a header if it is above 0 and at most `maximum`, otherwise 0."""
        value = parse_decimal(self.headers.get(name, b""))
        return value if value is not None and 0 < value <= maximum else 0.0
