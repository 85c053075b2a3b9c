"""One gateway in virtual time: the decision module, with models of hosts and counter in place of sockets.

Follows the platform's gateway (hillmux/net) where it affects a fleet: connections are kept alive and opened,
attempts and counter calls time out, and a killed gateway loses its state.
"""

from __future__ import annotations

from collections.abc import Callable

from hillmux import interface as api
from hillmux.decision.gateway import Gateway
from hillmux.interface import AttemptResult
from hillmux.lab.traffic import PlannedRequest
from hillmux.lab.virtual.environment import ClientResult, Environment
from hillmux.lab.virtual.hosts import Job

ATTEMPT_RESULTS = {
    "ok": AttemptResult.OK,
    "full": AttemptResult.QUEUE_FULL,
    "draining": AttemptResult.QUEUE_FULL,
    "reset": AttemptResult.RESET,
}
AnswerCallback = Callable[[ClientResult, float], object]  # called with the result and Retry-After in ms


class OpenAttempt:
    """An attempt that a gateway has sent to a host."""

    __slots__ = ("number", "host", "sent_at", "open", "job")

    def __init__(self, number: int, host: str, sent_at: float) -> None:
        self.number, self.host, self.sent_at = number, host, sent_at
        self.open = True
        self.job: Job | None = None  # set when the attempt arrives at the host


class OpenRequest:
    """A request that is unanswered, or has attempts in flight."""

    __slots__ = ("id", "planned", "answer", "attempts", "charged")

    def __init__(self, request_id: str, planned: PlannedRequest, answer: AnswerCallback) -> None:
        self.id, self.planned = request_id, planned
        self.answer: AnswerCallback | None = answer  # None: answered, or its client has disconnected
        self.attempts: list[OpenAttempt] = []
        self.charged = False  # whether its units have been charged to the customer's quota


