"""How far a gateway says that it has come back."""

from __future__ import annotations

from dataclasses import replace

import pytest

from hillmux.recovery.readiness import FULL, HOLD_MS, LEARNING, RAMPING, STARTING, Phases, View

WELL = View(True, True, True, 100, 1.0, 20, 0, 0, False)


def played(phases: Phases, *looks: tuple[float, View]) -> list[str]:
    names = []
    for now, view in looks:
        phases.look(now, view)
        names.append(phases.now.name)
    return names


@pytest.mark.parametrize(
    ("changes", "phase", "cause"),
    [({"ready": False, "hosts": 0}, STARTING, "no hosts are known"),
     ({"ready": False}, STARTING, "the list is waited for"),
     ({"discovery": False}, LEARNING, "discovery has not answered"),
     ({"counter": False}, LEARNING, "the counter does not answer"),
     ({"outcomes": 3}, LEARNING, "3 of 20 outcomes"),
     ({"fraction": 0.63}, RAMPING, "0.63 is let in"),
     ({"cold": 2, "failing": 1}, RAMPING, "of 20 hosts 2 are cold and 1 fail"),
     ({"stalled": True}, RAMPING, "it stood still")],
)  # fmt: skip
def test_each_cause_keeps_its_phase_and_is_told(changes: dict[str, object], phase: str, cause: str) -> None:
    phases = Phases(0)
    assert played(phases, *((t, replace(WELL, **changes)) for t in (0, 10_000, 60_000))) == [phase] * 3
    assert cause in phases.now.text() and phases.took_ms is None


def test_it_is_full_once_nothing_was_in_the_way_for_long_enough_and_tells_how_long_it_took() -> None:
    phases = Phases(0)
    cold = replace(WELL, cold=10)
    assert played(phases, (0, cold), (3000, WELL), (3000 + HOLD_MS - 1, WELL)) == [RAMPING] * 3
    assert phases.look(3000 + HOLD_MS, WELL)
    assert (phases.now.text(), phases.took_ms) == (FULL, 3000)


def test_a_cause_that_comes_back_begins_the_wait_anew() -> None:
    phases = Phases(0)
    half = replace(WELL, fraction=0.5)
    end = 4500 + HOLD_MS
    names = played(phases, (0, WELL), (4000, half), (4500, WELL), (end - 1, WELL), (end, WELL))
    assert names == [RAMPING] * 4 + [FULL] and phases.took_ms == 4500


def test_pressure_on_a_full_gateway_is_no_coming_back_but_a_stall_or_lost_hosts_are() -> None:
    for view, name in ((replace(WELL, fraction=0.3), FULL), (replace(WELL, cold=3), FULL),
                       (replace(WELL, stalled=True), RAMPING), (replace(WELL, failing=9), RAMPING),
                       (replace(WELL, ready=False), STARTING)):  # fmt: skip
        phases = Phases(0)
        played(phases, (0, WELL), (HOLD_MS, WELL))
        assert phases.now.name == FULL
        assert played(phases, (90_000, view)) == [name]
        if name != FULL:
            assert phases.began_ms == 90_000 and phases.took_ms is None
