"""Clients in virtual time, which send planned requests at their times and retry failed ones."""

from __future__ import annotations

from typing import Final, Protocol

from hillmux import interface as api
from hillmux.lab.record import Note
from hillmux.lab.traffic import Customer, PlannedRequest, plan_requests
from hillmux.lab.virtual.environment import ClientResult
from hillmux.lab.virtual.gateway import SimulatedGateway
from hillmux.lab.virtual.ledger import QuotaLedger, value
from hillmux.lab.virtual.loop import VirtualLoop
from hillmux.lab.virtual.model import START_MS, SimulationFigures, SimulationModel

OTHER_GATEWAY_SHARE: Final = 0.3  # share of retries that go to another gateway


class GatewayFleet(Protocol):
    """The gateways as clients see them."""

    gateways: list[SimulatedGateway]  # by number
    note: Note | None  # records an event; None: nothing is recorded
    client_delay_ms: float  # one way between a client and a gateway

    def has_failed_over(self, number: int) -> bool:
        """Return whether requests for a dead gateway are sent to another one by now."""


class ClientRequest:
    """A client's request, with its retries."""

    __slots__ = ("planned", "retries_left", "within_quota", "done", "started_at", "record_id")

    def __init__(self, planned: PlannedRequest, retries: int, started_at: float) -> None:
        self.planned, self.retries_left, self.started_at = planned, retries, started_at
        self.within_quota = self.done = False
        self.record_id = ""  # id in the record; empty if nothing is recorded


class ClientAttempt:
    """One attempt of a request at a gateway; only its first result counts."""

    __slots__ = ("request", "gateway", "id", "sent_at", "ended")

    def __init__(self, request: ClientRequest, gateway: SimulatedGateway, sent_at: float) -> None:
        self.request, self.gateway, self.sent_at = request, gateway, sent_at
        self.id = ""
        self.ended = False


