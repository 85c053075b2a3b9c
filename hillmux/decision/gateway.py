"""The decisions of one gateway: passes each event to the part that handles it.

A request is checked against quota, ceiling and admission control, then sent to the selected host; its
attempts lead to one final answer. Free of I/O: the caller supplies the events and the time (ms), and executes
the actions.
"""

from __future__ import annotations

import random
from math import inf
from typing import Final

from hillmux import interface as api
from hillmux.balancing.load_balancer import LoadBalancer
from hillmux.decision.admission import AdmissionControl
from hillmux.decision.attempts import AttemptManager
from hillmux.decision.context import HOUSEKEEPING_INTERVAL_MS, DecisionContext
from hillmux.decision.latency import LatencyEstimates
from hillmux.decision.new_requests import NewRequestHandler
from hillmux.decision.occupancy import OccupancyEstimator
from hillmux.decision.retries import RetryBudget
from hillmux.interface import AttemptEnded, ListKind, Request
from hillmux.quotas.quotas import Quotas
from hillmux.quotas.state import QuotaState

STALL_MS: Final = 2 * HOUSEKEEPING_INTERVAL_MS  # a longer delay of housekeeping shows a stall of this process
OUTDATED_MS: Final = 5000.0  # after a stall of this length, the occupancy measured before it is outdated
RESUBSCRIBE_MS: Final = 500.0  # minimum delay before the endpoint list is requested again
HOUSEKEEPING_TIMER: Final = "sweep"
SUBSCRIBE_TIMER: Final = "subscribe"


