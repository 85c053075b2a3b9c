"""Stand-ins of the platform for the cases of this review, and the start of the real gateway.

Standard library only; every address is a loopback address.
"""

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
CUSTOMER = "00000000b4d65521"
MEMORY_MB = 192  # "On the days that are scored the limits are at most 192 MB and 1,024 descriptors"


def settings(**changes):
    """The settings of a small deployment, named as on the wire page; `changes` go by path."""
    values = {
        "me": 0,
        "fleet_size": 1,
        "layer": 0,
        "tiers": ["booking-fleet"],
        "kinds": ["std-3core"],
        "zone": "hall-a",
        "zones": ["hall-a", "hall-b"],
        "weights": "off",
        "membership_mode": "pushed",
        "tick_ms": 4.0,
        "bounds": {
            "cancel": True,
            "conn_idle_ms": 30000.0,
            "dial_timeout_ms": 250.0,
            "max_retry_after_ms": 2000.0,
            "open_cap": 20000,
            "peers": False,
            "probing": False,
            "retry_after": False,
            "second_copies": False,
            "streams_per_conn": 1,
            "try_limit": 5,
        },
        "family_info": {
            "count_fee": 0.02,
            "count_wait_ms": 30.0,
            "may_count": True,
            "most_units": 4,
            "trued_up": False,
            "use_period_ms": 0.0,
        },
        "grades": [
            {
                "name": "slot-lookup",
                "effect": "safe",
                "key_scope": "all",
                "objective_ms": 2500.0,
                "deadline_ms": 10000.0,
                "late_worth": 0.0,
                "stream": False,
                "window_ms": 5000.0,
                "worth": 3.0,
            },
            {
                "name": "slot-booking",
                "effect": "keyed",
                "key_scope": "all",
                "objective_ms": 2000.0,
                "deadline_ms": 6000.0,
                "late_worth": 0.0,
                "stream": False,
                "window_ms": 4000.0,
                "worth": 2.0,
            },
        ],
        "packages": [
            {
                "name": "fleet",
                "refill": 200.0,
                "burst": 400.0,
                "ceiling_rate": 0.0,
                "hard_burst": 0.0,
                "tolerance": 0.0,
                "over_cost": 0.0,
                "over_worth": 0.2,
                "parallel": 0,
                "worth_factor": 1.4,
            }
        ],
        "report": {"how": "off", "names": []},
        "rules": {
            "answer_slack_ms": 16.0,
            "cold_from": 0.16,
            "cold_ms": 17000.0,
            "fall_multiple": 2.0,
            "must_ask_in_ms": 10000.0,
            "stop_sending_within_ms": 1000.0,
            "tip_after_ms": 1500.0,
        },
    }
    for path, value in changes.items():
        *parents, last = path.split("__")
        place = values
        for name in parents:
            place = place[int(name)] if name.isdigit() else place[name]
        place[last] = value
    return values


