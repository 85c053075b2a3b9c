"""KNOWN-RED.txt passes over what it names, and names only tests that exist."""

from __future__ import annotations

from pathlib import Path

import pytest
from known_red import FILE, known_red

ROOT = Path(__file__).parents[1]
NAMED = sorted(known_red(FILE.read_text(encoding="utf-8")) if FILE.exists() else ())


def test_only_lines_of_tests_are_read() -> None:
    text = "# note\ntest: a.py::b\nseen: test: c\n\ntest: d.py::e[1]\n"
    assert known_red(text) == {"a.py::b", "d.py::e[1]"}


@pytest.mark.parametrize("named", NAMED)
def test_named_test_exists(named: str) -> None:
    path, _, name = named.partition("::")
    assert f"def {name.partition('[')[0]}(" in (ROOT / path).read_text(encoding="utf-8")
