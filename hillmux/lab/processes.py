"""Starts, signals, kills and restarts the gateway processes of a run; no process outlives the lab."""

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

from hillmux.lab.random_streams import generator
from hillmux.lab.record import Recorder
from hillmux.lab.scenario import MAX_REQUEST_UNITS, Class, Plan, Scenario, slack, zone_of
from hillmux.lab.source_trees import package_in

READY_TIMEOUT_S = 20.0
MAX_KEPT_LOG_LINES = 40
SIGNALS = {
    "kill": signal.SIGKILL,
    "term": signal.SIGTERM,
    "hup": signal.SIGHUP,
    "stop": signal.SIGSTOP,
    "cont": signal.SIGCONT,
}
ROOT = Path(__file__).resolve().parents[2]

PR_SET_PDEATHSIG = 1  # option of prctl(2)
NICENESS = 5  # of the gateways; see _prepare_child
RECORDED_LOG_SUBJECTS = ("snapshots", "phase")  # log lines with these are recorded as events


def die_with_parent() -> None:
    """Have the kernel kill this child process when the lab ends, for whatever reason (prctl(2))."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def _prepare_child() -> None:
    """Prepare a gateway's child process: bind its life to the lab's, and lower its priority.

    Stand-ins and load generator take precedence where cores are scarce. Otherwise many gateways that start at
    once would delay the load generator, and its requests would be sent late.
    """
    die_with_parent()
    os.nice(NICENESS)


class NotReadyError(RuntimeError):
    """A gateway process ended before it was ready, or did not listen in time; with its last log lines."""


@dataclass(slots=True, eq=False)
class RunningProcess:
    """One process of a gateway, from its start to its exit."""

    process: asyncio.subprocess.Process
    end_requested: bool = False  # SIGTERM or SIGKILL was sent: an exit before it is ready is no failed start
    ready: bool = False
    killed: bool = False  # SIGKILL was sent: it handles no further signal, although it may not be reaped yet

    def alive(self) -> bool:
        """Whether the process can still receive a signal."""
        return self.process.returncode is None and not self.killed


class GatewayProcess:
    """One gateway, whose name, port and folder are the same for all its processes.

    Faults take effect in the order in which they are requested: a signal during a start is queued for the new
    process, and a start waits for the exit of the previous process. On a slow machine a start can take longer
    than the time to the next fault; a signal sent to the previous, dead process would be lost.
    """

    def __init__(
        self,
        number: int,
        scenario: Scenario,
        folder: Path,
        note: Recorder,
        tree: Path,
        addresses: dict[str, Any],
    ) -> None:
        self.name, self.number = f"g{number}", number
        # Keeps the port bound while no process runs: the kernel could assign it to a client's connection.
        self._port_reservation = socket.socket()
        self._port_reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._port_reservation.bind(("127.0.0.1", 0))
        self.port = int(self._port_reservation.getsockname()[1])
        self._scenario, self._note, self._tree, self._addresses = scenario, note, tree, addresses
        self._folder = folder / self.name
        self._folder.mkdir()
        self._starts = self._discovery_moves = 0
        self.current: RunningProcess | None = None
        self._starting = asyncio.Lock()  # held by one start at a time, until its process exists
        self._pending_starts = 0  # requested starts whose process does not exist yet
        self._ended = False  # after end(): no further process is started
        self._queued_signals: list[str] = []  # names of signals to send to the next process
        self._readers: set[asyncio.Task[None]] = set()
        self.log_lines: list[str] = []  # the last lines that its processes logged

    def _config(self) -> dict[str, Any]:
        """The configuration of the next process, with the platform's field names."""
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
        interval_ms = self._scenario.fleet.snapshots_ms
        if not interval_ms:
            return {}
        return {
            "snapshots": {
                "folder": str(self.snapshot_directory),
                "every_ms": interval_ms,
                "fleet": self._scenario.name,
            }
        }

    @property
    def snapshot_directory(self) -> Path:
        """The folder of its snapshots, which is kept when a process ends."""
        return self._folder / "kept"

    def _write_config(self) -> Path:
        path = self._folder / "config.json"
        path.write_bytes(orjson.dumps(self._config()))
        return path

    def discovery_moved(self) -> None:
        """Rewrite the configuration file with the other of the two addresses of its discovery agent."""
        self._discovery_moves += 1
        self._write_config()

    def alive(self) -> bool:
        """Whether its current process runs."""
        return self.current is not None and self.current.alive()

    def is_starting(self) -> bool:
        """Whether its process runs but is not ready, or a start is pending after the last process's end."""
        if self.alive():
            assert self.current is not None
            return not self.current.ready
        return self._pending_starts > 0

    def memory_kb(self) -> int:
        """Resident memory of its process in KB; 0 while none runs."""
        if self.current is None or not self.current.alive():
            return 0
        try:
            pages = int(Path(f"/proc/{self.current.process.pid}/statm").read_text().split()[1])
        except (OSError, IndexError):
            return 0
        return pages * os.sysconf("SC_PAGE_SIZE") // 1024

    def request_start(self, how: str = "", twin_directory: Path | None = None) -> Awaitable[None]:
        """Request a start; the returned awaitable must be awaited.

        Args:
            how: `twin`, `torn` or `flipped` alter the snapshot before the start; empty deletes the snapshots
                and temporary files; any other value keeps them.
            twin_directory: Snapshots of another gateway, copied for `twin`.

        Returns:
            An awaitable that completes once the gateway is ready. It raises NotReadyError if the process ends
            before that, or does not listen within READY_TIMEOUT_S, and was sent neither SIGTERM nor SIGKILL.
        """
        self._pending_starts += 1
        return self._start(how, twin_directory)

    async def _start(self, how: str, twin_directory: Path | None) -> None:
        async with self._starting:
            try:
                if self.current is not None:
                    await self.current.process.wait()
                if self._ended:
                    return
                self._prepare_directories(how, twin_directory)
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
                raise NotReadyError(f"{self.name} did not start: {' / '.join(self.log_lines[-3:])}") from None

    def _prepare_directories(self, how: str, twin_directory: Path | None) -> None:
        """Delete, copy or corrupt the folders of snapshots and temporary files, as `how` says."""
        temp_directory, snapshot = self._folder / "tmp", self.snapshot_directory / "snapshot"
        if not how:
            shutil.rmtree(temp_directory, ignore_errors=True)
            shutil.rmtree(self.snapshot_directory, ignore_errors=True)
        temp_directory.mkdir(exist_ok=True)
        if how == "twin" and twin_directory is not None:
            shutil.rmtree(self.snapshot_directory, ignore_errors=True)
            shutil.copytree(twin_directory, self.snapshot_directory)
        elif how in ("torn", "flipped") and snapshot.exists():
            data = bytearray(snapshot.read_bytes())
            if how == "torn":
                del data[len(data) // 2 :]
            else:
                data[len(data) // 2] ^= 1
            snapshot.write_bytes(data)

    async def _spawn(self) -> RunningProcess:
        temp_directory = self._folder / "tmp"
        config_path = self._write_config()
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
            env={
                **os.environ,
                "PYTHONPATH": str(self._tree),
                "ROUTER_CONFIG": str(config_path),
                "TMPDIR": str(temp_directory),
            },
        )
        self.current = RunningProcess(process)
        if self._ended:
            self._kill()
        queued, self._queued_signals = self._queued_signals, []
        for signal_name in queued:
            self._send(self.current, signal_name)
        return self.current

    async def _read_log(self, process: asyncio.subprocess.Process, listening: asyncio.Future[int]) -> None:
        assert process.stderr is not None
        with (self._folder / "log").open("ab") as log:
            while line := await process.stderr.readline():
                log.write(line)
                text = line.decode(errors="replace").strip()
                for subject in RECORDED_LOG_SUBJECTS:
                    if f"INFO {subject}: " in text or f"WARNING {subject}: " in text:
                        self._note(self.name, subject, text=text.partition(f"{subject}: ")[2])
                self.log_lines = [*self.log_lines[1 - MAX_KEPT_LOG_LINES :], text]
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

    def signal(self, signal_name: str) -> None:
        """Send a signal, or queue it for a pending start; without a process or a start it is dropped.

        Args:
            signal_name: A key of SIGNALS, as scenarios name it.
        """
        if self.current is not None and self.current.alive():
            self._send(self.current, signal_name)
        elif self._pending_starts:
            self._queued_signals.append(signal_name)

    def _send(self, target: RunningProcess, signal_name: str) -> None:
        if not target.alive():
            return
        self._note(self.name, signal_name)
        target.end_requested = target.end_requested or signal_name in ("kill", "term")
        target.killed = target.killed or signal_name == "kill"
        target.process.send_signal(SIGNALS[signal_name])

    async def end(self) -> None:
        """Kill its process and wait for the exit; pending starts spawn no process.

        A start whose process is being spawned is not cancelled but waited for: asyncio does not end a process
        whose creation was cancelled before its pipes were connected.
        """
        self._ended = True
        self._kill()
        async with self._starting:
            pass  # waits for a spawn in progress, which kills its new process as _ended is set
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
