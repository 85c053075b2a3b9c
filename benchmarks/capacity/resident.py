"""Resident memory of this process."""

from __future__ import annotations

import os
from pathlib import Path


def resident_bytes() -> int:
    """Resident memory now, in bytes (Linux: /proc/self/statm, in pages)."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")
