"""KNOWN-RED.txt lists only tests that exist."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest
from known_red import FILE, RUN_ALL_VARIABLE, known_red

ROOT = Path(__file__).parents[1]
LISTED = sorted(known_red(FILE.read_text(encoding="utf-8")) if FILE.exists() else ())


def test_only_lines_with_the_test_prefix_are_read() -> None:
    text = "# note\ntest: a.py::b\nseen: test: c\n\ntest: d.py::e[1]\n"
    assert known_red(text) == {"a.py::b", "d.py::e[1]"}


@pytest.mark.parametrize(
    "listed", [*LISTED, "tests/test_known_red.py::test_only_lines_with_the_test_prefix_are_read"]
)
def test_listed_test_exists(listed: str) -> None:
    assert listed in collected_ids(listed.partition("::")[0])


def test_unknown_test_is_not_collected() -> None:
    """Guards against an entry in KNOWN-RED.txt that matches no test."""
    assert "tests/test_known_red.py::test_nothing" not in collected_ids("tests/test_known_red.py")


def collected_ids(path: str) -> set[str]:
    """The ids of all tests in a file, including those that KNOWN-RED.txt lists."""
    command = (sys.executable, "-m", "pytest", "--collect-only", "-q", "-p", "no:cacheprovider", path)
    environment = {**os.environ, RUN_ALL_VARIABLE: "1"}
    done = subprocess.run(command, cwd=ROOT, env=environment, text=True, capture_output=True, check=True)
    return {line for line in done.stdout.splitlines() if "::" in line}
