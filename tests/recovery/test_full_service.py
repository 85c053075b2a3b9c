"""The definition of full service."""

from __future__ import annotations

import pytest

from hillmux.recovery import full_service
from hillmux.recovery.full_service import ServiceWindow

FAST = tuple([50.0] * 98 + [200.0] * 2)
SLOW = tuple([50.0] * 97 + [300.0] * 3)
BASELINE = full_service.baseline([ServiceWindow(100, 98, FAST)] * 3)


def shares(*served: float) -> list[ServiceWindow]:
    return [ServiceWindow(100, s, FAST) for s in served]


@pytest.mark.parametrize(
    ("served", "expected_s"),
    [
        ([98] * 5, 0),
        ([50, 80, 98, 98, 98, 98, 98], 2),
        ([98, 98, 98, 98, 50, 98, 98, 98, 98, 98], 5),
        ([98, 98, 98, 98], None),  # shorter than HOLD_S
        ([92] * 20, None),
        ([94] * 5, 0),
    ],
)
def test_service_is_full_once_it_stays_full(served: list[float], expected_s: float | None) -> None:
    assert full_service.time_to_full(shares(*served), BASELINE) == expected_s


def test_slow_tail_is_not_full_service_unless_samples_are_few() -> None:
    assert full_service.time_to_full([ServiceWindow(100, 98, SLOW)] * 9, BASELINE) is None
    assert full_service.time_to_full([ServiceWindow(100, 98, SLOW[-10:])] * 9, BASELINE) == 0


def test_second_drop_is_found() -> None:
    windows = shares(50, 98, 98, 98, 98, 98, 85, 98)
    assert full_service.time_to_full(windows, BASELINE) == 1
    assert full_service.second_drop(windows, BASELINE, 1) == 6
    assert full_service.second_drop(windows[:6], BASELINE, 1) is None


def test_baseline_without_windows_is_an_error() -> None:
    with pytest.raises(ValueError, match="windows"):
        full_service.baseline([])
