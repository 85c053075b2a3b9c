"""A host in virtual time, with cores, a queue, a slow start, and overload while it warms up."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from hillmux.lab.clock import Clock

READY, DRAINING = "ready", "draining"
# A cold host with a budget of N requests is overloaded by more than N + OVERLOAD_MARGIN x (sqrt(N) + 1).
OVERLOAD_MARGIN = 2.0


@dataclass(slots=True, frozen=True)
class HostModel:
    """Capacity and slow start of a host. Work is in milliseconds of one core at speed 1."""

    cores: int = 3
    speed: float = 1.0
    max_queued: int = 60  # requests that wait for a core; further ones are rejected with `full`
    slow_start_min_share: float = 0.3  # share of the capacity that is available right after the start
    slow_start_ms: float = 10_000.0  # time from the start to full capacity
    overload_multiple: float = 2.0  # a cold host is overloaded by work beyond this multiple of its capacity
    overload_after_ms: float = 1_500.0  # window over which that work is summed up
    handshake_ms: float = 1.0  # work for each new connection


class Job:
    """One attempt at a host; `on_result` is called with `ok`, `full`, `draining` or `reset`."""

    __slots__ = ("request", "work", "on_result", "done")

    def __init__(self, request: str, work: float, on_result: Callable[[str], object]) -> None:
        self.request, self.work, self.on_result = request, work, on_result
        self.done = False  # cancelled, timed out, or ended with a result


class SimulatedHost:
    """Runs jobs in order of arrival, one per core. The speed at a job's start applies to the whole job."""

    def __init__(self, loop: Clock, name: str, zone: str, model: HostModel, started_ms: float = 0.0) -> None:
        self.loop, self.name, self.zone, self.model = loop, name, zone, model
        self.state = READY
        self.alive = self.reachable = True
        self.overloaded = False
        self.slowdown = 1.0  # factor by which a fault slows the host down
        self.started_ms = started_ms  # 0: before the simulation, so that it is warm
        self.incarnation = 0
        self.busy = 0
        self.queue: deque[Job] = deque()
        self.work_done = 0.0
        self.connections = self.attempts = 0  # opened connections; arrived attempts
        self._running: list[Job] = []
        # Time and work of each arrival while cold, within the last `overload_after_ms`.
        self._recent_work: deque[tuple[float, float]] = deque()
        self._recent_work_sum = 0.0
        self._total_work = 0.0  # of all attempts that arrived
        # Largest work within a window since the start, as a share of the work that overloads the host.
        self.max_overload_ratio = 0.0

    def capacity_share(self) -> float:
        """Return the share of the full capacity that is available now."""
        if not self.started_ms:
            return 1.0
        age = (self.loop.now - self.started_ms) / max(self.model.slow_start_ms, 1e-9)
        return min(
            1.0, self.model.slow_start_min_share + (1 - self.model.slow_start_min_share) * max(age, 0.0)
        )

    def capacity(self) -> float:
        """Return the work that the host can do per millisecond now."""
        return self.model.cores * self.model.speed * self.capacity_share() / self.slowdown

    def attempt_arrived(self, job: Job) -> None:
        """Handle an attempt that has arrived completely; an overloaded host never answers it."""
        self.attempts += 1
        self._total_work += job.work
        self._record_work(job.work)
        if self.state == DRAINING:
            self._end_job(job, "draining")
        elif self.overloaded:
            pass  # no answer
        elif self.busy < self.model.cores:
            self._start_job(job)
        elif len(self.queue) < self.model.max_queued:
            self.queue.append(job)
        else:
            self._end_job(job, "full")

    def connection_opened(self) -> None:
        """Handle a new connection."""
        self.connections += 1
        self._record_work(self.model.handshake_ms)

    def stop(self) -> None:
        """Stop the process; running and queued jobs end with `reset`."""
        jobs, self._running = [*self._running, *self.queue], []
        self.queue.clear()
        self.alive, self.busy = False, 0
        self.incarnation += 1
        for job in jobs:
            self._end_job(job, "reset")

    def start(self) -> None:
        """Start the process again, with a slow start."""
        self.alive, self.overloaded, self.state = True, False, READY
        self.started_ms = max(self.loop.now, 1e-6)
        self._recent_work.clear()
        self._recent_work_sum = self.max_overload_ratio = 0.0

    def _record_work(self, work: float) -> None:
        if self.capacity_share() >= 1 or not self.alive:
            return
        now, window_ms = self.loop.now, self.model.overload_after_ms
        self._recent_work.append((now, work))
        self._recent_work_sum += work
        while self._recent_work[0][0] <= now - window_ms:
            self._recent_work_sum -= self._recent_work.popleft()[1]
        if not self._total_work:
            return
        # Gateways choose hosts independently, so arrivals may exceed the budget by chance: hence the margin.
        mean = self._total_work / self.attempts
        budget = self.model.overload_multiple * self.capacity() * window_ms / mean
        ratio = self._recent_work_sum / mean / (budget + OVERLOAD_MARGIN * budget**0.5 + OVERLOAD_MARGIN)
        self.max_overload_ratio = max(self.max_overload_ratio, ratio)
        if ratio > 1 and len(self._recent_work) > 2:  # one or two large requests alone don't overload a host
            self.overloaded = True

    def _start_job(self, job: Job) -> None:
        self.busy += 1
        self._running.append(job)
        duration_ms = job.work * self.slowdown / (self.model.speed * self.capacity_share())
        self.loop.after(duration_ms, self._job_finished, job, self.incarnation)

    def _job_finished(self, job: Job, incarnation: int) -> None:
        if incarnation != self.incarnation:
            return
        self.busy -= 1
        self._running.remove(job)
        self.work_done += job.work
        if not self.overloaded:
            self._end_job(job, "ok")
        while self.queue and self.busy < self.model.cores and not self.overloaded:
            waiting = self.queue.popleft()
            if not waiting.done:
                self._start_job(waiting)

    @staticmethod
    def _end_job(job: Job, result: str) -> None:
        if not job.done:
            job.done = True
            job.on_result(result)
