"""Input of one connection that was read, but waits to be parsed: behind queued requests, or for its turn."""

from __future__ import annotations

from collections import deque
from typing import Final, NamedTuple

from hillmux.net.memory_budget import MemoryBudget

MAX_CONNECTION_BYTES: Final = 1024 * 1024  # memory for unparsed input per connection; beyond, reading pauses
PIECE_OVERHEAD_BYTES: Final = 160  # memory of a piece besides its bytes: three objects and a queue slot
MAX_TOTAL_BYTES: Final = 4 * 1024 * 1024  # the same for all connections of a listener together
BUDGET_DIVISOR: Final = 4  # all connections together may use this part of the memory budget


class UnparsedTotal:
    """The memory for unparsed input over all connections of a listener, in bytes."""

    def __init__(self, memory: MemoryBudget) -> None:
        self.memory = memory
        self.size = 0

    def over_limit(self) -> bool:
        """Whether the connections together hold more than their limit."""
        return self.size > min(MAX_TOTAL_BYTES, self.memory.limit // BUDGET_DIVISOR)

    def add(self, size: int) -> None:
        """Add bytes, or remove them if negative."""
        self.size += size
        if size > 0:
            self.memory.charge(size)
        else:
            self.memory.release(-size)


class UnparsedPiece(NamedTuple):
    """A piece of input and when it was read, by `time.monotonic`."""

    data: bytes
    read_at: float


class UnparsedInput:
    """The unparsed input of one connection: the pieces as read, and the memory that they take, in bytes."""

    def __init__(self, total: UnparsedTotal) -> None:
        self._total = total
        self._pieces: deque[UnparsedPiece] = deque()
        self.size = 0

    def append(self, data: bytes, read_at: float) -> None:
        """Append a piece, which must not be empty; `read_at` is by `time.monotonic`."""
        self._pieces.append(UnparsedPiece(data, read_at))
        self._add(len(data) + PIECE_OVERHEAD_BYTES)

    def appendleft(self, data: bytes, read_at: float) -> None:
        """Put back the rest of the oldest piece, which must not be empty."""
        self._pieces.appendleft(UnparsedPiece(data, read_at))
        self._add(len(data) + PIECE_OVERHEAD_BYTES)

    def popleft(self) -> UnparsedPiece:
        """Remove and return the oldest piece."""
        piece = self._pieces.popleft()
        self._add(-len(piece.data) - PIECE_OVERHEAD_BYTES)
        return piece

    def clear(self) -> None:
        """Remove all pieces."""
        self._pieces.clear()
        self._add(-self.size)

    def over_limit(self) -> bool:
        """Whether reading must pause, because of the limit for this connection or for the whole listener."""
        return self.size > MAX_CONNECTION_BYTES or (self.size > 0 and self.total_over_limit())

    def total_over_limit(self) -> bool:
        """Whether the connections of the listener together hold more than their limit."""
        return self._total.over_limit()

    def _add(self, size: int) -> None:
        self.size += size
        self._total.add(size)
