"""Files of hosts, looked at again and again; a file that is no good leaves the hosts as they were."""

from __future__ import annotations

import asyncio
import logging
import os
from collections import deque
from collections.abc import Callable
from pathlib import Path

from yewstage import interface as api
from yewstage.hosted.config import ConfigFaultsError, load_hosts
from yewstage.tenants.model import Address, Tenant

log = logging.getLogger(__name__)

LOOK_S = 0.25
LOOKS = 250  # files looked at in one go: a thousand a second, and the loop is held for under a millisecond

Hosts = tuple[tuple[api.Server, ...], tuple[tuple[str, Address], ...]]
Stamp = tuple[int, int, int] | None


class HostFiles:
    """Watches the files of all tenants' pools."""

    def __init__(self, loop: asyncio.AbstractEventLoop, changed: Callable[[str], None]) -> None:
        self._loop, self._changed = loop, changed
        self._files: dict[tuple[str, str], str] = {}  # tenant and pool: path
        self._found: dict[tuple[str, str], Hosts] = {}
        self._stamps: dict[tuple[str, str], Stamp] = {}
        self._round: deque[tuple[str, str]] = deque()
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin to look."""
        self._timer = self._loop.call_later(LOOK_S, self._look)

    def stop(self) -> None:
        """Look no more."""
        if self._timer is not None:
            self._timer.cancel()

    def watch(self, tenant: Tenant) -> None:
        """Look at the files of a tenant's pools from now on, and at no others of its."""
        wanted = {(tenant.id, pool.name): pool.hosts_file for pool in tenant.pools if pool.hosts_file}
        for key in [
            key for key in self._files if key[0] == tenant.id and wanted.get(key) != self._files[key]
        ]:
            self._drop(key)
        for key, path in wanted.items():
            if key not in self._files:
                self._files[key] = path
                self._round.append(key)
                self._read(key)

    def forget(self, tenant_id: str) -> None:
        """A tenant that is gone."""
        for key in [key for key in self._files if key[0] == tenant_id]:
            self._drop(key)

    def hosts(self, tenant_id: str, pool: str) -> Hosts:
        """The hosts that a file last held; none before it was first read."""
        return self._found.get((tenant_id, pool), ((), ()))

    def _drop(self, key: tuple[str, str]) -> None:
        del self._files[key]
        self._found.pop(key, None)
        self._stamps.pop(key, None)
        self._round.remove(key)

    def _look(self) -> None:
        self._timer = self._loop.call_later(LOOK_S, self._look)
        for _ in range(min(LOOKS, len(self._round))):
            key = self._round[0]
            self._round.rotate(-1)
            if self._read(key):
                self._changed(key[0])

    def _read(self, key: tuple[str, str]) -> bool:
        """Read a file that is not as it was; whether its hosts are others now.

        Any difference counts, not only a later time: a file may be put back, and clocks are set back.
        """
        path = self._files[key]
        stamp: Stamp
        try:
            status = os.stat(path)
            stamp = (status.st_mtime_ns, status.st_size, status.st_ino)
        except OSError:
            stamp = None
        if key in self._stamps and self._stamps[key] == stamp:
            return False
        self._stamps[key] = stamp
        try:
            hosts = load_hosts(Path(path), key[1])
        except ConfigFaultsError as error:
            log.error("tenant %s: the hosts of pool %s are kept: %s", key[0], key[1], error)
            return False
        changed = hosts != self._found.get(key)
        self._found[key] = hosts
        return changed
