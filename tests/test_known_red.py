"""KNOWN-RED.txt passes over what it names, and names only tests that exist."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest
from known_red import FILE, KEEP_ALL, known_red

ROOT = Path(__file__).parents[1]
NAMED = sorted(known_red(FILE.read_text(encoding="utf-8")) if FILE.exists() else ())


def test_only_lines_of_tests_are_read() -> None:
    text = "# note\ntest: a.py::b\nseen: test: c\n\ntest: d.py::e[1]\n"
    assert known_red(text) == {"a.py::b", "d.py::e[1]"}


@pytest.mark.parametrize("named", [*NAMED, "tests/test_known_red.py::test_only_lines_of_tests_are_read"])
def test_named_test_exists(named: str) -> None:
    assert named in collected(named.partition("::")[0])


def test_name_of_no_test_is_found_out() -> None:
    """Guards against an entry that passes over nothing."""
    assert "tests/test_known_red.py::test_nothing" not in collected("tests/test_known_red.py")


def collected(path: str) -> set[str]:
    """The ids of all tests in a file, also of those that are passed over."""
    command = (sys.executable, "-m", "pytest", "--collect-only", "-q", "-p", "no:cacheprovider", path)
    environment = {**os.environ, KEEP_ALL: "1"}
    done = subprocess.run(command, cwd=ROOT, env=environment, text=True, capture_output=True, check=True)
    return {line for line in done.stdout.splitlines() if "::" in line}