class SimulatedGateway:
    """One incarnation of a gateway process."""

    def __init__(self, environment: Environment, number: int, seed: int) -> None:
        self.environment, self.loop, self.number = environment, environment.loop, number
        self.zone = environment.zone_of(number)
        self.gateway = Gateway(environment.settings(number), seed)
        self.alive = True
        self._open_requests: dict[str, OpenRequest] = {}
        # Idle connections by host: when each became idle, and the incarnation of the host that accepted it.
        self._idle_connections: dict[str, list[tuple[float, int]]] = {}
        self._request_count = 0
        self._id_prefix = f"g{number}.{environment.gateway_starts}"

    def handle(self, event: api.Event) -> None:
        """Pass an event to the decision module and execute the actions that it returns."""
        if not self.alive:
            return
        for action in self.gateway.handle(self.loop.now, event):
            match action:
                case api.SendAttempt():
                    self._send(action)
                case api.Reject():
                    self.environment.reject_reasons[action.reason] += 1
                    self._answer(action.request_id, ClientResult.REJECTED, action.retry_after_ms)
                case api.Fail():
                    self._answer(action.request_id, ClientResult.FAILED, 0.0)
                case api.CancelAttempt():
                    self._cancel(action)
                case api.SetTimer():
                    self.loop.after(action.delay_ms, self.handle, api.TimerFired(action.name))
                case api.IncrementCounter():
                    self._count(action)
                case _:
                    pass

    def request(
        self, create_request: Callable[[str], api.Request], planned: PlannedRequest, answer: AnswerCallback
    ) -> str:
        """Handle a client's request, which is answered at most once, and return its id at this gateway."""
        self._request_count += 1
        request_id = f"{self._id_prefix}.{self._request_count}"
        self._open_requests[request_id] = OpenRequest(request_id, planned, answer)
        self.handle(create_request(request_id))
        return request_id

    def client_disconnected(self, request_id: str) -> None:
        """Handle the disconnection of a request's client."""
        request = self._open_requests.get(request_id)
        if request is not None and request.answer is not None:
            request.answer = None
            self.handle(api.ClientDisconnected(request_id))
            if all(not other.open for other in request.attempts):
                self._open_requests.pop(request_id, None)

    def kill(self) -> None:
        """Kill the process: its clients see a connection reset, and its state is lost."""
        self.alive = False
        for request in self._open_requests.values():
            if request.answer is not None:
                self.loop.after(self.environment.client_delay_ms, request.answer, ClientResult.RESET, 0.0)
                request.answer = None

    # --- Hosts ---

    def _send(self, action: api.SendAttempt) -> None:
        request = self._open_requests.get(action.request_id)
        if request is None:
            return
        attempt = OpenAttempt(len(request.attempts), action.host, self.loop.now)
        request.attempts.append(attempt)
        environment = self.environment
        host = environment.hosts.get(action.host)
        delay_ms = environment.network_delay_ms(self.zone, host.zone if host is not None else self.zone)
        self.loop.after(action.timeout_ms, self._ended, request, attempt, AttemptResult.TIMED_OUT)
        idle_connections = self._idle_connections.setdefault(action.host, [])
        usable_since = self.loop.now - environment.idle_timeout_ms / 2
        while idle_connections and idle_connections[0][0] < usable_since:
            idle_connections.pop(0)
        if idle_connections:
            _, incarnation = idle_connections.pop()
            if host is None or not host.alive or host.incarnation != incarnation:
                self.loop.after(2 * delay_ms, self._ended, request, attempt, AttemptResult.STALE_CONNECTION)
            elif host.reachable:
                self.loop.after(delay_ms, self._arrive, request, attempt)
            return
        environment.connections += 1
        if host is None or not host.alive:
            self.loop.after(2 * delay_ms, self._ended, request, attempt, AttemptResult.CONNECT_FAILED)
        elif not host.reachable:
            self.loop.after(
                environment.connect_timeout_ms, self._ended, request, attempt, AttemptResult.CONNECT_FAILED
            )
        else:
            host.connection_opened()
            if environment.note is not None:
                environment.note(host.name, "dial", gw=f"g{self.number}", cold=host.capacity_share() < 1)
            self.loop.after(3 * delay_ms, self._arrive, request, attempt)

    def _arrive(self, request: OpenRequest, attempt: OpenAttempt) -> None:
        host = self.environment.hosts.get(attempt.host)
        if not attempt.open or host is None or not host.alive or not host.reachable:
            return
        self.environment.attempts += 1
        if not request.charged:
            request.charged = True
            self.environment.request_forwarded(request.planned)
        attempt.job = Job(
            request.id,
            request.planned.work_ms,
            lambda result: self._result(request, attempt, host.zone, result),
        )
        note = self.environment.note
        if note is not None:
            planned, request_class = request.planned, request.planned.request_class
            note(
                host.name,
                "got",
                rid=request.id,
                gw=f"g{self.number}",
                key="",
                kind=request_class.effect,
                window=request_class.window_ms,
                units=planned.units,
                customer=planned.customer.name,
                plan=planned.customer.plan.name,
                cold=host.capacity_share() < 1,
            )
        was_serving = not host.overloaded
        host.attempt_arrived(attempt.job)
        if note is not None and was_serving and host.overloaded:
            note(host.name, "fell")

    def _result(self, request: OpenRequest, attempt: OpenAttempt, zone: str, result: str) -> None:
        if self.environment.note is not None:
            self.environment.note(attempt.host, "end", rid=request.id, result=result, gw=f"g{self.number}")
        self.loop.after(
            self.environment.network_delay_ms(self.zone, zone),
            self._ended,
            request,
            attempt,
            ATTEMPT_RESULTS[result],
        )

    def _ended(self, request: OpenRequest, attempt: OpenAttempt, result: AttemptResult) -> None:
        if not attempt.open or not self.alive:
            return
        attempt.open = False
        if attempt.job is not None and result in (AttemptResult.TIMED_OUT, AttemptResult.CANCELLED):
            attempt.job.done = True
        if result in (AttemptResult.OK, AttemptResult.QUEUE_FULL):
            incarnation = self.environment.hosts[attempt.host].incarnation
            self._idle_connections.setdefault(attempt.host, []).append((self.loop.now, incarnation))
        if result == AttemptResult.OK:
            self._answer(request.id, ClientResult.SERVED, 0.0)
        final = request.answer is None
        if final and all(not other.open for other in request.attempts):
            self._open_requests.pop(request.id, None)
        self.handle(
            api.AttemptEnded(
                request.id,
                attempt.number,
                attempt.host,
                result,
                self.loop.now - attempt.sent_at,
                final,
                actual_units=request.planned.actual_units if result == AttemptResult.OK else 0.0,
            )
        )

    def _cancel(self, action: api.CancelAttempt) -> None:
        request = self._open_requests.get(action.request_id)
        if request is not None and action.attempt < len(request.attempts):
            self._ended(request, request.attempts[action.attempt], AttemptResult.CANCELLED)

    def _answer(self, request_id: str, result: ClientResult, retry_after_ms: float) -> None:
        request = self._open_requests.get(request_id)
        if request is None or request.answer is None:
            return
        answer, request.answer = request.answer, None
        self.loop.after(self.environment.client_delay_ms, answer, result, retry_after_ms)
        if all(not other.open for other in request.attempts):
            del self._open_requests[request_id]

    # --- The counter ---

    def _count(self, action: api.IncrementCounter) -> None:
        environment, called_at = self.environment, self.loop.now
        environment.counter_calls += 1
        done = [False]

        def complete(result: AttemptResult, total: float) -> None:
            if not done[0]:
                done[0] = True
                environment.counter_calls_failed += result != AttemptResult.OK
                self.handle(api.CounterReply(action.name, result, total, self.loop.now - called_at))

        def answered(result: AttemptResult, total: float) -> None:
            if environment.note is not None:
                environment.note(
                    "counter",
                    "count",
                    gw=f"g{self.number}",
                    name=action.name,
                    amount=action.amount,
                    result=result,
                    total=total,
                )
            self.loop.after(
                environment.counter_delay_ms,
                complete,
                AttemptResult.OK if result == "ok" else AttemptResult.QUEUE_FULL,
                total,
            )

        self.loop.after(self.gateway.settings.counter_timeout_ms, complete, AttemptResult.TIMED_OUT, 0.0)
        self.loop.after(
            environment.counter_delay_ms,
            environment.counter.call,
            action.name,
            action.amount,
            action.retention_ms,
            answered,
        )
