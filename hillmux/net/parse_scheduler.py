"""Shares the event loop's turns between connections whose input is expensive to parse.

The cost of parsing follows the pieces that the parser reports (header fields, chunks), not the bytes: a read
of 256 KB may hold 40,000 chunks. A connection that has parsed MAX_PIECES_PER_READ of a read stops
after the current slice. The rest is deferred, with reading paused: the connections that wait are served
round robin in the following turns of the event loop, up to MAX_PIECES_PER_TURN together, and input of other
connections is read in between.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Final, Protocol
from weakref import WeakKeyDictionary

PARSE_SLICE_BYTES: Final = 32 * 1024  # input passed to a parser at a time; longer input is parsed in slices
MAX_PIECES_PER_READ: Final = 1024  # pieces parsed at once per connection; many pipelined requests have fewer
MAX_PIECES_PER_TURN: Final = 8192  # pieces parsed per turn of the loop for all connections that wait


class DeferringConnection(Protocol):
    """A connection that has deferred input to a later turn of the event loop."""

    def parse_deferred(self) -> int:
        """Parse some of the deferred input; return the number of pieces."""


class ParseScheduler:
    """The connections of one event loop that wait to parse their input, in the order of their turns."""

    def __init__(self) -> None:
        self._waiting: deque[DeferringConnection] = deque()
        self._scheduled = False
        self.deferrals = 0  # how often input was left to a later turn

    def add(self, connection: DeferringConnection) -> None:
        """Call the connection's `parse_deferred` once, in a later turn of the event loop."""
        self.deferrals += 1
        self._waiting.append(connection)
        if not self._scheduled:
            self._schedule()

    def _schedule(self) -> None:
        self._scheduled = True
        asyncio.get_running_loop().call_soon(self._run_turn)

    def _run_turn(self) -> None:
        remaining_pieces = MAX_PIECES_PER_TURN
        try:
            for _ in range(len(self._waiting)):  # each connection at most once per turn
                remaining_pieces -= self._waiting.popleft().parse_deferred()
                if remaining_pieces <= 0:
                    break
        finally:  # an exception goes to the loop's handler; the other connections still get their turns
            self._scheduled = False
            if self._waiting:
                self._schedule()


_schedulers: WeakKeyDictionary[asyncio.AbstractEventLoop, ParseScheduler] = WeakKeyDictionary()


def running_loop_scheduler() -> ParseScheduler:
    """The scheduler of the running event loop, shared by all its connections."""
    loop = asyncio.get_running_loop()
    scheduler = _schedulers.get(loop)
    if scheduler is None:
        scheduler = _schedulers[loop] = ParseScheduler()
    return scheduler
