"""Stand-ins of the second review: hosts, discovery agents, a counter and clients, on loopback in real time.

Standard library only. They follow the operators' protocol page; what goes beyond it stands in the case.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
LOOPBACK = "127.0.0.1"
FIRST_PORT, PARTS, PORTS_PER_PART = 12000, 180, 100
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
OWN_PORTS = iter(range(FIRST_PORT + os.getpid() % PARTS * PORTS_PER_PART, 30000))


def free_port() -> int:
    """A free port, from this process's own part of those that the system does not deal out to connections."""
    for port in OWN_PORTS:
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((LOOPBACK, port))
            return port
    raise OSError("no free port")


class Record:
    """What was sent, answered and run, with times in seconds since the start of the case."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / "record.txt"
        self.started_at = time.monotonic()
        self.lines: list[tuple[float, str]] = []

    def now(self) -> float:
        """Seconds since the start of the case."""
        return time.monotonic() - self.started_at

    def note(self, text: str) -> float:
        """Add a line, and return its time."""
        now = self.now()
        self.lines.append((now, text))
        return now

    def write(self) -> None:
        """Write the file."""
        with self._path.open("w", encoding="utf-8") as file:
            file.writelines(f"{at:9.4f} {text}\n" for at, text in self.lines)


class Message:
    """One HTTP/1.1 message as read from a socket."""

    def __init__(self, line: str, headers: dict[str, str], body: bytes, first_byte_at: float) -> None:
        self.line, self.headers, self.body, self.first_byte_at = line, headers, body, first_byte_at

    @property
    def target(self) -> str:
        """The target of a request."""
        return self.line.split(" ")[1]

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.line.split(" ")[1])


async def read_message(reader: asyncio.StreamReader, has_no_body: bool = False) -> Message | None:
    """Read a message with a length or chunks; None at the end of the connection before its first byte."""
    first = await reader.read(1)
    if not first:
        return None
    first_byte_at = time.monotonic()
    head = (first + await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *fields = head.rstrip("\r\n").split("\r\n")
    headers = {name.strip().lower(): value.strip() for name, _, value in (f.partition(":") for f in fields)}
    body = b""
    if not has_no_body and headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
    elif not has_no_body:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(line, headers, body, first_byte_at)


def response(status: int, body: bytes = b"", fields: str = "") -> bytes:
    """A response with a length; `fields` are whole header lines."""
    return f"HTTP/1.1 {status} X\r\n{fields}Content-Length: {len(body)}\r\n\r\n".encode() + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, as the end of its process would."""
    with contextlib.suppress(OSError):
        linger = (1).to_bytes(4, sys.byteorder) + (0).to_bytes(4, sys.byteorder)
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class Server:
    """A listener whose connections can all be reset."""

    def __init__(self, port: int = 0) -> None:
        self.port = port or free_port()
        self._server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """HOST:PORT."""
        return f"{LOOPBACK}:{self.port}"

    async def open(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._connected, LOOPBACK, self.port, limit=1 << 22)

    def close(self) -> None:
        """Refuse connections and reset the open ones, as the end of a process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self.writers):
            reset(writer)

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        raise NotImplementedError


class Host(Server):
    """A booking node: serves each request after its work, and records the first and last byte of each."""

    def __init__(self, name: str, record: Record, work_s: float, zone: str = "hall-a", port: int = 0) -> None:
        super().__init__(port)
        self.name, self.record, self.work_s, self.zone = name, record, work_s, zone
        self.started_at_ms = 0.0
        self.first_bytes: list[float] = []  # of each request, seconds since the start of the case

    def entry(self, lifecycle: str = "ready") -> dict[str, Any]:
        """The host as discovery lists it."""
        return {
            "instanceId": self.name,
            "hostPort": self.address,
            "zone": self.zone,
            "machineType": "std-3core",
            "cell": 1,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": self.started_at_ms,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of one connection, one at a time."""
        while (message := await read_message(reader)) is not None:
            first_at = message.first_byte_at - self.record.started_at
            self.first_bytes.append(first_at)
            rid = message.headers.get("x-request-id", "-")
            self.record.note(f"host {self.name} got {rid}, first byte at {first_at:.4f}")
            await self.answer(message, rid, writer)

    async def answer(self, message: Message, rid: str, writer: asyncio.StreamWriter) -> None:
        """Run a request, and answer it."""
        await asyncio.sleep(self.work_s)
        self.record.note(f"host {self.name} ran {rid}")
        writer.write(response(200, f"{self.name} {rid}".encode(), "Billed-Units: 1\r\n"))


