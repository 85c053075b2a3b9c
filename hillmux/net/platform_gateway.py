"""The platform's gateway: a gateway core connected to discovery, the counter and the upstream hosts."""

from __future__ import annotations

import asyncio
import logging
import time
from dataclasses import replace
from functools import partial
from typing import Any, ClassVar, Final, cast

from hillmux import interface as api
from hillmux.interface import ListKind
from hillmux.net.attempt import Attempt
from hillmux.net.config import GatewayConfig
from hillmux.net.counter_client import HttpCounterClient
from hillmux.net.diagnostics import resident_bytes
from hillmux.net.discovery_response import DiscoveryResponse, with_changes
from hillmux.net.discovery_watch import DiscoveryWatch
from hillmux.net.forward_request import OpenRequest
from hillmux.net.gateway_core import (
    CLIENT_TRANSIT_MS,
    DEADLINE_MARGIN_MS,
    GatewayCore,
)
from hillmux.net.listener import Listener
from hillmux.net.loop_lag import LoopLagMonitor
from hillmux.net.memory_budget import MemoryBudget, MemoryPlan, plan_memory
from hillmux.net.memory_guard import MemoryGuard
from hillmux.net.memory_waiters import MemoryWaiters
from hillmux.net.response import Response
from hillmux.net.streaming_client import STREAMED_REQUEST_TIMEOUT_S, StreamingClientConnection
from hillmux.net.streaming_upstream import StreamingUpstreamConnection, StreamingUpstreamPool

UPSTREAM_SOCKET_SHARE: Final = 0.36  # share of the process's sockets that connections to hosts may use
# How long a start waits for discovery before it serves with the configured endpoint list, which may be
# outdated. Restarted gateways have to be ready within 10 s, of which the start of the process takes some.
DISCOVERY_WAIT_S: Final = 8.0
# How often it is checked, after that wait, whether another process still serves in place of this one.
PREDECESSOR_POLL_INTERVAL_S: Final = 0.1


