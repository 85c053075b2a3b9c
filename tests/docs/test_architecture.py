"""Every path and type that docs/ARCHITECTURE.md names exists."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
PAGE = (ROOT / "docs/ARCHITECTURE.md").read_text(encoding="utf-8")
QUOTED_TEXT = re.compile(r"`([^`\n]+)`")
FILE_NAME = re.compile(r"\w+\.(py|md|toml)")


def named_paths() -> list[str]:
    """Paths relative to the root; a bare file name belongs to the first package named on its line."""
    paths = set()
    for line in PAGE.splitlines():
        quoted = QUOTED_TEXT.findall(line)
        packages = [text for text in quoted if re.fullmatch(r"hillmux/\w+/", text)]
        for text in quoted:
            if "/" in text and " " not in text:
                paths.add(text)
            elif FILE_NAME.fullmatch(text):
                paths.add(f"{packages[0]}{text}" if packages else text)
    return sorted(paths)


def named_types() -> list[str]:
    """Quoted names of classes, with or without a member: `Type`, `Type.member`."""
    quoted = QUOTED_TEXT.findall(PAGE)
    return sorted({text for text in quoted if re.fullmatch(r"[A-Z][a-z]\w*(\.\w+)?", text)})


def defined_classes() -> dict[str, set[str]]:
    """All classes of the package by name, with the members that their bodies define."""
    classes: dict[str, set[str]] = {}
    for file in (ROOT / "hillmux").rglob("*.py"):
        for node in ast.walk(ast.parse(file.read_text(encoding="utf-8"))):
            if isinstance(node, ast.ClassDef):
                classes.setdefault(node.name, set()).update(members(node))
    return classes


def members(node: ast.ClassDef) -> set[str]:
    """Names of the methods, fields and enum members of a class body."""
    names = {item.name for item in node.body if isinstance(item, ast.FunctionDef | ast.AsyncFunctionDef)}
    for item in node.body:
        targets = item.targets if isinstance(item, ast.Assign) else []
        targets = [item.target] if isinstance(item, ast.AnnAssign) else targets
        names.update(target.id for target in targets if isinstance(target, ast.Name))
    return names


CLASSES = defined_classes()


@pytest.mark.parametrize("path", named_paths())
def test_path_exists(path: str) -> None:
    assert (ROOT / path).exists()


@pytest.mark.parametrize("name", named_types())
def test_type_is_defined(name: str) -> None:
    type_name, _, member = name.partition(".")
    assert type_name in CLASSES
    assert not member or member in CLASSES[type_name]


def test_page_names_every_package() -> None:
    packages = {f"hillmux/{file.parent.name}/" for file in (ROOT / "hillmux").glob("*/__init__.py")}
    assert packages <= set(named_paths())
    assert len(named_types()) > len(packages)
