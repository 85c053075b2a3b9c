"""How a helper's process begins: its first line, its clock, its part of the record."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any

import orjson

from hillmux.lab.clock import RealClock
from hillmux.lab.record import Recorder

LONGEST_LINE = 1 << 24


async def begun(name: str) -> tuple[asyncio.StreamReader, dict[str, Any], Recorder]:
    """Standard input, the first line on it, and the record that this process writes."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=LONGEST_LINE)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    first: dict[str, Any] = orjson.loads(await reader.readline())
    clock = RealClock(loop)
    return reader, first, Recorder(Path(first["folder"]) / f"{name}.jsonl", lambda: clock.now)


def tell(**said: Any) -> None:
    """One line to the lab."""
    print(orjson.dumps(said).decode(), flush=True)
