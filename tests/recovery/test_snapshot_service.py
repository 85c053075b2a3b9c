"""Snapshots of a running gateway: periodic ones, the exact final one, and how they are loaded."""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from conftest import on_loop

from hillmux.recovery import snapshot_store
from hillmux.recovery.snapshot_format import MAX_RESTORES, decode
from hillmux.recovery.snapshot_service import SnapshotOwner, SnapshotService
from hillmux.recovery.snapshot_store import SNAPSHOT_NAME


class Gateway:
    """A stand-in whose state is the number of exports so far, in `documents` documents."""

    def __init__(self) -> None:
        self.exports, self.documents, self.now = 0, 3, 1e12

    def export_state(self, exact: bool) -> Iterator[dict[str, Any]]:
        self.exports += 1
        for index in range(self.documents):
            yield {"t": "x", "number": self.exports, "at": index}

    def snapshots(self, folder: Path, name: str = "g1", max_bytes: int = 10_000) -> SnapshotService:
        loop = asyncio.get_running_loop()
        owner = SnapshotOwner(name, "f", "p")
        return SnapshotService(folder, 0.02, owner, self.export_state, lambda: self.now, loop, max_bytes)


async def until_written(folder: Path, min_serial: int) -> None:
    """Wait until the snapshot on disk has at least this serial number."""
    while (
        not (folder / SNAPSHOT_NAME).exists()
        or decode((folder / SNAPSHOT_NAME).read_bytes()).header.serial < min_serial
    ):
        await asyncio.sleep(0.005)


def test_snapshots_are_written_periodically_and_a_process_loads_the_final_one_once(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        gateway = Gateway()
        first = gateway.snapshots(tmp_path)
        assert first.load_previous() is None
        first.start()
        await until_written(tmp_path, 3)
        assert not decode((tmp_path / SNAPSHOT_NAME).read_bytes()).header.exact
        second = gateway.snapshots(tmp_path)
        assert second.load_previous() is None  # the first process still holds the lock
        first.write_final()
        loaded = second.load_previous()
        assert loaded is not None and loaded.header.exact
        assert {d["number"] for d in loaded.documents} == {gateway.exports}
        assert second.load_previous() is None
        second.discard()
        assert gateway.snapshots(tmp_path).load_previous() is None

    on_loop(scenario)


def test_snapshot_is_loaded_by_starts_until_one_writes_its_own_and_is_exact_once(
    tmp_path: Path,
) -> None:
    """Guards against a second kill just after a start, which left the next start without a snapshot."""

    async def scenario() -> None:
        gateway = Gateway()
        before = gateway.snapshots(tmp_path)
        before.load_previous()
        before.write_final()
        exact = []
        for _ in range(MAX_RESTORES):  # each is killed before its first snapshot, which releases its lock
            killed = gateway.snapshots(tmp_path)
            loaded = killed.load_previous()
            assert loaded is not None and {d["number"] for d in loaded.documents} == {gateway.exports}
            exact.append(loaded.header.exact)
            killed._directory.close()
        assert exact == [True] + [False] * (MAX_RESTORES - 1)
        last = gateway.snapshots(tmp_path)
        assert last.load_previous() is None  # restoring it may be what crashes the processes
        last.start()
        await until_written(tmp_path, 1)
        last.discard()

    on_loop(scenario)


def test_snapshot_that_can_be_neither_marked_nor_quarantined_is_not_restored(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against restoring a snapshot as exact twice."""

    async def scenario() -> None:
        gateway = Gateway()
        before = gateway.snapshots(tmp_path)
        before.load_previous()
        before.write_final()

        def fails(*args: object) -> None:
            raise OSError(30, "Read-only file system")

        monkeypatch.setattr(snapshot_store.os, "replace", fails)
        after = gateway.snapshots(tmp_path)
        assert after.load_previous() is None
        after.discard()

    on_loop(scenario)


def test_process_writes_once_its_predecessor_has_unlocked_the_directory(tmp_path: Path) -> None:
    async def scenario() -> None:
        old, new = Gateway().snapshots(tmp_path), Gateway().snapshots(tmp_path)
        old.load_previous()
        old.start()
        await until_written(tmp_path, 1)
        new.load_previous()
        new.start()
        old.discard()
        # The predecessor's snapshot must not remain: if the successor ended now, it would be outdated.
        assert not (tmp_path / SNAPSHOT_NAME).exists()
        await until_written(tmp_path, 1)
        new.discard()

    on_loop(scenario)


def test_final_snapshot_that_omits_customers_is_not_exact(tmp_path: Path) -> None:
    """After an exact restore, the ceiling of an omitted customer would be full."""

    async def scenario() -> None:
        gateway = Gateway()
        gateway.documents = 1000
        snapshots = gateway.snapshots(tmp_path, max_bytes=500)
        snapshots.load_previous()
        snapshots.write_final()
        final = decode((tmp_path / SNAPSHOT_NAME).read_bytes())
        assert not final.header.exact and 0 < len(final.documents) < 1000

    on_loop(scenario)


def test_background_write_does_not_replace_the_final_snapshot(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        gateway = Gateway()
        snapshots = gateway.snapshots(tmp_path)
        snapshots.load_previous()
        loop, write_started, write = asyncio.get_running_loop(), asyncio.Event(), snapshots._write
        released = asyncio.Event()

        def delayed_write(
            data: bytes,
        ) -> None:  # waits in the worker thread before the check of `_stopped`
            loop.call_soon_threadsafe(write_started.set)
            asyncio.run_coroutine_threadsafe(released.wait(), loop).result()
            write(data)

        monkeypatch.setattr(snapshots, "_write", delayed_write)
        snapshots.start()
        await write_started.wait()
        snapshots.write_final()
        released.set()
        await loop.shutdown_default_executor()
        assert decode((tmp_path / SNAPSHOT_NAME).read_bytes()).header.exact

    on_loop(scenario)


def test_disk_failure_and_its_end_are_logged_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)

    async def scenario() -> None:
        gateway = Gateway()
        snapshots = gateway.snapshots(tmp_path)
        snapshots.load_previous()
        snapshots.start()
        await until_written(tmp_path, 1)
        fsync, calls = os.fsync, []

        def fails(file: int) -> None:
            calls.append(file)
            if len(calls) <= 3:
                raise OSError(28, "No space left on device")
            fsync(file)

        monkeypatch.setattr(snapshot_store.os, "fsync", fails)
        while len(calls) < 5:
            await asyncio.sleep(0.005)
        snapshots.discard()

    on_loop(scenario)
    warnings = [r.getMessage() for r in caplog.records if r.levelno == logging.WARNING]
    assert warnings == [
        "snapshots: cannot be written, the last one is kept: [Errno 28] No space left on device",
        "snapshots: writes succeed again",
    ]


def test_unusable_snapshot_is_quarantined_with_one_log_line(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def scenario() -> None:
        gateway = Gateway()
        for change in ("future", "name"):
            predecessor = gateway.snapshots(tmp_path)
            predecessor.load_previous()
            predecessor.write_final()
            gateway.now -= 60_000 if change == "future" else 0
            caplog.clear()
            successor = gateway.snapshots(tmp_path, name="g2" if change == "name" else "g1")
            assert successor.load_previous() is None
            successor.discard()
            (line,) = [r.getMessage() for r in caplog.records]
            assert "unusable, nothing restored" in line and ("taken_ms" in line) == (change == "future")

    on_loop(scenario)
