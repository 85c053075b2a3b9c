"""The directory of a gateway's snapshots: locked by one process, with at most one snapshot, always complete.

The lock is the kernel's (flock(2)), so it ends with its process. A snapshot is written to a temporary file,
synced and renamed over the old one (rename(2)), and the directory is synced: a machine that stops at any
point leaves either the old or the new file, complete.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import secrets
from pathlib import Path

from hillmux.recovery.snapshot_format import MAX_DOCUMENT_BYTES, MAX_HEADER_BYTES, SnapshotError

SNAPSHOT_NAME, PARTIAL_NAME, QUARANTINE_NAME, LOCK_NAME, IDENTITY_NAME = (
    "snapshot",
    "snapshot.next",
    "snapshot.taken",
    "lock",
    "mark",
)
MAX_IDENTITY_BYTES = 64


class StateDirectory:
    """The directory of one gateway."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self._lock: int | None = None

    def lock(self) -> bool:
        """Lock the directory, creating it if needed; returns False while another process holds the lock.

        Raises:
            OSError: The directory cannot be created or opened.
        """
        if self._lock is not None:
            return True
        self.path.mkdir(parents=True, exist_ok=True, mode=0o700)
        lock = os.open(self.path / LOCK_NAME, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(lock)
            return False
        self._lock = lock
        return True

    def close(self) -> None:
        """Unlock the directory."""
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None

    def id(self) -> str:
        """An identity that a copy of the directory does not share: a random text and its file's inode."""
        path = self.path / IDENTITY_NAME
        with contextlib.suppress(FileExistsError):
            self._write_new(path, secrets.token_hex(16).encode())
        with path.open("rb") as file:
            stat = os.fstat(file.fileno())
            return f"{file.read(MAX_IDENTITY_BYTES).decode(errors='replace')}.{stat.st_dev:x}.{stat.st_ino:x}"

    def read(self) -> bytes | None:
        """The bytes of the snapshot; None if there is none.

        Raises:
            SnapshotError: It is larger than the size limit of snapshots.
            OSError: It cannot be read.
        """
        try:
            with (self.path / SNAPSHOT_NAME).open("rb") as file:
                data = file.read(MAX_DOCUMENT_BYTES + MAX_HEADER_BYTES + 1)
        except FileNotFoundError:
            return None
        if len(data) > MAX_DOCUMENT_BYTES + MAX_HEADER_BYTES:
            raise SnapshotError(f"size: found more than {MAX_DOCUMENT_BYTES + MAX_HEADER_BYTES} bytes")
        return data

    def quarantine(self) -> None:
        """Rename the snapshot so that no process restores it; it is kept for inspection.

        Raises:
            OSError: The rename failed; the caller must not restore the snapshot.
        """
        os.replace(self.path / SNAPSHOT_NAME, self.path / QUARANTINE_NAME)
        self._sync()

    def write(self, data: bytes) -> None:
        """Replace the snapshot durably.

        Raises:
            OSError: The write failed; the old snapshot is unchanged.
        """
        path = self.path / PARTIAL_NAME
        path.unlink(missing_ok=True)
        self._write_new(path, data)
        os.replace(path, self.path / SNAPSHOT_NAME)
        self._sync()

    @staticmethod
    def _write_new(path: Path, data: bytes) -> None:
        file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600)
        try:
            unwritten = memoryview(data)
            while unwritten:  # os.write may write less than it is given
                unwritten = unwritten[os.write(file, unwritten) :]
            os.fsync(file)
        finally:
            os.close(file)

    def _sync(self) -> None:
        directory = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(directory)
        finally:
            os.close(directory)
