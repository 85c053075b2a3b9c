"""The process of the clients: an open loop drawn ahead, behind a front that deals them out and notices late.

    python -m hillmux.lab.load

Takes lines of JSON: `{"scenario": ..., "folder": ..., "ports": {"g0": ...}}`, then `{"t0": ...}`. Says
`{"ready": true}`, once a second `{"progress": ...}`, and at the end how late it was itself: `{"over": ...,
"late_ms": [p50, p99, max]}`.

Latency is taken from the moment at which a try was due, so that a slow gateway, or a slow load, hides nothing
(the coordinated omission of Tene's talks).
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
from hillmux.lab.helper_process import begun, tell
from hillmux.lab.load_balancer import ClientConnection, FrontGateway
from hillmux.lab.random_streams import Stream
from hillmux.lab.record import Recorder
from hillmux.lab.scenario import Scenario, schedule
from hillmux.lab.traffic import PlannedRequest, plan_requests
from hillmux.lab.unruly import UnrulyClients

MAX_LATENESS_US = 60_000_000
ATTEMPT_DEADLINE_SHARE = 0.75  # of the class's deadline that one try may take
SECOND_ANSWER_WAIT_S = 1.0
LATE_ANSWER_TIMEOUT_MS = 10_000.0  # an answer that does not come for so long after the last try is lost
GC_ALLOCATIONS = 100_000


class ClientRequest:
    """A client's request: its first attempt and its retries."""

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
        gateway: FrontGateway,
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

    def finish(self, result: str, status: int, wait_ms: float) -> None:
        """Record the attempt's one result."""
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
            wait=wait_ms,
        )
        self.generator.attempt_ended(self.request, result, wait_ms)