class Agent(Server):
    """The discovery agent of one gateway: pushes changes to its watches at once."""

    def __init__(self, name: str, record: Record, entries: Iterable[dict[str, Any]]) -> None:
        super().__init__()
        self.name, self.record = name, record
        self.version = 1
        self.entries = {entry["instanceId"]: entry for entry in entries}
        self._changes: list[tuple[int, dict[str, Any]]] = []
        self._changed = asyncio.Event()
        self.silent = False  # while discovery is down: calls wait for its return

    def change(self, *entries: dict[str, Any]) -> float:
        """Publish changed entries as one version; returns the time."""
        self.version += 1
        for entry in entries:
            self._changes.append((self.version, entry))
            if entry["lifecycle"] == "gone":
                self.entries.pop(entry["instanceId"], None)
            else:
                self.entries[entry["instanceId"]] = entry
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        names = ", ".join(f"{e['instanceId']} {e['lifecycle']}" for e in entries)
        return self.record.note(f"agent {self.name} has version {self.version}: {names}")

    def body(self, complete: bool, entries: Iterable[dict[str, Any]]) -> bytes:
        """A list as JSON."""
        return json.dumps(
            {"generation": self.version, "reset": complete, "instances": list(entries)}
        ).encode()

    def known(self) -> dict[str, Any]:
        """The whole list, as the configuration's `known`."""
        return {"generation": self.version, "reset": True, "instances": list(self.entries.values())}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer calls and watches."""
        while (message := await read_message(reader)) is not None:
            query = dict(p.partition("=")[::2] for p in message.target.partition("?")[2].split("&"))
            if "after" in query:
                after = int(query["after"])
                if after == self.version:
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(
                            self._changed.wait(), min(float(query.get("wait_ms", 0)), 60000.0) / 1000
                        )
                body = self.body(False, [entry for version, entry in self._changes if version > after])
            else:
                body = self.body(True, self.entries.values())
            while self.silent:
                await asyncio.sleep(0.01)
            version = self.version
            await self.send(body, writer)
            self.record.note(f"agent {self.name} wrote an answer with version {version}: {message.target}")

    async def send(self, body: bytes, writer: asyncio.StreamWriter) -> None:
        """Write one answer."""
        writer.write(response(200, body))
        await writer.drain()


class Counter(Server):
    """The quota counter: adds an amount to a named count and answers the total."""

    def __init__(self) -> None:
        super().__init__()
        self._counts: dict[str, tuple[float, float]] = {}  # total, and when the name ends

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer calls in their order."""
        while (message := await read_message(reader)) is not None:
            path, _, query = message.target.partition("?")
            fields = dict(part.partition("=")[::2] for part in query.split("&"))
            name, now = path.rpartition("/")[2], time.monotonic()
            total, until = self._counts.get(name, (0.0, 0.0))
            if now >= until:
                total, until = 0.0, now + min(float(fields["ttl_ms"]), 60000.0) / 1000
            total += float(fields["add"])
            self._counts[name] = (total, until)
            writer.write(response(200, f"{total:.6f}".encode()))
            await writer.drain()


def settings(number: int, fleet_size: int, **changes: Any) -> dict[str, Any]:
    """The settings of a small deployment, with the names and figures of the wire page's example."""
    grades = [
        {
            "name": "slot-lookup",
            "objective_ms": 2500.0,
            "deadline_ms": 10000.0,
            "effect": "safe",
            "key_scope": "all",
            "late_worth": 0.0,
            "stream": False,
            "window_ms": 5000.0,
            "worth": 3.0,
        },
        {
            "name": "slot-booking",
            "objective_ms": 2000.0,
            "deadline_ms": 6000.0,
            "effect": "keyed",
            "key_scope": "all",
            "late_worth": 0.0,
            "stream": False,
            "window_ms": 4000.0,
            "worth": 2.0,
        },
    ]
    plan = {
        "name": "fleet",
        "burst": 38.0,
        "ceiling_rate": 0.0,
        "hard_burst": 0.0,
        "tolerance": 0.0,
        "over_cost": 0.0,
        "over_worth": 0.2,
        "parallel": 0,
        "refill": 16.0,
        "worth_factor": 1.4,
    }
    return {
        "bounds": {
            "cancel": True,
            "conn_idle_ms": 30000.0,
            "dial_timeout_ms": 250.0,
            "max_retry_after_ms": 2000.0,
            "peers": False,
            "probing": True,
            "retry_after": False,
            "second_copies": True,
            "try_limit": 5,
        },
        "family_info": {"count_wait_ms": 30.0, "may_count": True, "most_units": 4, "trued_up": True},
        "fleet_size": fleet_size,
        "grades": grades,
        "kinds": ["std-3core"],
        "layer": 0,
        "me": number,
        "membership_mode": "pushed",
        "packages": [plan],
        "report": {"how": "on_probe", "names": ["tps"]},
        "rules": {
            "answer_slack_ms": 16.0,
            "cold_from": 0.16,
            "cold_ms": 17000.0,
            "fall_multiple": 2.0,
            "stop_sending_within_ms": 1000.0,
            "tip_after_ms": 1500.0,
        },
        "tick_ms": 4.0,
        "tiers": ["booking-fleet"],
        "weights": "off",
        "zone": "hall-a",
        "zones": ["hall-a", "hall-b"],
        **changes,
    }


