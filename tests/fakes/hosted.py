"""The hosted service in the test's own event loop, between fake hosts and scripted clients."""

from __future__ import annotations

import asyncio
from typing import Any

from conftest import Behave, FakeServer, Seen, read_message

from fakes.tenants import config, table
from hillmux.hosted.service import Service
from hillmux.hosted.tenant_listener import TenantListener
from hillmux.tenants.model import ServiceConfig


class Hosted:
    """A service on a free port; each tenant has a fake host of its own."""

    def __init__(self, *tenants: str, behave: Behave | None = None, **overrides: Any) -> None:
        self.tenants, self.overrides = list(tenants), overrides
        self.per_tenant: dict[str, dict[str, Any]] = {}
        self.hosts = {name: FakeServer(behave or serve) for name in tenants}

    async def __aenter__(self) -> Hosted:
        for host in self.hosts.values():
            await host.start()
        self.service = Service(self.config(), asyncio.get_running_loop(), seed=7)
        self.server = TenantListener(
            self.service, asyncio.get_running_loop(), self.service.config.limits.sockets
        )
        self.service.start()
        ((_, self.port),) = self.server.start(("127.0.0.1", 0))
        return self

    def config(self) -> ServiceConfig:
        """The configuration of the current tenants."""
        return config(
            *(
                table(
                    name,
                    *([self.hosts[name].port] if name in self.hosts else []),
                    **self.per_tenant.get(name, {}),
                )
                for name in self.tenants
            ),
            **self.overrides,
        )

    def apply(self, *tenants: str, **per_tenant: dict[str, Any]) -> None:
        """Apply a configuration with these tenants."""
        self.tenants, self.per_tenant = list(tenants), {**self.per_tenant, **per_tenant}
        self.service.apply(self.config())

    async def __aexit__(self, *exc: object) -> None:
        self.server.stop_accepting()
        for connection in list(self.server.connections):
            connection.transport.abort()
        self.service.stop()
        for host in self.hosts.values():
            host.stop()
        await asyncio.sleep(0)

    async def connect(self) -> Client:
        """Open a client connection."""
        return Client(*await asyncio.open_connection("127.0.0.1", self.port))

    async def open_request(self, data: bytes, tenant: str = "a") -> Client:
        """Write requests on a new connection, and wait until the tenant's host has received one."""
        client = await self.connect()
        client.writer.write(data)
        await self.wait_until(lambda: self.hosts[tenant].seen)
        return client

    async def fetch(self, data: bytes) -> Seen:
        """Send a request on a new connection and return its response."""
        client = await self.connect()
        try:
            return await client.fetch(data)
        finally:
            client.writer.close()

    async def status(self, data: bytes) -> int:
        """Send a request on a new connection and return the status of its response."""
        return status(await self.fetch(data))

    async def wait_until(self, condition: Any) -> None:
        """Wait until a condition holds; the test's own time-out ends a wait in vain."""
        while not condition():
            await asyncio.sleep(0.005)


class Client:
    """A client connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def fetch(self, data: bytes) -> Seen:
        """Send a request and return its response."""
        self.writer.write(data)
        return await self.read()

    async def read(self) -> Seen:
        """Read the next response."""
        return await read_message(self.reader, self.writer)


def serve(seen: Seen) -> bytes:
    """The behaviour of a host that serves at once."""
    return b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok"


def status(seen: Seen) -> int:
    """The status of a response."""
    return int(seen.line.split()[1])


def request(
    tenant: str = "a",
    target: str = "/api/p1",
    method: str = "GET",
    host: str | None = None,
    version: str = "1.1",
    body: str = "",
    **headers: str,
) -> bytes:
    """Encode a request; an empty `host` omits the Host header."""
    host = f"{tenant}.example" if host is None else host
    lines = [f"{method} {target} HTTP/{version}"] + ([f"Host: {host}"] if host else [])
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n" + body).encode()
