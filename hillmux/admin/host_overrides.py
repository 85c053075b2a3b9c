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

FILE_NAME = "hosts-out.json"
LOCK_TIMEOUT_S = 0.1  # how long the loop may stand for another process's call
MAX_DISABLED = 4096  # hosts out at once
MAX_KNOWN = 16384  # ids that were listed once, the latest


class OverrideFileError(Exception):
    """The file cannot be read or written; nothing has changed."""


class KnownHosts:
    """The ids that discovery has named: only these may be taken out. Bounded: the longest unnamed go."""

    def __init__(self) -> None:
        self._last_listed: dict[str, None] = {}

    def add(self, names: Iterable[str]) -> None:
        """Note ids that a list names."""
        for name in names:
            self._last_listed.pop(name, None)
            self._last_listed[name] = None
        while len(self._last_listed) > MAX_KNOWN:
            del self._last_listed[next(iter(self._last_listed))]

    def __contains__(self, name: str) -> bool:
        return name in self._last_listed

    def all(self) -> list[str]:
        """They, the longest unnamed first."""
        return list(self._last_listed)


def rejection_reason(name: str, out: bool, listed: KnownHosts, held: set[str]) -> str:
    """Why a call cannot hold; "" where it can. Calls that are repeated hold."""
    if name not in listed and name not in held:
        return f"{name}: discovery has never named it"
    if out and name not in held and len(held) >= MAX_DISABLED:
        return f"{MAX_DISABLED} hosts are out already"
    return ""


class OverrideFile:
    """The file; None as its folder keeps the hosts in this process alone."""

    def __init__(self, folder: str | None) -> None:
        self._path = os.path.join(folder, FILE_NAME) if folder is not None else None
        self._stamp: tuple[int, int, int] | None = None
        self.disabled: set[str] = set()

    def set_disabled(self, name: str, out: bool) -> None:
        """Take a host out or put it back, for all processes; HandError and no change where that fails."""
        if self._path is None:
            (self.disabled.add if out else self.disabled.discard)(name)
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
                self._stamp = self._file_stamp()
        except (OSError, ValueError) as error:
            raise OverrideFileError(f"{FILE_NAME}: {error}") from None
        self.disabled = names

    def refresh(self) -> set[str] | None:
        """The hosts that are out, if another process has changed them; a file that cannot be read changes
        nothing."""
        if self._path is None or (stamp := self._file_stamp()) == self._stamp or stamp is None:
            return None
        try:
            self.disabled = _read(self._path)
        except (OSError, ValueError):
            return None
        self._stamp = stamp
        return self.disabled

    def _file_stamp(self) -> tuple[int, int, int] | None:
        assert self._path is not None
        try:
            found = os.stat(self._path)
        except OSError:
            return None
        return found.st_ino, found.st_mtime_ns, found.st_size


def _lock(descriptor: int) -> None:
    """The lock is held for one small read and write. Guards those who are served here against another process
    that was stopped while it held it: after LOCK_S the call is turned down (BlockingIOError)."""
    end = time.monotonic() + LOCK_TIMEOUT_S
    while True:
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            return
        except BlockingIOError:
            if time.monotonic() > end:
                raise
            time.sleep(LOCK_TIMEOUT_S / 50)


def _read(path: str) -> set[str]:
    try:
        with open(path) as file:
            raw = json.load(file)
    except FileNotFoundError:
        return set()
    names = raw.get("out") if isinstance(raw, dict) else None
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        raise ValueError("out: must be a list of host ids")
    return set(names[:MAX_DISABLED])
