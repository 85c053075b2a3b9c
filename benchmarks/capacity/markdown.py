"""Markdown's tables and numbers as the page shows them."""

from __future__ import annotations

import math
import textwrap
from collections.abc import Iterable, Sequence

LINE = 140  # characters of a line of prose


def table(heads: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """A Markdown table; cells are text in which a bar would end the cell, so it is written as an entity."""
    lines = [heads, ["---"] * len(heads), *rows]
    return "\n".join("| " + " | ".join(cell.replace("|", "&#124;") for cell in line) + " |" for line in lines)


def number(value: float) -> str:
    """A number: whole as it is, others with three digits, under 0.001 with an exponent."""
    if not math.isfinite(value):
        return "infinite"
    size = abs(value)
    if value == int(value) or size >= 1000:
        return f"{value:,.0f}"
    if size < 0.001:
        return f"{value:.2e}"
    return f"{value:.{max(2 - math.floor(math.log10(size)), 0)}f}"


def percent(share: float) -> str:
    """A share in percent, with one digit."""
    return f"{share:.1%}"


def prose(text: str) -> str:
    """A paragraph in lines of the page's length."""
    return textwrap.fill(text, LINE, break_long_words=False, break_on_hyphens=False)
