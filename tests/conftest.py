"""Shared helpers: a decision module driven event by event, and a gateway process between fake servers."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import os
import resource
import signal
import socket
import sys
from collections.abc import Callable, Coroutine
from pathlib import Path

import known_red
import pytest
import uvloop
from fakes.build import build, built_environment
from fakes.diagnostics import Transcript, holders_of

from hillmux import interface as api
from hillmux.decision.gateway import Gateway
from hillmux.interface import AttemptResult, Idempotency, KeyScope, ListKind


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Skip the tests that KNOWN-RED.txt lists."""
    known_red.pass_over(config, items)


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the tests that were skipped because KNOWN-RED.txt lists them."""
    known_red.print_passed_over(terminalreporter)


@pytest.fixture(scope="session")
def made_build() -> None:
    """Make the build before a test's time begins to run."""
    build()


SAFE = api.RequestClass("read", latency_objective_ms=1000, deadline_ms=4000, priority_weight=3)
KEYED = api.RequestClass(
    "put",
    latency_objective_ms=1000,
    deadline_ms=4000,
    priority_weight=5,
    idempotency=Idempotency.KEYED,
    key_scope=KeyScope.ZONE,
    idempotency_window_ms=3000,
)
UNSAFE = api.RequestClass(
    "pay",
    latency_objective_ms=1000,
    deadline_ms=4000,
    priority_weight=5,
    idempotency=Idempotency.NOT_IDEMPOTENT,
)
PLAN = api.Plan("basic", rate=2, burst=6)
CAPPED = api.Plan(
    "capped",
    rate=5,
    burst=10,
    priority_weight=1.4,
    over_quota_weight=0.2,
    ceiling_rate=10,
    ceiling_burst=20,
    ceiling_tolerance=2,
)
OPEN = api.Plan("open")


def settings(**changes: object) -> api.Settings:
    base = api.Settings(
        classes=(SAFE, KEYED, UNSAFE),
        plans=(PLAN, CAPPED, OPEN),
        fleet_size=3,
        zone="a",
        max_attempts=4,
        cancellation_allowed=True,
        max_retry_after_ms=2000,
        counter_available=True,
        clock_resolution_ms=2,
        drain_grace_ms=500,
        slow_start_min_share=0.2,
        slow_start_ms=10000,
        overload_multiple=3,
        overload_after_ms=2000,
    )
    return dataclasses.replace(base, **changes)


class Driver:
    """Feeds events to a decision module; keeps its clock, a serial of request ids and a log of actions."""

    def __init__(self, servers: int = 4, seed: int = 1, now: float = 1e6, **changes: object) -> None:
        self.gateway = Gateway(settings(**changes), seed)
        self.now = now
        self.serial = 0
        self.totals: dict[str, float] = {}  # units by key in the simulated shared counter
        self.answered = 0  # calls that the simulated counter has answered
        self.log: list[tuple[float, api.Action]] = []
        self.handle(api.EndpointList(ListKind.CACHED, tuple(make_endpoint(i) for i in range(servers))))

    def handle(self, event: api.Event, after: float = 0.0) -> list[api.Action]:
        self.now += after
        out = self.gateway.handle(self.now, event)
        self.log += [(self.now, act) for act in out]
        return out

    def request(
        self,
        cls: str = "read",
        plan: str = "open",
        customer: str = "c",
        left: float = 4000,
        units: float = 1,
        after: float = 0.0,
        width: int = 3,
    ) -> tuple[str, list[api.Action]]:
        self.serial += 1
        rid = f"r{self.serial}"
        return rid, self.handle(api.Request(rid, cls, plan, customer, left, units, width, 0), after)

    def end(
        self,
        rid: str,
        result: str = AttemptResult.OK,
        took: float = 50,
        attempt: int | None = None,
        true_units: float = 0.0,
        after: float = 0.0,
    ) -> list[api.Action]:
        sends = [a for _, a in self.log if isinstance(a, api.SendAttempt) and a.request_id == rid]
        n = len(sends) - 1 if attempt is None else attempt
        return self.handle(
            api.AttemptEnded(
                rid, n, sends[n].host, result, took, result == AttemptResult.OK, actual_units=true_units
            ),
            after,
        )

    def sweep(self, times: int = 1, every: float = 100) -> None:
        for _ in range(times):
            self.handle(api.TimerFired("sweep"), every)


def make_endpoint(i: int, **changes: object) -> api.Endpoint:
    return dataclasses.replace(api.Endpoint(f"h{i}", "ab"[i % 2], i % 2), **changes)


def of_type(out: list[api.Action], kind: type) -> list:
    return [a for a in out if isinstance(a, kind)]


# --- A gateway process on loopback sockets ----------------------------------------------------------------

