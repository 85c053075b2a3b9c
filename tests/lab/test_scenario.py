"""Scenarios: all faults of a file told at once, the same schedule from the same seed."""

from __future__ import annotations

from pathlib import Path

import pytest

from hillmux.lab import scenario as sc

ROOT = Path(__file__).resolve().parents[2]
SHIPPED = sorted((ROOT / "examples/lab").glob("*.toml"))
BASE = (ROOT / "examples/lab/herd.toml").read_text(encoding="utf-8")


def load(tmp_path: Path, text: str) -> sc.Scenario:
    path = tmp_path / "day.toml"
    path.write_text(text, encoding="utf-8")
    return sc.load(path)


@pytest.mark.parametrize("path", SHIPPED, ids=lambda p: p.stem)
def test_what_is_shipped_is_sound_and_its_schedule_is_the_seeds(path: Path) -> None:
    day = sc.load(path)
    assert day.about and day.name == path.stem
    assert sc.schedule(day) == sc.schedule(sc.load(path)) != []
    assert all(strike.at_ms <= 1000 * day.length_s for strike in sc.schedule(day))


def test_another_seed_strikes_others() -> None:
    day = sc.load(ROOT / "examples/lab/herd.toml")
    struck = {tuple(s.target for s in sc.schedule(day.model_copy(update={"seed": n}))) for n in range(6)}
    assert len(struck) > 3


def test_a_name_aims_at_those_that_were_struck_before() -> None:
    strikes = sc.schedule(sc.load(ROOT / "examples/lab/herd.toml"))
    killed = {s.target for s in strikes if s.fault.what == "kill"}
    assert killed == {s.target for s in strikes if s.fault.what == "start"} and len(killed) == 14


@pytest.mark.parametrize(
    ("change", "said"),
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
def test_a_fault_in_a_file_names_its_field(tmp_path: Path, change: tuple[str, str], said: str) -> None:
    assert change[0] in BASE
    with pytest.raises(sc.ScenarioError) as error:
        load(tmp_path, BASE.replace(*change, 1))
    assert said in str(error.value)


def test_all_faults_of_a_file_are_told_at_once(tmp_path: Path) -> None:
    text = BASE.replace("gateways = 20", "gateways = 0").replace("\nper_s = 300", "\nper_s = -1")
    with pytest.raises(sc.ScenarioError) as error:
        load(tmp_path, text)
    assert len(str(error.value).splitlines()) == 2


def test_a_run_that_the_machine_cannot_bear_is_told_before_it_starts() -> None:
    day = sc.load(ROOT / "examples/lab/herd.toml")
    assert sc.resource_shortages(day, 100_000, 100_000) == []
    assert [text.split(":")[0] for text in sc.resource_shortages(day, 100, 100)] == ["memory", "descriptors"]
