"""A booking node in virtual time: cores, a waiting room, warm-up, the fall of a cold one that is overrun."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from hillmux.lab.clock import Clock

READY, DRAINING = "ready", "draining"
CHANCE = 2.0  # of a cold host's budget of N requests, N + CHANCE x (root N + 1) push nobody over


@dataclass(slots=True, frozen=True)
class HostModel:
    """What a booking node can do; times in milliseconds, work in milliseconds of one core at speed 1."""

    cores: int = 3
    speed: float = 1.0
    waiting: int = 60  # requests that wait beside those in work; more are turned away
    cold_from: float = 0.3  # share of its capacity at its start
    cold_ms: float = 10_000.0  # warm after this
    fall_multiple: float = 2.0
    fall_ms: float = 1_500.0
    handshake_ms: float = 1.0  # work that a new connection costs it


class Job:
    """One attempt at a host; `ended` is told `ok`, `full`, `draining` or `reset`."""

    __slots__ = ("request", "work", "ended", "over")

    def __init__(self, request: str, work: float, ended: Callable[[str], object]) -> None:
        self.request, self.work, self.ended = request, work, ended
        self.over = False  # called off, or ended


class Host:
    """Serves jobs in their order, `cores` at a time. The capacity at a job's start holds for all of it."""

    def __init__(self, loop: Clock, name: str, zone: str, model: HostModel, started_ms: float = 0.0) -> None:
        self.loop, self.name, self.zone, self.model = loop, name, zone, model
        self.state = READY
        self.alive = self.reachable = True
        self.fallen = False
        self.slow = 1.0  # a trouble: this many times slower
        self.started_ms = started_ms  # 0: long ago
        self.incarnation = 0
        self.busy = 0
        self.line: deque[Job] = deque()
        self.work_done = 0.0
        self.dials = self.asked = 0  # connections that came up; attempts that came
        self._running: list[Job] = []
        self._recent: deque[tuple[float, float]] = deque()  # work that came while cold, and when
        self._recent_sum = 0.0
        self._work = 0.0  # of all attempts that came
        self.most_push = 0.0  # the most that came in a window, as a share of what makes it fall

    def warmth(self) -> float:
        """The share of its capacity that it has now."""
        if not self.started_ms:
            return 1.0
        age = (self.loop.now - self.started_ms) / max(self.model.cold_ms, 1e-9)
        return min(1.0, self.model.cold_from + (1 - self.model.cold_from) * max(age, 0.0))

    def capacity(self) -> float:
        """Work that it does in a millisecond now."""
        return self.model.cores * self.model.speed * self.warmth() / self.slow

    def came(self, job: Job) -> None:
        """One attempt has come whole."""
        self.asked += 1
        self._work += job.work
        self._push(job.work)
        if self.state == DRAINING:
            self._end(job, "draining")
        elif self.fallen:
            pass  # it says nothing
        elif self.busy < self.model.cores:
            self._begin(job)
        elif len(self.line) < self.model.waiting:
            self.line.append(job)
        else:
            self._end(job, "full")

    def dialled(self) -> None:
        """A new connection came up."""
        self.dials += 1
        self._push(self.model.handshake_ms)

    def stop(self) -> None:
        """The process dies: what is open is reset."""
        jobs, self._running = [*self._running, *self.line], []
        self.line.clear()
        self.alive, self.busy = False, 0
        self.incarnation += 1
        for job in jobs:
            self._end(job, "reset")

    def start(self) -> None:
        """It is back, cold."""
        self.alive, self.fallen, self.state = True, False, READY
        self.started_ms = max(self.loop.now, 1e-6)
        self._recent.clear()
        self._recent_sum = self.most_push = 0.0

    def _push(self, work: float) -> None:
        if self.warmth() >= 1 or not self.alive:
            return
        now, span = self.loop.now, self.model.fall_ms
        self._recent.append((now, work))
        self._recent_sum += work
        while self._recent[0][0] <= now - span:
            self._recent_sum -= self._recent.popleft()[1]
        if not self._work:
            return
        # What comes beyond the budget by chance, since gateways do not draw together, pushes nobody over.
        mean = self._work / self.asked
        budget = self.model.fall_multiple * self.capacity() * span / mean
        push = self._recent_sum / mean / (budget + CHANCE * budget**0.5 + CHANCE)
        self.most_push = max(self.most_push, push)
        if push > 1 and len(self._recent) > 2:  # one or two large requests alone push nobody over
            self.fallen = True

    def _begin(self, job: Job) -> None:
        self.busy += 1
        self._running.append(job)
        took = job.work * self.slow / (self.model.speed * self.warmth())
        self.loop.after(took, self._done, job, self.incarnation)

    def _done(self, job: Job, incarnation: int) -> None:
        if incarnation != self.incarnation:
            return
        self.busy -= 1
        self._running.remove(job)
        self.work_done += job.work
        if not self.fallen:
            self._end(job, "ok")
        while self.line and self.busy < self.model.cores and not self.fallen:
            waiting = self.line.popleft()
            if not waiting.over:
                self._begin(waiting)

    @staticmethod
    def _end(job: Job, result: str) -> None:
        if not job.over:
            job.over = True
            job.ended(result)