class Gateway:
    """The decisions of one gateway."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        """Create a gateway without hosts and requests; `seed` initialises its random numbers.

        Raises:
            ValueError: a setting is invalid; the message names the field.
        """
        settings.check()
        self.rng = random.Random(seed)
        self.context = DecisionContext(settings, self.rng)
        self.load_balancer = LoadBalancer(settings, self.rng)
        self.hosts = self.load_balancer.hosts
        self.pending = self.context.pending
        self.quotas = Quotas(settings, self.rng, self._settle)
        self.latency = LatencyEstimates(settings.classes)
        self.occupancy = OccupancyEstimator(self.context, self.load_balancer)
        self.admission = AdmissionControl(self.context, self.quotas, self.latency, self.occupancy)
        self.retry_budget = RetryBudget()
        self.attempts = AttemptManager(
            self.context,
            self.load_balancer,
            self.quotas,
            self.admission,
            self.latency,
            self.occupancy,
            self.retry_budget,
        )
        self.new_requests = NewRequestHandler(
            self.context,
            self.load_balancer,
            self.quotas,
            self.admission,
            self.latency,
            self.attempts,
            self.retry_budget,
        )
        self._housekeeping_due_at = 0.0
        self._overdue_at = -inf  # housekeeping is overdue after this moment, and at the first event

    @property
    def settings(self) -> api.Settings:
        """The settings in force."""
        return self.context.settings

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        """Handle an event at `now_ms` and return the actions; the gateway's clock never moves backwards.

        Raises:
            TypeError: `event` is not an event of `hillmux.interface`.
            ValueError: a new setting is invalid.
        """
        context = self.context
        if now_ms > context.now:
            context.now = self.load_balancer.now = self.quotas.now = now_ms
        context.actions = self.quotas.actions = []
        if context.now > self._overdue_at:
            self._housekeeping_overdue()
        if isinstance(event, Request):
            self.new_requests.handle(event)
        elif isinstance(event, AttemptEnded):
            self.attempts.ended(event)
        else:
            self._handle_control_event(event)
        return context.actions

    def _housekeeping_overdue(self) -> None:
        """Start the gateway at its first event, or handle a stall of this process."""
        if self.context.started_at is None:
            self._start()
        else:
            self._note_stall()

    def _start(self) -> None:
        """Set the housekeeping timer, and subscribe to the endpoint list if discovery requires it."""
        context = self.context
        context.started_at = self.quotas.started_at = context.now
        self._set_housekeeping_timer()
        if context.settings.must_subscribe:
            context.actions.append(api.Subscribe())

    def _set_housekeeping_timer(self) -> None:
        self._housekeeping_due_at = self.context.now + HOUSEKEEPING_INTERVAL_MS
        self._overdue_at = self._housekeeping_due_at + STALL_MS
        self.context.actions.append(api.SetTimer(HOUSEKEEPING_TIMER, HOUSEKEEPING_INTERVAL_MS))

    def _note_stall(self) -> None:
        """Prevent a stall of this process from being mistaken for slow hosts.

        Attempts that were open during the stall give no occupancy sample. After a long stall the gateway
        admits all requests, as a new one does: with the occupancy measured before, it would shed requests
        although hosts are no longer loaded, until the results of the few admitted ones lowered it.
        """
        context = self.context
        context.stalled_at = context.now
        outdated = context.now > self._housekeeping_due_at + OUTDATED_MS
        if outdated and self.admission.admit_fraction < 1:
            self.admission.reset()

    def _handle_control_event(self, event: api.Event) -> None:
        """Handle an event that is less frequent than requests and results of attempts."""
        match event:
            case api.CounterReply():
                self.new_requests.counter_replied(event)
            case api.TimerFired(name=name):
                self._timer_fired(name)
            case api.EndpointList():
                self._update_endpoints(event)
            case api.ResponseStarted():
                self.attempts.response_started(event)
            case api.ClientDisconnected():
                self._client_disconnected(event.request_id)
            case api.HostDisabled():
                self.load_balancer.set_disabled(event.host, event.disabled)
            case api.DrainStarted():
                self.quotas.drain()
            case api.TakenOver():
                self.quotas.taken_over = event.by_successor
            case api.SettingsChanged():
                self._change_settings(event.settings)
            case api.HealthCheckReply() | api.GossipMessage():
                pass
            case _:
                raise TypeError(f"not an event of hillmux.interface: {event!r}")

    def _timer_fired(self, name: str) -> None:
        """Handle a timer; timers with other names, set by an earlier process, are ignored."""
        if name == HOUSEKEEPING_TIMER:
            self._run_housekeeping()
        elif name == SUBSCRIBE_TIMER:
            self.context.actions.append(api.Subscribe())

    def _update_endpoints(self, event: api.EndpointList) -> None:
        if event.kind == ListKind.FAILED:
            delay_ms = RESUBSCRIBE_MS * (1 + self.rng.random())
            self.context.actions.append(api.SetTimer(SUBSCRIBE_TIMER, delay_ms))
        else:
            self.load_balancer.update_endpoints(event)

    def _client_disconnected(self, request_id: str) -> None:
        self.new_requests.client_disconnected(request_id)
        pending = self.pending.get(request_id)
        if pending is not None:
            self.attempts.finish(pending)

    def _settle(self, quota: QuotaState) -> None:
        self.new_requests.settle(quota)

    def _change_settings(self, settings: api.Settings) -> None:
        """Apply new classes and limits; open requests keep theirs.

        Raises:
            ValueError: a setting is invalid, or the plans differ.
        """
        settings.check()
        if settings.plans != self.settings.plans:
            raise ValueError("plans: cannot change in service")
        self.context.change_settings(settings)
        self.load_balancer.change_settings(settings)
        self.quotas.change_settings(settings)
        used_names = {pending.request_class.name for pending in self.pending.values()}
        used_names |= set(self.context.classes) | self.new_requests.waiting_classes()
        self.latency.change_classes(settings.classes, used_names)
        self.admission.retain_classes(used_names)
        self.new_requests.change_classes(settings.classes)

    def _run_housekeeping(self) -> None:
        """Decay observed rates, update the admit fractions and set the timer again."""
        interval_ms = max(self.context.now - self._housekeeping_due_at + HOUSEKEEPING_INTERVAL_MS, 1.0)
        decay = self.occupancy.update_completion_rate(interval_ms)
        self.load_balancer.sweep(interval_ms, decay)
        self.admission.decay_work(decay)
        self.admission.update()
        self.new_requests.settle_overdue()
        self.quotas.sweep()
        self._set_housekeeping_timer()

    def is_idle(self) -> bool:
        """Whether housekeeping may be rare: no open or waiting request, no occupancy that must decay."""
        if self.pending or self.new_requests.waiting_quotas:
            return False
        return self.occupancy.is_idle() and self.admission.admit_fraction >= 1.0

    def is_quiescent(self) -> bool:
        """Whether a new gateway with the same start time and endpoint list could replace this one.

        That is so if there is no request, no usage of a customer that still counts, no host that is warming
        up or ejected, and no overload. Such a gateway may be discarded and created again from its settings
        for the next request: its first event, handled at the time of the start, refills ceilings for all the
        time since.
        """
        return (
            self.is_idle()
            and self.quotas.is_quiescent()
            and all(
                not h.ejections and not h.connection_refused and self.load_balancer.capacity_share(h) >= 1
                for h in self.hosts.values()
            )
        )
