"""The gateways' processes: started, signalled, killed, started again under their names; none left behind."""

from __future__ import annotations

import asyncio
import ctypes
import os
import shutil
import signal
import socket
import sys
from collections.abc import Awaitable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from hillmux.lab.record import Recorder
from hillmux.lab.scenario import MAX_REQUEST_UNITS, Class, Plan, Scenario, slack, zone_of
from hillmux.lab.source_trees import package_in
from hillmux.lab.streams import generator

READY_TIMEOUT_S = 20.0
MAX_KEPT_LINES = 40
SIGNALS = {
    "kill": signal.SIGKILL,
    "term": signal.SIGTERM,
    "hup": signal.SIGHUP,
    "stop": signal.SIGSTOP,
    "cont": signal.SIGCONT,
}
ROOT = Path(__file__).resolve().parents[2]


PR_SET_PDEATHSIG = 1
NICENESS = 5
RECORDED_LOG_SUBJECTS = ("snapshots", "phase")  # lines of a gateway's log that go into the record


def die_with_parent() -> None:
    """Run in a child: it is killed when the lab is gone, however that ended (prctl(2))."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def _prepare_child() -> None:
    """Run in a gateway's child: the stand-ins and the load go before it where cores are short, so that a herd
    that starts is not seen as clients that come late.
    """
    die_with_parent()
    os.nice(NICENESS)


class NotReadyError(RuntimeError):
    """A gateway that does not start; the text has its last lines."""


@dataclass(slots=True, eq=False)
class RunningProcess:
    """One process of a gateway, from its start to its end."""

    process: asyncio.subprocess.Process
    end_requested: bool = False  # it was told to end: that it does is no refusal to start
    ready: bool = False
    killed: bool = False  # SIGKILL went out: whatever it still shows, it takes nothing more

    def alive(self) -> bool:
        """Whether a signal reaches it."""
        return self.process.returncode is None and not self.killed


class GatewayProcess:
    """One gateway: its name, its port and its folder outlive its processes.

    What strikes it takes effect in the order of asking: a signal that finds a start on its way waits for that
    process, and a start waits for the process before it. On a slow machine a start takes longer than the time
    to the next strike; a signal that went to the dead process before it would be lost.
    """

    def __init__(
        self, number: int, scenario: Scenario, folder: Path, note: Recorder, tree: Path, told: dict[str, Any]
    ) -> None:
        self.name, self.number = f"g{number}", number
        # Its port, held while it is dead, too: a client's connection would be given it by the system else.
        self._port_reservation = socket.socket()
        self._port_reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._port_reservation.bind(("127.0.0.1", 0))
        self.port = int(self._port_reservation.getsockname()[1])
        self._scenario, self._note, self._tree, self._addresses = scenario, note, tree, told
        self._folder = folder / self.name
        self._folder.mkdir()
        self._starts = self._discovery_moves = 0
        self.current: RunningProcess | None = None
        self._starting = asyncio.Lock()  # held from a start's turn until its process is there
        self._pending_starts = 0  # starts asked for whose process is not there yet
        self._ended = False  # no process of it is started any more
        self._queued_signals: list[str] = []  # signals for the next process
        self._readers: set[asyncio.Task[None]] = set()
        self.lines: list[str] = []

    def _config(self) -> dict[str, Any]:
        """The configuration file of the next process, in the platform's field names."""
        seed = int(generator(self._scenario.seed, f"gateway.{self.number}.{self._starts}").integers(1 << 61))
        return {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{self._addresses['discovery'][self._discovery_moves % 2]}",
            "counter": f"127.0.0.1:{self._addresses['counter']}",
            "seed": f"{seed:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": self._addresses["known"],
            **self._addresses["peers"],
            **self._snapshots(),
            "settings": self._settings(),
        }

    def _settings(self) -> dict[str, Any]:
        fleet, traffic = self._scenario.fleet, self._scenario.traffic
        return {
            "grades": [_class_settings(request_class) for request_class in traffic.classes],
            "packages": [_plan_settings(plan) for plan in traffic.plans],
            "fleet_size": fleet.gateways,
            "me": self.number,
            "zone": zone_of(self.number, fleet.zones),
            "tick_ms": 4.0,
            "bounds": {
                "try_limit": 4,
                "cancel": True,
                "retry_after": True,
                "max_retry_after_ms": 2000.0,
                "dial_timeout_ms": 250.0,
                "conn_idle_ms": 15000.0,
                "peers": fleet.peers,
            },
            "rules": {
                "stop_sending_within_ms": fleet.drain_grace_ms,
                "cold_from": fleet.cold_from,
                "cold_ms": fleet.cold_ms,
                "fall_multiple": fleet.fall_multiple,
                "tip_after_ms": fleet.fall_ms,
            },
            "family_info": {
                "may_count": True,
                "count_wait_ms": fleet.counter_wait_ms,
                "trued_up": True,
                "most_units": MAX_REQUEST_UNITS,
            },
        }

    def _snapshots(self) -> dict[str, Any]:
        every = self._scenario.fleet.snapshots_ms
        if not every:
            return {}
        return {
            "snapshots": {
                "folder": str(self.snapshot_directory),
                "every_ms": every,
                "fleet": self._scenario.name,
            }
        }

    @property
    def snapshot_directory(self) -> Path:
        """Where its snapshots are, on the disk that lasts."""
        return self._folder / "kept"

    def _write_config(self) -> Path:
        path = self._folder / "config.json"
        path.write_bytes(orjson.dumps(self._config()))
        return path

    def discovery_moved(self) -> None:
        """Its discovery has gone to the other address: the file says so from now on."""
        self._discovery_moves += 1
        self._write_config()

    def alive(self) -> bool:
        """Whether a process of it runs."""
        return self.current is not None and self.current.alive()

    def is_starting(self) -> bool:
        """Whether its process is not ready yet, or is made next: no process before it has to end."""
        if self.alive():
            assert self.current is not None
            return not self.current.ready
        return self._pending_starts > 0

    def memory_kb(self) -> int:
        """What it holds now; 0 while it is dead."""
        if self.current is None or not self.current.alive():
            return 0
        try:
            pages = int(Path(f"/proc/{self.current.process.pid}/statm").read_text().split()[1])
        except (OSError, IndexError):
            return 0
        return pages * os.sysconf("SC_PAGE_SIZE") // 1024

    def request_start(self, how: str = "", twin: Path | None = None) -> Awaitable[None]:
        """Ask for a start. What is returned must be awaited: it waits until the gateway is ready, and raises
        NotReadyError where it ended before and nothing had told it to.
        """
        self._pending_starts += 1
        return self._start(how, twin)

    async def _start(self, how: str, twin: Path | None) -> None:
        async with self._starting:
            try:
                if self.current is not None:
                    await self.current.process.wait()
                if self._ended:
                    return
                self._prepare_directories(how, twin)
                started = await self._spawn()
            finally:
                self._pending_starts -= 1
        listening = asyncio.get_running_loop().create_future()
        reading = asyncio.create_task(self._read_log(started.process, listening))
        self._readers.add(reading)
        reading.add_done_callback(self._readers.discard)
        try:
            await asyncio.wait_for(listening, READY_TIMEOUT_S)
            self._note(self.name, "listens")
            await self._wait_until_ready(started)
        except (TimeoutError, NotReadyError):
            if not started.end_requested:
                raise NotReadyError(f"{self.name} did not start: {' / '.join(self.lines[-3:])}") from None

    def _prepare_directories(self, how: str, twin: Path | None) -> None:
        """The folders as a start is to find them."""
        own, file = self._folder / "tmp", self.snapshot_directory / "snapshot"
        if not how:
            shutil.rmtree(own, ignore_errors=True)
            shutil.rmtree(self.snapshot_directory, ignore_errors=True)
        own.mkdir(exist_ok=True)
        if how == "twin" and twin is not None:
            shutil.rmtree(self.snapshot_directory, ignore_errors=True)
            shutil.copytree(twin, self.snapshot_directory)
        elif how in ("torn", "flipped") and file.exists():
            data = bytearray(file.read_bytes())
            if how == "torn":
                del data[len(data) // 2 :]
            else:
                data[len(data) // 2] ^= 1
            file.write_bytes(data)

    async def _spawn(self) -> RunningProcess:
        own = self._folder / "tmp"
        path = self._write_config()
        self._starts += 1
        self._note(self.name, "start")
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-P",
            "-m",
            package_in(self._tree),
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
            preexec_fn=_prepare_child,
            env={**os.environ, "PYTHONPATH": str(self._tree), "ROUTER_CONFIG": str(path), "TMPDIR": str(own)},
        )
        self.current = RunningProcess(process)
        if self._ended:
            self._kill()
        waiting, self._queued_signals = self._queued_signals, []
        for what in waiting:
            self._send(self.current, what)
        return self.current

    async def _read_log(self, process: asyncio.subprocess.Process, listening: asyncio.Future[int]) -> None:
        assert process.stderr is not None
        with (self._folder / "log").open("ab") as log:
            while line := await process.stderr.readline():
                log.write(line)
                text = line.decode(errors="replace").strip()
                for kind in RECORDED_LOG_SUBJECTS:
                    if f"INFO {kind}: " in text or f"WARNING {kind}: " in text:
                        self._note(self.name, kind, text=text.partition(f"{kind}: ")[2])
                self.lines = [*self.lines[1 - MAX_KEPT_LINES :], text]
                if "listening on" in text and not listening.done():
                    listening.set_result(int(text.rsplit(":", 1)[1]))
        code = await process.wait()
        self._note(self.name, "ended", code=code)
        if not listening.done():
            listening.set_exception(NotReadyError())

    async def _wait_until_ready(self, started: RunningProcess) -> None:
        while True:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if line.split()[1:2] == [b"200"] and started is self.current:
                    self._note(self.name, "ready")
                    started.ready = True
                    return
            except OSError:
                pass
            if not started.alive():
                raise NotReadyError
            await asyncio.sleep(0.02)

    def signal(self, what: str) -> None:
        """A signal, by its name in a scenario; to nobody where no process is there and none is on its way."""
        if self.current is not None and self.current.alive():
            self._send(self.current, what)
        elif self._pending_starts:
            self._queued_signals.append(what)

    def _send(self, started: RunningProcess, what: str) -> None:
        if not started.alive():
            return
        self._note(self.name, what)
        started.end_requested = started.end_requested or what in ("kill", "term")
        started.killed = started.killed or what == "kill"
        started.process.send_signal(SIGNALS[what])

    async def end(self) -> None:
        """End it whatever it does, and wait for that; starts that were asked for begin no more.

        A start whose process is being made is waited for: asyncio never ends a process whose making was
        cancelled before its pipes were connected.
        """
        self._ended = True
        self._kill()
        async with self._starting:
            pass  # what is being made is killed as soon as it is there
        if self.current is not None:
            await self.current.process.wait()
        await asyncio.gather(*self._readers)
        self._port_reservation.close()

    def _kill(self) -> None:
        if self.current is not None and self.current.process.returncode is None:
            self.current.end_requested = self.current.killed = True
            self.current.process.kill()


def _class_settings(request_class: Class) -> dict[str, Any]:
    return {
        "name": request_class.name,
        "objective_ms": request_class.aim_ms,
        "deadline_ms": request_class.deadline_ms,
        "worth": request_class.worth,
        "effect": request_class.effect,
        "key_scope": "all",
        "window_ms": request_class.window_ms,
    }


def _plan_settings(plan: Plan) -> dict[str, Any]:
    return {
        "name": plan.name,
        "refill": plan.rate,
        "burst": plan.burst,
        "worth_factor": plan.worth,
        "over_worth": plan.over_worth,
        "over_cost": plan.over_cost,
        "ceiling_rate": plan.ceiling * plan.rate,
        "hard_burst": plan.ceiling * plan.burst,
        "tolerance": slack(plan.ceiling * plan.burst),
    }
