"""Snapshots of a running gateway.

The previous process's snapshot is loaded at the start, new ones are written periodically, and a final one at
the end.
"""

from __future__ import annotations

import asyncio
import logging
import secrets
import threading
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from hillmux.recovery.retention import retained
from hillmux.recovery.snapshot_format import (
    MAX_DOCUMENT_BYTES,
    Identity,
    Snapshot,
    SnapshotBuilder,
    SnapshotError,
    SnapshotHeader,
    check_usable,
    decode,
    mark_restored,
)
from hillmux.recovery.snapshot_store import StateDirectory

log = logging.getLogger(__name__)

MAX_WRITING_SHARE = 0.1  # share of the time; snapshots are written less often to a slow disk

ExportState = Callable[[bool], Iterator[dict[str, Any]]]


@dataclass(slots=True, frozen=True)
class SnapshotOwner:
    """The owner of the snapshots; the directory's identity completes it to an `Identity`."""

    name: str  # name of the gateway
    fleet: str
    plans: str  # digest of the plans


class SnapshotService:
    """Loads and writes the snapshots of one process.

    `export_state` yields the decision module's state in documents of bounded size: all of it for a final
    snapshot (True), otherwise only what may be restored after a crash.
    """

    def __init__(
        self,
        directory: Path,
        interval_s: float,
        owner: SnapshotOwner,
        export_state: ExportState,
        now_ms: Callable[[], float],
        loop: asyncio.AbstractEventLoop,
        max_bytes: int = MAX_DOCUMENT_BYTES,
    ) -> None:
        self._directory, self._interval_s, self._owner = StateDirectory(directory), interval_s, owner
        self._export_state, self._now_ms, self._loop = export_state, now_ms, loop
        self._max_bytes = max_bytes
        self._identity: Identity | None = None  # set once this process holds the directory's lock
        self._incarnation, self._serial = secrets.token_hex(8), 0
        self._previous_loaded = False
        self._task: asyncio.Task[None] | None = None
        self._write_lock, self._stopped = threading.Lock(), False
        self._last_warning = ""

    def load_previous(self) -> Snapshot | None:
        """Return the snapshot of the previous process, or None if there is none that may be restored.

        It stays on disk for the next start until this process has written its own, but is marked as not
        exact, since this process takes decisions after it. A snapshot that must not be restored is logged
        and quarantined.
        """
        if not self._lock_directory():
            log.info("snapshots: nothing restored, another process has locked %s", self._directory.path)
            return None
        if self._previous_loaded:
            return None
        self._previous_loaded = True
        try:
            data = self._directory.read()
            if data is None:
                log.info("snapshots: none in %s", self._directory.path)
                return None
            return self._decode_and_mark(data)
        except SnapshotError as error:
            log.warning("snapshots: unusable, nothing restored: %s", error)
            self.quarantine_previous()
        except OSError as error:
            log.warning("snapshots: unusable, nothing restored: %s", error)
        return None

    def _decode_and_mark(self, data: bytes) -> Snapshot:
        """Decode and check a snapshot, and mark it as restored on disk.

        Raises:
            SnapshotError: It must not be restored.
            OSError: It can be neither marked nor quarantined, so the next start would treat it as exact.
        """
        assert self._identity is not None
        snapshot = decode(data)
        check_usable(snapshot.header, self._identity, self._now_ms())
        try:
            self._directory.write(mark_restored(data, snapshot.header))
        except OSError:
            self._directory.quarantine()
        return snapshot

    def quarantine_previous(self) -> None:
        """Quarantine the previous snapshot, whose documents cannot be restored."""
        self._run_logged(self._directory.quarantine)

    def retained(self, snapshot: Snapshot, started_at_ms: float) -> list[dict[str, Any]]:
        """Return the documents with what a process that started at `started_at_ms` may restore now.

        Raises:
            SnapshotContentError: The documents do not have the form that `state_codec.export` writes.
        """
        header = snapshot.header
        return retained(snapshot.documents, header.taken_ms, header.exact, self._now_ms(), started_at_ms)

    def start(self) -> None:
        """Start writing snapshots periodically in the background."""
        self._task = self._loop.create_task(self._write_periodically())

    def write_final(self) -> None:
        """Write a final snapshot and unlock the directory; call it after the last decision."""
        self._stop_writing()
        if self._lock_directory():
            builder = SnapshotBuilder(self._max_bytes)
            for document in self._export_state(True):
                builder.add(document)
            # A process that restores an exact snapshot also restores the start time, from which the ceiling
            # of an unknown customer is earned: the ceiling of an omitted one would be full again. So a
            # snapshot that omits any is not exact.
            data = self._encode(builder, exact=not builder.omitted_documents)
            with self._write_lock:
                self._run_logged(lambda: self._directory.write(data))
        self._directory.close()

    def discard(self) -> None:
        """Stop writing and quarantine the last snapshot; call it after another process has taken over."""
        self._stop_writing()
        if self._identity is not None:
            with self._write_lock:
                self._run_logged(self._directory.quarantine)
        self._directory.close()

    def _stop_writing(self) -> None:
        self._stopped = True
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def _lock_directory(self) -> bool:
        """Lock the directory if the previous process has unlocked it; returns whether this one holds it."""
        if self._identity is not None:
            return True
        try:
            if not self._directory.lock():
                return False
            owner = self._owner
            self._identity = Identity(owner.name, owner.fleet, owner.plans, self._directory.id())
        except OSError as error:
            self._warn_once(f"{self._directory.path}: {error}")
            return False
        return True

    async def _write_periodically(self) -> None:
        wait_s = self._interval_s
        while True:
            await asyncio.sleep(wait_s)
            if not self._lock_directory():
                continue
            started_at = self._loop.time()
            builder = SnapshotBuilder(self._max_bytes)
            for document in self._export_state(False):
                if builder.omitted_documents:
                    break
                builder.add(document)
                await asyncio.sleep(0)  # lets the event loop serve requests between two documents
            data = self._encode(builder, exact=False)
            await self._loop.run_in_executor(None, self._write, data)
            wait_s = max(self._interval_s, (self._loop.time() - started_at) / MAX_WRITING_SHARE)

    def _write(self, data: bytes) -> None:
        """Write in a worker thread, unless writing has stopped: the final snapshot must not be replaced."""
        with self._write_lock:
            if not self._stopped:
                self._run_logged(lambda: self._directory.write(data))

    def _encode(self, builder: SnapshotBuilder, exact: bool) -> bytes:
        assert self._identity is not None
        self._serial += 1
        header = SnapshotHeader(self._identity, self._incarnation, self._serial, self._now_ms(), exact)
        return builder.encode(header)

    def _run_logged(self, change_directory: Callable[[], None]) -> None:
        try:
            change_directory()
            self._warn_once("")
        except FileNotFoundError:
            self._warn_once("")  # there was no snapshot to set aside
        except OSError as error:
            self._warn_once(f"cannot be written, the last one is kept: {error}")

    def _warn_once(self, text: str) -> None:
        """Log a fault once, not at each write; "" means that the last operation succeeded."""
        if text != self._last_warning:
            self._last_warning = text
            log.warning("snapshots: %s", text or "writes succeed again")
