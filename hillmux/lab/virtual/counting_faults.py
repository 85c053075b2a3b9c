"""Faults for many gateways that share one counter (`hillmux.lab.virtual.counting`).

Times are in milliseconds; `at_ms` is the time since the start of the scenario.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Final

from hillmux.interface import AttemptResult
from hillmux.lab.random_streams import Stream
from hillmux.lab.virtual.counting import (
    START_TIME_MS,
    CounterCall,
    CountingFleet,
    CountingGateway,
    CountingScenario,
)

ROLLBACK_MS: Final = 10_000.0  # age of the copy from which the counter is restored


class CallFailure(Enum):
    """How calls to the counter fail."""

    CUT_ADDED = "cut_added"  # the connection is lost after the counter added the amount
    CUT_NOT_ADDED = "cut_not_added"  # the connection is lost before the call reaches the counter
    LOST = "lost"  # the call times out, and nothing is added
    LATE = "late"  # the call reaches the counter, which adds the amount, only after the time-out


@dataclass(slots=True, frozen=True)
class Kill:
    """A gateway is killed, and started without any state after `down_ms`."""

    at_ms: float
    gateway: int
    down_ms: float


@dataclass(slots=True, frozen=True)
class CounterUnreachable:
    """A gateway can't reach the counter for `length_ms`."""

    at_ms: float
    gateway: int
    length_ms: float


@dataclass(slots=True, frozen=True)
class FailingCalls:
    """A random share of all gateways' calls fails for `length_ms`."""

    at_ms: float
    length_ms: float
    share: float
    failure: CallFailure


@dataclass(slots=True, frozen=True)
class CounterReset:
    """The counter is restarted without its counts."""

    at_ms: float


@dataclass(slots=True, frozen=True)
class CounterRolledBack:
    """The counter is restarted with its counts of `age_ms` ago, at the earliest of the scenario's start."""

    at_ms: float
    age_ms: float = ROLLBACK_MS


@dataclass(slots=True, frozen=True)
class ClockJump:
    """A gateway's clock jumps forwards; with `at_ms` 0 it has an offset of either sign from the start."""

    at_ms: float
    gateway: int
    by_ms: float


@dataclass(slots=True, frozen=True)
class TrafficMoved:
    """All requests of a customer go to one gateway of its set from now on; with None to all of them again."""

    at_ms: float
    customer: int
    gateway: int | None


Fault = Kill | CounterUnreachable | FailingCalls | CounterReset | CounterRolledBack | ClockJump | TrafficMoved


class FaultyFleet(CountingFleet):
    """A fleet with scheduled faults.

    Raises:
        ValueError: A fault would set a clock back after the start.
    """

    def __init__(
        self,
        scenario: CountingScenario,
        faults: Iterable[Fault],
        inspect: Callable[[CountingGateway], None] | None = None,
        check: Callable[[CountingFleet], None] | None = None,
    ) -> None:
        super().__init__(scenario, inspect, check)
        self.enable_counter_timeouts()
        self.call_interceptor = self._fail_if_drawn
        self._failing_calls: list[FailingCalls] = []
        self._unreachable_until: dict[int, float] = {}  # virtual time by gateway number
        self._draws = Stream(scenario.seed, "bad calls")
        for fault in faults:
            self._schedule_fault(fault)

    def _schedule_fault(self, fault: Fault) -> None:
        if isinstance(fault, ClockJump) and fault.at_ms <= 0:
            self._set_clock_offset(fault)
            return
        if isinstance(fault, ClockJump) and fault.by_ms < 0:
            raise ValueError(f"by_ms: found {fault.by_ms:g}, allowed 0 or more after the start")
        if isinstance(fault, CounterRolledBack):
            self.loop.at(START_TIME_MS + max(fault.at_ms - fault.age_ms, 0.0), self._copy_counter, fault)
            return
        self.loop.at(START_TIME_MS + fault.at_ms, self._apply_fault, fault)

    def _set_clock_offset(self, fault: ClockJump) -> None:
        """Set a gateway's clock offset and start it again, so that its module never sees another clock."""
        self.gateways[fault.gateway].clock_offset_ms = fault.by_ms
        self.start(fault.gateway)

    def _copy_counter(self, fault: CounterRolledBack) -> None:
        self.loop.at(START_TIME_MS + fault.at_ms, self._restart_counter, self.counter.copy())

    def _restart_counter(self, totals: list[dict[str, tuple[float, float]]] | None) -> None:
        self.counter.stop()
        self.counter.start(totals)

    def _apply_fault(self, fault: Fault) -> None:
        match fault:
            case Kill():
                self.kill(fault.gateway)
                self.loop.after(fault.down_ms, self.start, fault.gateway)
            case CounterUnreachable():
                self._disconnect_counter(fault)
            case FailingCalls():
                self._failing_calls.append(fault)
                self.loop.after(fault.length_ms, self._failing_calls.remove, fault)
            case CounterReset():
                self._restart_counter(None)
            case ClockJump():
                self.gateways[fault.gateway].clock_offset_ms += fault.by_ms
            case TrafficMoved():
                self.customers[fault.customer].only_gateway = fault.gateway

    def _disconnect_counter(self, fault: CounterUnreachable) -> None:
        gateway, until = self.gateways[fault.gateway], self.loop.now + fault.length_ms
        if gateway.disconnected_at is None:
            gateway.disconnected_at = self.loop.now
        self._unreachable_until[fault.gateway] = max(until, self._unreachable_until.get(fault.gateway, until))
        self.loop.at(until, self._reconnect_counter, fault.gateway)

    def _reconnect_counter(self, number: int) -> None:
        if self.loop.now >= self._unreachable_until[number]:
            self.gateways[number].disconnected_at = None

    def _fail_if_drawn(self, call: CounterCall) -> bool:
        """Draw whether a call fails, and return True if it does."""
        for fault in self._failing_calls:
            if self._draws.uniform() < fault.share:
                self._fail_call(call, fault.failure)
                return True
        return False

    def _fail_call(self, call: CounterCall, failure: CallFailure) -> None:
        delay_ms = self.draw_counter_delay_ms()
        if failure is CallFailure.LATE:
            self.loop.after(delay_ms + self.scenario.counter_timeout_ms, self.deliver_call, call)
        elif failure is CallFailure.CUT_ADDED:
            action = call.action
            self.loop.after(
                delay_ms, self.counter.call, action.name, action.amount, action.retention_ms, _discard_reply
            )
        if failure in (CallFailure.CUT_ADDED, CallFailure.CUT_NOT_ADDED):
            self.loop.after(2 * delay_ms, self.end_call, call, AttemptResult.CONNECTION_LOST, 0.0)


def _discard_reply(result: AttemptResult, total: float) -> None:
    """Discard a reply on a connection that is lost."""
