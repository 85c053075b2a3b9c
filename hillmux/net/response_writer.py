"""Encodes buffered responses to clients."""

from __future__ import annotations

from typing import Final

from hillmux.net.response import BODILESS_STATUSES

REASON_PHRASES: Final = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    408: b"Request Timeout",
    405: b"Method Not Allowed",
    409: b"Conflict",
    410: b"Gone",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
STATUS_LINES: Final = {
    status: b"HTTP/1.1 %d %b\r\n" % (status, reason) for status, reason in REASON_PHRASES.items()
}


def encode_response(
    status: int, body: bytes, content_type: bytes, extra_header_lines: bytes, keep_alive: bool
) -> bytes:
    """Encode a complete response.

    Args:
        status: The response's status.
        body: The response's body.
        content_type: The value of Content-Type; no such header if empty.
        extra_header_lines: Complete header lines, each with its line end.
        keep_alive: Whether the connection stays open; otherwise `Connection: close` is added.
    """
    parts = [STATUS_LINES.get(status) or b"HTTP/1.1 %d \r\n" % status]
    if status not in BODILESS_STATUSES:
        parts.append(b"Content-Length: %d\r\n" % len(body))
    if content_type:
        parts.append(b"Content-Type: %b\r\n" % content_type)
    if extra_header_lines:
        parts.append(extra_header_lines)
    parts.append(b"\r\n" if keep_alive else b"Connection: close\r\n\r\n")
    parts.append(body)
    return b"".join(parts)
