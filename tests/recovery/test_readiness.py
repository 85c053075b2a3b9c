"""The phase of recovery that a gateway reports, and its causes."""

from __future__ import annotations

from dataclasses import replace

import pytest

from hillmux.recovery.readiness import FULL_AFTER_CLEAR_MS, GatewayCondition, Phase, ReadinessTracker

CLEAR = GatewayCondition(True, True, True, 100, 1.0, 20, 0, 0, False)


def phases_after(tracker: ReadinessTracker, *observations: tuple[float, GatewayCondition]) -> list[Phase]:
    phases = []
    for now_ms, condition in observations:
        tracker.update(now_ms, condition)
        phases.append(tracker.current.phase)
    return phases


@pytest.mark.parametrize(
    ("changes", "phase", "cause"),
    [({"ready": False, "hosts": 0}, Phase.STARTING, "no hosts are known"),
     ({"ready": False}, Phase.STARTING, "the list is waited for"),
     ({"discovery_answered": False}, Phase.LEARNING, "discovery has not answered"),
     ({"counter_answers": False}, Phase.LEARNING, "the counter does not answer"),
     ({"outcomes": 3}, Phase.LEARNING, "3 of 20 outcomes"),
     ({"admit_fraction": 0.63}, Phase.RAMPING, "0.63 is let in"),
     ({"warming_hosts": 2, "ejected_hosts": 1}, Phase.RAMPING, "of 20 hosts 2 are cold and 1 fail"),
     ({"stalled": True}, Phase.RAMPING, "it stood still")],
)  # fmt: skip
def test_each_cause_keeps_the_gateway_in_its_phase_and_is_reported(
    changes: dict[str, object], phase: Phase, cause: str
) -> None:
    tracker = ReadinessTracker(0)
    assert (
        phases_after(tracker, *((t, replace(CLEAR, **changes)) for t in (0, 10_000, 60_000))) == [phase] * 3
    )
    assert cause in tracker.current.text() and tracker.recovery_ms is None


def test_gateway_is_full_once_no_cause_holds_for_5_s_and_reports_the_recovery_time() -> None:
    tracker = ReadinessTracker(0)
    warming = replace(CLEAR, warming_hosts=10)
    assert (
        phases_after(tracker, (0, warming), (3000, CLEAR), (3000 + FULL_AFTER_CLEAR_MS - 1, CLEAR))
        == [Phase.RAMPING] * 3
    )
    assert tracker.update(3000 + FULL_AFTER_CLEAR_MS, CLEAR)
    assert (tracker.current.text(), tracker.recovery_ms) == (Phase.FULL, 3000)


def test_returning_cause_restarts_the_wait() -> None:
    tracker = ReadinessTracker(0)
    shedding = replace(CLEAR, admit_fraction=0.5)
    end = 4500 + FULL_AFTER_CLEAR_MS
    phases = phases_after(
        tracker, (0, CLEAR), (4000, shedding), (4500, CLEAR), (end - 1, CLEAR), (end, CLEAR)
    )
    assert phases == [Phase.RAMPING] * 4 + [Phase.FULL] and tracker.recovery_ms == 4500


@pytest.mark.parametrize(
    ("changes", "phase"),
    [({"admit_fraction": 0.3}, Phase.FULL),
     ({"warming_hosts": 3}, Phase.FULL),
     ({"stalled": True}, Phase.RAMPING),
     ({"ejected_hosts": 9}, Phase.RAMPING),
     ({"ready": False}, Phase.STARTING)],
)  # fmt: skip
def test_full_gateway_starts_to_recover_again_after_a_stall_or_lost_hosts_but_not_after_overload(
    changes: dict[str, object], phase: Phase
) -> None:
    tracker = ReadinessTracker(0)
    phases_after(tracker, (0, CLEAR), (FULL_AFTER_CLEAR_MS, CLEAR))
    assert tracker.current.phase == Phase.FULL
    assert phases_after(tracker, (90_000, replace(CLEAR, **changes))) == [phase]
    if phase != Phase.FULL:
        assert tracker.recovery_started_ms == 90_000 and tracker.recovery_ms is None
