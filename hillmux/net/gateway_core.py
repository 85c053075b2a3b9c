"""Open requests, from the client through the decision module to the upstream pool and back.

Translates socket events into events of the decision module, and its actions into socket operations. No
routing decision is made here.
"""

from __future__ import annotations

import asyncio
import logging
import time
from typing import Final, Protocol, cast

from hillmux import interface as api
from hillmux.interface import NEVER_EXECUTED, AttemptResult, HostStatus, Idempotency, ListKind
from hillmux.net.address_owners import AddressOwners
from hillmux.net.attempt import Attempt
from hillmux.net.deadlines import TICK_S, TimingWheel
from hillmux.net.discovery_response import DiscoveryResponse
from hillmux.net.event_dispatcher import EventDispatcher
from hillmux.net.forward_request import Client, ForwardRequest, OpenRequest, StreamingClient
from hillmux.net.loop_lag import LoopLagMonitor
from hillmux.net.memory_budget import SHED_RETRY_AFTER_MS, MemoryBudget
from hillmux.net.request_ids import RequestIds
from hillmux.net.request_log import RequestLog
from hillmux.net.response import Response
from hillmux.net.upstream_pool import UpstreamPool

# Reserved for the network between client and gateway, for the request and the response together.
CLIENT_TRANSIT_MS: Final = 4.0
DEADLINE_MARGIN_MS: Final = 8.0  # the deadline timer fires this long before the client's deadline
DECISION_MARGIN_MS: Final = 20.0  # the decision module's deadline is this much earlier, to answer first
# After a longer stall of the loop, endpoint changes are handled before all queued events.
STALE_ENDPOINTS_STALL_MS: Final = 500.0


class CounterClient(Protocol):
    """Sends counter calls; each results in exactly one `CounterReply` event."""

    def call(self, action: api.IncrementCounter) -> None:
        """Send one call."""


