"""Watches hosts files by polling; an invalid file leaves the pool's hosts unchanged."""

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

CHECK_INTERVAL_S = 0.25
FILES_PER_CHECK = 250  # a thousand files per second, each check blocking the loop for about a millisecond

Hosts = tuple[tuple[api.Endpoint, ...], tuple[tuple[str, Address], ...]]


@dataclass(slots=True, eq=False)
class _File:
    """A watched hosts file."""

    tenant: str
    pool: str
    path: str
    stamp: tuple[int, int, int] | None = None  # modification time in ns, size and inode; None: not readable
    was_read: bool = False  # the version with this stamp has been read
    last_fault: str = ""  # last error that was logged
    hosts: Hosts = ((), ())


class HostFiles:
    """Watches the hosts files of all tenants' pools."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address_book: AddressBook,
        on_hosts_changed: Callable[[str], None],
    ) -> None:
        self._loop, self._address_book, self._on_hosts_changed = loop, address_book, on_hosts_changed
        self._files: dict[str, dict[str, _File]] = {}  # files by tenant and pool
        self._check_order: deque[_File] = deque()
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start polling."""
        self._timer = self._loop.call_later(CHECK_INTERVAL_S, self._check_files)

    def stop(self) -> None:
        """Stop polling."""
        if self._timer is not None:
            self._timer.cancel()

    def watch(self, tenant: Tenant) -> None:
        """Watch the hosts files of a tenant's pools, and stop watching any other files of the tenant."""
        paths = {pool.name: pool.hosts_file for pool in tenant.pools if pool.hosts_file}
        files = self._files.setdefault(tenant.id, {})
        for file in [file for file in files.values() if paths.get(file.pool) != file.path]:
            self._unwatch(file)
        for pool, path in paths.items():
            if pool not in files:
                files[pool] = _File(tenant.id, pool, path)
                self._check_order.append(files[pool])
                self._read(files[pool])
        if not files:
            del self._files[tenant.id]

    def unwatch(self, tenant_id: str) -> None:
        """Stop watching all files of a tenant."""
        for file in list(self._files.get(tenant_id, {}).values()):
            self._unwatch(file)
        self._files.pop(tenant_id, None)

    def hosts(self, tenant_id: str, pool: str) -> Hosts:
        """The hosts of a file's last valid version; none before it was first read."""
        file = self._files.get(tenant_id, {}).get(pool)
        return file.hosts if file is not None else ((), ())

    def _unwatch(self, file: _File) -> None:
        del self._files[file.tenant][file.pool]
        self._check_order.remove(file)
        self._address_book.release((file.tenant, file.path))

    def _check_files(self) -> None:
        self._timer = self._loop.call_later(CHECK_INTERVAL_S, self._check_files)
        for _ in range(min(FILES_PER_CHECK, len(self._check_order))):
            file = self._check_order[0]
            self._check_order.rotate(-1)
            if self._read(file):
                self._on_hosts_changed(file.tenant)

    def _read(self, file: _File) -> bool:
        """Read a file if its status changed; returns whether its hosts changed.

        Any difference counts, not only a later modification time: an old file may be restored, and clocks may
        be set back.
        """
        stamp: tuple[int, int, int] | None
        try:
            status = os.stat(file.path)
            stamp = (status.st_mtime_ns, status.st_size, status.st_ino)
        except OSError:
            stamp = None
        if file.was_read and file.stamp == stamp:
            return False
        file.was_read, file.stamp = True, stamp
        try:
            hosts = load_hosts(Path(file.path), file.pool)
            addresses = [address for _, address in hosts[1]]
            conflicts = self._address_book.held_by_others(file.tenant, addresses)
            if conflicts:
                file.was_read = False  # check again: the other tenant may release the addresses later
                raise ConfigFaultsError(
                    [
                        Fault(
                            file.path, "hosts", f"found {host}:{port}, which is a host of tenant {other[0]!r}"
                        )
                        for (host, port), other in conflicts.items()
                    ]
                )
        except ConfigFaultsError as error:
            if str(error) != file.last_fault:
                file.last_fault = str(error)
                log.error(
                    "tenant %s: hosts file of pool %s rejected, previous hosts are kept: %s",
                    file.tenant,
                    file.pool,
                    error,
                )
            return False
        file.last_fault = ""
        self._address_book.claim((file.tenant, file.path), addresses)
        changed, file.hosts = hosts != file.hosts, hosts
        return changed
