"""Playing a scenario: processes started, faults at their times, the record judged, nothing left behind."""

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

LEAD_TIME_S = 0.5  # between the last gateway's readiness and the first try
OVERRUN_TIMEOUT_S = 30.0  # how long after its length a run may take to end
MAX_LOAD_LATENESS_MS = 5.0  # p99 of the load's own lateness up to which times are judged
MEMORY_SAMPLE_INTERVAL_S = 1.0  # between looks at the gateways' memory
CONCURRENT_STARTS = 8  # gateways that are started at once before the run


class RunError(RuntimeError):
    """A run that did not come about; nothing of it is left running."""


@dataclass(slots=True)
class Result:
    """What a run came to."""

    scenario: Scenario
    folder: Path
    t0: float
    verdicts: list[checks.Verdict]
    figures: Figures
    late_ms: list[float]
    unmet_requirements: list[str]

    def times_judged(self) -> bool:
        """Whether times were judged: the load itself was in time."""
        return self.late_ms[1] <= MAX_LOAD_LATENESS_MS

    def holds(self) -> bool:
        """Whether every rule was exercised and held, and every figure asked for was met."""
        return not self.unmet_requirements and all(v.status() == "held" for v in self.verdicts)


class HelperProcess:
    """The stand-ins' process, or the load's: lines of JSON both ways; it ends with its input."""

    def __init__(self, module: str) -> None:
        self._module = module
        self._process: asyncio.subprocess.Process | None = None

    async def start(self, first: dict[str, Any]) -> dict[str, Any]:
        """Start it, tell it the first line, and wait for its first one."""
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
        self.send(first)
        return await self.receive()

    def send(self, line: dict[str, Any]) -> None:
        """Write a line to it."""
        assert self._process is not None
        assert self._process.stdin is not None
        self._process.stdin.write(orjson.dumps(line) + b"\n")

    async def receive(self) -> dict[str, Any]:
        """Its next line."""
        assert self._process is not None
        assert self._process.stdout is not None
        line = await self._process.stdout.readline()
        if not line:
            raise RunError(f"{self._module}: ended early")
        found: dict[str, Any] = orjson.loads(line)
        return found

    async def end(self, within_s: float = 10.0) -> None:
        """Close its input and wait; kill it where that does not end it."""
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
        say: Callable[[str], None] = lambda text: None,
        show: Callable[[dict[str, float]], None] = lambda progress: None,
    ) -> None:
        self.scenario, self.folder, self.tree = scenario, folder, tree
        self._report, self._show_progress = say, show
        self._environment, self._load = HelperProcess("hillmux.lab.world"), HelperProcess("hillmux.lab.load")
        self.gateways: dict[str, GatewayProcess] = {}
        self._tasks: set[asyncio.Task[None]] = set()  # restarts that have not come about yet
        self._timers: list[asyncio.TimerHandle] = []  # of faults, and of the next look at the memory
        self._unstarted: list[str] = []  # starts that had not come about when the run was over
        self._failed: list[str] = []

    async def play(self) -> Result:
        """Play it whole; RunError where it can't be. Ctrl-C ends all that was started, too."""
        files = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (files[1], files[1]))
        wrong = resource_shortages(self.scenario, free_mb(), files[1])
        if wrong:
            raise RunError("\n".join(wrong))
        self.folder.mkdir(parents=True)
        (self.folder / "scenario.json").write_bytes(orjson.dumps(self.scenario.model_dump()))
        self.note = Recorder(self.folder / "lab.jsonl", lambda: time.monotonic() * 1000)
        try:
            t0, late = await self._play()
        finally:
            await self._end()
        if self._failed:
            raise RunError("\n".join(self._failed))
        return judge(self.scenario, self.folder, t0, late, self._unstarted)

    async def _play(self) -> tuple[float, list[float]]:
        scenario = self.scenario
        raw = scenario.model_dump(mode="json")
        told = await self._environment.start({"scenario": raw, "folder": str(self.folder)})
        for number in range(scenario.fleet.gateways):
            name = f"g{number}"
            self.gateways[name] = GatewayProcess(
                number, scenario, self.folder, self.note, self.tree, told["ports"][name]
            )
        self._report(f"starting {len(self.gateways)} gateways")
        names = list(self.gateways)
        for at in range(0, len(names), CONCURRENT_STARTS):
            starts = (self.gateways[name].request_start() for name in names[at : at + CONCURRENT_STARTS])
            await asyncio.shield(asyncio.gather(*starts))  # a start is ended by its gateway's `end` alone
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
        over = await asyncio.wait_for(
            self._receive_until_over(), scenario.length_s + LEAD_TIME_S + OVERRUN_TIMEOUT_S
        )
        await self._await_starts_under_way()
        return t0, over["late_ms"]

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
        """Another gateway's folder of snapshots: the next one's by number."""
        others = list(self.gateways.values())
        return others[(gateway.number + 1) % len(others)].snapshot_directory

    async def _await_restart(self, start: Awaitable[None]) -> None:
        try:
            await start
        except NotReadyError as error:
            self._failed.append(str(error))

    async def _await_starts_under_way(self) -> None:
        """Wait for processes that are there and not ready yet: a busy machine takes long to start them."""
        under_way = [task for task in self._tasks if self.gateways[task.get_name()].is_starting()]
        if under_way:
            await asyncio.wait(under_way, timeout=READY_TIMEOUT_S)

    async def _end(self) -> None:
        """End what was started, and only that; nothing is started any more."""
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
    scenario: Scenario, folder: Path, t0: float, late_ms: list[float], wrong: Sequence[str] = ()
) -> Result:
    """The verdicts and figures of a record; `wrong`: what else the run did not come to."""
    events = list(record.read(folder))
    given = replace(criteria(scenario), judge_times=late_ms[1] <= MAX_LOAD_LATENESS_MS)
    verdicts = rules.judge(events, given, scenario.hold.rules)
    figures = measure(events, t0, scenario.length_s, given)
    missed = [*wrong, *unmet_requirements(scenario, figures, late_ms)]
    result = Result(scenario, folder, t0, verdicts, figures, late_ms, missed)
    if any(event["ev"] == "cut" for event in events):
        result.unmet_requirements.append("the record was cut at its bound: nothing after that was judged")
    said = {
        "t0": t0,
        "late_ms": late_ms,
        "unmet": result.unmet_requirements,
        "verdicts": {v.rule: [v.status(), v.exercised, v.broken] for v in verdicts},
        "figures": asdict(figures)
        | {"windows": [[w.offered_weight, w.served_weight] for w in figures.windows]},
    }
    (folder / "verdict.json").write_bytes(orjson.dumps(said, option=orjson.OPT_INDENT_2))
    return result


