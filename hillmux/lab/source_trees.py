"""Checkouts and revisions of this project: where the package lies, under its name of that time."""

from __future__ import annotations

import subprocess
import tarfile
from io import BytesIO
from pathlib import Path
from typing import Final

ROOT: Final = Path(__file__).resolve().parents[2]
PACKAGES: Final = ("hillmux", "yewstage")  # the package's name, and the one it had up to version 0.2.0


class TreeError(ValueError):
    """Neither a checkout's folder nor a revision of this one."""


def package_in(folder: Path) -> str:
    """The name of the package in `folder`.

    Raises:
        TreeError: there is none.
    """
    for package in PACKAGES:
        if (folder / package).is_dir():
            return package
    raise TreeError(f"found {str(folder)!r}, expected a folder with {' or '.join(PACKAGES)}")


def extract_revision(revision: str, folder: Path) -> None:
    """Write the package and the benchmarks of a revision into `folder`.

    Raises:
        TreeError: this checkout has no such revision, or it holds no package.
    """
    for package in PACKAGES:
        command = ["git", "archive", revision, package, "benchmarks"]
        done = subprocess.run(command, cwd=ROOT, capture_output=True, check=False)
        if done.returncode == 0:
            with tarfile.open(fileobj=BytesIO(done.stdout)) as archive:
                archive.extractall(folder, filter="data")
            return
    raise TreeError(f"found {revision!r}, expected a checkout's folder or a revision")
