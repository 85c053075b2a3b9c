"""Scenarios in virtual time: the shipped ones, the same every time."""

from __future__ import annotations

from pathlib import Path

import orjson
import pytest
from click.testing import CliRunner

from hillmux.lab import record
from hillmux.lab import scenario as sc
from hillmux.lab.checks import Event
from hillmux.lab.commands import lab
from hillmux.lab.virtual import play

ROOT = Path(__file__).resolve().parents[2]
SHIPPED = sorted((ROOT / "examples/lab").glob("*.toml"))


@pytest.mark.parametrize("path", SHIPPED, ids=lambda p: p.stem)
def test_a_shipped_scenario_plays_in_virtual_time(path: Path) -> None:
    day = sc.load(path).model_copy(update={"length_s": 16.0})
    faults = tuple(f for f in day.faults if f.at_s <= 15)
    day = day.model_copy(update={"faults": faults})
    world, figures = play.play(day)
    assert (
        figures.finished == figures.requests > 3000
        and figures.timed_out == 0
        and figures.hosts_overloaded == 0
    )
    capped = next(p for p in day.traffic.plans if p.ceiling)
    assert figures.lowest_ceiling >= -max(0.1 * capped.ceiling * capped.burst, 4.0)
    assert figures.goodput() > 0.5


def test_two_plays_of_a_seed_are_the_same_and_those_of_two_are_not() -> None:
    day = sc.load(ROOT / "examples/lab/herd.toml").model_copy(update={"length_s": 11.0})
    records = []
    for seed in (1, 1, 2):
        events: list[Event] = []
        _, figures = play.play(day.model_copy(update={"seed": seed}), events)
        assert figures.reset > 0
        records.append(b"\n".join(map(orjson.dumps, events)))
    assert records[0] == records[1] != records[2]
    assert len(records[0]) > 1_000_000


@pytest.mark.parametrize("name", ["herd", "roll", "zone"])
def test_a_record_in_virtual_time_is_judged_as_that_of_real_processes(name: str) -> None:
    day = sc.load(ROOT / f"examples/lab/{name}.toml")
    verdicts, figures = play.play_and_judge(day)
    assert {v.rule: v.says() for v in verdicts} == dict.fromkeys(day.hold.rules, "held")
    assert figures.full_service_s is not None and figures.served_share > 0.75


def test_a_run_in_virtual_time_is_followed_as_another(tmp_path: Path) -> None:
    path = tmp_path / "herd.toml"
    text = (ROOT / "examples/lab/herd.toml").read_text(encoding="utf-8")
    path.write_text(text.replace("length_s = 24", "length_s = 16"), encoding="utf-8")
    said = CliRunner().invoke(lab, ["run", "--virtual", "--out", str(tmp_path), str(path)])
    assert said.exit_code == 0 and "answered" in said.output, said.output
    said = CliRunner().invoke(lab, ["follow", str(tmp_path / "herd-1-1"), "t7"])
    assert said.exit_code == 0 and "first" in said.output and "answer" in said.output
    # A retry leads to its first try and to all of its tries, at the hosts, too.
    events = list(record.read(tmp_path / "herd-1-1"))
    retry = next(e for e in events if e["ev"] == "ask" and e["rid"] != e["first"] and any(
        g["ev"] == "got" and g["rid"] == e["rid"] for g in events))  # fmt: skip
    found = record.follow(events, retry["rid"])
    assert {"first", "ask", "got", "answer"} <= {e["ev"] for e in found}
    assert found == record.follow(events, retry["first"])
    said = CliRunner().invoke(lab, ["follow", str(tmp_path / "herd-1-1"), "nobody"])
    assert said.exit_code == 2 and "found 'nobody'" in said.output
    for call in ("explain", "report"):
        said = CliRunner().invoke(lab, [call, str(tmp_path)])  # no run's folder
        assert said.exit_code == 2 and "RUN: found" in said.output
    said = CliRunner().invoke(lab, ["explain", str(tmp_path / "herd-1-1")])
    assert said.exit_code == 0 and "ceilings: held" in said.output


def test_what_virtual_time_leaves_out_is_named() -> None:
    assert play.not_modelled(sc.load(ROOT / "examples/lab/herd.toml")) == []
    assert play.not_modelled(sc.load(ROOT / "examples/lab/split.toml")) == [
        "cut", "heal", "reset_after", "silence", "speak"]  # fmt: skip
