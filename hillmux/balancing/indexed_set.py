"""A set of hosts that can be sampled in constant time."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hillmux.balancing.host import Host


class IndexedSet:
    """An unordered set of hosts; adding and removing a host take constant time."""

    __slots__ = ("hosts", "_index")

    def __init__(self) -> None:
        self.hosts: list[Host] = []
        self._index: dict[Host, int] = {}  # index of each host in `hosts`

    def add(self, host: Host) -> None:
        """Add a host that is not in the set."""
        self._index[host] = len(self.hosts)
        self.hosts.append(host)

    def remove(self, host: Host) -> None:
        """Remove a host; the last one takes its index.

        Raises:
            KeyError: the host is not in the set.
        """
        index, last = self._index.pop(host), self.hosts.pop()
        if last is not host:
            self.hosts[index], self._index[last] = last, index

    def sample(self, limit: int, rng: random.Random) -> list[Host]:
        """At most `limit` of the hosts; see the function `sample`."""
        return sample(self.hosts, limit, rng)


def sample(hosts: list[Host], limit: int, rng: random.Random) -> list[Host]:
    """All hosts if there are at most `limit`, else `limit` consecutive ones from a random start.

    The sample wraps around at the end of the list.
    """
    count = len(hosts)
    if count <= limit:
        return hosts
    start = int(rng.random() * count)
    return hosts[start : start + limit] + hosts[: max(start + limit - count, 0)]