class Record:
    """Writes lines to record.txt, each with the seconds since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self._file = Path(path).open("w", encoding="utf-8")  # noqa: SIM115

    def write(self, text, at=None):
        """Write one line, stamped with `at` (time.monotonic) or with the present."""
        at = time.monotonic() if at is None else at
        self._file.write(f"{at - self.start:9.3f}  {text}\n")
        self._file.flush()


async def read_head(reader):
    """Read a head; returns its first line and its headers, or None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    """Read a body with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            piece = await reader.readexactly(size + 2)
            if not size:
                return body
            body += piece[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Agent:
    """Discovery's agent: the list, and watches that are answered at once when something is newer.

    `delay_s` is how late every answer comes (a discovery that is slow); 0 is the sound agent.
    """

    def __init__(self, record):
        self.record, self.entries, self.generation = record, {}, 0
        self.changed_at = {}  # by id: the version of its last change
        self.delay_s = 0.0
        self._news = asyncio.Condition()
        self.port = 0
        self.answers = []  # (time, version) of each answer that was written whole
        self._server = None

    async def start(self):
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def tell(self, name, port, lifecycle="ready", started_at_ms=0):
        """Change one entry; a watch that is open learns of it at once."""
        self.generation += 1
        self.entries[name] = {
            "instanceId": name,
            "hostPort": f"127.0.0.1:{port}",
            "zone": "hall-a",
            "machineType": "std-3core",
            "cell": 0,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": started_at_ms,
        }
        self.changed_at[name] = self.generation
        self.record.write(f"discovery has: {name} {lifecycle}, version {self.generation}")
        async with self._news:
            self._news.notify_all()

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (head := await read_head(reader)) is not None:
                query = head[0].split()[1].partition("?")[2]
                fields = dict(part.split("=") for part in query.split("&") if part)
                after = int(fields["after"]) if "after" in fields else None
                if after is not None:
                    with contextlib.suppress(asyncio.TimeoutError):
                        async with self._news:
                            await asyncio.wait_for(
                                self._news.wait_for(lambda after=after: self.generation > after),
                                min(int(fields.get("wait_ms", 0)), 60000) / 1000,
                            )
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if writer.is_closing():
                    return
                if after is None:
                    chosen = [e for e in self.entries.values() if e["lifecycle"] != "gone"]
                else:
                    chosen = [e for n, e in self.entries.items() if self.changed_at[n] > after]
                generation = self.generation
                body = json.dumps(
                    {"generation": generation, "reset": after is None, "instances": chosen}
                ).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                await writer.drain()
                self.answers.append((time.monotonic(), generation))
        writer.close()


def answer_to(request_id):
    """The body of the one answer that a host makes for a request (host.py)."""
    return f"{request_id}: slot 17 is free, price 120.50".encode()


class Counter:
    """The counter: adds an amount to a name and answers with the total."""

    def __init__(self):
        self.totals, self.ends, self.port, self._server = {}, {}, 0, None

    async def start(self):
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError):
            while (head := await read_head(reader)) is not None:
                await read_body(reader, head[1])
                path, _, query = head[0].split()[1].partition("?")
                fields = dict(part.split("=") for part in query.split("&"))
                name, now = path.rpartition("/")[2], time.monotonic()
                if self.ends.get(name, 0.0) <= now:
                    self.totals[name] = 0.0
                    self.ends[name] = now + min(int(fields["ttl_ms"]), 60000) / 1000
                self.totals[name] += float(fields["add"])
                body = f"{self.totals[name]:.6f}".encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                await writer.drain()
        writer.close()


class HostProcess:
    """A booking node, as a process of its own (host.py); `seen` holds what it has written of its work."""

    def __init__(self, name, record):
        self.name, self.record, self.seen, self.port = name, record, [], 0
        self.process = None
        self._reading = None

    async def start(self, *arguments):
        """Start it and wait for its port."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / "review" / "host.py"),
            *map(str, arguments),
            stdout=asyncio.subprocess.PIPE,
            stdin=asyncio.subprocess.PIPE,
        )
        self.port = int(await self.process.stdout.readline())
        self._reading = asyncio.create_task(self._read())

    async def _read(self):
        while line := await self.process.stdout.readline():
            entry = json.loads(line)
            self.seen.append(entry)
            self.record.write(
                f"{self.name} {entry['what']}: {entry['id']} {entry.get('note', '')}", entry["at"]
            )

    def command(self, text):
        """Send a line to its standard input."""
        self.process.stdin.write(text.encode() + b"\n")

    def signal(self, number):
        """Send it a signal."""
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self):
        """End it."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


class Gateway:
    """One real gateway, started by `run` of the deploy file."""

    def __init__(self, record):
        self.record, self.process, self.port = record, None, 0
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))

    async def start(self, agent, counter, number=0, **changes):
        """Start it, and wait until it is ready."""
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            self.port = free.getsockname()[1]
        config = {
            "name": f"n{number}",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{agent.port}",
            "counter": f"127.0.0.1:{counter.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024},
            "settings": settings(**changes),
        }
        path = self.folder / "config.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        scratch = self.folder / "tmp"
        scratch.mkdir()
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        log = (self.folder / "log").open("wb")  # noqa: SIM115
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            run,
            cwd=ROOT,
            env={**os.environ, "ROUTER_CONFIG": str(path), "TMPDIR": str(scratch)},
            stdout=log,
            stderr=log,
        )
        log.close()
        end = time.monotonic() + 20
        while time.monotonic() < end and self.process.returncode is None:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: gateway\r\nConnection: close\r\n\r\n")
                head = await read_head(reader)
                writer.close()
                if head is not None and head[0].split()[1] == "200":
                    self.record.write("gateway ready")
                    return
            await asyncio.sleep(0.05)
        raise CannotRun("the gateway did not become ready")

    def alive(self):
        """Whether the process runs."""
        return self.process is not None and self.process.returncode is None

    async def stop(self):
        """End it, and add its log to the record."""
        if self.alive():
            self.process.kill()
            await self.process.wait()
        with contextlib.suppress(OSError):
            for line in (self.folder / "log").read_text(errors="replace").splitlines()[-40:]:
                self.record.write(f"gateway's log: {line}")
        shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    """The case could not run."""


class Fleet:
    """Discovery, the counter, some hosts and one gateway; all of it ends with the block."""

    def __init__(self, record, hosts, *host_arguments, **changes):
        self.record, self._host_arguments, self._changes = record, host_arguments, changes
        self.agent, self.counter, self.gateway = Agent(record), Counter(), Gateway(record)
        self.hosts = [HostProcess(f"host-{i}", record) for i in range(hosts)]

    async def __aenter__(self):
        try:
            await self.agent.start()
            await self.counter.start()
            for host in self.hosts:
                await host.start(*self._host_arguments)
                await self.agent.tell(host.name, host.port)
            await self.gateway.start(self.agent, self.counter, **self._changes)
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_):
        await self.gateway.stop()
        for host in self.hosts:
            await host.stop()

    def seen(self):
        """All that the hosts have written of their work."""
        return sorted((entry for host in self.hosts for entry in host.seen), key=lambda entry: entry["at"])


def request_head(number, grade, deadline_ms, length=None, customer=CUSTOMER, more=""):
    """The head of a client's request, in the form of the protocol page."""
    method = "GET" if grade == "slot-lookup" else "POST"
    lines = [
        f"{method} /api/{customer} HTTP/1.1",
        "Host: origin.svc",
        f"X-Request-Id: {number}",
        f"X-Class: {grade}",
        "Plan: fleet",
        f"X-Deadline: {deadline_ms:.0f}m",
        "Quota-Info: units=1,spread=1,first=0",
    ]
    if method == "POST":
        lines += [f"Idempotency-Key: key-{number}", f"Content-Length: {length or 0}"]
    return ("\r\n".join(lines) + "\r\n" + more + "\r\n").encode()


async def read_answer(reader):
    """Read an answer: its status and body; None if the connection ended before it was whole."""
    try:
        head = await read_head(reader)
        if head is None:
            return None
        status = int(head[0].split()[1])
        if status < 200:
            return await read_answer(reader)
        return status, await read_body(reader, head[1])
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None


def main(case, limit_s=100.0):
    """Run a case's coroutine; exit with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    folder = Path(sys.argv[1]) if len(sys.argv) > 1 else Path.cwd()
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"TROUBLE={int(trouble)}")

    async def bounded():
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):  # what was started is ended then, too
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        async with asyncio.timeout(limit_s):
            return await case(record, trouble)

    try:
        broken = asyncio.run(bounded())
    except (Exception, asyncio.CancelledError) as error:
        record.write(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}")
        sys.exit(2)
    for line in broken:
        record.write(f"BROKEN: {line}")
        print(f"BROKEN: {line}")
    record.write("the rule was broken" if broken else "the rule held")
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
