"""Bad input to the scale tests: one line naming field, found and allowed; status 2; nothing started."""

from __future__ import annotations

import subprocess
from pathlib import Path

import pytest

from benchmarks.capacity import __main__ as command_line
from benchmarks.capacity import runner
from benchmarks.capacity.probe import GATEWAY, Probe, Values
from benchmarks.capacity.probes import PROBES
from benchmarks.capacity.size import MOST_PROCESSES, bearable_memory_mb

TRACED = "test.traced"


class Traces:
    """What was started, in this process or as a child."""

    def __init__(self, folder: Path) -> None:
        self.file = folder / "measured"
        self.children: list[object] = []

    def measure(self, size: int, seed: int) -> Values:
        """A measurement that leaves a trace."""
        self.file.write_text(f"{size} {seed}")
        return {TRACED: float(size)}

    def probe(self, processes: int = 1, memory_mb: float = 1.0, real: bool = False) -> Probe:
        """A probe that measures so."""
        return Probe(
            TRACED, GATEWAY, "things", (1, 2, 3, 4), {TRACED: "things"}, self.measure, 1, real, processes,
            memory_mb,
        )  # fmt: skip

    def none(self) -> bool:
        """Whether nothing was started."""
        return not self.file.exists() and not self.children


@pytest.fixture
def traces(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Traces:
    """A traced probe among the others; no child process is started, but each is noted."""
    found = Traces(tmp_path)

    def started(command: object, **_: object) -> subprocess.CompletedProcess[str]:
        found.children.append(command)
        return subprocess.CompletedProcess([], 0, f'{{"{TRACED}": 1.0}}\n', "")

    monkeypatch.setitem(PROBES, TRACED, found.probe())
    monkeypatch.setattr(runner.subprocess, "run", started)
    monkeypatch.setattr(command_line, "_merged", lambda figures, seeds: None)
    return found


@pytest.mark.parametrize(
    ("arguments", "field", "found", "allowed"),
    [
        (["one", TRACED, "0", "1"], f"{TRACED}.size (things)", "0", "1 to 4"),
        (["one", TRACED, "-3", "1"], f"{TRACED}.size (things)", "-3", "1 to 4"),
        (["one", TRACED, "5", "1"], f"{TRACED}.size (things)", "5", "1 to 4"),
        (["one", TRACED, "many", "1"], "argument size", "'many'", "a whole number"),
        (["one", TRACED, "1", "-1"], "seed", "-1", "0 to 2147483647"),
        (["one", "test.other", "1", "1"], "probe", "'test.other'", "test.traced"),
        (["measure", "test.other"], "probe", "'test.other'", "test.traced"),
        (["measure", TRACED, "test.other"], "probe", "'test.other'", "test.traced"),
        (["measure", "--role", "proxy"], "role", "'proxy'", "gateway, counter, discovery, host, operator"),
        (["measure", TRACED, "--seeds", "1", "-1"], "seed", "-1", "0 to 2147483647"),
        (["measure", TRACED, "--seeds", "one"], "argument --seeds", "'one'", "a whole number"),
        (["measure", TRACED, "--jobs", "0"], "jobs", "0", "1 to 8"),
        (["measure", TRACED, "--jobs", "9"], "jobs", "9", "1 to 8"),
    ],
)
def test_bad_input_is_told_in_one_line_and_starts_nothing(
    arguments: list[str],
    field: str,
    found: str,
    allowed: str,
    traces: Traces,
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert command_line.main(arguments) == command_line.BAD_INPUT
    captured = capsys.readouterr()
    (line,) = captured.err.splitlines()
    assert line.startswith(f"{field}: found {found}, allowed ")
    assert allowed in line
    assert not captured.out
    assert traces.none()


def test_more_processes_than_are_allowed_are_refused(
    traces: Traces, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setitem(PROBES, TRACED, traces.probe(processes=MOST_PROCESSES + 1, real=True))
    assert command_line.main(["measure", TRACED]) == command_line.BAD_INPUT
    assert capsys.readouterr().err == f"{TRACED}.processes: found 301, allowed 1 to 300\n"
    assert traces.none()


def test_the_processes_of_all_jobs_count_together(
    traces: Traces, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setitem(PROBES, TRACED, traces.probe(processes=101))
    assert command_line.main(["measure", TRACED, "--jobs", "3"]) == command_line.BAD_INPUT
    assert capsys.readouterr().err == f"{TRACED}.processes: found 303, allowed 1 to 300\n"
    assert traces.none()


@pytest.mark.parametrize(("share", "jobs", "real"), [(1.1, 1, False), (0.6, 2, False), (1.1, 2, True)])
def test_more_memory_than_the_machine_bears_is_refused(
    share: float,
    jobs: int,
    real: bool,
    traces: Traces,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    most = bearable_memory_mb()
    monkeypatch.setitem(PROBES, TRACED, traces.probe(memory_mb=share * most, real=real))
    assert command_line.main(["measure", TRACED, "--jobs", str(jobs)]) == command_line.BAD_INPUT
    (line,) = capsys.readouterr().err.splitlines()
    assert line.startswith(f"{TRACED}.memory_mb ({1 if real else jobs} at once): found ")
    assert line.endswith(f", allowed 1 to {most}")
    assert traces.none()


def test_one_bad_probe_among_several_starts_none_of_them(
    traces: Traces, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setitem(PROBES, TRACED, traces.probe(processes=MOST_PROCESSES + 1))
    assert command_line.main(["measure", "hosts.list", TRACED]) == command_line.BAD_INPUT
    assert capsys.readouterr().err.startswith(f"{TRACED}.processes: ")
    assert traces.none()


def test_good_input_leaves_the_traces_that_bad_input_must_not(traces: Traces) -> None:
    assert command_line.main(["one", TRACED, "4", "0"]) == 0
    assert traces.file.read_text() == "4 0"
    assert command_line.main(["measure", TRACED, "--jobs", "1"]) == 0
    assert len(traces.children) == 8


def test_all_probes_fit_this_machine_one_by_one() -> None:
    for probe in PROBES.values():
        runner.check(probe, probe.sizes, [1, 2])
