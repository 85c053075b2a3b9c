"""One gateway in virtual time: the decision module, and in place of sockets the modelled hosts and counter.

Follows the platform's gateway (hillmux/net) where it matters for many together:
kept connections and dials, time-outs, counter calls that are given up, a death that forgets all.
"""

from __future__ import annotations

from collections.abc import Callable

from hillmux import interface as api
from hillmux.decision.gateway import Gateway
from hillmux.interface import AttemptResult
from hillmux.lab.traffic import PlannedRequest
from hillmux.lab.virtual.environment import ClientResult, Environment
from hillmux.lab.virtual.hosts import Job

RESULTS = {
    "ok": AttemptResult.OK,
    "full": AttemptResult.QUEUE_FULL,
    "draining": AttemptResult.QUEUE_FULL,
    "reset": AttemptResult.RESET,
}
Answer = Callable[[ClientResult, float], object]  # and Retry-After, in ms


class OpenAttempt:
    """An attempt that its gateway has sent."""

    __slots__ = ("number", "host", "sent_at", "open", "job")

    def __init__(self, number: int, host: str, sent_at: float) -> None:
        self.number, self.host, self.sent_at = number, host, sent_at
        self.open = True
        self.job: Job | None = None  # once it is at the host


class OpenRequest:
    """A request that its gateway has not finished."""

    __slots__ = ("id", "planned", "answer", "attempts", "charged")

    def __init__(self, rid: str, planned: PlannedRequest, answer: Answer) -> None:
        self.id, self.planned = rid, planned
        self.answer: Answer | None = answer
        self.attempts: list[OpenAttempt] = []
        self.charged = False  # it has taken its units


