"""Quotas and ceilings of all customers, as the decision module asks for them.

Theory of operation. A customer's quota is one store over all gateways that serve it. What they use is added
up by the shared counter, under a name for each window (`window`); between two totals a gateway goes by its
own use and an estimate of the others' (`estimate`). Calls to a counter that does not answer are made rarer
(`throttle`). A ceiling is never shared by totals: each gateway holds a part of its own (`ceiling`).
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Final

from hillmux import interface as api
from hillmux.interface import AttemptResult
from hillmux.quotas import ceiling, estimate, lease, window
from hillmux.quotas.randomized_rounding import round_to_whole
from hillmux.quotas.registry import FORGET_WINDOWS, Registry
from hillmux.quotas.state import QuotaState
from hillmux.quotas.throttle import SILENT_RATE, CallThrottle

GRANT_RATIO_WEIGHT: Final = 0.3  # weight of one wait for a total in the mean of those that found units
ROUNDING_UNITS: Final = 1e-9  # what a sum of units may lack of a whole


class Quotas:
    """Quotas and ceilings of all customers, and the counter calls that keep them known."""

    def __init__(
        self, settings: api.Settings, rng: random.Random, on_window_end: Callable[[QuotaState], None]
    ) -> None:
        """`on_window_end` is called with a customer whose window ends, before its count is begun anew."""
        self.settings, self.rng, self.on_window_end = settings, rng, on_window_end
        self.actions: list[api.Action] = []  # where calls go, as the module's actions
        self.now = 0.0
        self.started_at: float | None = None  # moment of the gateway's start
        self.shedding_load = False  # admission control does not admit all requests
        self.taken_over = False  # another process holds this gateway's parts of ceilings
        self.draining = False  # this process ends soon: it keeps no leases
        self.window_ms = {plan.name: window.length_ms(plan) for plan in settings.plans}
        self.plan_tags = window.plan_tags(settings.plans)
        self.registry = Registry(settings)
        self.throttle = CallThrottle(rng)
        self.open_calls: dict[str, QuotaState] = {}  # by the name of the count, while a call is open

    def change_settings(self, settings: api.Settings) -> None:
        """Go over to new settings with the same plans."""
        self.settings = settings
        self.registry.max_customers = settings.max_customers

    def state_for(self, request: api.Request, plan: api.Plan) -> QuotaState | None:
        """A customer's state under a plan; None where there is no room to know one more customer.

        Each plan counts by itself: another plan in a customer's name would reset its use. A number of
        replicas holds for a window and the next: named once, a wrong one would shrink the customer's parts
        for good.
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
        """Make room for one more customer and add it; None if there is no room."""
        if self.registry.is_full():
            forgotten = self.registry.forget_early()
            if forgotten is None:
                return None
            self.open_calls.pop(forgotten.count_name, None)
        gateway_start = self.started_at or 0.0
        state = QuotaState(key, plan, replicas, self.now, self.now - gateway_start)
        self.registry.add(state, gateway_start)
        return state

    def _enter_window(self, state: QuotaState, position: float) -> None:
        """Go over to the current window; `position`: its number, and as a fraction the part that is over."""
        length, gap = self.window_ms[state.plan.name], state.request_gap_ms
        keep_lease = gap < lease.IDLE_TIMEOUT_MS
        self._start_window(state, int(position), self.now - position % 1 * length, keep_lease)
        if gap >= FORGET_WINDOWS * length:
            # Totals read so long ago are no guide, and asking anew for each of 100,000 seldom seen customers
            # would overload the counter. At most the split of the burst goes unreported.
            state.remaining = min(self.remaining(state), state.plan.burst / state.replicas)

    def _start_window(self, state: QuotaState, number: int, start: float, keep_lease: bool) -> None:
        """Go over to the window of this number, which started at `start` (ms).

        A gateway that sees a customer once in many seconds notices late. What the others used since the start
        is in the new window's total, so what remained is also taken at that start.
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
        """Units left of the quota now."""
        if self.now > state.remaining_at:
            self._advance(state, self.now)
        return state.remaining

    def _advance(self, state: QuotaState, now: float) -> None:
        estimate.advance(state, now, self.shedding_load, self.throttle.answer_rate < SILENT_RATE)

    def should_ask_counter(self, state: QuotaState, units: float) -> bool:
        """Whether the counter should be asked first.

        So it is where no total was read yet, or where the last total would allow what the estimate does not
        plainly allow.
        """
        if not self.settings.counter_available or not state.has_quota:
            return False
        if state.last_total is None:
            return self.throttle.may_call(self.now)
        if self.now > state.remaining_at:
            self._advance(state, self.now)
        spare = state.remaining - units
        if spare >= 0 and spare * spare >= state.others_rate * (self.now - state.last_total_at):
            return False  # more is left than the others' use may differ from its estimate (Poisson)
        if units > state.upper_bound:
            return False
        if lease.available(state) >= units or not self.throttle.may_call(self.now):
            return False
        # Where asking finds nothing, it is asked again as soon as a refill for all gateways has come in.
        refilled_ms = state.batch_divisor * units / state.plan.rate * 1000
        return self.now - state.last_total_at >= refilled_ms or self.rng.random() < state.grant_ratio

    def has_units(self, state: QuotaState, units: float) -> bool:
        """Whether the quota has room for a request of so many units."""
        plan = state.plan
        if plan.max_concurrency and state.open_requests >= max(1, plan.max_concurrency // state.replicas):
            return False
        if not state.has_quota or (state.last_total is None and state.used == 0):
            return True  # one request costs nearly nothing, and its call to the counter tells more
        if self.now > state.remaining_at:
            self._advance(state, self.now)
        if state.reported > state.used and lease.available(state) >= units:
            return not self.taken_over and lease.covers(state, units, self.now)
        if state.last_total is None or self.throttle.answer_rate < SILENT_RATE:
            # A split smaller than the request serves it by chance: the sum over all gateways is right.
            state.remaining = round_to_whole(self.rng, state.remaining, units)
        return state.remaining >= units - ROUNDING_UNITS

    def ceiling_has_units(self, state: QuotaState, units: float) -> bool:
        """Whether this gateway's part of the ceiling holds so many units; True for a plan without one."""
        if state.plan.ceiling_rate <= 0:
            return True
        return not self.taken_over and ceiling.has_units(state, units, self.now)

    def spend(self, state: QuotaState, units: float) -> None:
        """Take units from the quota; negative ones are given back."""
        now, covered_at = self.now, state.covered_at
        state.covered_at = (covered_at if covered_at > now else now) + units * state.share_ms
        state.used += units
        state.remaining -= units
        state.upper_bound -= units

    def refund(self, state: QuotaState, units: float, beyond_quota: bool) -> None:
        """Undo a request of which nothing was sent; one `beyond_quota` took none of it."""
        state.ceiling_remaining += units  # `ceiling.has_units` holds it to what is full
        if not beyond_quota:
            self.spend(state, -units)
            self.report_use(state)

    def report_use(self, state: QuotaState, reserve: float = 0.0) -> None:
        """Report use to the counter if it is due, or give back what a lease holds too much.

        A gateway that keeps within its even share of the refill reports in large batches, one that goes
        beyond it in batches that shrink as the customer nears its quota.

        `reserve`: units of a request that waits for the total. They are reported with the same call; if it is
        refused they are a lease.
        """
        if not self.settings.counter_available or not state.has_quota or state.call_open:
            return
        amount = state.used - state.reported
        if reserve:
            # What may have been reported and not be held by the counter is not given back: the total is read.
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
        """Whether so many unreported units are a batch, and a call may be made."""
        now = self.now
        if now > state.remaining_at:
            self._advance(state, now)
        remaining, uncovered_ms = state.remaining, state.covered_at - now
        if amount < state.batch_share * remaining and uncovered_ms * state.batch_rate < remaining:
            return False
        return self.throttle.may_call(now)

    def _call_counter(self, state: QuotaState, amount: float, reserve: float) -> None:
        """Report so many units, those of the `reserve` and what is drawn ahead among them."""
        if amount > 0:
            amount += lease.draw_ahead(state, amount, self.remaining(state) - reserve, self.now)
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
        if self.taken_over:  # the process that goes on holds the lease
            return 0.0
        return lease.available(state) if self.draining else lease.surplus(state, self.now)

    def drain(self) -> None:
        """Give back all leases, now and from now on: this process ends soon."""
        self.draining = True
        for state in self.registry.states.values():
            if state.reported > state.used:
                self.report_use(state)

    def handle_reply(self, reply: api.CounterReply) -> QuotaState | None:
        """Take the result of one call; the customer it was for, None if the call was given up meanwhile."""
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
            state.lease_confirmed = False  # it may have been added, or not: the next total tells
        else:
            state.reported -= state.call_amount  # a call that may have counted is not added twice
            state.uncover(self.now)
        return state

    @staticmethod
    def record_grant(state: QuotaState, units: float) -> None:
        """Note whether a wait for a total found so many units left.

        Customers that flood are asked for less often: otherwise all gateways ask again and again for them.
        """
        granted = state.remaining >= units
        ratio = state.grant_ratio + GRANT_RATIO_WEIGHT * (granted - state.grant_ratio)
        state.grant_ratio = max(ratio, 1 / state.replicas)

    def sweep(self) -> None:
        """Forget customers long unseen and give back idle leases, a few looked at each time."""
        for state in self.registry.sweep(self.now, self._return_idle_lease):
            self.open_calls.pop(state.count_name, None)

    def _return_idle_lease(self, state: QuotaState) -> None:
        if state.reported > state.used and self.now - state.seen_at >= lease.IDLE_TIMEOUT_MS:
            self.report_use(state)

    def is_quiescent(self) -> bool:
        """Whether no customer's use counts any more."""
        return self.registry.is_quiescent(self.now)
