"""The platform's gateway: one core between its discovery, its counter and its hosts."""

from __future__ import annotations

import asyncio
import time
from functools import partial
from typing import Any, ClassVar, cast

from hillmux import interface as api
from hillmux.interface import ListKind
from hillmux.net.clients import Server
from hillmux.net.config import GatewayConfig
from hillmux.net.core import (
    CLIENT_TRANSIT_MS,
    DEADLINE_MARGIN_MS,
    STALE_ENDPOINTS_STALL_MS,
    GatewayCore,
    LoopLagMonitor,
    OpenRequest,
)
from hillmux.net.counter import HttpCounterClient
from hillmux.net.discovery import DiscoveryResponse, DiscoveryWatch
from hillmux.net.hosts import Attempt
from hillmux.net.http1 import Reply
from hillmux.net.streaming import UPLOAD_S, FlowConnection, FlowHostConnection, FlowHosts

UPSTREAM_SOCKET_SHARE = 0.36  # of the descriptors
DISCOVERY_WAIT_S = (
    0.25  # how long a start waits for discovery before it serves with the list it was given: it
)
# answers at once or, when it is short of room, after seconds in which clients would find nobody


class PlatformGateway(GatewayCore):
    """A core whose hosts come from discovery and whose counts go to the platform's counter."""

    pool_class: ClassVar[type[FlowHosts]] = FlowHosts  # what sends its attempts

    def __init__(self, config: GatewayConfig, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(config.settings, config.seed, loop, LoopLagMonitor(loop))
        most = int(UPSTREAM_SOCKET_SHARE * config.max_sockets)
        self.streaming_pool = self.pool_class(
            loop, most, config.dial_timeout_ms, config.idle_timeout_ms, self.attempt_ended, self.is_wanted
        )
        self.streaming_pool.begun = self._response_started
        self.upstreams = self.streaming_pool
        self._discovery = DiscoveryWatch(
            loop,
            config.discovery,
            self._discovery_responded,
            config.known_endpoints.generation,
            config.seed,
            self._hold_if_stalled,
        )
        self._counter_client = (
            HttpCounterClient(loop, config.counter, config.settings.counter_timeout_ms, self.post)
            if config.counter is not None
            else None
        )
        self.counter = self._counter_client
        self._known_endpoints = config.known_endpoints
        self._started_at = 0.0
        self.discovery_answered = False  # discovery has answered in this life

    def start(self) -> None:
        """Begin with the known list, then listen to discovery and the counter."""
        self._started_at = time.monotonic()
        self.apply_endpoints(self._known_endpoints, ListKind.CACHED)
        self.upstreams.start()
        self._discovery.start()
        if self._counter_client is not None:
            self._counter_client.start()
        self.loop_lag.start()

    def stop(self) -> None:
        """Close everything towards the back end."""
        self._discovery.stop()
        self.upstreams.stop()
        self.loop_lag.stop()
        if self._counter_client is not None:
            self._counter_client.stop()

    def reload(self, config: GatewayConfig) -> None:
        """Go over to the discovery, the counter and the settings that a new configuration names."""
        self._discovery.change_address(config.discovery)
        if self._counter_client is not None and config.counter is not None:
            self._counter_client.change_address(config.counter)
        if config.settings != self.settings:
            self.change_settings(config.settings)

    def reload_rejected(self) -> None:
        """A new configuration was turned down."""

    async def listen(self, address: tuple[str, int] | None) -> None:
        """Take operators' calls at an address, where there is one; OSError where that fails."""

    async def open(self, server: Server[Any], address: tuple[str, int]) -> list[tuple[str, int]]:
        """Let clients in at an address; the addresses that are listened on. OSError where that fails."""
        return server.start(address)

    def _hold_if_stalled(self) -> bool:
        """Asked with each answer of discovery; what it brings on is held until the next one."""
        if self.loop_lag.lag_ms(time.monotonic()) <= STALE_ENDPOINTS_STALL_MS:
            return False
        self.hold_events()
        return True

    def endpoints_due(self) -> bool:
        return self._discovery.catching_up

    def ready(self) -> bool:
        """Whether requests can be served: hosts are known, by discovery's word if it speaks at all."""
        if self.draining or not self.upstreams.host_names():
            return False
        return self.discovery_answered or time.monotonic() - self._started_at > DISCOVERY_WAIT_S

    def longest_s(self) -> float:
        """The longest that a request may take, in seconds."""
        return max(c.deadline_ms for c in self.settings.classes) / 1000

    # --- What is passed on as it comes ---

    def await_upload(self, request: OpenRequest) -> None:
        request.deadline = time.monotonic() + UPLOAD_S
        request.forward_request.upload.came = partial(self._upload_complete, request)

    def _upload_complete(self, request: OpenRequest) -> None:
        if request.client is None or request.streaming_attempt is not None:
            return
        left_s = (request.forward_request.time_left_ms - CLIENT_TRANSIT_MS - DEADLINE_MARGIN_MS) / 1000
        request.deadline = time.monotonic() + left_s
        request.deadline_slot = self.deadlines.add(request, max(left_s, 0.0))
        for attempt in request.attempts:
            if attempt is not None:
                self.streaming_pool.came(attempt)

    def _response_started(
        self, attempt: Attempt, reply: Reply, source: FlowHostConnection
    ) -> FlowConnection | None:
        request = self.requests[attempt.request_id]
        client = cast(FlowConnection | None, request.client)
        if client is None:
            return None
        request.streaming_attempt = attempt
        self.deadlines.cancel(request, request.deadline_slot)
        self.post(api.ResponseStarted(request.id, attempt.number))
        client.begin(reply, source)
        return client

    def left(self, rid: str) -> None:
        """The client is gone; also ends attempts whose answer is passed on or whose body is not whole."""
        request = self.requests.get(rid)
        super().left(rid)
        if request is not None:
            self._cancel_useless_attempts(request)

    def broken(self, rid: str, status: int) -> None:
        """Answer with `status`; also ends attempts whose answer is passed on or whose body is not whole."""
        request = self.requests.get(rid)
        super().broken(rid, status)
        if request is not None:
            self._cancel_useless_attempts(request)

    def _cancel_useless_attempts(self, request: OpenRequest) -> None:
        """End the attempts that can come to nothing: on an answer that nobody reads, or on half a body."""
        upload = request.forward_request.upload
        if request.streaming_attempt is not None or (upload is not None and not upload.whole):
            for attempt in request.attempts:
                if attempt is not None:
                    self.upstreams.cancel(attempt)

    def _discovery_responded(self, listing: DiscoveryResponse) -> None:
        self.discovery_answered = True
        self.apply_endpoints(listing, ListKind.FULL if listing.is_full else ListKind.CHANGES)
