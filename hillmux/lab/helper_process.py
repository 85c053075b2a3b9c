"""Connects a helper process of a run to the lab.

The process exchanges JSON lines with the lab on standard input and output, and writes its own record file.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any

import orjson

from hillmux.lab.clock import RealClock
from hillmux.lab.record import Recorder

MAX_LINE_BYTES = 1 << 24


async def connect_to_lab(name: str) -> tuple[asyncio.StreamReader, dict[str, Any], Recorder]:
    """Connect to the lab and open this process's record, `<name>.jsonl` in the run's folder.

    Returns:
        A reader of standard input, the parsed first line from it, and the recorder.
    """
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    first_line: dict[str, Any] = orjson.loads(await reader.readline())
    clock = RealClock(loop)
    return reader, first_line, Recorder(Path(first_line["folder"]) / f"{name}.jsonl", lambda: clock.now)


def send_to_lab(**fields: Any) -> None:
    """Write one JSON line to the lab."""
    print(orjson.dumps(fields).decode(), flush=True)
