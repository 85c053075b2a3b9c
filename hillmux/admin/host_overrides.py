"""Hosts out by hand: which calls hold, and the file that keeps them for every process of one gateway.

Theory of operation. Two versions of a gateway run side by side during an upgrade, and a call to either binds
both. So the truth is a small file in the folder that they share: a call reads it, changes it and puts it back
whole, under a lock, before it is answered; each process looks at it now and then and takes over what differs.
"""

from __future__ import annotations

import fcntl
import json
import os
import time
from collections.abc import Iterable

NAME = "hosts-out.json"
LOCK_S = 0.1  # how long the loop may stand for another process's call
MOST_OUT = 4096  # hosts out at once
MOST_SEEN = 16384  # ids that were listed once, the latest


class HandError(Exception):
    """The file cannot be read or written; nothing has changed."""


class Listed:
    """The ids that discovery has named: only these may be taken out. Bounded: the longest unnamed go."""

    def __init__(self) -> None:
        self._names: dict[str, None] = {}

    def add(self, names: Iterable[str]) -> None:
        """Note ids that a list names."""
        for name in names:
            self._names.pop(name, None)
            self._names[name] = None
        while len(self._names) > MOST_SEEN:
            del self._names[next(iter(self._names))]

    def __contains__(self, name: str) -> bool:
        return name in self._names

    def all(self) -> list[str]:
        """They, the longest unnamed first."""
        return list(self._names)


def refused(name: str, out: bool, listed: Listed, held: set[str]) -> str:
    """Why a call cannot hold; "" where it can. Calls that are repeated hold."""
    if name not in listed and name not in held:
        return f"{name}: discovery has never named it"
    if out and name not in held and len(held) >= MOST_OUT:
        return f"{MOST_OUT} hosts are out already"
    return ""


class HandFile:
    """The file; None as its folder keeps the hosts in this process alone."""

    def __init__(self, folder: str | None) -> None:
        self._path = os.path.join(folder, NAME) if folder is not None else None
        self._stamp: tuple[int, int, int] | None = None
        self.out: set[str] = set()

    def change(self, name: str, out: bool) -> None:
        """Take a host out or put it back, for all processes; HandError and no change where that fails."""
        if self._path is None:
            (self.out.add if out else self.out.discard)(name)
            return
        try:
            with open(f"{self._path}.lock", "w") as lock:
                _lock(lock.fileno())
                names = _read(self._path)
                (names.add if out else names.discard)(name)
                new = f"{self._path}.new"
                with open(new, "w") as file:
                    json.dump({"version": 1, "out": sorted(names)}, file)
                os.replace(new, self._path)
                self._stamp = self._look()
        except (OSError, ValueError) as error:
            raise HandError(f"{NAME}: {error}") from None
        self.out = names

    def refresh(self) -> set[str] | None:
        """The hosts that are out, if another process has changed them; a file that cannot be read changes
        nothing."""
        if self._path is None or (stamp := self._look()) == self._stamp or stamp is None:
            return None
        try:
            self.out = _read(self._path)
        except (OSError, ValueError):
            return None
        self._stamp = stamp
        return self.out

    def _look(self) -> tuple[int, int, int] | None:
        assert self._path is not None
        try:
            found = os.stat(self._path)
        except OSError:
            return None
        return found.st_ino, found.st_mtime_ns, found.st_size


def _lock(descriptor: int) -> None:
    """The lock is held for one small read and write. Guards those who are served here against another process
    that was stopped while it held it: after LOCK_S the call is turned down (BlockingIOError)."""
    end = time.monotonic() + LOCK_S
    while True:
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            return
        except BlockingIOError:
            if time.monotonic() > end:
                raise
            time.sleep(LOCK_S / 50)


def _read(path: str) -> set[str]:
    try:
        with open(path) as file:
            raw = json.load(file)
    except FileNotFoundError:
        return set()
    names = raw.get("out") if isinstance(raw, dict) else None
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        raise ValueError("out: must be a list of host ids")
    return set(names[:MOST_OUT])