class Gateway:
    """One gateway process, started by `run` of the deploy file."""

    def __init__(
        self,
        name: str,
        record: Record,
        folder: Path,
        agent: Agent,
        counter: Counter,
        gateway_settings: dict[str, Any],
        known: dict[str, Any] | None = None,
    ) -> None:
        self.name, self.record, self.port = name, record, free_port()
        self._folder = folder / name
        self._folder.mkdir()
        self.config: dict[str, Any] = {
            "name": name,
            "listen": f"{LOOPBACK}:{self.port}",
            "discovery": agent.address,
            "counter": counter.address,
            "seed": secrets.token_hex(8),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": gateway_settings,
        }
        if known is not None:
            self.config["known"] = known
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        (self._folder / "config.json").write_text(json.dumps(self.config))
        scratch = tempfile.mkdtemp(dir=self._folder)
        environ = {
            **os.environ,
            "ROUTER_NAME": self.name,
            "ROUTER_LISTEN": self.config["listen"],
            "ROUTER_DISCOVERY": self.config["discovery"],
            "ROUTER_CONFIG": str(self._folder / "config.json"),
            "TMPDIR": scratch,
        }
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        with (self._folder / "log.txt").open("ab") as log:
            self._process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environ, stdout=log, stderr=log, start_new_session=True
            )
        self.record.note(f"gateway {self.name} starts")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process that `run` started."""
        assert self._process is not None
        self.record.note(f"gateway {self.name} gets {number.name}")
        self._process.send_signal(number)

    def status(self) -> int | None:
        """The exit status; None while the process runs."""
        return None if self._process is None else self._process.poll()

    def log(self) -> str:
        """What the process has written."""
        return (self._folder / "log.txt").read_text(errors="replace")

    async def wait_ready(self, timeout_s: float = 30.0) -> None:
        """Wait until `/ready` answers 200.

        Raises:
            TimeoutError: It did not in time.
        """
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(LOOPBACK, self.port)
                try:
                    writer.write(b"GET /ready HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n")
                    message = await read_message(reader)
                finally:
                    writer.close()
                if message is not None and message.status == 200:
                    self.record.note(f"gateway {self.name} is ready")
                    return
            await asyncio.sleep(0.02)
        raise TimeoutError(f"{self.name} is not ready")

    def end(self) -> None:
        """Kill what is left of the process."""
        if self._process is not None and self._process.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(self._process.pid, signal.SIGKILL)
            self._process.wait()


REQUEST_NUMBERS = itertools.count(1)


def request_bytes(
    customer: int,
    booking: bool,
    spread: int,
    plan: str = "fleet",
    deadline_ms: int = 0,
    more: str = "",
    body: bytes = b"",
) -> tuple[str, bytes]:
    """A request's id and bytes."""
    rid = f"{next(REQUEST_NUMBERS):016x}"
    method, name = ("POST", "slot-booking") if booking else ("GET", "slot-lookup")
    key = f"Idempotency-Key: {rid}{rid}\r\n" if booking else ""
    length = f"Content-Length: {len(body)}\r\n" if booking else ""
    head = (
        f"{method} /api/{customer:016x} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {rid}\r\n"
        f"X-Class: {name}\r\nPlan: {plan}\r\nX-Deadline: {deadline_ms or (6000 if booking else 10000)}m\r\n"
        f"{key}{length}Quota-Info: units=1,spread={spread},first=0\r\n{more}\r\n"
    )
    return rid, head.encode() + body


class Client:
    """A client with one connection to one gateway, which it opens anew when it has ended."""

    def __init__(self, gateway: Gateway, record: Record) -> None:
        self.gateway, self.record = gateway, record
        self._connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def ask(self, rid: str, data: bytes, timeout_s: float = 11.0) -> Message | None:
        """Send a request and read its answer; None if there was none."""
        for _ in range(2):  # once more if the gateway closed the connection between two requests
            is_kept = self._connection is not None
            try:
                if self._connection is None:
                    self._connection = await asyncio.open_connection(LOOPBACK, self.gateway.port)
                reader, writer = self._connection
                self.record.note(f"client sends {rid} to {self.gateway.name}")
                writer.write(data)
                message = await asyncio.wait_for(read_message(reader), timeout_s)
            except (OSError, asyncio.IncompleteReadError):
                message = None
            if message is not None:
                self.record.note(f"client got {message.status} for {rid}")
                if message.headers.get("connection", "").lower() == "close":
                    self.close()
                return message
            self.close()
            if not is_kept:
                break
        self.record.note(f"client got nothing for {rid}")
        return None

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection[1].close()
            self._connection = None


