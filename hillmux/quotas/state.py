"""The quota state of one customer under one plan, as one gateway knows it."""

from __future__ import annotations

from typing import NamedTuple

from hillmux import interface as api
from hillmux.quotas import batches, window


class WaitingRequest(NamedTuple):
    """A request that waits for a total of the counter; moments in ms."""

    request: api.Request
    request_class: api.RequestClass
    due_at: float  # an answer after it has no value
    deadline_at: float


class QuotaState:
    """One customer's quota in the current window, and this gateway's part of its ceiling.

    Amounts are in quota units, moments and spans in ms. `replicas` is the number of gateways that serve the
    customer; it is called `width` in requests and in hand-over documents.
    """

    __slots__ = (
        "key",
        "plan",
        "replicas",
        "replicas_in_window",
        "digest",
        "phase",
        "window",
        "count_name",
        "used",
        "reported",
        "last_total",
        "last_total_reported",
        "last_total_used",
        "last_total_at",
        "last_total_upper_bound",
        "upper_bound",
        "remaining",
        "remaining_at",
        "others_rate",
        "has_quota",
        "share_rate",
        "share_ms",
        "batch_rate",
        "batch_share",
        "batch_divisor",
        "last_total_level",
        "lease_confirmed",
        "covered_at",
        "request_gap_ms",
        "call_open",
        "call_amount",
        "called_at",
        "waiting",
        "open_requests",
        "seen_at",
        "ceiling_remaining",
        "ceiling_at",
        "grant_ratio",
    )

    def __init__(
        self, key: tuple[str, str], plan: api.Plan, replicas: int, now: float, gateway_age_ms: float
    ) -> None:
        """A customer that is seen for the first time.

        `key`: names of customer and plan. `gateway_age_ms`: time since this gateway's start. A gateway that
        was killed no longer knows what it has spent, so it earns its even split of the quota from empty.
        """
        self.key, self.plan, self.seen_at = key, plan, now
        # The largest number named in this window or the last; and in this one alone.
        self.replicas_in_window = replicas
        self.has_quota = plan.rate > 0
        self.set_replicas(replicas)
        self.digest = window.digest(key[0])
        self.phase = window.phase(self.digest)
        self.window, self.count_name = -1, ""  # number of the window; name of the open or last count
        self.used = self.reported = 0.0  # by this gateway in the window; what of it the counter was told
        # Whether the last total held all that was reported; if not, `reported - used` is no lease (`lease`).
        self.lease_confirmed = False
        # The moment by which this gateway's even share of the refill covers what it used since the last
        # report (the theoretical arrival time of the generic cell rate algorithm, ITU-T I.371).
        self.covered_at = now
        self.request_gap_ms = 0.0  # time between the last two requests; 0: there was but one
        self.last_total_level = plan.burst  # in the store as the last total was read; below 0: owed by leases
        self.call_open, self.call_amount, self.called_at = False, 0.0, 0.0
        self.last_total: float | None = None  # None: nothing was read in this gateway's life
        # Of what was used and reported, and when, as the last total was read.
        self.last_total_reported = self.last_total_used = self.last_total_at = 0.0
        # What remains if the other gateways use nothing; the same as the last total was read.
        self.upper_bound = self.last_total_upper_bound = plan.burst
        self.others_rate = plan.rate / 1000 * (1 - 1 / replicas)  # estimate for the others, units per ms
        self.remaining = min(plan.burst, plan.rate * gateway_age_ms / 1000) / replicas
        self.remaining_at = now
        self.waiting: list[WaitingRequest] | None = (
            None  # None while there are none: most customers never have one
        )
        self.open_requests = 0
        self.ceiling_remaining = self.ceiling_at = 0.0
        self.grant_ratio = 1.0  # part of the waits for a total that found something left

    def set_replicas(self, replicas: int) -> None:
        """Go over to another number of gateways that serve the customer."""
        self.replicas = replicas
        self.share_rate = self.plan.rate / 1000 / replicas  # even share of the refill, units per ms
        self.share_ms = 1 / self.share_rate if self.has_quota else 0.0  # in which it refills a unit
        self.set_batches(near_limit=False)

    def set_batches(self, near_limit: bool) -> None:
        """Set how large the batches are in which use is reported; see `batches`."""
        self.batch_share = batches.share(self.replicas, near_limit)
        self.batch_divisor = batches.divisor(self.replicas, near_limit)
        self.batch_rate = self.share_rate * self.batch_divisor

    def uncover(self, now: float) -> None:
        """Take none of the use that is unreported at `now` (ms) for covered: it is reported the sooner."""
        unreported = max(self.used - self.reported, 0.0)
        self.covered_at = max(self.covered_at, now + unreported * self.share_ms)
