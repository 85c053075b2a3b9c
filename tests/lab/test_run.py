"""Runs of several real gateway processes between the lab's stand-ins, with injected faults."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest
from conftest import on_loop

from hillmux.lab import record
from hillmux.lab.checks import Verdict
from hillmux.lab.measures import Figures
from hillmux.lab.processes import GatewayProcess, NotReadyError
from hillmux.lab.run import Result, Run, play, unmet_requirements
from hillmux.lab.scenario import Hold, Scenario

ROOT = Path(__file__).resolve().parents[2]
PLAN = {"name": "capped", "share": 1.0, "rate": 6.0, "burst": 12.0, "ceiling": 1.5, "width": 4}
READ = {"name": "read", "share": 0.6, "work_ms": 15, "aim_ms": 2000, "deadline_ms": 3000, "worth": 3.0}
BOOK = {"name": "book", "share": 0.4, "work_ms": 20, "aim_ms": 2000, "deadline_ms": 3000, "worth": 2.0,
        "effect": "keyed", "window_ms": 4000}  # fmt: skip


def make_scenario(
    *faults: dict[str, Any], rules: tuple[str, ...], length_s: float = 5.0, **fleet: Any
) -> Scenario:
    return Scenario.model_validate({
        "name": "day", "seed": 5, "length_s": length_s,
        "fleet": {"gateways": 4, "hosts": 6, "cold_ms": 3000, "list_late_ms": [10, 150], **fleet},
        "traffic": {"per_s": 60, "heavy": 0.2, "heavy_x": 4.0, "plans": [PLAN], "classes": [READ, BOOK]},
        "faults": faults, "hold": {"rules": rules},
    })  # fmt: skip


def assert_rules_held(result: Result) -> None:
    """Check that every rule of the scenario was exercised and held; shows the events of a broken one."""
    verdicts = {v.rule: (v.status(), v.chains[:1]) for v in result.verdicts}
    assert all(verdict == "held" for verdict, _ in verdicts.values()) and len(verdicts) > 2, verdicts


def count_events(run: Result, ev: str, **fields: Any) -> int:
    """Count the events in a run's record by type and fields."""
    return sum(e["ev"] == ev and fields.items() <= e.items() for e in record.read(run.folder))


def test_killed_and_paused_gateways_lose_no_response_and_exceed_no_ceiling(tmp_path: Path) -> None:
    result = play(make_scenario(
        {"at_s": 1.0, "what": "kill", "who": "75% of gateways", "name": "herd"},
        {"at_s": 1.2, "what": "start", "who": "@herd", "over_s": 0.3, "how": "kept"},
        {"at_s": 3.0, "what": "stop", "who": "gateway:0"},
        {"at_s": 3.6, "what": "cont", "who": "gateway:0"},
        rules=("answered", "effects", "ceilings", "units"),
    ), tmp_path / "run")  # fmt: skip
    assert_rules_held(result)
    assert count_events(result, "ready") == 7 and count_events(result, "kill") == 3
    assert count_events(result, "answer", result="served") > 100


def test_gateway_killed_during_its_start_is_not_reported_as_failed(tmp_path: Path) -> None:
    result = play(make_scenario(
        {"at_s": 1.0, "what": "kill", "who": "gateway:1"},
        {"at_s": 1.0, "what": "start", "who": "gateway:1"},
        {"at_s": 1.0, "what": "kill", "who": "gateway:1"},  # before its process exists
        {"at_s": 1.0, "what": "start", "who": "gateway:1"},
        rules=("answered", "effects", "ceilings"), length_s=4.0,
    ), tmp_path / "run")  # fmt: skip
    assert_rules_held(result)
    assert (count_events(result, "kill"), count_events(result, "start"), count_events(result, "ready")) == (
        2,
        6,
        5,
    )


def test_gateway_that_ignores_sigterm_is_killed_and_its_missing_start_is_reported(tmp_path: Path) -> None:
    result = play(make_scenario(
        {"at_s": 0.5, "what": "stop", "who": "gateway:2"},  # a stopped process does not handle SIGTERM
        {"at_s": 0.6, "what": "term", "who": "gateway:2"},
        {"at_s": 0.7, "what": "start", "who": "gateway:2"},
        rules=("answered",), length_s=2.0,
    ), tmp_path / "run")  # fmt: skip
    assert result.unmet_requirements == ["g2: a start had not come about by the end"] and not result.holds()
    assert (count_events(result, "ended", code=-signal.SIGKILL), count_events(result, "start")) == (4, 4)


def test_start_at_a_port_in_use_raises_and_leaves_no_process(tmp_path: Path) -> None:
    async def scenario() -> None:
        note = record.Recorder(tmp_path / "lab.jsonl", lambda: 0.0)
        addresses = {"discovery": [1, 1], "counter": 1, "peers": {},
                "known": {"generation": 1, "reset": True, "instances": []}}  # fmt: skip
        gateway = GatewayProcess(0, make_scenario(rules=("answered",)), tmp_path, note, ROOT, addresses)
        with socket.socket() as other:
            other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            other.bind(("127.0.0.1", gateway.port))
            other.listen()
            with pytest.raises(NotReadyError, match="g0 did not start: .*in use"):
                await gateway.request_start()
        assert not gateway.alive()
        restart = asyncio.create_task(gateway.request_start())  # type: ignore[arg-type]
        while not any("listening on" in line for line in gateway.log_lines):  # the port is free again
            await asyncio.sleep(0.01)
        await gateway.end()
        await asyncio.gather(restart, return_exceptions=True)
        note.close()
        assert not gateway.alive()

    on_loop(scenario)