ROOT = Path(__file__).parent.parent
LOOP = "127.0.0.1"
RID = b"9b1f03aa5c7e2d41"
GRADES = [
    {"name": "read", "objective_ms": 3000.0, "deadline_ms": 6000.0, "worth": 3.0, "effect": "safe"},
    {
        "name": "put",
        "objective_ms": 5500.0,
        "deadline_ms": 6000.0,
        "worth": 2.0,
        "effect": "keyed",
        "key_scope": "all",
        "window_ms": 4000.0,
    },
    {"name": "pay", "objective_ms": 3000.0, "deadline_ms": 6000.0, "worth": 2.0, "effect": "unsafe"},
]
PACKAGES = [
    {"name": "team", "refill": 500.0, "burst": 1000.0, "worth_factor": 1.0},
    {"name": "small", "refill": 1.0, "burst": 4.0, "worth_factor": 1.0, "over_cost": 1.0},
]
Behave = Callable[["Seen"], bytes | None]


def reply(body: bytes = b"ok", status: int = 200, headers: bytes = b"") -> bytes:
    return b"HTTP/1.1 %d X\r\n%bContent-Length: %d\r\n\r\n%b" % (status, headers, len(body), body)


def message(
    cls: str = "read",
    *,
    customer: str = "00000000b4d65521",
    plan: str = "team",
    body: bytes = b"",
    deadline: str = "6000m",
    rid: bytes = RID,
    method: str = "",
    drop: str = "",
    more: str = "",
    key: bool = True,
    target: str = "",
) -> bytes:
    """Encode a client's request; `drop` omits a header, `more` adds complete header lines."""
    method = method or ("GET" if cls == "read" else "POST")
    lines = {
        "Host": "origin.svc",
        "X-Request-Id": rid.decode(),
        "X-Class": cls,
        "Plan": plan,
        "X-Deadline": deadline,
        "Quota-Info": "units=2,spread=1,first=0",
    }
    if method == "POST":
        lines["Content-Length"] = str(len(body))
        if key:
            lines["Idempotency-Key"] = "5c0f6e1a"
    lines.pop(drop, None)
    head = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    return f"{method} {target or '/api/' + customer} HTTP/1.1\r\n{head}{more}\r\n".encode() + body


@dataclasses.dataclass
class Seen:
    """A request or response that was read, with the writer of its connection."""

    line: str
    headers: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter


