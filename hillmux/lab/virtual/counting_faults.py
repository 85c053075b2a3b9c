"""Faults for many gateways on one counter (`hillmux.lab.virtual.counting`).

Times in milliseconds since the start of the scenario.
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

ROLLBACK_MS: Final = 10_000.0


class CallFailure(Enum):
    """How calls to the counter fail."""

    CUT_ADDED = "cut_added"  # the connection broke after the counter had added
    CUT_NOT_ADDED = "cut_not_added"
    LOST = "lost"  # silence, nothing added
    LATE = "late"  # arrives, and is added, after the gateway has given up


@dataclass(slots=True, frozen=True)
class Kill:
    """A gateway is killed, and started from nothing some time later."""

    at_ms: float
    gateway: int
    down_ms: float


@dataclass(slots=True, frozen=True)
class CounterUnreachable:
    """A gateway does not reach the counter for a time."""

    at_ms: float
    gateway: int
    length_ms: float


@dataclass(slots=True, frozen=True)
class FailingCalls:
    """For a time a share of all calls ends badly."""

    at_ms: float
    length_ms: float
    share: float
    failure: CallFailure


@dataclass(slots=True, frozen=True)
class CounterReset:
    """The counter is restarted and has lost all counts."""

    at_ms: float


@dataclass(slots=True, frozen=True)
class CounterRolledBack:
    """The counter is restarted with what it held some time ago, or at the start if that is later."""

    at_ms: float
    age_ms: float = ROLLBACK_MS


@dataclass(slots=True, frozen=True)
class ClockJump:
    """A gateway's clock jumps forwards. A clock that is off from the start: `at_ms` 0, and either way."""

    at_ms: float
    gateway: int
    by_ms: float


@dataclass(slots=True, frozen=True)
class TrafficMoved:
    """All requests of a customer come to one gateway of its set from now on; None: to all again."""

    at_ms: float
    customer: int
    gateway: int | None


Fault = Kill | CounterUnreachable | FailingCalls | CounterReset | CounterRolledBack | ClockJump | TrafficMoved


class FaultyFleet(CountingFleet):
    """A fleet that suffers faults at their times.

    Raises:
        ValueError: a clock that would run backwards.
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
        self.call_interceptor = self._spoil
        self._bad_calls: list[FailingCalls] = []
        self._cut_off_until: dict[int, float] = {}  # by gateway
        self._luck = Stream(scenario.seed, "bad calls")
        for fault in faults:
            self._plan_fault(fault)

    def _plan_fault(self, fault: Fault) -> None:
        if isinstance(fault, ClockJump) and fault.at_ms <= 0:
            self._clock_off(fault)
            return
        if isinstance(fault, ClockJump) and fault.by_ms < 0:
            raise ValueError(f"by_ms: found {fault.by_ms:g}, allowed 0 or more after the start")
        if isinstance(fault, CounterRolledBack):
            self.loop.at(START_TIME_MS + max(fault.at_ms - fault.age_ms, 0.0), self._copy_counter, fault)
            return
        self.loop.at(START_TIME_MS + fault.at_ms, self._suffer, fault)

    def _clock_off(self, fault: ClockJump) -> None:
        """A gateway's clock is off from its start: its module begins anew and sees no other time."""
        self.gateways[fault.gateway].clock_offset_ms = fault.by_ms
        self.start(fault.gateway)

    def _copy_counter(self, fault: CounterRolledBack) -> None:
        self.loop.at(START_TIME_MS + fault.at_ms, self._restart_counter, self.counter.copy())

    def _restart_counter(self, known: list[dict[str, tuple[float, float]]] | None) -> None:
        self.counter.stop()
        self.counter.start(known)

    def _suffer(self, fault: Fault) -> None:
        match fault:
            case Kill():
                self.kill(fault.gateway)
                self.loop.after(fault.down_ms, self.start, fault.gateway)
            case CounterUnreachable():
                self._cut_off(fault)
            case FailingCalls():
                self._bad_calls.append(fault)
                self.loop.after(fault.length_ms, self._bad_calls.remove, fault)
            case CounterReset():
                self._restart_counter(None)
            case ClockJump():
                self.gateways[fault.gateway].clock_offset_ms += fault.by_ms
            case TrafficMoved():
                self.customers[fault.customer].only_gateway = fault.gateway

    def _cut_off(self, fault: CounterUnreachable) -> None:
        gateway, until = self.gateways[fault.gateway], self.loop.now + fault.length_ms
        if gateway.disconnected_at is None:
            gateway.disconnected_at = self.loop.now
        self._cut_off_until[fault.gateway] = max(until, self._cut_off_until.get(fault.gateway, until))
        self.loop.at(until, self._reach_again, fault.gateway)

    def _reach_again(self, number: int) -> None:
        if self.loop.now >= self._cut_off_until[number]:
            self.gateways[number].disconnected_at = None

    def _spoil(self, call: CounterCall) -> bool:
        """Let a call end badly, if it is one of a share that does."""
        for fault in self._bad_calls:
            if self._luck.uniform() < fault.share:
                self._end_badly(call, fault.failure)
                return True
        return False

    def _end_badly(self, call: CounterCall, end: CallFailure) -> None:
        way = self.draw_counter_delay_ms()
        if end is CallFailure.LATE:
            self.loop.after(way + self.scenario.counter_timeout_ms, self.deliver_call, call)
        elif end is CallFailure.CUT_ADDED:
            act = call.action
            self.loop.after(way, self.counter.call, act.name, act.amount, act.retention_ms, _unheard)
        if end in (CallFailure.CUT_ADDED, CallFailure.CUT_NOT_ADDED):
            self.loop.after(2 * way, self.end_call, call, AttemptResult.CONNECTION_LOST, 0.0)


def _unheard(result: AttemptResult, total: float) -> None:
    """An answer on a connection that is gone."""
