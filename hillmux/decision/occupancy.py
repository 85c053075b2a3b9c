"""Occupancy of the hosts: the smoothed share of their latency objective that responses take."""

from __future__ import annotations

from typing import Final

from hillmux import interface as api
from hillmux.balancing.load_balancer import LoadBalancer
from hillmux.decision.context import HOUSEKEEPING_INTERVAL_MS, DecisionContext
from hillmux.decision.request_state import Attempt, PendingRequest
from hillmux.decision.retries import CONNECTION_FAILURES
from hillmux.interface import AttemptResult

MAX_INTERVAL_SAMPLES: Final = 125  # an interval ends early with this many samples
OCCUPANCY_WEIGHT: Final = 0.3  # weight of a new interval's mean
MIN_SAMPLES: Final = 5.0  # the mean of fewer samples weighs less
MIN_OCCUPANCY: Final = 0.2  # up to this, hosts have no queue
MAX_OCCUPANCY: Final = 0.45  # from this on, hosts are overloaded
IDLE_OCCUPANCY: Final = 0.01  # below this, hosts count as idle
RATE_AVERAGING_MS: Final = 1000.0  # averaging time of completions and of the work sent to warm hosts
LOST_RATIO_SAMPLES: Final = 4 * MIN_SAMPLES  # responses over which the lost ratio is averaged
PREDICTION_SAMPLES: Final = 3 * MIN_SAMPLES  # completions after which a prediction has its full weight
MAX_PREDICTION_WEIGHT: Final = 0.5
RESPONSES: Final = (AttemptResult.OK, AttemptResult.ERROR)
NO_SAMPLE: Final = CONNECTION_FAILURES | {
    AttemptResult.CANCELLED,
    AttemptResult.NOT_SENT,
    AttemptResult.MALFORMED_RESPONSE,
    AttemptResult.LOCAL_LIMIT,
}  # results that say nothing about occupancy


class OccupancyEstimator:
    """Smoothed occupancy, estimated from the results of attempts."""

    __slots__ = (
        "_context",
        "_load_balancer",
        "smoothed",
        "interval_sum",
        "interval_count",
        "samples_seen",
        "response_occupancy",
        "lost_ratio",
        "completions",
        "completion_rate",
    )

    def __init__(self, context: DecisionContext, load_balancer: LoadBalancer) -> None:
        self._context = context
        self._load_balancer = load_balancer
        self.smoothed = 0.0
        self.interval_sum = 0.0  # sum of the samples since the last update
        self.interval_count = 0  # number of the samples since the last update
        self.samples_seen = 0  # number of samples in all intervals before
        self.response_occupancy = 0.0  # smoothed occupancy of attempts that got a response
        self.lost_ratio = 0.0  # smoothed share of responses that were lost while others were fast
        self.completions = 0.0  # successful attempts since the last housekeeping
        self.completion_rate = 0.0  # successful attempts per ms

    def record(self, pending: PendingRequest, attempt: Attempt, event: api.AttemptEnded) -> bool:
        """Add the sample of a finished attempt, if it gives one; return whether the interval is full."""
        if attempt.sent_at < self._context.stalled_at or event.result in NO_SAMPLE:
            return False
        if self._load_balancer.outliers.is_outlier(attempt.host):
            return False  # a few slow hosts must not shed the requests of all: outlier ejection handles them
        occupancy = 1.0
        if event.result in RESPONSES:
            objective_ms = pending.request_class.latency_objective_ms
            response = min(event.elapsed_ms / objective_ms, 1.0)
            self.response_occupancy += (response - self.response_occupancy) / MIN_SAMPLES
            self.lost_ratio -= self.lost_ratio / LOST_RATIO_SAMPLES
            # Latency of a new request by Little's law, weighted by how well the completion rate is known.
            predicted_ms = self._load_balancer.host_set.open_on_healthy / max(self.completion_rate, 1e-9)
            completions = self.completion_rate * (self._context.now - (self._context.started_at or 0.0))
            weight = MAX_PREDICTION_WEIGHT * min(completions / PREDICTION_SAMPLES, 1.0)
            latency_ms = event.elapsed_ms + weight * (predicted_ms - event.elapsed_ms)
            occupancy = min(latency_ms / objective_ms, 1.0)
        elif event.result == AttemptResult.TIMED_OUT and self.response_occupancy < MIN_OCCUPANCY:
            # While other responses are fast, hosts have no queue: this one was lost on the network or by a
            # single stuck host, which is no sign of overload.
            self.lost_ratio += (1 - self.lost_ratio) / LOST_RATIO_SAMPLES
            return False
        self.interval_sum += occupancy
        self.interval_count += 1
        return self.interval_count >= MAX_INTERVAL_SAMPLES

    def update(self) -> None:
        """Merge the samples since the last update into the smoothed occupancy."""
        if self.interval_count:
            self.samples_seen += self.interval_count
            if self.samples_seen > MIN_SAMPLES:
                weight = min(OCCUPANCY_WEIGHT, self.interval_count / MIN_SAMPLES)
            else:
                weight = self.interval_count / self.samples_seen  # a plain mean
            mean = self.interval_sum / self.interval_count
            self.smoothed = (1 - weight) * self.smoothed + weight * mean
            self.interval_sum = 0.0
            self.interval_count = 0
        elif not self._context.pending:
            # At the minimum admit fraction a gateway with few requests gets one sample in many seconds.
            # Without this decay its occupancy would stay high long after the overload has ended.
            max_objective_ms = max(c.latency_objective_ms for c in self._context.settings.classes)
            self.smoothed *= 1 - HOUSEKEEPING_INTERVAL_MS / max_objective_ms

    def estimate(self) -> float:
        """Return the smoothed occupancy; while there are few samples, overdue attempts count as samples of 1.

        Results show an overload one latency objective late: until then, new gateways would overload hosts.
        """
        overdue = self._overdue_attempts() if self.samples_seen < MIN_SAMPLES else 0
        return (MIN_SAMPLES * self.smoothed + overdue) / (MIN_SAMPLES + overdue)

    def _overdue_attempts(self) -> int:
        now = self._context.now
        return sum(
            attempt.open
            and now - attempt.sent_at > MAX_OCCUPANCY * pending.request_class.latency_objective_ms
            for pending in self._context.pending.values()
            for attempt in pending.attempts
        )

    def is_idle(self) -> bool:
        """Whether hosts are idle and no samples are pending, so that updates may be rare."""
        return not self.interval_count and self.smoothed < IDLE_OCCUPANCY

    def update_completion_rate(self, interval_ms: float) -> float:
        """Update the completion rate; return the factor by which observed rates decay in the interval."""
        # At a low rate the averaging time is longer, so that it always includes some completions.
        averaging_ms = max(RATE_AVERAGING_MS, PREDICTION_SAMPLES / max(self.completion_rate, 1e-9))
        averaging_ms = min(averaging_ms, self._context.now - (self._context.started_at or 0.0))
        decay = averaging_ms / (averaging_ms + interval_ms)
        self.completion_rate = decay * self.completion_rate + (1 - decay) * self.completions / interval_ms
        self.completions = 0.0
        return decay

    def reset(self) -> None:
        """Reset occupancy, rates and losses; `response_occupancy` is kept as a prior."""
        self.smoothed = 0.0
        self.interval_sum = 0.0
        self.interval_count = 0
        self.samples_seen = 0
        self.lost_ratio = 0.0
        self.completions = 0.0
        self.completion_rate = 0.0
