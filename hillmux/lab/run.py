"""Plays a scenario: starts the processes, applies the faults, ends all processes, judges the record."""

from __future__ import annotations

import asyncio
import os
import resource
import sys
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import asdict, dataclass, replace
from pathlib import Path
from typing import Any

import orjson

from hillmux.lab import checks, record, rules
from hillmux.lab.measures import Figures, measure
from hillmux.lab.processes import (
    READY_TIMEOUT_S,
    ROOT,
    GatewayProcess,
    NotReadyError,
    die_with_parent,
)
from hillmux.lab.record import Recorder
from hillmux.lab.scenario import (
    GATEWAY_FAULTS,
    Scenario,
    ScheduledFault,
    criteria,
    free_mb,
    resource_shortages,
    schedule,
)
from hillmux.lab.virtual import play as virtual

LEAD_TIME_S = 0.5  # between the last gateway's readiness and the first request
OVERRUN_TIMEOUT_S = 30.0  # time that a run may take to end beyond its length
MAX_LOAD_LATENESS_MS = 5.0  # times are judged only up to this p99 of the load's own lateness
MEMORY_SAMPLE_INTERVAL_S = 1.0  # interval of the samples of the gateways' memory
CONCURRENT_STARTS = 8  # gateways that are started at the same time before the run


class RunError(RuntimeError):
    """A run failed to start or to end normally; all its processes have ended."""


@dataclass(slots=True)
class Result:
    """Result of a run.

    Attributes:
        scenario: the scenario, with its seed.
        folder: the run's folder, with the record.
        t0: start of the run in ms, on the record's clock.
        verdicts: one for each rule that the scenario requires.
        figures: figures of the record.
        late_ms: lateness of the load itself: p50, p99 and maximum.
        unmet_requirements: one text for each other requirement that was not met.
    """

    scenario: Scenario
    folder: Path
    t0: float
    verdicts: list[checks.Verdict]
    figures: Figures
    late_ms: list[float]
    unmet_requirements: list[str]

    def times_judged(self) -> bool:
        """Whether times were judged, which needs a load that was sent on time."""
        return self.late_ms[1] <= MAX_LOAD_LATENESS_MS

    def holds(self) -> bool:
        """Whether every rule was exercised and held, and every required figure was met."""
        return not self.unmet_requirements and all(v.status() == "held" for v in self.verdicts)


class HelperProcess:
    """Process of the stand-ins or of the load: exchanges lines of JSON and exits when its input is closed."""

    def __init__(self, module: str) -> None:
        self._module = module
        self._process: asyncio.subprocess.Process | None = None

    async def start(self, first_message: dict[str, Any]) -> dict[str, Any]:
        """Start the process, send it the first line and return its first line.

        Raises:
            RunError: the process ended early.
        """
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-P",
            "-m",
            self._module,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=1 << 24,
            preexec_fn=die_with_parent,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
        )
        self.send(first_message)
        return await self.receive()

    def send(self, line: dict[str, Any]) -> None:
        """Send one line to the process."""
        assert self._process is not None
        assert self._process.stdin is not None
        self._process.stdin.write(orjson.dumps(line) + b"\n")

    async def receive(self) -> dict[str, Any]:
        """Wait for the next line of the process.

        Raises:
            RunError: the process ended early.
        """
        assert self._process is not None
        assert self._process.stdout is not None
        line = await self._process.stdout.readline()
        if not line:
            raise RunError(f"{self._module}: ended early")
        message: dict[str, Any] = orjson.loads(line)
        return message

    async def end(self, within_s: float = 10.0) -> None:
        """Close the process's input and wait; kill it if it does not exit within `within_s` seconds."""
        if self._process is None or self._process.returncode is not None:
            return
        assert self._process.stdin is not None
        self._process.stdin.close()
        try:
            await asyncio.wait_for(self._process.wait(), within_s)
        except TimeoutError:
            self._process.kill()
            await self._process.wait()


