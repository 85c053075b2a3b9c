"""Returns memory that was freed inside the process to the system.

The C library keeps what was freed on its heap, wherever pages in use lie above it, and Python's allocator for
small objects keeps arenas that are not empty. Each keeps the most that it has ever held, so two crowds whose
memory comes from different allocators add up.
"""

from __future__ import annotations

import ctypes
from collections.abc import Callable
from typing import cast


def _find_trim() -> Callable[[int], int] | None:
    """The C library's `malloc_trim` (malloc_trim(3)); None where it has none."""
    try:
        return cast(Callable[[int], int], ctypes.CDLL(None).malloc_trim)
    except (OSError, AttributeError):
        return None


_trim = _find_trim()


def release_free_memory() -> None:
    """Return the free pages of the C library's heap to the system; does nothing where it cannot."""
    if _trim is not None:
        _trim(0)
