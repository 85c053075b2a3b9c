"""New requests: accepted and sent to a host, rejected, or held back until the counter replies."""

from __future__ import annotations

from typing import Final

from hillmux import interface as api
from hillmux.balancing.load_balancer import LoadBalancer
from hillmux.decision.admission import AdmissionControl
from hillmux.decision.attempts import AttemptManager
from hillmux.decision.context import HOUSEKEEPING_INTERVAL_MS, DecisionContext, LogSubject
from hillmux.decision.latency import LatencyEstimates
from hillmux.decision.request_state import PendingRequest
from hillmux.decision.retries import RetryBudget
from hillmux.decision.timeouts import DeadlineSamples
from hillmux.interface import AttemptResult, RejectReason
from hillmux.quotas.quotas import Quotas
from hillmux.quotas.state import QuotaState, WaitingRequest
from hillmux.quotas.throttle import MIN_ANSWER_RATE

WAIT_MARGIN_MS: Final = 2 * HOUSEKEEPING_INTERVAL_MS  # time that must remain after a wait for the counter


class NewRequestHandler:
    """Decides on new requests, at once or when the counter replies."""

    __slots__ = (
        "_context",
        "_load_balancer",
        "_quotas",
        "_admission",
        "_latency",
        "_attempts",
        "_retry_budget",
        "deadline_samples",
        "waiting",
        "waiting_quotas",
    )

    def __init__(
        self,
        context: DecisionContext,
        load_balancer: LoadBalancer,
        quotas: Quotas,
        admission: AdmissionControl,
        latency: LatencyEstimates,
        attempts: AttemptManager,
        retry_budget: RetryBudget,
    ) -> None:
        self._context = context
        self._load_balancer = load_balancer
        self._quotas = quotas
        self._admission = admission
        self._latency = latency
        self._attempts = attempts
        self._retry_budget = retry_budget
        self.deadline_samples = {c.name: DeadlineSamples() for c in context.settings.classes}
        self.waiting: dict[str, QuotaState] = {}  # by id of the request that waits for the counter
        # Quotas that requests wait for, in order; those whose clients have disconnected stay until settled.
        self.waiting_quotas: dict[QuotaState, None] = {}

    def handle(self, request: api.Request) -> None:
        """Decide on a request, or hold it back until the counter replies with the total."""
        context = self._context
        if request.id in context.pending or request.id in self.waiting:
            return
        request_class = context.classes.get(request.class_name)
        plan = context.plans.get(request.plan_name)
        if request_class is None or plan is None:
            self._admission.reject(request.id, RejectReason.UNKNOWN_CLASS_OR_PLAN)
            return
        if request.time_left_ms <= 0:
            self._admission.reject(request.id, RejectReason.DEADLINE)
            return
        if not self._load_balancer.hosts:
            self._admission.reject(request.id, RejectReason.NO_HOST)
            return
        deadline_at = context.now + request.time_left_ms
        due_at = self._due_at(request, request_class, deadline_at)
        if due_at <= context.now:
            self._admission.reject(request.id, RejectReason.DEADLINE)
            return
        quota = self._quotas.state_for(request, plan)
        if quota is None:
            self._admission.reject(request.id, RejectReason.TOO_MANY_CUSTOMERS)
            return
        # A request with little time left would be due before the reply, so it is decided at once.
        longest_wait_ms = context.settings.counter_timeout_ms + WAIT_MARGIN_MS
        if due_at - context.now > longest_wait_ms and self._quotas.should_call_counter(quota, request.units):
            self._wait_for_counter(request, request_class, quota, due_at, deadline_at)
        else:
            self._decide(request, request_class, quota, due_at, deadline_at, False)

    def _due_at(self, request: api.Request, request_class: api.RequestClass, deadline_at: float) -> float:
        """Return the moment after which an answer has no value.

        A client's retry is due when its first attempt was: late retries would take quota and capacity from
        requests that are in time. First attempts of a class usually have the same time to deadline, and
        retries have less. Clients that set their own deadlines must not be mistaken for late, so this applies
        only while a third of the recent requests have the usual time to deadline.
        """
        if request_class.late_priority_weight > 0:
            return deadline_at
        time_left_ms = request.time_left_ms
        due_at = self._context.now + request_class.latency_objective_ms
        if time_left_ms < self.deadline_samples[request_class.name].record(time_left_ms):
            due_at -= max(request_class.deadline_ms - time_left_ms, 0.0)  # time that earlier attempts took
        return min(due_at, deadline_at)

    def _wait_for_counter(
        self,
        request: api.Request,
        request_class: api.RequestClass,
        quota: QuotaState,
        due_at: float,
        deadline_at: float,
    ) -> None:
        """Hold a request back until the counter replies with the total of its quota, some ms later."""
        # Counter calls for requests that are shed afterwards would load the counter needlessly.
        work = self._latency.expected_ms(request_class.name, request.units)
        if not self._admission.admits(request_class, quota.plan, work):
            self._admission.reject(request.id, RejectReason.OVERLOAD)
            return
        self.waiting[request.id] = quota
        self.waiting_quotas[quota] = None
        if quota.waiting is None:
            quota.waiting = []
        quota.waiting.append(WaitingRequest(request, request_class, due_at, deadline_at))
        self._quotas.report_use(quota, request.units)

    def counter_replied(self, reply: api.CounterReply) -> None:
        """Apply the counter's total, and decide on the requests that waited for it."""
        quota = self._quotas.handle_reply(reply)
        if self._quotas.throttle.answer_rate < MIN_ANSWER_RATE:
            self._context.log_rate_limited(
                LogSubject.COUNTER, "counter silent or crowded: calling less, quotas go by our estimates"
            )
        if quota is not None:
            self.settle(quota)
            if reply.result == AttemptResult.OK:
                self._quotas.report_use(quota)

    def settle(self, quota: QuotaState) -> None:
        """Decide on the requests that wait for a total of this quota."""
        waiting, quota.waiting = quota.waiting or [], None
        self.waiting_quotas.pop(quota, None)
        if waiting:
            self._quotas.record_grant(quota, waiting[0].request.units)
        for request, request_class, due_at, deadline_at in waiting:
            if self.waiting.pop(request.id, None) is not None:
                self._decide(request, request_class, quota, due_at, deadline_at, True)

    def settle_overdue(self) -> None:
        """Decide on requests whose counter call is overdue, so that a lost reply costs no answer."""
        overdue_ms = self._context.settings.counter_timeout_ms + HOUSEKEEPING_INTERVAL_MS
        for quota in list(self.waiting_quotas):
            if self._context.now - quota.called_at > overdue_ms:
                quota.call_open = False
                self.settle(quota)

    def client_disconnected(self, request_id: str) -> None:
        """Drop a request that waits for the counter."""
        self.waiting.pop(request_id, None)

    def waiting_classes(self) -> set[str]:
        """Names of the classes of all requests that wait for the counter."""
        return {
            waiting.request_class.name for quota in self.waiting_quotas for waiting in quota.waiting or ()
        }

    def change_classes(self, classes: tuple[api.RequestClass, ...]) -> None:
        """Apply new classes; those with a known name keep their samples."""
        samples = self.deadline_samples
        self.deadline_samples = {c.name: samples.get(c.name) or DeadlineSamples() for c in classes}

    def _decide(
        self,
        request: api.Request,
        request_class: api.RequestClass,
        quota: QuotaState,
        due_at: float,
        deadline_at: float,
        admitted: bool,
    ) -> None:
        """Accept or reject a request at once; `admitted`: admission control has already admitted it."""
        work = self._latency.expected_ms(request_class.name, request.units)
        beyond_quota = not self._quotas.has_units(quota, request.units)
        if beyond_quota:
            plan = quota.plan
            worthwhile = plan.over_quota_weight > plan.over_quota_cost
            admitted = worthwhile and self._admission.has_spare_capacity()
        elif not admitted:
            admitted = self._admission.admits(request_class, quota.plan, work)
        if not admitted:
            reason = RejectReason.QUOTA if beyond_quota else RejectReason.OVERLOAD
            self._reject(request, quota, reason, beyond_quota)
        elif not self._quotas.ceiling_has_units(quota, request.units):
            self._reject(request, quota, RejectReason.CEILING, beyond_quota)
        elif due_at <= self._context.now:
            self._reject(request, quota, RejectReason.DEADLINE, beyond_quota)
        else:
            self._forward(
                PendingRequest(
                    request,
                    request_class,
                    quota,
                    due_at,
                    deadline_at,
                    work,
                    self._context.settings.max_attempts,
                    beyond_quota,
                )
            )

    def _forward(self, pending: PendingRequest) -> None:
        """Spend the units of an accepted request and start its first attempt; without a host, reject it."""
        request, quota = pending.request, pending.quota
        host = self._attempts.select_host(pending)
        if host is None:
            self._reject(request, quota, RejectReason.NO_HOST, pending.beyond_quota)
            return
        self._context.pending[request.id] = pending
        self._retry_budget.deposit()
        quota.ceiling_remaining -= request.units
        quota.open_requests += 1
        if not pending.beyond_quota:
            self._quotas.spend(quota, request.units)
        self._quotas.report_use(quota)
        self._attempts.start(pending, host)

    def _reject(
        self, request: api.Request, quota: QuotaState, reason: RejectReason, beyond_quota: bool
    ) -> None:
        """Reject a request; beyond its quota, Retry-After is at least the time to refill its units."""
        rate = quota.plan.rate
        refill_ms = 1000 * request.units / rate if beyond_quota and rate else 0.0
        self._admission.reject(request.id, reason, refill_ms)
