"""Validates the framing and headers of a client's request and converts it to a `ForwardRequest`; no I/O."""

from __future__ import annotations

import re
from functools import lru_cache
from typing import Any, Final, NamedTuple

from hillmux import interface as api
from hillmux.interface import Idempotency
from hillmux.net.body_buffer import Body, to_bytes
from hillmux.net.forward_request import ForwardRequest
from hillmux.net.http1 import MAX_BUFFERED_BODY_BYTES
from hillmux.net.memory_budget import Reservation

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
CUSTOMER_KEY: Final = re.compile(rb"0{7}[01][0-9a-fA-F]{8}")  # 33 bits in hexadecimal
DEADLINE_VALUE: Final = re.compile(rb"([0-9]{1,12}(?:\.[0-9]{1,6})?)([mu])")
UNITS_VALUE: Final = re.compile(r"[0-9]{1,9}(?:\.[0-9]{1,9})?")
MAX_CACHED_BYTES: Final = 128  # of a value of Quota-Info
INTEGER_VALUE: Final = re.compile(r"[0-9]{1,6}")


class BadRequestError(ValueError):
    """A request is invalid and is rejected with `status`."""

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status


class RejectedRequest:
    """Queued in place of a request that could not be parsed, so that its error response is sent in order."""

    __slots__ = ("status",)

    def __init__(self, status: int) -> None:
        self.status = status


class ShedRequest(RejectedRequest):
    """Queued in place of a complete request that there is no memory for; the connection may stay open."""

    __slots__ = ("keep_alive",)

    def __init__(self, keep_alive: bool) -> None:
        super().__init__(503)
        self.keep_alive = keep_alive


class RequestMessage:
    """One parsed request. Times are the event loop's, except `read_at`, which is by `time.monotonic`."""

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
        "reservation",
        "unread_s",
        "delivered_bytes",
        "unfinished_bytes",
        "silent_bytes",
    )

    def __init__(self) -> None:
        self.url = b""
        self.headers: dict[bytes, bytes] = {}
        self.body: Body = b""
        self.body_bytes = 0
        self.method = b""
        self.keep_alive = True
        self.head_bytes = 0  # total length of the header names and values
        self.has_duplicate_header = False  # one of the stored headers occurred more than once
        self.read_at = 0.0  # time.monotonic when it was complete, or when its body began to be streamed
        self.body_started_at = 0.0  # start of the body's time-outs; 0 until the first check after the head
        self.last_data_at = 0.0  # time of the last body data; 0 before any
        self.streamed_body: Any = None  # a `StreamedBody`, if the body is streamed
        self.reservation: Reservation | None = None  # memory of a message that is not small
        self.unread_s = 0.0  # time for which its input was not read; the client may have sent all before
        self.delivered_bytes = 0  # of target, head and body, up to the end of the latest slice of input
        # Bound on what the parser holds of an element that has not ended, such as a field
        self.unfinished_bytes = 0
        self.silent_bytes = 0  # input since the latest slice in which an element ended
        self.is_http_1_0 = False  # set only by connections of the multi-tenant listener


class QuotaInfo(NamedTuple):
    """The parsed header Quota-Info."""

    units: float
    replicas: int  # gateways over which this customer's requests are spread
    first_replica: int


class RequestRules:
    """The values accepted in request headers: classes and plans by header value, and limits of Quota-Info."""

    def __init__(self, settings: api.Settings) -> None:
        self.classes = {c.name.encode(): c for c in settings.classes}
        self.plans = {p.name.encode(): p.name for p in settings.plans}
        self._max_units, self._fleet_size = settings.max_request_units, settings.fleet_size
        # For values of up to MAX_CACHED_BYTES; the traffic has few distinct ones
        self.quota_info = lru_cache(maxsize=1024)(self.parse_quota_info)

    def parse_quota_info(self, value: bytes) -> QuotaInfo:
        """Parse a value such as `units=2,spread=3,first=1`.

        Raises:
            BadRequestError: The value is malformed, or a number is out of range and would distort a quota for
                a long time.
        """
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
        return QuotaInfo(float(units), int(spread), int(first))