class Traffic:
    """A steady rate of requests of many customers to some gateways."""

    def __init__(
        self,
        gateways: list[Gateway],
        record: Record,
        rate: float,
        spread: int,
        deadlines_ms: tuple[int, int] = (10000, 6000),
    ) -> None:
        """Set up requests of two classes, lookups and bookings, with these times."""
        self._gateways, self._record, self._rate, self._spread = gateways, record, rate, spread
        self._deadlines_ms = deadlines_ms
        self._idle: dict[str, list[Client]] = {gateway.name: [] for gateway in gateways}
        self._tasks: set[asyncio.Task[None]] = set()
        self.statuses: dict[int, int] = {}  # 0: no answer
        self.bodies: list[tuple[str, bytes]] = []  # of the requests that were served, by id

    async def run(self, duration_s: float) -> None:
        """Send for so long."""
        until, number = time.monotonic() + duration_s, 0
        next_at = time.monotonic()
        while time.monotonic() < until:
            number += 1
            gateway = self._gateways[number % len(self._gateways)]
            task = asyncio.create_task(self._ask(gateway, number))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            next_at += 1 / self._rate
            await asyncio.sleep(max(next_at - time.monotonic(), 0))

    async def _ask(self, gateway: Gateway, number: int) -> None:
        idle = self._idle[gateway.name]
        client = idle.pop() if idle else Client(gateway, self._record)
        booking = number % 3 == 0
        deadline_ms = self._deadlines_ms[booking]
        rid, data = request_bytes(number % 97, booking, self._spread, deadline_ms=deadline_ms)
        try:
            message = await client.ask(rid, data)
        except TimeoutError:
            message = None
            client.close()
        status = 0 if message is None else message.status
        if message is not None and status == 200:
            self.bodies.append((rid, message.body))
        self.statuses[status] = self.statuses.get(status, 0) + 1
        idle.append(client)

    async def finish(self) -> None:
        """Wait for the answers that are due."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=12)


class World:
    """The folder, the record, and all that a case has started."""

    def __init__(self, folder: Path, scratch: Path) -> None:
        self.record, self.scratch = Record(folder), scratch
        self.servers: list[Server] = []
        self.gateways: list[Gateway] = []

    async def opened(self, *servers: Server) -> None:
        """Open servers, and close them at the end of the case."""
        for server in servers:
            self.servers.append(server)
            await server.open()

    async def started(self, *gateways: Gateway) -> None:
        """Start gateways, and wait until they are ready."""
        self.gateways.extend(gateways)
        for gateway in gateways:
            gateway.start()
        for gateway in gateways:
            await gateway.wait_ready()


def end_by_signal(number: int, frame: object) -> None:
    """End the case in order when it is told to end.

    Raises:
        SystemExit: Always.
    """
    raise SystemExit(COULD_NOT_RUN)


def main(file: str, case: Callable[[World], Awaitable[int]]) -> int:
    """Run a case, write its record, and end all that it started."""
    signal.signal(signal.SIGTERM, end_by_signal)

    async def run(world: World) -> int:
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        try:
            async with asyncio.timeout(110):
                return await case(world)
        finally:
            for server in world.servers:
                server.close()

    folder = Path(file).resolve().parent
    with tempfile.TemporaryDirectory() as scratch:
        world = World(folder, Path(scratch))
        world.record.note(f"trouble: {'on' if TROUBLE else 'off'}")
        try:
            result = asyncio.run(run(world))
        except Exception as error:  # the case could not run
            world.record.note(f"could not run: {type(error).__name__}: {error}")
            result = COULD_NOT_RUN
        finally:
            for gateway in world.gateways:
                gateway.end()
        for gateway in world.gateways:
            lines = [line for line in gateway.log().splitlines() if line.strip()]
            for line in lines[:40]:
                world.record.note(f"log of {gateway.name}: {line}")
        verdict = {HELD: "the rule held", BROKEN: "the rule was broken"}.get(result, "could not run")
        world.record.note(f"result: {result}, {verdict}")
        world.record.write()
        print(f"{folder.name}: {verdict}")
        return result