async def read_message(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> Seen:
    """Read one complete request or response."""
    line, *rest = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = {k.lower(): v for k, _, v in (r.partition(": ") for r in rest if r)}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Seen(line, headers, body, writer)


class FakeServer:
    """A scripted HTTP server.

    `behave` returns the bytes of the response to a request, None to send nothing, or b"" to reset the
    connection.
    """

    def __init__(self, behave: Behave) -> None:
        self.behave = behave
        self.seen: list[Seen] = []
        self.opened = self.closed = 0  # connections accepted, and of those closed by the other side
        self.changed = asyncio.Event()

    async def start(self) -> FakeServer:
        self.server = await asyncio.start_server(self._serve, LOOP, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        self.changed.set()
        try:
            while True:
                seen = await read_message(reader, writer)
                self.seen.append(seen)
                self.changed.set()
                answer = self.behave(seen)
                if answer == b"":
                    writer.transport.abort()
                    return
                if answer is not None:
                    writer.write(answer)
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError):
            self.closed += 1
            self.changed.set()
        finally:
            writer.close()

    async def until(self, ready: Callable[[FakeServer], bool]) -> None:
        """Wait until `ready` returns true for this server; the limit of `on_loop` bounds the wait."""
        while not ready(self):
            self.changed.clear()
            await self.changed.wait()

    def stop(self) -> None:
        self.server.close()


def adding(seen: Seen, totals: dict[str, float]) -> bytes:
    """Add the units of a counter call to its total, and return the response with the new total."""
    name, query = seen.line.split()[1].removeprefix("/v1/count/").split("?")
    totals[name] = totals.get(name, 0.0) + float(query.split("&")[0].removeprefix("add="))
    return reply(f"{totals[name]:g}".encode())


class FakeDiscovery:
    """Fake discovery: answers a full request at once, and a watch at `send_update` or after its `wait_ms`.

    While it is `silent`, it answers nothing; `resume` answers the requests that are still open.
    """

    def __init__(self, instances: list[dict]) -> None:
        self.generation, self.instances = 1, instances
        self.missed: list[dict] = []  # changes that a watch without a wait is answered with
        self.waiting: list[Seen] = []
        self.silent = False
        self.unanswered: list[Seen] = []
        self.fake = FakeServer(self._behave)

    def resume(self) -> None:
        """Answer from now on, also the requests that have not been given up."""
        self.silent = False
        for seen in self.unanswered:
            response = None if seen.writer.is_closing() else self._behave(seen)
            if response is not None:
                seen.writer.write(response)

    def _behave(self, seen: Seen) -> bytes | None:
        if self.silent:
            self.unanswered.append(seen)
            return None
        if "after=" not in seen.line:
            return self.listing(self.instances, True)
        wait_s = int(seen.line.split()[1].partition("wait_ms=")[2]) / 1000
        if not wait_s:
            return self.listing(self.missed, False)
        self.waiting.append(seen)
        asyncio.get_running_loop().call_later(wait_s, self._waited, seen)
        return None

    def _waited(self, seen: Seen) -> None:
        """Answer a watch whose wait has ended without a change."""
        if seen in self.waiting:
            self.waiting.remove(seen)
            if seen.writer.is_closing():  # the gateway has ended
                return
            seen.writer.write(self.listing([], False))

    def listing(self, instances: list[dict], is_full: bool) -> bytes:
        raw = {"generation": self.generation, "reset": is_full, "instances": instances}
        return reply(json.dumps(raw).encode())

    async def send_update(self, instances: list[dict], is_full: bool = False) -> None:
        """Answer the open watch with instances, and wait for the next watch."""
        await self.answer_watch(lambda: self.listing(instances, is_full))

    async def answer_watch(self, data: Callable[[], bytes]) -> None:
        """Answer the open watch with `data`, and wait for the next watch."""
        await self.fake.until(lambda fake: bool(self.waiting))
        self.generation += 1
        count = len(self.fake.seen)
        self.waiting.pop().writer.write(data())
        await self.fake.until(lambda fake: len(fake.seen) > count)


def instance(name: str, port: int, lifecycle: str = "ready") -> dict:
    return {
        "instanceId": name,
        "hostPort": f"{LOOP}:{port}",
        "zone": "a",
        "machineType": "m",
        "cell": 0,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": 0,
    }


class Rig:
    """A gateway process with fake hosts, a fake counter and a fake discovery."""

    def __init__(
        self, folder: Path, *behaves: Behave, operated: bool = False, built: bool = False, **limits: int
    ) -> None:
        self.folder, self.limits, self.operated = folder, limits, operated
        self.environment = built_environment() if built else {}  # the build, or the sources
        self.change: Callable[[dict], None] = lambda config: None  # a test's changes to the configuration
        self.operator_port = 0
        self.others: list[dict] = []  # listed hosts other than `hosts`
        self.old: list[
            tuple[asyncio.subprocess.Process, asyncio.Task]
        ] = []  # previous processes, each with the task that reads its log
        self.hosts = [FakeServer(b) for b in behaves]
        self.totals: dict[str, float] = {}
        self.counter = FakeServer(lambda seen: adding(seen, self.totals))
        self.process: asyncio.subprocess.Process | None = None
        # Kept bound during the whole test: otherwise another test's socket could be assigned the port while
        # no gateway process is running.
        self.port_reservation = socket.socket()
        self.port_reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.port_reservation.bind((LOOP, 0))
        self.port: int = self.port_reservation.getsockname()[1]
        self.log: list[str] = []
        self.transcript = Transcript()
        self._connections = 0

    async def __aenter__(self) -> Rig:
        for host in self.hosts:
            await host.start()
        await self.counter.start()
        ours = [instance(f"s-{i}", h.port) for i, h in enumerate(self.hosts)]
        self.discovery = FakeDiscovery(ours + self.others)
        await self.discovery.fake.start()
        await self.launch()
        return self

    def write_config(self) -> Path:
        """Write the configuration file, which the gateway reads at start and on SIGHUP; return its path."""
        config = {
            "name": "n0",
            "listen": f"{LOOP}:{self.port}",
            "discovery": f"{LOOP}:{self.discovery.fake.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, **self.limits},
            "counter": f"{LOOP}:{self.counter.port}",
            "known": {"generation": 0, "reset": True, "instances": []},
            "settings": {
                "grades": GRADES,
                "packages": PACKAGES,
                "fleet_size": 1,
                "me": 0,
                "zone": "a",
                "tick_ms": 4.0,
                "bounds": {
                    "try_limit": 3,
                    "cancel": True,
                    "retry_after": True,
                    "max_retry_after_ms": 1000.0,
                    "dial_timeout_ms": 250.0,
                    "conn_idle_ms": 30000.0,
                },
                "family_info": {"may_count": True, "count_wait_ms": 30.0, "trued_up": True, "most_units": 4},
            },
        }
        if self.operated:
            config["operator"] = f"{LOOP}:0"
        config = json.loads(json.dumps(config))  # deep copy, so that changes do not affect other tests
        self.change(config)
        path = self.folder / "config.json"
        path.write_text(json.dumps(config))
        return path

    async def call(self, line: str) -> str:
        """Make one operators' call on a new connection; return the complete answer."""
        reader, writer = await asyncio.open_connection(LOOP, self.operator_port)
        writer.write(line.encode() + b"\n")
        try:
            return (await reader.read()).decode()
        finally:
            writer.close()

    async def figures(self) -> dict:
        """The figures that the operators' call `vars` returns."""
        first, end, rest = (await self.call("vars")).split("\n")
        assert (end, rest) == ("--", "")
        return json.loads(first)

    async def hup(self, line: str) -> None:
        """Send SIGHUP, and wait until one more log line contains `line`."""
        before = sum(line in logged for logged in self.log)
        self.process.send_signal(signal.SIGHUP)
        while sum(line in logged for logged in self.log) == before:
            await asyncio.sleep(0.01)

    async def reload(self, instances: list[dict]) -> None:
        """Send SIGHUP with a configuration that names a new discovery and a new counter.

        The previous ones keep listening; `discovery` and `counter` refer to the new ones.
        """
        self.discovery, self.counter = (
            FakeDiscovery(instances),
            FakeServer(lambda seen: adding(seen, self.totals)),
        )
        await self.discovery.fake.start()
        await self.counter.start()
        self.write_config()
        self.process.send_signal(signal.SIGHUP)

    async def run(self, path: Path) -> asyncio.subprocess.Process:
        """Start a gateway process with a configuration file."""
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "hillmux",
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
            env={
                **os.environ,
                **self.environment,
                "ROUTER_CONFIG": str(path),
                "TMPDIR": str(self.folder),
                "ROUTER_DISCOVERY": f"{LOOP}:{self.discovery.fake.port}",
            },
        )

    async def launch(self) -> None:
        """Start the gateway, on the same port as any previous process, and wait until it is ready."""
        await self.launch_unready()
        while (await self.ask(b"GET /ready HTTP/1.1\r\n\r\n")).line.split()[1] != "200":
            await asyncio.sleep(0.02)

    async def launch_unready(self) -> None:
        """Start the gateway, on the same port as any previous process, and wait until it listens."""
        self.process = await self.run(self.write_config())
        while "listening on" not in (line := (await self.process.stderr.readline()).decode()):
            assert line, await self._start_failure()
            self.log.append(line)
            if "operators call at" in line:
                self.operator_port = int(line.rsplit(":", 1)[1])
        self.port = int(line.rsplit(":", 1)[1])
        if "sockets" in self.limits:
            resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (self.limits["sockets"],) * 2)
        self.reading = asyncio.create_task(self._read_log())

    async def _start_failure(self) -> str:
        """Describe a failed start: exit status, log, and the processes that hold the port."""
        status = await self.process.wait()
        return "\n".join((f"the program ended at its start with {status}", *self.log, *holders_of(self.port)))

    async def upgrade(self, stop: bool = True) -> asyncio.subprocess.Process:
        """Hot restart: start a second process, wait until it answers `check` with ACK, and stop the old one.

        Args:
            stop: Whether to send SIGTERM to the old process.

        Returns:
            The old process.
        """
        old, reading = self.process, self.reading
        await self.launch()
        while await self.call("check") != "ACK\n":
            await asyncio.sleep(0.01)
        if stop:
            old.send_signal(signal.SIGTERM)
        self.old.append((old, reading))
        return old

    async def _read_log(self) -> None:
        errors = self.process.stderr
        while line := (await errors.readline()).decode():
            self.log.append(line)

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a client connection; its bytes are recorded and printed if the test fails."""
        reader, writer = await asyncio.open_connection(LOOP, self.port)
        self._connections += 1
        self.transcript.record(f"client {self._connections}", reader, writer)
        return reader, writer

    async def ask(self, data: bytes) -> Seen:
        """Send one request on a new connection and return the response."""
        reader, writer = await self.connect()
        writer.write(data)
        try:
            return await read_message(reader, writer)
        finally:
            writer.close()

    async def status(self, data: bytes) -> int:
        return int((await self.ask(data)).line.split()[1])

    async def __aexit__(self, *exc: object) -> None:
        if exc[0] is not None:
            print(*self.transcript.lines, sep="\n")
            print(*self.log, sep="", end="")
        for process, reading in (*self.old, (self.process, self.reading)):
            if process.returncode is None:
                process.kill()
                await process.wait()
            reading.cancel()
        for fake in (*self.hosts, self.counter, self.discovery.fake):
            fake.stop()
        self.port_reservation.close()


def on_loop(scenario: Callable[[], Coroutine], limit_s: float = 30.0) -> None:
    """Run a scenario on uvloop; it fails with a time-out after `limit_s` seconds."""

    async def bounded() -> None:
        async with asyncio.timeout(limit_s):
            await scenario()

    uvloop.run(bounded())  # as the gateway does; uvloop fires timers before it reads sockets
