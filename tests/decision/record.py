"""Writes recorded_decisions.json with the decisions of the gateway in this tree."""

from __future__ import annotations

import json
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path[:0] = [str(HERE.parent), str(HERE.parents[1])]

from decision.playback import SEEDS, record  # noqa: E402


def main() -> None:
    """Play every stream and write the recordings."""
    recordings = {str(seed): record(seed) for seed in SEEDS}
    rows = {
        seed: {
            "events": dict(recording.events),
            "actions": dict(recording.actions),
            "checkpoints": recording.checkpoints,
            "digest": recording.digest,
        }
        for seed, recording in recordings.items()
    }
    (HERE / "recorded_decisions.json").write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
