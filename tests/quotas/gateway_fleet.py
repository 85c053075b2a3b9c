"""Gateways that share one customer's quota through one counter, driven by hand."""

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
    """The moment (ms) at which the customer's window of this number starts."""
    return (number - window.phase(window.digest(NAME))) * window.length_ms(plan)


class GatewayFleet:
    """Gateways on one clock and one counter, which answers at once unless a test has it fail."""

    def __init__(self, gateways: int, plan: api.Plan = PLAN, into_ms: float = 100.0) -> None:
        self.count, self.plan = gateways, plan
        self.now = self.began = window_start(plan) + into_ms
        self.totals: dict[str, float] = {}
        self.off = [0.0] * gateways  # how far clocks are off, ms
        self.failing: dict[int, tuple[str, bool]] = {}  # by gateway: its calls' result, whether they add
        self.sent = [0.0] * gateways  # units
        self.gateways = [self.fresh(number) for number in range(gateways)]

    def fresh(self, number: int, plan: api.Plan | None = None) -> Driver:
        """A gateway that knows nothing."""
        plans = (plan or self.plan,)
        now = self.now + self.off[number]
        return Driver(seed=number + 1, now=now, plans=plans, gateway_index=number, fleet_size=self.count)

    def state(self, number: int) -> QuotaState:
        return self.gateways[number].gateway.quotas.registry.states[NAME, self.plan.name]

    def lease(self, number: int) -> float:
        """Units that a gateway may spend without asking."""
        return lease.available(self.state(number))

    def use_elsewhere(self, units: float) -> None:
        """Gateways that are not played use units of the customer's quota, or give them back."""
        length = window.length_ms(self.plan)
        digest = window.digest(NAME)
        name = window.count_name(digest, "", int(self.now / length + window.phase(digest)))
        self.totals[name] = self.totals.get(name, 0.0) + units

    def wait(self, for_ms: float) -> None:
        """Time goes by in sweeps, as in service."""
        end = self.now + for_ms
        while self.now < end:
            self.now = min(self.now + 100.0, end)
            for number, driver in enumerate(self.gateways):
                driver.now = self.now + self.off[number]
                driver.handle(api.TimerFired("sweep"))
                self.answer(number)

    def ask(self, number: int, units: float = 1.0, true_units: float = 0.0, after: float = 1.0) -> bool:
        """One request; whether it was sent, and served at once."""
        self.now += after
        driver = self.gateways[number]
        driver.now = self.now + self.off[number]
        rid, _ = driver.request(plan=self.plan.name, customer=NAME, units=units, width=self.count)
        self.answer(number)
        sent = any(isinstance(act, api.SendAttempt) and act.request_id == rid for _, act in driver.log[-20:])
        if sent:
            self.sent[number] += true_units or units
            driver.end(rid, true_units=true_units)
            self.answer(number)
        return sent

    def answer(self, number: int) -> None:
        """The counter answers a gateway's calls; one that fails is added or not."""
        driver = self.gateways[number]
        result, adds = self.failing.get(number, (AttemptResult.OK, True))
        while driver.answered < len(driver.log):
            _, call = driver.log[driver.answered]
            driver.answered += 1
            if not isinstance(call, api.IncrementCounter):
                continue
            if adds:
                self.totals[call.name] = self.totals.get(call.name, 0.0) + call.amount
            driver.handle(api.CounterReply(call.name, result, self.totals.get(call.name, 0.0)))

    def calls(self, number: int) -> list[api.IncrementCounter]:
        return [act for _, act in self.gateways[number].log if isinstance(act, api.IncrementCounter)]

    def draw(self, number: int) -> float:
        """Serve the customer at one gateway alone until it has drawn ahead; units of the lease."""
        for _ in range(12):
            self.ask(number)
            if self.lease(number) >= 1:
                return self.lease(number)
        raise AssertionError("nothing was drawn ahead")

    def flood(self, *numbers: int, times: int = 40, after: float = 1.0) -> float:
        """Requests at these gateways in turn; units that were sent."""
        before = sum(self.sent)
        for _ in range(times):
            for number in numbers:
                self.ask(number, after=after)
        return sum(self.sent) - before

    def quota(self) -> float:
        """Units that the customer has had since the start."""
        return self.plan.burst + self.plan.rate * (self.now - self.began) / 1000


def line_up(fleet: GatewayFleet, number: int = 0) -> None:
    """Have a request refused whose reserve is kept: the first in line for the next unit."""
    fleet.use_elsewhere(fleet.plan.burst - 2)
    assert fleet.ask(number)
    fleet.use_elsewhere(1.0)
    assert not fleet.ask(number, after=20.0)
    assert fleet.lease(number) == 1.0
