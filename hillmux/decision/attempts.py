"""Attempts of accepted requests, their retries, and the final answer."""

from __future__ import annotations

from math import inf

from hillmux import interface as api
from hillmux.balancing.host import Host
from hillmux.balancing.load_balancer import LoadBalancer
from hillmux.decision.admission import AdmissionControl
from hillmux.decision.context import DecisionContext
from hillmux.decision.host_health import HostHealth
from hillmux.decision.latency import LatencyEstimates
from hillmux.decision.occupancy import OccupancyEstimator
from hillmux.decision.request_state import Attempt, PendingRequest
from hillmux.decision.retries import (
    ANY_LOCALITY,
    RetryBudget,
    delivery_window_ms,
    retry_cost,
    retry_locality,
)
from hillmux.decision.timeouts import LOST_RATIO_THRESHOLD, MIN_TIMEOUT_MS, early_timeout_ms
from hillmux.interface import (
    NEVER_DELIVERED,
    NEVER_EXECUTED,
    AttemptResult,
    Idempotency,
    RejectReason,
    SendAttempt,
)
from hillmux.quotas.quotas import Quotas

NO_HOSTS: list[Host] = []


class AttemptManager:
    """Starts attempts, handles their results, and answers each request once."""

    __slots__ = (
        "_context",
        "_load_balancer",
        "_quotas",
        "_admission",
        "_latency",
        "_occupancy",
        "_health",
        "_retry_budget",
    )

    def __init__(
        self,
        context: DecisionContext,
        load_balancer: LoadBalancer,
        quotas: Quotas,
        admission: AdmissionControl,
        latency: LatencyEstimates,
        occupancy: OccupancyEstimator,
        retry_budget: RetryBudget,
    ) -> None:
        self._context = context
        self._load_balancer = load_balancer
        self._quotas = quotas
        self._admission = admission
        self._latency = latency
        self._occupancy = occupancy
        self._health = HostHealth(context, load_balancer, latency)
        self._retry_budget = retry_budget

    def select_host(self, pending: PendingRequest) -> Host | None:
        """Return the best host for the next attempt, or None if draining, pools or idempotency allow none."""
        if len(pending.attempts) >= pending.max_attempts:
            return None
        locality = ANY_LOCALITY
        tried = NO_HOSTS
        if pending.attempts:
            settings = self._context.settings
            if pending.answered or pending.streaming:
                return None
            if pending.open_attempts and not settings.hedging_allowed:
                return None
            allowed = retry_locality(pending, self._context.now, settings.clock_resolution_ms)
            if allowed is None:
                return None
            locality = allowed
            tried = [attempt.host for attempt in pending.attempts]
        return self._load_balancer.select(
            pending.request.pool,
            pending.expected_work,
            pending.request_class.idempotency == Idempotency.IDEMPOTENT,
            tried,
            locality,
        )

    def start(self, pending: PendingRequest, host: Host, window_ms: float = inf) -> None:
        """Start an attempt; its last byte must reach the host within `window_ms`."""
        context = self._context
        timeout_ms = pending.due_at - context.now - context.settings.clock_resolution_ms
        if timeout_ms < MIN_TIMEOUT_MS:
            timeout_ms = max(timeout_ms, min(MIN_TIMEOUT_MS, pending.deadline_at - context.now))
        if self._occupancy.lost_ratio > LOST_RATIO_THRESHOLD and self._retry_budget.balance >= 1:
            timeout_ms = early_timeout_ms(pending, timeout_ms, self._expected_ms(pending))
        pending.attempts.append(Attempt(host, context.now))
        pending.open_attempts += 1
        self._load_balancer.request_started(host, pending.expected_work)
        context.actions.append(SendAttempt(pending.request.id, host.name, timeout_ms, window_ms))

    def response_started(self, event: api.ResponseStarted) -> None:
        """Handle the start of the response to the client: no other attempt may answer the request."""
        pending = self._context.pending.get(event.request_id)
        if pending is None or not 0 <= event.attempt < len(pending.attempts):
            return
        pending.streaming = True
        attempt = pending.attempts[event.attempt]
        if attempt.open and not attempt.streaming:
            # The host has finished its work; a client that reads slowly must not count as load on the host.
            attempt.streaming = True
            self._load_balancer.request_ended(attempt.host)
            self._load_balancer.reindex(attempt.host)

    def ended(self, event: api.AttemptEnded) -> None:
        """Handle the result of an attempt, then answer the request or retry it."""
        pending = self._context.pending.get(event.request_id)
        if pending is None or not 0 <= event.attempt < len(pending.attempts):
            return
        attempt = pending.attempts[event.attempt]
        if not attempt.open:
            return
        attempt.open = False
        pending.open_attempts -= 1
        if not attempt.streaming:
            self._load_balancer.request_ended(attempt.host)
        if event.result in NEVER_EXECUTED:
            attempt.may_have_run = False
            if event.result in NEVER_DELIVERED:
                pending.undelivered_attempts += 1
        if self._occupancy.record(pending, attempt, event):
            self._admission.update()
        self._health.record(pending, attempt.host, event)
        self._load_balancer.reindex(attempt.host)
        if event.result == AttemptResult.OK:
            self._occupancy.completions += 1
            if event.actual_units > 0 and pending.quota.plan.rate > 0:
                self._quotas.spend(pending.quota, event.actual_units - pending.request.units)
                self._quotas.report_use(pending.quota)
            self.finish(pending)
        elif event.final or pending.answered:
            self.finish(pending)
        elif not pending.open_attempts:
            self._retry_or_answer(pending, event)

    def _retry_or_answer(self, pending: PendingRequest, event: api.AttemptEnded) -> None:
        # A limit of this gateway applies to every host: a retry would fail in the same way.
        if event.result == AttemptResult.LOCAL_LIMIT or not self._retry(pending, event):
            self._answer(pending)

    def _retry(self, pending: PendingRequest, event: api.AttemptEnded) -> bool:
        """Retry if the answer can be in time and the retry budget covers it; return whether it did."""
        context = self._context
        clock_resolution_ms = context.settings.clock_resolution_ms
        expected_ms = self._expected_ms(pending)
        cost = retry_cost(event, expected_ms)
        time_left_ms = pending.due_at - context.now
        if self._retry_budget.balance < cost or time_left_ms <= max(expected_ms, 2 * clock_resolution_ms):
            return False
        host = self.select_host(pending)
        if host is None:
            return False
        self._retry_budget.withdraw(cost)
        self.start(pending, host, delivery_window_ms(pending, context.now, clock_resolution_ms))
        return True

    def _expected_ms(self, pending: PendingRequest) -> float:
        return self._latency.expected_ms(pending.request_class.name, pending.request.units)

    def _answer(self, pending: PendingRequest) -> None:
        """Answer a request that no host will serve."""
        # A rejection guarantees that the request never ran.
        if any(attempt.may_have_run for attempt in pending.attempts):
            self._context.actions.append(api.Fail(pending.request.id))
        else:
            self._admission.reject(pending.request.id, RejectReason.NO_HOST)
        self.finish(pending)

    def finish(self, pending: PendingRequest) -> None:
        """Start no more attempts, cancel open ones where allowed, drop the request once all have ended."""
        if pending.open_attempts:
            if self._context.settings.cancellation_allowed and not (pending.streaming or pending.answered):
                self._context.actions.extend(
                    api.CancelAttempt(pending.request.id, number)
                    for number, attempt in enumerate(pending.attempts)
                    if attempt.open
                )
            pending.answered = True
            return
        pending.answered = True
        if self._context.pending.pop(pending.request.id, None) is None:
            return
        pending.quota.open_requests -= 1
        if pending.undelivered_attempts and pending.undelivered_attempts == len(pending.attempts):
            # Otherwise a client that disconnects during connection setup would use up quota without sending.
            self._quotas.refund(pending.quota, pending.request.units, pending.beyond_quota)
