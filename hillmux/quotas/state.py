"""The quota state of one customer under one plan in this gateway."""

from __future__ import annotations

from typing import NamedTuple

from hillmux import interface as api
from hillmux.quotas import batches, window


class WaitingRequest(NamedTuple):
    """A request that waits for a total of the counter; times in ms."""

    request: api.Request
    request_class: api.RequestClass
    due_at: float  # time from which a response is of no use to the client
    deadline_at: float


class QuotaState:
    """One customer's quota in the current window, and this gateway's part of its ceiling.

    Amounts are in quota units, times and durations in ms. `replicas` is the number of gateways that serve the
    customer; it is called `width` in requests and in hot restart documents.
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
        """Create the state of a customer that sends its first request.

        `key`: names of customer and plan. `gateway_age_ms`: time since this gateway's start. A gateway that
        was killed has lost its record of use, so its even split of the quota starts empty and refills.
        """
        self.key, self.plan, self.seen_at = key, plan, now
        # Largest number named in this window; `replicas` is the largest in this window or the last.
        self.replicas_in_window = replicas
        self.has_quota = plan.rate > 0
        self.set_replicas(replicas)
        self.digest = window.digest(key[0])
        self.phase = window.phase(self.digest)
        self.window, self.count_name = -1, ""  # number of the window; count of the call in flight, or ""
        self.used = self.reported = 0.0  # by this gateway in the window; reported includes any lease
        # Whether the last total held all that was reported; if not, `reported - used` is no lease (`lease`).
        self.lease_confirmed = False
        # When this gateway's even share of the refill will have covered what it used since the last report
        # (the theoretical arrival time of the generic cell rate algorithm, ITU-T I.371).
        self.covered_at = now
        self.request_gap_ms = 0.0  # time between the last two requests; 0 after the first
        # Units in the bucket when the last total was read; below 0 if the reports exceed the refill so far.
        self.last_total_level = plan.burst
        self.call_open, self.call_amount, self.called_at = False, 0.0, 0.0
        self.last_total: float | None = None  # None until this gateway has read a total
        # Values of `reported` and `used` when the last total was read, and the time of it.
        self.last_total_reported = self.last_total_used = self.last_total_at = 0.0
        # What remains if the other gateways use nothing: now, and when the last total was read.
        self.upper_bound = self.last_total_upper_bound = plan.burst
        self.others_rate = plan.rate / 1000 * (1 - 1 / replicas)  # the others' estimated use, units per ms
        self.remaining = min(plan.burst, plan.rate * gateway_age_ms / 1000) / replicas
        self.remaining_at = now
        # Requests that wait for a total. None if there are none: most customers never have one.
        self.waiting: list[WaitingRequest] | None = None
        self.open_requests = 0
        self.ceiling_remaining = self.ceiling_at = 0.0
        self.grant_ratio = 1.0  # moving average: fraction of the waits for a total that found enough units

    def set_replicas(self, replicas: int) -> None:
        """Set the number of gateways that serve the customer, and what is derived from it."""
        self.replicas = replicas
        self.share_rate = self.plan.rate / 1000 / replicas  # even share of the refill, units per ms
        self.share_ms = 1 / self.share_rate if self.has_quota else 0.0  # time in which it refills a unit
        self.set_batches(near_limit=False)

    def set_batches(self, near_limit: bool) -> None:
        """Set the sizes of the batches in which use is reported; see `batches`."""
        self.batch_share = batches.share(self.replicas, near_limit)
        self.batch_divisor = batches.divisor(self.replicas, near_limit)
        self.batch_rate = self.share_rate * self.batch_divisor

    def reset_covered_at(self, now: float) -> None:
        """Count none of the use unreported at `now` (ms) as covered by refill, so it is reported sooner."""
        unreported = max(self.used - self.reported, 0.0)
        self.covered_at = max(self.covered_at, now + unreported * self.share_ms)
