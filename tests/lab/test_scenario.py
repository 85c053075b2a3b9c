"""Scenarios: all errors of a file are reported together, and a seed always gives the same schedule."""

from __future__ import annotations

from pathlib import Path

import pytest

from hillmux.lab import scenario as sc

ROOT = Path(__file__).resolve().parents[2]
SHIPPED_SCENARIOS = sorted((ROOT / "examples/lab").glob("*.toml"))
HERD_TEXT = (ROOT / "examples/lab/herd.toml").read_text(encoding="utf-8")


def load(tmp_path: Path, text: str) -> sc.Scenario:
    path = tmp_path / "scenario.toml"
    path.write_text(text, encoding="utf-8")
    return sc.load(path)


@pytest.mark.parametrize("path", SHIPPED_SCENARIOS, ids=lambda p: p.stem)
def test_shipped_scenario_is_valid_and_its_schedule_is_reproducible(path: Path) -> None:
    scenario = sc.load(path)
    assert scenario.about and scenario.name == path.stem
    assert sc.schedule(scenario) == sc.schedule(sc.load(path)) != []
    assert all(scheduled.at_ms <= 1000 * scenario.length_s for scheduled in sc.schedule(scenario))


def test_seeds_select_different_targets() -> None:
    scenario = sc.load(ROOT / "examples/lab/herd.toml")
    targets = {
        tuple(s.target for s in sc.schedule(scenario.model_copy(update={"seed": seed}))) for seed in range(6)
    }
    assert len(targets) > 3


def test_named_selector_selects_the_targets_of_the_earlier_fault() -> None:
    scheduled_faults = sc.schedule(sc.load(ROOT / "examples/lab/herd.toml"))
    killed = {s.target for s in scheduled_faults if s.fault.what == "kill"}
    assert killed == {s.target for s in scheduled_faults if s.fault.what == "start"} and len(killed) == 14


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        (("gateways = 20", "gateways = 0"), "fleet.gateways: found 0"),
        (("\nper_s = 300", "\nper_z = 300"), "traffic.per_z: found 300"),
        (('effect = "keyed"', 'effect = "twice"'), "traffic.classes.1.effect: found 'twice'"),
        (('who = "@herd"', 'who = "@heard"'), "faults.1.who: found '@heard'"),
        (('who = "70% of gateways"', 'who = "most"'), "faults.0.who: found 'most'"),
        (('what = "kill"', 'what = "shout"'), "faults.0.what: found 'shout'"),
        (("at_s = 9\n", "at_s = 99\n"), "faults.0.at_s: found 99.0"),
        (('what = "kill"', 'what = "slow"'), "faults.0.value: found 0.0"),
        (('who = "@herd"', 'who = "zone:q"'), "found zone 'q'"),
        (('what = "kill"', 'what = "counter_start"'), "faults.0.how: found ''"),
        (('what = "kill"', 'what = "kill"\nhow = "kept"'), "faults.0.how: found 'kept'"),
        (('what = "kill"', 'what = "drain"'), "found '70% of gateways', expected hosts"),
        (('who = "70% of gateways"', 'who = "host:*"'), "faults.0.who: found 'host:*', expected gateways"),
        (('who = "70% of gateways"', 'who = "gateway:99"'), "found 'gateway:99', which is nobody"),
        (('"ceilings"]', '"celings"]'), "hold.rules.2: found 'celings'"),
    ],
)
def test_error_in_a_file_names_its_field(tmp_path: Path, change: tuple[str, str], expected: str) -> None:
    assert change[0] in HERD_TEXT
    with pytest.raises(sc.ScenarioError) as error:
        load(tmp_path, HERD_TEXT.replace(*change, 1))
    assert expected in str(error.value)


def test_all_errors_of_a_file_are_reported_together(tmp_path: Path) -> None:
    text = HERD_TEXT.replace("gateways = 20", "gateways = 0").replace("\nper_s = 300", "\nper_s = -1")
    with pytest.raises(sc.ScenarioError) as error:
        load(tmp_path, text)
    assert len(str(error.value).splitlines()) == 2


def test_lacking_resources_are_reported() -> None:
    scenario = sc.load(ROOT / "examples/lab/herd.toml")
    assert sc.resource_shortages(scenario, 100_000, 100_000) == []
    assert [text.split(":")[0] for text in sc.resource_shortages(scenario, 100, 100)] == [
        "memory",
        "descriptors",
    ]