class PlatformGateway(GatewayCore):
    """A gateway that takes its hosts from discovery and counts quota use in the platform's counter."""

    pool_class: ClassVar[type[StreamingUpstreamPool]] = StreamingUpstreamPool

    def __init__(self, config: GatewayConfig, loop: asyncio.AbstractEventLoop) -> None:
        self._memory_plan = self._plan_memory(config)
        memory = MemoryBudget() if self._memory_plan is None else self._new_budget(config, self._memory_plan)
        settings = self._limit_customers(config.settings)
        super().__init__(settings, config.seed, loop, LoopLagMonitor(loop), memory)
        self._memory_bytes = config.memory_bytes
        self._memory_guard: MemoryGuard | None = None
        self.streaming_pool = self.pool_class(
            loop,
            int(UPSTREAM_SOCKET_SHARE * config.max_sockets),
            config.dial_timeout_ms,
            config.idle_timeout_ms,
            self.attempt_ended,
            self.may_still_send,
            memory,
        )
        self.streaming_pool.on_stream_started = self._response_started
        self.upstreams = self.streaming_pool
        self._discovery = DiscoveryWatch(
            loop,
            config.discovery,
            self._discovery_responded,
            config.known_endpoints.generation,
            config.seed,
            self._hold_if_stalled,
        )
        self._counter_client: HttpCounterClient | None = None
        if config.counter is not None:
            timeout_ms = config.settings.counter_timeout_ms
            self._counter_client = HttpCounterClient(loop, config.counter, timeout_ms, self.post)
        self.counter = self._counter_client
        # The configured list, until a list is in use.
        self._cached_endpoints: DiscoveryResponse | None = config.known_endpoints
        self._discovery_wait: asyncio.TimerHandle | None = None
        self.discovery_answered = False  # whether discovery has responded since this process started

    @staticmethod
    def _plan_memory(config: GatewayConfig) -> MemoryPlan | None:
        if config.memory_bytes is None:
            return None
        return plan_memory(config.memory_bytes, resident_bytes())

    @staticmethod
    def _new_budget(config: GatewayConfig, plan: MemoryPlan) -> MemoryBudget:
        return MemoryBudget(plan.peer_bytes, config.max_sockets)

    def _limit_customers(self, settings: api.Settings) -> api.Settings:
        """The settings with as many customers as there is memory for."""
        if self._memory_plan is None or settings.max_customers <= self._memory_plan.max_customers:
            return settings
        return replace(settings, max_customers=self._memory_plan.max_customers)

    def measure_memory(self, waiters: MemoryWaiters) -> None:
        """Set the memory budget from what the process holds now; called once it accepts clients.

        Args:
            waiters: the connections that hold memory for incomplete requests.
        """
        if self._memory_bytes is not None:
            self._memory_guard = MemoryGuard(
                self.memory,
                self._memory_bytes,
                self.loop,
                self.log_message,
                reject_largest=waiters.reject_largest_holders,
            )
            self._memory_guard.start()

    def start(self) -> None:
        """Start the discovery watch and connect to the counter.

        Requests are rejected until discovery answers: the agent may have been notified of changes to the
        configured list before this process started.
        """
        self.upstreams.start()
        self._discovery_wait = self.loop.call_later(DISCOVERY_WAIT_S, self._use_cached_endpoints)
        self._discovery.start()
        if self._counter_client is not None:
            self._counter_client.start()
        self.loop_lag.start()

    def stop(self) -> None:
        """Close all connections except those of clients, and stop the timers."""
        self._end_discovery_wait()
        self._discovery.stop()
        self.upstreams.stop()
        self.loop_lag.stop()
        if self._counter_client is not None:
            self._counter_client.stop()

    def reload(self, config: GatewayConfig) -> None:
        """Apply the discovery address, counter address and settings of a new configuration."""
        self._discovery.change_address(config.discovery)
        if self._counter_client is not None and config.counter is not None:
            self._counter_client.change_address(config.counter)
        settings = self._limit_customers(config.settings)
        if settings != self.settings:
            self.change_settings(settings)

    def reload_rejected(self) -> None:
        """Record that a new configuration was rejected; does nothing here."""

    async def listen(self, address: tuple[str, int] | None) -> None:
        """Accept operators' calls at an address; does nothing if it is None.

        Raises:
            OSError: the address cannot be listened on.
        """

    async def open(self, server: Listener[Any], address: tuple[str, int]) -> list[tuple[str, int]]:
        """Accept clients at an address.

        Returns:
            The addresses that are listened on.

        Raises:
            OSError: the address cannot be listened on.
        """
        return server.start(address)

    def ready(self) -> bool:
        """Whether requests can be served: an endpoint list is in use and holds hosts."""
        return not self.draining and bool(self.upstreams.host_names())

    def max_request_time_s(self) -> float:
        """The longest deadline of a request, in seconds."""
        return max(c.deadline_ms for c in self.settings.classes) / 1000

    # Discovery

    def _discovery_responded(self, response: DiscoveryResponse) -> None:
        self.discovery_answered = True
        self._end_discovery_wait()
        cached, self._cached_endpoints = self._cached_endpoints, None
        if cached is not None and not response.is_full:
            response = with_changes(cached, response)
        self.apply_endpoints(response, ListKind.FULL if response.is_full else ListKind.CHANGES)

    def decision_failed(self, event: api.Event) -> None:
        """Also request the full list if the decision module raised on a list: its changes may be lost."""
        super().decision_failed(event)
        if isinstance(event, api.EndpointList):
            self._discovery.list_not_applied()

    def _end_discovery_wait(self) -> None:
        if self._discovery_wait is not None:
            self._discovery_wait.cancel()
            self._discovery_wait = None

    def _use_cached_endpoints(self) -> None:
        """Use the configured list, since discovery has not answered in time.

        An outage of discovery must not be one of all gateways that start during it. A host that has drained
        since turns requests away unexecuted, and one that is gone refuses connections: both are retried.
        """
        if self.predecessor_serves():
            self._discovery_wait = self.loop.call_later(
                PREDECESSOR_POLL_INTERVAL_S, self._use_cached_endpoints
            )
            return
        self._discovery_wait = None
        cached, self._cached_endpoints = self._cached_endpoints, None
        if cached is not None and cached.endpoints:
            count = len(cached.endpoints)
            text = (
                f"discovery: no response in {DISCOVERY_WAIT_S:g} s, using the configured list, {count} hosts"
            )
            self.log_message(logging.WARNING, text)
            self.apply_endpoints(cached, ListKind.CACHED)

    def predecessor_serves(self) -> bool:
        """Whether another process serves the clients until this one takes over from it."""
        return False

    def _hold_if_stalled(self) -> bool:
        """Hold events if a discovery response was read after a stall; returns whether that was so."""
        if not self.endpoints_may_be_stale():
            return False
        self.hold_events()
        return True

    def endpoints_due(self) -> bool:
        """Whether a poll is pending whose response brings the endpoint list up to date."""
        return self._discovery.catching_up

    # Streamed bodies and responses

    def await_streamed_body(self, request: OpenRequest) -> None:
        """Set the time limit for a body that is still arriving; the deadline counts from its last byte.

        While the gateway does not read the body, because no host takes it, the client's time runs: its last
        byte may have been written long ago.
        """
        request.deadline = time.monotonic() + STREAMED_REQUEST_TIMEOUT_S
        upload = request.forward_request.streamed_body
        upload.on_complete = partial(self._streamed_body_complete, request)
        upload.on_pause = partial(self._streamed_body_paused, request)

    def _streamed_body_paused(self, request: OpenRequest, paused: bool) -> None:
        if request.client is None or request.streaming_attempt is not None:
            return
        if paused:
            request.deadline_slot = self.deadlines.add(request, self._time_left_s(request))
        else:
            self.deadlines.cancel(request, request.deadline_slot)

    @staticmethod
    def _time_left_s(request: OpenRequest) -> float:
        """The time left of a request whose body was streamed, less the time for which it was not read."""
        forward_request = request.forward_request
        time_left_ms = forward_request.time_left_ms - CLIENT_TRANSIT_MS - DEADLINE_MARGIN_MS
        return max(time_left_ms / 1000 - float(forward_request.streamed_body.paused_s), 0.0)

    def _streamed_body_complete(self, request: OpenRequest) -> None:
        if request.client is None or request.streaming_attempt is not None:
            return
        time_left_s = self._time_left_s(request)
        request.deadline = time.monotonic() + time_left_s
        request.deadline_slot = self.deadlines.add(request, time_left_s)
        for attempt in request.attempts:
            if attempt is not None:
                self.streaming_pool.on_body_complete(attempt)

    def _response_started(
        self, attempt: Attempt, response: Response, source: StreamingUpstreamConnection
    ) -> StreamingClientConnection | None:
        request = self.requests[attempt.request_id]
        client = cast(StreamingClientConnection | None, request.client)
        if client is None:
            return None
        request.streaming_attempt = attempt
        self.deadlines.cancel(request, request.deadline_slot)
        self.post(api.ResponseStarted(request.id, attempt.number))
        client.start_response(response, source)
        return client

    def client_disconnected(self, request_id: str) -> None:
        """Also end attempts whose response is streamed or whose body is incomplete."""
        request = self.requests.get(request_id)
        super().client_disconnected(request_id)
        if request is not None:
            self._cancel_unneeded_attempts(request)

    def abort_request(self, request_id: str, status: int) -> None:
        """Also end attempts whose response is streamed or whose body is incomplete."""
        request = self.requests.get(request_id)
        super().abort_request(request_id, status)
        if request is not None:
            self._cancel_unneeded_attempts(request)

    def fail_request(self, request: OpenRequest) -> None:
        """Also end attempts whose response is streamed or whose body is incomplete."""
        super().fail_request(request)
        self._cancel_unneeded_attempts(request)

    def _cancel_unneeded_attempts(self, request: OpenRequest) -> None:
        """Cancel a disconnected client's attempts if the response is streamed or the body incomplete."""
        upload = request.forward_request.streamed_body
        if request.streaming_attempt is not None or (upload is not None and not upload.complete):
            for attempt in request.attempts:
                if attempt is not None:
                    self.upstreams.cancel(attempt)
