"""Scenarios drawn from seeds: a seed always draws the same one; some are played with real processes."""

from __future__ import annotations

from pathlib import Path

import pytest
import tomli
from click.testing import CliRunner

from hillmux.cli import main
from hillmux.lab.scenario import Scenario, schedule
from hillmux.lab.soak import MAX_SEEDS, SeedRangeError, as_toml, parse_seeds, play_seed
from hillmux.lab.soak_draw import FAULT_KINDS, MAX_PAUSE_S, draw_scenario

PLAYED_SEEDS = (2, 6, 20, 21, 28, 29)  # together they have all kinds of faults
LENGTH_S = 10.0


def test_seed_draws_the_same_scenario_and_its_file_preserves_it() -> None:
    for seed in range(1, 60):
        scenario = draw_scenario(seed)
        assert scenario == draw_scenario(seed)
        assert Scenario.model_validate(tomli.loads(as_toml(scenario))) == scenario


def test_seeds_draw_every_kind_of_fault_and_played_seeds_cover_all() -> None:
    drawn = [draw_scenario(seed).about.split(", ") for seed in range(1, 200)]
    assert {kind for kinds in drawn for kind in kinds} == set(FAULT_KINDS)
    assert len({tuple(kinds) for kinds in drawn}) > 100
    assert {kind for seed in PLAYED_SEEDS for kind in draw_scenario(seed).about.split(", ")} == set(
        FAULT_KINDS
    )


def test_signals_are_drawn_as_the_platform_sends_them() -> None:
    """No SIGHUP comes in a process's first second, and no pause is longer than deadlines tolerate."""
    for seed in range(1, 200):
        scenario = draw_scenario(seed)
        stopped_at_s: dict[str, float] = {}
        for scheduled in schedule(scenario):
            at_s, what = scheduled.at_ms / 1000, scheduled.fault.what
            assert what != "hup" or at_s >= 1.0
            if what == "stop":
                stopped_at_s[scheduled.target] = at_s
            elif what == "cont":
                assert at_s - stopped_at_s[scheduled.target] <= MAX_PAUSE_S


@pytest.mark.parametrize(
    ("text", "seeds"), [("17", [17]), ("1-3", [1, 2, 3]), ("3,17, 40-42", [3, 17, 40, 41, 42])]
)
def test_list_of_seeds_is_parsed(text: str, seeds: list[int]) -> None:
    assert parse_seeds(text) == seeds


@pytest.mark.parametrize("text", ["", "a", "5-3", "1-", "-4", "1,,2", f"1-{MAX_SEEDS + 1}"])
def test_invalid_seeds_are_reported_and_nothing_is_played(text: str, tmp_path: Path) -> None:
    with pytest.raises(SeedRangeError, match="seeds: found .* expected"):
        parse_seeds(text)
    completed = CliRunner().invoke(main, ["lab", "soak", "--seeds", text, "--out", str(tmp_path / "runs")])
    assert completed.exit_code == 2 and not (tmp_path / "runs").exists()


def test_show_writes_the_scenario_and_plays_nothing(tmp_path: Path) -> None:
    completed = CliRunner().invoke(
        main, ["lab", "soak", "--seeds", "17", "--show", "--out", str(tmp_path / "runs")]
    )
    assert Scenario.model_validate(tomli.loads(completed.output)) == draw_scenario(17)
    assert not (tmp_path / "runs").exists()


@pytest.mark.parametrize("seed", PLAYED_SEEDS)
def test_drawn_scenario_breaks_no_rule(seed: int, tmp_path: Path) -> None:
    result = play_seed(seed, LENGTH_S, tmp_path)
    assert (result.error, result.broken) == ("", [])
    assert result.judged > 500
