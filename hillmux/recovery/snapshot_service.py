"""Snapshots of a running gateway: taken away at its start, written in the background, exact at its end."""

from __future__ import annotations

import asyncio
import logging
import secrets
import threading
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

from hillmux.recovery.retention import believed
from hillmux.recovery.snapshot_format import (
    MOST_BYTES,
    Builder,
    Head,
    Identity,
    Snapshot,
    SnapshotError,
    check,
    decode,
)
from hillmux.recovery.snapshot_store import Folder

log = logging.getLogger(__name__)

PART = 0.1  # of the time, at most, that writing takes: a slow disk is written to less often


class Snapshots:
    """One process's snapshots.

    `known` tells what the module knows, in documents of bounded size: all of it for an exact one, else what
    of it may be believed later.
    """

    def __init__(
        self,
        folder: Path,
        every_s: float,
        name: str,
        fleet: str,
        plans: str,
        known: Callable[[bool], Iterator[dict[str, Any]]],
        now_ms: Callable[[], float],
        loop: asyncio.AbstractEventLoop,
        most: int = MOST_BYTES,
    ) -> None:
        self._folder, self._every_s = Folder(folder), every_s
        self._name, self._fleet, self._plans = name, fleet, plans
        self._known, self._now_ms, self._loop, self._most = known, now_ms, loop, most
        self._me: Identity | None = None  # once the folder is ours
        self._incarnation, self._serial = secrets.token_hex(8), 0
        self._task: asyncio.Task[None] | None = None
        self._writing, self._over = threading.Lock(), False
        self._told = ""  # what the log was told last of a write that failed

    def take(self) -> Snapshot | None:
        """What the process before left, if we may go on from it; one line in the log says why not.

        Exact or not, it is taken away: another start must find what we write, not what we went on from.
        """
        if not self._own():
            log.info("snapshots: another process has %s: nothing is taken from it", self._folder.path)
            return None
        assert self._me is not None
        try:
            data = self._folder.read()
            if data is None:
                log.info("snapshots: none in %s", self._folder.path)
                return None
            self._folder.take_away()
            snapshot = decode(data)
            check(snapshot.head, self._me, self._now_ms())
        except (OSError, SnapshotError) as error:
            log.warning("snapshots: left, nothing of it is believed: %s", error)
            return None
        return snapshot

    def believed(self, snapshot: Snapshot, born_ms: float) -> list[dict[str, Any]]:
        """What a process that began at `born_ms` may go on from now."""
        head = snapshot.head
        return believed(snapshot.documents, head.taken_ms, head.exact, self._now_ms(), born_ms)

    def start(self) -> None:
        """Write in the background from now on."""
        self._task = self._loop.create_task(self._write_on())

    def seal(self) -> None:
        """Nothing is decided any more: write it down as exact, at once, and let go of the folder."""
        self._end()
        if self._own():
            builder = Builder(self._most)
            for document in self._known(True):
                builder.add(document)
            # Danger: a customer that is left out would be new to an exact birth, and its ceiling full again.
            data = self._data(builder, exact=not builder.left_out)
            with self._writing:
                self._try(lambda: self._folder.write(data))
        self._folder.close()

    def give_up(self) -> None:
        """Another process goes on from what we know: write no more, and leave nothing to go on from."""
        self._end()
        if self._me is not None:
            with self._writing:
                self._try(self._folder.take_away)
        self._folder.close()

    def _end(self) -> None:
        self._over = True
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def _own(self) -> bool:
        """Whether the folder is ours; it may become so only when the process before us has ended."""
        if self._me is not None:
            return True
        try:
            if not self._folder.lock():
                return False
            self._me = Identity(self._name, self._fleet, self._plans, self._folder.id())
        except OSError as error:
            self._tell(f"{self._folder.path}: {error}")
            return False
        return True

    async def _write_on(self) -> None:
        wait_s = self._every_s
        while True:
            await asyncio.sleep(wait_s)
            if not self._own():
                continue
            began = self._loop.time()
            builder = Builder(self._most)
            for document in self._known(False):
                if builder.left_out:
                    break
                builder.add(document)
                await asyncio.sleep(0)  # requests go between two documents
            data = self._data(builder, exact=False)
            await self._loop.run_in_executor(None, self._write, data)
            wait_s = max(self._every_s, (self._loop.time() - began) / PART)

    def _write(self, data: bytes) -> None:
        """In a thread of its own. Danger: it must not come after the exact one, and stand in its place."""
        with self._writing:
            if not self._over:
                self._try(lambda: self._folder.write(data))

    def _data(self, builder: Builder, exact: bool) -> bytes:
        assert self._me is not None
        self._serial += 1
        return builder.data(Head(self._me, self._incarnation, self._serial, self._now_ms(), exact))

    def _try(self, write: Callable[[], None]) -> None:
        try:
            write()
            self._tell("")
        except FileNotFoundError:
            self._tell("")  # there was none to take away
        except OSError as error:
            self._tell(f"not written, the last one stands: {error}")

    def _tell(self, text: str) -> None:
        """A line in the log when what is wrong changes, not one for each write."""
        if text != self._told:
            self._told = text
            log.warning("snapshots: %s", text or "written again")
