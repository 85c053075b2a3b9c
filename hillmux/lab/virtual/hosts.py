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
    max_queued: int = 60  # requests that wait beside those in work; more are turned away
    slow_start_min_share: float = 0.3  # share of its capacity at its start
    slow_start_ms: float = 10_000.0  # warm after this
    overload_multiple: float = 2.0
    overload_after_ms: float = 1_500.0
    handshake_ms: float = 1.0  # work that a new connection costs it


class Job:
    """One attempt at a host; `ended` is told `ok`, `full`, `draining` or `reset`."""

    __slots__ = ("request", "work", "on_result", "done")

    def __init__(self, request: str, work: float, on_result: Callable[[str], object]) -> None:
        self.request, self.work, self.on_result = request, work, on_result
        self.done = False  # called off, or ended


class SimulatedHost:
    """Serves jobs in their order, `cores` at a time. The capacity at a job's start holds for all of it."""

    def __init__(self, loop: Clock, name: str, zone: str, model: HostModel, started_ms: float = 0.0) -> None:
        self.loop, self.name, self.zone, self.model = loop, name, zone, model
        self.state = READY
        self.alive = self.reachable = True
        self.overloaded = False
        self.slowdown = 1.0  # a trouble: this many times slower
        self.started_ms = started_ms  # 0: long ago
        self.incarnation = 0
        self.busy = 0
        self.queue: deque[Job] = deque()
        self.work_done = 0.0
        self.connections = self.attempts = 0  # connections that came up; attempts that came
        self._running: list[Job] = []
        self._recent: deque[tuple[float, float]] = deque()  # work that came while cold, and when
        self._recent_sum = 0.0
        self._work = 0.0  # of all attempts that came
        self.max_overload_ratio = 0.0  # the most that came in a window, as a share of what makes it fall

    def capacity_share(self) -> float:
        """The share of its capacity that it has now."""
        if not self.started_ms:
            return 1.0
        age = (self.loop.now - self.started_ms) / max(self.model.slow_start_ms, 1e-9)
        return min(
            1.0, self.model.slow_start_min_share + (1 - self.model.slow_start_min_share) * max(age, 0.0)
        )

    def capacity(self) -> float:
        """Work that it does in a millisecond now."""
        return self.model.cores * self.model.speed * self.capacity_share() / self.slowdown

    def attempt_arrived(self, job: Job) -> None:
        """One attempt has come whole."""
        self.attempts += 1
        self._work += job.work
        self._push(job.work)
        if self.state == DRAINING:
            self._end(job, "draining")
        elif self.overloaded:
            pass  # it says nothing
        elif self.busy < self.model.cores:
            self._begin(job)
        elif len(self.queue) < self.model.max_queued:
            self.queue.append(job)
        else:
            self._end(job, "full")

    def connection_opened(self) -> None:
        """A new connection came up."""
        self.connections += 1
        self._push(self.model.handshake_ms)

    def stop(self) -> None:
        """The process dies: what is open is reset."""
        jobs, self._running = [*self._running, *self.queue], []
        self.queue.clear()
        self.alive, self.busy = False, 0
        self.incarnation += 1
        for job in jobs:
            self._end(job, "reset")

    def start(self) -> None:
        """It is back, cold."""
        self.alive, self.overloaded, self.state = True, False, READY
        self.started_ms = max(self.loop.now, 1e-6)
        self._recent.clear()
        self._recent_sum = self.max_overload_ratio = 0.0

    def _push(self, work: float) -> None:
        if self.capacity_share() >= 1 or not self.alive:
            return
        now, span = self.loop.now, self.model.overload_after_ms
        self._recent.append((now, work))
        self._recent_sum += work
        while self._recent[0][0] <= now - span:
            self._recent_sum -= self._recent.popleft()[1]
        if not self._work:
            return
        # What comes beyond the budget by chance, since gateways do not draw together, pushes nobody over.
        mean = self._work / self.attempts
        budget = self.model.overload_multiple * self.capacity() * span / mean
        push = self._recent_sum / mean / (budget + CHANCE * budget**0.5 + CHANCE)
        self.max_overload_ratio = max(self.max_overload_ratio, push)
        if push > 1 and len(self._recent) > 2:  # one or two large requests alone push nobody over
            self.overloaded = True

    def _begin(self, job: Job) -> None:
        self.busy += 1
        self._running.append(job)
        took = job.work * self.slowdown / (self.model.speed * self.capacity_share())
        self.loop.after(took, self._done, job, self.incarnation)

    def _done(self, job: Job, incarnation: int) -> None:
        if incarnation != self.incarnation:
            return
        self.busy -= 1
        self._running.remove(job)
        self.work_done += job.work
        if not self.overloaded:
            self._end(job, "ok")
        while self.queue and self.busy < self.model.cores and not self.overloaded:
            waiting = self.queue.popleft()
            if not waiting.done:
                self._begin(waiting)

    @staticmethod
    def _end(job: Job, result: str) -> None:
        if not job.done:
            job.done = True
            job.on_result(result)
