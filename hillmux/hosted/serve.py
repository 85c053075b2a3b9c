"""Runs the hosted service as a process: start, reload on SIGHUP, graceful shutdown."""

from __future__ import annotations

import asyncio
import fcntl
import gc
import logging
import os
import resource
import signal
import sys
from collections.abc import Callable
from pathlib import Path

from hillmux.hosted.config import ConfigFaultsError, load
from hillmux.hosted.service import Prepared, Service
from hillmux.hosted.tenant_listener import TenantListener
from hillmux.net.shutdown import Shutdown
from hillmux.tenants.model import Address, ServiceConfig, Tenant

log = logging.getLogger(__name__)

GC_THRESHOLD = 20_000  # allocations between garbage collections
SWITCH_INTERVAL_S = 0.0005  # how long the thread that reads the configuration may hold up the loop
LOCK_FILE = "hillmux.lock"


class StateFolder:
    """The state folder of a process; a lock keeps a second process from using it."""

    def __init__(self, path: str) -> None:
        self._path = path
        self._lock: int | None = None

    def open(self) -> None:
        """Create the folder if needed and lock it; OSError if it is in use or cannot be written."""
        if not self._path:
            return
        Path(self._path).mkdir(parents=True, exist_ok=True)
        self._lock = os.open(Path(self._path) / LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            raise OSError(f"state_folder: {self._path} is in use by another process") from None

    def close(self) -> None:
        """Release the lock."""
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None


class Reloader:
    """Reloads the configuration file on SIGHUP, one reload at a time; the latest file takes effect last."""

    def __init__(self, path: Path, service: Service) -> None:
        self._path, self._service = path, service
        self._task: asyncio.Task[None] | None = None
        self._reload_pending = False

    def request_reload(self) -> None:
        """Reload, after the running reload if there is one."""
        if self._task is not None and not self._task.done():
            self._reload_pending = True  # the file may have changed since the running reload read it
            return
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        while True:
            self._reload_pending = False
            try:
                prepared = await self._prepare()
                self._service.apply_prepared(prepared)
                log.info("reloaded: %d tenants", len(prepared.config.tenants))
            except ConfigFaultsError as error:
                log.error("reload: file rejected, the previous configuration is kept: %s", error)
            except Exception:
                log.exception("reload: failed")
            if not self._reload_pending:
                return

    async def _prepare(self) -> Prepared:
        """Read the file and compare it in another thread while the loop keeps serving.

        Prevents a stall of all tenants' requests: with 10,000 tenants the compiled parser blocks the loop for
        half a second, and a garbage collection of the parsed file for a tenth of a second.
        """
        interval = sys.getswitchinterval()
        sys.setswitchinterval(SWITCH_INTERVAL_S)
        gc.disable()
        try:
            return await asyncio.to_thread(_read_and_prepare, self._path, self._service.tenants())
        finally:
            gc.enable()
            sys.setswitchinterval(interval)


def _read_and_prepare(path: Path, before: dict[str, Tenant]) -> Prepared:
    """Read a configuration with the parser in pure Python, since the compiled one blocks other threads."""
    return Service.prepare(load(path, pure_python=True), before)


def allowed_sockets(configured: int) -> int:
    """The number of descriptors that the process may use: the system's limit if it is below `configured`."""
    allowed = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return configured if allowed == resource.RLIM_INFINITY else min(configured, allowed)


async def serve(
    path: Path, config: ServiceConfig, on_listening: Callable[[list[Address]], None] | None = None
) -> None:
    """Serve until SIGTERM or SIGINT and the graceful shutdown that follows.

    Raises:
        OSError: an address or the state folder is in use.
    """
    loop = asyncio.get_running_loop()
    folder = StateFolder(config.state_folder)
    folder.open()
    service = Service(config, loop)
    server = TenantListener(service, loop, allowed_sockets(config.limits.sockets))
    shutdown = Shutdown(service, server, loop, config.drain_s)
    reloader = Reloader(path, service)
    try:
        service.start()
        addresses = server.start(*config.listeners)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, shutdown.begin)
        loop.add_signal_handler(signal.SIGHUP, reloader.request_reload)
        for host, port in addresses:
            log.info("listening on %s:%d", host, port)
        if on_listening is not None:
            on_listening(addresses)
        gc.freeze()
        gc.set_threshold(GC_THRESHOLD)  # requests create few reference cycles: collect rarely
        await shutdown.done.wait()
        # Without the loop's handler SIGHUP would end the process.
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    finally:
        service.stop()
        folder.close()
