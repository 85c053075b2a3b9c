"""Hosts that operators have disabled: which commands are accepted, and the file that stores the hosts.

Two processes of a gateway run side by side during a hot restart, and a command to either must apply to both.
So the state is a small file in the directory that they share: a command reads, changes and replaces it under
a lock before it is answered, and each process polls it for changes by the other.
"""

from __future__ import annotations

import fcntl
import json
import os
import time
from collections.abc import Iterable
from typing import NamedTuple

FILE_NAME = "hosts-out.json"
FILE_VERSION = 1
LOCK_TIMEOUT_S = 0.1  # upper bound of the time for which the event loop is blocked
LOCK_RETRY_INTERVAL_S = LOCK_TIMEOUT_S / 50
MAX_DISABLED = 4096  # hosts
MAX_KNOWN = 16384  # hosts


class OverrideFileError(Exception):
    """The file cannot be read or written; no host was disabled or enabled."""


class FileStamp(NamedTuple):
    """File attributes that change whenever the file is replaced."""

    inode: int
    modified_ns: int
    size: int


class KnownHosts:
    """The ids of up to `MAX_KNOWN` hosts that discovery listed most recently; only these may be disabled."""

    def __init__(self) -> None:
        self._last_listed: dict[str, None] = {}  # ids as keys, least recently listed first

    def add(self, names: Iterable[str]) -> None:
        """Record the ids of hosts in an endpoint list."""
        for name in names:
            self._last_listed.pop(name, None)
            self._last_listed[name] = None
        while len(self._last_listed) > MAX_KNOWN:
            del self._last_listed[next(iter(self._last_listed))]

    def __contains__(self, name: str) -> bool:
        return name in self._last_listed

    def all(self) -> list[str]:
        """All ids, least recently listed first."""
        return list(self._last_listed)


def rejection_reason(name: str, disable: bool, known: KnownHosts, disabled: set[str]) -> str:
    """Why a command is rejected, or "" if it is accepted. Repeating a command is allowed."""
    if name not in known and name not in disabled:
        return f"{name}: discovery has never named it"
    if disable and name not in disabled and len(disabled) >= MAX_DISABLED:
        return f"{MAX_DISABLED} hosts are out already"
    return ""


class OverrideFile:
    """The disabled hosts, stored in a file of the directory; without a directory, only in this process."""

    def __init__(self, directory: str | None) -> None:
        self._path = os.path.join(directory, FILE_NAME) if directory is not None else None
        self._stamp: FileStamp | None = None
        self.disabled: set[str] = set()

    def set_disabled(self, name: str, disable: bool) -> None:
        """Disable a host or enable it again, for all processes of the gateway.

        Raises:
            OverrideFileError: The file cannot be read or written.
        """
        if self._path is None:
            _update(self.disabled, name, disable)
            return
        try:
            with open(f"{self._path}.lock", "w") as lock_file:
                _lock(lock_file.fileno())
                names = _read(self._path)
                _update(names, name, disable)
                _write(self._path, names)
                self._stamp = _file_stamp(self._path)
        except (OSError, ValueError) as error:
            raise OverrideFileError(f"{FILE_NAME}: {error}") from None
        self.disabled = names

    def refresh(self) -> set[str] | None:
        """Return the disabled hosts if another process has changed them, otherwise None.

        An unreadable file changes nothing.
        """
        if self._path is None:
            return None
        stamp = _file_stamp(self._path)
        if stamp is None or stamp == self._stamp:
            return None
        try:
            self.disabled = _read(self._path)
        except (OSError, ValueError):
            return None
        self._stamp = stamp
        return self.disabled


def _update(names: set[str], name: str, disable: bool) -> None:
    if disable:
        names.add(name)
    else:
        names.discard(name)


def _file_stamp(path: str) -> FileStamp | None:
    try:
        status = os.stat(path)
    except OSError:
        return None
    return FileStamp(status.st_ino, status.st_mtime_ns, status.st_size)


def _lock(descriptor: int) -> None:
    """Lock the file for one small read and write.

    Another process may be stopped while it holds the lock. This one has to keep serving, so it waits for at
    most `LOCK_TIMEOUT_S`.

    Raises:
        BlockingIOError: Another process holds the lock.
    """
    end = time.monotonic() + LOCK_TIMEOUT_S
    while True:
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            return
        except BlockingIOError:
            if time.monotonic() > end:
                raise
            time.sleep(LOCK_RETRY_INTERVAL_S)


def _read(path: str) -> set[str]:
    try:
        with open(path) as file:
            document = json.load(file)
    except FileNotFoundError:
        return set()
    names = document.get("out") if isinstance(document, dict) else None
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        raise ValueError("out: must be a list of host ids")
    return set(names[:MAX_DISABLED])


def _write(path: str, names: set[str]) -> None:
    new_path = f"{path}.new"
    with open(new_path, "w") as file:
        json.dump({"version": FILE_VERSION, "out": sorted(names)}, file)
    os.replace(new_path, path)
