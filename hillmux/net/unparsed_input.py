"""Input that a client has sent behind requests that still wait, read but not yet parsed."""

from __future__ import annotations

from collections import deque
from typing import Final

MAX_CONNECTION_BYTES: Final = 1024 * 1024
MAX_TOTAL_BYTES: Final = 4 * 1024 * 1024


class UnparsedTotal:
    """The bytes of all connections of a listener together."""

    def __init__(self) -> None:
        self.size = 0


class UnparsedInput:
    """The pieces of one connection as they arrived, and their size in bytes."""

    def __init__(self, total: UnparsedTotal) -> None:
        self._total = total
        self._pieces: deque[bytes] = deque()
        self.size = 0

    def append(self, data: bytes) -> None:
        """Add a piece; it is not empty."""
        self._pieces.append(data)
        self._add(len(data))

    def popleft(self) -> bytes:
        """Remove the oldest piece."""
        data = self._pieces.popleft()
        self._add(-len(data))
        return data

    def clear(self) -> None:
        """Remove all pieces."""
        self._pieces.clear()
        self._add(-self.size)

    def over_limit(self) -> bool:
        """Whether no more may be read: this connection holds too much, or all of them together do."""
        return self.size > MAX_CONNECTION_BYTES or (self.size > 0 and self._total.size > MAX_TOTAL_BYTES)

    def _add(self, size: int) -> None:
        self.size += size
        self._total.size += size
