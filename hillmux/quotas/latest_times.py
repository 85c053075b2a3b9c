"""A sketch that keeps times by key in a fixed amount of memory.

A count-min sketch (Cormode and Muthukrishnan, 2005) with two hash functions, which keeps the latest time in
each slot instead of a sum. The customer registry keeps in it the times of evicted customers' ceilings.
"""

from __future__ import annotations

from array import array
from typing import Final

SLOT_COUNT: Final = 65536
FLOAT_BYTES: Final = 8


class LatestTimes:
    """Maps each key to a time that is never earlier than the latest one that was put under it.

    The time is later than that only if both slots of the key are shared with keys of later times.
    """

    def __init__(self) -> None:
        self.slots: array[float] | None = None  # half a megabyte; None until the first `put`

    def put(self, digest: bytes, time: float) -> None:
        """Keep a time, in any unit, under a key: a hash of 8 bytes."""
        slots = self.slots
        if slots is None:
            slots = self.slots = array("d", bytes(FLOAT_BYTES * SLOT_COUNT))
        for index in _slot_indices(digest):
            slots[index] = max(slots[index], time)

    def get(self, digest: bytes) -> float:
        """Return the time kept under a key, or 0 if there is none."""
        if self.slots is None:
            return 0.0
        return min(self.slots[index] for index in _slot_indices(digest))


def _slot_indices(digest: bytes) -> tuple[int, int]:
    first, second = int.from_bytes(digest[:4], "big"), int.from_bytes(digest[4:], "big")
    return first % SLOT_COUNT, second % SLOT_COUNT
