"""The platform's gateway: one core between its discovery, its counter and its hosts."""

from __future__ import annotations

import asyncio
import time
from functools import partial
from typing import Any, ClassVar, cast

from hillmux import interface as api
from hillmux.interface import ListKind
from hillmux.net.clients import Listener
from hillmux.net.config import Config
from hillmux.net.core import GUARD_MS, OLD_LIST_MS, TRANSIT_MS, Core, Pulse, _Open
from hillmux.net.counter import Counter
from hillmux.net.discovery import Discovery, Listing
from hillmux.net.hosts import Attempt
from hillmux.net.http1 import Response
from hillmux.net.streaming import (
    STREAMED_REQUEST_TIMEOUT_S,
    StreamingClientConnection,
    StreamingUpstreamConnection,
    StreamingUpstreamPool,
)

UPSTREAM_SHARE = 0.36  # of the descriptors
LIST_WAIT_S = 0.25  # how long a start waits for discovery before it serves with the list it was given: it
# answers at once or, when it is short of room, after seconds in which clients would find nobody


class Node(Core):
    """A core whose hosts come from discovery and whose counts go to the platform's counter."""

    hosts: ClassVar[type[StreamingUpstreamPool]] = StreamingUpstreamPool  # what sends its attempts

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(config.settings, config.seed, loop, Pulse(loop))
        most = int(UPSTREAM_SHARE * config.sockets)
        self._flow_hosts = self.hosts(loop, most, config.dial_ms, config.idle_ms, self._ended, self._wanted)
        self._flow_hosts.on_stream_started = self._begun
        self._hosts = self._flow_hosts
        self._discovery = Discovery(
            loop, config.discovery, self._listed, config.known.generation, config.seed, self._stood_still
        )
        self._client = (
            Counter(loop, config.counter, config.settings.counter_timeout_ms, self._post)
            if config.counter is not None
            else None
        )
        self._counter = self._client
        self._known = config.known
        self._started = 0.0
        self._heard = False  # discovery has answered in this life

    def start(self) -> None:
        """Begin with the known list, then listen to discovery and the counter."""
        self._started = time.monotonic()
        self._apply(self._known, ListKind.CACHED)
        self._hosts.start()
        self._discovery.start()
        if self._client is not None:
            self._client.start()
        self._pulse.start()

    def stop(self) -> None:
        """Close everything towards the back end."""
        self._discovery.stop()
        self._hosts.stop()
        self._pulse.stop()
        if self._client is not None:
            self._client.stop()

    def reload(self, config: Config) -> None:
        """Go over to the discovery, the counter and the settings that a new configuration names."""
        self._discovery.move(config.discovery)
        if self._client is not None and config.counter is not None:
            self._client.move(config.counter)
        if config.settings != self.settings:
            self.change(config.settings)

    def not_reloaded(self) -> None:
        """A new configuration was turned down."""

    async def listen(self, address: tuple[str, int] | None) -> None:
        """Take operators' calls at an address, where there is one; OSError where that fails."""

    async def open(self, server: Listener[Any], address: tuple[str, int]) -> list[tuple[str, int]]:
        """Let clients in at an address; the addresses that are listened on. OSError where that fails."""
        return server.start(address)

    def _stood_still(self) -> bool:
        """Asked with each answer of discovery; what it brings on is held until the next one."""
        if self._pulse.behind_ms(time.monotonic()) <= OLD_LIST_MS:
            return False
        self._hold()
        return True

    def _news_due(self) -> bool:
        return self._discovery.catching_up

    def ready(self) -> bool:
        """Whether requests can be served: hosts are known, by discovery's word if it speaks at all."""
        if self.draining or not self._hosts.names():
            return False
        return self._heard or time.monotonic() - self._started > LIST_WAIT_S

    def longest_s(self) -> float:
        """The longest that a request may take, in seconds."""
        return max(c.deadline_ms for c in self.settings.classes) / 1000

    # --- What is passed on as it comes ---

    def _uploads(self, request: _Open) -> None:
        request.end_at = time.monotonic() + STREAMED_REQUEST_TIMEOUT_S
        request.order.streamed_body.on_complete = partial(self._whole, request)

    def _whole(self, request: _Open) -> None:
        if request.client is None or request.flow is not None:
            return
        left_s = (request.order.time_left_ms - TRANSIT_MS - GUARD_MS) / 1000
        request.end_at = time.monotonic() + left_s
        request.guard = self._guards.add(request, max(left_s, 0.0))
        for attempt in request.attempts:
            if attempt is not None:
                self._flow_hosts.on_body_complete(attempt)

    def _begun(
        self, attempt: Attempt, reply: Response, source: StreamingUpstreamConnection
    ) -> StreamingClientConnection | None:
        request = self._requests[attempt.request]
        client = cast(StreamingClientConnection | None, request.client)
        if client is None:
            return None
        request.flow = attempt
        self._guards.cancel(request, request.guard)
        self._post(api.ResponseStarted(request.id, attempt.number))
        client.start_response(reply, source)
        return client

    def left(self, rid: str) -> None:
        """The client is gone; also ends attempts whose answer is passed on or whose body is not whole."""
        request = self._requests.get(rid)
        super().left(rid)
        if request is not None:
            self._call_off(request)

    def broken(self, rid: str, status: int) -> None:
        """Answer with `status`; also ends attempts whose answer is passed on or whose body is not whole."""
        request = self._requests.get(rid)
        super().broken(rid, status)
        if request is not None:
            self._call_off(request)

    def _call_off(self, request: _Open) -> None:
        """End the attempts that can come to nothing: on an answer that nobody reads, or on half a body."""
        upload = request.order.streamed_body
        if request.flow is not None or (upload is not None and not upload.complete):
            for attempt in request.attempts:
                if attempt is not None:
                    self._hosts.cancel(attempt)

    def _listed(self, listing: Listing) -> None:
        self._heard = True
        self._apply(listing, ListKind.FULL if listing.whole else ListKind.CHANGES)
