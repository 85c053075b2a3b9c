"""The core on real sockets with a script in the module's place, and a hold on what it dials."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import pytest
from conftest import GRADES, LOOP, PACKAGES, Fake, instance

from hillmux import interface as api
from hillmux.interface import ListKind
from hillmux.net import event_dispatcher
from hillmux.net.config import parse
from hillmux.net.forward_request import ForwardRequest
from hillmux.net.gateway_core import GatewayCore
from hillmux.net.platform_gateway import PlatformGateway


class Script:
    """Stands in for the module: records events and plays actions."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.events: list[api.Event] = []
        self.plan: dict[type, list[api.Action] | Exception] = {}

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        self.events.append(event)
        actions = self.plan.pop(type(event), [])
        if isinstance(actions, Exception):
            raise actions
        return actions

    def outcomes(self) -> list[str]:
        return [e.result for e in self.events if isinstance(e, api.AttemptEnded)]


class Answers:
    """A client that notes what it is answered."""

    def __init__(self) -> None:
        self.got: asyncio.Queue[int] = asyncio.Queue()

    def answer(
        self, status: int, body: bytes = b"", content_type: bytes = b"", retry_after_ms: float = 0.0
    ) -> None:
        self.got.put_nowait(status)

    def has_disconnected(self, behind: bool) -> bool:
        return False


def an_order(deadline_ms: float = 5000) -> ForwardRequest:
    an_order.serial += 1
    return ForwardRequest(
        b"%d" % an_order.serial,
        "pay",
        "team",
        "0" * 16,
        deadline_ms,
        1,
        1,
        0,
        False,
        time.monotonic(),
        b"POST /api/0 HTTP/1.1\r\nX-Request-Id: a\r\nContent-Length: 0\r\n",
        b"",
    )


an_order.serial = 0


async def core_with(monkeypatch: pytest.MonkeyPatch, host: Fake) -> tuple[GatewayCore, Script]:
    """A core whose module is a script and whose one host is `s-0`; discovery does not answer."""
    monkeypatch.setattr(event_dispatcher, "Gateway", Script)
    await host.start()
    config = parse(
        {
            "listen": f"{LOOP}:0",
            "discovery": f"{LOOP}:{host.port}",
            "seed": "1",
            "known": {"generation": 1, "reset": True, "instances": [instance("s-0", host.port)]},
            "settings": {"grades": GRADES, "packages": PACKAGES, "bounds": {"try_limit": 2}},
        }
    )
    core = PlatformGateway(config, asyncio.get_running_loop())
    core.apply_endpoints(config.known_endpoints, ListKind.CACHED)
    core.loop.call_soon(core.loop_lag.heartbeat)
    return core, core.decision_module


class HeldDials:
    """A loop whose dials come up when the test says so: what happens meanwhile has happened before."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self.asked = asyncio.Event()  # a dial is under way
        self.go = asyncio.Event()

    async def create_connection(self, *args: Any, **named: Any) -> Any:
        self.asked.set()
        await self.go.wait()
        return await self._loop.create_connection(*args, **named)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._loop, name)
