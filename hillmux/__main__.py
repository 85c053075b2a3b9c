"""One gateway: start-up, signals, exit."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys

import uvloop

from hillmux.decision import gateway as policy
from hillmux.net.config import Config, ConfigError, load
from hillmux.net.platform_gateway import Node
from hillmux.net.shutdown import Shutdown, set_up_log
from hillmux.net.streaming import FlowServer

GC_ALLOCATIONS = 20_000


def _node(config: Config, loop: asyncio.AbstractEventLoop) -> Node:
    """The node that a configuration asks for; operators' calls and snapshots cost nothing where off."""
    if config.keep is not None:
        from hillmux.recovery.snapshotting_gateway import SnapshottingGateway

        return SnapshottingGateway(config, loop)
    if config.operator is None:
        return Node(config, loop)
    from hillmux.net.managed_gateway import OperatedNode

    return OperatedNode(config, loop)


def _reload(core: Node, server: FlowServer, started: Config) -> None:
    """SIGHUP: a file that is no good changes nothing."""
    try:
        config = load(os.environ, before=started)
    except ConfigError as error:
        logging.error("reload: the configuration is kept: %s", error)
        core.not_reloaded()
        return
    core.reload(config)
    server.read_terms()
    logging.info(
        "reloaded: discovery %s:%d, %d classes, %d attempts",
        *config.discovery,
        len(config.settings.classes),
        config.settings.max_attempts,
    )


async def serve(config: Config) -> None:
    """Run until SIGTERM or SIGINT has been served."""
    loop = asyncio.get_running_loop()
    core = _node(config, loop)
    server = FlowServer(core, loop, config.sockets)
    shutdown = Shutdown(core, server, loop)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, shutdown.begin)
    loop.add_signal_handler(signal.SIGHUP, _reload, core, server, config)
    core.start()
    await core.listen(config.operator)
    ((host, port),) = await core.open(server, config.listen)
    compiled = not str(policy.__file__).endswith(".py")
    logging.info("the decision module runs %s", "compiled" if compiled else "as Python source")
    logging.info("listening on %s:%d", host, port)
    gc.freeze()
    gc.set_threshold(GC_ALLOCATIONS)  # requests leave next to no cycles: look for them seldom
    await shutdown.done.wait()
    # Guards the exit status: the loop's handlers go first, and a SIGHUP without one ends the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    core.stop()


def main() -> int:
    """0 after a drain; 2 with one plain line if the configuration is no good or the address is taken."""
    try:
        config = load(os.environ)
    except ConfigError as error:
        print(error, file=sys.stderr)
        return 2
    set_up_log(config.name)
    try:
        uvloop.run(serve(config))
    except OSError as error:
        print(f"listen: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
