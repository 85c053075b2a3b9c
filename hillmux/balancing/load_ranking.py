"""Ready hosts ranked by load, so that the least loaded are found without examining all of them.

A rank spans a sixth of a doubling of load and holds an unordered list of hosts. An integer has one bit per
rank, set if the rank holds a host, so the lowest occupied rank is found in one step; a request that starts or
ends moves one host to a nearby rank.
"""

from __future__ import annotations

from math import log2
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from hillmux.balancing.host import Host

RANKS_PER_DOUBLING: Final = 6  # number of ranks per doubling of the load
RANKS: Final = 512  # number of ranks
RANK_OF_UNIT_LOAD: Final = 256  # rank of a host whose load is 1
RANK_TABLE_SIZE: Final = 1024  # number of entries of RANKS_FOR_REQUESTS
# The lower bound of the load in each rank.
MIN_LOAD_OF_RANK = [0.0, *(2.0 ** ((r - RANK_OF_UNIT_LOAD) / RANKS_PER_DOUBLING) for r in range(1, RANKS))]


def ranks_for_requests(count: int) -> float:
    """The number of ranks that `count` open requests add to the rank of an idle host."""
    return RANKS_PER_DOUBLING * log2(count + 1)


RANKS_FOR_REQUESTS = [ranks_for_requests(count) for count in range(RANK_TABLE_SIZE)]


class RankedHosts:
    """Hosts by rank, without order within a rank."""

    __slots__ = ("by_rank", "occupied_ranks")

    def __init__(self) -> None:
        self.by_rank: dict[int, list[Host]] = {}
        self.occupied_ranks = 0  # bit r is set if rank r holds a host

    def add(self, host: Host, rank: int) -> None:
        """Add a host that has no rank; `rank` is limited to the range of ranks."""
        hosts = self.by_rank.get(rank)
        if hosts is None:
            rank = min(max(rank, 0), RANKS - 1)
            hosts = self.by_rank.setdefault(rank, [])
        if not hosts:
            self.occupied_ranks |= 1 << rank
        host.rank, host.rank_index = rank, len(hosts)
        hosts.append(host)

    def remove(self, host: Host) -> None:
        """Remove a host from its rank; `host.rank` keeps its value, which the caller must replace."""
        hosts = self.by_rank[host.rank]
        last = hosts.pop()
        if last is not host:
            hosts[host.rank_index] = last
            last.rank_index = host.rank_index
        if not hosts:
            self.occupied_ranks ^= 1 << host.rank
