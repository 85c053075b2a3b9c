"""A process that serves a configuration: start, signals, end."""

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

GC_ALLOCATIONS = 20_000
SWITCH_S = 0.0005  # how long the reading thread may keep the loop waiting
LOCK = "hillmux.lock"


class StateFolder:
    """The folder of one process: a second one that would use it is told so."""

    def __init__(self, path: str) -> None:
        self._path = path
        self._lock: int | None = None

    def open(self) -> None:
        """Make the folder if need be, and hold it; OSError if it is in use or cannot be written."""
        if not self._path:
            return
        Path(self._path).mkdir(parents=True, exist_ok=True)
        self._lock = os.open(Path(self._path) / LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            raise OSError(f"state_folder: {self._path} is in use by another process") from None

    def close(self) -> None:
        """Let go of it."""
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None


class Reloader:
    """SIGHUP: reads the file anew and goes over to it, one reading after another, the last one last."""

    def __init__(self, path: Path, service: Service) -> None:
        self._path, self._service = path, service
        self._task: asyncio.Task[None] | None = None
        self._again = False

    def ask(self) -> None:
        """The signal."""
        if self._task is not None and not self._task.done():
            self._again = True  # what the file says now may have come after it was read
            return
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        while True:
            self._again = False
            try:
                prepared = await self._prepare()
                self._service.carry_out(prepared)
                log.info("reloaded: %d tenants", len(prepared.config.tenants))
            except ConfigFaultsError as error:
                log.error("reload: the configuration is kept: %s", error)
            except Exception:
                log.exception("reload: failed")
            if not self._again:
                return

    async def _prepare(self) -> Prepared:
        """Read and compare in another thread, while the loop goes on serving.

        Guards the requests of all tenants against a stall: with 10,000 tenants the compiled reader held the
        loop for half a second, a collection of all that was read for a tenth.
        """
        interval = sys.getswitchinterval()
        sys.setswitchinterval(SWITCH_S)
        gc.disable()
        try:
            return await asyncio.to_thread(_read_gently, self._path, self._service.tenants())
        finally:
            gc.enable()
            sys.setswitchinterval(interval)


def _read_gently(path: Path, before: dict[str, Tenant]) -> Prepared:
    """Read a configuration with the reader that lets other threads run; the compiled one holds them up."""
    return Service.prepare(load(path, gently=True), before)


def allowed_sockets(wanted: int) -> int:
    """The descriptors that the process may use: the system's own limit may be lower."""
    allowed = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return wanted if allowed == resource.RLIM_INFINITY else min(wanted, allowed)


async def serve(
    path: Path, config: ServiceConfig, listening: Callable[[list[Address]], None] | None = None
) -> None:
    """Run until SIGTERM or SIGINT has been served. OSError if an address or the state folder is taken."""
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
        loop.add_signal_handler(signal.SIGHUP, reloader.ask)
        for host, port in addresses:
            log.info("listening on %s:%d", host, port)
        if listening is not None:
            listening(addresses)
        gc.freeze()
        gc.set_threshold(GC_ALLOCATIONS)  # requests leave next to no cycles: look for them seldom
        await shutdown.done.wait()
        signal.pthread_sigmask(
            signal.SIG_BLOCK, {signal.SIGHUP}
        )  # without a handler it would end the process
    finally:
        service.stop()
        folder.close()
