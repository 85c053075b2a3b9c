"""Lets a gateway process start larger than its own code does, as it may on another machine."""

from __future__ import annotations

import os

from conftest import Rig

MIB = 1024 * 1024
START_MODULE = "sitecustomize.py"  # imported by the interpreter at its start


def carry_ballast(rig: Rig, size_mb: float) -> None:
    """Make the processes of a rig touch `size_mb` more memory at their start, and keep it."""
    folder = rig.folder / "ballast"
    folder.mkdir()
    (folder / START_MODULE).write_text(
        f"import sys\nsys.ballast = bytearray(b'x') * {int(size_mb * MIB)}\n", encoding="utf-8"
    )
    path = [str(folder), rig.environment.get("PYTHONPATH", "")]
    rig.environment = {**rig.environment, "PYTHONPATH": os.pathsep.join(filter(None, path))}
