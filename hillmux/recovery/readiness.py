"""A gateway's phase of recovery after a start or a fault, and the causes that keep it there.

    starting    it cannot serve: no hosts are known, or discovery's first answer is awaited
    learning    it serves from restored or configured state: discovery or the counter has not answered yet, or
                there were too few outcomes to estimate usual latencies
    ramping     it does not admit all requests, or many of its hosts are warming up or ejected
    full        no such cause has held for `FULL_AFTER_CLEAR_MS`

This is the gateway's own view; `full_service.py` evaluates what clients see: served weight and latency.
Ordinary overload does not end the phase `full`; a stall of the process or the loss of many hosts does.
Free of I/O; times in milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

FULL_AFTER_CLEAR_MS = 5_000.0  # the same time as `full_service.HOLD_S`
MIN_OUTCOMES = 20  # outcomes needed to estimate usual latencies
FULL_ADMIT_FRACTION = 0.98
MAX_IMPAIRED_SHARE = 0.1  # share of impaired hosts up to which a recovering gateway becomes full
RESTART_IMPAIRED_SHARE = 0.3  # share of impaired hosts at which a full gateway starts to recover again


class Phase(StrEnum):
    """A phase of recovery; values are reported to operators."""

    STARTING = "starting"
    LEARNING = "learning"
    RAMPING = "ramping"
    FULL = "full"


@dataclass(slots=True, frozen=True)
class GatewayCondition:
    """A gateway's observation of itself at one time."""

    ready: bool
    discovery_answered: bool  # since the start of the process
    counter_answers: bool  # also true where no counter is used
    outcomes: int  # attempts that ended since the start of the process
    admit_fraction: float  # fraction of the lowest-priority requests that is admitted
    hosts: int  # number of available hosts
    warming_hosts: int
    ejected_hosts: int
    stalled: bool  # whether the process has just been stalled

    def impaired_share(self) -> float:
        """The share of the hosts that are warming up or ejected."""
        return (self.warming_hosts + self.ejected_hosts) / max(self.hosts, 1)


@dataclass(slots=True, frozen=True)
class Readiness:
    """A phase, its start, and the causes that keep the gateway from the next phase."""

    phase: Phase
    since_ms: float
    causes: tuple[str, ...] = ()

    def text(self) -> str:
        """Phase and causes on one line, for the log and for operators."""
        return self.phase + (f": {'; '.join(self.causes)}" if self.causes else "")


class ReadinessTracker:
    """Derives the phase of one gateway from periodic observations of its condition.

    Attributes:
        current: The current phase and its causes.
        recovery_started_ms: The start of the current or last recovery.
        recovery_ms: The duration of the last recovery; None until it is complete.
    """

    def __init__(self, now_ms: float) -> None:
        self.current = Readiness(Phase.STARTING, now_ms, ("no look yet",))
        self.recovery_started_ms = now_ms
        self.recovery_ms: float | None = None
        self._clear_since_ms: float | None = None  # start of the time without any cause

    def update(self, now_ms: float, condition: GatewayCondition) -> bool:
        """Update the phase from the current condition; returns whether the phase has changed."""
        before = self.current
        if before.phase == Phase.FULL:
            if not _recovery_restarts(condition):
                return False
            self.recovery_started_ms, self.recovery_ms, self._clear_since_ms = now_ms, None, None
        phase, causes = _causes(condition)
        if causes:
            self._clear_since_ms = None
        else:
            phase, causes = self._phase_without_causes(now_ms)
        since_ms = before.since_ms if phase == before.phase else now_ms
        self.current = Readiness(phase, since_ms, causes)
        return phase != before.phase

    def _phase_without_causes(self, now_ms: float) -> tuple[Phase, tuple[str, ...]]:
        """The phase while no cause holds: full after `FULL_AFTER_CLEAR_MS`.

        The recovery time ends with the last cause.
        """
        if self._clear_since_ms is None:
            self._clear_since_ms = now_ms
        if now_ms - self._clear_since_ms < FULL_AFTER_CLEAR_MS:
            return Phase.RAMPING, ("nothing is in the way, for less than 5 s",)
        self.recovery_ms = self._clear_since_ms - self.recovery_started_ms
        return Phase.FULL, ()


def _recovery_restarts(condition: GatewayCondition) -> bool:
    return condition.stalled or not condition.ready or condition.impaired_share() >= RESTART_IMPAIRED_SHARE


def _causes(condition: GatewayCondition) -> tuple[Phase, tuple[str, ...]]:
    """The earliest phase that has a cause, and its causes; no causes if there are none."""
    if not condition.ready:
        return Phase.STARTING, (_starting_cause(condition),)
    if learning := _learning_causes(condition):
        return Phase.LEARNING, learning
    return Phase.RAMPING, _ramping_causes(condition)


def _starting_cause(condition: GatewayCondition) -> str:
    if condition.hosts or not condition.discovery_answered:
        return "the list is waited for, or it drains"
    return "no hosts are known"


def _learning_causes(condition: GatewayCondition) -> tuple[str, ...]:
    causes = []
    if not condition.discovery_answered:
        causes.append("discovery has not answered: hosts are those of the kept list")
    if not condition.counter_answers:
        causes.append("the counter does not answer: quotas go by estimates")
    if condition.outcomes < MIN_OUTCOMES:
        causes.append(f"{condition.outcomes} of {MIN_OUTCOMES} outcomes seen")
    return tuple(causes)


def _ramping_causes(condition: GatewayCondition) -> tuple[str, ...]:
    causes = []
    if condition.stalled:
        causes.append("it stood still")
    if condition.admit_fraction < FULL_ADMIT_FRACTION:
        causes.append(f"{condition.admit_fraction:.2f} is let in")
    if condition.impaired_share() > MAX_IMPAIRED_SHARE:
        causes.append(
            f"of {condition.hosts} hosts {condition.warming_hosts} are cold"
            f" and {condition.ejected_hosts} fail"
        )
    return tuple(causes)
