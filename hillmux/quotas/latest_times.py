"""A sketch of times by key, in a fixed amount of memory.

A count-min sketch (Cormode and Muthukrishnan, 2005) with two rows, which keeps the latest time where the
original adds. The customer registry keeps in it the times of ceilings that it had to forget.
"""

from __future__ import annotations

from array import array
from typing import Final

SLOT_COUNT: Final = 65536
FLOAT_BYTES: Final = 8


class LatestTimes:
    """Gives for each key a time that is never earlier than the latest one that was put under it.

    A key that shares both its slots with others may be given the later time of theirs.
    """

    def __init__(self) -> None:
        self.slots: array[float] | None = None  # half a megabyte, None until there is anything to keep

    def put(self, digest: bytes, time: float) -> None:
        """Keep a time, in any unit, under a key of 8 evenly spread bytes."""
        slots = self.slots
        if slots is None:
            slots = self.slots = array("d", bytes(FLOAT_BYTES * SLOT_COUNT))
        for index in _slot_indices(digest):
            slots[index] = max(slots[index], time)

    def get(self, digest: bytes) -> float:
        """The time kept under a key, 0 where there is none."""
        if self.slots is None:
            return 0.0
        return min(self.slots[index] for index in _slot_indices(digest))


def _slot_indices(digest: bytes) -> tuple[int, int]:
    first, second = int.from_bytes(digest[:4], "big"), int.from_bytes(digest[4:], "big")
    return first % SLOT_COUNT, second % SLOT_COUNT
