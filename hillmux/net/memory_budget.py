"""The memory that the process may keep for its peers, and the reservations made from it.

The budget is what the configuration allows the process, less what it holds at its start, less a share for
the decision module's customers and a reserve for the allocator. All that is kept for a client or a host is
charged to it with the cost of its objects: connections, incomplete and queued requests, unparsed input,
bodies and responses. What is charged is more than what is kept where a copy may be made, such as the one in a
transport's write buffer.

Small messages are covered by the charge of their connection, so that most requests need no reservation.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

KIB: Final = 1024
MIB: Final = 1024 * 1024

CLIENT_CONNECTION_BYTES: Final = 6 * KIB  # with its parser, transport and one small open request
HOST_CONNECTION_BYTES: Final = 4 * KIB
MESSAGE_BYTES: Final = 2 * KIB  # a parsed request that waits behind another one
UNRESERVED_MESSAGE_BYTES: Final = 1 * KIB  # a message of up to this size needs no reservation
UNRESERVED_RESPONSE_BYTES: Final = 4 * KIB  # the same for the unsent rest of a response to a client
COPIES: Final = 2  # of a body: the one kept for a retry, and the one in a transport's write buffer
CUSTOMER_BYTES: Final = 1 * KIB
FORGOTTEN_CEILINGS_BYTES: Final = 512 * KIB  # hillmux/quotas/latest_times.py
MIN_CUSTOMERS: Final = 256

# Kept back from what the process may still take after its start, for what its first requests touch.
RESERVE_BYTES: Final = 256 * KIB
PEER_SHARE: Final = 0.65  # of the rest
CUSTOMER_SHARE: Final = 0.2  # what remains is left to fragmentation and to objects of a moment
MIN_PEER_BYTES: Final = 256 * KIB  # keeps a process serving whose limit leaves it nothing
CONNECTION_SHARE: Final = 0.5  # of the budget, for the connections of clients; the same for those to hosts
# Up to this use large messages are taken, and input of waiting requests is read. The rest is left to small
# requests, which are answered whatever other clients make the process keep.
RESERVABLE_SHARE: Final = 0.75
SHED_SHARE: Final = 0.97  # of the budget in use, from which new requests are rejected

SHED_RETRY_AFTER_MS: Final = 500.0  # Retry-After of requests that there is no memory for

MIN_WINDOW_BYTES: Final = 2 * KIB
MAX_WINDOW_BYTES: Final = 64 * KIB
# Two windows for each connection to a host (36% of the descriptors) stay below half of the budget.
WINDOWS_PER_DESCRIPTOR: Final = 1.5
UNLIMITED_BYTES: Final = 1 << 60
DEFAULT_DESCRIPTORS: Final = 1024


@dataclass(slots=True, frozen=True)
class MemoryPlan:
    """How the memory that the process may still take is divided, in bytes."""

    peer_bytes: int
    max_customers: int


def plan_memory(limit_bytes: int, resident_bytes: int) -> MemoryPlan:
    """Divide the memory between peers and customers.

    Args:
        limit_bytes: what the configuration allows the process.
        resident_bytes: what the process holds before it serves.
    """
    left = max(limit_bytes - resident_bytes - RESERVE_BYTES, 0)
    customer_bytes = int(CUSTOMER_SHARE * left) - FORGOTTEN_CEILINGS_BYTES
    return MemoryPlan(
        max(int(PEER_SHARE * left), MIN_PEER_BYTES), max(customer_bytes // CUSTOMER_BYTES, MIN_CUSTOMERS)
    )


def _ignore() -> None:
    """Do nothing."""


class MemoryBudget:
    """Counts the bytes that are kept for peers.

    Attributes:
        limit: bytes that may be kept.
        used: bytes that are kept now.
        peak: the largest use since the start.
        window: bytes that are read at once from a connection, and that may wait for a slow receiver.
        read_buffer: the buffer that all connections of the event loop are read into.
        small_read_buffer: the part of it that connections without a reservation are read into under pressure.
        shed_above: the use above which new requests are rejected.
        rejections: requests and connections that were rejected or closed because of memory.
        check_above: the use above which `on_growth` is called; that is to set the next one.
        on_growth: called when the use has passed `check_above`.
    """

    __slots__ = (
        "limit",
        "used",
        "peak",
        "window",
        "read_buffer",
        "small_read_buffer",
        "check_above",
        "on_growth",
        "rejections",
        "reservable",
        "shed_above",
    )

    def __init__(self, limit: int = UNLIMITED_BYTES, descriptors: int = DEFAULT_DESCRIPTORS) -> None:
        self.used = self.peak = self.rejections = 0
        self.window = min(
            max(int(limit / (WINDOWS_PER_DESCRIPTOR * descriptors)), MIN_WINDOW_BYTES), MAX_WINDOW_BYTES
        )
        self.read_buffer = memoryview(bytearray(self.window))
        self.small_read_buffer = self.read_buffer[:UNRESERVED_MESSAGE_BYTES]
        self.check_above = UNLIMITED_BYTES
        self.on_growth: Callable[[], None] = _ignore
        self.set_limit(limit)

    def set_limit(self, limit: int) -> None:
        """Change the limit; the window stays."""
        self.limit = limit
        self.reservable = int(RESERVABLE_SHARE * limit)
        self.shed_above = int(SHED_SHARE * limit)

    def max_connections(self) -> int:
        """The number of client connections that there is memory for."""
        return int(CONNECTION_SHARE * self.limit) // CLIENT_CONNECTION_BYTES

    def max_host_connections(self) -> int:
        """The number of connections to hosts that there is memory for."""
        return int(CONNECTION_SHARE * self.limit) // HOST_CONNECTION_BYTES

    def has_room(self, size: int) -> bool:
        """Whether `size` bytes may be reserved."""
        return self.used + size <= self.reservable

    def buffer_for(self, reserved: bool) -> memoryview:
        """The buffer to read into; `reserved` if the memory for what is read is reserved already.

        Under pressure, what is read without a reservation is covered by the charge of its connection.
        """
        return self.read_buffer if reserved or self.used <= self.reservable else self.small_read_buffer

    def under_pressure(self) -> bool:
        """Whether input that can wait should not be read."""
        return self.used > self.reservable

    def charge(self, size: int) -> None:
        """Count bytes that are kept whether there is room or not."""
        self.used += size
        self.peak = max(self.peak, self.used)
        if self.used > self.check_above:
            self.check_above = UNLIMITED_BYTES
            self.on_growth()

    def release(self, size: int) -> None:
        """Stop counting bytes."""
        self.used -= size

    def reserve(self, size: int) -> Reservation | None:
        """Reserve bytes; None if there is no room."""
        return Reservation(self, size) if self.has_room(size) else None

    def force(self, size: int) -> Reservation:
        """Reserve bytes that are kept whether there is room or not."""
        return Reservation(self, size)


class Reservation:
    """Bytes that are kept for one message; they are released with the object, or before by `release`."""

    __slots__ = ("_budget", "size")

    def __init__(self, budget: MemoryBudget, size: int) -> None:
        self._budget, self.size = budget, size
        budget.charge(size)

    def grow(self, size: int) -> bool:
        """Grow to `size` bytes unless it is that large already; False if there is no room."""
        if size <= self.size:
            return True
        if not self._budget.has_room(size - self.size):
            return False
        self._budget.charge(size - self.size)
        self.size = size
        return True

    def shrink(self, size: int) -> None:
        """Release all but `size` bytes."""
        if size < self.size:
            self._budget.release(self.size - size)
            self.size = size

    def release(self) -> None:
        """Release all bytes."""
        self.shrink(0)

    def __del__(self) -> None:
        self.release()
