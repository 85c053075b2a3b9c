"""A sketch of times by key, in a fixed amount of memory.

A count-min sketch (Cormode and Muthukrishnan, 2005) with two rows, which keeps the latest time where the
original adds. Free of I/O; the decision module keeps in it since when a store fills that it had to forget.
"""

from __future__ import annotations

from array import array

SLOTS = 65536


class LatestTimes:
    """Tells for each key a time that is never earlier than the latest one that was put for it.

    Hurts: a key that shares both its slots with others is told the later time of theirs.
    """

    def __init__(self) -> None:
        self.times: array[float] | None = None  # half a megabyte, once there is anything to keep

    def put(self, digest: bytes, at: float) -> None:
        """Keep a time, in any unit, under a key of 8 bytes that are spread evenly."""
        times = self.times
        if times is None:
            times = self.times = array("d", bytes(8 * SLOTS))
        for i in _slots(digest):
            times[i] = max(times[i], at)

    def at(self, digest: bytes) -> float:
        """The time kept for a key, 0 where there is none."""
        if self.times is None:
            return 0.0
        return min(self.times[i] for i in _slots(digest))


def _slots(digest: bytes) -> tuple[int, int]:
    return int.from_bytes(digest[:4], "big") % SLOTS, int.from_bytes(digest[4:], "big") % SLOTS
