"""Formatting of the page: Markdown tables, numbers and paragraphs."""

from __future__ import annotations

import math
import textwrap
from collections.abc import Iterable, Sequence

LINE_LENGTH = 140  # maximum characters in a line of prose


def table(headers: Sequence[str], body: Iterable[Sequence[str]]) -> str:
    """A Markdown table; a `|` within a cell would end the cell, and is written as an entity."""
    table_rows = [headers, ["---"] * len(headers), *body]
    return "\n".join(
        "| " + " | ".join(cell.replace("|", "&#124;") for cell in row) + " |" for row in table_rows
    )


def number(value: float) -> str:
    """Format a number: three significant digits; none after the point for integers and from 1,000 on.

    Values below 0.001 get an exponent, and infinity is written as a word.
    """
    if not math.isfinite(value):
        return "infinite"
    size = abs(value)
    if value == int(value) or size >= 1000:
        return f"{value:,.0f}"
    if size < 0.001:
        return f"{value:.2e}"
    return f"{value:.{max(2 - math.floor(math.log10(size)), 0)}f}"


def percent(share: float) -> str:
    """Format a share as a percentage with one decimal."""
    return f"{share:.1%}"


def prose(text: str) -> str:
    """Wrap a paragraph at `LINE_LENGTH`."""
    return textwrap.fill(text, LINE_LENGTH, break_long_words=False, break_on_hyphens=False)