def test_requests_sent_by_a_gateway_before_it_died_are_run_and_not_repeated(tmp_path: Path) -> None:
    """Guards against loss or a second run of requests delayed on a link when their gateway is killed.

    Clients send retries through the other gateways.
    """
    result = play(make_scenario(
        {"at_s": 1.0, "what": "delay", "who": "gateway:0", "value": 250},
        {"at_s": 2.0, "what": "kill", "who": "gateway:0"},
        rules=("answered", "effects", "ceilings"), length_s=4.0, peers=True,
    ), tmp_path / "run")  # fmt: skip
    assert_rules_held(result)
    died = next(e["t"] for e in record.read(result.folder) if e["ev"] == "kill")
    late = [e for e in record.read(result.folder)
            if e["ev"] == "got" and e["gw"] == "g0" and e["t"] > died + 20]  # fmt: skip
    assert late and all(e["t"] < died + 1000 for e in late)


def test_rules_hold_while_hosts_crash_drain_and_return_cold_and_a_zone_is_cut(tmp_path: Path) -> None:
    result = play(make_scenario(
        {"at_s": 1.0, "what": "drain", "who": "host:h0"},
        {"at_s": 1.5, "what": "crash", "who": "host:h1"},
        {"at_s": 1.8, "what": "restart", "who": "host:h1"},
        {"at_s": 2.0, "what": "cut", "who": "gateways in a", "other": "hosts in b"},
        {"at_s": 2.5, "what": "remove", "who": "host:h0"},
        {"at_s": 3.2, "what": "heal", "who": "gateways in a", "other": "hosts in b"},
        rules=("answered", "effects", "drains", "cold", "ceilings"),
    ), tmp_path / "run")  # fmt: skip
    assert_rules_held(result)
    assert result.figures.fell == 0
    assert count_events(result, "got", who="h1", cold=True) > 0  # it received requests while cold


def test_ceilings_hold_when_counter_restarts_empty_and_is_split(tmp_path: Path) -> None:
    result = play(make_scenario(
        {"at_s": 1.0, "what": "counter_stop"},
        {"at_s": 2.0, "what": "counter_start", "how": "nothing"},
        {"at_s": 3.0, "what": "counter_split", "who": "gateways in a"},
        {"at_s": 4.0, "what": "counter_join"},
        {"at_s": 1.2, "what": "silence", "who": "gateway:*"},
        {"at_s": 2.2, "what": "forget", "who": "gateway:*"},
        {"at_s": 2.4, "what": "speak", "who": "gateway:*"},
        rules=("answered", "effects", "ceilings"),
    ), tmp_path / "run")  # fmt: skip
    assert_rules_held(result)
    assert result.figures.counter_calls > 50


def test_rules_hold_when_hosts_swap_addresses_and_discovery_clocks_differ(tmp_path: Path) -> None:
    result = play(make_scenario(
        {"at_s": 0.5, "what": "clock", "who": "gateway:0", "value": 5.0},
        {"at_s": 0.5, "what": "clock", "who": "gateway:1", "value": -5.0},
        {"at_s": 1.5, "what": "swap", "who": "host:*", "name": "all"},
        {"at_s": 3.0, "what": "drain", "who": "host:h0"},
        rules=("answered", "effects", "drains", "cold", "ceilings"),
    ), tmp_path / "run")  # fmt: skip
    assert_rules_held(result)
    assert result.figures.fell == 0 and count_events(result, "up") == 6
    late = [e for e in record.read(result.folder) if e["ev"] == "answer" and e["t"] > result.t0 + 3500]
    assert sum(e["result"] == "served" for e in late) > 20


def test_unexercised_rules_and_unjudged_times_do_not_pass(tmp_path: Path) -> None:
    limits = make_scenario(rules=("cold",)).model_copy(
        update={"hold": Hold(rules=("cold",), full_service_s=3)}
    )
    quick, none = Figures(full_service_s=1.0), Figures()
    assert unmet_requirements(limits, quick, [0.5, 1.0, 9.0]) == []
    # The load generator was late, so times are not judged.
    assert "not judged" in unmet_requirements(limits, quick, [0.5, 5.1, 9.0])[0]
    assert "never" in unmet_requirements(limits, none, [0.5, 1.0, 9.0])[0]
    result = Result(limits, tmp_path, 0.0, [Verdict("cold")], quick, [0.5, 1.0, 9.0], [])
    assert result.verdicts[0].status() == "not exercised" and not result.holds()


