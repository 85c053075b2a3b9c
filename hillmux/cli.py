"""The command line `hillmux`. A command imports the modules that only it needs when it runs."""

from __future__ import annotations

import asyncio
import logging
import sys
from pathlib import Path
from typing import NoReturn

import click

from hillmux.hosted.config import ConfigFaultsError, check_files, load
from hillmux.lab.commands import lab
from hillmux.net.log_setup import LogRateLimit, set_up_log
from hillmux.recovery.commands import snapshot
from hillmux.tenants.model import ServiceConfig

EXIT_INVALID = 2  # an invalid configuration or address
COUNTER_LOG_LINES_PER_S = 50
MAX_PORT = 65535


@click.group(epilog="Example: hillmux demo")
@click.version_option(package_name="hillmux", prog_name="hillmux")
def main() -> None:
    """An API gateway for many tenants, whose partners share fleets of hosts under quotas."""


@main.command(epilog="Example: hillmux serve --config examples/one-tenant.toml")
@click.option(
    "--config",
    "path",
    required=True,
    type=click.Path(path_type=Path),
    metavar="FILE",
    help="The configuration, in TOML.",
)
def serve(path: Path) -> None:
    """Serve the tenants of a configuration.

    SIGHUP reads the file anew; SIGTERM finishes what was taken and ends with 0. A configuration with faults
    ends it with 2, each fault on a line of its own.
    """
    import uvloop

    from hillmux.hosted.serve import serve as run

    config = _load(path)
    _set_up_log(config.name, config.limits.log_lines)
    try:
        uvloop.run(run(path, config))
    except OSError as error:
        _exit_invalid(f"{path}: {error}")


@main.command(epilog="Example: hillmux check examples/one-tenant.toml")
@click.argument("path", type=click.Path(path_type=Path), metavar="FILE")
def check(path: Path) -> None:
    """Look a configuration over and tell every fault in it, without starting anything."""
    config = _load(path)
    faults = check_files(config)
    if faults:
        _exit_invalid("\n".join(faults))
    pools = [pool for tenant in config.tenants for pool in tenant.pools]
    click.echo(
        f"{path}: sound: {len(config.tenants)} tenants, {sum(len(t.routes) for t in config.tenants)} routes, "
        f"{sum(len(p.servers) for p in pools)} hosts, {sum(bool(p.hosts_file) for p in pools)} files of hosts"
    )


@main.command(epilog="Example: hillmux counter --listen 127.0.0.1:6400")
@click.option(
    "--listen", required=True, metavar="HOST:PORT", help="The address; port 0 lets the system choose."
)
@click.option(
    "--names",
    default=1_000_000,
    show_default=True,
    type=click.IntRange(min=1),
    help="The most names that are held at once.",
)
def counter(listen: str, names: int) -> None:
    """Keep counts for several gateways, by the counter's published protocol. They are lost when it ends."""
    import uvloop

    host, colon, port = listen.rpartition(":")
    if not colon or not host or not port.isdigit() or int(port) > MAX_PORT:
        _exit_invalid(f"--listen: found {listen!r}, expected HOST:PORT, with a port from 0 to 65535")
    _set_up_log("counter", COUNTER_LOG_LINES_PER_S)
    try:
        uvloop.run(_run_counter(host.strip("[]"), int(port), names))
    except OSError as error:
        _exit_invalid(f"--listen: {error}")


@main.command(epilog="Example: hillmux demo --seconds 20")
@click.option(
    "--seconds",
    default=20.0,
    show_default=True,
    type=click.FloatRange(6, 600),
    help="How long the traffic lasts.",
)
@click.option(
    "--plain", is_flag=True, help="A plain log instead of the live table, as where there is no terminal."
)
def demo(seconds: float, plain: bool) -> None:
    """Start a gateway with three tenants and stand-in booking nodes, flood one tenant, remove another."""
    import uvloop

    from hillmux.demo.run import run

    sys.exit(uvloop.run(run(seconds, plain or not sys.stdout.isatty())))


main.add_command(lab)
main.add_command(snapshot)


async def _run_counter(host: str, port: int, names: int) -> None:
    import signal

    from hillmux.counter import Store
    from hillmux.counter.service import CounterServer

    loop = asyncio.get_running_loop()
    server = CounterServer(Store(names), loop)
    address = await server.start(host, port)
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    logging.info("listening on %s:%d", *address)
    await stopped.wait()
    server.stop()


def _load(path: Path) -> ServiceConfig:
    try:
        return load(path)
    except ConfigFaultsError as error:
        _exit_invalid(str(error))


def _set_up_log(name: str, lines_per_s: int) -> None:
    set_up_log(name)
    for handler in logging.getLogger().handlers:
        handler.filters.clear()
        handler.addFilter(LogRateLimit(2 * lines_per_s))  # in addition to the limit on each tenant's lines


def _exit_invalid(text: str) -> NoReturn:
    click.echo(text, err=True)
    sys.exit(EXIT_INVALID)


if __name__ == "__main__":
    main()
