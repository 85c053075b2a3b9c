"""Slow start: how much a host may be sent while it warms up after its start.

A host's capacity grows from `slow_start_min_share` to all of it over `slow_start_ms`. All gateways together
must not send it more. None knows what the others send, so each takes what it sends itself to a warm host as
the measure, times the part of the capacity that the host has by now.
"""

from __future__ import annotations

import random
from heapq import heapify, heappop, heappush
from typing import Final

from hillmux import interface as api
from hillmux.balancing.host import WARMING, Host
from hillmux.quotas.randomized_rounding import round_to_whole

# Part of the budget that is used: capacity is only estimated, and other gateways may run ahead.
BUDGET_SHARE: Final = 0.5
QUEUE_SLACK: Final = 64  # stale entries of the queue, beyond one for each host, at which it is made anew


class SlowStart:
    """The warm-up of hosts, and this gateway's part of what they may be sent meanwhile."""

    __slots__ = ("settings", "rng", "queue", "queued_count", "warm_work", "warm_work_rate")

    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        self.settings, self.rng = settings, rng
        # When warming hosts will be warm. An entry is stale once its host left the group or started anew.
        self.queue: list[tuple[float, int, Host]] = []
        self.queued_count = 0  # orders entries of the same moment
        self.warm_work = 0.0  # ms of work sent to warm hosts since the last sweep
        self.warm_work_rate = 0.0  # the same per ms and warm host

    def enqueue(self, host: Host) -> None:
        """Note when a host that begins to warm up will be warm."""
        self.queued_count += 1
        heappush(self.queue, (self._warm_at(host), self.queued_count, host))

    def _warm_at(self, host: Host) -> float:
        return host.warming_since_ms + self.settings.slow_start_ms

    def pop_warm(self, now: float) -> Host | None:
        """Remove and return a host whose warm-up has ended by `now` (ms); None if there is none left."""
        while self.queue and self.queue[0][0] <= now:
            host = heappop(self.queue)[2]
            if host.group == WARMING:
                return host
        return None

    def needs_compaction(self, warming_count: int) -> bool:
        """Whether the queue holds many stale entries: `warming_count` hosts are in the group."""
        return len(self.queue) > 2 * warming_count + QUEUE_SLACK

    def compact(self, warming: list[Host]) -> None:
        """Make the queue anew from all hosts in the group."""
        self.queue = [(self._warm_at(host), number, host) for number, host in enumerate(warming)]
        heapify(self.queue)
        self.queued_count = len(warming)

    def capacity_share(self, host: Host, now: float) -> float:
        """The least part of its capacity, up to 1, that a host may have at `now` (ms)."""
        if not host.warming_since_ms or self.settings.slow_start_ms <= 0:
            return 1.0
        if now >= self._warm_at(host):  # computed as for the queue: rounding must not make the two differ
            return 1.0
        min_share = self.settings.slow_start_min_share
        age = now - host.warming_since_ms
        return min_share + (1 - min_share) * max(age, 0.0) / self.settings.slow_start_ms

    def record_work(self, host: Host, work: float, now: float) -> None:
        """Note that `work` (ms) is sent to a host that was in slow start when it was last looked at."""
        if self.capacity_share(host, now) < 1:
            host.slow_start_credit -= work
        else:
            self.warm_work += work

    def update_rate(self, span: float, keep: float, warm_count: int) -> None:
        """Take the work of the last `span` ms into the rate, whose old value has the weight `keep`."""
        if warm_count:
            self.warm_work_rate = keep * self.warm_work_rate + (1 - keep) * self.warm_work / span / warm_count
        self.warm_work = 0.0

    def allows(self, host: Host, work: float, now: float) -> bool:
        """Whether a host may be sent `work` (ms) at `now` (ms); always true of a warm one."""
        capacity_share = self.capacity_share(host, now)
        return capacity_share >= 1 or self.has_budget(host, capacity_share, work, now)

    def has_budget(self, host: Host, capacity_share: float, work: float, now: float) -> bool:
        """Whether this gateway's part of a warming host's budget holds `work` (ms).

        A part smaller than one request is drawn for: rounded up by each gateway the parts would overload the
        host, rounded down they would leave it idle. A gateway that has sent nothing to a warm host yet has no
        measure, and sends lone requests only.
        """
        if self.warm_work_rate <= 0:
            return host.open_requests == 0 and self.rng.random() * self.settings.fleet_size < 1
        used_share = min(BUDGET_SHARE * self.settings.overload_multiple, 1.0)
        rate = used_share * capacity_share * self.warm_work_rate
        span = now - max(host.slow_start_credit_at_ms, host.warming_since_ms)
        max_credit = rate * self.settings.overload_after_ms / 2
        host.slow_start_credit = min(host.slow_start_credit + rate * span, max_credit)
        host.slow_start_credit_at_ms = now
        host.slow_start_credit = round_to_whole(self.rng, host.slow_start_credit, work)
        return host.slow_start_credit >= work
