"""The load generator's process: an open-loop load, drawn in advance, sent to the gateways by a load balancer.

The load balancer distributes the clients' requests and takes a failing gateway out of rotation with a delay.

    python -m hillmux.lab.load

Reads JSON lines: `{"scenario": ..., "folder": ..., "ports": {"g0": ...}}`, then `{"t0": ...}`. Writes
`{"ready": true}`, once a second `{"progress": ...}`, and at the end how late it sent requests itself:
`{"over": ..., "late_ms": [p50, p99, max]}`.

Latency is measured from the time at which an attempt was due, so that a slow gateway or a slow load generator
hides no latency (coordinated omission, as described in Tene's talks).
"""

from __future__ import annotations

import asyncio
import gc
import os
from collections import Counter
from functools import partial
from typing import Any

import orjson
import uvloop
from hdrh.histogram import HdrHistogram

from hillmux.lab.checks import ANSWER_SLACK_MS
from hillmux.lab.clock import RealClock
from hillmux.lab.helper_process import connect_to_lab, send_to_lab
from hillmux.lab.load_balancer import BackendGateway, ClientConnection
from hillmux.lab.random_streams import Stream
from hillmux.lab.record import Recorder
from hillmux.lab.scenario import Scenario, schedule
from hillmux.lab.traffic import PlannedRequest, plan_requests
from hillmux.lab.unruly import UnrulyClients

MAX_LATENESS_US = 60_000_000
ATTEMPT_DEADLINE_SHARE = 0.75  # of the class's deadline, at most, for one attempt
SECOND_ANSWER_WAIT_S = 1.0  # after the last attempt, for second responses to one request
LATE_ANSWER_TIMEOUT_MS = 10_000.0  # a response later than this after the last attempt counts as lost
GC_ALLOCATIONS = 100_000  # net allocations between two garbage collections


class ClientRequest:
    """A client's request, with the number of attempts so far."""

    __slots__ = ("rid", "planned", "due_ms", "attempts", "gateway_number", "idempotency_key")

    def __init__(self, rid: str, planned: PlannedRequest, due_ms: float) -> None:
        self.rid, self.planned, self.due_ms, self.attempts = rid, planned, due_ms, 0
        self.gateway_number, self.idempotency_key = planned.gateway, f"k{rid}"


class ClientAttempt:
    """One attempt of a client."""

    __slots__ = (
        "request",
        "rid",
        "gateway",
        "generator",
        "started_ms",
        "time_left_ms",
        "connection",
        "done",
        "resent",
    )

    def __init__(
        self,
        generator: LoadGenerator,
        request: ClientRequest,
        rid: str,
        gateway: BackendGateway,
        time_left_ms: float,
    ) -> None:
        self.generator, self.request, self.rid, self.gateway, self.time_left_ms = (
            generator,
            request,
            rid,
            gateway,
            time_left_ms,
        )
        self.started_ms, self.done, self.resent = generator.clock.now, False, False
        self.connection: ClientConnection | None = None

    def finish(self, result: str, status: int, retry_after_ms: float) -> None:
        """Record the attempt's result; calls after the first have no effect."""
        if self.done:
            return
        self.done = True
        if status:
            self.gateway.failing_since = 0.0
        self.generator.note(
            "client",
            "answer",
            rid=self.rid,
            first=self.request.rid,
            gw=self.gateway.name,
            result=result,
            status=status,
            took=self.generator.clock.now - self.started_ms,
            total=self.generator.clock.now - self.request.due_ms,
            wait=retry_after_ms,
        )
        self.generator.attempt_ended(self.request, result, retry_after_ms)


