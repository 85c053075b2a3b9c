"""One gateway: start-up, signals, exit."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys

import uvloop

from yewstage import policy
from yewstage.net.config import Config, ConfigError, load
from yewstage.net.flows import FlowServer
from yewstage.net.life import Shutdown, set_up_log
from yewstage.net.node import Node

GC_ALLOCATIONS = 20_000


def _node(config: Config, loop: asyncio.AbstractEventLoop) -> Node:
    """The node that a configuration asks for; operators' calls and snapshots cost nothing where off."""
    if config.keep is not None:
        from yewstage.recovery.node import KeptNode

        return KeptNode(config, loop)
    if config.operator is None:
        return Node(config, loop)
    from yewstage.net.operated import OperatedNode

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
        config.settings.try_limit,
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
