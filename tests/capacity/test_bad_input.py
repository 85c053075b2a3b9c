"""Bad input to the scale tests is reported on one line with field, value found and allowed range.

The command exits with status 2, and no measurement is started.
"""

from __future__ import annotations

import subprocess
from pathlib import Path

import pytest

from benchmarks.capacity import __main__ as command_line
from benchmarks.capacity import runner
from benchmarks.capacity.probe import GATEWAY, Probe, Values
from benchmarks.capacity.probes import PROBES
from benchmarks.capacity.size import MAX_PROCESSES, memory_limit_mb

TRACED = "test.traced"


class StartRecorder:
    """Records measurements started in this process or as children."""

    def __init__(self, folder: Path) -> None:
        self.file = folder / "measured"
        self.children: list[object] = []

    def measure(self, size: int, seed: int) -> Values:
        """A measurement that records its start in `file`."""
        self.file.write_text(f"{size} {seed}")
        return {TRACED: float(size)}

    def probe(self, processes: int = 1, memory_mb: float = 1.0, real: bool = False) -> Probe:
        """A probe that runs `measure`."""
        return Probe(
            TRACED, GATEWAY, "things", (1, 2, 3, 4), {TRACED: "things"}, self.measure, 1, real, processes,
            memory_mb,
        )  # fmt: skip

    def nothing_started(self) -> bool:
        """Whether no measurement and no child was started."""
        return not self.file.exists() and not self.children


@pytest.fixture
def start_recorder(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> StartRecorder:
    """Adds a recorded probe to the others; child processes are recorded instead of started."""
    recorder = StartRecorder(tmp_path)

    def record_child(command: object, **_: object) -> subprocess.CompletedProcess[str]:
        recorder.children.append(command)
        return subprocess.CompletedProcess([], 0, f'{{"{TRACED}": 1.0}}\n', "")

    monkeypatch.setitem(PROBES, TRACED, recorder.probe())
    monkeypatch.setattr(runner.subprocess, "run", record_child)
    monkeypatch.setattr(command_line, "_merge_into_file", lambda figures, seeds: None)
    return recorder


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
def test_bad_input_is_reported_on_one_line_and_starts_nothing(
    arguments: list[str],
    field: str,
    found: str,
    allowed: str,
    start_recorder: StartRecorder,
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert command_line.main(arguments) == command_line.BAD_INPUT
    captured = capsys.readouterr()
    (line,) = captured.err.splitlines()
    assert line.startswith(f"{field}: found {found}, allowed ")
    assert allowed in line
    assert not captured.out
    assert start_recorder.nothing_started()


def test_probe_with_too_many_processes_is_rejected(
    start_recorder: StartRecorder, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setitem(PROBES, TRACED, start_recorder.probe(processes=MAX_PROCESSES + 1, real=True))
    assert command_line.main(["measure", TRACED]) == command_line.BAD_INPUT
    assert capsys.readouterr().err == f"{TRACED}.processes: found 301, allowed 1 to 300\n"
    assert start_recorder.nothing_started()


def test_process_limit_covers_all_jobs_together(
    start_recorder: StartRecorder, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setitem(PROBES, TRACED, start_recorder.probe(processes=101))
    assert command_line.main(["measure", TRACED, "--jobs", "3"]) == command_line.BAD_INPUT
    assert capsys.readouterr().err == f"{TRACED}.processes: found 303, allowed 1 to 300\n"
    assert start_recorder.nothing_started()


@pytest.mark.parametrize(("share", "jobs", "real"), [(1.1, 1, False), (0.6, 2, False), (1.1, 2, True)])
def test_probe_beyond_memory_limit_is_rejected(
    share: float,
    jobs: int,
    real: bool,
    start_recorder: StartRecorder,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    limit_mb = memory_limit_mb()
    monkeypatch.setitem(PROBES, TRACED, start_recorder.probe(memory_mb=share * limit_mb, real=real))
    assert command_line.main(["measure", TRACED, "--jobs", str(jobs)]) == command_line.BAD_INPUT
    (line,) = capsys.readouterr().err.splitlines()
    assert line.startswith(f"{TRACED}.memory_mb ({1 if real else jobs} at once): found ")
    assert line.endswith(f", allowed 1 to {limit_mb}")
    assert start_recorder.nothing_started()


def test_one_bad_probe_prevents_start_of_all_probes(
    start_recorder: StartRecorder, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setitem(PROBES, TRACED, start_recorder.probe(processes=MAX_PROCESSES + 1))
    assert command_line.main(["measure", "hosts.list", TRACED]) == command_line.BAD_INPUT
    assert capsys.readouterr().err.startswith(f"{TRACED}.processes: ")
    assert start_recorder.nothing_started()


def test_good_input_starts_measurements_and_children(start_recorder: StartRecorder) -> None:
    assert command_line.main(["one", TRACED, "4", "0"]) == 0
    assert start_recorder.file.read_text() == "4 0"
    assert command_line.main(["measure", TRACED, "--jobs", "1"]) == 0
    assert len(start_recorder.children) == 8


def test_each_probe_is_within_limits_of_this_machine() -> None:
    for probe in PROBES.values():
        runner.check(probe, probe.sizes, [1, 2])
