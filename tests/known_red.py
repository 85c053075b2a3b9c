"""Tests that KNOWN-RED.txt names are passed over, and printed at the end of the run."""

from __future__ import annotations

import os
from pathlib import Path

import pytest

FILE = Path(__file__).resolve().parents[1] / "KNOWN-RED.txt"
PREFIX = "test: "
KEEP_ALL = "HILLMUX_RUN_KNOWN_RED"  # set in the environment: nothing is passed over, to trace or to list them


def known_red(text: str) -> set[str]:
    """The ids of the tests that the file names."""
    return {line.removeprefix(PREFIX).strip() for line in text.splitlines() if line.startswith(PREFIX)}


def pass_over(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Deselect exactly the tests that the file names."""
    if os.environ.get(KEEP_ALL):
        return
    named = known_red(FILE.read_text(encoding="utf-8")) if FILE.exists() else set()
    passed_over = [item for item in items if item.nodeid in named]
    if passed_over:
        items[:] = [item for item in items if item.nodeid not in named]
        config.hook.pytest_deselected(items=passed_over)


def print_passed_over(terminal: pytest.TerminalReporter) -> None:
    """Print the tests that the file names; every one, whether or not this run would have met it."""
    for test in sorted(known_red(FILE.read_text(encoding="utf-8")) if FILE.exists() else ()):
        terminal.write_line(f"KNOWN-RED, passed over: {test}")