class GatewayCore(EventDispatcher):
    """Holds the open requests; each gets exactly one response, at its deadline at the latest."""

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        loop: asyncio.AbstractEventLoop,
        loop_lag: LoopLagMonitor,
        memory: MemoryBudget | None = None,
    ) -> None:
        super().__init__(settings, seed, loop)
        self.memory = memory or MemoryBudget()
        self.settings = settings
        self.loop_lag = loop_lag
        self.upstreams: UpstreamPool
        self.counter: CounterClient | None = None
        self.requests: dict[str, OpenRequest] = {}
        self._address_owners = AddressOwners()
        self.deadlines = TimingWheel(loop, self.deadline_reached)
        self.request_ids = RequestIds()
        self.last_serial = 0  # serial number of the request accepted last
        self.draining = False
        self._rejects_requests = False
        self.request_log = RequestLog(self.log_message)

    def drain(self) -> None:
        """Begin a graceful shutdown: set `draining`, and return the quota leases."""
        self.draining = True
        self.return_leases()

    def return_leases(self) -> None:
        """Return the quota units that are reserved ahead of use."""
        self.post(api.DrainStarted())

    def fail_all(self) -> None:
        """Answer all open requests with 504 and reject new ones: the process is about to exit."""
        self._rejects_requests = True
        for request in list(self.requests.values()):
            self.fail_request(request)

    def change_settings(self, settings: api.Settings) -> None:
        """Apply new, validated settings. Open requests keep the attempt limit they were accepted with."""
        self.settings = settings
        self.post(api.SettingsChanged(settings))

    # Clients

    def request(self, client: Client, forward_request: ForwardRequest) -> str | None:
        """Accept a request.

        Returns:
            The id to pass to `client_disconnected` and `abort_request`; "" if the request was rejected since
            the process is about to exit. None if a request with the same client request id is open, and the
            caller must reject this one: hosts distinguish requests by that id alone, so a duplicate would let
            one client act in the name of another.
        """
        if self._rejects_requests:
            # An attempt sent now would still be open when the process exits, and its response would be lost.
            client.answer(503)
            return ""
        if self.request_ids.in_use(forward_request.client_request_id):
            return None
        memory = self.memory
        if memory.used > memory.shed_above:
            memory.rejections += 1
            client.answer(503, retry_after_ms=SHED_RETRY_AFTER_MS)
            return ""
        self.request_ids.open(forward_request.client_request_id)
        self.last_serial += 1
        request_id = f"r{self.last_serial}"
        # The client's deadline counts from when it sent the request, not from when the loop read it.
        now = time.monotonic()
        queued_ms = (now - forward_request.read_at) * 1000
        lag_ms = self.loop_lag.lag_ms(now)
        if lag_ms > STALE_ENDPOINTS_STALL_MS:
            self.hold_events()
        time_left_ms = forward_request.time_left_ms - CLIENT_TRANSIT_MS - lag_ms - queued_ms
        timer_s = (time_left_ms - DEADLINE_MARGIN_MS) / 1000
        request = OpenRequest(request_id, client, forward_request, now + timer_s, self.settings.max_attempts)
        self.requests[request_id] = request
        if forward_request.streamed_body is None or forward_request.streamed_body.complete:
            request.deadline_slot = self.deadlines.add(request, max(timer_s - TICK_S, 0.0))
        else:
            self.await_streamed_body(request)
        self._post_request(request, time_left_ms - DECISION_MARGIN_MS)
        return request_id

    def _post_request(self, request: OpenRequest, time_left_ms: float) -> None:
        forward_request = request.forward_request
        self.post(
            api.Request(
                request.id,
                forward_request.class_name,
                forward_request.plan_name,
                forward_request.customer,
                time_left_ms,
                forward_request.units,
                forward_request.replicas,
                forward_request.first_replica,
                forward_request.is_retry,
                forward_request.pool,
            )
        )

    def client_disconnected(self, request_id: str) -> None:
        """Detach a disconnected client from its request, and report it to the decision module."""
        request = self.requests.get(request_id)
        if request is not None and request.client is not None:
            self.request_log.record_disconnect(request)
            request.abandoned = True
            self._detach_client(request)
            self.post(api.ClientDisconnected(request_id))

    def abort_request(self, request_id: str, status: int) -> None:
        """Answer an accepted request whose remaining body will never arrive, and end its attempts."""
        request = self.requests.get(request_id)
        if request is not None and request.client is not None:
            self.answer(request, status)
            self.post(api.ClientDisconnected(request_id))

    def await_streamed_body(self, request: OpenRequest) -> None:
        """Start the deadline of a request whose body is still arriving; it counts from the last byte."""
        raise NotImplementedError

    def deadline_reached(self, request: OpenRequest) -> None:
        """Answer a request that neither the decision module nor a host has answered by its deadline.

        A response that is arriving is passed on instead, since the client would get nothing of it otherwise.
        """
        for attempt in request.attempts:
            if attempt is not None and self.upstreams.forward_incomplete(attempt):
                return
        self.request_log.record_deadline(request)
        self.fail_request(request)

    def fail_request(self, request: OpenRequest) -> None:
        """Answer a request with 504, unless it has been answered."""
        if request.client is not None:
            self.answer(request, 504)
            self.post(api.ClientDisconnected(request.id))

    def answer(
        self,
        request: OpenRequest | None,
        status: int,
        response: Response | None = None,
        retry_after_ms: float = 0.0,
    ) -> None:
        """Send the final response, unless the request is answered or its client has disconnected."""
        if request is None or request.client is None:
            return
        client = request.client
        self._detach_client(request)
        if response is not None:
            self.pass_on_response(client, response)
        elif request.streaming_attempt is not None:
            # The response head has been sent: the client must be able to see that the body is incomplete.
            self.request_log.record_abort()
            cast(StreamingClient, client).abort_response()
        else:
            self.request_log.record_answer(request, status)
            client.answer(status, retry_after_ms=retry_after_ms)

    def pass_on_response(self, client: Client, response: Response) -> None:
        """Send a host's successful response to the client; a streamed one is only completed."""
        if response.streamed:
            cast(StreamingClient, client).finish_response()
        else:
            client.answer(response.status, response.body, response.headers.get(b"content-type", b""))

    def _detach_client(self, request: OpenRequest) -> None:
        request.client = None
        self.deadlines.cancel(request, request.deadline_slot)
        self.forget_if_finished(request)

    def forget_if_finished(self, request: OpenRequest) -> None:
        """Remove a request that is answered and has no open attempt."""
        if request.client is not None or request.open_attempts:
            return
        if self.requests.pop(request.id, None) is not None:
            if request.forward_request.reservation is not None:
                request.forward_request.reservation.release()
            self.request_ids.close(request.forward_request.client_request_id)
            if request.abandoned and request.may_have_run:
                self._keep_id_in_use(request.forward_request)

    def _keep_id_in_use(self, forward_request: ForwardRequest) -> None:
        """Reject the id of an abandoned request for as long as it may still run, unless it may run twice."""
        idempotency = {c.name: c.idempotency for c in self.settings.classes}.get(forward_request.class_name)
        if idempotency != Idempotency.IDEMPOTENT:
            self.request_ids.abandon(
                (forward_request.client_request_id,), forward_request.time_left_ms / 1000
            )

    # Hosts

    def apply_endpoints(self, response: DiscoveryResponse, kind: ListKind) -> None:
        """Apply a list of all hosts (`full`, `cached`) or of changed hosts only (`changes`)."""
        is_full = kind != ListKind.CHANGES  # a full list replaces the old one
        superseded = self._address_owners.update(response.endpoints, response.addresses, is_full)
        endpoints = response.endpoints
        if superseded:
            endpoints = tuple(e for e in endpoints if e.name not in superseded)
            if not is_full:
                endpoints += tuple(
                    api.Endpoint(name, "", 0, HostStatus.REMOVED) for name in sorted(superseded)
                )
            self.log_message(
                logging.INFO, f"hosts replaced at their address: {', '.join(sorted(superseded))}"
            )
        removed = {e.name for e in endpoints if e.status == HostStatus.REMOVED}
        if is_full:
            removed |= self.upstreams.host_names() - {e.name for e in endpoints}
        listed = [e for e in endpoints if e.status != HostStatus.REMOVED]
        self.upstreams.update(
            {e.name: response.addresses[e.name] for e in listed},
            removed,
            frozenset(e.name for e in listed if e.status == HostStatus.DRAINING),
            {e.name: e.started_at_ms for e in listed},
        )
        if endpoints or is_full:
            self.post_endpoints(api.EndpointList(kind, endpoints))

    # Attempts

    def send_attempt(self, action: api.SendAttempt) -> None:
        """Send an attempt, or report it to the decision module as not sent."""
        request = self.requests.get(action.request_id)
        time_left_s = request.deadline - time.monotonic() if request is not None else 0.0
        if request is None or not self._may_send(request, time_left_s):
            self._report_not_sent(action, request)
            return
        timeout_s = min(action.timeout_ms / 1000, time_left_s) if action.timeout_ms else time_left_s
        forward_request = request.forward_request
        now = time.monotonic()
        attempt = Attempt(
            action.request_id,
            len(request.attempts),
            action.host,
            forward_request.head,
            forward_request.body,
            now,
            now + action.delivery_window_ms / 1000,
        )
        attempt.timeout_s = timeout_s
        if forward_request.streamed_body is not None:
            attempt.streamed_body = forward_request.streamed_body
            timeout_s = timeout_s if forward_request.streamed_body.complete else time_left_s
        request.attempts.append(attempt)
        request.open_attempts += 1
        self.upstreams.send(attempt, max(timeout_s, 0.0))

    @staticmethod
    def _may_send(request: OpenRequest, time_left_s: float) -> bool:
        upload = request.forward_request.streamed_body
        return (
            request.client is not None
            and time_left_s > 0
            and len(request.attempts) < request.max_attempts
            and (upload is None or bool(upload.can_replay()))
        )

    def _report_not_sent(self, action: api.SendAttempt, request: OpenRequest | None) -> None:
        number = 0
        if request is not None:
            number = len(request.attempts)
            request.attempts.append(None)
        final = request is None or request.client is None
        self.post(
            api.AttemptEnded(action.request_id, number, action.host, AttemptResult.NOT_SENT, 0.0, final)
        )

    def loop_lag_ms(self) -> float:
        """How long data that is read now may have waited for the event loop, in milliseconds."""
        return self.loop_lag.lag_ms(time.monotonic())

    def endpoints_may_be_stale(self) -> bool:
        """Whether the event loop was stalled for so long that changes of hosts may lie unread."""
        return self.loop_lag_ms() > STALE_ENDPOINTS_STALL_MS

    def may_still_send(self, attempt: Attempt) -> bool:
        """Whether an attempt may be sent; checked right before its first byte.

        Its client must be connected, with time left. An attempt that a stall has overtaken was decided by an
        endpoint list that may be outdated: it is not sent, and events are held until that list has been read.
        """
        request = self.requests.get(attempt.request_id)
        if request is None or request.client is None:
            return False
        # After a stall, or on a connection that waited to be accepted, a request is read before the client's
        # disconnect, although that may have arrived long ago. It would be forwarded without a client.
        now = time.monotonic()
        lag_ms = self.loop_lag.lag_ms(now)
        if lag_ms > STALE_ENDPOINTS_STALL_MS:
            self.hold_events()
        if self.events_held():
            return False
        return now < request.deadline and not request.client.has_disconnected(lag_ms > 0)

    def attempt_ended(self, attempt: Attempt, result: AttemptResult, response: Response | None) -> None:
        """Answer the request if the attempt succeeded, and report the outcome to the decision module."""
        request = self.requests[attempt.request_id]
        request.open_attempts -= 1
        now = time.monotonic()
        elapsed_ms = (now - attempt.sent_at) * 1000
        if response is not None:
            if response.first_byte_at:  # the transfer time of a streamed response is not host latency
                elapsed_ms -= (now - response.first_byte_at) * 1000
            lag_ms = self.loop_lag.lag_ms(now)
            elapsed_ms = max(elapsed_ms - lag_ms, 0.0)  # nor is the time it lay unread
            if lag_ms > STALE_ENDPOINTS_STALL_MS:
                self.hold_events()
        units = 0.0
        if result == AttemptResult.OK and response is not None:
            units = response.positive_number(b"billed-units", self.settings.max_request_units)
            self.answer(request, response.status, response)
        elif request.streaming_attempt is attempt:
            self.answer(request, 502)
        if result != AttemptResult.OK:
            request.may_have_run = request.may_have_run or result not in NEVER_EXECUTED
            self.request_log.record_attempt(attempt, result, elapsed_ms)
        final = request.client is None
        self.forget_if_finished(request)
        self.post(
            api.AttemptEnded(
                attempt.request_id,
                attempt.number,
                attempt.host,
                result,
                elapsed_ms,
                final,
                actual_units=units,
            )
        )

    def _cancel_attempt(self, action: api.CancelAttempt) -> None:
        request = self.requests.get(action.request_id)
        if request is not None and action.attempt < len(request.attempts):
            attempt = request.attempts[action.attempt]
            if attempt is not None:
                self.upstreams.cancel(attempt)

    # The decision module's actions

    def decision_failed(self, event: api.Event) -> None:
        """Answer the request whose event the decision module raised on."""
        if isinstance(event, api.Request):
            self.answer(self.requests.get(event.id), 500)
        elif isinstance(event, api.AttemptEnded):
            self.answer(self.requests.get(event.request_id), 502)

    def execute(self, action: api.Action) -> None:
        """Execute an action other than `SendAttempt`."""
        match action:
            case api.Reject():
                self.reject(action)
            case api.Fail():
                self.answer(self.requests.get(action.request_id), 502)
            case api.CancelAttempt():
                self._cancel_attempt(action)
            case api.SetTimer():
                self.set_timer(action)
            case api.IncrementCounter():
                self._increment_counter(action)
            case api.Subscribe():
                pass  # the discovery watch always runs
            case api.Log():
                self.log_message(logging.INFO, action.text)

    def reject(self, action: api.Reject) -> None:
        """Answer a request that the decision module rejected."""
        self.answer(self.requests.get(action.request_id), 503, retry_after_ms=action.retry_after_ms)

    def set_timer(self, action: api.SetTimer) -> None:
        """Post the timer's event after its delay."""
        self.loop.call_later(max(action.delay_ms, 0.0) / 1000, self.post, api.TimerFired(action.name))

    def _increment_counter(self, action: api.IncrementCounter) -> None:
        if self.counter is None:
            self.post(api.CounterReply(action.name, AttemptResult.CONNECT_FAILED, 0.0))
        else:
            self.counter.call(action)