class LoadGenerator:
    """All partners' clients: an open-loop load."""

    def __init__(
        self, scenario: Scenario, note: Recorder, loop: asyncio.AbstractEventLoop, ports: dict[str, int]
    ) -> None:
        self.scenario, self.note, self.loop, self.clock = scenario, note, loop, RealClock(loop)
        self.gateways = [FrontGateway(self, name, port) for name, port in ports.items()]
        self.lateness = HdrHistogram(1, MAX_LATENESS_US, 3)
        self.open_requests = 0
        self.results: Counter[str] = Counter()  # tries, since the last word of progress
        self.done = asyncio.Event()
        self.unanswered: set[ClientAttempt] = set()  # given up, their connections still open
        self._planned = plan_requests(
            scenario.traffic.model(scenario.length_s), len(self.gateways), scenario.seed
        )
        self._next_planned, self._serial = 0, 0
        self._stream = Stream(scenario.seed, "clients")
        self._tasks: set[asyncio.Task[None]] = set()
        self.run_id = f"{os.getpid() & 0xFFFF:04x}"
        self.unruly = UnrulyClients(self, self.gateways, self.run_id)

    def run_in_background(self, work: Any) -> None:
        """Run in the background, and keep hold of it."""
        task = self.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def play(self, t0: float) -> None:
        """Begin; first tries come when they are due whatever became of those before."""
        self._t0 = t0
        by_name = {gateway.name: gateway for gateway in self.gateways}
        for strike in schedule(self.scenario):
            if strike.fault.what == "term":
                self.clock.at(t0 + strike.at_ms, by_name[strike.target].told_to_end)
        self.gateways[0].crowded = self.scenario.traffic.crowd > 0
        self.unruly.play(t0)
        if not self._planned:
            self.done.set()
            return
        self.clock.at(t0 + self._planned[0].at_ms, self._start_due_requests)

    def progress(self) -> None:
        """Say once a second what tries came to."""
        if not self.done.is_set():
            out = sum(gateway.removed for gateway in self.gateways)
            said = {"at_s": (self.clock.now - self._t0) / 1000, "open": self.open_requests, "out": out}
            tell(progress=said | dict(self.results))
            self.results.clear()
            self.clock.after(1000, self.progress)

    def _start_due_requests(self) -> None:
        asked, now = self._planned, self.clock.now
        while self._next_planned < len(asked) and self._t0 + asked[self._next_planned].at_ms <= now:
            one = asked[self._next_planned]
            self._next_planned += 1
            due = self._t0 + one.at_ms
            self.lateness.record_value(max(int(1000 * (now - due)), 1))
            self.open_requests += 1
            self._serial += 1
            request = ClientRequest(f"{self.run_id}{self._serial:011x}0", one, due)
            self.note(
                "client",
                "first",
                rid=request.rid,
                due=due,
                cls=one.request_class.name,
                plan=one.customer.plan.name,
                customer=one.customer.name,
                units=one.units,
                true=one.actual_units,
                worth=one.request_class.worth * one.customer.plan.worth * one.units,
                aim=one.request_class.aim_ms,
            )
            self._start_attempt(request)
        if self._next_planned < len(asked):
            self.clock.at(self._t0 + asked[self._next_planned].at_ms, self._start_due_requests)

    def _choose_gateway(self, request: ClientRequest) -> FrontGateway:
        """The gateway that the front deals a try to: of the customer's set, one that it has not taken out."""
        customer, count = request.planned.customer, len(self.gateways)
        place = (request.gateway_number - customer.first_gateway) % count
        for step in range(customer.replicas):
            gateway = self.gateways[(customer.first_gateway + (place + step) % customer.replicas) % count]
            if gateway.takes_connections() or (not gateway.removed and gateway.has_idle()):
                return gateway
        return self.gateways[request.gateway_number]

    def _start_attempt(self, request: ClientRequest) -> None:
        gateway = self._choose_gateway(request)
        rid = f"{request.rid[:-1]}{request.attempts:x}"
        request.attempts += 1
        cls = request.planned.request_class
        left = min(
            ATTEMPT_DEADLINE_SHARE * cls.deadline_ms, cls.deadline_ms - (self.clock.now - request.due_ms)
        )
        attempt = ClientAttempt(self, request, rid, gateway, left)
        self.note("client", "ask", rid=rid, first=request.rid, gw=gateway.name, left=left, effect=cls.effect)
        self.clock.after(left + ANSWER_SLACK_MS, self._give_up, attempt)
        connection = gateway.take_connection()
        if connection is not None:
            self._write(attempt, connection)
        else:
            self.run_in_background(self._dial(attempt))

    def resend(self, attempt: ClientAttempt) -> None:
        """Send a request once more, on a new connection."""
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
        one, left = attempt.request.planned, attempt.time_left_ms - (self.clock.now - attempt.started_ms)
        cls, customer = one.request_class, one.customer
        connection.attempt, attempt.connection = attempt, connection
        method = "GET" if cls.effect == "safe" else "POST"
        more = (
            ""
            if method == "GET"
            else f"Idempotency-Key: {attempt.request.idempotency_key}\r\nContent-Length: 0\r\n"
        )
        connection.transport.write(
            f"{method} /api/{customer.name}?work={one.work_ms:.1f}&true={one.actual_units:.3f}"
            f"&kind={cls.effect}&window={cls.window_ms:.0f}&units={one.units:g}"
            f"&plan={customer.plan.name} HTTP/1.1\r\n"
            f"Host: origin.svc\r\nX-Request-Id: {attempt.rid}\r\nX-Class: {cls.name}\r\n"
            f"Plan: {customer.plan.name}\r\nX-Deadline: {max(left, 1):.0f}m\r\n{more}"
            f"Quota-Info: units={one.units:g},spread={customer.replicas},"
            f"first={customer.first_gateway}\r\n\r\n".encode()
        )
        self.note("client", "wrote", rid=attempt.rid, gw=attempt.gateway.name)

    def _give_up(self, attempt: ClientAttempt) -> None:
        if not attempt.done:
            connection = attempt.connection
            attempt.finish("late", 0, 0.0)
            if connection is not None and connection.attempt is attempt:
                # Whether its answer is late or lost is another matter, and shows only if we go on listening.
                self.unanswered.add(attempt)

    def late_answer_received(self, attempt: ClientAttempt, status: int) -> None:
        """The answer to what its client had given up."""
        self.unanswered.discard(attempt)
        self.note("client", "came", rid=attempt.rid, gw=attempt.gateway.name, status=status)

    def given_up_connection_lost(self, attempt: ClientAttempt) -> None:
        """The connection of what its client had given up is gone."""
        self.unanswered.discard(attempt)

    async def wait_for_late_answers(self) -> None:
        """Wait for a second answer, and for those that were given up."""
        await asyncio.sleep(SECOND_ANSWER_WAIT_S)
        end = self.clock.now + LATE_ANSWER_TIMEOUT_MS
        while (self.unanswered or self.unruly.active) and self.clock.now < end:
            await asyncio.sleep(0.05)

    def attempt_ended(self, request: ClientRequest, result: str, wait_ms: float) -> None:
        """A try is over: the client is content, gives up, or asks again."""
        self.results[result] += 1
        traffic, one = self.scenario.traffic, request.planned
        spent = self.clock.now - request.due_ms
        wait = traffic.backoff_ms * self._stream.uniform(0.5, 1.5)
        if result == "refused" and wait_ms > 0 and one.client_draw < traffic.honour:
            wait = max(wait, wait_ms)
        if (
            result in ("served", "late")
            or request.attempts > traffic.retries
            or spent + wait >= one.request_class.deadline_ms
        ):
            self.open_requests -= 1
            if not self.open_requests and self._next_planned >= len(self._planned):
                self.done.set()
            return
        if one.client_draw < 0.3:  # some go through another gateway of their set
            place = (request.gateway_number - one.customer.first_gateway) % len(self.gateways)
            request.gateway_number = (one.customer.first_gateway + (place + 1) % one.customer.replicas) % len(
                self.gateways
            )
        self.clock.after(wait, partial(self._start_attempt, request))


async def _main() -> None:
    loop = asyncio.get_running_loop()
    reader, first_line, note = await begun("load")
    clients = LoadGenerator(Scenario.model_validate(first_line["scenario"]), note, loop, first_line["ports"])
    tell(ready=True)
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_ALLOCATIONS)  # a look over all tries of a day would make the load late
    line = await reader.readline()
    if line:
        clients.play(orjson.loads(line)["t0"])
        clients.progress()
        over = loop.create_task(clients.done.wait())
        gone = loop.create_task(reader.readline())  # the lab has died
        await asyncio.wait((over, gone), return_when=asyncio.FIRST_COMPLETED)
        if not gone.done():
            await clients.wait_for_late_answers()
            gone.cancel()
            late = clients.lateness
            tell(
                over=late.get_total_count(),
                late_ms=[late.get_value_at_percentile(p) / 1000 for p in (50, 99, 100)],
            )
    note.close()


if __name__ == "__main__":
    uvloop.run(_main())
