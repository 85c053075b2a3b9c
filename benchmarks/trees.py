"""Trees of two revisions of the project, and worker processes that each run one of them."""

from __future__ import annotations

import json
import math
import os
import subprocess
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from hillmux.lab.source_trees import PACKAGES, extract_revision, package_in

ROOT = Path(__file__).resolve().parents[1]


class Tree:
    """The package at a revision, or in a folder that contains it, such as another checkout's build/run.

    `None` is the work tree. A revision is extracted to a temporary folder together with its benchmarks, since
    a worker uses the names of its own revision.

    Attributes:
        name: revision, folder or "work tree", for output.
        path: folder that contains the package.
        scripts: folder that contains the benchmarks that match the package.
        package: name of the package.
    """

    def __init__(self, revision: str | None) -> None:
        self.name = revision or "work tree"
        self.path = self.scripts = ROOT
        self._folder: tempfile.TemporaryDirectory[str] | None = None
        if revision is not None and any((Path(revision) / package).is_dir() for package in PACKAGES):
            self.path = Path(revision).resolve()
        elif revision is not None:
            self._folder = tempfile.TemporaryDirectory(prefix="hillmux-tree-")
            self.path = self.scripts = Path(self._folder.name)
            extract_revision(revision, self.path)
        self.package = package_in(self.path)

    @classmethod
    def build(cls) -> Tree:
        """Compile the work tree with deploy/compile.py and return the result."""
        subprocess.run(
            [sys.executable, str(ROOT / "deploy/compile.py")], check=True, stdout=subprocess.DEVNULL
        )
        tree = cls(None)
        tree.name, tree.path = "build/run", ROOT / "build/run"
        return tree

    def close(self) -> None:
        if self._folder is not None:
            self._folder.cleanup()


class Worker:
    """A process that runs one tree; it reads cases and writes answers, each as one line of JSON."""

    def __init__(self, tree: Tree, script: str, core: int | None = None) -> None:
        command = [sys.executable, str(tree.scripts / "benchmarks" / script)]
        env = {**os.environ, "PYTHONPATH": str(tree.path), "PYTHONHASHSEED": "0"}
        self._process = subprocess.Popen(
            command, env=env, text=True, stdin=subprocess.PIPE, stdout=subprocess.PIPE
        )
        if core is not None:
            os.sched_setaffinity(self._process.pid, {core})

    def begin(self, **case: Any) -> None:
        assert self._process.stdin is not None
        self._process.stdin.write(json.dumps(case) + "\n")
        self._process.stdin.flush()

    def result(self) -> dict[str, float]:
        assert self._process.stdout is not None
        line = self._process.stdout.readline()
        if not line:
            raise RuntimeError(f"worker ended with {self._process.wait()}")
        answer: dict[str, float] = json.loads(line)
        return answer

    def play(self, **case: Any) -> dict[str, float]:
        self.begin(**case)
        return self.result()

    def close(self) -> None:
        assert self._process.stdin is not None
        self._process.stdin.close()
        self._process.wait(30)


T_95 = (
    12.71,
    4.303,
    3.182,
    2.776,
    2.571,
    2.447,
    2.365,
    2.306,
    2.262,
    2.228,
    2.201,
    2.179,
    2.160,
    2.145,
    2.131,
    2.120,
    2.110,
    2.101,
    2.093,
    2.086,
    2.080,
    2.074,
    2.069,
    2.064,
    2.060,
    2.056,
    2.052,
    2.048,
    2.045,
    2.042,
)


# A change is a regression if both the mean ratio and the lower end of its interval exceed these.
MAX_MEAN_RATIO, MAX_LOWER_BOUND = 1.03, 1.01


def is_regression(mean: float, lower: float) -> bool:
    """Whether a mean ratio and its lower bound show a regression.

    The bounds detect 5% more cost, and let two runs of the same code pass.
    """
    return mean > MAX_MEAN_RATIO and lower > MAX_LOWER_BOUND


def ratio(pairs: Sequence[tuple[float, float]]) -> tuple[float, float, float]:
    """Ratio of each pair's second value to its first: geometric mean and its 95% interval (Student's t).

    The smallest and largest tenth of the ratios are set to the bounds of the others (winsorised), since other
    load on the machine disturbs single pairs.

    Raises:
        ValueError: there are fewer than 3 pairs.
    """
    logs = sorted(math.log(new / old) for old, new in pairs)
    count = len(logs)
    if count < 3:
        raise ValueError(f"pairs: found {count}, expected 3 or more")
    trimmed = count // 10
    logs = [min(max(x, logs[trimmed]), logs[count - 1 - trimmed]) for x in logs]
    mean = sum(logs) / count
    spread = math.sqrt(sum((x - mean) ** 2 for x in logs) / (count - 1))
    degrees = max(count - 2 * trimmed - 1, 1)
    half_width = T_95[min(degrees, len(T_95)) - 1] * spread * (count - 1) / degrees / math.sqrt(count)
    return math.exp(mean), math.exp(mean - half_width), math.exp(mean + half_width)