def test_interrupted_or_killed_run_leaves_no_process(tmp_path: Path) -> None:
    """Guards against orphans after Ctrl-C or SIGKILL of the lab, with one gateway stopped by SIGSTOP."""
    for number in (signal.SIGINT, signal.SIGKILL):
        out = tmp_path / number.name
        with subprocess.Popen(
            [sys.executable, "-m", "hillmux.cli", "lab", "run", str(ROOT / "examples/lab/herd.toml"),
             "--out", str(out)], cwd=ROOT, stdout=subprocess.DEVNULL, stderr=subprocess.PIPE,
        ) as lab:  # fmt: skip
            assert lab.stderr is not None
            while b"playing" not in lab.stderr.readline():
                assert lab.poll() is None
            started = children(lab.pid)
            assert len(started) == 22  # 20 gateways, the stand-in process and the load generator
            os.kill(started[0], signal.SIGSTOP)
            lab.send_signal(number)
            lab.wait(60)
        deadline = time.monotonic() + 60
        while alive := [pid for pid in started if running(pid)]:
            assert time.monotonic() < deadline, alive
            time.sleep(0.02)


def children(pid: int) -> list[int]:
    """Return the ids of a process's child processes."""
    pids = []
    for task in Path(f"/proc/{pid}/task").iterdir():
        pids += [int(word) for word in (task / "children").read_text().split()]
    return pids


def running(pid: int) -> bool:
    """Whether a process exists and is not a zombie."""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except OSError:
        return False


def test_invalid_scenario_file_exits_with_2_and_starts_nothing(tmp_path: Path) -> None:
    path = tmp_path / "bad.toml"
    path.write_text('name = "x"\nlength_s = -1\n', encoding="utf-8")
    done = subprocess.run(
        [sys.executable, "-m", "hillmux.cli", "lab", "run", str(path), "--out", str(tmp_path / "o")],
        cwd=ROOT, capture_output=True, text=True, check=False)  # fmt: skip
    assert done.returncode == 2 and not (tmp_path / "o").exists()
    assert "length_s: found -1" in done.stderr and "fleet: " in done.stderr


def test_ended_gateway_starts_no_process_and_waits_for_a_start_under_way(tmp_path: Path) -> None:
    """Guards against starts after Ctrl-C, and a lab that waits for a process that is never killed."""

    async def scenario() -> None:
        note = record.Recorder(tmp_path / "lab.jsonl", lambda: 0.0)
        addresses = {"discovery": [1, 1], "counter": 1, "peers": {},
                "known": {"generation": 1, "reset": True, "instances": []}}  # fmt: skip
        gateway = GatewayProcess(0, make_scenario(rules=("answered",)), tmp_path, note, ROOT, addresses)
        first = asyncio.ensure_future(gateway.request_start())
        await asyncio.sleep(0)  # its process is being spawned
        second = asyncio.ensure_future(gateway.request_start())  # waits for the first
        await asyncio.gather(gateway.end(), first, second)
        await gateway.request_start()
        note.close()
        assert not gateway.alive()
        assert [e["ev"] for e in record.read(tmp_path)] == ["start", "ended"]

    on_loop(scenario, 10)


def test_end_of_run_waits_for_starts_under_way(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against verdicts on gateways that are still starting on a busy machine."""
    wait_until_ready = GatewayProcess._wait_until_ready

    async def slow(gateway: GatewayProcess, started: Any) -> None:
        await asyncio.sleep(3.0 if gateway._starts > 1 else 0.0)
        await wait_until_ready(gateway, started)

    monkeypatch.setattr(GatewayProcess, "_wait_until_ready", slow)
    result = play(make_scenario(
        {"at_s": 1.0, "what": "kill", "who": "gateway:1"},
        {"at_s": 1.8, "what": "start", "who": "gateway:1"},
        rules=("answered",), length_s=1.9,
    ), tmp_path / "run")  # fmt: skip
    assert result.unmet_requirements == [] and count_events(result, "ready", who="g1") == 2


def test_interrupted_run_applies_no_further_fault(tmp_path: Path) -> None:
    """Guards against gateways that are killed or started while the run ends."""

    async def scenario() -> None:
        later = {"at_s": 0.4, "what": "start", "who": "gateway:*"}
        early = {"at_s": 0.3, "what": "kill", "who": "gateway:*"}
        started, ended = asyncio.Event(), asyncio.Event()
        on_report = {"playing": started.set}
        run = Run(
            make_scenario(early, later, rules=("answered",)),
            tmp_path / "run",
            report=lambda text: on_report.get(text, lambda: None)(),
        )
        end_load = run._load.end

        async def slow_end() -> None:
            await asyncio.sleep(1.5)  # the faults are due within this time
            ended.set()
            await end_load()

        run._load.end = slow_end
        playing = asyncio.create_task(run.play())
        await started.wait()
        playing.cancel()
        with pytest.raises(asyncio.CancelledError):
            await playing
        assert ended.is_set()

    on_loop(scenario, 30)
    events = [e["ev"] for e in record.read(tmp_path / "run")]
    assert events.count("start") == events.count("ended") == 4 and "kill" not in events
