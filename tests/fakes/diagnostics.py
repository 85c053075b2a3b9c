"""Diagnostics printed when a test of the gateway process fails: a transcript, and the holders of a port."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from pathlib import Path

MAX_TRANSCRIPT_LINES = 2_000
MAX_SHOWN_BYTES = 120  # bytes shown from the start of each piece
LISTENING = "0A"  # the state LISTEN in /proc/net/tcp (proc(5))


class Transcript:
    """The data read and written on a test's connections, with times in seconds since the start."""

    def __init__(self) -> None:
        self._started_at = time.monotonic()
        self.lines: deque[str] = deque(maxlen=MAX_TRANSCRIPT_LINES)

    def note(self, direction: str, data: bytes) -> None:
        """Add a line for one piece of data."""
        elapsed_s = time.monotonic() - self._started_at
        self.lines.append(f"{elapsed_s:9.4f} {direction} {len(data)} bytes: {data[:MAX_SHOWN_BYTES]!r}")

    def record(self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Add everything that a connection reads and writes from now on."""
        feed_data, write = reader.feed_data, writer.write

        def feed_and_note(data: bytes) -> None:
            self.note(f"{name} <-", bytes(data))
            feed_data(data)

        def write_and_note(data: bytes) -> None:
            self.note(f"{name} ->", bytes(data))
            write(data)

        reader.feed_data, writer.write = feed_and_note, write_and_note


def holders_of(port: int) -> list[str]:
    """Describe the machine's TCP sockets bound to a port: state, peer port and processes."""
    descriptions = []
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        local, remote, state, inode = (line.split()[i] for i in (1, 2, 3, 9))
        if int(local.rpartition(":")[2], 16) == port:
            remote_port = int(remote.rpartition(":")[2], 16)
            kind = "listening" if state == LISTENING else f"state {state}"
            descriptions.append(
                f"port {port}, {kind}, peer port {remote_port}: {_owners(inode) or 'no process'}"
            )
    return descriptions


def _owners(inode: str) -> str:
    """The processes that have a socket open, each with pid and command line."""
    owners = []
    for process in Path("/proc").glob("[0-9]*"):
        try:
            links = [str(link.readlink()) for link in (process / "fd").iterdir()]
            if f"socket:[{inode}]" in links:
                command = (process / "cmdline").read_bytes().replace(b"\0", b" ").decode(errors="replace")
                owners.append(f"pid {process.name} {command.strip()}")
        except OSError:
            continue  # the process ended, or closed a descriptor, in the meantime
    return ", ".join(owners)
