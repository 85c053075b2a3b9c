"""What a failed test of the real program shows: the program's words, who holds a port, what was exchanged."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from pathlib import Path

MAX_TRANSCRIPT_LINES = 2_000
MAX_SHOWN_BYTES = 120  # of one piece, from its start
LISTENING = "0A"  # state of a line in /proc/net/tcp (proc(5))


class Transcript:
    """The pieces that went over a test's connections, with their times."""

    def __init__(self) -> None:
        self._started_at = time.monotonic()
        self.lines: deque[str] = deque(maxlen=MAX_TRANSCRIPT_LINES)

    def note(self, what: str, data: bytes) -> None:
        """Add a piece."""
        at = time.monotonic() - self._started_at
        self.lines.append(f"{at:9.4f} {what} {len(data)} bytes: {data[:MAX_SHOWN_BYTES]!r}")

    def record(self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Note all that a connection reads and writes from now on."""
        feed, write = reader.feed_data, writer.write

        def fed(data: bytes) -> None:
            self.note(f"{name} <-", bytes(data))
            feed(data)

        def written(data: bytes) -> None:
            self.note(f"{name} ->", bytes(data))
            write(data)

        reader.feed_data, writer.write = fed, written


def holders_of(port: int) -> list[str]:
    """The sockets of this machine that are bound to a port: state, both ports, and their processes."""
    found = []
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        local, remote, state, inode = (line.split()[i] for i in (1, 2, 3, 9))
        if int(local.rpartition(":")[2], 16) == port:
            remote_port = int(remote.rpartition(":")[2], 16)
            kind = "listening" if state == LISTENING else f"state {state}"
            found.append(f"port {port}, {kind}, peer port {remote_port}: {_owners(inode) or 'no process'}")
    return found


def _owners(inode: str) -> str:
    owners = []
    for process in Path("/proc").glob("[0-9]*"):
        try:
            links = [str(link.readlink()) for link in (process / "fd").iterdir()]
            if f"socket:[{inode}]" in links:
                command = (process / "cmdline").read_bytes().replace(b"\0", b" ").decode(errors="replace")
                owners.append(f"pid {process.name} {command.strip()}")
        except OSError:
            continue  # it ended, or a descriptor of it closed, while it was looked at
    return ", ".join(owners)
