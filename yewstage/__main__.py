"""One gateway: start-up, signals, exit."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
import time

import uvloop

from yewstage.net.clients import Server
from yewstage.net.config import Config, ConfigError, load
from yewstage.net.core import Core

ACCEPT_S = 0.5  # after SIGTERM, connections still come for 0.4 s
LONGEST_S = 3.0  # SIGKILL comes 0.7 s after the longest deadline, or this if that is less, at the soonest
LAST_S = 0.4
CHECK_S = 0.02
LINES_PER_S = 20
GC_ALLOCATIONS = 20_000


class RateLimit(logging.Filter):
    """Guards the log and the CPU: so many lines a second, then a count of those left out."""

    def __init__(self) -> None:
        super().__init__()
        self._second, self._lines = 0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        second = int(time.monotonic())
        if second != self._second:
            if self._lines > LINES_PER_S:
                sys.stderr.write(f"{self._lines - LINES_PER_S} lines left out\n")
            self._second, self._lines = second, 0
        self._lines += 1
        return self._lines <= LINES_PER_S


def _set_up_log(name: str) -> None:
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(logging.Formatter(f"%(asctime)s {name} %(levelname)s %(message)s"))
    handler.addFilter(RateLimit())
    logging.basicConfig(level=logging.INFO, handlers=[handler])


class Shutdown:
    """SIGTERM: accept a little longer, finish what was taken, then end."""

    def __init__(self, core: Core, server: Server, loop: asyncio.AbstractEventLoop) -> None:
        self._core, self._server, self._loop = core, server, loop
        self.done = asyncio.Event()
        longest = max(c.deadline_ms for c in core.settings.classes) / 1000
        self._last_s = min(longest, LONGEST_S) + LAST_S

    def begin(self) -> None:
        """The signal."""
        if self._core.draining:
            return
        logging.info("draining")
        self._core.draining = True
        self._loop.call_later(ACCEPT_S, self._stop_accepting)
        self._loop.call_later(self._last_s, self._end)

    def _stop_accepting(self) -> None:
        self._server.stop_accepting()
        self._check()

    def _check(self) -> None:
        # An answer closes its connection while we drain, so with the last connection all is answered.
        if self._server.close_idle():
            self.done.set()
        else:
            self._loop.call_later(CHECK_S, self._check)

    def _end(self) -> None:
        # Guards against SIGKILL: what is open then would be lost, an answer now is none too late.
        self._core.fail_all()
        self._loop.call_later(CHECK_S, self.done.set)


def _reload(core: Core) -> None:
    """SIGHUP: a file that is no good changes nothing."""
    try:
        config = load(os.environ, again=True)
    except ConfigError as error:
        logging.error("reload: the configuration is kept: %s", error)
        return
    core.reload(config)
    logging.info("reloaded: discovery %s:%d", *config.discovery)


async def serve(config: Config) -> None:
    """Run until SIGTERM or SIGINT has been served."""
    loop = asyncio.get_running_loop()
    core = Core(config, loop)
    server = Server(core, loop, config.sockets)
    shutdown = Shutdown(core, server, loop)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, shutdown.begin)
    loop.add_signal_handler(signal.SIGHUP, _reload, core)
    core.start()
    host, port = server.start(config.listen)
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
    _set_up_log(config.name)
    try:
        uvloop.run(serve(config))
    except OSError as error:
        print(f"listen: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
