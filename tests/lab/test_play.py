"""Scenarios in virtual time: the shipped ones, the same every time."""

from __future__ import annotations

from pathlib import Path

import pytest

from yewstage.lab import scenario as sc
from yewstage.lab.virtual import play

ROOT = Path(__file__).resolve().parents[2]
SHIPPED = sorted((ROOT / "examples/lab").glob("*.toml"))


@pytest.mark.parametrize("path", SHIPPED, ids=lambda p: p.stem)
def test_a_shipped_scenario_plays_in_virtual_time(path: Path) -> None:
    day = sc.load(path).model_copy(update={"length_s": 16.0})
    faults = tuple(f for f in day.faults if f.at_s <= 15)
    day = day.model_copy(update={"faults": faults})
    world, figures = play.play(day)
    assert figures.ended == figures.first > 3000 and figures.late == 0 and figures.fallen == 0
    capped = next(p for p in day.traffic.plans if p.ceiling)
    assert figures.lowest_ceiling >= -max(0.1 * capped.ceiling * capped.burst, 4.0)
    assert figures.g() > 0.5


def test_two_plays_of_a_seed_are_the_same_and_those_of_two_are_not() -> None:
    day = sc.load(ROOT / "examples/lab/herd.toml").model_copy(update={"length_s": 11.0})
    figures = [play.play(day.model_copy(update={"seed": seed}))[1] for seed in (1, 1, 2)]
    assert figures[0] == figures[1] != figures[2]
    assert figures[0].reset > 0


def test_what_virtual_time_leaves_out_is_named() -> None:
    assert play.not_modelled(sc.load(ROOT / "examples/lab/herd.toml")) == []
    assert play.not_modelled(sc.load(ROOT / "examples/lab/split.toml")) == [
        "cut", "heal", "reset_after", "silence", "speak"]  # fmt: skip
