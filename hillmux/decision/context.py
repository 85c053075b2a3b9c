"""State that the parts of the decision module share: settings, clock, pending requests, actions."""

from __future__ import annotations

import random
from enum import StrEnum
from typing import Final

from hillmux import interface as api
from hillmux.decision.request_state import PendingRequest

HOUSEKEEPING_INTERVAL_MS: Final = 100.0  # also the interval of occupancy updates
LOG_INTERVAL_MS: Final = 5000.0  # minimum time between two lines of one subject


class LogSubject(StrEnum):
    """Subject of a log line; lines of one subject are rate-limited."""

    OVERLOAD = "overload"
    COUNTER = "counter"
    HOST_EJECTION = "host ejection"


class DecisionContext:
    """State that several parts of the decision module use. Times are in ms on the caller's clock."""

    __slots__ = (
        "settings",
        "classes",
        "plans",
        "rng",
        "now",
        "started_at",
        "stalled_at",
        "actions",
        "pending",
        "_logged_at",
    )

    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        self.settings = settings
        self.classes = {c.name: c for c in settings.classes}
        self.plans = {p.name: p for p in settings.plans}
        self.rng = rng
        self.now = 0.0
        self.started_at: float | None = None  # moment of the first event
        self.stalled_at = -1.0  # when the last stall of this process was detected
        self.actions: list[api.Action] = []  # actions for the current event
        self.pending: dict[str, PendingRequest] = {}  # by request id
        self._logged_at: dict[LogSubject, float] = {}

    def change_settings(self, settings: api.Settings) -> None:
        """Replace the settings; the plans are the same."""
        self.settings = settings
        self.classes = {c.name: c for c in settings.classes}

    def log_rate_limited(self, subject: LogSubject, text: str) -> None:
        """Log a line, unless one of the same subject was logged within `LOG_INTERVAL_MS`."""
        if self.now - self._logged_at.get(subject, -1e9) >= LOG_INTERVAL_MS:
            self._logged_at[subject] = self.now
            self.actions.append(api.Log(text))
