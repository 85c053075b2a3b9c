"""Checkouts and revisions of this project, whose package had another name in earlier versions."""

from __future__ import annotations

import subprocess
import tarfile
from io import BytesIO
from pathlib import Path
from typing import Final

ROOT: Final = Path(__file__).resolve().parents[2]
PACKAGES: Final = ("hillmux", "yewstage")  # the package's name, and its name up to version 0.2.0


class TreeError(ValueError):
    """A text is neither a checkout's folder nor a revision of this checkout."""


def package_in(folder: Path) -> str:
    """Return the name of the package in `folder`.

    Raises:
        TreeError: the folder has none of PACKAGES.
    """
    for package in PACKAGES:
        if (folder / package).is_dir():
            return package
    raise TreeError(f"found {str(folder)!r}, expected a folder with {' or '.join(PACKAGES)}")


def extract_revision(revision: str, folder: Path) -> None:
    """Write the package and the benchmarks of a revision into `folder`.

    Raises:
        TreeError: this checkout has no such revision, or the revision has no package or no benchmarks.
    """
    for package in PACKAGES:
        command = ["git", "archive", revision, package, "benchmarks"]
        completed = subprocess.run(command, cwd=ROOT, capture_output=True, check=False)
        if completed.returncode == 0:
            with tarfile.open(fileobj=BytesIO(completed.stdout)) as archive:
                archive.extractall(folder, filter="data")
            return
    raise TreeError(f"found {revision!r}, expected a checkout's folder or a revision")
