"""A discovery watch connected to a fake agent with scripted responses."""

from __future__ import annotations

import asyncio
import json

from conftest import LOOP, FakeServer, Seen, instance, reply

from hillmux.net.discovery_response import DiscoveryResponse
from hillmux.net.discovery_watch import DiscoveryWatch


def listing(generation: int, *names: str, is_full: bool = True) -> bytes:
    raw = {"generation": generation, "reset": is_full, "instances": [instance(n, 1) for n in names]}
    return reply(json.dumps(raw).encode())


class ScriptedDiscovery:
    """A fake agent and the watch that polls it.

    Each request gets the next of `answers`: the bytes of a response, None to send nothing, or b"" to reset
    the connection. After the last one nothing is sent.
    """

    def __init__(self, *answers: bytes | None) -> None:
        self.answers = list(answers)
        self.fake = FakeServer(self._behave)
        self.responses: asyncio.Queue[DiscoveryResponse] = asyncio.Queue()

    def _behave(self, seen: Seen) -> bytes | None:
        return self.answers.pop(0) if self.answers else None

    async def start(self, generation: int = 0) -> ScriptedDiscovery:
        await self.fake.start()
        self.discovery = DiscoveryWatch(
            asyncio.get_running_loop(), (LOOP, self.fake.port), self.responses.put_nowait, generation, 1
        )
        self.discovery.start()
        return self

    def waits(self) -> list[int]:
        """The `wait_ms` of each request, in milliseconds; -1 for a request of the full list."""
        return [int(seen.line.split()[1].partition("wait_ms=")[2] or -1) for seen in self.fake.seen]

    def asked(self) -> list[str]:
        """The path and first query parameter of each request, without `wait_ms`."""
        return [seen.line.split()[1].partition("&")[0] for seen in self.fake.seen]

    def stop(self) -> None:
        self.discovery.stop()
        self.fake.stop()
