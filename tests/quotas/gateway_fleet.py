"""Gateways that share one customer's quota through one counter, driven by the tests step by step."""

from __future__ import annotations

from conftest import Driver

from hillmux import interface as api
from hillmux.interface import AttemptResult
from hillmux.quotas import lease, window
from hillmux.quotas.state import QuotaState

PLAN = api.Plan("wide", rate=2.0, burst=24.0)
ROUNDING = 1e-6
NAME = "c"


def window_start(plan: api.Plan = PLAN, number: int = 50_000) -> float:
    """Return the time (ms) at which the customer's window with this number starts."""
    return (number - window.phase(window.digest(NAME))) * window.length_ms(plan)


class GatewayFleet:
    """Gateways on one clock and one counter, which answers at once unless a test makes it fail."""

    def __init__(self, gateways: int, plan: api.Plan = PLAN, into_ms: float = 100.0) -> None:
        self.gateway_count, self.plan = gateways, plan
        self.now = self.started_at = window_start(plan) + into_ms
        self.totals: dict[str, float] = {}
        self.clock_offsets_ms = [0.0] * gateways  # of the gateways' clocks
        # By gateway whose calls fail: the result of its calls, and whether the counter adds them.
        self.failing_calls: dict[int, tuple[str, bool]] = {}
        self.units_sent = [0.0] * gateways  # by gateway
        self.gateways = [self.new_gateway(number) for number in range(gateways)]

    def new_gateway(self, number: int, plan: api.Plan | None = None) -> Driver:
        """Create a gateway without any state."""
        plans = (plan or self.plan,)
        now = self.now + self.clock_offsets_ms[number]
        return Driver(
            seed=number + 1, now=now, plans=plans, gateway_index=number, fleet_size=self.gateway_count
        )

    def state(self, number: int) -> QuotaState:
        return self.gateways[number].gateway.quotas.registry.states[NAME, self.plan.name]

    def leased_units(self, number: int) -> float:
        """Return the units that a gateway may spend without a counter call."""
        return lease.available(self.state(number))

    def use_elsewhere(self, units: float) -> None:
        """Add use by gateways that are not simulated to the count; negative units are given back."""
        length = window.length_ms(self.plan)
        digest = window.digest(NAME)
        name = window.count_name(digest, "", int(self.now / length + window.phase(digest)))
        self.totals[name] = self.totals.get(name, 0.0) + units

    def wait(self, duration_ms: float) -> None:
        """Advance the clocks in steps of 100 ms, with a sweep at each gateway per step."""
        end = self.now + duration_ms
        while self.now < end:
            self.now = min(self.now + 100.0, end)
            for number, driver in enumerate(self.gateways):
                driver.now = self.now + self.clock_offsets_ms[number]
                driver.handle(api.TimerFired("sweep"))
                self.answer_calls(number)

    def send_request(
        self, number: int, units: float = 1.0, actual_units: float = 0.0, after_ms: float = 1.0
    ) -> bool:
        """Send one request; return whether it was forwarded. A forwarded request completes at once."""
        self.now += after_ms
        driver = self.gateways[number]
        driver.now = self.now + self.clock_offsets_ms[number]
        rid, _ = driver.request(plan=self.plan.name, customer=NAME, units=units, width=self.gateway_count)
        self.answer_calls(number)
        sent = any(isinstance(act, api.SendAttempt) and act.request_id == rid for _, act in driver.log[-20:])
        if sent:
            self.units_sent[number] += actual_units or units
            driver.end(rid, true_units=actual_units)
            self.answer_calls(number)
        return sent

    def answer_calls(self, number: int) -> None:
        """Reply to a gateway's outstanding counter calls, as `failing_calls` says if it names the gateway."""
        driver = self.gateways[number]
        result, adds = self.failing_calls.get(number, (AttemptResult.OK, True))
        while driver.answered < len(driver.log):
            _, call = driver.log[driver.answered]
            driver.answered += 1
            if not isinstance(call, api.IncrementCounter):
                continue
            if adds:
                self.totals[call.name] = self.totals.get(call.name, 0.0) + call.amount
            driver.handle(api.CounterReply(call.name, result, self.totals.get(call.name, 0.0)))

    def counter_calls(self, number: int) -> list[api.IncrementCounter]:
        return [act for _, act in self.gateways[number].log if isinstance(act, api.IncrementCounter)]

    def prefetch(self, number: int) -> float:
        """Send requests to one gateway only until it prefetches; return the units of its lease."""
        for _ in range(12):
            self.send_request(number)
            if self.leased_units(number) >= 1:
                return self.leased_units(number)
        raise AssertionError("nothing was prefetched in 12 requests")

    def flood(self, *numbers: int, times: int = 40, after_ms: float = 1.0) -> float:
        """Send requests to these gateways in turn; return the units that were forwarded."""
        before = sum(self.units_sent)
        for _ in range(times):
            for number in numbers:
                self.send_request(number, after_ms=after_ms)
        return sum(self.units_sent) - before

    def granted_units(self) -> float:
        """Return the units that the quota has granted the customer since the start."""
        return self.plan.burst + self.plan.rate * (self.now - self.started_at) / 1000


def reject_with_reserve(fleet: GatewayFleet, number: int = 0) -> None:
    """Have a request rejected whose reserve stays as a lease, first in the queue for the next unit."""
    fleet.use_elsewhere(fleet.plan.burst - 2)
    assert fleet.send_request(number)
    fleet.use_elsewhere(1.0)
    assert not fleet.send_request(number, after_ms=20.0)
    assert fleet.leased_units(number) == 1.0
