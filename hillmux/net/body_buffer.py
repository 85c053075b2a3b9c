"""Collects the pieces of a message body in one buffer.

A sender chooses the number of pieces: a chunk may hold a single byte (RFC 9112 section 7.1). With an object
for each piece, the memory held for a body would be many times its length.
"""

from __future__ import annotations

Body = bytes | bytearray  # `bytes` until there is a second piece, so that a body of one piece is not copied


def append_piece(body: Body, piece: bytes) -> Body:
    """Return the body with a piece appended; a `bytearray` is extended in place."""
    if not body:
        return piece
    if not isinstance(body, bytearray):
        body = bytearray(body)
    body += piece
    return body


def to_bytes(body: Body) -> bytes:
    """Return the body as `bytes`; a body of one piece is not copied."""
    if isinstance(body, bytearray):
        return bytes(body)
    return body
