"""Quotas and ceilings of all customers: the interface that the decision module calls.

Theory of operation. A customer's quota is one token bucket shared by all gateways that serve it. The shared
counter adds up what they use, under one name per window (`window`). Between two totals a gateway relies on
its own use and an estimate of the others' use (`estimate`). Calls to a counter that does not answer are
throttled (`throttle`). Ceilings do not depend on totals: each gateway has a part of its own (`ceiling`).
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Final

from hillmux import interface as api
from hillmux.interface import AttemptResult
from hillmux.quotas import ceiling, estimate, lease, window
from hillmux.quotas.randomized_rounding import round_to_whole
from hillmux.quotas.registry import EXPIRY_WINDOWS, Registry
from hillmux.quotas.state import QuotaState
from hillmux.quotas.throttle import MIN_ANSWER_RATE, CallThrottle

GRANT_RATIO_WEIGHT: Final = 0.3  # weight of one wait for a total in the moving average `grant_ratio`
ROUNDING_UNITS: Final = 1e-9  # tolerance for floating-point error in sums of units


class Quotas:
    """Quotas and ceilings of all customers, and the counter calls that keep the quotas up to date."""

    def __init__(
        self, settings: api.Settings, rng: random.Random, on_window_end: Callable[[QuotaState], None]
    ) -> None:
        """`on_window_end` is called with a customer's state whose window ends, before the next one starts."""
        self.settings, self.rng, self.on_window_end = settings, rng, on_window_end
        self.actions: list[api.Action] = []  # receives counter calls, as actions of the decision module
        self.now = 0.0
        self.started_at: float | None = None  # when the gateway started, in ms
        self.shedding_load = False  # whether admission control admits only a part of the requests
        self.taken_over = False  # whether a successor process holds the leases and parts of ceilings
        self.draining = False  # whether this process is shutting down and gives back all leases
        self.window_ms = {plan.name: window.length_ms(plan) for plan in settings.plans}
        self.plan_tags = window.plan_tags(settings.plans)
        self.registry = Registry(settings)
        self.throttle = CallThrottle(rng)
        self.open_calls: dict[str, QuotaState] = {}  # by name of the count, while a call is in flight

    def change_settings(self, settings: api.Settings) -> None:
        """Apply new settings, which must have the same plans."""
        self.settings = settings
        self.registry.max_customers = settings.max_customers

    def state_for(self, request: api.Request, plan: api.Plan) -> QuotaState | None:
        """Return a customer's state under a plan, or None if there is no room for one more customer.

        Each plan has a state of its own; otherwise a request under another plan would reset the customer's
        use. The number of replicas that a request names applies for the current window and the next only,
        so that a single wrong one does not shrink the customer's parts for good.
        """
        replicas = max(1, min(request.replicas, self.settings.fleet_size))
        registry = self.registry
        key = (request.customer, plan.name)
        state = registry.states.get(key)
        if state is None:
            state = self._new_state(key, plan, replicas)
            if state is None:
                return None
        state.request_gap_ms = self.now - state.seen_at
        state.seen_at = self.now
        registry.last_request_at[plan.name] = self.now
        if plan.rate > 0:
            window_position = self.now / self.window_ms[plan.name] + state.phase
            if int(window_position) != state.window:
                self._enter_window(state, window_position)
        if replicas > state.replicas_in_window:
            state.replicas_in_window = replicas
            if replicas > state.replicas:
                state.set_replicas(replicas)
        return state

    def _new_state(self, key: tuple[str, str], plan: api.Plan, replicas: int) -> QuotaState | None:
        """Add a customer, evicting another if the registry is full; None if none can be evicted."""
        if self.registry.is_full():
            evicted = self.registry.evict_oldest()
            if evicted is None:
                return None
            self.open_calls.pop(evicted.count_name, None)
        gateway_start = self.started_at or 0.0
        state = QuotaState(key, plan, replicas, self.now, self.now - gateway_start)
        self.registry.add(state, gateway_start)
        return state

    def _enter_window(self, state: QuotaState, position: float) -> None:
        """Start the current window; `position` is its number plus the elapsed fraction of it."""
        length, gap = self.window_ms[state.plan.name], state.request_gap_ms
        keep_lease = gap < lease.IDLE_TIMEOUT_MS
        self._start_window(state, int(position), self.now - position % 1 * length, keep_lease)
        if gap >= EXPIRY_WINDOWS * length:
            # Totals this old are no longer valid, but reading a new one for each of 100,000 rarely seen
            # customers would overload the counter. At most an even split of the burst goes unreported.
            state.remaining = min(self.remaining(state), state.plan.burst / state.replicas)

    def _start_window(self, state: QuotaState, number: int, start: float, keep_lease: bool) -> None:
        """Start the window with this number, which began at `start` (ms).

        A gateway that rarely sees a customer notices a new window late. The new window's total holds what the
        others used since its start, so `remaining` is also computed as of that start.
        """
        self.open_calls.pop(state.count_name, None)
        self.on_window_end(state)
        state.window, state.count_name = number, ""
        if state.replicas != state.replicas_in_window:
            state.set_replicas(state.replicas_in_window)
        state.replicas_in_window = 1
        if start > state.remaining_at:
            self._advance(state, start)
        estimate.start_window(state, start, keep_lease)

    def remaining(self, state: QuotaState) -> float:
        """Return the units that remain of the quota now."""
        if self.now > state.remaining_at:
            self._advance(state, self.now)
        return state.remaining

    def _advance(self, state: QuotaState, now: float) -> None:
        estimate.advance(state, now, self.shedding_load, self.throttle.answer_rate < MIN_ANSWER_RATE)

    def should_call_counter(self, state: QuotaState, units: float) -> bool:
        """Whether a request of so many units should wait for a total of the counter.

        True if no total was read yet, or if the last total alone would admit the request and the estimate
        does not clearly admit it; False if the call is throttled. May draw random numbers.
        """
        if not self.settings.counter_available or not state.has_quota:
            return False
        if state.last_total is None:
            return self.throttle.may_call(self.now)
        if self.now > state.remaining_at:
            self._advance(state, self.now)
        spare = state.remaining - units
        if spare >= 0 and spare * spare >= state.others_rate * (self.now - state.last_total_at):
            return False  # more remains than one standard deviation of the others' use (Poisson)
        if units > state.upper_bound:
            return False
        if lease.available(state) >= units or not self.throttle.may_call(self.now):
            return False
        # If totals show no units left, call again at the latest when the refill suffices for all gateways.
        refilled_ms = state.batch_divisor * units / state.plan.rate * 1000
        return self.now - state.last_total_at >= refilled_ms or self.rng.random() < state.grant_ratio

    def has_units(self, state: QuotaState, units: float) -> bool:
        """Whether the quota admits a request of so many units. May draw a random number."""
        plan = state.plan
        if plan.max_concurrency and state.open_requests >= max(1, plan.max_concurrency // state.replicas):
            return False
        if not state.has_quota or (state.last_total is None and state.used == 0):
            return True  # one request costs almost nothing, and its report returns a total
        if self.now > state.remaining_at:
            self._advance(state, self.now)
        if state.reported > state.used and lease.available(state) >= units:
            return not self.taken_over and lease.covers(state, units, self.now)
        if state.last_total is None or self.throttle.answer_rate < MIN_ANSWER_RATE:
            # A split smaller than the request admits it at random, which keeps the sum over all gateways.
            state.remaining = round_to_whole(self.rng, state.remaining, units)
        return state.remaining >= units - ROUNDING_UNITS

    def ceiling_has_units(self, state: QuotaState, units: float) -> bool:
        """Whether this gateway's part of the ceiling holds so many units; True if the plan has no ceiling."""
        if state.plan.ceiling_rate <= 0:
            return True
        return not self.taken_over and ceiling.has_units(state, units, self.now)

    def spend(self, state: QuotaState, units: float) -> None:
        """Take units from the quota; a negative number gives units back."""
        now, covered_at = self.now, state.covered_at
        state.covered_at = (covered_at if covered_at > now else now) + units * state.share_ms
        state.used += units
        state.remaining -= units
        state.upper_bound -= units

    def refund(self, state: QuotaState, units: float, beyond_quota: bool) -> None:
        """Give back a request's units if nothing was sent; if `beyond_quota`, only those of the ceiling."""
        state.ceiling_remaining += units  # `ceiling.has_units` caps it at the burst
        if not beyond_quota:
            self.spend(state, -units)
            self.report_use(state)

    def report_use(self, state: QuotaState, reserve: float = 0.0) -> None:
        """Report use to the counter if a report is due, or give back the surplus of a lease.

        A gateway that stays within its even share of the refill reports in large batches. One that exceeds
        its share reports in batches that shrink as the customer nears its quota.

        `reserve`: units of a request that waits for the total. They are reported with the same call, and
        become a lease if the request is rejected.
        """
        if not self.settings.counter_available or not state.has_quota or state.call_open:
            return
        amount = state.used - state.reported
        if reserve:
            # An unconfirmed report is not given back, as the counter may not hold it: only a total is read.
            amount = max(amount + reserve, 0.0)
        elif amount > 0:
            if not self._report_is_due(state, amount):
                return
        else:
            amount = -self._lease_surplus(state) if amount else 0.0
            if not amount or not self.throttle.may_call(self.now):
                return
        self._call_counter(state, amount, reserve)

    def _report_is_due(self, state: QuotaState, amount: float) -> bool:
        """Whether so many unreported units are a batch, and the throttle permits a call."""
        now = self.now
        if now > state.remaining_at:
            self._advance(state, now)
        remaining, uncovered_ms = state.remaining, state.covered_at - now
        if amount < state.batch_share * remaining and uncovered_ms * state.batch_rate < remaining:
            return False
        return self.throttle.may_call(now)

    def _call_counter(self, state: QuotaState, amount: float, reserve: float) -> None:
        """Report `amount` units, which include the `reserve`, and any units leased ahead of use."""
        if amount > 0:
            amount += lease.prefetch_units(state, amount, self.remaining(state) - reserve, self.now)
            state.covered_at = self.now
        state.call_open, state.called_at, self.throttle.called_at = True, self.now, self.now
        state.reported += amount
        state.call_amount = amount
        plan = state.plan.name
        state.count_name = window.count_name(state.digest, self.plan_tags[plan], state.window)
        self.open_calls[state.count_name] = state
        self.actions.append(
            api.IncrementCounter(state.count_name, amount, window.retention_ms(self.window_ms[plan]))
        )

    def _lease_surplus(self, state: QuotaState) -> float:
        if self.taken_over:  # the successor process holds the lease
            return 0.0
        return lease.available(state) if self.draining else lease.surplus(state, self.now)

    def drain(self) -> None:
        """Give back all leases, now and whenever one arises: this process is shutting down."""
        self.draining = True
        for state in self.registry.states.values():
            if state.reported > state.used:
                self.report_use(state)

    def handle_reply(self, reply: api.CounterReply) -> QuotaState | None:
        """Apply the result of one call; return its customer's state, or None if no such call is in flight."""
        self.throttle.record_result(reply.result)
        state = self.open_calls.pop(reply.name, None)
        if state is None or not state.call_open:
            return None
        state.call_open, state.count_name = False, ""
        if reply.result == AttemptResult.OK:
            self.remaining(state)
            estimate.read_total(state, reply.total, self.now)
        elif reply.result in (
            AttemptResult.TIMED_OUT,
            AttemptResult.CONNECTION_LOST,
            AttemptResult.MALFORMED_RESPONSE,
        ):
            state.lease_confirmed = False  # it may have been added or not; the next total will show
        else:
            state.reported -= state.call_amount  # the call was not added, so it is reported again
            state.reset_covered_at(self.now)
        return state

    @staticmethod
    def record_grant(state: QuotaState, units: float) -> None:
        """Record whether a wait for a total found so many units left.

        Fewer calls are made for customers that send far more than their quota; otherwise all gateways would
        call the counter for them again and again.
        """
        granted = state.remaining >= units
        ratio = state.grant_ratio + GRANT_RATIO_WEIGHT * (granted - state.grant_ratio)
        state.grant_ratio = max(ratio, 1 / state.replicas)

    def sweep(self) -> None:
        """Remove expired customers and give back idle leases; each call checks only some of the customers."""
        for state in self.registry.sweep(self.now, self._return_idle_lease):
            self.open_calls.pop(state.count_name, None)

    def _return_idle_lease(self, state: QuotaState) -> None:
        if state.reported > state.used and self.now - state.seen_at >= lease.IDLE_TIMEOUT_MS:
            self.report_use(state)

    def is_quiescent(self) -> bool:
        """Whether no customer's past use affects decisions any more."""
        return self.registry.is_quiescent(self.now)