class Run:
    """One run, from its start to its end."""

    def __init__(
        self,
        scenario: Scenario,
        folder: Path,
        tree: Path = ROOT,
        report: Callable[[str], None] = lambda text: None,
        show_progress: Callable[[dict[str, float]], None] = lambda progress: None,
    ) -> None:
        self.scenario, self.folder, self.tree = scenario, folder, tree
        self._report, self._show_progress = report, show_progress
        self._environment, self._load = (
            HelperProcess("hillmux.lab.environment"),
            HelperProcess("hillmux.lab.load"),
        )
        self.gateways: dict[str, GatewayProcess] = {}
        self._tasks: set[asyncio.Task[None]] = set()  # restarts that are not complete
        self._timers: list[asyncio.TimerHandle] = []  # for the faults and the next sample of the memory
        self._unstarted: list[str] = []  # one text for each start that was not complete when the run ended
        self._failed_starts: list[str] = []  # one text for each restart that failed

    async def play(self) -> Result:
        """Play the scenario to its end; on Ctrl-C, too, all started processes are ended.

        Raises:
            RunError: the machine lacks resources, or a process ended early or did not become ready.
            NotReadyError: a gateway did not become ready before the run.
            TimeoutError: the run did not end within OVERRUN_TIMEOUT_S of its length.
        """
        files = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (files[1], files[1]))
        failures = resource_shortages(self.scenario, free_mb(), files[1])
        if failures:
            raise RunError("\n".join(failures))
        self.folder.mkdir(parents=True)
        (self.folder / "scenario.json").write_bytes(orjson.dumps(self.scenario.model_dump()))
        self.note = Recorder(self.folder / "lab.jsonl", lambda: time.monotonic() * 1000)
        try:
            t0, late_ms = await self._play()
        finally:
            await self._end()
        if self._failed_starts:
            raise RunError("\n".join(self._failed_starts))
        return judge(self.scenario, self.folder, t0, late_ms, self._unstarted)

    async def _play(self) -> tuple[float, list[float]]:
        scenario = self.scenario
        raw = scenario.model_dump(mode="json")
        environment = await self._environment.start({"scenario": raw, "folder": str(self.folder)})
        for number in range(scenario.fleet.gateways):
            name = f"g{number}"
            self.gateways[name] = GatewayProcess(
                number, scenario, self.folder, self.note, self.tree, environment["ports"][name]
            )
        self._report(f"starting {len(self.gateways)} gateways")
        names = list(self.gateways)
        for begin in range(0, len(names), CONCURRENT_STARTS):
            starts = (
                self.gateways[name].request_start() for name in names[begin : begin + CONCURRENT_STARTS]
            )
            await asyncio.shield(asyncio.gather(*starts))  # only the gateway's `end` ends a start
        ports = {name: gateway.port for name, gateway in self.gateways.items()}
        await self._load.start({"scenario": raw, "folder": str(self.folder), "ports": ports})
        t0 = 1000 * (time.monotonic() + LEAD_TIME_S)
        self._environment.send({"t0": t0})
        self._load.send({"t0": t0})
        self._report("playing")
        loop = asyncio.get_running_loop()
        for scheduled in schedule(scenario):
            if scheduled.fault.what in GATEWAY_FAULTS:
                delay_s = (t0 + scheduled.at_ms) / 1000 - time.monotonic()
                self._timers.append(loop.call_later(delay_s, self._apply_fault, scheduled))
        self._sample_memory()
        final = await asyncio.wait_for(
            self._receive_until_over(), scenario.length_s + LEAD_TIME_S + OVERRUN_TIMEOUT_S
        )
        await self._await_starts_under_way()
        return t0, final["late_ms"]

    async def _receive_until_over(self) -> dict[str, Any]:
        while "progress" in (line := await self._load.receive()):
            self._show_progress(line["progress"] | {"alive": sum(g.alive() for g in self.gateways.values())})
        return line

    def _sample_memory(self) -> None:
        for gateway in self.gateways.values():
            if memory := gateway.memory_kb():
                self.note(gateway.name, "memory", kb=memory)
        timer = asyncio.get_running_loop().call_later(MEMORY_SAMPLE_INTERVAL_S, self._sample_memory)
        self._timers.append(timer)

    def _apply_fault(self, scheduled: ScheduledFault) -> None:
        gateway, what = self.gateways[scheduled.target], scheduled.fault.what
        if what == "start":
            task = asyncio.get_running_loop().create_task(
                self._await_restart(
                    gateway.request_start(scheduled.fault.how, self._twin_snapshots(gateway))
                ),
                name=gateway.name,
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        else:
            if scheduled.fault.how == "moved":
                gateway.discovery_moved()
            gateway.signal(what)

    def _twin_snapshots(self, gateway: GatewayProcess) -> Path:
        """Return the snapshot directory of the gateway with the next number."""
        others = list(self.gateways.values())
        return others[(gateway.number + 1) % len(others)].snapshot_directory

    async def _await_restart(self, start: Awaitable[None]) -> None:
        try:
            await start
        except NotReadyError as error:
            self._failed_starts.append(str(error))

    async def _await_starts_under_way(self) -> None:
        """Wait for gateways that are starting and not ready yet: a busy machine needs long to start them."""
        under_way = [task for task in self._tasks if self.gateways[task.get_name()].is_starting()]
        if under_way:
            await asyncio.wait(under_way, timeout=READY_TIMEOUT_S)

    async def _end(self) -> None:
        """Cancel the pending faults and end the processes that this run started."""
        for timer in self._timers:
            timer.cancel()
        for task in self._tasks:
            self._unstarted.append(f"{task.get_name()}: a start had not come about by the end")
        await self._load.end()
        await asyncio.gather(*(gateway.end() for gateway in self.gateways.values()))
        await asyncio.gather(*self._tasks)
        await self._environment.end()
        self.note.close()


def judge(
    scenario: Scenario, folder: Path, t0: float, late_ms: list[float], failures: Sequence[str] = ()
) -> Result:
    """Judge a record and write `verdict.json` into the run's folder.

    Args:
        scenario: the scenario that was played.
        folder: the run's folder, with the record.
        t0: start of the run in ms, on the record's clock.
        late_ms: lateness of the load itself: p50, p99 and maximum.
        failures: failures that the record does not show; added to the unmet requirements.
    """
    events = list(record.read(folder))
    applied_criteria = replace(criteria(scenario), judge_times=late_ms[1] <= MAX_LOAD_LATENESS_MS)
    verdicts = rules.judge(events, applied_criteria, scenario.hold.rules)
    figures = measure(events, t0, scenario.length_s, applied_criteria)
    unmet = [*failures, *unmet_requirements(scenario, figures, late_ms)]
    result = Result(scenario, folder, t0, verdicts, figures, late_ms, unmet)
    if any(event["ev"] == "cut" for event in events):
        result.unmet_requirements.append("the record was cut at its bound: nothing after that was judged")
    summary = {
        "t0": t0,
        "late_ms": late_ms,
        "unmet": result.unmet_requirements,
        "verdicts": {v.rule: [v.status(), v.exercised, v.broken] for v in verdicts},
        "figures": asdict(figures)
        | {"windows": [[w.offered_weight, w.served_weight] for w in figures.windows]},
    }
    (folder / "verdict.json").write_bytes(orjson.dumps(summary, option=orjson.OPT_INDENT_2))
    return result


def unmet_requirements(scenario: Scenario, figures: Figures, late_ms: list[float]) -> list[str]:
    """Return one text for each required figure that was missed; times count only if the load was on time."""
    hold = scenario.hold
    failures: list[str] = []
    if hold.full_service_s:
        if late_ms[1] > MAX_LOAD_LATENESS_MS:
            failures.append(f"full service: not judged: the load itself was {late_ms[1]:.1f} ms late at p99")
        elif figures.full_service_s is None or figures.full_service_s > hold.full_service_s:
            seen = "never" if figures.full_service_s is None else f"after {figures.full_service_s:.0f} s"
            failures.append(f"full service: {seen}, {hold.full_service_s:g} s were asked for")
    if hold.attempts_a_try and figures.attempts_per_request() > hold.attempts_a_try:
        failures.append(
            f"attempts a first try: {figures.attempts_per_request():.2f}, at most {hold.attempts_a_try:g}"
        )
    if hold.served and figures.served_share < hold.served:
        failures.append(f"served: {figures.served_share:.3f} of the worth, at least {hold.served:g}")
    return failures


def play(
    scenario: Scenario,
    folder: Path,
    tree: Path = ROOT,
    report: Callable[[str], None] = lambda text: None,
    show_progress: Callable[[dict[str, float]], None] = lambda progress: None,
) -> Result:
    """Play a scenario and judge its record.

    Args:
        scenario: the scenario to play.
        folder: the run's folder, which is created.
        tree: checkout whose gateways are played.
        report: called with a line of text at each stage of the run.
        show_progress: called with the progress once a second.

    Raises:
        RunError: the machine lacks resources, or a process ended early or did not become ready.
        NotReadyError: a gateway did not become ready before the run.
        TimeoutError: the run did not end in time.
    """
    return asyncio.run(Run(scenario, folder, tree, report, show_progress).play())


def play_virtual(
    scenario: Scenario, folder: Path, report: Callable[[str], None] = lambda text: None
) -> Result:
    """Play a scenario in virtual time, with a record of the same form; skips faults without a model."""
    missing = virtual.not_modelled(scenario)
    if missing:
        report(f"not modelled in virtual time, left out: {', '.join(missing)}")
    events: list[checks.Event] = []
    virtual.play(scenario, events)
    folder.mkdir(parents=True)
    (folder / "scenario.json").write_bytes(orjson.dumps(scenario.model_dump()))
    (folder / "virtual.jsonl").write_bytes(b"".join(orjson.dumps(event) + b"\n" for event in events))
    return judge(scenario, folder, virtual.START_MS, [0.0, 0.0, 0.0])
