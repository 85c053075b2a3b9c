"""The client request ids that are in use: hosts tell requests apart by them alone.

An id is in use while its request is open. If the client of a request that may have run leaves without an
answer, the id stays in use for a while: the same id again would run the request a second time.
"""

from __future__ import annotations

import time
from collections.abc import Iterable
from typing import Final

MAX_ABANDONED: Final = 1024  # bounds the memory used under a flood of clients that leave


class RequestIds:
    """The ids of open requests, and of those that were abandoned by their clients."""

    def __init__(self) -> None:
        self._open: set[bytes] = set()
        self._abandoned: dict[bytes, float] = {}  # until when each is in use, by time.monotonic

    def in_use(self, request_id: bytes) -> bool:
        """Whether a request with this id may not begin."""
        if request_id in self._open:
            return True
        return bool(self._abandoned) and self._abandoned.get(request_id, 0.0) > time.monotonic()

    def open(self, request_id: bytes) -> None:
        """Record that a request has begun."""
        self._open.add(request_id)

    def close(self, request_id: bytes) -> None:
        """Record that a request has ended."""
        self._open.discard(request_id)

    def abandon(self, request_ids: Iterable[bytes], duration_s: float) -> None:
        """Keep ids in use for a time, although no request with them is open here."""
        now = time.monotonic()
        for request_id in request_ids:
            self._abandoned.pop(request_id, None)
            self._abandoned[request_id] = now + duration_s
        for request_id, until in list(self._abandoned.items()):
            if until > now and len(self._abandoned) <= MAX_ABANDONED:
                break
            del self._abandoned[request_id]

    def all(self) -> list[bytes]:
        """The ids that are in use, the open ones last."""
        now = time.monotonic()
        return [*(i for i, until in self._abandoned.items() if until > now), *self._open]
