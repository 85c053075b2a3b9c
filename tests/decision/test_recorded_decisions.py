"""Decisions on seeded streams of events are byte for byte those of an earlier version.

`recorded_decisions.json` was written by the gateway of commit f277e92, before its decision code was split
into modules. A failure names the first thousand events that differ. After a deliberate change of decisions,
record them again with `python tests/decision/record.py`, in a commit that says what changed and why.
"""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from decision.playback import record

RECORDED = json.loads((Path(__file__).parent / "recorded_decisions.json").read_text())
ACTIONS = {"DELIVER", "REFUSE", "GIVE_UP", "UNDO_SEND", "AFTER", "ADD", "OBSERVE", "NOTE_DOWN"}


@pytest.mark.parametrize("seed", sorted(RECORDED, key=int))
def test_stream_gets_the_recorded_decisions(seed: str) -> None:
    expected = RECORDED[seed]
    recording = record(int(seed))
    pairs = zip(expected["checkpoints"], recording.checkpoints, strict=False)
    different = [number for number, (old, new) in enumerate(pairs) if old != new]
    assert not different, (
        f"first difference within events {1000 * different[0]} to {1000 * different[0] + 999}"
    )
    assert dict(recording.events) == expected["events"]
    assert dict(recording.actions) == expected["actions"]
    assert recording.digest == expected["digest"]


def test_recorded_streams_contain_every_action_and_100_000_events() -> None:
    actions = {name for recorded in RECORDED.values() for name in recorded["actions"]}
    assert actions == ACTIONS
    assert sum(sum(recorded["events"].values()) for recorded in RECORDED.values()) >= 100_000
