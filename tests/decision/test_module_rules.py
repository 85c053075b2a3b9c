"""Imports allowed in decision modules, and their list in the platform's deploy file."""

from __future__ import annotations

import ast
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
DECISION_PACKAGES = ("interface", "decision", "balancing", "quotas")
MODULES = [
    str(file.relative_to(ROOT))
    for package in DECISION_PACKAGES[1:]
    for file in sorted((ROOT / "hillmux" / package).glob("*.py"))
    if file.name != "__init__.py"
]


@pytest.mark.parametrize("name", MODULES)
def test_decision_module_imports_decision_packages_and_the_standard_library_only(name: str) -> None:
    for node in ast.walk(ast.parse((ROOT / name).read_text())):
        imported = [alias.name for alias in node.names] if isinstance(node, ast.Import) else []
        imported += [node.module or ""] if isinstance(node, ast.ImportFrom) else []
        for module in imported:
            assert module.split(".")[0] in {"hillmux"} | sys.stdlib_module_names
            assert not module.startswith("hillmux.") or module.split(".")[1] in DECISION_PACKAGES
        if isinstance(node, ast.ImportFrom) and node.module == "hillmux":
            assert [alias.name for alias in node.names] == ["interface"]


def test_deploy_file_lists_every_decision_module() -> None:
    listed = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]
    assert sorted(listed) == sorted(MODULES)