def read_quota_info(value: bytes, rules: RequestRules) -> QuotaInfo:
    """Parse the header Quota-Info; a long value is not cached.

    Raises:
        BadRequestError: The value is malformed, or a number is out of range.
    """
    return rules.quota_info(value) if len(value) <= MAX_CACHED_BYTES else rules.parse_quota_info(value)


def parse_request(message: RequestMessage, rules: RequestRules) -> ForwardRequest:
    """Convert a request below `/api/` to a `ForwardRequest`; its deadline is capped by its class's.

    Raises:
        BadRequestError: A header, the path, the method or the body is missing or invalid.
    """
    headers = message.headers
    path, _, _ = message.url.partition(b"?")
    customer = path.rpartition(b"/")[2]
    if not CUSTOMER_KEY.fullmatch(customer):
        raise BadRequestError("path: expected a customer key of 33 bits in 16 hexadecimal digits")
    request_class = rules.classes.get(headers.get(b"x-class", b""))
    plan = rules.plans.get(headers.get(b"plan", b""))
    if request_class is None or plan is None:
        raise BadRequestError("class or plan: not in the settings")
    deadline = DEADLINE_VALUE.fullmatch(headers.get(b"x-deadline", b""))
    if deadline is None:
        raise BadRequestError("X-Deadline: expected a number and m or u, as in 480m")
    time_left_ms = float(deadline[1]) / (1 if deadline[2] == b"m" else 1000)
    quota_info = read_quota_info(headers.get(b"quota-info", b""), rules)
    return ForwardRequest(
        headers.get(b"x-request-id", b""),
        request_class.name,
        plan,
        customer.decode().lower(),
        min(time_left_ms, request_class.deadline_ms),
        quota_info.units,
        quota_info.replicas,
        quota_info.first_replica,
        headers.get(b"x-retry") == b"1",
        message.read_at,
        _encode_head(message, request_class),
        to_bytes(message.body),
        streamed_body=message.streamed_body,
        reservation=message.reservation,
    )


def check_framing(message: RequestMessage, max_body_bytes: int = MAX_BUFFERED_BODY_BYTES) -> None:
    """Check that the head frames the body unambiguously and within `max_body_bytes`.

    Ambiguous framing would allow request smuggling.

    Raises:
        BadRequestError: The framing is ambiguous (400), or the body too long (413).
    """
    length = message.headers.get(b"content-length")
    coding = message.headers.get(b"transfer-encoding")
    if message.has_duplicate_header:
        raise BadRequestError("a header came twice")
    if coding is not None and (length is not None or coding.strip().lower() != b"chunked"):
        raise BadRequestError("Transfer-Encoding")
    if length is not None and not length.isdigit():
        raise BadRequestError("Content-Length")
    if length is not None and int(length) > max_body_bytes:
        raise BadRequestError("Content-Length", 413)


def _encode_head(message: RequestMessage, request_class: api.RequestClass) -> bytes:
    """Build the head sent to the host; method, path, query, request id and idempotency key are unchanged.

    The method must match the class: a request that is not idempotent must not arrive as an idempotent one.

    Raises:
        BadRequestError: The request id, the method, the idempotency key or the body does not fit the class.
    """
    headers, key = message.headers, message.headers.get(b"idempotency-key")
    request_id = headers.get(b"x-request-id", b"")
    if not VISIBLE_TOKEN.fullmatch(request_id) or (key is not None and not VISIBLE_TOKEN.fullmatch(key)):
        raise BadRequestError("X-Request-Id or Idempotency-Key: expected 1 to 128 visible ASCII characters")
    if message.method != (b"GET" if request_class.idempotency == Idempotency.IDEMPOTENT else b"POST"):
        raise BadRequestError("method: expected GET for idempotent classes, POST for others")
    if (request_class.idempotency == Idempotency.KEYED and key is None) or (
        request_class.idempotency == Idempotency.IDEMPOTENT and message.body_bytes
    ):
        raise BadRequestError("Idempotency-Key missing in a keyed class, or body in an idempotent one")
    lines = [
        b"%b %b HTTP/1.1\r\nHost: upstream\r\nX-Request-Id: %b\r\n"
        % (message.method, message.url, request_id)
    ]
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
