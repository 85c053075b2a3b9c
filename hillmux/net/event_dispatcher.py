"""Passes events to the decision module one at a time, and executes the actions that it returns in order."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from typing import Final

from hillmux import interface as api
from hillmux.decision.gateway import Gateway

log = logging.getLogger(__name__)

# Interval at which held events are checked for release. It is longer than the iteration of the event loop
# that reads all data that arrived during a stall.
ENDPOINTS_POLL_INTERVAL_S: Final = 0.002
ENDPOINTS_WAIT_TIMEOUT_S: Final = 0.25  # maximum time for which events are held for discovery's response


class UnixClock:
    """Unix time, which all gateways share, on a monotonic clock: it never runs backwards."""

    def __init__(self) -> None:
        self._offset = time.time() - time.monotonic()

    def now_ms(self) -> float:
        """Return the current time in milliseconds since the epoch."""
        return (self._offset + time.monotonic()) * 1000


class EventDispatcher:
    """Owns the decision module and orders its events; subclasses execute the actions."""

    def __init__(self, settings: api.Settings, seed: int, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.clock = UnixClock()
        self.decision_module = Gateway(settings, seed)
        self._queued_events: deque[api.Event] = deque()
        self._handling = False  # whether an event is being handled; new ones are queued
        self._held_until = 0.0  # time.monotonic until which events are held at most; 0 if none are held

    def post(self, event: api.Event) -> None:
        """Handle an event now, or after those already queued; may be called while an action is executed."""
        if self._handling or self._held_until:
            self._queued_events.append(event)
            return
        self._handling = True
        try:
            self.handle(event)
            while self._queued_events and not self._held_until:
                self.handle(self._queued_events.popleft())
        finally:
            self._handling = False

    def post_endpoints(self, event: api.EndpointList) -> None:
        """Post an endpoint list; it is handled at once, ahead of the queue, while events are held."""
        if self._held_until and not self._handling:
            self.handle(event)
        else:
            self.post(event)

    def handle(self, event: api.Event) -> None:
        """Handle an event at once and execute the resulting actions; exceptions are logged."""
        try:
            actions = self.decision_module.handle(self.clock.now_ms(), event)
        except Exception:  # a failure on one event must not affect other requests
            self.log_message(logging.ERROR, f"decision module failed on {type(event).__name__}", True)
            self.decision_failed(event)
            return
        for action in actions:
            try:
                if type(action) is api.SendAttempt:
                    self.send_attempt(action)
                else:
                    self.execute(action)
            except Exception:
                self.log_message(logging.ERROR, f"action failed: {type(action).__name__}", True)

    # Holding events after a stall

    def hold_events(self) -> None:
        """Queue events after a stall of the event loop until the current endpoint list has been read.

        After a stall, sockets are read in any order, and the watch may have delivered only the first of
        several changes. A request or attempt outcome that is decided before the remaining changes are read
        could be sent to a host that has been draining for a long time. Holding events costs a few
        milliseconds of latency after such a stall, or ENDPOINTS_WAIT_TIMEOUT_S if discovery does not respond.
        An event that is being handled is completed.
        """
        if not self._held_until:
            self._held_until = time.monotonic() + ENDPOINTS_WAIT_TIMEOUT_S
            self.loop.call_later(ENDPOINTS_POLL_INTERVAL_S, self._release_events)

    def _release_events(self) -> None:
        # After a stall in the middle of an iteration this timer fires before any socket has been read.
        must_hold = self.endpoints_due() or self.endpoints_may_be_stale()
        if must_hold and time.monotonic() < self._held_until:
            self.loop.call_later(ENDPOINTS_POLL_INTERVAL_S, self._release_events)
            return
        self._held_until = 0.0
        if self._queued_events:
            self.post(self._queued_events.popleft())

    def endpoints_due(self) -> bool:
        """Whether a response of discovery that covers all changes up to now is still outstanding."""
        return False

    def endpoints_may_be_stale(self) -> bool:
        """Whether a stall of the event loop has just ended, and changes of hosts may lie unread."""
        return False

    def events_held(self) -> bool:
        """Whether events wait for the endpoint list after a stall."""
        return self._held_until > 0

    # Implemented by subclasses

    def send_attempt(self, action: api.SendAttempt) -> None:
        """Execute a `SendAttempt` action, the most frequent one."""
        raise NotImplementedError

    def execute(self, action: api.Action) -> None:
        """Execute any other action."""
        raise NotImplementedError

    def decision_failed(self, event: api.Event) -> None:
        """Handle an event on which the decision module raised; the event is not passed to it again."""
        raise NotImplementedError

    def log_message(self, level: int, text: str, trace: bool = False) -> None:
        """Log a line, followed by the current exception's traceback if `trace` is set."""
        log.log(level, "%s", text, exc_info=trace)
