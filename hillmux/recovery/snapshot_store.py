"""The folder of a gateway's snapshots: one process at a time, a file that is whole or the one before.

The lock is the kernel's (flock(2)): a process that died holds none. A snapshot is written beside the old one,
synced, and put in its place (rename(2)), and the folder synced, so a machine that stops at any point leaves
one whole file. It is taken away as it is read: two processes must not both go on from it.
"""

from __future__ import annotations

import fcntl
import os
import secrets
from pathlib import Path

from hillmux.recovery.snapshot_format import MOST_BYTES, MOST_HEAD, SnapshotError

FILE, NEXT, TAKEN, LOCK, MARK = "snapshot", "snapshot.next", "snapshot.taken", "lock", "mark"
MARK_BYTES = 64


class Folder:
    """A folder for one gateway."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self._lock: int | None = None

    def lock(self) -> bool:
        """Make it ours, and make it if it is not there; False while another process has it.

        Raises:
            OSError: it can't be made, or opened.
        """
        if self._lock is not None:
            return True
        self.path.mkdir(parents=True, exist_ok=True, mode=0o700)
        lock = os.open(self.path / LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(lock)
            return False
        self._lock = lock
        return True

    def close(self) -> None:
        """Let another process have it."""
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None

    def id(self) -> str:
        """What tells this folder from a copy of it: a mark, and the file that the mark stands in."""
        path = self.path / MARK
        try:
            self._write_new(path, secrets.token_hex(16).encode())
        except FileExistsError:
            pass
        with path.open("rb") as file:
            found = os.fstat(file.fileno())
            return f"{file.read(MARK_BYTES).decode(errors='replace')}.{found.st_dev:x}.{found.st_ino:x}"

    def read(self) -> bytes | None:
        """The bytes of the snapshot; None where there is none.

        Raises:
            SnapshotError: it is larger than any that is written.
            OSError: it can't be read.
        """
        try:
            with (self.path / FILE).open("rb") as file:
                data = file.read(MOST_BYTES + MOST_HEAD + 1)
        except FileNotFoundError:
            return None
        if len(data) > MOST_BYTES + MOST_HEAD:
            raise SnapshotError(f"size: found over {MOST_BYTES + MOST_HEAD} bytes")
        return data

    def take_away(self) -> None:
        """Nobody is to go on from it any more; it stays beside, to be looked at.

        Raises:
            OSError: that can't be held; then nobody may believe in it.
        """
        os.replace(self.path / FILE, self.path / TAKEN)
        self._sync()

    def write(self, data: bytes) -> None:
        """Put a snapshot in the place of the last one, durably.

        Raises:
            OSError: the last one stands as it is.
        """
        path = self.path / NEXT
        path.unlink(missing_ok=True)
        self._write_new(path, data)
        os.replace(path, self.path / FILE)
        self._sync()

    @staticmethod
    def _write_new(path: Path, data: bytes) -> None:
        file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600)
        try:
            left = memoryview(data)
            while left:  # a write may be short
                left = left[os.write(file, left) :]
            os.fsync(file)
        finally:
            os.close(file)

    def _sync(self) -> None:
        folder = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
