"""Slow start: limits the requests that are sent to a host while it warms up after its start.

The capacity of a host grows from the share `slow_start_min_share` to 1 over `slow_start_ms`, and all gateways
together must not exceed it. A gateway does not know what the others send, so each limits itself to the rate
of requests that it sends to a warm host, times the share of its capacity that the warming host has by now.

The budget is counted in requests of mean work. The estimated work of a request moves with the latency of the
hosts, with units that clients and hosts name, and with new classes, so a rate measured in it before such a
move would be worth many more requests after it. The estimate may only raise the cost of a request.
"""

from __future__ import annotations

import random
from heapq import heapify, heappop, heappush
from typing import Final

from hillmux import interface as api
from hillmux.balancing.host import WARMING, Host
from hillmux.quotas.randomized_rounding import round_to_whole

# Share of the budget that is used: capacity is only an estimate, and other gateways may exceed their share.
BUDGET_SHARE: Final = 0.5
# Stale entries of the queue, beyond one per warming host, above which the queue is rebuilt.
QUEUE_SLACK: Final = 64


class SlowStart:
    """Tracks which hosts warm up, and this gateway's share of the work that they may be sent."""

    __slots__ = (
        "settings",
        "rng",
        "queue",
        "last_entry_number",
        "warming_requests",
        "warm_request_rate",
        "warm_work",
        "warm_work_rate",
    )

    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        self.settings, self.rng = settings, rng
        # Heap of the times (ms) at which hosts will be warm, with a sequence number and the host. An entry is
        # stale once its host has left the group or has started again.
        self.queue: list[tuple[float, int, Host]] = []
        self.last_entry_number = 0  # number of the last entry; orders entries of equal time
        self.warming_requests = 0  # requests sent to hosts in slow start since the last sweep
        self.warm_request_rate = 0.0  # requests per ms and warm host, moving average
        self.warm_work = 0.0  # ms of work sent to warm hosts since the last sweep, as estimated then
        self.warm_work_rate = 0.0  # ms of work per ms and warm host, moving average

    def enqueue(self, host: Host) -> None:
        """Add a host that begins slow start, with the time at which it will be warm."""
        self.last_entry_number += 1
        heappush(self.queue, (self._warm_at(host), self.last_entry_number, host))

    def _warm_at(self, host: Host) -> float:
        return host.warming_since_ms + self.settings.slow_start_ms

    def pop_warm(self, now: float) -> Host | None:
        """Remove and return a host whose slow start has ended by `now` (ms); None if there is none left."""
        while self.queue and self.queue[0][0] <= now:
            host = heappop(self.queue)[2]
            if host.group == WARMING:
                return host
        return None

    def needs_compaction(self, warming_count: int) -> bool:
        """Whether the queue holds many stale entries, given that `warming_count` hosts are in slow start."""
        return len(self.queue) > 2 * warming_count + QUEUE_SLACK

    def compact(self, warming: list[Host]) -> None:
        """Rebuild the queue from all hosts in slow start."""
        self.queue = [(self._warm_at(host), number, host) for number, host in enumerate(warming)]
        heapify(self.queue)
        self.last_entry_number = len(warming)

    def capacity_share(self, host: Host, now: float) -> float:
        """The lower bound of the share of its capacity, up to 1, that a host has at `now` (ms)."""
        if not host.warming_since_ms or self.settings.slow_start_ms <= 0:
            return 1.0
        if now >= self._warm_at(host):  # same expression as in the queue, so that rounding cannot differ
            return 1.0
        min_share = self.settings.slow_start_min_share
        age = now - host.warming_since_ms
        return min_share + (1 - min_share) * max(age, 0.0) / self.settings.slow_start_ms

    def record_request(self, host: Host, work: float, now: float) -> None:
        """Record a request with `work` (ms) to a host that was in slow start when it was last reindexed."""
        if self.capacity_share(host, now) < 1:
            host.slow_start_credit -= self.cost(work)
            self.warming_requests += 1
        else:
            self.warm_work += work

    def update_rate(self, interval_ms: float, decay: float, warm_count: int, request_count: int) -> None:
        """Add the requests of the last `interval_ms` to the rates of warm hosts.

        Args:
            interval_ms: Time since the last call.
            decay: Weight, below 1, of the old rates.
            warm_count: Number of warm hosts.
            request_count: Number of requests sent to any host since the last call.
        """
        if warm_count:
            warm_requests = request_count - self.warming_requests
            weight = (1 - decay) / interval_ms / warm_count
            self.warm_request_rate = decay * self.warm_request_rate + weight * warm_requests
            self.warm_work_rate = (
                decay * self.warm_work_rate + (1 - decay) * self.warm_work / interval_ms / warm_count
            )
        self.warming_requests = 0
        self.warm_work = 0.0

    def cost(self, work: float) -> float:
        """The cost of a request with `work` (ms), in requests of mean work: at least 1."""
        relative_work = work * self.warm_request_rate
        return relative_work / self.warm_work_rate if relative_work > self.warm_work_rate > 0 else 1.0

    def allows(self, host: Host, work: float, now: float) -> bool:
        """Whether a host may be sent a request with `work` (ms) at `now` (ms); true for a warm host."""
        capacity_share = self.capacity_share(host, now)
        return capacity_share >= 1 or self.has_budget(host, capacity_share, work, now)

    def has_budget(self, host: Host, capacity_share: float, work: float, now: float) -> bool:
        """Whether this gateway's share of a warming host's budget covers a request; updates its credit.

        A share smaller than one request is rounded up or down at random: if every gateway rounded up, the
        host would be overloaded, and if every gateway rounded down, it would be idle. A gateway that has not
        sent anything to a warm host yet has no rate to go by, and sends at most one request at a time, with
        probability 1 / `fleet_size`.

        Args:
            host: The warming host.
            capacity_share: The share of its capacity that it has now.
            work: The expected service time of the request, in ms.
            now: The present time, in ms.
        """
        if self.warm_request_rate <= 0:
            return host.open_requests == 0 and self.rng.random() * self.settings.fleet_size < 1
        used_share = min(BUDGET_SHARE * self.settings.overload_multiple, 1.0)
        rate = used_share * capacity_share * self.warm_request_rate
        elapsed_ms = now - max(host.slow_start_credit_at_ms, host.warming_since_ms)
        max_credit = rate * self.settings.overload_after_ms / 2
        cost = self.cost(work)
        host.slow_start_credit = min(host.slow_start_credit + rate * elapsed_ms, max_credit)
        host.slow_start_credit_at_ms = now
        host.slow_start_credit = round_to_whole(self.rng, host.slow_start_credit, cost)
        return host.slow_start_credit >= cost
