"""All rows of the page."""

from __future__ import annotations

from benchmarks.capacity import (
    rows_control,
    rows_memory,
    rows_messages,
    rows_others,
    rows_processor,
    rows_refusals,
)
from benchmarks.capacity.row import Row

ROWS: tuple[Row, ...] = (
    *rows_messages.ROWS,
    *rows_processor.ROWS,
    *rows_memory.ROWS,
    *rows_refusals.ROWS,
    *rows_control.ROWS,
    *rows_others.ROWS,
)
