"""A snapshot as bytes: what a module knew, who it was, when, and whether anything was decided after it.

    HMSNAP1 <digest of the head> <head as JSON>
    <a document as JSON>
    ...

The head has the digest and the size of all documents. A file that was torn, cut, flipped, written by another
version, gateway or fleet, copied from elsewhere, or that is from the future is told as such, and nothing of
it is believed. Free of I/O. JSON by orjson, digests by BLAKE2b (RFC 7693).
"""

from __future__ import annotations

import math
from dataclasses import asdict, dataclass, fields
from hashlib import blake2b
from typing import Any

import orjson

MAGIC = b"HMSNAP1"
DIGEST = 16  # bytes
MOST_BYTES = 16 << 20  # of a snapshot; the customers that would go beyond it are left out
MOST_HEAD = 4096
AHEAD_MS = 2_000.0  # how far another clock's now may be ahead of ours


class SnapshotError(ValueError):
    """Bytes that no process may go on from; the text says what is wrong with them."""


@dataclass(slots=True, frozen=True)
class Identity:
    """Who may go on from a snapshot."""

    name: str  # of the gateway
    fleet: str  # of the tier, as the configuration names it
    plans: str  # digest of the plans that counts and ceilings are kept by
    folder: str  # the folder that it was written in, as the system knows it: a copy has another


@dataclass(slots=True, frozen=True)
class Head:
    """What stands above the documents."""

    who: Identity
    incarnation: str  # of the process that wrote it
    serial: int  # of its snapshots
    taken_ms: float  # Unix time
    exact: bool  # nothing was decided after it


@dataclass(slots=True, frozen=True)
class Snapshot:
    """A head and its documents."""

    head: Head
    documents: list[dict[str, Any]]


def digest(data: bytes) -> str:
    """BLAKE2b of bytes, in hex."""
    return blake2b(data, digest_size=DIGEST).hexdigest()


class Builder:
    """A snapshot that grows document by document, never over its bound; those that don't fit are left out."""

    def __init__(self, most: int = MOST_BYTES) -> None:
        self._most, self._size = most, 0
        self._lines: list[bytes] = []
        self.left_out = 0

    def add(self, document: dict[str, Any]) -> None:
        """One more document."""
        line = orjson.dumps(document) + b"\n"
        if self._size + len(line) > self._most:
            self.left_out += 1
            return
        self._lines.append(line)
        self._size += len(line)

    def data(self, head: Head) -> bytes:
        """All of it, as bytes."""
        body = b"".join(self._lines)
        told = orjson.dumps({**asdict(head), "size": len(body), "digest": digest(body)})
        return b"%b %b %b\n%b" % (MAGIC, digest(told).encode(), told, body)


def decode(data: bytes) -> Snapshot:
    """Bytes as a snapshot, whole.

    Raises:
        SnapshotError: they are none, or are damaged; `who` and `when` are judged by `check`.
    """
    line, newline, body = data.partition(b"\n")
    magic, _, rest = line.partition(b" ")
    if magic != MAGIC:
        raise SnapshotError(f"version: found {magic[:16]!r}, expected {MAGIC.decode()}")
    told, _, text = rest.partition(b" ")
    if not newline or len(line) > MOST_HEAD or told != digest(text).encode():
        raise SnapshotError("head: damaged, or cut")
    raw = orjson.loads(text)  # its digest is right: it is as it was written
    head = _head(raw)
    if len(body) != raw.get("size"):
        raise SnapshotError(f"size: found {len(body)} bytes of documents, expected {raw.get('size')}")
    if digest(body) != raw.get("digest"):
        raise SnapshotError("digest: the documents are damaged")
    documents = [orjson.loads(part) for part in body.splitlines()]
    if not all(isinstance(document, dict) for document in documents):
        raise SnapshotError("documents: found something that is no object")
    return Snapshot(head, documents)


def check(head: Head, me: Identity, now_ms: float) -> None:
    """Whether we may go on from it now; SnapshotError says why not."""
    for field in fields(Identity):
        found, expected = getattr(head.who, field.name), getattr(me, field.name)
        if found != expected:
            raise SnapshotError(f"{field.name}: found {found!r}, expected {expected!r}")
    if head.taken_ms > now_ms + AHEAD_MS:
        raise SnapshotError(f"taken_ms: found {head.taken_ms - now_ms:.0f} ms from now, expected the past")


def _head(raw: dict[str, Any]) -> Head:
    who, taken = raw.get("who"), raw.get("taken_ms")
    if not isinstance(who, dict) or set(who) != {f.name for f in fields(Identity)}:
        raise SnapshotError("who: expected name, fleet, plans and folder")
    if isinstance(taken, bool) or not isinstance(taken, int | float) or not math.isfinite(taken):
        raise SnapshotError(f"taken_ms: found {taken!r}, expected a moment")
    if not isinstance(raw.get("exact"), bool) or not isinstance(raw.get("serial"), int):
        raise SnapshotError("exact, serial: expected a truth value and a whole number")
    identity = Identity(**{name: str(value) for name, value in who.items()})
    return Head(identity, str(raw.get("incarnation", "")), raw["serial"], float(taken), raw["exact"])
