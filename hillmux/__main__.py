"""The gateway process on the platform: start, signals and exit status."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
from typing import Final

import uvloop

from hillmux.decision import gateway as decision_module
from hillmux.net.config import ConfigError, GatewayConfig, load
from hillmux.net.log_setup import set_up_log
from hillmux.net.platform_gateway import PlatformGateway
from hillmux.net.shutdown import Shutdown
from hillmux.net.streaming_client import StreamingListener

# Requests leave hardly any reference cycles, so the garbage collector can run less often than by default.
GC_ALLOCATIONS: Final = 20_000
EXIT_CANNOT_START: Final = 2


def _new_gateway(config: GatewayConfig, loop: asyncio.AbstractEventLoop) -> PlatformGateway:
    """Create the gateway for a configuration; modules that it does not need are not imported."""
    if config.snapshots is not None:
        from hillmux.recovery.snapshotting_gateway import SnapshottingGateway

        return SnapshottingGateway(config, loop)
    if config.operator_address is None:
        return PlatformGateway(config, loop)
    from hillmux.net.managed_gateway import ManagedGateway

    return ManagedGateway(config, loop)


def _reload(gateway: PlatformGateway, server: StreamingListener, started: GatewayConfig) -> None:
    """Handle SIGHUP: reload the configuration; an invalid one changes nothing."""
    try:
        config = load(os.environ, initial=started)
    except ConfigError as error:
        logging.error("reload: the configuration is kept: %s", error)
        gateway.reload_rejected()
        return
    gateway.reload(config)
    server.reload_settings()
    logging.info(
        "reloaded: discovery %s:%d, %d classes, %d attempts",
        *config.discovery,
        len(config.settings.classes),
        config.settings.max_attempts,
    )


async def serve(config: GatewayConfig) -> None:
    """Serve until a graceful shutdown, started by SIGTERM or SIGINT, is complete."""
    loop = asyncio.get_running_loop()
    gateway = _new_gateway(config, loop)
    server = StreamingListener(gateway, loop, config.max_sockets, gateway.memory)
    shutdown = Shutdown(gateway, server, loop)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, shutdown.begin)
    loop.add_signal_handler(signal.SIGHUP, _reload, gateway, server, config)
    gateway.start()
    await gateway.listen(config.operator_address)
    ((host, port),) = await gateway.open(server, config.listen)
    compiled = not str(decision_module.__file__).endswith(".py")
    logging.info("the decision module runs %s", "compiled" if compiled else "as Python source")
    logging.info("listening on %s:%d", host, port)
    gc.freeze()
    gc.set_threshold(GC_ALLOCATIONS)
    gateway.measure_memory(server.memory_waiters)
    await shutdown.done.wait()
    # The loop removes its signal handlers before the process exits. A SIGHUP in between would kill the
    # process, and the exit status would be that of a failure.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    gateway.stop()


def main() -> int:
    """Return the exit status: 0 after a graceful shutdown, 2 for a bad configuration or address in use."""
    try:
        config = load(os.environ)
    except ConfigError as error:
        print(error, file=sys.stderr)
        return EXIT_CANNOT_START
    set_up_log(config.name)
    try:
        uvloop.run(serve(config))
    except OSError as error:
        print(f"listen: {error}", file=sys.stderr)
        return EXIT_CANNOT_START
    return 0


if __name__ == "__main__":
    sys.exit(main())
