"""Health of hosts, as the results of attempts show it."""

from __future__ import annotations

from typing import Final

from hillmux import interface as api
from hillmux.balancing.host import Host
from hillmux.balancing.load_balancer import LoadBalancer
from hillmux.decision.context import DecisionContext, LogSubject
from hillmux.decision.latency import LatencyEstimates
from hillmux.decision.request_state import PendingRequest
from hillmux.interface import AttemptResult

MAX_CONSECUTIVE_FAILURES: Final = 3  # failed or slow attempts or resets in a row that eject a host
FAILURE_LATENCY_RATIO: Final = 2.0  # lower bound of the latency ratio of a failed attempt


class HostHealth:
    """Updates latency ratio and consecutive failures of hosts, and ejects hosts that fail."""

    __slots__ = ("_context", "_load_balancer", "_latency")

    def __init__(
        self, context: DecisionContext, load_balancer: LoadBalancer, latency: LatencyEstimates
    ) -> None:
        self._context = context
        self._load_balancer = load_balancer
        self._latency = latency

    def record(self, pending: PendingRequest, host: Host, event: api.AttemptEnded) -> None:
        """Update the host's health with the result of an attempt."""
        result = event.result
        if result == AttemptResult.OK:
            self._load_balancer.record_success(host)
            self._load_balancer.record_latency_ratio(
                host,
                self._latency.record_response(pending.request_class.name, pending.request.units, event),
            )
        elif result == AttemptResult.CONNECT_FAILED:
            # A reset ends only one connection. Treated like this, it would eject a healthy host and count it
            # as warming up afterwards; a failed host refuses the next connection.
            host.connection_refused = True
            self._eject(host)
        elif result in (AttemptResult.RESET, AttemptResult.INCOMPLETE_REQUEST):
            self._record_failures(host, 1)
        elif result in (AttemptResult.ERROR, AttemptResult.TIMED_OUT, AttemptResult.QUEUE_FULL):
            request_class = pending.request_class
            expected_ms = self._latency.expected_ms(request_class.name, pending.request.units)
            ratio = request_class.latency_objective_ms / expected_ms
            self._load_balancer.record_latency_ratio(host, max(ratio, FAILURE_LATENCY_RATIO))
            outlier_timed_out = result == AttemptResult.TIMED_OUT and self._load_balancer.outliers.is_outlier(
                host
            )
            self._record_failures(host, int(outlier_timed_out or result == AttemptResult.ERROR))

    def _record_failures(self, host: Host, count: int) -> None:
        host.consecutive_failures += count
        if host.ejections or host.consecutive_failures >= MAX_CONSECUTIVE_FAILURES:
            self._eject(host)

    def _eject(self, host: Host) -> None:
        if self._load_balancer.eject(host):
            self._context.log_rate_limited(LogSubject.HOST_EJECTION, f"{host.name} fails: resting it")