def unmet_requirements(scenario: Scenario, figures: Figures, late_ms: list[float]) -> list[str]:
    """What a scenario asks for and the run did not show. Times are judged only by a load that was in time."""
    hold = scenario.hold
    wrong: list[str] = []
    if hold.full_service_s:
        if late_ms[1] > MAX_LOAD_LATENESS_MS:
            wrong.append(f"full service: not judged: the load itself was {late_ms[1]:.1f} ms late at p99")
        elif figures.full_service_s is None or figures.full_service_s > hold.full_service_s:
            seen = "never" if figures.full_service_s is None else f"after {figures.full_service_s:.0f} s"
            wrong.append(f"full service: {seen}, {hold.full_service_s:g} s were asked for")
    if hold.attempts_a_try and figures.attempts_per_request() > hold.attempts_a_try:
        wrong.append(
            f"attempts a first try: {figures.attempts_per_request():.2f}, at most {hold.attempts_a_try:g}"
        )
    if hold.served and figures.served_share < hold.served:
        wrong.append(f"served: {figures.served_share:.3f} of the worth, at least {hold.served:g}")
    return wrong


def play(
    scenario: Scenario,
    folder: Path,
    tree: Path = ROOT,
    say: Callable[[str], None] = lambda text: None,
    show: Callable[[dict[str, float]], None] = lambda progress: None,
) -> Result:
    """Play a scenario; RunError where it does not come about. `show` is given the progress once a second."""
    return asyncio.run(Run(scenario, folder, tree, say, show).play())


def play_virtual(scenario: Scenario, folder: Path, say: Callable[[str], None] = lambda text: None) -> Result:
    """The same in virtual time, with a record of the same form. What it has no model of is left out."""
    missing = virtual.not_modelled(scenario)
    if missing:
        say(f"not modelled in virtual time, left out: {', '.join(missing)}")
    events: list[checks.Event] = []
    virtual.play(scenario, events)
    folder.mkdir(parents=True)
    (folder / "scenario.json").write_bytes(orjson.dumps(scenario.model_dump()))
    (folder / "virtual.jsonl").write_bytes(b"".join(orjson.dumps(event) + b"\n" for event in events))
    return judge(scenario, folder, virtual.START_MS, [0.0, 0.0, 0.0])
