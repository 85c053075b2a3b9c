"""What a client's request may say: its framing, its headers and the `ForwardRequest` made of them; no I/O."""

from __future__ import annotations

import re
from functools import lru_cache
from typing import Any, Final

from hillmux import interface as api
from hillmux.interface import Idempotency
from hillmux.net.forward_request import ForwardRequest
from hillmux.net.http1 import MAX_BUFFERED_BODY_BYTES

GATEWAY_HEADERS: Final = frozenset(
    (
        b"x-request-id",
        b"x-class",
        b"plan",
        b"x-deadline",
        b"quota-info",
        b"x-retry",
        b"idempotency-key",
        b"content-length",
        b"content-type",
        b"transfer-encoding",
        b"expect",
    )
)
VISIBLE_TOKEN: Final = re.compile(rb"[!-~]{1,128}")
CUSTOMER_KEY: Final = re.compile(rb"0{7}[01][0-9a-fA-F]{8}")  # 33 bits
DEADLINE_VALUE: Final = re.compile(rb"([0-9]{1,12}(?:\.[0-9]{1,6})?)([mu])")
UNITS_VALUE: Final = re.compile(r"[0-9]{1,9}(?:\.[0-9]{1,9})?")
INTEGER_VALUE: Final = re.compile(r"[0-9]{1,6}")


class BadRequestError(ValueError):
    """A request that is turned away, and its connection closed."""

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status


class RequestMessage:
    """One request as parsed."""

    __slots__ = (
        "url",
        "headers",
        "body",
        "body_bytes",
        "method",
        "keep_alive",
        "has_duplicate_header",
        "head_bytes",
        "read_at",
        "is_http_1_0",
        "body_started_at",
        "last_data_at",
        "streamed_body",
    )

    def __init__(self) -> None:
        self.url = b""
        self.headers: dict[bytes, bytes] = {}
        self.body: list[bytes] = []
        self.body_bytes = 0
        self.method = b""
        self.keep_alive = True
        self.head_bytes = 0  # bytes of its headers
        self.has_duplicate_header = False  # a header that we go by came twice
        self.read_at = 0.0
        self.body_started_at = self.last_data_at = (
            0.0  # when its head was whole, and when more of its body came last
        )
        self.streamed_body: Any = None  # its body, if that is passed on as it comes
        self.is_http_1_0 = False  # HTTP/1.0, where that is looked at


class RequestRules:
    """What a request may name: classes and plans as they stand in its headers, units, sets of gateways."""

    def __init__(self, settings: api.Settings) -> None:
        self.classes = {c.name.encode(): c for c in settings.classes}
        self.plans = {p.name.encode(): p.name for p in settings.plans}
        self._max_units, self._fleet_size = settings.max_request_units, settings.fleet_size
        self.quota_info = lru_cache(maxsize=1024)(self._quota_info)  # a few values make up all traffic

    def _quota_info(self, value: bytes) -> tuple[float, int, int]:
        """`units=2,spread=3,first=1`. Guards quotas and ceilings, in which a wild figure would stay."""
        fields = dict(part.strip().partition("=")[::2] for part in value.decode("latin-1").split(","))
        units, spread, first = (fields.get(name, "") for name in ("units", "spread", "first"))
        if not (
            UNITS_VALUE.fullmatch(units)
            and INTEGER_VALUE.fullmatch(spread)
            and INTEGER_VALUE.fullmatch(first)
        ):
            raise BadRequestError("Quota-Info")
        if not (
            0 < float(units) <= self._max_units
            and 1 <= int(spread) <= self._fleet_size
            and int(first) < self._fleet_size
        ):
            raise BadRequestError("Quota-Info: out of range")
        return float(units), int(spread), int(first)


def parse_request(message: RequestMessage, terms: RequestRules) -> ForwardRequest:
    """A request for `/api/` as a `ForwardRequest`; BadRequestError where it breaks the protocol."""
    headers = message.headers
    path, _, _ = message.url.partition(b"?")
    customer = path.rpartition(b"/")[2]
    if not CUSTOMER_KEY.fullmatch(customer):
        raise BadRequestError("customer")
    cls = terms.classes.get(headers.get(b"x-class", b""))
    plan = terms.plans.get(headers.get(b"plan", b""))
    if cls is None or plan is None:
        raise BadRequestError("class or plan")
    deadline = DEADLINE_VALUE.fullmatch(headers.get(b"x-deadline", b""))
    if deadline is None:
        raise BadRequestError("X-Deadline")
    time_left_ms = float(deadline[1]) / (1 if deadline[2] == b"m" else 1000)
    units, width, first = terms.quota_info(headers.get(b"quota-info", b""))
    # No client of a class waits for longer than its deadline, whatever it says.
    return ForwardRequest(
        headers.get(b"x-request-id", b""),
        cls.name,
        plan,
        customer.decode().lower(),
        min(time_left_ms, cls.deadline_ms),
        units,
        width,
        first,
        headers.get(b"x-retry") == b"1",
        message.read_at,
        _head(message, cls),
        b"".join(message.body),
        streamed_body=message.streamed_body,
    )


def check_framing(message: RequestMessage, longest: int = MAX_BUFFERED_BODY_BYTES) -> None:
    """Turn away at its head what could be read in two ways, or is longer than may be passed on.

    Guards against a request hidden in another's body: which bytes are body must not be a matter of opinion.
    """
    length = message.headers.get(b"content-length")
    coding = message.headers.get(b"transfer-encoding")
    if message.has_duplicate_header:
        raise BadRequestError("a header came twice")
    if coding is not None and (length is not None or coding.strip().lower() != b"chunked"):
        raise BadRequestError("Transfer-Encoding")
    if length is not None and not length.isdigit():
        raise BadRequestError("Content-Length")
    if length is not None and int(length) > longest:
        raise BadRequestError("Content-Length", 413)


def _head(message: RequestMessage, cls: api.RequestClass) -> bytes:
    """The head for the host: method, path, query, id and key unchanged."""
    headers, key = message.headers, message.headers.get(b"idempotency-key")
    rid = headers.get(b"x-request-id", b"")
    if not VISIBLE_TOKEN.fullmatch(rid) or (key is not None and not VISIBLE_TOKEN.fullmatch(key)):
        raise BadRequestError("X-Request-Id or Idempotency-Key")
    # A class that may not simply be repeated must not come as a method that may.
    if message.method != (b"GET" if cls.idempotency == Idempotency.IDEMPOTENT else b"POST"):
        raise BadRequestError("method")
    if (cls.idempotency == Idempotency.KEYED and key is None) or (
        cls.idempotency == Idempotency.IDEMPOTENT and message.body_bytes
    ):
        raise BadRequestError("Idempotency-Key or body")
    lines = [b"%b %b HTTP/1.1\r\nHost: upstream\r\nX-Request-Id: %b\r\n" % (message.method, message.url, rid)]
    if key is not None:
        lines.append(b"Idempotency-Key: %b\r\n" % key)
    if message.method == b"POST":
        lines.append(
            b"Content-Length: %d\r\n" % message.body_bytes
            if message.streamed_body is None
            else message.streamed_body.framing_line()
        )
    if b"content-type" in headers:
        lines.append(b"Content-Type: %b\r\n" % headers[b"content-type"])
    return b"".join(lines)