class LoadGenerator:
    """The clients of all partners, as an open-loop load."""

    def __init__(
        self, scenario: Scenario, note: Recorder, loop: asyncio.AbstractEventLoop, ports: dict[str, int]
    ) -> None:
        self.scenario, self.note, self.loop, self.clock = scenario, note, loop, RealClock(loop)
        self.gateways = [BackendGateway(self, name, port) for name, port in ports.items()]
        self.lateness = HdrHistogram(1, MAX_LATENESS_US, 3)
        self.open_requests = 0
        self.results: Counter[str] = Counter()  # finished attempts by result since the last progress line
        self.done = asyncio.Event()
        self.unanswered: set[ClientAttempt] = set()  # attempts given up whose connections are still open
        self._planned = plan_requests(
            scenario.traffic.model(scenario.length_s), len(self.gateways), scenario.seed
        )
        self._next_planned, self._serial = 0, 0
        self._stream = Stream(scenario.seed, "clients")
        self._tasks: set[asyncio.Task[None]] = set()
        self.run_id = f"{os.getpid() & 0xFFFF:04x}"
        self.unruly = UnrulyClients(self, self.gateways, self.run_id)

    def run_in_background(self, work: Any) -> None:
        """Run a coroutine as a task, and keep a reference to the task until it is done."""
        task = self.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def play(self, t0: float) -> None:
        """Schedule the load from `t0` (ms of the clock); first attempts do not wait for earlier responses."""
        self._t0 = t0
        by_name = {gateway.name: gateway for gateway in self.gateways}
        for scheduled in schedule(self.scenario):
            if scheduled.fault.what == "term":
                self.clock.at(t0 + scheduled.at_ms, by_name[scheduled.target].sigterm_sent)
        self.gateways[0].crowded = self.scenario.traffic.crowd > 0
        self.unruly.play(t0)
        if not self._planned:
            self.done.set()
            return
        self.clock.at(t0 + self._planned[0].at_ms, self._start_due_requests)

    def progress(self) -> None:
        """Report the results of attempts to the lab once a second until the load is done."""
        if not self.done.is_set():
            removed = sum(gateway.removed for gateway in self.gateways)
            status = {"at_s": (self.clock.now - self._t0) / 1000, "open": self.open_requests, "out": removed}
            send_to_lab(progress=status | dict(self.results))
            self.results.clear()
            self.clock.after(1000, self.progress)

    def _start_due_requests(self) -> None:
        planned, now = self._planned, self.clock.now
        while self._next_planned < len(planned) and self._t0 + planned[self._next_planned].at_ms <= now:
            next_request = planned[self._next_planned]
            self._next_planned += 1
            due_ms = self._t0 + next_request.at_ms
            self.lateness.record_value(max(int(1000 * (now - due_ms)), 1))
            self.open_requests += 1
            self._serial += 1
            request = ClientRequest(f"{self.run_id}{self._serial:011x}0", next_request, due_ms)
            self.note(
                "client",
                "first",
                rid=request.rid,
                due=due_ms,
                cls=next_request.request_class.name,
                plan=next_request.customer.plan.name,
                customer=next_request.customer.name,
                units=next_request.units,
                true=next_request.actual_units,
                worth=next_request.request_class.worth
                * next_request.customer.plan.worth
                * next_request.units,
                aim=next_request.request_class.aim_ms,
            )
            self._start_attempt(request)
        if self._next_planned < len(planned):
            self.clock.at(self._t0 + planned[self._next_planned].at_ms, self._start_due_requests)

    def _choose_gateway(self, request: ClientRequest) -> BackendGateway:
        """Choose the first usable gateway of the customer's set, beginning at the request's current one."""
        customer, count = request.planned.customer, len(self.gateways)
        position = (request.gateway_number - customer.first_gateway) % count
        for step in range(customer.replicas):
            gateway = self.gateways[(customer.first_gateway + (position + step) % customer.replicas) % count]
            if gateway.takes_connections() or (not gateway.removed and gateway.has_idle()):
                return gateway
        return self.gateways[request.gateway_number]

    def _start_attempt(self, request: ClientRequest) -> None:
        gateway = self._choose_gateway(request)
        rid = f"{request.rid[:-1]}{request.attempts:x}"
        request.attempts += 1
        cls = request.planned.request_class
        time_left_ms = min(
            ATTEMPT_DEADLINE_SHARE * cls.deadline_ms, cls.deadline_ms - (self.clock.now - request.due_ms)
        )
        attempt = ClientAttempt(self, request, rid, gateway, time_left_ms)
        self.note(
            "client", "ask", rid=rid, first=request.rid, gw=gateway.name, left=time_left_ms, effect=cls.effect
        )
        self.clock.after(time_left_ms + ANSWER_SLACK_MS, self._give_up, attempt)
        connection = gateway.take_connection()
        if connection is not None:
            self._write(attempt, connection)
        else:
            self.run_in_background(self._dial(attempt))

    def resend(self, attempt: ClientAttempt) -> None:
        """Send the attempt's request again, on a new connection."""
        self.run_in_background(self._dial(attempt))

    async def _dial(self, attempt: ClientAttempt) -> None:
        gateway = attempt.gateway
        connection = ClientConnection(gateway)
        if not gateway.takes_connections():
            attempt.finish("refused_dial", 0, 0.0)
            return
        try:
            await self.loop.create_connection(lambda: connection, "127.0.0.1", gateway.port)
        except OSError:
            gateway.dial_failed()
            attempt.finish("refused_dial", 0, 0.0)
            return
        if attempt.done:
            connection.last_used_ms = self.clock.now
            gateway.idle.append(connection)
            return
        self._write(attempt, connection)

    def _write(self, attempt: ClientAttempt, connection: ClientConnection) -> None:
        planned, time_left_ms = (
            attempt.request.planned,
            attempt.time_left_ms - (self.clock.now - attempt.started_ms),
        )
        cls, customer = planned.request_class, planned.customer
        connection.attempt, attempt.connection = attempt, connection
        method = "GET" if cls.effect == "safe" else "POST"
        extra_headers = (
            ""
            if method == "GET"
            else f"Idempotency-Key: {attempt.request.idempotency_key}\r\nContent-Length: 0\r\n"
        )
        connection.transport.write(
            f"{method} /api/{customer.name}?work={planned.work_ms:.1f}&true={planned.actual_units:.3f}"
            f"&kind={cls.effect}&window={cls.window_ms:.0f}&units={planned.units:g}"
            f"&plan={customer.plan.name} HTTP/1.1\r\n"
            f"Host: origin.svc\r\nX-Request-Id: {attempt.rid}\r\nX-Class: {cls.name}\r\n"
            f"Plan: {customer.plan.name}\r\nX-Deadline: {max(time_left_ms, 1):.0f}m\r\n{extra_headers}"
            f"Quota-Info: units={planned.units:g},spread={customer.replicas},"
            f"first={customer.first_gateway}\r\n\r\n".encode()
        )
        self.note("client", "wrote", rid=attempt.rid, gw=attempt.gateway.name)

    def _give_up(self, attempt: ClientAttempt) -> None:
        if not attempt.done:
            connection = attempt.connection
            attempt.finish("late", 0, 0.0)
            if connection is not None and connection.attempt is attempt:
                # Keep reading: the record distinguishes a late response from a lost one.
                self.unanswered.add(attempt)

    def late_answer_received(self, attempt: ClientAttempt, status: int) -> None:
        """Record the late response to an attempt that its client had given up."""
        self.unanswered.discard(attempt)
        self.note("client", "came", rid=attempt.rid, gw=attempt.gateway.name, status=status)

    def given_up_connection_lost(self, attempt: ClientAttempt) -> None:
        """Stop waiting for an attempt that its client had given up: its connection was lost."""
        self.unanswered.discard(attempt)

    async def wait_for_late_answers(self) -> None:
        """Wait for second responses, and for the late responses to attempts that were given up."""
        await asyncio.sleep(SECOND_ANSWER_WAIT_S)
        end = self.clock.now + LATE_ANSWER_TIMEOUT_MS
        while (self.unanswered or self.unruly.active) and self.clock.now < end:
            await asyncio.sleep(0.05)

    def attempt_ended(self, request: ClientRequest, result: str, retry_after_ms: float) -> None:
        """Count the result of an attempt; end the request, or schedule a retry after a backoff."""
        self.results[result] += 1
        traffic, planned = self.scenario.traffic, request.planned
        elapsed_ms = self.clock.now - request.due_ms
        backoff_ms = traffic.backoff_ms * self._stream.uniform(0.5, 1.5)
        if result == "refused" and retry_after_ms > 0 and planned.client_draw < traffic.honour:
            backoff_ms = max(backoff_ms, retry_after_ms)
        if (
            result in ("served", "late")
            or request.attempts > traffic.retries
            or elapsed_ms + backoff_ms >= planned.request_class.deadline_ms
        ):
            self.open_requests -= 1
            if not self.open_requests and self._next_planned >= len(self._planned):
                self.done.set()
            return
        if planned.client_draw < 0.3:  # 30 % of the clients retry at another gateway of their set
            position = (request.gateway_number - planned.customer.first_gateway) % len(self.gateways)
            request.gateway_number = (
                planned.customer.first_gateway + (position + 1) % planned.customer.replicas
            ) % len(self.gateways)
        self.clock.after(backoff_ms, partial(self._start_attempt, request))


async def _main() -> None:
    loop = asyncio.get_running_loop()
    reader, first_line, note = await connect_to_lab("load")
    generator = LoadGenerator(
        Scenario.model_validate(first_line["scenario"]), note, loop, first_line["ports"]
    )
    send_to_lab(ready=True)
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_ALLOCATIONS)  # collections over all planned requests would make the load late
    line = await reader.readline()
    if line:
        generator.play(orjson.loads(line)["t0"])
        generator.progress()
        load_done = loop.create_task(generator.done.wait())
        lab_exited = loop.create_task(reader.readline())  # completes at the end of standard input
        await asyncio.wait((load_done, lab_exited), return_when=asyncio.FIRST_COMPLETED)
        if not lab_exited.done():
            await generator.wait_for_late_answers()
            lab_exited.cancel()
            lateness = generator.lateness
            send_to_lab(
                over=lateness.get_total_count(),
                late_ms=[lateness.get_value_at_percentile(p) / 1000 for p in (50, 99, 100)],
            )
    note.close()


if __name__ == "__main__":
    uvloop.run(_main())
