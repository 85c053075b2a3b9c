"""Files of hosts, looked at again and again; a file that is no good leaves the hosts as they were."""

from __future__ import annotations

import asyncio
import logging
import os
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from hillmux import interface as api
from hillmux.hosted.config import ConfigFaultsError, Fault, load_hosts
from hillmux.tenants.addresses import AddressBook
from hillmux.tenants.model import Address, Tenant

log = logging.getLogger(__name__)

LOOK_S = 0.25
LOOKS = 250  # files looked at in one go: a thousand a second, and the loop is held for about a millisecond

Hosts = tuple[tuple[api.Endpoint, ...], tuple[tuple[str, Address], ...]]


@dataclass(slots=True, eq=False)
class _File:
    tenant: str
    pool: str
    path: str
    stamp: tuple[int, int, int] | None = None
    read: bool = False
    fault: str = ""  # the last one that was told
    hosts: Hosts = ((), ())


class HostFiles:
    """Watches the files of all tenants' pools."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, book: AddressBook, changed: Callable[[str], None]
    ) -> None:
        self._loop, self._book, self._changed = loop, book, changed
        self._files: dict[str, dict[str, _File]] = {}  # by tenant and pool
        self._round: deque[_File] = deque()
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
        wanted = {pool.name: pool.hosts_file for pool in tenant.pools if pool.hosts_file}
        files = self._files.setdefault(tenant.id, {})
        for file in [file for file in files.values() if wanted.get(file.pool) != file.path]:
            self._drop(file)
        for pool, path in wanted.items():
            if pool not in files:
                files[pool] = _File(tenant.id, pool, path)
                self._round.append(files[pool])
                self._read(files[pool])
        if not files:
            del self._files[tenant.id]

    def forget(self, tenant_id: str) -> None:
        """A tenant that is gone."""
        for file in list(self._files.get(tenant_id, {}).values()):
            self._drop(file)
        self._files.pop(tenant_id, None)

    def hosts(self, tenant_id: str, pool: str) -> Hosts:
        """The hosts that a file last held; none before it was first read."""
        file = self._files.get(tenant_id, {}).get(pool)
        return file.hosts if file is not None else ((), ())

    def _drop(self, file: _File) -> None:
        del self._files[file.tenant][file.pool]
        self._round.remove(file)
        self._book.release((file.tenant, file.path))

    def _look(self) -> None:
        self._timer = self._loop.call_later(LOOK_S, self._look)
        for _ in range(min(LOOKS, len(self._round))):
            file = self._round[0]
            self._round.rotate(-1)
            if self._read(file):
                self._changed(file.tenant)

    def _read(self, file: _File) -> bool:
        """Read a file that is not as it was; whether its hosts are others now.

        Any difference counts, not only a later time: a file may be put back, and clocks are set back.
        """
        stamp: tuple[int, int, int] | None
        try:
            status = os.stat(file.path)
            stamp = (status.st_mtime_ns, status.st_size, status.st_ino)
        except OSError:
            stamp = None
        if file.read and file.stamp == stamp:
            return False
        file.read, file.stamp = True, stamp
        try:
            hosts = load_hosts(Path(file.path), file.pool)
            addresses = [address for _, address in hosts[1]]
            taken = self._book.held_by_others(file.tenant, addresses)
            if taken:
                file.read = False  # the other may let them go while this file stays as it is
                raise ConfigFaultsError(
                    [
                        Fault(
                            file.path, "hosts", f"found {host}:{port}, which is a host of tenant {other[0]!r}"
                        )
                        for (host, port), other in taken.items()
                    ]
                )
        except ConfigFaultsError as error:
            if str(error) != file.fault:
                file.fault = str(error)
                log.error("tenant %s: the hosts of pool %s are kept: %s", file.tenant, file.pool, error)
            return False
        file.fault = ""
        self._book.claim((file.tenant, file.path), addresses)
        changed, file.hosts = hosts != file.hosts, hosts
        return changed
