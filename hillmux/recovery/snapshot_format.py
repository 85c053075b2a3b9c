"""The snapshot file: the decision module's state, its owner and time, and whether it is exact.

    HMSNAP1 <digest of the header> <header as JSON>
    <a document as JSON>
    ...

The header holds the digest and the size of all documents. A file is rejected entirely if it is truncated or
corrupt, was written by another version, gateway or fleet, was copied from another directory, or is dated in
the future. Free of I/O. JSON by orjson, digests by BLAKE2b (RFC 7693).
"""

from __future__ import annotations

import math
from dataclasses import asdict, dataclass, fields, replace
from hashlib import blake2b
from typing import Any

import orjson

MAGIC = b"HMSNAP1"
DIGEST_BYTES = 16
MAX_DOCUMENT_BYTES = 16 << 20  # size of all documents of a snapshot; customers beyond it are omitted
MAX_HEADER_BYTES = 4096
MAX_RESTORES = 3  # restores without a snapshot written since; more suggest that it makes the process crash
MAX_CLOCK_SKEW_MS = 2_000.0  # how far the clock of the process that wrote a snapshot may be ahead


class SnapshotError(ValueError):
    """A snapshot that must not be restored; the text gives the reason."""


@dataclass(slots=True, frozen=True)
class Identity:
    """The owner of a snapshot: only a process of the same identity may restore it.

    Its field names are keys of the stored header.
    """

    name: str  # name of the gateway
    fleet: str  # name of the tier, as configured
    plans: str  # digest of the plans, to which counts and ceilings belong
    folder: str  # identity of the directory; a copy of the directory has a different one


@dataclass(slots=True, frozen=True)
class SnapshotHeader:
    """The first line of a snapshot: its owner, time and origin."""

    owner: Identity
    incarnation: str  # identifies the process that wrote it
    serial: int  # number of the snapshot within that process, from 1
    taken_ms: float  # Unix time in ms
    exact: bool  # whether no decision was taken after it
    restores: int = 0  # number of starts that have restored it so far

    def to_json(self, documents: bytes) -> bytes:
        """The header as JSON under its stored keys, with the size and digest of the documents."""
        return orjson.dumps(
            {
                "who": asdict(self.owner),
                "incarnation": self.incarnation,
                "serial": self.serial,
                "taken_ms": self.taken_ms,
                "exact": self.exact,
                **({"restores": self.restores} if self.restores else {}),
                "size": len(documents),
                "digest": digest(documents),
            }
        )


@dataclass(slots=True, frozen=True)
class Snapshot:
    """A decoded snapshot."""

    header: SnapshotHeader
    documents: list[dict[str, Any]]


def digest(data: bytes) -> str:
    """The BLAKE2b digest in hexadecimal."""
    return blake2b(data, digest_size=DIGEST_BYTES).hexdigest()


class SnapshotBuilder:
    """Collects the documents of a snapshot up to a size limit.

    Attributes:
        omitted_documents: The number of documents that did not fit.
    """

    def __init__(self, max_bytes: int = MAX_DOCUMENT_BYTES) -> None:
        self._max_bytes, self._size = max_bytes, 0
        self._lines: list[bytes] = []
        self.omitted_documents = 0

    def add(self, document: dict[str, Any]) -> None:
        """Add a document if it fits, otherwise count it as omitted."""
        line = orjson.dumps(document) + b"\n"
        if self._size + len(line) > self._max_bytes:
            self.omitted_documents += 1
            return
        self._lines.append(line)
        self._size += len(line)

    def encode(self, header: SnapshotHeader) -> bytes:
        """Return the contents of the snapshot file."""
        return _encode(header, b"".join(self._lines))


def _encode(header: SnapshotHeader, documents: bytes) -> bytes:
    encoded_header = header.to_json(documents)
    return b"%b %b %b\n%b" % (MAGIC, digest(encoded_header).encode(), encoded_header, documents)


def mark_restored(data: bytes, header: SnapshotHeader) -> bytes:
    """Return a snapshot's bytes with one more restore counted; it is no longer exact."""
    documents = data.partition(b"\n")[2]
    return _encode(replace(header, exact=False, restores=header.restores + 1), documents)


def decode(data: bytes) -> Snapshot:
    """Decode the contents of a snapshot file. `check_usable` checks the owner and the time.

    Raises:
        SnapshotError: The bytes are not a snapshot, or are corrupt.
    """
    first_line, newline, body = data.partition(b"\n")
    magic, _, rest = first_line.partition(b" ")
    if magic != MAGIC:
        raise SnapshotError(f"version: found {magic[:16]!r}, expected {MAGIC.decode()}")
    header_digest, _, header_json = rest.partition(b" ")
    if not newline or len(first_line) > MAX_HEADER_BYTES or header_digest != digest(header_json).encode():
        raise SnapshotError("header: corrupt or truncated")
    raw_header = orjson.loads(header_json)
    header = _parse_header(raw_header)
    if len(body) != raw_header.get("size"):
        raise SnapshotError(f"size: found {len(body)} bytes of documents, expected {raw_header.get('size')}")
    if digest(body) != raw_header.get("digest"):
        raise SnapshotError("digest: the documents are damaged")
    documents = [orjson.loads(line) for line in body.splitlines()]
    if not all(isinstance(document, dict) for document in documents):
        raise SnapshotError("documents: found a line that is not a JSON object")
    return Snapshot(header, documents)


def check_usable(header: SnapshotHeader, identity: Identity, now_ms: float) -> None:
    """Check that a process of this identity may restore the snapshot now.

    Raises:
        SnapshotError: It has another owner, lies in the future, or was restored by MAX_RESTORES starts.
    """
    for field in fields(Identity):
        found, expected = getattr(header.owner, field.name), getattr(identity, field.name)
        if found != expected:
            raise SnapshotError(f"{field.name}: found {found!r}, expected {expected!r}")
    if header.taken_ms > now_ms + MAX_CLOCK_SKEW_MS:
        raise SnapshotError(f"taken_ms: found {header.taken_ms - now_ms:.0f} ms from now, expected the past")
    if header.restores >= MAX_RESTORES:
        raise SnapshotError(f"restores: found {header.restores}, expected fewer than {MAX_RESTORES}")


def _parse_header(raw: dict[str, Any]) -> SnapshotHeader:
    owner, taken_ms = raw.get("who"), raw.get("taken_ms")
    if not isinstance(owner, dict) or set(owner) != {f.name for f in fields(Identity)}:
        raise SnapshotError("who: expected name, fleet, plans and folder")
    if isinstance(taken_ms, bool) or not isinstance(taken_ms, int | float) or not math.isfinite(taken_ms):
        raise SnapshotError(f"taken_ms: found {taken_ms!r}, expected a finite Unix time in ms")
    if not isinstance(raw.get("exact"), bool) or not isinstance(raw.get("serial"), int):
        raise SnapshotError("exact, serial: expected a boolean and an integer")
    restores = raw.get("restores", 0)  # the first files have no such key
    if isinstance(restores, bool) or not isinstance(restores, int) or restores < 0:
        raise SnapshotError(f"restores: found {restores!r}, expected an integer of 0 or more")
    identity = Identity(**{name: str(value) for name, value in owner.items()})
    incarnation = str(raw.get("incarnation", ""))
    return SnapshotHeader(identity, incarnation, raw["serial"], float(taken_ms), raw["exact"], restores)
