"""Deselects the tests that KNOWN-RED.txt lists, and prints them at the end of the run."""

from __future__ import annotations

import os
from pathlib import Path

import pytest

FILE = Path(__file__).resolve().parents[1] / "KNOWN-RED.txt"
PREFIX = "test: "
RUN_ALL_VARIABLE = "HILLMUX_RUN_KNOWN_RED"  # if set in the environment, no test is deselected


def known_red(text: str) -> set[str]:
    """The ids of the tests that the file lists."""
    return {line.removeprefix(PREFIX).strip() for line in text.splitlines() if line.startswith(PREFIX)}


def pass_over(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Deselect exactly the tests that the file lists."""
    if os.environ.get(RUN_ALL_VARIABLE):
        return
    listed = known_red(FILE.read_text(encoding="utf-8")) if FILE.exists() else set()
    deselected = [item for item in items if item.nodeid in listed]
    if deselected:
        items[:] = [item for item in items if item.nodeid not in listed]
        config.hook.pytest_deselected(items=deselected)


def print_passed_over(terminal: pytest.TerminalReporter) -> None:
    """Print all tests that the file lists, whether or not this run would have collected them."""
    for test in sorted(known_red(FILE.read_text(encoding="utf-8")) if FILE.exists() else ()):
        terminal.write_line(f"KNOWN-RED, passed over: {test}")
