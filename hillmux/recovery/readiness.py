"""How far a gateway has recovered after a start or a fault, by its own view: its phase, and the causes.

    starting    it cannot serve: no hosts are known, or discovery's first answer is awaited
    learning    it serves from restored or configured state: discovery or the counter has not answered yet, or
                too few outcomes were seen to know usual latencies
    ramping     it admits less than all requests, or many of its hosts warm up or are ejected
    full        no such cause held for `FULL_AFTER_CLEAR_MS`

This is the gateway's own view; what clients see, served weight and latency, is judged by `full_service.py`.
Once full, ordinary overload does not end the phase; a stall of the process or the loss of many hosts does.
Free of I/O; times in milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

FULL_AFTER_CLEAR_MS = 5_000.0  # as `full_service.HOLD_S`
MIN_OUTCOMES = 20  # outcomes after which usual latencies are known
FULL_ADMIT_FRACTION = 0.98
MAX_IMPAIRED_SHARE = 0.1  # of the hosts, up to which a recovering gateway may become full
RESTART_IMPAIRED_SHARE = 0.3  # of the hosts, from which on a full gateway recovers anew


class Phase(StrEnum):
    """A phase of recovery; values are reported to operators."""

    STARTING = "starting"
    LEARNING = "learning"
    RAMPING = "ramping"
    FULL = "full"


@dataclass(slots=True, frozen=True)
class GatewayCondition:
    """What a gateway sees of itself now."""

    ready: bool
    discovery_answered: bool  # since the start of the process
    counter_answers: bool  # also true where no counter is used
    outcomes: int  # of attempts, since the start of the process
    admit_fraction: float  # of the requests of lowest priority
    hosts: int  # that are up
    warming_hosts: int
    ejected_hosts: int
    stalled: bool  # the process was stopped a moment ago

    def impaired_share(self) -> float:
        """The share of the hosts that warm up or are ejected."""
        return (self.warming_hosts + self.ejected_hosts) / max(self.hosts, 1)


@dataclass(slots=True, frozen=True)
class Readiness:
    """A phase, when it began, and the causes that keep the gateway from the next one."""

    phase: Phase
    since_ms: float
    causes: tuple[str, ...] = ()

    def text(self) -> str:
        """Phase and causes on one line, for the log and for operators."""
        return self.phase + (f": {'; '.join(self.causes)}" if self.causes else "")


class ReadinessTracker:
    """The phase of one gateway, from periodic observations of its condition."""

    def __init__(self, now_ms: float) -> None:
        self.current = Readiness(Phase.STARTING, now_ms, ("no look yet",))
        self.recovery_started_ms = now_ms
        self.recovery_ms: float | None = None  # how long the recovery took, once the gateway is full
        self._clear_since_ms: float | None = None  # since when no cause holds

    def update(self, now_ms: float, condition: GatewayCondition) -> bool:
        """Judge the condition of now; returns whether the phase has changed."""
        before = self.current
        if before.phase == Phase.FULL:
            if not _recovers_anew(condition):
                return False
            self.recovery_started_ms, self.recovery_ms, self._clear_since_ms = now_ms, None, None
        phase, causes = _causes(condition)
        if causes:
            self._clear_since_ms = None
        else:
            phase, causes = self._after_causes_ended(now_ms)
        since_ms = before.since_ms if phase == before.phase else now_ms
        self.current = Readiness(phase, since_ms, causes)
        return phase != before.phase

    def _after_causes_ended(self, now_ms: float) -> tuple[Phase, tuple[str, ...]]:
        """Full once no cause has held for long enough; the recovery ended when the last cause did."""
        if self._clear_since_ms is None:
            self._clear_since_ms = now_ms
        if now_ms - self._clear_since_ms < FULL_AFTER_CLEAR_MS:
            return Phase.RAMPING, ("nothing is in the way, for less than 5 s",)
        self.recovery_ms = self._clear_since_ms - self.recovery_started_ms
        return Phase.FULL, ()


def _recovers_anew(condition: GatewayCondition) -> bool:
    return condition.stalled or not condition.ready or condition.impaired_share() >= RESTART_IMPAIRED_SHARE


def _causes(condition: GatewayCondition) -> tuple[Phase, tuple[str, ...]]:
    """The earliest phase that any cause holds the gateway in, with its causes; none: nothing holds it."""
    if not condition.ready:
        return Phase.STARTING, (_starting_cause(condition),)
    if learning := _learning_causes(condition):
        return Phase.LEARNING, learning
    return Phase.RAMPING, _ramping_causes(condition)


def _starting_cause(condition: GatewayCondition) -> str:
    return "the list is waited for, or it drains" if condition.hosts else "no hosts are known"


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