class SimulatedClients:
    """Sends all planned requests of a simulation."""

    def __init__(
        self,
        loop: VirtualLoop,
        model: SimulationModel,
        seed: int,
        fleet: GatewayFleet,
        ledger: QuotaLedger,
        figures: SimulationFigures,
    ) -> None:
        self._loop, self._model, self._fleet = loop, model, fleet
        self._ledger, self._figures = ledger, figures
        self._planned = plan_requests(model.traffic, model.gateways, seed)
        self._next = 0
        if self._planned:
            self._loop.at(START_MS + self._planned[0].at_ms, self._send_due)

    def _send_due(self) -> None:
        planned, now = self._planned, self._loop.now
        while self._next < len(planned) and START_MS + planned[self._next].at_ms <= now:
            planned_request = planned[self._next]
            self._next += 1
            self._start(planned_request)
        if self._next < len(planned):
            self._loop.at(START_MS + planned[self._next].at_ms, self._send_due)

    def _start(self, planned: PlannedRequest) -> None:
        request = ClientRequest(planned, self._model.retries, self._loop.now)
        figures = self._figures
        figures.requests += 1
        request.within_quota = self._ledger.offer(planned)
        window = figures.windows.setdefault(int((self._loop.now - START_MS) / 1000), [0.0, 0.0])
        if request.within_quota:
            figures.offered_value += value(planned)
            window[0] += value(planned)
        if self._fleet.note is not None:
            request.record_id = f"t{figures.requests}"
            self._fleet.note(
                "client",
                "first",
                rid=request.record_id,
                due=self._loop.now,
                cls=planned.request_class.name,
                plan=planned.customer.plan.name,
                customer=planned.customer.name,
                units=planned.units,
                true=planned.actual_units,
                worth=value(planned),
                aim=planned.request_class.aim_ms,
            )
        self._attempt(request, planned.gateway)

    def _attempt(self, request: ClientRequest, number: int) -> None:
        """Send an attempt to the gateway `number`, or after its failover to the next running one."""
        self._figures.attempts += 1
        gateways, customer = self._fleet.gateways, request.planned.customer
        if gateways[number].alive:
            self._send(request, number)
            return
        if self._fleet.has_failed_over(number):
            for step in range(1, customer.replicas):
                other = self._neighbour(customer, number, step)
                if gateways[other].alive:
                    self._send(request, other)
                    return
        delay_ms = 2 * self._fleet.client_delay_ms
        self._loop.after(delay_ms, self.attempt_ended, request, number, ClientResult.RESET, 0.0)

    def _neighbour(self, customer: Customer, number: int, step: int) -> int:
        """Return the gateway `step` places after `number` in the customer's set, which wraps around."""
        index = (number - customer.first_gateway) % self._model.gateways
        return (customer.first_gateway + (index + step) % customer.replicas) % self._model.gateways

    def _send(self, request: ClientRequest, number: int) -> None:
        planned, customer = request.planned, request.planned.customer
        deadline_ms = planned.request_class.deadline_ms
        time_left_ms = min(
            self._model.attempt_timeout_share * deadline_ms,
            deadline_ms - (self._loop.now - request.started_at),
        )
        attempt = ClientAttempt(request, self._fleet.gateways[number], self._loop.now)

        def answered(result: ClientResult, retry_after_ms: float) -> None:
            self._answered(attempt, result, retry_after_ms)

        attempt.id = attempt.gateway.request(
            lambda request_id: api.Request(
                request_id,
                planned.request_class.name,
                customer.plan.name,
                customer.name,
                time_left_ms,
                planned.units,
                customer.replicas,
                customer.first_gateway,
            ),
            planned,
            answered,
        )
        if self._fleet.note is not None:
            self._fleet.note(
                "client",
                "ask",
                rid=attempt.id,
                first=request.record_id,
                gw=f"g{number}",
                effect=planned.request_class.effect,
            )
            self._fleet.note("client", "wrote", rid=attempt.id, gw=f"g{number}")
        self._loop.after(time_left_ms, self._time_out, attempt)

    def _time_out(self, attempt: ClientAttempt) -> None:
        attempt.gateway.client_disconnected(attempt.id)
        self._answered(attempt, ClientResult.TIMED_OUT, 0.0)

    def _answered(self, attempt: ClientAttempt, result: ClientResult, retry_after_ms: float) -> None:
        if attempt.ended:
            return
        attempt.ended = True
        request, number = attempt.request, attempt.gateway.number
        if self._fleet.note is not None:
            self._fleet.note(
                "client",
                "answer",
                rid=attempt.id,
                first=request.record_id,
                gw=f"g{number}",
                result=result.value,
                took=self._loop.now - attempt.sent_at,
                total=self._loop.now - request.started_at,
                wait=retry_after_ms,
            )
        self.attempt_ended(request, number, result, retry_after_ms)

    def attempt_ended(
        self, request: ClientRequest, number: int, result: ClientResult, retry_after_ms: float
    ) -> None:
        """Finish the request, or retry it after a backoff."""
        if request.done:
            return
        planned, figures = request.planned, self._figures
        if result == ClientResult.SERVED:
            self._served(request)
            return
        if result == ClientResult.REJECTED:
            figures.rejected += 1
            figures.rejected_with_quota_left += self._ledger.has_half_burst(planned.customer)
        figures.reset += result == ClientResult.RESET
        figures.timed_out += result == ClientResult.TIMED_OUT
        elapsed_ms = self._loop.now - request.started_at
        deadline_ms = planned.request_class.deadline_ms
        if request.retries_left <= 0 or result == ClientResult.TIMED_OUT or elapsed_ms >= deadline_ms:
            self._finish(request)
            return
        request.retries_left -= 1
        backoff_ms = self._model.backoff_ms
        if result == ClientResult.REJECTED:
            backoff_ms = self._backoff_ms(planned, retry_after_ms)
        other = planned.client_draw < OTHER_GATEWAY_SHARE
        number = self._neighbour(planned.customer, number, 1 if other else 0)
        if elapsed_ms + backoff_ms < deadline_ms:
            self._loop.after(backoff_ms, self._attempt, request, number)
        else:
            self._finish(request)

    def _backoff_ms(self, planned: PlannedRequest, retry_after_ms: float) -> float:
        """Return the backoff after a rejection; a share of the clients obeys Retry-After."""
        if retry_after_ms <= 0 or planned.client_draw >= self._model.retry_after_obeyed_share:
            return self._model.backoff_ms
        return max(self._model.backoff_ms, min(retry_after_ms, self._model.max_retry_after_ms))

    def _served(self, request: ClientRequest) -> None:
        self._finish(request)
        in_time = self._loop.now - request.started_at <= request.planned.request_class.aim_ms
        if request.within_quota and in_time:
            served = value(request.planned)
            self._figures.served_value += served
            second = int((request.started_at - START_MS) / 1000)
            self._figures.windows.setdefault(second, [0.0, 0.0])[1] += served

    def _finish(self, request: ClientRequest) -> None:
        request.done = True
        self._figures.finished += 1