class SimulatedGateway:
    """A gateway's process, from a start to its end."""

    def __init__(self, world: Environment, number: int, seed: int) -> None:
        self.world, self.loop, self.number = world, world.loop, number
        self.zone = world.zone_of(number)
        self.gateway = Gateway(world.settings(number), seed)
        self.alive = True
        self._open: dict[str, OpenRequest] = {}
        # By host: since when each kept connection is idle, and to which life of the host it leads.
        self._idle: dict[str, list[tuple[float, int]]] = {}
        self._serial = 0
        self._prefix = f"g{number}.{world.gateway_starts}"

    def handle(self, event: api.Event) -> None:
        """An event for the module."""
        if not self.alive:
            return
        for act in self.gateway.handle(self.loop.now, event):
            match act:
                case api.SendAttempt():
                    self._send(act)
                case api.Reject():
                    self.world.reject_reasons[act.reason] += 1
                    self._answer(act.request_id, ClientResult.REJECTED, act.retry_after_ms)
                case api.Fail():
                    self._answer(act.request_id, ClientResult.FAILED, 0.0)
                case api.CancelAttempt():
                    self._cancel(act)
                case api.SetTimer():
                    self.loop.after(act.delay_ms, self.handle, api.TimerFired(act.name))
                case api.IncrementCounter():
                    self._count(act)
                case _:
                    pass

    def request(self, make: Callable[[str], api.Request], one: PlannedRequest, answer: Answer) -> str:
        """A client's request, which is answered once; its id here."""
        self._serial += 1
        rid = f"{self._prefix}.{self._serial}"
        self._open[rid] = OpenRequest(rid, one, answer)
        self.handle(make(rid))
        return rid

    def client_disconnected(self, rid: str) -> None:
        """The client has given up."""
        one = self._open.get(rid)
        if one is not None and one.answer is not None:
            one.answer = None
            self.handle(api.ClientDisconnected(rid))
            if all(not a.open for a in one.attempts):
                self._open.pop(rid, None)

    def die(self) -> None:
        """Killed: connections to clients and hosts are reset, all is forgotten."""
        self.alive = False
        for one in self._open.values():
            if one.answer is not None:
                self.loop.after(self.world.client_delay_ms, one.answer, ClientResult.RESET, 0.0)
                one.answer = None

    # --- Hosts ---

    def _send(self, act: api.SendAttempt) -> None:
        one = self._open.get(act.request_id)
        if one is None:
            return
        attempt = OpenAttempt(len(one.attempts), act.host, self.loop.now)
        one.attempts.append(attempt)
        world = self.world
        host = world.hosts.get(act.host)
        way = world.network_delay_ms(self.zone, host.zone if host is not None else self.zone)
        self.loop.after(act.timeout_ms, self._ended, one, attempt, AttemptResult.TIMED_OUT)
        idle = self._idle.setdefault(act.host, [])
        fresh = self.loop.now - world.idle_timeout_ms / 2
        while idle and idle[0][0] < fresh:
            idle.pop(0)
        if idle:
            _, life = idle.pop()
            if host is None or not host.alive or host.incarnation != life:
                self.loop.after(2 * way, self._ended, one, attempt, AttemptResult.STALE_CONNECTION)
            elif host.reachable:
                self.loop.after(way, self._arrive, one, attempt)
            return
        world.connections += 1
        if host is None or not host.alive:
            self.loop.after(2 * way, self._ended, one, attempt, AttemptResult.CONNECT_FAILED)
        elif not host.reachable:
            self.loop.after(world.connect_timeout_ms, self._ended, one, attempt, AttemptResult.CONNECT_FAILED)
        else:
            host.connection_opened()
            if world.note is not None:
                world.note(host.name, "dial", gw=f"g{self.number}", cold=host.capacity_share() < 1)
            self.loop.after(3 * way, self._arrive, one, attempt)

    def _arrive(self, one: OpenRequest, attempt: OpenAttempt) -> None:
        host = self.world.hosts.get(attempt.host)
        if not attempt.open or host is None or not host.alive or not host.reachable:
            return
        self.world.attempts += 1
        if not one.charged:
            one.charged = True
            self.world.request_forwarded(one.planned)
        attempt.job = Job(
            one.id, one.planned.work_ms, lambda result: self._result(one, attempt, host.zone, result)
        )
        note = self.world.note
        if note is not None:
            asked, cls = one.planned, one.planned.request_class
            note(
                host.name,
                "got",
                rid=one.id,
                gw=f"g{self.number}",
                key="",
                kind=cls.effect,
                window=cls.window_ms,
                units=asked.units,
                customer=asked.customer.name,
                plan=asked.customer.plan.name,
                cold=host.capacity_share() < 1,
            )
        stood = not host.overloaded
        host.attempt_arrived(attempt.job)
        if note is not None and stood and host.overloaded:
            note(host.name, "fell")

    def _result(self, one: OpenRequest, attempt: OpenAttempt, zone: str, result: str) -> None:
        if self.world.note is not None:
            self.world.note(attempt.host, "end", rid=one.id, result=result, gw=f"g{self.number}")
        self.loop.after(
            self.world.network_delay_ms(self.zone, zone), self._ended, one, attempt, RESULTS[result]
        )

    def _ended(self, one: OpenRequest, attempt: OpenAttempt, result: AttemptResult) -> None:
        if not attempt.open or not self.alive:
            return
        attempt.open = False
        if attempt.job is not None and result in (AttemptResult.TIMED_OUT, AttemptResult.CANCELLED):
            attempt.job.done = True
        if result in (AttemptResult.OK, AttemptResult.QUEUE_FULL):
            life = self.world.hosts[attempt.host].incarnation
            self._idle.setdefault(attempt.host, []).append((self.loop.now, life))
        if result == AttemptResult.OK:
            self._answer(one.id, ClientResult.SERVED, 0.0)
        final = one.answer is None
        if final and all(not a.open for a in one.attempts):
            self._open.pop(one.id, None)
        self.handle(
            api.AttemptEnded(
                one.id,
                attempt.number,
                attempt.host,
                result,
                self.loop.now - attempt.sent_at,
                final,
                actual_units=one.planned.actual_units if result == AttemptResult.OK else 0.0,
            )
        )

    def _cancel(self, act: api.CancelAttempt) -> None:
        one = self._open.get(act.request_id)
        if one is not None and act.attempt < len(one.attempts):
            self._ended(one, one.attempts[act.attempt], AttemptResult.CANCELLED)

    def _answer(self, rid: str, result: ClientResult, retry_after_ms: float) -> None:
        one = self._open.get(rid)
        if one is None or one.answer is None:
            return
        answer, one.answer = one.answer, None
        self.loop.after(self.world.client_delay_ms, answer, result, retry_after_ms)
        if all(not a.open for a in one.attempts):
            del self._open[rid]

    # --- The counter ---

    def _count(self, act: api.IncrementCounter) -> None:
        world, made = self.world, self.loop.now
        world.counter_calls += 1
        done = [False]

        def end(result: AttemptResult, total: float) -> None:
            if not done[0]:
                done[0] = True
                world.counter_calls_failed += result != AttemptResult.OK
                self.handle(api.CounterReply(act.name, result, total, self.loop.now - made))

        def answered(result: AttemptResult, total: float) -> None:
            if world.note is not None:
                world.note(
                    "counter",
                    "count",
                    gw=f"g{self.number}",
                    name=act.name,
                    amount=act.amount,
                    result=result,
                    total=total,
                )
            self.loop.after(
                world.counter_delay_ms,
                end,
                AttemptResult.OK if result == "ok" else AttemptResult.QUEUE_FULL,
                total,
            )

        self.loop.after(self.gateway.settings.counter_timeout_ms, end, AttemptResult.TIMED_OUT, 0.0)
        self.loop.after(
            world.counter_delay_ms, world.counter.call, act.name, act.amount, act.retention_ms, answered
        )
